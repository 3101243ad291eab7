//! Parsers, writers and tables, without sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use doortrack_admission::RunOutcome;
use doortrack_config::{ResourceLimits, node_config};
use doortrack_fakes::fixture::config;
use doortrack_fakes::split_at_offsets;
use doortrack_node::network::engine_protocol::{self, EngineMessage};
use doortrack_node::network::listeners::{FIRST_CONNECTION_KEY, Listeners};
use doortrack_node::network::registry::{self, Registry};
use doortrack_node::network::request::{
    self, Answer, DecodedRequest, DeploymentNames, RunOutput, Unreadable,
};
use doortrack_node::network::termination::{Outcome, Termination};
use doortrack_node::state::in_flight::{InFlightRequest, InFlightTable, Stage};
use doortrack_node::state::results::{DuplicateCheck, NoResult, ResultTable, StoredResult};
use doortrack_protocols::fastcgi::{self, RequestSplitter};
use doortrack_protocols::{Protocol, RequestEvent};
use doortrack_time::MILLISECOND;
use polling::{Events, Poller};
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

fn record(kind: u8, id: u16, content: &[u8], padding: u8) -> Vec<u8> {
    let mut bytes = vec![1, kind];
    bytes.extend(id.to_be_bytes());
    bytes.extend((content.len() as u16).to_be_bytes());
    bytes.extend([padding, 0]);
    bytes.extend(content);
    bytes.resize(bytes.len() + padding as usize, 0xee);
    bytes
}

/// What a stream comes to, with the pieces of one content joined; the fault, if it broke.
fn pieces(parts: &[&[u8]]) -> (Vec<(String, Vec<u8>)>, Option<&'static str>) {
    let (mut splitter, mut found) = (RequestSplitter::default(), Vec::<(String, Vec<u8>)>::new());
    for part in parts {
        let mut input = *part;
        loop {
            let (name, bytes): (String, &[u8]) = match splitter.next(&mut input) {
                Ok(None) => break,
                Err(broken) => return (found, Some(broken.0)),
                Ok(Some(RequestEvent::Params { id, bytes })) => (format!("params {id}"), bytes),
                Ok(Some(RequestEvent::Stdin { id, bytes })) => (format!("stdin {id}"), bytes),
                Ok(Some(other)) => (format!("{other:?}"), &[]),
            };
            match found.last_mut() {
                Some((last, joined)) if *last == name && !bytes.is_empty() => joined.extend(bytes),
                _ => found.push((name, bytes.to_vec())),
            }
        }
        assert!(input.is_empty(), "bytes were left unread");
    }
    (found, None)
}

fn seeded() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(0x0d00_77ac);
    ProptestConfig {
        cases: 300,
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn bytes(most: usize) -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..most)
}

