//! Handles arriving requests: each is attached to another request, rejected or queued.

use doortrack_time::TenthMillis;

use super::AdmissionController;
use crate::idempotency;
use crate::in_flight::{InFlightRequest, Slot, Stage};
use crate::queue::{LONG_WORK_THRESHOLD, MAX_WAIT_SHARE, PRIORITY_SCALE, QueueEntry};
use crate::thresholds::{self, AdmissionClass, Decision};
use crate::{Action, Effect, EndpointGroup, Request, RequestId};

/// Minimum work used in a request's priority, as a multiple of the mean work.
const MIN_RELATIVE_WORK: f32 = 0.01;

impl AdmissionController {
    /// Attaches, rejects or admits a request that was read.
    pub(super) fn on_arrived(&mut self, request: &Request, actions: &mut Vec<Action>) {
        self.callers.record(request.caller, self.now);
        let Some(&group) = self.config.groups.get(usize::from(request.group)) else {
            actions.push(Action::Fail { id: request.id });
            return;
        };
        let arrival = self.new_request(request, &group);
        let original = idempotency::original_of(&self.in_flight, request.id, request.duplicate_of);
        if let Some(original) = original {
            self.attach(arrival, original, actions);
        } else if let Some(rejection) = self.rejection_on_arrival(request, &arrival, &group) {
            actions.push(rejection);
        } else {
            self.admit(request, arrival, &group, actions);
        }
    }

    /// Builds the table entry of a request that was read.
    fn new_request(&mut self, request: &Request, group: &EndpointGroup) -> InFlightRequest {
        let arrived_at = self.now.saturating_sub(request.age);
        let deadline = request
            .deadline
            .unwrap_or((arrived_at + group.deadline).saturating_sub(1));
        let answer_by = self.drain.answer_by(deadline);
        let work = request.work_hint.unwrap_or(0) as f32;
        let work_allowance = (group.objective_per_work * work) as TenthMillis;
        let objective_deadline = arrived_at + group.latency_objective + work_allowance;
        InFlightRequest {
            id: request.id,
            group: usize::from(request.group),
            session_key: request.session_key,
            stage: Stage::Queued,
            arrived_at,
            objective_deadline: objective_deadline.min(answer_by),
            answer_by,
            work,
            memory_kb: request.memory_kb.max(0.0),
            over_quota: self.quotas.is_over(usize::from(request.tenant), self.now),
            ..InFlightRequest::default()
        }
    }

    /// Attaches a duplicate to its original, whose result answers it. The duplicate is neither run
    /// nor rejected, because the original may have run.
    fn attach(
        &mut self,
        mut duplicate: InFlightRequest,
        original: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let (id, answer_by) = (duplicate.id, duplicate.answer_by);
        if !self.memory.fits(duplicate.memory_kb) {
            actions.push(Action::Fail { id });
            return;
        }
        actions.push(Action::Attach { id });
        duplicate.stage = Stage::Attached;
        duplicate.attached_to = original;
        let slot = self.insert_in_flight(duplicate);
        self.schedule_review(slot, answer_by);
    }

    /// Decides whether a request is rejected, updates the rejection rate, and returns the rejection
    /// if there is one.
    fn rejection_on_arrival(
        &mut self,
        request: &Request,
        arrival: &InFlightRequest,
        group: &EndpointGroup,
    ) -> Option<Action> {
        let unread_share = request.age as f32 / group.latency_objective.max(1) as f32;
        let rejected = self.is_out_of_time(arrival)
            || !self.fits_in_memory(arrival, group)
            || self.should_reject(arrival, unread_share);
        self.backpressure.record_read(rejected, unread_share);
        self.idle_connections.record_read(unread_share);
        let over_budget = request.budget_retry_after.is_some();
        if !rejected && !over_budget && !self.would_be_late(arrival, group) {
            return None;
        }
        // A request that would only be late does not indicate an overload, and a faster node may
        // still complete it in time.
        let overloaded = (rejected || over_budget) && self.backpressure.is_overloaded();
        let no_retry_elsewhere = request.retry || overloaded;
        let retry_after = request.budget_retry_after.unwrap_or(0);
        Some(self.rejection(request.id, no_retry_elsewhere, retry_after))
    }

    /// Returns `true` if a request arrived too late to be answered, or to be run before the node
    /// shuts down.
    fn is_out_of_time(&self, arrival: &InFlightRequest) -> bool {
        self.now >= arrival.answer_by || self.drain.rejects(arrival.arrived_at)
    }

    /// Returns `true` if there is memory for a queued request and its record.
    fn fits_in_memory(&self, arrival: &InFlightRequest, group: &EndpointGroup) -> bool {
        let record_kb = match group.effect {
            Effect::Deduplicated => self.config.record_kb,
            Effect::Idempotent | Effect::Mutating => 0.0,
        };
        self.memory.fits(arrival.memory_kb + record_kb)
    }

