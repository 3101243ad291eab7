//! The node's event loop, which runs on one thread. Each turn reads the sockets that are ready, hands the events
//! to the admission controller in one batch, executes the actions it returns, and flushes the output.
//!
//! [`Node`] owns every socket and all state of the node. The only call that blocks is the poller's wait: a
//! separate thread reads files and builds configurations (`reloader`). Two cases do block the loop's thread: the
//! start, and reloads of a node without an installation file.

mod actions;
mod admission_driver;
mod arrivals;
mod completions;
mod config_build;
mod deduplication;
mod error;
mod gauge_readings;
mod reading;
mod reload;
mod reloader;
mod running_config;
mod runs_in_doubt;
mod shutdown;
mod start;
mod summary;
mod timers;

use std::sync::Arc;

use doortrack_time::{MILLISECOND, TenthMillis};
use polling::{Events, Poller};
use slog::Logger;

use self::admission_driver::AdmissionDriver;
pub use self::error::{ServeError, StartError};
use self::gauge_readings::GaugeReadings;
use self::reloader::Reloader;
use self::running_config::RunningConfig;
use self::runs_in_doubt::RunsInDoubt;
use self::shutdown::Shutdown;
use self::summary::SummarySchedule;
use self::timers::Timers;
use crate::network::backend::{Backend, BackendEvent};
use crate::network::listeners::{ListenerEvent, Listeners};
use crate::network::registry::Registry;
use crate::network::termination::Termination;
use crate::state::in_flight::InFlightTable;
use crate::state::results::ResultTable;
use crate::subsystem::Subsystem;
use crate::system::clock::Clock;
use crate::system::signals::Signals;

/// Interval between two scans for idle connections and expired results.
const MAINTENANCE_INTERVAL: TenthMillis = 25 * MILLISECOND;
/// One node of a fleet: its sockets, the admission controller and the requests in flight.
pub struct Node {
    config: RunningConfig,
    reloader: Reloader,
    log: Logger,
    clock: Clock,
    /// The time of the last wake-up, used throughout a turn.
    now: TenthMillis,
    /// The time at which the last wait for readiness began.
    waited_since: TenthMillis,
    poller: Arc<Poller>,
    signals: Signals,
    listeners: Listeners,
    /// Events from callers' connections that are not handled yet.
    listener_events: Vec<ListenerEvent>,
    backend: Backend,
    /// Events from the backend that are not handled yet.
    backend_events: Vec<BackendEvent>,
    registry: Registry,
    admission: AdmissionDriver,
    in_flight: InFlightTable,
    runs_in_doubt: RunsInDoubt,
    results: ResultTable,
    timers: Timers,
    gauges: GaugeReadings,
    /// When idle connections and expired results are next scanned for.
    maintenance_at: TenthMillis,
    summaries: SummarySchedule,
    shutdown: Shutdown,
    subsystems: Vec<Box<dyn Subsystem>>,
}

impl Node {
    /// Serves until a graceful shutdown is over.
    ///
    /// The order of the steps within a turn matters:
    ///
    /// - Backend events are handled before new requests, which can then use the capacity that ended runs free.
    /// - What is read from a caller's connection is handled before the next connection is read, so that the content of
    ///   requests counts towards the limits before more of it is read.
    /// - Timers fire after everything that was read before them is in the batch.
    /// - The last read before the stop follows a call of the admission controller, whose answers make room for
    ///   callers that still wait.
    /// - Output is flushed last, so that each connection is written once per turn.
    ///
    /// # Errors
    /// The poller failed.
    pub fn serve(mut self) -> Result<(), ServeError> {
        let mut ready = Events::new();
        self.read_clocks();
        self.summaries.schedule_next(self.now);
        // Application servers count as up from the start: the first request must find the controller started.
        self.backend.maintain(self.now);
        self.flush();
        loop {
            self.backend.maintain(self.now);
            self.registry.heartbeat(self.now);
            self.wait_and_read(&mut ready)?;
            self.run_maintenance_if_due();
            self.handle_listener_events();
            self.fire_timers();
            self.decide();
            self.close_listeners_if_due();
            self.poll_subsystems();
            self.flush();
            self.close_connections_if_due();
            self.log_summary_if_due();
            if self.is_finished() {
                self.close_all_connections();
                self.log_summary();
                return Ok(());
            }
        }
    }

    // --- Times ---

    fn read_clocks(&mut self) {
        let reading = self.clock.read();
        self.now = reading.now;
        self.listeners.set_clocks(reading);
    }

