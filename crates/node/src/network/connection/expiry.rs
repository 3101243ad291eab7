//! Decides when a connection is to be closed, and how suitable it is for eviction.

use std::io::ErrorKind;

use doortrack_time::TenthMillis;

use super::Connection;
use crate::network::termination::Termination;

/// The order in which connections without a waiting caller are evicted; the least is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionPriority {
    /// The connection has never carried a request, or it lingers.
    Unused,
    /// The connection has carried requests and may carry more.
    Idle,
    /// The connection has carried requests, and a part of the next one has arrived.
    PartialRequest,
}

/// The times after which a connection is closed.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Timeout of an idle connection.
    pub idle: TenthMillis,
    /// Timeout for delivering a request, from its first byte, or from the accept for the first request.
    pub request_read: TenthMillis,
    /// Timeout for reading answers.
    pub unread_answers: TenthMillis,
}

impl Connection {
    /// Returns true if no caller waits for an answer: the connection is idle, or all its pending requests are
    /// incomplete.
    pub fn has_no_waiting_caller(&self) -> bool {
        let is_answered = self.out.is_empty() && !self.is_suspended();
        self.is_idle() || (self.lifecycle.reading && is_answered && self.pending.all_incomplete())
    }

    /// Returns the eviction priority of a connection on which no caller waits.
    pub fn eviction_priority(&self) -> EvictionPriority {
        if !self.input.carried_request || self.lifecycle.lingering {
            EvictionPriority::Unused
        } else if self.is_idle() {
            EvictionPriority::Idle
        } else {
            EvictionPriority::PartialRequest
        }
    }

    /// Returns true if the socket has neither unread bytes nor an end of input. This is checked right before an
    /// idle connection is closed, as a request that has arrived in the meantime would be lost.
    pub fn nothing_to_read(&self) -> bool {
        self.sock
            .peek(&mut [0])
            .is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    /// Returns why the connection has to be closed by now, if it has to.
    pub fn expiry(&self, now: TenthMillis, timeouts: &Timeouts) -> Option<Termination> {
        let inactive_for = now.saturating_sub(self.last_activity);
        let overdue = self.is_request_overdue(now, timeouts.request_read);
        if self.lifecycle.lingering {
            self.lifecycle.close_when_answered.filter(|_| overdue)
        } else if !self.is_closing() && inactive_for >= timeouts.idle && self.is_quiet() {
            Some(Termination::Idle)
        } else if !self.out.is_empty() && inactive_for > timeouts.unread_answers {
            Some(Termination::UnreadAnswers)
        } else {
            overdue.then_some(Termination::RequestTimeout)
        }
    }

    /// Returns true if the node has waited too long for a complete request, because nothing arrived or because the
    /// request arrives too slowly.
    fn is_request_overdue(&self, now: TenthMillis, timeout: TenthMillis) -> bool {
        let lingering = self.lifecycle.lingering;
        let is_due = (self.lifecycle.reading && !self.is_closing()) || lingering;
        let timed_out = |since| now.saturating_sub(since) > timeout;
        is_due
            && self.input.request_due_since.is_some_and(timed_out)
            && (!self.is_idle() || lingering || self.nothing_to_read())
    }
}
