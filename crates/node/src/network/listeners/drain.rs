//! Drains listeners: requests on connections that the operating system has accepted are still answered, and no
//! further connections are made. When the node shuts down, its connections stay open until right before the stop, as
//! callers may send requests on them until then.

use std::net::SocketAddr;

use doortrack_time::TenthMillis;

use super::{Listener, ListenerEvent, Listeners};
use crate::network::bounds::MAX_FINAL_ACCEPT_ATTEMPTS;
use crate::network::connection::Connection;
use crate::network::termination::Termination;

impl Listeners {
    /// Closes the listener at this address, and returns the slots of its connections. On each, what has arrived is to be
    /// read ([`Listeners::read_arrived`]) before further requests are refused
    /// ([`Listeners::refuse_further_requests`]); then [`Listeners::remove_drained`] is to be called.
    pub fn drain_listener(
        &mut self,
        address: SocketAddr,
        now: TenthMillis,
        events: &mut Vec<ListenerEvent>,
    ) -> Vec<usize> {
        let listeners = self.open_at(address);
        listeners
            .into_iter()
            .flat_map(|listener| self.drain(listener, Termination::ListenerClosed, now, events))
            .collect()
    }

    /// Closes all listeners when the node shuts down, and returns the slots of their connections, see
    /// [`Listeners::drain_listener`]. A listener whose connections can't be accepted for a moment stays open, and is
    /// closed at the next call.
    pub fn drain_all(&mut self, now: TenthMillis, events: &mut Vec<ListenerEvent>) -> Vec<usize> {
        let listeners: Vec<usize> = self.listeners.iter().map(|(index, _)| index).collect();
        listeners
            .into_iter()
            .flat_map(|listener| self.drain(listener, Termination::Shutdown, now, events))
            .collect()
    }

    /// Prevents new TCP handshakes at all listeners. Called before [`Listeners::drain_all`], so that handshakes in
    /// progress can complete in the meantime.
    pub fn refuse_handshakes(&self) {
        self.iter().for_each(Listener::refuse_handshakes);
    }

    /// Ends all incomplete requests when the node shuts down.
    pub fn end_incomplete_requests(&self, events: &mut Vec<ListenerEvent>) {
        for (slot, _) in &self.connections {
            self.end_incomplete(slot, events);
        }
    }

    /// Gracefully closes the connections on which nothing is owed or waits to be read, shortly before the process ends.
    pub fn close_quiet(&mut self, now: TenthMillis, events: &mut Vec<ListenerEvent>) {
        let connections = self.connections.iter();
        let reading = connections.filter(|(_, connection)| connection.is_reading());
        let slots: Vec<usize> = reading.map(|(slot, _)| slot).collect();
        for slot in slots {
            if self.connections[slot].is_quiet() {
                self.linger(slot, Termination::Shutdown, now, events);
            }
        }
    }

    /// Closes all connections at the end of the process.
    pub fn close_all(&mut self, events: &mut Vec<ListenerEvent>) {
        let slots: Vec<usize> = self.connections.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            self.close(slot, Termination::Shutdown, events);
        }
    }

    /// Accepts a listener's backlog, closes its socket, and returns the slots of its connections. Incomplete requests
    /// are kept until [`Listeners::sweep`] ends them.
    fn drain(
        &mut self,
        listener: usize,
        termination: Termination,
        now: TenthMillis,
        events: &mut Vec<ListenerEvent>,
    ) -> Vec<usize> {
        if let Some(entry) = self.listeners.get(listener) {
            entry.refuse_handshakes();
        }
        self.accept_backlog(listener, now, events);
        // Accepting may have evicted the last connection of a listener that was already draining, which removes it.
        let Some(entry) = self.listeners.get_mut(listener) else {
            return Vec::new();
        };
        let stays_open = entry.accept_failed && termination == Termination::Shutdown;
        if !stays_open && let Some(socket) = entry.socket.take() {
            _ = self.poller.delete(&socket);
        }
        entry.removed |= termination == Termination::ListenerClosed;
        let owned = self.connections.iter();
        owned
            .filter(|(_, connection)| connection.listener == listener)
            .map(|(slot, _)| slot)
            .collect()
    }

    fn accept_backlog(
        &mut self,
        listener: usize,
        now: TenthMillis,
        events: &mut Vec<ListenerEvent>,
    ) {
        let entry = self.listeners.get(listener);
        if entry.is_some_and(|entry| entry.socket.is_some()) {
            for _ in 0..MAX_FINAL_ACCEPT_ATTEMPTS {
                // Connections left in the backlog are lost, so recent activity does not protect others from eviction.
                while self.accept_evicting(listener, now, now, events) {}
                let entry = self.listeners.get(listener);
                if entry.is_none_or(|entry| !entry.accept_failed) {
                    return;
                }
            }
        }
    }

    /// Returns the slots of all connections.
    pub fn connection_slots(&self) -> Vec<usize> {
        self.connections.iter().map(|(slot, _)| slot).collect()
    }

    /// Reads once what has arrived on a connection, if the connection is still open and read.
    pub fn read_arrived(&mut self, slot: usize, now: TenthMillis, events: &mut Vec<ListenerEvent>) {
        let connection = self.connections.get(slot);
        if connection.is_some_and(Connection::is_reading) {
            self.read(slot, now, events);
        }
    }

    /// Refuses requests that arrive on a connection from now on, and closes it once all its requests are answered.
    pub fn refuse_further_requests(&mut self, slot: usize, termination: Termination) {
        if self.connections.contains(slot) {
            self.close_when_answered(slot, termination);
        }
    }

    /// Removes the listeners that are no longer in the installation and have no connection.
    pub fn remove_drained(&mut self) {
        for listener in self.listener_indices() {
            self.remove_if_drained(listener);
        }
    }

    /// Removes a listener that is no longer in the installation, once its last connection has closed. Its counts
    /// stay in the totals.
    pub(super) fn remove_if_drained(&mut self, listener: usize) {
        let entry = self.listeners.get(listener);
        if entry.is_some_and(|entry| entry.removed && entry.connections == 0) {
            let entry = self.listeners.remove(listener);
            self.removed_counts.add(&entry.counts);
        }
    }
}
