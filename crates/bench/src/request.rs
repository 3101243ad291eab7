//! A request encoded once and patched for each attempt, so that the callers cost little.

use doortrack_fakes::caller::CallerRequest;
use doortrack_protocols::Protocol;

/// Found in the encoded request where the attempt's identifier goes; no other field holds it.
const ATTEMPT_PLACEHOLDER: u64 = 0xfeed_facc_0bad_cafe;
/// Hex digits of an attempt's identifier.
const ATTEMPT_DIGITS: usize = 16;
/// Found where the time goes: as many digits as Unix ms have until the year 2286.
const TIME_PLACEHOLDER: &str = "1111111111111";

/// Layout of a FastCGI record's header.
const RECORD_HEADER_BYTES: usize = 8;
const RECORD_ID_OFFSET: usize = 2;
const RECORD_LENGTH_OFFSET: usize = 4;
/// Offset of the flags in the first record, a begin request.
const FLAGS_OFFSET: usize = RECORD_HEADER_BYTES + 2;
const FLAG_KEEP_CONNECTION: u8 = 1;

/// An encoded request and the offsets of what differs between attempts.
pub struct Template {
    bytes: Vec<u8>,
    attempt_offset: usize,
    time_offset: usize,
    /// Offsets of the request identifiers in FastCGI's record headers.
    id_offsets: Vec<usize>,
}

impl Template {
    /// A request with a body of `body_bytes`.
    pub fn new(protocol: Protocol, body_bytes: usize) -> Template {
        let body = vec![b'x'; body_bytes];
        let request = CallerRequest::new(ATTEMPT_PLACEHOLDER, "/svc/look", &body)
            .with("HTTP_X_REQUEST_START", TIME_PLACEHOLDER);
        let mut bytes = request.bytes(protocol);
        let attempt = format!("{ATTEMPT_PLACEHOLDER:016x}");
        let attempt_offset = find(&bytes, attempt.as_bytes());
        let time_offset = find(&bytes, TIME_PLACEHOLDER.as_bytes());
        let id_offsets = match protocol {
            Protocol::FastCgi => {
                bytes[FLAGS_OFFSET] = FLAG_KEEP_CONNECTION;
                record_id_offsets(&bytes)
            }
            Protocol::Uwsgi => Vec::new(),
        };
        Template {
            bytes,
            attempt_offset,
            time_offset,
            id_offsets,
        }
    }

    /// Appends a request with these identifiers and this time.
    pub fn append(&self, out: &mut Vec<u8>, id: u16, attempt: u64, unix_ms: u64) {
        let start = out.len();
        out.extend(&self.bytes);
        let request = &mut out[start..];
        let attempt_end = self.attempt_offset + ATTEMPT_DIGITS;
        write_digits(&mut request[self.attempt_offset..attempt_end], attempt, 16);
        let time_end = self.time_offset + TIME_PLACEHOLDER.len();
        write_digits(&mut request[self.time_offset..time_end], unix_ms, 10);
        for offset in &self.id_offsets {
            request[*offset..offset + 2].copy_from_slice(&id.to_be_bytes());
        }
    }
}

/// Fills `out` with the last digits of a number, base 10 or 16.
fn write_digits(out: &mut [u8], number: u64, base: u64) {
    let mut rest = number;
    for digit in out.iter_mut().rev() {
        *digit = b"0123456789abcdef"[(rest % base) as usize];
        rest /= base;
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> usize {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
        .unwrap_or(0)
}

fn record_id_offsets(bytes: &[u8]) -> Vec<usize> {
    let mut offsets = Vec::new();
    let mut record = 0;
    while record < bytes.len() {
        offsets.push(record + RECORD_ID_OFFSET);
        let length = record + RECORD_LENGTH_OFFSET;
        let content_bytes = u16::from_be_bytes([bytes[length], bytes[length + 1]]);
        record += RECORD_HEADER_BYTES + usize::from(content_bytes);
    }
    offsets
}
