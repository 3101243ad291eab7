//! Reads client connections and assembles requests from their input.

use doortrack_protocols::fastcgi::{self, RESPONDER};
use doortrack_protocols::{RequestEvent, uwsgi};
use doortrack_time::TenthMillis;
use polling::Event;

use super::{Caller, FIRST_CONNECTION_KEY, ListenerEvent, Listeners, RawVariables};
use crate::network::bounds::{self, MAX_BODY_BYTES};
use crate::network::classifier::Origin;
use crate::network::connection::{CompleteRequest, Stream};
use crate::network::request::{
    self, Answer, BodyHash, DecodedRequest, IncomingRequest, RefusalReason, Unreadable,
};
use crate::network::termination::Termination;

impl Listeners {
    /// Handles an event that the poller reports for a connection.
    pub fn on_event(&mut self, event: Event, now: TenthMillis, events: &mut Vec<ListenerEvent>) {
        let slot = event.key - FIRST_CONNECTION_KEY;
        let Some(connection) = self.connections.get(slot) else {
            return; // The connection was closed earlier in this turn.
        };
        if connection.is_lingering() {
            return self.on_lingering_event(slot, event, events);
        }
        if event.writable {
            self.queue_flush(slot);
        }
        // After a stall the event loop polls twice in a turn, and the second poll reports the end of a connection's
        // input again: the poller's events are updated only at the end of the turn.
        let connection = &self.connections[slot];
        let ended_in_this_turn = !connection.is_reading() && connection.registered.readable;
        if event.readable && !ended_in_this_turn {
            self.read(slot, now, events);
        }
    }

    /// Reads a connection once.
    pub(super) fn read(&mut self, slot: usize, now: TenthMillis, events: &mut Vec<ListenerEvent>) {
        let connection = &mut self.connections[slot];
        let must_wait = connection.is_backlogged() || connection.is_suspended();
        if connection.is_reading() && must_wait {
            return; // Further input stays in the socket until the peer has read enough answers.
        }
        let mut buffer = std::mem::take(&mut self.read_buffer);
        let received = connection.read(&mut buffer, now);
        match received {
            Ok(count) => self.parse_input(slot, &buffer[..count], now, events),
            Err(Termination::Reset) => self.close(slot, Termination::Reset, events),
            Err(termination) => self.stop_reading(slot, termination),
        }
        self.read_buffer = buffer;
    }

    /// Closes a lingering connection if its peer has closed it too. Its input is not read.
    fn on_lingering_event(&mut self, slot: usize, event: Event, events: &mut Vec<ListenerEvent>) {
        let connection = &mut self.connections[slot];
        let is_broken = event.is_interrupt() || event.is_err() == Some(true);
        if is_broken || connection.peer_has_closed() {
            let termination = connection.deferred_close();
            self.close(slot, termination.unwrap_or(Termination::Closed), events);
        } else {
            self.update_interest(slot);
        }
    }

    /// Parses input into requests. If the connection becomes backlogged, the rest of the input is suspended.
    pub(super) fn parse_input(
        &mut self,
        slot: usize,
        mut input: &[u8],
        now: TenthMillis,
        events: &mut Vec<ListenerEvent>,
    ) {
        let size = input.len();
        while self.connections[slot].accepts_requests() {
            match self.connections[slot].reader().next(&mut input) {
                Ok(Some(request_event)) => self.on_request_event(slot, request_event, now, events),
                Ok(None) => break,
                Err(_) => self.reject_malformed(slot),
            }
        }
        let connection = &mut self.connections[slot];
        if connection.record_parsed(size - input.len(), now) && connection.is_reading() {
            self.reject_malformed(slot);
        }
        self.suspend_if_backlogged(slot, input);
    }

    /// Stops reading a connection whose input is malformed. Its complete requests are still answered.
    fn reject_malformed(&mut self, slot: usize) {
        self.answer_incomplete(slot, Answer::INCOMPLETE);
        self.stop_reading(slot, Termination::Malformed);
    }

