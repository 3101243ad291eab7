//! Shutdown tests under faults: clients behind a proxy that holds back what they write, an engine whose link is reset, a
//! process that is stalled, and system calls that fail.

use std::path::Path;
use std::time::Duration;

use doortrack_fakes::fault_shim::{FailingCall, FaultShim};
use doortrack_fakes::fixture::{NodeFixture, NodeSetup};
use doortrack_fakes::holding_proxy::{HoldTimes, HoldingProxy};
use doortrack_fakes::rules::ExecutedRun;
use doortrack_fakes::unreliable_engine::{EngineBehavior, UnreliableEngine};
use doortrack_protocols::Protocol;
use rustix::io::Errno;
use rustix::process::Signal;
use serde_json::json;

use super::DrainReport;
use super::judge::{ConnectionEnd, RequestRecord, judge};
use super::run::{
    AFTER_KILL, CORES, Clients, GRACE_MS, WARM_UP, report, send_signals, signal, work_of,
};
use super::scenario::Scenario;
use crate::traffic::expected_body;

/// The deadline of both endpoint groups, in ms.
const DEADLINE_MS: u64 = 400;
/// Groups of clients, each as large as those of one listener without faults.
const CLIENT_GROUPS: usize = 6;
/// The longest time for which the proxy holds back what a client writes, in ms. Half of the seeds have no proxy.
const MAX_HOLD_MS: std::ops::Range<u64> = 5..300;
/// The time for which it holds back what the node answers, in ms.
const HOLD_ANSWERS_MS: std::ops::Range<u64> = 0..25;
/// Duration of a stall, in ms. It ends before the connections are closed, as nobody answers for a process that is not
/// run until it is killed.
const STALL_MS: std::ops::Range<u64> = 20..300;
/// Time from the end of a stall to the kill, at the least, in ms.
const STALL_MARGIN_MS: u64 = 150;
/// How many in a thousand calls of each kind fail.
const FAILING_PER_MILLE: u32 = 15;
/// The wall clock of one seed in so many is stepped.
const STEP_EVERY: u64 = 4;
const STEPS_MS: [i64; 4] = [-3_600_000, 3_600_000, -4_000, 4_000];

/// The faults of one test, generated from its seed.
struct FaultPlan {
    cancellation: &'static str,
    hold: Option<HoldTimes>,
    stall: Option<Stall>,
    calls_fail: bool,
    wall_step_ms: Option<i64>,
}

/// A time in which the process is not run, counted from the start of the load.
struct Stall {
    begins: Duration,
    lasts: Duration,
}

impl FaultPlan {
    fn seeded(scenario: &Scenario) -> FaultPlan {
        let mut random = fastrand::Rng::with_seed(scenario.seed ^ 0x00fa_0175);
        let hold = random.bool().then(|| HoldTimes {
            max_of_requests: Duration::from_millis(random.u64(MAX_HOLD_MS)),
            of_answers: Duration::from_millis(random.u64(HOLD_ANSWERS_MS)),
        });
        let killed_ms = WARM_UP.as_millis() as u64 + scenario.shutdown_at_ms() + scenario.stop_ms;
        let lasts_ms = random.u64(STALL_MS);
        let begins_ms = random.u64(..killed_ms - STALL_MARGIN_MS - lasts_ms);
        FaultPlan {
            cancellation: ["silent", "drop", "pause"][random.usize(..3)],
            hold,
            stall: random.bool().then_some(Stall {
                begins: Duration::from_millis(begins_ms),
                lasts: Duration::from_millis(lasts_ms),
            }),
            calls_fail: random.bool(),
            wall_step_ms: (random.u64(..STEP_EVERY) == 0).then(|| STEPS_MS[random.usize(..4)]),
        }
    }

    /// The faults, as in `halt drop, hold 120 ms, stall 40 ms at 310 ms, failing calls, step -4000 ms`.
    fn describe(&self) -> String {
        let mut words = vec![format!("halt {}", self.cancellation)];
        words.extend(self.hold.map(|hold| {
            let (requests, answers) = (hold.max_of_requests, hold.of_answers);
            format!(
                "hold {} ms, answers {} ms",
                requests.as_millis(),
                answers.as_millis()
            )
        }));
        words.extend(self.stall.as_ref().map(|stall| {
            let (lasts, begins) = (stall.lasts.as_millis(), stall.begins.as_millis());
            format!("stall {lasts} ms at {begins} ms")
        }));
        words.extend(self.calls_fail.then(|| "failing calls".to_string()));
        words.extend(self.wall_step_ms.map(|step| format!("step {step} ms")));
        words.join(", ")
    }

    fn failing_calls(&self) -> Vec<FailingCall> {
        const SHORT_TRANSFER: i32 = 0;
        let errors = [
            ("accept4", Errno::NFILE.raw_os_error()),
            ("accept4", Errno::NOBUFS.raw_os_error()),
            ("recv", Errno::INTR.raw_os_error()),
            ("recv", Errno::NOMEM.raw_os_error()),
            ("recv", SHORT_TRANSFER),
            ("send", Errno::INTR.raw_os_error()),
            ("send", Errno::NOBUFS.raw_os_error()),
            ("send", SHORT_TRANSFER),
            ("socket", Errno::NFILE.raw_os_error()),
            ("connect", Errno::ADDRNOTAVAIL.raw_os_error()),
        ];
        let failing = errors.map(|(call, error)| FailingCall {
            call,
            error,
            first: 0,
            per_mille: FAILING_PER_MILLE,
        });
        if self.calls_fail {
            failing.into()
        } else {
            Vec::new()
        }
    }
}

