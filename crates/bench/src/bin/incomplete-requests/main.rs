//! `incomplete-requests`: measures what clients that hold incomplete requests cost the others: the share of new
//! requests and of repeats that are completed, their latency, and the peak memory of the node.

mod clients;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use clap::Parser;
use doortrack_bench::process;
use doortrack_fakes::caller::{CallerOutcome, CallerRequest};
use doortrack_fakes::fixture::{NodeFixture, NodeSetup};
use doortrack_fakes::immediate;
use doortrack_protocols::Protocol;
use hdrhistogram::Histogram;
use serde_json::json;

use self::clients::{Population, SentPart};

const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 384;
/// Number of callers that send complete requests, one at a time, each on a connection of its own.
const CALLERS: u64 = 8;
/// Time for the node and its engine to come up.
const START_TIME: Duration = Duration::from_millis(500);
/// Time for the clients to open their requests.
const FILL_TIME: Duration = Duration::from_millis(700);
/// Largest latency that the histogram distinguishes, in µs.
const MAX_LATENCY_US: u64 = 60_000_000;

#[derive(Parser)]
#[command(version)]
struct Cli {
    /// Executable of the node
    #[arg(long, default_value = "target/release/doortrack")]
    node: PathBuf,
    /// Requests per second of all callers
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    /// Duration of each measurement in seconds
    #[arg(long, default_value_t = 6.0)]
    seconds: f64,
}

/// A measurement beside one population of clients.
struct Case {
    title: &'static str,
    clients: Population,
}

const CASES: [Case; 7] = [
    Case {
        title: "no such clients",
        clients: Population {
            connections: 0,
            part: SentPart::Begin,
            begins_again: false,
        },
    },
    Case {
        title: "24 clients, all but the last record",
        clients: Population {
            connections: 24,
            part: SentPart::AllButLastRecord,
            begins_again: false,
        },
    },
    Case {
        title: "24 clients, all but the last record, begun again at each answer",
        clients: Population {
            connections: 24,
            part: SentPart::AllButLastRecord,
            begins_again: true,
        },
    },
    Case {
        title: "300 clients, all but the last record, begun again at each answer",
        clients: Population {
            connections: 300,
            part: SentPart::AllButLastRecord,
            begins_again: true,
        },
    },
    Case {
        title: "300 clients, the first record, begun again at each answer",
        clients: Population {
            connections: 300,
            part: SentPart::Begin,
            begins_again: true,
        },
    },
    Case {
        title: "300 clients, 7 kB of variables, begun again at each answer",
        clients: Population {
            connections: 300,
            part: SentPart::LargeVariables,
            begins_again: true,
        },
    },
    Case {
        title: "450 clients, more than the node has descriptors, all but the last record",
        clients: Population {
            connections: 450,
            part: SentPart::AllButLastRecord,
            begins_again: true,
        },
    },
];

/// The outcomes of one kind of requests.
#[derive(Default)]
struct Outcomes {
    completed: u64,
    rejected: u64,
    other: u64,
}

impl Outcomes {
    fn count(&mut self, outcome: Option<CallerOutcome>) {
        match outcome {
            Some(CallerOutcome::Completed(_)) => self.completed += 1,
            Some(CallerOutcome::Rejected { .. }) => self.rejected += 1,
            _ => self.other += 1,
        }
    }

    fn add(&mut self, more: &Outcomes) {
        self.completed += more.completed;
        self.rejected += more.rejected;
        self.other += more.other;
    }

    fn share_completed(&self) -> f64 {
        self.completed as f64 / (self.completed + self.rejected + self.other).max(1) as f64
    }
}

/// What the callers of complete requests saw.
struct Measurement {
    new: Outcomes,
    repeats: Outcomes,
    latency_us: Histogram<u64>,
}

impl Measurement {
    fn new() -> Measurement {
        Measurement {
            new: Outcomes::default(),
            repeats: Outcomes::default(),
            latency_us: Histogram::new_with_max(MAX_LATENCY_US, 3)
                .expect("the bounds of the histogram are valid"),
        }
    }

