//! What connections and links brought, put in the words of the decisions, and the ends that follow from it.

use std::cmp::Reverse;

use doortrack_admission::{Cancellation, Effect, Event, Gauges, Request, RequestId, RunOutcome};
use doortrack_time::TenthMillis;
use slog::warn;

use super::{Node, READING, STALE};
use crate::network::backend::BackendEvent;
use crate::network::engine_protocol::{EngineMessage, RefusedCommand};
use crate::network::listeners::{Caller, ListenerEvent, RawVariables};
use crate::network::request::{Answer, IncomingRequest, RunOutput, Unreadable};
use crate::network::termination::{Outcome, Termination};
use crate::state::in_flight::{Hold, InFlightRequest, Stage};
use crate::state::results::{Found, Key, NoResult, Repeats};
use crate::subsystem::{AdmissionRequest, Permit, Use};

impl Node {
    pub(super) fn listener_event(&mut self, what: ListenerEvent) {
        match what {
            ListenerEvent::Request {
                caller,
                request,
                variables,
                body,
            } => self.arrived(caller, request, variables, body),
            ListenerEvent::Ended { id, termination } => {
                self.ended(id, termination, RunOutput::default())
            }
        }
    }

    fn arrived(
        &mut self,
        caller: Caller,
        request: IncomingRequest,
        variables: RawVariables,
        body: Vec<u8>,
    ) {
        if !self.listeners.is_pending(caller) {
            return; // Given up in the same turn in which it came.
        }
        if self.door.is_none() {
            return self.listeners.answer(caller, Answer::NoCapacity);
        }
        let key = request.idempotency_key.map(|key| (request.group, key));
        // A second try of one batch is decided upon once the first was, so that it sees what became of it.
        if key.is_some_and(|key| !self.batch_keys.insert(key)) {
            self.decide();
            self.batch_keys.extend(key);
        }
        let repeats = match key
            .map(|key| self.first_try(&key, &body, request.arrived_at))
            .transpose()
        {
            Ok(first) => first.flatten(),
            Err(answer) => return self.listeners.answer(caller, answer),
        };
        let (try_id, group, stamp) = (request.attempt_id, request.group, request.arrived_at);
        let block = Some(variables).filter(|_| self.work.needs_variables());
        let pool = request.pool.map_or(0, |place| place + 1);
        // A repeat takes the outcome of the first: it uses nothing more.
        let asked = AdmissionRequest {
            group,
            tenant: request.tenant,
            pool,
        };
        let (hold, held_back) = match repeats {
            None => self.admit(asked),
            Some(_) => Default::default(),
        };
        let ex = InFlightRequest {
            try_id,
            group,
            key,
            stamp,
            body,
            block,
            pool,
            caller: Some(caller),
            stage: Stage::Queued,
            repeats,
            hold,
        };
        let Some(id) = self.in_flight.take_in(ex) else {
            self.let_go(pool, hold);
            let doubled = Answer::Unreadable(Unreadable::Field("HTTP_X_REQUEST_ID"));
            return self.listeners.answer(caller, doubled);
        };
        self.listeners.bind_request(caller, id);
        // Stamps are whole ms, cut off: the age is never too small, so no answer comes late.
        let age = self.now.saturating_sub(request.arrived_at);
        self.slowest.arrival = self.slowest.arrival.max(age);
        self.batch.push(Event::Arrived(Request {
            id,
            group: request.group,
            tenant: request.tenant,
            session_key: request.session_key,
            deadline: request
                .timeout
                .map(|wait| request.arrived_at + wait.min(self.deadline_of(request.group))),
            work_hint: None,
            memory_kb: request.memory_kb,
            rank: request.rank,
            retry: request.retry,
            caller: request.caller,
            age,
            duplicate_of: repeats,
            budget_retry_after: held_back,
        }));
    }

