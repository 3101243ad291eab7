//! Unread answers are bounded per connection and in total, and a client that reads loses none.

use std::collections::BTreeSet;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use doortrack_config::ResourceLimits;
use doortrack_fakes::fixture::fresh_address;
use doortrack_node::network::bounds::{MAX_UNREAD_ANSWER_BYTES, READ_BUFFER_BYTES};
use doortrack_node::network::listeners::{FIRST_CONNECTION_KEY, ListenerEvent, Listeners};
use doortrack_node::network::request::{Answer, DeploymentNames, RunOutput};
use doortrack_protocols::{Protocol, write_request};
use polling::{Events, Poller};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::connection_ends::small_limits;

/// Upper bound in bytes of an answer that carries no result.
const MAX_SHORT_ANSWER: usize = 200;
const MAX_RESULT: usize = 20_000;
/// Turns within which a caller that reads has received all its answers, with ample margin.
const MAX_TURNS: usize = 100_000;

/// The kind of message that a caller repeats in a batch.
#[derive(Clone, Copy, Debug)]
enum MessageKind {
    /// Eight bytes, answered with about seventy.
    GetValues,
    /// Eight bytes, answered with sixteen.
    UnknownType,
    /// A request without variables: 32 bytes, answered with 80. Data after it is read after the next sweep.
    Unreadable,
    /// A request that is run.
    Runnable,
}

