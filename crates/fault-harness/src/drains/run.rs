//! Runs one shutdown test, from the start of the node to its exit.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use doortrack_fakes::fixture::{NodeFixture, NodeSetup, connect};
use doortrack_fakes::rules::ExecutedRun;
use doortrack_fakes::server::{Behavior, ReceivedRequest, Server};
use doortrack_fakes::unix_ms;
use doortrack_protocols::Protocol;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use super::DrainReport;
use super::client::Client;
use super::judge::{DrainCounts, DrainTimes, RequestRecord, judge};
use super::scenario::{MIN_WORK_MS, Scenario};
use crate::traffic::expected_body;

const FASTCGI_PORT: u16 = 9_091;
const UWSGI_PORT: u16 = 9_092;
const SERVERS: usize = 2;
/// Concurrency of each server, as the installation file says it.
const SERVER_CONCURRENCY: u32 = 64;
/// Time in ms for which a node waits for a server's answer; longer than any run.
const SERVER_TIMEOUT_MS: u64 = 20_000;
/// Number of cores in the node's settings, high enough that the node accepts the load.
pub(super) const CORES: u32 = 64;
/// Time after the notice in which requests may still run, in ms.
pub(super) const GRACE_MS: u64 = 200;
/// Clients of each listener, and their longest pause between two requests, in ms.
const CLIENTS_PER_LISTENER: u64 = 4;
const MAX_PAUSE_MS: u64 = 12;
/// Additional clients that send less often, and their longest pause in ms.
const EXTRA_CLIENTS: u64 = 150;
const EXTRA_CLIENT_MAX_PAUSE_MS: u64 = 600;
/// Duration of the load before the first signal.
pub(super) const WARM_UP: Duration = Duration::from_millis(400);
/// One run in so many takes up to 1.5 times the stop time; the others are bounded by [`MAX_SHORT_WORK_MS`].
const LONG_RUN_EVERY: u64 = 12;
const MAX_SHORT_WORK_MS: u64 = 20;
/// Time for which clients keep sending after the kill.
pub(super) const AFTER_KILL: Duration = Duration::from_millis(30);

/// Runs one scenario on real processes.
///
/// # Panics
/// The node can't be started.
pub fn run(program: &Path, scenario: &Scenario) -> DrainReport {
    let servers = start_servers(scenario);
    let (fixture, listeners) = start_node(program, scenario, &servers);
    let clients = Clients::start(scenario, &listeners, None);
    std::thread::sleep(WARM_UP);
    let times = send_signals(&fixture, scenario);
    std::thread::sleep(AFTER_KILL);
    let (records, stalled) = clients.finish();
    let (code, log) = fixture.wait_for_exit();
    let ran = runs_of(&servers);
    let verdict = judge(records, &ran, times);
    report(scenario, String::new(), verdict, stalled, (code, &log))
}

/// Builds the report of a scenario, and adds what the node's end and log show. `stalled` clients met what they can't read.
pub(super) fn report(
    scenario: &Scenario,
    faults: String,
    (counts, mut violations): (DrainCounts, Vec<String>),
    stalled: usize,
    (code, log): (Option<i32>, &str),
) -> DrainReport {
    if stalled > 0 {
        violations.push(format!(
            "rule 1: {stalled} clients met what they can't read"
        ));
    }
    // There is no code if the node was killed, which is allowed: it stays up while clients don't read its answers.
    if log.contains("panicked") || code.is_some_and(|code| code != 0) {
        violations.push(format!("rule 4: the node ended with {code:?}: {log}"));
    }
    DrainReport {
        seed: scenario.seed,
        signals: scenario.describe_signals(),
        crowd: scenario.has_extra_clients,
        faults,
        counts,
        violations,
    }
}

/// Starts the application servers.
pub(super) fn start_servers(scenario: &Scenario) -> Vec<Server> {
    (0..SERVERS).map(|_| start_server(scenario)).collect()
}

/// All runs that the servers have received.
pub(super) fn runs_of(servers: &[Server]) -> Vec<ExecutedRun> {
    let received = servers.iter().flat_map(Server::received);
    received
        .map(|request| ExecutedRun::from(&request))
        .collect()
}

/// The settings of the pool of these servers.
pub(super) fn server_pool(scenario: &Scenario, servers: &[Server]) -> Value {
    let addresses: Vec<String> = servers
        .iter()
        .map(|server| server.address.to_string())
        .collect();
    json!({"protocol": scenario.server_protocol.name(), "addresses": addresses,
        "at_once": SERVER_CONCURRENCY, "answer_within_ms": SERVER_TIMEOUT_MS})
}

fn start_server(scenario: &Scenario) -> Server {
    let (seed, stop_ms) = (scenario.seed, scenario.stop_ms);
    Server::start(scenario.server_protocol, move |request| {
        let attempt_id = ExecutedRun::from(request).attempt_id;
        Behavior::Answer {
            status: "200 OK",
            body: expected_body(&attempt_id),
            after: work(request, seed, stop_ms),
        }
    })
}

