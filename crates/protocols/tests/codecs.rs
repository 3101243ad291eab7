//! Both protocols on both sides: known bytes, any cuts, any bytes.

use doortrack_fakes::cut_at;
use doortrack_protocols::fastcgi::ProtocolStatus;
use doortrack_protocols::{
    Answer, AnswerReader, Answered, Broken, Head, Pair, Piece, Protocol, RequestReader, uwsgi,
};
use doortrack_protocols::{write_answer, write_request};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const PACKET: &[u8] =
    b"\x00\x1d\x00\x00\x0e\x00CONTENT_LENGTH\x01\x003\x01\x00A\x05\x00value...and more";

fn packet(variables: &[Pair], body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    uwsgi::request(&mut out, variables.iter().copied(), body).unwrap();
    out
}

/// What a stream is read as, fed in these parts: contents joined, so that cuts do not show.
fn pieces(protocol: Protocol, parts: &[&[u8]]) -> (Vec<(String, Vec<u8>)>, Option<Broken>) {
    let (mut reader, mut found) = (
        RequestReader::new(protocol),
        Vec::<(String, Vec<u8>)>::new(),
    );
    for part in parts {
        let mut input = *part;
        loop {
            let (name, bytes) = match reader.next(&mut input) {
                Ok(Some(Piece::Params { id, bytes })) => (format!("params {id}"), bytes),
                Ok(Some(Piece::Stdin { id, bytes })) => (format!("stdin {id}"), bytes),
                Ok(Some(other)) => (format!("{other:?}"), &b""[..]),
                Ok(None) => break,
                Err(broken) => return (found, Some(broken)),
            };
            match found
                .last_mut()
                .filter(|(last, _)| *last == name && !bytes.is_empty())
            {
                Some((_, so_far)) => so_far.extend(bytes),
                None => found.push((name, bytes.to_vec())),
            }
        }
    }
    (found, None)
}

#[test]
fn a_known_packet_is_read_and_written() {
    let (found, broken) = pieces(Protocol::Uwsgi, &[PACKET]);
    let names: Vec<&str> = found
        .iter()
        .map(|(name, _)| name.split(' ').next().unwrap())
        .collect();
    assert_eq!(
        names,
        [
            "Begin",
            "params",
            "ParamsEnd",
            "BodyOf",
            "stdin",
            "StdinEnd"
        ]
    );
    assert_eq!(
        (found[1].1.len(), &found[4].1[..], broken),
        (29, &b"..."[..], None)
    );
    let variables: [Pair; 2] = [(b"CONTENT_LENGTH", b"3"), (b"A", b"value")];
    assert_eq!(uwsgi::pairs(&found[1].1).unwrap(), variables);
    assert_eq!(packet(&variables, b"...and more"), PACKET);
    let mut out = Vec::new();
    write_answer(
        Protocol::Uwsgi,
        &mut out,
        0,
        Head {
            status: "200 OK",
            headers: &[("A", "b")],
            more: b"",
        },
        b"xy",
    );
    assert_eq!(
        out,
        b"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\n\r\nxy"
    );
}

#[test]
fn a_ping_is_one_and_is_answered_with_what_is_wrong() {
    assert_eq!(
        pieces(Protocol::Uwsgi, &[&[100, 0, 0, 0, 9, 9]]).0,
        [("Ping".to_string(), vec![])]
    );
    assert!(pieces(Protocol::Uwsgi, &[&[100, 1, 0, 0, 9]]).1.is_some());
    let (mut good, mut bad) = (Vec::new(), Vec::new());
    uwsgi::pong(&mut good, true);
    uwsgi::pong(&mut bad, false);
    assert_eq!(
        (&good[..], &bad[..4], &bad[4..]),
        (&[100, 0, 0, 1][..], &[100, 9, 0, 1][..], &b"not ready"[..])
    );
}

