//! The table of the callers' connections on all fronts: answered within bounds that hold by design, one state
//! whatever they speak. How connections come and go stands in `coming`, how they are read in `reading`.

mod accept;
mod reading;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use doortrack_admission::RequestId;
use doortrack_config::ResourceLimits;
use doortrack_protocols::Protocol;
use doortrack_time::TenthMillis;
use polling::{Event, PollMode, Poller};
use slab::Slab;

use super::bounds::{FAIR_UNREAD, MOST_FRONTS, TURN};
use super::classified::Rules;
use super::connection::Connection;
use super::request::{self, Answer, IncomingRequest, Names};
use super::termination::Termination;

/// Fronts have the keys from here on, connections those after them.
pub const LISTEN_KEY: usize = 8;
pub const FIRST_KEY: usize = LISTEN_KEY + MOST_FRONTS;

/// Where an answer goes: a place in the table, and the number of a request there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    slot: usize,
    nth: u64,
}

/// Variables as they came, and how they are written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    pub protocol: Protocol,
    pub bytes: Vec<u8>,
}

/// What the connections brought.
pub enum ListenerEvent {
    Request {
        caller: Caller,
        request: IncomingRequest,
        block: Block,
        body: Vec<u8>,
    },
    Ended {
        ex: RequestId,
        end: Termination,
    },
}

#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub accepted: u64,
    pub completed: u64,
    pub rejected: u64,
    pub failed: u64,
    pub checks: u64,
    /// By what could not be read.
    pub unreadable: BTreeMap<&'static str, u64>,
    pub no_room: u64,
    pub ends: BTreeMap<&'static str, u64>,
}

impl Counts {
    fn add(&mut self, other: &Counts) {
        self.accepted += other.accepted;
        self.completed += other.completed;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.checks += other.checks;
        self.no_room += other.no_room;
        other
            .unreadable
            .iter()
            .for_each(|(what, n)| *self.unreadable.entry(what).or_default() += n);
        other
            .ends
            .iter()
            .for_each(|(end, n)| *self.ends.entry(end).or_default() += n);
    }
}

/// One address on which callers are taken in.
pub struct Listener {
    pub protocol: Protocol,
    pub at: SocketAddr,
    /// Connections that it may have at once.
    most: usize,
    /// None once it was withdrawn; it is forgotten with its last connection.
    listener: Option<TcpListener>,
    withdrawn: bool,
    /// It is the platform's own, where its protocol alone says what a request is.
    platform: bool,
    accepting: bool,
    pub connections: usize,
    pub counts: Counts,
}

impl Listener {
    fn is_at(&self, at: SocketAddr) -> bool {
        self.listener.is_some() && self.at == at
    }
}

pub struct Listeners {
    poller: Arc<Poller>,
    listeners: Slab<Listener>,
    conns: Slab<Connection>,
    names: Names,
    /// How requests of the installation's fronts are classed, if it has rules.
    pub rules: Option<Rules>,
    room: ResourceLimits,
    /// Requests open on all connections, and how many were begun so far.
    open: usize,
    begun: u64,
    /// Bytes of answers that were not read yet, on all connections.
    unread: usize,
    dirty: Vec<usize>,
    scratch: Vec<u8>,
    /// Nobody waits longer than this for anything.
    longest_deadline: TenthMillis,
    /// What goes out with each answer, and what health checks are told.
    pub level: Option<f32>,
    pub good: bool,
    pub idle_limit: TenthMillis,
    /// What fronts counted that are no more.
    gone: Counts,
}

impl Listeners {
    /// A table without any front yet.
    pub fn new(
        poller: Arc<Poller>,
        names: Names,
        room: ResourceLimits,
        longest_deadline: TenthMillis,
    ) -> Self {
        Listeners {
            poller,
            listeners: Slab::new(),
            conns: Slab::new(),
            names,
            rules: None,
            room,
            open: 0,
            begun: 0,
            unread: 0,
            dirty: Vec::new(),
            scratch: vec![0; TURN],
            longest_deadline,
            level: None,
            good: true,
            idle_limit: TenthMillis::MAX,
            gone: Counts::default(),
        }
    }

    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    pub fn unread(&self) -> usize {
        self.unread
    }

