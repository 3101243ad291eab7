//! A table of rules that classes requests: which endpoint group, tenant, subject, key, rank, due time
//! and pool of servers each has. It never admits or rejects; that is the decisions' job.
//!
//! Rules are tried in order and the first whose condition holds wins. [`Table::build`] reads and checks all
//! of them and gives a table that does not change, with [`Note`]s on rules that can never win; or every
//! [`Fault`]. Conditions that compare the path, a segment, a header or the like with known texts are lifted
//! into an index, so that what a match costs does not grow with the number of rules; what the index offers
//! is still asked its whole condition, in order, so the outcome is that of trying all. No I/O, no clock.
//! [`Table::build_from`] takes over from a previous table what did not change.

mod build;
mod classify;
mod compile;
mod index;
mod lift;
mod shadows;

use doortrack_time::TenthMillis;
use std::sync::Arc;

pub use build::{Built, Fault, Names, Note, Rule};
pub use classify::{Class, Classed, Refusal};

/// Rules that one table may have.
pub const MOST_RULES: usize = 100_000;

/// Rules in their order, with an index over their conditions. It is never changed: a new one takes its
/// place as a whole.
#[derive(Debug)]
pub struct Table {
    rules: Vec<Arc<compile::Compiled>>,
    index: index::Index,
    tenants: Arc<rustc_hash::FxHashMap<Box<str>, u16>>,
    /// Names that rules may use; of groups also whether their requests carry an idempotency key.
    environment: build::Environment,
}

impl Table {
    /// The number of rules.
    pub fn len(&self) -> usize {
        self.rules.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// Rules that are in no index and are asked of every request.
    pub fn unindexed(&self) -> usize {
        self.index.rest()
    }
}

/// Microseconds in a tenth of a ms.
pub(crate) const MICROS: i64 = 100;

pub(crate) fn tenths(micros: i64) -> TenthMillis {
    (micros.max(0) / MICROS) as TenthMillis
}
