//! Answers of one connection on their way to the peer.

use std::io::{ErrorKind, Write};

use crate::network::bounds::RETAINED_WRITE_BUFFER_BYTES;
use crate::network::termination::Termination;

/// Encoded answers that the peer has not taken yet.
#[derive(Default)]
pub struct WriteBuffer {
    bytes: Vec<u8>,
    /// How many of `bytes` the system has taken.
    written: usize,
    /// The peer has taken something since [`WriteBuffer::take_progress`].
    progressed: bool,
}

impl WriteBuffer {
    /// Bytes that the peer has not taken.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.written
    }

    /// Whether the peer has taken everything.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends what `encode` writes; how many bytes that was.
    pub fn append(&mut self, encode: impl FnOnce(&mut Vec<u8>)) -> usize {
        let before = self.bytes.len();
        encode(&mut self.bytes);
        self.bytes.len() - before
    }

    /// Drops everything; how many bytes that was.
    pub fn discard(&mut self) -> usize {
        let discarded = self.len();
        *self = WriteBuffer {
            progressed: self.progressed,
            ..WriteBuffer::default()
        };
        discarded
    }

    /// Whether the peer has taken anything since the last call.
    pub fn take_progress(&mut self) -> bool {
        std::mem::take(&mut self.progressed)
    }

    /// Writes as much as `peer` takes without blocking.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn write_to(&mut self, mut peer: impl Write) -> Result<(), Termination> {
        while !self.is_empty() {
            match peer.write(&self.bytes[self.written..]) {
                Ok(0) => return Err(Termination::Reset),
                Ok(count) => {
                    self.written += count;
                    self.progressed = true;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return Err(Termination::Reset),
            }
        }
        self.release_memory();
        Ok(())
    }

    /// Drops what was written. A slow peer may never empty the buffer, so that is not waited for.
    fn release_memory(&mut self) {
        if self.is_empty() || self.written > RETAINED_WRITE_BUFFER_BYTES {
            self.bytes.drain(..self.written);
            self.bytes.shrink_to(RETAINED_WRITE_BUFFER_BYTES);
            self.written = 0;
        }
    }
}
