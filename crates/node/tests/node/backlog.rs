//! Answers that clients do not read: bounded for each connection and for all, and none is lost to one who reads.

use std::collections::BTreeSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use doortrack_config::ResourceLimits;
use doortrack_node::network::bounds::{MAX_UNREAD_ANSWER_BYTES, READ_BUFFER_BYTES};
use doortrack_node::network::listeners::{FIRST_CONNECTION_KEY, ListenerEvent, Listeners};
use doortrack_node::network::request::{Answer, DeploymentNames, RunOutput};
use doortrack_protocols::{Protocol, write_request};
use polling::{Events, Poller};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// More than any answer to what the callers send, but for results.
const MAX_SHORT_ANSWER: usize = 200;
const MAX_RESULT: usize = 20_000;
/// Turns after which a caller that reads has all its answers, with much to spare.
const MAX_TURNS: usize = 100_000;

/// What a caller sends, one after the other as long as a batch is.
#[derive(Clone, Copy, Debug)]
enum Sent {
    /// Eight bytes, answered with some seventy.
    GetValues,
    /// Eight bytes, answered with sixteen.
    UnknownType,
    /// A request without variables: 32 bytes, answered with 80. What follows is read after the next sweep.
    Unreadable,
    /// A request that is run.
    Runnable,
}

impl Sent {
    fn bytes(self) -> Vec<u8> {
        match self {
            Sent::GetValues => vec![1, 9, 0, 0, 0, 0, 0, 0],
            Sent::UnknownType => vec![1, 77, 0, 0, 0, 0, 0, 0],
            Sent::Unreadable => [
                [1, 1, 0, 1, 0, 8, 0, 0],
                [0, 1, 1, 0, 0, 0, 0, 0],
                [1, 4, 0, 1, 0, 0, 0, 0],
                [1, 5, 0, 1, 0, 0, 0, 0],
            ]
            .concat(),
            Sent::Runnable => {
                let now = doortrack_fakes::unix_ms().to_string();
                let id = doortrack_fakes::attempt_id(1);
                let fields = [
                    ("SCRIPT_NAME", "/svc/look"),
                    ("REQUEST_METHOD", "POST"),
                    ("HTTP_X_REQUEST_ID", &id),
                    ("HTTP_X_REQUEST_START", &now),
                    ("HTTP_X_CALLER", "1"),
                    ("HTTP_X_MEMORY_KB", "2.5"),
                    ("HTTP_X_RANK", "0.5"),
                ];
                let pairs = fields.map(|(name, value)| (name.as_bytes(), value.as_bytes()));
                let mut bytes = Vec::new();
                write_request(Protocol::FastCgi, &mut bytes, 1, true, &pairs, b"").unwrap();
                bytes
            }
        }
    }
}

/// A caller's connection, and what it has sent and read on it.
struct Caller {
    sock: TcpStream,
    unsent: Vec<u8>,
    sent: usize,
    received: Vec<u8>,
    closed: bool,
}

impl Caller {
    /// Has a batch sent: as many whole messages as `bytes` hold. A result is for one request at a time, as all have
    /// the same id.
    fn batch(&mut self, sent: Sent, bytes: usize) {
        let one = sent.bytes();
        let count = match sent {
            Sent::Runnable => 1,
            _ => (bytes / one.len()).max(1),
        };
        self.unsent.extend(one.repeat(count));
        self.sent += count;
        if matches!(sent, Sent::GetValues | Sent::UnknownType) {
            // Only so many bytes are taken without a request among them.
            self.batch(Sent::Unreadable, 1);
        }
    }

