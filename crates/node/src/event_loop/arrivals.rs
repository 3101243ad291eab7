//! New requests from callers: each gets its reservations and is passed to the admission controller.

use doortrack_admission::{Event, Request, RequestId};
use doortrack_time::TenthMillis;

use super::Node;
use crate::network::listeners::{Caller, ListenerEvent, RawVariables};
use crate::network::request::{
    Answer, BodyHash, IncomingRequest, RefusalReason, RunOutput, Unreadable,
};
use crate::state::in_flight::{InFlightRequest, Reservations, Stage};
use crate::subsystem::{AdmissionRequest, Permit, PermitOutcome};

/// What a request needs to run: its content as received, and its reservations.
struct RunInput {
    body: Vec<u8>,
    variables: Option<RawVariables>,
    reservations: Reservations,
}

impl Node {
    pub(super) fn on_listener_event(&mut self, event: ListenerEvent) {
        match event {
            ListenerEvent::Request {
                caller,
                request,
                variables,
                body,
            } => self.on_request(caller, &request, variables, body),
            ListenerEvent::PossibleDuplicate {
                caller,
                request,
                body_hash,
                refusal,
            } => self.on_possible_duplicate(caller, &request, body_hash, refusal),
            ListenerEvent::Incomplete { caller, key } => self.on_incomplete(caller, key),
            ListenerEvent::Ended { id, termination } => {
                self.on_terminated(id, termination, RunOutput::default());
            }
        }
    }

    fn on_request(
        &mut self,
        caller: Caller,
        request: &IncomingRequest,
        variables: RawVariables,
        body: Vec<u8>,
    ) {
        if !self.is_to_be_answered(caller) {
            return;
        }
        match self.find_original(request, BodyHash::of(&body)) {
            Ok(None) => self.take_request(caller, request, variables, body),
            Ok(Some(original)) => self.take_duplicate(caller, request, original),
            Err(answer) => self.listeners.answer(caller, answer),
        }
    }

    /// Returns true if a request still has to be answered: its caller has not left in the turn in which it arrived, and
    /// the admission controller is started. Until then requests are refused here, as nothing has run yet.
    pub(super) fn is_to_be_answered(&mut self, caller: Caller) -> bool {
        if !self.listeners.is_pending(caller) {
            return false;
        }
        if !self.admission.is_started() {
            let not_started = Answer::NoCapacity(RefusalReason::NotStarted);
            self.listeners.answer(caller, not_started);
            return false;
        }
        true
    }

    /// Makes the reservations for a request that is no duplicate, and submits it.
    fn take_request(
        &mut self,
        caller: Caller,
        request: &IncomingRequest,
        variables: RawVariables,
        body: Vec<u8>,
    ) {
        let (reservations, retry_after) = self.reserve(AdmissionRequest {
            group: request.group,
            tenant: request.tenant,
            pool: pool_index(request),
        });
        let input = RunInput {
            body,
            variables: Some(variables).filter(|_| self.backend.needs_variables()),
            reservations,
        };
        match self.insert_in_flight(caller, request, input, None) {
            Some(id) => self.submit(id, request, None, retry_after),
            None => self.release_unused(pool_index(request), reservations),
        }
    }

    /// Submits a duplicate, which gets the result of the original. It never runs, so nothing is reserved for it and its
    /// content is not kept.
    pub(super) fn take_duplicate(
        &mut self,
        caller: Caller,
        request: &IncomingRequest,
        original: RequestId,
    ) {
        if !self.has_room_for_duplicate(original) {
            return self.listeners.answer(caller, Answer::Failed);
        }
        let input = RunInput {
            body: Vec::new(),
            variables: None,
            reservations: Reservations::default(),
        };
        if let Some(id) = self.insert_in_flight(caller, request, input, Some(original)) {
            self.submit(id, request, Some(original), None);
        }
    }

    /// Adds a request to the table of requests in flight. Answers it and returns `None` if its attempt id has been seen
    /// before.
    fn insert_in_flight(
        &mut self,
        caller: Caller,
        request: &IncomingRequest,
        input: RunInput,
        duplicate_of: Option<RequestId>,
    ) -> Option<RequestId> {
        let id = self.in_flight.insert(InFlightRequest {
            attempt_id: request.attempt_id,
            group: request.group,
            key: request.dedup_key(),
            arrived_at: request.arrived_at,
            body: input.body,
            variables: input.variables,
            pool: pool_index(request),
            caller: Some(caller),
            stage: Stage::Queued,
            duplicate_of,
            reservations: input.reservations,
        });
        match id {
            Some(id) => self.listeners.bind_request(caller, id),
            None => {
                let same_id = Answer::Unreadable(Unreadable::Field("HTTP_X_REQUEST_ID"));
                self.listeners.answer(caller, same_id);
            }
        }
        id
    }

    /// Reserves capacity of the pool's servers and of the fleet's budgets for a request. If there is none, returns no
    /// reservations and the time after which the caller may retry.
    fn reserve(&mut self, request: AdmissionRequest) -> (Reservations, Option<TenthMillis>) {
        let admission = match self.backend.admit(request.pool, self.now) {
            Ok(admission) => admission,
            Err(retry_after) => return (Reservations::default(), Some(retry_after)),
        };
        let mut reservations = Reservations {
            permit: Permit::default(),
            admission,
        };
        for subsystem in &mut self.subsystems {
            match subsystem.admit(request) {
                // At most one subsystem has budgets.
                Ok(permit) if permit == Permit::default() => {}
                Ok(permit) => reservations.permit = permit,
                Err(retry_after) => {
                    self.release_unused(request.pool, reservations);
                    return (Reservations::default(), Some(retry_after));
                }
            }
        }
        (reservations, None)
    }

    /// Releases the reservations of a request that will not run.
    pub(super) fn release_unused(&mut self, pool: u16, reservations: Reservations) {
        self.release_permit(reservations.permit, PermitOutcome::Unused);
        self.backend.release(pool, reservations.admission);
    }

    pub(super) fn release_permit(&mut self, permit: Permit, outcome: PermitOutcome) {
        if permit != Permit::default() {
            for subsystem in &mut self.subsystems {
                subsystem.release(permit, outcome);
            }
        }
    }

    /// Adds a request to the batch for the admission controller.
    fn submit(
        &mut self,
        id: RequestId,
        request: &IncomingRequest,
        duplicate_of: Option<RequestId>,
        budget_retry_after: Option<TenthMillis>,
    ) {
        // Arrival times are rounded down to whole ms, so the age is never too small and no answer is late.
        let age = self.now.saturating_sub(request.arrived_at);
        self.summaries.max_durations.record_arrival(age);
        let max_timeout = self.config.deadline(request.group);
        self.admission.push(Event::Arrived(Request {
            id,
            group: request.group,
            tenant: request.tenant,
            session_key: request.session_key,
            deadline: request
                .timeout
                .map(|timeout| request.arrived_at + timeout.min(max_timeout)),
            work_hint: None,
            memory_kb: request.memory_kb,
            rank: request.rank,
            retry: request.retry,
            caller: request.caller,
            age,
            duplicate_of,
            budget_retry_after,
        }));
    }
}

/// Returns the index of a request's server pool; 0 is the unnamed pool.
fn pool_index(request: &IncomingRequest) -> u16 {
    request.pool.map_or(0, |index| index + 1)
}
