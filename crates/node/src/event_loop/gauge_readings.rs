//! Readings of the engine's gauges, and due timers that wait for a reading.

use doortrack_admission::{Event, Gauges};
use doortrack_time::{MILLISECOND, TenthMillis};

use super::Node;

/// How long due timers wait for a reading, as the engine may be slow or unreachable.
const READING_TIMEOUT: TenthMillis = 5 * MILLISECOND;
/// Maximum age of a reading that is still used.
const MAX_STALENESS: TenthMillis = 250 * MILLISECOND;

/// A gauge query that is not answered yet, or that timers still wait for.
#[derive(Clone, Copy)]
struct PendingReading {
    /// The query's number, which the answer repeats.
    cookie: u64,
    /// When timers stop waiting for the answer.
    expires_at: TenthMillis,
}

/// The last reading, and the query that due timers wait for.
#[derive(Default)]
pub(super) struct GaugeReadings {
    latest: Gauges,
    read_at: TenthMillis,
    pending: Option<PendingReading>,
}

impl GaugeReadings {
    /// Until when timers wait for a reading, if a query is pending.
    pub(super) fn pending_until(&self) -> Option<TenthMillis> {
        self.pending.map(|pending| pending.expires_at)
    }

    fn wait_for(&mut self, cookie: u64, now: TenthMillis) {
        self.pending = Some(PendingReading {
            cookie,
            expires_at: now + READING_TIMEOUT,
        });
    }

    /// Stores a reading. If timers wait for it, ends their wait and returns its duration.
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

    /// The last reading, or no values if it is older than [`MAX_STALENESS`].
    fn fresh(&self, now: TenthMillis) -> Gauges {
        if now.saturating_sub(self.read_at) > MAX_STALENESS {
            Gauges::default()
        } else {
            self.latest
        }
    }
}

impl Node {
    /// Fires the timers that are due. Each carries a reading of the gauges: a new one if the engine answers within
    /// [`READING_TIMEOUT`].
    pub(super) fn fire_timers(&mut self) {
        if !self.timers.is_due(self.now) || self.awaits_gauges() {
            return;
        }
        let gauges = self.gauges.fresh(self.now);
        while let Some(token) = self.timers.pop_due(self.now) {
            self.admission.push(Event::Timer { token, gauges });
        }
    }

    /// True if due timers are to wait for a gauge reading. Sends a query if none is pending.
    fn awaits_gauges(&mut self) -> bool {
        // Close to the stop there is no time to wait: due timers must lead to answers before it.
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

    /// Handles the engine's answer to a gauge query.
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
            self.summaries.max_durations.record_reading(waited);
        }
    }
}
