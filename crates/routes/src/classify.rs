//! What one request is, by the rule that takes it.

use doortrack_expr::{Request, Scratch, Value};
use doortrack_time::TenthMillis;
use sha2::{Digest, Sha256};

use crate::{Table, tenths};

/// What a request was classed as. What a rule does not say is left to who reads the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// The place of the rule that took it.
    pub rule: u32,
    /// The place of its endpoint group.
    pub group: u8,
    /// The place of its tenant.
    pub tenant: Option<u16>,
    /// What it is about, none where it has no subject. Never 0.
    pub subject: Option<u64>,
    /// A digest of its idempotency key.
    pub idempotency_key: Option<[u8; 32]>,
    /// From 0 to under 1.
    pub rank: Option<f32>,
    /// How long its caller waits.
    pub due: Option<TenthMillis>,
    /// The place of the pool of servers that it goes to.
    pub pool: Option<u16>,
}

/// Why a request that a rule took can't be classed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Its tenant is absent, or none of those known.
    Tenant,
    /// Its group is deduplicated and its key is absent or empty: with an empty one all would be one
    /// request.
    IdempotencyKey,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Classed {
    As(Class),
    Refused {
        rule: u32,
        why: Refusal,
    },
    /// No rule takes it.
    NoRule,
}

/// The largest float under 1.
const UNDER_ONE: f32 = 1.0 - f32::EPSILON / 2.0;

impl Table {
    /// Classes one request by the first rule whose condition holds.
    pub fn classify<R: Request>(&self, request: &R, scratch: &mut Scratch) -> Classed {
        let found = self.index.first(request, |rule| {
            self.rules[rule as usize].when.is_true(request, scratch)
        });
        found.map_or(Classed::NoRule, |rule| self.class(rule, request, scratch))
    }

    /// The same with every rule asked in its order; for comparison.
    pub fn classify_in_order<R: Request>(&self, request: &R, scratch: &mut Scratch) -> Classed {
        let found = self
            .rules
            .iter()
            .position(|rule| rule.when.is_true(request, scratch));
        found.map_or(Classed::NoRule, |rule| {
            self.class(rule as u32, request, scratch)
        })
    }

    fn class<R: Request>(&self, rule: u32, request: &R, scratch: &mut Scratch) -> Classed {
        let of = &self.rules[rule as usize];
        let refused = |why| Classed::Refused { rule, why };
        let mut tenant = None;
        if let Some(program) = &of.tenant {
            let value = program.eval(request, scratch);
            let name = std::str::from_utf8(text(value, scratch)).unwrap_or_default();
            match self.tenants.get(name) {
                Some(place) => tenant = Some(*place),
                None => return refused(Refusal::Tenant),
            }
        }
        let mut key = None;
        if let Some(program) = of
            .idempotency_key
            .as_ref()
            .filter(|_| self.environment.groups[usize::from(of.group)].1)
        {
            let value = program.eval(request, scratch);
            match text(value, scratch) {
                [] => return refused(Refusal::IdempotencyKey),
                bytes => key = Some(Sha256::digest(bytes).into()),
            }
        }
        let subject =
            of.subject
                .as_ref()
                .and_then(|program| match program.eval(request, scratch) {
                    Value::Int(n) => Some(spread(n as u64)),
                    value => Some(text(value, scratch))
                        .filter(|bytes| !bytes.is_empty())
                        .map(|bytes| {
                            let mix = |hash: u64, byte: &u8| {
                                (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
                            };
                            spread(bytes.iter().fold(0xcbf2_9ce4_8422_2325, mix))
                        }),
                });
        let rank = of
            .rank
            .as_ref()
            .and_then(|program| match program.eval(request, scratch) {
                Value::Float(rank) => Some((rank as f32).clamp(0.0, UNDER_ONE)),
                _ => None,
            });
        let due = of
            .due
            .as_ref()
            .and_then(|program| match program.eval(request, scratch) {
                Value::Duration(micros) => Some(tenths(micros)),
                _ => None,
            });
        Classed::As(Class {
            rule,
            group: of.group,
            tenant,
            subject,
            idempotency_key: key,
            rank,
            due,
            pool: of.pool,
        })
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

/// Spreads a number over all bits, so that near ones are not near; 0 is kept free, as it stands for no
/// subject.
fn spread(n: u64) -> u64 {
    let mut n = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (n ^ (n >> 31)).max(1)
}
