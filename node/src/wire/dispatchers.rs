//! The dispatchers' connections: accepted, read, written and closed, within bounds that hold by design.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

use doortrack::{ExId, Tenths};
use polling::{Event, PollMode, Poller};
use slab::Slab;
use socket2::{Domain, Socket, Type};

use super::end::End;
use super::fastcgi::{self, Piece, RESPONDER, Splitter};
use super::request::{self, Answer, Asked, MOST_BODY, Names, Request, Unreadable};
use crate::life::orders::Room;

pub const LISTEN_KEY: usize = 0;
/// Connections have the keys from here on.
pub const FIRST_KEY: usize = 16;

/// Requests that one connection may have open, by the protocol.
const MOST_OPEN: usize = 32;
/// Parameters of one request; with its body this is what a request may cost while it is read.
pub const MOST_PARAMS: usize = 8192;
/// A connection with so many answers unread is not read further until they are.
const MOST_UNREAD: usize = 64 * 1024;
/// While answers pile up everywhere, one with more than this is closed rather than given more.
const FAIR_UNREAD: usize = 16 * 1024;
/// How much is read off one connection before the others have their turn.
const TURN: usize = 64 * 1024;
/// Turns of reading that a connection has at the very end: all that it may have open, with room to spare.
const LAST_TURNS: usize = 8;
/// Connections accepted before those that are open have their turn.
const ACCEPTS: usize = 64;

/// Where an answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    slot: usize,
    id: u16,
    /// Never the same twice: slots and ids may be taken again while an answer is on its way.
    nth: u64,
}

/// What the connections brought.
pub enum Came {
    Exchange { caller: Caller, request: Request, body: Vec<u8> },
    Ended { ex: ExId, end: End },
}

/// A request that has not been answered.
#[derive(Default)]
struct Open {
    id: u16,
    nth: u64,
    began: Tenths,
    params: Vec<u8>,
    body: Vec<u8>,
    params_whole: bool,
    body_whole: bool,
    too_long: bool,
    /// Known to the decisions under this name.
    ex: Option<ExId>,
}

impl Open {
    fn caller(&self, slot: usize) -> Caller {
        Caller { slot, id: self.id, nth: self.nth }
    }

    fn half_read(&self) -> bool {
        !(self.params_whole && self.body_whole)
    }
}

struct Conn {
    sock: TcpStream,
    splitter: Splitter,
    open: Vec<Open>,
    out: Vec<u8>,
    written: usize,
    /// Last time that anything was read, or that unread answers moved.
    moved: Tenths,
    /// Nothing more is read once it is half closed or malformed, or its peer wants it closed.
    reading: bool,
    /// It is to be closed once all that is open has been answered.
    last: Option<End>,
    /// It is to be closed as soon as the present turn is over.
    doomed: Option<End>,
    interest: (bool, bool),
    dirty: bool,
}

impl Conn {
    fn unread(&self) -> usize {
        self.out.len() - self.written
    }

    fn idle(&self) -> bool {
        self.open.is_empty() && self.unread() == 0 && self.splitter.at_boundary()
    }

    /// The last look before an idle one is closed: a request that came since would be lost with it.
    fn nothing_came(&self) -> bool {
        self.sock.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }
}

#[derive(Default)]
pub struct Counts {
    pub accepted: u64,
    pub completed: u64,
    pub denied: u64,
    pub terminated: u64,
    pub checks: u64,
    pub unreadable: u64,
    pub no_room: u64,
    pub ends: std::collections::BTreeMap<&'static str, u64>,
}

pub struct Dispatchers {
    poller: Arc<Poller>,
    listener: Option<TcpListener>,
    accepting: bool,
    conns: Slab<Conn>,
    names: Names,
    room: Room,
    /// Requests open on all connections.
    open: usize,
    /// Requests begun so far.
    nth: u64,
    unread: usize,
    dirty: Vec<usize>,
    scratch: Vec<u8>,
    /// Nobody waits longer than this for anything.
    patience: Tenths,
    /// What goes out with each answer, and what health checks are told.
    pub level: Option<f32>,
    pub good: bool,
    pub idle_limit: Tenths,
    pub counts: Counts,
}

