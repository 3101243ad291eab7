//! Calls of running requests to downstream services.

use doortrack_time::TenthMillis;

use super::AdmissionController;
use crate::in_flight::{Slot, Stage};
use crate::queue::{MAX_WAIT_SHARE, PRIORITY_SCALE, QueueEntry};
use crate::{Action, CallOutcome, Effect, RequestId};

/// Maximum number of retries of a failed call.
const MAX_CALL_RETRIES: u8 = 2;

impl AdmissionController {
    /// Handles a running request that needs its downstream call to continue.
    pub(super) fn on_call_required(&mut self, id: RequestId) {
        let Some(slot) = self.in_flight.slot_of(id) else {
            return;
        };
        if self.in_flight[slot].stage == Stage::Running {
            self.in_flight.set_stage(slot, Stage::AwaitingCall);
            self.enqueue_call(slot);
        }
    }

    /// Queues a request for its call. The priority is the value that the request would lose without
    /// the call.
    fn enqueue_call(&mut self, slot: Slot) {
        let request = &self.in_flight[slot];
        let group = self.group_of(slot);
        let priority = PRIORITY_SCALE * group.priority_weight * (1.0 - group.degraded_weight);
        let entry = QueueEntry::new(request, slot, priority);
        if group.can_skip_call() {
            let max_wait = (MAX_WAIT_SHARE * group.latency_objective as f32) as TenthMillis;
            let review_at = request.review_at.min(self.now + max_wait);
            self.schedule_review(slot, review_at);
        }
        self.downstream.push(entry);
    }

    /// Makes queued calls as far as the budget allows.
    pub(super) fn make_calls(&mut self, actions: &mut Vec<Action>) {
        self.downstream.refill(self.now);
        while let Some(entry) = self.downstream.peek(&self.in_flight) {
            let slot = entry.slot();
            let skippable = self.group_of(slot).can_skip_call();
            let time_left = self.time_left_for_call(slot, skippable);
            let Some(timeout) = self.downstream.timeout(time_left, skippable) else {
                break;
            };
            self.downstream.pop();
            self.make_call(slot, timeout, actions);
        }
    }

    /// Returns how long a call that is made now may take. A call that may be skipped gets half of
    /// the time left until the latency objective; the other half is left for the rest of the run.
    fn time_left_for_call(&self, slot: Slot, skippable: bool) -> TenthMillis {
        let request = &self.in_flight[slot];
        if skippable {
            request.objective_deadline.saturating_sub(self.now) / 2
        } else {
            request.answer_by.saturating_sub(self.now)
        }
    }

    /// Makes the downstream call of a request.
    fn make_call(&mut self, slot: Slot, timeout: TenthMillis, actions: &mut Vec<Action>) {
        self.in_flight.set_stage(slot, Stage::Calling);
        let request = &mut self.in_flight[slot];
        self.downstream.start(&mut request.calls, timeout, self.now);
        let id = request.id;
        actions.push(Action::Call { id, timeout });
    }

    /// Handles the end of a call. Reports on a request without a call in progress are ignored.
    pub(super) fn on_call_ended(
        &mut self,
        id: RequestId,
        outcome: CallOutcome,
        duration: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        let Some(slot) = self.in_flight.slot_of(id) else {
            return;
        };
        if self.in_flight[slot].stage != Stage::Calling {
            return;
        }
        self.in_flight.set_stage(slot, Stage::AwaitingCall);
        self.refund_call(slot, outcome == CallOutcome::TimedOut);
        if outcome == CallOutcome::Completed {
            self.downstream.record_completed(duration);
            self.resume(slot);
        } else {
            self.on_call_failed(slot, outcome, actions);
        }
    }

    /// Continues a run without its failed call, retries the call, or fails the request.
    fn on_call_failed(&mut self, slot: Slot, outcome: CallOutcome, actions: &mut Vec<Action>) {
        let request = &self.in_flight[slot];
        if request.answered {
            return; // Only the end of the run is still to be reported.
        }
        let group = self.group_of(slot);
        let may_retry = group.effect == Effect::Idempotent || outcome.proves_not_run();
        if group.can_skip_call() {
            self.skip_call(slot, actions);
        } else if may_retry && request.calls.attempts() <= MAX_CALL_RETRIES {
            self.enqueue_call(slot);
        } else {
            self.fail_running(slot, actions);
        }
    }

    /// Continues a run without its downstream call.
    pub(super) fn skip_call(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        let id = self.in_flight[slot].id;
        actions.push(Action::SkipCall { id });
        self.resume(slot);
    }

    /// Returns a request to the running stage and schedules its next review.
    fn resume(&mut self, slot: Slot) {
        self.in_flight.set_stage(slot, Stage::Running);
        let request = &self.in_flight[slot];
        let review_at = if self.now < request.objective_deadline {
            request.objective_deadline
        } else {
            request.answer_by
        };
        self.schedule_review(slot, review_at);
    }

    /// Returns the unused part of a call's charge to the budget.
    pub(super) fn refund_call(&mut self, slot: Slot, abandoned: bool) {
        let calls = &self.in_flight[slot].calls;
        self.downstream.refund_unused(calls, abandoned, self.now);
    }
}
