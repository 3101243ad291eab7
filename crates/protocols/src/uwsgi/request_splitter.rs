//! Splits the bytes of a uwsgi connection from a web server into events.

use super::block_scanner::BlockScanner;
use super::{HEADER_BYTES, PING, REQUEST};
use crate::fastcgi::{RESPONDER, split_front};
use crate::{ProtocolError, RequestEvent};

/// Id of the only request on a connection.
const REQUEST_ID: u16 = 0;

const BEGIN: RequestEvent = RequestEvent::Begin {
    id: REQUEST_ID,
    role: RESPONDER,
    keep_connection: false,
};

/// What the splitter reads next.
#[derive(Debug, PartialEq)]
enum State {
    Header,
    Block,
    /// The block is complete, and the length of the body is to be reported.
    BlockEnd,
    Body,
    /// The header does not begin a request. A `Begin` event is still reported before the error, so
    /// that the sender gets a response.
    Invalid(ProtocolError),
    /// The request is complete. Further input is skipped.
    Done,
}

/// Splits a byte stream, which may arrive in parts of any length, into events.
#[derive(Debug)]
pub struct RequestSplitter {
    state: State,
    header: [u8; HEADER_BYTES],
    /// Number of bytes of the header that were read.
    header_len: usize,
    /// Number of bytes of the block, or then of the body, that are still to be read.
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
    /// Returns true if nothing or the whole request has been read.
    pub fn at_boundary(&self) -> bool {
        self.state == State::Done || (self.state == State::Header && self.header_len == 0)
    }

    /// Returns the next event and advances `input` past it, or `None` if `input` is exhausted.
    ///
    /// # Errors
    /// The stream is not a valid request.
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
            State::Invalid(error) => Err(error),
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
            PING => (State::Invalid(ProtocolError("a ping with content")), BEGIN),
            _ => {
                let error = ProtocolError("unsupported modifier");
                (State::Invalid(error), BEGIN)
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
