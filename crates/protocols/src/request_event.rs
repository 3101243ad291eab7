//! The events into which a connection with requests is split, the same for both protocols.

use crate::{Protocol, ProtocolError, fastcgi, uwsgi};

/// What one connection carried from the side that sends requests, in order. Contents come in parts
/// as they are read. `id` is that of the request; 0 with uwsgi.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEvent<'a> {
    /// A request begins.
    Begin {
        /// The request.
        id: u16,
        /// What is asked of this side; see [`fastcgi::RESPONDER`].
        role: u16,
        /// Whether the connection stays open after the response.
        keep_connection: bool,
    },
    /// The response is no longer awaited.
    Abort {
        /// The request.
        id: u16,
    },
    /// A part of the block of variables.
    Params {
        /// The request.
        id: u16,
        /// The part.
        bytes: &'a [u8],
    },
    /// The block of variables is complete.
    ParamsEnd {
        /// The request.
        id: u16,
    },
    /// A part of the body.
    Stdin {
        /// The request.
        id: u16,
        /// The part.
        bytes: &'a [u8],
    },
    /// The body is complete.
    StdinEnd {
        /// The request.
        id: u16,
    },
    /// The length of the body; before any part of it, where the protocol needs the length.
    BodyLength {
        /// The request.
        id: u16,
        /// Bytes.
        length: u64,
    },
    /// The peer asks for the values whose names follow.
    GetValues,
    /// The peer asks whether this side is healthy.
    Ping,
    /// A management record of an unknown type.
    UnknownType {
        /// Its type.
        record_type: u8,
    },
}

/// Reads requests in either protocol.
#[derive(Debug)]
pub enum RequestReader {
    /// Reads FastCGI records.
    FastCgi(fastcgi::RequestSplitter),
    /// Reads a uwsgi packet and its body.
    Uwsgi(uwsgi::RequestSplitter),
}

impl RequestReader {
    /// A reader at the start of a connection.
    pub fn new(protocol: Protocol) -> RequestReader {
        match protocol {
            Protocol::FastCgi => RequestReader::FastCgi(fastcgi::RequestSplitter::default()),
            Protocol::Uwsgi => RequestReader::Uwsgi(uwsgi::RequestSplitter::default()),
        }
    }

    /// The protocol that it reads.
    pub fn protocol(&self) -> Protocol {
        match self {
            RequestReader::FastCgi(_) => Protocol::FastCgi,
            RequestReader::Uwsgi(_) => Protocol::Uwsgi,
        }
    }

    /// Whether nothing is read in part.
    pub fn at_boundary(&self) -> bool {
        match self {
            RequestReader::FastCgi(splitter) => splitter.at_boundary(),
            RequestReader::Uwsgi(splitter) => splitter.at_boundary(),
        }
    }

    /// The next event of `input`, which is advanced past it; none once the input is used up.
    ///
    /// # Errors
    /// The stream is not of the protocol; nothing after it can be read.
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
