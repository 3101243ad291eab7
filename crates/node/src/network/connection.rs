//! One client's connection: its pending requests, what was read of them, and the answers still to be written.

mod expiry;
mod pending;
mod write_buffer;

use std::io::{ErrorKind, Read};
use std::net::{IpAddr, Shutdown, TcpStream};

use doortrack_protocols::{Protocol, RequestReader};
use doortrack_time::TenthMillis;

pub use self::expiry::{EvictionPriority, Timeouts};
pub use self::pending::{CompleteRequest, PendingRequest, PendingRequests, Stream};
pub use self::write_buffer::WriteBuffer;
use super::bounds::{MAX_CLOSING_SWEEPS, MAX_INCOMPLETE_BYTES, MAX_UNREAD_ANSWER_BYTES};
use super::termination::Termination;

/// What the poller is to report of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// That it can be read.
    pub readable: bool,
    /// That it can be written.
    pub writable: bool,
}

/// How far the reading of requests has come.
struct ReadState {
    reader: RequestReader,
    /// A complete request has arrived, or a ping of the protocol.
    carried_request: bool,
    /// Since when a complete request is due: from the start, and while one is incomplete.
    request_due_since: Option<TenthMillis>,
    /// Bytes split since the last complete request.
    incomplete_bytes: usize,
    /// Input that was read and waits to be split until the peer has read answers.
    suspended: Option<Vec<u8>>,
    /// Sweeps that met a half request while the connection was being closed.
    closing_sweeps: u8,
    /// Something unreadable arrived: it is not read again before the next sweep, which bounds how often a
    /// client can repeat that. A dispatcher that passed it on for its client waits as long.
    paused: bool,
}

/// How far a connection is on its way to being closed.
struct Lifecycle {
    /// Requests are read. Not so once the peer has half-closed it, sent what is malformed, or it lingers.
    reading: bool,
    /// This side has half-closed it and discards what still comes until the peer closes too.
    lingering: bool,
    /// The peer has sent its last byte.
    peer_finished: bool,
    /// It is closed, for this reason, once all pending requests are answered.
    close_when_answered: Option<Termination>,
    /// It is closed, for this reason, at the end of the present turn.
    close_now: Option<Termination>,
}

/// A client's connection.
pub struct Connection {
    /// Nonblocking; registered with the poller while the connection is in the table.
    pub sock: TcpStream,
    /// The client's address.
    pub peer: IpAddr,
    /// The index of the listener that accepted it.
    pub listener: usize,
    /// Requests that have not been answered.
    pub pending: PendingRequests,
    /// Answers that the peer has not taken.
    pub out: WriteBuffer,
    /// When anything was last read, or the peer last took a part of an answer.
    pub last_activity: TenthMillis,
    /// What the poller reports of it at present.
    pub registered: Interest,
    /// It is in the table's flush queue.
    pub flush_queued: bool,
    input: ReadState,
    lifecycle: Lifecycle,
}

impl Connection {
    /// A connection that was accepted just now and is registered for reading.
    pub fn new(
        sock: TcpStream,
        peer: IpAddr,
        listener: usize,
        protocol: Protocol,
        now: TenthMillis,
    ) -> Connection {
        Connection {
            sock,
            peer,
            listener,
            pending: PendingRequests::default(),
            out: WriteBuffer::default(),
            last_activity: now,
            registered: Interest {
                readable: true,
                writable: false,
            },
            flush_queued: false,
            input: ReadState {
                reader: RequestReader::new(protocol),
                carried_request: false,
                request_due_since: Some(now),
                incomplete_bytes: 0,
                suspended: None,
                closing_sweeps: 0,
                paused: false,
            },
            lifecycle: Lifecycle {
                reading: true,
                lingering: false,
                peer_finished: false,
                close_when_answered: None,
                close_now: None,
            },
        }
    }

    // --- State ---

    /// The protocol that the client speaks.
    pub fn protocol(&self) -> Protocol {
        self.input.reader.protocol()
    }

    /// Whether requests are read from it.
    pub fn is_reading(&self) -> bool {
        self.lifecycle.reading
    }