/// Runs one scenario under faults on a real process.
///
/// # Panics
/// The node can't be started.
pub fn run(program: &Path, scenario: &Scenario) -> DrainReport {
    let plan = FaultPlan::seeded(scenario);
    let name = format!("drain-{}", scenario.seed);
    let shim = FaultShim::new(&name, &plan.failing_calls(), scenario.seed);
    let (fixture, engine) = start_node(program, scenario, &plan, &shim);
    let proxy = plan
        .hold
        .map(|hold| HoldingProxy::start(fixture.address, hold, scenario.seed));
    let address = proxy
        .as_ref()
        .map_or(fixture.address, |proxy| proxy.address);
    let listeners = [(address, Protocol::FastCgi); CLIENT_GROUPS];
    let clients = Clients::start(scenario, &listeners, plan.wall_step_ms);
    let mut times = std::thread::scope(|scope| {
        scope.spawn(|| inject(&fixture, &plan, &shim));
        std::thread::sleep(WARM_UP);
        send_signals(&fixture, scenario)
    });
    let answers_held = plan.hold.map(|hold| hold.of_answers.as_millis() as u64);
    times.answers_held_ms = answers_held;
    std::thread::sleep(AFTER_KILL);
    let (mut records, stalled) = clients.finish();
    let (code, log) = fixture.wait_for_exit();
    let mut ran = engine.stop();
    add_keys(&mut ran, &records);
    let held_back = proxy.map_or(0, |proxy| use_arrivals(&mut records, &proxy));
    let (mut counts, violations) = judge(records, &ran, times);
    counts.held_back = held_back;
    let verdict = (counts, violations);
    report(scenario, plan.describe(), verdict, stalled, (code, &log))
}

fn start_node(
    program: &Path,
    scenario: &Scenario,
    plan: &FaultPlan,
    shim: &FaultShim,
) -> (NodeFixture, UnreliableEngine) {
    let mut setup = NodeSetup::new(program);
    setup.ends_with_parent = true;
    setup.environment = shim.environment();
    setup.config["stop_ms"] = json!(scenario.stop_ms);
    let settings = &mut setup.config["settings"];
    settings["family_info"]["cores"] = json!(CORES);
    settings["family_info"]["halt"] = json!(plan.cancellation);
    settings["safety"]["drain_grace"] = json!(GRACE_MS * 1_000);
    for group in settings["lanes"].as_array_mut().into_iter().flatten() {
        group["deadline"] = json!(DEADLINE_MS * 1_000);
        group["target"] = json!(DEADLINE_MS * 500);
    }
    let fixture = setup.start();
    let (seed, stop_ms) = (scenario.seed, scenario.stop_ms);
    let listener = fixture.engine_listener.try_clone();
    let behavior = EngineBehavior {
        seed,
        can_cancel: plan.cancellation != "silent",
        duration: Box::new(move |id| work_of(id.as_bytes(), seed, stop_ms)),
        result: expected_body,
    };
    let engine = UnreliableEngine::start(listener.expect("the engine's listener"), behavior);
    drop(doortrack_fakes::fixture::connect(fixture.address));
    (fixture, engine)
}

/// Steps the wall clock at the start of the load, and stalls the process.
fn inject(fixture: &NodeFixture, plan: &FaultPlan, shim: &FaultShim) {
    shim.step_wall_clock(plan.wall_step_ms.unwrap_or(0));
    if let Some(stall) = &plan.stall {
        std::thread::sleep(stall.begins);
        signal(fixture, Signal::STOP);
        std::thread::sleep(stall.lasts);
        signal(fixture, Signal::CONT);
    }
}

/// Gives each run the idempotency key of its request, as the engine receives none.
fn add_keys(ran: &mut [ExecutedRun], records: &[RequestRecord]) {
    for run in ran {
        let matches =
            |record: &&RequestRecord| doortrack_fakes::attempt_id(record.number) == run.attempt_id;
        run.idempotency_key = records
            .iter()
            .find(matches)
            .and_then(|record| record.idempotency_key.clone());
    }
}

/// Takes the time at which each unanswered request was handed to the node for that of its sending, and removes those that
/// never were. Returns the number of those.
fn use_arrivals(records: &mut Vec<RequestRecord>, proxy: &HoldingProxy) -> usize {
    let before = records.len();
    records.retain_mut(|record| {
        if record.end.is_none() || record.end == Some(ConnectionEnd::TimedOut) {
            return true;
        }
        let arrived = proxy.arrived(record.connection, record.stream_end);
        record.sent = arrived.unwrap_or(record.sent);
        arrived.is_some() || record.has_answer_bytes
    });
    before - records.len()
}
