//! Decodes requests of the installation's listeners and classifies them by its rules.
//!
//! The clients of these listeners may not send the platform's variables: a property that neither a rule nor a
//! variable sets has a default.

mod view;

use std::net::IpAddr;
use std::sync::Arc;

use doortrack_config::Installation;
use doortrack_expr::{Request as _, Scratch};
use doortrack_protocols::Protocol;
use doortrack_routes::{BuildOutput, Class, Classification, Rejection, ShadowedRule, Table};
use doortrack_settings::DeploymentSettings;
use doortrack_time::{MILLISECOND, TenthMillis};

use self::view::RequestView;
use super::request::{
    AttemptId, DecodedRequest, DeploymentNames, Fields, HEALTH_CHECK_PATH, IdempotencyKey,
    IncomingRequest, Unreadable, validate_memory_kb, validate_rank,
};

/// The rank of a request if neither a rule nor a variable sets one.
const DEFAULT_RANK: f32 = 0.5;
/// The digits 0 to 15 of generated ids, none of which is a hex digit.
const GENERATED_ID_DIGITS: &[u8; 16] = b"ghijklmnopqrstuv";

/// The rules of an installation, immutable once built.
pub struct RuleTable {
    /// The compiled rules.
    pub table: Arc<Table>,
    /// The endpoint group of requests that match no rule.
    default_group: Option<u8>,
    /// Rules that can never match.
    pub shadowed: Vec<ShadowedRule>,
    /// Number of rules that the table shares with the previous one.
    pub reused: usize,
}

impl RuleTable {
    /// Creates the rule table of `installation`; its names are resolved by the deployment's settings.
    pub fn new(
        built: BuildOutput,
        installation: &Installation,
        settings: &DeploymentSettings,
    ) -> RuleTable {
        let group_index =
            |name: &String| settings.group_names.iter().position(|group| group == name);
        let default_group = installation.fallback_group.as_ref().and_then(group_index);
        let BuildOutput {
            table,
            shadowed,
            reused,
        } = built;
        RuleTable {
            table: Arc::new(table),
            default_group: default_group.map(|index| index as u8),
            shadowed,
            reused,
        }
    }
}

/// Classifies requests by the current rules.
pub struct RequestClassifier {
    rules: RuleTable,
    scratch: Scratch,
    /// Number of attempts that arrived without an id and got a generated one.
    generated_ids: u64,
}

/// Where a request came from, and when.
#[derive(Clone, Copy)]
pub struct Origin {
    /// The client's protocol.
    pub protocol: Protocol,
    /// The client's address.
    pub peer: IpAddr,
    /// When the request had arrived completely, on the Unix clock.
    pub wall_time: TenthMillis,
}

impl RequestClassifier {
    /// Creates a classifier with these rules.
    pub fn new(rules: RuleTable) -> RequestClassifier {
        RequestClassifier {
            rules,
            scratch: Scratch::default(),
            generated_ids: 0,
        }
    }

    /// Returns the current compiled rules.
    pub fn table(&self) -> &Arc<Table> {
        &self.rules.table
    }

    /// Replaces the rules and returns the previous ones. Generated ids stay unique.
    pub fn replace(&mut self, new: RuleTable) -> RuleTable {
        std::mem::replace(&mut self.rules, new)
    }

    /// Decodes and classifies a complete request.
    ///
    /// # Errors
    /// A variable is invalid, or no rule matches and there is no default group.
    pub fn read(
        &mut self,
        variables: &[u8],
        body: &[u8],
        origin: Origin,
        names: &DeploymentNames,
    ) -> Result<DecodedRequest, Unreadable> {
        let pairs = origin
            .protocol
            .read_variables(variables)
            .map_err(|malformed| Unreadable::Field(malformed.0))?;
        let view = RequestView::new(&pairs, body, origin)?;
        if view.path() == HEALTH_CHECK_PATH {
            return Ok(DecodedRequest::HealthCheck);
        }
        let class = self.classify(&view)?;
        let group = class.as_ref().map(|class| class.group);
        let group = group
            .or(self.rules.default_group)
            .ok_or(Unreadable::NoRule)?;
        let fields = Fields(&pairs);
        // The default for a request's memory is its size.
        let read_kb = (variables.len() + body.len()) as f32 / 1024.0;
        let wall_time = origin.wall_time;
        let request =
            self.build_request(group, class.as_ref(), &fields, read_kb, wall_time, names)?;
        Ok(DecodedRequest::Request(request))
    }

    /// Combines the properties that the rule and the variables set. The rule takes precedence.
    fn build_request(
        &mut self,
        group: u8,
        class: Option<&Class>,
        fields: &Fields,
        default_memory_kb: f32,
        wall_time: TenthMillis,
        names: &DeploymentNames,
    ) -> Result<IncomingRequest, Unreadable> {
        let tenant = match class.and_then(|class| class.tenant) {
            Some(tenant) => tenant,
            None => names.tenant(fields)?,
        };
        let rank = match class.and_then(|class| class.rank) {
            Some(rank) => rank,
            None => fields.find_number("HTTP_X_RANK")?.unwrap_or(DEFAULT_RANK),
        };
        let memory_kb = fields.find_number("HTTP_X_MEMORY_KB")?;
        let start_ms: Option<u64> = fields.find_number("HTTP_X_REQUEST_START")?;
        let attempt_id = fields.find_hex("HTTP_X_REQUEST_ID")?;
        let attempt_id = attempt_id.unwrap_or_else(|| self.generate_id());
        Ok(IncomingRequest {
            attempt_id,
            arrived_at: start_ms.map_or(wall_time, |ms| ms.saturating_mul(MILLISECOND)),
            group,
            tenant,
            caller: fields.find_number("HTTP_X_CALLER")?.unwrap_or(0),
            retry: fields.is_retry()?,
            memory_kb: validate_memory_kb(memory_kb.unwrap_or(default_memory_kb))?,
            rank: validate_rank(rank)?,
            idempotency_key: idempotency_key(names, group, class, fields)?,
            session_key: match class.and_then(|class| class.session_key) {
                Some(session_key) => session_key,
                None => fields.session_key()?,
            },
            timeout: class.and_then(|class| class.timeout),
            pool: class.and_then(|class| class.pool),
        })
    }

    /// Returns the class that the first matching rule assigns; `None` if no rule matches.
    fn classify(&mut self, view: &RequestView) -> Result<Option<Class>, Unreadable> {
        match self.rules.table.classify(view, &mut self.scratch) {
            Classification::Matched(class) => Ok(Some(class)),
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

    /// Generates an id for an attempt without one. The id contains letters that are not hex digits, so it never
    /// equals a client's id.
    fn generate_id(&mut self) -> AttemptId {
        self.generated_ids += 1;
        let mut id = *b"n---------------";
        let mut rest = self.generated_ids;
        for index in (1..id.len()).rev() {
            id[index] = GENERATED_ID_DIGITS[(rest & 15) as usize];
            rest >>= 4;
        }
        id
    }
}

/// Returns the idempotency key that the rule or the variable sets, if requests of the group carry one.
fn idempotency_key(
    names: &DeploymentNames,
    group: u8,
    class: Option<&Class>,
    fields: &Fields,
) -> Result<Option<IdempotencyKey>, Unreadable> {
    if !names.idempotency_keyed[usize::from(group)] {
        return Ok(None);
    }
    match class.and_then(|class| class.idempotency_key) {
        Some(key) => Ok(Some(key)),
        None => fields.required_idempotency_key().map(Some),
    }
}