fn whole_records() -> impl Strategy<Value = Vec<u8>> {
    let one = (
        prop::sample::select(vec![1u8, 2, 4, 5, 8, 9, 77]),
        1..40u16,
        bytes(300),
        any::<u8>(),
    );
    prop::collection::vec(one, 1..12).prop_map(|records| {
        records
            .into_iter()
            .fold(Vec::new(), |mut all, (kind, id, content, padding)| {
                let (id, content) = match kind {
                    1 => (id, &[0, 1, 1, 0, 0, 0, 0, 0][..]),
                    9 | 77 => (0, &content[..]),
                    _ => (id, &content[..]),
                };
                all.extend(record(kind, id, content, padding));
                all
            })
    })
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn records_split_at_any_bytes_read_the_same(
        stream in whole_records(),
        cuts in prop::collection::vec(any::<Index>(), 0..9),
    ) {
        let (whole, fault) = pieces(&[&stream]);
        prop_assert_eq!(fault, None);
        let places: Vec<usize> = cuts.iter().map(|cut| cut.index(stream.len())).collect();
        let from = places.iter().copied().max().unwrap_or(0);
        let parts = split_at_offsets(&stream, places);
        prop_assert_eq!(&pieces(&parts).0, &whole);
        // Cut short anywhere, it is a beginning of the whole and no fault.
        let (start, fault) = pieces(&[&stream[..from]]);
        prop_assert_eq!(fault, None);
        prop_assert!(start.len() <= whole.len());
        prop_assert!(start.iter().zip(&whole).all(|(a, b)| a.0 == b.0 && b.1.starts_with(&a.1)));
    }

    #[test]
    fn no_bytes_upset_a_parser(bytes in bytes(400)) {
        pieces(&[&bytes]);
        let names = names();
        prop_assert!(Protocol::ALL.iter().all(|spoken| request::read(*spoken, &bytes, &names).is_err()));
        prop_assert!(engine_protocol::read(&bytes).is_err());
        prop_assert!(node_config::parse(&bytes).is_err());
        let mut sound = vec![1];
        sound.extend(&bytes);
        pieces(&[&sound]);
    }

    #[test]
    fn parameters_of_any_length_come_back(
        fields in prop::collection::vec((bytes(200), bytes(200)), 0..8),
        long in any::<bool>(),
        cut in any::<Index>(),
    ) {
        let stream = pairs(&fields, long);
        let read = fastcgi::read_variables(&stream).unwrap();
        prop_assert_eq!(read.len(), fields.len());
        prop_assert!(read.iter().zip(&fields).all(|(a, b)| *a.0 == b.0 && *a.1 == b.1));
        if !stream.is_empty() {
            let short = &stream[..cut.index(stream.len())];
            prop_assert!(fastcgi::read_variables(short).map_or(true, |read| read.len() < fields.len()));
        }
    }

    #[test]
    fn bodies_pass_the_engine_link_unchanged(body in bytes(2100), serial in any::<u64>()) {
        let mut out = Vec::new();
        engine_protocol::write_run(&mut out, b"00112233445566aa", "\"a \\\" name\"", &body);
        let sent: Value = serde_json::from_slice(&out).unwrap();
        prop_assert_eq!(&sent["service"], "a \" name");
        let (call, blob) = (&sent["call"], &sent["blob"]);
        let line = json!({"msg": "DONE", "serial": serial, "call": call, "how": "OK", "blob": blob});
        let (attempt_id, outcome) = (*b"00112233445566aa", RunOutcome::Completed);
        let done = EngineMessage::Done { serial, attempt_id, outcome, result: body };
        prop_assert_eq!(engine_protocol::read(line.to_string().as_bytes()), Ok(done));
    }
}

fn pairs<N: AsRef<[u8]>, V: AsRef<[u8]>>(fields: &[(N, V)], long: bool) -> Vec<u8> {
    let mut stream = Vec::new();
    for (name, value) in fields {
        for length in [name.as_ref().len(), value.as_ref().len()] {
            match length < 128 && !long {
                true => stream.push(length as u8),
                false => stream.extend((length as u32 | 1 << 31).to_be_bytes()),
            }
        }
        stream.extend(name.as_ref().iter().chain(value.as_ref()));
    }
    stream
}

#[test]
fn what_is_no_fastcgi_is_told_apart() {
    let broken = |bytes: &[u8]| pieces(&[bytes]).1.is_some();
    assert!(broken(&[2, 1, 0, 1, 0, 8, 0, 0]), "another version");
    assert!(
        broken(&record(1, 1, &[0, 1, 0], 0)),
        "a short BEGIN_REQUEST"
    );
    assert!(
        broken(&record(5, 0, b"x", 0)),
        "an application's record with the id 0"
    );
    assert!(
        broken(&record(3, 1, &[0; 8], 0)),
        "a record that only an application sends"
    );
    assert!(broken(&record(12, 1, &[], 0)), "an unknown kind with an id");
    assert!(
        !broken(&record(12, 0, &[], 0)),
        "an unknown kind of management"
    );
}

#[test]
fn a_parameter_may_not_be_longer_than_its_stream() {
    assert!(fastcgi::read_variables(&[3, 1, b'a']).is_err());
    assert!(fastcgi::read_variables(&[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]).is_err());
    assert!(fastcgi::read_variables(&[0x80, 0, 0]).is_err());
}

fn names() -> DeploymentNames {
    DeploymentNames {
        groups: vec!["look".into(), "pay".into()],
        idempotency_keyed: vec![false, true],
        tenants: vec!["one".into()],
    }
}

