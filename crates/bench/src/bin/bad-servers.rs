//! `bad-servers`: measures the effect of one faulty server of four, and the retries during an outage of all four,
//! with and without ejection. Requests are sent in an open loop over loopback.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use clap::Parser;
use doortrack_bench::log_line;
use doortrack_fakes::caller::{CallerOutcome, CallerRequest};
use doortrack_fakes::fixture::{NodeFixture, NodeSetup, connect};
use doortrack_fakes::server::{Behavior, Disconnect, Server};
use doortrack_protocols::Protocol;
use serde_json::{Value, json};

const SERVERS: usize = 4;
const LISTENER_PORT: u16 = 9091;
/// Time to wait after the node has started to listen.
const START_TIME: Duration = Duration::from_millis(100);
/// Start and end of the phase with faulty servers, as fractions of the measurement.
const BAD_PHASE: (f64, f64) = (0.25, 0.75);
/// Time within which the node should detect a change, in seconds.
const DETECTION_S: f64 = 0.5;
/// Number of consecutive failures that eject a server, and a number that is never reached.
const EJECTION_FAILURES: u32 = 3;
const NO_EJECTION: u32 = 1000;

#[derive(Parser)]
#[command(version)]
struct Cli {
    /// Executable of the node
    #[arg(long, default_value = "target/release/doortrack")]
    node: PathBuf,
    /// Requests per second
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    /// Duration of each measurement in seconds; one server, or all, are faulty in the second and third
    /// quarter
    #[arg(long, default_value_t = 8.0)]
    seconds: f64,
    /// Time that a healthy server takes for a request, in ms
    #[arg(long, default_value_t = 20)]
    work_ms: u64,
    /// Time within which an answer counts as in time, in ms
    #[arg(long, default_value_t = 150)]
    in_time_ms: u64,
}

/// The behaviour of a server.
#[derive(Clone, Copy, PartialEq)]
#[repr(u8)]
enum Behaviour {
    Healthy,
    Hangs,
    Fails,
    ClosesEarly,
    Slow,
}

const BAD_BEHAVIOURS: [(Behaviour, &str); 4] = [
    (Behaviour::Hangs, "hangs"),
    (Behaviour::Fails, "fails fast"),
    (Behaviour::ClosesEarly, "breaks off"),
    (Behaviour::Slow, "slow tenfold"),
];

impl Behaviour {
    fn act(self, run_time: Duration) -> Behavior {
        match self {
            Behaviour::Healthy => answer("200 OK", b"done", run_time),
            Behaviour::Slow => answer("200 OK", b"done", run_time * 10),
            Behaviour::Hangs => Behavior::Hang,
            Behaviour::Fails => answer("503 No", b"", Duration::ZERO),
            Behaviour::ClosesEarly => Behavior::Cut {
                body: b"done".into(),
                at: 0,
                how: Disconnect::Close,
            },
        }
    }
}

fn answer(status: &'static str, body: &[u8], after: Duration) -> Behavior {
    Behavior::Answer {
        status,
        body: body.to_vec(),
        after,
    }
}

/// The behaviour of a running server, which can be changed.
#[derive(Clone)]
struct BehaviourSwitch(Arc<AtomicU8>);

impl BehaviourSwitch {
    fn new() -> BehaviourSwitch {
        BehaviourSwitch(Arc::new(AtomicU8::new(Behaviour::Healthy as u8)))
    }

    fn set(&self, behaviour: Behaviour) {
        self.0.store(behaviour as u8, Ordering::Relaxed);
    }

    fn get(&self) -> Behaviour {
        let current = self.0.load(Ordering::Relaxed);
        BAD_BEHAVIOURS
            .iter()
            .map(|(behaviour, _)| *behaviour)
            .find(|behaviour| *behaviour as u8 == current)
            .unwrap_or(Behaviour::Healthy)
    }
}

/// One combination of protocol, faulty servers, behaviour and ejection.
struct Case {
    protocol: Protocol,
    bad_servers: usize,
    behaviour: Behaviour,
    ejection: bool,
}

/// One request: the time at which it was due, as a fraction of the measurement, and whether it was completed in
/// time.
#[derive(Clone, Copy)]
struct Sent {
    at: f64,
    in_time: bool,
}

/// Runs a case. Returns its requests and the pool summary from the log of the node.
fn run(cli: &Cli, case: &Case) -> (Vec<Sent>, String) {
    let switches: Vec<BehaviourSwitch> = (0..SERVERS).map(|_| BehaviourSwitch::new()).collect();
    let run_time = Duration::from_millis(cli.work_ms);
    let servers: Vec<Server> = switches
        .iter()
        .map(|switch| {
            let switch = switch.clone();
            Server::start(case.protocol, move |_| switch.get().act(run_time))
        })
        .collect();
    let mut setup = NodeSetup::new(&cli.node);
    let listener = setup.port(LISTENER_PORT);
    setup.config["settings"]["family_info"]["cores"] = json!(64);
    // Enough memory that the entries of idempotency keys do not run out.
    setup.config["settings"]["family_info"]["memory_kb"] = json!(10_000_000);
    setup.config["stop_ms"] = json!(1500);
    setup.installation = Some(installation(case, listener, &servers));
    let node = setup.start();
    drop(connect(listener));
    thread::sleep(START_TIME);
    let sent = send_all(cli, listener, |at| {
        let is_bad = (BAD_PHASE.0..BAD_PHASE.1).contains(&at);
        let behaviour = if is_bad {
            case.behaviour
        } else {
            Behaviour::Healthy
        };
        for switch in &switches[..case.bad_servers] {
            switch.set(behaviour);
        }
    });
    (sent, pool_summary(node))
}

