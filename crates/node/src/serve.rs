//! The node's one loop: gather what is ready, hand it to the decisions in one go, carry out what came back.
//! What the wire brought is put in the decisions' words in `events`.

mod build;
mod builds;
mod drain;
mod events;
mod reload;
mod report;
mod start;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use doortrack_admission::AdmissionController;
use doortrack_admission::{Action, Effect, Event, Gauges, RequestId};
use doortrack_config::reload::{KeyMeanings, Platform};
use doortrack_config::{Installation, ListenerConfig, NodeConfig};
use doortrack_time::{MILLISECOND, TenthMillis};
use polling::{Events, Poller};
use slog::{Logger, error, info};

use self::builds::Reloader;
use self::drain::FLUSH;
use self::report::Slowest;
use crate::network::backend::{Backend, BackendEvent};
use crate::network::listeners::{FIRST_KEY, LISTEN_KEY, ListenerEvent, Listeners};
use crate::network::registry::Registry;
use crate::network::request::{Answer, RunOutput};
use crate::network::termination::Termination;
use crate::state::in_flight::{InFlight, InFlightRequest, Stage};
use crate::state::results::{Key, Results};
use crate::subsystem::{SUBSYSTEM_KEYS, Subsystem};
use crate::system::clock::Clock;
use crate::system::signals::{LEAVE_KEY, RELOAD_KEY, Signals};

/// What ends the program before its time.
pub type Fault = String;

/// A reading of the gauges is waited for so long; the engine may be slow or out of reach.
const READING: TenthMillis = 5 * MILLISECOND;
/// A reading older than this says nothing about now.
const STALE: TenthMillis = 250 * MILLISECOND;
/// How often connections are looked over for idle ones.
const SWEEP: TenthMillis = 25 * MILLISECOND;
/// Woken so much later than asked for, the process has stood still.
const STALL: TenthMillis = 10 * MILLISECOND;

pub struct Node {
    /// The platform's configuration as it was at the start, and what of it may change.
    orders: Arc<NodeConfig>,
    platform: Platform,
    /// What the operators' own file says, and what idempotency keys mean by it.
    installation: Arc<Installation>,
    keys: KeyMeanings,
    /// The installation's fronts that could be opened.
    listening: Vec<ListenerConfig>,
    reloader: Reloader,
    log: Logger,
    clock: Clock,
    now: TenthMillis,
    poller: Arc<Poller>,
    signals: Signals,
    listeners: Listeners,
    work: Backend,
    registry: Registry,
    /// None until the engine has come up.
    door: Option<AdmissionController>,
    in_flight: InFlight,
    results: Results,
    /// Names of the endpoint groups as JSON.
    groups: Vec<String>,
    batch: Vec<Event>,
    /// Marks of the requests in the batch.
    batch_keys: HashSet<Key>,
    alarms: BinaryHeap<Reverse<(TenthMillis, u64)>>,
    /// A reading that alarms wait for, and when they stop waiting.
    reading: Option<(u64, TenthMillis)>,
    gauges: Gauges,
    read_at: TenthMillis,
    sweep_at: TenthMillis,
    summary_at: TenthMillis,
    /// When the loop ends at the latest, once told to leave.
    stop_at: Option<TenthMillis>,
    /// When it was told so, at the earliest.
    noticed: TenthMillis,
    /// The configuration that is being built was noticed no later than the notice to leave, so that its stop
    /// counts too.
    build_names_stop: bool,
    closing: bool,
    slowest: Slowest,
    /// What plugs into the loop beside all this.
    parts: Vec<Box<dyn Subsystem>>,
}

