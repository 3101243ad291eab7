//! The pool against a scripted world: what must hold after every event, and what each failure comes to.

#![allow(
    clippy::too_many_lines,
    reason = "a scenario is read from its start to its end"
)]

use std::collections::{BTreeMap, BTreeSet};

use doortrack_time::{MILLISECOND, TenthMillis};
use doortrack_upstream::{
    Action, ConnId, OutlierConfig, Pool, PoolConfig, ResponseEnd, RetryConfig, RunEnd, RunId,
    ServerId,
};
use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> PoolConfig {
    PoolConfig {
        max_concurrency: 4,
        idle_timeout: 5_000 * MILLISECOND,
        connect_timeout: 250 * MILLISECOND,
        response_timeout: 1_000 * MILLISECOND,
        outlier: OutlierConfig {
            consecutive_failures: 3,
            base_ejection: 500 * MILLISECOND,
            max_ejection: 8_000 * MILLISECOND,
            in_use_floor: 0.25,
        },
        retry: RetryConfig {
            ratio: 0.1,
            burst: 10,
            max_attempts: 3,
        },
        slow_start: None,
    }
}

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behavior {
    Healthy,
    /// Takes connections and never answers.
    Hangs,
    Refuses,
    /// Breaks off once a run was sent.
    Breaks,
    /// Answers at once that it failed.
    Fails,
    /// Takes so long.
    Slow(TenthMillis),
}

/// Simulates the sockets: executes what the pool wants, on servers with behaviors.
struct Simulation {
    pool: Pool,
    now: TenthMillis,
    behaviors: BTreeMap<ServerId, Behavior>,
    conns: BTreeMap<ConnId, (ServerId, Option<RunId>)>,
    /// What happens next, by time: a connection opens, or answers.
    next: BTreeSet<(TenthMillis, u64, ConnId)>,
    index: u64,
    idempotent: BTreeMap<RunId, bool>,
    sent: BTreeMap<RunId, Vec<ServerId>>,
    ended: BTreeMap<RunId, (RunEnd, TenthMillis)>,
    max_connections: BTreeMap<ServerId, usize>,
    /// Servers in use when the last load ended.
    in_use: usize,
}

impl Simulation {
    fn new(config: PoolConfig, servers: usize, seed: u64) -> Simulation {
        let mut pool = Pool::new(config, seed);
        let ids: Vec<ServerId> = (0..servers)
            .map(|_| pool.add_server(0, &mut Vec::new()))
            .collect();
        Simulation {
            pool,
            now: 0,
            behaviors: ids.into_iter().map(|id| (id, Behavior::Healthy)).collect(),
            conns: BTreeMap::new(),
            next: BTreeSet::new(),
            index: 0,
            idempotent: BTreeMap::new(),
            sent: BTreeMap::new(),
            ended: BTreeMap::new(),
            max_connections: BTreeMap::new(),
            in_use: 0,
        }
    }

    fn schedule(&mut self, after: TenthMillis, conn: ConnId) {
        self.index += 1;
        self.next.insert((self.now + after, self.index, conn));
    }

    fn begin(&mut self, run: RunId, idempotent: bool) {
        self.idempotent.insert(run, idempotent);
        let mut actions = Vec::new();
        self.pool.begin(run, idempotent, self.now, &mut actions);
        self.execute(actions);
    }

