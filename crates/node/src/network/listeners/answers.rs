//! Answers requests and writes the answers to the clients.

use std::ops::ControlFlow;

use doortrack_admission::RequestId;
use doortrack_time::TenthMillis;
use polling::{Event, PollMode};

use super::{Caller, Counts, FIRST_CONNECTION_KEY, ListenerEvent, Listeners};
use crate::network::request::{self, Answer};

impl Listeners {
    /// Returns true if the request is still pending, so that it can be answered.
    pub fn is_pending(&self, caller: Caller) -> bool {
        let connection = self.connections.get(caller.slot);
        connection.is_some_and(|connection| connection.pending.find(caller.request).is_some())
    }

    /// Sets the id by which the admission controller identifies a request.
    pub fn bind_request(&mut self, caller: Caller, id: RequestId) {
        let Some(connection) = self.connections.get_mut(caller.slot) else {
            return;
        };
        if let Some(pending) = connection.pending.find_mut(caller.request) {
            pending.id = Some(id);
        }
    }

    /// Answers a request, which is then no longer pending, so a second answer has no effect.
    pub fn answer(&mut self, caller: Caller, answer: Answer) {
        if !self.connections.contains(caller.slot) {
            return;
        }
        let removed = self.update_connection(caller.slot, |connection| {
            connection.pending.remove(caller.request)
        });
        let Some(request) = removed else {
            return;
        };
        let connection = &mut self.connections[caller.slot];
        if let Answer::Unreadable(_) = answer {
            connection.pause_reading();
        }
        count_answer(&mut self.listeners[connection.listener].counts, answer);
        let (backpressure, protocol) = (self.backpressure, connection.protocol());
        self.write(caller.slot, |out| {
            request::write(out, protocol, request.wire_id, answer, backpressure)
        });
    }

    /// Appends what `encode` writes to a connection's write buffer, unless the connection is closed at the end of the
    /// turn.
    pub(super) fn write(&mut self, slot: usize, encode: impl FnOnce(&mut Vec<u8>)) {
        self.limit_backlog();
        let connection = &mut self.connections[slot];
        if connection.immediate_close().is_none() {
            self.unread_answer_bytes += connection.out.append(encode);
        }
        self.queue_flush(slot);
    }

    /// Adds a connection to the queue of the next flush.
    pub(super) fn queue_flush(&mut self, slot: usize) {
        let connection = &mut self.connections[slot];
        if !connection.flush_queued {
            connection.flush_queued = true;
            self.flush_queue.push_back(slot);
        }
    }

    /// Writes the answers of the current turn, and closes connections that are to be closed. Breaks after a connection
    /// that has caused events, as input that waited for its answers to be written may hold many requests: the events
    /// are to be handled before the next call.
    pub fn flush(&mut self, now: TenthMillis, events: &mut Vec<ListenerEvent>) -> ControlFlow<()> {
        let pending_events = events.len();
        // The queue can grow in the loop: once answers are written, suspended requests can be parsed and answered.
        while let Some(slot) = self.flush_queue.pop_front() {
            self.flush_connection(slot, now, events);
            if events.len() > pending_events {
                return ControlFlow::Break(());
            }
        }
        ControlFlow::Continue(())
    }

    fn flush_connection(&mut self, slot: usize, now: TenthMillis, events: &mut Vec<ListenerEvent>) {
        // The connection may have been closed since, and its slot reused by another one.
        let connection = self.connections.get_mut(slot);
        let Some(connection) = connection.filter(|connection| connection.flush_queued) else {
            return;
        };
        connection.flush_queued = false;
        let before = connection.out.len();
        let written = connection
            .immediate_close()
            .map_or_else(|| connection.write(now), Err);
        self.unread_answer_bytes -= before - connection.out.len();
        if let Err(termination) = written {
            return self.close(slot, termination, events);
        }
        self.resume_suspended(slot, now, events);
        match self.connections[slot].due_close() {
            Some(termination) => self.linger(slot, termination, now, events),
            None => self.update_interest(slot),
        }
    }

    /// Updates the events that the poller reports for a connection, if they have changed.
    pub(super) fn update_interest(&mut self, slot: usize) {
        let connection = &mut self.connections[slot];
        let interest = connection.interest();
        if interest == connection.registered {
            return;
        }
        let event = Event::new(
            FIRST_CONNECTION_KEY + slot,
            interest.readable,
            interest.writable,
        );
        let modified = self
            .poller
            .modify_with_mode(&connection.sock, event, PollMode::Level);
        if modified.is_ok() {
            connection.registered = interest;
        }
    }
}

fn count_answer(counts: &mut Counts, answer: Answer) {
    match answer {
        Answer::Completed(_) => counts.completed += 1,
        Answer::Rejected { .. } => counts.rejected += 1,
        Answer::Failed => counts.failed += 1,
        Answer::Health { .. } => counts.health_checks += 1,
        Answer::Unreadable(reason) => *counts.unreadable.entry(reason.name()).or_default() += 1,
        Answer::UnknownRole => *counts.unreadable.entry("role").or_default() += 1,
        Answer::NoCapacity(reason) => *counts.no_capacity.entry(reason.name()).or_default() += 1,
    }
}
