//! A request written once and stamped for each request, so that the callers cost little.

use doortrack_fakes::caller::Ask;
use doortrack_protocols::Protocol;

/// Stands where the name of the try and the time go; no other field holds them.
const TRY: u64 = 0xfeed_facc_0bad_cafe;
const STAMP: &str = "1111111111111";
const HEAD: usize = 8;

pub struct Template {
    bytes: Vec<u8>,
    try_at: usize,
    stamp_at: usize,
    /// Where the ids of FastCGI's records stand.
    ids_at: Vec<usize>,
}

impl Template {
    pub fn new(protocol: Protocol, body: usize) -> Template {
        let body = vec![b'x'; body];
        let ask = Ask::new(TRY, "/svc/look", &body).with("HTTP_X_REQUEST_START", STAMP);
        let mut bytes = ask.bytes(protocol);
        let find = |what: &[u8]| {
            bytes
                .windows(what.len())
                .position(|part| part == what)
                .unwrap_or(0)
        };
        let (try_at, stamp_at) = (
            find(format!("{TRY:016x}").as_bytes()),
            find(STAMP.as_bytes()),
        );
        let mut ids_at = Vec::new();
        if protocol == Protocol::FastCgi {
            // Its connections are kept.
            bytes[HEAD + 2] = 1;
            let mut at = 0;
            while at < bytes.len() {
                ids_at.push(at + 2);
                at += HEAD + usize::from(u16::from_be_bytes([bytes[at + 4], bytes[at + 5]]));
            }
        }
        Template {
            bytes,
            try_at,
            stamp_at,
            ids_at,
        }
    }

    /// Appends the request of one request; `unix_ms` has thirteen digits for a while yet.
    pub fn stamp(&self, out: &mut Vec<u8>, id: u16, try_id: u64, unix_ms: u64) {
        let from = out.len();
        out.extend(&self.bytes);
        let request = &mut out[from..];
        let mut rest = try_id;
        for place in (0..16).rev() {
            request[self.try_at + place] = b"0123456789abcdef"[(rest & 15) as usize];
            rest >>= 4;
        }
        let mut rest = unix_ms;
        for place in (0..STAMP.len()).rev() {
            request[self.stamp_at + place] = b'0' + (rest % 10) as u8;
            rest /= 10;
        }
        for at in &self.ids_at {
            request[*at..at + 2].copy_from_slice(&id.to_be_bytes());
        }
    }
}
