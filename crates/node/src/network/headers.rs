//! Selects the headers of a server's response that are forwarded to the caller.

use doortrack_protocols::Response;

/// Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that the node sets itself.
const NOT_FORWARDED: [&str; 12] = [
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

/// Returns the forwarded headers of a response, each as a line with its line end.
pub(super) fn forwarded_headers(response: &Response) -> Vec<u8> {
    let mut lines = Vec::new();
    for (name, value) in &response.headers {
        if is_forwarded(name) {
            for part in [name.as_bytes(), b": ", value, b"\r\n"] {
                lines.extend(part);
            }
        }
    }
    lines
}

fn is_forwarded(name: &str) -> bool {
    !NOT_FORWARDED
        .iter()
        .any(|header| header.eq_ignore_ascii_case(name))
}
