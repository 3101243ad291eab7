//! A simulated world around a pool with slow start: node, sockets, servers and time.

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
pub enum Outcome {
    HeldBack,
    Ended(RunEnd),
}

/// Simulates node and sockets: requests that are admitted begin at once, on servers with behaviors.
pub struct Simulation {
    pub pool: Pool,
    pub now: TenthMillis,
    pub behaviors: BTreeMap<ServerId, Behavior>,
    pub conns: BTreeMap<ConnId, (ServerId, Option<RunId>)>,
    /// What happens next, by time: a connection opens, or answers.
    pub next: BTreeSet<(TenthMillis, ConnId)>,
    pub runs: RunId,
    pub outcomes: BTreeMap<RunId, (Outcome, TenthMillis)>,
    /// When runs were sent, by server, and when slow starts began.
    pub sent: BTreeMap<ServerId, Vec<TenthMillis>>,
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

    /// One request: admitted and begun, or held back.
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
    pub fn advance(&mut self, span: TenthMillis) {
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
        let over = match behavior {
            Behavior::Fails => ResponseEnd::Failed { reusable: true },
            _ => ResponseEnd::Completed { reusable: true },
        };
        self.pool.response_ended(conn, over, self.now, actions);
    }

    /// Requests at this pace for so long.
    pub fn load(&mut self, every: TenthMillis, lasts: TenthMillis) {
        let until = self.now + lasts;
        while self.now < until {
            self.request();
            self.advance(every);
        }
    }

    /// A server goes: its connections end, and nothing listens.
    pub fn kill(&mut self, server: ServerId) {
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

    /// Of each slow start: no more than its curve at any time, the health check apart, and no more
    /// than its runs in all.
    pub fn check_slow_starts(&self) {
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
pub fn recovering_simulation(config: PoolConfig) -> Simulation {
    let mut simulation = Simulation::new(config, 1);
    simulation.load(5 * MILLISECOND, 100 * MILLISECOND);
    simulation.kill(0);
    simulation.load(5 * MILLISECOND, 2_000 * MILLISECOND);
    simulation.behaviors.insert(0, Behavior::Healthy);
    simulation
}