const FIELDS: [(&str, &str); 9] = [
    ("SCRIPT_NAME", "/svc/pay"),
    ("REQUEST_METHOD", "POST"),
    ("HTTP_X_REQUEST_ID", "9b1f03aa5c7e2d41"),
    ("HTTP_X_REQUEST_START", "1764576000123"),
    ("HTTP_X_CALLER", "4"),
    ("HTTP_X_TENANT", "one"),
    ("HTTP_X_MEMORY_KB", "24.5"),
    ("HTTP_X_RANK", "0.6250"),
    ("HTTP_IDEMPOTENCY_KEY", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
];

fn read(fields: &[(&str, &str)]) -> Result<DecodedRequest, Unreadable> {
    request::read(Protocol::FastCgi, &pairs(fields, false), &names())
}

#[test]
fn a_request_is_read_with_its_fields() {
    let Ok(DecodedRequest::Request(request)) = read(&FIELDS) else {
        panic!("not read")
    };
    assert_eq!((request.group, request.tenant, request.caller), (1, 0, 4));
    assert_eq!(
        (request.arrived_at, request.memory_kb, request.rank),
        (1_764_576_000_123 * MILLISECOND, 24.5, 0.625)
    );
    assert_eq!(
        (request.idempotency_key, request.session_key),
        (Some(*b"5c0f6e1a2b3d4c59a8b7c6d5e4f30211"), 0)
    );
    assert!(!request.retry);
    let mut look = FIELDS[..8].to_vec();
    look[0].1 = "/svc/look";
    look.extend([
        ("HTTP_X_RETRY", "1"),
        ("HTTP_X_OBJECT", "7f3a9c21e0b4d655"),
        ("HTTP_X_NEW", "passed over"),
    ]);
    let Ok(DecodedRequest::Request(request)) = read(&look) else {
        panic!("not read")
    };
    assert_eq!(
        (request.idempotency_key, request.session_key, request.retry),
        (None, 0x7f3a_9c21_e0b4_d655, true)
    );
    assert_eq!(
        read(&[("SCRIPT_NAME", "/status/live")]),
        Ok(DecodedRequest::HealthCheck)
    );
    // Found on a long day: numbers of fronts are always new, and past 65,535 all were turned away.
    look[4].1 = "18446744073709551615";
    assert!(
        matches!(read(&look), Ok(DecodedRequest::Request(request)) if request.caller == u64::MAX)
    );
}

#[test]
fn a_field_that_is_missing_doubled_or_unreadable_is_named() {
    for (place, (name, _)) in FIELDS.iter().enumerate() {
        let mut fields = FIELDS.to_vec();
        fields.remove(place);
        assert_eq!(read(&fields), Err(Unreadable::Field(name)), "missing");
        fields.extend([FIELDS[place]; 2]);
        assert_eq!(read(&fields), Err(Unreadable::Field(name)), "doubled");
        let mut fields = FIELDS.to_vec();
        fields[place].1 = "\u{fffd}-1";
        assert_eq!(read(&fields), Err(Unreadable::Field(name)), "unreadable");
    }
    for (place, value) in [
        (6, "0"),
        (6, "2000"),
        (6, "NaN"),
        (7, "1"),
        (7, "-0.1"),
        (3, "1.5"),
        (2, "9b1f"),
    ] {
        let mut fields = FIELDS.to_vec();
        fields[place].1 = value;
        assert_eq!(
            read(&fields),
            Err(Unreadable::Field(FIELDS[place].0)),
            "{value}"
        );
    }
}

#[test]
fn answers_carry_what_was_decided() {
    let text = |answer, level| {
        let mut out = Vec::new();
        request::write(&mut out, Protocol::FastCgi, 7, answer, level);
        (String::from_utf8_lossy(&out).into_owned(), out)
    };
    let (rejected, _) = text(
        Answer::Rejected {
            no_retry_elsewhere: true,
            retry_after: 1201,
        },
        Some(0.25),
    );
    assert!(rejected.contains("Status: 503 "), "{rejected}");
    assert!(
        rejected.contains("Retry-After-Ms: 121\r\n"),
        "rounded up: {rejected}"
    );
    assert!(
        rejected.contains("X-Dont-Retry: 1\r\n") && rejected.contains("X-Load-Signal: 0.25\r\n"),
        "{rejected}"
    );
    let (rejected, _) = text(
        Answer::Rejected {
            no_retry_elsewhere: false,
            retry_after: 0,
        },
        None,
    );
    assert!(
        !rejected.contains("Retry-After")
            && !rejected.contains("Dont")
            && !rejected.contains("Load"),
        "{rejected}"
    );
    let (_, full) = text(Answer::NoCapacity, Some(0.0));
    assert_eq!(
        full,
        record(3, 7, &[0, 0, 0, 0, 2, 0, 0, 0], 0),
        "OVERLOADED and nothing else"
    );
    let result: Vec<u8> = (0..70_000u32).map(|n| n as u8).collect();
    let (_, long) = text(Answer::Completed(RunOutput::from(&result[..])), None);
    let first = u16::from_be_bytes([long[4], long[5]]) as usize;
    assert_eq!(
        (first, long[1], long[8 + first + 1]),
        (65_535, 6, 6),
        "a long result needs two records"
    );
}

#[test]
fn lines_of_the_engine_that_cannot_be_read_are_faults_or_ends() {
    let read = |value: Value| engine_protocol::read(value.to_string().as_bytes());
    let done = |how: &str, blob: &str| {
        read(
            json!({"msg": "DONE", "serial": 4, "call": "00112233445566aa", "how": how, "blob": blob}),
        )
    };
    let outcome = |notice| match notice {
        Ok(EngineMessage::Done { outcome, .. }) => outcome,
        other => panic!("{other:?}"),
    };
    assert_eq!(outcome(done("STOPPED", "")), RunOutcome::Cancelled);
    assert_eq!(outcome(done("MOOT", "")), RunOutcome::NotStarted);
    assert_eq!(
        outcome(done("OK", "not base64!")),
        RunOutcome::Failed,
        "its result is lost, its end is not"
    );
    assert_eq!(outcome(done("GONE FISHING", "")), RunOutcome::Failed);
    for value in [
        json!([]),
        json!({"msg": "HI"}),
        json!({"msg": "DONE", "serial": -1, "call": "00112233445566aa", "how": "OK"}),
        json!({"msg": "DONE", "serial": 1, "call": 7, "how": "OK"}),
        json!({"msg": "HELLO", "how": "TEPID", "duration": 1}),
        json!({"msg": "STATS", "cookie": "x", "stats": []}),
    ] {
        assert!(read(value.clone()).is_err(), "{value}");
    }
    let hello = read(json!({"msg": "HELLO", "how": "COLD", "duration": 12.5, "more": 1}));
    assert_eq!(
        hello,
        Ok(EngineMessage::Hello {
            cold: true,
            uptime: 125
        })
    );
}

#[test]
fn every_end_has_its_outcome() {
    for end in [
        Termination::Aborted,
        Termination::Reset,
        Termination::UnreadAnswers,
        Termination::Shutdown,
    ] {
        assert_eq!(end.outcome(), Outcome::CallerGone);
    }
    for end in [
        Termination::HalfClosed,
        Termination::Closed,
        Termination::Idle,
        Termination::Evicted,
        Termination::Malformed,
        Termination::LinkLost,
    ] {
        assert_eq!(end.outcome(), Outcome::AnswerPending);
    }
    assert_eq!(
        Termination::RunRefused.outcome(),
        Outcome::RunEnded(RunOutcome::NotStarted)
    );
    assert_eq!(
        Termination::Run(RunOutcome::Failed).outcome(),
        Outcome::RunEnded(RunOutcome::Failed)
    );
}

/// Two callers send what is answered at once, and one of them never reads, until it is closed or `turns` are
/// over: whether it was closed. `nth` keeps the addresses apart.
fn deaf_caller_is_closed(nth: u8, unread: usize, turns: usize) -> bool {
    let poller = Arc::new(Poller::new().unwrap());
    let room = ResourceLimits {
        connections: 8,
        open_requests: 8,
        dedup_entries: 1,
        result_bytes: 1,
        unread_answer_bytes: unread,
        engine_command_bytes: 1,
    };
    let [.., b, c] = std::process::id().to_be_bytes();
    let at: SocketAddr = format!("127.{nth}.{b}.{c}:9090").parse().unwrap();
    let mut fronts = Listeners::new(poller.clone(), names(), room, u64::MAX);
    fronts.listen(at, Protocol::FastCgi, None).unwrap();
    let (mut deaf, mut sound) = (
        TcpStream::connect(at).unwrap(),
        TcpStream::connect(at).unwrap(),
    );
    deaf.set_nonblocking(true).unwrap();
    // Its streams are empty, so each is answered with 400.
    let empty = [
        record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0], 0),
        record(4, 1, b"", 0),
        record(5, 1, b"", 0),
    ]
    .concat();
    let (batch, mut front_events, mut events) = (empty.repeat(200), Vec::new(), Events::new());
    for _ in 0..turns {
        // Who sends what can't be read is read again after a sweep.
        fronts.sweep(0, &mut front_events);
        fronts.flush(0, &mut front_events);
        _ = deaf.write(&batch);
        sound.write_all(&empty).unwrap();
        let before = fronts.counts().unreadable.clone();
        while fronts.counts().unreadable == before {
            events.clear();
            poller.wait(&mut events, None).unwrap();
            fronts.accept(0, 0, &mut front_events);
            events
                .iter()
                .filter(|e| e.key >= FIRST_CONNECTION_KEY)
                .for_each(|e| fronts.on_event(e, 0, &mut front_events));
            fronts.flush(0, &mut front_events);
        }
        assert!(
            fronts.unread_answer_bytes() < 200_000,
            "{} bytes pile up",
            fronts.unread_answer_bytes()
        );
        if fronts.counts().terminations.contains_key("unread") {
            assert_eq!(
                (fronts.connection_count(), fronts.unread_answer_bytes()),
                (1, 0)
            );
            return true;
        }
    }
    // Whoever reads gets all that is due.
    let mut answers: Vec<u8> = Vec::new();
    while answers.windows(6).filter(|w| w == b"Status").count() < turns {
        let mut part = [0; 65_536];
        let got = sound.read(&mut part).unwrap();
        answers.extend(&part[..got]);
        fronts.flush(0, &mut front_events);
    }
    false
}