    /// When the next turn is due at the latest. What is overdue is due now, so the result is never in the past.
    fn next_due(&self) -> TenthMillis {
        let timer = self
            .gauges
            .pending_until()
            .unwrap_or_else(|| self.timers.next_due());
        let needs_maintenance = self.listeners.needs_sweep() || !self.config.unopened.is_empty();
        let maintenance = if needs_maintenance {
            self.maintenance_at
        } else {
            TenthMillis::MAX
        };
        let subsystems = self
            .subsystems
            .iter()
            .map(|subsystem| self.now.saturating_add(subsystem.time_to_next_poll()))
            .min()
            .unwrap_or(TenthMillis::MAX);
        timer
            .min(self.backend.next_due())
            .min(self.runs_in_doubt.next_due())
            .min(self.shutdown.next_due())
            .min(maintenance)
            .min(self.registry.next_due())
            .min(self.summaries.next_at)
            .min(subsystems)
            .max(self.now)
    }

    // --- Other steps of a turn ---

    /// Closes idle connections, removes expired results and opens listeners, once each [`MAINTENANCE_INTERVAL`].
    fn run_maintenance_if_due(&mut self) {
        if self.now >= self.maintenance_at {
            self.maintenance_at = self.now + MAINTENANCE_INTERVAL;
            self.listeners.sweep(self.now, &mut self.listener_events);
            self.results.remove_expired(self.now);
            // The errors were logged at the reload.
            _ = self.open_listeners();
        }
    }

    fn handle_backend_events(&mut self) {
        let mut events = std::mem::take(&mut self.backend_events);
        for event in events.drain(..) {
            self.on_backend_event(event);
        }
        self.backend_events = events;
    }

    fn handle_listener_events(&mut self) {
        let mut events = std::mem::take(&mut self.listener_events);
        for event in events.drain(..) {
            self.on_listener_event(event);
        }
        self.listener_events = events;
    }

    /// Closes the listeners shortly before the stop: sends the pending answers, reads what has arrived on each
    /// connection, and runs no more requests.
    fn close_listeners_if_due(&mut self) {
        if self.shutdown.begins_refusing(self.now) {
            self.listeners.refuse_handshakes();
        }
        if self.shutdown.begins_flushing(self.now) {
            self.flush();
            self.drain_listeners();
        }
    }

    fn drain_listeners(&mut self) {
        for slot in self
            .listeners
            .drain_all(self.now, &mut self.listener_events)
        {
            self.drain_connection(slot, Termination::Shutdown);
        }
        self.handle_listener_events();
        self.decide();
    }

    /// Right before the stop, closes each connection in the first turn in which it has nothing left to do.
    fn close_connections_if_due(&mut self) {
        if self.shutdown.begins_closing(self.now) {
            self.drain_listeners();
            self.flush();
        }
        if self.shutdown.is_closing() {
            self.listeners
                .close_quiet(self.now, &mut self.listener_events);
        }
    }

    /// Answers what has arrived by the end of the process, and closes what is left of the connections.
    fn close_all_connections(&mut self) {
        for slot in self.listeners.connection_slots() {
            self.read_arrived(slot);
        }
        self.decide();
        self.listeners
            .end_incomplete_requests(&mut self.listener_events);
        self.flush();
        self.listeners.close_all(&mut self.listener_events);
        self.handle_listener_events();
    }

    fn poll_subsystems(&mut self) {
        for subsystem in &mut self.subsystems {
            subsystem.poll();
        }
    }

    /// Writes pending output until writing causes no new events. Events caused by writes, such as broken
    /// connections, are handled at once, as nothing else may wake the loop for them.
    fn flush(&mut self) {
        loop {
            let caller_events = self.flush_callers();
            self.backend.flush(self.now, &mut self.backend_events);
            if !caller_events && self.backend_events.is_empty() {
                return;
            }
            self.handle_backend_events();
            self.decide();
        }
    }

    /// Writes the answers to callers, and handles input that waited until they were written. Returns true if that
    /// caused events.
    fn flush_callers(&mut self) -> bool {
        let mut caused_events = !self.listener_events.is_empty();
        while self
            .listeners
            .flush(self.now, &mut self.listener_events)
            .is_break()
        {
            caused_events = true;
            self.handle_input();
        }
        self.handle_listener_events();
        caused_events
    }

    fn log_summary_if_due(&mut self) {
        let turn = self.clock.now().saturating_sub(self.now);
        self.summaries.max_durations.record_turn(turn);
        if self.now >= self.summaries.next_at {
            self.log_summary();
        }
    }

    /// True when the process has to end, or the last connection has closed after the listeners did.
    fn is_finished(&self) -> bool {
        self.shutdown.is_over(self.now)
            || (self.shutdown.is_flushing() && self.listeners.is_closed())
    }
}
