//! SIGINT, as Ctrl-C in a terminal sends it: the node drains as at SIGTERM, and whichever comes first counts.

use std::time::{Duration, Instant};

use serde_json::json;

use super::reload_with_shutdown::{ends_well, signals};
use super::sockets::up_with;

const INTERRUPT: &str = "-INT";
const TERMINATE: &str = "-TERM";
const STOP_MS: u64 = 1_200;

/// Requests that run or wait when the signals come are answered, and the process ends at its stop with exit code 0.
fn drains(first: &str, second: Option<&str>) {
    let (fixture, mut engine) = up_with(|config| config["stop_ms"] = json!(STOP_MS));
    let mut client = fixture.client();
    client.send_look(1, 1);
    client.send_look(2, 2);
    let (call, _) = engine.next_run();
    engine.next_run();
    let began = Instant::now();
    match second {
        None => fixture.signal(first),
        Some(second) => signals(&fixture, [first, second]),
    }
    fixture.wait_for_report("draining");
    engine.send_done(1, &call, "OK", b"in time");
    assert_eq!(client.reply().body, b"in time");
    let failed = client.reply();
    assert_eq!(
        (failed.id, failed.status),
        (2, 500),
        "it can't be done by the stop"
    );
    assert!(client.is_closed());
    let log = ends_well(fixture);
    assert_eq!(log.matches(" draining").count(), 1, "{log}");
    assert!(
        began.elapsed() >= Duration::from_millis(STOP_MS / 2),
        "the stop was not waited for"
    );
}

/// Guards against an end at once, which loses all that was read and runs.
#[test]
fn an_interrupt_drains() {
    drains(INTERRUPT, None);
}

/// Guards against a second signal that ends the process within its drain, or names another stop.
#[test]
fn a_second_signal_within_the_drain_changes_nothing_of_it() {
    drains(INTERRUPT, Some(INTERRUPT));
    drains(INTERRUPT, Some(TERMINATE));
    drains(TERMINATE, Some(INTERRUPT));
}
