//! Packets of uwsgi, split and written without sockets.
//!
//! A packet is a head of four bytes (modifier 1, the size of what follows in 16 bits with the low byte first,
//! modifier 2) and a block of variables, each name and value behind its length in 16 bits of the same order.
//! A body of `CONTENT_LENGTH` bytes follows outside the packet. A connection carries one request.

use crate::fastcgi::cut;
use crate::{Broken, Pair, Piece};

/// Modifier 1 of a request as any web server sends it, and of the question whether this side is well.
pub const REQUEST: u8 = 0;
pub const PING: u8 = 100;
/// Modifier 2 of the answer to a ping.
const PONG: u8 = 1;

const HEAD: usize = 4;
const LENGTH_NAME: &[u8] = b"CONTENT_LENGTH";
/// Digits of any length that is not refused anyway.
const MOST_DIGITS: usize = 18;

const BEGIN: Piece = Piece::Begin {
    id: 0,
    role: crate::fastcgi::RESPONDER,
    keep: false,
};
const LENGTH_FAULT: Broken = Broken("CONTENT_LENGTH");

#[derive(Debug, PartialEq)]
enum At {
    Head,
    /// Between the head and the first variable.
    Begun,
    /// Within the block; where, tells [`Block`].
    Block,
    /// The block is whole; what is to be told next of it.
    BlockEnd,
    Announced,
    Body,
    /// A head that begins no request. It is told as one all the same, so that its sender gets an answer.
    Refused(Broken),
    /// Nothing more is expected; whatever comes is passed over.
    Done,
}

/// Cuts a stream of bytes, split at any place, into pieces.
#[derive(Debug)]
pub struct Splitter {
    at: At,
    head: [u8; HEAD],
    have: usize,
    /// Bytes of the block, then of the body, that have not come yet.
    left: u64,
    block: Block,
}

impl Default for Splitter {
    fn default() -> Self {
        Splitter {
            at: At::Head,
            head: [0; HEAD],
            have: 0,
            left: 0,
            block: Block::default(),
        }
    }
}

impl Splitter {
    /// Whether nothing is half read: no byte has come, or all have.
    pub fn at_boundary(&self) -> bool {
        self.at == At::Done || (self.at == At::Head && self.have == 0)
    }

    /// The next piece of `input`, which is moved past it; none once the input is used up. The one request has
    /// the id 0.
    pub fn next<'a>(&mut self, input: &mut &'a [u8]) -> Result<Option<Piece<'a>>, Broken> {
        let id = 0;
        loop {
            match self.at {
                At::Head => {
                    let part = cut(input, HEAD - self.have);
                    self.head[self.have..self.have + part.len()].copy_from_slice(part);
                    self.have += part.len();
                    if self.have < HEAD {
                        return Ok(None);
                    }
                    if let Some(piece) = self.opened() {
                        return Ok(Some(piece));
                    }
                }
                At::Begun => {
                    self.at = At::Block;
                    return Ok(Some(BEGIN));
                }
                At::Block if self.left == 0 => {
                    (self.left, self.at) = (self.block.end()?, At::BlockEnd);
                    return Ok(Some(Piece::ParamsEnd { id }));
                }
                At::Block => {
                    if input.is_empty() {
                        return Ok(None);
                    }
                    let bytes = cut(input, self.left as usize);
                    self.left -= bytes.len() as u64;
                    self.block.take(bytes, self.left as usize)?;
                    return Ok(Some(Piece::Params { id, bytes }));
                }
                At::BlockEnd => {
                    self.at = At::Announced;
                    return Ok(Some(Piece::BodyOf {
                        id,
                        length: self.left,
                    }));
                }
                At::Announced | At::Body if self.left == 0 => {
                    self.at = At::Done;
                    return Ok(Some(Piece::StdinEnd { id }));
                }
                At::Announced | At::Body => {
                    if input.is_empty() {
                        return Ok(None);
                    }
                    let bytes = cut(input, self.left.min(usize::MAX as u64) as usize);
                    (self.left, self.at) = (self.left - bytes.len() as u64, At::Body);
                    return Ok(Some(Piece::Stdin { id, bytes }));
                }
                At::Refused(broken) => return Err(broken),
                At::Done => {
                    *input = &[];
                    return Ok(None);
                }
            }
        }
    }

    /// The head is whole; what it says by itself.
    fn opened(&mut self) -> Option<Piece<'static>> {
        let [modifier, low, high, _] = self.head;
        self.left = u16::from_le_bytes([low, high]).into();
        match modifier {
            REQUEST => self.at = At::Begun,
            PING if self.left == 0 => {
                self.at = At::Done;
                return Some(Piece::Ping);
            }
            PING => self.at = At::Refused(Broken("a ping with a content")),
            _ => self.at = At::Refused(Broken("a modifier that is not served here")),
        }
        (self.at != At::Begun).then_some(BEGIN)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Word {
    Name,
    Value,
}

