//! A table of rules that classes requests: which endpoint group, tenant, subject, key, rank, due time
//! and pool of servers each has. It never admits or rejects; that is the decisions' job.
//!
//! Rules are tried in order and the first whose condition holds wins. [`Table::build`] reads and checks all
//! of them and gives a table that does not change, with [`ShadowedRule`]s on rules that can never win; or every
//! [`RuleError`]. Conditions that compare the path, a segment, a header or the like with known texts are lifted
//! into an index, so that what a match costs does not grow with the number of rules; what the index offers
//! is still asked its whole condition, in order, so the outcome is that of trying all. No I/O, no clock.
//! [`Table::build_from`] takes over from a previous table what did not change.

mod build;
mod classify;
mod compile;
mod fnv1a;
mod index;
mod predicates;
mod rule;
mod shadowing;
mod table;

pub use build::BuildOutput;
pub use classify::{Class, Classification, Rejection};
pub use rule::{GroupName, Names, Rule, RuleError};
pub use shadowing::ShadowedRule;
pub use table::{MAX_RULES, Table};
