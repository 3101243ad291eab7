//! The state of a pool of servers, and what it shows of itself.

mod admission;
mod connections;
mod deadlines;
mod dispatch;
mod ejection;
mod members;
mod runs;
mod warmup;

use std::collections::{BTreeMap, BTreeSet};

use doortrack_time::TenthMillis;
use fastrand::Rng;
use rustc_hash::FxHashMap;
use slab::Slab;

use crate::health::Health;
use crate::retry_budget::RetryBudget;
use crate::slow_start::Warmup;
use crate::{ConnId, PoolConfig, RunEnd, RunId, ServerId};

use self::admission::Reservations;

pub use self::admission::Admission;

/// What a pool counted since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Runs begun.
    pub begun: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Retries that were wanted and not in the budget.
    pub retries_over_budget: u64,
    /// Failures of servers: connections refused or broken, responses that fail, can't be read or
    /// come late.
    pub failures: u64,
    /// Ejections of servers.
    pub ejections: u64,
    /// Connections opened.
    pub connections_opened: u64,
    /// Idle connections that turned out to be closed when they were to be used.
    pub stale_connections: u64,
    /// Returns of servers that began a slow start.
    pub slow_starts: u64,
    /// Requests that were not admitted as every server was down or in slow start.
    pub held_back: u64,
}

#[derive(Debug)]
struct Server {
    health: Health,
    /// Connections that carry a run or are opened for one.
    busy_connections: u32,
    /// Idle connections; the one used last is taken first, so that the others may time out.
    idle: Vec<ConnId>,
    /// Its index among the servers that can take a run now.
    available_index: Option<usize>,
    /// It is dropped once it has no connections left.
    removed: bool,
    /// Present while it is down or in slow start; only where slow start is configured.
    warmup: Option<Warmup>,
    /// It counts among the servers that are in use and warmed up.
    counted_as_warm: bool,
    /// How often it went down.
    outages: u32,
}

impl Server {
    fn new(health: Health, warmup: Option<Warmup>) -> Server {
        Server {
            health,
            busy_connections: 0,
            idle: Vec::new(),
            available_index: None,
            removed: false,
            warmup,
            counted_as_warm: false,
            outages: 0,
        }
    }

    /// Whether no connection to it has opened since it went down.
    fn is_down(&self) -> bool {
        self.warmup.as_ref().is_some_and(Warmup::is_down)
    }

    fn connections(&self) -> u32 {
        self.busy_connections + self.idle.len() as u32
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    Connecting(RunId),
    /// It carries a run.
    Busy {
        run: RunId,
        /// Whether any byte of the run was handed to the system.
        sent: bool,
    },
    Idle,
}

#[derive(Debug)]
struct Connection {
    server: ServerId,
    state: ConnectionState,
    /// When its state has lasted for too long.
    deadline: TenthMillis,
    /// It carried a run before.
    reused: bool,
    /// The outages of its server before it was opened.
    outages: u32,
}

#[derive(Debug)]
struct Run {
    idempotent: bool,
    /// Its position in the queue, which it keeps when it is retried.
    sequence: u64,
    attempts: u32,
    last_server: Option<ServerId>,
    conn: Option<ConnId>,
    /// How it ends if no server is left that it could wait for.
    end_without_server: RunEnd,
}

/// A pool of servers, and the runs that they get.
#[derive(Debug)]
pub struct Pool {
    config: PoolConfig,
    rng: Rng,
    servers: Slab<Server>,
    connections: Slab<Connection>,
    runs: FxHashMap<RunId, Run>,
    /// Runs that wait for a server, by sequence.
    queue: BTreeMap<u64, RunId>,
    last_sequence: u64,
    /// Servers that can take a run now, in no order.
    available: Vec<ServerId>,
    /// Members that are not ejected.
    in_use: usize,
    /// Servers that are not removed.
    members: usize,
    deadlines: BTreeSet<(TenthMillis, ConnId)>,
    ejection_ends: BTreeSet<(TenthMillis, ServerId)>,
    retry_budget: RetryBudget,
    reservations: Reservations,
    /// What happened so far.
    pub counters: Counters,
}

impl Pool {
    /// An empty pool, whose random choices follow from `seed`.
    pub fn new(config: PoolConfig, seed: u64) -> Pool {
        Pool {
            retry_budget: RetryBudget::new(&config.retry),
            config,
            rng: Rng::with_seed(seed),
            servers: Slab::new(),
            connections: Slab::new(),
            runs: FxHashMap::default(),
            queue: BTreeMap::new(),
            last_sequence: 0,
            available: Vec::new(),
            in_use: 0,
            members: 0,
            deadlines: BTreeSet::new(),
            ejection_ends: BTreeSet::new(),
            reservations: Reservations::default(),
            counters: Counters::default(),
        }
    }

    /// Sets a gate that each retry must pass beside the pool's own budget; it is asked just before
    /// a retry.
    pub fn set_retry_gate(&mut self, gate: Box<dyn FnMut() -> bool>) {
        self.retry_budget.set_gate(gate);
    }

    /// Whether the server is known: a removed one is until it has no connections left.
    pub fn is_known(&self, server: ServerId) -> bool {
        self.servers.contains(server)
    }

    /// Whether the server is known and not removed.
    pub fn is_member(&self, server: ServerId) -> bool {
        self.servers
            .get(server)
            .is_some_and(|server| !server.removed)
    }

    /// The number of servers that are not removed.
    pub fn members(&self) -> usize {
        self.members
    }

    /// The number of members that are not ejected.
    pub fn in_use(&self) -> usize {
        self.in_use
    }

    /// The number of connections, idle ones included.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// The number of runs that were begun and have not ended.
    pub fn in_flight(&self) -> usize {
        self.runs.len()
    }
}