/// Follows the variables as they come, only to know that their lengths add up and what `CONTENT_LENGTH` says.
#[derive(Debug)]
struct Block {
    word: Word,
    /// Bytes of the length read, and the first of them.
    length_have: u8,
    low: u8,
    /// Bytes of the word that are still to come.
    left: usize,
    /// Bytes of the name that agree with the one looked for, or none once one does not.
    agrees: Option<usize>,
    /// Digits of the value looked for, while it is read.
    digits: usize,
    number: u64,
    in_length: bool,
    found: Option<u64>,
}

impl Default for Block {
    fn default() -> Self {
        Block {
            word: Word::Name,
            length_have: 0,
            low: 0,
            left: 0,
            agrees: Some(0),
            digits: 0,
            number: 0,
            in_length: false,
            found: None,
        }
    }
}

impl Block {
    /// Takes in bytes of the block, after which it has `behind` left.
    fn take(&mut self, mut bytes: &[u8], behind: usize) -> Result<(), Broken> {
        while let [first, rest @ ..] = bytes {
            if self.length_have < 2 {
                bytes = rest;
                self.length_have += 1;
                if self.length_have == 1 {
                    self.low = *first;
                    continue;
                }
                self.left = u16::from_le_bytes([self.low, *first]).into();
                if self.left > bytes.len() + behind {
                    return Err(Broken("a variable that is longer than its packet"));
                }
            } else {
                let part = cut(&mut bytes, self.left);
                self.left -= part.len();
                self.look(part)?;
            }
            if self.left == 0 && self.length_have == 2 {
                self.word_ended()?;
            }
        }
        Ok(())
    }

    fn look(&mut self, part: &[u8]) -> Result<(), Broken> {
        match self.word {
            Word::Name => {
                if let Some(have) = self.agrees {
                    let same = LENGTH_NAME
                        .get(have..)
                        .is_some_and(|rest| rest.starts_with(part));
                    self.agrees = same.then_some(have + part.len());
                }
            }
            Word::Value if self.in_length => {
                for byte in part {
                    self.digits += 1;
                    if !byte.is_ascii_digit() || self.digits > MOST_DIGITS {
                        return Err(LENGTH_FAULT);
                    }
                    self.number = self.number * 10 + u64::from(byte - b'0');
                }
            }
            Word::Value => {}
        }
        Ok(())
    }

    fn word_ended(&mut self) -> Result<(), Broken> {
        self.length_have = 0;
        match self.word {
            Word::Name => {
                (self.word, self.in_length) = (Word::Value, self.agrees == Some(LENGTH_NAME.len()));
                (self.digits, self.number) = (0, 0);
            }
            Word::Value => {
                // Doubled it is as bad as none: two readers could take different ones.
                if self.in_length && self.found.replace(self.number).is_some() {
                    return Err(LENGTH_FAULT);
                }
                (self.word, self.in_length, self.agrees) = (Word::Name, false, Some(0));
            }
        }
        Ok(())
    }

    /// The block is at its end; how long the body is. An absent or empty length is none.
    fn end(&self) -> Result<u64, Broken> {
        if self.word != Word::Name || self.length_have != 0 {
            return Err(Broken("variables that are cut short"));
        }
        Ok(self.found.unwrap_or(0))
    }
}

/// Names and values of a whole block; an error where a length leads past its end.
pub fn pairs(mut block: &[u8]) -> Result<Vec<Pair<'_>>, Broken> {
    fn word<'a>(block: &mut &'a [u8]) -> Result<&'a [u8], Broken> {
        let [low, high] = *cut(block, 2) else {
            return Err(Broken("variables that are cut short"));
        };
        let length = u16::from_le_bytes([low, high]).into();
        match cut(block, length) {
            word if word.len() == length => Ok(word),
            _ => Err(Broken("a variable that is longer than its packet")),
        }
    }
    let mut found = Vec::with_capacity(16);
    while !block.is_empty() {
        found.push((word(&mut block)?, word(&mut block)?));
    }
    Ok(found)
}

/// The answer to a ping: nothing where all is well, else why not.
pub fn pong(out: &mut Vec<u8>, good: bool) {
    let warning: &[u8] = if good { b"" } else { b"not ready" };
    let [low, high] = (warning.len() as u16).to_le_bytes();
    out.extend([PING, low, high, PONG]);
    out.extend(warning);
}

/// A whole request: packet and body.
pub fn request<'a>(
    out: &mut Vec<u8>,
    variables: impl Iterator<Item = Pair<'a>>,
    body: &[u8],
) -> Result<(), Broken> {
    let start = out.len();
    out.extend([REQUEST, 0, 0, 0]);
    for (name, value) in variables {
        for word in [name, value] {
            out.extend((word.len() as u16).to_le_bytes());
            out.extend(word);
            // Sizes wrap nowhere: past the block's bound nothing is kept.
            if out.len() - start - HEAD > u16::MAX.into() {
                out.truncate(start);
                return Err(Broken("more variables than a packet holds"));
            }
        }
    }
    let size = ((out.len() - start - HEAD) as u16).to_le_bytes();
    out[start + 1..start + 3].copy_from_slice(&size);
    out.extend(body);
    Ok(())
}