    fn stop_reading(&mut self, slot: usize, termination: Termination) {
        let connection = &self.connections[slot];
        let incomplete = connection.pending.incomplete().count();
        let counts = &mut self.listeners[connection.listener].counts;
        counts.add_unanswered(termination, incomplete);
        self.update_connection(slot, |connection| connection.stop_reading(termination));
        self.queue_flush(slot);
    }

    fn on_request_event(
        &mut self,
        slot: usize,
        request_event: RequestEvent,
        now: TenthMillis,
        events: &mut Vec<ListenerEvent>,
    ) {
        match request_event {
            RequestEvent::Begin {
                id,
                role,
                keep_connection,
            } => self.begin(slot, id, role, keep_connection),
            RequestEvent::Abort { id } => self.abort(slot, id, events),
            RequestEvent::Params { id, bytes } => self.append(slot, id, Stream::Params, bytes),
            RequestEvent::Stdin { id, bytes } => self.append(slot, id, Stream::Body, bytes),
            RequestEvent::ParamsEnd { id } => {
                self.end_stream(slot, id, Stream::Params, now, events)
            }
            RequestEvent::StdinEnd { id } => self.end_stream(slot, id, Stream::Body, now, events),
            RequestEvent::BodyLength { id, length } => self.check_body_length(slot, id, length),
            RequestEvent::Ping => self.answer_ping(slot),
            RequestEvent::GetValues => {
                let (connections, requests) = (self.limits.connections, self.limits.open_requests);
                self.write(slot, |out| {
                    fastcgi::write_values(out, connections, requests)
                });
            }
            RequestEvent::UnknownType { record_type } => {
                self.write(slot, |out| fastcgi::write_unknown_type(out, record_type))
            }
        }
    }

    fn begin(&mut self, slot: usize, wire_id: u16, role: u16, keep_connection: bool) {
        let connection = &mut self.connections[slot];
        if connection.pending.find_wire_id(wire_id).is_some() {
            return self.reject_malformed(slot);
        }
        if !keep_connection {
            connection.close_at_peers_wish();
        }
        let is_full = connection.pending.is_full();
        let has_room = !is_full || self.make_room(slot);
        self.requests_begun += 1;
        let request = self.requests_begun;
        self.update_connection(slot, |connection| {
            connection.pending.begin(wire_id, request);
        });
        let caller = Caller { slot, request };
        if role != RESPONDER {
            self.answer(caller, Answer::UnknownRole);
        } else if !has_room {
            // The request is not read, so it is unknown whether it repeats one that ran.
            self.answer(caller, Answer::Failed);
        }
        self.limit_incomplete_requests();
    }

    fn abort(&mut self, slot: usize, wire_id: u16, events: &mut Vec<ListenerEvent>) {
        let removed = self.update_connection(slot, |connection| {
            connection.pending.remove_wire_id(wire_id)
        });
        let Some(request) = removed else {
            return;
        };
        let counts = &mut self.listeners[self.connections[slot].listener].counts;
        counts.add_unanswered(Termination::Aborted, 1);
        events.extend(request.id.map(|id| ListenerEvent::Ended {
            id,
            termination: Termination::Aborted,
        }));
        self.queue_flush(slot);
    }

    fn append(&mut self, slot: usize, wire_id: u16, stream: Stream, bytes: &[u8]) {
        let appended = self.update_connection(slot, |connection| {
            connection.pending.append(wire_id, stream, bytes)
        });
        match appended {
            Ok(()) => self.limit_incomplete_requests(),
            Err(request) => self.answer_too_long(Caller { slot, request }),
        }
    }

    /// Rejects a request whose variables announce a body that is too long.
    fn check_body_length(&mut self, slot: usize, wire_id: u16, length: u64) {
        if length <= MAX_BODY_BYTES as u64 {
            return;
        }
        let pending = self.connections[slot].pending.find_wire_id(wire_id);
        if let Some(request) = pending.map(|pending| pending.number) {
            self.answer_too_long(Caller { slot, request });
        }
    }

    /// Rejects a request that is too long, at once, as its end may never arrive.
    fn answer_too_long(&mut self, caller: Caller) {
        self.answer(caller, Answer::Unreadable(Unreadable::TooLong));
    }

