//! Simulates the node, sockets, servers and clock around a pool with slow start.

use std::collections::{BTreeMap, BTreeSet};

use doortrack_time::{MILLISECOND, TenthMillis};
use doortrack_upstream::{
    Action, Admission, ConnId, OutlierConfig, Pool, PoolConfig, ResponseEnd, RetryConfig, RunEnd,
    RunId, ServerId, ServerState, SlowStartConfig,
};

pub const DURATION: TenthMillis = 10_000 * MILLISECOND;
pub const RUNS: u32 = 100;
pub const MAX_CONCURRENCY: u32 = 4;

pub fn config() -> PoolConfig {
    PoolConfig {
        max_concurrency: MAX_CONCURRENCY,
        idle_timeout: 5_000 * MILLISECOND,
        connect_timeout: 250 * MILLISECOND,
        response_timeout: 1_000 * MILLISECOND,
        outlier: OutlierConfig {
            consecutive_failures: 3,
            base_ejection: 500 * MILLISECOND,
            max_ejection: 8_000 * MILLISECOND,
            min_share_in_use: 0.25,
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
pub enum Behavior {
    Healthy,
    /// Refuses connections.
    Refuses,
    /// Accepts connections and never responds.
    Hangs,
    /// Closes the connection once a run was sent.
    Breaks,
    /// Responds that the run failed.
    Fails,
}

/// The outcome of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    HeldBack,
    Ended(RunEnd),
}

/// Admits requests as a node does, begins admitted ones at once, and executes the actions of a pool on
/// simulated sockets and servers.
pub struct Simulation {
    pub pool: Pool,
    pub now: TenthMillis,
    pub behaviors: BTreeMap<ServerId, Behavior>,
    pub conns: BTreeMap<ConnId, (ServerId, Option<RunId>)>,
    /// Scheduled events of connections, by time: the connection opens, or the response arrives.
    pub next: BTreeSet<(TenthMillis, ConnId)>,
    pub runs: RunId,
    pub outcomes: BTreeMap<RunId, (Outcome, TenthMillis)>,
    /// When runs were sent, by server.
    pub sent: BTreeMap<ServerId, Vec<TenthMillis>>,
    /// When slow starts began.
    pub slow_starts: Vec<(ServerId, TenthMillis)>,
    pub state_changes: Vec<(ServerId, ServerState)>,
}

impl Simulation {
    pub fn new(config: PoolConfig, servers: usize) -> Simulation {
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

    /// Sends one request, which is admitted and begun, or held back. Returns its identifier.
    pub fn request(&mut self) -> RunId {
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

    pub fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Open { conn, server } => {
                    assert!(self.conns.insert(conn, (server, None)).is_none());
                    self.next.insert((self.now + MILLISECOND, conn));
                }
                Action::Send { conn, run } => {
                    let (server, carried) = self
                        .conns
                        .get_mut(&conn)
                        .expect("the connection is not open");
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
                    assert!(
                        self.conns.remove(&conn).is_some(),
                        "connection {conn} was closed twice"
                    );
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
                    assert!(ended.is_none(), "run {run} ended twice");
                }
            }
        }
    }

    /// Advances the clock by `duration` and processes all events on the way.
    pub fn advance(&mut self, duration: TenthMillis) {
        let until = self.now + duration;
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
                    "a timer that was handled is due again at once"
                );
            } else {
                return;
            }
            self.execute(actions);
        }
    }

    pub fn connection_ready(&mut self, conn: ConnId, actions: &mut Vec<Action>) {
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
        let response = match behavior {
            Behavior::Fails => ResponseEnd::Failed { reusable: true },
            _ => ResponseEnd::Completed { reusable: true },
        };
        self.pool.response_ended(conn, response, self.now, actions);
    }

    /// Sends a request every `interval` for `duration`.
    pub fn load(&mut self, interval: TenthMillis, duration: TenthMillis) {
        let until = self.now + duration;
        while self.now < until {
            self.request();
            self.advance(interval);
        }
    }

    /// Stops a server: its connections end, and it refuses new ones.
    pub fn kill(&mut self, server: ServerId) {
        self.behaviors.insert(server, Behavior::Refuses);
        let ends: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, (at, _))| *at == server)
            .map(|(conn, _)| *conn)
            .collect();
        for conn in ends {
            // The pool may have closed this connection in reaction to the end of another.
            if self.conns.remove(&conn).is_some() {
                self.next.retain(|(_, scheduled)| *scheduled != conn);
                let mut actions = Vec::new();
                self.pool.connection_lost(conn, self.now, &mut actions);
                self.execute(actions);
            }
        }
    }

    pub fn sent_within(&self, server: ServerId, from: TenthMillis, until: TenthMillis) -> usize {
        self.sent
            .get(&server)
            .into_iter()
            .flatten()
            .filter(|at| (from..until).contains(at))
            .count()
    }

    pub fn count(&self, outcome: Outcome) -> usize {
        self.outcomes
            .values()
            .filter(|(ended, _)| *ended == outcome)
            .count()
    }

    /// Checks that each slow start sent no more runs than its curve allows at any time, apart from the
    /// health check.
    pub fn check_slow_starts(&self) {
        for (server, started_at) in &self.slow_starts {
            let next = self
                .slow_starts
                .iter()
                .filter(|(other, at)| other == server && at > started_at)
                .map(|(_, at)| *at)
                .min();
            let until = next.unwrap_or(TenthMillis::MAX).min(started_at + DURATION);
            let sent = self
                .sent
                .get(server)
                .into_iter()
                .flatten()
                .filter(|at| (*started_at..until).contains(at));
            for (index, at) in sent.enumerate() {
                let allowed =
                    f64::from(RUNS) * ((at - started_at) as f64 / DURATION as f64).powi(2);
                let count = index + 1;
                assert!(
                    count as f64 <= allowed.max(1.0) + 1e-6,
                    "{count} runs sent {} tenths of a millisecond after the return",
                    at - started_at
                );
            }
        }
    }
}

/// A pool of one server that served runs, went down, and accepts connections again before its next
/// health check.
pub fn recovering_simulation(config: PoolConfig) -> Simulation {
    let mut simulation = Simulation::new(config, 1);
    simulation.load(5 * MILLISECOND, 100 * MILLISECOND);
    simulation.kill(0);
    simulation.load(5 * MILLISECOND, 2_000 * MILLISECOND);
    simulation.behaviors.insert(0, Behavior::Healthy);
    simulation
}
