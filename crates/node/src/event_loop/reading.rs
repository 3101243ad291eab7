//! Waits for sockets and reads them. What is read from a caller's connection is handled before the next connection is
//! read, so that the content of requests counts towards the limits before more of it is read.

use std::time::Duration;

use doortrack_time::{MICROSECONDS_PER_UNIT, MILLISECOND, TenthMillis};
use polling::{Event as Readiness, Events};

use super::{Node, ServeError};
use crate::network::bounds::MAX_FINAL_READS;
use crate::network::listeners::{FIRST_CONNECTION_KEY, FIRST_LISTENER_KEY};
use crate::network::servers::FIRST_SERVER_KEY;
use crate::network::termination::Termination;
use crate::subsystem::SUBSYSTEM_KEYS;
use crate::system::signals::{DRAIN_KEY, RELOAD_KEY};

/// If the poller returns later than this after its due time, the process is taken to have been suspended.
const SUSPEND_THRESHOLD: TenthMillis = 10 * MILLISECOND;

impl Node {
    /// Waits until a socket is ready or the next turn is due, and reads what is ready. Answers of the backend that have
    /// arrived are handled before callers' connections are read.
    pub(super) fn wait_and_read(&mut self, ready: &mut Events) -> Result<(), ServeError> {
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
    pub(super) fn handle_input(&mut self) {
        self.handle_listener_events();
        if self.admission.is_batch_full() {
            self.decide();
        }
    }

    /// Reads what has arrived on a connection, and refuses further requests on it.
    pub(super) fn drain_connection(&mut self, slot: usize, termination: Termination) {
        self.read_arrived(slot);
        self.listeners.refuse_further_requests(slot, termination);
    }

    /// Reads what has arrived on a connection, and handles the input of each read before the next one.
    pub(super) fn read_arrived(&mut self, slot: usize) {
        for _ in 0..MAX_FINAL_READS {
            self.listeners
                .read_arrived(slot, self.now, &mut self.listener_events);
            self.handle_input();
        }
    }
}

/// Returns true if this poller key belongs to a listener or to a connection of a caller.
fn is_caller_key(key: usize) -> bool {
    (FIRST_LISTENER_KEY..FIRST_SERVER_KEY).contains(&key)
}
