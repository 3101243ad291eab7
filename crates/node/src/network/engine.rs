//! The link to the engine, a TCP connection. The node reconnects whenever the link is lost, and each notice of the
//! engine is handled once.

mod messages;

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

use doortrack_config::transient::is_without_effect;
use doortrack_time::{MILLISECOND, TenthMillis};
use polling::{Event, PollMode, Poller};
use slog::{Logger, warn};
use thiserror::Error;

use super::backend::BackendEvent;
use super::bounds::MAX_ENGINE_LINE_BYTES;
use super::connect::connect_nonblocking;
use super::engine_protocol;
use super::termination::Termination;

/// The link's key in the poller.
pub const ENGINE_KEY: usize = 1;

/// Minimum interval between two attempts to connect.
const RECONNECT_INTERVAL: TenthMillis = 100 * MILLISECOND;

/// Why the link was lost.
#[derive(Debug, Error)]
enum LinkError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("closed by the engine")]
    Closed,
    #[error("the engine's address changed")]
    AddressChanged,
    #[error("too many bytes of commands are unread")]
    CommandsUnread,
    #[error("line too long")]
    LineTooLong,
    #[error("unreadable line")]
    UnreadableLine,
    #[error("notices are missing")]
    MissingNotices,
    #[error("unexpected HELLO")]
    UnexpectedHello,
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    Down,
    Connecting,
    /// `ATTACH` has been queued. `HELLO` may take as long as the engine needs to start.
    Attaching,
    /// `HELLO` has been read, and a gauge query with this number sent. Its answer follows all missed notices.
    CatchingUp {
        cookie: u64,
    },
    Up,
}

/// The link to the engine.
pub struct EngineLink {
    address: SocketAddr,
    poller: Arc<Poller>,
    log: Logger,
    /// Maximum bytes of commands that the engine may leave unread before the link is closed.
    max_unread_command_bytes: usize,
    state: State,
    /// Present unless the link is down.
    sock: Option<TcpStream>,
    /// When the next attempt to connect may begin.
    next_attempt: TenthMillis,
    /// The beginning of a line whose end has not arrived.
    input: Vec<u8>,
    /// Commands that have not been written.
    out: Vec<u8>,
    /// The poller reports when the link can be written.
    watching_writes: bool,
    /// The number of the last notice read.
    last_serial: u64,
    /// The number of the last gauge query sent.
    last_cookie: u64,
    /// The number of the last gauge query answered while the link was up.
    answered_cookie: u64,
    /// The value of `last_serial` when the node last reconnected because of an unexpected line.
    reconnected_at_serial: Option<u64>,
    /// That the engine is unreachable has already been logged.
    unreachable_logged: bool,
    losses: u64,
}

impl EngineLink {
    /// Creates a link that is down; [`EngineLink::maintain`] connects it. The link is closed when the engine leaves
    /// more than `max_unread_command_bytes` of commands unread.
    pub fn new(
        address: SocketAddr,
        poller: Arc<Poller>,
        log: Logger,
        max_unread_command_bytes: usize,
    ) -> Self {
        EngineLink {
            address,
            poller,
            log,
            max_unread_command_bytes,
            state: State::Down,
            sock: None,
            next_attempt: 0,
            input: Vec::new(),
            out: Vec::new(),
            watching_writes: false,
            last_serial: 0,
            last_cookie: 0,
            answered_cookie: 0,
            reconnected_at_serial: None,
            unreachable_logged: false,
            losses: 0,
        }
    }

    /// Returns true if all missed notices have been read, so that commands may be sent.
    pub fn is_up(&self) -> bool {
        self.state == State::Up
    }

    /// Returns how often the link has been lost.
    pub fn losses(&self) -> u64 {
        self.losses
    }

    /// Returns when [`EngineLink::maintain`] is due; [`TenthMillis::MAX`] unless the link is down.
    pub fn next_due(&self) -> TenthMillis {
        match self.state {
            State::Down => self.next_attempt,
            _ => TenthMillis::MAX,
        }
    }

    /// Connects if the link is down and the next attempt is due.
    pub fn maintain(&mut self, now: TenthMillis) {
        if self.state != State::Down || now < self.next_attempt {
            return;
        }
        self.next_attempt = now + RECONNECT_INTERVAL;
        match self.connect() {
            Ok(sock) => {
                self.sock = Some(sock);
                self.state = State::Connecting;
            }
            Err(e) => self.log_unreachable(&e.into()),
        }
    }

    fn connect(&mut self) -> io::Result<TcpStream> {
        let sock = connect_nonblocking(self.address)?;
        // SAFETY: the socket is removed from the poller in `disconnect`, before it is dropped.
        unsafe {
            self.poller
                .add_with_mode(&sock, Event::all(ENGINE_KEY), PollMode::Level)?
        };
        self.watching_writes = true;
        Ok(sock)
    }

    /// Logs that the engine is unreachable, once until it is reachable again.
    fn log_unreachable(&mut self, error: &LinkError) {
        if !std::mem::replace(&mut self.unreachable_logged, true) {
            warn!(self.log, "engine out of reach"; "why" => %error);
        }
    }

