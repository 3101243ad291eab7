//! Reads a complete response from bytes that arrive in parts.

use super::head::{find_head_end, parse_head};
use super::{MAX_HEAD_BYTES, Response};
use crate::fastcgi::{ProtocolStatus, ResponseRecord, ResponseSplitter};
use crate::{Protocol, ProtocolError};

/// How a response ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// The response is complete.
    Complete(Response),
    /// The peer reports that it did not run the request.
    Refused(ProtocolStatus),
}

/// Reads the response to one request, which may arrive in parts of any length. A FastCGI response
/// is complete after its end record. A uwsgi response is complete after `Content-Length` bytes of
/// body or, without that header, when the peer closes the connection.
#[derive(Debug)]
pub struct ResponseReader {
    protocol: Protocol,
    /// Request id, used with FastCGI only.
    id: u16,
    records: ResponseSplitter,
    /// Bytes of the head while it is incomplete.
    raw_head: Vec<u8>,
    head_complete: bool,
    content_length: Option<usize>,
    max_body_bytes: usize,
    response: Response,
}

impl ResponseReader {
    /// Creates a reader for the response to request `id`, whose body may have up to
    /// `max_body_bytes`.
    pub fn new(protocol: Protocol, id: u16, max_body_bytes: usize) -> ResponseReader {
        ResponseReader {
            protocol,
            id,
            records: ResponseSplitter::default(),
            raw_head: Vec::new(),
            head_complete: false,
            content_length: None,
            max_body_bytes,
            response: Response::default(),
        }
    }

    /// Returns true if any byte of a response was read.
    pub fn has_begun(&self) -> bool {
        self.head_complete || !self.raw_head.is_empty()
    }

    /// Reads `input` up to the end of the response and returns the response once it is complete.
    /// The reader must not be used after that.
    ///
    /// # Errors
    /// The head is invalid or too long, the body exceeds its maximum size, or the response ends
    /// too early.
    pub fn read(&mut self, input: &mut &[u8]) -> Result<Option<ResponseOutcome>, ProtocolError> {
        match self.protocol {
            Protocol::Uwsgi => {
                self.read_content(std::mem::take(input))?;
                let body_bytes = self.response.body.len();
                let complete = self.head_complete && self.content_length == Some(body_bytes);
                Ok(complete.then(|| ResponseOutcome::Complete(self.take_response())))
            }
            Protocol::FastCgi => self.read_records(input),
        }
    }

    fn read_records(
        &mut self,
        input: &mut &[u8],
    ) -> Result<Option<ResponseOutcome>, ProtocolError> {
        let mut records = std::mem::take(&mut self.records);
        let mut outcome = None;
        while outcome.is_none()
            && let Some(record) = records.next(input)?
        {
            match record {
                ResponseRecord::Stdout { id, bytes } if id == self.id => {
                    self.read_content(bytes)?
                }
                ResponseRecord::End { id, status } if id == self.id => {
                    outcome = Some(self.on_end(status)?);
                }
                // Records of a request that was aborted.
                _ => {}
            }
        }
        self.records = records;
        Ok(outcome)
    }

    fn on_end(&mut self, status: Option<ProtocolStatus>) -> Result<ResponseOutcome, ProtocolError> {
        match status {
            Some(ProtocolStatus::Complete) => self.complete().map(ResponseOutcome::Complete),
            Some(status) if !self.has_begun() => Ok(ResponseOutcome::Refused(status)),
            _ => Err(ProtocolError("invalid end record")),
        }
    }

    /// Handles an orderly close by the peer; returns the response if that completes it.
    ///
    /// # Errors
    /// The response is incomplete.
    pub fn on_close(&mut self) -> Result<Response, ProtocolError> {
        match self.protocol {
            Protocol::Uwsgi => self.complete(),
            Protocol::FastCgi => Err(ProtocolError("connection closed before the end record")),
        }
    }

    fn complete(&mut self) -> Result<Response, ProtocolError> {
        if !self.has_begun() {
            return Err(ProtocolError("empty response"));
        }
        if !self.head_complete {
            return Err(ProtocolError("truncated head"));
        }
        let body_bytes = self.response.body.len();
        if self
            .content_length
            .is_some_and(|length| body_bytes < length)
        {
            return Err(ProtocolError("truncated body"));
        }
        Ok(self.take_response())
    }

    fn take_response(&mut self) -> Response {
        std::mem::take(&mut self.response)
    }

    /// Reads bytes of the head and body, without the framing of the protocol.
    fn read_content(&mut self, mut bytes: &[u8]) -> Result<(), ProtocolError> {
        if !self.head_complete && !self.read_head(&mut bytes)? {
            return Ok(());
        }
        let remaining = self
            .content_length
            .map_or(usize::MAX, |length| length - self.response.body.len());
        self.response.excess |= bytes.len() > remaining;
        let bytes = &bytes[..bytes.len().min(remaining)];
        if self.response.body.len() + bytes.len() > self.max_body_bytes {
            return Err(ProtocolError("the body exceeds its maximum size"));
        }
        self.response.body.extend(bytes);
        Ok(())
    }

    /// Reads bytes of the head and advances `bytes` past them. Returns true if the head is complete.
    fn read_head(&mut self, bytes: &mut &[u8]) -> Result<bool, ProtocolError> {
        let before = self.raw_head.len();
        let taken = bytes.len().min(MAX_HEAD_BYTES - before);
        self.raw_head.extend(&bytes[..taken]);
        let Some(end) = find_head_end(&self.raw_head, before) else {
            if self.raw_head.len() < MAX_HEAD_BYTES {
                return Ok(false);
            }
            return Err(ProtocolError("the head exceeds its maximum size"));
        };
        *bytes = &bytes[end - before..];
        let raw = std::mem::take(&mut self.raw_head);
        self.response = parse_head(self.protocol, &raw[..end])?;
        self.content_length = self.response.content_length()?;
        self.head_complete = true;
        Ok(true)
    }
}
