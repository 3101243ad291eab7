//! Opens listeners and accepts connections.

use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::ops::ControlFlow;

use doortrack_config::transient::is_at_descriptor_limit;
use doortrack_protocols::Protocol;
use doortrack_time::TenthMillis;
use polling::{Event, PollMode};

use super::eviction::EvictionScope;
use super::listener::{self, Listener};
use super::{FIRST_CONNECTION_KEY, FIRST_LISTENER_KEY, ListenerEvent, Listeners};
use crate::network::bounds::{self, EVICTION_GRACE, MAX_ACCEPTS_PER_EVENT, MAX_LISTENERS};
use crate::network::connection::Connection;
use crate::system::retry::retry_at_once;

impl Listeners {
    /// Opens a listener. `max_connections` bounds its connections; the connections of all listeners together are
    /// bounded by the node's own limit.
    ///
    /// # Errors
    /// There are already [`MAX_LISTENERS`], or the address cannot be listened on.
    pub fn listen(
        &mut self,
        address: SocketAddr,
        protocol: Protocol,
        max_connections: Option<usize>,
    ) -> io::Result<()> {
        if self.listeners.len() >= MAX_LISTENERS {
            return Err(io::Error::other(
                "too many fronts, including those that are draining",
            ));
        }
        let socket = listener::bind(address, bounds::backlog(self.limits.connections))?;
        let entry = self.listeners.vacant_entry();
        let key = FIRST_LISTENER_KEY + entry.key();
        // SAFETY: the socket is removed from the poller in `drain`, or lives as long as the poller.
        unsafe {
            self.poller
                .add_with_mode(&socket, Event::readable(key), PollMode::Level)?
        };
        // The platform's own listener is opened first and never removed.
        let is_platform = key == FIRST_LISTENER_KEY;
        let listener = Listener::new(address, protocol, socket, max_connections, is_platform);
        entry.insert(listener);
        Ok(())
    }

    /// Changes the bound on a listener's connections; open connections are kept.
    pub fn set_max_connections(&mut self, address: SocketAddr, max_connections: Option<usize>) {
        for index in self.open_at(address) {
            self.listeners[index].max_connections = max_connections.unwrap_or(usize::MAX);
        }
        self.resume_accepting();
    }

    /// Accepts connections that wait at a listener. Returns true if more may be waiting.
    pub fn accept(
        &mut self,
        listener: usize,
        now: TenthMillis,
        events: &mut Vec<ListenerEvent>,
    ) -> bool {
        self.accept_evicting(listener, now.saturating_sub(EVICTION_GRACE), now, events)
    }

    /// Like [`Listeners::accept`]. If a connection has to be evicted, only those without activity since
    /// `inactive_since` are considered.
    pub(super) fn accept_evicting(
        &mut self,
        listener: usize,
        inactive_since: TenthMillis,
        now: TenthMillis,
        events: &mut Vec<ListenerEvent>,
    ) -> bool {
        if !self.listeners.contains(listener) {
            return false;
        }
        for attempt in 0..MAX_ACCEPTS_PER_EVENT {
            let is_first = attempt == 0;
            let step = self.accept_one(listener, is_first, inactive_since, now, events);
            if let ControlFlow::Break(more_waiting) = step {
                return more_waiting;
            }
        }
        true
    }

    /// Accepts one connection. Breaks if no further connection can be accepted now; the value is true if more may be
    /// waiting.
    fn accept_one(
        &mut self,
        listener: usize,
        is_first: bool,
        inactive_since: TenthMillis,
        now: TenthMillis,
        events: &mut Vec<ListenerEvent>,
    ) -> ControlFlow<bool> {
        let scope = self.eviction_scope(listener);
        // Only the first connection is known to be waiting, so nothing is evicted for further ones.
        let has_slot =
            !self.is_full(listener) || (is_first && self.evict_now(scope, inactive_since, events));
        if !has_slot {
            return self.defer_accepting(listener, is_first);
        }
        let Some(socket) = &self.listeners[listener].socket else {
            return ControlFlow::Break(false);
        };
        let accepted = socket.accept();
        self.listeners[listener].accept_failed = accepted
            .as_ref()
            .is_err_and(|e| e.kind() != ErrorKind::WouldBlock);
        match accepted {
            Ok((sock, peer)) => {
                // If this fails, the connection is dropped before anything has been read from it.
                _ = self.insert(sock, peer.ip(), listener, now);
                self.evict_proactively(listener, inactive_since, now, events);
                ControlFlow::Continue(())
            }
            Err(e) => self.accept_failed(listener, &e, is_first, inactive_since, events),
        }
    }