    /// Whether this side has half-closed it and waits for the peer to close.
    pub fn is_lingering(&self) -> bool {
        self.lifecycle.lingering
    }

    /// Whether no request is pending and no answer unread.
    pub fn is_idle(&self) -> bool {
        let nothing_read = self.input.reader.at_boundary() && !self.is_suspended();
        self.pending.is_empty() && self.out.is_empty() && nothing_read
    }

    /// Whether this node closes it once all pending requests are answered: one that begins now is too late.
    pub fn is_closing(&self) -> bool {
        matches!(
            self.lifecycle.close_when_answered,
            Some(Termination::RequestTimeout | Termination::ListenerClosed | Termination::Shutdown)
        )
    }

    /// Whether so many answers are unread that its requests have to wait.
    pub fn is_backlogged(&self) -> bool {
        self.out.len() >= MAX_UNREAD_ANSWER_BYTES
    }

    /// Whether input that was read waits to be split.
    pub fn is_suspended(&self) -> bool {
        self.input.suspended.is_some()
    }

    /// Whether further requests of it can be taken at present.
    pub fn accepts_requests(&self) -> bool {
        self.lifecycle.reading && self.lifecycle.close_now.is_none() && !self.is_backlogged()
    }

    /// Bytes that are kept because its peer does not read: answers, and input that waits for them.
    pub fn backlog_bytes(&self) -> usize {
        self.out.len() + self.suspended_bytes()
    }

    /// Bytes of input that was read and waits to be split.
    pub fn suspended_bytes(&self) -> usize {
        self.input.suspended.as_ref().map_or(0, Vec::len)
    }

    /// What the poller should report of it.
    pub fn interest(&self) -> Interest {
        let reads = self.lifecycle.reading && !self.input.paused && !self.is_backlogged();
        Interest {
            readable: reads || self.lifecycle.lingering,
            writable: !self.out.is_empty(),
        }
    }

    // --- Reading ---

    /// Reads once without blocking; how many bytes came.
    ///
    /// # Errors
    /// The peer has finished, or the connection is broken.
    pub fn read(&mut self, buffer: &mut [u8], now: TenthMillis) -> Result<usize, Termination> {
        let Lifecycle {
            reading, lingering, ..
        } = self.lifecycle;
        match self.sock.read(buffer) {
            // The poller reports nothing but errors of a connection that is not read.
            Ok(_) if !reading && !lingering => Err(Termination::Reset),
            Ok(0) => {
                self.lifecycle.peer_finished = true;
                Err(if self.is_idle() {
                    Termination::Closed
                } else {
                    Termination::HalfClosed
                })
            }
            Ok(count) => {
                self.last_activity = now;
                Ok(count)
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Ok(0),
            Err(_) => Err(Termination::Reset),
        }
    }

    /// Keeps input that was read, to be split once the peer has read answers.
    pub fn suspend(&mut self, input: &[u8]) {
        self.input.suspended = Some(input.to_vec());
    }

    /// Takes the input that waits to be split, if any does.
    pub fn take_suspended(&mut self) -> Option<Vec<u8>> {
        self.input.suspended.take()
    }

    /// Splits what was read into events of requests.
    pub fn reader(&mut self) -> &mut RequestReader {
        &mut self.input.reader
    }

    /// Accounts for bytes that were split; whether too many have come without completing a request.
    pub fn record_parsed(&mut self, bytes: usize, now: TenthMillis) -> bool {
        let between_requests = self.input.reader.at_boundary() && !self.pending.any_incomplete();
        if between_requests && self.input.carried_request {
            self.input.request_due_since = None;
        } else {
            self.input.request_due_since.get_or_insert(now);
        }
        self.exceeds_incomplete_bytes(bytes)
    }

    /// Accounts for bytes that were discarded while it lingers; whether that is enough of them.
    pub fn record_discarded(&mut self, bytes: usize) -> bool {
        self.exceeds_incomplete_bytes(bytes)
    }

    fn exceeds_incomplete_bytes(&mut self, bytes: usize) -> bool {
        self.input.incomplete_bytes += bytes;
        self.input.incomplete_bytes > MAX_INCOMPLETE_BYTES
    }

    /// Ends one stream of a request; the request, if that completes it.
    pub fn end_stream(&mut self, wire_id: u16, stream: Stream) -> Option<CompleteRequest> {
        let request = self.pending.end_stream(wire_id, stream)?;
        self.input.carried_request = true;
        self.input.request_due_since = None;
        self.input.incomplete_bytes = 0;
        Some(request)
    }

    /// The peer sent its protocol's health check, after which nothing else can come.
    pub fn finish_with_ping(&mut self) {
        self.input.carried_request = true;
        self.input.request_due_since = None;
        self.close_when_answered(Termination::Closed);
    }

    /// To be called by each sweep: whether half requests have stayed so for too long while it is being closed.
    pub fn incomplete_requests_overdue(&mut self) -> bool {
        if !self.is_closing() || !self.pending.any_incomplete() {
            return false;
        }
        self.input.closing_sweeps = self.input.closing_sweeps.saturating_add(1);
        self.input.closing_sweeps > MAX_CLOSING_SWEEPS
    }

    /// Reads nothing more before the next sweep.
    pub fn pause_reading(&mut self) {
        self.input.paused = true;
    }

    /// Reads again; whether it was paused.
    pub fn resume_reading(&mut self) -> bool {
        std::mem::take(&mut self.input.paused)
    }

    // --- Writing and closing ---

    /// Writes what the peer takes.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn write(&mut self, now: TenthMillis) -> Result<(), Termination> {
        let written = self.write_early();
        if self.out.take_progress() {
            self.last_activity = now;
        }
        written
    }

