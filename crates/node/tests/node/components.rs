//! Parsers and encoders of the node, each by itself.

use std::net::UdpSocket;

use doortrack_admission::RunOutcome;
use doortrack_config::node_config;
use doortrack_fakes::split_at_offsets;
use doortrack_node::network::engine_protocol::{self, EngineMessage};
use doortrack_node::network::registry::{self, Registry};
use doortrack_node::network::request::{
    self, Answer, DecodedRequest, DeploymentNames, IdempotencyKey, RefusalReason, RunOutput,
    Unreadable,
};
use doortrack_node::network::termination::{Outcome, Termination};
use doortrack_protocols::fastcgi::{self, RequestSplitter};
use doortrack_protocols::{Protocol, RequestEvent};
use doortrack_time::MILLISECOND;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

pub fn record(record_type: u8, id: u16, content: &[u8], padding: u8) -> Vec<u8> {
    let mut bytes = vec![1, record_type];
    bytes.extend(id.to_be_bytes());
    bytes.extend((content.len() as u16).to_be_bytes());
    bytes.extend([padding, 0]);
    bytes.extend(content);
    bytes.resize(bytes.len() + padding as usize, 0xee);
    bytes
}

/// Parses a stream that arrives in these parts. Returns its events, with the parts of one content joined, and the error
/// that ended the parsing, if any.
fn parse_stream(parts: &[&[u8]]) -> (Vec<(String, Vec<u8>)>, Option<&'static str>) {
    let (mut splitter, mut events) = (RequestSplitter::default(), Vec::<(String, Vec<u8>)>::new());
    for part in parts {
        let mut input = *part;
        loop {
            let (name, bytes): (String, &[u8]) = match splitter.next(&mut input) {
                Ok(None) => break,
                Err(error) => return (events, Some(error.0)),
                Ok(Some(RequestEvent::Params { id, bytes })) => (format!("params {id}"), bytes),
                Ok(Some(RequestEvent::Stdin { id, bytes })) => (format!("stdin {id}"), bytes),
                Ok(Some(other)) => (format!("{other:?}"), &[]),
            };
            match events.last_mut() {
                Some((last, content)) if *last == name && !bytes.is_empty() => {
                    content.extend(bytes)
                }
                _ => events.push((name, bytes.to_vec())),
            }
        }
        assert!(input.is_empty(), "bytes were left unparsed");
    }
    (events, None)
}

fn seeded_config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(0x0d00_77ac);
    ProptestConfig {
        cases: 300,
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn bytes(max_length: usize) -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..max_length)
}

fn record_streams() -> impl Strategy<Value = Vec<u8>> {
    let record_fields = (
        prop::sample::select(vec![1u8, 2, 4, 5, 8, 9, 77]),
        1..40u16,
        bytes(300),
        any::<u8>(),
    );
    prop::collection::vec(record_fields, 1..12).prop_map(|records| {
        records.into_iter().fold(
            Vec::new(),
            |mut stream, (record_type, id, content, padding)| {
                let (id, content) = match record_type {
                    1 => (id, &[0, 1, 1, 0, 0, 0, 0, 0][..]),
                    9 | 77 => (0, &content[..]),
                    _ => (id, &content[..]),
                };
                stream.extend(record(record_type, id, content, padding));
                stream
            },
        )
    })
}

