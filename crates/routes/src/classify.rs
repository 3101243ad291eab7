//! Classifying one request by the first rule that matches.

use doortrack_expr::{Request, Scratch, Value};
use doortrack_time::{MICROSECONDS_PER_UNIT, TenthMillis};
use sha2::{Digest, Sha256};

use crate::compile::Compiled;
use crate::fnv1a;
use crate::table::Table;

/// What a rule says of a request. What it does not say is taken from the request's own fields.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// The index of the rule that matched.
    pub rule: u32,
    /// The index of its endpoint group.
    pub group: u8,
    /// The index of its tenant.
    pub tenant: Option<u16>,
    /// Identifies its session, if it has one. Never 0.
    pub session_key: Option<u64>,
    /// A digest of its idempotency key.
    pub idempotency_key: Option<[u8; 32]>,
    /// From 0 to under 1.
    pub rank: Option<f32>,
    /// How long its caller waits.
    pub timeout: Option<TenthMillis>,
    /// The index of the pool of servers that it goes to.
    pub pool: Option<u16>,
}

/// Why a request that a rule took can't be classed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Its tenant is absent, or none of those known.
    Tenant,
    /// Its group is deduplicated and its key is absent or empty: with an empty one all would be one
    /// request.
    IdempotencyKey,
}

/// The outcome of classifying a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Classification {
    /// A rule matched.
    Matched(Class),
    /// A rule matched, but lacks something that the request has to have.
    Rejected {
        /// The index of the rule.
        rule: u32,
        /// What is missing.
        why: Rejection,
    },
    /// No rule matched.
    NoRule,
}

/// The largest float under 1.
const UNDER_ONE: f32 = 1.0 - f32::EPSILON / 2.0;

impl Table {
    /// Classes one request by the first rule whose condition holds.
    pub fn classify<R: Request>(&self, request: &R, scratch: &mut Scratch) -> Classification {
        let found = self.index.first(request, |rule| {
            self.rules[rule as usize].when.is_true(request, scratch)
        });
        found.map_or(Classification::NoRule, |rule| {
            self.class(rule, request, scratch)
        })
    }

    /// The same with every rule asked in its order; for comparison.
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
        rule: &Compiled,
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

    /// A digest of the idempotency key; none where the group has no keys, or the rule does not say.
    fn idempotency_key<R: Request>(
        &self,
        rule: &Compiled,
        request: &R,
        scratch: &mut Scratch,
    ) -> Result<Option<[u8; 32]>, Rejection> {
        let group = &self.environment.groups[usize::from(rule.group)];
        let Some(program) = rule.idempotency_key.as_ref().filter(|_| group.deduplicated) else {
            return Ok(None);
        };
        let value = program.eval(request, scratch);
        match text(value, scratch) {
            [] => Err(Rejection::IdempotencyKey),
            bytes => Ok(Some(Sha256::digest(bytes).into())),
        }
    }
}

fn session_key(value: Value, scratch: &Scratch) -> Option<u64> {
    if let Value::Int(n) = value {
        return Some(spread(n as u64));
    }
    match text(value, scratch) {
        [] => None,
        bytes => Some(spread(fnv1a::hash(bytes))),
    }
}

fn rank(value: Value) -> Option<f32> {
    match value {
        Value::Float(rank) => Some((rank as f32).clamp(0.0, UNDER_ONE)),
        _ => None,
    }
}

fn timeout(value: Value) -> Option<TenthMillis> {
    match value {
        Value::Duration(microseconds) => Some(from_microseconds(microseconds)),
        _ => None,
    }
}

/// Bytes of a text; none where it is absent.
fn text<'s, 'v: 's>(value: Value<'v>, scratch: &'s Scratch) -> &'s [u8] {
    if let Value::Text(text) = value {
        scratch.text(text)
    } else {
        &[]
    }
}

/// SplitMix64: spreads a number over all bits, so that neighbours are far apart; 0 is kept free, as it stands for no
/// session.
fn spread(n: u64) -> u64 {
    let mut n = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (n ^ (n >> 31)).max(1)
}

/// From microseconds, rounded down; a negative duration is none.
fn from_microseconds(microseconds: i64) -> TenthMillis {
    microseconds.max(0) as u64 / MICROSECONDS_PER_UNIT
}
