//! Headers of a server's answer that go on to its caller.

use doortrack_protocols::Response;

/// What a connection says of itself or to its next hop, and what this node says in its own words.
const NOT_PASSED_ON: [&str; 12] = [
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "X-Load-Signal",
    "Retry-After-Ms",
    "X-Dont-Retry",
];

/// The headers of an answer that are its caller's, as lines.
pub(super) fn passed_on(answer: &Response) -> Vec<u8> {
    let mut lines = Vec::new();
    for (name, value) in &answer.headers {
        if !NOT_PASSED_ON
            .iter()
            .any(|own| own.eq_ignore_ascii_case(name))
        {
            for part in [name.as_bytes(), b": ", value, b"\r\n"] {
                lines.extend(part);
            }
        }
    }
    lines
}
