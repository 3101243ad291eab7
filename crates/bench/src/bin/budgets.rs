//! `budgets`: measures the division of a budget among nodes: utilization under skewed demand, the time to
//! follow demand that moves and to recover from a node failure, fairness, and traffic. It runs the budget code
//! of the node in simulated time.
//!
//! Utilization is compared, under the same demand, with fixed shares of 1/N and with an allocator that knows
//! the demand at all nodes at once.

use std::sync::Arc;

use doortrack_budgets::{Budget, Kind, Parameters};
use doortrack_fault_harness::budget_simulation::{self, Options, Outcome};
use doortrack_fault_harness::history::node_name;
use doortrack_fault_harness::script::{Fault, Script, TimedFault};
use doortrack_membership::Name;
use doortrack_simulation::Distribution;

/// The limit of the budget in uses per second, and its burst.
const LIMIT: u32 = 6_000;
const LIMIT_PER_S: f64 = LIMIT as f64;
const VOTERS: usize = 5;
/// Time by which allocations have been granted; uses are counted from then on.
const WARM_UP_MS: u64 = 5_000;
/// Duration of the simulations that measure utilization.
const UTILIZATION_END_MS: u64 = 35_000;
/// Time between the graceful shutdown of a node and its restart.
const RESTART_MS: u64 = 1_000;
/// Time at which demand moves or a node dies, in the simulations that measure recovery.
const EVENT_MS: u64 = 15_000;
/// Outcomes count uses per tenth of a second.
const TENTH_MS: u64 = 100;
/// Maximum time to a recovery, and the time for which it has to last, in tenths of a second.
const MAX_RECOVERY_TENTHS: u64 = 150;
const RECOVERY_STABLE_TENTHS: u64 = 5;

/// Returns the requested uses per second for a node and a time in ms.
type Demand<'a> = &'a dyn Fn(usize, u64) -> f64;

/// One simulation.
struct Run<'a> {
    nodes: usize,
    end_ms: u64,
    count_from_ms: u64,
    faults: Vec<TimedFault>,
    demand: Demand<'a>,
}

impl Run<'_> {
    fn outcome(&self) -> Outcome {
        let script = Script {
            nodes: self.nodes,
            duration_ms: self.end_ms,
            seed: 7,
            faults: self.faults.clone(),
        };
        let restarts = Restarts::new(&self.faults);
        let options = Options {
            parameters: Parameters {
                voters: names(VOTERS.min(self.nodes)),
                ..Parameters::default()
            },
            budgets: vec![budget(self.nodes)],
            latency: Distribution::LogNormal {
                mean: 300.0,
                sigma: 0.5,
            },
            drift_ppm: (-10_000, 10_000),
            offset_ms: 500,
            demand: &|node, _, ms| restarts.demand(self.demand, node, ms),
            mean_hold_ms: 1,
            count_from_ms: self.count_from_ms,
            count_bytes: true,
        };
        let outcome = budget_simulation::run(&script, &options);
        assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
        outcome
    }
}

fn names(count: usize) -> Arc<[Name]> {
    (0..count).map(|node| Name::from(node_name(node))).collect()
}

fn budget(nodes: usize) -> Budget {
    Budget {
        name: "b".into(),
        kind: Kind::Rate { burst: LIMIT },
        limit: LIMIT,
        reserved: 0,
        reserved_for: names(nodes),
        max_per_node: LIMIT,
    }
}

/// Nodes that are restarted, with the times of their restarts in ms.
struct Restarts(Vec<(usize, u64)>);

impl Restarts {
    fn new(faults: &[TimedFault]) -> Restarts {
        let starts = faults.iter().filter_map(|timed| match &timed.fault {
            Fault::Start { nodes, .. } => Some((nodes[0], timed.at_ms)),
            _ => None,
        });
        Restarts(starts.collect())
    }

    /// Returns the demand at a node, which is 0 between its shutdown and its restart.
    fn demand(&self, demand: Demand, node: usize, ms: u64) -> f64 {
        let is_restarting = self.0.iter().any(|(restarted, start_ms)| {
            *restarted == node && ms + RESTART_MS >= *start_ms && ms < *start_ms
        });
        if is_restarting { 0.0 } else { demand(node, ms) }
    }
}

/// The number of uses that the compared ways of dividing the budget would admit.
struct Baseline {
    omniscient: f64,
    fixed_shares: f64,
}

