//! Both protocols on both sides: known bytes, any bytes, split into any parts.

use doortrack_fakes::cut_at;
use doortrack_protocols::fastcgi::ProtocolStatus;
use doortrack_protocols::{
    Protocol, ProtocolError, RequestEvent, RequestReader, Response, ResponseHead, ResponseOutcome,
    ResponseReader, Variable, uwsgi,
};
use doortrack_protocols::{write_request, write_response};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const PACKET: &[u8] =
    b"\x00\x1d\x00\x00\x0e\x00CONTENT_LENGTH\x01\x003\x01\x00A\x05\x00value...and more";

fn packet(variables: &[Variable], body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    uwsgi::write_request(&mut out, variables.iter().copied(), body).unwrap();
    out
}

/// The events of a stream that arrives in these parts, with contents joined so that the parts do not show.
fn events(protocol: Protocol, parts: &[&[u8]]) -> (Vec<(String, Vec<u8>)>, Option<ProtocolError>) {
    let (mut reader, mut events_read) = (
        RequestReader::new(protocol),
        Vec::<(String, Vec<u8>)>::new(),
    );
    for part in parts {
        let mut input = *part;
        loop {
            let (name, bytes) = match reader.next(&mut input) {
                Ok(Some(RequestEvent::Params { id, bytes })) => (format!("params {id}"), bytes),
                Ok(Some(RequestEvent::Stdin { id, bytes })) => (format!("stdin {id}"), bytes),
                Ok(Some(event)) => (format!("{event:?}"), &b""[..]),
                Ok(None) => break,
                Err(error) => return (events_read, Some(error)),
            };
            match events_read
                .last_mut()
                .filter(|(last, _)| *last == name && !bytes.is_empty())
            {
                Some((_, joined)) => joined.extend(bytes),
                None => events_read.push((name, bytes.to_vec())),
            }
        }
    }
    (events_read, None)
}

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
fn a_ping_is_recognized_and_answered_with_a_warning() {
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
fn bad_lengths_and_other_modifiers_are_refused() {
    for modifier in (1..=255).filter(|m| *m != uwsgi::PING) {
        assert!(
            events(Protocol::Uwsgi, &[&[modifier, 0, 0, 0]]).1.is_some(),
            "modifier {modifier}"
        );
    }
    for block in [
        &b"\x05\x00AB"[..],    // a name past the packet's end
        b"\x01\x00A\x09\x00B", // a value past it
        b"\x01\x00A",          // a name with no value
        b"\x01\x00A\x01",      // half a length
        b"\x01",               // half the first
        b"\xff\xff",           // the longest name there is, and nothing of it
    ] {
        let bytes = [&[0, block.len() as u8, 0, 0], block, &[0; 70_000]].concat();
        let (events_read, error) = events(Protocol::Uwsgi, &[&bytes]);
        assert!(error.is_some(), "{block:?}: {events_read:?}");
        assert!(uwsgi::read_variables(block).is_err(), "{block:?}");
    }
    // An empty packet is valid: no variables, no body.
    let (events_read, error) = events(Protocol::Uwsgi, &[&[0; 4]]);
    assert_eq!((events_read.len(), error), (4, None), "{events_read:?}");
}

#[test]
fn a_body_length_is_one_number_or_absent() {
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
    for (values, wanted) in [
        (&[][..], "0"),
        (&[""], "0"),
        (&["0"], "0"),
        (&["007"], "7"),
        (&["2048"], "2048"),
    ] {
        assert_eq!(
            body_length(values),
            (
                Some(format!("BodyLength {{ id: 0, length: {wanted} }}")),
                None
            )
        );
    }
    assert!(
        body_length(&["999999999999999999"]).0.is_some(),
        "reported, for the caller to refuse"
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
    let near: [Variable; 3] = [
        (b"CONTENT_LENGT", b"x"),
        (b"CONTENT_LENGTHS", b"x"),
        (b"content_length", b"x"),
    ];
    assert_eq!(events(Protocol::Uwsgi, &[&packet(&near, b"")]).1, None);
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

fn read_response(
    protocol: Protocol,
    bytes: &[u8],
) -> Result<Option<ResponseOutcome>, ProtocolError> {
    ResponseReader::new(protocol, 1, 4096).read(&mut &bytes[..])
}

#[test]
fn responses_are_complete_truncated_or_refused() {
    let mut valid = Vec::new();
    write_response(
        Protocol::Uwsgi,
        &mut valid,
        1,
        ResponseHead {
            status: "200 OK",
            headers: &[],
            extra_lines: b"",
        },
        b"body",
    );
    for cut in 0..valid.len() {
        let mut reader = ResponseReader::new(Protocol::Uwsgi, 1, 4096);
        assert_eq!(reader.read(&mut &valid[..cut]), Ok(None));
        assert!(reader.on_close().is_err(), "cut at {cut}");
        assert_eq!(reader.has_begun(), cut > 0);
    }
    // Without a length it ends with the connection.
    let mut reader = ResponseReader::new(Protocol::Uwsgi, 1, 4096);
    assert_eq!(
        reader.read(&mut &b"HTTP/1.0 404 Not Found\nA:  b \n\nbo"[..]),
        Ok(None)
    );
    assert_eq!(reader.read(&mut &b"dy"[..]), Ok(None));
    let response = reader.on_close().unwrap();
    assert_eq!(
        (response.status, &response.body[..], response.header("a")),
        (404, &b"body"[..], Some(&b"b"[..]))
    );
    // More than announced: what was announced counts, and the rest is reported.
    let more = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nbody";
    let Ok(Some(ResponseOutcome::Complete(response))) = read_response(Protocol::Uwsgi, more) else {
        panic!()
    };
    assert_eq!((&response.body[..], response.excess), (&b"bo"[..], true));
    let mut fast = Vec::new();
    write_response(
        Protocol::FastCgi,
        &mut fast,
        1,
        ResponseHead {
            status: "201 Made",
            headers: &[],
            extra_lines: b"",
        },
        b"body",
    );
    for cut in 0..fast.len() {
        let mut reader = ResponseReader::new(Protocol::FastCgi, 1, 4096);
        assert_eq!(reader.read(&mut &fast[..cut]), Ok(None));
        assert!(reader.on_close().is_err(), "no end record at {cut}");
    }
    let Ok(Some(ResponseOutcome::Complete(response))) = read_response(Protocol::FastCgi, &fast)
    else {
        panic!()
    };
    assert_eq!((response.status, &response.body[..]), (201, &b"body"[..]));
    let overloaded = [1, 3, 0, 1, 0, 8, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0];
    let refused = Ok(Some(ResponseOutcome::Refused(ProtocolStatus::Overloaded)));
    assert_eq!(read_response(Protocol::FastCgi, &overloaded), refused);
}

#[test]
fn invalid_responses_are_errors() {
    for bytes in [
        &b"SSH-2.0-OpenSSH\r\n\r\n"[..],
        b"HTTP/1.1 99 Low\r\n\r\n",
        b"HTTP/1.1 2000 High\r\n\r\n",
        b"HTTP/1.1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno header\r\n\r\n",
        &[b'x'; 20_000],
        &[b"HTTP/1.1 200 OK\r\n\r\n".to_vec(), vec![b'x'; 5000]].concat(),
    ] {
        assert!(
            read_response(Protocol::Uwsgi, bytes).is_err(),
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
    assert!(read_response(Protocol::FastCgi, b"HTTP/1.1 200 OK\r\n\r\n").is_err());
    assert!(
        read_response(Protocol::FastCgi, &[1, 1, 0, 1, 0, 0, 0, 0]).is_err(),
        "a record of a web server"
    );
}

fn without_excess(read: ResponseOutcome) -> ResponseOutcome {
    match read {
        ResponseOutcome::Complete(response) => ResponseOutcome::Complete(Response {
            excess: false,
            ..response
        }),
        refused => refused,
    }
}

fn bytes(max_len: usize) -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..max_len)
}

/// A byte stream that one side may send: valid, valid but for one byte, or random.
fn streams() -> impl Strategy<Value = (Protocol, Vec<u8>)> {
    let protocol = prop_oneof![Just(Protocol::FastCgi), Just(Protocol::Uwsgi)];
    let fields = prop::collection::vec(
        (prop::collection::vec(any::<u8>(), 0..40), any::<u8>()),
        0..6,
    );
    let body = prop::collection::vec(any::<u8>(), 0..300);
    let random_bytes = prop::collection::vec(any::<u8>(), 0..300);
    (
        protocol,
        fields,
        body,
        random_bytes,
        any::<Option<(u16, u8)>>(),
        0..4u8,
    )
        .prop_map(
            |(protocol, fields, body, random_bytes, change, stream_kind)| {
                if stream_kind == 0 {
                    return (protocol, random_bytes);
                }
                let variables: Vec<Variable> = fields
                    .iter()
                    .map(|(name, byte)| (&name[..], std::slice::from_ref(byte)))
                    .collect();
                let mut out = Vec::new();
                write_request(protocol, &mut out, 7, true, &variables, &body).unwrap();
                if let Some((offset, byte)) = change.filter(|_| stream_kind == 1) {
                    let offset = usize::from(offset) % out.len();
                    out[offset] = byte;
                }
                (protocol, out)
            },
        )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600, failure_persistence: None, rng_seed: RngSeed::Fixed(0x0d0072ac),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_in_any_parts_read_the_same(
        (protocol, stream) in streams(),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..6),
    ) {
        let whole = events(protocol, &[&stream]);
        let cuts = cuts.iter().map(|offset| offset.index(stream.len() + 1)).collect();
        let parts = cut_at(&stream, cuts);
        let cut = events(protocol, &parts);
        prop_assert_eq!(&cut.1, &whole.1);
        // Before an error a part of its own event may have been passed on already, or not.
        let valid = whole.0.len() - usize::from(whole.1.is_some() && !whole.0.is_empty());
        prop_assert_eq!(&cut.0[..valid.min(cut.0.len())], &whole.0[..valid]);
        prop_assert!(whole.1.is_some() || cut.0 == whole.0);
    }

    #[test]
    fn a_request_is_read_as_it_was_written(
        names in prop::collection::vec(bytes(300), 0..5),
        body in bytes(3000),
    ) {
        for protocol in Protocol::ALL {
            let names = names.iter().filter(|name| *name != b"CONTENT_LENGTH");
            let variables: Vec<Variable> = names.map(|name| (&name[..], &name[..name.len() / 2])).collect();
            let mut out = Vec::new();
            write_request(protocol, &mut out, 7, true, &variables, &body).unwrap();
            let (events_read, error) = events(protocol, &[&out]);
            prop_assert_eq!(error, None);
            let contents = |stream_kind: &str| -> Vec<u8> {
                let matching = events_read.iter().filter(|(name, _)| name.starts_with(stream_kind));
                matching.flat_map(|(_, bytes)| bytes.clone()).collect()
            };
            let block = contents("params");
            let read = protocol.read_variables(&block).unwrap();
            let length = body.len().to_string();
            prop_assert_eq!(&read[..variables.len()], &variables[..]);
            prop_assert_eq!(read[variables.len()], (&b"CONTENT_LENGTH"[..], length.as_bytes()));
            prop_assert_eq!(contents("stdin"), body.clone());
        }
    }

    #[test]
    fn any_response_in_any_parts_reads_the_same(
        random_bytes in bytes(200),
        body in bytes(200),
        change in any::<Option<(u16, u8)>>(),
        offset in any::<prop::sample::Index>(),
    ) {
        for protocol in Protocol::ALL {
            let mut valid = Vec::new();
            let head = ResponseHead { status: "200 OK", headers: &[("A", "b")], extra_lines: b"" };
            write_response(protocol, &mut valid, 1, head, &body);
            if let Some((offset, byte)) = change {
                let offset = usize::from(offset) % valid.len();
                valid[offset] = byte;
            }
            for stream in [&random_bytes, &valid] {
                let whole = read_response(protocol, stream);
                let (first, second) = stream.split_at(offset.index(stream.len() + 1));
                let mut reader = ResponseReader::new(protocol, 1, 4096);
                let cut = match reader.read(&mut &first[..]) {
                    Ok(None) => reader.read(&mut &second[..]),
                    ended => ended,
                };
                // Bytes past an announced length show only if they arrive with it.
                let comparable = |read: Result<Option<ResponseOutcome>, ProtocolError>| {
                    read.map(|read| read.map(without_excess))
                };
                prop_assert_eq!(comparable(cut), comparable(whole));
            }
        }
    }
}
