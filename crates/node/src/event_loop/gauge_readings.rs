//! Readings of the engine's gauges, and timers that wait for one.

use doortrack_admission::{Event, Gauges};
use doortrack_time::{MILLISECOND, TenthMillis};

use super::Node;

/// How long due timers wait for a reading: the engine may be slow or out of reach.
const READING_TIMEOUT: TenthMillis = 5 * MILLISECOND;
/// A reading older than this is not used.
const MAX_STALENESS: TenthMillis = 250 * MILLISECOND;

/// A reading that was asked for.
#[derive(Clone, Copy)]
struct PendingReading {
    /// The number that the answer carries.
    cookie: u64,
    /// When timers stop waiting for it.
    expires_at: TenthMillis,
}

/// The last reading, and the one that due timers wait for.
#[derive(Default)]
pub(super) struct GaugeReadings {
    latest: Gauges,
    read_at: TenthMillis,
    pending: Option<PendingReading>,
}

impl GaugeReadings {
    /// Until when timers wait for a reading, if one was asked for.
    pub(super) fn pending_until(&self) -> Option<TenthMillis> {
        self.pending.map(|pending| pending.expires_at)
    }

    fn wait_for(&mut self, cookie: u64, now: TenthMillis) {
        self.pending = Some(PendingReading {
            cookie,
            expires_at: now + READING_TIMEOUT,
        });
    }

    /// Stores a reading. If timers wait for it, their wait ends now, and how long it was is returned.
    fn record(&mut self, cookie: u64, gauges: Gauges, now: TenthMillis) -> Option<TenthMillis> {
        self.latest = gauges;
        self.read_at = now;
        let pending = self.pending.as_mut()?;
        if pending.cookie > cookie {
            return None;
        }
        let waited = (now + READING_TIMEOUT).saturating_sub(pending.expires_at);
        pending.expires_at = now;
        Some(waited)
    }

    /// The last reading, or none of its gauges if it is stale.
    fn fresh(&self, now: TenthMillis) -> Gauges {
        if now.saturating_sub(self.read_at) > MAX_STALENESS {
            Gauges::default()
        } else {
            self.latest
        }
    }
}

impl Node {
    /// Fires the timers that are due. They carry a reading of the gauges, a new one where the engine answers
    /// soon enough.
    pub(super) fn fire_timers(&mut self) {
        if !self.timers.is_due(self.now) || self.awaits_gauges() {
            return;
        }
        let gauges = self.gauges.fresh(self.now);
        while let Some(token) = self.timers.pop_due(self.now) {
            self.admission.push(Event::Timer { token, gauges });
        }
    }

    /// Whether due timers are to wait for a reading of the gauges, which is asked for if none is pending.
    fn awaits_gauges(&mut self) -> bool {
        // Close to the stop there is no time to wait: what is due is answered before it.
        let flushing = self.shutdown.is_flush_due(self.now);
        match self.gauges.pending_until() {
            Some(until) if until > self.now && !flushing => true,
            Some(_) => {
                self.gauges.pending = None;
                false
            }
            None if flushing => false,
            None => match self.backend.query_gauges() {
                Some(cookie) => {
                    self.gauges.wait_for(cookie, self.now);
                    true
                }
                // Application servers have no gauges.
                None => false,
            },
        }
    }

    /// The engine answered a query for its gauges.
    pub(super) fn on_gauges(&mut self, cookie: u64, values: &[f32]) {
        let positions = &self.config.node.settings.gauges;
        let value_at =
            |position: Option<usize>| position.and_then(|index| values.get(index).copied());
        let gauges = Gauges {
            busy_cores: value_at(positions.busy_cores),
            runnable_tasks: value_at(positions.runnable_tasks),
            memory: value_at(positions.memory),
            connections: value_at(positions.connections),
        };
        if let Some(waited) = self.gauges.record(cookie, gauges, self.now) {
            self.summaries.slowest.record_reading(waited);
        }
    }
}
