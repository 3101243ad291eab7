//! Graceful shutdown: from the notice to drain to the stop.

use doortrack_admission::Event;
use doortrack_time::{MILLISECOND, TenthMillis};
use slog::info;

use super::Node;
use crate::system::signals::DRAIN_KEY;

/// The time before the stop in which nothing new is taken, for answers still on their way out.
const FLUSH_TIME: TenthMillis = 100 * MILLISECOND;
/// The time before that in which no connection is begun, for handshakes under way.
const HANDSHAKE_TIME: TenthMillis = 5 * MILLISECOND;

#[derive(Clone, Copy)]
struct Notice {
    /// When the signal came, at the earliest.
    received_at: TenthMillis,
    /// When the loop ends at the latest.
    stop_at: TenthMillis,
}

/// How far a graceful shutdown has come.
#[derive(Default)]
pub(super) struct Shutdown {
    /// None until the node is told to drain.
    notice: Option<Notice>,
    /// A configuration is being built that was asked for no later than the shutdown, so that its time to the
    /// stop counts too.
    reload_pending: bool,
    /// No connection is begun.
    refusing: bool,
    /// The listeners are closed.
    flushing: bool,
}

impl Shutdown {
    pub(super) fn is_draining(&self) -> bool {
        self.notice.is_some()
    }

    /// Begins the shutdown that was asked for at `received_at`.
    fn begin(&mut self, received_at: TenthMillis, stop_after: TenthMillis, reload_pending: bool) {
        self.notice = Some(Notice {
            received_at,
            stop_at: received_at + stop_after,
        });
        self.reload_pending = reload_pending;
    }

    /// A reload was asked for that may have come before the shutdown.
    pub(super) fn expect_reload(&mut self) {
        self.reload_pending = true;
    }

    /// Whether the build that just finished was asked for no later than the shutdown. `next_begins` says
    /// whether another one follows it, which then is such a build as well.
    pub(super) fn take_reload(&mut self, next_begins: bool) -> bool {
        let pending = self.reload_pending;
        self.reload_pending &= next_begins;
        pending
    }

    /// Moves the stop forward if it comes earlier by this time to the stop; whether it does.
    fn shorten(&mut self, stop_after: TenthMillis) -> bool {
        let Some(notice) = &mut self.notice else {
            return false;
        };
        let stop_at = notice.received_at + stop_after;
        let is_earlier = stop_at < notice.stop_at;
        if is_earlier {
            notice.stop_at = stop_at;
        }
        is_earlier
    }

    /// The event for the admission controller, if the node is draining. The grace period counts from the
    /// signal, though the controller may have started only later.
    pub(super) fn drain_event(&self, now: TenthMillis) -> Option<Event> {
        self.notice.map(|notice| Event::Drain {
            age: now.saturating_sub(notice.received_at),
            stop_at: notice.stop_at.saturating_sub(FLUSH_TIME),
        })
    }

    /// When the loop is to wake for the shutdown; [`TenthMillis::MAX`] if none is under way.
    pub(super) fn next_due(&self) -> TenthMillis {
        let stop_at = self
            .notice
            .map_or(TenthMillis::MAX, |notice| notice.stop_at);
        let time_before_stop = match (self.refusing, self.flushing) {
            (_, true) => 0,
            (true, false) => FLUSH_TIME,
            (false, false) => FLUSH_TIME + HANDSHAKE_TIME,
        };
        stop_at.saturating_sub(time_before_stop)
    }

    /// Whether so little time is left that nothing more is taken.
    pub(super) fn is_flush_due(&self, now: TenthMillis) -> bool {
        self.notice
            .is_some_and(|notice| now + FLUSH_TIME >= notice.stop_at)
    }

    /// True once: when no further connection is to be begun.
    pub(super) fn begins_refusing(&mut self, now: TenthMillis) -> bool {
        let is_due = |notice: &Notice| now + FLUSH_TIME + HANDSHAKE_TIME >= notice.stop_at;
        let begins = !self.refusing && self.notice.as_ref().is_some_and(is_due);
        self.refusing |= begins;
        begins
    }

    /// True once: when the listeners are to be closed.
    pub(super) fn begins_flushing(&mut self, now: TenthMillis) -> bool {
        let begins = !self.flushing && self.is_flush_due(now);
        self.flushing |= begins;
        begins
    }

    pub(super) fn is_flushing(&self) -> bool {
        self.flushing
    }

    /// Whether the time of the stop has come.
    pub(super) fn is_over(&self, now: TenthMillis) -> bool {
        self.notice.is_some_and(|notice| now >= notice.stop_at)
    }
}

impl Node {
    /// SIGTERM or SIGINT came, at `received_at` or later: begins to drain, unless the node does already.
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

    /// A configuration came into force that was asked for no later than the shutdown. Whoever sent both
    /// signals counts on the time to the stop of either configuration: the shorter one keeps both promises.
    pub(super) fn keep_earlier_stop(&mut self) {
        if self.shutdown.shorten(self.config.platform.stop_after) {
            self.announce_drain();
        }
    }

    /// Tells the admission controller of the shutdown, if there are both.
    pub(super) fn announce_drain(&mut self) {
        if self.admission.is_started() {
            self.admission.extend(self.shutdown.drain_event(self.now));
        }
    }
}
