//! Answers other than results, and the removal of requests from the table.

use doortrack_time::{MILLISECOND, TenthMillis};

use super::AdmissionController;
use crate::in_flight::{Slot, Stage};
use crate::thresholds::LOWER_THRESHOLD;
use crate::{Action, Effect, RequestId};

/// Interval at which a cancellation is repeated until the end of the run is reported. It is
/// repeated because it has no effect while the node is stalled.
const CANCEL_REPEAT_INTERVAL: TenthMillis = 250 * MILLISECOND;

impl AdmissionController {
    /// Builds the rejection of a request. The caller is asked to retry when the load is expected to
    /// be back at the lower threshold, but not before `retry_after`.
    pub(super) fn rejection(
        &self,
        id: RequestId,
        no_retry_elsewhere: bool,
        retry_after: TenthMillis,
    ) -> Action {
        let stalled = self.is_stalled();
        let retry_after = if self.drain.has_begun() || stalled {
            TenthMillis::MAX
        } else {
            retry_after.max(self.time_to_lower_threshold())
        };
        Action::Reject {
            id,
            no_retry_elsewhere: no_retry_elsewhere && !stalled,
            retry_after: retry_after.min(self.config.max_retry_after),
        }
    }

    /// Returns the expected time until the load is back at the lower threshold.
    fn time_to_lower_threshold(&self) -> TenthMillis {
        let target_load = LOWER_THRESHOLD * self.concurrency_limit.get();
        let excess = (self.in_flight.load() - target_load).max(0.0);
        let run_slots = self.run_slots.count(self.now) as f32;
        (excess * self.run_times.mean() / run_slots) as TenthMillis
    }

    /// Answers a started request with a failure and cancels its run. The request stays in the table
    /// until the end of the run is reported.
    pub(super) fn fail_running(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        let id = self.in_flight[slot].id;
        actions.push(Action::Fail { id });
        self.cancel(slot, actions);
    }

    /// Cancels a run whose result is no longer needed, if the platform supports cancellation.
    pub(super) fn cancel(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        let request = &mut self.in_flight[slot];
        request.answered = true;
        if !self.config.can_cancel() {
            self.schedule_review(slot, TenthMillis::MAX);
            return;
        }
        if request.stage == Stage::Running {
            actions.push(Action::Cancel { id: request.id });
        }
        self.schedule_review(slot, self.now + CANCEL_REPEAT_INTERVAL);
    }

    /// Handles a caller that no longer waits: cancels its request if that has started, otherwise
    /// removes it. A deduplicated run goes on until its deadline, as its result answers the retries
    /// that come within the window.
    pub(super) fn on_caller_gone(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(slot) = self.in_flight.slot_of(id) else {
            return;
        };
        if !self.in_flight[slot].has_started() {
            self.remove_unstarted(slot, actions);
        } else if self.group_of(slot).effect != Effect::Deduplicated {
            self.cancel(slot, actions);
        }
    }

    /// Removes a request that has not started, and its record, so that a retry can run.
    pub(super) fn remove_unstarted(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        let id = self.in_flight[slot].id;
        if self.remove_record(id) {
            actions.push(Action::Forget { id });
        }
        self.remove_from_table(slot);
    }

    /// Removes the record of a request. Returns `true` if there was one.
    pub(super) fn remove_record(&mut self, id: RequestId) -> bool {
        let removed = self.records.remove(id);
        if removed {
            self.memory.release(self.config.record_kb);
        }
        removed
    }

    /// Removes a request from the table and releases its memory.
    pub(super) fn remove_from_table(&mut self, slot: Slot) {
        if self.in_flight[slot].stage == Stage::Calling {
            self.refund_call(slot, true);
        }
        let request = self.in_flight.remove(slot);
        self.memory.release(request.memory_kb);
        if request.has_started() {
            let extra_kb = self.memory.extra_run_kb(request.memory_kb);
            self.memory.release(extra_kb);
        }
    }
}
