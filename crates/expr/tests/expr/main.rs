//! The language: what is read and refused, values of known requests, and the compiled form against a plain
//! reading of the same source on random expressions.

#![allow(
    clippy::too_many_lines,
    reason = "a scenario is read from its start to its end"
)]

mod documented;
mod language;
mod random;
mod reference;

use doortrack_expr::LiteralRequest;

/// A request with something of each kind.
pub fn asked() -> LiteralRequest {
    let mut asked = LiteralRequest {
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
    asked.variables.push(("REMOTE_USER".into(), b"ana".into()));
    asked
}
