//! The callers: requests at fixed times, each over a connection of its own.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use doortrack_fakes::caller::{CallerOutcome, PendingAnswer};
use doortrack_fakes::fixture::connect;
use doortrack_protocols::{Protocol, Variable, write_request};
use hdrhistogram::Histogram;

use crate::site::Site;
use crate::{Changes, Cli};

/// The protocol of the listener and the servers.
pub(crate) const PROTOCOL: Protocol = Protocol::Uwsgi;
const CALLERS: u32 = 4;
/// Latencies over a minute count as a minute.
const MAX_LATENCY_US: u64 = 60_000_000;

/// How requests ended.
pub(crate) struct Outcomes {
    /// Microseconds from when a request was due to the end of its answer.
    pub(crate) latencies_us: Histogram<u64>,
    /// Requests by their end, as printed.
    pub(crate) answers: BTreeMap<String, u64>,
}

impl Outcomes {
    fn new() -> Outcomes {
        Outcomes {
            latencies_us: Histogram::new_with_max(MAX_LATENCY_US, 3).unwrap(),
            answers: BTreeMap::new(),
        }
    }

    fn record(&mut self, latency: Duration, answer: &CallerOutcome) {
        self.latencies_us
            .saturating_record(latency.as_micros() as u64);
        let answer = match answer {
            CallerOutcome::Completed(_) => "completed".into(),
            answer => format!("{answer:?}"),
        };
        *self.answers.entry(answer).or_default() += 1;
    }

    fn add(&mut self, other: Outcomes) {
        self.latencies_us.add(other.latencies_us).unwrap();
        for (answer, count) in other.answers {
            *self.answers.entry(answer).or_default() += count;
        }
    }
}

/// Sends requests for some seconds; the configuration changes at each whole one, or not at all.
pub(crate) fn run(site: &mut Site, cli: &Cli, changes: Changes) -> Outcomes {
    let (listener, is_over) = (site.listener, AtomicBool::new(false));
    thread::scope(|scope| {
        let is_over = &is_over;
        let callers: Vec<_> = (0..CALLERS)
            .map(|index| scope.spawn(move || call(listener, index, cli.rate, is_over)))
            .collect();
        let began = Instant::now();
        for second in 1..=cli.seconds {
            sleep_until(began + Duration::from_secs(1) * second);
            if changes == Changes::Repeated {
                site.change();
            }
        }
        is_over.store(true, Ordering::Relaxed);
        let mut outcomes = Outcomes::new();
        for caller in callers {
            outcomes.add(caller.join().unwrap());
        }
        outcomes
    })
}

/// Sends the requests of one caller at their times until `is_over`.
fn call(listener: SocketAddr, caller: u32, rate: u32, is_over: &AtomicBool) -> Outcomes {
    let mut outcomes = Outcomes::new();
    let began = Instant::now();
    for index in 0.. {
        let due = began + Duration::from_secs(1) * (index * CALLERS + caller) / rate;
        sleep_until(due);
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let answer = send(listener, "/elsewhere");
        outcomes.record(due.elapsed(), &answer);
    }
    outcomes
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

/// Sends one request and waits for its answer.
pub(crate) fn send(listener: SocketAddr, path: &str) -> CallerOutcome {
    let variables: [Variable; 3] = [
        (b"REQUEST_METHOD", b"GET"),
        (b"PATH_INFO", path.as_bytes()),
        (b"HTTP_X_TENANT", b"customer-00001"),
    ];
    let mut request = Vec::new();
    write_request(PROTOCOL, &mut request, 1, false, &variables, b"").unwrap();
    let mut sock = connect(listener);
    sock.write_all(&request).unwrap();
    PendingAnswer {
        sock,
        protocol: PROTOCOL,
    }
    .outcome()
}
