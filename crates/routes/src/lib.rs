//! A rule table that classifies requests: it determines the endpoint group, tenant, session key, idempotency key,
//! rank, timeout and server pool of each request. Admission control is the job of `doortrack-admission`.
//!
//! The first rule whose condition holds wins. [`Table::build`] parses, checks and compiles the rules into an
//! immutable table and reports every [`ShadowedRule`], or returns every [`RuleError`]. [`Table::build_from`]
//! reuses the unchanged rules of a previous table.
//!
//! Conditions that compare the path, a path segment, a header or a similar attribute with string literals are
//! indexed, so the cost of a match does not grow with the number of rules. The full condition of each rule that
//! the index returns is evaluated, in rule order, so the outcome is the same as evaluating all rules. The package
//! does no I/O and reads no clock.

mod build;
mod canonical;
mod classify;
mod compile;
mod fnv1a;
mod idempotency;
mod index;
mod predicates;
mod rule;
mod shadowing;
mod table;

pub use build::BuildOutput;
pub use classify::{Class, Classification, Rejection};
pub use idempotency::{IdempotencyKey, PLATFORM_KEY_VARIABLE, key_meaning};
pub use rule::{GroupName, Names, Rule, RuleError};
pub use shadowing::ShadowedRule;
pub use table::{MAX_RULES, Table};
