//! Callers that send requests at fixed times, each over a new connection.

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

use crate::testbed::Testbed;
use crate::{Changes, Cli};

/// The protocol of the listener and the servers.
pub(crate) const PROTOCOL: Protocol = Protocol::Uwsgi;
const CALLERS: u32 = 4;
/// Upper bound of recorded latencies in microseconds; longer ones are recorded as this.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Latencies and outcomes of requests.
pub(crate) struct Outcomes {
    /// Microseconds from the time at which a request was due to the end of its answer.
    pub(crate) latencies_us: Histogram<u64>,
    /// Number of requests by outcome, as printed.
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

/// Sends requests for the given number of seconds. The configuration changes every second, or not at all.
pub(crate) fn run(testbed: &mut Testbed, cli: &Cli, changes: Changes) -> Outcomes {
    let (listener, should_stop) = (testbed.listener, AtomicBool::new(false));
    thread::scope(|scope| {
        let should_stop = &should_stop;
        let callers: Vec<_> = (0..CALLERS)
            .map(|index| scope.spawn(move || call(listener, index, cli.rate, should_stop)))
            .collect();
        let started_at = Instant::now();
        for second in 1..=cli.seconds {
            sleep_until(started_at + Duration::from_secs(1) * second);
            if changes == Changes::Repeated {
                testbed.change();
            }
        }
        should_stop.store(true, Ordering::Relaxed);
        let mut outcomes = Outcomes::new();
        for caller in callers {
            outcomes.add(caller.join().unwrap());
        }
        outcomes
    })
}

/// Sends the requests of one caller at their scheduled times until `should_stop` is set.
fn call(listener: SocketAddr, caller: u32, rate: u32, should_stop: &AtomicBool) -> Outcomes {
    let mut outcomes = Outcomes::new();
    let started_at = Instant::now();
    for index in 0.. {
        let due = started_at + Duration::from_secs(1) * (index * CALLERS + caller) / rate;
        sleep_until(due);
        if should_stop.load(Ordering::Relaxed) {
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
