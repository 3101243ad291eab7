//! The node's listeners and the table of all client connections, for all protocols.
//!
//! The table never exceeds [`bounds`](super::bounds). No call blocks: each one does what the sockets allow at once,
//! and [`Listeners::flush`] ends a turn of the event loop.

mod accept;
mod answers;
mod backlog;
mod close;
mod counts;
mod drain;
mod eviction;
mod incomplete;
mod listener;
mod reading;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use doortrack_admission::RequestId;
use doortrack_config::ResourceLimits;
use doortrack_protocols::Protocol;
use doortrack_time::TenthMillis;
use polling::Poller;
use slab::Slab;

pub use self::counts::Counts;
pub use self::listener::Listener;
use super::bounds::{MAX_LISTENERS, READ_BUFFER_BYTES};
use super::classifier::RequestClassifier;
use super::connection::{Connection, PendingUsage};
use super::request::{BodyHash, DeploymentNames, IncomingRequest, IncompleteKey, RefusalReason};
use super::termination::Termination;
use super::wall_clock::WallClock;
use crate::system::clock::ClockReading;

/// The poller key of the first listener; the others follow.
pub const FIRST_LISTENER_KEY: usize = 8;
/// The poller key of the first connection; the others follow.
pub const FIRST_CONNECTION_KEY: usize = FIRST_LISTENER_KEY + MAX_LISTENERS;

/// The destination of an answer: the connection's slot in the table and the number of the pending request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    slot: usize,
    request: u64,
}

/// A request's encoded CGI variables as received, and the protocol that encodes them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawVariables {
    /// The client's protocol.
    pub protocol: Protocol,
    /// The encoded variables, at most [`MAX_PARAMS_BYTES`](super::bounds::MAX_PARAMS_BYTES).
    pub bytes: Vec<u8>,
}

/// An event on client connections.
pub enum ListenerEvent {
    /// A complete, valid request arrived.
    Request {
        /// The destination of the answer.
        caller: Caller,
        /// The properties that admission needs.
        request: IncomingRequest,
        /// The variables, passed on to a server that runs the request.
        variables: RawVariables,
        /// The body, passed on to the engine or server that runs the request.
        body: Vec<u8>,
    },
    /// A complete, valid request with an idempotency key arrived that can't be run. It is answered only from what is
    /// known of its key, as it may be a duplicate of a request that ran.
    PossibleDuplicate {
        /// The destination of the answer.
        caller: Caller,
        /// The properties that admission needs.
        request: IncomingRequest,
        /// The hash of the body.
        body_hash: BodyHash,
        /// Why a request that is no duplicate is refused.
        refusal: RefusalReason,
    },
    /// The connection of a request has to end before the rest of the request arrives.
    Incomplete {
        /// The destination of the answer.
        caller: Caller,
        /// What has arrived of its idempotency key.
        key: IncompleteKey,
    },
    /// A request was aborted, or its connection was closed.
    Ended {
        /// The request.
        id: RequestId,
        /// How the request or its connection ended.
        termination: Termination,
    },
}

/// All listeners and the connections that they have accepted.
pub struct Listeners {
    poller: Arc<Poller>,
    listeners: Slab<Listener>,
    connections: Slab<Connection>,
    names: DeploymentNames,
    /// Classifies the requests of the installation's listeners, if it has rules.
    pub rules: Option<RequestClassifier>,
    limits: ResourceLimits,
    /// What the requests pending on all connections use of the limits.
    pending_usage: PendingUsage,
    /// Number of requests begun since the start, which is also the number of the last one.
    requests_begun: u64,
    /// Bytes of answers on all connections that have not been written to the sockets.
    unread_answer_bytes: usize,
    /// Bytes of input on all connections that waits until answers are read.
    suspended_bytes: usize,
    /// Slots of the connections that the next flush handles.
    flush_queue: VecDeque<usize>,
    read_buffer: Vec<u8>,
    /// No caller waits for longer than this.
    longest_deadline: TenthMillis,
    /// The clock of the timestamps of requests.
    wall_clock: WallClock,
    /// The backpressure value sent with each answer, if the deployment has one.
    pub backpressure: Option<f32>,
    /// The result of health checks.
    pub healthy: bool,
    /// How long a connection may be idle before it is closed.
    pub idle_timeout: TenthMillis,
    /// The sum of the counts of all removed listeners.
    removed_counts: Counts,
}

impl Listeners {
    /// Creates an empty table without listeners.
    pub fn new(
        poller: Arc<Poller>,
        names: DeploymentNames,
        limits: ResourceLimits,
        longest_deadline: TenthMillis,
    ) -> Self {
        Listeners {
            poller,
            listeners: Slab::new(),
            connections: Slab::new(),
            names,
            rules: None,
            limits,
            pending_usage: PendingUsage::default(),
            requests_begun: 0,
            unread_answer_bytes: 0,
            suspended_bytes: 0,
            flush_queue: VecDeque::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
            longest_deadline,
            wall_clock: WallClock::default(),
            backpressure: None,
            healthy: true,
            idle_timeout: TenthMillis::MAX,
            removed_counts: Counts::default(),
        }
    }

    /// Returns the limits of the table.
    pub fn limits(&self) -> &ResourceLimits {
        &self.limits
    }

    /// Returns what the requests pending on all connections use of the limits.
    pub fn pending_usage(&self) -> PendingUsage {
        self.pending_usage
    }

    /// Records a reading of the clocks, by which timestamps of requests are converted to the node's time.
    pub fn set_clocks(&mut self, reading: ClockReading) {
        self.wall_clock
            .update(reading.now, reading.wall_time, self.longest_deadline);
    }

    /// Changes a connection, and updates what all connections use of the limits.
    fn update_connection<T>(
        &mut self,
        slot: usize,
        change: impl FnOnce(&mut Connection) -> T,
    ) -> T {
        let connection = &mut self.connections[slot];
        let before = connection.pending.usage();
        let result = change(connection);
        let after = connection.pending.usage();
        self.pending_usage.replace(before, after);
        result
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Returns true if no connection is open and none can be made.
    pub fn is_closed(&self) -> bool {
        self.connections.is_empty() && self.iter().all(|listener| listener.socket.is_none())
    }

    /// Iterates over the listeners that are open or draining.
    pub fn iter(&self) -> impl Iterator<Item = &Listener> {
        self.listeners.iter().map(|(_, listener)| listener)
    }

    /// Returns the counts of all listeners since the start.
    pub fn counts(&self) -> Counts {
        let mut total = self.removed_counts.clone();
        for listener in self.iter() {
            total.add(&listener.counts);
        }
        total
    }

    /// Returns the indices of the listeners that are open at this address, of which there is at most one.
    fn open_at(&self, address: SocketAddr) -> Vec<usize> {
        let open = self.listeners.iter();
        open.filter(|(_, listener)| listener.is_open_at(address))
            .map(|(index, _)| index)
            .collect()
    }
}
