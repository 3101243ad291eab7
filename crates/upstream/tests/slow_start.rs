//! Servers that go down and return cold: what they are sent by when, what the others take, and that
//! nothing waits for credit that does not come.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use doortrack_time::{MILLISECOND, TenthMillis};
use doortrack_upstream::{
    Action, Admission, ConnId, OutlierConfig, Pool, PoolConfig, ResponseEnd, RetryConfig, RunEnd,
    RunId, ServerId, ServerState, SlowStartConfig, TokenResponse,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const DURATION: TenthMillis = 10_000 * MILLISECOND;
const RUNS: u32 = 100;
const MAX_CONCURRENCY: u32 = 4;

fn config() -> PoolConfig {
    PoolConfig {
        max_concurrency: MAX_CONCURRENCY,
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
        slow_start: Some(SlowStartConfig {
            duration: DURATION,
            runs: RUNS,
        }),
    }
}

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behavior {
    Healthy,
    /// Nothing listens there.
    Refuses,
    /// Takes connections and never answers.
    Hangs,
    /// Breaks off once a run was sent.
    Breaks,
    /// Answers that the run failed.
    Fails,
}

/// The outcome of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    HeldBack,
    Ended(RunEnd),
}

/// Simulates node and sockets: requests that are admitted begin at once, on servers with behaviors.
struct Simulation {
    pool: Pool,
    now: TenthMillis,
    behaviors: BTreeMap<ServerId, Behavior>,
    conns: BTreeMap<ConnId, (ServerId, Option<RunId>)>,
    /// What happens next, by time: a connection opens, or answers.
    next: BTreeSet<(TenthMillis, ConnId)>,
    runs: RunId,
    outcomes: BTreeMap<RunId, (Outcome, TenthMillis)>,
    /// When runs were sent, by server, and when slow starts began.
    sent: BTreeMap<ServerId, Vec<TenthMillis>>,
    slow_starts: Vec<(ServerId, TenthMillis)>,
    state_changes: Vec<(ServerId, ServerState)>,
}

impl Simulation {
    fn new(config: PoolConfig, servers: usize) -> Simulation {
        let mut pool = Pool::new(config, 1);
        let ids: Vec<ServerId> = (0..servers)
            .map(|_| pool.add_server(0, &mut Vec::new()))
            .collect();
        let (conns, next, outcomes, sent, slow_starts, state_changes) = Default::default();
        let behaviors = ids.into_iter().map(|id| (id, Behavior::Healthy)).collect();
        Simulation {
            pool,
            now: 0,
            behaviors,
            conns,
            next,
            runs: 0,
            outcomes,
            sent,
            slow_starts,
            state_changes,
        }
    }

