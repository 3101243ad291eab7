//! A configuration that is ready in the turn in which requests are read.

use std::io::Write;

use doortrack_fakes::caller::{CallerOutcome, CallerRequest};
use doortrack_fakes::fixture::NodeSetup;
use doortrack_protocols::Protocol;
use serde_json::{Value, json};

use super::request_memory::{connect_clients, write_withdrawn_requests};
use super::rules::run_unless_answered;

/// Clients whose input keeps the node reading until the configuration has been built.
const BUSY_CLIENTS: u64 = 100;
/// Less than the node reads of a connection in the first turn after a suspension.
const BYTES_PER_CLIENT: usize = 100 * 1024;

fn installation(front: &str, key: &str) -> Value {
    json!({"fronts": [{"protocol": "uwsgi", "listen": front}],
        "rules": [{"when": "path == \"/pay\"", "group": "pay", "idempotency_key": key}]})
}

/// Guards against a configuration that changes the meaning of a key while a request with that key has been read and
/// not been recorded: its repeat would run again (case 9 of the second review).
#[test]
fn a_configuration_does_not_change_the_key_of_a_request_that_is_read_in_the_same_turn() {
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    let front = setup.port(9091);
    setup.installation = Some(installation(&front.to_string(), "header(\"x-order\")"));
    let (fixture, mut engine) = setup.start_with_engine();
    let mut clients = connect_clients(&fixture, BUSY_CLIENTS);
    // Accepted before the node is suspended, so that the request is read in the first turn after that.
    let mut caller = doortrack_fakes::fixture::connect(front);
    std::thread::sleep(std::time::Duration::from_millis(100));
    let pay = |attempt_number| {
        CallerRequest::new(attempt_number, "/pay", b"berth").with("HTTP_X_ORDER", "77")
    };
    fixture.signal("-STOP");
    caller.write_all(&pay(1).bytes(Protocol::Uwsgi)).unwrap();
    for (client, nth) in clients.iter_mut().zip(10..) {
        write_withdrawn_requests(client, nth, BYTES_PER_CLIENT);
    }
    fixture.replace_installation(&installation(
        &front.to_string(),
        "(header(\"x-order\") ?? \"\") + path",
    ));
    fixture.signal("-CONT");
    let (call, _) = engine.next_run();
    engine.finish_run(&call, "OK", b"paid");
    let first = doortrack_fakes::caller::PendingAnswer {
        sock: caller,
        protocol: Protocol::Uwsgi,
    };
    assert_eq!(first.outcome(), CallerOutcome::Completed(b"paid".into()));
    let repeat = pay(2).send(front, Protocol::Uwsgi);
    let second_run = run_unless_answered(&repeat, &mut engine);
    assert_eq!(second_run, None, "the request runs again");
    assert_eq!(repeat.outcome(), CallerOutcome::Completed(b"paid".into()));
}
