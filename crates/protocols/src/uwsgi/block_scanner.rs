//! Validates a block of variables while it arrives, and extracts the length of the body.

use super::{LONGER_THAN_PACKET, TRUNCATED};
use crate::ProtocolError;
use crate::fastcgi::split_front;

/// Name of the variable that holds the length of the body.
const CONTENT_LENGTH_NAME: &[u8] = b"CONTENT_LENGTH";
/// Maximum number of digits in `CONTENT_LENGTH`. Numbers of this length can't overflow a `u64`.
const MAX_DIGITS: usize = 18;
/// Size in bytes of the length before each name and value.
const LENGTH_BYTES: u8 = 2;

const INVALID_CONTENT_LENGTH: ProtocolError = ProtocolError("CONTENT_LENGTH");

#[derive(Clone, Copy, Debug, PartialEq)]
enum StringKind {
    Name,
    Value,
}

/// Scans the variables as they arrive to check that their lengths are consistent and to read
/// `CONTENT_LENGTH`.
#[derive(Debug)]
pub(super) struct BlockScanner {
    kind: StringKind,
    /// Number of bytes read of the length of the current string.
    length_bytes_read: u8,
    /// Low byte of that length.
    length_low: u8,
    /// Number of bytes of the string that are still to be read.
    remaining: usize,
    /// Number of bytes of the name that match [`CONTENT_LENGTH_NAME`], or `None` after a mismatch.
    matched: Option<usize>,
    /// Number of digits read of the value of `CONTENT_LENGTH`.
    digits: usize,
    /// Value of these digits.
    number: u64,
    /// Whether the current value is that of `CONTENT_LENGTH`.
    is_content_length: bool,
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
            is_content_length: false,
            body_length: None,
        }
    }
}

impl BlockScanner {
    /// Scans `bytes`, after which `block_remaining` bytes of the block are still to come.
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
                    let expected = CONTENT_LENGTH_NAME.get(*matched..);
                    expected.is_some_and(|expected| expected.starts_with(part))
                });
                self.matched = self.matched.map(|matched| matched + part.len());
                Ok(())
            }
            StringKind::Value if self.is_content_length => self.scan_digits(part),
            StringKind::Value => Ok(()),
        }
    }

    fn scan_digits(&mut self, part: &[u8]) -> Result<(), ProtocolError> {
        for byte in part {
            self.digits += 1;
            if !byte.is_ascii_digit() || self.digits > MAX_DIGITS {
                return Err(INVALID_CONTENT_LENGTH);
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
                self.is_content_length = self.matched == Some(CONTENT_LENGTH_NAME.len());
                (self.digits, self.number) = (0, 0);
            }
            StringKind::Value => {
                // A repeated CONTENT_LENGTH is an error: this side and the server could use
                // different values.
                if self.is_content_length && self.body_length.replace(self.number).is_some() {
                    return Err(INVALID_CONTENT_LENGTH);
                }
                self.kind = StringKind::Name;
                self.is_content_length = false;
                self.matched = Some(0);
            }
        }
        Ok(())
    }

    /// Returns the length of the body after the block is complete: 0 if `CONTENT_LENGTH` is absent
    /// or empty.
    pub(super) fn finish(&self) -> Result<u64, ProtocolError> {
        if self.kind != StringKind::Name || self.length_bytes_read != 0 {
            return Err(TRUNCATED);
        }
        Ok(self.body_length.unwrap_or(0))
    }
}