impl MessageKind {
    fn bytes(self) -> Vec<u8> {
        match self {
            MessageKind::GetValues => vec![1, 9, 0, 0, 0, 0, 0, 0],
            MessageKind::UnknownType => vec![1, 77, 0, 0, 0, 0, 0, 0],
            MessageKind::Unreadable => [
                [1, 1, 0, 1, 0, 8, 0, 0],
                [0, 1, 1, 0, 0, 0, 0, 0],
                [1, 4, 0, 1, 0, 0, 0, 0],
                [1, 5, 0, 1, 0, 0, 0, 0],
            ]
            .concat(),
            MessageKind::Runnable => {
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

/// A caller's connection, with the messages sent and the bytes received on it.
struct Caller {
    sock: TcpStream,
    unsent: Vec<u8>,
    sent: usize,
    received: Vec<u8>,
    closed: bool,
}

impl Caller {
    /// Queues a batch of as many whole messages as fit into `bytes`. Requests that run are queued one at a time, as
    /// all have the same id.
    fn batch(&mut self, sent: MessageKind, bytes: usize) {
        let one = sent.bytes();
        let count = match sent {
            MessageKind::Runnable => 1,
            _ => (bytes / one.len()).max(1),
        };
        self.unsent.extend(one.repeat(count));
        self.sent += count;
        if matches!(sent, MessageKind::GetValues | MessageKind::UnknownType) {
            // The node accepts a limited number of bytes without a request among them.
            self.batch(MessageKind::Unreadable, 1);
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

    /// Number of whole answers received: END_REQUEST, GET_VALUES_RESULT and UNKNOWN_TYPE records.
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

/// Listeners with connected callers; the test runs each turn itself.
struct ListenerFixture {
    poller: Arc<Poller>,
    listeners: Listeners,
    callers: Vec<Caller>,
    limit: usize,
    result: usize,
    events: Vec<ListenerEvent>,
}

impl ListenerFixture {
    fn new(limit: usize, callers: usize) -> ListenerFixture {
        let poller = Arc::new(Poller::new().unwrap());
        let limits = ResourceLimits {
            unread_answer_bytes: limit,
            ..small_limits()
        };
        let names = DeploymentNames {
            groups: vec!["look".into()],
            idempotency_keyed: vec![false],
            tenants: vec!["one".into()],
        };
        let at = fresh_address();
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
        let mut fixture = ListenerFixture {
            poller,
            listeners,
            callers,
            limit,
            result: 0,
            events: Vec::new(),
        };
        while fixture.listeners.connection_count() < fixture.callers.len() {
            fixture.listeners.accept(0, 0, &mut fixture.events);
        }
        fixture
    }

    /// Runs one turn: reads ready connections, answers complete requests and writes.
    fn turn(&mut self) {
        self.listeners.sweep(0, &mut self.events);
        while self.listeners.flush(0, &mut self.events).is_break() {}
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
            while self.listeners.flush(0, &mut self.events).is_break() {}
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

    /// Lets callers read until each has all its answers or its connection is closed.
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
        let answer_counts = self
            .callers
            .iter()
            .map(|caller| (caller.answers(), caller.sent));
        panic!(
            "(answers received, messages sent) of each caller: {:?}",
            answer_counts.collect::<Vec<_>>()
        );
    }
}

/// Guards against a bound that is checked only after a whole read has been processed.
#[test]
fn reading_pauses_at_the_unread_answer_bound_and_resumes_once_answers_are_read() {
    let mut fixture = ListenerFixture::new(10_000_000, 1);
    let mut full_turns = 0;
    while full_turns < 3 {
        if fixture.callers[0].unsent.is_empty() {
            fixture.callers[0].batch(MessageKind::GetValues, READ_BUFFER_BYTES);
        }
        fixture.callers[0].send();
        fixture.turn(); // Also checks the bound of the connection.
        full_turns +=
            usize::from(fixture.listeners.unread_answer_bytes() >= MAX_UNREAD_ANSWER_BYTES);
    }
    fixture.finish();
    assert!(!fixture.callers[0].closed);
    assert_eq!(fixture.callers[0].answers(), fixture.callers[0].sent);
    assert_eq!(fixture.listeners.backlog_bytes(), 0);
}

/// Guards against a total that exceeds its bound while each connection stays within its own.
#[test]
fn the_connections_with_most_unread_answers_are_closed_and_readers_are_served() {
    // A connection that is not read because of its own unread answers reaches the total by itself.
    let mut fixture = ListenerFixture::new(MAX_UNREAD_ANSWER_BYTES, 4);
    let mut closed = BTreeSet::new();
    let mut turns = 0;
    while closed.len() < 3 {
        turns += 1;
        assert!(
            turns < MAX_TURNS,
            "{closed:?} closed, {} bytes of answers and {} of backlog are left",
            fixture.listeners.unread_answer_bytes(),
            fixture.listeners.backlog_bytes()
        );
        for (index, caller) in fixture.callers.iter_mut().enumerate() {
            let never_reads = index < 3;
            if caller.unsent.is_empty() && !closed.contains(&index) {
                caller.batch(
                    MessageKind::GetValues,
                    if never_reads { READ_BUFFER_BYTES } else { 800 },
                );
            }
            caller.send();
            if !never_reads {
                caller.receive(READ_BUFFER_BYTES);
            } else if caller.closed {
                closed.insert(index);
            }
        }
        fixture.turn();
    }
    assert_eq!(fixture.listeners.counts().terminations["unread"], 3);
    fixture.finish();
    assert!(!fixture.callers[3].closed);
    assert_eq!(fixture.callers[3].answers(), fixture.callers[3].sent);
}

fn sent() -> impl Strategy<Value = MessageKind> {
    prop_oneof![
        Just(MessageKind::GetValues),
        Just(MessageKind::UnknownType),
        Just(MessageKind::Unreadable),
        Just(MessageKind::Runnable),
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
    fn unread_answers_stay_within_their_bounds(
        limit in prop_oneof![1_000..100_000_usize, 100_000..1_000_000_usize, Just(100_000_000)],
        result in 0..MAX_RESULT,
        callers in 1..6_usize,
        steps in proptest::collection::vec((0..6_usize, sent(), 1..2 * READ_BUFFER_BYTES, 0..4_usize), 1..120),
    ) {
        let mut fixture = ListenerFixture::new(limit, callers);
        fixture.result = result;
        for (caller, sent, bytes, reads) in steps {
            let caller = &mut fixture.callers[caller % callers];
            if caller.unsent.is_empty() {
                caller.batch(sent, bytes);
            }
            caller.send();
            // Most steps read nothing.
            if reads == 0 {
                caller.receive(bytes);
            }
            fixture.turn();
        }
        fixture.finish();
        let unread = fixture.listeners.counts().terminations.get("unread").copied().unwrap_or(0);
        prop_assert!(limit < 100_000_000 || unread == 0);
    }
}
