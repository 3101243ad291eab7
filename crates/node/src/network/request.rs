//! Decodes requests by the platform's CGI variables and encodes answers, without sockets, for all protocols.

mod answer;
mod body_hash;
mod fields;
mod incomplete_key;

use std::fmt;

use doortrack_protocols::Protocol;
pub use doortrack_routes::IdempotencyKey;
use doortrack_time::{MILLISECOND, TenthMillis};

pub use self::answer::{Answer, RefusalReason, RunOutput, write};
pub use self::body_hash::BodyHash;
pub(super) use self::fields::Fields;
use self::fields::in_range;
pub use self::incomplete_key::IncompleteKey;

/// The path of the platform's health check.
pub(super) const HEALTH_CHECK_PATH: &str = "/status/live";
/// The prefix of the path of the platform's requests; the endpoint group's name follows it.
const GROUP_PATH_PREFIX: &str = "/svc/";
/// Exclusive upper bound of a request's memory, in KiB.
const MAX_MEMORY_KB: f32 = 2000.0;

/// The id of an attempt, which dispatchers and the engine use: 16 hex digits as received.
pub type AttemptId = [u8; 16];

/// The properties of a request that admission needs.
#[derive(Clone, Debug, PartialEq)]
pub struct IncomingRequest {
    /// The attempt's id.
    pub attempt_id: AttemptId,
    /// When the request arrived at the machine: on the Unix clock as decoded, in the node's time once it is reported.
    pub arrived_at: TenthMillis,
    /// The index of the endpoint group.
    pub group: u8,
    /// The index of the tenant; 0 where the deployment has none.
    pub tenant: u16,
    /// The caller's number on the platform.
    pub caller: u64,
    /// Whether the request is a retry.
    pub retry: bool,
    /// Memory that the request needs, in KiB; greater than 0 and below 2000.
    pub memory_kb: f32,
    /// The request's rank within its endpoint group; from 0 to below 1.
    pub rank: f32,
    /// The idempotency key; present if requests of the endpoint group carry one.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The session key; 0 for none.
    pub session_key: u64,
    /// How long the caller waits, if a rule sets it.
    pub timeout: Option<TenthMillis>,
    /// The index of the named pool of servers that runs the request, if a rule sets it.
    pub pool: Option<u16>,
}

impl IncomingRequest {
    /// Returns the endpoint group and idempotency key by which duplicates are recognized.
    pub fn dedup_key(&self) -> Option<(u8, IdempotencyKey)> {
        self.idempotency_key.map(|key| (self.group, key))
    }
}

/// A decoded request of a client.
#[derive(Clone, Debug, PartialEq)]
pub enum DecodedRequest {
    /// A health check of the node.
    HealthCheck,
    /// A request to run.
    Request(IncomingRequest),
}

/// Why a request cannot be decoded. Such a request is answered at once and does not reach admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// This variable, or part of the message, is absent, duplicated or malformed.
    Field(&'static str),
    /// The variables or the body exceed their maximum size.
    TooLong,
    /// No rule matches the request.
    NoRule,
}

impl Unreadable {
    /// Returns the reason's name in the log.
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

/// The names that requests may contain, in the order of the deployment's settings.
pub struct DeploymentNames {
    /// Names of endpoint groups.
    pub groups: Vec<String>,
    /// For each endpoint group, whether its requests carry an idempotency key.
    pub idempotency_keyed: Vec<bool>,
    /// Names of tenants; empty if the deployment does not distinguish tenants.
    pub tenants: Vec<String>,
}

impl DeploymentNames {
    /// Returns true if requests of any endpoint group carry an idempotency key.
    pub(super) fn has_idempotency_keys(&self) -> bool {
        self.idempotency_keyed.contains(&true)
    }

    /// Returns the index of the tenant that a request names; 0 where the deployment has none.
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

    /// Returns the index of the endpoint group that a path names.
    fn group(&self, path: &str) -> Result<usize, Unreadable> {
        path.strip_prefix(GROUP_PATH_PREFIX)
            .and_then(|name| self.groups.iter().position(|group| group == name))
            .ok_or(Unreadable::Field("SCRIPT_NAME"))
    }
}

/// Decodes a request by the platform's variables.
///
/// # Errors
/// The first variable that is absent, duplicated or malformed.
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
            true => Some(fields.required_idempotency_key()?),
            false => None,
        },
        session_key: fields.session_key()?,
        timeout: None,
        pool: None,
    }))
}

/// Checks that a request may need this much memory, in KiB.
pub(super) fn validate_memory_kb(memory_kb: f32) -> Result<f32, Unreadable> {
    let valid = memory_kb > 0.0 && memory_kb < MAX_MEMORY_KB;
    in_range(memory_kb, valid, "HTTP_X_MEMORY_KB")
}

/// Checks that a rank is in its range.
pub(super) fn validate_rank(rank: f32) -> Result<f32, Unreadable> {
    in_range(rank, (0.0..1.0).contains(&rank), "HTTP_X_RANK")
}
