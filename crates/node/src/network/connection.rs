//! One caller's connection: what is open on it, what was read, and what is still to be written.

use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, TcpStream};

use doortrack_admission::RequestId;
use doortrack_protocols::RequestReader;
use doortrack_time::TenthMillis;

use super::bounds::{FAIR_UNREAD, MOST_BODY, MOST_OPEN, MOST_PARAMS, MOST_UNREAD, MOST_UNWHOLE};
use super::termination::Termination;

/// A request that has not been answered.
#[derive(Default)]
pub struct Open {
    pub id: u16,
    /// Never the same twice: ids and places may be taken again while an answer is on its way.
    pub nth: u64,
    params: Vec<u8>,
    body: Vec<u8>,
    params_whole: bool,
    body_whole: bool,
    /// Known to the decisions under this name.
    pub ex: Option<RequestId>,
}

impl Open {
    pub fn half_read(&self) -> bool {
        !(self.params_whole && self.body_whole)
    }
}

/// The two streams that a request comes in.
#[derive(Clone, Copy)]
pub enum Stream {
    Params,
    Body,
}

/// A request that was read to its end.
pub struct Whole {
    pub nth: u64,
    pub params: Vec<u8>,
    pub body: Vec<u8>,
}

/// What a connection on which nobody waits for an answer is good for, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Use {
    /// It never asked for anything, or has been told the end.
    None,
    /// It asked before, and may again.
    Idle,
    /// It asked before, and a part of a request has come since.
    HalfRequest,
}

pub struct Connection {
    pub sock: TcpStream,
    pub peer: IpAddr,
    /// The front on which it came.
    pub front: usize,
    pub reader: RequestReader,
    pub open: Vec<Open>,
    pub out: Vec<u8>,
    written: usize,
    /// Last time that anything was read, or that unread answers moved.
    pub moved: TenthMillis,
    /// A whole request has come on it.
    pub spoke: bool,
    /// Since when a whole request is due: from the start, and while one is half read.
    due_since: Option<TenthMillis>,
    /// Bytes read with no whole request in them.
    unwhole: usize,
    /// Something on it could not be read: it is not read again before the next sweep, so that who sends the
    /// same again at full speed has a few turns a second and no more. A sound dispatcher that passes on what
    /// a bad client sent waits as long.
    pub rests: bool,
    /// All was said here, but the peer may still be sending: what comes is passed over until it stops.
    pub lingers: bool,
    /// Nothing more is read once it is half closed or malformed, or has been told the end.
    pub reading: bool,
    /// The peer said that it sends nothing more.
    ended: bool,
    /// It is to be closed once all that is open has been answered.
    pub last: Option<Termination>,
    /// It is to be closed at the end of the present turn.
    pub doomed: Option<Termination>,
    /// Whether the poller tells when it can be read, and when written.
    pub watched: (bool, bool),
    /// It is on the list of those to be written.
    pub dirty: bool,
}

impl Connection {
    pub fn new(
        sock: TcpStream,
        peer: IpAddr,
        front: usize,
        reader: RequestReader,
        now: TenthMillis,
    ) -> Connection {
        Connection {
            sock,
            peer,
            front,
            reader,
            open: Vec::new(),
            out: Vec::new(),
            written: 0,
            moved: now,
            spoke: false,
            due_since: Some(now),
            unwhole: 0,
            rests: false,
            lingers: false,
            reading: true,
            ended: false,
            last: None,
            doomed: None,
            watched: (true, false),
            dirty: false,
        }
    }

    pub fn unread(&self) -> usize {
        self.out.len() - self.written
    }

    pub fn idle(&self) -> bool {
        self.open.is_empty() && self.unread() == 0 && self.reader.at_boundary()
    }

    /// Nobody waits for anything on it: it is idle, or what is open on it never came whole. What lingers has
    /// had its answer as well, and only sends what nobody asked for.
    pub fn asks_nothing(&self) -> bool {
        self.idle() || (self.reading && self.unread() == 0 && self.open.iter().all(Open::half_read))
    }

    /// How much it would be missed, where it asks nothing.
    pub fn use_of(&self) -> Use {
        match (self.spoke && !self.lingers, self.idle()) {
            (false, _) => Use::None,
            (true, true) => Use::Idle,
            (true, false) => Use::HalfRequest,
        }
    }

