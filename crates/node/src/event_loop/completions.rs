//! Ends of requests: runs that the backend reports as ended, callers that leave, and duplicates that wait for a
//! result.

use doortrack_admission::{Event, RequestId, RunOutcome};
use slog::{debug, warn};

use super::Node;
use crate::network::backend::BackendEvent;
use crate::network::engine_protocol::{EngineMessage, RefusedCommand};
use crate::network::listeners::Caller;
use crate::network::request::{Answer, AttemptId, RunOutput};
use crate::network::termination::{Outcome, Termination};
use crate::state::in_flight::Stage;
use crate::state::results::{NoResult, StoredResult};
use crate::subsystem::PermitOutcome;

impl Node {
    pub(super) fn on_backend_event(&mut self, event: BackendEvent) {
        match event {
            BackendEvent::Up { cold, uptime } => self.start_admission(cold, uptime),
            BackendEvent::CaughtUp { answered_cookie } => self.resend_lost(answered_cookie),
            BackendEvent::EngineMessage(message) => self.on_engine_message(message),
            BackendEvent::RunEnded {
                id,
                termination,
                headers,
                body,
            } => {
                let output = RunOutput {
                    headers: &headers,
                    body: &body,
                };
                self.on_terminated(id, termination, output);
            }
            BackendEvent::LinkEnded(termination) => {
                let running: Vec<RequestId> = self.in_flight.running().map(|(id, _)| id).collect();
                for id in running {
                    self.on_terminated(id, termination, RunOutput::default());
                }
            }
        }
    }

    fn on_engine_message(&mut self, message: EngineMessage) {
        match message {
            EngineMessage::Done {
                attempt_id,
                outcome,
                result,
                ..
            } => {
                if let Some(id) = self.in_flight.find_by_attempt(&attempt_id) {
                    let output = RunOutput::from(&result[..]);
                    self.on_terminated(id, Termination::Run(outcome), output);
                }
            }
            EngineMessage::Refused {
                command,
                attempt_id,
            } => self.on_refused_command(command, attempt_id),
            EngineMessage::Stats { cookie, values } => self.on_gauges(cookie, &values),
            _ => {}
        }
    }

    /// The engine refused a command because it does not know the request.
    fn on_refused_command(&mut self, command: RefusedCommand, attempt_id: Option<AttemptId>) {
        warn!(self.log, "engine refused command"; "command" => %command);
        let termination = if command == RefusedCommand::Run {
            Termination::RunRefused
        } else {
            Termination::CancelRefused
        };
        if let Some(id) =
            attempt_id.and_then(|attempt_id| self.in_flight.find_by_attempt(&attempt_id))
        {
            self.on_terminated(id, termination, RunOutput::default());
        }
    }

    /// Handles the end of a connection or a run for the request concerned.
    pub(super) fn on_terminated(
        &mut self,
        id: RequestId,
        termination: Termination,
        output: RunOutput,
    ) {
        match termination.outcome() {
            Outcome::AnswerPending => {}
            Outcome::CallerGone => self.on_caller_gone(id, termination),
            Outcome::RunEnded(outcome) => self.on_run_ended(id, outcome, output),
        }
    }

    fn on_caller_gone(&mut self, id: RequestId, termination: Termination) {
        let request = self.in_flight.get(id);
        let Some(request) = request.filter(|request| request.caller.is_some()) else {
            return;
        };
        request.caller = None;
        debug!(self.log, "request unanswered"; "id" => %String::from_utf8_lossy(&request.attempt_id),
            "why" => termination.name());
        self.admission.push(Event::CallerGone { id });
        self.drop_if_queued(id);
    }

    /// Removes a request that never ran and needs no answer any more. Its result entry is removed too, so that a
    /// later attempt may run.
    pub(super) fn drop_if_queued(&mut self, id: RequestId) {
        if !self.in_flight.is_not_begun(id) {
            return;
        }
        if let Some(request) = self.in_flight.remove(id) {
            self.release_unused(request.pool, request.reservations);
        }
        self.results.forget(id);
        self.answer_duplicates(id);
    }

