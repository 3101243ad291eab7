//! Steps of the machine's wall clock. Deadlines, windows and the time to the stop are spans of real time.

use std::time::{Duration, Instant};

use doortrack_fakes::engine::Engine;
use doortrack_fakes::fault_shim::FaultShim;
use doortrack_fakes::fixture::{NodeFixture, NodeSetup};
use doortrack_fakes::records::{Client, IDEMPOTENCY_KEY, request};
use doortrack_fakes::unix_ms;
use serde_json::json;

const HOUR_MS: i64 = 3_600_000;
/// Steps in ms: larger and smaller than the deadline, forward and back.
const STEPS_MS: [i64; 4] = [-HOUR_MS, HOUR_MS, -400, 4_000];
const DEADLINE_MS: u64 = 1_000;
const STOP_MS: u64 = 1_500;
/// What a busy machine may add to a span of time.
const BUSY_MACHINE_ALLOWANCE_MS: u64 = 1_500;

/// A node whose wall clock can be stepped, with one connection to it.
struct SteppedNode {
    fixture: NodeFixture,
    engine: Engine,
    client: Client,
    shim: FaultShim,
    step_ms: i64,
    requests: u64,
}

impl SteppedNode {
    fn start(name: &str) -> SteppedNode {
        let shim = FaultShim::new(name, &[], 0);
        let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
        setup.config["stop_ms"] = json!(STOP_MS);
        for group in setup.config["settings"]["lanes"].as_array_mut().unwrap() {
            group["deadline"] = json!(DEADLINE_MS * 1_000);
            group["target"] = json!(DEADLINE_MS * 500);
        }
        setup.environment = shim.environment();
        let (fixture, engine) = setup.start_with_engine();
        let client = fixture.client();
        SteppedNode {
            fixture,
            engine,
            client,
            shim,
            step_ms: 0,
            requests: 0,
        }
    }

    fn step(&mut self, step_ms: i64) {
        self.step_ms += step_ms;
        self.shim.step_wall_clock(self.step_ms);
    }

    /// Sends a request that is stamped by the stepped clock, which all processes of the machine share.
    fn send(&mut self, script: &str, keyed: bool) {
        self.requests += 1;
        let stamp = unix_ms().saturating_add_signed(self.step_ms).to_string();
        let mut fields = vec![("HTTP_X_REQUEST_START", &*stamp)];
        fields.extend(keyed.then_some(IDEMPOTENCY_KEY));
        let bytes = request(1, self.requests, script, &fields, b"berth");
        self.client.send(&bytes);
    }

    fn check_completes(&mut self) {
        self.send("/svc/look", false);
        let (call, _) = self.engine.next_run();
        self.engine.finish_run(&call, "OK", b"done");
        assert_eq!(self.client.reply().body, b"done", "step {}", self.step_ms);
    }

    /// Checks that a request whose run does not end fails at its deadline.
    fn check_fails_at_deadline(&mut self, sent: Instant) {
        assert_eq!(self.client.reply().status, 500, "step {}", self.step_ms);
        let waited_ms = sent.elapsed().as_millis() as u64;
        let allowed = DEADLINE_MS / 2..DEADLINE_MS + BUSY_MACHINE_ALLOWANCE_MS;
        let step_ms = self.step_ms;
        assert!(
            allowed.contains(&waited_ms),
            "step {step_ms}: {waited_ms} ms"
        );
    }
}

#[test]
fn requests_complete_after_the_wall_clock_is_stepped() {
    let mut node = SteppedNode::start("complete");
    node.check_completes();
    for step_ms in STEPS_MS {
        node.step(step_ms);
        node.check_completes();
    }
}

#[test]
fn a_deadline_is_kept_while_the_wall_clock_is_stepped() {
    for (step_ms, name) in STEPS_MS.into_iter().zip(["d0", "d1", "d2", "d3"]) {
        let mut node = SteppedNode::start(name);
        let sent = Instant::now();
        node.send("/svc/look", false);
        node.engine.next_run();
        node.step(step_ms);
        node.check_fails_at_deadline(sent);
    }
}

#[test]
fn a_request_stamped_before_a_step_keeps_its_deadline() {
    for (step_ms, name) in STEPS_MS.into_iter().zip(["s0", "s1", "s2", "s3"]) {
        let mut node = SteppedNode::start(name);
        node.check_completes();
        let stamp = unix_ms().to_string();
        node.step(step_ms);
        let sent = Instant::now();
        let fields = [("HTTP_X_REQUEST_START", &*stamp)];
        let bytes = request(1, 100, "/svc/look", &fields, b"berth");
        node.client.send(&bytes);
        node.engine.next_run();
        node.check_fails_at_deadline(sent);
    }
}

#[test]
fn a_repeat_within_its_window_is_not_run_after_a_step() {
    let mut node = SteppedNode::start("window");
    node.send("/svc/pay", true);
    let (call, _) = node.engine.next_run();
    node.engine.finish_run(&call, "OK", b"paid once");
    assert_eq!(node.client.reply().body, b"paid once");
    for step_ms in [-HOUR_MS, HOUR_MS, HOUR_MS] {
        node.step(step_ms);
        node.send("/svc/pay", true);
        assert_eq!(node.client.reply().body, b"paid once", "step {step_ms}");
    }
}

#[test]
fn a_drain_ends_in_time_while_the_wall_clock_is_stepped() {
    for (step_ms, name) in STEPS_MS.into_iter().zip(["t0", "t1", "t2", "t3"]) {
        let mut node = SteppedNode::start(name);
        let (sent, mut other) = (Instant::now(), node.fixture.client());
        node.send("/svc/look", false);
        node.engine.next_run();
        node.fixture.signal("-TERM");
        node.fixture.wait_for_report("draining");
        std::thread::sleep(Duration::from_millis(100));
        node.step(step_ms);
        other.send(&request(1, 50, "/status/live", &[], b""));
        assert!(other.has_reply(), "step {step_ms}: lost right after it");
        node.check_fails_at_deadline(sent);
        let (code, log) = node.fixture.wait_for_exit();
        assert_eq!(code, Some(0), "{log}");
        let took_ms = sent.elapsed().as_millis() as u64;
        let allowed = STOP_MS / 2..STOP_MS + BUSY_MACHINE_ALLOWANCE_MS;
        assert!(allowed.contains(&took_ms), "step {step_ms}: {took_ms} ms");
    }
}
