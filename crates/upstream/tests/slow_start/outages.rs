//! Which failures lead to a slow start, and what ends a slow start.

use doortrack_time::MILLISECOND;
use doortrack_upstream::{Action, Admission, Pool, PoolConfig, ResponseEnd, RunEnd, ServerState};

use crate::simulation::*;

#[test]
fn lost_connections_up_to_the_threshold_lead_to_slow_start_and_error_responses_do_not() {
    for (behavior, cold) in [
        (Behavior::Breaks, true),
        (Behavior::Hangs, true),
        (Behavior::Fails, false),
    ] {
        let mut simulation = Simulation::new(config(), 2);
        simulation.behaviors.insert(1, behavior);
        simulation.load(5 * MILLISECOND, 4_000 * MILLISECOND);
        assert_eq!(simulation.pool.cold_servers() == 1, cold, "{behavior:?}");
        simulation.behaviors.insert(1, Behavior::Healthy);
        simulation.load(5 * MILLISECOND, 20_000 * MILLISECOND);
        assert_eq!(
            simulation.pool.counters.slow_starts > 0,
            cold,
            "{behavior:?}"
        );
        assert_eq!(
            (simulation.pool.cold_servers(), simulation.pool.in_use()),
            (0, 2),
            "{behavior:?}"
        );
        simulation.check_slow_starts();
    }
}

#[test]
fn only_servers_added_after_the_start_get_a_slow_start() {
    let mut simulation = Simulation::new(config(), 1);
    simulation.load(5 * MILLISECOND, 1_000 * MILLISECOND);
    assert_eq!(
        (simulation.pool.cold_servers(), simulation.slow_starts.len()),
        (0, 0)
    );
    let mut actions = Vec::new();
    let late = simulation
        .pool
        .add_cold_server(simulation.now, &mut actions);
    simulation.behaviors.insert(late, Behavior::Healthy);
    simulation.execute(actions);
    assert_eq!(simulation.pool.cold_servers(), 1);
    simulation.load(5 * MILLISECOND, DURATION + 1_000 * MILLISECOND);
    simulation.check_slow_starts();
    assert!(
        simulation.slow_starts.len() == 1 && simulation.pool.cold_servers() == 0,
        "{:?}",
        simulation.slow_starts
    );
}

#[test]
fn a_configuration_without_slow_start_ends_current_slow_starts() {
    let mut simulation = recovering_simulation(config());
    simulation.load(5 * MILLISECOND, 3_000 * MILLISECOND);
    let mut actions = Vec::new();
    simulation.pool.reconfigure(
        PoolConfig {
            slow_start: None,
            ..config()
        },
        simulation.now,
        &mut actions,
    );
    simulation.execute(actions);
    assert_eq!(simulation.pool.cold_servers(), 0);
    let before = simulation.sent[&0].len();
    simulation.load(5 * MILLISECOND, 1_000 * MILLISECOND);
    assert!(simulation.sent[&0].len() >= before + 150);
}

#[test]
fn a_removed_server_leaves_no_slow_start_behind() {
    let mut simulation = Simulation::new(config(), 2);
    simulation.load(5 * MILLISECOND, 500 * MILLISECOND);
    simulation.kill(1);
    simulation.load(5 * MILLISECOND, 1_000 * MILLISECOND);
    simulation.behaviors.insert(1, Behavior::Healthy);
    simulation.load(5 * MILLISECOND, 3_000 * MILLISECOND);
    assert_eq!(simulation.slow_starts.len(), 1);
    let mut actions = Vec::new();
    simulation
        .pool
        .remove_server(1, simulation.now, &mut actions);
    simulation.execute(actions);
    simulation.load(5 * MILLISECOND, 2 * DURATION);
    assert!(!simulation.pool.is_known(1) && simulation.pool.cold_servers() == 0);
}

#[test]
fn a_run_without_a_reservation_ends_at_once_as_not_run_while_all_are_down() {
    let mut simulation = Simulation::new(config(), 1);
    simulation.load(5 * MILLISECOND, 100 * MILLISECOND);
    simulation.kill(0);
    simulation.request();
    simulation.advance(2 * MILLISECOND);
    let mut actions = Vec::new();
    simulation
        .pool
        .begin(9_000, false, simulation.now, &mut actions);
    assert!(
        actions.contains(&Action::Ended {
            run: 9_000,
            end: RunEnd::NotRun
        }),
        "{actions:?}"
    );
    assert_eq!(simulation.pool.in_flight(), 0);
}