impl Baseline {
    fn new(nodes: usize, restarts: &Restarts, demand: Demand) -> Baseline {
        let share = LIMIT_PER_S / nodes as f64;
        let mut baseline = Baseline {
            omniscient: 0.0,
            fixed_shares: 0.0,
        };
        // Each step covers 10 ms, a hundredth of a second; demand is given per second.
        for ms in (WARM_UP_MS..UTILIZATION_END_MS).step_by(10) {
            let requested: Vec<f64> = (0..nodes)
                .map(|node| restarts.demand(demand, node, ms))
                .collect();
            let within_shares: f64 = requested.iter().map(|uses| uses.min(share)).sum();
            baseline.omniscient += requested.iter().sum::<f64>().min(LIMIT_PER_S) / 100.0;
            baseline.fixed_shares += within_shares / 100.0;
        }
        baseline
    }
}

fn print_utilization(title: &str, nodes: usize, faults: Vec<TimedFault>, demand: Demand) {
    let baseline = Baseline::new(nodes, &Restarts::new(&faults), demand);
    let outcome = Run {
        nodes,
        end_ms: UTILIZATION_END_MS,
        count_from_ms: WARM_UP_MS,
        faults,
        demand,
    }
    .outcome();
    println!(
        "{title}, {nodes} nodes: {:.3} of the uses that an omniscient allocator admits; fixed shares {:.3}",
        outcome.admitted[0] as f64 / baseline.omniscient,
        baseline.fixed_shares / baseline.omniscient
    );
}

/// Returns the demand of a node: nine tenths of the limit at `hot_node`, a small part of it at each other node.
fn skewed(nodes: usize, hot_node: usize, node: usize) -> f64 {
    if hot_node == node {
        LIMIT_PER_S * 0.9
    } else {
        LIMIT_PER_S * 0.2 / nodes as f64
    }
}

/// Demand that moves to another node after each `period_ms`.
fn moving(nodes: usize, period_ms: u64) -> impl Fn(usize, u64) -> f64 {
    move |node, ms| skewed(nodes, (ms / period_ms) as usize % nodes, node)
}

/// Restarts of six in ten nodes, one after the other within 7 s.
fn rolling_restart(nodes: usize) -> Vec<TimedFault> {
    let restarted = nodes * 6 / 10;
    let restart = |node: usize| {
        let leave_ms = 12_000 + 7_000 * node as u64 / restarted as u64;
        let leave = TimedFault {
            at_ms: leave_ms,
            fault: Fault::Leave { nodes: vec![node] },
        };
        let start = TimedFault {
            at_ms: leave_ms + RESTART_MS,
            fault: Fault::Start {
                nodes: vec![node],
                clock_ms: 0,
            },
        };
        [leave, start]
    };
    (0..restarted).flat_map(restart).collect()
}

fn measure_utilization() {
    for nodes in [9, 30] {
        let constant = move |node: usize, _: u64| skewed(nodes, 7, node);
        print_utilization("skewed, always the same node", nodes, vec![], &constant);
        let slow = moving(nodes, 5_000);
        print_utilization("skewed, another node every 5 s", nodes, vec![], &slow);
        let title = "the same while six in ten are replaced within 7 s";
        print_utilization(title, nodes, rolling_restart(nodes), &slow);
        let fast = moving(nodes, 1_000);
        print_utilization("moving every second", nodes, vec![], &fast);
    }
}

/// Returns the time from [`EVENT_MS`] until one node, or all together, admit at least `threshold` uses in each of
/// [`RECOVERY_STABLE_TENTHS`] successive tenths of a second.
fn recovery_time(outcome: &Outcome, threshold: f64, node: Option<usize>) -> String {
    let used = |tenth: u64| match node {
        Some(node) => outcome.by_time.get(&(node, tenth)).copied().unwrap_or(0),
        None => used_by_all(outcome, tenth),
    };
    let event = EVENT_MS / TENTH_MS;
    let has_recovered = |tenth: &u64| {
        (*tenth..tenth + RECOVERY_STABLE_TENTHS).all(|tenth| f64::from(used(tenth)) >= threshold)
    };
    (event..event + MAX_RECOVERY_TENTHS)
        .find(has_recovered)
        .map_or("never".into(), |tenth| {
            format!("{} ms", (tenth - event) * TENTH_MS)
        })
}

fn used_by_all(outcome: &Outcome, tenth: u64) -> u32 {
    outcome
        .by_time
        .iter()
        .filter(|((_, at), _)| *at == tenth)
        .map(|(_, count)| *count)
        .sum()
}