fn work(request: &ReceivedRequest, seed: u64, stop_ms: u64) -> Duration {
    let id = request.variable("HTTP_X_REQUEST_ID").unwrap_or_default();
    work_of(id, seed, stop_ms)
}

/// The run time of a request, drawn from its attempt and the seed.
pub(super) fn work_of(id: &[u8], seed: u64, stop_ms: u64) -> Duration {
    let hash = id.iter().fold(seed, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let mut random = fastrand::Rng::with_seed(hash);
    let max_ms = if random.u64(..LONG_RUN_EVERY) == 0 {
        stop_ms + stop_ms / 2
    } else {
        MAX_SHORT_WORK_MS
    };
    Duration::from_millis(random.u64(MIN_WORK_MS..max_ms))
}

/// Starts the node. Returns its listeners, each with its protocol.
fn start_node(
    program: &Path,
    scenario: &Scenario,
    servers: &[Server],
) -> (NodeFixture, Vec<(SocketAddr, Protocol)>) {
    let mut setup = NodeSetup::new(program);
    setup.ends_with_parent = true;
    setup.config["stop_ms"] = json!(scenario.stop_ms);
    setup.config["settings"]["family_info"]["cores"] = json!(CORES);
    setup.config["settings"]["safety"]["drain_grace"] = json!(GRACE_MS * 1_000);
    let own = [
        (setup.port(FASTCGI_PORT), Protocol::FastCgi),
        (setup.port(UWSGI_PORT), Protocol::Uwsgi),
    ];
    setup.installation = Some(json!({
        "fronts": own.map(|(at, protocol)| json!({"protocol": protocol.name(), "listen": at.to_string()})),
        "servers": server_pool(scenario, servers)
    }));
    let mut listeners = vec![(setup.address, Protocol::FastCgi)];
    listeners.extend(own);
    let fixture = setup.start();
    for (address, _) in &listeners {
        drop(connect(*address));
    }
    (fixture, listeners)
}

/// Clients on threads of their own.
pub(super) struct Clients {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<RequestRecord>>>,
}

impl Clients {
    pub(super) fn start(
        scenario: &Scenario,
        listeners: &[(SocketAddr, Protocol)],
        wall_step_ms: Option<i64>,
    ) -> Clients {
        let is_over: Arc<AtomicBool> = Arc::default();
        let extra = if scenario.has_extra_clients {
            EXTRA_CLIENTS
        } else {
            0
        };
        let busy = CLIENTS_PER_LISTENER * listeners.len() as u64;
        let threads = (0..busy + extra).map(|index| {
            let (address, protocol) = listeners[index as usize % listeners.len()];
            let max_pause_ms = if index < busy {
                MAX_PAUSE_MS
            } else {
                EXTRA_CLIENT_MAX_PAUSE_MS
            };
            let wall_step_ms = wall_step_ms.unwrap_or(0);
            let client = Client::new(
                index,
                scenario.seed,
                address,
                protocol,
                max_pause_ms,
                wall_step_ms,
            );
            let is_over = is_over.clone();
            std::thread::spawn(move || client.run(&is_over))
        });
        let threads = threads.collect();
        Clients { is_over, threads }
    }

    /// Stops the clients. Returns their records, and the number of clients that panicked.
    pub(super) fn finish(self) -> (Vec<RequestRecord>, usize) {
        self.is_over.store(true, Ordering::Relaxed);
        let (mut records, mut stalled) = (Vec::new(), 0);
        for client in self.threads {
            match client.join() {
                Ok(own) => records.extend(own),
                Err(_) => stalled += 1,
            }
        }
        (records, stalled)
    }
}

/// Sends the series of signals, and SIGKILL exactly the stop time after the first signal that shuts the node down.
pub(super) fn send_signals(fixture: &NodeFixture, scenario: &Scenario) -> DrainTimes {
    let began = Instant::now();
    let (shutdown_at, mut shutdown_signaled) = (scenario.shutdown_at_ms(), unix_ms());
    for timed in &scenario.signals {
        sleep_until(began, timed.at_ms);
        if timed.signal != Signal::HUP && timed.at_ms == shutdown_at {
            shutdown_signaled = shutdown_signaled.max(unix_ms());
        }
        signal(fixture, timed.signal);
    }
    let kill_in = (shutdown_signaled + scenario.stop_ms).saturating_sub(unix_ms());
    std::thread::sleep(Duration::from_millis(kill_in));
    signal(fixture, Signal::KILL);
    DrainTimes {
        shutdown_signaled,
        killed: unix_ms(),
        grace_ms: GRACE_MS,
        answers_held_ms: None,
    }
}

fn sleep_until(began: Instant, at_ms: u64) {
    std::thread::sleep(Duration::from_millis(at_ms).saturating_sub(began.elapsed()));
}

pub(super) fn signal(fixture: &NodeFixture, signal: Signal) {
    // The process has not been waited for, so its id is not reused even if it has exited.
    if let Some(pid) = Pid::from_raw(fixture.program.id() as i32) {
        _ = kill_process(pid, signal);
    }
}
