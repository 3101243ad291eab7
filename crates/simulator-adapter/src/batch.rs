//! Reads batches of records from the input.

use std::io::{self, Read};

use doortrack_time::{TenthMillis, from_micros_floor};

use crate::error::AdapterError;

/// Size of a batch header: a `u32` with the length of the records, and a `u64` with the clock in microseconds.
const HEADER_BYTES: usize = 12;

/// One batch of records.
pub struct Batch<'a> {
    /// The time of all events in the batch.
    pub now: TenthMillis,
    /// The encoded records.
    pub records: &'a [u8],
    /// Offset of the records in the input, in bytes.
    pub offset: u64,
}

impl Batch<'_> {
    /// Offset of the end of the batch in the input, in bytes.
    pub fn end(&self) -> u64 {
        self.offset + self.records.len() as u64
    }
}

/// Reads batches sequentially.
pub struct BatchReader<R> {
    input: R,
    /// Number of bytes read from the input.
    offset: u64,
    records: Vec<u8>,
}

impl<R: Read> BatchReader<R> {
    /// Creates a reader at the start of `input`.
    pub fn new(input: R) -> BatchReader<R> {
        BatchReader {
            input,
            offset: 0,
            records: Vec::new(),
        }
    }

    /// Reads the next batch; `None` at the end of the input.
    ///
    /// # Errors
    /// The input can't be read, or ends within a batch.
    pub fn next_batch(&mut self) -> Result<Option<Batch<'_>>, AdapterError> {
        let Some(header) = self.read_header()? else {
            return Ok(None);
        };
        let [l0, l1, l2, l3, clock @ ..] = header;
        let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
        let offset = self.offset;
        self.read_records(length)?;
        Ok(Some(Batch {
            now: from_micros_floor(u64::from_le_bytes(clock)),
            records: &self.records,
            offset,
        }))
    }

    fn read_header(&mut self) -> Result<Option<[u8; HEADER_BYTES]>, AdapterError> {
        let offset = self.offset;
        let mut header = [0; HEADER_BYTES];
        let found = fill(&mut self.input, &mut header)
            .map_err(|source| AdapterError::Input { offset, source })?;
        match found {
            0 => Ok(None),
            HEADER_BYTES => {
                self.offset += HEADER_BYTES as u64;
                Ok(Some(header))
            }
            found => Err(AdapterError::TruncatedHeader {
                offset,
                needed: HEADER_BYTES,
                found,
            }),
        }
    }

    fn read_records(&mut self, length: usize) -> Result<(), AdapterError> {
        let offset = self.offset;
        self.records.clear();
        let found = (&mut self.input)
            .take(length as u64)
            .read_to_end(&mut self.records)
            .map_err(|source| AdapterError::Input { offset, source })?;
        if found < length {
            return Err(AdapterError::TruncatedBatch {
                offset,
                length,
                found,
            });
        }
        self.offset += length as u64;
        Ok(())
    }
}

/// Reads until `buffer` is full or the input ends. Returns the number of bytes read.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(count) => filled += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(filled)
}
