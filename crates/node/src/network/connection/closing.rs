//! How a connection ends: at once, or in order once its requests are answered.

use std::net::Shutdown;

use doortrack_config::transient::is_without_effect;
use doortrack_time::TenthMillis;

use super::Connection;
use crate::network::termination::Termination;

/// The state of closing a connection.
pub(super) struct Lifecycle {
    /// Requests are read. False once the peer has half-closed the connection or sent malformed input, and while
    /// the connection lingers.
    pub(super) reading: bool,
    /// The node has half-closed the connection and waits until the peer closes too. Input is left in the socket: a
    /// request that is read has to be answered, and no answer can be sent any more.
    pub(super) lingering: bool,
    /// Input has arrived on the lingering connection, so the poller reports nothing but the end of the connection.
    pub(super) has_late_input: bool,
    /// Complete requests are read, but not run.
    pub(super) refusing: bool,
    /// The peer has closed its sending side.
    pub(super) peer_finished: bool,
    /// Why the connection is to be closed once all pending requests are answered.
    pub(super) close_when_answered: Option<Termination>,
    /// Why the connection is to be closed at the end of the current turn.
    pub(super) close_now: Option<Termination>,
}

impl Lifecycle {
    /// The state of a new connection.
    pub(super) fn open() -> Lifecycle {
        Lifecycle {
            reading: true,
            lingering: false,
            has_late_input: false,
            refusing: false,
            peer_finished: false,
            close_when_answered: None,
            close_now: None,
        }
    }
}

impl Connection {
    /// Schedules the connection to be closed at the end of the current turn, whatever is pending.
    pub fn close_now(&mut self, termination: Termination) {
        self.lifecycle.close_now = Some(termination);
    }

    /// Returns why the connection is to be closed at the end of the current turn, if it is.
    pub fn immediate_close(&self) -> Option<Termination> {
        self.lifecycle.close_now
    }

    /// Schedules the connection to be closed once all pending requests are answered.
    fn close_when_answered(&mut self, termination: Termination) {
        self.lifecycle.close_when_answered = Some(termination);
    }

    /// Schedules the connection to be closed once all pending requests are answered, as its peer sends no others.
    pub fn close_at_peers_wish(&mut self) {
        if matches!(self.deferred_close(), None | Some(Termination::Shutdown)) {
            self.close_when_answered(Termination::Closed);
        }
    }

    /// Schedules the connection to be closed for a reason of the node. Requests that arrive from now on are not run.
    pub fn refuse_requests(&mut self, termination: Termination) {
        self.lifecycle.refusing = true;
        self.close_when_answered(termination);
    }

    /// Returns why the connection is to be closed after the last answer, if it is.
    pub fn deferred_close(&self) -> Option<Termination> {
        self.lifecycle.close_when_answered
    }

    /// Returns why the connection is to be closed if it is to be closed and the last answer has been written. When the
    /// node shuts down, a connection that is read stays open: its peer may be sending requests until the stop.
    pub fn due_close(&self) -> Option<Termination> {
        let termination = self.lifecycle.close_when_answered?;
        let is_answered = self.pending.is_empty() && self.out.is_empty() && !self.is_suspended();
        let stays_open = termination == Termination::Shutdown && self.lifecycle.reading;
        (is_answered && !stays_open).then_some(termination)
    }

    /// Returns true if nothing is owed to the peer, and nothing has arrived from it that is not handled.
    pub fn is_quiet(&self) -> bool {
        self.is_idle() && self.nothing_to_read()
    }

    /// Stops reading requests and removes incomplete ones, whose rest cannot arrive.
    pub fn stop_reading(&mut self, termination: Termination) {
        self.lifecycle.reading = false;
        self.close_when_answered(termination);
        self.pending.remove_incomplete();
    }

    /// Half-closes the connection after the last answer, and stops reading. Returns false if there is nothing to wait
    /// for. If the connection were closed at once, with input unread or on its way, the operating system would reset
    /// it, and the peer could lose an answer that it has not read yet.
    pub fn linger(&mut self, termination: Termination, now: TenthMillis) -> bool {
        self.lifecycle.reading = false;
        self.close_when_answered(termination);
        self.lifecycle.peer_finished |= matches!(self.sock.peek(&mut [0]), Ok(0));
        if self.lifecycle.lingering || self.lifecycle.peer_finished {
            return self.lifecycle.lingering;
        }
        self.lifecycle.lingering = self.sock.shutdown(Shutdown::Write).is_ok();
        self.input.request_due_since = Some(now);
        self.lifecycle.lingering
    }

    /// Looks at a lingering connection without reading it. Returns true if the peer has closed it.
    pub fn peer_has_closed(&mut self) -> bool {
        match self.sock.peek(&mut [0]) {
            Ok(0) => true,
            Ok(_) => {
                self.lifecycle.has_late_input = true;
                false
            }
            Err(e) => !is_without_effect(&e),
        }
    }
}
