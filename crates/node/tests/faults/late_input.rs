//! Requests that arrive, and answers that are given, while a stopping node closes its listeners.

use std::time::{Duration, Instant};

use doortrack_fakes::fixture::{NodeFixture, NodeSetup, connect};
use doortrack_fakes::holding_proxy::{HoldTimes, HoldingProxy};
use doortrack_fakes::records::{Client, request};
use serde_json::json;

const STOP_MS: u64 = 600;
/// Time before the stop at which the node closes its listeners, in ms.
const LISTENERS_CLOSED_MS: u64 = 100;
/// A request that crosses the end of its connection within this time is sent again by its caller, in ms.
const MAX_CROSSING_MS: u64 = 50;
/// Callers per drain; each sends one request in the last moments.
const CALLERS: u64 = 24;
/// Drains of which one must have been timely: a busy machine may send the requests too late.
const DRAINS: usize = 4;
/// Requests that must have been sent in time, of all callers of a timely drain.
const MIN_TIMELY: usize = 12;

/// Opens connections that have carried a request.
fn open_used(fixture: &NodeFixture) -> Vec<Client> {
    let clients = (0..CALLERS).map(|nth| {
        let mut client = fixture.client();
        client.send(&request(1, nth, "/status/live", &[], b""));
        assert_eq!(client.reply().status, 200);
        client
    });
    clients.collect()
}

/// Sends one request on each connection in the time from the close of the listeners to the longest crossing before
/// the stop. Returns whether each that was sent in that time was answered.
fn answers_of_late_requests() -> Vec<bool> {
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    setup.config["stop_ms"] = json!(STOP_MS);
    setup.config["settings"]["safety"]["drain_grace"] = json!(0);
    let (fixture, _engine) = setup.start_with_engine();
    let mut clients = open_used(&fixture);
    let signaled = Instant::now();
    fixture.signal("-TERM");
    let window_ms = LISTENERS_CLOSED_MS - MAX_CROSSING_MS;
    let last_send = signaled + Duration::from_millis(STOP_MS - MAX_CROSSING_MS);
    let mut answers = Vec::new();
    for (client, nth) in clients.iter_mut().zip(0..) {
        let at_ms = STOP_MS - LISTENERS_CLOSED_MS + nth * window_ms / CALLERS;
        let at = signaled + Duration::from_millis(at_ms);
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        client.send(&request(2, 1_000 + nth, "/svc/look", &[], b"late"));
        if Instant::now() < last_send {
            answers.push(client.has_reply());
        }
    }
    let (code, log) = fixture.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    answers
}

#[test]
fn requests_on_open_connections_are_answered_after_the_listeners_close() {
    for _ in 0..DRAINS {
        let answers = answers_of_late_requests();
        let lost = answers.iter().filter(|answered| !**answered).count();
        assert_eq!(lost, 0, "requests lost, of {}", answers.len());
        if answers.len() >= MIN_TIMELY {
            return;
        }
    }
    panic!("no drain in which {MIN_TIMELY} requests were sent in time");
}

/// Guards against answers that are given at the last moment and overtaken by the end of their connection, at a proxy that
/// drops what it holds then.
#[test]
fn answers_given_at_the_stop_reach_callers_before_their_connections_end() {
    const HOLD: Duration = Duration::from_millis(20);
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    setup.config["stop_ms"] = json!(STOP_MS);
    let (fixture, mut engine) = setup.start_with_engine();
    let hold = HoldTimes {
        of_answers: HOLD,
        ..HoldTimes::default()
    };
    let proxy = HoldingProxy::start(fixture.address, hold, 1);
    let sock = connect(proxy.address);
    let mut client = Client { sock };
    client.send_look(1, 1);
    engine.next_run();
    fixture.signal("-TERM");
    assert!(client.has_reply(), "the run began and was not answered");
    assert_eq!(client.reply().status, 500);
}
