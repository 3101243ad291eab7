//! The link to the engine: made, lost and made anew, with the notices in between told once each.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

use doortrack_admission::RequestId;
use doortrack_time::TenthMillis;
use polling::{Event, PollMode, Poller};
use slog::{Logger, info, warn};
use socket2::{Domain, Socket, Type};

use super::bounds::MAX_ENGINE_LINE_BYTES;
use super::engine_protocol::{self, EngineMessage};
use super::request::AttemptId;
use super::termination::Termination;

pub const ENGINE_KEY: usize = 1;

const TRY_AGAIN: TenthMillis = 1_000;

#[derive(Clone, Copy, PartialEq)]
enum State {
    Down,
    Connecting,
    /// ATTACH is on its way; HELLO may take as long as the engine needs to come up.
    Attaching,
    /// HELLO was read; the answer to this STAT comes after all notices that were missed.
    CatchingUp {
        cookie: u64,
    },
    Up,
}

/// What the link brought, in order.
pub enum BackendEvent {
    Hello {
        cold: bool,
        age: TenthMillis,
    },
    /// All notices missed are in. Runs sent after the STAT of this number may not have arrived.
    CaughtUp {
        proven: u64,
    },
    EngineMessage(EngineMessage),
    /// A run at a server came to its end, with what it brought.
    RunEnded {
        id: RequestId,
        end: Termination,
        headers: Vec<u8>,
        body: Vec<u8>,
    },
    /// The link itself came to an end.
    Ended(Termination),
}

pub struct EngineLink {
    at: SocketAddr,
    poller: Arc<Poller>,
    log: Logger,
    /// Bytes that the engine may leave unread.
    most_commands: usize,
    state: State,
    sock: Option<TcpStream>,
    pub next_try: TenthMillis,
    input: Vec<u8>,
    out: Vec<u8>,
    watching_writes: bool,
    /// Number of the last notice read.
    last: u64,
    /// Number of the last STAT sent, and of the last one answered on a link that was up.
    cookie: u64,
    proven: u64,
    /// After this notice something could not be read, and the link was made anew for it once already.
    doubted: Option<u64>,
    /// It could not be reached, and this was told.
    missed: bool,
    pub losses: u64,
}

impl EngineLink {
    pub fn new(at: SocketAddr, poller: Arc<Poller>, log: Logger, most_commands: usize) -> Self {
        EngineLink {
            at,
            poller,
            log,
            most_commands,
            state: State::Down,
            sock: None,
            next_try: 0,
            input: Vec::new(),
            out: Vec::new(),
            watching_writes: false,
            last: 0,
            cookie: 0,
            proven: 0,
            doubted: None,
            missed: false,
            losses: 0,
        }
    }

    pub fn is_up(&self) -> bool {
        self.state == State::Up
    }

    pub fn is_down(&self) -> bool {
        self.state == State::Down
    }

    /// Makes the link if there is none.
    pub fn maintain(&mut self, now: TenthMillis) {
        if self.state != State::Down || now < self.next_try {
            return;
        }
        self.next_try = now + TRY_AGAIN;
        match self.connect() {
            Ok(sock) => (self.sock, self.state) = (Some(sock), State::Connecting),
            Err(e) => self.out_of_reach(&e.to_string()),
        }
    }

    /// Told once until it is back, however often it is tried.
    fn out_of_reach(&mut self, why: &str) {
        if !std::mem::replace(&mut self.missed, true) {
            warn!(self.log, "engine out of reach"; "why" => why);
        }
    }

    fn connect(&mut self) -> std::io::Result<TcpStream> {
        let sock = begin_to_connect(self.at)?;
        // SAFETY: the socket is taken out of the poller in `lose`, before it is dropped.
        unsafe {
            self.poller
                .add_with_mode(&sock, Event::all(ENGINE_KEY), PollMode::Level)?
        };
        self.watching_writes = true;
        Ok(sock)
    }

    fn lose(&mut self, now: TenthMillis, why: &str, backend_events: &mut Vec<BackendEvent>) {
        if let Some(sock) = self.sock.take() {
            _ = self.poller.delete(&sock);
        }
        if self.state == State::Connecting {
            self.out_of_reach(why);
        } else {
            self.losses += 1;
            warn!(self.log, "engine link lost"; "why" => why, "last" => self.last);
            backend_events.push(BackendEvent::Ended(Termination::LinkLost));
        }
        self.state = State::Down;
        self.next_try = self.next_try.max(now);
        self.input.clear();
        self.out.clear();
    }

    /// The engine is to be found elsewhere from here on.
    pub fn move_to(
        &mut self,
        at: SocketAddr,
        now: TenthMillis,
        backend_events: &mut Vec<BackendEvent>,
    ) {
        if at == self.at {
            return;
        }
        (self.at, self.missed) = (at, false);
        if self.state != State::Down {
            self.lose(now, "the engine moved", backend_events);
        }
        self.next_try = now;
    }

    pub fn ready(
        &mut self,
        event: Event,
        now: TenthMillis,
        backend_events: &mut Vec<BackendEvent>,
    ) {
        if self.state == State::Connecting && (event.writable || event.readable) {
            let error = self
                .sock
                .as_ref()
                .and_then(|sock| sock.take_error().transpose());
            if let Some(Ok(e) | Err(e)) = error {
                return self.lose(now, &e.to_string(), backend_events);
            }
            self.state = State::Attaching;
            engine_protocol::attach(&mut self.out, self.last);
        }
        if event.readable {
            self.read(now, backend_events);
        }
    }

