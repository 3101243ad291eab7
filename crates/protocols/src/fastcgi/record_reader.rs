//! Reads FastCGI records of either side: a header of eight bytes, content, and padding, which is
//! skipped.

const HEADER_BYTES: usize = 8;

/// An event in a stream of records.
pub(super) enum RecordEvent<'a> {
    /// The header is complete: the type, request id and content length are known.
    Header,
    /// A part of the content.
    Content(&'a [u8]),
}

/// Decodes a stream of records that may arrive in parts of any length.
#[derive(Debug, Default)]
pub(super) struct RecordReader {
    header: [u8; HEADER_BYTES],
    /// Number of bytes of the header that were read.
    header_len: usize,
    content_remaining: usize,
    padding_remaining: usize,
}

impl RecordReader {
    /// Returns true if the last record was read completely.
    pub(super) fn at_boundary(&self) -> bool {
        self.header_len == 0
    }

    pub(super) fn version(&self) -> u8 {
        self.header[0]
    }

    pub(super) fn record_type(&self) -> u8 {
        self.header[1]
    }

    pub(super) fn request_id(&self) -> u16 {
        u16::from_be_bytes([self.header[2], self.header[3]])
    }

    /// Returns the number of bytes of the content that are still to be read.
    pub(super) fn content_remaining(&self) -> usize {
        self.content_remaining
    }

    /// Returns the next event and advances `input` past it, or `None` if `input` is exhausted.
    pub(super) fn next<'a>(&mut self, input: &mut &'a [u8]) -> Option<RecordEvent<'a>> {
        loop {
            if self.header_len < HEADER_BYTES {
                return self.read_header(input).then_some(RecordEvent::Header);
            }
            if self.content_remaining > 0 {
                if input.is_empty() {
                    return None;
                }
                let content = split_front(input, self.content_remaining);
                self.content_remaining -= content.len();
                return Some(RecordEvent::Content(content));
            }
            self.padding_remaining -= split_front(input, self.padding_remaining).len();
            if self.padding_remaining > 0 {
                return None;
            }
            self.header_len = 0;
            if input.is_empty() {
                return None;
            }
        }
    }

    /// Reads bytes of the header. Returns true if the header is complete.
    fn read_header(&mut self, input: &mut &[u8]) -> bool {
        let bytes = split_front(input, HEADER_BYTES - self.header_len);
        self.header[self.header_len..self.header_len + bytes.len()].copy_from_slice(bytes);
        self.header_len += bytes.len();
        if self.header_len < HEADER_BYTES {
            return false;
        }
        self.content_remaining = u16::from_be_bytes([self.header[4], self.header[5]]).into();
        self.padding_remaining = self.header[6].into();
        true
    }
}

/// Splits up to `max` bytes off the front of `input`.
pub(crate) fn split_front<'a>(input: &mut &'a [u8], max: usize) -> &'a [u8] {
    let (front, rest) = input.split_at(max.min(input.len()));
    *input = rest;
    front
}
