//! Bounds the memory used for clients that do not read their answers, called the backlog.
//!
//! A connection accepts no further request while its unread answers reach [`MAX_UNREAD_ANSWER_BYTES`]; the rest of the
//! input that was already read is suspended, at most [`READ_BUFFER_BYTES`]. Over all connections, unread answers and
//! suspended input are bounded by `ResourceLimits::unread_answer_bytes`, plus the one answer or read that reaches it.
//!
//! [`MAX_UNREAD_ANSWER_BYTES`]: crate::network::bounds::MAX_UNREAD_ANSWER_BYTES
//! [`READ_BUFFER_BYTES`]: crate::network::bounds::READ_BUFFER_BYTES

use doortrack_time::TenthMillis;

use super::{ListenerEvent, Listeners};
use crate::network::termination::Termination;

impl Listeners {
    /// Returns the bytes of answers on all connections that have not been written to the sockets.
    pub fn unread_answer_bytes(&self) -> usize {
        self.unread_answer_bytes
    }

    /// Returns the bytes kept because peers do not read their answers: the answers and the suspended input.
    pub fn backlog_bytes(&self) -> usize {
        self.unread_answer_bytes + self.suspended_bytes
    }

    /// Suspends the rest of a connection's input if the connection is backlogged.
    pub(super) fn suspend_if_backlogged(&mut self, slot: usize, rest: &[u8]) {
        let connection = &mut self.connections[slot];
        let can_wait = connection.is_reading() && connection.immediate_close().is_none();
        if can_wait && connection.is_backlogged() {
            connection.suspend(rest);
            self.suspended_bytes += rest.len();
            self.limit_backlog();
        }
    }

    /// Parses a connection's suspended input once its peer has read enough answers.
    pub(super) fn resume_suspended(
        &mut self,
        slot: usize,
        now: TenthMillis,
        events: &mut Vec<ListenerEvent>,
    ) {
        let connection = &mut self.connections[slot];
        if connection.is_backlogged() {
            return;
        }
        if let Some(input) = connection.take_suspended() {
            self.suspended_bytes -= input.len();
            self.parse_input(slot, &input, now, events);
        }
    }

    /// Reduces the backlog of all connections when it reaches its bound: writes what the sockets accept, and then
    /// closes the connections with the largest backlogs.
    pub(super) fn limit_backlog(&mut self) {
        if !self.is_backlog_full() {
            return;
        }
        self.write_queued();
        while self.is_backlog_full() {
            let Some(slot) = self.largest_backlog() else {
                return;
            };
            self.discard_backlog(slot, Termination::UnreadAnswers);
        }
    }

    fn is_backlog_full(&self) -> bool {
        self.backlog_bytes() >= self.limits.unread_answer_bytes
    }

    /// Writes the answers that the current turn has produced so far.
    fn write_queued(&mut self) {
        for index in 0..self.flush_queue.len() {
            let slot = self.flush_queue[index];
            let connection = self.connections.get_mut(slot);
            let Some(connection) = connection.filter(|connection| connection.flush_queued) else {
                continue; // Closed or already flushed. Only a flush may write what an earlier flush has left.
            };
            let before = connection.out.len();
            let written = connection.write_early();
            self.unread_answer_bytes -= before - connection.out.len();
            if let Err(termination) = written {
                self.discard_backlog(slot, termination);
            }
        }
    }

    /// Returns the slot of the connection with the largest backlog, if any has one.
    fn largest_backlog(&self) -> Option<usize> {
        let backlogs = self
            .connections
            .iter()
            .map(|(slot, connection)| (connection.backlog_bytes(), slot));
        backlogs
            .filter(|(bytes, _)| *bytes > 0)
            .max()
            .map(|(_, slot)| slot)
    }

    /// Discards a connection's backlog and schedules the connection to be closed at the end of the turn.
    fn discard_backlog(&mut self, slot: usize, termination: Termination) {
        let connection = &mut self.connections[slot];
        self.unread_answer_bytes -= connection.out.discard();
        if let Some(input) = connection.take_suspended() {
            self.suspended_bytes -= input.len();
        }
        connection.close_now(termination);
        self.queue_flush(slot);
    }
}