    fn disconnect(&mut self, error: &LinkError, now: TenthMillis, events: &mut Vec<BackendEvent>) {
        if let Some(sock) = self.sock.take() {
            _ = self.poller.delete(&sock);
        }
        if self.state == State::Connecting {
            self.log_unreachable(error);
        } else {
            self.losses += 1;
            warn!(self.log, "engine link lost"; "why" => %error, "last" => self.last_serial);
            events.push(BackendEvent::LinkEnded(Termination::LinkLost));
        }
        self.state = State::Down;
        self.next_attempt = self.next_attempt.max(now);
        self.input.clear();
        self.out.clear();
    }

    /// Changes the engine's address and reconnects if the address differs.
    pub fn set_address(
        &mut self,
        address: SocketAddr,
        now: TenthMillis,
        events: &mut Vec<BackendEvent>,
    ) {
        if address == self.address {
            return;
        }
        self.address = address;
        self.unreachable_logged = false;
        if self.state != State::Down {
            self.disconnect(&LinkError::AddressChanged, now, events);
        }
        self.next_attempt = now;
    }

    /// Handles an event that the poller reports for the link.
    pub fn on_event(&mut self, event: Event, now: TenthMillis, events: &mut Vec<BackendEvent>) {
        if let Err(error) = self.handle_event(event, events) {
            self.disconnect(&error, now, events);
        }
    }

    fn handle_event(
        &mut self,
        event: Event,
        events: &mut Vec<BackendEvent>,
    ) -> Result<(), LinkError> {
        if self.state == State::Connecting && (event.writable || event.readable) {
            self.finish_connect()?;
        }
        if event.readable && self.receive()? {
            self.read_lines(events)?;
        }
        Ok(())
    }

    fn finish_connect(&mut self) -> Result<(), LinkError> {
        let sock = self.sock.as_ref();
        match sock.and_then(|sock| sock.take_error().transpose()) {
            Some(Ok(e) | Err(e)) => Err(e.into()),
            None => {
                self.state = State::Attaching;
                engine_protocol::write_attach(&mut self.out, self.last_serial);
                Ok(())
            }
        }
    }

    /// Appends received bytes to the input. Returns false if there were none.
    fn receive(&mut self) -> Result<bool, LinkError> {
        let Some(sock) = &mut self.sock else {
            return Ok(false);
        };
        let start = self.input.len();
        self.input.resize(start + MAX_ENGINE_LINE_BYTES, 0);
        let received = sock.read(&mut self.input[start..]);
        let count = received.as_ref().map_or(0, |count| *count);
        self.input.truncate(start + count);
        match received {
            Ok(0) => Err(LinkError::Closed),
            Ok(_) => Ok(true),
            Err(e) if is_without_effect(&e) => Ok(false),
            Err(e) => Err(e.into()),
        }
    }

    /// Handles all complete lines of the input and keeps the rest.
    fn read_lines(&mut self, events: &mut Vec<BackendEvent>) -> Result<(), LinkError> {
        let input = std::mem::take(&mut self.input);
        let mut rest = &input[..];
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let line = &rest[..end];
            rest = &rest[end + 1..];
            self.on_line(line, events)?;
        }
        if rest.len() > MAX_ENGINE_LINE_BYTES {
            return Err(LinkError::LineTooLong);
        }
        self.input = rest.to_vec();
        Ok(())
    }

    /// Writes as many bytes of commands as the socket accepts.
    pub fn flush(&mut self, now: TenthMillis, events: &mut Vec<BackendEvent>) {
        if self.state == State::Connecting {
            return;
        }
        if let Err(error) = self.write_commands() {
            self.disconnect(&error, now, events);
        }
    }

    fn write_commands(&mut self) -> Result<(), LinkError> {
        let Some(sock) = &mut self.sock else {
            return Ok(());
        };
        let mut written = 0;
        while written < self.out.len() {
            match sock.write(&self.out[written..]) {
                Ok(0) => return Err(LinkError::Closed),
                Ok(count) => written += count,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_without_effect(&e) => break,
                Err(e) => return Err(e.into()),
            }
        }
        self.out.drain(..written);
        self.out.shrink_to(MAX_ENGINE_LINE_BYTES);
        if self.out.len() > self.max_unread_command_bytes {
            return Err(LinkError::CommandsUnread);
        }
        self.watch_writes(!self.out.is_empty());
        Ok(())
    }

    /// Sets whether the poller reports that the link can be written.
    fn watch_writes(&mut self, wanted: bool) {
        let Some(sock) = self
            .sock
            .as_ref()
            .filter(|_| wanted != self.watching_writes)
        else {
            return;
        };
        let interest = Event::new(ENGINE_KEY, true, wanted);
        let modified = self
            .poller
            .modify_with_mode(sock, interest, PollMode::Level);
        if modified.is_ok() {
            self.watching_writes = wanted;
        }
    }
}
