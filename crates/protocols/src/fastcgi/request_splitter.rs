//! Splits the bytes of a FastCGI connection from a web server into events.

use super::record_reader::{RecordEvent, RecordReader};
use super::{
    ABORT_REQUEST, BEGIN_REQUEST, BODY_BYTES, DATA, GET_VALUES, KEEP_CONNECTION, MANAGEMENT_ID,
    PARAMS, STDIN, UNKNOWN_TYPE, VERSION,
};
use crate::{ProtocolError, RequestEvent};

/// Splits a byte stream, which may arrive in parts of any length, into events.
#[derive(Debug, Default)]
pub struct RequestSplitter {
    records: RecordReader,
    /// Content of the current `BEGIN_REQUEST`.
    begin: [u8; BODY_BYTES],
    /// Number of bytes of `begin` that were read.
    begin_len: usize,
}

impl RequestSplitter {
    /// Returns true if the last record was read completely.
    pub fn at_boundary(&self) -> bool {
        self.records.at_boundary()
    }

    /// Returns the next event and advances `input` past it, or `None` if `input` is exhausted.
    ///
    /// # Errors
    /// The stream contains a record that a web server must not send.
    pub fn next<'a>(
        &mut self,
        input: &mut &'a [u8],
    ) -> Result<Option<RequestEvent<'a>>, ProtocolError> {
        while let Some(record_event) = self.records.next(input) {
            let event = match record_event {
                RecordEvent::Header => self.on_header()?,
                RecordEvent::Content(bytes) => self.on_content(bytes),
            };
            if event.is_some() {
                return Ok(event);
            }
        }
        Ok(None)
    }

    /// Returns the event of a record that is determined by its header.
    fn on_header(&mut self) -> Result<Option<RequestEvent<'static>>, ProtocolError> {
        let (record_type, id) = (self.records.record_type(), self.records.request_id());
        let length = self.records.content_remaining();
        self.begin_len = 0;
        if self.records.version() != VERSION {
            return Err(ProtocolError("unsupported version"));
        }
        let event = match (record_type, id) {
            (GET_VALUES, MANAGEMENT_ID) => Some(RequestEvent::GetValues),
            (_, MANAGEMENT_ID) if record_type > UNKNOWN_TYPE => {
                Some(RequestEvent::UnknownType { record_type })
            }
            (BEGIN_REQUEST..=DATA, MANAGEMENT_ID) => {
                return Err(ProtocolError("an application record with request id 0"));
            }
            (BEGIN_REQUEST, _) if length != BODY_BYTES => {
                return Err(ProtocolError(
                    "the content of a BEGIN_REQUEST is not 8 bytes long",
                ));
            }
            (BEGIN_REQUEST | DATA, _) => None,
            (ABORT_REQUEST, _) => Some(RequestEvent::Abort { id }),
            (PARAMS, _) if length == 0 => Some(RequestEvent::ParamsEnd { id }),
            (STDIN, _) if length == 0 => Some(RequestEvent::StdinEnd { id }),
            (PARAMS | STDIN, _) => None,
            _ => {
                return Err(ProtocolError(
                    "a record that only an application sends, or of an unknown type",
                ));
            }
        };
        Ok(event)
    }

    fn on_content<'a>(&mut self, bytes: &'a [u8]) -> Option<RequestEvent<'a>> {
        let id = self.records.request_id();
        match self.records.record_type() {
            PARAMS => Some(RequestEvent::Params { id, bytes }),
            STDIN => Some(RequestEvent::Stdin { id, bytes }),
            BEGIN_REQUEST => self.on_begin(id, bytes),
            _ => None,
        }
    }

    fn on_begin(&mut self, id: u16, bytes: &[u8]) -> Option<RequestEvent<'static>> {
        self.begin[self.begin_len..self.begin_len + bytes.len()].copy_from_slice(bytes);
        self.begin_len += bytes.len();
        if self.records.content_remaining() > 0 {
            return None;
        }
        let [role_high, role_low, flags, ..] = self.begin;
        Some(RequestEvent::Begin {
            id,
            role: u16::from_be_bytes([role_high, role_low]),
            keep_connection: flags & KEEP_CONNECTION != 0,
        })
    }
}