    fn add(&mut self, more: &Measurement) {
        self.new.add(&more.new);
        self.repeats.add(&more.repeats);
        self.latency_us += &more.latency_us;
    }
}

/// Sends a request on a connection of its own. Returns `None` if the connection is refused or reset.
fn send(node: SocketAddr, attempt: u64, key: Option<u64>) -> Option<CallerOutcome> {
    let key = key.map(|key| format!("{key:032x}"));
    let request = match &key {
        Some(key) => {
            CallerRequest::new(attempt, "/svc/pay", b"berth").with("HTTP_IDEMPOTENCY_KEY", key)
        }
        None => CallerRequest::new(attempt, "/svc/look", b"berth"),
    };
    let pending = request.try_send(node, Protocol::FastCgi).ok()?;
    Some(pending.outcome())
}

/// Sends new requests and repeats of completed ones in turn, at a fixed rate.
fn call(node: SocketAddr, caller: u64, interval: Duration, duration: Duration) -> Measurement {
    let (started_at, mut measurement) = (Instant::now(), Measurement::new());
    let mut due = interval * caller as u32 / CALLERS as u32;
    let mut attempt = (caller + 1) << 32;
    while due < duration {
        thread::sleep(due.saturating_sub(started_at.elapsed()));
        attempt += 1;
        let is_repeat = attempt.is_multiple_of(2);
        let sent_at = Instant::now();
        let outcome = send(node, attempt, is_repeat.then_some(caller));
        let latency = sent_at.elapsed().as_micros() as u64;
        measurement.latency_us.saturating_record(latency);
        match is_repeat {
            true => measurement.repeats.count(outcome),
            false => measurement.new.count(outcome),
        }
        due += interval;
    }
    measurement
}

fn start_node(cli: &Cli) -> NodeFixture {
    let mut setup = NodeSetup::new(&cli.node);
    setup.config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS});
    let fixture = setup.start();
    let engine = fixture
        .engine_listener
        .try_clone()
        .expect("the engine's listener can be cloned");
    immediate::start_engine(engine);
    thread::sleep(START_TIME);
    fixture
}

fn measure(cli: &Cli, case: &Case) {
    let fixture = start_node(cli);
    let (node, program) = (fixture.address, fixture.program.id());
    // The first attempt with each key, of which the callers send repeats.
    for caller in 0..CALLERS {
        let first = send(node, caller + 1, Some(caller));
        assert!(
            matches!(first, Some(CallerOutcome::Completed(_))),
            "{first:?}"
        );
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients = case.clients.start(node, &stop);
    thread::sleep(FILL_TIME);
    let cpu_before = process::cpu_ms(program);
    let duration = Duration::from_secs_f64(cli.seconds);
    let interval = Duration::from_secs_f64(CALLERS as f64 / cli.rate);
    let callers: Vec<JoinHandle<Measurement>> = (0..CALLERS)
        .map(|caller| thread::spawn(move || call(node, caller, interval, duration)))
        .collect();
    let mut total = Measurement::new();
    for caller in callers {
        total.add(&caller.join().expect("a caller panicked"));
    }
    let cpu_ms = process::cpu_ms(program) - cpu_before;
    let memory_kb = process::peak_memory_kb(program);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| _ = client.join());
    println!(
        "{}: new {:.3} completed ({} rejected, {} other), repeats {:.3} ({} rejected, {} other), p50 {} us, \
         p99 {} us, peak memory {} kB, cpu {} ms",
        case.title,
        total.new.share_completed(),
        total.new.rejected,
        total.new.other,
        total.repeats.share_completed(),
        total.repeats.rejected,
        total.repeats.other,
        total.latency_us.value_at_quantile(0.5),
        total.latency_us.value_at_quantile(0.99),
        memory_kb,
        cpu_ms
    );
}

fn main() {
    let cli = Cli::parse();
    println!(
        "{MEMORY_MB} MB, {SOCKETS} sockets, {} requests a second for {} s",
        cli.rate, cli.seconds
    );
    for case in &CASES {
        measure(&cli, case);
    }
}