    /// One request: admitted and begun, or held back.
    fn request(&mut self) -> RunId {
        self.runs += 1;
        let run = self.runs;
        match self.pool.admit(self.now) {
            Err(wait) => {
                assert!((1..=DURATION).contains(&wait), "retry after {wait}");
                self.outcomes.insert(run, (Outcome::HeldBack, self.now));
            }
            Ok(admission) => {
                if admission == Admission::Reserved {
                    self.pool.release_reservation();
                }
                let mut actions = Vec::new();
                self.pool
                    .begin(run, run.is_multiple_of(2), self.now, &mut actions);
                self.execute(actions);
            }
        }
        run
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Open { conn, server } => {
                    assert!(self.conns.insert(conn, (server, None)).is_none());
                    self.next.insert((self.now + MILLISECOND, conn));
                }
                Action::Send { conn, run } => {
                    let (server, carried) = self.conns.get_mut(&conn).expect("sent on none");
                    assert_eq!(carried.replace(run), None, "two runs on one connection");
                    self.pool.request_sent(conn);
                    self.sent.entry(*server).or_default().push(self.now);
                    let behavior = self.behaviors[server];
                    if behavior != Behavior::Hangs {
                        self.next.insert((
                            self.now
                                + if behavior == Behavior::Healthy {
                                    10 * MILLISECOND
                                } else {
                                    MILLISECOND
                                },
                            conn,
                        ));
                    }
                }
                Action::Close { conn } => {
                    assert!(self.conns.remove(&conn).is_some(), "closed twice");
                    self.next.retain(|(_, scheduled)| *scheduled != conn);
                }
                Action::StateChanged { server, state } => {
                    self.state_changes.push((server, state));
                    if matches!(state, ServerState::SlowStart { .. }) {
                        self.slow_starts.push((server, self.now));
                    }
                }
                Action::Ended { run, end } => {
                    let ended = self.outcomes.insert(run, (Outcome::Ended(end), self.now));
                    assert!(ended.is_none(), "{run} ended twice");
                }
            }
        }
    }

    /// Lets time pass, with what happens in it.
    fn advance(&mut self, span: TenthMillis) {
        let until = self.now + span;
        loop {
            let next = self.next.first().map_or(TenthMillis::MAX, |(at, _)| *at);
            let due = self.pool.next_due();
            self.now = next.min(due).min(until).max(self.now);
            let mut actions = Vec::new();
            if next <= self.now && next <= due {
                let (_, conn) = self.next.pop_first().unwrap();
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
        if carried.is_none() {
            if behavior != Behavior::Refuses {
                return self.pool.connected(conn, self.now, actions);
            }
            self.conns.remove(&conn);
            return self.pool.connect_refused(conn, self.now, actions);
        }
        if matches!(behavior, Behavior::Refuses | Behavior::Breaks) {
            self.conns.remove(&conn);
            return self.pool.connection_lost(conn, self.now, actions);
        }
        self.conns.get_mut(&conn).unwrap().1 = None;
        let over = match behavior {
            Behavior::Fails => ResponseEnd::Failed { reusable: true },
            _ => ResponseEnd::Completed { reusable: true },
        };
        self.pool.response_ended(conn, over, self.now, actions);
    }

    /// Requests at this pace for so long.
    fn load(&mut self, every: TenthMillis, lasts: TenthMillis) {
        let until = self.now + lasts;
        while self.now < until {
            self.request();
            self.advance(every);
        }
    }

    /// A server goes: its connections end, and nothing listens.
    fn kill(&mut self, server: ServerId) {
        self.behaviors.insert(server, Behavior::Refuses);
        let ends: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, (at, _))| *at == server)
            .map(|(conn, _)| *conn)
            .collect();
        for conn in ends {
            // Another's end may have closed this one.
            if self.conns.remove(&conn).is_some() {
                self.next.retain(|(_, scheduled)| *scheduled != conn);
                let mut actions = Vec::new();
                self.pool.connection_lost(conn, self.now, &mut actions);
                self.execute(actions);
            }
        }
    }

    fn sent_within(&self, server: ServerId, from: TenthMillis, until: TenthMillis) -> usize {
        self.sent
            .get(&server)
            .into_iter()
            .flatten()
            .filter(|at| (from..until).contains(at))
            .count()
    }

    fn count(&self, outcome: Outcome) -> usize {
        self.outcomes
            .values()
            .filter(|(ended, _)| *ended == outcome)
            .count()
    }

    /// Of each slow start: no more than its curve at any time, the health check apart, and no more
    /// than its runs in all.
    fn check_slow_starts(&self) {
        for (server, since) in &self.slow_starts {
            let next = self
                .slow_starts
                .iter()
                .filter(|(started, at)| started == server && at > since)
                .map(|(_, at)| *at)
                .min();
            let until = next.unwrap_or(TenthMillis::MAX).min(since + DURATION);
            let sent = self
                .sent
                .get(server)
                .into_iter()
                .flatten()
                .filter(|at| (*since..until).contains(at));
            for (index, at) in sent.enumerate() {
                let allowed = f64::from(RUNS) * ((at - since) as f64 / DURATION as f64).powi(2);
                let count = index + 1;
                assert!(
                    count as f64 <= allowed.max(1.0) + 1e-6,
                    "{count} sent {} after its return",
                    at - since
                );
            }
        }
    }
}

/// A pool of one server that was served, went down, and returns just before its next health check.
fn recovering_simulation(config: PoolConfig) -> Simulation {
    let mut simulation = Simulation::new(config, 1);
    simulation.load(5 * MILLISECOND, 100 * MILLISECOND);
    simulation.kill(0);
    simulation.load(5 * MILLISECOND, 2_000 * MILLISECOND);
    simulation.behaviors.insert(0, Behavior::Healthy);
    simulation
}