#[test]
fn who_reads_no_answers_is_not_read_and_while_answers_pile_up_is_closed() {
    assert!(!deaf_caller_is_closed(18, 10_000_000, 2000));
    assert!(deaf_caller_is_closed(19, 1000, 20_000));
}

#[test]
fn who_sends_what_cannot_be_read_is_not_read_again_before_the_next_sweep() {
    let poller = Arc::new(Poller::new().unwrap());
    let room = ResourceLimits {
        connections: 8,
        open_requests: 8,
        dedup_entries: 1,
        result_bytes: 1,
        unread_answer_bytes: 1000,
        engine_command_bytes: 1,
    };
    let [.., b, c] = std::process::id().to_be_bytes();
    let at: SocketAddr = format!("127.17.{b}.{c}:9090").parse().unwrap();
    let mut fronts = Listeners::new(poller.clone(), names(), room, u64::MAX);
    fronts.listen(at, Protocol::FastCgi, None).unwrap();
    let mut bad = TcpStream::connect(at).unwrap();
    let empty = [
        record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0], 0),
        record(4, 1, b"", 0),
        record(5, 1, b"", 0),
    ]
    .concat();
    let (mut front_events, mut events, mut answer) = (Vec::new(), Events::new(), [0; 4096]);
    fronts.accept(0, 0, &mut front_events);
    for answered in 1..=3 {
        bad.write_all(&empty).unwrap();
        // Its bytes lie there, but it is not told of.
        events.clear();
        let waits = if answered == 1 {
            None
        } else {
            Some(Duration::from_millis(20))
        };
        poller.wait(&mut events, waits).unwrap();
        assert_eq!(
            events.iter().any(|e| e.key >= FIRST_CONNECTION_KEY),
            answered == 1
        );
        fronts.sweep(0, &mut front_events);
        fronts.flush(0, &mut front_events);
        events.clear();
        poller.wait(&mut events, None).unwrap();
        events
            .iter()
            .filter(|e| e.key >= FIRST_CONNECTION_KEY)
            .for_each(|e| fronts.on_event(e, 0, &mut front_events));
        fronts.flush(0, &mut front_events);
        assert!(bad.read(&mut answer).unwrap() > 0);
        assert_eq!(fronts.counts().unreadable.values().sum::<u64>(), answered);
    }
}

