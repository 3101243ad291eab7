//! What comes on the callers' connections: read, cut into requests, and given up where it can't be read.

use polling::Event;

use super::{Block, Caller, FIRST_KEY, ListenerEvent, Listeners};
use crate::network::bounds::{self, MOST_BODY};
use crate::network::classified::Origin;
use crate::network::connection::Stream;
use crate::network::request::{self, Answer, Inbound, Unreadable};
use crate::network::termination::Termination;
use doortrack_protocols::fastcgi::{self, RESPONDER};
use doortrack_protocols::{Piece, uwsgi};
use doortrack_time::TenthMillis;

impl Listeners {
    /// A connection is ready, or broke.
    pub fn ready(
        &mut self,
        event: Event,
        now: TenthMillis,
        listener_events: &mut Vec<ListenerEvent>,
    ) {
        let slot = event.key - FIRST_KEY;
        if !self.conns.contains(slot) {
            return; // Closed earlier in this turn.
        }
        if event.writable {
            self.mark_dirty(slot);
        }
        // A turn that stood still reads twice, and what the first reading ended is told of again by the
        // second: the poller learns only at the end of the turn that it is not to be read any more.
        let conn = &self.conns[slot];
        let ended_in_this_turn = !conn.reading && !conn.lingers && conn.watched.0;
        if event.readable && !ended_in_this_turn {
            self.read(slot, now, listener_events);
        }
    }

    pub(super) fn read(
        &mut self,
        slot: usize,
        now: TenthMillis,
        listener_events: &mut Vec<ListenerEvent>,
    ) {
        let mut scratch = std::mem::take(&mut self.scratch);
        let conn = &mut self.conns[slot];
        match conn.read(&mut scratch, now) {
            Ok(n) if conn.lingers => {
                if conn.passed_over(n) {
                    let end = conn.last.unwrap_or(Termination::Closed);
                    self.close(slot, end, listener_events);
                }
            }
            // All was said, so however it ends takes nothing away.
            Err(_) if conn.lingers => {
                let end = conn.last.unwrap_or(Termination::Closed);
                self.close(slot, end, listener_events);
            }
            Ok(n) => self.split(slot, &scratch[..n], now, listener_events),
            Err(Termination::Reset) => self.close(slot, Termination::Reset, listener_events),
            Err(end) => self.stop_reading(slot, end),
        }
        self.scratch = scratch;
    }

    fn split(
        &mut self,
        slot: usize,
        mut input: &[u8],
        now: TenthMillis,
        listener_events: &mut Vec<ListenerEvent>,
    ) {
        let size = input.len();
        while self.conns[slot].reading {
            match self.conns[slot].reader.next(&mut input) {
                Ok(Some(piece)) => self.piece(slot, piece, now, listener_events),
                Ok(None) => break,
                Err(_) => self.give_up(slot, Termination::Malformed),
            }
        }
        if self.conns[slot].took_in(size, now) && self.conns[slot].reading {
            self.give_up(slot, Termination::Malformed);
        }
    }

    /// What comes can't be read any further: what is whole is answered yet, what is not is told so.
    fn give_up(&mut self, slot: usize, end: Termination) {
        self.answer_half_read(slot, Answer::Unreadable(Unreadable::Field("record")));
        self.stop_reading(slot, end);
    }

    pub(super) fn answer_half_read(&mut self, slot: usize, answer: Answer) {
        let half = self.conns[slot].open.iter().filter(|open| open.half_read());
        let callers: Vec<Caller> = half
            .map(|open| Caller {
                slot,
                nth: open.nth,
            })
            .collect();
        callers
            .into_iter()
            .for_each(|caller| self.answer(caller, answer));
    }

    /// It ends once all that is open on it has been answered. Until then it is read, as the peer may be
    /// writing requests that it could not know to be in vain; those are refused.
    pub(super) fn end_once_answered(&mut self, slot: usize, end: Termination) {
        self.conns[slot].last = Some(end);
        self.mark_dirty(slot);
    }

    fn stop_reading(&mut self, slot: usize, end: Termination) {
        self.open -= self.conns[slot].stop_reading(end);
        self.mark_dirty(slot);
    }

