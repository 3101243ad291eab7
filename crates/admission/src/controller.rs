//! The admission controller: handles events and runs the steps of a turn in order.
//!
//! Each concern keeps its state in a type of its own. Steps that involve several concerns are
//! methods of the controller, in its submodules: `arrival` (admission), `dispatch` (runs), `calls`
//! (downstream calls), `review` (requests that are due for a decision) and `answer` (answers, and
//! the removal of requests from the table).

mod answer;
mod arrival;
mod calls;
mod dispatch;
mod review;

use doortrack_time::{MILLISECOND, TenthMillis};

use crate::backpressure::BackpressureSignal;
use crate::callers::RecentCallers;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::downstream_calls::DownstreamCalls;
use crate::drain::Drain;
use crate::health::Health;
use crate::idempotency::IdempotencyRecords;
use crate::idle_connections::IdleConnections;
use crate::in_flight::{InFlightTable, Slot, Stage};
use crate::memory::MemoryAccount;
use crate::queue::RunQueues;
use crate::quota::TenantQuotas;
use crate::review::{ReviewSchedule, Timer};
use crate::run_slots::RunSlots;
use crate::run_time::RunTimes;
use crate::sessions::EstablishedSessions;
use crate::{Action, AdmissionConfig, EndpointGroup, Event, Gauges};

/// Interval between ticks. On each tick, the gauges are read and callers are informed of the load.
const TICK_INTERVAL: TenthMillis = 50 * MILLISECOND;

/// Takes the admission decisions of one node, for the lifetime of its process.
#[derive(Debug)]
pub struct AdmissionController {
    config: AdmissionConfig,
    /// Source of random draws for rejections by probability.
    rng: fastrand::Rng,
    /// Time of the current turn.
    now: TenthMillis,
    /// Time of the next tick.
    tick_at: TenthMillis,
    timer: Timer,
    in_flight: InFlightTable,
    reviews: ReviewSchedule,
    queues: RunQueues,
    run_slots: RunSlots,
    run_times: RunTimes,
    concurrency_limit: ConcurrencyLimit,
    memory: MemoryAccount,
    quotas: TenantQuotas,
    sessions: EstablishedSessions,
    callers: RecentCallers,
    records: IdempotencyRecords,
    downstream: DownstreamCalls,
    backpressure: BackpressureSignal,
    idle_connections: IdleConnections,
    health: Health,
    drain: Drain,
}

impl AdmissionController {
    /// Creates the controller of a process that has just started. Its random draws depend on `seed`
    /// alone.
    pub fn new(config: AdmissionConfig, seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            tick_at: 0,
            timer: Timer::default(),
            in_flight: InFlightTable::default(),
            reviews: ReviewSchedule::default(),
            queues: RunQueues::default(),
            run_slots: RunSlots::new(&config),
            run_times: RunTimes::new(&config),
            concurrency_limit: ConcurrencyLimit::new(&config),
            memory: MemoryAccount::new(&config),
            quotas: TenantQuotas::new(&config),
            sessions: EstablishedSessions::new(),
            callers: RecentCallers::new(),
            records: IdempotencyRecords::default(),
            downstream: DownstreamCalls::new(&config),
            backpressure: BackpressureSignal::new(&config),
            idle_connections: IdleConnections::new(&config),
            health: Health::new(&config),
            drain: Drain::new(&config),
            config,
        }
    }

    /// Processes one turn: applies a batch of events in order and appends the resulting actions,
    /// which the node executes in order. `now` must not go back.
    pub fn handle(&mut self, now: TenthMillis, batch: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        for event in batch {
            self.on_event(event, actions);
        }
        self.maintain(actions);
        self.review_due(actions);
        self.make_calls(actions);
        self.start_queued(actions);
        self.set_timer(actions);
    }

    /// Applies one event.
    fn on_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Started => self.run_slots.start(self.now),
            Event::Arrived(request) => self.on_arrived(request, actions),
            Event::RunEnded { id, outcome } => self.on_run_ended(*id, *outcome),
            Event::CallRequired { id } => self.on_call_required(*id),
            Event::CallEnded {
                id,
                outcome,
                duration,
            } => self.on_call_ended(*id, *outcome, *duration, actions),
            Event::CallerGone { id } => self.on_caller_gone(*id, actions),
            Event::Drain { age, stop_at } => self.on_drain(*age, *stop_at, actions),
            Event::Timer { gauges, .. } => self.on_gauges(gauges),
        }
    }

    /// Applies a reading of the node's gauges.
    fn on_gauges(&mut self, gauges: &Gauges) {
        self.run_slots.record_busy_cores(gauges.busy_cores);
        self.idle_connections.record_open(gauges.connections);
    }

    /// Removes expired records and sessions. On each tick, also informs callers of the load.
    fn maintain(&mut self, actions: &mut Vec<Action>) {
        while let Some(id) = self.records.pop_expired(self.now) {
            self.remove_record(id);
        }
        self.sessions.maintain(self.now);
        if self.now >= self.tick_at {
            self.tick_at = self.now + TICK_INTERVAL;
            self.report_backpressure(actions);
            self.report_health(actions);
            self.report_idle_timeout(actions);
        }
    }

    /// Reports the backpressure value if it has changed.
    fn report_backpressure(&mut self, actions: &mut Vec<Action>) {
        let limit = self.concurrency_limit.get();
        if let Some(value) = self.backpressure.tick(limit, self.callers.count()) {
            actions.push(Action::Backpressure { value });
        }
    }

    /// Reports the health if it has changed. A node is unhealthy while it drains or is stalled.
    fn report_health(&mut self, actions: &mut Vec<Action>) {
        let healthy = !self.drain.has_begun() && !self.is_stalled();
        self.health.report(healthy, actions);
    }

    /// Reports the idle timeout if it has changed.
    fn report_idle_timeout(&mut self, actions: &mut Vec<Action>) {
        let callers_return = self.callers.are_returning();
        if let Some(timeout) = self.idle_connections.tick(callers_return) {
            actions.push(Action::IdleTimeout { timeout });
        }
    }

    /// Sets the timer for the earliest review or the next tick, whichever comes first.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let next_at = self.reviews.next_at().min(self.tick_at);
        if let Some(at) = self.timer.set(self.now, next_at) {
            actions.push(Action::SetTimer { at, token: 0 });
        }
    }

    /// Returns `true` if every run slot is taken and no run makes progress.
    fn is_stalled(&self) -> bool {
        let slots_full = self.in_flight.count(Stage::Running) >= self.run_slots.count(self.now);
        let mean_run_time = self.run_times.mean();
        slots_full && self.health.without_progress(self.now, mean_run_time)
    }

    /// Returns the endpoint group of a request in flight.
    fn group_of(&self, slot: Slot) -> &EndpointGroup {
        &self.config.groups[self.in_flight[slot].group]
    }
}