    fn cancel(&mut self, run: RunId) {
        let mut actions = Vec::new();
        self.pool.cancel(run, self.now, &mut actions);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Open { conn, server } => {
                    assert!(
                        self.conns.insert(conn, (server, None)).is_none(),
                        "{conn} is open already"
                    );
                    let open = self.conns.values().filter(|(at, _)| *at == server).count();
                    let most = self.max_connections.entry(server).or_default();
                    *most = open.max(*most);
                    self.schedule(
                        if self.behaviors[&server] == Behavior::Refuses {
                            2
                        } else {
                            1
                        },
                        conn,
                    );
                }
                Action::Send { conn, run } => {
                    let (server, carried) = self.conns.get_mut(&conn).expect("sent on none");
                    assert_eq!(carried.replace(run), None, "two runs on one connection");
                    let sent = self.sent.entry(run).or_default();
                    sent.push(*server);
                    let most = if self.idempotent[&run] { 3 } else { 1 };
                    assert!(sent.len() <= most, "{run} was sent to {sent:?}");
                    let behavior = self.behaviors[server];
                    self.pool.request_sent(conn);
                    match behavior {
                        Behavior::Hangs => {}
                        Behavior::Slow(time) => self.schedule(time, conn),
                        Behavior::Healthy => self.schedule(20 * MILLISECOND, conn),
                        Behavior::Breaks | Behavior::Fails | Behavior::Refuses => {
                            self.schedule(MILLISECOND, conn)
                        }
                    }
                }
                Action::Close { conn } => {
                    assert!(self.conns.remove(&conn).is_some(), "closed twice");
                    self.next.retain(|(.., scheduled)| *scheduled != conn);
                }
                Action::StateChanged { .. } => {}
                Action::Ended { run, end } => {
                    assert!(
                        self.ended.insert(run, (end, self.now)).is_none(),
                        "{run} ended twice"
                    );
                }
            }
        }
        self.check();
    }

    /// What must hold for any events.
    fn check(&self) {
        let counters = self.pool.counters;
        assert!(
            counters.retries <= 10 + counters.begun / 10 + 1,
            "{counters:?}"
        );
        let floor = (self.pool.members() as f64 / 4.0).ceil() as usize;
        assert!(
            self.pool.in_use() >= floor.min(self.pool.members()),
            "{} in use",
            self.pool.in_use()
        );
        assert!(
            self.max_connections.values().all(|most| *most <= 4),
            "{:?}",
            self.max_connections
        );
        assert_eq!(self.pool.connections(), self.conns.len());
    }

    /// Lets time pass, with what happens in it.
    fn advance(&mut self, until: TenthMillis) {
        loop {
            let next = self.next.first().map_or(TenthMillis::MAX, |(at, ..)| *at);
            let due = self.pool.next_due();
            self.now = next.min(due).min(until).max(self.now);
            let mut actions = Vec::new();
            if next <= self.now && next <= due {
                let (_, _, conn) = self.next.pop_first().unwrap();
                self.connection_ready(conn, &mut actions);
            } else if due <= self.now {
                self.pool.tick(self.now, &mut actions);
                assert!(
                    self.pool.next_due() > self.now,
                    "what was due is due again at once"
                );
            } else {
                return;
            }
            self.execute(actions);
        }
    }

    fn connection_ready(&mut self, conn: ConnId, actions: &mut Vec<Action>) {
        let (server, carried) = self.conns[&conn];
        let behavior = self.behaviors[&server];
        let Some(_) = carried else {
            if behavior == Behavior::Refuses {
                self.conns.remove(&conn);
                return self.pool.connect_failed(conn, self.now, actions);
            }
            return self.pool.connected(conn, self.now, actions);
        };
        match behavior {
            Behavior::Breaks | Behavior::Refuses => {
                self.conns.remove(&conn);
                self.pool.connection_lost(conn, self.now, actions);
            }
            Behavior::Fails => {
                self.conns.get_mut(&conn).unwrap().1 = None;
                self.pool.response_ended(
                    conn,
                    ResponseEnd::Failed { reusable: true },
                    self.now,
                    actions,
                );
            }
            _ => {
                self.conns.get_mut(&conn).unwrap().1 = None;
                self.pool.response_ended(
                    conn,
                    ResponseEnd::Completed { reusable: true },
                    self.now,
                    actions,
                );
            }
        }
    }

    fn end(&self, run: RunId) -> Option<RunEnd> {
        self.ended.get(&run).map(|(end, _)| *end)
    }

    /// A run every `every` for so long; the share of them that completed, of those begun from `since` on.
    fn load(
        &mut self,
        from: RunId,
        every: TenthMillis,
        lasts: TenthMillis,
        since: TenthMillis,
    ) -> f64 {
        let (start, mut run, mut counted) = (self.now, from, Vec::new());
        while self.now < start + lasts {
            self.begin(run, run % 2 == 0);
            if self.now >= start + since {
                counted.push(run);
            }
            run += 1;
            self.advance(self.now + every);
        }
        self.in_use = self.pool.in_use();
        self.advance(self.now + 10_000 * MILLISECOND);
        let good = counted
            .iter()
            .filter(|run| self.end(**run) == Some(RunEnd::Completed))
            .count();
        good as f64 / counted.len() as f64
    }
}

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
    let mut on = BTreeMap::<ServerId, u32>::new();
    simulation
        .sent
        .values()
        .flatten()
        .for_each(|server| *on.entry(*server).or_default() += 1);
    assert!(on.values().all(|runs| (150..250).contains(runs)), "{on:?}");
    // Idle ones are closed after lying idle.
    simulation.advance(simulation.now + 6_000 * MILLISECOND);
    assert_eq!(
        (simulation.pool.connections(), simulation.pool.in_flight()),
        (0, 0)
    );
}

