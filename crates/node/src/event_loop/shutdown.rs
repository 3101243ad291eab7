//! Graceful shutdown, from the drain signal to the stop of the process.

use doortrack_admission::Event;
use doortrack_time::{MILLISECOND, TenthMillis};
use slog::info;

use super::Node;
use crate::system::signals::DRAIN_KEY;

/// Before the stop, the time in which no new connections are accepted and no new requests are run.
const FLUSH_DURATION: TenthMillis = 100 * MILLISECOND;
/// How long before the stop connections are closed. Callers may use them until the process is killed.
const CLOSE_DURATION: TenthMillis = 35 * MILLISECOND;
/// How long before the stop the process ends. It is killed at the stop, counted from when the signal was sent.
const END_MARGIN: TenthMillis = 10 * MILLISECOND;
/// Before the flush, the time in which no new TCP handshake begins, so that those under way can complete.
const HANDSHAKE_DURATION: TenthMillis = 5 * MILLISECOND;

/// The drain signal and the stop time that follows from it.
#[derive(Clone, Copy)]
struct DrainSignal {
    /// The earliest time at which the signal may have come.
    received_at: TenthMillis,
    /// When the loop ends at the latest.
    stop_at: TenthMillis,
}

/// State of a graceful shutdown.
#[derive(Default)]
pub(super) struct Shutdown {
    /// `None` until the drain signal.
    signal: Option<DrainSignal>,
    /// A configuration is being built that was requested no later than the shutdown, so its stop timeout applies as
    /// well.
    reload_pending: bool,
    /// New connections are refused.
    refusing: bool,
    /// The listeners are closed.
    flushing: bool,
    /// Connections are closed.
    closing: bool,
}

impl Shutdown {
    pub(super) fn is_draining(&self) -> bool {
        self.signal.is_some()
    }

    /// Begins the shutdown that was requested at `received_at`.
    fn begin(&mut self, received_at: TenthMillis, stop_after: TenthMillis, reload_pending: bool) {
        self.signal = Some(DrainSignal {
            received_at,
            stop_at: received_at + stop_after,
        });
        self.reload_pending = reload_pending;
    }

    /// Notes that a reload was requested, perhaps before the shutdown.
    pub(super) fn expect_reload(&mut self) {
        self.reload_pending = true;
    }

    /// Returns true if the build that just finished was requested no later than the shutdown. `next_begins` says
    /// whether another build follows, which then counts as requested in time too.
    pub(super) fn take_reload(&mut self, next_begins: bool) -> bool {
        let pending = self.reload_pending;
        self.reload_pending &= next_begins;
        pending
    }

    /// Moves the stop to an earlier time if this stop timeout ends earlier. Returns true if the stop was moved.
    fn shorten(&mut self, stop_after: TenthMillis) -> bool {
        let Some(signal) = &mut self.signal else {
            return false;
        };
        let stop_at = signal.received_at + stop_after;
        let is_earlier = stop_at < signal.stop_at;
        if is_earlier {
            signal.stop_at = stop_at;
        }
        is_earlier
    }

    /// The drain event for the admission controller, if the node is draining. The grace period counts from the
    /// signal, even if the controller started later.
    pub(super) fn drain_event(&self, now: TenthMillis) -> Option<Event> {
        self.signal.map(|signal| Event::Drain {
            age: now.saturating_sub(signal.received_at),
            stop_at: signal.stop_at.saturating_sub(FLUSH_DURATION),
        })
    }

    /// When the loop must next wake for the shutdown; [`TenthMillis::MAX`] if none is under way.
    pub(super) fn next_due(&self) -> TenthMillis {
        let stop_at = self
            .signal
            .map_or(TenthMillis::MAX, |signal| signal.stop_at);
        let time_before_stop = match (self.refusing, self.flushing, self.closing) {
            (_, _, true) => END_MARGIN,
            (_, true, false) => CLOSE_DURATION,
            (true, false, false) => FLUSH_DURATION,
            (false, false, false) => FLUSH_DURATION + HANDSHAKE_DURATION,
        };
        stop_at.saturating_sub(time_before_stop)
    }

    /// True when the time for flushing answers has begun and no new requests are accepted.
    pub(super) fn is_flush_due(&self, now: TenthMillis) -> bool {
        self.signal
            .is_some_and(|signal| now + FLUSH_DURATION >= signal.stop_at)
    }

    /// Returns true once, when new connections are to be refused.
    pub(super) fn begins_refusing(&mut self, now: TenthMillis) -> bool {
        let is_due =
            |signal: &DrainSignal| now + FLUSH_DURATION + HANDSHAKE_DURATION >= signal.stop_at;
        let begins = !self.refusing && self.signal.as_ref().is_some_and(is_due);
        self.refusing |= begins;
        begins
    }

    /// Returns true once, when the listeners are to be closed.
    pub(super) fn begins_flushing(&mut self, now: TenthMillis) -> bool {
        let begins = !self.flushing && self.is_flush_due(now);
        self.flushing |= begins;
        begins
    }

    /// Returns true once, when connections are to be closed.
    pub(super) fn begins_closing(&mut self, now: TenthMillis) -> bool {
        let is_due = |signal: &DrainSignal| now + CLOSE_DURATION >= signal.stop_at;
        let begins = !self.closing && self.flushing && self.signal.as_ref().is_some_and(is_due);
        self.closing |= begins;
        begins
    }

    pub(super) fn is_closing(&self) -> bool {
        self.closing
    }

    pub(super) fn is_flushing(&self) -> bool {
        self.flushing
    }

    /// True when the process has to end.
    pub(super) fn is_over(&self, now: TenthMillis) -> bool {
        self.signal
            .is_some_and(|signal| now + END_MARGIN >= signal.stop_at)
    }
}

impl Node {
    /// Handles SIGTERM or SIGINT, which came at `received_at` or later: begins to drain, unless already draining.
    pub(super) fn drain(&mut self, received_at: TenthMillis) {
        self.signals.acknowledge(DRAIN_KEY);
        if self.shutdown.is_draining() {
            return;
        }
        self.shutdown.begin(
            received_at,
            self.config.platform.stop_after,
            self.reloader.is_under_way(),
        );
        self.registry.set_draining(true);
        for subsystem in &mut self.subsystems {
            subsystem.drain();
        }
        info!(self.log, "draining"; "in_flight" => self.in_flight.len());
        self.announce_drain();
    }

    /// Applies the stop timeout of a configuration that was requested no later than the shutdown. The sender of both
    /// signals may rely on the timeout of either configuration, so the earlier stop applies.
    pub(super) fn keep_earlier_stop(&mut self) {
        if self.shutdown.shorten(self.config.platform.stop_after) {
            self.announce_drain();
        }
    }

    /// Tells the admission controller of the shutdown, if the controller is started and the node is draining.
    pub(super) fn announce_drain(&mut self) {
        if self.admission.is_started() {
            self.admission.extend(self.shutdown.drain_event(self.now));
        }
    }
}