fn installation(case: &Case, listener: SocketAddr, servers: &[Server]) -> Value {
    let addresses: Vec<String> = servers
        .iter()
        .map(|server| server.address.to_string())
        .collect();
    let failures = if case.ejection {
        EJECTION_FAILURES
    } else {
        NO_EJECTION
    };
    json!({
        "fronts": [{"protocol": "uwsgi", "listen": listener.to_string()}],
        "servers": {"protocol": case.protocol.name(), "addresses": addresses, "at_once": 8,
            "answer_within_ms": 500,
            "aside": {"failures": failures, "longest_ms": 4000}}
    })
}

/// Sends requests at a fixed rate, each in a new thread. Calls `on_request` before each of them with the elapsed
/// fraction of the measurement.
fn send_all(cli: &Cli, listener: SocketAddr, on_request: impl Fn(f64)) -> Vec<Sent> {
    let started_at = Instant::now();
    let sent = Arc::new(Mutex::new(Vec::new()));
    let count = (cli.rate * cli.seconds) as u64;
    let objective = Duration::from_millis(cli.in_time_ms);
    let threads: Vec<_> = (0..count)
        .map(|index| {
            let due = Duration::from_secs_f64(index as f64 / cli.rate);
            thread::sleep(due.saturating_sub(started_at.elapsed()));
            let at = index as f64 / count as f64;
            on_request(at);
            let sent = sent.clone();
            thread::spawn(move || {
                let is_completed = send(index, listener);
                // Latency counts from the time at which the request was due, so a late caller adds its delay.
                let in_time = is_completed && started_at.elapsed() <= due + objective;
                sent.lock().unwrap().push(Sent { at, in_time });
            })
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
    sent.lock().unwrap().clone()
}

/// Sends one request; every second one has an idempotency key. Returns true if it was completed.
fn send(index: u64, listener: SocketAddr) -> bool {
    let key = format!("{index:032x}");
    let request = if index.is_multiple_of(2) {
        CallerRequest::new(index, "/svc/look", b"")
    } else {
        CallerRequest::new(index, "/svc/pay", b"").with("HTTP_IDEMPOTENCY_KEY", &key)
    };
    let answer = request.send(listener, Protocol::Uwsgi).outcome();
    matches!(answer, CallerOutcome::Completed(_))
}

/// Shuts the node down and reads the last summary of its server pool from its log.
fn pool_summary(node: NodeFixture) -> String {
    node.signal("-TERM");
    let (_, log) = node.wait_for_exit();
    let line = log
        .lines()
        .rfind(|line| log_line::is_pool_summary(line))
        .unwrap_or_default();
    let figure = |key| log_line::value(line, key);
    // Earlier builds log ejections as `put_aside`.
    let ejected = figure("ejected").or_else(|| figure("put_aside"));
    format!(
        "retries {} of {} begun, put aside {}",
        figure("retries").unwrap_or_default(),
        figure("begun").unwrap_or_default(),
        ejected.unwrap_or_default()
    )
}

/// Percentages of requests in time: in the faulty phase, in the same phase after its detection, and after the
/// recovery.
struct InTime {
    bad: f64,
    detected: f64,
    recovered: f64,
}

impl InTime {
    fn new(cli: &Cli, sent: &[Sent]) -> InTime {
        let detection = DETECTION_S / cli.seconds;
        let (start, end) = BAD_PHASE;
        InTime {
            bad: percent_in_time(sent, start, end),
            detected: percent_in_time(sent, start + detection, end),
            recovered: percent_in_time(sent, end + detection, 1.0),
        }
    }
}

fn percent_in_time(sent: &[Sent], from: f64, until: f64) -> f64 {
    let phase: Vec<&Sent> = sent
        .iter()
        .filter(|request| (from..until).contains(&request.at))
        .collect();
    let in_time = phase.iter().filter(|request| request.in_time).count();
    100.0 * in_time as f64 / phase.len().max(1) as f64
}

fn print_case(cli: &Cli, case: &Case, behaviour: &str) {
    let (sent, summary) = run(cli, case);
    let in_time = InTime::new(cli, &sent);
    let ejection = if case.ejection {
        "put aside"
    } else {
        "all kept"
    };
    println!(
        "{:<7} {} of {SERVERS} {behaviour:<12} {ejection:<9} {:>5.1} {:>5.1} {:>5.1} {summary}",
        case.protocol, case.bad_servers, in_time.bad, in_time.detected, in_time.recovered
    );
}

fn main() {
    let cli = Cli::parse();
    println!("in time, percent: while bad, from 0.5 s after it began, from 0.5 s after it ended");
    for protocol in Protocol::ALL {
        for bad_servers in [1, SERVERS] {
            for (behaviour, name) in BAD_BEHAVIOURS {
                for ejection in [true, false] {
                    let case = Case {
                        protocol,
                        bad_servers,
                        behaviour,
                        ejection,
                    };
                    print_case(&cli, &case, name);
                }
            }
        }
    }
}
