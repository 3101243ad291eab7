//! What callers ask and are answered: CGI's fields, read and written without sockets, whatever carried them.

use doortrack_protocols::fastcgi::{self, ProtocolStatus};
use doortrack_protocols::{Head, Pair, Protocol};
use doortrack_time::{MILLISECOND, TenthMillis};

/// The name by which dispatchers and the engine know a try: 16 hex digits, as they came.
pub type TryId = [u8; 16];
/// The idempotency key of a deduplicated request, as it came.
pub type IdempotencyKey = [u8; 32];

/// What a run brought: header lines of its answer, each with its end of line, and a body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunOutput<'a> {
    pub headers: &'a [u8],
    pub body: &'a [u8],
}

impl<'a> From<&'a [u8]> for RunOutput<'a> {
    fn from(body: &'a [u8]) -> RunOutput<'a> {
        RunOutput { headers: &[], body }
    }
}

/// One request, with only those fields taken out that the decisions need.
#[derive(Clone, Debug, PartialEq)]
pub struct IncomingRequest {
    pub try_id: TryId,
    /// When it came to the machine, on the Unix clock.
    pub stamp: TenthMillis,
    pub group: u8,
    pub tenant: u16,
    pub caller: u64,
    pub retry: bool,
    pub kb: f32,
    pub rank: f32,
    pub idempotency_key: Option<IdempotencyKey>,
    pub subject: u64,
    /// How long its caller waits, if that was told.
    pub wait: Option<TenthMillis>,
    /// The place of the pool of servers that it goes to, if a rule says so.
    pub pool: Option<u16>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Inbound {
    Health,
    Request(IncomingRequest),
}

/// Why a request can't be read; it is answered by itself and reaches no decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    Field(&'static str),
    TooLong,
    /// No rule takes it.
    NoRule,
}

impl Unreadable {
    /// The word for it in the log and in the answer.
    pub fn name(self) -> &'static str {
        match self {
            Unreadable::Field(name) => name,
            Unreadable::TooLong => "length",
            Unreadable::NoRule => "no_rule",
        }
    }
}

/// The names that may stand in a request, in the order of the contract.
pub struct Names {
    pub groups: Vec<String>,
    /// Whether requests of the group carry an idempotency key.
    pub keyed: Vec<bool>,
    pub tenants: Vec<String>,
}

impl Names {
    /// The place of a tenant; 0 where the deployment knows none.
    pub(super) fn tenant(&self, fields: &Fields) -> Result<u16, Unreadable> {
        if self.tenants.is_empty() {
            return Ok(0);
        }
        let tenant = fields.needed("HTTP_X_TENANT")?;
        let place = self.tenants.iter().position(|name| name == tenant);
        place
            .map(|place| place as u16)
            .ok_or(Unreadable::Field("HTTP_X_TENANT"))
    }
}

pub fn read(protocol: Protocol, variables: &[u8], names: &Names) -> Result<Inbound, Unreadable> {
    let pairs = protocol
        .pairs(variables)
        .map_err(|broken| Unreadable::Field(broken.0))?;
    let fields = Fields(&pairs);
    let script = fields.needed("SCRIPT_NAME")?;
    if script == "/status/live" {
        return Ok(Inbound::Health);
    }
    let group = script
        .strip_prefix("/svc/")
        .and_then(|name| names.groups.iter().position(|g| g == name));
    let group = group.ok_or(Unreadable::Field("SCRIPT_NAME"))?;
    if fields.needed("REQUEST_METHOD")? != "POST" {
        return Err(Unreadable::Field("REQUEST_METHOD"));
    }
    let tenant = names.tenant(&fields)?;
    let kb = fields.number::<f32>("HTTP_X_MEMORY_KB")?;
    let rank = fields.number::<f32>("HTTP_X_RANK")?;
    Ok(Inbound::Request(IncomingRequest {
        try_id: hex(fields.needed("HTTP_X_REQUEST_ID")?, "HTTP_X_REQUEST_ID")?,
        stamp: fields
            .number::<u64>("HTTP_X_REQUEST_START")?
            .saturating_mul(MILLISECOND),
        group: group as u8,
        tenant,
        caller: fields.number("HTTP_X_CALLER")?,
        retry: fields
            .find("HTTP_X_RETRY")?
            .is_some_and(|value| value == "1"),
        kb: in_range(kb, kb > 0.0 && kb < 2000.0, "HTTP_X_MEMORY_KB")?,
        rank: in_range(rank, (0.0..1.0).contains(&rank), "HTTP_X_RANK")?,
        idempotency_key: match names.keyed[group] {
            true => Some(hex(
                fields.needed("HTTP_IDEMPOTENCY_KEY")?,
                "HTTP_IDEMPOTENCY_KEY",
            )?),
            false => None,
        },
        subject: fields.subject()?,
        wait: None,
        pool: None,
    }))
}