    fn read(&mut self, now: TenthMillis, backend_events: &mut Vec<BackendEvent>) {
        let Some(sock) = &mut self.sock else { return };
        let start = self.input.len();
        self.input.resize(start + MAX_ENGINE_LINE_BYTES, 0);
        let got = sock.read(&mut self.input[start..]);
        self.input.truncate(start + got.as_ref().map_or(0, |n| *n));
        match got {
            Ok(0) => return self.lose(now, "closed by the engine", backend_events),
            Ok(_) => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => return,
            Err(e) => return self.lose(now, &e.to_string(), backend_events),
        }
        let input = std::mem::take(&mut self.input);
        let mut rest = &input[..];
        while let Some(end) = rest.iter().position(|b| *b == b'\n') {
            let line = &rest[..end];
            rest = &rest[end + 1..];
            if let Err(why) = self.line(line, backend_events) {
                return self.lose(now, why, backend_events);
            }
        }
        if rest.len() > MAX_ENGINE_LINE_BYTES {
            return self.lose(now, "a line without end", backend_events);
        }
        self.input = rest.to_vec();
    }

    /// Takes one line; an error where the link is to be made anew, so that what was missed comes again.
    fn line(
        &mut self,
        line: &[u8],
        backend_events: &mut Vec<BackendEvent>,
    ) -> Result<(), &'static str> {
        let notice = match engine_protocol::read(line) {
            Ok(notice) => notice,
            Err(what) => {
                warn!(self.log, "engine line left out"; "what" => what);
                return self.doubt("a line that can't be read");
            }
        };
        if let Some(serial) = notice.serial() {
            if serial <= self.last {
                return Ok(()); // Seen before, on the link that was lost.
            }
            if serial > self.last + 1 {
                self.doubt("notices are missing")?;
            }
            self.last = serial;
        }
        match notice {
            EngineMessage::Hello { cold, age } if self.state == State::Attaching => {
                info!(self.log, "engine attached"; "cold" => cold, "age_ms" => age / 10, "last" => self.last);
                self.missed = false;
                backend_events.push(BackendEvent::Hello { cold, age });
                self.state = State::CatchingUp {
                    cookie: self.cookie + 1,
                };
                self.stat();
            }
            EngineMessage::Hello { .. } => return self.doubt("HELLO out of turn"),
            EngineMessage::Stats { cookie, .. } if self.state == (State::CatchingUp { cookie }) => {
                self.state = State::Up;
                backend_events.push(BackendEvent::CaughtUp {
                    proven: self.proven,
                });
                self.proven = cookie;
            }
            EngineMessage::Stats { cookie, .. } => {
                self.proven = self.proven.max(cookie.min(self.cookie));
                backend_events.push(BackendEvent::EngineMessage(notice));
            }
            EngineMessage::Note { text, .. } => info!(self.log, "engine remark"; "text" => text),
            _ => backend_events.push(BackendEvent::EngineMessage(notice)),
        }
        Ok(())
    }

    /// Once for each place in the notices the link is made anew; if that did not help, it is lived with.
    fn doubt(&mut self, why: &'static str) -> Result<(), &'static str> {
        let again = self.doubted == Some(self.last);
        self.doubted = Some(self.last);
        if again { Ok(()) } else { Err(why) }
    }

    /// Asks for the gauges; the number that the answer will carry.
    pub fn stat(&mut self) -> u64 {
        self.cookie += 1;
        engine_protocol::stat(&mut self.out, self.cookie);
        self.cookie
    }

    /// Sends a run; the number of the last STAT before it.
    pub fn run(&mut self, attempt_id: &AttemptId, group: &str, body: &[u8]) -> u64 {
        engine_protocol::run(&mut self.out, attempt_id, group, body);
        self.cookie
    }

    pub fn halt(&mut self, attempt_id: &AttemptId) {
        engine_protocol::halt(&mut self.out, attempt_id);
    }

    pub fn flush(&mut self, now: TenthMillis, backend_events: &mut Vec<BackendEvent>) {
        let Some(sock) = self
            .sock
            .as_mut()
            .filter(|_| self.state != State::Connecting)
        else {
            return;
        };
        let mut written = 0;
        while written < self.out.len() {
            match sock.write(&self.out[written..]) {
                Ok(n) if n > 0 => written += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Ok(_) => return self.lose(now, "closed by the engine", backend_events),
                Err(e) => return self.lose(now, &e.to_string(), backend_events),
            }
        }
        self.out.drain(..written);
        self.out.shrink_to(MAX_ENGINE_LINE_BYTES);
        if self.out.len() > self.most_commands {
            return self.lose(now, "commands stay unread", backend_events);
        }
        let wants = !self.out.is_empty();
        if wants != self.watching_writes {
            let event = Event::new(ENGINE_KEY, true, wants);
            if self
                .poller
                .modify_with_mode(&*sock, event, PollMode::Level)
                .is_ok()
            {
                self.watching_writes = wants;
            }
        }
    }
}

/// A connection that is being opened in the background; it becomes writable once that has ended, well or not.
pub(super) fn begin_to_connect(at: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&at.into()) {
        Err(e) if e.raw_os_error() != Some(EINPROGRESS) && e.kind() != ErrorKind::WouldBlock => {
            Err(e)
        }
        _ => Ok(TcpStream::from(socket)),
    }
}

/// What a connection attempt that goes on in the background reports on Linux.
const EINPROGRESS: i32 = 115;
