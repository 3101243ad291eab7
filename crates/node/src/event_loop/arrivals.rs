//! New requests from callers: each gets its reservations and is passed to the admission controller.

use doortrack_admission::{Event, Request, RequestId};
use doortrack_time::TenthMillis;

use super::Node;
use crate::network::listeners::{Caller, ListenerEvent, RawVariables};
use crate::network::request::{Answer, IncomingRequest, RefusalReason, RunOutput, Unreadable};
use crate::state::in_flight::{InFlightRequest, Reservations, Stage};
use crate::state::results::{DedupKey, DuplicateCheck};
use crate::subsystem::{AdmissionRequest, Permit, PermitOutcome};

impl Node {
    pub(super) fn on_listener_event(&mut self, event: ListenerEvent) {
        match event {
            ListenerEvent::Request {
                caller,
                request,
                variables,
                body,
                connection_closing,
            } => self.on_request(caller, request, variables, body, connection_closing),
            ListenerEvent::Ended { id, termination } => {
                self.on_terminated(id, termination, RunOutput::default());
            }
        }
    }

    fn on_request(
        &mut self,
        caller: Caller,
        request: IncomingRequest,
        variables: RawVariables,
        body: Vec<u8>,
        connection_closing: bool,
    ) {
        if !self.listeners.is_pending(caller) {
            return; // Cancelled in the turn in which it arrived.
        }
        if !self.admission.is_started() {
            let not_started = Answer::NoCapacity(RefusalReason::NotStarted);
            return self.listeners.answer(caller, not_started);
        }
        let key = request.idempotency_key.map(|key| (request.group, key));
        self.decide_before_duplicate(key);
        match self.find_original(key, &body, request.arrived_at) {
            Ok(None) if connection_closing => {
                let closing = Answer::NoCapacity(RefusalReason::ConnectionClosing);
                self.listeners.answer(caller, closing);
            }
            Ok(original) => self.take_request(caller, &request, variables, body, original),
            Err(answer) => self.listeners.answer(caller, answer),
        }
    }

    /// Makes the reservations for a request, adds it to the table of requests in flight and submits it.
    fn take_request(
        &mut self,
        caller: Caller,
        request: &IncomingRequest,
        variables: RawVariables,
        body: Vec<u8>,
        duplicate_of: Option<RequestId>,
    ) {
        let pool = request.pool.map_or(0, |index| index + 1);
        // A duplicate gets the result of the original and needs no reservations.
        let (reservations, retry_after) = match duplicate_of {
            None => self.reserve(AdmissionRequest {
                group: request.group,
                tenant: request.tenant,
                pool,
            }),
            Some(_) => (Reservations::default(), None),
        };
        let entry = InFlightRequest {
            attempt_id: request.attempt_id,
            group: request.group,
            key: request.idempotency_key.map(|key| (request.group, key)),
            arrived_at: request.arrived_at,
            body,
            variables: Some(variables).filter(|_| self.backend.needs_variables()),
            pool,
            caller: Some(caller),
            stage: Stage::Queued,
            duplicate_of,
            reservations,
        };
        let Some(id) = self.in_flight.insert(entry) else {
            self.release_unused(pool, reservations);
            let same_id = Answer::Unreadable(Unreadable::Field("HTTP_X_REQUEST_ID"));
            return self.listeners.answer(caller, same_id);
        };
        self.listeners.bind_request(caller, id);
        self.submit(id, request, duplicate_of, retry_after);
    }

    /// Processes the current batch first if it has a request with the same key, so that the duplicate finds that
    /// request's entry.
    fn decide_before_duplicate(&mut self, key: Option<DedupKey>) {
        if let Some(key) = key
            && !self.admission.insert_key(key)
        {
            self.decide();
            self.admission.insert_key(key);
        }
    }

    /// Finds the request that a request with this key duplicates, if any.
    ///
    /// # Errors
    /// The answer to send instead, when the result table is full or the key was used with another body. The table
    /// refuses only keys without an entry: a duplicate of a request that has run is never refused for space.
    fn find_original(
        &self,
        key: Option<DedupKey>,
        body: &[u8],
        arrived_at: TenthMillis,
    ) -> Result<Option<RequestId>, Answer<'static>> {
        let Some(key) = key else { return Ok(None) };
        match self
            .results
            .check_duplicate(&key, body, arrived_at.min(self.now))
        {
            DuplicateCheck::FirstUse => Ok(None),
            DuplicateCheck::Duplicate(original) => Ok(Some(original)),
            DuplicateCheck::TableFull => Err(Answer::NoCapacity(RefusalReason::ResultTable)),
            DuplicateCheck::BodyMismatch => Err(Answer::Unreadable(Unreadable::Field(
                "HTTP_IDEMPOTENCY_KEY",
            ))),
        }
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
