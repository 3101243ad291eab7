//! Requests: a known packet, health checks, and invalid or oversized lengths.

use doortrack_protocols::{
    Protocol, ProtocolError, ResponseHead, Variable, uwsgi, write_request, write_response,
};

use crate::fixture::*;

#[test]
fn a_known_packet_is_read_and_written() {
    let (events_read, error) = events(Protocol::Uwsgi, &[PACKET]);
    let names: Vec<&str> = events_read
        .iter()
        .map(|(name, _)| name.split(' ').next().unwrap())
        .collect();
    assert_eq!(
        names,
        [
            "Begin",
            "params",
            "ParamsEnd",
            "BodyLength",
            "stdin",
            "StdinEnd"
        ]
    );
    assert_eq!(
        (events_read[1].1.len(), &events_read[4].1[..], error),
        (29, &b"..."[..], None)
    );
    let variables: [Variable; 2] = [(b"CONTENT_LENGTH", b"3"), (b"A", b"value")];
    assert_eq!(uwsgi::read_variables(&events_read[1].1).unwrap(), variables);
    assert_eq!(packet(&variables, b"...and more"), PACKET);
    let mut out = Vec::new();
    write_response(
        Protocol::Uwsgi,
        &mut out,
        0,
        ResponseHead {
            status: "200 OK",
            headers: &[("A", "b")],
            extra_lines: b"",
        },
        b"xy",
    );
    assert_eq!(
        out,
        b"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\n\r\nxy"
    );
}

#[test]
fn a_ping_gets_a_response_with_a_warning_if_not_ready() {
    assert_eq!(
        events(Protocol::Uwsgi, &[&[100, 0, 0, 0, 9, 9]]).0,
        [("Ping".to_string(), vec![])]
    );
    assert!(events(Protocol::Uwsgi, &[&[100, 1, 0, 0, 9]]).1.is_some());
    let (mut healthy, mut unhealthy) = (Vec::new(), Vec::new());
    uwsgi::write_pong(&mut healthy, true);
    uwsgi::write_pong(&mut unhealthy, false);
    assert_eq!(
        (&healthy[..], &unhealthy[..4], &unhealthy[4..]),
        (&[100, 0, 0, 1][..], &[100, 9, 0, 1][..], &b"not ready"[..])
    );
}

#[test]
fn invalid_lengths_and_unsupported_modifiers_are_errors() {
    for modifier in (1..=255).filter(|m| *m != uwsgi::PING) {
        assert!(
            events(Protocol::Uwsgi, &[&[modifier, 0, 0, 0]]).1.is_some(),
            "modifier {modifier}"
        );
    }
    for block in [
        &b"\x05\x00AB"[..],    // a name beyond the end of the packet
        b"\x01\x00A\x09\x00B", // a value beyond the end of the packet
        b"\x01\x00A",          // a name without a value
        b"\x01\x00A\x01",      // a truncated length of a value
        b"\x01",               // a truncated length of a name
        b"\xff\xff",           // a name of maximum length without content
    ] {
        let bytes = [&[0, block.len() as u8, 0, 0], block, &[0; 70_000]].concat();
        let (events_read, error) = events(Protocol::Uwsgi, &[&bytes]);
        assert!(error.is_some(), "{block:?}: {events_read:?}");
        assert!(uwsgi::read_variables(block).is_err(), "{block:?}");
    }
    // An empty packet is valid: it has no variables and no body.
    let (events_read, error) = events(Protocol::Uwsgi, &[&[0; 4]]);
    assert_eq!((events_read.len(), error), (4, None), "{events_read:?}");
}

#[test]
fn a_body_length_is_a_single_number_or_absent() {
    let body_length = |values: &[&str]| {
        let variables: Vec<Variable> = values
            .iter()
            .map(|v| (&b"CONTENT_LENGTH"[..], v.as_bytes()))
            .collect();
        let (events_read, error) = events(Protocol::Uwsgi, &[&packet(&variables, b"")]);
        let reported = events_read
            .iter()
            .find(|(name, _)| name.starts_with("BodyLength"))
            .map(|(name, _)| name.clone());
        (reported, error)
    };
    for (values, expected) in [
        (&[][..], "0"),
        (&[""], "0"),
        (&["0"], "0"),
        (&["007"], "7"),
        (&["2048"], "2048"),
    ] {
        assert_eq!(
            body_length(values),
            (
                Some(format!("BodyLength {{ id: 0, length: {expected} }}")),
                None
            )
        );
    }
    assert!(
        body_length(&["999999999999999999"]).0.is_some(),
        "a large length is reported; the caller rejects it"
    );
    for invalid in [
        &["-1"][..],
        &["+1"],
        &["1 "],
        &["1e3"],
        &["0x10"],
        &["9999999999999999999"],
        &["1", "1"],
    ] {
        assert_eq!(
            body_length(invalid).1,
            Some(ProtocolError("CONTENT_LENGTH")),
            "{invalid:?}"
        );
    }
    // Only the exact name counts.
    let similar: [Variable; 3] = [
        (b"CONTENT_LENGT", b"x"),
        (b"CONTENT_LENGTHS", b"x"),
        (b"content_length", b"x"),
    ];
    assert_eq!(events(Protocol::Uwsgi, &[&packet(&similar, b"")]).1, None);
}

#[test]
fn variables_larger_than_a_packet_are_not_written() {
    let long = vec![b'x'; 65_530];
    let mut out = b"before".to_vec();
    for variables in [&[(&long[..], &long[..])][..], &[(&[0; 70_000][..], b"")]] {
        assert!(write_request(Protocol::Uwsgi, &mut out, 0, false, variables, b"").is_err());
        assert_eq!(out, b"before");
    }
    assert!(
        write_request(
            Protocol::FastCgi,
            &mut out,
            1,
            false,
            &[(&long, &long)],
            b""
        )
        .is_ok()
    );
}
