//! Measures the resource usage of fleets of several sizes and fits a line through each quantity.
//!
//! One machine can't run several hundred nodes as separate processes. Most nodes are therefore *hollow*: each
//! runs the node's own peer link, codec, membership and budgets on its own socket, but serves no requests and
//! shares a process and an event loop with others ([`hollow`]). Real `doortrack serve` processes under load
//! and one process for each voter run beside them. [`plan`] defines the layout of a fleet, [`fleet`] starts
//! and stops it, [`measure`] computes the figures, [`sweep`] runs one fleet for each size, and [`fit`] and
//! [`table`] fit lines and format tables. [`node_cost`] measures a single real node by its settings and callers.

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
