//! A server that was down restarts cold while every node of a fleet has requests for it. The server itself counts
//! the runs that reach it during its slow start.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use doortrack_fakes::caller::{CallerOutcome, CallerRequest};
use doortrack_fakes::server::{Behavior, Server};
use doortrack_fakes::unix_ms;
use doortrack_fault_harness::processes::Rig;
use doortrack_node::commands::fleet::query_budgets;
use doortrack_protocols::Protocol;
use serde_json::{Value, json};

use crate::program;

/// Nodes that all send to the one server.
pub const NODES: usize = 24;
/// Runs that all nodes together may send during the slow start.
pub const RAMP_RUNS: u32 = 144;
/// Duration of the slow start, from the restart of the server.
pub const RAMP_DURATION_MS: u64 = 6_000;
/// Runs per second of the fleet's budget: `2 * RAMP_RUNS / RAMP_DURATION_MS`.
pub const BUDGET_RATE: u32 = 48;
/// How long a run takes in the server.
const RUN_DURATION: Duration = Duration::from_millis(5);
/// Pause of a caller between an answer and its next request.
const CALLER_PAUSE: Duration = Duration::from_millis(20);
/// How long the server is down.
pub const DOWNTIME: Duration = Duration::from_secs(2);
/// No answer takes longer than this, however slow the machine; the deadline of a request is 30 s.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(15);
/// Timeout of every wait.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The largest number of runs within a budget of `runs`, with two standard deviations and two runs of tolerance.
pub fn max_runs(runs: u32) -> usize {
    (f64::from(runs) + 2.0 * f64::from(runs).sqrt() + 2.0).floor() as usize
}

/// Outcomes that one caller has got so far. It sends to one node, one request after the other.
#[derive(Default)]
pub struct Tally {
    pub completed: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
    unanswered: AtomicU64,
    slowest_ms: AtomicU64,
}

/// One caller for each listener.
pub struct Callers {
    stopped: Arc<AtomicBool>,
    tallies: Vec<Arc<Tally>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    pub fn start(listeners: &[SocketAddr]) -> Callers {
        let stopped: Arc<AtomicBool> = Arc::default();
        let tallies: Vec<Arc<Tally>> = listeners.iter().map(|_| Arc::default()).collect();
        let callers = listeners.iter().zip(&tallies).enumerate();
        let threads = callers.map(|(index, (listener, tally))| {
            let (listener, tally, stopped) = (*listener, tally.clone(), stopped.clone());
            std::thread::spawn(move || run_caller(index as u64, listener, &tally, &stopped))
        });
        let threads = threads.collect();
        Callers {
            stopped,
            tallies,
            threads,
        }
    }

