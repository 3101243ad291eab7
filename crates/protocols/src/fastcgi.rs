//! Records of FastCGI 1.0, split and written without sockets.

mod frames;

pub(crate) use self::frames::cut;
use self::frames::{Frames, Step};
use crate::{Broken, Pair, Piece};

pub const RESPONDER: u16 = 1;

const VERSION: u8 = 1;
const BEGIN: u8 = 1;
const ABORT: u8 = 2;
const END: u8 = 3;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
const STDOUT: u8 = 6;
const STDERR: u8 = 7;
const DATA: u8 = 8;
const GET_VALUES: u8 = 9;
const GET_VALUES_RESULT: u8 = 10;
const UNKNOWN_TYPE: u8 = 11;
const KEEP_CONN: u8 = 1;

/// Cuts a stream of bytes, split at any place, into pieces.
#[derive(Debug, Default)]
pub struct Splitter {
    frames: Frames,
    begin: [u8; 8],
    begin_have: usize,
}

impl Splitter {
    /// Whether the last record was read to its end.
    pub fn at_boundary(&self) -> bool {
        self.frames.at_boundary()
    }

    /// The next piece of `input`, which is moved past it; none once the input is used up.
    pub fn next<'a>(&mut self, input: &mut &'a [u8]) -> Result<Option<Piece<'a>>, Broken> {
        while let Some(step) = self.frames.next(input) {
            let piece = match step {
                Step::Opened => self.open()?,
                Step::Content(bytes) => self.content(bytes),
            };
            if piece.is_some() {
                return Ok(piece);
            }
        }
        Ok(None)
    }

    /// A header is whole; what it says by itself.
    fn open(&mut self) -> Result<Option<Piece<'static>>, Broken> {
        let (kind, id, left) = (self.frames.kind(), self.frames.id(), self.frames.left());
        self.begin_have = 0;
        if self.frames.version() != VERSION {
            return Err(Broken("another version than 1"));
        }
        Ok(match (kind, id) {
            (GET_VALUES, 0) => Some(Piece::GetValues),
            (_, 0) if kind > UNKNOWN_TYPE => Some(Piece::Unknown { kind }),
            (BEGIN..=DATA, 0) => return Err(Broken("a record of an application with the id 0")),
            (BEGIN, _) if left != 8 => {
                return Err(Broken("a BEGIN_REQUEST that is not 8 bytes long"));
            }
            (BEGIN | DATA, _) => None,
            (ABORT, _) => Some(Piece::Abort { id }),
            (PARAMS, _) if left == 0 => Some(Piece::ParamsEnd { id }),
            (STDIN, _) if left == 0 => Some(Piece::StdinEnd { id }),
            (PARAMS | STDIN, _) => None,
            _ => {
                return Err(Broken(
                    "a record that only an application sends, or of an unknown kind",
                ));
            }
        })
    }

    fn content<'a>(&mut self, bytes: &'a [u8]) -> Option<Piece<'a>> {
        let id = self.frames.id();
        match self.frames.kind() {
            PARAMS => Some(Piece::Params { id, bytes }),
            STDIN => Some(Piece::Stdin { id, bytes }),
            BEGIN => {
                self.begin[self.begin_have..self.begin_have + bytes.len()].copy_from_slice(bytes);
                self.begin_have += bytes.len();
                let [high, low, flags, ..] = self.begin;
                let (role, keep) = (u16::from_be_bytes([high, low]), flags & KEEP_CONN != 0);
                (self.frames.left() == 0).then_some(Piece::Begin { id, role, keep })
            }
            _ => None,
        }
    }
}

/// How a request ended, in the protocol's own terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolStatus {
    Complete = 0,
    CantMultiplex = 1,
    Overloaded = 2,
    UnknownRole = 3,
}

impl ProtocolStatus {
    pub fn read(byte: u8) -> Option<ProtocolStatus> {
        [
            Self::Complete,
            Self::CantMultiplex,
            Self::Overloaded,
            Self::UnknownRole,
        ]
        .into_iter()
        .find(|status| *status as u8 == byte)
    }
}

pub(crate) fn record(out: &mut Vec<u8>, kind: u8, id: u16, content: &[u8]) {
    let [a, b] = id.to_be_bytes();
    let [c, d] = (content.len() as u16).to_be_bytes();
    out.extend([VERSION, kind, a, b, c, d, 0, 0]);
    out.extend(content);
}

/// Standard output of a request, in as many records as it needs, with the stream's end.
pub fn stdout(out: &mut Vec<u8>, id: u16, content: &[u8]) {
    content
        .chunks(u16::MAX.into())
        .for_each(|part| record(out, STDOUT, id, part));
    record(out, STDOUT, id, &[]);
}

pub fn end(out: &mut Vec<u8>, id: u16, status: ProtocolStatus) {
    record(out, END, id, &[0, 0, 0, 0, status as u8, 0, 0, 0]);
}

