//! Many nodes on one machine are killed and started again at once, beside callers that keep asking: nine in
//! ten answer a health check with good within 10 s.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use doortrack_fakes::caller::{CallerOutcome, CallerRequest};
use doortrack_fakes::fixture::{NodeFixture, NodeSetup};
use doortrack_fakes::immediate;
use doortrack_protocols::Protocol::FastCgi;
use serde_json::{Value, json};

/// Processes killed and started at once.
const NODES: usize = 30;
/// Of those, how many are to be ready in time: nine in ten.
const READY: usize = 27;
const WITHIN: Duration = Duration::from_secs(10);
/// How long the rest is waited for.
const LATEST: Duration = Duration::from_secs(120);
/// Between two health checks of one node that is not ready yet.
const CHECK_EVERY: Duration = Duration::from_millis(10);
/// Threads that keep asking, each of all nodes in turn.
const CALLERS: usize = 4;

const TENANTS: usize = 20_000;
const RULES: usize = 3_400;

fn tenant(nth: usize) -> String {
    format!("customer-{nth:05}")
}

fn tenants() -> Value {
    (0..TENANTS)
        .map(|nth| json!({"name": tenant(nth), "allowance_per_s": 10}))
        .collect()
}

/// Rules as a large installation has them: starts of the path, headers, segments and bodies.
fn rules() -> Value {
    let rule = |nth: usize| match nth % 4 {
        0 => json!({"when": format!("path.starts_with(\"/yard-{nth}/\")"), "group": "look"}),
        1 => {
            json!({"when": format!("(header(\"x-yard\") ?? \"\") == \"yard-{nth}\" && method == \"POST\""),
            "group": "pay", "idempotency_key": "header(\"x-order\")", "rank": "0.9"})
        }
        2 => {
            let place = format!("(segment(0) ?? \"\") in [\"yard-{nth}\", \"dock-{nth}\"]");
            let when = format!("{place} && body_length < 4096");
            json!({"when": when, "group": "look", "subject": "segment(1)"})
        }
        _ => {
            json!({"when": format!("matches(path, \"^/book/{nth}/berth-[0-9]+$\")"), "group": "look",
            "due": "5s"})
        }
    };
    (0..RULES).map(rule).collect()
}

/// One node with an engine that ends each run at once.
struct Node {
    fixture: NodeFixture,
    has_installation: bool,
}

impl Node {
    fn start(large: bool) -> Node {
        let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
        if large {
            plan.config["settings"]["parties"] = tenants();
            let front = json!({"protocol": "fastcgi", "listen": plan.port(9091).to_string()});
            plan.installation =
                Some(json!({"fronts": [front], "rules": rules(), "otherwise": "look"}));
        }
        let has_installation = plan.installation.is_some();
        let fixture = plan.start();
        immediate::start_engine(fixture.engine_listener.try_clone().unwrap());
        Node {
            fixture,
            has_installation,
        }
    }

    fn kill(&mut self) {
        self.fixture.program.kill().unwrap();
        self.fixture.program.wait().unwrap();
    }

    /// Starts the program again with the files and the address that it had.
    fn start_again(&mut self) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_doortrack"));
        if self.has_installation {
            command
                .arg("serve")
                .arg("--installation")
                .arg(self.fixture.folder.join("installation.json"));
        }
        command
            .env("GW_CONFIG", self.fixture.folder.join("config.json"))
            .stderr(Stdio::null());
        self.fixture.program = command.spawn().unwrap();
    }
}

fn answers_good(at: SocketAddr) -> bool {
    let check = CallerRequest::new(u64::MAX, "/status/live", b"").try_send(at, FastCgi);
    check.is_ok_and(|waits| matches!(waits.outcome(), CallerOutcome::Completed(_)))
}

/// How long after `since` a node answers a health check with good, for each of them.
fn ready_after(nodes: &[Node], since: Instant) -> Vec<Duration> {
    let wait = |node: &Node| {
        let at = node.fixture.address;
        thread::spawn(move || {
            while !answers_good(at) {
                assert!(since.elapsed() < LATEST, "{at} is never ready");
                thread::sleep(CHECK_EVERY);
            }
            since.elapsed()
        })
    };
    let waits: Vec<JoinHandle<Duration>> = nodes.iter().map(wait).collect();
    let mut times: Vec<Duration> = waits.into_iter().map(|wait| wait.join().unwrap()).collect();
    times.sort_unstable();
    times
}

/// Callers that ask all nodes in turn, whether these are there or not, until told to stop.
struct Callers {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    fn keep_asking(nodes: &[Node]) -> Callers {
        let (stop, answered) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(0)),
        );
        let places: Vec<SocketAddr> = nodes.iter().map(|node| node.fixture.address).collect();
        let caller = |nth: usize| {
            let (stop, answered, places) = (stop.clone(), answered.clone(), places.clone());
            thread::spawn(move || {
                let mut tries = (nth as u64) << 32;
                while !stop.load(Ordering::SeqCst) {
                    for at in &places {
                        tries += 1;
                        answered.fetch_add(u64::from(asks(*at, tries)), Ordering::SeqCst);
                    }
                    thread::sleep(Duration::from_millis(1));
                }
            })
        };
        let threads = (0..CALLERS).map(caller).collect();
        Callers {
            stop,
            answered,
            threads,
        }
    }

    fn wait_for_answers(&self, count: u64) {
        let until = Instant::now() + LATEST;
        let before = self.answered.load(Ordering::SeqCst);
        while self.answered.load(Ordering::SeqCst) < before + count {
            assert!(Instant::now() < until, "callers are not answered");
            thread::sleep(CHECK_EVERY);
        }
    }
}

impl Drop for Callers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|thread| _ = thread.join());
    }
}

/// Whether one request was answered within a tenth of a second; nodes that are starting keep it waiting.
fn asks(at: SocketAddr, nth: u64) -> bool {
    let patience = Duration::from_millis(100);
    let Ok(sock) = TcpStream::connect_timeout(&at, patience) else {
        return false;
    };
    let tenant = tenant(nth as usize % TENANTS);
    let ask = CallerRequest::new(nth, "/svc/look", b"work").with("HTTP_X_TENANT", &tenant);
    let sent = (&sock).write_all(&ask.bytes(FastCgi));
    let patient = sock.set_read_timeout(Some(patience));
    sent.and(patient)
        .is_ok_and(|()| matches!(sock.peek(&mut [0]), Ok(1)))
}

fn nine_in_ten_are_ready_in_time(large: bool) {
    let mut nodes: Vec<Node> = (0..NODES).map(|_| Node::start(large)).collect();
    ready_after(&nodes, Instant::now());
    let callers = Callers::keep_asking(&nodes);
    callers.wait_for_answers(NODES as u64);
    nodes.iter_mut().for_each(Node::kill);
    let since = Instant::now();
    nodes.iter_mut().for_each(Node::start_again);
    let times = ready_after(&nodes, since);
    let (half, nine_in_ten, last) = (times[NODES / 2 - 1], times[READY - 1], times[NODES - 1]);
    println!("ready after: p50 {half:?}, p90 {nine_in_ten:?}, max {last:?}");
    // The same callers find them at work again.
    callers.wait_for_answers(NODES as u64);
    assert!(nine_in_ten <= WITHIN, "{times:?}");
}

#[test]
fn nine_in_ten_of_thirty_killed_nodes_are_ready_within_ten_seconds() {
    nine_in_ten_are_ready_in_time(false);
}

#[test]
fn so_are_nodes_with_thousands_of_rules_and_tenants() {
    nine_in_ten_are_ready_in_time(true);
}
