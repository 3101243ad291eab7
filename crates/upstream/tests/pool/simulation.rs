//! A simulated world around a pool: sockets, servers and time.

use std::collections::{BTreeMap, BTreeSet};

use doortrack_time::{MILLISECOND, TenthMillis};
use doortrack_upstream::{
    Action, ConnId, OutlierConfig, Pool, PoolConfig, ResponseEnd, RetryConfig, RunEnd, RunId,
    ServerId,
};

pub fn config() -> PoolConfig {
    PoolConfig {
        max_concurrency: 4,
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
        slow_start: None,
    }
}

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
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
pub struct Simulation {
    pub pool: Pool,
    pub now: TenthMillis,
    pub behaviors: BTreeMap<ServerId, Behavior>,
    pub conns: BTreeMap<ConnId, (ServerId, Option<RunId>)>,
    /// What happens next, by time: a connection opens, or answers.
    pub next: BTreeSet<(TenthMillis, u64, ConnId)>,
    pub index: u64,
    pub idempotent: BTreeMap<RunId, bool>,
    pub sent: BTreeMap<RunId, Vec<ServerId>>,
    pub ended: BTreeMap<RunId, (RunEnd, TenthMillis)>,
    pub max_connections: BTreeMap<ServerId, usize>,
    /// Servers in use when the last load ended.
    pub in_use: usize,
}

impl Simulation {
    pub fn new(config: PoolConfig, servers: usize, seed: u64) -> Simulation {
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

    pub fn schedule(&mut self, after: TenthMillis, conn: ConnId) {
        self.index += 1;
        self.next.insert((self.now + after, self.index, conn));
    }

    pub fn begin(&mut self, run: RunId, idempotent: bool) {
        self.idempotent.insert(run, idempotent);
        let mut actions = Vec::new();
        self.pool.begin(run, idempotent, self.now, &mut actions);
        self.execute(actions);
    }

    pub fn cancel(&mut self, run: RunId) {
        let mut actions = Vec::new();
        self.pool.cancel(run, self.now, &mut actions);
        self.execute(actions);
    }

    pub fn execute(&mut self, actions: Vec<Action>) {
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
    pub fn check(&self) {
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
    pub fn advance(&mut self, until: TenthMillis) {
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

    pub fn connection_ready(&mut self, conn: ConnId, actions: &mut Vec<Action>) {
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

    pub fn end(&self, run: RunId) -> Option<RunEnd> {
        self.ended.get(&run).map(|(end, _)| *end)
    }

    /// A run every `every` for so long; the share of them that completed, of those begun from
    /// `since` on.
    pub fn load(
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