fn measure_moved_demand() {
    let moved = |node: usize, ms: u64| match (node, ms < EVENT_MS) {
        (6, true) | (7, false) => LIMIT_PER_S * 1.2,
        _ => LIMIT_PER_S * 0.01,
    };
    let outcome = Run {
        nodes: 9,
        end_ms: 25_000,
        count_from_ms: 0,
        faults: vec![],
        demand: &moved,
    }
    .outcome();
    let recovery = recovery_time(&outcome, 0.8 * LIMIT_PER_S * 0.9 / 10.0, Some(7));
    println!("demand that moves is followed to 80% after {recovery}");
}

fn measure_deaths() {
    let excessive = |node: usize, _: u64| LIMIT_PER_S * if node == 8 { 2.0 } else { 0.5 };
    for (role, node) in [
        ("a holder", 8),
        ("a voter", 0),
        ("a voter", 1),
        ("a voter", 2),
        ("a voter", 3),
        ("a voter", 4),
    ] {
        let death = TimedFault {
            at_ms: EVENT_MS,
            fault: Fault::Kill { nodes: vec![node] },
        };
        let outcome = Run {
            nodes: 9,
            end_ms: 30_000,
            count_from_ms: 0,
            faults: vec![death],
            demand: &excessive,
        }
        .outcome();
        let recovery = recovery_time(&outcome, 0.93 * LIMIT_PER_S / 10.0, None);
        println!(
            "{role} dies ({} leaders in all): 93% of the limit in use again after {recovery}",
            outcome.leaders
        );
    }
}

/// Jain's fairness index: 1 if all shares are equal, 1/N if one node has everything.
fn jain_index(shares: &[u64]) -> f64 {
    let sum: f64 = shares.iter().map(|share| *share as f64).sum();
    let squares: f64 = shares.iter().map(|share| (*share as f64).powi(2)).sum();
    sum * sum / (shares.len() as f64 * squares.max(1.0))
}

fn measure_fairness() {
    let equal = |_: usize, _: u64| LIMIT_PER_S * 0.3;
    for nodes in [9, 30] {
        let outcome = run_without_faults(nodes, UTILIZATION_END_MS, &equal);
        println!(
            "equal need, {nodes} nodes: Jain's index {:.4}, {:.3} of the limit used",
            jain_index(&outcome.by_node),
            outcome.admitted[0] as f64 / (LIMIT_PER_S * 30.0)
        );
    }
}

fn run_without_faults(nodes: usize, end_ms: u64, demand: Demand) -> Outcome {
    Run {
        nodes,
        end_ms,
        count_from_ms: WARM_UP_MS,
        faults: vec![],
        demand,
    }
    .outcome()
}

/// Measures how much allocations vary under constant demand.
fn measure_stability() {
    let constant =
        |node: usize, _: u64| LIMIT_PER_S * if node.is_multiple_of(2) { 0.4 } else { 0.6 };
    let outcome = run_without_faults(2, UTILIZATION_END_MS, &constant);
    let used_in = |second: u64| -> u32 {
        (second * 10..second * 10 + 10)
            .filter_map(|tenth| outcome.by_time.get(&(0, tenth)))
            .sum()
    };
    let by_second: Vec<u32> = (10..35).map(used_in).collect();
    println!("two nodes that need 0.4 and 0.6: the first uses {by_second:?} a second");
}

fn measure_traffic() {
    for nodes in [10, 30, 100, 300, 1_000, 3_000] {
        let demand = move |_: usize, _: u64| LIMIT_PER_S * 0.8 / nodes as f64;
        let outcome = run_without_faults(nodes, 15_000, &demand);
        let cost = &outcome.cost;
        let per_node_and_second = |count: u64| count as f64 / nodes as f64 / 10.0;
        println!(
            "{nodes} nodes: {:.1} datagrams and {:.0} bytes a second sent by each, {:.0} bytes by the \
             leader; {:.0} ns an event; {:.3} used",
            per_node_and_second(cost.datagrams),
            per_node_and_second(cost.bytes),
            outcome.max_bytes as f64 / 10.0,
            cost.decisions_ns as f64 / cost.events.max(1) as f64,
            outcome.admitted[0] as f64 / outcome.requested[0].max(1) as f64,
        );
    }
}

fn main() {
    measure_utilization();
    measure_moved_demand();
    measure_deaths();
    measure_fairness();
    measure_stability();
    measure_traffic();
}