#[test]
fn a_list_that_loses_eight_reports_in_a_row_still_lists_the_node() {
    let list = UdpSocket::bind("127.0.0.1:0").unwrap();
    list.set_nonblocking(true).unwrap();
    let own = "127.0.0.1:9".parse().unwrap();
    let mut registry = Registry::open(own, list.local_addr().unwrap(), "n3".into()).unwrap();
    (0..3000).for_each(|ms| registry.heartbeat(ms * MILLISECOND));
    let reports = (0..100)
        .filter(|_| list.recv(&mut [0; 100]).is_ok())
        .count();
    assert!((9..20).contains(&reports), "{reports} in 3 s");
}

#[test]
fn reports_are_three_words() {
    assert_eq!(registry::encode("n3", false), "BEAT n3 ready");
    assert_eq!(registry::encode("n3", true), "BEAT n3 draining");
}

const KEY: (u8, [u8; 32]) = (1, [b'a'; 32]);

#[test]
fn the_window_goes_from_stamp_to_stamp_however_late_a_repeat_is_read() {
    let mut results = ResultTable::new(10, 100, 4500 * MILLISECOND);
    let (stamp, window) = (1000 * MILLISECOND, 6000 * MILLISECOND);
    // Read 20 ms after it came, so 5980 ms of the window are left.
    results.record(
        1,
        KEY,
        b"",
        stamp,
        window - 20 * MILLISECOND,
        stamp + 20 * MILLISECOND,
    );
    assert_eq!(results.result(1), StoredResult::Pending);
    results.complete(1, Ok(RunOutput::from(&b"done"[..])));
    results.remove_expired(stamp + window + 4000 * MILLISECOND);
    assert_eq!(
        results.check_duplicate(&KEY, b"", stamp + window),
        DuplicateCheck::Duplicate(1),
        "read 4 s after the window ran out"
    );
    assert_eq!(
        results.check_duplicate(&KEY, b"", stamp + window + 200 * MILLISECOND),
        DuplicateCheck::FirstUse,
        "it came after the window"
    );
    assert_eq!(
        results.check_duplicate(&(0, KEY.1), b"", stamp),
        DuplicateCheck::FirstUse,
        "another endpoint group"
    );
    assert_eq!(
        results.check_duplicate(&KEY, b"another body", stamp),
        DuplicateCheck::BodyMismatch
    );
    assert_eq!(
        results.check_duplicate(&KEY, b"another body", stamp + window + 200 * MILLISECOND),
        DuplicateCheck::FirstUse
    );
    assert_eq!(
        results.result(1),
        StoredResult::Output(RunOutput::from(&b"done"[..]))
    );
    results.remove_expired(stamp + window + 5000 * MILLISECOND);
    assert_eq!(
        (results.check_duplicate(&KEY, b"", stamp), results.bytes()),
        (DuplicateCheck::FirstUse, 0)
    );
}

