//! One client connection: its pending requests, the state of reading them, and the answers still to be written.

mod closing;
mod expiry;
mod pending;
mod write_buffer;

use std::io::Read;
use std::net::{IpAddr, TcpStream};

use doortrack_config::transient::is_without_effect;
use doortrack_protocols::{Protocol, RequestReader};
use doortrack_time::TenthMillis;

use self::closing::Lifecycle;
pub use self::expiry::{EvictionPriority, Timeouts};
pub use self::pending::{CompleteRequest, PendingRequest, PendingRequests, PendingUsage, Stream};
pub use self::write_buffer::WriteBuffer;
use super::bounds::{MAX_CLOSING_SWEEPS, MAX_INCOMPLETE_BYTES, MAX_UNREAD_ANSWER_BYTES};
use super::termination::Termination;

/// The events that the poller reports for a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// The poller reports when the socket can be read.
    pub readable: bool,
    /// The poller reports when the socket can be written.
    pub writable: bool,
}

/// The state of reading requests from a connection.
struct ReadState {
    reader: RequestReader,
    /// A complete request or a protocol-level ping has arrived.
    carried_request: bool,
    /// Since when the node has waited for a complete request: set on a new connection and while a request is
    /// incomplete.
    request_due_since: Option<TenthMillis>,
    /// Bytes parsed since the last complete request.
    incomplete_bytes: usize,
    /// Input that was read and is parsed once the peer has read enough answers.
    suspended: Option<Vec<u8>>,
    /// Number of sweeps that found an incomplete request while the connection was being closed.
    closing_sweeps: u8,
    /// An unreadable request arrived. The connection is not read again before the next sweep, which limits how
    /// often a client can send such requests. A dispatcher that forwarded one for its client waits as long.
    paused: bool,
}

/// A client connection.
pub struct Connection {
    /// The nonblocking socket, registered with the poller while the connection is in the table.
    pub sock: TcpStream,
    /// The client's address.
    pub peer: IpAddr,
    /// The index of the listener that accepted it.
    pub listener: usize,
    /// Requests that have not been answered.
    pub pending: PendingRequests,
    /// Answers that have not been written to the socket.
    pub out: WriteBuffer,
    /// When bytes were last read from or written to the socket.
    pub last_activity: TenthMillis,
    /// The events that the poller currently reports for the connection.
    pub registered: Interest,
    /// The connection is in the table's flush queue.
    pub flush_queued: bool,
    input: ReadState,
    lifecycle: Lifecycle,
}

