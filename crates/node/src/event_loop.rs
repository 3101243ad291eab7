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
mod reload;
mod reloader;
mod running_config;
mod runs_in_doubt;
mod shutdown;
mod start;
mod summary;
mod timers;

use std::sync::Arc;
use std::time::Duration;

use doortrack_time::{MICROSECONDS_PER_UNIT, MILLISECOND, TenthMillis};
use polling::{Event as Readiness, Events, Poller};
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
use crate::network::bounds::MAX_FINAL_READS;
use crate::network::listeners::{
    FIRST_CONNECTION_KEY, FIRST_LISTENER_KEY, ListenerEvent, Listeners,
};
use crate::network::registry::Registry;
use crate::network::servers::FIRST_SERVER_KEY;
use crate::network::termination::Termination;
use crate::state::in_flight::InFlightTable;
use crate::state::results::ResultTable;
use crate::subsystem::{SUBSYSTEM_KEYS, Subsystem};
use crate::system::clock::Clock;
use crate::system::signals::{DRAIN_KEY, RELOAD_KEY, Signals};

/// Interval between two scans for idle connections and expired results.
const MAINTENANCE_INTERVAL: TenthMillis = 25 * MILLISECOND;
/// If the poller returns later than this after its due time, the process is taken to have been suspended.
const SUSPEND_THRESHOLD: TenthMillis = 10 * MILLISECOND;

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

    // --- Waiting and reading ---

    /// Waits until a socket is ready or the next turn is due, and reads what is ready. Answers of the backend that have
    /// arrived are handled before callers' connections are read.
    fn wait_and_read(&mut self, ready: &mut Events) -> Result<(), ServeError> {
        let due = self.next_due();
        let was_draining = self.shutdown.is_draining();
        self.wait(due, ready)?;
        self.read_peers(ready, due, was_draining);
        // If the process was suspended, events that arrived meanwhile go before timers that expired.
        let was_suspended = self.now > due + SUSPEND_THRESHOLD;
        if was_suspended {
            self.wait(due, ready)?;
            self.read_peers(ready, due, was_draining);
        }
        self.handle_backend_events();
        self.give_up_runs_in_doubt();
        self.read_callers(ready);
        if was_suspended {
            self.wait(due, ready)?;
            self.read_peers(ready, due, was_draining);
            self.handle_backend_events();
            self.read_callers(ready);
        }
        self.apply_built_configs();
        Ok(())
    }

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

    /// Waits until a socket is ready, until `due` at the latest.
    fn wait(&mut self, due: TenthMillis, ready: &mut Events) -> Result<(), ServeError> {
        ready.clear();
        let wait = Duration::from_micros(due.saturating_sub(self.now) * MICROSECONDS_PER_UNIT);
        match self.poller.wait(ready, Some(wait)) {
            Err(e) if e.kind() != std::io::ErrorKind::Interrupted => Err(ServeError::Poller(e)),
            _ => {
                self.waited_since = self.now;
                self.read_clocks();
                Ok(())
            }
        }
    }

    /// Reads every ready socket that is not a caller's: signals, the subsystems and the backend. `was_draining` is true
    /// if the node was draining before this turn.
    fn read_peers(&mut self, ready: &Events, due: TenthMillis, was_draining: bool) {
        let mut reload = false;
        for readiness in ready.iter() {
            match readiness.key {
                // Handled last: the other ready sockets may be on links that the reload closes.
                RELOAD_KEY => reload = true,
                key if is_caller_key(key) => {}
                _ => self.read_peer(readiness, due),
            }
        }
        // The write that wakes the poller may have failed.
        if self.signals.is_pending(DRAIN_KEY) {
            self.drain(self.waited_since);
        }
        if reload || self.signals.is_pending(RELOAD_KEY) {
            self.request_reload();
            // The order of two signals that are read in one turn is unknown.
            if !was_draining && self.shutdown.is_draining() {
                self.shutdown.expect_reload();
            }
        }
    }

    fn read_peer(&mut self, readiness: Readiness, due: TenthMillis) {
        match readiness.key {
            // If the process was suspended, the signal may have come as early as `due`.
            DRAIN_KEY => self.drain(self.now.min(due)),
            key if SUBSYSTEM_KEYS.contains(&key) => {
                let owners = self.subsystems.iter_mut();
                owners
                    .filter(|subsystem| subsystem.key() == key)
                    .for_each(|subsystem| subsystem.on_readable());
            }
            _ => self
                .backend
                .on_event(readiness, self.now, &mut self.backend_events),
        }
    }

    /// Accepts connections and reads the connections that are ready. What is read from one is handled before the next
    /// one is read.
    fn read_callers(&mut self, ready: &Events) {
        for readiness in ready.iter() {
            match readiness.key {
                key if !is_caller_key(key) => continue,
                key @ FIRST_LISTENER_KEY..FIRST_CONNECTION_KEY => {
                    _ = self.listeners.accept(
                        key - FIRST_LISTENER_KEY,
                        self.now,
                        &mut self.listener_events,
                    );
                }
                _ => self
                    .listeners
                    .on_event(readiness, self.now, &mut self.listener_events),
            }
            self.handle_input();
        }
    }

    /// Handles what has been read from one connection. The decision on it waits for the input of other connections
    /// unless the batch is full: a request that is withdrawn in the same read is not decided on.
    fn handle_input(&mut self) {
        self.handle_listener_events();
        if self.admission.is_batch_full() {
            self.decide();
        }
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

    /// Reads what has arrived on a connection, and refuses further requests on it.
    fn drain_connection(&mut self, slot: usize, termination: Termination) {
        self.read_arrived(slot);
        self.listeners.refuse_further_requests(slot, termination);
    }

    /// Reads what has arrived on a connection, and handles the input of each read before the next one.
    fn read_arrived(&mut self, slot: usize) {
        for _ in 0..MAX_FINAL_READS {
            self.listeners
                .read_arrived(slot, self.now, &mut self.listener_events);
            self.handle_input();
        }
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

/// Returns true if this poller key belongs to a listener or to a connection of a caller.
fn is_caller_key(key: usize) -> bool {
    (FIRST_LISTENER_KEY..FIRST_SERVER_KEY).contains(&key)
}
