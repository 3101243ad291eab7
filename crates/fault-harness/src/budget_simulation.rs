//! Simulates fleet-wide budgets with the node's own `doortrack_budgets`: injects the faults of a script,
//! generates demand by node and time, and checks the limits independently.

mod limit_check;
mod message_size;
mod world;

use std::collections::BTreeMap;

use doortrack_budgets::{Budget, Parameters};
use doortrack_simulation::Distribution;

use self::world::World;
use crate::script::Script;
use crate::simulated::Cost;

/// Options of a run.
pub struct Options<'a> {
    /// Parameters of all nodes.
    pub parameters: Parameters,
    /// The budgets that are shared among the nodes.
    pub budgets: Vec<Budget>,
    /// Latency of undisturbed links.
    pub latency: Distribution,
    /// Least and greatest drift of clocks, in parts per million.
    pub drift_ppm: (i64, i64),
    /// Bound of each clock's offset, in ms, in either direction.
    pub offset_ms: i64,
    /// Requested uses a second, by node, index of the budget, and time in ms.
    pub demand: &'a dyn Fn(usize, usize, u64) -> f64,
    /// Mean time in ms for which a unit of concurrency is held; bounded by the budget's `max_hold`.
    pub mean_hold_ms: u64,
    /// Start of the counts in [`Outcome`], in ms.
    pub count_from_ms: u64,
    /// Whether the bytes of messages are counted.
    pub count_bytes: bool,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Violations of limits, described; the first of each budget.
    pub violations: Vec<String>,
    /// Uses requested since `count_from_ms`, by budget.
    pub requested: Vec<u64>,
    /// Uses admitted since `count_from_ms`, by budget.
    pub admitted: Vec<u64>,
    /// Admitted uses of the first budget since `count_from_ms`, by node.
    pub by_node: Vec<u64>,
    /// Admitted uses of the first budget, by node and tenth of a second since the start.
    pub by_time: BTreeMap<(usize, u64), u32>,
    /// Number of elections won.
    pub leaders: u64,
    /// The cost of decisions, and datagrams and bytes since `count_from_ms`.
    pub cost: Cost,
    /// Bytes sent by the node that sent most.
    pub max_bytes: u64,
    /// A hash of all messages and uses: the same for the same script and options.
    pub digest: u64,
}

/// Runs a script.
pub fn run(script: &Script, options: &Options) -> Outcome {
    World::new(script, options).run(script)
}