#[test]
fn one_in_hand_is_repeated_even_past_its_window() {
    let mut results = ResultTable::new(10, 100, 0);
    results.record(1, KEY, b"", 0, 10 * MILLISECOND, 0);
    results.remove_expired(60_000 * MILLISECOND);
    assert_eq!(
        results.check_duplicate(&KEY, b"", 60_000 * MILLISECOND),
        DuplicateCheck::Duplicate(1)
    );
}

#[test]
fn results_keep_within_their_bytes_and_entries() {
    let mut results = ResultTable::new(3, 10, 0);
    for ex in 1..=3u32 {
        assert_eq!(
            results.check_duplicate(&(0, [ex as u8; 32]), b"", 0),
            DuplicateCheck::FirstUse
        );
        results.record(ex, (0, [ex as u8; 32]), b"", 0, 1000 * MILLISECOND, 0);
        results.complete(ex, Ok(RunOutput::from(&b"123456"[..])));
    }
    assert_eq!(
        results.check_duplicate(&(0, [4; 32]), b"", 0),
        DuplicateCheck::TableFull,
        "a new one"
    );
    assert_eq!(
        results.check_duplicate(&(0, [1; 32]), b"", 0),
        DuplicateCheck::Duplicate(1),
        "one that ran is never refused"
    );
    assert_eq!(
        results.result(1),
        StoredResult::Output(RunOutput::from(&b"123456"[..]))
    );
    assert_eq!(
        results.result(2),
        StoredResult::None,
        "it ran, but there was no room for its result"
    );
    assert_eq!(
        results.check_duplicate(&(0, [2; 32]), b"", 0),
        DuplicateCheck::Duplicate(2),
        "so it must not run again"
    );
    results.forget(1);
    assert_eq!(
        (
            results.bytes(),
            results.check_duplicate(&(0, [1; 32]), b"", 0)
        ),
        (0, DuplicateCheck::FirstUse)
    );
    results.record(
        4,
        (0, [3; 32]),
        b"",
        2000 * MILLISECOND,
        1000 * MILLISECOND,
        2000 * MILLISECOND,
    );
    assert_eq!(
        (results.result(3), results.result(4)),
        (StoredResult::None, StoredResult::Pending),
        "a new try holds it"
    );
    results.complete(4, Err(NoResult));
    assert_eq!(results.result(4), StoredResult::None);
}

