//! Broken links, isolated and paused nodes, split fleets.

use doortrack_membership::{Change, Fleet, Incarnation, Parameters};
use doortrack_time::MILLISECOND;

use crate::cluster::*;

#[test]
fn a_broken_link_between_two_declares_nobody_dead() {
    let mut cluster = Cluster::new(5);
    cluster.advance(2_000);
    cluster.cut = Box::new(|from, to| from.min(to) == 0 && from.max(to) == 1);
    cluster.advance(20_000);
    assert!((0..5).all(|node| cluster.members(node) == 5));
    assert!(
        !cluster.reported(0, "dead", "n1") && !cluster.reported(1, "dead", "n0"),
        "{:?}",
        cluster.changes
    );
}

#[test]
fn a_node_without_answers_considers_itself_isolated_and_declares_nobody_dead() {
    let mut cluster = Cluster::new(5);
    cluster.advance(2_000);
    cluster.cut = Box::new(|from, to| from == 0 || to == 0);
    cluster.advance(20_000);
    assert!(cluster.fleets[0].is_isolated());
    assert_eq!(cluster.members(0), 5);
    assert!((1..5).all(|node| cluster.reported(node, "dead", "n0") && cluster.members(node) == 4));
    cluster.cut = Box::new(|_, _| false);
    cluster.advance(3_000);
    assert!(
        (0..5).all(|node| cluster.members(node) == 5 && !cluster.fleets[node].is_isolated()),
        "{:?}",
        cluster.changes
    );
}

#[test]
fn a_node_with_a_one_way_link_is_isolated_too() {
    for outward in [true, false] {
        let mut cluster = Cluster::new(5);
        cluster.advance(2_000);
        cluster.cut = Box::new(move |from, to| if outward { from == 0 } else { to == 0 });
        cluster.advance(10_000);
        assert!(cluster.fleets[0].is_isolated(), "outward {outward}");
        assert!(
            (1..5).all(|node| !cluster.reported(0, "dead", &format!("n{node}"))),
            "outward {outward}: {:?}",
            cluster.changes
        );
    }
}

#[test]
fn without_isolation_everybody_would_be_declared_dead() {
    // The safeguard taken out: silence means nothing.
    let mut cluster = Cluster::new(5);
    for node in 0..5 {
        let parameters = Parameters {
            seeds: vec![address(0), address(1)],
            max_silent_periods: u32::MAX,
            ..Parameters::default()
        };
        cluster.fleets[node] = Fleet::new(update(node, 100), parameters, 7 + node as u64, 0);
    }
    cluster.advance(2_000);
    cluster.cut = Box::new(|from, to| from == 0 || to == 0);
    cluster.advance(20_000);
    assert_eq!(cluster.members(0), 1);
}

#[test]
fn a_paused_node_reports_it_and_suspects_nobody_before_an_answer() {
    let mut cluster = Cluster::new(4);
    cluster.advance(2_000);
    cluster.stopped[0] = true;
    let due = cluster.fleets[0].next_due();
    cluster.advance(5_000);
    assert!(due < cluster.now);
    cluster.stopped[0] = false;
    // It wakes, and nothing reaches it yet.
    cluster.cut = Box::new(|_, to| to == 0);
    cluster.changes.clear();
    cluster.advance(2_500);
    let own: Vec<&Change> = cluster
        .changes
        .iter()
        .filter(|(by, _)| *by == 0)
        .map(|(_, change)| change)
        .collect();
    assert!(
        matches!(own[0], Change::Resumed { late } if *late > 4_000 * MILLISECOND),
        "{own:?}"
    );
    assert!(
        !own.iter()
            .any(|change| matches!(change.name(), "suspected" | "dead")),
        "{own:?}"
    );
}

#[test]
fn two_halves_declare_one_another_dead_and_rejoin_without_a_restart() {
    let mut cluster = Cluster::new(8);
    cluster.advance(3_000);
    cluster.cut = Box::new(|from, to| (from < 4) != (to < 4));
    cluster.advance(8_000);
    assert!(
        (0..8).all(|node| cluster.members(node) == 4),
        "{:?}",
        cluster.changes
    );
    cluster.cut = Box::new(|_, _| false);
    cluster.advance(4_000);
    assert!(
        (0..8).all(|node| cluster.members(node) == 8),
        "{:?}",
        cluster.changes
    );
    assert!(
        (0..8).all(|node| cluster.fleets[node].me().incarnation == Incarnation(100)),
        "no incarnation was given up"
    );
}
