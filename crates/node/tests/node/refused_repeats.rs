//! Repeats of completed requests that arrive where new requests are refused. A refusal tells the caller that nothing
//! ran, so the caller of a repeat would have the request run once more at another node.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;

use doortrack_fakes::caller::{CallerOutcome, CallerRequest, PendingAnswer};
use doortrack_fakes::engine::Engine;
use doortrack_fakes::fixture::{NodeFixture, NodeSetup, connect};
use doortrack_fakes::records::{Client, Reply, record, request};
use doortrack_protocols::Protocol::Uwsgi;
use serde_json::{Value, json};

/// Protocol status of a FastCGI request that is refused as not run.
const OVERLOADED: u16 = 2;
/// Maximum number of complete open requests of a node with this memory.
const MEMORY_MB: u32 = 16;
const MAX_OPEN_REQUESTS: u64 = 304;
/// Maximum number of requests that are run of one connection, and of those that are read.
const MAX_PENDING_REQUESTS: u16 = 32;
const MAX_READ_REQUESTS: u16 = 40;
/// Length of the last record of a request, which is empty and padded.
const LAST_RECORD_BYTES: usize = 11;
/// The first record of a request, which opens it.
const BEGIN_CONTENT: [u8; 8] = [0, 1, 1, 0, 0, 0, 0, 0];

const COMPLETED_KEY: &str = "00000000000000000000000000000001";
const RUNNING_KEY: &str = "00000000000000000000000000000002";
const NEW_KEY: &str = "00000000000000000000000000000003";
const RESULT: &[u8] = b"paid";

fn pay(id: u16, attempt_number: u64, key: &str) -> Vec<u8> {
    let fields = [("HTTP_IDEMPOTENCY_KEY", key)];
    request(id, attempt_number, "/svc/pay", &fields, b"berth")
}

/// All of a request but its last record.
fn incomplete(mut bytes: Vec<u8>) -> Vec<u8> {
    bytes.truncate(bytes.len() - LAST_RECORD_BYTES);
    bytes
}

/// Starts a node with a uwsgi listener beside its own one, and has it complete a request with [`COMPLETED_KEY`].
fn start_with_completed_request(
    change: impl FnOnce(&mut Value),
) -> (NodeFixture, Engine, SocketAddr) {
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    let uwsgi_address = setup.port(9092);
    setup.config["limits"]["memory_mb"] = json!(MEMORY_MB);
    change(&mut setup.config);
    setup.installation =
        Some(json!({"fronts": [{"protocol": "uwsgi", "listen": uwsgi_address.to_string()}]}));
    let (fixture, mut engine) = setup.start_with_engine();
    let mut client = fixture.client();
    client.send(&pay(1, 1, COMPLETED_KEY));
    let (call, _) = engine.next_run();
    engine.finish_run(&call, "OK", RESULT);
    assert_eq!(client.reply().body, RESULT);
    (fixture, engine, uwsgi_address)
}

/// Opens connections with as many incomplete requests as one may have, until the node has read them all.
fn hold_incomplete_requests(fixture: &NodeFixture, connections: u64) -> Vec<Client> {
    let mut clients: Vec<Client> = (0..connections).map(|_| fixture.client()).collect();
    for (client, nth) in clients.iter_mut().zip(1..) {
        for id in 1..=MAX_PENDING_REQUESTS {
            let attempt_number = 1000 * nth + u64::from(id);
            client.send(&incomplete(pay(id, attempt_number, NEW_KEY)));
        }
        // The answer to the last request shows that all were read.
        let last_id = MAX_PENDING_REQUESTS + 1;
        client.send(&request(last_id, nth, "/status/live", &[], b""));
        while client.reply().id != last_id {}
    }
    clients
}

