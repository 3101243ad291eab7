//! Executes actions, and checks that each is valid for its request.

use doortrack_admission::*;

use super::simulated_node::{RecordedRequest, SimulatedNode, Stage, TrackedRequest};

impl SimulatedNode {
    pub(super) fn execute(&mut self, action: &Action) {
        match *action {
            Action::Run { id } => self.run(id),
            Action::Reject { id, .. } => self.answer(id, true),
            Action::Fail { id } => self.answer(id, false),
            Action::Cancel { id } => self.cancel(id),
            Action::Call { id, timeout } => {
                let now = self.now;
                let request = self.tracked(id);
                assert!(
                    request.stage == Stage::AwaitingCall && request.may_call && timeout > 0,
                    "invalid call of request {id} at stage {:?}",
                    request.stage
                );
                request.stage = Stage::Calling;
                request.call_started_at = Some(now);
                request.call_abandoned_at = now + timeout;
            }
            Action::SkipCall { id } => {
                let group = self.tracked(id).group;
                assert!(self.config.groups[group].degraded_weight > 0.0);
                let request = self.tracked(id);
                assert!(request.stage == Stage::AwaitingCall);
                request.stage = Stage::Running;
            }
            Action::Record { id, ttl } => {
                let record = RecordedRequest {
                    idempotency_key: self.requests[&id].idempotency_key,
                    id,
                    expires_at: self.now + ttl,
                };
                self.records.push(record);
            }
            Action::Forget { id } => self.records.retain(|record| record.id != id),
            Action::Attach { id } => {
                let request = self.tracked(id);
                if request.stage != Stage::Ended {
                    let original = request.duplicate_of.expect("attached without an original");
                    request.stage = Stage::Attached(original);
                }
            }
            Action::SetTimer { at, .. } => {
                assert!(at > self.now, "timer set in the past");
                self.timers.insert(at);
            }
            Action::Health { .. } | Action::Backpressure { .. } | Action::IdleTimeout { .. } => {}
        }
    }

    fn tracked(&mut self, id: RequestId) -> &mut TrackedRequest {
        self.requests.get_mut(&id).unwrap()
    }

    fn run(&mut self, id: RequestId) {
        let request = &self.requests[&id];
        assert!(
            request.stage == Stage::Queued && !request.ran && request.answer_owed,
            "invalid run of request {id} at stage {:?}",
            request.stage
        );
        let too_late = self
            .shutdown
            .is_some_and(|shutdown| request.arrived_at > shutdown.last_arrival_at);
        assert!(
            !too_late,
            "drain: request {id} arrived after the grace period and was run"
        );
        self.check_not_run_before(id);
        let request = self.tracked(id);
        request.stage = Stage::Running;
        request.ran = true;
    }

    /// Checks that a deduplicated request runs at most once within its dedup window.
    fn check_not_run_before(&self, id: RequestId) {
        let request = &self.requests[&id];
        let group = &self.config.groups[request.group];
        let same_key = self.requests.iter().filter(|(_, other)| {
            other.idempotency_key == request.idempotency_key && other.group == request.group
        });
        for (other_id, other) in same_key {
            let runs_again = group.effect == Effect::Deduplicated && other.ran;
            assert!(
                !runs_again || request.arrived_at > other.arrived_at + group.dedup_window,
                "request {id} runs again after {other_id}"
            );
        }
    }

    /// Records a final answer. A rejected request must never have run unless it is idempotent.
    fn answer(&mut self, id: RequestId, rejected: bool) {
        let request = self.requests.get_mut(&id).unwrap();
        assert!(!request.answered, "second answer to request {id}");
        request.answered = true;
        if request.stage == Stage::Ended {
            return; // The answer has no effect: the request ended before this turn.
        }
        let effect = self.config.groups[request.group].effect;
        assert!(
            !(rejected && effect != Effect::Idempotent && request.ran),
            "request {id} was rejected after it ran"
        );
        request.answer_owed = false;
        match request.stage {
            Stage::Queued | Stage::Attached(_) => request.stage = Stage::Ended,
            Stage::AwaitingCall | Stage::Calling => self.end_run(id, RunOutcome::Cancelled),
            Stage::Running | Stage::Ended => {}
        }
    }

    fn cancel(&mut self, id: RequestId) {
        assert!(
            self.config.cancellation != Cancellation::Unsupported,
            "cancelled although cancellation is not supported"
        );
        let request = &self.requests[&id];
        assert!(
            !request.answer_owed || request.stage == Stage::Ended,
            "request {id} was cancelled before it was answered"
        );
        if request.stage == Stage::Running {
            self.end_run(id, RunOutcome::Cancelled);
        }
    }
}
