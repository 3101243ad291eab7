//! A server that was down returns cold while every node of a fleet has work for it: what reaches it in the
//! first seconds, counted by the server itself.

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
/// Runs that the server is to get in the first `OVER_MS` after its return, from all nodes together.
pub const RUNS: u32 = 144;
pub const OVER_MS: u64 = 6_000;
/// Tokens a second of the fleet's budget: `2 * RUNS / OVER_MS`.
pub const TOKENS: u32 = 48;
/// What a run takes in the server.
const WORK: Duration = Duration::from_millis(5);
/// Between the answer to a caller and its next request.
const REST: Duration = Duration::from_millis(20);
/// How long the server is away.
pub const AWAY: Duration = Duration::from_secs(2);
/// No answer takes longer, however slow the machine; deadlines are at 30 s.
const AT_ONCE: Duration = Duration::from_secs(15);
/// Bound on every wait.
const LONGEST: Duration = Duration::from_secs(60);

/// What is put down to chance beyond a budget of `runs`: two standard deviations and two calls.
pub fn most(runs: u32) -> usize {
    (f64::from(runs) + 2.0 * f64::from(runs).sqrt() + 2.0).floor() as usize
}

/// What one caller has seen so far; it asks one node, one request after the other.
#[derive(Default)]
pub struct Tally {
    pub completed: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
    unanswered: AtomicU64,
    slowest_ms: AtomicU64,
}

pub struct Callers {
    over: Arc<AtomicBool>,
    tallies: Vec<Arc<Tally>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    pub fn start(fronts: &[SocketAddr]) -> Callers {
        let over: Arc<AtomicBool> = Arc::default();
        let tallies: Vec<Arc<Tally>> = fronts.iter().map(|_| Arc::default()).collect();
        let callers = fronts.iter().zip(&tallies).enumerate();
        let threads = callers.map(|(place, (front, tally))| {
            let (front, tally, over) = (*front, tally.clone(), over.clone());
            std::thread::spawn(move || call(place as u64, front, &tally, &over))
        });
        let threads = threads.collect();
        Callers {
            over,
            tallies,
            threads,
        }
    }

