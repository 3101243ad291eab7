//! When a connection is to be closed, and which one where a slot is needed.

use std::io::ErrorKind;

use doortrack_time::TenthMillis;

use super::Connection;
use crate::network::termination::Termination;

/// What a connection on which no caller waits is worth keeping for, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionPriority {
    /// It never carried a request, or it lingers.
    Unused,
    /// It carried requests and may carry more.
    Idle,
    /// It carried requests, and a part of the next one has arrived.
    PartialRequest,
}

/// The times after which a connection is closed.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// For one that is idle.
    pub idle: TenthMillis,
    /// For one that does not deliver a request that it began, or a first one.
    pub request_read: TenthMillis,
    /// For one whose answers are not read.
    pub unread_answers: TenthMillis,
}

impl Connection {
    /// Whether no caller waits for an answer: it is idle, or all that is pending on it is incomplete.
    pub fn has_no_waiting_caller(&self) -> bool {
        let is_answered = self.out.is_empty() && !self.is_suspended();
        self.is_idle() || (self.lifecycle.reading && is_answered && self.pending.all_incomplete())
    }

    /// What it is worth keeping for, if no caller waits on it.
    pub fn eviction_priority(&self) -> EvictionPriority {
        if !self.input.carried_request || self.lifecycle.lingering {
            EvictionPriority::Unused
        } else if self.is_idle() {
            EvictionPriority::Idle
        } else {
            EvictionPriority::PartialRequest
        }
    }

    /// Whether the system holds no unread byte of it and no end. Checked right before an idle connection is
    /// closed, as a request that has arrived since would be lost.
    pub fn nothing_to_read(&self) -> bool {
        self.sock
            .peek(&mut [0])
            .is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    /// Why it has to be closed by now, if it has to.
    pub fn expiry(&self, now: TenthMillis, timeouts: &Timeouts) -> Option<Termination> {
        let inactive = now.saturating_sub(self.last_activity);
        let overdue = self.is_request_overdue(now, timeouts.request_read);
        if self.lifecycle.lingering {
            self.lifecycle.close_when_answered.filter(|_| overdue)
        } else if self.is_idle() && inactive >= timeouts.idle && self.nothing_to_read() {
            Some(Termination::Idle)
        } else if !self.out.is_empty() && inactive > timeouts.unread_answers {
            Some(Termination::UnreadAnswers)
        } else {
            overdue.then_some(Termination::RequestTimeout)
        }
    }

    /// Whether a complete request has been due for too long: nothing came, or it trickles in.
    fn is_request_overdue(&self, now: TenthMillis, timeout: TenthMillis) -> bool {
        let lingering = self.lifecycle.lingering;
        let is_due = (self.lifecycle.reading && !self.is_closing()) || lingering;
        let timed_out = |since| now.saturating_sub(since) > timeout;
        is_due
            && self.input.request_due_since.is_some_and(timed_out)
            && (!self.is_idle() || lingering || self.nothing_to_read())
    }
}