    fn answer_ping(&mut self, slot: usize) {
        let (connection, healthy) = (&mut self.connections[slot], self.healthy);
        connection.finish_with_ping();
        self.listeners[connection.listener].counts.health_checks += 1;
        self.write(slot, |out| uwsgi::write_pong(out, healthy));
    }

    fn end_stream(
        &mut self,
        slot: usize,
        wire_id: u16,
        stream: Stream,
        now: TenthMillis,
        events: &mut Vec<ListenerEvent>,
    ) {
        let ended =
            self.update_connection(slot, |connection| connection.end_stream(wire_id, stream));
        let Some(complete) = ended else {
            return;
        };
        let caller = Caller {
            slot,
            request: complete.number,
        };
        match self.decode(slot, &complete, now) {
            Ok(DecodedRequest::Request(request)) => {
                self.on_request(caller, request, complete, events);
            }
            Ok(DecodedRequest::HealthCheck) => self.answer_health_check(caller),
            Err(unreadable) => self.answer(caller, Answer::Unreadable(unreadable)),
        }
    }

    fn answer_health_check(&mut self, caller: Caller) {
        let answer = if self.connections[caller.slot].is_closing() {
            Answer::NoCapacity(RefusalReason::ConnectionClosing)
        } else {
            Answer::Health {
                healthy: self.healthy,
            }
        };
        self.answer(caller, answer);
    }

    /// Reports a complete request. A request that can't be run is refused only once it is known that it repeats no
    /// request that ran.
    fn on_request(
        &mut self,
        caller: Caller,
        request: IncomingRequest,
        complete: CompleteRequest,
        events: &mut Vec<ListenerEvent>,
    ) {
        let event = match self.refusal_of_new(caller.slot, &complete) {
            None => ListenerEvent::Request {
                caller,
                request,
                variables: RawVariables {
                    protocol: self.connections[caller.slot].protocol(),
                    bytes: complete.params,
                },
                body: complete.body,
            },
            Some(refusal) if request.idempotency_key.is_some() => {
                ListenerEvent::PossibleDuplicate {
                    caller,
                    request,
                    body_hash: BodyHash::of(&complete.body),
                    refusal,
                }
            }
            Some(refusal) => return self.answer(caller, Answer::NoCapacity(refusal)),
        };
        events.push(event);
    }

    /// Returns why a complete request can't be run, if it can't.
    fn refusal_of_new(&self, slot: usize, complete: &CompleteRequest) -> Option<RefusalReason> {
        if self.connections[slot].is_closing() {
            Some(RefusalReason::ConnectionClosing)
        } else if complete.exceeds_limit {
            Some(RefusalReason::PendingRequests)
        } else if self.pending_usage.complete > self.limits.open_requests {
            Some(RefusalReason::OpenRequests)
        } else {
            None
        }
    }

    /// Decodes a complete request, by the installation's rules or by the platform's variables alone.
    fn decode(
        &mut self,
        slot: usize,
        complete: &CompleteRequest,
        now: TenthMillis,
    ) -> Result<DecodedRequest, Unreadable> {
        let connection = &self.connections[slot];
        let (protocol, peer) = (connection.protocol(), connection.peer);
        let is_platform = self.listeners[connection.listener].is_platform;
        let mut inbound = match &mut self.rules {
            Some(rules) if !is_platform => {
                let origin = Origin {
                    protocol,
                    peer,
                    wall_time: self.wall_clock.wall_time(now),
                };
                rules.read(&complete.params, &complete.body, origin, &self.names)?
            }
            _ => request::read(protocol, &complete.params, &self.names)?,
        };
        if let DecodedRequest::Request(request) = &mut inbound {
            request.arrived_at = self.wall_clock.node_time(request.arrived_at, now);
            self.check_timestamp(request, now)?;
        }
        Ok(inbound)
    }

    fn check_timestamp(
        &self,
        request: &IncomingRequest,
        now: TenthMillis,
    ) -> Result<(), Unreadable> {
        if bounds::is_implausible_timestamp(request.arrived_at, now, self.longest_deadline) {
            return Err(Unreadable::Field("HTTP_X_REQUEST_START"));
        }
        Ok(())
    }
}
