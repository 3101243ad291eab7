//! Reviews requests that are due for a decision.

use doortrack_time::{MILLISECOND, TenthMillis};

use super::AdmissionController;
use crate::Action;
use crate::in_flight::{Slot, Stage};

/// Interval between reviews of a late run while no other request is queued.
const LATE_RUN_REVIEW_INTERVAL: TenthMillis = 50 * MILLISECOND;

impl AdmissionController {
    /// Reviews all requests that are due.
    pub(super) fn review_due(&mut self, actions: &mut Vec<Action>) {
        while let Some(slot) = self.reviews.pop_due(&self.in_flight, self.now) {
            self.review(slot, actions);
        }
    }

    /// Schedules the next review of a request, replacing any earlier one.
    pub(super) fn schedule_review(&mut self, slot: Slot, at: TenthMillis) {
        let request = &mut self.in_flight[slot];
        request.review_at = at;
        self.reviews.push(at, request.id, slot);
    }

    /// Reviews one request that is due.
    fn review(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        let request = &self.in_flight[slot];
        let id = request.id;
        match request.stage {
            Stage::Queued => {
                actions.push(self.rejection(id, true, 0));
                self.remove_unstarted(slot, actions);
            }
            Stage::Attached => {
                actions.push(Action::Fail { id });
                self.remove_unstarted(slot, actions);
            }
            Stage::Running | Stage::AwaitingCall | Stage::Calling if request.answered => {
                self.cancel(slot, actions);
            }
            Stage::AwaitingCall if self.may_skip_call(slot) => self.skip_call(slot, actions),
            Stage::Running | Stage::AwaitingCall | Stage::Calling => {
                self.review_late_run(slot, actions);
            }
        }
    }

    /// Returns `true` if a request that waits for its call may continue without it.
    fn may_skip_call(&self, slot: Slot) -> bool {
        self.now < self.in_flight[slot].answer_by && self.group_of(slot).can_skip_call()
    }

    /// Fails a run that is out of time, or whose late result has no value while other requests are
    /// queued.
    fn review_late_run(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        let answer_by = self.in_flight[slot].answer_by;
        let others_queued = self.in_flight.count(Stage::Queued) > 0;
        let worthless = self.group_of(slot).late_answers_are_worthless();
        let out_of_time = self.now >= answer_by;
        if out_of_time || (worthless && others_queued && self.config.can_cancel()) {
            self.adjust_concurrency_limit(false);
            self.fail_running(slot, actions);
        } else if others_queued {
            self.schedule_review(slot, answer_by);
        } else {
            let review_at = answer_by.min(self.now + LATE_RUN_REVIEW_INTERVAL);
            self.schedule_review(slot, review_at);
        }
    }

    /// Starts a graceful shutdown: moves the due time of every answer to before the stop.
    pub(super) fn on_drain(
        &mut self,
        age: TenthMillis,
        stop_at: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        self.drain.begin(self.now.saturating_sub(age), stop_at);
        self.report_health(actions);
        let slots: Vec<Slot> = self.in_flight.slots().collect();
        for slot in slots {
            let request = &mut self.in_flight[slot];
            request.answer_by = self.drain.limit_to_stop(request.answer_by);
            request.objective_deadline = request.objective_deadline.min(request.answer_by);
            let review_at = request.review_at.min(request.answer_by);
            self.schedule_review(slot, review_at);
        }
    }
}
