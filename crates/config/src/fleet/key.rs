//! Reads the key that the nodes of a fleet share.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::consistent_read;
use crate::range::is_hex;

const KEY_BYTES: usize = 32;
const HEX_DIGITS: usize = 2 * KEY_BYTES;

/// The key of a fleet.
pub type FleetKey = [u8; KEY_BYTES];

/// Why a key can't be read.
#[derive(Debug, Error)]
pub enum KeyError {
    /// The key file can't be read.
    #[error("{}: {source}", .path.display())]
    Unreadable {
        /// Path of the key file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The key file contains something other than 64 hex digits.
    #[error("{}: {HEX_DIGITS} hex digits are wanted", .path.display())]
    NotHex {
        /// Path of the key file.
        path: PathBuf,
    },
}

/// Reads a key of 64 hex digits; white space around them is ignored.
///
/// # Errors
/// The file can't be read, or contains something other than 64 hex digits.
pub fn read_key(path: &Path) -> Result<FleetKey, KeyError> {
    let bytes = consistent_read::read(path).map_err(|source| KeyError::Unreadable {
        path: path.into(),
        source,
    })?;
    let text = std::str::from_utf8(&bytes).unwrap_or_default();
    decode(text.trim()).ok_or_else(|| KeyError::NotHex { path: path.into() })
}

fn decode(digits: &str) -> Option<FleetKey> {
    if digits.len() != HEX_DIGITS || !is_hex(digits) {
        return None;
    }
    let mut key = [0; KEY_BYTES];
    for (index, byte) in key.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&digits[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(key)
}
