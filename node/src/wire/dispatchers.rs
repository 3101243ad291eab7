//! The table of the dispatchers' connections: accepted, answered and closed, within bounds that hold by
//! design. How they are read stands in `reading`.

mod reading;

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

use doortrack::{ExId, Tenths};
use polling::{Event, PollMode, Poller};
use slab::Slab;
use socket2::{Domain, Socket, Type};

use super::bounds::{self, ACCEPTS, EVICTED, FAIR_UNREAD, LAST_TURNS, TURN};
use super::conn::Conn;
use super::end::End;
use super::request::{self, Answer, Names, Request};
use crate::life::orders::Room;

pub const LISTEN_KEY: usize = 0;
/// Connections have the keys from here on.
pub const FIRST_KEY: usize = 16;

/// Where an answer goes: a place in the table, and the number of a request there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    slot: usize,
    nth: u64,
}

/// What the connections brought.
pub enum Came {
    Exchange { caller: Caller, request: Request, body: Vec<u8> },
    Ended { ex: ExId, end: End },
}

#[derive(Default)]
pub struct Counts {
    pub accepted: u64,
    pub completed: u64,
    pub denied: u64,
    pub terminated: u64,
    pub checks: u64,
    /// By what could not be read.
    pub unreadable: BTreeMap<&'static str, u64>,
    pub no_room: u64,
    pub ends: BTreeMap<&'static str, u64>,
}

pub struct Dispatchers {
    poller: Arc<Poller>,
    listener: Option<TcpListener>,
    accepting: bool,
    conns: Slab<Conn>,
    names: Names,
    room: Room,
    /// Requests open on all connections, and how many were begun so far.
    open: usize,
    begun: u64,
    /// Bytes of answers that were not read yet, on all connections.
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
            begun: 0,
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

    // --- Coming and going ---

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
                // One that is gone again before it was taken in has brought nothing.
                Ok((sock, _)) => _ = self.take_in(sock, now),
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    // With no descriptor to be had the listener stays ready; it is asked again at a sweep.
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
        let interest = Event::readable(FIRST_KEY + entry.key());
        // SAFETY: the socket is taken out of the poller in `close`, before it is dropped.
        unsafe { self.poller.add_with_mode(&sock, interest, PollMode::Level)? };
        self.counts.accepted += 1;
        entry.insert(Conn::new(sock, now));
        Ok(())
    }

    /// Lets go of some that never asked for anything, those first that came first; where there are none, of
    /// the one that lay idle longest. Many that come only to sit there so cost those that ask little.
    fn make_room(&mut self, came: &mut Vec<Came>) -> bool {
        let useless = |conn: &Conn| conn.idle() || (!conn.spoke && conn.reading && conn.unread() == 0);
        let useless = self.conns.iter().filter(|(_, conn)| useless(conn));
        let mut useless: Vec<_> = useless.map(|(slot, conn)| (conn.spoke, conn.moved, slot)).collect();
        useless.sort_unstable();
        let silent = useless.partition_point(|(spoke, ..)| !spoke).min(EVICTED);
        let before = self.conns.len();
        for (spoke, _, slot) in useless {
            if before - self.conns.len() >= if spoke { 1 } else { silent } {
                break;
            }
            if self.conns[slot].nothing_came() {
                self.close(slot, End::Evicted, came);
            }
        }
        self.conns.len() < before
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
        let within = bounds::whole_within(self.patience);
        for (slot, conn) in &mut self.conns {
            if std::mem::take(&mut conn.rests) && !conn.dirty {
                conn.dirty = true;
                self.dirty.push(slot);
            }
            let quiet = now.saturating_sub(conn.moved);
            if conn.idle() && quiet >= self.idle_limit && conn.nothing_came() {
                over.push((slot, End::Idle));
            } else if conn.unread() > 0 && quiet > self.patience {
                over.push((slot, End::Unread));
            } else if conn.is_slow(now, within) {
                over.push((slot, End::Slow));
            }
        }
        for (slot, end) in over {
            if end == End::Slow { self.give_up(slot, end) } else { self.close(slot, end, came) }
        }
        let full = self.conns.len() >= self.room.connections;
        self.accept_again(!full || self.conns.iter().any(|(_, conn)| conn.idle()));
    }

    /// Whether there is anything that a sweep could do.
    pub fn to_sweep(&self) -> bool {
        !self.conns.is_empty() || !self.accepting
    }

    /// Takes in what the machine has accepted, and nothing after it; reads each connection once more, and
    /// closes those with nothing open from then on.
    pub fn last_reading(&mut self, now: Tenths, came: &mut Vec<Came>) {
        while self.accept(now, came) {}
        if let Some(listener) = self.listener.take() {
            _ = self.poller.delete(&listener);
        }
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

    // --- Answering ---

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
        let Some(open) = conn.take(|open| open.nth == caller.nth) else { return };
        match answer {
            Answer::Completed(_) => self.counts.completed += 1,
            Answer::Denied { .. } => self.counts.denied += 1,
            Answer::Terminated => self.counts.terminated += 1,
            Answer::Health { .. } => self.counts.checks += 1,
            Answer::Unreadable(what) => {
                conn.rests = true;
                *self.counts.unreadable.entry(what.name()).or_default() += 1
            }
            Answer::UnknownRole => *self.counts.unreadable.entry("role").or_default() += 1,
            Answer::NoRoom => self.counts.no_room += 1,
        }
        self.open -= 1;
        // While answers pile up everywhere, who leaves more than a fair part unread is not given more.
        if self.unread > self.room.unread && conn.unread() > FAIR_UNREAD {
            conn.doomed = Some(End::Unread);
        }
        let level = self.level;
        self.put(caller.slot, |out| request::write(out, open.id, answer, level));
    }

    fn put(&mut self, slot: usize, write: impl FnOnce(&mut Vec<u8>)) {
        let out = &mut self.conns[slot].out;
        let before = out.len();
        write(out);
        self.unread += out.len() - before;
        self.mark(slot);
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
            let before = conn.unread();
            let written = conn.doomed.map_or_else(|| conn.write(now), Err);
            self.unread -= before - conn.unread();
            let over = conn.last.filter(|_| conn.open.is_empty() && conn.unread() == 0);
            match written.err().or(over) {
                Some(end) => self.close(slot, end, came),
                None => self.watch(slot),
            }
        }
        self.dirty = dirty;
    }

    fn watch(&mut self, slot: usize) {
        let conn = &mut self.conns[slot];
        let wants = conn.wants();
        let event = Event::new(FIRST_KEY + slot, wants.0, wants.1);
        if wants != conn.watched && self.poller.modify_with_mode(&conn.sock, event, PollMode::Level).is_ok() {
            conn.watched = wants;
        }
    }
}