/// Guards against refusing a repeat unread because the incomplete requests of other clients count as open.
#[test]
fn a_repeat_gets_its_result_while_other_clients_hold_incomplete_requests() {
    let (fixture, mut engine, uwsgi_address) = start_with_completed_request(|_| {});
    let connections = MAX_OPEN_REQUESTS / u64::from(MAX_PENDING_REQUESTS) + 2;
    let _clients = hold_incomplete_requests(&fixture, connections);
    let mut caller = fixture.client();
    caller.send(&pay(1, 2, COMPLETED_KEY));
    let repeat = caller.reply();
    assert_eq!((repeat.status, &repeat.body[..]), (200, RESULT));
    let repeat = CallerRequest::new(3, "/svc/pay", b"berth")
        .with("HTTP_IDEMPOTENCY_KEY", COMPLETED_KEY)
        .send(uwsgi_address, Uwsgi);
    assert_eq!(repeat.outcome(), CallerOutcome::Completed(RESULT.into()));
    caller.send_look(2, 4);
    let (call, _) = engine.next_run();
    engine.finish_run(&call, "OK", b"seen");
    assert_eq!(caller.reply().body, b"seen");
}

/// Guards against refusing a repeat unread because its connection has as many incomplete requests as the protocol
/// allows, or more.
#[test]
fn a_repeat_beyond_the_requests_of_its_connection_gets_its_result() {
    let (fixture, _engine, _) = start_with_completed_request(|_| {});
    for count in [MAX_PENDING_REQUESTS, MAX_READ_REQUESTS] {
        let mut client = fixture.client();
        let attempt_number = 1000 * u64::from(count);
        for id in 1..=count {
            client.send(&incomplete(pay(
                id,
                attempt_number + u64::from(id),
                NEW_KEY,
            )));
        }
        client.send(&pay(100, attempt_number + 100, COMPLETED_KEY));
        if count == MAX_READ_REQUESTS {
            // The oldest incomplete request makes room, and is not refused as not run.
            let oldest = client.reply();
            assert_eq!((oldest.id, oldest.status), (1, 400));
        }
        let repeat = client.reply();
        assert_eq!((repeat.id, &repeat.body[..]), (100, RESULT));
        if count == MAX_PENDING_REQUESTS {
            client.send(&pay(101, attempt_number + 101, NEW_KEY));
            let new = client.reply();
            assert_eq!((new.id, new.status), (101, OVERLOADED));
        }
    }
}

/// Guards against refusing a repeat unread because as many complete requests are open as the node may have.
#[test]
fn a_repeat_gets_its_result_while_only_new_requests_exceed_the_open_ones() {
    let (fixture, mut engine, _) = start_with_completed_request(|config| {
        config["settings"]["family_info"]["cores"] = json!(1000);
    });
    let mut caller = fixture.client();
    caller.send(&pay(1, 2, RUNNING_KEY));
    let (running, _) = engine.next_run();
    let looks_per_client = u64::from(MAX_PENDING_REQUESTS) - 1;
    let client_count = MAX_OPEN_REQUESTS / looks_per_client + 1;
    let mut clients: Vec<Client> = (0..client_count).map(|_| fixture.client()).collect();
    for nth in 0..MAX_OPEN_REQUESTS - 1 {
        let client = &mut clients[(nth / looks_per_client) as usize];
        client.send_look((nth % looks_per_client) as u16 + 1, 1000 + nth);
        engine.next_run();
    }
    caller.send_look(2, 3);
    caller.send(&pay(3, 4, NEW_KEY));
    caller.send(&pay(4, 5, COMPLETED_KEY));
    caller.send(&pay(5, 6, RUNNING_KEY));
    let replies: BTreeMap<u16, u16> = (0..3).map(|_| caller.reply()).map(status_by_id).collect();
    let expected = [(2, OVERLOADED), (3, OVERLOADED), (4, 200)];
    assert_eq!(replies, BTreeMap::from(expected));
    engine.finish_run(&running, "OK", RESULT);
    for _ in 0..2 {
        assert_eq!(caller.reply().body, RESULT);
    }
}

fn status_by_id(reply: Reply) -> (u16, u16) {
    (reply.id, reply.status)
}

/// Guards against repeats of a run in flight that take memory without a bound, and against refusing those beyond it.
#[test]
fn repeats_beyond_those_that_may_wait_fail_and_are_not_refused() {
    /// Two for each of the eight connections of a node with 32 descriptors.
    const MAX_WAITING: usize = 16;
    const EXCESS: usize = 4;
    let (fixture, mut engine, _) = start_with_completed_request(|config| {
        config["limits"]["sockets"] = json!(32);
    });
    let mut caller = fixture.client();
    caller.send(&pay(1, 2, RUNNING_KEY));
    let (running, _) = engine.next_run();
    for nth in 0..(MAX_WAITING + EXCESS) as u16 {
        caller.send(&pay(2 + nth, 3 + u64::from(nth), RUNNING_KEY));
    }
    for _ in 0..EXCESS {
        assert_eq!(caller.reply().status, 500);
    }
    engine.finish_run(&running, "OK", RESULT);
    for _ in 0..=MAX_WAITING {
        assert_eq!(caller.reply().body, RESULT);
    }
}

