//! A request that is encoded once and patched for each attempt, which keeps the cost of the callers low.

use doortrack_fakes::caller::CallerRequest;
use doortrack_protocols::Protocol;

/// Placeholder of the attempt identifier in the encoded request; it occurs in no other field.
const ATTEMPT_PLACEHOLDER: u64 = 0xfeed_facc_0bad_cafe;
/// Number of hex digits of an attempt identifier.
const ATTEMPT_DIGITS: usize = 16;
/// Placeholder of the time in the encoded request. Unix time in ms has this many digits until the year 2286.
const TIME_PLACEHOLDER: &str = "1111111111111";

/// Layout of a FastCGI record header: its length and the offsets of two fields, in bytes.
const RECORD_HEADER_BYTES: usize = 8;
const RECORD_ID_OFFSET: usize = 2;
const RECORD_LENGTH_OFFSET: usize = 4;
/// Offset of the flags in the first record, which is `FCGI_BEGIN_REQUEST`.
const FLAGS_OFFSET: usize = RECORD_HEADER_BYTES + 2;
const FLAG_KEEP_CONNECTION: u8 = 1;

/// An encoded request and the offsets of the fields that differ between attempts.
pub struct Template {
    bytes: Vec<u8>,
    attempt_offset: usize,
    time_offset: usize,
    /// Offsets of the request identifiers in the FastCGI record headers.
    id_offsets: Vec<usize>,
}

impl Template {
    /// Encodes a request with a body of `body_bytes`.
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

    /// Appends a request with the given identifiers and time.
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

/// Fills `out` with the last digits of a number in base 10 or 16.
fn write_digits(out: &mut [u8], number: u64, base: u64) {
    let mut remaining = number;
    for digit in out.iter_mut().rev() {
        *digit = b"0123456789abcdef"[(remaining % base) as usize];
        remaining /= base;
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