    /// Returns `true` if a request is rejected because of the load: by the rule in [`thresholds`],
    /// or because the node is stalled or reads requests too slowly.
    fn should_reject(&mut self, request: &InFlightRequest, unread_share: f32) -> bool {
        if self.is_stalled() {
            return true;
        }
        if !self.is_busy() {
            return false;
        }
        // The load counts only requests that were read, but unread ones can overload a node too.
        if unread_share > MAX_WAIT_SHARE {
            return true;
        }
        let load = self.in_flight.load_ahead(request.over_quota);
        let class = if request.over_quota {
            AdmissionClass::OverQuota
        } else if self.sessions.contains(request.session_key) {
            AdmissionClass::EstablishedSession
        } else {
            AdmissionClass::NewSession
        };
        match thresholds::apply(load, self.concurrency_limit.get(), class) {
            Decision::Admit => false,
            Decision::RejectWithProbability(probability) => self.rng.f32() < probability,
            Decision::Reject => true,
        }
    }

    /// Returns `true` if the admission rule applies: all cores are busy or, without a gauge, all
    /// run slots are taken. Requests queued in this turn count as taking a slot, so that a burst is
    /// treated the same whether it is read in one turn or in several.
    fn is_busy(&self) -> bool {
        let taken = self.in_flight.count(Stage::Running) + self.in_flight.count(Stage::Queued);
        self.run_slots
            .all_cores_busy()
            .unwrap_or_else(|| taken >= self.run_slots.count(self.now))
    }

    /// Returns `true` if late answers of the group have no value and a run that starts now would
    /// miss the latency objective.
    fn would_be_late(&self, request: &InFlightRequest, group: &EndpointGroup) -> bool {
        let run_time = self.run_times.expected(request.group, request.work);
        let ends_at = self.now.saturating_add(run_time);
        group.late_answers_are_worthless() && ends_at > request.objective_deadline
    }

    /// Admits a request: records it if it is deduplicated, and queues it.
    fn admit(
        &mut self,
        request: &Request,
        arrival: InFlightRequest,
        group: &EndpointGroup,
        actions: &mut Vec<Action>,
    ) {
        if group.effect == Effect::Deduplicated {
            let ttl = group.dedup_window.saturating_sub(request.age);
            self.record(request.id, ttl, actions);
        }
        if !arrival.over_quota {
            self.quotas.take(usize::from(request.tenant));
        }
        let slot = self.insert_in_flight(arrival);
        self.enqueue(slot);
    }

    /// Records a deduplicated request. The record is made when the request is read, so that a retry
    /// is recognized while the request is still queued.
    fn record(&mut self, id: RequestId, ttl: TenthMillis, actions: &mut Vec<Action>) {
        actions.push(Action::Record { id, ttl });
        self.records.insert(id, self.now + ttl);
        self.memory.reserve(self.config.record_kb);
    }

    /// Inserts a request into the table and reserves its memory.
    fn insert_in_flight(&mut self, request: InFlightRequest) -> Slot {
        self.memory.reserve(request.memory_kb);
        self.in_flight.insert(request)
    }

    /// Adds a request to its run queue and schedules a review after its latest start.
    fn enqueue(&mut self, slot: Slot) {
        let request = &self.in_flight[slot];
        let group = self.group_of(slot);
        let latest_start = self.latest_start(request);
        let relative_work = self.run_times.relative_work(request.group, request.work);
        let priority = self.run_priority(request, group, relative_work);
        let entry = QueueEntry::new(request, slot, priority);
        let long_work = relative_work > LONG_WORK_THRESHOLD;
        self.in_flight[slot].long_work = long_work;
        self.queues.push(entry, long_work);
        self.schedule_review(slot, latest_start.max(self.now) + 1);
    }

    /// Returns the latest time at which a queued request may start. After it, the request has
    /// waited too long or can no longer meet its latency objective.
    fn latest_start(&self, request: &InFlightRequest) -> TenthMillis {
        let deadline = request.objective_deadline;
        let objective = deadline.saturating_sub(request.arrived_at);
        let max_wait = (MAX_WAIT_SHARE * objective as f32) as TenthMillis;
        let run_time = self.run_times.expected(request.group, request.work);
        (request.arrived_at + max_wait).min(deadline.saturating_sub(run_time))
    }

    /// Returns the priority in the run queues: weight per unit of work, or the weight alone if the
    /// deployment counts value by work.
    fn run_priority(
        &self,
        request: &InFlightRequest,
        group: &EndpointGroup,
        relative_work: f32,
    ) -> f32 {
        let quota_weight = if request.over_quota {
            self.config.over_quota_weight
        } else {
            1.0
        };
        let work = if self.config.weight_per_work {
            1.0
        } else {
            relative_work.max(MIN_RELATIVE_WORK)
        };
        PRIORITY_SCALE * (group.priority_weight * quota_weight) / work
    }
}
