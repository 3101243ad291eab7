//! Records of FastCGI 1.0, split and written without sockets.

/// What one connection carried, in order. Contents come in pieces as they are read: a length field never
/// sizes a buffer.
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
    /// The peer asks for the values whose names follow.
    GetValues,
    /// A management record of a kind that is not known here.
    Unknown {
        kind: u8,
    },
}

/// A record that is not FastCGI, so that nothing after it can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken(pub &'static str);

pub const RESPONDER: u16 = 1;

const VERSION: u8 = 1;
const HEAD: usize = 8;
const BEGIN: u8 = 1;
const ABORT: u8 = 2;
const END: u8 = 3;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
const STDOUT: u8 = 6;
const DATA: u8 = 8;
const GET_VALUES: u8 = 9;
const GET_VALUES_RESULT: u8 = 10;
const UNKNOWN_TYPE: u8 = 11;
const KEEP_CONN: u8 = 1;

/// Cuts a stream of bytes, split at any place, into pieces.
#[derive(Default)]
pub struct Splitter {
    head: [u8; HEAD],
    have: usize,
    left: usize,
    padding: usize,
    begin: [u8; 8],
    begin_have: usize,
}

impl Splitter {
    /// Whether the last record was read to its end.
    pub fn at_boundary(&self) -> bool {
        self.have == 0
    }

    fn kind(&self) -> u8 {
        self.head[1]
    }

    fn id(&self) -> u16 {
        u16::from_be_bytes([self.head[2], self.head[3]])
    }

    /// The next piece of `input`, which is moved past it; none once the input is used up.
    pub fn next<'a>(&mut self, input: &mut &'a [u8]) -> Result<Option<Piece<'a>>, Broken> {
        loop {
            if self.have < HEAD {
                let part = cut(input, HEAD - self.have);
                self.head[self.have..self.have + part.len()].copy_from_slice(part);
                self.have += part.len();
                if self.have < HEAD {
                    return Ok(None);
                }
                if let Some(piece) = self.open()? {
                    return Ok(Some(piece));
                }
            }
            if self.left > 0 {
                if input.is_empty() {
                    return Ok(None);
                }
                let bytes = cut(input, self.left);
                self.left -= bytes.len();
                if let Some(piece) = self.content(bytes) {
                    return Ok(Some(piece));
                }
                continue;
            }
            self.padding -= cut(input, self.padding).len();
            if self.padding > 0 {
                return Ok(None);
            }
            self.have = 0;
            if input.is_empty() {
                return Ok(None);
            }
        }
    }

    /// A header is whole; what it says by itself.
    fn open(&mut self) -> Result<Option<Piece<'static>>, Broken> {
        let (kind, id) = (self.kind(), self.id());
        self.left = u16::from_be_bytes([self.head[4], self.head[5]]).into();
        self.padding = self.head[6].into();
        self.begin_have = 0;
        if self.head[0] != VERSION {
            return Err(Broken("another version than 1"));
        }
        Ok(match (kind, id) {
            (GET_VALUES, 0) => Some(Piece::GetValues),
            (_, 0) if kind > UNKNOWN_TYPE => Some(Piece::Unknown { kind }),
            (BEGIN..=DATA, 0) => return Err(Broken("a record of an application with the id 0")),
            (BEGIN, _) if self.left != 8 => return Err(Broken("a BEGIN_REQUEST that is not 8 bytes long")),
            (BEGIN | DATA, _) => None,
            (ABORT, _) => Some(Piece::Abort { id }),
            (PARAMS, _) if self.left == 0 => Some(Piece::ParamsEnd { id }),
            (STDIN, _) if self.left == 0 => Some(Piece::StdinEnd { id }),
            (PARAMS | STDIN, _) => None,
            _ => return Err(Broken("a record that only an application sends, or of an unknown kind")),
        })
    }

    fn content<'a>(&mut self, bytes: &'a [u8]) -> Option<Piece<'a>> {
        let id = self.id();
        match self.kind() {
            PARAMS => Some(Piece::Params { id, bytes }),
            STDIN => Some(Piece::Stdin { id, bytes }),
            BEGIN => {
                self.begin[self.begin_have..self.begin_have + bytes.len()].copy_from_slice(bytes);
                self.begin_have += bytes.len();
                let [high, low, flags, ..] = self.begin;
                let role = u16::from_be_bytes([high, low]);
                (self.left == 0).then_some(Piece::Begin { id, role, keep: flags & KEEP_CONN != 0 })
            }
            _ => None,
        }
    }
}

/// Takes up to `n` bytes off the front.
fn cut<'a>(input: &mut &'a [u8], n: usize) -> &'a [u8] {
    let (part, rest) = input.split_at(n.min(input.len()));
    *input = rest;
    part
}

/// How a request ended, in the protocol's own terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolStatus {
    Complete = 0,
    Overloaded = 2,
    UnknownRole = 3,
}

fn record(out: &mut Vec<u8>, kind: u8, id: u16, content: &[u8]) {
    let [a, b] = id.to_be_bytes();
    let [c, d] = (content.len() as u16).to_be_bytes();
    out.extend([VERSION, kind, a, b, c, d, 0, 0]);
    out.extend(content);
}

/// Standard output of a request, in as many records as it needs, with the stream's end.
pub fn stdout(out: &mut Vec<u8>, id: u16, content: &[u8]) {
    content.chunks(u16::MAX.into()).for_each(|part| record(out, STDOUT, id, part));
    record(out, STDOUT, id, &[]);
}

pub fn end(out: &mut Vec<u8>, id: u16, status: ProtocolStatus) {
    record(out, END, id, &[0, 0, 0, 0, status as u8, 0, 0, 0]);
}

/// Answers a request for values. All that are known go out; the peer passes over those it did not name.
pub fn values(out: &mut Vec<u8>, connections: usize, requests: usize) {
    let mut content = Vec::new();
    let (connections, requests) = (connections.to_string(), requests.to_string());
    for (name, value) in
        [("FCGI_MAX_CONNS", &*connections), ("FCGI_MAX_REQS", &*requests), ("FCGI_MPXS_CONNS", "1")]
    {
        content.extend([name.len() as u8, value.len() as u8]);
        content.extend(name.bytes().chain(value.bytes()));
    }
    record(out, GET_VALUES_RESULT, 0, &content);
}

pub fn unknown_type(out: &mut Vec<u8>, kind: u8) {
    record(out, UNKNOWN_TYPE, 0, &[kind, 0, 0, 0, 0, 0, 0, 0]);
}

/// Name and value of a parameter, as they came.
pub type Pair<'a> = (&'a [u8], &'a [u8]);

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
