//! The rate of runs that a server gets after its return.

use doortrack_time::{MILLISECOND, TenthMillis};
use doortrack_upstream::{PoolConfig, RunEnd, ServerState};

use crate::simulation::*;

#[test]
fn a_down_server_gets_one_health_check_at_a_time_and_other_requests_get_a_retry_after() {
    let mut simulation = Simulation::new(config(), 1);
    simulation.load(5 * MILLISECOND, 100 * MILLISECOND);
    let served = simulation.runs;
    simulation.kill(0);
    simulation.load(5 * MILLISECOND, 10_000 * MILLISECOND);
    // One health check every 250 to 500 ms, even though the pool has no other server.
    let requested = (simulation.runs - served) as usize;
    let attempted = simulation.count(Outcome::Ended(RunEnd::NotRun));
    assert!(
        (20..=41).contains(&attempted),
        "{attempted} health checks, {requested} requests"
    );
    assert_eq!(
        simulation.count(Outcome::HeldBack),
        requested - attempted,
        "{:?}",
        simulation.pool.counters
    );
    let state_changes = simulation
        .state_changes
        .iter()
        .filter(|(_, what)| matches!(what, ServerState::Down { .. }))
        .count();
    assert_eq!(state_changes, 1, "{:?}", simulation.state_changes);
}

#[test]
fn a_returned_server_gets_a_rate_that_grows_from_one_health_check_to_the_configured_runs() {
    let mut simulation = recovering_simulation(config());
    simulation.load(5 * MILLISECOND, DURATION + 1_000 * MILLISECOND);
    let (_, started_at) = simulation.slow_starts[0];
    simulation.check_slow_starts();
    let sent_in_tenths = |tenths: TenthMillis| {
        simulation.sent_within(0, started_at, started_at + DURATION * tenths / 10)
    };
    assert!(
        (95..=100).contains(&sent_in_tenths(10)),
        "{}",
        sent_in_tenths(10)
    );
    // The first half of the slow start gets a quarter of the runs.
    assert!(
        (20..=26).contains(&sent_in_tenths(5)),
        "{}",
        sent_in_tenths(5)
    );
    assert!(
        simulation.sent_within(0, started_at + DURATION, TenthMillis::MAX) > 100,
        "full load after the slow start"
    );
    assert_eq!(
        simulation.state_changes.last(),
        Some(&(0, ServerState::WarmedUp))
    );
}

#[test]
fn without_slow_start_a_returned_server_gets_every_run() {
    let mut simulation = recovering_simulation(PoolConfig {
        slow_start: None,
        ..config()
    });
    let started_at = simulation.now;
    simulation.load(5 * MILLISECOND, DURATION);
    assert!(simulation.sent_within(0, started_at, started_at + DURATION) > 1_500);
    assert_eq!(
        (
            simulation.pool.counters.held_back,
            simulation.slow_starts.len()
        ),
        (0, 0)
    );
}

#[test]
fn unused_credit_is_not_saved_up_for_the_end() {
    let mut simulation = recovering_simulation(config());
    // The health check is due within half a second.
    for _ in 0..100 {
        if simulation.slow_starts.is_empty() {
            simulation.load(5 * MILLISECOND, 5 * MILLISECOND);
        }
    }
    assert_eq!(simulation.slow_starts.len(), 1);
    simulation.advance(DURATION - 500 * MILLISECOND);
    let before = simulation.sent[&0].len();
    // No run was requested for most of the slow start, so the load gets only the current rate of about
    // 20 runs per second.
    simulation.load(MILLISECOND, 400 * MILLISECOND);
    let sent = simulation.sent[&0].len() - before;
    assert!((6..=11).contains(&sent), "{sent}");
}

#[test]
fn slow_start_restarts_when_the_server_goes_down_again() {
    let mut simulation = recovering_simulation(config());
    simulation.load(5 * MILLISECOND, 9_000 * MILLISECOND);
    simulation.kill(0);
    simulation.load(5 * MILLISECOND, 1_000 * MILLISECOND);
    simulation.behaviors.insert(0, Behavior::Healthy);
    let back = simulation.now;
    simulation.load(5 * MILLISECOND, 5_000 * MILLISECOND);
    assert_eq!(simulation.slow_starts.len(), 2);
    simulation.check_slow_starts();
    // The second slow start has lasted at most five seconds. Fifteen seconds into the first one, more
    // runs would have been sent.
    assert!(simulation.sent_within(0, back, back + 5_000 * MILLISECOND) <= 25);
}

#[test]
fn warm_servers_take_the_runs_that_a_server_in_slow_start_may_not_get() {
    let mut simulation = Simulation::new(config(), 3);
    simulation.load(5 * MILLISECOND, 1_000 * MILLISECOND);
    simulation.kill(2);
    simulation.load(5 * MILLISECOND, 5_000 * MILLISECOND);
    simulation.behaviors.insert(2, Behavior::Healthy);
    let (from, requested) = (simulation.now, simulation.runs);
    // The next health check may be several seconds away, because the time between health checks grows while
    // a server stays down.
    simulation.load(5 * MILLISECOND, 8_000 * MILLISECOND + DURATION);
    let (_, started_at) = simulation.slow_starts[0];
    simulation.check_slow_starts();
    assert!(
        simulation.sent_within(2, started_at, started_at + DURATION) > 60,
        "the returned server gets its share"
    );
    assert_eq!(simulation.pool.counters.held_back, 0);
    let ends = (requested + 1..=simulation.runs).filter_map(|run| simulation.outcomes.get(&run));
    let not_completed = ends
        .filter(|(outcome, at)| *at >= from && *outcome != Outcome::Ended(RunEnd::Completed))
        .count();
    assert_eq!(not_completed, 0);
}
