//! Tests of the language: accepted and rejected sources, values for known requests, and random expressions whose
//! compiled form is compared with a reference interpreter.

#![allow(
    clippy::too_many_lines,
    reason = "test tables and generators are clearer in one piece"
)]

mod documented;
mod language;
mod random;
mod reference;

use doortrack_expr::LiteralRequest;

/// A request that has every kind of field, with repeated, empty and non-UTF-8 headers.
pub fn sample_request() -> LiteralRequest {
    let mut request = LiteralRequest {
        path: "/book/north/berth-4".into(),
        query: "day=sat&boat=12&boat=13".into(),
        body: b"berth=4;nights=2;name=Ana".to_vec(),
        front: "uwsgi".into(),
        peer: "10.1.2.3".parse().unwrap(),
        time_of_day: 9 * 3_600_000_000,
        ..LiteralRequest::default()
    }
    .header("x-yard", "North")
    .header("x-length", "12")
    .header("x-raw", b"\xff\xfe")
    .header("x-twice", "a")
    .header("x-twice", "b")
    .header("x-empty", "");
    request
        .variables
        .push(("REMOTE_USER".into(), b"ana".into()));
    request
}
