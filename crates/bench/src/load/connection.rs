//! One connection to a node and the requests in flight on it.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Instant;

use doortrack_protocols::fastcgi::{ProtocolStatus, ResponseRecord, ResponseSplitter};

const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Highest request identifier of a connection; after it, identifiers start again at 1.
const MAX_REQUEST_ID: u16 = 30_000;
/// Maximum number of bytes kept of a FastCGI answer, enough for its status.
const KEPT_ANSWER_BYTES: usize = 16;

/// One connection to a node.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    output: Vec<u8>,
    written: usize,
    in_flight: Vec<InFlight>,
    records: ResponseSplitter,
    last_id: u16,
    polls_writable: bool,
}

struct InFlight {
    id: u16,
    due: Instant,
    /// The answer, of which only the start is kept for FastCGI.
    answer: Vec<u8>,
}

/// A request that has ended.
pub(super) struct FinishedRequest {
    pub(super) due: Instant,
    /// True if the answer has status 200 and, for FastCGI, is complete.
    pub(super) succeeded: bool,
}

impl Connection {
    pub(super) fn new(stream: TcpStream) -> Connection {
        Connection {
            stream,
            output: Vec::new(),
            written: 0,
            in_flight: Vec::new(),
            records: ResponseSplitter::default(),
            last_id: 0,
            polls_writable: false,
        }
    }

    /// Appends a request to the output buffer; `append` is called with the buffer and the request identifier.
    pub(super) fn queue_request(&mut self, due: Instant, append: impl FnOnce(&mut Vec<u8>, u16)) {
        self.last_id = self.last_id % MAX_REQUEST_ID + 1;
        append(&mut self.output, self.last_id);
        self.in_flight.push(InFlight {
            id: self.last_id,
            due,
            answer: Vec::new(),
        });
    }

    /// Writes as much of the output buffer as the socket accepts.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        while self.written < self.output.len() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(count) => self.written += count,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        self.written = 0;
        self.output.clear();
        Ok(())
    }

    pub(super) fn is_write_pending(&self) -> bool {
        !self.output.is_empty()
    }

    /// Returns true if the poller's interest in writability has to change.
    pub(super) fn update_write_interest(&mut self) -> bool {
        let has_changed = self.is_write_pending() != self.polls_writable;
        self.polls_writable = self.is_write_pending();
        has_changed
    }

    /// Reads part of the only answer. Returns true if the connection, and with it the answer, has ended.
    pub(super) fn read_until_close(&mut self) -> io::Result<bool> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        let Some(count) = self.read(&mut buffer)? else {
            return Ok(false);
        };
        self.in_flight[0].answer.extend(&buffer[..count]);
        Ok(count == 0)
    }

    /// Returns the requests of a connection that has ended.
    pub(super) fn into_finished(self) -> Vec<FinishedRequest> {
        self.in_flight
            .into_iter()
            .map(|request| FinishedRequest {
                due: request.due,
                succeeded: request.answer.starts_with(b"HTTP/1.1 200"),
            })
            .collect()
    }

    /// Reads FastCGI records. Returns the requests that have ended.
    pub(super) fn read_records(&mut self) -> io::Result<Vec<FinishedRequest>> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        let Some(count) = self.read(&mut buffer)? else {
            return Ok(Vec::new());
        };
        if count == 0 {
            return Err(io::Error::other("the node closed a connection"));
        }
        let mut input = &buffer[..count];
        let mut finished = Vec::new();
        while let Some(record) = self.records.next(&mut input).map_err(io::Error::other)? {
            match record {
                ResponseRecord::Stdout { id, bytes } => {
                    if let Some(index) = position(&self.in_flight, id) {
                        self.in_flight[index].keep_start(bytes);
                    }
                }
                ResponseRecord::End { id, status } => {
                    if let Some(index) = position(&self.in_flight, id) {
                        finished.push(self.in_flight.swap_remove(index).finish(status));
                    }
                }
            }
        }
        Ok(finished)
    }

    /// Reads available bytes; returns `None` if there are none.
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<Option<usize>> {
        match self.stream.read(buffer) {
            Ok(count) => Ok(Some(count)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(None),
            Err(e) => Err(e),
        }
    }
}

fn position(in_flight: &[InFlight], id: u16) -> Option<usize> {
    in_flight.iter().position(|request| request.id == id)
}

impl InFlight {
    fn keep_start(&mut self, bytes: &[u8]) {
        let remaining_bytes = KEPT_ANSWER_BYTES.saturating_sub(self.answer.len());
        self.answer
            .extend(&bytes[..bytes.len().min(remaining_bytes)]);
    }

    fn finish(self, status: Option<ProtocolStatus>) -> FinishedRequest {
        let is_complete = status == Some(ProtocolStatus::Complete);
        FinishedRequest {
            due: self.due,
            succeeded: is_complete && self.answer.starts_with(b"Status: 200"),
        }
    }
}