/// Answers a request for values. All that are known go out; the peer passes over those it did not name.
pub fn values(out: &mut Vec<u8>, connections: usize, requests: usize) {
    let mut content = Vec::new();
    let (connections, requests) = (connections.to_string(), requests.to_string());
    for (name, value) in [
        ("FCGI_MAX_CONNS", &*connections),
        ("FCGI_MAX_REQS", &*requests),
        ("FCGI_MPXS_CONNS", "1"),
    ] {
        content.extend([name.len() as u8, value.len() as u8]);
        content.extend(name.bytes().chain(value.bytes()));
    }
    record(out, GET_VALUES_RESULT, 0, &content);
}

pub fn unknown_type(out: &mut Vec<u8>, kind: u8) {
    record(out, UNKNOWN_TYPE, 0, &[kind, 0, 0, 0, 0, 0, 0, 0]);
}

/// Names and values of a whole parameter stream; an error where a length leads past its end.
pub fn pairs(mut stream: &[u8]) -> Result<Vec<Pair<'_>>, Broken> {
    let mut found = Vec::with_capacity(16);
    while !stream.is_empty() {
        let (name, value) = (length(&mut stream)?, length(&mut stream)?);
        if name.saturating_add(value) > stream.len() {
            return Err(Broken("a parameter that is longer than its stream"));
        }
        found.push((cut(&mut stream, name), cut(&mut stream, value)));
    }
    Ok(found)
}

/// A length in one byte, or in four with the highest bit set.
fn length(stream: &mut &[u8]) -> Result<usize, Broken> {
    let short = Broken("a parameter's length that is cut short");
    match *cut(stream, 1) {
        [one] if one < 0x80 => Ok(one.into()),
        [one] => match *cut(stream, 3) {
            [b, c, d] => Ok(u32::from_be_bytes([one & 0x7f, b, c, d]) as usize),
            _ => Err(short),
        },
        _ => Err(short),
    }
}

/// A whole request with its records. A name or value over 127 bytes has a length of four bytes.
pub fn request<'a>(
    out: &mut Vec<u8>,
    id: u16,
    keep: bool,
    variables: impl Iterator<Item = Pair<'a>>,
    body: &[u8],
) {
    let mut block = Vec::with_capacity(512);
    for (name, value) in variables {
        for word in [name, value] {
            match u8::try_from(word.len())
                .ok()
                .filter(|length| *length < 0x80)
            {
                Some(length) => block.push(length),
                None => block.extend((word.len() as u32 | 1 << 31).to_be_bytes()),
            }
        }
        block.extend(name);
        block.extend(value);
    }
    record(
        out,
        BEGIN,
        id,
        &[
            0,
            RESPONDER as u8,
            if keep { KEEP_CONN } else { 0 },
            0,
            0,
            0,
            0,
            0,
        ],
    );
    for (kind, content) in [(PARAMS, &block[..]), (STDIN, body)] {
        content
            .chunks(u16::MAX.into())
            .for_each(|part| record(out, kind, id, part));
        record(out, kind, id, &[]);
    }
}

/// Word that request `id` is not waited for any more.
pub fn abort(out: &mut Vec<u8>, id: u16) {
    record(out, ABORT, id, &[]);
}

/// What comes back from who was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply<'a> {
    Stdout {
        id: u16,
        bytes: &'a [u8],
    },
    /// The request is over; none where its status is of no known kind.
    End {
        id: u16,
        status: Option<ProtocolStatus>,
    },
}

/// Cuts what an application sends, split at any place. What it says on standard error and in answer to
/// questions of management is passed over.
#[derive(Debug, Default)]
pub struct ReplySplitter {
    frames: Frames,
    end: [u8; 8],
    end_have: usize,
}

impl ReplySplitter {
    pub fn at_boundary(&self) -> bool {
        self.frames.at_boundary()
    }

    pub fn next<'a>(&mut self, input: &mut &'a [u8]) -> Result<Option<Reply<'a>>, Broken> {
        while let Some(step) = self.frames.next(input) {
            let id = self.frames.id();
            match (step, self.frames.kind()) {
                (Step::Opened, _) => self.open()?,
                (Step::Content(bytes), STDOUT) => return Ok(Some(Reply::Stdout { id, bytes })),
                (Step::Content(bytes), END) => {
                    self.end[self.end_have..self.end_have + bytes.len()].copy_from_slice(bytes);
                    self.end_have += bytes.len();
                    if self.frames.left() == 0 {
                        return Ok(Some(Reply::End {
                            id,
                            status: ProtocolStatus::read(self.end[4]),
                        }));
                    }
                }
                _ => {}
            }
        }
        Ok(None)
    }

    fn open(&mut self) -> Result<(), Broken> {
        self.end_have = 0;
        match (self.frames.version(), self.frames.kind()) {
            (VERSION, END) if self.frames.left() != self.end.len() => {
                Err(Broken("an end of another length than 8"))
            }
            (VERSION, END | STDOUT | STDERR | GET_VALUES_RESULT | UNKNOWN_TYPE) => Ok(()),
            (VERSION, _) => Err(Broken("a record that only a web server sends")),
            _ => Err(Broken("another version than 1")),
        }
    }
}