#[test]
fn a_down_server_gets_one_health_check_at_a_time_and_other_requests_get_a_retry_after() {
    let mut simulation = Simulation::new(config(), 1);
    simulation.load(5 * MILLISECOND, 100 * MILLISECOND);
    let served = simulation.runs;
    simulation.kill(0);
    simulation.load(5 * MILLISECOND, 10_000 * MILLISECOND);
    // A health check every 250 to 500 ms, though the only server there is.
    let asked = (simulation.runs - served) as usize;
    let attempted = simulation.count(Outcome::Ended(RunEnd::NotRun));
    assert!(
        (20..=41).contains(&attempted),
        "{attempted} health checks of {asked}"
    );
    assert_eq!(
        simulation.count(Outcome::HeldBack),
        asked - attempted,
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
    let (_, since) = simulation.slow_starts[0];
    simulation.check_slow_starts();
    let by = |tenth: TenthMillis| simulation.sent_within(0, since, since + DURATION * tenth / 10);
    assert!((95..=100).contains(&by(10)), "{}", by(10));
    // A quarter of it in the first half.
    assert!((20..=26).contains(&by(5)), "{}", by(5));
    assert!(
        simulation.sent_within(0, since + DURATION, TenthMillis::MAX) > 100,
        "full load after it"
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
    let since = simulation.now;
    simulation.load(5 * MILLISECOND, DURATION);
    assert!(simulation.sent_within(0, since, since + DURATION) > 1_500);
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
    // Nothing was wanted for most of the slow start: what comes now gets the rate of now, about 20
    // a second.
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
    // Five seconds into the first slow start's successor, not fifteen into the first.
    assert!(simulation.sent_within(0, back, back + 5_000 * MILLISECOND) <= 25);
}

#[test]
fn warm_servers_take_what_one_in_slow_start_may_not_get() {
    let mut simulation = Simulation::new(config(), 3);
    simulation.load(5 * MILLISECOND, 1_000 * MILLISECOND);
    simulation.kill(2);
    simulation.load(5 * MILLISECOND, 5_000 * MILLISECOND);
    simulation.behaviors.insert(2, Behavior::Healthy);
    let (from, asked) = (simulation.now, simulation.runs);
    // A health check may have been due long ago: the spans of one that stays down grow.
    simulation.load(5 * MILLISECOND, 8_000 * MILLISECOND + DURATION);
    let (_, since) = simulation.slow_starts[0];
    simulation.check_slow_starts();
    assert!(
        simulation.sent_within(2, since, since + DURATION) > 60,
        "it gets its share"
    );
    assert_eq!(simulation.pool.counters.held_back, 0);
    let ends = (asked + 1..=simulation.runs).filter_map(|run| simulation.outcomes.get(&run));
    let bad = ends
        .filter(|(outcome, at)| *at >= from && *outcome != Outcome::Ended(RunEnd::Completed))
        .count();
    assert_eq!(bad, 0);
}

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
fn a_server_added_later_gets_a_slow_start_and_those_of_the_start_do_not() {
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
fn a_configuration_without_slow_start_ends_those_under_way() {
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

// --- Shared slow starts ---

/// One pool's part of the tokens of a budget, where all need as much.
struct TokenShare {
    tokens: f64,
    counted: TenthMillis,
}

impl TokenShare {
    fn take(&mut self, now: TenthMillis, pools: usize) -> TokenResponse {
        let rate = 2.0 * f64::from(RUNS) / DURATION as f64 / pools as f64;
        // A share holds one whole token.
        self.tokens = (self.tokens + rate * (now - self.counted) as f64).min(1.0);
        self.counted = now;
        if self.tokens < 1.0 {
            return TokenResponse::Refused;
        }
        self.tokens -= 1.0;
        TokenResponse::Granted
    }
}

#[test]
fn pools_that_share_a_slow_start_send_no_more_than_one_would_and_each_sends_some() {
    const POOLS: usize = 12;
    let clock: Rc<RefCell<TenthMillis>> = Rc::default();
    let mut simulations: Vec<Simulation> = (0..POOLS)
        .map(|_| recovering_simulation(config()))
        .collect();
    let began = simulations[0].now;
    for simulation in &mut simulations {
        let (clock, mut share) = (
            clock.clone(),
            TokenShare {
                tokens: 1.0,
                counted: began,
            },
        );
        simulation
            .pool
            .set_slow_start_tokens(Box::new(move || share.take(*clock.borrow(), POOLS)));
    }
    while simulations[0].now < began + DURATION {
        for simulation in &mut simulations {
            *clock.borrow_mut() = simulation.now;
            simulation.request();
            simulation.advance(5 * MILLISECOND);
        }
    }
    let sent = simulations
        .iter()
        .map(|simulation| simulation.sent_within(0, began, began + DURATION));
    let sent: Vec<usize> = sent.collect();
    let sum: usize = sent.iter().sum();
    assert!((60..=RUNS as usize).contains(&sum), "{sum}: {sent:?}");
    assert!(sent.iter().all(|count| *count >= 5), "{sent:?}");
}

#[test]
fn the_health_check_is_made_up_for_while_no_run_is_waiting() {
    let mut simulation = recovering_simulation(config());
    let asked = Rc::new(RefCell::new(0));
    let counter = asked.clone();
    simulation.pool.set_slow_start_tokens(Box::new(move || {
        *counter.borrow_mut() += 1;
        TokenResponse::Granted
    }));
    while simulation.now < 2 * DURATION && simulation.slow_starts.is_empty() {
        simulation.load(5 * MILLISECOND, 5 * MILLISECOND);
    }
    simulation.advance(DURATION / 2);
    // One run's worth, at tokens of a hundredth and more; then no more are asked for.
    let taken = *asked.borrow();
    assert!((3..=100).contains(&taken), "{taken} tokens");
    simulation.advance(DURATION / 4);
    assert_eq!(*asked.borrow(), taken);
}

#[test]
fn without_tokens_only_the_health_check_is_sent_and_nothing_waits() {
    let mut simulation = recovering_simulation(config());
    simulation
        .pool
        .set_slow_start_tokens(Box::new(|| TokenResponse::Refused));
    let back = simulation.now;
    simulation.load(5 * MILLISECOND, DURATION - 1_000 * MILLISECOND);
    assert_eq!(
        simulation.sent_within(0, back, TenthMillis::MAX),
        1,
        "the health check alone"
    );
    assert_eq!(simulation.pool.in_flight(), 0);
    // Once its time is over a slow start binds nobody.
    simulation.load(5 * MILLISECOND, 3_000 * MILLISECOND);
    assert!(simulation.sent_within(0, back, TenthMillis::MAX) > 100);
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
fn a_connection_opened_before_an_outage_is_no_sign_of_recovery() {
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
    // Its run is not sent, as nothing of it is within a slow start; no other server is there.
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
    // The run that was under way ends well after the server is to be health checkd: it says nothing
    // of a return.
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
    // The health check begins on a connection of its own.
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
        "the health check"
    );
    assert!(
        simulation.pool.admit(simulation.now).is_err(),
        "there is one health check"
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

// --- Any events ---

#[derive(Clone, Debug)]
enum Step {
    Request(u8),
    Advance(TenthMillis),
    Kill(u8),
    Behave(u8, Behavior),
    Add,
    Remove(u8),
    Tokens(bool),
    Cancel(u8),
}

fn step() -> impl Strategy<Value = Step> {
    let behaviors = [
        Behavior::Healthy,
        Behavior::Healthy,
        Behavior::Refuses,
        Behavior::Hangs,
        Behavior::Breaks,
        Behavior::Fails,
    ];
    prop_oneof![
        8 => (1..20u8).prop_map(Step::Request),
        8 => (0..700 * MILLISECOND).prop_map(Step::Advance),
        1 => any::<u8>().prop_map(Step::Kill),
        3 => (any::<u8>(), prop::sample::select(behaviors.to_vec())).prop_map(|(index, behavior)| Step::Behave(index, behavior)),
        1 => Just(Step::Add),
        1 => any::<u8>().prop_map(Step::Remove),
        1 => any::<bool>().prop_map(Step::Tokens),
        1 => any::<u8>().prop_map(Step::Cancel),
    ]
}

fn run_steps(steps: &[Step], shared: bool) -> Simulation {
    let mut simulation = Simulation::new(config(), 3);
    let mut members = vec![0, 1, 2];
    let granted = Rc::new(RefCell::new(true));
    if shared {
        let granted = granted.clone();
        let answer = move || {
            if *granted.borrow() {
                TokenResponse::Granted
            } else {
                TokenResponse::Refused
            }
        };
        simulation.pool.set_slow_start_tokens(Box::new(answer));
    }
    for step in steps {
        let mut actions = Vec::new();
        match step {
            Step::Request(count) => (0..*count).for_each(|_| _ = simulation.request()),
            Step::Advance(span) => simulation.advance(*span),
            Step::Kill(index) => simulation.kill(usize::from(*index) % simulation.behaviors.len()),
            Step::Behave(index, behavior) => {
                let server = usize::from(*index) % simulation.behaviors.len();
                *simulation.behaviors.values_mut().nth(server).unwrap() = *behavior;
            }
            Step::Add if members.len() < 5 => {
                let server = simulation
                    .pool
                    .add_cold_server(simulation.now, &mut actions);
                simulation.behaviors.insert(server, Behavior::Healthy);
                members.push(server);
            }
            Step::Remove(index) if members.len() > 1 => {
                let server = members.swap_remove(usize::from(*index) % members.len());
                simulation
                    .pool
                    .remove_server(server, simulation.now, &mut actions);
                // Its place may be another's later.
                simulation
                    .slow_starts
                    .retain(|(started, _)| *started != server);
                simulation.sent.remove(&server);
            }
            Step::Tokens(given) => *granted.borrow_mut() = *given,
            Step::Cancel(index) => {
                let run = RunId::from(*index) % (simulation.runs + 1);
                simulation.pool.cancel(run, simulation.now, &mut actions);
            }
            Step::Add | Step::Remove(_) => {}
        }
        simulation.execute(actions);
        // Whoever waits has a server to wait for: one that is in use and not cold, or a place on
        // credit.
        let served = simulation.pool.connections() > 0 || simulation.pool.in_use() > 0;
        assert!(
            simulation.pool.in_flight() == 0 || served,
            "{:?}",
            simulation.pool
        );
    }
    simulation
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(0x0d00_7a3b),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_slow_start_is_exceeded_and_each_run_ends_once_for_any_events(
        steps in prop::collection::vec(step(), 1..150),
        shared in any::<bool>(),
    ) {
        let mut simulation = run_steps(&steps, shared);
        if !shared {
            simulation.check_slow_starts();
        }
        simulation.advance(60_000 * MILLISECOND);
        prop_assert_eq!(simulation.outcomes.len(), simulation.runs as usize, "not all requests have an outcome");
        prop_assert_eq!(simulation.pool.in_flight(), 0);
        // Left alone and sound, all return and serve.
        simulation.behaviors.values_mut().for_each(|behavior| *behavior = Behavior::Healthy);
        simulation.load(20 * MILLISECOND, 10_000 * MILLISECOND + 2 * DURATION);
        let last = simulation.request();
        simulation.advance(1_000 * MILLISECOND);
        prop_assert_eq!(simulation.outcomes.get(&last).map(|(outcome, _)| *outcome), Some(Outcome::Ended(RunEnd::Completed)));
    }

    #[test]
    fn one_server_alone_gets_no_more_than_its_slow_start_for_any_arrivals(
        gaps in prop::collection::vec(1..300 * MILLISECOND, 50..400),
        bursts in prop::collection::vec(1..6usize, 50..400),
    ) {
        let mut simulation = recovering_simulation(config());
        for (gap, burst) in gaps.iter().zip(bursts) {
            (0..burst).for_each(|_| _ = simulation.request());
            simulation.advance(*gap);
        }
        simulation.check_slow_starts();
        simulation.advance(5_000 * MILLISECOND);
        prop_assert_eq!(simulation.outcomes.len(), simulation.runs as usize);
    }
}
