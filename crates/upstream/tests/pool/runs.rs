//! Runs: distribution over servers, retries, cancellation and outcomes.

use std::collections::BTreeMap;

use doortrack_time::MILLISECOND;
use doortrack_upstream::{Action, OutlierConfig, Pool, PoolConfig, ResponseEnd, RunEnd, ServerId};

use crate::simulation::*;

#[test]
fn healthy_servers_share_the_runs_and_keep_their_connections() {
    let mut simulation = Simulation::new(config(), 4, 1);
    assert_eq!(
        simulation.load(0, 5 * MILLISECOND, 4_000 * MILLISECOND, 0),
        1.0
    );
    let counters = simulation.pool.counters;
    assert_eq!(
        (counters.begun, counters.retries, counters.failures),
        (800, 0, 0)
    );
    assert!(counters.connections_opened <= 16, "{counters:?}");
    let mut runs_by_server = BTreeMap::<ServerId, u32>::new();
    simulation
        .sent
        .values()
        .flatten()
        .for_each(|server| *runs_by_server.entry(*server).or_default() += 1);
    assert!(
        runs_by_server
            .values()
            .all(|runs| (150..250).contains(runs)),
        "{runs_by_server:?}"
    );
    // Idle connections are closed after the idle timeout.
    simulation.advance(simulation.now + 6_000 * MILLISECOND);
    assert_eq!(
        (simulation.pool.connections(), simulation.pool.in_flight()),
        (0, 0)
    );
}

#[test]
fn a_run_that_may_have_reached_a_server_is_resent_only_if_idempotent() {
    let mut simulation = Simulation::new(
        PoolConfig {
            outlier: OutlierConfig {
                consecutive_failures: 9,
                ..config().outlier
            },
            ..config()
        },
        2,
        4,
    );
    simulation
        .behaviors
        .values_mut()
        .for_each(|current| *current = Behavior::Breaks);
    simulation.begin(1, false);
    simulation.begin(2, true);
    simulation.advance(100 * MILLISECOND);
    assert_eq!(
        (simulation.end(1), simulation.end(2)),
        (Some(RunEnd::Lost), Some(RunEnd::Lost))
    );
    assert_eq!(
        (simulation.sent[&1].len(), simulation.sent[&2].len()),
        (1, 3)
    );
    // A run whose connections were refused is retried even if it is not idempotent, and ends as not run.
    simulation
        .behaviors
        .values_mut()
        .for_each(|current| *current = Behavior::Refuses);
    simulation.begin(3, false);
    simulation.advance(200 * MILLISECOND);
    assert_eq!(
        (simulation.end(3), simulation.sent.get(&3)),
        (Some(RunEnd::NotRun), None)
    );
    // A run that is not idempotent times out on a server that hangs, and is not sent to another.
    simulation
        .behaviors
        .values_mut()
        .for_each(|current| *current = Behavior::Hangs);
    simulation.begin(4, false);
    simulation.advance(3_000 * MILLISECOND);
    assert_eq!(
        (simulation.end(4), simulation.sent[&4].len()),
        (Some(RunEnd::TimedOut), 1)
    );
}

#[test]
fn a_retry_goes_to_another_server_and_keeps_its_queue_position() {
    let mut simulation = Simulation::new(config(), 3, 5);
    simulation.behaviors.insert(0, Behavior::Breaks);
    (0..60).filter(|run| run % 2 == 0).for_each(|run| {
        simulation.begin(run, true);
        simulation.advance(simulation.now + 100 * MILLISECOND);
    });
    for (run, servers) in &simulation.sent {
        assert!(
            servers.windows(2).all(|pair| pair[0] != pair[1]),
            "{run}: {servers:?}"
        );
    }
    assert!(
        simulation
            .ended
            .values()
            .all(|(end, _)| *end == RunEnd::Completed)
    );
}

#[test]
fn a_stale_idle_connection_counts_as_neither_retry_nor_failure() {
    let mut simulation = Simulation::new(config(), 1, 6);
    simulation.begin(1, false);
    simulation.advance(100 * MILLISECOND);
    let conn = *simulation.conns.keys().next().unwrap();
    let (mut actions, now) = (Vec::new(), simulation.now);
    simulation.pool.begin(2, false, now, &mut actions);
    assert_eq!(actions, [Action::Send { conn, run: 2 }]);
    // The server closed the connection before any byte of the run was sent.
    simulation.conns.remove(&conn);
    actions.clear();
    simulation.pool.connection_lost(conn, now, &mut actions);
    assert!(
        matches!(actions[..], [Action::Open { server: 0, .. }]),
        "{actions:?}"
    );
    simulation.idempotent.insert(2, false);
    simulation.execute(actions);
    simulation.advance(now + 100 * MILLISECOND);
    let counters = simulation.pool.counters;
    assert_eq!(
        (
            simulation.end(2),
            counters.stale_connections,
            counters.failures,
            counters.retries
        ),
        (Some(RunEnd::Completed), 1, 0, 0)
    );
}

#[test]
fn a_cancelled_run_ends_at_once_in_every_state() {
    let mut simulation = Simulation::new(
        PoolConfig {
            max_concurrency: 1,
            ..config()
        },
        1,
        7,
    );
    simulation.behaviors.insert(0, Behavior::Hangs);
    (1..=3).for_each(|run| simulation.begin(run, false));
    simulation.cancel(3);
    assert_eq!(
        simulation.end(3),
        Some(RunEnd::NotRun),
        "the run was queued"
    );
    simulation.cancel(1);
    assert_eq!(
        simulation.end(1),
        Some(RunEnd::NotRun),
        "the connection of the run was opening"
    );
    simulation.advance(10 * MILLISECOND);
    simulation.cancel(2);
    assert_eq!(
        simulation.end(2),
        Some(RunEnd::Cancelled),
        "the run was sent"
    );
    simulation.cancel(2);
    assert_eq!(
        (simulation.pool.in_flight(), simulation.pool.connections()),
        (0, 0)
    );
}

#[test]
fn a_refused_run_is_retried_elsewhere_even_if_not_idempotent() {
    let mut pool = Pool::new(config(), 10);
    let mut actions = Vec::new();
    let servers = [
        pool.add_server(0, &mut actions),
        pool.add_server(0, &mut actions),
    ];
    pool.begin(1, false, 0, &mut actions);
    let mut attempted_servers = Vec::new();
    for _ in 0..3 {
        let Some(Action::Open { conn, server }) = actions.pop() else {
            panic!("{actions:?}")
        };
        attempted_servers.push(server);
        actions.clear();
        pool.connected(conn, 0, &mut actions);
        assert_eq!(actions, [Action::Send { conn, run: 1 }]);
        pool.request_sent(conn);
        actions.clear();
        pool.response_ended(
            conn,
            ResponseEnd::Refused { reusable: false },
            0,
            &mut actions,
        );
        assert!(actions.contains(&Action::Close { conn }), "{actions:?}");
    }
    // The run is attempted three times, never twice in a row on the same server, and ends as not run.
    assert!(
        attempted_servers[0] != attempted_servers[1]
            && attempted_servers[1] != attempted_servers[2]
            && attempted_servers
                .iter()
                .all(|server| servers.contains(server))
    );
    assert!(
        actions.contains(&Action::Ended {
            run: 1,
            end: RunEnd::NotRun
        }),
        "{actions:?}"
    );
    assert_eq!(
        (pool.counters.retries, pool.in_flight(), pool.connections()),
        (2, 0, 0)
    );
}
