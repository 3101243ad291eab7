//! Measures fault-free traffic by role, by number of nodes and by number of budgets.

use super::scenario::{BASELINE_SECONDS, Scenario};
use super::topology::Topology;
use super::world::{SimulationResult, simulate};
use crate::scale::series::{Dimension, Point, Quantity, Role, Series};

/// Fleet sizes; the last is the expected size in two years.
pub const NODES: [usize; 5] = [50, 100, 200, 400, 770];
/// Budget counts for a fleet of fixed size.
pub const BUDGETS: [usize; 5] = [1, 10, 40, 120, 250];
const DURATION_MS: u64 = BASELINE_SECONDS.end as u64 * 1_000;
const ROLES: [Role; 3] = [Role::Node, Role::Voter, Role::Leader];
const QUANTITIES: [Quantity; 4] = [
    Quantity::BytesInPerSecond,
    Quantity::BytesOutPerSecond,
    Quantity::DatagramsInPerSecond,
    Quantity::DatagramsOutPerSecond,
];

/// Mean fault-free traffic of each role, in the order of [`QUANTITIES`].
#[derive(Clone, Copy, Debug, PartialEq)]
struct RoleMeans {
    size: f64,
    means: [[f64; QUANTITIES.len()]; ROLES.len()],
}

fn measure(size: usize, topology: Topology, results: &SimulationResult) -> RoleMeans {
    let (from, until) = (BASELINE_SECONDS.start, BASELINE_SECONDS.end);
    let leader = results.leaders.get(from).copied().flatten();
    let nodes: Vec<usize> = (0..topology.nodes).collect();
    let voters: Vec<usize> = topology
        .voters()
        .filter(|voter| Some(*voter) != leader)
        .collect();
    let leaders: Vec<usize> = leader.into_iter().collect();
    let means =
        [nodes, voters, leaders].map(|machines| results.traffic.mean(from, until, &machines));
    RoleMeans {
        size: size as f64,
        means,
    }
}

fn series(dimension: Dimension, held: &str, sizes: &[RoleMeans]) -> Vec<Series> {
    let mut list = Vec::new();
    for (place, role) in ROLES.into_iter().enumerate() {
        for (nth, quantity) in QUANTITIES.into_iter().enumerate() {
            let point = |by_role: &RoleMeans| Point {
                size: by_role.size,
                value: by_role.means[place][nth],
            };
            let points = sizes.iter().map(point).collect();
            list.push(Series {
                role,
                quantity,
                dimension,
                held: held.to_string(),
                points,
            });
        }
    }
    list
}

/// Simulates and measures one size.
fn by_role(size: usize, scenario: &Scenario, seed: u64) -> RoleMeans {
    measure(size, scenario.topology, &simulate(scenario, seed))
}

/// Measures traffic by number of nodes, with two budgets.
pub fn over_nodes(sizes: &[usize], seed: u64) -> Vec<Series> {
    let one = |nodes: &usize| {
        by_role(
            *nodes,
            &Scenario::without_faults(Topology { nodes: *nodes }, DURATION_MS),
            seed,
        )
    };
    series(
        Dimension::Nodes,
        "two budgets",
        &sizes.iter().map(one).collect::<Vec<_>>(),
    )
}

/// Measures traffic by number of budgets, in a fleet of fixed size.
pub fn over_budgets(nodes: usize, sizes: &[usize], seed: u64) -> Vec<Series> {
    let one = |budgets: &usize| {
        by_role(
            *budgets,
            &Scenario::budgets(Topology { nodes }, *budgets, DURATION_MS),
            seed,
        )
    };
    series(
        Dimension::Budgets,
        &format!("{nodes} nodes"),
        &sizes.iter().map(one).collect::<Vec<_>>(),
    )
}
