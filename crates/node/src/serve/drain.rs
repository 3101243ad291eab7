//! The end: from the notice to leave to the stop.

use doortrack_admission::Event;
use doortrack_time::{MILLISECOND, TenthMillis};
use slog::info;

use super::Node;
use crate::system::signals::LEAVE_KEY;

/// The last of the time before the stop is for what is still on its way out.
pub(super) const FLUSH: TenthMillis = 100 * MILLISECOND;

impl Node {
    /// The notice to leave came at `noticed`, or later: what is counted from it is over no later than it may
    /// be.
    pub(super) fn leave(&mut self, noticed: TenthMillis) {
        self.signals.acknowledge(LEAVE_KEY);
        if self.stop_at.is_some() {
            return;
        }
        let stop = noticed + self.platform.stop_after;
        (self.stop_at, self.noticed) = (Some(stop), noticed);
        self.registry.set_draining(true);
        self.parts.iter_mut().for_each(|part| part.leave());
        self.build_names_stop = self.reloader.is_under_way();
        info!(self.log, "told to leave"; "in_hand" => self.in_flight.in_flight_count());
        if self.door.is_some() {
            self.pass_on_notice();
        }
    }

    /// A reload was noticed before the notice to leave, or beside it, and has come into force since. Whoever
    /// sent both counts on the stop of before or on that of the new configuration; the nearer one keeps both.
    pub(super) fn keep_to_the_nearer_stop(&mut self) {
        let nearer = self.noticed + self.platform.stop_after;
        if self.stop_at.is_some_and(|stop| nearer < stop) {
            self.stop_at = Some(nearer);
            if self.door.is_some() {
                self.pass_on_notice();
            }
        }
    }

    /// Hands the notice over, if there was one. The grace counts from when it came, though the engine, and
    /// with it the decisions, may be up only later.
    pub(super) fn pass_on_notice(&mut self) {
        if let Some(stop) = self.stop_at {
            let age = self.now.saturating_sub(self.noticed);
            self.batch.push(Event::Drain {
                age,
                stop_at: stop.saturating_sub(FLUSH),
            });
        }
    }

    /// Whether so little is left before the stop that nothing more is taken in.
    pub(super) fn closes_next(&self) -> bool {
        self.stop_at.is_some_and(|stop| self.now + FLUSH >= stop)
    }

    /// The same, once.
    pub(super) fn closes_now(&mut self) -> bool {
        let now = !self.closing && self.closes_next();
        self.closing |= now;
        now
    }
}