    /// Writes what the peer takes before the end of the turn; that counts as activity with the next
    /// [`Connection::write`].
    ///
    /// # Errors
    /// The connection is broken.
    pub fn write_early(&mut self) -> Result<(), Termination> {
        self.out.write_to(&self.sock)
    }

    /// Closes it at the end of the present turn, whatever is pending.
    pub fn close_now(&mut self, termination: Termination) {
        self.lifecycle.close_now = Some(termination);
    }

    /// Why it is to be closed at the end of the present turn, if it is.
    pub fn immediate_close(&self) -> Option<Termination> {
        self.lifecycle.close_now
    }

    /// Closes it once all pending requests are answered.
    pub fn close_when_answered(&mut self, termination: Termination) {
        self.lifecycle.close_when_answered = Some(termination);
    }

    /// Why it is to be closed after the last answer, if it is.
    pub fn deferred_close(&self) -> Option<Termination> {
        self.lifecycle.close_when_answered
    }

    /// Why it is to be closed now that the last answer has been written, if it is.
    pub fn due_close(&self) -> Option<Termination> {
        self.lifecycle
            .close_when_answered
            .filter(|_| self.pending.is_empty() && self.out.is_empty() && !self.is_suspended())
    }

    /// Reads no more requests and drops incomplete ones, whose rest can't come; how many those were.
    pub fn stop_reading(&mut self, termination: Termination) -> usize {
        self.lifecycle.reading = false;
        self.close_when_answered(termination);
        self.pending.remove_incomplete()
    }

    /// Half-closes it after the last answer, to discard what comes until the peer closes too; false if there is
    /// nothing to wait for. Closing at once, with bytes unread or on their way, would make the system reset the
    /// connection, and the peer could lose an answer that it has not read yet.
    pub fn linger(&mut self, termination: Termination, now: TenthMillis) -> bool {
        self.lifecycle.reading = false;
        self.close_when_answered(termination);
        self.lifecycle.peer_finished |= matches!(self.sock.peek(&mut [0]), Ok(0));
        if self.lifecycle.lingering || self.lifecycle.peer_finished {
            return self.lifecycle.lingering;
        }
        self.lifecycle.lingering = self.sock.shutdown(Shutdown::Write).is_ok();
        self.input.request_due_since = Some(now);
        self.input.incomplete_bytes = 0;
        self.lifecycle.lingering
    }
}
