//! Packets of uwsgi, read and written without sockets.
//!
//! A packet is a header of four bytes (modifier 1, the size of what follows in 16 bits with the low
//! byte first, modifier 2) and a block of variables, each name and value behind its length in 16
//! bits of the same order. A body of `CONTENT_LENGTH` bytes follows outside the packet. A
//! connection carries one request.

mod block_scanner;
mod request_splitter;

pub use self::request_splitter::RequestSplitter;
use crate::fastcgi::split_front;
use crate::{ProtocolError, Variable};

/// Modifier 1 of a request as any web server sends it.
pub const REQUEST: u8 = 0;
/// Modifier 1 of a health check and its answer.
pub const PING: u8 = 100;
/// Modifier 2 of the answer to a health check.
const PONG: u8 = 1;

const HEADER_BYTES: usize = 4;

const CUT_SHORT: ProtocolError = ProtocolError("variables that are cut short");
const LONGER_THAN_PACKET: ProtocolError =
    ProtocolError("a variable that is longer than its packet");

/// Reads the variables of a complete block.
///
/// # Errors
/// A length leads past the end of the block.
pub fn read_variables(mut block: &[u8]) -> Result<Vec<Variable<'_>>, ProtocolError> {
    let mut variables = Vec::with_capacity(16);
    while !block.is_empty() {
        variables.push((read_string(&mut block)?, read_string(&mut block)?));
    }
    Ok(variables)
}

/// Reads a name or value behind its length.
fn read_string<'a>(block: &mut &'a [u8]) -> Result<&'a [u8], ProtocolError> {
    let [low, high] = *split_front(block, 2) else {
        return Err(CUT_SHORT);
    };
    let length = u16::from_le_bytes([low, high]).into();
    let string = split_front(block, length);
    if string.len() < length {
        return Err(LONGER_THAN_PACKET);
    }
    Ok(string)
}

/// Answers a health check, with a warning unless this side is healthy.
pub fn write_pong(out: &mut Vec<u8>, healthy: bool) {
    let warning: &[u8] = if healthy { b"" } else { b"not ready" };
    let [low, high] = (warning.len() as u16).to_le_bytes();
    out.extend([PING, low, high, PONG]);
    out.extend(warning);
}

/// Writes a complete request: packet and body.
///
/// # Errors
/// The variables take more than the 65,535 bytes of a packet; nothing is written then.
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
            // Also catches a string whose length does not fit its 16 bits.
            if out.len() - start - HEADER_BYTES > u16::MAX.into() {
                out.truncate(start);
                return Err(ProtocolError("more variables than a packet holds"));
            }
        }
    }
    let size = ((out.len() - start - HEADER_BYTES) as u16).to_le_bytes();
    out[start + 1..start + 3].copy_from_slice(&size);
    out.extend(body);
    Ok(())
}