#[test]
fn the_window_of_a_clock_ahead_counts_from_its_stamp_and_ends_all_the_same() {
    let mut results = ResultTable::new(3, 10, 0);
    results.record(
        1,
        KEY,
        b"",
        2500 * MILLISECOND,
        1000 * MILLISECOND,
        500 * MILLISECOND,
    );
    results.complete(1, Ok(RunOutput::from(&b"1"[..])));
    assert_eq!(
        results.check_duplicate(&KEY, b"", 500 * MILLISECOND),
        DuplicateCheck::Duplicate(1)
    );
    assert_eq!(
        results.check_duplicate(&KEY, b"", 3500 * MILLISECOND),
        DuplicateCheck::Duplicate(1)
    );
    assert_eq!(
        results.check_duplicate(&KEY, b"", 3700 * MILLISECOND),
        DuplicateCheck::FirstUse
    );
    results.remove_expired(3500 * MILLISECOND);
    assert_eq!(
        results.result(1),
        StoredResult::Output(RunOutput::from(&b"1"[..]))
    );
    results.remove_expired(4000 * MILLISECOND);
    assert_eq!(
        (results.result(1), results.bytes()),
        (StoredResult::None, 0)
    );
    // However far ahead, nothing runs over.
    results.record(2, KEY, b"", u64::MAX, 1000 * MILLISECOND, 500 * MILLISECOND);
    assert_eq!(
        results.check_duplicate(&KEY, b"", 500 * MILLISECOND),
        DuplicateCheck::Duplicate(2)
    );
}

fn ex(attempt: u8) -> InFlightRequest {
    InFlightRequest {
        variables: None,
        pool: 0,
        attempt_id: [attempt; 16],
        group: 0,
        key: None,
        arrived_at: 0,
        body: Vec::new(),
        caller: None,
        stage: Stage::Queued,
        duplicate_of: None,
        reservations: Default::default(),
    }
}

#[test]
fn a_doubled_id_is_known_while_in_hand_and_after_and_names_are_new() {
    let mut in_flight = InFlightTable::default();
    let first = in_flight.insert(ex(1)).unwrap();
    assert_eq!(in_flight.insert(ex(1)), None);
    in_flight.remove(first);
    assert_eq!(in_flight.insert(ex(1)), None);
    assert_ne!(in_flight.insert(ex(2)), Some(first));
}

#[test]
fn a_repeat_that_went_away_is_waited_for_no_more() {
    let mut in_flight = InFlightTable::default();
    let ids: Vec<_> = (1..=3).map(|n| in_flight.insert(ex(n)).unwrap()).collect();
    in_flight.attach(ids[1], ids[0]);
    in_flight.attach(ids[2], ids[0]);
    in_flight.remove(ids[1]);
    assert_eq!(in_flight.take_attached(ids[0]), [ids[2]]);
    assert!(in_flight.take_attached(ids[0]).is_empty());
}

