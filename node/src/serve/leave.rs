//! The end: from the notice to leave to the stop.

use doortrack::{Happened, Tenths};
use slog::info;

use super::{MS, Node};
use crate::life::signals::LEAVE_KEY;

/// The last of the time before the stop is for what is still on its way out.
pub(super) const FLUSH: Tenths = 100 * MS;

impl Node {
    pub(super) fn leave(&mut self) {
        self.signals.heard(LEAVE_KEY);
        if self.stop_at.is_some() {
            return;
        }
        let stop = self.now + self.orders.stop_after;
        self.stop_at = Some(stop);
        self.registry.tell(true);
        self.parts.iter_mut().for_each(|part| part.leave());
        info!(self.log, "told to leave"; "in_hand" => self.exs.in_hand());
        if self.door.is_some() {
            self.batch.push(Happened::Leave { stop_at: stop.saturating_sub(FLUSH) });
        }
    }

    /// Whether the time has come to take in nothing more.
    pub(super) fn closes_now(&mut self) -> bool {
        let now = !self.closing && self.stop_at.is_some_and(|stop| self.now + FLUSH >= stop);
        self.closing |= now;
        now
    }
}
