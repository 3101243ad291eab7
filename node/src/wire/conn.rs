//! One dispatcher's connection: what is open on it, what was read, and what is still to be written.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

use doortrack::{ExId, Tenths};

use super::end::End;
use super::fastcgi::Splitter;
use super::request::MOST_BODY;

/// Requests that one connection may have open, by the protocol.
const MOST_OPEN: usize = 32;
/// Parameters of one request; with its body this is what a request may cost while it is read.
const MOST_PARAMS: usize = 8192;
/// A connection with so many answers unread is not read further until they are.
const MOST_UNREAD: usize = 64 * 1024;
/// What a buffer keeps once it is empty; so much unread is everyone's fair part of the room for answers.
pub const FAIR_UNREAD: usize = 16 * 1024;

/// A request that has not been answered.
#[derive(Default)]
pub struct Open {
    pub id: u16,
    /// Never the same twice: ids and places may be taken again while an answer is on its way.
    pub nth: u64,
    began: Tenths,
    params: Vec<u8>,
    body: Vec<u8>,
    params_whole: bool,
    body_whole: bool,
    too_long: bool,
    /// Known to the decisions under this name.
    pub ex: Option<ExId>,
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
    pub too_long: bool,
}

pub struct Conn {
    pub sock: TcpStream,
    pub splitter: Splitter,
    pub open: Vec<Open>,
    pub out: Vec<u8>,
    written: usize,
    /// Last time that anything was read, or that unread answers moved.
    pub moved: Tenths,
    /// Nothing more is read once it is half closed or malformed, or this node is about to end.
    pub reading: bool,
    /// It is to be closed once all that is open has been answered.
    pub last: Option<End>,
    /// It is to be closed at the end of the present turn.
    pub doomed: Option<End>,
    /// Whether the poller tells when it can be read, and when written.
    pub watched: (bool, bool),
    /// It is on the list of those to be written.
    pub dirty: bool,
}

impl Conn {
    pub fn new(sock: TcpStream, now: Tenths) -> Conn {
        Conn {
            sock,
            splitter: Splitter::default(),
            open: Vec::new(),
            out: Vec::new(),
            written: 0,
            moved: now,
            reading: true,
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
        self.open.is_empty() && self.unread() == 0 && self.splitter.at_boundary()
    }

    /// The last look before an idle one is closed: a request that came since would be lost with it.
    pub fn nothing_came(&self) -> bool {
        self.sock.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    /// Whether a request comes in so slowly that its caller can't wait for it any more.
    pub fn trickles(&self, now: Tenths, patience: Tenths) -> bool {
        self.open.iter().any(|open| open.half_read() && now.saturating_sub(open.began) > patience)
    }

    pub fn wants(&self) -> (bool, bool) {
        (self.reading && self.unread() < MOST_UNREAD, self.unread() > 0)
    }

    /// Reads once; how many bytes came, or how it ended.
    pub fn read(&mut self, into: &mut [u8], now: Tenths) -> Result<usize, End> {
        match self.sock.read(into) {
            // Of one that is not read nothing is told but errors, so this is one.
            Ok(_) if !self.reading => Err(End::Reset),
            Ok(0) => Err(if self.idle() { End::Closed } else { End::HalfClosed }),
            Ok(n) => {
                self.moved = now;
                Ok(n)
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Ok(0),
            Err(_) => Err(End::Reset),
        }
    }

    /// Writes what the peer takes.
    pub fn write(&mut self, now: Tenths) -> Result<(), End> {
        while self.unread() > 0 {
            match self.sock.write(&self.out[self.written..]) {
                Ok(0) => return Err(End::Reset),
                Ok(n) => (self.written, self.moved) = (self.written + n, now),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return Err(End::Reset),
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
    pub fn stop_reading(&mut self, end: End) -> usize {
        (self.reading, self.last) = (false, Some(end));
        let before = self.open.len();
        self.open.retain(|open| !open.half_read());
        before - self.open.len()
    }

    pub fn has(&self, id: u16) -> bool {
        self.open.iter().any(|open| open.id == id)
    }

    /// Begins a request; whether it is one too many.
    pub fn begin(&mut self, id: u16, nth: u64, now: Tenths) -> bool {
        self.open.push(Open { id, nth, began: now, ..Open::default() });
        self.open.len() > MOST_OPEN
    }

    /// Pieces for an id that is not open, or is whole, are of a request that was answered already.
    fn unfinished(&mut self, id: u16) -> Option<&mut Open> {
        self.open.iter_mut().find(|open| open.id == id && open.half_read())
    }

    pub fn collect(&mut self, id: u16, stream: Stream, bytes: &[u8]) {
        let Some(open) = self.unfinished(id) else { return };
        let (buffer, most) = match stream {
            Stream::Params => (&mut open.params, MOST_PARAMS),
            Stream::Body => (&mut open.body, MOST_BODY),
        };
        if buffer.len() + bytes.len() > most {
            open.too_long = true;
        } else {
            buffer.extend(bytes);
        }
    }

    /// One stream of a request has ended; the request, if it is whole with that.
    pub fn end_stream(&mut self, id: u16, stream: Stream) -> Option<Whole> {
        let open = self.unfinished(id)?;
        match stream {
            Stream::Params => open.params_whole = true,
            Stream::Body => open.body_whole = true,
        }
        let (params, body) = (&mut open.params, &mut open.body);
        (open.params_whole && open.body_whole).then(|| Whole {
            nth: open.nth,
            params: std::mem::take(params),
            body: std::mem::take(body),
            too_long: open.too_long,
        })
    }

    /// Takes out a request by its id, or by its number.
    pub fn take(&mut self, is: impl Fn(&Open) -> bool) -> Option<Open> {
        let place = self.open.iter().position(is)?;
        Some(self.open.swap_remove(place))
    }
}
