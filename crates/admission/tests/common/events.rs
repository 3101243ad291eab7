//! Events on requests that the node has already read.

use doortrack_admission::*;
use doortrack_time::TenthMillis;

use super::simulated_node::{Shutdown, SimulatedNode, Stage};

impl SimulatedNode {
    /// Ends the run of a request, and with it any call in progress.
    pub fn end_run(&mut self, id: RequestId, outcome: RunOutcome) {
        let request = self.requests.get_mut(&id).unwrap();
        request.stage = Stage::Ended;
        request.answer_owed = false;
        request.completed = outcome == RunOutcome::Completed;
        if let Some(from) = request.call_started_at.take() {
            self.ended_calls
                .push((from, self.now + self.config.abandoned_call_time));
        }
        self.events.push(Event::RunEnded { id, outcome });
    }

    /// Moves a running request to its downstream call, or ends its run if no answer is owed any
    /// more.
    pub fn require_call(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).unwrap();
        if !request.answer_owed {
            return self.end_run(id, RunOutcome::Cancelled);
        }
        request.stage = Stage::AwaitingCall;
        self.events.push(Event::CallRequired { id });
    }

    pub fn end_call(&mut self, id: RequestId, outcome: CallOutcome) {
        let request = self.requests.get_mut(&id).unwrap();
        let started_at = request.call_started_at.take().unwrap();
        let residual_time = if outcome == CallOutcome::TimedOut {
            self.config.abandoned_call_time
        } else {
            0
        };
        self.ended_calls
            .push((started_at, self.now + residual_time));
        let effect = self.config.groups[request.group].effect;
        let completed = outcome == CallOutcome::Completed;
        request.may_call = completed || effect == Effect::Idempotent || outcome.proves_not_run();
        request.stage = if completed {
            Stage::Running
        } else {
            Stage::AwaitingCall
        };
        self.events.push(Event::CallEnded {
            id,
            outcome,
            duration: self.now - started_at,
        });
    }

    pub fn caller_gone(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).unwrap();
        request.answer_owed = false;
        match request.stage {
            Stage::Queued | Stage::Attached(_) => request.stage = Stage::Ended,
            Stage::AwaitingCall | Stage::Calling => self.end_run(id, RunOutcome::Cancelled),
            Stage::Running | Stage::Ended => {}
        }
        self.events.push(Event::CallerGone { id });
    }

    /// Requests a graceful shutdown that stops the process after `time_left`.
    pub fn drain_in(&mut self, time_left: TenthMillis) {
        if self.shutdown.is_some() {
            return;
        }
        let stop_at = self.now + time_left;
        self.shutdown = Some(Shutdown {
            last_arrival_at: self.now + self.config.drain_grace,
            stop_at,
        });
        self.events.push(Event::Drain { age: 0, stop_at });
    }
}
