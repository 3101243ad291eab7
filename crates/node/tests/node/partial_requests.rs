//! Requests that come in pieces, cut at every byte and in every form that a protocol allows: each whole one
//! is answered once, and half ones are told so, also where a piece ends just as the node reloads or leaves.

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

/// Bytes of a BEGIN_REQUEST with its record's head, and of the head of a uwsgi packet: with fewer there is no
/// request that could be answered.
const FASTCGI_BEGIN: usize = 16;
const UWSGI_HEAD: usize = 4;

/// Between two pieces, so that the node reads them one by one.
fn pause() {
    std::thread::sleep(Duration::from_micros(300));
}

/// Asks over FastCGI until a request is completed, which none is before the engine is up.
pub fn until_served(at: SocketAddr) {
    let until = Instant::now() + MAX_WAIT;
    for nth in 1 << 40.. {
        let seen = CallerRequest::new(nth, "/svc/look", b"")
            .send(at, FastCgi)
            .outcome();
        if matches!(seen, CallerOutcome::Completed(_)) {
            return;
        }
        assert!(Instant::now() < until, "{seen:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// From the notice to the stop where nothing is open any more, in ms.
const SHORT_STOP: u64 = 300;

fn up() -> (NodeFixture, SocketAddr) {
    up_with_stop(SHORT_STOP)
}

/// A node with a uwsgi front beside its own listener, whose engine ends every run at once.
fn up_with_stop(stop_ms: u64) -> (NodeFixture, SocketAddr) {
    let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    let uwsgi = plan.port(9092);
    plan.config["stop_ms"] = json!(stop_ms);
    plan.installation =
        Some(json!({"fronts": [{"protocol": "uwsgi", "listen": uwsgi.to_string()}]}));
    let fixture = plan.start();
    immediate::start_engine(fixture.engine_listener.try_clone().unwrap());
    until_served(fixture.address);
    (fixture, uwsgi)
}

fn without_delay(at: SocketAddr) -> TcpStream {
    let sock = connect(at);
    sock.set_nodelay(true).unwrap();
    sock
}

fn leaves(fixture: NodeFixture) {
    fixture.signal("-TERM");
    let (code, log) = fixture.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(!log.contains("panicked"), "{log}");
}

#[test]
fn a_fastcgi_request_cut_at_any_byte_is_answered_once() {
    let (fixture, _) = up();
    let mut client = Client {
        sock: without_delay(fixture.address),
    };
    let length = request(1, 1, "/svc/look", &[], b"body").len();
    for cut in 1..length {
        let id = cut as u16;
        let bytes = request(id, cut as u64, "/svc/look", &[], b"body");
        client.send(&bytes[..cut]);
        pause();
        client.send(&bytes[cut..]);
        let reply = client.reply();
        assert_eq!((reply.id, reply.status), (id, 200), "cut at {cut}");
    }
    leaves(fixture);
    assert!(client.is_closed(), "one was answered twice");
}

/// The records of a stream, one by one.
fn records(mut stream: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while !stream.is_empty() {
        let content = usize::from(u16::from_be_bytes([stream[4], stream[5]]));
        let (one, rest) = stream.split_at(8 + content + usize::from(stream[6]));
        records.push(one.to_vec());
        stream = rest;
    }
    records
}

#[test]
fn requests_interleaved_record_by_record_and_cut_anywhere_are_answered_once_each() {
    let (fixture, _) = up();
    let mut client = Client {
        sock: without_delay(fixture.address),
    };
    for round in 0..40u64 {
        // The last one is aborted before it is whole, and its id is used again in the next round.
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
        let most = streams.iter().map(Vec::len).max().unwrap();
        let woven: Vec<u8> = (0..most)
            .flat_map(|nth| {
                streams
                    .iter()
                    .filter_map(move |stream| stream.get(nth))
                    .flatten()
                    .copied()
            })
            .collect();
        for piece in woven.chunks(1 + round as usize) {
            client.send(piece);
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
    leaves(fixture);
    assert!(client.is_closed(), "one was answered twice");
}

/// A form of uwsgi request that the protocol allows.
#[derive(Clone, Copy)]
struct Form {
    name: &'static str,
    modifier_2: u8,
    /// What stands for `CONTENT_LENGTH`, if anything does, and where.
    length: Option<&'static str>,
    length_first: bool,
    /// A further variable.
    more: Option<(&'static str, &'static str)>,
    body: &'static [u8],
    /// Bytes behind the body.
    behind: usize,
}

const PLAIN: Form = Form {
    name: "as front ends write it",
    modifier_2: 0,
    length: Some("4"),
    length_first: false,
    more: None,
    body: b"body",
    behind: 0,
};

const FORMS: [Form; 9] = [
    PLAIN,
    Form {
        name: "length first",
        length_first: true,
        ..PLAIN
    },
    Form {
        name: "no length",
        length: None,
        body: b"",
        ..PLAIN
    },
    Form {
        name: "empty length",
        length: Some(""),
        body: b"",
        ..PLAIN
    },
    Form {
        name: "a length of 0",
        length: Some("0"),
        body: b"",
        ..PLAIN
    },
    Form {
        name: "zeros before the length",
        length: Some("0004"),
        ..PLAIN
    },
    Form {
        name: "another second modifier",
        modifier_2: 9,
        ..PLAIN
    },
    Form {
        name: "an empty variable",
        more: Some(("HTTPS", "")),
        ..PLAIN
    },
    Form {
        name: "bytes behind the body",
        behind: 40,
        ..PLAIN
    },
];

impl Form {
    fn bytes(&self, nth: u64) -> Vec<u8> {
        let (attempt_id, now) = (attempt_id(nth), unix_ms().to_string());
        let mut variables = vec![
            ("SCRIPT_NAME", "/svc/look"),
            ("REQUEST_METHOD", "POST"),
            ("HTTP_X_REQUEST_ID", &*attempt_id),
            ("HTTP_X_REQUEST_START", &*now),
            ("HTTP_X_CALLER", "1"),
            ("HTTP_X_MEMORY_KB", "2.5"),
            ("HTTP_X_RANK", "0.5"),
        ];
        variables.extend(self.more);
        if let Some(length) = self.length {
            let place = if self.length_first {
                0
            } else {
                variables.len()
            };
            variables.insert(place, ("CONTENT_LENGTH", length));
        }
        let words = variables
            .into_iter()
            .flat_map(|(name, value)| [name, value]);
        let block: Vec<u8> = words
            .flat_map(|word| [&(word.len() as u16).to_le_bytes()[..], word.as_bytes()].concat())
            .collect();
        let [low, high] = (block.len() as u16).to_le_bytes();
        [
            &[0, low, high, self.modifier_2][..],
            &block,
            self.body,
            &vec![b'x'; self.behind],
        ]
        .concat()
    }
}

#[test]
fn a_uwsgi_request_of_any_form_cut_at_any_byte_is_answered_once() {
    let (fixture, at) = up();
    let mut nth = 0;
    for (place, form) in FORMS.iter().enumerate() {
        // The first form at every byte, the others at every seventh, each from another one on.
        let step = if place == 0 { 1 } else { 7 };
        for cut in (1 + place % 7..form.bytes(0).len()).step_by(step) {
            nth += 1;
            let bytes = form.bytes(nth);
            let mut sock = without_delay(at);
            sock.write_all(&bytes[..cut]).unwrap();
            pause();
            // What lies behind the body may meet the end of the connection.
            let sent = sock.write_all(&bytes[cut..]);
            assert!(
                sent.is_ok() || form.behind > 0,
                "{}, cut at {cut}: {sent:?}",
                form.name
            );
            let seen = PendingAnswer {
                sock,
                protocol: Uwsgi,
            }
            .outcome();
            assert_eq!(
                seen,
                CallerOutcome::Completed(b"done".into()),
                "{}, cut at {cut}",
                form.name
            );
        }
    }
    for cut in 1..4 {
        let (mut sock, mut pong) = (without_delay(at), Vec::new());
        sock.write_all(&[100, 0, 0, 0][..cut]).unwrap();
        pause();
        sock.write_all(&[100, 0, 0, 0][cut..]).unwrap();
        sock.read_to_end(&mut pong).unwrap();
        assert_eq!(pong, [100, 0, 0, 1], "a ping cut at {cut}");
    }
    leaves(fixture);
}

/// A request of which the first bytes were sent.
struct Half {
    pending: PendingAnswer,
    cut: usize,
    rest: Vec<u8>,
}

impl Half {
    fn send(nth: u64, at: SocketAddr, protocol: Protocol, cut: usize) -> Half {
        let bytes = CallerRequest::new(nth, "/svc/look", b"body").bytes(protocol);
        let mut sock = without_delay(at);
        sock.write_all(&bytes[..cut]).unwrap();
        Half {
            pending: PendingAnswer { sock, protocol },
            cut,
            rest: bytes[cut..].to_vec(),
        }
    }

    /// One for every so many bytes, the last of them one byte short of the whole.
    fn all(from: u64, at: SocketAddr, protocol: Protocol, step: usize) -> Vec<Half> {
        let length = CallerRequest::new(from, "/svc/look", b"body")
            .bytes(protocol)
            .len();
        let cuts = (1..length - 1).step_by(step).chain([length - 1]);
        (from..)
            .zip(cuts)
            .map(|(nth, cut)| Half::send(nth, at, protocol, cut))
            .collect()
    }

    fn send_rest(&mut self) {
        self.pending.sock.write_all(&self.rest).unwrap();
    }
}

/// Whether a whole request was answered: completed, or rejected where too much came at once.
fn is_answered(seen: &CallerOutcome) -> bool {
    matches!(
        seen,
        CallerOutcome::Completed(_) | CallerOutcome::Rejected { .. }
    )
}

fn all_answered(halves: Vec<Half>, what: &str) {
    let mut completed = 0;
    for half in halves {
        let (protocol, cut) = (half.pending.protocol, half.cut);
        let seen = half.pending.outcome();
        assert!(
            is_answered(&seen),
            "{what}: {protocol} cut at {cut}: {seen:?}"
        );
        completed += usize::from(matches!(seen, CallerOutcome::Completed(_)));
    }
    assert!(completed > 0, "{what}");
}

#[test]
fn requests_whose_rest_comes_after_a_reload_are_answered() {
    let (fixture, uwsgi) = up();
    let front = |at: SocketAddr| json!({"protocol": "uwsgi", "listen": at.to_string()});
    let more = SocketAddr::new(uwsgi.ip(), 9093);
    for (round, text) in [
        "{".into(),
        json!({"fronts": [front(uwsgi), front(more)]}).to_string(),
    ]
    .into_iter()
    .enumerate()
    {
        let from = 10_000 * (round as u64 + 1);
        let mut halves = Half::all(from, fixture.address, FastCgi, 7);
        halves.extend(Half::all(from + 5_000, uwsgi, Uwsgi, 7));
        std::fs::write(fixture.folder.join("installation.json"), text).unwrap();
        fixture.signal("-HUP");
        halves.iter_mut().for_each(Half::send_rest);
        all_answered(halves, "a reload");
    }
    drop(connect(more));
    leaves(fixture);
}

#[test]
fn a_piece_that_ends_as_the_node_leaves_is_answered_and_a_half_is_told_so() {
    let (fixture, uwsgi) = up_with_stop(1_200);
    let mut followed = Half::all(10_000, fixture.address, FastCgi, 11);
    followed.extend(Half::all(15_000, uwsgi, Uwsgi, 11));
    let mut left = Half::all(20_000, fixture.address, FastCgi, 31);
    left.extend(Half::all(25_000, uwsgi, Uwsgi, 31));
    fixture.signal("-TERM");
    followed.iter_mut().for_each(Half::send_rest);
    all_answered(followed, "a notice");
    for half in left {
        let (protocol, cut) = (half.pending.protocol, half.cut);
        let begun = cut
            >= if protocol == FastCgi {
                FASTCGI_BEGIN
            } else {
                UWSGI_HEAD
            };
        let seen = half.pending.outcome();
        // By the stop it is refused; by then it may be a slow one, which is told so.
        let told = matches!(
            seen,
            CallerOutcome::Rejected { .. } | CallerOutcome::Unreadable(400, _)
        );
        let wanted = if begun {
            told
        } else {
            seen == CallerOutcome::Nothing
        };
        assert!(wanted, "{protocol} cut at {cut}: {seen:?}");
    }
    let (code, log) = fixture.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(!log.contains("panicked"), "{log}");
}
