//! Requests by the platform's CGI variables, read and answered without sockets, whatever protocol carried them.

mod answer;
mod fields;

use std::fmt;

use doortrack_protocols::Protocol;
use doortrack_time::{MILLISECOND, TenthMillis};

pub use self::answer::{Answer, RunOutput, write};
pub(super) use self::fields::Fields;
use self::fields::in_range;

/// The path of the platform's health check.
pub(super) const HEALTH_CHECK_PATH: &str = "/status/live";
/// What the path of the platform's requests starts with; the endpoint group's name follows.
const GROUP_PATH_PREFIX: &str = "/svc/";
/// Upper bound, exclusive, of a request's memory, in KiB.
const MAX_MEMORY_KB: f32 = 2000.0;

/// By which dispatchers and the engine know an attempt: 16 hex digits, as they were sent.
pub type AttemptId = [u8; 16];
/// The idempotency key of a request: 32 hex digits, as they were sent.
pub type IdempotencyKey = [u8; 32];

/// What admission needs to know of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct IncomingRequest {
    /// The attempt.
    pub attempt_id: AttemptId,
    /// When it arrived at the machine, on the Unix clock.
    pub arrived_at: TenthMillis,
    /// The index of its endpoint group.
    pub group: u8,
    /// The index of its tenant; 0 where the deployment has none.
    pub tenant: u16,
    /// Who sent it, as the platform numbers callers.
    pub caller: u64,
    /// Whether it is a further attempt.
    pub retry: bool,
    /// Memory that it needs, in KiB; greater than 0 and below 2000.
    pub memory_kb: f32,
    /// Its rank among the requests of its group; from 0 to below 1.
    pub rank: f32,
    /// Present where its group's requests are idempotent with a key.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The session that it belongs to; 0 for none.
    pub session_key: u64,
    /// How long its caller waits, if a rule says so.
    pub timeout: Option<TenthMillis>,
    /// The index of the named pool of servers that runs it, if a rule says so.
    pub pool: Option<u16>,
}

/// What a client asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum DecodedRequest {
    /// Whether the node is healthy.
    HealthCheck,
    /// Work.
    Request(IncomingRequest),
}

/// Why a request can't be read. It is answered at once and does not reach admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// This variable, or part of the message, is absent, doubled or malformed.
    Field(&'static str),
    /// It is longer than any request may be.
    TooLong,
    /// No rule matches it.
    NoRule,
}

impl Unreadable {
    /// The word for it in the log.
    pub fn name(self) -> &'static str {
        match self {
            Unreadable::Field(name) => name,
            Unreadable::TooLong => "length",
            Unreadable::NoRule => "no_rule",
        }
    }
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl std::error::Error for Unreadable {}

/// The names that requests may carry, in the order of the deployment's settings.
pub struct DeploymentNames {
    /// Endpoint groups.
    pub groups: Vec<String>,
    /// By group, whether its requests carry an idempotency key.
    pub idempotency_keyed: Vec<bool>,
    /// Tenants; none where the deployment does not tell tenants apart.
    pub tenants: Vec<String>,
}

impl DeploymentNames {
    /// The index of the tenant that a request names; 0 where the deployment has none.
    pub(super) fn tenant(&self, fields: &Fields) -> Result<u16, Unreadable> {
        if self.tenants.is_empty() {
            return Ok(0);
        }
        let tenant = fields.required("HTTP_X_TENANT")?;
        let index = self.tenants.iter().position(|name| name == tenant);
        index
            .map(|index| index as u16)
            .ok_or(Unreadable::Field("HTTP_X_TENANT"))
    }

    /// The index of the endpoint group that a path names.
    fn group(&self, path: &str) -> Result<usize, Unreadable> {
        path.strip_prefix(GROUP_PATH_PREFIX)
            .and_then(|name| self.groups.iter().position(|group| group == name))
            .ok_or(Unreadable::Field("SCRIPT_NAME"))
    }
}

/// Reads a request by the platform's variables.
///
/// # Errors
/// The first variable that is absent, doubled or malformed.
pub fn read(
    protocol: Protocol,
    variables: &[u8],
    names: &DeploymentNames,
) -> Result<DecodedRequest, Unreadable> {
    let pairs = protocol
        .read_variables(variables)
        .map_err(|malformed| Unreadable::Field(malformed.0))?;
    let fields = Fields(&pairs);
    let path = fields.required("SCRIPT_NAME")?;
    if path == HEALTH_CHECK_PATH {
        return Ok(DecodedRequest::HealthCheck);
    }
    let group = names.group(path)?;
    if fields.required("REQUEST_METHOD")? != "POST" {
        return Err(Unreadable::Field("REQUEST_METHOD"));
    }
    let tenant = names.tenant(&fields)?;
    let memory_kb = fields.required_number::<f32>("HTTP_X_MEMORY_KB")?;
    let rank = fields.required_number::<f32>("HTTP_X_RANK")?;
    Ok(DecodedRequest::Request(IncomingRequest {
        attempt_id: fields.required_hex("HTTP_X_REQUEST_ID")?,
        arrived_at: fields
            .required_number::<u64>("HTTP_X_REQUEST_START")?
            .saturating_mul(MILLISECOND),
        group: group as u8,
        tenant,
        caller: fields.required_number("HTTP_X_CALLER")?,
        retry: fields.is_retry()?,
        memory_kb: validate_memory_kb(memory_kb)?,
        rank: validate_rank(rank)?,
        idempotency_key: match names.idempotency_keyed[group] {
            true => Some(fields.required_hex("HTTP_IDEMPOTENCY_KEY")?),
            false => None,
        },
        session_key: fields.session_key()?,
        timeout: None,
        pool: None,
    }))
}

/// Memory in KiB, if a request may need that much.
pub(super) fn validate_memory_kb(memory_kb: f32) -> Result<f32, Unreadable> {
    let valid = memory_kb > 0.0 && memory_kb < MAX_MEMORY_KB;
    in_range(memory_kb, valid, "HTTP_X_MEMORY_KB")
}

/// A rank, if it is one.
pub(super) fn validate_rank(rank: f32) -> Result<f32, Unreadable> {
    in_range(rank, (0.0..1.0).contains(&rank), "HTTP_X_RANK")
}