    /// Releases the request's reservations, answers its caller, and answers its duplicates from the result.
    fn on_run_ended(&mut self, id: RequestId, outcome: RunOutcome, output: RunOutput) {
        let Some(request) = self.in_flight.remove(id) else {
            return;
        };
        self.backend
            .release(request.pool, request.reservations.admission);
        let permit_outcome = match outcome {
            RunOutcome::Completed => PermitOutcome::RunEnded,
            RunOutcome::Failed | RunOutcome::Cancelled => PermitOutcome::MayStillRun,
            RunOutcome::NotStarted => PermitOutcome::Unused,
        };
        self.release_permit(request.reservations.permit, permit_outcome);
        self.admission.push(Event::RunEnded { id, outcome });
        if let Some(caller) = request.caller {
            self.answer_with_run(caller, outcome, output);
        }
        match outcome {
            RunOutcome::Completed => self.results.complete(id, Ok(output)),
            RunOutcome::Failed | RunOutcome::Cancelled => self.results.complete(id, Err(NoResult)),
            RunOutcome::NotStarted => self.results.forget(id),
        }
        self.answer_duplicates(id);
    }

    fn answer_with_run(&mut self, caller: Caller, outcome: RunOutcome, output: RunOutput) {
        let answer = if outcome == RunOutcome::Completed {
            Answer::Completed(output)
        } else {
            Answer::Failed
        };
        self.listeners.answer(caller, answer);
    }

    /// Answers the duplicates that wait for the result of this request.
    pub(super) fn answer_duplicates(&mut self, id: RequestId) {
        for duplicate in self.in_flight.take_attached(id) {
            self.answer_from(duplicate, id);
        }
    }

    /// Answers a duplicate with the result of the original, or attaches it to the original if that is in flight.
    pub(super) fn answer_from(&mut self, id: RequestId, original: RequestId) {
        let (headers, body) = match self.results.result(original) {
            StoredResult::Pending => return self.in_flight.attach(id, original),
            StoredResult::Output(output) => (output.headers.to_vec(), output.body.to_vec()),
            StoredResult::None => {
                let failed = Termination::Run(RunOutcome::Failed);
                return self.on_terminated(id, failed, RunOutput::default());
            }
        };
        let output = RunOutput {
            headers: &headers,
            body: &body,
        };
        self.on_terminated(id, Termination::Run(RunOutcome::Completed), output);
    }

    /// Sends runs that may have been lost, once the link to the engine is up again and all missed messages have been
    /// read. Runs sent before the answered gauge query have arrived. Of the others, those never sent are sent now,
    /// and those that may have arrived are sent again only if they may run twice.
    fn resend_lost(&mut self, answered_cookie: u64) {
        let is_unproven = |sent: Option<u64>| sent.is_none_or(|sent| sent >= answered_cookie);
        let unproven = self
            .in_flight
            .running()
            .filter(|(_, sent)| is_unproven(*sent));
        let mut lost: Vec<RequestId> = unproven.map(|(id, _)| id).collect();
        lost.sort_unstable();
        for id in lost {
            self.resend(id);
        }
    }

    /// Gives up runs in doubt whose end was awaited for long enough. They may have run.
    pub(super) fn give_up_runs_in_doubt(&mut self) {
        while let Some(id) = self.runs_in_doubt.pop_due(self.now) {
            let request = self.in_flight.get(id);
            if request.is_some_and(|request| request.stage == Stage::InDoubt) {
                self.on_terminated(id, Termination::RunUnknown, RunOutput::default());
            }
        }
    }

    fn resend(&mut self, id: RequestId) {
        let Some(request) = self.in_flight.get(id) else {
            return;
        };
        let never_sent = request.stage == Stage::Running { sent: None };
        if never_sent && request.caller.is_none() {
            return self.on_terminated(id, Termination::Unsent, RunOutput::default());
        }
        if never_sent || self.config.is_idempotent(request.group) {
            self.start_run(id);
        } else {
            // If the run is under way, it may end before a second RUN is read, which would run it again.
            request.stage = Stage::InDoubt;
            self.runs_in_doubt.push(id, self.now);
        }
    }
}
