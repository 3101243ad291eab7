//! What is spoken between clients, this program and application servers, without sockets: bytes in, pieces
//! out, and the other way round.
//!
//! Two protocols, [`fastcgi`] 1.0 and [`uwsgi`], each for both sides. The side that is asked reads with a
//! [`RequestReader`], which yields the same [`Piece`]s for both, and writes with [`write_answer`]. The side
//! that asks writes with [`write_request`] and reads with an [`AnswerReader`], which yields one whole
//! [`Answer`]. What a name means is nobody's business here: variables are pairs of bytes.
//!
//! No length that a peer announces ever sizes a buffer: contents are handed on in the pieces they came in,
//! and every reader keeps a small, fixed state of its own. Sizes are bytes. A reader that returned
//! [`Broken`] can't go on; its connection is to be ended.

pub mod answer;
pub mod fastcgi;
pub mod uwsgi;

use std::fmt;

pub use answer::{Answer, AnswerReader, Answered};

/// What a connection speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Protocol {
    /// FastCGI 1.0, role Responder; many requests on one connection, in any order.
    FastCgi,
    /// uwsgi, modifier 0; one request on each connection, which ends with its answer.
    Uwsgi,
}

impl Protocol {
    pub const ALL: [Protocol; 2] = [Protocol::FastCgi, Protocol::Uwsgi];

    /// The word for it in logs and settings.
    pub fn name(self) -> &'static str {
        match self {
            Protocol::FastCgi => "fastcgi",
            Protocol::Uwsgi => "uwsgi",
        }
    }

    /// Names and values of a whole block of variables; an error where a length leads past its end.
    pub fn pairs(self, block: &[u8]) -> Result<Vec<Pair<'_>>, Broken> {
        match self {
            Protocol::FastCgi => fastcgi::pairs(block),
            Protocol::Uwsgi => uwsgi::pairs(block),
        }
    }
}

impl fmt::Display for Protocol {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Something that is not the protocol, so that nothing after it can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken(pub &'static str);

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for Broken {}

/// Name and value of a variable, as they came.
pub type Pair<'a> = (&'a [u8], &'a [u8]);

/// What one connection carried from who asks, in order. Contents come in pieces as they are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Piece<'a> {
    Begin {
        id: u16,
        role: u16,
        keep: bool,
    },
    Abort {
        id: u16,
    },
    Params {
        id: u16,
        bytes: &'a [u8],
    },
    ParamsEnd {
        id: u16,
    },
    Stdin {
        id: u16,
        bytes: &'a [u8],
    },
    StdinEnd {
        id: u16,
    },
    /// So many bytes of body are to come; told before any of them, where the protocol needs the length.
    BodyOf {
        id: u16,
        length: u64,
    },
    /// The peer asks for the values whose names follow.
    GetValues,
    /// Asks whether this side is well, in the protocol's own way.
    Ping,
    /// A management record of a kind that is not known here.
    Unknown {
        kind: u8,
    },
}

/// Reads what comes from who asks, in either protocol.
#[derive(Debug)]
pub enum RequestReader {
    FastCgi(fastcgi::Splitter),
    Uwsgi(uwsgi::Splitter),
}

impl RequestReader {
    pub fn new(protocol: Protocol) -> RequestReader {
        match protocol {
            Protocol::FastCgi => RequestReader::FastCgi(fastcgi::Splitter::default()),
            Protocol::Uwsgi => RequestReader::Uwsgi(uwsgi::Splitter::default()),
        }
    }

    pub fn protocol(&self) -> Protocol {
        match self {
            RequestReader::FastCgi(_) => Protocol::FastCgi,
            RequestReader::Uwsgi(_) => Protocol::Uwsgi,
        }
    }

    /// Whether nothing is half read.
    pub fn at_boundary(&self) -> bool {
        match self {
            RequestReader::FastCgi(reader) => reader.at_boundary(),
            RequestReader::Uwsgi(reader) => reader.at_boundary(),
        }
    }

    /// The next piece of `input`, which is moved past it; none once the input is used up.
    pub fn next<'a>(&mut self, input: &mut &'a [u8]) -> Result<Option<Piece<'a>>, Broken> {
        match self {
            RequestReader::FastCgi(reader) => reader.next(input),
            RequestReader::Uwsgi(reader) => reader.next(input),
        }
    }
}

/// What an answer says before its body: a status line and headers, each name and value as they go out.
pub struct Head<'a> {
    /// Number and reason, as `200 OK`.
    pub status: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    /// Further header lines as they go out, each with its end of line.
    pub more: &'a [u8],
}

/// Writes a whole answer to request `id`. The end of a uwsgi answer is that of its connection, so it carries
/// its length as well, by which a cut one is told apart.
pub fn write_answer(protocol: Protocol, out: &mut Vec<u8>, id: u16, head: Head, body: &[u8]) {
    match protocol {
        Protocol::FastCgi => {
            let mut content = Vec::with_capacity(160 + body.len());
            content.extend(b"Status: ");
            answer::write_head(&mut content, &head);
            content.extend(body);
            fastcgi::stdout(out, id, &content);
            fastcgi::end(out, id, fastcgi::ProtocolStatus::Complete);
        }
        Protocol::Uwsgi => {
            out.reserve(192 + body.len());
            out.extend(b"HTTP/1.1 ");
            let length = body.len().to_string();
            let headers = [head.headers, &[("Content-Length", &*length)]].concat();
            answer::write_head(
                out,
                &Head {
                    headers: &headers,
                    ..head
                },
            );
            out.extend(body);
        }
    }
}

/// Writes a whole request. On FastCGI it goes by `id` and the connection is kept open after it if `keep` is
/// set; uwsgi has neither. `CONTENT_LENGTH` is added; the variables must not hold one.
///
/// # Errors
/// A block of variables that the protocol can't carry: over 65,535 bytes of name, value or, in uwsgi, in all.
pub fn write_request(
    protocol: Protocol,
    out: &mut Vec<u8>,
    id: u16,
    keep: bool,
    variables: &[Pair],
    body: &[u8],
) -> Result<(), Broken> {
    let length = body.len().to_string();
    let length = [(&b"CONTENT_LENGTH"[..], length.as_bytes())];
    let all = variables.iter().copied().chain(length);
    match protocol {
        Protocol::FastCgi => {
            fastcgi::request(out, id, keep, all, body);
            Ok(())
        }
        Protocol::Uwsgi => uwsgi::request(out, all, body),
    }
}