    /// The request that one with this key repeats, if it repeats any.
    ///
    /// # Errors
    /// The answer to one that can't be taken: only what has no entry, as a repeat of one that has run is
    /// never refused.
    fn first_try(
        &mut self,
        key: &Key,
        body: &[u8],
        stamp: TenthMillis,
    ) -> Result<Option<RequestId>, Answer<'static>> {
        match self.results.repeats(key, body, stamp.min(self.now)) {
            Repeats::Nothing => Ok(None),
            Repeats::Of(first) => Ok(Some(first)),
            Repeats::NoRoom => Err(Answer::NoCapacity),
            Repeats::Misused => Err(Answer::Unreadable(Unreadable::Field(
                "HTTP_IDEMPOTENCY_KEY",
            ))),
        }
    }

    /// What it holds of the fleet's budgets and of its pool's servers, or when it is to come back.
    fn admit(&mut self, asked: AdmissionRequest) -> (Hold, Option<TenthMillis>) {
        let admission = match self.work.admit(asked.pool, self.now) {
            Ok(admission) => admission,
            Err(wait) => return (Hold::default(), Some(wait)),
        };
        let mut hold = Hold {
            permit: Permit::default(),
            admission,
        };
        for part in &mut self.parts {
            match part.admit(asked) {
                // One part at the most has budgets.
                Ok(taken) if taken == Permit::default() => {}
                Ok(taken) => hold.permit = taken,
                Err(wait) => {
                    self.let_go(asked.pool, hold);
                    return (Hold::default(), Some(wait));
                }
            }
        }
        (hold, None)
    }

    /// What a request holds that will not be run.
    pub(super) fn let_go(&mut self, pool: u16, hold: Hold) {
        self.give_back(hold.permit, Use::None);
        self.work.release(pool, hold.admission);
    }

    pub(super) fn give_back(&mut self, permit: Permit, came: Use) {
        if permit != Permit::default() {
            self.parts
                .iter_mut()
                .for_each(|part| part.release(permit, came));
        }
    }

    /// Something ended, with all that this means for the request it concerns.
    pub(super) fn ended(&mut self, id: RequestId, end: Termination, made: RunOutput) {
        match end.outcome() {
            Outcome::AnswerPending => {}
            Outcome::CallerGone => {
                let Some(ex) = self.in_flight.get(id).filter(|ex| ex.caller.is_some()) else {
                    return;
                };
                ex.caller = None;
                self.batch.push(Event::CallerGone { id });
                self.drop_if_queued(id);
            }
            Outcome::RunEnded(outcome) => {
                let Some(ex) = self.in_flight.remove(id) else {
                    return;
                };
                self.work.release(ex.pool, ex.hold.admission);
                self.give_back(
                    ex.hold.permit,
                    match outcome {
                        RunOutcome::Completed => Use::Over,
                        RunOutcome::Failed | RunOutcome::Cancelled => Use::MayGoOn,
                        RunOutcome::NotStarted => Use::None,
                    },
                );
                self.batch.push(Event::RunEnded { id, outcome });
                if let Some(caller) = ex.caller {
                    self.finish(caller, (outcome == RunOutcome::Completed).then_some(made));
                }
                match outcome {
                    RunOutcome::Completed => self.results.ended(id, Ok(made)),
                    RunOutcome::Failed | RunOutcome::Cancelled => {
                        self.results.ended(id, Err(NoResult))
                    }
                    RunOutcome::NotStarted => self.results.forget(id),
                }
                self.settle(id);
            }
        }
    }

    /// How long a caller of this group waits at the most.
    fn deadline_of(&self, group: u8) -> TenthMillis {
        self.orders.settings.admission.groups[usize::from(group)].deadline
    }

    fn finish(&mut self, caller: Caller, made: Option<RunOutput>) {
        self.listeners
            .answer(caller, made.map_or(Answer::Failed, Answer::Completed));
    }

    /// Answers those that wait for what this one brought.
    pub(super) fn settle(&mut self, id: RequestId) {
        for waiting in self.in_flight.waiting_for(id) {
            self.serve_from(waiting, id);
        }
    }

    /// Ends a repeat with what the request that it repeats came to.
    pub(super) fn serve_from(&mut self, id: RequestId, root: RequestId) {
        let (headers, body) = match self.results.result(root) {
            Found::Pending => return self.in_flight.attach(id, root),
            Found::Result(made) => (made.headers.to_vec(), made.body.to_vec()),
            Found::None => {
                return self.ended(
                    id,
                    Termination::Run(RunOutcome::Failed),
                    RunOutput::default(),
                );
            }
        };
        self.ended(
            id,
            Termination::Run(RunOutcome::Completed),
            RunOutput {
                headers: &headers,
                body: &body,
            },
        );
    }

    pub(super) fn backend_event(&mut self, what: BackendEvent) {
        match what {
            BackendEvent::Up { cold, uptime } => self.open_door(cold, uptime),
            BackendEvent::CaughtUp { answered_cookie } => self.caught_up(answered_cookie),
            BackendEvent::EngineMessage(EngineMessage::Done {
                attempt_id,
                outcome,
                result,
                ..
            }) => {
                if let Some(id) = self.in_flight.of_try(&attempt_id) {
                    self.ended(id, Termination::Run(outcome), RunOutput::from(&result[..]));
                }
            }
            BackendEvent::EngineMessage(EngineMessage::Refused {
                command,
                attempt_id,
            }) => {
                warn!(self.log, "engine would not"; "command" => %command);
                let id = attempt_id.and_then(|attempt_id| self.in_flight.of_try(&attempt_id));
                let end = if command == RefusedCommand::Run {
                    Termination::RunRefused
                } else {
                    Termination::StopRefused
                };
                id.into_iter()
                    .for_each(|id| self.ended(id, end, RunOutput::default()));
            }
            BackendEvent::EngineMessage(EngineMessage::Stats { cookie, values }) => {
                self.gauges_read(cookie, &values)
            }
            BackendEvent::EngineMessage(_) => {}
            BackendEvent::RunEnded {
                id,
                termination,
                headers,
                body,
            } => self.ended(
                id,
                termination,
                RunOutput {
                    headers: &headers,
                    body: &body,
                },
            ),
            BackendEvent::LinkEnded(end) => {
                let running: Vec<RequestId> = self.in_flight.running().map(|(id, _)| id).collect();
                running
                    .into_iter()
                    .for_each(|id| self.ended(id, end, RunOutput::default()));
            }
        }
    }

    /// The link was made anew, and all notices that were missed are read. What was sent before the reading
    /// `proven` has arrived. Of the rest, what was never sent is sent now, and what may have arrived is sent
    /// again only where it may run twice.
    fn caught_up(&mut self, proven: u64) {
        let unproven = |sent: Option<u64>| sent.is_none_or(|sent| sent >= proven);
        let running = self.in_flight.running().filter(|(_, sent)| unproven(*sent));
        let mut lost: Vec<RequestId> = running.map(|(id, _)| id).collect();
        lost.sort_unstable();
        for id in lost {
            let Some(ex) = self.in_flight.get(id) else {
                continue;
            };
            let (surely_not_run, waits) = (
                ex.stage == Stage::Running { sent: None },
                ex.caller.is_some(),
            );
            let contract = &self.orders.settings.admission;
            let repeatable = contract.groups[usize::from(ex.group)].effect == Effect::Idempotent;
            if surely_not_run && !waits {
                self.ended(id, Termination::Unsent, RunOutput::default());
            } else if surely_not_run
                || repeatable
                || contract.cancellation == Cancellation::Unsupported
            {
                self.run(id);
            } else {
                // Running, it may end before a second RUN is read, and that one would run it
                // again. So its end is waited for as any run's. Where runs can't be stopped that
                // could be forever.
                ex.stage = Stage::InDoubt { stopped: false };
            }
        }
    }

    /// A reading of the gauges came; alarms that waited for it wait no more.
    fn gauges_read(&mut self, cookie: u64, values: &[f32]) {
        let places = &self.orders.settings.gauges;
        let read = |place: Option<usize>| place.and_then(|p| values.get(p).copied());
        self.gauges = Gauges {
            busy_cores: read(places.busy_cores),
            runnable_tasks: read(places.runnable_tasks),
            memory: read(places.memory),
            connections: read(places.connections),
        };
        self.read_at = self.now;
        if let Some((wanted, till)) = self.reading.filter(|(wanted, _)| *wanted <= cookie) {
            self.slowest.reading = self
                .slowest
                .reading
                .max((self.now + READING).saturating_sub(till));
            self.reading = Some((wanted, self.now));
        }
    }

    /// Alarms carry a reading of the gauges, fresh where the engine answers soon enough.
    pub(super) fn take_reading(&mut self) {
        if self
            .alarms
            .peek()
            .is_none_or(|Reverse((at, _))| *at > self.now)
        {
            return;
        }
        match self.reading {
            // While the node closes there is no time for any: what is due is answered before the stop.
            None if self.closes_next() => {}
            // Where nobody has gauges, alarms carry none.
            None => {
                if let Some(cookie) = self.work.query_gauges() {
                    self.reading = Some((cookie, self.now + READING));
                    return;
                }
            }
            Some((_, till)) if till > self.now && !self.closes_next() => return,
            Some(_) => self.reading = None,
        }
        let stale = self.now.saturating_sub(self.read_at) > STALE;
        let gauges = if stale {
            Gauges::default()
        } else {
            self.gauges
        };
        while let Some(Reverse((at, token))) = self.alarms.peek().copied()
            && at <= self.now
        {
            self.alarms.pop();
            self.batch.push(Event::Timer { token, gauges });
        }
    }
}
