//! The node's listeners and the table of all clients' connections, whatever protocol they speak.
//!
//! The table keeps within [`bounds`](super::bounds) by construction. Nothing here blocks: each call does what
//! the sockets allow at once, and [`Listeners::flush`] ends a turn of the event loop.

mod accept;
mod answers;
mod backlog;
mod close;
mod counts;
mod drain;
mod eviction;
mod listener;
mod reading;

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
use super::connection::Connection;
use super::request::{DeploymentNames, IncomingRequest};
use super::termination::Termination;

/// The poller's key of the first listener; the others follow.
pub const FIRST_LISTENER_KEY: usize = 8;
/// The poller's key of the first connection; the others follow.
pub const FIRST_CONNECTION_KEY: usize = FIRST_LISTENER_KEY + MAX_LISTENERS;

/// Where an answer goes: the connection's slot in the table and the request's number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    slot: usize,
    request: u64,
}

/// A request's CGI variables as they were sent, and the protocol that encodes them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawVariables {
    /// The protocol that the client spoke.
    pub protocol: Protocol,
    /// The encoded variables, at most [`MAX_PARAMS_BYTES`](super::bounds::MAX_PARAMS_BYTES).
    pub bytes: Vec<u8>,
}

/// What happened on the clients' connections.
pub enum ListenerEvent {
    /// A complete, readable request arrived.
    Request {
        /// Where its answer goes.
        caller: Caller,
        /// What admission needs to know of it.
        request: IncomingRequest,
        /// Its variables, for whoever runs it.
        variables: RawVariables,
        /// Its body, for whoever runs it.
        body: Vec<u8>,
        /// Its connection is being closed: it is not run, and answered only from what is known of its key.
        connection_closing: bool,
    },
    /// A request's connection, or its caller's interest in it, came to an end.
    Ended {
        /// The request.
        id: RequestId,
        /// How it ended.
        termination: Termination,
    },
}

/// All listeners, and the connections that they accepted.
pub struct Listeners {
    poller: Arc<Poller>,
    listeners: Slab<Listener>,
    connections: Slab<Connection>,
    names: DeploymentNames,
    /// Classifies the requests of the installation's listeners, if it has rules.
    pub rules: Option<RequestClassifier>,
    limits: ResourceLimits,
    /// Requests pending on all connections.
    pending_requests: usize,
    /// Requests begun since the start; the number of the last one.
    requests_begun: u64,
    /// Bytes of answers on all connections that the peers have not taken.
    unread_answer_bytes: usize,
    /// Bytes of input on all connections that waits for that.
    suspended_bytes: usize,
    /// Slots of the connections that the next flush is to look at.
    flush_queue: Vec<usize>,
    read_buffer: Vec<u8>,
    /// No caller waits for longer than this.
    longest_deadline: TenthMillis,
    /// The load signal that goes out with each answer, if the deployment has one.
    pub backpressure: Option<f32>,
    /// What health checks are answered.
    pub healthy: bool,
    /// How long a connection may be idle before it is closed.
    pub idle_timeout: TenthMillis,
    /// The sum of the counts of listeners that have been removed.
    removed_counts: Counts,
}

impl Listeners {
    /// An empty table, without any listener.
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
            pending_requests: 0,
            requests_begun: 0,
            unread_answer_bytes: 0,
            suspended_bytes: 0,
            flush_queue: Vec::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
            longest_deadline,
            backpressure: None,
            healthy: true,
            idle_timeout: TenthMillis::MAX,
            removed_counts: Counts::default(),
        }
    }

    /// How many connections are open.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// The listeners that are open or draining.
    pub fn iter(&self) -> impl Iterator<Item = &Listener> {
        self.listeners.iter().map(|(_, listener)| listener)
    }

    /// What all listeners have counted since the start.
    pub fn counts(&self) -> Counts {
        let mut total = self.removed_counts.clone();
        for listener in self.iter() {
            total.add(&listener.counts);
        }
        total
    }

    /// The indices of the listeners that are open at this address; one at the most.
    fn open_at(&self, address: SocketAddr) -> Vec<usize> {
        let open = self.listeners.iter();
        open.filter(|(_, listener)| listener.is_open_at(address))
            .map(|(index, _)| index)
            .collect()
    }
}