#[test]
fn one_outlier_of_four_costs_little_and_recovers_gradually() {
    for behavior in [
        Behavior::Refuses,
        Behavior::Breaks,
        Behavior::Fails,
        Behavior::Hangs,
        Behavior::Slow(2_000 * MILLISECOND),
    ] {
        let mut simulation = Simulation::new(config(), 4, 2);
        simulation.behaviors.insert(2, behavior);
        // The first seconds are for finding out.
        let share = simulation.load(
            0,
            5 * MILLISECOND,
            20_000 * MILLISECOND,
            4_000 * MILLISECOND,
        );
        assert!(
            share > 0.985,
            "{behavior:?}: {share}, {:?}",
            simulation.pool.counters
        );
        assert!(simulation.in_use <= 4, "{behavior:?}");
        let without = Simulation::load(
            &mut {
                let outlier = OutlierConfig {
                    consecutive_failures: u32::MAX,
                    ..config().outlier
                };
                let mut simulation = Simulation::new(
                    PoolConfig {
                        outlier,
                        ..config()
                    },
                    4,
                    2,
                );
                simulation.behaviors.insert(2, behavior);
                simulation
            },
            0,
            5 * MILLISECOND,
            20_000 * MILLISECOND,
            4_000 * MILLISECOND,
        );
        assert!(
            share > without,
            "{behavior:?}: {share} with, {without} without"
        );
        simulation.behaviors.insert(2, Behavior::Healthy);
        let before = simulation
            .sent
            .values()
            .flatten()
            .filter(|server| **server == 2)
            .count();
        assert_eq!(
            simulation.load(
                100_000,
                5 * MILLISECOND,
                12_000 * MILLISECOND,
                9_000 * MILLISECOND
            ),
            1.0
        );
        assert_eq!(simulation.pool.in_use(), 4);
        assert!(
            simulation
                .sent
                .values()
                .flatten()
                .filter(|server| **server == 2)
                .count()
                > before + 200
        );
    }
}

#[test]
fn a_full_outage_is_not_multiplied_and_ends_soon_after_its_cause() {
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
        // A quarter is kept in use whatever they do.
        assert!(
            simulation.in_use <= 2,
            "{behavior:?}: one, and perhaps one in a health check"
        );
        let counters = simulation.pool.counters;
        assert!(
            counters.retries <= 10 + counters.begun / 10,
            "{behavior:?}: {counters:?}"
        );
        // Where they fail at once the budget is used up, and no more than that.
        let fast = [Behavior::Refuses, Behavior::Breaks].contains(&behavior);
        assert!(
            !fast || counters.retries >= counters.begun / 20,
            "{behavior:?}: {counters:?}"
        );
        // Whoever begins runs does not wait for ever; where all hang, most found no server.
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
        assert_eq!(share, 1.0, "{behavior:?}: the floor serves at once");
        simulation.load(200_000, 50 * MILLISECOND, 9_000 * MILLISECOND, 0);
        assert_eq!(simulation.pool.in_use(), 4, "{behavior:?}");
    }
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
    // What no connection could be had for is retried in any case, and ends as not run.
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
    // One that hangs is late, and not sent elsewhere.
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
fn a_stale_idle_connection_costs_neither_retry_nor_failure() {
    let mut simulation = Simulation::new(config(), 1, 6);
    simulation.begin(1, false);
    simulation.advance(100 * MILLISECOND);
    let conn = *simulation.conns.keys().next().unwrap();
    let (mut actions, now) = (Vec::new(), simulation.now);
    simulation.pool.begin(2, false, now, &mut actions);
    assert_eq!(actions, [Action::Send { conn, run: 2 }]);
    // Found closed before any byte of it was handed over.
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
        "it waited for a server"
    );
    simulation.cancel(1);
    assert_eq!(
        simulation.end(1),
        Some(RunEnd::NotRun),
        "its connection was being opened"
    );
    simulation.advance(10 * MILLISECOND);
    simulation.cancel(2);
    assert_eq!(simulation.end(2), Some(RunEnd::Cancelled), "it was sent");
    simulation.cancel(2);
    assert_eq!(
        (simulation.pool.in_flight(), simulation.pool.connections()),
        (0, 0)
    );
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
        "what runs there may end"
    );
    (8..12).for_each(|run| simulation.begin(run, false));
    simulation.advance(5_000 * MILLISECOND);
    assert!(
        (8..12).all(|run| simulation.end(run) == Some(RunEnd::Completed)
            && simulation.sent[&run] == [added])
    );
    assert_eq!(simulation.ended.len(), 12);
    assert!(!simulation.pool.is_known(0) && !simulation.pool.is_known(1));
    // Without any, runs wait for one; with fewer at once, surplus idle connections are closed.
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

