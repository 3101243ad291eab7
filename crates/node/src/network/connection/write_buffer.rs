//! The write buffer of one connection.

use std::io::{ErrorKind, Write};

use doortrack_config::transient::is_without_effect;

use crate::network::bounds::RETAINED_WRITE_BUFFER_BYTES;
use crate::network::termination::Termination;

/// Encoded answers that have not been written to the socket yet.
#[derive(Default)]
pub struct WriteBuffer {
    bytes: Vec<u8>,
    /// How many of `bytes` have been written to the socket.
    written: usize,
    /// Bytes have been written since the last call of [`WriteBuffer::take_progress`].
    progressed: bool,
}

impl WriteBuffer {
    /// Returns the number of bytes that have not been written.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.written
    }

    /// Returns true if all bytes have been written.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends what `encode` writes. Returns the number of bytes appended.
    pub fn append(&mut self, encode: impl FnOnce(&mut Vec<u8>)) -> usize {
        let before = self.bytes.len();
        encode(&mut self.bytes);
        self.bytes.len() - before
    }

    /// Discards all unwritten bytes. Returns their number.
    pub fn discard(&mut self) -> usize {
        let discarded = self.len();
        *self = WriteBuffer {
            progressed: self.progressed,
            ..WriteBuffer::default()
        };
        discarded
    }

    /// Returns true if bytes have been written since the last call.
    pub fn take_progress(&mut self) -> bool {
        std::mem::take(&mut self.progressed)
    }

    /// Writes as many bytes as `peer` accepts without blocking.
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
                Err(e) if is_without_effect(&e) => break,
                Err(_) => return Err(Termination::Reset),
            }
        }
        self.release_memory();
        Ok(())
    }

    /// Removes written bytes from the buffer, also before the buffer is empty, as a slow peer may never empty it.
    fn release_memory(&mut self) {
        if self.is_empty() || self.written > RETAINED_WRITE_BUFFER_BYTES {
            self.bytes.drain(..self.written);
            self.bytes.shrink_to(RETAINED_WRITE_BUFFER_BYTES);
            self.written = 0;
        }
    }
}
