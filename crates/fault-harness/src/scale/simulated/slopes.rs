//! What calm costs by role, over the nodes of a fleet and over its budgets.

use super::scenario::{CALM_S, Scenario};
use super::topology::Topology;
use super::world::{Played, play};
use crate::scale::series::{Dimension, Point, Quantity, Role, Series};

/// Nodes of the fleets whose calm is measured; the last is the size of two years.
pub const NODES: [usize; 5] = [50, 100, 200, 400, 770];
/// Budgets at fixed size.
pub const BUDGETS: [usize; 5] = [1, 10, 40, 120, 250];
const MS: u64 = CALM_S.end as u64 * 1_000;
const ROLES: [Role; 3] = [Role::Node, Role::Voter, Role::Leader];
const QUANTITIES: [Quantity; 4] = [
    Quantity::BytesInPerSecond,
    Quantity::BytesOutPerSecond,
    Quantity::DatagramsInPerSecond,
    Quantity::DatagramsOutPerSecond,
];

/// The traffic of each role in calm, in the order of [`QUANTITIES`].
#[derive(Clone, Copy, Debug, PartialEq)]
struct ByRole {
    size: f64,
    means: [[f64; QUANTITIES.len()]; ROLES.len()],
}

fn measure(size: usize, topology: Topology, played: &Played) -> ByRole {
    let (from, till) = (CALM_S.start, CALM_S.end);
    let leader = played.leaders.get(from).copied().flatten();
    let nodes: Vec<usize> = (0..topology.nodes).collect();
    let voters: Vec<usize> = topology
        .voters()
        .filter(|voter| Some(*voter) != leader)
        .collect();
    let leaders: Vec<usize> = leader.into_iter().collect();
    let means = [nodes, voters, leaders].map(|machines| played.traffic.mean(from, till, &machines));
    ByRole {
        size: size as f64,
        means,
    }
}

fn series(dimension: Dimension, held: &str, sizes: &[ByRole]) -> Vec<Series> {
    let mut list = Vec::new();
    for (place, role) in ROLES.into_iter().enumerate() {
        for (nth, quantity) in QUANTITIES.into_iter().enumerate() {
            let point = |by_role: &ByRole| Point {
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

/// One play of one size.
fn by_role(size: usize, scenario: &Scenario, seed: u64) -> ByRole {
    measure(size, scenario.topology, &play(scenario, seed))
}

/// Traffic over nodes, under two budgets.
pub fn over_nodes(sizes: &[usize], seed: u64) -> Vec<Series> {
    let one = |nodes: &usize| {
        by_role(
            *nodes,
            &Scenario::calm(Topology { nodes: *nodes }, MS),
            seed,
        )
    };
    series(
        Dimension::Nodes,
        "two budgets",
        &sizes.iter().map(one).collect::<Vec<_>>(),
    )
}

/// Traffic over budgets, in a fleet of fixed size.
pub fn over_budgets(nodes: usize, sizes: &[usize], seed: u64) -> Vec<Series> {
    let one = |budgets: &usize| {
        by_role(
            *budgets,
            &Scenario::budgets(Topology { nodes }, *budgets, MS),
            seed,
        )
    };
    series(
        Dimension::Budgets,
        &format!("{nodes} nodes"),
        &sizes.iter().map(one).collect::<Vec<_>>(),
    )
}