impl Node {
    pub fn serve(mut self) -> Result<(), Fault> {
        let mut events = Events::new();
        let (mut listener_events, mut backend_events) = (Vec::new(), Vec::new());
        self.now = self.clock.now();
        self.summary_at = self.now + report::EVERY;
        // Servers are up from the start: what is read first is not to find the door closed.
        self.work.maintain(self.now);
        self.send(&mut listener_events, &mut backend_events);
        loop {
            self.work.maintain(self.now);
            self.registry.heartbeat(self.now);
            let due = self.next_due();
            self.gather(due, &mut events, &mut listener_events, &mut backend_events)?;
            if self.now > due + STALL {
                // All stood still for a while. What came meanwhile counts before times that ran out.
                self.gather(due, &mut events, &mut listener_events, &mut backend_events)?;
            }
            if self.now >= self.sweep_at {
                self.sweep_at = self.now + SWEEP;
                self.listeners.close_idle(self.now, &mut listener_events);
                self.results.tidy(self.now);
            }
            // Ends first: what they free is there for what has come.
            backend_events
                .drain(..)
                .for_each(|what| self.backend_event(what));
            listener_events
                .drain(..)
                .for_each(|what| self.listener_event(what));
            self.take_reading();
            self.decide();
            if self.closes_now() {
                // What is answered by now makes room for who still waits.
                self.send(&mut listener_events, &mut backend_events);
                self.listeners.drain_all(self.now, &mut listener_events);
                listener_events
                    .drain(..)
                    .for_each(|what| self.listener_event(what));
                self.decide();
            }
            self.parts.iter_mut().for_each(|part| part.turn());
            self.send(&mut listener_events, &mut backend_events);
            let turn = self.clock.now().saturating_sub(self.now);
            self.slowest.turn = self.slowest.turn.max(turn);
            if self.now >= self.summary_at {
                self.summary();
            }
            let over = self.stop_at.is_some_and(|stop| self.now >= stop);
            if over || (self.closing && self.listeners.connection_count() == 0) {
                self.summary();
                return Ok(());
            }
        }
    }

    /// Waits until something is ready or due, and reads it.
    fn gather(
        &mut self,
        due: TenthMillis,
        events: &mut Events,
        listener_events: &mut Vec<ListenerEvent>,
        backend_events: &mut Vec<BackendEvent>,
    ) -> Result<(), Fault> {
        events.clear();
        let wait = due.saturating_sub(self.now);
        match self
            .poller
            .wait(events, Some(Duration::from_micros(wait * 100)))
        {
            Err(e) if e.kind() != std::io::ErrorKind::Interrupted => {
                return Err(format!("poller: {e}"));
            }
            _ => self.now = self.clock.now(),
        }
        let mut reload = false;
        let leaves_already = self.stop_at.is_some();
        for event in events.iter() {
            match event.key {
                // Woken late, it stood still, and the notice may be as old as that.
                LEAVE_KEY => self.leave(self.now.min(due)),
                // Last, as what else is ready was read off the links that are to be left.
                RELOAD_KEY => reload = true,
                key if SUBSYSTEM_KEYS.contains(&key) => {
                    self.parts
                        .iter_mut()
                        .filter(|part| part.key() == key)
                        .for_each(|part| part.ready());
                }
                key if self.work.has_key(key) => {
                    self.work.on_event(event, self.now, backend_events)
                }
                LISTEN_KEY..FIRST_KEY => {
                    _ = self
                        .listeners
                        .accept(event.key - LISTEN_KEY, self.now, listener_events)
                }
                _ => self.listeners.on_event(event, self.now, listener_events),
            }
        }
        if reload {
            self.reload();
            // Which of the two was sent first can't be told where both are learnt of in one turn.
            self.build_names_stop |= !leaves_already && self.stop_at.is_some();
        }
        self.take_up_built(listener_events, backend_events);
        Ok(())
    }

    /// Writes what there is. What broke meanwhile is told at once, as nothing may come to wake the next turn.
    fn send(
        &mut self,
        listener_events: &mut Vec<ListenerEvent>,
        backend_events: &mut Vec<BackendEvent>,
    ) {
        loop {
            self.listeners.flush(self.now, listener_events);
            self.work.flush(self.now, backend_events);
            if listener_events.is_empty() && backend_events.is_empty() {
                return;
            }
            backend_events
                .drain(..)
                .for_each(|what| self.backend_event(what));
            listener_events
                .drain(..)
                .for_each(|what| self.listener_event(what));
            self.decide();
        }
    }

    /// When the next turn is due at the latest; never before this one, as what is overdue is due now.
    fn next_due(&self) -> TenthMillis {
        let alarm = self
            .alarms
            .peek()
            .map_or(TenthMillis::MAX, |Reverse((at, _))| *at);
        let alarm = self.reading.map_or(alarm, |(_, till)| till);
        let work = self.work.next_due();
        let stop = self.stop_at.unwrap_or(TenthMillis::MAX);
        let stop = if self.closing {
            stop
        } else {
            stop.saturating_sub(FLUSH)
        };
        let sweep = if self.listeners.needs_sweep() {
            self.sweep_at
        } else {
            TenthMillis::MAX
        };
        let parts = self
            .parts
            .iter()
            .map(|part| self.now.saturating_add(part.wait()))
            .min();
        let own = alarm
            .min(work)
            .min(stop)
            .min(sweep)
            .min(self.registry.next)
            .min(self.summary_at);
        own.min(parts.unwrap_or(TenthMillis::MAX)).max(self.now)
    }

