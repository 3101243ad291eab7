//! Splits the bytes of a FastCGI connection from an application into records of responses.

use super::record_reader::{RecordEvent, RecordReader};
use super::{
    BODY_BYTES, END_REQUEST, GET_VALUES_RESULT, ProtocolStatus, STDERR, STDOUT, UNKNOWN_TYPE,
    VERSION,
};
use crate::ProtocolError;

/// Offset of the status in the content of an `END_REQUEST`.
const STATUS_OFFSET: usize = 4;

/// A record of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseRecord<'a> {
    /// Standard output.
    Stdout {
        /// Request id.
        id: u16,
        /// A part of the output, as it arrived.
        bytes: &'a [u8],
    },
    /// The end of the response.
    End {
        /// Request id.
        id: u16,
        /// Status, or `None` if it is unknown.
        status: Option<ProtocolStatus>,
    },
}

/// Splits a byte stream, which may arrive in parts of any length, into records. Standard error and
/// management records are skipped.
#[derive(Debug, Default)]
pub struct ResponseSplitter {
    records: RecordReader,
    /// Content of the current `END_REQUEST`.
    end: [u8; BODY_BYTES],
    /// Number of bytes of `end` that were read.
    end_len: usize,
}

impl ResponseSplitter {
    /// Returns true if the last record was read completely.
    pub fn at_boundary(&self) -> bool {
        self.records.at_boundary()
    }

    /// Returns the next record and advances `input` past it, or `None` if `input` is exhausted.
    ///
    /// # Errors
    /// The stream contains a record that an application must not send.
    pub fn next<'a>(
        &mut self,
        input: &mut &'a [u8],
    ) -> Result<Option<ResponseRecord<'a>>, ProtocolError> {
        while let Some(event) = self.records.next(input) {
            let id = self.records.request_id();
            match (event, self.records.record_type()) {
                (RecordEvent::Header, _) => self.on_header()?,
                (RecordEvent::Content(bytes), STDOUT) => {
                    return Ok(Some(ResponseRecord::Stdout { id, bytes }));
                }
                (RecordEvent::Content(bytes), END_REQUEST) => {
                    self.end[self.end_len..self.end_len + bytes.len()].copy_from_slice(bytes);
                    self.end_len += bytes.len();
                    if self.records.content_remaining() == 0 {
                        let status = ProtocolStatus::from_byte(self.end[STATUS_OFFSET]);
                        return Ok(Some(ResponseRecord::End { id, status }));
                    }
                }
                _ => {}
            }
        }
        Ok(None)
    }

    fn on_header(&mut self) -> Result<(), ProtocolError> {
        self.end_len = 0;
        match (self.records.version(), self.records.record_type()) {
            (VERSION, END_REQUEST) if self.records.content_remaining() != BODY_BYTES => Err(
                ProtocolError("the content of an END_REQUEST is not 8 bytes long"),
            ),
            (VERSION, END_REQUEST | STDOUT | STDERR | GET_VALUES_RESULT | UNKNOWN_TYPE) => Ok(()),
            (VERSION, _) => Err(ProtocolError("a record that only a web server sends")),
            _ => Err(ProtocolError("unsupported version")),
        }
    }
}
