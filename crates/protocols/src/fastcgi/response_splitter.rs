//! Splits what an application sends into the records of its responses.

use super::record_reader::{RecordEvent, RecordReader};
use super::{
    BODY_BYTES, END_REQUEST, GET_VALUES_RESULT, ProtocolStatus, STDERR, STDOUT, UNKNOWN_TYPE,
    VERSION,
};
use crate::ProtocolError;

/// The byte of an `END_REQUEST` that holds its status.
const STATUS_OFFSET: usize = 4;

/// A part of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseRecord<'a> {
    /// Standard output.
    Stdout {
        /// The request.
        id: u16,
        /// A part of the output, as it was read.
        bytes: &'a [u8],
    },
    /// The response has ended.
    End {
        /// The request.
        id: u16,
        /// None if the status is unknown.
        status: Option<ProtocolStatus>,
    },
}

/// Splits what an application sends, in parts of any length. Standard error and answers to
/// management records are skipped.
#[derive(Debug, Default)]
pub struct ResponseSplitter {
    records: RecordReader,
    /// The content of an `END_REQUEST`.
    end: [u8; BODY_BYTES],
    /// Bytes of it that were read.
    end_len: usize,
}

impl ResponseSplitter {
    /// Whether the last record was read to its end.
    pub fn at_boundary(&self) -> bool {
        self.records.at_boundary()
    }

    /// The next record of `input`, which is advanced past it; none once the input is used up.
    ///
    /// # Errors
    /// The stream is not that of an application.
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
            (VERSION, END_REQUEST) if self.records.content_remaining() != BODY_BYTES => {
                Err(ProtocolError("an end of another length than 8"))
            }
            (VERSION, END_REQUEST | STDOUT | STDERR | GET_VALUES_RESULT | UNKNOWN_TYPE) => Ok(()),
            (VERSION, _) => Err(ProtocolError("a record that only a web server sends")),
            _ => Err(ProtocolError("another version than 1")),
        }
    }
}
