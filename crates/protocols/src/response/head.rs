//! Parses the head of a response.

use super::Response;
use crate::{Protocol, ProtocolError};

/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 64;
/// Status of a CGI response without a `Status` header.
const DEFAULT_STATUS: u16 = 200;

const INVALID_HEAD: ProtocolError = ProtocolError("invalid response head");

/// Returns the offset of the end of the head, or `None` if the head is incomplete. The first
/// `searched` bytes were searched before. Lines may end with or without a carriage return, as CGI
/// programs write both.
pub(super) fn find_head_end(head: &[u8], searched: usize) -> Option<usize> {
    // The empty line may have begun within the bytes that were searched before.
    let from = searched.saturating_sub(3);
    (from..head.len())
        .filter(|at| head[*at] == b'\n')
        .find_map(|at| match &head[at + 1..] {
            [b'\n', ..] => Some(at + 2),
            [b'\r', b'\n', ..] => Some(at + 3),
            _ => None,
        })
}

/// Parses a head into a response without a body. A uwsgi head begins with a status line. A CGI head
/// has the status in the `Status` header, or the status is 200.
pub(super) fn parse_head(protocol: Protocol, raw: &[u8]) -> Result<Response, ProtocolError> {
    let mut status = None;
    let mut lines = raw;
    if protocol == Protocol::Uwsgi || raw.starts_with(b"HTTP/") {
        let line_end = raw
            .iter()
            .position(|byte| *byte == b'\n')
            .ok_or(INVALID_HEAD)?;
        status = Some(parse_status_line(&raw[..line_end])?);
        lines = &raw[line_end + 1..];
    }
    let mut parsed = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let parsed = match httparse::parse_headers(lines, &mut parsed) {
        Ok(httparse::Status::Complete((_, headers))) => headers,
        _ => return Err(INVALID_HEAD),
    };
    let mut headers = Vec::with_capacity(parsed.len());
    for header in parsed {
        if status.is_none() && header.name.eq_ignore_ascii_case("Status") {
            let text = std::str::from_utf8(header.value).map_err(|_| INVALID_HEAD)?;
            let number = text.split_ascii_whitespace().next().unwrap_or_default();
            status = Some(parse_status(number)?);
        } else {
            headers.push((header.name.to_string(), header.value.to_vec()));
        }
    }
    Ok(Response {
        status: status.unwrap_or(DEFAULT_STATUS),
        headers,
        ..Response::default()
    })
}

fn parse_status_line(line: &[u8]) -> Result<u16, ProtocolError> {
    const MISSING_STATUS_LINE: ProtocolError = ProtocolError("missing status line");
    let line = std::str::from_utf8(line).map_err(|_| INVALID_HEAD)?;
    let rest = line.strip_prefix("HTTP/").ok_or(MISSING_STATUS_LINE)?;
    let number = rest.split_ascii_whitespace().nth(1);
    parse_status(number.ok_or(MISSING_STATUS_LINE)?)
}

fn parse_status(number: &str) -> Result<u16, ProtocolError> {
    let three_digits = number.len() == 3 && number.bytes().all(|byte| byte.is_ascii_digit());
    number
        .parse()
        .ok()
        .filter(|status| three_digits && (100..600).contains(status))
        .ok_or(ProtocolError(
            "the status is not a three-digit number from 100 to 599",
        ))
}