pub(super) struct Fields<'a>(pub(super) &'a [Pair<'a>]);

impl<'a> Fields<'a> {
    /// A doubled field is as bad as none: two readers could take different ones.
    pub(super) fn find(&self, name: &'static str) -> Result<Option<&'a str>, Unreadable> {
        let mut values = self
            .0
            .iter()
            .filter(|(n, _)| *n == name.as_bytes())
            .map(|(_, value)| *value);
        match (values.next(), values.next()) {
            (None, _) => Ok(None),
            (Some(value), None) => std::str::from_utf8(value)
                .map(Some)
                .map_err(|_| Unreadable::Field(name)),
            _ => Err(Unreadable::Field(name)),
        }
    }

    /// The subject as the platform writes it; 0 where there is none.
    pub(super) fn subject(&self) -> Result<u64, Unreadable> {
        match self.find("HTTP_X_OBJECT")? {
            Some(text) if text.bytes().all(|b| b.is_ascii_hexdigit()) => {
                u64::from_str_radix(text, 16).map_err(|_| Unreadable::Field("HTTP_X_OBJECT"))
            }
            Some(_) => Err(Unreadable::Field("HTTP_X_OBJECT")),
            None => Ok(0),
        }
    }

    pub(super) fn needed(&self, name: &'static str) -> Result<&'a str, Unreadable> {
        self.find(name)?.ok_or(Unreadable::Field(name))
    }

    fn number<T: std::str::FromStr>(&self, name: &'static str) -> Result<T, Unreadable> {
        self.needed(name)?
            .parse()
            .map_err(|_| Unreadable::Field(name))
    }
}

pub(super) fn in_range(number: f32, good: bool, name: &'static str) -> Result<f32, Unreadable> {
    good.then_some(number).ok_or(Unreadable::Field(name))
}

pub(super) fn hex<const N: usize>(text: &str, name: &'static str) -> Result<[u8; N], Unreadable> {
    let digits = text
        .as_bytes()
        .try_into()
        .ok()
        .filter(|d: &[u8; N]| d.iter().all(u8::is_ascii_hexdigit));
    digits.ok_or(Unreadable::Field(name))
}

/// The one answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer<'a> {
    Completed(RunOutput<'a>),
    Rejected {
        not_elsewhere: bool,
        retry_after: TenthMillis,
    },
    Failed,
    Health {
        good: bool,
    },
    Unreadable(Unreadable),
    /// No place for it here; it was not handed to the decisions.
    NoRoom,
    UnknownRole,
}

/// Writes an answer whole, with the level that goes out on each.
pub fn write(out: &mut Vec<u8>, protocol: Protocol, id: u16, answer: Answer, level: Option<f32>) {
    let unrun = match answer {
        Answer::NoRoom => Some(ProtocolStatus::Overloaded),
        Answer::UnknownRole => Some(ProtocolStatus::UnknownRole),
        _ => None,
    };
    if let (Some(status), Protocol::FastCgi) = (unrun, protocol) {
        return fastcgi::end(out, id, status);
    }
    let (status, body): (&str, &[u8]) = match answer {
        Answer::Completed(made) => ("200 OK", made.body),
        Answer::Health { good: true } => ("200 OK", b"good\n"),
        Answer::Health { good: false } | Answer::Rejected { .. } | Answer::NoRoom => {
            ("503 Service Unavailable", b"")
        }
        Answer::Unreadable(Unreadable::TooLong) => ("413 Content Too Large", b""),
        Answer::Unreadable(Unreadable::NoRule) => ("404 Not Found", b""),
        Answer::Unreadable(Unreadable::Field(name)) => ("400 Bad Request", name.as_bytes()),
        Answer::Failed | Answer::UnknownRole => ("500 Internal Server Error", b""),
    };
    let (level, wait) = (
        level.map(|level| level.to_string()),
        retry_after(answer).to_string(),
    );
    let more = if let Answer::Completed(made) = answer {
        made.headers
    } else {
        b""
    };
    let mut headers = [("Content-Type", "application/octet-stream"); 4];
    // A server's own headers say what its body is; the engine has none.
    let mut count = usize::from(more.is_empty());
    let mut add = |name, value| {
        headers[count] = (name, value);
        count += 1;
    };
    if let Some(level) = &level {
        add("X-Load-Signal", level);
    }
    if retry_after(answer) > 0 {
        add("Retry-After-Ms", &wait);
    }
    if matches!(
        answer,
        Answer::Rejected {
            not_elsewhere: true,
            ..
        }
    ) {
        add("X-Dont-Retry", "1");
    }
    doortrack_protocols::write_answer(
        protocol,
        out,
        id,
        Head {
            status,
            headers: &headers[..count],
            more,
        },
        body,
    );
}

/// The ms for which a rejected caller is to stay away; 0 where nothing is said of it.
fn retry_after(answer: Answer) -> u64 {
    match answer {
        Answer::Rejected { retry_after, .. } => retry_after.div_ceil(MILLISECOND),
        _ => 0,
    }
}
