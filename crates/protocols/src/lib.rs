//! Codecs for FastCGI and uwsgi. They do no I/O: bytes are decoded into events and responses, and
//! encoded from them.
//!
//! Both protocols, [`fastcgi`] 1.0 and [`uwsgi`], are supported on both sides of a connection. The
//! responding side reads with a [`RequestReader`], which yields the same [`RequestEvent`]s for both
//! protocols, and writes with [`write_response`]. The requesting side writes with [`write_request`]
//! and reads with a [`ResponseReader`], which yields one complete [`Response`]. Variables are pairs
//! of byte strings that the codecs do not interpret, except for the length of a uwsgi body.
//!
//! No buffer is sized by a length that a peer announces: request contents are passed on in the
//! parts in which they arrive, and a request reader keeps a small state of fixed size. Sizes are in
//! bytes. After a [`ProtocolError`] a reader can't continue, and its connection has to be closed.

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
    /// FastCGI 1.0, role Responder: many requests on one connection, in any order.
    FastCgi,
    /// uwsgi, modifier 0: one request per connection, which ends with its response.
    Uwsgi,
}

impl Protocol {
    /// Every protocol.
    pub const ALL: [Protocol; 2] = [Protocol::FastCgi, Protocol::Uwsgi];

    /// Returns the name in logs and settings.
    pub fn name(self) -> &'static str {
        match self {
            Protocol::FastCgi => "fastcgi",
            Protocol::Uwsgi => "uwsgi",
        }
    }

    /// Reads the variables of a complete block.
    ///
    /// # Errors
    /// A length exceeds the rest of the block.
    pub fn read_variables(self, block: &[u8]) -> Result<Vec<Variable<'_>>, ProtocolError> {
        match self {
            Protocol::FastCgi => fastcgi::read_variables(block),
            Protocol::Uwsgi => uwsgi::read_variables(block),
        }
    }

    /// Reads the variables that are complete in the first part of a block, of which the rest has not
    /// arrived.
    pub fn read_leading_variables(self, mut block: &[u8]) -> Vec<Variable<'_>> {
        let read_variable = match self {
            Protocol::FastCgi => fastcgi::read_variable,
            Protocol::Uwsgi => uwsgi::read_variable,
        };
        let mut variables = Vec::new();
        while let Ok(variable) = read_variable(&mut block) {
            variables.push(variable);
        }
        variables
    }
}

impl fmt::Display for Protocol {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A violation of the protocol, after which nothing more can be read from the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolError(
    /// Description of the violation.
    pub &'static str,
);

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for ProtocolError {}

/// Name and value of a variable, as received.
pub type Variable<'a> = (&'a [u8], &'a [u8]);

/// Writes a complete request. `id` is the FastCGI request id; if `keep_connection` is set, the
/// FastCGI connection stays open after the response. uwsgi ignores both. `CONTENT_LENGTH` is added
/// and must not be among the variables.
///
/// # Errors
/// The block of variables is too large for the protocol: with uwsgi more than 65,535 bytes.
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