fn fault(change: impl FnOnce(&mut Value)) -> String {
    let mut value = config();
    change(&mut value);
    node_config::parse(value.to_string().as_bytes())
        .expect_err("it was taken")
        .to_string()
}

#[test]
fn orders_are_read_with_their_defaults() {
    let mut value = config();
    value
        .as_object_mut()
        .unwrap()
        .retain(|key, _| key != "limits" && key != "seed");
    let orders = node_config::parse(value.to_string().as_bytes()).unwrap();
    assert_eq!(
        (orders.name.as_str(), orders.seed, orders.stop_after),
        ("n1", 0, 3200 * MILLISECOND)
    );
    assert_eq!(
        orders.limits,
        node_config::parse(config().to_string().as_bytes())
            .unwrap()
            .limits
    );
    assert!(orders.limits.connections < 1024);
    assert!(orders.settings.drains_when_unhealthy && orders.settings.tenant_names.is_empty());
    // All that may be held at once leaves room for the program itself.
    for (memory_mb, sockets) in [(192, 1024), (48, 512), (32, 384), (24, 1024)] {
        let mut value = config();
        value["limits"] = json!({"cores": 0.2, "memory_mb": memory_mb, "sockets": sockets});
        let room = node_config::parse(value.to_string().as_bytes())
            .unwrap()
            .limits;
        let held = room.open_requests * 10_500
            + room.dedup_entries * 300
            + room.result_bytes
            + room.engine_command_bytes;
        let all = held + room.unread_answer_bytes + room.connections * 20_000;
        assert!(
            all + 3_000_000 < memory_mb * 1_000_000,
            "{memory_mb} MB: {all}"
        );
        assert!(room.connections <= sockets - 24 && room.connections >= sockets.min(300) - 24);
    }
}

#[test]
fn a_fault_in_the_orders_names_its_key() {
    for key in [
        "name", "listen", "engine", "registry", "stop_ms", "settings",
    ] {
        let missing = fault(|v| _ = v.as_object_mut().unwrap().remove(key));
        assert!(
            missing.contains(&format!("'{key}' is missing")),
            "{missing}"
        );
        let wrong = fault(|v| v[key] = json!([]));
        assert!(wrong.contains(key), "{wrong}");
    }
    for (path, value) in [
        ("/limits/memory_mb", json!(4)),
        ("/limits/sockets", json!(25)),
        ("/limits/cores", json!(0)),
        ("/seed", json!("xyz")),
        ("/settings/family_info/below", json!("common")),
        ("/settings/family_info/calls_by_class", json!([true])),
        ("/settings/family_info/deep_checks", json!(true)),
        ("/settings/family_info/passes_deadline", json!(true)),
        ("/settings/family_info/halt", json!("soon")),
        ("/settings/lanes/0/idempotency", json!("perhaps")),
        ("/settings/lanes/0/worth", json!("much")),
        ("/settings/lanes", json!([])),
        ("/settings/safety/tip_multiple", json!(null)),
        ("/settings/tick", json!(-1)),
        ("/limits/memory_mb", json!(-64)),
        ("/settings/lanes/0/deadline", json!(-1)),
        ("/settings/lanes/1/name", json!("look")),
        ("/settings/lanes/0/late_worth", json!(1.1)),
        ("/settings/over_share_worth", json!(2)),
        ("/settings/safety/start_capacity", json!(1.5)),
        ("/settings/family_info/class_skip_worth", json!([0, 3])),
        ("/settings/family_info/class_skip_worth", json!([0])),
        ("/settings/family_info/calls_by_class", json!([false, "no"])),
        (
            "/settings/parties",
            json!([{"name": "a", "allowance_per_s": 1, "share": 1.2}]),
        ),
        (
            "/settings/parties",
            json!([{"name": "a", "allowance_per_s": -1}]),
        ),
    ] {
        let fault = fault(|v| {
            let (above, key) = path.rsplit_once('/').unwrap();
            match v.pointer_mut(above).unwrap() {
                Value::Array(list) => list[key.parse::<usize>().unwrap()] = value,
                object => object[key] = value,
            }
        });
        let key = path.trim_end_matches("/0").rsplit('/').next().unwrap();
        assert!(fault.contains(key), "{path}: {fault}");
    }
}
