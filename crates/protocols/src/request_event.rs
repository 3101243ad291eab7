//! Events of a connection that carries requests, the same for both protocols.

use crate::{Protocol, ProtocolError, fastcgi, uwsgi};

/// An event on a connection from the requesting side. Contents are passed on in parts, as they
/// arrive. `id` is the request id, which is 0 with uwsgi.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEvent<'a> {
    /// A request begins.
    Begin {
        /// Request id.
        id: u16,
        /// Role that this side is to take; see [`fastcgi::RESPONDER`].
        role: u16,
        /// Whether the connection stays open after the response.
        keep_connection: bool,
    },
    /// The peer no longer waits for the response.
    Abort {
        /// Request id.
        id: u16,
    },
    /// A part of the block of variables.
    Params {
        /// Request id.
        id: u16,
        /// Bytes of the part.
        bytes: &'a [u8],
    },
    /// The block of variables is complete.
    ParamsEnd {
        /// Request id.
        id: u16,
    },
    /// A part of the body.
    Stdin {
        /// Request id.
        id: u16,
        /// Bytes of the part.
        bytes: &'a [u8],
    },
    /// The body is complete.
    StdinEnd {
        /// Request id.
        id: u16,
    },
    /// The length of the body, reported before its first part. Only uwsgi reports it.
    BodyLength {
        /// Request id.
        id: u16,
        /// Length in bytes.
        length: u64,
    },
    /// The peer queries values of this side (`FCGI_GET_VALUES`).
    GetValues,
    /// The peer sends a health check.
    Ping,
    /// A management record of an unknown type.
    UnknownType {
        /// Type of the record.
        record_type: u8,
    },
}

/// Splits the bytes of a connection that carries requests into events, in either protocol.
#[derive(Debug)]
pub enum RequestReader {
    /// Reads FastCGI records.
    FastCgi(fastcgi::RequestSplitter),
    /// Reads a uwsgi packet and its body.
    Uwsgi(uwsgi::RequestSplitter),
}

impl RequestReader {
    /// Creates a reader for a new connection.
    pub fn new(protocol: Protocol) -> RequestReader {
        match protocol {
            Protocol::FastCgi => RequestReader::FastCgi(fastcgi::RequestSplitter::default()),
            Protocol::Uwsgi => RequestReader::Uwsgi(uwsgi::RequestSplitter::default()),
        }
    }

    /// Returns the protocol that the reader decodes.
    pub fn protocol(&self) -> Protocol {
        match self {
            RequestReader::FastCgi(_) => Protocol::FastCgi,
            RequestReader::Uwsgi(_) => Protocol::Uwsgi,
        }
    }

    /// Returns true if no record or request has been read only in part.
    pub fn at_boundary(&self) -> bool {
        match self {
            RequestReader::FastCgi(splitter) => splitter.at_boundary(),
            RequestReader::Uwsgi(splitter) => splitter.at_boundary(),
        }
    }

    /// Returns the next event and advances `input` past it, or `None` if `input` is exhausted.
    ///
    /// # Errors
    /// The stream violates the protocol; nothing after the violation can be read.
    pub fn next<'a>(
        &mut self,
        input: &mut &'a [u8],
    ) -> Result<Option<RequestEvent<'a>>, ProtocolError> {
        match self {
            RequestReader::FastCgi(splitter) => splitter.next(input),
            RequestReader::Uwsgi(splitter) => splitter.next(input),
        }
    }
}
