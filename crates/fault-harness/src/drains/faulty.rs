//! Shutdown tests under faults: clients behind a proxy that holds back what they write, an engine whose link is reset or
//! application servers, a process that is stalled, and system calls that fail.

use std::path::Path;

use doortrack_fakes::fault_shim::FaultShim;
use doortrack_fakes::fixture::{NodeFixture, NodeSetup, connect};
use doortrack_fakes::holding_proxy::HoldingProxy;
use doortrack_protocols::Protocol;
use rustix::process::Signal;
use serde_json::json;

use super::DrainReport;
use super::backend::Backend;
use super::fault_plan::FaultPlan;
use super::judge::{ConnectionEnd, RequestRecord, judge};
use super::run::{AFTER_KILL, CORES, Clients, GRACE_MS, WARM_UP, report, send_signals, signal};
use super::scenario::Scenario;

/// The deadline of both endpoint groups, in ms.
const DEADLINE_MS: u64 = 400;
/// Groups of clients, each as large as those of one listener without faults.
const CLIENT_GROUPS: usize = 6;
/// Runs one scenario under faults on a real process.
///
/// # Panics
/// The node can't be started.
pub fn run(program: &Path, scenario: &Scenario) -> DrainReport {
    let plan = FaultPlan::seeded(scenario);
    let name = format!("drain-{}", scenario.seed);
    let shim = FaultShim::new(&name, &plan.failing_calls(), scenario.seed);
    let (fixture, backend) =
        Backend::start(setup(program, scenario, &plan, &shim), scenario, &plan);
    drop(connect(fixture.address));
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
    let ran = backend.into_runs(&records);
    let held_back = proxy.map_or(0, |proxy| use_arrivals(&mut records, &proxy));
    let (mut counts, violations) = judge(records, &ran, times);
    counts.held_back = held_back;
    let verdict = (counts, violations);
    report(scenario, plan.describe(), verdict, stalled, (code, &log))
}

fn setup(program: &Path, scenario: &Scenario, plan: &FaultPlan, shim: &FaultShim) -> NodeSetup {
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
    setup
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

/// Takes the time at which each unanswered request was handed to the node for that of its sending, and removes those that
/// never were. Returns the number of those.
fn use_arrivals(records: &mut Vec<RequestRecord>, proxy: &HoldingProxy) -> usize {
    let before = records.len();
    records.retain_mut(|record| {
        if record.end.is_none() || record.end == Some(ConnectionEnd::TimedOut) {
            return true;
        }
        let arrived = proxy.arrived(record.connection, record.opened_unix_ms, record.stream_end);
        record.sent = arrived.unwrap_or(record.sent);
        arrived.is_some() || record.has_answer_bytes
    });
    before - records.len()
}
