//! Splits what a web server sends into the events of its request.

use super::block_scanner::BlockScanner;
use super::{HEADER_BYTES, PING, REQUEST};
use crate::fastcgi::{RESPONDER, split_front};
use crate::{ProtocolError, RequestEvent};

/// The id of the one request on a connection.
const REQUEST_ID: u16 = 0;

const BEGIN: RequestEvent = RequestEvent::Begin {
    id: REQUEST_ID,
    role: RESPONDER,
    keep_connection: false,
};

/// What is read next.
#[derive(Debug, PartialEq)]
enum State {
    Header,
    Block,
    /// The block is complete; the length of the body is reported next.
    BlockEnd,
    Body,
    /// A header that begins no request. It is reported as one all the same, so that its sender gets
    /// a response.
    Refused(ProtocolError),
    /// Nothing more is expected; further input is skipped.
    Done,
}

/// Splits a stream of bytes, which may arrive in parts of any length, into events.
#[derive(Debug)]
pub struct RequestSplitter {
    state: State,
    header: [u8; HEADER_BYTES],
    /// Bytes of the header that were read.
    header_len: usize,
    /// Bytes of the block, then of the body, that were not read yet.
    remaining: u64,
    block: BlockScanner,
}

impl Default for RequestSplitter {
    fn default() -> Self {
        RequestSplitter {
            state: State::Header,
            header: [0; HEADER_BYTES],
            header_len: 0,
            remaining: 0,
            block: BlockScanner::default(),
        }
    }
}

impl RequestSplitter {
    /// Whether nothing is read in part: no byte was read, or all were.
    pub fn at_boundary(&self) -> bool {
        self.state == State::Done || (self.state == State::Header && self.header_len == 0)
    }

    /// The next event of `input`, which is advanced past it; none once the input is used up.
    ///
    /// # Errors
    /// The stream is not a request, or its variables can't be read.
    pub fn next<'a>(
        &mut self,
        input: &mut &'a [u8],
    ) -> Result<Option<RequestEvent<'a>>, ProtocolError> {
        match self.state {
            State::Header => Ok(self.read_header(input)),
            State::Block => self.read_block(input),
            State::BlockEnd => {
                self.state = State::Body;
                Ok(Some(RequestEvent::BodyLength {
                    id: REQUEST_ID,
                    length: self.remaining,
                }))
            }
            State::Body => Ok(self.read_body(input)),
            State::Refused(error) => Err(error),
            State::Done => {
                *input = &[];
                Ok(None)
            }
        }
    }

    fn read_header(&mut self, input: &mut &[u8]) -> Option<RequestEvent<'static>> {
        let bytes = split_front(input, HEADER_BYTES - self.header_len);
        self.header[self.header_len..self.header_len + bytes.len()].copy_from_slice(bytes);
        self.header_len += bytes.len();
        if self.header_len < HEADER_BYTES {
            return None;
        }
        let [modifier, low, high, _] = self.header;
        self.remaining = u16::from_le_bytes([low, high]).into();
        let (state, event) = match modifier {
            REQUEST => (State::Block, BEGIN),
            PING if self.remaining == 0 => (State::Done, RequestEvent::Ping),
            PING => (
                State::Refused(ProtocolError("a ping with a content")),
                BEGIN,
            ),
            _ => {
                let error = ProtocolError("a modifier that is not served here");
                (State::Refused(error), BEGIN)
            }
        };
        self.state = state;
        Some(event)
    }

    fn read_block<'a>(
        &mut self,
        input: &mut &'a [u8],
    ) -> Result<Option<RequestEvent<'a>>, ProtocolError> {
        let id = REQUEST_ID;
        if self.remaining == 0 {
            self.remaining = self.block.finish()?;
            self.state = State::BlockEnd;
            return Ok(Some(RequestEvent::ParamsEnd { id }));
        }
        if input.is_empty() {
            return Ok(None);
        }
        let bytes = split_front(input, self.remaining as usize);
        self.remaining -= bytes.len() as u64;
        self.block.scan(bytes, self.remaining as usize)?;
        Ok(Some(RequestEvent::Params { id, bytes }))
    }

    fn read_body<'a>(&mut self, input: &mut &'a [u8]) -> Option<RequestEvent<'a>> {
        let id = REQUEST_ID;
        if self.remaining == 0 {
            self.state = State::Done;
            return Some(RequestEvent::StdinEnd { id });
        }
        if input.is_empty() {
            return None;
        }
        let bytes = split_front(input, usize::try_from(self.remaining).unwrap_or(usize::MAX));
        self.remaining -= bytes.len() as u64;
        Some(RequestEvent::Stdin { id, bytes })
    }
}
