//! Repeats of a request that ran, which arrive while their connection is being closed.

use std::time::Duration;

use doortrack_fakes::records::{IDEMPOTENCY_KEY, request};
use serde_json::json;

use super::reload_with_shutdown::ends_well;
use super::sockets::up_with;

const STOP_MS: u64 = 600;
/// From the notice on: the listeners are closed 100 ms before the stop.
const CLOSED_AFTER: Duration = Duration::from_millis(STOP_MS - 100 + 15);
/// A machine that is busy may keep the test from sending the rest in time.
const DRAINS: usize = 4;

/// Half of a repeat arrives before the listeners are closed, the rest right after; what it is told.
fn told_to_a_late_repeat() -> u16 {
    let (fixture, mut engine) = up_with(|config| config["stop_ms"] = json!(STOP_MS));
    let (mut first, mut second) = (fixture.client(), fixture.client());
    first.send(&request(1, 1, "/svc/pay", &[IDEMPOTENCY_KEY], b"berth"));
    let (call, _) = engine.next_run();
    engine.finish_run(&call, "OK", b"paid");
    assert_eq!(first.reply().body, b"paid");
    fixture.signal("-TERM");
    let repeat = request(1, 2, "/svc/pay", &[IDEMPOTENCY_KEY], b"berth");
    let (half, rest) = repeat.split_at(repeat.len() - 10);
    second.send(half);
    std::thread::sleep(CLOSED_AFTER);
    second.send(rest);
    let reply = second.reply();
    assert!(reply.status != 200 || reply.body == b"paid");
    ends_well(fixture);
    reply.status
}

/// Guards against a repeat of what ran that is told that it did not: its caller would have it run elsewhere.
#[test]
fn a_repeat_that_is_whole_only_once_the_listeners_are_closed_has_the_result() {
    let told: Vec<u16> = (0..DRAINS).map(|_| told_to_a_late_repeat()).collect();
    assert!(told.contains(&200), "{told:?}");
}