    fn piece(
        &mut self,
        slot: usize,
        piece: Piece,
        now: TenthMillis,
        listener_events: &mut Vec<ListenerEvent>,
    ) {
        let conn = &mut self.conns[slot];
        match piece {
            Piece::Begin { id, .. } if conn.has(id) => self.give_up(slot, Termination::Malformed),
            Piece::Begin { id, role, keep } => {
                let ending = conn.is_ending();
                if !keep && !ending {
                    conn.last = Some(Termination::Closed);
                }
                (self.begun, self.open) = (self.begun + 1, self.open + 1);
                let caller = Caller {
                    slot,
                    nth: self.begun,
                };
                let too_many = conn.begin(id, caller.nth) || self.open > self.room.open_requests;
                if role != RESPONDER {
                    self.answer(caller, Answer::UnknownRole);
                } else if too_many || ending {
                    self.answer(caller, Answer::NoRoom);
                }
            }
            Piece::Abort { id } => {
                if let Some(open) = conn.take(|open| open.id == id) {
                    self.open -= 1;
                    listener_events.extend(open.ex.map(|ex| ListenerEvent::Ended {
                        ex,
                        end: Termination::Aborted,
                    }));
                    self.mark_dirty(slot);
                }
            }
            Piece::Params { id, bytes } => self.collect(slot, id, Stream::Params, bytes),
            Piece::Stdin { id, bytes } => self.collect(slot, id, Stream::Body, bytes),
            Piece::ParamsEnd { id } => {
                self.end_stream(slot, id, Stream::Params, now, listener_events)
            }
            Piece::StdinEnd { id } => self.end_stream(slot, id, Stream::Body, now, listener_events),
            Piece::BodyOf { id, length } => {
                if length > MOST_BODY as u64
                    && let Some(open) = conn.open.iter().find(|open| open.id == id)
                {
                    let nth = open.nth;
                    self.answer(
                        Caller { slot, nth },
                        Answer::Unreadable(Unreadable::TooLong),
                    );
                }
            }
            Piece::Ping => {
                conn.answers_a_ping();
                let (front, good) = (conn.front, self.good);
                self.listeners[front].counts.checks += 1;
                self.put(slot, |out| uwsgi::pong(out, good));
            }
            Piece::GetValues => {
                let (connections, requests) = (self.room.connections, self.room.open_requests);
                self.put(slot, |out| fastcgi::values(out, connections, requests));
            }
            Piece::Unknown { kind } => self.put(slot, |out| fastcgi::unknown_type(out, kind)),
        }
    }

    /// One that is longer than any may be is told so at once: its end may never come.
    fn collect(&mut self, slot: usize, id: u16, stream: Stream, bytes: &[u8]) {
        if let Some(nth) = self.conns[slot].collect(id, stream, bytes) {
            self.answer(
                Caller { slot, nth },
                Answer::Unreadable(Unreadable::TooLong),
            );
        }
    }

    fn end_stream(
        &mut self,
        slot: usize,
        id: u16,
        stream: Stream,
        now: TenthMillis,
        listener_events: &mut Vec<ListenerEvent>,
    ) {
        let Some(whole) = self.conns[slot].end_stream(id, stream) else {
            return;
        };
        let caller = Caller {
            slot,
            nth: whole.nth,
        };
        let conn = &self.conns[slot];
        let (protocol, peer) = (conn.reader.protocol(), conn.peer);
        let asked = match &mut self.rules {
            Some(rules) if !self.listeners[conn.front].platform => rules.read(
                &whole.params,
                &whole.body,
                Origin {
                    protocol,
                    peer,
                    now,
                },
                &self.names,
            ),
            _ => request::read(protocol, &whole.params, &self.names),
        };
        let asked = match asked {
            Ok(Inbound::Request(request))
                if bounds::is_far_off(request.stamp, now, self.longest_deadline) =>
            {
                Err(Unreadable::Field("HTTP_X_REQUEST_START"))
            }
            asked => asked,
        };
        match asked {
            Ok(Inbound::Request(request)) => {
                let block = Block {
                    protocol,
                    bytes: whole.params,
                };
                listener_events.push(ListenerEvent::Request {
                    caller,
                    request,
                    block,
                    body: whole.body,
                });
            }
            Ok(Inbound::Health) => self.answer(caller, Answer::Health { good: self.good }),
            Err(unreadable) => self.answer(caller, Answer::Unreadable(unreadable)),
        }
    }
}