    fn send(&mut self) {
        match self.sock.write(&self.unsent) {
            Ok(count) => drop(self.unsent.drain(..count)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.closed = true,
        }
    }

    fn receive(&mut self, bytes: usize) {
        let mut part = vec![0; bytes];
        match self.sock.read(&mut part) {
            Ok(0) => self.closed = true,
            Ok(count) => self.received.extend(&part[..count]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.closed = true,
        }
    }

    /// Whole answers that it has read: ends of requests, values and unknown types.
    fn answers(&self) -> usize {
        let (mut rest, mut count) = (&self.received[..], 0);
        while let [_, kind, _, _, high, low, padding, _, content @ ..] = rest {
            let length = usize::from(*high) << 8 | usize::from(*low);
            let Some(after) = content.get(length + usize::from(*padding)..) else {
                break;
            };
            count += usize::from([3, 10, 11].contains(kind));
            rest = after;
        }
        count
    }
}

/// Listeners, with callers connected to them, turned by hand.
struct Turns {
    poller: Arc<Poller>,
    listeners: Listeners,
    callers: Vec<Caller>,
    limit: usize,
    result: usize,
    events: Vec<ListenerEvent>,
}

impl Turns {
    fn new(limit: usize, callers: usize) -> Turns {
        static FIXTURES: AtomicU8 = AtomicU8::new(0);
        let poller = Arc::new(Poller::new().unwrap());
        let limits = ResourceLimits {
            connections: 8,
            open_requests: 64,
            dedup_entries: 1,
            result_bytes: 1,
            unread_answer_bytes: limit,
            engine_command_bytes: 1,
        };
        let names = DeploymentNames {
            groups: vec!["look".into()],
            idempotency_keyed: vec![false],
            tenants: vec!["one".into()],
        };
        let [.., b, c] = std::process::id().to_be_bytes();
        let nth = FIXTURES.fetch_add(1, Ordering::Relaxed);
        let at: SocketAddr = format!("127.{}.{b}.{c}:9091", 120 + nth % 100)
            .parse()
            .unwrap();
        let mut listeners = Listeners::new(poller.clone(), names, limits, u64::MAX / 100);
        listeners.listen(at, Protocol::FastCgi, None).unwrap();
        let connect = |_| {
            let sock = TcpStream::connect(at).unwrap();
            sock.set_nonblocking(true).unwrap();
            Caller {
                sock,
                unsent: Vec::new(),
                sent: 0,
                received: Vec::new(),
                closed: false,
            }
        };
        let callers = (0..callers).map(connect).collect();
        let mut turns = Turns {
            poller,
            listeners,
            callers,
            limit,
            result: 0,
            events: Vec::new(),
        };
        while turns.listeners.connection_count() < turns.callers.len() {
            turns.listeners.accept(0, 0, &mut turns.events);
        }
        turns
    }

    /// Reads what is ready, answers what is complete, and writes.
    fn turn(&mut self) {
        self.listeners.sweep(0, &mut self.events);
        self.listeners.flush(0, &mut self.events);
        let mut ready = Events::new();
        self.poller.wait(&mut ready, Some(Duration::ZERO)).unwrap();
        for event in ready
            .iter()
            .filter(|event| event.key >= FIRST_CONNECTION_KEY)
        {
            self.listeners.on_event(event, 0, &mut self.events);
            self.check();
        }
        let result = vec![b'x'; self.result];
        while !self.events.is_empty() {
            for event in std::mem::take(&mut self.events) {
                if let ListenerEvent::Request { caller, .. } = event {
                    let output = RunOutput::from(&result[..]);
                    self.listeners.answer(caller, Answer::Completed(output));
                    self.check();
                }
            }
            self.listeners.flush(0, &mut self.events);
            self.check();
        }
    }

    fn check(&self) {
        let (unread, backlog) = (
            self.listeners.unread_answer_bytes(),
            self.listeners.backlog_bytes(),
        );
        let answer = self.result + MAX_SHORT_ANSWER;
        assert!(unread <= self.limit + answer, "{unread} of {}", self.limit);
        let input = answer.max(READ_BUFFER_BYTES);
        assert!(backlog <= self.limit + input, "{backlog} of {}", self.limit);
        let connections = self.listeners.connection_count();
        let each = MAX_UNREAD_ANSWER_BYTES + answer;
        assert!(unread <= connections * each, "{unread} on {connections}");
    }

    /// Callers read until each has all its answers, or was closed.
    fn finish(&mut self) {
        for _ in 0..MAX_TURNS {
            for caller in &mut self.callers {
                caller.send();
                caller.receive(READ_BUFFER_BYTES);
            }
            self.turn();
            let is_done = |caller: &Caller| caller.closed || caller.answers() == caller.sent;
            if self.callers.iter().all(is_done) {
                return;
            }
        }
        let counts = self
            .callers
            .iter()
            .map(|caller| (caller.answers(), caller.sent));
        panic!("answers read, due: {:?}", counts.collect::<Vec<_>>());
    }
}

/// Guards against a bound that is looked at only once a whole read has been worked off.
#[test]
fn a_read_whose_answers_are_not_taken_stops_at_the_bound_and_goes_on_once_they_are() {
    let mut turns = Turns::new(10_000_000, 1);
    let mut full_turns = 0;
    while full_turns < 3 {
        if turns.callers[0].unsent.is_empty() {
            turns.callers[0].batch(Sent::GetValues, READ_BUFFER_BYTES);
        }
        turns.callers[0].send();
        turns.turn(); // Checks the bound of the connection.
        full_turns += usize::from(turns.listeners.unread_answer_bytes() >= MAX_UNREAD_ANSWER_BYTES);
    }
    turns.finish();
    assert!(!turns.callers[0].closed);
    assert_eq!(turns.callers[0].answers(), turns.callers[0].sent);
    assert_eq!(turns.listeners.backlog_bytes(), 0);
}

/// Guards against a sum over all connections that grows past its bound while each keeps within its own.
#[test]
fn where_answers_pile_up_on_all_connections_the_largest_is_closed_and_who_reads_is_served() {
    let mut turns = Turns::new(100_000, 4);
    let mut closed = BTreeSet::new();
    while closed.len() < 3 {
        for (index, caller) in turns.callers.iter_mut().enumerate() {
            let is_deaf = index < 3;
            if caller.unsent.is_empty() && !closed.contains(&index) {
                caller.batch(
                    Sent::GetValues,
                    if is_deaf { READ_BUFFER_BYTES } else { 800 },
                );
            }
            caller.send();
            if !is_deaf {
                caller.receive(READ_BUFFER_BYTES);
            } else if caller.closed {
                closed.insert(index);
            }
        }
        turns.turn();
    }
    assert_eq!(turns.listeners.counts().terminations["unread"], 3);
    turns.finish();
    assert!(!turns.callers[3].closed);
    assert_eq!(turns.callers[3].answers(), turns.callers[3].sent);
}

fn sent() -> impl Strategy<Value = Sent> {
    prop_oneof![
        Just(Sent::GetValues),
        Just(Sent::UnknownType),
        Just(Sent::Unreadable),
        Just(Sent::Runnable),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 16,
        rng_seed: RngSeed::Fixed(0x0bac_1061),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn unread_answers_keep_within_their_bounds_whatever_callers_send_and_read(
        limit in prop_oneof![1_000..100_000_usize, 100_000..1_000_000_usize, Just(100_000_000)],
        result in 0..MAX_RESULT,
        callers in 1..6_usize,
        steps in proptest::collection::vec((0..6_usize, sent(), 1..2 * READ_BUFFER_BYTES, 0..4_usize), 1..120),
    ) {
        let mut turns = Turns::new(limit, callers);
        turns.result = result;
        for (caller, sent, bytes, reads) in steps {
            let caller = &mut turns.callers[caller % callers];
            if caller.unsent.is_empty() {
                caller.batch(sent, bytes);
            }
            caller.send();
            // Most read nothing for a while.
            if reads == 0 {
                caller.receive(bytes);
            }
            turns.turn();
        }
        turns.finish();
        let unread = turns.listeners.counts().terminations.get("unread").copied().unwrap_or(0);
        prop_assert!(limit < 100_000_000 || unread == 0);
    }
}
