//! What a fleet costs as it grows: each quantity measured at several sizes, with the slope through them.
//!
//! A fleet of some hundred nodes does not fit one machine as processes. Most of its nodes are *hollow*: they
//! run the node's own link, codec, membership and budgets on a socket of their own, serve nobody, and share a
//! process and a loop ([`hollow`]). Beside them run real `doortrack serve` processes under load, and one
//! process for each voter. [`plan`] lays a fleet out, [`fleet`] starts and ends it, [`measure`] takes the
//! figures, [`sweep`] plays one fleet for each size, [`fit`] and [`table`] make slopes and text of them.
//! What one real node costs by its settings and callers is measured by [`node_cost`].

pub mod added;
pub mod child;
pub mod command;
pub mod error;
pub mod fault_report;
pub mod faults;
pub mod fit;
pub mod fleet;
pub mod hollow;
pub mod losses;
pub mod measure;
pub mod node_cost;
pub mod plan;
pub mod probe;
pub mod protocol;
pub mod series;
pub mod serving;
pub mod settle;
pub mod simulated;
pub mod sweep;
pub mod table;
pub mod watchdog;