#[test]
fn lengths_that_do_not_add_up_and_other_modifiers_are_told_apart() {
    for modifier in (1..=255).filter(|m| *m != uwsgi::PING) {
        assert!(
            pieces(Protocol::Uwsgi, &[&[modifier, 0, 0, 0]]).1.is_some(),
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
        let (found, broken) = pieces(Protocol::Uwsgi, &[&bytes]);
        assert!(broken.is_some(), "{block:?}: {found:?}");
        assert!(uwsgi::pairs(block).is_err(), "{block:?}");
    }
    // An empty packet is sound: no variables, no body.
    let (found, broken) = pieces(Protocol::Uwsgi, &[&[0; 4]]);
    assert_eq!((found.len(), broken), (4, None), "{found:?}");
}

#[test]
fn a_length_of_the_body_is_a_number_said_once_or_nothing() {
    let body_of = |values: &[&str]| {
        let variables: Vec<Pair> = values
            .iter()
            .map(|v| (&b"CONTENT_LENGTH"[..], v.as_bytes()))
            .collect();
        let (found, broken) = pieces(Protocol::Uwsgi, &[&packet(&variables, b"")]);
        let told = found
            .iter()
            .find(|(name, _)| name.starts_with("BodyOf"))
            .map(|(name, _)| name.clone());
        (told, broken)
    };
    for (values, wanted) in [
        (&[][..], "0"),
        (&[""], "0"),
        (&["0"], "0"),
        (&["007"], "7"),
        (&["2048"], "2048"),
    ] {
        assert_eq!(
            body_of(values),
            (Some(format!("BodyOf {{ id: 0, length: {wanted} }}")), None)
        );
    }
    assert!(
        body_of(&["999999999999999999"]).0.is_some(),
        "told, and for its reader to refuse"
    );
    for bad in [
        &["-1"][..],
        &["+1"],
        &["1 "],
        &["1e3"],
        &["0x10"],
        &["9999999999999999999"],
        &["1", "1"],
    ] {
        assert_eq!(body_of(bad).1, Some(Broken("CONTENT_LENGTH")), "{bad:?}");
    }
    // Only the whole name is it.
    let near: [Pair; 3] = [
        (b"CONTENT_LENGT", b"x"),
        (b"CONTENT_LENGTHS", b"x"),
        (b"content_length", b"x"),
    ];
    assert_eq!(pieces(Protocol::Uwsgi, &[&packet(&near, b"")]).1, None);
}

#[test]
fn what_no_packet_holds_is_not_written() {
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

fn answered(protocol: Protocol, bytes: &[u8]) -> Result<Option<Answered>, Broken> {
    AnswerReader::new(protocol, 1, 4096).take(&mut &bytes[..])
}

#[test]
fn answers_are_whole_cut_or_refused() {
    let mut sound = Vec::new();
    write_answer(
        Protocol::Uwsgi,
        &mut sound,
        1,
        Head {
            status: "200 OK",
            headers: &[],
            more: b"",
        },
        b"body",
    );
    for cut in 0..sound.len() {
        let mut reader = AnswerReader::new(Protocol::Uwsgi, 1, 4096);
        assert_eq!(reader.take(&mut &sound[..cut]), Ok(None));
        assert!(reader.closed().is_err(), "cut at {cut}");
        assert_eq!(reader.has_begun(), cut > 0);
    }
    // With no length its end is that of the connection.
    let mut reader = AnswerReader::new(Protocol::Uwsgi, 1, 4096);
    assert_eq!(
        reader.take(&mut &b"HTTP/1.0 404 Not Found\nA:  b \n\nbo"[..]),
        Ok(None)
    );
    assert_eq!(reader.take(&mut &b"dy"[..]), Ok(None));
    let answer = reader.closed().unwrap();
    assert_eq!(
        (answer.status, &answer.body[..], answer.header("a")),
        (404, &b"body"[..], Some(&b"b"[..]))
    );
    // More than announced: what was announced counts, and the rest is told.
    let more = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nbody";
    let Ok(Some(Answered::Whole(answer))) = answered(Protocol::Uwsgi, more) else {
        panic!()
    };
    assert_eq!((&answer.body[..], answer.excess), (&b"bo"[..], true));
    let mut fast = Vec::new();
    write_answer(
        Protocol::FastCgi,
        &mut fast,
        1,
        Head {
            status: "201 Made",
            headers: &[],
            more: b"",
        },
        b"body",
    );
    for cut in 0..fast.len() {
        let mut reader = AnswerReader::new(Protocol::FastCgi, 1, 4096);
        assert_eq!(reader.take(&mut &fast[..cut]), Ok(None));
        assert!(reader.closed().is_err(), "no end record at {cut}");
    }
    let Ok(Some(Answered::Whole(answer))) = answered(Protocol::FastCgi, &fast) else {
        panic!()
    };
    assert_eq!((answer.status, &answer.body[..]), (201, &b"body"[..]));
    let overloaded = [1, 3, 0, 1, 0, 8, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0];
    let refused = Ok(Some(Answered::Refused(ProtocolStatus::Overloaded)));
    assert_eq!(answered(Protocol::FastCgi, &overloaded), refused);
}

#[test]
fn what_is_no_answer_is_a_fault() {
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
            answered(Protocol::Uwsgi, bytes).is_err(),
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
    assert!(answered(Protocol::FastCgi, b"HTTP/1.1 200 OK\r\n\r\n").is_err());
    assert!(
        answered(Protocol::FastCgi, &[1, 1, 0, 1, 0, 0, 0, 0]).is_err(),
        "a record of a web server"
    );
}

fn without_excess(read: Answered) -> Answered {
    match read {
        Answered::Whole(answer) => Answered::Whole(Answer {
            excess: false,
            ..answer
        }),
        refused => refused,
    }
}

fn bytes(most: usize) -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..most)
}

