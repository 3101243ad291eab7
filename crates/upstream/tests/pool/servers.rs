//! Servers: failure, ejection, recovery, addition and removal.

use std::collections::BTreeSet;

use doortrack_time::{MILLISECOND, TenthMillis};
use doortrack_upstream::{OutlierConfig, PoolConfig, RunEnd, ServerId};
use fastrand::Rng;

use crate::simulation::*;

/// The server that misbehaves, one of four.
const OUTLIER: ServerId = 2;

/// The share of runs that complete with one outlier among four servers, measured after the outlier
/// had time to be ejected.
fn load_with_outlier(config: PoolConfig, behavior: Behavior) -> (f64, Simulation) {
    let mut simulation = Simulation::new(config, 4, 2);
    simulation.behaviors.insert(OUTLIER, behavior);
    let (interval, duration, measured_after) =
        (5 * MILLISECOND, 20_000 * MILLISECOND, 4_000 * MILLISECOND);
    let share = simulation.load(0, interval, duration, measured_after);
    (share, simulation)
}

fn sent_to_outlier(simulation: &Simulation) -> usize {
    simulation
        .sent
        .values()
        .flatten()
        .filter(|server| **server == OUTLIER)
        .count()
}

#[test]
fn one_outlier_of_four_has_little_effect_and_recovers_gradually() {
    let never_ejected = OutlierConfig {
        consecutive_failures: u32::MAX,
        ..config().outlier
    };
    let without_ejection = PoolConfig {
        outlier: never_ejected,
        ..config()
    };
    for behavior in [
        Behavior::Refuses,
        Behavior::Breaks,
        Behavior::Fails,
        Behavior::Hangs,
        Behavior::Slow(2_000 * MILLISECOND),
    ] {
        let (share, mut simulation) = load_with_outlier(config(), behavior);
        let counters = simulation.pool.counters;
        assert!(share > 0.985, "{behavior:?}: {share}, {counters:?}");
        assert!(simulation.in_use <= 4, "{behavior:?}");
        let (without, _) = load_with_outlier(without_ejection, behavior);
        assert!(
            share > without,
            "{behavior:?}: {share} with, {without} without"
        );
        simulation.behaviors.insert(OUTLIER, Behavior::Healthy);
        let before = sent_to_outlier(&simulation);
        let (interval, duration, measured_after) =
            (5 * MILLISECOND, 12_000 * MILLISECOND, 9_000 * MILLISECOND);
        assert_eq!(
            simulation.load(100_000, interval, duration, measured_after),
            1.0
        );
        assert_eq!(simulation.pool.in_use(), 4);
        assert!(sent_to_outlier(&simulation) > before + 200);
    }
}

#[test]
fn a_full_outage_causes_no_retry_storm_and_ends_soon_after_its_cause() {
    for behavior in [
        Behavior::Refuses,
        Behavior::Breaks,
        Behavior::Fails,
        Behavior::Hangs,
    ] {
        let mut simulation = Simulation::new(config(), 4, 3);
        simulation
            .behaviors
            .values_mut()
            .for_each(|current| *current = behavior);
        assert_eq!(
            simulation.load(0, 5 * MILLISECOND, 20_000 * MILLISECOND, 0),
            0.0
        );
        // A quarter of the servers stays in use despite the failures.
        assert!(
            simulation.in_use <= 2,
            "{behavior:?}: at most the minimum and one server in a health check"
        );
        let counters = simulation.pool.counters;
        assert!(
            counters.retries <= 10 + counters.begun / 10,
            "{behavior:?}: {counters:?}"
        );
        // Failures without delay use up most of the retry budget.
        let fast = [Behavior::Refuses, Behavior::Breaks].contains(&behavior);
        assert!(
            !fast || counters.retries >= counters.begun / 20,
            "{behavior:?}: {counters:?}"
        );
        // Callers give up after some time. If all servers hang, most runs are still queued then.
        (0..5000)
            .filter(|run| simulation.end(*run).is_none())
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|run| simulation.cancel(run));
        simulation
            .behaviors
            .values_mut()
            .for_each(|current| *current = Behavior::Healthy);
        let share = simulation.load(
            100_000,
            50 * MILLISECOND,
            3_000 * MILLISECOND,
            200 * MILLISECOND,
        );
        assert_eq!(
            share, 1.0,
            "{behavior:?}: the servers still in use serve at once"
        );
        simulation.load(200_000, 50 * MILLISECOND, 9_000 * MILLISECOND, 0);
        assert_eq!(simulation.pool.in_use(), 4, "{behavior:?}");
    }
}

#[test]
fn servers_are_added_and_removed_under_load() {
    let mut simulation = Simulation::new(config(), 2, 8);
    simulation.behaviors.insert(1, Behavior::Hangs);
    (0..8).for_each(|run| simulation.begin(run, false));
    simulation.advance(10 * MILLISECOND);
    let mut actions = Vec::new();
    simulation
        .pool
        .remove_server(0, simulation.now, &mut actions);
    simulation
        .pool
        .remove_server(1, simulation.now, &mut actions);
    simulation
        .pool
        .remove_server(1, simulation.now, &mut actions);
    let added = simulation.pool.add_server(simulation.now, &mut actions);
    simulation.behaviors.insert(added, Behavior::Healthy);
    simulation.execute(actions);
    assert!(
        simulation.pool.is_known(1) && added > 1,
        "a removed server is known until its runs end"
    );
    (8..12).for_each(|run| simulation.begin(run, false));
    simulation.advance(5_000 * MILLISECOND);
    assert!(
        (8..12).all(|run| simulation.end(run) == Some(RunEnd::Completed)
            && simulation.sent[&run] == [added])
    );
    assert_eq!(simulation.ended.len(), 12);
    assert!(!simulation.pool.is_known(0) && !simulation.pool.is_known(1));
    // Surplus idle connections are closed when the maximum concurrency is lowered. Runs stay queued
    // while the pool has no server.
    let mut actions = Vec::new();
    simulation.pool.reconfigure(
        PoolConfig {
            max_concurrency: 1,
            ..config()
        },
        simulation.now,
        &mut actions,
    );
    simulation
        .pool
        .remove_server(added, simulation.now, &mut actions);
    simulation.execute(actions);
    simulation.begin(20, true);
    assert_eq!(
        (
            simulation.pool.members(),
            simulation.pool.in_flight(),
            simulation.pool.connections()
        ),
        (0, 1, 0)
    );
    let mut actions = Vec::new();
    let server = simulation.pool.add_server(simulation.now, &mut actions);
    simulation.behaviors.insert(server, Behavior::Healthy);
    simulation.execute(actions);
    simulation.advance(simulation.now + 100 * MILLISECOND);
    assert_eq!(simulation.end(20), Some(RunEnd::Completed));
}

#[test]
fn ejection_times_are_jittered() {
    let mut rng = Rng::with_seed(9);
    let returns: BTreeSet<TenthMillis> = (0..20)
        .map(|_| {
            let mut simulation = Simulation::new(config(), 2, rng.u64(..));
            simulation.behaviors.insert(0, Behavior::Refuses);
            simulation.behaviors.insert(1, Behavior::Refuses);
            (0..9).for_each(|run| simulation.begin(run, true));
            simulation.advance(100 * MILLISECOND);
            assert_eq!(simulation.pool.in_use(), 1);
            let due = simulation.pool.next_due();
            assert!(
                (250 * MILLISECOND..=510 * MILLISECOND).contains(&due),
                "{due}"
            );
            due
        })
        .collect();
    assert!(returns.len() > 10, "{returns:?}");
}
