//! The state of a pool of servers, its counters and accessors.

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

/// Counts of events since the pool was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Runs begun.
    pub begun: u64,
    /// Retries: attempts of a run after its first.
    pub retries: u64,
    /// Retries that were not made because the retry budget did not allow them.
    pub retries_over_budget: u64,
    /// Failures of servers: connections refused or broken, and responses that report an error, can't
    /// be parsed or are late.
    pub failures: u64,
    /// Ejections of servers.
    pub ejections: u64,
    /// Connections opened.
    pub connections_opened: u64,
    /// Idle connections that turned out to be closed when a run was sent on them.
    pub stale_connections: u64,
    /// Slow starts begun.
    pub slow_starts: u64,
    /// Requests that were not admitted because every server was down or in slow start.
    pub held_back: u64,
}

#[derive(Debug)]
struct Server {
    health: Health,
    /// Connections that carry a run or are being opened for one.
    busy_connections: u32,
    /// Idle connections. The most recently used one is taken first, so that the others time out.
    idle: Vec<ConnId>,
    /// Index in [`Pool::available`], if the server can take a run now.
    available_index: Option<usize>,
    /// The server was removed and is dropped once it has no connections left.
    removed: bool,
    /// Present while the server is down or in slow start, if slow start is configured.
    warmup: Option<Warmup>,
    /// The server is counted in `Reservations::warm_servers`.
    counted_as_warm: bool,
    /// How many times the server went down.
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

    /// Whether the server went down and no connection to it has opened since.
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
    /// The connection carries a run.
    Busy {
        run: RunId,
        /// Whether any byte of the run was passed to the operating system.
        sent: bool,
    },
    Idle,
}

#[derive(Debug)]
struct Connection {
    server: ServerId,
    state: ConnectionState,
    /// When the current state times out.
    deadline: TenthMillis,
    /// The connection has carried a run before.
    reused: bool,
    /// Value of [`Server::outages`] when the connection was created.
    outages: u32,
}

#[derive(Debug)]
struct Run {
    idempotent: bool,
    /// Position in the queue, kept when the run is retried.
    sequence: u64,
    attempts: u32,
    last_server: Option<ServerId>,
    conn: Option<ConnId>,
    /// How the run ends if no server that could take it is left.
    end_without_server: RunEnd,
}

/// A pool of servers and the runs that it distributes over them.
#[derive(Debug)]
pub struct Pool {
    config: PoolConfig,
    rng: Rng,
    servers: Slab<Server>,
    connections: Slab<Connection>,
    runs: FxHashMap<RunId, Run>,
    /// Runs that wait for a server, by sequence number.
    queue: BTreeMap<u64, RunId>,
    last_sequence: u64,
    /// Servers that can take a run now, in no particular order.
    available: Vec<ServerId>,
    /// Members that are not ejected.
    in_use: usize,
    /// Servers that are not removed.
    members: usize,
    deadlines: BTreeSet<(TenthMillis, ConnId)>,
    ejection_ends: BTreeSet<(TenthMillis, ServerId)>,
    retry_budget: RetryBudget,
    reservations: Reservations,
    /// Counts of events since the pool was created.
    pub counters: Counters,
}

impl Pool {
    /// Creates an empty pool. `seed` initializes its random number generator.
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

    /// Sets a function that must also allow each retry, in addition to the pool's own budget. It is
    /// called immediately before a retry.
    pub fn set_retry_gate(&mut self, gate: Box<dyn FnMut() -> bool>) {
        self.retry_budget.set_gate(gate);
    }

    /// Whether the server is a member, or was removed and still has connections.
    pub fn is_known(&self, server: ServerId) -> bool {
        self.servers.contains(server)
    }

    /// Whether the server exists and was not removed.
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

    /// The number of connections, including idle ones.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// The number of runs that were begun and have not ended.
    pub fn in_flight(&self) -> usize {
        self.runs.len()
    }
}