    /// Waits until the tally of every caller meets the condition; `failure` describes a caller whose tally does not.
    pub fn wait_for(&self, failure: &str, wanted: impl Fn(&Tally) -> bool) {
        let deadline = Instant::now() + MAX_WAIT;
        while let Some(index) = self.tallies.iter().position(|tally| !wanted(tally)) {
            assert!(
                Instant::now() < deadline,
                "n{index}: {failure}, {}",
                self.tallies[index].description()
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn completed(&self) -> Vec<u64> {
        self.tallies
            .iter()
            .map(|tally| tally.completed.load(Ordering::Relaxed))
            .collect()
    }

    fn sum(&self, count: impl Fn(&Tally) -> &AtomicU64) -> u64 {
        self.tallies
            .iter()
            .map(|tally| count(tally).load(Ordering::Relaxed))
            .sum()
    }

    pub fn finish(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        std::mem::take(&mut self.threads)
            .into_iter()
            .for_each(|caller| caller.join().unwrap());
    }
}

impl Tally {
    fn description(&self) -> String {
        let value = |count: &AtomicU64| count.load(Ordering::Relaxed);
        format!(
            "{} completed, {} rejected, {} failed, {} unanswered",
            value(&self.completed),
            value(&self.rejected),
            value(&self.failed),
            value(&self.unanswered)
        )
    }
}

fn run_caller(index: u64, listener: SocketAddr, tally: &Tally, stopped: &AtomicBool) {
    let mut attempt_number = (index + 1) << 32;
    while !stopped.load(Ordering::Relaxed) {
        attempt_number += 1;
        let sent_at = Instant::now();
        let result = CallerRequest::new(attempt_number, "/svc/look", b"body")
            .try_send(listener, Protocol::FastCgi);
        let count = match result.ok().map(|pending| pending.outcome()) {
            Some(CallerOutcome::Completed(_)) => &tally.completed,
            Some(CallerOutcome::Rejected { .. }) => &tally.rejected,
            Some(CallerOutcome::Failed) => &tally.failed,
            Some(CallerOutcome::Unreadable(..) | CallerOutcome::Nothing) | None => {
                &tally.unanswered
            }
        };
        count.fetch_add(1, Ordering::Relaxed);
        tally
            .slowest_ms
            .fetch_max(sent_at.elapsed().as_millis() as u64, Ordering::Relaxed);
        std::thread::sleep(CALLER_PAUSE);
    }
}

pub fn start_server(address: SocketAddr) -> Server {
    Server::start_at(address, Protocol::FastCgi, |_| Behavior::Answer {
        status: "200 OK",
        body: b"done".to_vec(),
        after: RUN_DURATION,
    })
}

/// An installation with one server and these further keys of its pool.
pub fn installation(address: SocketAddr, pool_settings: Value) -> Value {
    let mut servers = json!({"protocol": "fastcgi", "addresses": [address.to_string()], "at_once": 8,
        "aside": {"first_ms": 200}});
    for (key, value) in pool_settings.as_object().into_iter().flatten() {
        servers[key] = value.clone();
    }
    json!({"servers": servers})
}

pub fn ramp_setting(runs: u32) -> Value {
    json!({"ramp": {"over_ms": RAMP_DURATION_MS, "runs": runs}})
}

/// Runs that reached the server after its restart.
#[derive(Debug)]
struct RunCounts {
    /// Runs within `RAMP_DURATION_MS` of the start of listening. No node's slow start has ended by then.
    since_listening: usize,
    /// Runs within `RAMP_DURATION_MS` of the first run. The slow start of the first node ends within that time.
    since_first: usize,
}

/// Kills the server of these nodes under load, starts a new one, and counts the runs that reach it.
fn restart_server(rig: &mut Rig, nodes: usize, first: Server) -> RunCounts {
    let listeners: Vec<SocketAddr> = (0..nodes).map(|node| rig.listener_address(node)).collect();
    listeners
        .iter()
        .for_each(|listener| drop(doortrack_fakes::fixture::connect(*listener)));
    let mut callers = Callers::start(&listeners);
    callers.wait_for("has not completed its first requests", |tally| {
        tally.completed.load(Ordering::Relaxed) >= 3
    });
    let address = first.kill();
    std::thread::sleep(DOWNTIME);
    let completed_before = callers.completed();
    let listening_at = unix_ms();
    let second = start_server(address);
    std::thread::sleep(Duration::from_millis(RAMP_DURATION_MS + 1_500));
    for (index, tally) in callers.tallies.iter().enumerate() {
        let (before, deadline) = (completed_before[index], Instant::now() + MAX_WAIT);
        while tally.completed.load(Ordering::Relaxed) <= before {
            assert!(
                Instant::now() < deadline,
                "n{index} completes no more requests: {}",
                tally.description()
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    callers.finish();
    let received_at: Vec<u64> = second
        .received()
        .iter()
        .map(|request| request.received_at_ms)
        .collect();
    let within = |from: u64| {
        received_at
            .iter()
            .filter(|at| (from..from + RAMP_DURATION_MS).contains(at))
            .count()
    };
    let first_run = received_at.iter().copied().min().unwrap_or(listening_at);
    let counts = RunCounts {
        since_listening: within(listening_at),
        since_first: within(first_run),
    };
    println!(
        "{nodes} nodes: {} runs within {RAMP_DURATION_MS} ms of listening, {} of the first run; {} completed, {} \
         rejected, {} failed; the slowest answer took {} ms",
        counts.since_listening,
        counts.since_first,
        callers.sum(|tally| &tally.completed),
        callers.sum(|tally| &tally.rejected),
        callers.sum(|tally| &tally.failed),
        callers
            .tallies
            .iter()
            .map(|tally| tally.slowest_ms.load(Ordering::Relaxed))
            .max()
            .unwrap_or(0),
    );
    assert_eq!(
        callers.sum(|tally| &tally.unanswered),
        0,
        "some requests were not answered"
    );
    let is_slow = |tally: &Arc<Tally>| {
        tally.slowest_ms.load(Ordering::Relaxed) > MAX_ANSWER_TIME.as_millis() as u64
    };
    assert!(
        !callers.tallies.iter().any(is_slow),
        "an answer came too late"
    );
    counts
}

/// Starts a server and this many nodes in front of it.
pub fn start_nodes(nodes: usize, settings: impl Fn(SocketAddr) -> Value) -> (Rig, Server) {
    let server = start_server("127.0.0.1:0".parse().unwrap());
    let installation = settings(server.address);
    let mut rig = Rig::new(program(), nodes, 3).unwrap();
    rig.start_clock();
    (0..nodes).for_each(|node| rig.start(node, node, &installation).unwrap());
    (rig, server)
}

#[test]
fn without_slow_start_a_restarted_server_gets_full_load_from_all_nodes_at_once() {
    let (mut rig, server) = start_nodes(NODES, |address| installation(address, json!({})));
    let counts = restart_server(&mut rig, NODES, server);
    assert!(counts.since_listening > max_runs(RAMP_RUNS), "{counts:?}");
}

#[test]
fn a_single_node_sends_a_restarted_server_no_more_runs_than_its_slow_start_allows() {
    let (mut rig, server) =
        start_nodes(1, |address| installation(address, ramp_setting(RAMP_RUNS)));
    let counts = restart_server(&mut rig, 1, server);
    assert!(
        counts.since_listening <= max_runs(RAMP_RUNS) && counts.since_listening > 30,
        "{counts:?}"
    );
}

#[test]
fn all_nodes_together_send_a_restarted_server_no_more_runs_than_one_slow_start_allows() {
    let (mut rig, server) = start_nodes(NODES, |address| {
        let mut settings = installation(address, ramp_setting(RAMP_RUNS));
        settings["fleet"] = json!({"voters": ["n0", "n1", "n2"]});
        settings["budgets"] = json!([{"name": "returns", "kind": "rate", "limit": BUDGET_RATE, "burst": NODES,
            "for": {"ramp": "servers"}}]);
        settings
    });
    (0..NODES).for_each(|node| wait_for_allocation(&rig, node));
    let counts = restart_server(&mut rig, NODES, server);
    assert!(counts.since_listening <= max_runs(RAMP_RUNS), "{counts:?}");
    assert!(
        counts.since_listening >= NODES,
        "not every node has sent its probe: {counts:?}"
    );
}

/// Waits until a node has an allocation of its only budget.
pub fn wait_for_allocation(rig: &Rig, node: usize) {
    let deadline = Instant::now() + MAX_WAIT;
    loop {
        let budgets = query_budgets(rig.fleet_address(node), Some([0x5a; 32]))
            .unwrap()
            .budgets;
        if budgets
            .first()
            .is_some_and(|budget| budget.until_ms.is_some())
        {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "n{node} has no allocation: {budgets:?}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Sends one request, under an idempotency key if there is one.
fn send(rig: &Rig, attempt_number: u64, key: Option<&str>) -> CallerOutcome {
    let request = CallerRequest::new(
        attempt_number,
        if key.is_some() {
            "/svc/pay"
        } else {
            "/svc/look"
        },
        b"body",
    );
    let request = key.map_or(request.clone(), |key| {
        request.with("HTTP_IDEMPOTENCY_KEY", key)
    });
    request
        .send(rig.listener_address(0), Protocol::FastCgi)
        .outcome()
}

#[test]
fn while_the_server_is_down_duplicates_are_answered_and_others_get_a_retry_time() {
    let (rig, server) = start_nodes(1, |address| installation(address, ramp_setting(RAMP_RUNS)));
    drop(doortrack_fakes::fixture::connect(rig.listener_address(0)));
    let (key, other_key) = (
        "00112233445566778899aabbccddeeff",
        "ffeeddccbbaa99887766554433221100",
    );
    assert_eq!(
        send(&rig, 1, Some(key)),
        CallerOutcome::Completed(b"done".to_vec())
    );
    server.kill();
    let (mut retry_times, mut failed) = (Vec::new(), 0);
    for attempt_number in (2..).step_by(3).take(40) {
        assert_eq!(
            send(&rig, attempt_number, Some(key)),
            CallerOutcome::Completed(b"done".to_vec())
        );
        for outcome in [
            send(&rig, attempt_number + 1, Some(other_key)),
            send(&rig, attempt_number + 2, None),
        ] {
            match outcome {
                CallerOutcome::Rejected {
                    retry_after,
                    no_retry_elsewhere: false,
                } => retry_times.push(retry_after),
                // A probe failed, as the server refused its connection.
                CallerOutcome::Failed => failed += 1,
                unexpected => panic!("{unexpected:?}"),
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(
        retry_times
            .iter()
            .all(|retry| retry.is_some_and(|ms| ms > 0)),
        "{retry_times:?}"
    );
    assert!(
        retry_times.len() > 20 && failed > 0,
        "{} rejected, {failed} failed",
        retry_times.len()
    );
}

/// A server that a reload adds is cold; one that the node knew from its start is not.
#[test]
fn a_server_added_by_a_reload_goes_through_slow_start_while_another_takes_the_remaining_load() {
    let (mut rig, first) = start_nodes(1, |address| installation(address, ramp_setting(RAMP_RUNS)));
    drop(doortrack_fakes::fixture::connect(rig.listener_address(0)));
    let listeners = vec![rig.listener_address(0); 4];
    let mut callers = Callers::start(&listeners);
    callers.wait_for("has not completed its first requests", |tally| {
        tally.completed.load(Ordering::Relaxed) >= 10
    });
    let second = start_server("127.0.0.1:0".parse().unwrap());
    let added_at = unix_ms();
    let mut reloaded = installation(first.address, ramp_setting(RAMP_RUNS));
    reloaded["servers"]["addresses"] =
        json!([first.address.to_string(), second.address.to_string()]);
    rig.reload(0, &reloaded).unwrap();
    std::thread::sleep(Duration::from_millis(RAMP_DURATION_MS));
    callers.finish();
    let runs = second
        .received()
        .iter()
        .filter(|request| request.received_at_ms < added_at + RAMP_DURATION_MS)
        .count();
    assert!(
        (5..=RAMP_RUNS as usize).contains(&runs),
        "{runs} runs on the new server"
    );
    assert!(
        first.received().len() > runs,
        "{} runs on the first server",
        first.received().len()
    );
    let not_completed = callers.sum(|tally| &tally.rejected) + callers.sum(|tally| &tally.failed);
    assert_eq!(
        not_completed + callers.sum(|tally| &tally.unanswered),
        0,
        "{}",
        callers.tallies[0].description()
    );
}