/// A byte stream that one side may send: sound, or sound but for a change, or anything.
fn streams() -> impl Strategy<Value = (Protocol, Vec<u8>)> {
    let protocol = prop_oneof![Just(Protocol::FastCgi), Just(Protocol::Uwsgi)];
    let words = prop::collection::vec(
        (prop::collection::vec(any::<u8>(), 0..40), any::<u8>()),
        0..6,
    );
    let body = prop::collection::vec(any::<u8>(), 0..300);
    let noise = prop::collection::vec(any::<u8>(), 0..300);
    (
        protocol,
        words,
        body,
        noise,
        any::<Option<(u16, u8)>>(),
        0..4u8,
    )
        .prop_map(|(protocol, words, body, noise, change, kind)| {
            if kind == 0 {
                return (protocol, noise);
            }
            let variables: Vec<Pair> = words
                .iter()
                .map(|(name, byte)| (&name[..], std::slice::from_ref(byte)))
                .collect();
            let mut out = Vec::new();
            write_request(protocol, &mut out, 7, true, &variables, &body).unwrap();
            if let Some((place, byte)) = change.filter(|_| kind == 1) {
                let place = usize::from(place) % out.len();
                out[place] = byte;
            }
            (protocol, out)
        })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600, failure_persistence: None, rng_seed: RngSeed::Fixed(0x0d0072ac),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_in_any_cuts_read_the_same(
        (protocol, stream) in streams(),
        places in prop::collection::vec(any::<prop::sample::Index>(), 0..6),
    ) {
        let whole = pieces(protocol, &[&stream]);
        let places = places.iter().map(|place| place.index(stream.len() + 1)).collect();
        let parts = cut_at(&stream, places);
        let cut = pieces(protocol, &parts);
        prop_assert_eq!(&cut.1, &whole.1);
        // Before a fault a part of its own piece may have been handed on already, or not.
        let sound = whole.0.len() - usize::from(whole.1.is_some() && !whole.0.is_empty());
        prop_assert_eq!(&cut.0[..sound.min(cut.0.len())], &whole.0[..sound]);
        prop_assert!(whole.1.is_some() || cut.0 == whole.0);
    }

    #[test]
    fn a_request_is_read_as_it_was_written(
        names in prop::collection::vec(bytes(300), 0..5),
        body in bytes(3000),
    ) {
        for protocol in Protocol::ALL {
            let names = names.iter().filter(|name| *name != b"CONTENT_LENGTH");
            let variables: Vec<Pair> = names.map(|name| (&name[..], &name[..name.len() / 2])).collect();
            let mut out = Vec::new();
            write_request(protocol, &mut out, 7, true, &variables, &body).unwrap();
            let (found, broken) = pieces(protocol, &[&out]);
            prop_assert_eq!(broken, None);
            let of = |kind: &str| -> Vec<u8> {
                let of_kind = found.iter().filter(|(name, _)| name.starts_with(kind));
                of_kind.flat_map(|(_, bytes)| bytes.clone()).collect()
            };
            let block = of("params");
            let read = protocol.pairs(&block).unwrap();
            let length = body.len().to_string();
            prop_assert_eq!(&read[..variables.len()], &variables[..]);
            prop_assert_eq!(read[variables.len()], (&b"CONTENT_LENGTH"[..], length.as_bytes()));
            prop_assert_eq!(of("stdin"), body.clone());
        }
    }

    #[test]
    fn any_answer_in_any_cuts_reads_the_same(
        noise in bytes(200),
        body in bytes(200),
        change in any::<Option<(u16, u8)>>(),
        place in any::<prop::sample::Index>(),
    ) {
        for protocol in Protocol::ALL {
            let mut sound = Vec::new();
            let head = Head { status: "200 OK", headers: &[("A", "b")], more: b"" };
            write_answer(protocol, &mut sound, 1, head, &body);
            if let Some((place, byte)) = change {
                let place = usize::from(place) % sound.len();
                sound[place] = byte;
            }
            for stream in [&noise, &sound] {
                let whole = answered(protocol, stream);
                let (first, second) = stream.split_at(place.index(stream.len() + 1));
                let mut reader = AnswerReader::new(protocol, 1, 4096);
                let cut = match reader.take(&mut &first[..]) {
                    Ok(None) => reader.take(&mut &second[..]),
                    over => over,
                };
                // Bytes past an announced length show only if they come with it.
                let plain = |read: Result<Option<Answered>, Broken>| {
                    read.map(|read| read.map(without_excess))
                };
                prop_assert_eq!(plain(cut), plain(whole));
            }
        }
    }
}
