//! Classifies a request by the first rule that matches.

use doortrack_expr::{Request, Scratch, Value};
use doortrack_time::{MICROSECONDS_PER_UNIT, TenthMillis};

use crate::compile::CompiledRule;
use crate::fnv1a;
use crate::idempotency::{IdempotencyKey, KeyValue};
use crate::table::Table;

/// The properties that a rule assigns to a request. Those that are `None` are determined without the rule, such as
/// from the variables of the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Index of the rule that matched.
    pub rule: u32,
    /// Index of the endpoint group.
    pub group: u8,
    /// Index of the tenant.
    pub tenant: Option<u16>,
    /// Hash of the session key, if there is one. Never 0.
    pub session_key: Option<u64>,
    /// The idempotency key.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Rank, at least 0 and less than 1.
    pub rank: Option<f32>,
    /// How long the caller waits.
    pub timeout: Option<TenthMillis>,
    /// Index of the server pool that the request is sent to.
    pub pool: Option<u16>,
}

/// Why a request that matches a rule can't be classified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The tenant is absent or unknown.
    Tenant,
    /// The group is deduplicated and the idempotency key is absent or empty. With an empty key all such requests
    /// would count as duplicates of one another.
    IdempotencyKey,
}

/// The outcome of classifying a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Classification {
    /// A rule matched.
    Matched(Class),
    /// A rule matched, but the request lacks a property that it needs.
    Rejected {
        /// Index of the rule.
        rule: u32,
        /// The missing property.
        why: Rejection,
    },
    /// No rule matched.
    NoRule,
}

/// The largest `f32` below 1.
const MAX_RANK: f32 = 1.0 - f32::EPSILON / 2.0;

impl Table {
    /// Classifies a request by the first rule whose condition holds.
    pub fn classify<R: Request>(&self, request: &R, scratch: &mut Scratch) -> Classification {
        let found = self.index.first_match(request, |rule| {
            self.rules[rule as usize].when.is_true(request, scratch)
        });
        found.map_or(Classification::NoRule, |rule| {
            self.class(rule, request, scratch)
        })
    }

    /// As [`Table::classify`], but evaluates all rules in order without the index. Tests compare the two.
    pub fn classify_in_order<R: Request>(
        &self,
        request: &R,
        scratch: &mut Scratch,
    ) -> Classification {
        let found = self
            .rules
            .iter()
            .position(|rule| rule.when.is_true(request, scratch));
        found.map_or(Classification::NoRule, |rule| {
            self.class(rule as u32, request, scratch)
        })
    }

    fn class<R: Request>(&self, index: u32, request: &R, scratch: &mut Scratch) -> Classification {
        let rule = &self.rules[index as usize];
        let rejected = |why| Classification::Rejected { rule: index, why };
        let tenant = match self.tenant(rule, request, scratch) {
            Ok(tenant) => tenant,
            Err(why) => return rejected(why),
        };
        let idempotency_key = match self.idempotency_key(rule, request, scratch) {
            Ok(key) => key,
            Err(why) => return rejected(why),
        };
        let session_key = rule
            .session_key
            .as_ref()
            .and_then(|program| session_key(program.eval(request, scratch), scratch));
        let rank = rule
            .rank
            .as_ref()
            .and_then(|program| rank(program.eval(request, scratch)));
        let timeout = rule
            .timeout
            .as_ref()
            .and_then(|program| timeout(program.eval(request, scratch)));
        Classification::Matched(Class {
            rule: index,
            group: rule.group,
            tenant,
            session_key,
            idempotency_key,
            rank,
            timeout,
            pool: rule.pool,
        })
    }

    fn tenant<R: Request>(
        &self,
        rule: &CompiledRule,
        request: &R,
        scratch: &mut Scratch,
    ) -> Result<Option<u16>, Rejection> {
        let Some(program) = &rule.tenant else {
            return Ok(None);
        };
        let value = program.eval(request, scratch);
        let name = std::str::from_utf8(text(value, scratch)).unwrap_or_default();
        match self.tenants.get(name) {
            Some(index) => Ok(Some(*index)),
            None => Err(Rejection::Tenant),
        }
    }

    /// Returns the idempotency key, or `None` if the group is not deduplicated or the rule does not determine a key.
    fn idempotency_key<R: Request>(
        &self,
        rule: &CompiledRule,
        request: &R,
        scratch: &mut Scratch,
    ) -> Result<Option<IdempotencyKey>, Rejection> {
        let group = &self.environment.groups[usize::from(rule.group)];
        let Some(expression) = rule.idempotency_key.as_ref().filter(|_| group.deduplicated) else {
            return Ok(None);
        };
        match expression.eval(request, scratch) {
            KeyValue::Key(key) => Ok(Some(key)),
            KeyValue::Absent | KeyValue::Empty => Err(Rejection::IdempotencyKey),
        }
    }
}

fn session_key(value: Value, scratch: &Scratch) -> Option<u64> {
    if let Value::Int(n) = value {
        return Some(splitmix64(n as u64));
    }
    match text(value, scratch) {
        [] => None,
        bytes => Some(splitmix64(fnv1a::hash(bytes))),
    }
}

fn rank(value: Value) -> Option<f32> {
    match value {
        Value::Float(rank) => Some((rank as f32).clamp(0.0, MAX_RANK)),
        _ => None,
    }
}

fn timeout(value: Value) -> Option<TenthMillis> {
    match value {
        Value::Duration(microseconds) => Some(from_microseconds(microseconds)),
        _ => None,
    }
}

/// Returns the bytes of a string; an absent string has none.
fn text<'s, 'v: 's>(value: Value<'v>, scratch: &'s Scratch) -> &'s [u8] {
    if let Value::Text(text) = value {
        scratch.text(text)
    } else {
        &[]
    }
}

/// Mixes the bits of a number with SplitMix64, so that consecutive numbers do not give related keys. The result is
/// never 0, which stands for no session key.
fn splitmix64(n: u64) -> u64 {
    let mut n = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (n ^ (n >> 31)).max(1)
}

/// Converts microseconds, rounded down. A negative duration becomes 0.
fn from_microseconds(microseconds: i64) -> TenthMillis {
    microseconds.max(0) as u64 / MICROSECONDS_PER_UNIT
}