/// One thing that a random scenario does.
#[derive(Clone, Debug)]
enum Step {
    Begin { idempotent: bool },
    Cancel(u8),
    Behave(u8, Behavior),
    Advance(TenthMillis),
    Break(u8),
    Add,
    Remove(u8),
}

fn step() -> impl Strategy<Value = Step> {
    let behaviors = [
        Behavior::Healthy,
        Behavior::Hangs,
        Behavior::Refuses,
        Behavior::Breaks,
        Behavior::Fails,
        Behavior::Slow(1500 * MILLISECOND),
    ];
    let behavior = prop::sample::select(behaviors.to_vec());
    prop_oneof![
        8 => any::<bool>().prop_map(|idempotent| Step::Begin { idempotent }),
        1 => any::<u8>().prop_map(Step::Cancel),
        2 => (any::<u8>(), behavior).prop_map(|(server, behavior)| Step::Behave(server, behavior)),
        4 => (0..900 * MILLISECOND).prop_map(Step::Advance),
        1 => any::<u8>().prop_map(Step::Break),
        1 => Just(Step::Add),
        1 => any::<u8>().prop_map(Step::Remove),
    ]
}

fn run_steps(steps: &[Step], seed: u64) -> Simulation {
    let mut simulation = Simulation::new(config(), 3, seed);
    let (mut members, mut runs) = (vec![0, 1, 2], 0);
    for step in steps {
        let mut actions = Vec::new();
        match step {
            Step::Begin { idempotent } => {
                runs += 1;
                simulation.begin(runs, *idempotent);
            }
            Step::Cancel(run) => simulation.cancel(RunId::from(*run) % (runs + 1)),
            Step::Behave(server, behavior) => {
                let server = usize::from(*server) % simulation.behaviors.len();
                *simulation.behaviors.values_mut().nth(server).unwrap() = *behavior;
            }
            Step::Advance(time) => simulation.advance(simulation.now + time),
            // A connection ends for no reason.
            Step::Break(index) => {
                let conn = simulation
                    .conns
                    .keys()
                    .nth(usize::from(*index) % simulation.conns.len().max(1))
                    .copied();
                if let Some(conn) = conn {
                    simulation.conns.remove(&conn);
                    simulation.next.retain(|(.., scheduled)| *scheduled != conn);
                    simulation
                        .pool
                        .connection_lost(conn, simulation.now, &mut actions);
                }
            }
            Step::Add if members.len() < 6 => {
                let server = simulation.pool.add_server(simulation.now, &mut actions);
                simulation.behaviors.insert(server, Behavior::Healthy);
                members.push(server);
            }
            Step::Remove(index) if members.len() > 1 => {
                let server = members.swap_remove(usize::from(*index) % members.len());
                simulation
                    .pool
                    .remove_server(server, simulation.now, &mut actions);
            }
            _ => {}
        }
        simulation.execute(actions);
    }
    simulation.advance(simulation.now + 60_000 * MILLISECOND);
    simulation
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(0x0d00_5e41),
        ..ProptestConfig::default()
    })]

    #[test]
    fn each_run_ends_once_for_any_events(
        steps in prop::collection::vec(step(), 1..120),
        seed in any::<u64>(),
    ) {
        let simulation = run_steps(&steps, seed);
        prop_assert_eq!(simulation.ended.len(), simulation.idempotent.len(), "not all have ended");
        prop_assert_eq!(simulation.pool.in_flight(), 0);
        let again = run_steps(&steps, seed);
        prop_assert_eq!(again.ended, simulation.ended, "same input, same output");
    }
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

#[test]
fn a_refused_run_is_retried_elsewhere_even_if_not_idempotent() {
    let mut pool = Pool::new(config(), 10);
    let mut actions = Vec::new();
    let servers = [
        pool.add_server(0, &mut actions),
        pool.add_server(0, &mut actions),
    ];
    pool.begin(1, false, 0, &mut actions);
    let mut seen = Vec::new();
    for _ in 0..3 {
        let Some(Action::Open { conn, server }) = actions.pop() else {
            panic!("{actions:?}")
        };
        seen.push(server);
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
    // Within its three tries, never twice in a row on one; then it ends as one that never ran.
    assert!(
        seen[0] != seen[1]
            && seen[1] != seen[2]
            && seen.iter().all(|server| servers.contains(server))
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