impl Connection {
    /// Creates the state of a new connection, which is registered with the poller for reading.
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
            lifecycle: Lifecycle::open(),
        }
    }

    // --- State ---

    /// Returns the client's protocol.
    pub fn protocol(&self) -> Protocol {
        self.input.reader.protocol()
    }

    /// Returns true if requests are read from the connection.
    pub fn is_reading(&self) -> bool {
        self.lifecycle.reading
    }

    /// Returns true if the node has half-closed the connection and waits for the peer to close it too.
    pub fn is_lingering(&self) -> bool {
        self.lifecycle.lingering
    }

    /// Returns true if no request is pending or partly read, and all answers have been written.
    pub fn is_idle(&self) -> bool {
        let no_partial_input = self.input.reader.at_boundary() && !self.is_suspended();
        self.pending.is_empty() && self.out.is_empty() && no_partial_input
    }

    /// Returns true if new requests on the connection are not run, as the node is about to close the connection.
    pub fn is_closing(&self) -> bool {
        self.lifecycle.refusing
    }

    /// Returns true if so many bytes of answers are unread that further requests have to wait.
    pub fn is_backlogged(&self) -> bool {
        self.out.len() >= MAX_UNREAD_ANSWER_BYTES
    }

    /// Returns true if input that was read waits to be parsed.
    pub fn is_suspended(&self) -> bool {
        self.input.suspended.is_some()
    }

    /// Returns true if further requests can currently be parsed from the connection's input.
    pub fn accepts_requests(&self) -> bool {
        self.lifecycle.reading && self.lifecycle.close_now.is_none() && !self.is_backlogged()
    }

    /// Returns the bytes kept because the peer does not read its answers: the answers and the suspended input.
    pub fn backlog_bytes(&self) -> usize {
        self.out.len() + self.suspended_bytes()
    }

    /// Returns the bytes of input that was read and waits to be parsed.
    pub fn suspended_bytes(&self) -> usize {
        self.input.suspended.as_ref().map_or(0, Vec::len)
    }

    /// Returns the bytes of input that the system holds for the socket; 0 if that is unknown.
    pub fn unread_bytes(&self) -> usize {
        rustix::io::ioctl_fionread(&self.sock).map_or(0, |bytes| bytes as usize)
    }

    /// Returns the events that the poller should report for the connection.
    pub fn interest(&self) -> Interest {
        let may_read = self.lifecycle.reading && !self.input.paused && !self.is_backlogged();
        let awaits_end = self.lifecycle.lingering && !self.lifecycle.has_late_input;
        Interest {
            readable: may_read || awaits_end,
            writable: !self.out.is_empty(),
        }
    }

    // --- Reading ---

    /// Reads once without blocking and returns the number of bytes read.
    ///
    /// # Errors
    /// The peer has closed its sending side, or the connection is broken.
    pub fn read(&mut self, buffer: &mut [u8], now: TenthMillis) -> Result<usize, Termination> {
        match self.sock.read(buffer) {
            // For a connection that is not read, the poller reports nothing but errors.
            Ok(_) if !self.lifecycle.reading => Err(Termination::Reset),
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
            Err(e) if is_without_effect(&e) => Ok(0),
            Err(_) => Err(Termination::Reset),
        }
    }

    /// Keeps input that was read, to be parsed once the peer has read enough answers.
    pub fn suspend(&mut self, input: &[u8]) {
        self.input.suspended = Some(input.to_vec());
    }

    /// Takes the input that waits to be parsed, if there is any.
    pub fn take_suspended(&mut self) -> Option<Vec<u8>> {
        self.input.suspended.take()
    }

    /// Returns the parser that turns input into request events.
    pub fn reader(&mut self) -> &mut RequestReader {
        &mut self.input.reader
    }

    /// Counts bytes that were parsed. Returns true if too many have arrived without completing a request.
    pub fn record_parsed(&mut self, bytes: usize, now: TenthMillis) -> bool {
        let between_requests = self.input.reader.at_boundary() && !self.pending.any_incomplete();
        if between_requests && self.input.carried_request {
            self.input.request_due_since = None;
        } else {
            self.input.request_due_since.get_or_insert(now);
        }
        self.input.incomplete_bytes += bytes;
        self.input.incomplete_bytes > MAX_INCOMPLETE_BYTES
    }

    /// Ends one stream of a request. Returns the request if that completes it.
    pub fn end_stream(&mut self, wire_id: u16, stream: Stream) -> Option<CompleteRequest> {
        let request = self.pending.end_stream(wire_id, stream)?;
        self.input.carried_request = true;
        self.input.request_due_since = None;
        self.input.incomplete_bytes = 0;
        Some(request)
    }

    /// Handles a protocol-level health check, after which the peer sends nothing else: the connection closes once
    /// the health check is answered.
    pub fn finish_with_ping(&mut self) {
        self.input.carried_request = true;
        self.input.request_due_since = None;
        self.close_at_peers_wish();
    }

    /// Returns true if the connection is being closed and has had incomplete requests for more than
    /// [`MAX_CLOSING_SWEEPS`] sweeps. Each sweep calls this once.
    pub fn incomplete_requests_overdue(&mut self) -> bool {
        if !self.is_closing() || !self.pending.any_incomplete() {
            return false;
        }
        self.input.closing_sweeps = self.input.closing_sweeps.saturating_add(1);
        self.input.closing_sweeps > MAX_CLOSING_SWEEPS
    }

    /// Stops reading until the next sweep.
    pub fn pause_reading(&mut self) {
        self.input.paused = true;
    }

    /// Resumes reading. Returns true if reading was paused.
    pub fn resume_reading(&mut self) -> bool {
        std::mem::take(&mut self.input.paused)
    }

    // --- Writing ---

    /// Writes as many bytes of the answers as the socket accepts.
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

    /// Like [`Connection::write`], but before the end of the turn. Progress counts as activity only at the next
    /// [`Connection::write`].
    ///
    /// # Errors
    /// The connection is broken.
    pub fn write_early(&mut self) -> Result<(), Termination> {
        self.out.write_to(&self.sock)
    }
}
