//! SIGINT, as sent by Ctrl-C in a terminal, drains the node like SIGTERM. The first of several signals counts.

use std::time::{Duration, Instant};

use serde_json::json;

use super::reload_with_shutdown::{send_two_signals, wait_for_clean_exit};
use super::sockets::up_with;

const INTERRUPT: &str = "-INT";
const TERMINATE: &str = "-TERM";
const STOP_MS: u64 = 1_200;

/// Checks that pending requests are answered and the process exits with code 0 when the stop time is reached.
fn check_drain(first: &str, second: Option<&str>) {
    let (fixture, mut engine) = up_with(|config| config["stop_ms"] = json!(STOP_MS));
    let mut client = fixture.client();
    client.send_look(1, 1);
    client.send_look(2, 2);
    let (call, _) = engine.next_run();
    engine.next_run();
    let began = Instant::now();
    match second {
        None => fixture.signal(first),
        Some(second) => send_two_signals(&fixture, [first, second]),
    }
    fixture.wait_for_report("draining");
    engine.send_done(1, &call, "OK", b"in time");
    assert_eq!(client.reply().body, b"in time");
    let failed = client.reply();
    assert_eq!(
        (failed.id, failed.status),
        (2, 500),
        "the run cannot finish before the stop time"
    );
    assert!(client.is_closed());
    let log = wait_for_clean_exit(fixture);
    assert_eq!(log.matches(" draining").count(), 1, "{log}");
    assert!(
        began.elapsed() >= Duration::from_millis(STOP_MS / 2),
        "the process ended before its stop time"
    );
}

/// Guards against an immediate exit, which loses all pending requests.
#[test]
fn an_interrupt_drains() {
    check_drain(INTERRUPT, None);
}

/// Guards against a second signal that ends the process during its drain or changes the stop time.
#[test]
fn a_second_signal_during_the_drain_changes_nothing() {
    check_drain(INTERRUPT, Some(INTERRUPT));
    check_drain(INTERRUPT, Some(TERMINATE));
    check_drain(TERMINATE, Some(INTERRUPT));
}
