//! Repeats of a completed request that arrive while their connection is being closed.

use std::time::Duration;

use doortrack_fakes::records::{IDEMPOTENCY_KEY, request};
use serde_json::json;

use super::reload_with_shutdown::wait_for_clean_exit;
use super::sockets::up_with;

const STOP_MS: u64 = 600;
/// Delay after the shutdown signal; the listeners are closed 100 ms before the stop time.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(STOP_MS - 100 + 15);
/// Number of drains of which one must succeed: on a busy machine the test may send the rest too late.
const DRAIN_COUNT: usize = 4;

/// Sends half of a repeat before the listeners are closed and the rest right after. Returns the status of the reply.
fn late_repeat_status() -> u16 {
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
    std::thread::sleep(LISTENER_CLOSE_DELAY);
    second.send(rest);
    let reply = second.reply();
    assert!(reply.status != 200 || reply.body == b"paid");
    wait_for_clean_exit(fixture);
    reply.status
}

/// Guards against telling the caller of a repeat that its request never ran: the caller would run it elsewhere.
#[test]
fn a_repeat_completed_after_the_listeners_close_gets_the_result() {
    let statuses: Vec<u16> = (0..DRAIN_COUNT).map(|_| late_repeat_status()).collect();
    assert!(statuses.contains(&200), "{statuses:?}");
}
