//! Codec for uwsgi packets.
//!
//! A packet has a header of four bytes (modifier 1, the 16-bit little-endian size of the block,
//! modifier 2) and a block of variables. Each name and value is preceded by its 16-bit
//! little-endian length. A body of `CONTENT_LENGTH` bytes follows the packet. A connection carries
//! one request.

mod block_scanner;
mod request_splitter;

pub use self::request_splitter::RequestSplitter;
use crate::fastcgi::split_front;
use crate::{ProtocolError, Variable};

/// Modifier 1 of a request with CGI variables.
pub const REQUEST: u8 = 0;
/// Modifier 1 of a health check and its response.
pub const PING: u8 = 100;
/// Modifier 2 of the response to a health check.
const PONG: u8 = 1;

const HEADER_BYTES: usize = 4;

const TRUNCATED: ProtocolError = ProtocolError("truncated variables");
const LONGER_THAN_PACKET: ProtocolError = ProtocolError("a variable is longer than its packet");

/// Reads the variables of a complete block.
///
/// # Errors
/// A length exceeds the rest of the block, or the block is truncated.
pub fn read_variables(mut block: &[u8]) -> Result<Vec<Variable<'_>>, ProtocolError> {
    let mut variables = Vec::with_capacity(16);
    while !block.is_empty() {
        variables.push(read_variable(&mut block)?);
    }
    Ok(variables)
}

/// Reads the first variable of a block and advances the block past it.
pub(crate) fn read_variable<'a>(block: &mut &'a [u8]) -> Result<Variable<'a>, ProtocolError> {
    Ok((read_string(block)?, read_string(block)?))
}

/// Reads a length and the name or value after it.
fn read_string<'a>(block: &mut &'a [u8]) -> Result<&'a [u8], ProtocolError> {
    let [low, high] = *split_front(block, 2) else {
        return Err(TRUNCATED);
    };
    let length = u16::from_le_bytes([low, high]).into();
    let string = split_front(block, length);
    if string.len() < length {
        return Err(LONGER_THAN_PACKET);
    }
    Ok(string)
}

/// Writes the response to a health check, with a warning if this side is not healthy.
pub fn write_pong(out: &mut Vec<u8>, healthy: bool) {
    let warning: &[u8] = if healthy { b"" } else { b"not ready" };
    let [low, high] = (warning.len() as u16).to_le_bytes();
    out.extend([PING, low, high, PONG]);
    out.extend(warning);
}

/// Writes a complete request: the packet and the body.
///
/// # Errors
/// The variables take more than the 65,535 bytes of a packet. Nothing is written in this case.
pub fn write_request<'a>(
    out: &mut Vec<u8>,
    variables: impl Iterator<Item = Variable<'a>>,
    body: &[u8],
) -> Result<(), ProtocolError> {
    let start = out.len();
    out.extend([REQUEST, 0, 0, 0]);
    for (name, value) in variables {
        for string in [name, value] {
            out.extend((string.len() as u16).to_le_bytes());
            out.extend(string);
            // Also detects a string whose length does not fit in 16 bits.
            if out.len() - start - HEADER_BYTES > u16::MAX.into() {
                out.truncate(start);
                return Err(ProtocolError("the variables do not fit in a packet"));
            }
        }
    }
    let size = ((out.len() - start - HEADER_BYTES) as u16).to_le_bytes();
    out[start + 1..start + 3].copy_from_slice(&size);
    out.extend(body);
    Ok(())
}