    // --- Deciding and carrying out ---

    /// Hands over what happened until nothing new comes of it.
    fn decide(&mut self) {
        let mut actions = Vec::new();
        while let Some(door) = self.door.as_mut().filter(|_| !self.batch.is_empty()) {
            let mut batch = std::mem::take(&mut self.batch);
            door.handle(self.now, &batch, &mut actions);
            actions.drain(..).for_each(|what| self.carry_out(what));
            batch.clear();
            if self.batch.is_empty() {
                self.batch = batch;
            }
        }
        self.batch_keys.clear();
    }

    fn carry_out(&mut self, what: Action) {
        match what {
            Action::Run { id } => self.run(id),
            Action::Reject {
                id,
                no_retry_elsewhere,
                retry_after,
            } => self.final_answer(
                id,
                Answer::Rejected {
                    no_retry_elsewhere,
                    retry_after,
                },
            ),
            Action::Fail { id } => self.final_answer(id, Answer::Failed),
            Action::Cancel { id } => match self.in_flight.get(id) {
                Some(InFlightRequest {
                    stage: Stage::Running { sent: None },
                    ..
                }) => self.ended(id, Termination::Unsent, RunOutput::default()),
                // Asked for again, so it was answered some time ago: to a RUN the engine now says that it
                // runs, or that nothing is begun for a request that is over.
                Some(InFlightRequest {
                    stage: Stage::InDoubt { stopped: true },
                    ..
                }) if self.work.is_up() => self.run(id),
                Some(ex) if ex.stage.may_run() => {
                    self.work.cancel(id, ex, self.now);
                    if let Stage::InDoubt { stopped } = &mut ex.stage {
                        *stopped = self.work.is_up();
                    }
                }
                _ => {}
            },
            Action::Record { id, ttl: lasting } => {
                if let Some((ex, key)) = self
                    .in_flight
                    .get(id)
                    .and_then(|ex| ex.key.map(|key| (ex, key)))
                {
                    self.results
                        .record(id, key, &ex.body, ex.stamp, lasting, self.now);
                }
            }
            Action::Forget { id } => {
                self.results.forget(id);
                self.settle(id);
            }
            Action::Attach { id } => {
                let root = self.in_flight.get(id).and_then(|ex| ex.repeats);
                root.into_iter().for_each(|root| self.serve_from(id, root));
            }
            Action::Health { healthy: good, .. } => {
                self.listeners.healthy = good;
                let follows = self.orders.settings.list_follows_health;
                self.registry
                    .set_draining(self.stop_at.is_some() || (follows && !good));
                info!(self.log, "health"; "good" => good);
            }
            Action::Backpressure { value: level } => self.listeners.backpressure = Some(level),
            Action::IdleTimeout { timeout: after } => self.listeners.idle_timeout = after,
            Action::SetTimer { at, token } => self.alarms.push(Reverse((at, token))),
            // Refused at start, as this node can't make calls.
            Action::Call { id, .. } | Action::SkipCall { id } => {
                error!(self.log, "call asked for"; "ex" => id)
            }
        }
    }

    fn run(&mut self, id: RequestId) {
        let Some(ex) = self.in_flight.get(id) else {
            return;
        };
        let group = ex.group as usize;
        let repeatable = self.orders.settings.admission.groups[group].effect == Effect::Idempotent;
        // Its reservation is used up by the run itself, at once.
        self.work
            .release(ex.pool, std::mem::take(&mut ex.hold.admission));
        let sent = self
            .work
            .run(id, ex, &self.groups[group], repeatable, self.now);
        ex.stage = Stage::Running { sent };
    }

    fn final_answer(&mut self, id: RequestId, answer: Answer) {
        let Some(caller) = self.in_flight.get(id).and_then(|ex| ex.caller.take()) else {
            return;
        };
        self.listeners.answer(caller, answer);
        self.drop_if_queued(id);
    }

    /// Lets go of what never ran and is owed nothing, its entry included, so that a later try may run.
    fn drop_if_queued(&mut self, id: RequestId) {
        if self.in_flight.get(id).is_some_and(|ex| !ex.stage.may_run()) {
            if let Some(ex) = self.in_flight.remove(id) {
                self.let_go(ex.pool, ex.hold);
            }
            self.results.forget(id);
            self.settle(id);
        }
    }
}