    fn accept_failed(
        &mut self,
        listener: usize,
        error: &io::Error,
        is_first: bool,
        inactive_since: TenthMillis,
        events: &mut Vec<ListenerEvent>,
    ) -> ControlFlow<bool> {
        match error.kind() {
            ErrorKind::Interrupted | ErrorKind::ConnectionAborted => ControlFlow::Continue(()),
            ErrorKind::WouldBlock => ControlFlow::Break(false),
            // The operating system reserves a descriptor before it looks for a connection, so from the second
            // attempt on this error does not mean that a connection is waiting.
            _ if is_at_descriptor_limit(error) => {
                if is_first && self.evict_now(EvictionScope::Table, inactive_since, events) {
                    ControlFlow::Continue(())
                } else {
                    self.defer_accepting(listener, is_first)
                }
            }
            _ => {
                // The socket may stay ready, so it is not polled until the next sweep tries again.
                self.set_accepting(listener, false);
                ControlFlow::Break(false)
            }
        }
    }

    /// Leaves the remaining connections in the backlog. If not even the first one could be accepted, the poller
    /// stops reporting the listener until a connection closes or a sweep finds that one can be evicted.
    fn defer_accepting(&mut self, listener: usize, is_first: bool) -> ControlFlow<bool> {
        self.set_accepting(listener, !is_first);
        ControlFlow::Break(!is_first)
    }

    pub(super) fn is_full(&self, listener: usize) -> bool {
        self.connections.len() >= self.limits.connections || self.listeners[listener].is_full()
    }

    fn insert(
        &mut self,
        sock: TcpStream,
        peer: IpAddr,
        listener: usize,
        now: TenthMillis,
    ) -> io::Result<()> {
        retry_at_once(|| sock.set_nonblocking(true))?;
        retry_at_once(|| sock.set_nodelay(true))?;
        let entry = self.connections.vacant_entry();
        let interest = Event::readable(FIRST_CONNECTION_KEY + entry.key());
        // SAFETY: the socket is removed from the poller in `close`, before it is dropped.
        let add = || unsafe { self.poller.add_with_mode(&sock, interest, PollMode::Level) };
        retry_at_once(add)?;
        let owner = &mut self.listeners[listener];
        owner.counts.accepted += 1;
        owner.connections += 1;
        entry.insert(Connection::new(sock, peer, listener, owner.protocol, now));
        Ok(())
    }

    /// Sets whether the poller reports new connections at a listener.
    pub(super) fn set_accepting(&mut self, listener: usize, accepting: bool) {
        let Some(entry) = self.listeners.get_mut(listener) else {
            return;
        };
        let Some(socket) = entry
            .socket
            .as_ref()
            .filter(|_| accepting != entry.accepting)
        else {
            return;
        };
        let interest = Event::new(FIRST_LISTENER_KEY + listener, accepting, false);
        let modified = self
            .poller
            .modify_with_mode(socket, interest, PollMode::Level);
        if modified.is_ok() {
            entry.accepting = accepting;
        }
    }

    /// Lets the poller report new connections at all listeners.
    pub(super) fn resume_accepting(&mut self) {
        for listener in self.listener_indices() {
            self.set_accepting(listener, true);
        }
    }

    /// Returns a range that includes the indices of all listeners.
    pub(super) fn listener_indices(&self) -> std::ops::Range<usize> {
        0..self.listeners.capacity().min(MAX_LISTENERS)
    }
}