    /// The fronts that are open or being drained.
    pub fn each(&self) -> impl Iterator<Item = &Listener> {
        self.listeners.iter().map(|(_, front)| front)
    }

    /// What was counted on all fronts since the start.
    pub fn counts(&self) -> Counts {
        let mut all = self.gone.clone();
        self.each().for_each(|front| all.add(&front.counts));
        all
    }

    // --- Answering ---

    /// Whether an answer can still go there.
    pub fn waits(&self, caller: Caller) -> bool {
        self.conns
            .get(caller.slot)
            .is_some_and(|conn| conn.open.iter().any(|open| open.nth == caller.nth))
    }

    /// From here on the decisions know this request as `ex`.
    pub fn bind_request(&mut self, caller: Caller, ex: RequestId) {
        let Some(conn) = self.conns.get_mut(caller.slot) else {
            return;
        };
        if let Some(open) = conn.open.iter_mut().find(|open| open.nth == caller.nth) {
            open.ex = Some(ex);
        }
    }

    /// Gives the one answer; a second one finds nothing open any more.
    pub fn answer(&mut self, caller: Caller, answer: Answer) {
        let Some(conn) = self.conns.get_mut(caller.slot) else {
            return;
        };
        let Some(open) = conn.take(|open| open.nth == caller.nth) else {
            return;
        };
        let counts = &mut self.listeners[conn.front].counts;
        match answer {
            Answer::Completed(_) => counts.completed += 1,
            Answer::Rejected { .. } => counts.rejected += 1,
            Answer::Failed => counts.failed += 1,
            Answer::Health { .. } => counts.checks += 1,
            Answer::Unreadable(what) => {
                conn.rests = true;
                *counts.unreadable.entry(what.name()).or_default() += 1
            }
            Answer::UnknownRole => *counts.unreadable.entry("role").or_default() += 1,
            Answer::NoRoom => counts.no_room += 1,
        }
        self.open -= 1;
        // While answers pile up everywhere, who leaves more than a fair part unread is not given more.
        if self.unread > self.room.unread_answer_bytes && conn.unread() > FAIR_UNREAD {
            conn.doomed = Some(Termination::Unread);
        }
        let (level, protocol) = (self.level, conn.reader.protocol());
        self.put(caller.slot, |out| {
            request::write(out, protocol, open.id, answer, level)
        });
    }

    pub(super) fn put(&mut self, slot: usize, write: impl FnOnce(&mut Vec<u8>)) {
        let out = &mut self.conns[slot].out;
        let before = out.len();
        write(out);
        self.unread += out.len() - before;
        self.mark_dirty(slot);
    }

    pub(super) fn mark_dirty(&mut self, slot: usize) {
        if !self.conns[slot].dirty {
            self.conns[slot].dirty = true;
            self.dirty.push(slot);
        }
    }

    /// Writes what the present turn brought, and closes what is to be closed.
    pub fn flush(&mut self, now: TenthMillis, listener_events: &mut Vec<ListenerEvent>) {
        let mut dirty = std::mem::take(&mut self.dirty);
        for slot in dirty.drain(..) {
            let Some(conn) = self.conns.get_mut(slot).filter(|conn| conn.dirty) else {
                continue;
            };
            conn.dirty = false;
            let before = conn.unread();
            let written = conn.doomed.map_or_else(|| conn.write(now), Err);
            self.unread -= before - conn.unread();
            let over = conn
                .last
                .filter(|_| conn.open.is_empty() && conn.unread() == 0);
            match (written, over) {
                (Err(end), _) => self.close(slot, end, listener_events),
                (Ok(()), Some(end)) => self.linger(slot, end, now, listener_events),
                _ => self.watch(slot),
            }
        }
        self.dirty = dirty;
    }

    fn watch(&mut self, slot: usize) {
        let conn = &mut self.conns[slot];
        let wants = conn.wants();
        let event = Event::new(FIRST_KEY + slot, wants.0, wants.1);
        if wants != conn.watched
            && self
                .poller
                .modify_with_mode(&conn.sock, event, PollMode::Level)
                .is_ok()
        {
            conn.watched = wants;
        }
    }
}