    /// The last look before an idle one is closed: a request that came since would be lost with it.
    pub fn nothing_came(&self) -> bool {
        self.sock
            .peek(&mut [0])
            .is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    /// This node ends it once all that is open has been answered: what begins now would come too late.
    pub fn is_ending(&self) -> bool {
        matches!(
            self.last,
            Some(Termination::Slow | Termination::Withdrawn | Termination::Left)
        )
    }

    /// Whether a whole request has been due for longer than it may take: nothing came, or it trickles.
    pub fn is_slow(&self, now: TenthMillis, within: TenthMillis) -> bool {
        ((self.reading && !self.is_ending()) || self.lingers)
            && self
                .due_since
                .is_some_and(|since| now.saturating_sub(since) > within)
            && (!self.idle() || self.lingers || self.nothing_came())
    }

    /// What came was taken in; whether it is more than any request can hold.
    pub fn took_in(&mut self, bytes: usize, now: TenthMillis) -> bool {
        let between = self.reader.at_boundary() && !self.open.iter().any(Open::half_read);
        match between && self.spoke {
            true => self.due_since = None,
            false => _ = self.due_since.get_or_insert(now),
        }
        self.unwhole += bytes;
        self.unwhole > MOST_UNWHOLE
    }

    pub fn wants(&self) -> (bool, bool) {
        let reads = self.reading && !self.rests && self.unread() < MOST_UNREAD;
        (reads || self.lingers, self.unread() > 0)
    }

    /// Reads once; how many bytes came, or how it ended.
    pub fn read(&mut self, into: &mut [u8], now: TenthMillis) -> Result<usize, Termination> {
        match self.sock.read(into) {
            // Of one that is not read nothing is told but errors, so this is one.
            Ok(_) if !self.reading && !self.lingers => Err(Termination::Reset),
            Ok(0) => {
                self.ended = true;
                Err(if self.idle() {
                    Termination::Closed
                } else {
                    Termination::HalfClosed
                })
            }
            Ok(n) => {
                self.moved = now;
                Ok(n)
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Ok(0),
            Err(_) => Err(Termination::Reset),
        }
    }

    /// All is written and nothing more is wanted. Closed now, with something unread or about to come, the
    /// system would reset the connection, and the peer could lose an answer that it has not read. So the end
    /// is said first, and what comes is passed over until the peer ends too: whether that is waited for.
    pub fn linger(&mut self, now: TenthMillis) -> bool {
        self.ended |= matches!(self.sock.peek(&mut [0]), Ok(0));
        if self.lingers || self.ended {
            return self.lingers;
        }
        self.lingers = self.sock.shutdown(Shutdown::Write).is_ok();
        (self.due_since, self.unwhole) = (Some(now), 0);
        self.lingers
    }

    /// More of what is passed over has come; whether that is enough of it.
    pub fn passed_over(&mut self, bytes: usize) -> bool {
        self.unwhole += bytes;
        self.unwhole > MOST_UNWHOLE
    }

    /// Writes what the peer takes.
    pub fn write(&mut self, now: TenthMillis) -> Result<(), Termination> {
        while self.unread() > 0 {
            match self.sock.write(&self.out[self.written..]) {
                Ok(0) => return Err(Termination::Reset),
                Ok(n) => (self.written, self.moved) = (self.written + n, now),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return Err(Termination::Reset),
            }
        }
        // Also while some is unread, as a slow peer may never take the last of it.
        if self.unread() == 0 || self.written > FAIR_UNREAD {
            self.out.drain(..self.written);
            self.out.shrink_to(FAIR_UNREAD);
            self.written = 0;
        }
        Ok(())
    }

    /// Nothing more is read. What was not whole was never had, and its rest can't come: how many those were.
    pub fn stop_reading(&mut self, end: Termination) -> usize {
        (self.reading, self.last) = (false, Some(end));
        let before = self.open.len();
        self.open.retain(|open| !open.half_read());
        before - self.open.len()
    }

    pub fn has(&self, id: u16) -> bool {
        self.open.iter().any(|open| open.id == id)
    }

    /// Begins a request; whether it is one too many.
    pub fn begin(&mut self, id: u16, nth: u64) -> bool {
        self.open.push(Open {
            id,
            nth,
            ..Open::default()
        });
        self.open.len() > MOST_OPEN
    }

    /// Pieces for an id that is not open, or is whole, are of a request that was answered already.
    fn unfinished(&mut self, id: u16) -> Option<&mut Open> {
        self.open
            .iter_mut()
            .find(|open| open.id == id && open.half_read())
    }

    /// Keeps a part of a request; the request's number, if it is longer than any may be.
    pub fn collect(&mut self, id: u16, stream: Stream, bytes: &[u8]) -> Option<u64> {
        let open = self.unfinished(id)?;
        let (buffer, most) = match stream {
            Stream::Params => (&mut open.params, MOST_PARAMS),
            Stream::Body => (&mut open.body, MOST_BODY),
        };
        if buffer.len() + bytes.len() > most {
            return Some(open.nth);
        }
        buffer.extend(bytes);
        None
    }

    /// One stream of a request has ended; the request, if it is whole with that.
    pub fn end_stream(&mut self, id: u16, stream: Stream) -> Option<Whole> {
        let open = self.unfinished(id)?;
        match stream {
            Stream::Params => open.params_whole = true,
            Stream::Body => open.body_whole = true,
        }
        if open.half_read() {
            return None;
        }
        let (params, body) = (
            std::mem::take(&mut open.params),
            std::mem::take(&mut open.body),
        );
        let whole = Whole {
            nth: open.nth,
            params,
            body,
        };
        (self.spoke, self.due_since, self.unwhole) = (true, None, 0);
        Some(whole)
    }

    /// It asked in the protocol's own way whether this side is well, and nothing else can come of it.
    pub fn answers_a_ping(&mut self) {
        (self.spoke, self.due_since, self.last) = (true, None, Some(Termination::Closed));
    }

    /// Takes out a request by its id, or by its number.
    pub fn take(&mut self, is: impl Fn(&Open) -> bool) -> Option<Open> {
        let place = self.open.iter().position(is)?;
        Some(self.open.swap_remove(place))
    }
}
