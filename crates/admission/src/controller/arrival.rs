//! Admission: what becomes of a request that was read.

use doortrack_time::TenthMillis;

use super::AdmissionController;
use crate::idempotency;
use crate::in_flight::{InFlightRequest, Slot, Stage};
use crate::queue::{LONG_WORK, MAX_WAIT_SHARE, PRIORITY_UNITS, QueueEntry};
use crate::thresholds::{self, Applicant, Verdict};
use crate::{Action, Effect, EndpointGroup, Request, RequestId};

/// Least work in the priority of a request, as a multiple of the mean work.
const MIN_RELATIVE_WORK: f32 = 0.01;

impl AdmissionController {
    pub(super) fn on_arrived(&mut self, request: &Request, actions: &mut Vec<Action>) {
        self.callers.record(request.caller, self.now);
        let Some(&group) = self.config.groups.get(usize::from(request.group)) else {
            actions.push(Action::Fail { id: request.id });
            return;
        };
        let mut arrival = self.new_request(request, &group);
        if let Some(original) =
            idempotency::original_of(&self.in_flight, request.id, request.duplicate_of)
        {
            arrival.stage = Stage::Attached;
            arrival.attached_to = original;
            self.attach(arrival, actions);
            return;
        }
        let unread_share = request.age as f32 / group.latency_objective.max(1) as f32;
        let rejected = self.should_reject(&arrival, &group, unread_share);
        self.backpressure.record_read(rejected, unread_share);
        self.idle_connections.record_read(unread_share);
        let over_budget = request.budget_retry_after.is_some();
        if rejected || over_budget || self.would_be_late(&arrival, &group) {
            // A request that would only be late here may still be done in time by a faster node, and says
            // nothing of the load.
            let overloaded = (rejected || over_budget) && self.backpressure.is_overloaded();
            let retry_after = request.budget_retry_after.unwrap_or(0);
            let rejection = self.rejection(request.id, request.retry || overloaded, retry_after);
            actions.push(rejection);
            return;
        }
        if group.effect == Effect::Deduplicated {
            let ttl = group.dedup_window.saturating_sub(request.age);
            self.record(request.id, ttl, actions);
        }
        if !arrival.over_quota {
            self.quotas.take(usize::from(request.tenant));
        }
        let slot = self.admit(arrival);
        self.enqueue(slot);
    }

    /// The entry of a request that was read, as yet queued.
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

    /// Answers a duplicate with the result of its original, whatever that was: it is neither run nor rejected.
    fn attach(&mut self, duplicate: InFlightRequest, actions: &mut Vec<Action>) {
        let (id, answer_by) = (duplicate.id, duplicate.answer_by);
        if self.memory.fits(duplicate.memory_kb) {
            actions.push(Action::Attach { id });
            let slot = self.admit(duplicate);
            self.schedule_review(slot, answer_by);
        } else {
            actions.push(Action::Fail { id });
        }
    }

    /// Whether a request is rejected on reading.
    fn should_reject(
        &mut self,
        request: &InFlightRequest,
        group: &EndpointGroup,
        unread_share: f32,
    ) -> bool {
        let record_kb = if group.effect == Effect::Deduplicated {
            self.config.record_kb
        } else {
            0.0
        };
        let too_late = self.now >= request.answer_by || self.drain.rejects(request.arrived_at);
        too_late
            || !self.memory.fits(request.memory_kb + record_kb)
            || self.is_shed(request, unread_share)
    }

    /// Whether a request is rejected because of the load, by the rule in [`thresholds`] and its exceptions.
    fn is_shed(&mut self, request: &InFlightRequest, unread_share: f32) -> bool {
        if self.is_stalled() {
            return true;
        }
        if !self.is_busy() {
            return false;
        }
        // Little may be queued while much stands unread.
        if unread_share > MAX_WAIT_SHARE {
            return true;
        }
        let load = self.in_flight.load_ahead(request.over_quota);
        let applicant = if request.over_quota {
            Applicant::OverQuota
        } else if self.sessions.contains(request.session_key) {
            Applicant::EstablishedSession
        } else {
            Applicant::NewSession
        };
        match thresholds::apply(load, self.concurrency_limit.get(), applicant) {
            Verdict::Admit => false,
            Verdict::RejectWithProbability(probability) => self.rng.f32() < probability,
            Verdict::Reject => true,
        }
    }

    /// Whether the admission rule applies: all cores are busy, or without a gauge all run slots are taken. What
    /// this batch has queued counts there, so that a burst is treated alike whether it is read in one turn or
    /// in many.
    fn is_busy(&self) -> bool {
        let taken = self.in_flight.count(Stage::Running) + self.in_flight.count(Stage::Queued);
        self.run_slots
            .all_cores_busy()
            .unwrap_or_else(|| taken >= self.run_slots.count(self.now))
    }

    /// Whether the result of a run that began now would be worthless.
    fn would_be_late(&self, request: &InFlightRequest, group: &EndpointGroup) -> bool {
        let run_time = self.run_times.expected(request.group, group, request.work);
        let ends_at = self.now.saturating_add(run_time);
        group.late_is_worthless() && ends_at > request.objective_deadline
    }

    /// Records a deduplicated request. This is done on reading: a retry of a request that is queued without an
    /// entry would not be known as one.
    fn record(&mut self, id: RequestId, ttl: TenthMillis, actions: &mut Vec<Action>) {
        actions.push(Action::Record { id, ttl });
        self.records.insert(id, self.now + ttl);
        self.memory.reserve(self.config.record_kb);
    }

    /// Enters a request into the table, and its memory into the account.
    fn admit(&mut self, request: InFlightRequest) -> Slot {
        self.memory.reserve(request.memory_kb);
        self.in_flight.insert(request)
    }

    /// Puts a request in its run queue, by the value that it still has for the work that it takes. It is given
    /// up there once it has waited too long or can no longer meet its latency objective.
    fn enqueue(&mut self, slot: Slot) {
        let request = &self.in_flight[slot];
        let group = self.group_of(slot);
        let objective = request
            .objective_deadline
            .saturating_sub(request.arrived_at);
        let max_wait = (MAX_WAIT_SHARE * objective as f32) as TenthMillis;
        let run_time = self.run_times.expected(request.group, group, request.work);
        let latest_start = request.objective_deadline.saturating_sub(run_time);
        let start_by = latest_start.min(request.arrived_at + max_wait);
        let relative_work = self.run_times.relative_work(request.group, request.work);
        let priority = self.run_priority(request, group, relative_work);
        let entry = QueueEntry::new(request, slot, priority);
        let long_work = relative_work > LONG_WORK;
        self.in_flight[slot].long_work = long_work;
        self.queues.push(entry, long_work);
        self.schedule_review(slot, start_by.max(self.now) + 1);
    }

    /// Priority in the run queues: value per unit of work, or value alone where that is already counted by work.
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
        PRIORITY_UNITS * (group.priority_weight * quota_weight) / work
    }
}
