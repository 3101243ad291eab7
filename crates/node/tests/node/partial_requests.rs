//! Requests that arrive in parts, split at every byte and in every form that a protocol allows: each complete request
//! is answered once and each incomplete one is refused, also when the node reloads or drains between two parts.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use doortrack_fakes::caller::{CallerOutcome, CallerRequest, PendingAnswer};
use doortrack_fakes::fixture::{NodeFixture, NodeSetup, connect};
use doortrack_fakes::records::{Client, record, request};
use doortrack_fakes::{MAX_WAIT, attempt_id, immediate, unix_ms};
use doortrack_protocols::Protocol::{self, FastCgi, Uwsgi};
use serde_json::json;

/// Bytes of a FastCGI BEGIN_REQUEST record with its header. With fewer no request has begun that could be answered.
const FASTCGI_BEGIN_LENGTH: usize = 16;
/// Bytes of the header of a uwsgi packet. With fewer no request has begun that could be answered.
const UWSGI_HEADER_LENGTH: usize = 4;

/// Waits between two parts, so that the node reads them one by one.
fn pause() {
    std::thread::sleep(Duration::from_micros(300));
}

/// Sends requests over FastCGI until one is completed, which happens only once the engine is up.
pub fn wait_until_served(address: SocketAddr) {
    let deadline = Instant::now() + MAX_WAIT;
    for attempt_number in 1 << 40.. {
        let outcome = CallerRequest::new(attempt_number, "/svc/look", b"")
            .send(address, FastCgi)
            .outcome();
        if matches!(outcome, CallerOutcome::Completed(_)) {
            return;
        }
        assert!(Instant::now() < deadline, "{outcome:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Time from SIGTERM to the stop, in ms, for tests that have no requests open at the end.
const SHORT_STOP_MS: u64 = 300;

fn start_node() -> (NodeFixture, SocketAddr) {
    start_node_with_stop(SHORT_STOP_MS)
}

/// Starts a node with a uwsgi listener beside its own one, and an engine that ends every run at once.
fn start_node_with_stop(stop_ms: u64) -> (NodeFixture, SocketAddr) {
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    let uwsgi_address = setup.port(9092);
    setup.config["stop_ms"] = json!(stop_ms);
    setup.installation =
        Some(json!({"fronts": [{"protocol": "uwsgi", "listen": uwsgi_address.to_string()}]}));
    let fixture = setup.start();
    immediate::start_engine(fixture.engine_listener.try_clone().unwrap());
    wait_until_served(fixture.address);
    (fixture, uwsgi_address)
}

fn connect_without_delay(address: SocketAddr) -> TcpStream {
    let sock = connect(address);
    sock.set_nodelay(true).unwrap();
    sock
}

fn assert_clean_exit(fixture: NodeFixture) {
    fixture.signal("-TERM");
    let (code, log) = fixture.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(!log.contains("panicked"), "{log}");
}

#[test]
fn a_fastcgi_request_split_at_any_byte_is_answered_once() {
    let (fixture, _) = start_node();
    let mut client = Client {
        sock: connect_without_delay(fixture.address),
    };
    let length = request(1, 1, "/svc/look", &[], b"body").len();
    for cut in 1..length {
        let id = cut as u16;
        let bytes = request(id, cut as u64, "/svc/look", &[], b"body");
        client.send(&bytes[..cut]);
        pause();
        client.send(&bytes[cut..]);
        let reply = client.reply();
        assert_eq!((reply.id, reply.status), (id, 200), "split at {cut}");
    }
    assert_clean_exit(fixture);
    assert!(client.is_closed(), "a request was answered twice");
}

/// Splits a stream into its records.
fn records(mut stream: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while !stream.is_empty() {
        let content = usize::from(u16::from_be_bytes([stream[4], stream[5]]));
        let (first, rest) = stream.split_at(8 + content + usize::from(stream[6]));
        records.push(first.to_vec());
        stream = rest;
    }
    records
}

#[test]
fn requests_interleaved_record_by_record_and_split_anywhere_are_answered_once_each() {
    let (fixture, _) = start_node();
    let mut client = Client {
        sock: connect_without_delay(fixture.address),
    };
    for round in 0..40u64 {
        // The last request is aborted before it is complete, and its id is used again in the next round.
        let mut streams: Vec<Vec<Vec<u8>>> = (1..=4)
            .map(|id| {
                records(&request(
                    id,
                    round * 10 + u64::from(id),
                    "/svc/look",
                    &[],
                    b"body",
                ))
            })
            .collect();
        let last = streams[3].len() - 1;
        streams[3][last] = record(2, 4, b"");
        let max_records = streams.iter().map(Vec::len).max().unwrap();
        let interleaved: Vec<u8> = (0..max_records)
            .flat_map(|index| {
                streams
                    .iter()
                    .filter_map(move |stream| stream.get(index))
                    .flatten()
                    .copied()
            })
            .collect();
        for part in interleaved.chunks(1 + round as usize) {
            client.send(part);
            if round > 4 {
                pause();
            }
        }
        let replies = [client.reply(), client.reply(), client.reply()];
        let ids: BTreeSet<u16> = replies.iter().map(|reply| reply.id).collect();
        assert_eq!(ids, BTreeSet::from([1, 2, 3]), "round {round}");
        assert!(
            replies.iter().all(|reply| reply.status == 200),
            "round {round}: {replies:?}"
        );
    }
    assert_clean_exit(fixture);
    assert!(client.is_closed(), "a request was answered twice");
}

/// One of the forms in which the protocol allows a uwsgi request.
#[derive(Clone, Copy)]
struct RequestForm {
    name: &'static str,
    modifier_2: u8,
    /// The value of `CONTENT_LENGTH`; `None` leaves the variable out.
    length: Option<&'static str>,
    /// Whether `CONTENT_LENGTH` is the first variable instead of the last.
    length_first: bool,
    /// An additional variable.
    extra_variable: Option<(&'static str, &'static str)>,
    body: &'static [u8],
    /// Number of bytes sent after the body.
    trailing_length: usize,
}

const DEFAULT_FORM: RequestForm = RequestForm {
    name: "as web servers write it",
    modifier_2: 0,
    length: Some("4"),
    length_first: false,
    extra_variable: None,
    body: b"body",
    trailing_length: 0,
};

const REQUEST_FORMS: [RequestForm; 9] = [
    DEFAULT_FORM,
    RequestForm {
        name: "length first",
        length_first: true,
        ..DEFAULT_FORM
    },
    RequestForm {
        name: "no length",
        length: None,
        body: b"",
        ..DEFAULT_FORM
    },
    RequestForm {
        name: "empty length",
        length: Some(""),
        body: b"",
        ..DEFAULT_FORM
    },
    RequestForm {
        name: "a length of 0",
        length: Some("0"),
        body: b"",
        ..DEFAULT_FORM
    },
    RequestForm {
        name: "leading zeros in the length",
        length: Some("0004"),
        ..DEFAULT_FORM
    },
    RequestForm {
        name: "another second modifier",
        modifier_2: 9,
        ..DEFAULT_FORM
    },
    RequestForm {
        name: "an empty variable",
        extra_variable: Some(("HTTPS", "")),
        ..DEFAULT_FORM
    },
    RequestForm {
        name: "bytes after the body",
        trailing_length: 40,
        ..DEFAULT_FORM
    },
];

impl RequestForm {
    fn bytes(&self, attempt_number: u64) -> Vec<u8> {
        let (attempt_id, now) = (attempt_id(attempt_number), unix_ms().to_string());
        let mut variables = vec![
            ("SCRIPT_NAME", "/svc/look"),
            ("REQUEST_METHOD", "POST"),
            ("HTTP_X_REQUEST_ID", &*attempt_id),
            ("HTTP_X_REQUEST_START", &*now),
            ("HTTP_X_CALLER", "1"),
            ("HTTP_X_MEMORY_KB", "2.5"),
            ("HTTP_X_RANK", "0.5"),
        ];
        variables.extend(self.extra_variable);
        if let Some(length) = self.length {
            let position = if self.length_first {
                0
            } else {
                variables.len()
            };
            variables.insert(position, ("CONTENT_LENGTH", length));
        }
        let words = variables
            .into_iter()
            .flat_map(|(name, value)| [name, value]);
        let variable_block: Vec<u8> = words
            .flat_map(|word| [&(word.len() as u16).to_le_bytes()[..], word.as_bytes()].concat())
            .collect();
        let [low, high] = (variable_block.len() as u16).to_le_bytes();
        [
            &[0, low, high, self.modifier_2][..],
            &variable_block,
            self.body,
            &vec![b'x'; self.trailing_length],
        ]
        .concat()
    }
}

#[test]
fn a_uwsgi_request_of_any_form_split_at_any_byte_is_answered_once() {
    let (fixture, uwsgi_address) = start_node();
    let mut attempt_number = 0;
    for (index, form) in REQUEST_FORMS.iter().enumerate() {
        // The first form is split at every byte, the others at every seventh, each with a different offset.
        let step = if index == 0 { 1 } else { 7 };
        for cut in (1 + index % 7..form.bytes(0).len()).step_by(step) {
            attempt_number += 1;
            let bytes = form.bytes(attempt_number);
            let mut sock = connect_without_delay(uwsgi_address);
            sock.write_all(&bytes[..cut]).unwrap();
            pause();
            // Bytes sent after the body may arrive once the node has closed the connection.
            let sent = sock.write_all(&bytes[cut..]);
            assert!(
                sent.is_ok() || form.trailing_length > 0,
                "{}, split at {cut}: {sent:?}",
                form.name
            );
            let outcome = PendingAnswer {
                sock,
                protocol: Uwsgi,
            }
            .outcome();
            assert_eq!(
                outcome,
                CallerOutcome::Completed(b"done".into()),
                "{}, split at {cut}",
                form.name
            );
        }
    }
    for cut in 1..4 {
        let (mut sock, mut pong) = (connect_without_delay(uwsgi_address), Vec::new());
        sock.write_all(&[100, 0, 0, 0][..cut]).unwrap();
        pause();
        sock.write_all(&[100, 0, 0, 0][cut..]).unwrap();
        sock.read_to_end(&mut pong).unwrap();
        assert_eq!(pong, [100, 0, 0, 1], "a ping split at {cut}");
    }
    assert_clean_exit(fixture);
}

/// A request of which only the first bytes were sent.
struct PartialRequest {
    pending: PendingAnswer,
    cut: usize,
    rest: Vec<u8>,
}

impl PartialRequest {
    fn send(
        attempt_number: u64,
        address: SocketAddr,
        protocol: Protocol,
        cut: usize,
    ) -> PartialRequest {
        let bytes = CallerRequest::new(attempt_number, "/svc/look", b"body").bytes(protocol);
        let mut sock = connect_without_delay(address);
        sock.write_all(&bytes[..cut]).unwrap();
        PartialRequest {
            pending: PendingAnswer { sock, protocol },
            cut,
            rest: bytes[cut..].to_vec(),
        }
    }

    /// Sends one incomplete request for every `step` bytes of length, and one that lacks only the last byte.
    fn send_all(
        from: u64,
        address: SocketAddr,
        protocol: Protocol,
        step: usize,
    ) -> Vec<PartialRequest> {
        let length = CallerRequest::new(from, "/svc/look", b"body")
            .bytes(protocol)
            .len();
        let cuts = (1..length - 1).step_by(step).chain([length - 1]);
        (from..)
            .zip(cuts)
            .map(|(attempt_number, cut)| {
                PartialRequest::send(attempt_number, address, protocol, cut)
            })
            .collect()
    }

    fn send_rest(&mut self) {
        self.pending.sock.write_all(&self.rest).unwrap();
    }
}

/// Returns true if a complete request was answered: completed, or rejected because too many came at once.
fn is_answered(outcome: &CallerOutcome) -> bool {
    matches!(
        outcome,
        CallerOutcome::Completed(_) | CallerOutcome::Rejected { .. }
    )
}

fn assert_all_answered(requests: Vec<PartialRequest>, context: &str) {
    let mut completed = 0;
    for request in requests {
        let (protocol, cut) = (request.pending.protocol, request.cut);
        let outcome = request.pending.outcome();
        assert!(
            is_answered(&outcome),
            "{context}: {protocol} split at {cut}: {outcome:?}"
        );
        completed += usize::from(matches!(outcome, CallerOutcome::Completed(_)));
    }
    assert!(completed > 0, "{context}");
}

#[test]
fn requests_completed_after_a_reload_are_answered() {
    let (fixture, uwsgi_address) = start_node();
    let listener =
        |address: SocketAddr| json!({"protocol": "uwsgi", "listen": address.to_string()});
    let added_listener = SocketAddr::new(uwsgi_address.ip(), 9093);
    for (round, text) in [
        "{".into(),
        json!({"fronts": [listener(uwsgi_address), listener(added_listener)]}).to_string(),
    ]
    .into_iter()
    .enumerate()
    {
        let from = 10_000 * (round as u64 + 1);
        let mut requests = PartialRequest::send_all(from, fixture.address, FastCgi, 7);
        requests.extend(PartialRequest::send_all(
            from + 5_000,
            uwsgi_address,
            Uwsgi,
            7,
        ));
        std::fs::write(fixture.folder.join("installation.json"), text).unwrap();
        fixture.signal("-HUP");
        requests.iter_mut().for_each(PartialRequest::send_rest);
        assert_all_answered(requests, "after a reload");
    }
    drop(connect(added_listener));
    assert_clean_exit(fixture);
}

#[test]
fn requests_completed_during_a_drain_are_answered_and_incomplete_ones_are_refused() {
    let (fixture, uwsgi_address) = start_node_with_stop(1_200);
    let mut completed_later = PartialRequest::send_all(10_000, fixture.address, FastCgi, 11);
    completed_later.extend(PartialRequest::send_all(15_000, uwsgi_address, Uwsgi, 11));
    let mut incomplete = PartialRequest::send_all(20_000, fixture.address, FastCgi, 31);
    incomplete.extend(PartialRequest::send_all(25_000, uwsgi_address, Uwsgi, 31));
    fixture.signal("-TERM");
    completed_later
        .iter_mut()
        .for_each(PartialRequest::send_rest);
    assert_all_answered(completed_later, "after SIGTERM");
    for request in incomplete {
        let (protocol, cut) = (request.pending.protocol, request.cut);
        let has_begun = cut
            >= if protocol == FastCgi {
                FASTCGI_BEGIN_LENGTH
            } else {
                UWSGI_HEADER_LENGTH
            };
        let outcome = request.pending.outcome();
        // At the stop an incomplete request is rejected, unless it was answered with 400 as too slow before.
        let refused = matches!(
            outcome,
            CallerOutcome::Rejected { .. } | CallerOutcome::Unreadable(400, _)
        );
        let expected = if has_begun {
            refused
        } else {
            outcome == CallerOutcome::Nothing
        };
        assert!(expected, "{protocol} split at {cut}: {outcome:?}");
    }
    let (code, log) = fixture.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(!log.contains("panicked"), "{log}");
}