/// Guards against refusing an incomplete request, as its connection ends, although it may repeat one that ran.
#[test]
fn an_incomplete_repeat_is_not_refused_when_its_connection_ends() {
    const STOP_MS: u64 = 700;
    let (fixture, _engine, uwsgi_address) =
        start_with_completed_request(|config| config["stop_ms"] = json!(STOP_MS));
    let mut client = fixture.client();
    client.send(&incomplete(pay(1, 11, COMPLETED_KEY)));
    client.send(&incomplete(pay(2, 12, NEW_KEY)));
    client.send(&incomplete(request(3, 13, "/svc/look", &[], b"")));
    client.send(&record(1, 4, &BEGIN_CONTENT));
    let over_uwsgi = [COMPLETED_KEY, NEW_KEY].map(|key| {
        let bytes = CallerRequest::new(14, "/svc/pay", b"berth")
            .with("HTTP_IDEMPOTENCY_KEY", key)
            .bytes(Uwsgi);
        let mut sock = connect(uwsgi_address);
        sock.write_all(&bytes[..bytes.len() - 1]).unwrap();
        PendingAnswer {
            sock,
            protocol: Uwsgi,
        }
    });
    fixture.signal("-TERM");
    let replies: BTreeMap<u16, u16> = (0..4).map(|_| client.reply()).map(status_by_id).collect();
    let expected = [(1, 400), (2, OVERLOADED), (3, OVERLOADED), (4, 400)];
    assert_eq!(replies, BTreeMap::from(expected));
    let [repeat, new] = over_uwsgi.map(PendingAnswer::outcome);
    assert!(
        matches!(repeat, CallerOutcome::Unreadable(400, _)),
        "{repeat:?}"
    );
    assert!(matches!(new, CallerOutcome::Rejected { .. }), "{new:?}");
}

/// Guards against failing a request of which too little arrived to know its key, where nothing with a key has run: another
/// node can run it.
#[test]
fn an_incomplete_request_is_refused_where_nothing_with_a_key_has_run() {
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    setup.config["stop_ms"] = json!(300);
    let (fixture, _engine) = setup.start_with_engine();
    let mut client = fixture.client();
    client.send(&record(1, 4, &BEGIN_CONTENT));
    fixture.signal("-TERM");
    assert_eq!(status_by_id(client.reply()), (4, OVERLOADED));
}

/// Guards against giving up a run with a key as its caller leaves: the repeats would be failed for the whole window,
/// though the request ran.
#[test]
fn a_repeat_gets_the_result_of_a_run_whose_caller_left() {
    let (fixture, mut engine, _) = start_with_completed_request(|_| {});
    for (attempt_number, key) in [(2, RUNNING_KEY), (3, NEW_KEY)] {
        let mut caller = fixture.client();
        caller.send(&pay(1, attempt_number, key));
        let (call, _) = engine.next_run();
        if key == RUNNING_KEY {
            caller.send(&record(2, 1, b""));
        } else {
            // With an answer unread, the close of the socket resets the connection.
            caller.send(&request(2, 50, "/status/live", &[], b""));
            assert!(caller.has_reply());
            drop(caller);
        }
        // The answer on another connection shows that the node has read the end of the first one.
        let mut other = fixture.client();
        other.send(&request(1, 100 + attempt_number, "/status/live", &[], b""));
        assert_eq!(other.reply().status, 200);
        assert_eq!(
            engine.next_command_within_stats(2),
            None,
            "the run is cancelled"
        );
        engine.finish_run(&call, "OK", RESULT);
        other.send(&pay(2, 10 + attempt_number, key));
        let repeat = other.reply();
        assert_eq!((repeat.status, &repeat.body[..]), (200, RESULT));
    }
}
