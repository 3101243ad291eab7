//! Checks a block of variables while it arrives, and finds the length of the body in it.

use super::{CUT_SHORT, LONGER_THAN_PACKET};
use crate::ProtocolError;
use crate::fastcgi::split_front;

/// The variable that holds the length of the body.
const LENGTH_NAME: &[u8] = b"CONTENT_LENGTH";
/// Digits that a length may have.
const MAX_DIGITS: usize = 18;
/// Bytes of the length before each name and value.
const LENGTH_BYTES: u8 = 2;

const BAD_LENGTH: ProtocolError = ProtocolError("CONTENT_LENGTH");

#[derive(Clone, Copy, Debug, PartialEq)]
enum StringKind {
    Name,
    Value,
}

/// Scans the variables as they arrive, only to check that their lengths add up and to read
/// `CONTENT_LENGTH`.
#[derive(Debug)]
pub(super) struct BlockScanner {
    kind: StringKind,
    /// Bytes of the string's length that were read.
    length_bytes_read: u8,
    /// The low byte of the length.
    length_low: u8,
    /// Bytes of the string that were not read yet.
    remaining: usize,
    /// Bytes of the name that match [`LENGTH_NAME`]; none once one does not.
    matched: Option<usize>,
    /// Digits of the length's value that were read.
    digits: usize,
    number: u64,
    /// Whether the value is that of [`LENGTH_NAME`].
    is_length_value: bool,
    body_length: Option<u64>,
}

impl Default for BlockScanner {
    fn default() -> Self {
        BlockScanner {
            kind: StringKind::Name,
            length_bytes_read: 0,
            length_low: 0,
            remaining: 0,
            matched: Some(0),
            digits: 0,
            number: 0,
            is_length_value: false,
            body_length: None,
        }
    }
}

impl BlockScanner {
    /// Scans bytes of the block, which has `block_remaining` left after them.
    pub(super) fn scan(
        &mut self,
        mut bytes: &[u8],
        block_remaining: usize,
    ) -> Result<(), ProtocolError> {
        while let [first, rest @ ..] = bytes {
            if self.length_bytes_read < LENGTH_BYTES {
                bytes = rest;
                self.scan_length_byte(*first);
                if self.length_bytes_read < LENGTH_BYTES {
                    continue;
                }
                if self.remaining > bytes.len() + block_remaining {
                    return Err(LONGER_THAN_PACKET);
                }
            } else {
                let part = split_front(&mut bytes, self.remaining);
                self.remaining -= part.len();
                self.scan_string(part)?;
            }
            if self.remaining == 0 {
                self.end_string()?;
            }
        }
        Ok(())
    }

    fn scan_length_byte(&mut self, byte: u8) {
        if self.length_bytes_read == 0 {
            self.length_low = byte;
        } else {
            self.remaining = u16::from_le_bytes([self.length_low, byte]).into();
        }
        self.length_bytes_read += 1;
    }

    fn scan_string(&mut self, part: &[u8]) -> Result<(), ProtocolError> {
        match self.kind {
            StringKind::Name => {
                self.matched = self.matched.filter(|matched| {
                    let expected = LENGTH_NAME.get(*matched..);
                    expected.is_some_and(|expected| expected.starts_with(part))
                });
                self.matched = self.matched.map(|matched| matched + part.len());
                Ok(())
            }
            StringKind::Value if self.is_length_value => self.scan_digits(part),
            StringKind::Value => Ok(()),
        }
    }

    fn scan_digits(&mut self, part: &[u8]) -> Result<(), ProtocolError> {
        for byte in part {
            self.digits += 1;
            if !byte.is_ascii_digit() || self.digits > MAX_DIGITS {
                return Err(BAD_LENGTH);
            }
            self.number = self.number * 10 + u64::from(byte - b'0');
        }
        Ok(())
    }

    fn end_string(&mut self) -> Result<(), ProtocolError> {
        self.length_bytes_read = 0;
        match self.kind {
            StringKind::Name => {
                self.kind = StringKind::Value;
                self.is_length_value = self.matched == Some(LENGTH_NAME.len());
                (self.digits, self.number) = (0, 0);
            }
            StringKind::Value => {
                // Refused if it occurs twice: two readers could use different ones.
                if self.is_length_value && self.body_length.replace(self.number).is_some() {
                    return Err(BAD_LENGTH);
                }
                self.kind = StringKind::Name;
                self.is_length_value = false;
                self.matched = Some(0);
            }
        }
        Ok(())
    }

    /// The length of the body, once the block is complete; 0 if it is absent or empty.
    pub(super) fn finish(&self) -> Result<u64, ProtocolError> {
        if self.kind != StringKind::Name || self.length_bytes_read != 0 {
            return Err(CUT_SHORT);
        }
        Ok(self.body_length.unwrap_or(0))
    }
}
