//! Starts queued requests, and updates the estimates when runs end.

use super::AdmissionController;
use crate::in_flight::{Slot, Stage};
use crate::{Action, RequestId, RunOutcome};

impl AdmissionController {
    /// Starts queued requests by priority while run slots, concurrency and memory are available.
    pub(super) fn start_queued(&mut self, actions: &mut Vec<Action>) {
        let run_slots = self.run_slots.count(self.now);
        let max_started = self.run_slots.max_concurrency(self.now).max(1.0) as usize;
        while self.in_flight.count(Stage::Running) < run_slots
            && self.in_flight.started() < max_started
        {
            let Some(slot) = self.queues.next(&self.in_flight, run_slots) else {
                break;
            };
            let queued_kb = self.in_flight[slot].memory_kb;
            let extra_kb = self.memory.extra_run_kb(queued_kb);
            if !self.memory.fits(extra_kb) {
                break;
            }
            self.memory.reserve(extra_kb);
            self.start(slot, actions);
        }
    }

    /// Starts the request at the head of a run queue.
    fn start(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        let request = &mut self.in_flight[slot];
        request.run_started_at = self.now;
        let id = request.id;
        let review_at = request.objective_deadline.min(request.answer_by);
        self.queues.pop(request.long_work);
        self.in_flight.set_stage(slot, Stage::Running);
        self.health.record_progress(self.now);
        self.schedule_review(slot, review_at.max(self.now + 1));
        actions.push(Action::Run { id });
    }

    /// Handles the end of a run, or of the wait of an attached request.
    pub(super) fn on_run_ended(&mut self, id: RequestId, outcome: RunOutcome) {
        let Some(slot) = self.in_flight.slot_of(id) else {
            return;
        };
        let request = &self.in_flight[slot];
        if outcome == RunOutcome::Completed && request.stage != Stage::Queued && !request.answered {
            let session_key = request.session_key;
            if request.has_started() {
                self.record_completed_run(slot);
            }
            self.sessions.record_completed(session_key);
        }
        self.health.record_progress(self.now);
        self.remove_from_table(slot);
    }

    /// Updates the run time estimates and the concurrency limit after a completed run.
    fn record_completed_run(&mut self, slot: Slot) {
        let request = &self.in_flight[slot];
        let run_time = (self.now - request.run_started_at) as f32;
        let met_objective = self.now <= request.objective_deadline;
        self.run_times.record(request.group, request.work, run_time);
        self.adjust_concurrency_limit(met_objective);
    }

    /// Adjusts the concurrency limit after a run that met or missed its latency objective.
    pub(super) fn adjust_concurrency_limit(&mut self, met_objective: bool) {
        let run_slots = self.run_slots.count(self.now);
        let mean_run_time = self.run_times.mean();
        if met_objective {
            let load = self.in_flight.load();
            self.concurrency_limit
                .record_met(load, run_slots, mean_run_time);
        } else {
            self.concurrency_limit
                .record_missed(run_slots, mean_run_time);
        }
    }
}