proptest! {
    #![proptest_config(seeded_config())]

    #[test]
    fn records_split_at_any_byte_parse_the_same(
        stream in record_streams(),
        cuts in prop::collection::vec(any::<Index>(), 0..9),
    ) {
        let (whole, error) = parse_stream(&[&stream]);
        prop_assert_eq!(error, None);
        let offsets: Vec<usize> = cuts.iter().map(|cut| cut.index(stream.len())).collect();
        let prefix_length = offsets.iter().copied().max().unwrap_or(0);
        let parts = split_at_offsets(&stream, offsets);
        prop_assert_eq!(&parse_stream(&parts).0, &whole);
        // A stream that ends early parses without error to a prefix of the whole.
        let (prefix, error) = parse_stream(&[&stream[..prefix_length]]);
        prop_assert_eq!(error, None);
        prop_assert!(prefix.len() <= whole.len());
        prop_assert!(prefix.iter().zip(&whole).all(|(a, b)| a.0 == b.0 && b.1.starts_with(&a.1)));
    }

    #[test]
    fn no_bytes_crash_a_parser(bytes in bytes(400)) {
        parse_stream(&[&bytes]);
        let names = deployment_names();
        prop_assert!(Protocol::ALL.iter().all(|protocol| request::read(*protocol, &bytes, &names).is_err()));
        prop_assert!(engine_protocol::read(&bytes).is_err());
        prop_assert!(node_config::parse(&bytes).is_err());
        let mut versioned = vec![1];
        versioned.extend(&bytes);
        parse_stream(&[&versioned]);
    }

    #[test]
    fn variables_of_any_length_are_read_back(
        variables in prop::collection::vec((bytes(200), bytes(200)), 0..8),
        long_lengths in any::<bool>(),
        prefix_end in any::<Index>(),
    ) {
        let stream = encode_variables(&variables, long_lengths);
        let decoded = fastcgi::read_variables(&stream).unwrap();
        prop_assert_eq!(decoded.len(), variables.len());
        prop_assert!(decoded.iter().zip(&variables).all(|(a, b)| *a.0 == b.0 && *a.1 == b.1));
        if !stream.is_empty() {
            let prefix = &stream[..prefix_end.index(stream.len())];
            prop_assert!(fastcgi::read_variables(prefix).map_or(true, |decoded| decoded.len() < variables.len()));
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

fn encode_variables<N: AsRef<[u8]>, V: AsRef<[u8]>>(
    variables: &[(N, V)],
    long_lengths: bool,
) -> Vec<u8> {
    let mut stream = Vec::new();
    for (name, value) in variables {
        for length in [name.as_ref().len(), value.as_ref().len()] {
            match length < 128 && !long_lengths {
                true => stream.push(length as u8),
                false => stream.extend((length as u32 | 1 << 31).to_be_bytes()),
            }
        }
        stream.extend(name.as_ref().iter().chain(value.as_ref()));
    }
    stream
}

#[test]
fn invalid_fastcgi_is_detected() {
    let is_invalid = |bytes: &[u8]| parse_stream(&[bytes]).1.is_some();
    assert!(
        is_invalid(&[2, 1, 0, 1, 0, 8, 0, 0]),
        "an unsupported version"
    );
    assert!(
        is_invalid(&record(1, 1, &[0, 1, 0], 0)),
        "a short BEGIN_REQUEST"
    );
    assert!(
        is_invalid(&record(5, 0, b"x", 0)),
        "an application record with the id 0"
    );
    assert!(
        is_invalid(&record(3, 1, &[0; 8], 0)),
        "a record type that only an application sends"
    );
    assert!(
        is_invalid(&record(12, 1, &[], 0)),
        "an unknown record type with an id"
    );
    assert!(
        !is_invalid(&record(12, 0, &[], 0)),
        "an unknown management record type"
    );
}

#[test]
fn a_variable_may_not_be_longer_than_its_stream() {
    assert!(fastcgi::read_variables(&[3, 1, b'a']).is_err());
    assert!(fastcgi::read_variables(&[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]).is_err());
    assert!(fastcgi::read_variables(&[0x80, 0, 0]).is_err());
}

pub fn deployment_names() -> DeploymentNames {
    DeploymentNames {
        groups: vec!["look".into(), "pay".into()],
        idempotency_keyed: vec![false, true],
        tenants: vec!["one".into()],
    }
}

const REQUEST_VARIABLES: [(&str, &str); 9] = [
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

fn read_request(variables: &[(&str, &str)]) -> Result<DecodedRequest, Unreadable> {
    request::read(
        Protocol::FastCgi,
        &encode_variables(variables, false),
        &deployment_names(),
    )
}

#[test]
fn a_request_is_read_with_its_variables() {
    let Ok(DecodedRequest::Request(request)) = read_request(&REQUEST_VARIABLES) else {
        panic!("the request is not readable")
    };
    assert_eq!((request.group, request.tenant, request.caller), (1, 0, 4));
    assert_eq!(
        (request.arrived_at, request.memory_kb, request.rank),
        (1_764_576_000_123 * MILLISECOND, 24.5, 0.625)
    );
    assert_eq!(
        (request.idempotency_key, request.session_key),
        (
            IdempotencyKey::platform(b"5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
            0
        )
    );
    assert!(!request.retry);
    let mut look_variables = REQUEST_VARIABLES[..8].to_vec();
    look_variables[0].1 = "/svc/look";
    look_variables.extend([
        ("HTTP_X_RETRY", "1"),
        ("HTTP_X_OBJECT", "7f3a9c21e0b4d655"),
        ("HTTP_X_NEW", "passed over"),
    ]);
    let Ok(DecodedRequest::Request(request)) = read_request(&look_variables) else {
        panic!("the request is not readable")
    };
    assert_eq!(
        (request.idempotency_key, request.session_key, request.retry),
        (None, 0x7f3a_9c21_e0b4_d655, true)
    );
    assert_eq!(
        read_request(&[("SCRIPT_NAME", "/status/live")]),
        Ok(DecodedRequest::HealthCheck)
    );
    // Caller numbers are never reused. With numbers of 16 bits, every caller after number 65,535 was refused.
    look_variables[4].1 = "18446744073709551615";
    assert!(
        matches!(read_request(&look_variables), Ok(DecodedRequest::Request(request)) if request.caller == u64::MAX)
    );
}

#[test]
fn a_missing_duplicate_or_unreadable_variable_is_named() {
    for (index, (name, _)) in REQUEST_VARIABLES.iter().enumerate() {
        let mut variables = REQUEST_VARIABLES.to_vec();
        variables.remove(index);
        assert_eq!(
            read_request(&variables),
            Err(Unreadable::Field(name)),
            "missing"
        );
        variables.extend([REQUEST_VARIABLES[index]; 2]);
        assert_eq!(
            read_request(&variables),
            Err(Unreadable::Field(name)),
            "duplicate"
        );
        let mut variables = REQUEST_VARIABLES.to_vec();
        variables[index].1 = "\u{fffd}-1";
        assert_eq!(
            read_request(&variables),
            Err(Unreadable::Field(name)),
            "unreadable"
        );
    }
    for (index, value) in [
        (6, "0"),
        (6, "2000"),
        (6, "NaN"),
        (7, "1"),
        (7, "-0.1"),
        (3, "1.5"),
        (2, "9b1f"),
    ] {
        let mut variables = REQUEST_VARIABLES.to_vec();
        variables[index].1 = value;
        assert_eq!(
            read_request(&variables),
            Err(Unreadable::Field(REQUEST_VARIABLES[index].0)),
            "{value}"
        );
    }
}

#[test]
fn answers_carry_status_retry_time_and_load() {
    let encode = |answer, level| {
        let mut out = Vec::new();
        request::write(&mut out, Protocol::FastCgi, 7, answer, level);
        (String::from_utf8_lossy(&out).into_owned(), out)
    };
    let (rejected, _) = encode(
        Answer::Rejected {
            no_retry_elsewhere: true,
            retry_after: 1201,
        },
        Some(0.25),
    );
    assert!(rejected.contains("Status: 503 "), "{rejected}");
    assert!(
        rejected.contains("Retry-After-Ms: 121\r\n"),
        "the retry time is not rounded up: {rejected}"
    );
    assert!(
        rejected.contains("X-Dont-Retry: 1\r\n") && rejected.contains("X-Load-Signal: 0.25\r\n"),
        "{rejected}"
    );
    let (rejected, _) = encode(
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
    let (_, overloaded) = encode(Answer::NoCapacity(RefusalReason::OpenRequests), Some(0.0));
    assert_eq!(
        overloaded,
        record(3, 7, &[0, 0, 0, 0, 2, 0, 0, 0], 0),
        "OVERLOADED and nothing else"
    );
    let result: Vec<u8> = (0..70_000u32).map(|n| n as u8).collect();
    let (_, long_answer) = encode(Answer::Completed(RunOutput::from(&result[..])), None);
    let first_length = u16::from_be_bytes([long_answer[4], long_answer[5]]) as usize;
    assert_eq!(
        (
            first_length,
            long_answer[1],
            long_answer[8 + first_length + 1]
        ),
        (65_535, 6, 6),
        "a long result needs two records"
    );
}

#[test]
fn unreadable_engine_lines_are_errors_unless_they_end_a_run() {
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
        "the result is lost, but the run has ended"
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
fn every_termination_has_its_outcome() {
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

#[test]
fn a_registry_that_loses_eight_reports_in_a_row_still_lists_the_node() {
    let registry_socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    registry_socket.set_nonblocking(true).unwrap();
    let own_address = "127.0.0.1:9".parse().unwrap();
    let mut registry = Registry::open(
        own_address,
        registry_socket.local_addr().unwrap(),
        "n3".into(),
    )
    .unwrap();
    (0..3000).for_each(|ms| registry.heartbeat(ms * MILLISECOND));
    let reports = (0..100)
        .filter(|_| registry_socket.recv(&mut [0; 100]).is_ok())
        .count();
    assert!((9..20).contains(&reports), "{reports} reports in 3 s");
}

#[test]
fn a_report_names_the_node_and_its_state() {
    assert_eq!(registry::encode("n3", false), "BEAT n3 ready");
    assert_eq!(registry::encode("n3", true), "BEAT n3 draining");
}
