//! Requests of the installation's fronts, classed by its rules. Who asks there may know nothing of the
//! platform's variables: what neither a rule nor a variable says has a default.

use std::net::IpAddr;
use std::str::FromStr;
use std::sync::Arc;

use doortrack_config::Installation;
use doortrack_expr::{Request as Seen, Scratch};
use doortrack_protocols::{Pair, Protocol};
use doortrack_routes::{Built, Class, Classification, Rejection, Shadowed, Table};
use doortrack_settings::DeploymentSettings;
use doortrack_time::{MILLISECOND, TenthMillis};

use super::request::{
    Fields, IdempotencyKey, Inbound, IncomingRequest, Names, TryId, Unreadable, hex, in_range,
};

const DAY: TenthMillis = 86_400_000 * MILLISECOND;
/// Microseconds in a tenth of a ms.
const MICROS: i64 = 100;
/// Rank and memory of a request of which nothing is said.
const RANK: f32 = 0.5;

/// What the installation says of requests, with what is to be told of it. It does not change.
pub struct RuleTable {
    pub table: Arc<Table>,
    /// The group of what no rule takes.
    otherwise: Option<u8>,
    /// Rules that can never win.
    pub notes: Vec<Shadowed>,
    /// Rules that the table shares with the one before it.
    pub reused: usize,
}

impl RuleTable {
    pub fn new(
        built: Built,
        installation: &Installation,
        handed: &DeploymentSettings,
    ) -> RuleTable {
        let place = |name: &String| handed.group_names.iter().position(|group| group == name);
        let otherwise = installation
            .otherwise
            .as_ref()
            .and_then(place)
            .map(|place| place as u8);
        let Built {
            table,
            shadowed: notes,
            reused,
        } = built;
        RuleTable {
            table: Arc::new(table),
            otherwise,
            notes,
            reused,
        }
    }
}

/// How requests are classed; another table is taken up as a whole.
pub struct Rules {
    rules: RuleTable,
    scratch: Scratch,
    /// Tries that came without a name, by which they get one.
    unnamed: u64,
}

/// Where a request came from.
#[derive(Clone, Copy)]
pub struct Origin {
    pub protocol: Protocol,
    pub peer: IpAddr,
    pub now: TenthMillis,
}

impl Rules {
    pub fn new(rules: RuleTable) -> Rules {
        Rules {
            rules,
            scratch: Scratch::default(),
            unnamed: 0,
        }
    }

    pub fn table(&self) -> &Arc<Table> {
        &self.rules.table
    }

    /// Takes up another table, and goes on counting. Returns the one of before.
    pub fn replace(&mut self, new: RuleTable) -> RuleTable {
        std::mem::replace(&mut self.rules, new)
    }

    /// Reads a whole request by the rules.
    ///
    /// # Errors
    /// A field that can't be read, or a request that no rule takes where no group stands for the rest.
    pub fn read(
        &mut self,
        block: &[u8],
        body: &[u8],
        origin: Origin,
        names: &Names,
    ) -> Result<Inbound, Unreadable> {
        let pairs = origin
            .protocol
            .pairs(block)
            .map_err(|broken| Unreadable::Field(broken.0))?;
        let view = View::of(&pairs, body, origin)?;
        if view.path == "/status/live" {
            return Ok(Inbound::Health);
        }
        let class = self.classify(&view)?;
        let group = class.as_ref().map(|class| class.group);
        let group = group.or(self.rules.otherwise).ok_or(Unreadable::NoRule)?;
        let fields = Fields(&pairs);
        let tenant = match class.as_ref().and_then(|class| class.tenant) {
            Some(tenant) => tenant,
            None => names.tenant(&fields)?,
        };
        let rank = match class.as_ref().and_then(|class| class.rank) {
            Some(rank) => rank,
            None => parsed(&fields, "HTTP_X_RANK")?.unwrap_or(RANK),
        };
        // Where nobody books memory, what was read is what it takes.
        let read_kb = (block.len() + body.len()) as f32 / 1024.0;
        let kb = parsed(&fields, "HTTP_X_MEMORY_KB")?.unwrap_or(read_kb);
        let stamp_ms: Option<u64> = parsed(&fields, "HTTP_X_REQUEST_START")?;
        let try_id = match fields.find("HTTP_X_REQUEST_ID")? {
            Some(text) => hex(text, "HTTP_X_REQUEST_ID")?,
            None => self.name(),
        };
        Ok(Inbound::Request(IncomingRequest {
            try_id,
            stamp: stamp_ms.map_or(origin.now, |ms| ms.saturating_mul(MILLISECOND)),
            group,
            tenant,
            caller: parsed(&fields, "HTTP_X_CALLER")?.unwrap_or(0),
            retry: fields
                .find("HTTP_X_RETRY")?
                .is_some_and(|value| value == "1"),
            kb: in_range(kb, kb > 0.0 && kb < 2000.0, "HTTP_X_MEMORY_KB")?,
            rank: in_range(rank, (0.0..1.0).contains(&rank), "HTTP_X_RANK")?,
            idempotency_key: idempotency_key(
                names.keyed[usize::from(group)],
                class.as_ref(),
                &fields,
            )?,
            subject: class
                .as_ref()
                .and_then(|class| class.session_key)
                .map_or_else(|| fields.subject(), Ok)?,
            wait: class.as_ref().and_then(|class| class.timeout),
            pool: class.as_ref().and_then(|class| class.pool),
        }))
    }