    /// Waits until every caller's tally is as wanted.
    pub fn wait_for(&self, what: &str, wanted: impl Fn(&Tally) -> bool) {
        let until = Instant::now() + LONGEST;
        while let Some(place) = self.tallies.iter().position(|tally| !wanted(tally)) {
            assert!(
                Instant::now() < until,
                "n{place}: {what}, {}",
                self.tallies[place].in_words()
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

    fn sum(&self, of: impl Fn(&Tally) -> &AtomicU64) -> u64 {
        self.tallies
            .iter()
            .map(|tally| of(tally).load(Ordering::Relaxed))
            .sum()
    }

    pub fn finish(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        std::mem::take(&mut self.threads)
            .into_iter()
            .for_each(|caller| caller.join().unwrap());
    }
}

impl Tally {
    fn in_words(&self) -> String {
        let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
        format!(
            "{} completed, {} rejected, {} failed, {} unanswered",
            of(&self.completed),
            of(&self.rejected),
            of(&self.failed),
            of(&self.unanswered)
        )
    }
}

fn call(place: u64, front: SocketAddr, tally: &Tally, over: &AtomicBool) {
    let mut nth = (place + 1) << 32;
    while !over.load(Ordering::Relaxed) {
        nth += 1;
        let asked = Instant::now();
        let sent =
            CallerRequest::new(nth, "/svc/look", b"berth").try_send(front, Protocol::FastCgi);
        let count = match sent.ok().map(|pending| pending.outcome()) {
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
            .fetch_max(asked.elapsed().as_millis() as u64, Ordering::Relaxed);
        std::thread::sleep(REST);
    }
}

pub fn server(at: SocketAddr) -> Server {
    Server::start_at(at, Protocol::FastCgi, |_| Behavior::Answer {
        status: "200 OK",
        body: b"done".to_vec(),
        after: WORK,
    })
}

/// One server that the nodes know from their start, with these further keys.
pub fn installation(at: SocketAddr, more: Value) -> Value {
    let mut servers = json!({"protocol": "fastcgi", "addresses": [at.to_string()], "at_once": 8,
        "aside": {"first_ms": 200}});
    for (key, value) in more.as_object().into_iter().flatten() {
        servers[key] = value.clone();
    }
    json!({"servers": servers})
}

pub fn ramp(runs: u32) -> Value {
    json!({"ramp": {"over_ms": OVER_MS, "runs": runs}})
}

/// What reached the server after its return.
#[derive(Debug)]
struct Returned {
    /// Runs in `OVER_MS` from the moment at which it began to listen: no node's ramp is over by then.
    since_listening: usize,
    /// The same from the first run that it read; part of that lies after the ramp of who came first.
    since_first: usize,
}

/// Has the server of these nodes go and come back under load, and counts what reaches it.
fn come_back(rig: &mut Rig, nodes: usize, first: Server) -> Returned {
    let fronts: Vec<SocketAddr> = (0..nodes).map(|of| rig.listener_address(of)).collect();
    fronts
        .iter()
        .for_each(|front| drop(doortrack_fakes::fixture::connect(*front)));
    let mut callers = Callers::start(&fronts);
    callers.wait_for("served before", |tally| {
        tally.completed.load(Ordering::Relaxed) >= 3
    });
    let at = first.kill();
    std::thread::sleep(AWAY);
    let before = callers.completed();
    let listening = unix_ms();
    let second = server(at);
    std::thread::sleep(Duration::from_millis(OVER_MS + 1_500));
    for (place, tally) in callers.tallies.iter().enumerate() {
        let (before, until) = (before[place], Instant::now() + LONGEST);
        while tally.completed.load(Ordering::Relaxed) <= before {
            assert!(
                Instant::now() < until,
                "n{place} is starved: {}",
                tally.in_words()
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    callers.finish();
    let got: Vec<u64> = second
        .received()
        .iter()
        .map(|got| got.received_at_ms)
        .collect();
    let within = |from: u64| {
        got.iter()
            .filter(|at| (from..from + OVER_MS).contains(at))
            .count()
    };
    let began = got.iter().copied().min().unwrap_or(listening);
    let returned = Returned {
        since_listening: within(listening),
        since_first: within(began),
    };
    println!(
        "{nodes} nodes: {} runs in {OVER_MS} ms from listening on, {} from the first on; {} completed, {} \
         rejected, {} failed; the slowest answer took {} ms",
        returned.since_listening,
        returned.since_first,
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
        "all that was read is answered"
    );
    let slow =
        |tally: &Arc<Tally>| tally.slowest_ms.load(Ordering::Relaxed) > AT_ONCE.as_millis() as u64;
    assert!(
        !callers.tallies.iter().any(slow),
        "an answer waited for its deadline"
    );
    returned
}

/// Starts so many nodes before a server that is up.
pub fn started(nodes: usize, more: impl Fn(SocketAddr) -> Value) -> (Rig, Server) {
    let server = server("127.0.0.1:0".parse().unwrap());
    let own = more(server.address);
    let mut rig = Rig::new(program(), nodes, 3).unwrap();
    rig.start_clock();
    (0..nodes).for_each(|of| rig.start(of, of, &own).unwrap());
    (rig, server)
}

#[test]
fn without_a_ramp_a_server_that_returns_is_offered_full_load_by_all_nodes_at_once() {
    let (mut rig, server) = started(NODES, |at| installation(at, json!({})));
    let returned = come_back(&mut rig, NODES, server);
    assert!(returned.since_listening > most(RUNS), "{returned:?}");
}

#[test]
fn one_node_alone_sends_a_server_that_returns_no_more_than_its_ramp() {
    let (mut rig, server) = started(1, |at| installation(at, ramp(RUNS)));
    let returned = come_back(&mut rig, 1, server);
    assert!(
        returned.since_listening <= most(RUNS) && returned.since_listening > 30,
        "{returned:?}"
    );
}

#[test]
fn all_nodes_together_send_a_server_that_returns_no_more_than_one_ramp() {
    let (mut rig, server) = started(NODES, |at| {
        let mut whole = installation(at, ramp(RUNS));
        whole["fleet"] = json!({"voters": ["n0", "n1", "n2"]});
        whole["budgets"] = json!([{"name": "returns", "kind": "rate", "limit": TOKENS, "burst": NODES,
            "for": {"ramp": "servers"}}]);
        whole
    });
    (0..NODES).for_each(|of| wait_for_allocation(&rig, of));
    let returned = come_back(&mut rig, NODES, server);
    assert!(returned.since_listening <= most(RUNS), "{returned:?}");
    assert!(
        returned.since_listening >= NODES,
        "each sends its probe: {returned:?}"
    );
}

/// Waits until a node has an allocation of the one budget.
pub fn wait_for_allocation(rig: &Rig, of: usize) {
    let until = Instant::now() + LONGEST;
    loop {
        let standing = query_budgets(rig.fleet_address(of), Some([0x5a; 32]))
            .unwrap()
            .budgets;
        if standing
            .first()
            .is_some_and(|budget| budget.until_ms.is_some())
        {
            return;
        }
        assert!(
            Instant::now() < until,
            "n{of} has no allocation: {standing:?}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Sends one request, under an idempotency key if there is one.
fn seen(rig: &Rig, nth: u64, key: Option<&str>) -> CallerOutcome {
    let ask = CallerRequest::new(
        nth,
        if key.is_some() {
            "/svc/pay"
        } else {
            "/svc/look"
        },
        b"berth",
    );
    let ask = key.map_or(ask.clone(), |key| ask.with("HTTP_IDEMPOTENCY_KEY", key));
    ask.send(rig.listener_address(0), Protocol::FastCgi)
        .outcome()
}

#[test]
fn while_the_server_is_down_a_repeat_is_answered_and_all_else_is_told_when_to_come_back() {
    let (rig, server) = started(1, |at| installation(at, ramp(RUNS)));
    drop(doortrack_fakes::fixture::connect(rig.listener_address(0)));
    let (key, other) = (
        "00112233445566778899aabbccddeeff",
        "ffeeddccbbaa99887766554433221100",
    );
    assert_eq!(
        seen(&rig, 1, Some(key)),
        CallerOutcome::Completed(b"done".to_vec())
    );
    server.kill();
    let (mut waits, mut failed) = (Vec::new(), 0);
    for nth in (2..).step_by(3).take(40) {
        assert_eq!(
            seen(&rig, nth, Some(key)),
            CallerOutcome::Completed(b"done".to_vec())
        );
        for seen in [seen(&rig, nth + 1, Some(other)), seen(&rig, nth + 2, None)] {
            match seen {
                CallerOutcome::Rejected {
                    retry_after,
                    no_retry_elsewhere: false,
                } => waits.push(retry_after),
                // A probe: its connection was refused.
                CallerOutcome::Failed => failed += 1,
                seen => panic!("{seen:?}"),
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(
        waits.iter().all(|wait| wait.is_some_and(|ms| ms > 0)),
        "{waits:?}"
    );
    assert!(
        waits.len() > 20 && failed > 0,
        "{} rejected, {failed} failed",
        waits.len()
    );
}

/// An address that a SIGHUP brings is cold; one that the node knew from its start is not.
#[test]
fn a_server_that_is_added_under_way_ramps_up_beside_one_that_takes_the_rest() {
    let (mut rig, first) = started(1, |at| installation(at, ramp(RUNS)));
    drop(doortrack_fakes::fixture::connect(rig.listener_address(0)));
    let fronts = vec![rig.listener_address(0); 4];
    let mut callers = Callers::start(&fronts);
    callers.wait_for("served before", |tally| {
        tally.completed.load(Ordering::Relaxed) >= 10
    });
    let second = server("127.0.0.1:0".parse().unwrap());
    let added = unix_ms();
    let mut own = installation(first.address, ramp(RUNS));
    own["servers"]["addresses"] = json!([first.address.to_string(), second.address.to_string()]);
    rig.reload(0, &own).unwrap();
    std::thread::sleep(Duration::from_millis(OVER_MS));
    callers.finish();
    let got = second
        .received()
        .iter()
        .filter(|got| got.received_at_ms < added + OVER_MS)
        .count();
    assert!((5..=RUNS as usize).contains(&got), "{got} on the new one");
    assert!(
        first.received().len() > got,
        "{} on the first",
        first.received().len()
    );
    let bad = callers.sum(|tally| &tally.rejected) + callers.sum(|tally| &tally.failed);
    assert_eq!(
        bad + callers.sum(|tally| &tally.unanswered),
        0,
        "{}",
        callers.tallies[0].in_words()
    );
}
