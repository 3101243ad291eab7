//! FastCGI and uwsgi without sockets: bytes are read into events and responses, and written from
//! them.
//!
//! Two protocols, [`fastcgi`] 1.0 and [`uwsgi`], each for both sides. The side that responds reads
//! with a [`RequestReader`], which yields the same [`RequestEvent`]s for both, and writes with
//! [`write_response`]. The side that requests writes with [`write_request`] and reads with a
//! [`ResponseReader`], which yields one complete [`Response`]. Variables are pairs of bytes, whose
//! meaning is left to the caller.
//!
//! No length that a peer announces ever sizes a buffer: contents are passed on in the parts they
//! came in, and every reader keeps a small, fixed state of its own. Sizes are in bytes. A reader
//! that returned a [`ProtocolError`] can't continue; its connection is to be closed.

pub mod fastcgi;
mod request_event;
mod response;
pub mod uwsgi;

use std::fmt;

pub use request_event::{RequestEvent, RequestReader};
pub use response::{Response, ResponseHead, ResponseOutcome, ResponseReader, write_response};

/// The protocol of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Protocol {
    /// FastCGI 1.0, role Responder; many requests on one connection, in any order.
    FastCgi,
    /// uwsgi, modifier 0; one request on each connection, which ends with its response.
    Uwsgi,
}

impl Protocol {
    /// Every protocol.
    pub const ALL: [Protocol; 2] = [Protocol::FastCgi, Protocol::Uwsgi];

    /// Its name in logs and settings.
    pub fn name(self) -> &'static str {
        match self {
            Protocol::FastCgi => "fastcgi",
            Protocol::Uwsgi => "uwsgi",
        }
    }

    /// Reads the variables of a complete block.
    ///
    /// # Errors
    /// A length leads past the end of the block.
    pub fn read_variables(self, block: &[u8]) -> Result<Vec<Variable<'_>>, ProtocolError> {
        match self {
            Protocol::FastCgi => fastcgi::read_variables(block),
            Protocol::Uwsgi => uwsgi::read_variables(block),
        }
    }
}

impl fmt::Display for Protocol {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Why a stream is not of the protocol, so that nothing after it can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolError(
    /// What was found.
    pub &'static str,
);

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for ProtocolError {}

/// Name and value of a variable, as they came.
pub type Variable<'a> = (&'a [u8], &'a [u8]);

/// Writes a complete request. On FastCGI it has the id `id`, and the connection stays open after it
/// if `keep_connection` is set; uwsgi has neither. `CONTENT_LENGTH` is added; the variables must
/// not hold one.
///
/// # Errors
/// A block of variables that the protocol can't carry: with uwsgi over 65,535 bytes in all.
pub fn write_request(
    protocol: Protocol,
    out: &mut Vec<u8>,
    id: u16,
    keep_connection: bool,
    variables: &[Variable],
    body: &[u8],
) -> Result<(), ProtocolError> {
    let length = body.len().to_string();
    let content_length: Variable = (b"CONTENT_LENGTH", length.as_bytes());
    let variables = variables.iter().copied().chain([content_length]);
    match protocol {
        Protocol::FastCgi => {
            fastcgi::write_request(out, id, keep_connection, variables, body);
            Ok(())
        }
        Protocol::Uwsgi => uwsgi::write_request(out, variables, body),
    }
}