    /// What the first rule that holds makes of a request; none where no rule holds.
    fn classify(&mut self, view: &View) -> Result<Option<Class>, Unreadable> {
        match self.rules.table.classify(view, &mut self.scratch) {
            Classification::As(class) => Ok(Some(class)),
            Classification::NoRule => Ok(None),
            Classification::Rejected {
                why: Rejection::Tenant,
                ..
            } => Err(Unreadable::Field("customer")),
            Classification::Rejected {
                why: Rejection::IdempotencyKey,
                ..
            } => Err(Unreadable::Field("idempotency_key")),
        }
    }

    /// A name for a try that came without one. Callers write hex digits, so none of theirs is like it.
    fn name(&mut self) -> TryId {
        self.unnamed += 1;
        let mut name = *b"n---------------";
        let mut rest = self.unnamed;
        for place in (1..name.len()).rev() {
            name[place] = b"ghijklmnopqrstuv"[(rest & 15) as usize];
            rest >>= 4;
        }
        name
    }
}

/// A variable that is a number, if it is there.
fn parsed<T: FromStr>(fields: &Fields, name: &'static str) -> Result<Option<T>, Unreadable> {
    let parse = |text: &str| text.parse().map_err(|_| Unreadable::Field(name));
    fields.find(name)?.map(parse).transpose()
}

/// The key of a request of a group whose requests carry one: what the rule says, or the variable.
fn idempotency_key(
    keyed: bool,
    class: Option<&Class>,
    fields: &Fields,
) -> Result<Option<IdempotencyKey>, Unreadable> {
    if !keyed {
        return Ok(None);
    }
    match class.and_then(|class| class.idempotency_key) {
        Some(key) => Ok(Some(key)),
        None => hex(
            fields.needed("HTTP_IDEMPOTENCY_KEY")?,
            "HTTP_IDEMPOTENCY_KEY",
        )
        .map(Some),
    }
}

/// A request as expressions see it.
struct View<'r> {
    pairs: &'r [Pair<'r>],
    method: &'r str,
    path: &'r str,
    query: &'r str,
    body: &'r [u8],
    origin: Origin,
}

impl<'r> View<'r> {
    /// The path is that of the request's URI, where a front end passes it on; else script and rest, of
    /// which one is mostly empty.
    fn of(pairs: &'r [Pair<'r>], body: &'r [u8], origin: Origin) -> Result<View<'r>, Unreadable> {
        let fields = Fields(pairs);
        let text = |name| Ok(fields.find(name)?.unwrap_or_default());
        let (uri, script, rest) = (
            text("REQUEST_URI")?,
            text("SCRIPT_NAME")?,
            text("PATH_INFO")?,
        );
        let (before, behind) = uri.split_once('?').unwrap_or((uri, ""));
        let path = match (before, script, rest) {
            ("", script, "") => script,
            ("", "", rest) => rest,
            // Put together they stand nowhere; what follows the script alone would be another path.
            ("", script, _) => script,
            (uri, ..) => uri,
        };
        let query = fields.find("QUERY_STRING")?.unwrap_or(behind);
        Ok(View {
            pairs,
            method: text("REQUEST_METHOD")?,
            path,
            query,
            body,
            origin,
        })
    }
}

impl Seen for View<'_> {
    fn method(&self) -> &str {
        self.method
    }

    fn path(&self) -> &str {
        self.path
    }

    fn query(&self) -> &str {
        self.query
    }

    fn variable(&self, name: &str) -> Option<&[u8]> {
        let mut found = self
            .pairs
            .iter()
            .filter(|(other, _)| *other == name.as_bytes());
        match (found.next(), found.next()) {
            (Some((_, value)), None) => Some(value),
            _ => None,
        }
    }

    fn body(&self) -> &[u8] {
        self.body
    }

    fn body_length(&self) -> u64 {
        self.body.len() as u64
    }

    fn front(&self) -> &str {
        self.origin.protocol.name()
    }

    fn peer(&self) -> IpAddr {
        self.origin.peer
    }

    fn time_of_day(&self) -> i64 {
        (self.origin.now % DAY) as i64 * MICROS
    }
}
