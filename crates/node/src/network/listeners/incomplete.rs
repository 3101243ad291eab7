//! Bounds the memory of incomplete requests, and ends requests whose rest can't be waited for.
//!
//! An incomplete request is never refused as not run for lack of room: it may repeat a request that ran, and its
//! idempotency key may not have arrived yet. When the bound is reached, the connections that hold most give way, and
//! their incomplete requests are answered as unreadable. As the bound is one request of the maximum size for each
//! connection, they hold more than one request: a client that completes each request before it begins the next one is
//! not affected.

use doortrack_config::ResourceLimits;

use super::{Caller, ListenerEvent, Listeners};
use crate::network::connection::Connection;
use crate::network::request::{Answer, IncompleteKey};

/// Reciprocal of the share of the bound that is released when it is reached, so that it is not reached again at once.
const RELEASED_SHARE: usize = 8;

impl Listeners {
    /// Reduces the memory of incomplete requests when it exceeds its bound.
    pub(super) fn limit_incomplete_requests(&mut self) {
        let max_bytes = self.limits.incomplete_request_bytes();
        if self.pending_usage.incomplete_bytes <= max_bytes {
            return;
        }
        let target_bytes = max_bytes - max_bytes / RELEASED_SHARE;
        for slot in self.holders_of_several_requests() {
            if self.pending_usage.incomplete_bytes <= target_bytes {
                break;
            }
            self.answer_incomplete(slot, Answer::INCOMPLETE);
        }
    }

    /// Returns the slots of the connections that hold more bytes of incomplete requests than one request can have, the
    /// largest first. The others together are within the bound.
    fn holders_of_several_requests(&self) -> Vec<usize> {
        let connections = self.connections.iter();
        let bytes = connections.map(|(slot, connection)| {
            let usage = connection.pending.usage();
            (usage.incomplete_bytes, slot)
        });
        let mut holders: Vec<(usize, usize)> = bytes
            .filter(|(bytes, _)| *bytes > ResourceLimits::MAX_REQUEST_BYTES)
            .collect();
        holders.sort_unstable_by(|one, other| other.cmp(one));
        holders.into_iter().map(|(_, slot)| slot).collect()
    }

    /// Makes room for another request on a connection with the maximum number of pending requests: the incomplete
    /// request that began first gives way. Returns false if all requests are complete.
    pub(super) fn make_room(&mut self, slot: usize) -> bool {
        let oldest = self.connections[slot].pending.oldest_incomplete();
        if let Some(request) = oldest {
            self.answer(Caller { slot, request }, Answer::INCOMPLETE);
        }
        oldest.is_some()
    }

    /// Gives the same answer to all incomplete requests of a connection.
    pub(super) fn answer_incomplete(&mut self, slot: usize, answer: Answer) {
        for request in self.connections[slot].pending.incomplete_numbers() {
            self.answer(Caller { slot, request }, answer);
        }
    }

    /// Reports the incomplete requests of a connection, which can't be waited for.
    pub(super) fn end_incomplete(&self, slot: usize, events: &mut Vec<ListenerEvent>) {
        let connection = &self.connections[slot];
        for request in connection.pending.incomplete() {
            let caller = Caller {
                slot,
                request: request.number,
            };
            let key = self.incomplete_key(connection, request.params());
            events.push(ListenerEvent::Incomplete { caller, key });
        }
    }

    /// Returns what is known of the idempotency key of a request of which only `params` have arrived.
    fn incomplete_key(&self, connection: &Connection, params: &[u8]) -> IncompleteKey {
        let is_platform = self.listeners[connection.listener].is_platform;
        if is_platform || self.rules.is_none() {
            IncompleteKey::read(connection.protocol(), params, &self.names)
        } else if self.names.has_idempotency_keys() {
            // Rules classify complete requests only.
            IncompleteKey::Unknown
        } else {
            IncompleteKey::None
        }
    }
}