impl Dispatchers {
    pub fn listen(
        at: SocketAddr,
        poller: Arc<Poller>,
        names: Names,
        room: Room,
        patience: Tenths,
    ) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
        // A node that was killed comes back under its address at once.
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())?;
        socket.listen(room.connections as i32)?;
        socket.set_nonblocking(true)?;
        let listener = TcpListener::from(socket);
        // SAFETY: the listener is taken out of the poller in `close_door`, or lives as long as it.
        unsafe { poller.add_with_mode(&listener, Event::readable(LISTEN_KEY), PollMode::Level)? };
        Ok(Dispatchers {
            poller,
            listener: Some(listener),
            accepting: true,
            conns: Slab::new(),
            names,
            room,
            open: 0,
            nth: 0,
            unread: 0,
            dirty: Vec::new(),
            scratch: vec![0; TURN],
            patience,
            level: None,
            good: true,
            idle_limit: Tenths::MAX,
            counts: Counts::default(),
        })
    }

    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    pub fn unread(&self) -> usize {
        self.unread
    }

    /// Takes what the machine accepted; whether more may be waiting.
    pub fn accept(&mut self, now: Tenths, came: &mut Vec<Came>) -> bool {
        for nth in 0..ACCEPTS {
            // Only the first is known to be waiting, so room is made for no more than one.
            if self.conns.len() >= self.room.connections && !(nth == 0 && self.make_room(came)) {
                // A full table is no reason to fall over: the rest waits in the backlog for a close.
                self.accept_again(nth > 0);
                return false;
            }
            let Some(listener) = &self.listener else { return false };
            match listener.accept() {
                Ok((sock, _)) => _ = self.take_in(sock, now),
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    // With no descriptor to be had the listener stays ready: it is asked again at the next sweep.
                    if e.kind() != ErrorKind::WouldBlock {
                        self.accept_again(false);
                    }
                    return false;
                }
            }
        }
        true
    }

    fn take_in(&mut self, sock: TcpStream, now: Tenths) -> io::Result<()> {
        sock.set_nonblocking(true)?;
        sock.set_nodelay(true)?;
        let entry = self.conns.vacant_entry();
        let key = FIRST_KEY + entry.key();
        // SAFETY: the socket is taken out of the poller in `close`, before it is dropped.
        unsafe { self.poller.add_with_mode(&sock, Event::readable(key), PollMode::Level)? };
        self.counts.accepted += 1;
        entry.insert(Conn {
            sock,
            splitter: Splitter::default(),
            open: Vec::new(),
            out: Vec::new(),
            written: 0,
            moved: now,
            reading: true,
            last: None,
            doomed: None,
            interest: (true, false),
            dirty: false,
        });
        Ok(())
    }

    fn make_room(&mut self, came: &mut Vec<Came>) -> bool {
        let idle = self.conns.iter().filter(|(_, conn)| conn.idle() && conn.nothing_came());
        let idle = idle.min_by_key(|(_, conn)| conn.moved);
        let Some(slot) = idle.map(|(slot, _)| slot) else { return false };
        self.close(slot, End::Evicted, came);
        true
    }

    fn accept_again(&mut self, accepting: bool) {
        if accepting != self.accepting
            && let Some(listener) = &self.listener
        {
            let interest = Event::new(LISTEN_KEY, accepting, false);
            if self.poller.modify_with_mode(listener, interest, PollMode::Level).is_ok() {
                self.accepting = accepting;
            }
        }
    }

    /// A connection is ready, or broke.
    pub fn ready(&mut self, event: Event, now: Tenths, came: &mut Vec<Came>) {
        let slot = event.key - FIRST_KEY;
        if !self.conns.contains(slot) {
            return;
        }
        if event.writable {
            self.mark(slot);
        }
        if event.readable {
            self.read(slot, now, came);
        }
    }

    fn read(&mut self, slot: usize, now: Tenths, came: &mut Vec<Came>) {
        let conn = &mut self.conns[slot];
        let was_reading = conn.reading;
        let mut scratch = std::mem::take(&mut self.scratch);
        match conn.sock.read(&mut scratch) {
            Ok(n) if n > 0 && was_reading => {
                conn.moved = now;
                self.split(slot, &scratch[..n], now, came);
            }
            // Nothing is waited for on one that is not read but errors, so this is one.
            Ok(_) if !was_reading => self.close(slot, End::Reset, came),
            Ok(_) => {
                let end = if conn.idle() { End::Closed } else { End::HalfClosed };
                self.stop_reading(slot, end);
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(_) => self.close(slot, End::Reset, came),
        }
        self.scratch = scratch;
    }

    fn split(&mut self, slot: usize, mut input: &[u8], now: Tenths, came: &mut Vec<Came>) {
        while self.conns[slot].reading {
            match self.conns[slot].splitter.next(&mut input) {
                Ok(Some(piece)) => self.piece(slot, piece, now, came),
                Ok(None) => break,
                Err(_) => self.malformed(slot),
            }
        }
    }

    /// Nothing more can be read: what is whole is answered yet, what is not is told so.
    fn malformed(&mut self, slot: usize) {
        self.answer_half_read(slot, Answer::Unreadable(Unreadable::Field("record")));
        self.stop_reading(slot, End::Malformed);
    }

    fn answer_half_read(&mut self, slot: usize, answer: Answer) {
        let half = self.conns[slot].open.iter().filter(|open| open.half_read());
        let callers: Vec<Caller> = half.map(|open| open.caller(slot)).collect();
        callers.into_iter().for_each(|caller| self.answer(caller, answer));
    }

    fn stop_reading(&mut self, slot: usize, end: End) {
        let conn = &mut self.conns[slot];
        conn.reading = false;
        conn.last = Some(end);
        // What was not whole was never had; its rest can't come any more.
        let before = conn.open.len();
        conn.open.retain(|open| !open.half_read());
        self.open -= before - conn.open.len();
        self.mark(slot);
    }

    fn piece(&mut self, slot: usize, piece: Piece, now: Tenths, came: &mut Vec<Came>) {
        let conn = &mut self.conns[slot];
        match piece {
            Piece::Begin { id, role, keep } => {
                if conn.open.iter().any(|open| open.id == id) {
                    return self.malformed(slot);
                }
                if !keep {
                    conn.last = Some(End::Closed);
                }
                let full = conn.open.len() >= MOST_OPEN || self.open >= self.room.requests;
                self.nth += 1;
                let open = Open { id, nth: self.nth, began: now, ..Open::default() };
                let caller = open.caller(slot);
                conn.open.push(open);
                self.open += 1;
                if role != RESPONDER {
                    self.answer(caller, Answer::UnknownRole);
                } else if full {
                    self.answer(caller, Answer::NoRoom);
                }
            }
            Piece::Abort { id } => {
                if let Some(place) = conn.open.iter().position(|open| open.id == id) {
                    let open = conn.open.swap_remove(place);
                    self.open -= 1;
                    came.extend(open.ex.map(|ex| Came::Ended { ex, end: End::Aborted }));
                    self.mark(slot);
                }
            }
            Piece::Params { id, bytes } => {
                self.collect(slot, id, |open| (&mut open.params, MOST_PARAMS), bytes)
            }
            Piece::Stdin { id, bytes } => self.collect(slot, id, |open| (&mut open.body, MOST_BODY), bytes),
            Piece::ParamsEnd { id } => self.whole(slot, id, |open| open.params_whole = true, came),
            Piece::StdinEnd { id } => self.whole(slot, id, |open| open.body_whole = true, came),
            Piece::GetValues => {
                let before = conn.out.len();
                fastcgi::values(&mut conn.out, self.room.connections, self.room.requests);
                self.unread += conn.out.len() - before;
                self.mark(slot);
            }
            Piece::Unknown { kind } => {
                let before = conn.out.len();
                fastcgi::unknown_type(&mut conn.out, kind);
                self.unread += conn.out.len() - before;
                self.mark(slot);
            }
        }
    }

    /// Pieces for an id that is not open, or is whole, are of a request that was answered already.
    fn half_read(&mut self, slot: usize, id: u16) -> Option<&mut Open> {
        self.conns[slot].open.iter_mut().find(|open| open.id == id && open.half_read())
    }

    fn collect(&mut self, slot: usize, id: u16, part: fn(&mut Open) -> (&mut Vec<u8>, usize), bytes: &[u8]) {
        let Some(open) = self.half_read(slot, id) else { return };
        let (buffer, most) = part(open);
        if buffer.len() + bytes.len() > most {
            open.too_long = true;
        } else {
            buffer.extend(bytes);
        }
    }

    fn whole(&mut self, slot: usize, id: u16, done: fn(&mut Open), came: &mut Vec<Came>) {
        let Some(open) = self.half_read(slot, id) else { return };
        done(open);
        if open.half_read() {
            return;
        }
        let (params, body) = (std::mem::take(&mut open.params), std::mem::take(&mut open.body));
        let (caller, too_long) = (open.caller(slot), open.too_long);
        let asked = if too_long { Err(Unreadable::TooLong) } else { request::read(&params, &self.names) };
        match asked {
            Ok(Asked::Exchange(request)) => came.push(Came::Exchange { caller, request, body }),
            Ok(Asked::Health) => self.answer(caller, Answer::Health { good: self.good }),
            Err(unreadable) => self.answer(caller, Answer::Unreadable(unreadable)),
        }
    }

    /// Whether an answer can still go there.
    pub fn waits(&self, caller: Caller) -> bool {
        self.conns.get(caller.slot).is_some_and(|conn| conn.open.iter().any(|open| open.nth == caller.nth))
    }

    /// From here on the decisions know this request as `ex`.
    pub fn known_as(&mut self, caller: Caller, ex: ExId) {
        let Some(conn) = self.conns.get_mut(caller.slot) else { return };
        if let Some(open) = conn.open.iter_mut().find(|open| open.nth == caller.nth) {
            open.ex = Some(ex);
        }
    }

    /// Gives the one answer; a second one finds nothing open any more.
    pub fn answer(&mut self, caller: Caller, answer: Answer) {
        let Some(conn) = self.conns.get_mut(caller.slot) else { return };
        let Some(place) = conn.open.iter().position(|open| open.nth == caller.nth) else { return };
        match answer {
            Answer::Completed(_) => self.counts.completed += 1,
            Answer::Denied { .. } => self.counts.denied += 1,
            Answer::Terminated => self.counts.terminated += 1,
            Answer::Health { .. } => self.counts.checks += 1,
            Answer::Unreadable(_) | Answer::UnknownRole => self.counts.unreadable += 1,
            Answer::NoRoom => self.counts.no_room += 1,
        }
        conn.open.swap_remove(place);
        self.open -= 1;
        if self.unread > self.room.unread && conn.unread() > FAIR_UNREAD {
            conn.doomed = Some(End::Unread);
        }
        let before = conn.out.len();
        request::write(&mut conn.out, caller.id, answer, self.level);
        self.unread += conn.out.len() - before;
        self.mark(caller.slot);
    }

    fn mark(&mut self, slot: usize) {
        if !self.conns[slot].dirty {
            self.conns[slot].dirty = true;
            self.dirty.push(slot);
        }
    }

    /// Writes what the present turn brought, and closes what is to be closed.
    pub fn flush(&mut self, now: Tenths, came: &mut Vec<Came>) {
        let mut dirty = std::mem::take(&mut self.dirty);
        for slot in dirty.drain(..) {
            let Some(conn) = self.conns.get_mut(slot).filter(|conn| conn.dirty) else { continue };
            conn.dirty = false;
            if let Some(end) = conn.doomed.or_else(|| self.write(slot, now).err()) {
                self.close(slot, end, came);
                continue;
            }
            let conn = &self.conns[slot];
            match conn.last {
                Some(end) if conn.open.is_empty() && conn.unread() == 0 => self.close(slot, end, came),
                _ => self.watch(slot),
            }
        }
        self.dirty = dirty;
    }

    fn write(&mut self, slot: usize, now: Tenths) -> Result<(), End> {
        let conn = &mut self.conns[slot];
        while conn.unread() > 0 {
            match conn.sock.write(&conn.out[conn.written..]) {
                Ok(0) => return Err(End::Reset),
                Ok(n) => {
                    conn.written += n;
                    self.unread -= n;
                    conn.moved = now;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(_) => return Err(End::Reset),
            }
        }
        conn.out.clear();
        conn.out.shrink_to(FAIR_UNREAD);
        conn.written = 0;
        Ok(())
    }

    fn watch(&mut self, slot: usize) {
        let conn = &mut self.conns[slot];
        let interest = (conn.reading && conn.unread() < MOST_UNREAD, conn.unread() > 0);
        let event = Event::new(FIRST_KEY + slot, interest.0, interest.1);
        if interest != conn.interest
            && self.poller.modify_with_mode(&conn.sock, event, PollMode::Level).is_ok()
        {
            conn.interest = interest;
        }
    }

    fn close(&mut self, slot: usize, end: End, came: &mut Vec<Came>) {
        let conn = self.conns.remove(slot);
        _ = self.poller.delete(&conn.sock);
        self.open -= conn.open.len();
        self.unread -= conn.unread();
        came.extend(conn.open.iter().filter_map(|open| open.ex).map(|ex| Came::Ended { ex, end }));
        *self.counts.ends.entry(end.name()).or_default() += 1;
        self.accept_again(true);
    }

    /// Closes what lay idle for long enough, and what nobody can be waiting for any more.
    pub fn sweep(&mut self, now: Tenths, came: &mut Vec<Came>) {
        let mut over = Vec::new();
        for (slot, conn) in &mut self.conns {
            let quiet = now.saturating_sub(conn.moved);
            if conn.idle() && quiet >= self.idle_limit {
                over.extend(conn.nothing_came().then_some((slot, End::Idle)));
            } else if conn.unread() > 0 && quiet > self.patience {
                over.push((slot, End::Unread));
            } else if conn.open.iter().any(|o| o.half_read() && now.saturating_sub(o.began) > self.patience) {
                // Trickled so slowly that its caller can't wait for it any more.
                over.push((slot, End::Malformed));
            }
        }
        for (slot, end) in over {
            if end == End::Malformed { self.malformed(slot) } else { self.close(slot, end, came) }
        }
        let full = self.conns.len() >= self.room.connections;
        self.accept_again(!full || self.conns.iter().any(|(_, conn)| conn.idle()));
    }

    /// Whether there is anything that a sweep could do.
    pub fn to_sweep(&self) -> bool {
        !self.conns.is_empty() || !self.accepting
    }

    /// Takes in no more connections; those in the machine's hands must have been accepted before.
    pub fn close_door(&mut self) {
        if let Some(listener) = self.listener.take() {
            _ = self.poller.delete(&listener);
        }
    }

    /// Reads each connection once more, and closes those with nothing open from then on.
    pub fn last_reading(&mut self, now: Tenths, came: &mut Vec<Came>) {
        while self.accept(now, came) {}
        self.close_door();
        let slots: Vec<usize> = self.conns.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            for _ in 0..LAST_TURNS {
                if self.conns.get(slot).is_some_and(|conn| conn.reading) {
                    self.read(slot, now, came);
                }
            }
            if self.conns.contains(slot) {
                self.answer_half_read(slot, Answer::NoRoom);
                self.stop_reading(slot, End::Left);
            }
        }
    }
}
