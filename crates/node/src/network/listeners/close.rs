//! Closes connections: gracefully, at once, or after a timeout.

use doortrack_time::TenthMillis;

use super::{ListenerEvent, Listeners};
use crate::network::bounds;
use crate::network::connection::{PendingUsage, Timeouts};
use crate::network::request::Answer;
use crate::network::termination::Termination;

impl Listeners {
    /// Closes a connection gracefully once all its requests are answered: half-closes it, and drops it once the peer has
    /// closed too. A request that the peer sends in the meantime is never read; its caller sees an orderly end of the
    /// connection and may send the request again.
    pub(super) fn linger(
        &mut self,
        slot: usize,
        termination: Termination,
        now: TenthMillis,
        events: &mut Vec<ListenerEvent>,
    ) {
        if self.connections[slot].linger(termination, now) {
            self.update_interest(slot)
        } else {
            self.close(slot, termination, events)
        }
    }

    /// Closes a connection at once and reports the requests that were pending on it.
    pub(super) fn close(
        &mut self,
        slot: usize,
        termination: Termination,
        events: &mut Vec<ListenerEvent>,
    ) {
        let connection = self.connections.remove(slot);
        _ = self.poller.delete(&connection.sock);
        self.pending_usage
            .replace(connection.pending.usage(), PendingUsage::default());
        self.unread_answer_bytes -= connection.out.len();
        self.suspended_bytes -= connection.suspended_bytes();
        let ids = connection.pending.iter().filter_map(|pending| pending.id);
        events.extend(ids.map(|id| ListenerEvent::Ended { id, termination }));
        let owner = &mut self.listeners[connection.listener];
        owner.connections -= 1;
        owner.counts.add_closed(termination, &connection);
        self.remove_if_drained(connection.listener);
        self.resume_accepting();
    }

    /// Closes a connection once all requests pending on it are answered. Until then the connection is read, as the
    /// peer may be sending requests without knowing of the close; those are rejected.
    pub(super) fn close_when_answered(&mut self, slot: usize, termination: Termination) {
        self.connections[slot].refuse_requests(termination);
        self.queue_flush(slot);
    }

    /// Closes connections whose timeouts have expired, and resumes paused reading and accepting. To be called at a
    /// regular interval while [`Listeners::needs_sweep`] returns true.
    pub fn sweep(&mut self, now: TenthMillis, events: &mut Vec<ListenerEvent>) {
        self.resume_paused();
        self.end_overdue_requests(events);
        let timeouts = Timeouts {
            idle: self.idle_timeout,
            request_read: bounds::request_read_timeout(self.longest_deadline),
            unread_answers: self.longest_deadline,
        };
        let expiry = self.connections.iter().filter_map(|(slot, connection)| {
            let termination = connection.expiry(now, &timeouts)?;
            Some((slot, termination))
        });
        let expired: Vec<(usize, Termination)> = expiry.collect();
        for (slot, termination) in expired {
            self.close_expired(slot, termination, now, events);
        }
        self.retry_accepting();
    }

    /// Returns true if [`Listeners::sweep`] may have work to do.
    pub fn needs_sweep(&self) -> bool {
        !self.connections.is_empty() || self.iter().any(|listener| !listener.accepting)
    }

    /// Ends incomplete requests on closing connections once they have been incomplete for too many sweeps.
    fn end_overdue_requests(&mut self, events: &mut Vec<ListenerEvent>) {
        let connections = self.connections.iter_mut();
        let overdue: Vec<usize> = connections
            .filter_map(|(slot, connection)| {
                connection.incomplete_requests_overdue().then_some(slot)
            })
            .collect();
        for slot in overdue {
            self.end_incomplete(slot, events);
        }
    }

    fn resume_paused(&mut self) {
        for (slot, connection) in &mut self.connections {
            if connection.resume_reading() && !connection.flush_queued {
                connection.flush_queued = true;
                self.flush_queue.push_back(slot);
            }
        }
    }

    fn close_expired(
        &mut self,
        slot: usize,
        termination: Termination,
        now: TenthMillis,
        events: &mut Vec<ListenerEvent>,
    ) {
        match termination {
            _ if self.connections[slot].is_lingering() => self.close(slot, termination, events),
            Termination::Idle => self.linger(slot, termination, now, events),
            // A dispatcher that forwards a slow client's request may have other requests pending on the connection.
            Termination::RequestTimeout => {
                self.answer_incomplete(slot, Answer::INCOMPLETE);
                self.close_when_answered(slot, termination);
            }
            _ => self.close(slot, termination, events),
        }
    }

    /// Resumes accepting at listeners that have a free slot or where one can be freed by an eviction.
    fn retry_accepting(&mut self) {
        let can_evict = self
            .connections
            .iter()
            .any(|(_, connection)| connection.is_lingering() || connection.has_no_waiting_caller());
        for listener in self.listener_indices() {
            if self.listeners.contains(listener) {
                self.set_accepting(listener, can_evict || !self.is_full(listener));
            }
        }
    }
}