#[test]
fn a_connection_requested_before_an_outage_does_not_begin_a_slow_start() {
    let mut pool = Pool::new(config(), 1);
    let mut actions = Vec::new();
    let server = pool.add_server(0, &mut actions);
    (1..=2).for_each(|run| pool.begin(run, false, 0, &mut actions));
    let [
        Action::Open { conn: first, .. },
        Action::Open { conn: second, .. },
    ] = actions[..]
    else {
        panic!("{actions:?}");
    };
    actions.clear();
    pool.connect_refused(first, MILLISECOND, &mut actions);
    assert!(
        matches!(
            actions[0],
            Action::StateChanged {
                state: ServerState::Down { .. },
                ..
            }
        ),
        "{actions:?}"
    );
    actions.clear();
    pool.connected(second, MILLISECOND, &mut actions);
    // The run is not sent because it is not covered by a slow start. It ends because there is no other
    // server.
    assert_eq!(
        actions,
        [
            Action::Close { conn: second },
            Action::Ended {
                run: 2,
                end: RunEnd::NotRun
            }
        ],
        "{:?}",
        pool.counters
    );
    assert_eq!(
        (
            pool.cold_servers(),
            pool.counters.slow_starts,
            pool.is_known(server)
        ),
        (1, 0, true)
    );
}

#[test]
fn a_connection_from_before_an_outage_is_not_kept_idle() {
    let mut pool = Pool::new(config(), 1);
    let mut actions = Vec::new();
    pool.add_server(0, &mut actions);
    (1..=2).for_each(|run| pool.begin(run, false, 0, &mut actions));
    let [
        Action::Open { conn: first, .. },
        Action::Open { conn: second, .. },
    ] = actions[..]
    else {
        panic!("{actions:?}");
    };
    pool.connected(first, MILLISECOND, &mut actions);
    pool.request_sent(first);
    pool.connect_refused(second, MILLISECOND, &mut actions);
    // The first run began before the outage and completes after the next health check is due. Its
    // response doesn't show that the server has returned.
    pool.tick(600 * MILLISECOND, &mut actions);
    actions.clear();
    pool.response_ended(
        first,
        ResponseEnd::Completed { reusable: true },
        600 * MILLISECOND,
        &mut actions,
    );
    let ended = Action::Ended {
        run: 1,
        end: RunEnd::Completed,
    };
    assert!(
        actions.contains(&ended) && actions.contains(&Action::Close { conn: first }),
        "{actions:?}"
    );
    assert_eq!(
        (
            pool.connections(),
            pool.cold_servers(),
            pool.counters.slow_starts
        ),
        (0, 1, 0)
    );
    // The health check opens a new connection.
    assert_eq!(pool.admit(600 * MILLISECOND), Ok(Admission::Reserved));
    pool.release_reservation();
    actions.clear();
    pool.begin(3, false, 600 * MILLISECOND, &mut actions);
    assert!(matches!(actions[..], [Action::Open { .. }]), "{actions:?}");
}

#[test]
fn a_reservation_is_exclusive_until_released() {
    let mut simulation = recovering_simulation(config());
    simulation.advance(600 * MILLISECOND);
    assert_eq!(
        simulation.pool.admit(simulation.now),
        Ok(Admission::Reserved),
        "the health check is admitted"
    );
    assert!(
        simulation.pool.admit(simulation.now).is_err(),
        "only one health check is admitted"
    );
    let mut actions = Vec::new();
    simulation
        .pool
        .begin(9_000, true, simulation.now, &mut actions);
    assert!(
        actions.contains(&Action::Ended {
            run: 9_000,
            end: RunEnd::NotRun
        }),
        "{actions:?}"
    );
    simulation.pool.release_reservation();
    assert_eq!(
        simulation.pool.admit(simulation.now),
        Ok(Admission::Reserved)
    );
}
