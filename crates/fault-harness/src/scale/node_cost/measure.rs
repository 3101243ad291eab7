//! One size measured on one real process: its start, its cost at rest and under load, and a changed rule.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::bench::{Bench, Started};
use super::caller::{Connection, Outcome, Outcomes, Request, histogram, paced};
use super::process::MeasureError;
use super::reload::{self, Reload};
use super::settings::{Size, request_path, tenant};
use super::units::{milliseconds, thousandths};

/// Requests a second that a node gets at the peak: 85,000 over 770 nodes.
pub const PEAK_RATE: f64 = 110.0;
/// Between a change of what the node holds and the look at its memory.
const SETTLES: Duration = Duration::from_millis(200);
/// Until the node has a share of its budgets, at the longest.
const SHARED_WITHIN: Duration = Duration::from_secs(20);
const RETRY_EVERY: Duration = Duration::from_millis(10);
/// Distance between two tenants that ask one after the other; a prime, so that all have their turn.
const TENANT_STRIDE: usize = 7_919;

/// What was measured at one size.
#[derive(Clone, Debug, Serialize)]
pub struct Measured {
    pub size: Size,
    /// From the start of the process to its first good health check.
    pub ready_ms: f64,
    /// Processor time until then.
    pub start_processor_ms: f64,
    /// Before any caller connects.
    pub resident_at_rest_kb: u64,
    /// All callers are connected, have asked once and now rest.
    pub resident_idle_callers_kb: u64,
    /// At the end of the load.
    pub resident_under_load_kb: u64,
    /// The most at any time, a changed rule included.
    pub peak_resident_kb: u64,
    /// Processor time while nobody is connected, in thousandths of one core.
    pub rest_core_thousandths: f64,
    /// The same under load.
    pub core_thousandths: f64,
    pub through_node: Latency,
    /// The same request by the same caller without the node between.
    pub straight: Latency,
    pub outcomes: Outcomes,
    /// Connections that the node had ended when their turn came.
    pub reconnected: u64,
    pub reload: Reload,
    pub log_bytes: u64,
}

/// Latencies of one way, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Latency {
    pub count: u64,
    pub p50_us: f64,
    pub p99_us: f64,
}

impl From<&Histogram<u64>> for Latency {
    fn from(latencies: &Histogram<u64>) -> Latency {
        let quantile = |part| latencies.value_at_quantile(part) as f64 / 1_000.0;
        Latency {
            count: latencies.len(),
            p50_us: quantile(0.5),
            p99_us: quantile(0.99),
        }
    }
}

impl Measured {
    /// The median with the node less the median without it.
    pub fn added_p50_us(&self) -> f64 {
        self.through_node.p50_us - self.straight.p50_us
    }

    pub fn added_p99_us(&self) -> f64 {
        self.through_node.p99_us - self.straight.p99_us
    }
}

/// How long the parts of one measurement last.
#[derive(Clone, Copy, Debug)]
pub struct Spans {
    /// Nobody is connected.
    pub rest: Duration,
    /// At the peak's rate.
    pub load: Duration,
}

/// Measures one size.
///
/// # Errors
/// The program does not start with these settings, or something does not come in time.
pub fn measure(bench: &Bench, size: &Size, spans: Spans) -> Result<Measured, MeasureError> {
    let mut started = bench.start(size)?;
    let ready = started.process.wait_ready()?;
    let at_ready = started.process.usage()?;
    wait_for_budgets(&started, size)?;
    std::thread::sleep(SETTLES);
    let before_rest = started.process.usage()?;
    std::thread::sleep(spans.rest);
    let at_rest = started.process.usage()?;
    let rest_processor = at_rest.processor.saturating_sub(before_rest.processor);
    let mut callers = Callers::open(started.addresses.front, *size)?;
    std::thread::sleep(SETTLES);
    let idle = started.process.usage()?;
    let load = load(&started, &mut callers, bench.server, spans.load)?;
    let under_load = started.process.usage()?;
    let reload = reload::measure(&started, size)?;
    Ok(Measured {
        size: *size,
        ready_ms: milliseconds(ready),
        start_processor_ms: milliseconds(at_ready.processor),
        resident_at_rest_kb: at_rest.resident_kb,
        resident_idle_callers_kb: idle.resident_kb,
        resident_under_load_kb: under_load.resident_kb,
        peak_resident_kb: started.process.usage()?.peak_resident_kb,
        rest_core_thousandths: thousandths(rest_processor, spans.rest),
        core_thousandths: load.core_thousandths,
        through_node: Latency::from(&load.through_node),
        straight: Latency::from(&load.straight),
        outcomes: callers.outcomes,
        reconnected: callers.reconnected,
        reload,
        log_bytes: started.process.log().bytes,
    })
}

/// A node that has just started gives no vote for a while, so it has no share of any budget.
fn wait_for_budgets(started: &Started, size: &Size) -> Result<(), MeasureError> {
    let Some(1..) = size.budgets else {
        return Ok(());
    };
    let mut connection = Connection::open(started.addresses.front)?;
    let path = request_path(size, 0);
    let request = Request {
        path: &path,
        tenant: "tenant-0",
        idempotency_key: None,
    };
    let until = Instant::now() + SHARED_WITHIN;
    while connection.ask(&request)? != Outcome::Completed {
        if Instant::now() > until {
            return Err(started
                .process
                .too_late("a share of a budget", SHARED_WITHIN));
        }
        std::thread::sleep(RETRY_EVERY);
    }
    Ok(())
}

/// The callers of one node, which ask in turn.
pub struct Callers {
    front: SocketAddr,
    size: Size,
    connections: Vec<Connection>,
    asked: usize,
    pub outcomes: Outcomes,
    pub reconnected: u64,
}

impl Callers {
    /// Connects all; each asks once, as one that says nothing is ended.
    ///
    /// # Errors
    /// The front takes no connection.
    pub fn open(front: SocketAddr, size: Size) -> Result<Callers, MeasureError> {
        let (connections, outcomes) = Default::default();
        let mut callers = Callers {
            front,
            size,
            connections,
            asked: 0,
            outcomes,
            reconnected: 0,
        };
        for _ in 0..size.callers {
            callers.connections.push(Connection::open(front)?);
            callers.ask_on(callers.connections.len() - 1);
        }
        Ok(callers)
    }

    /// Has the next caller ask; one whose connection was ended meanwhile connects anew.
    pub fn ask_next(&mut self) {
        self.ask_on(self.asked % self.connections.len());
    }

    fn ask_on(&mut self, place: usize) {
        let path = request_path(&self.size, self.asked);
        let tenant = tenant(self.asked * TENANT_STRIDE % self.size.tenants);
        self.asked += 1;
        let request = Request {
            path: &path,
            tenant: &tenant,
            idempotency_key: None,
        };
        let mut outcome = self.connections[place].ask(&request);
        if outcome.is_err()
            && let Ok(fresh) = Connection::open(self.front)
        {
            self.reconnected += 1;
            self.connections[place] = fresh;
            outcome = self.connections[place].ask(&request);
        }
        self.outcomes.count(&outcome);
    }
}

struct Load {
    core_thousandths: f64,
    through_node: Histogram<u64>,
    straight: Histogram<u64>,
}

/// Asks in turn through the node and straight at the server, each at the peak's rate.
fn load(
    started: &Started,
    callers: &mut Callers,
    server: SocketAddr,
    lasts: Duration,
) -> Result<Load, MeasureError> {
    let mut direct = Connection::open(server)?;
    let (mut through_node, mut straight) = (histogram(), histogram());
    let before = started.process.usage()?;
    let began = Instant::now();
    let path = request_path(&callers.size, 0);
    let request = Request {
        path: &path,
        tenant: "tenant-0",
        idempotency_key: None,
    };
    let mut failed = Ok(());
    paced(2.0 * PEAK_RATE, lasts, |nth, _| {
        let asked_at = Instant::now();
        if nth % 2 == 0 {
            callers.ask_next();
            through_node.saturating_record(asked_at.elapsed().as_nanos() as u64);
        } else if let Err(e) = direct.ask(&request) {
            failed = Err(e);
        } else {
            straight.saturating_record(asked_at.elapsed().as_nanos() as u64);
        }
    });
    failed?;
    let processor = started
        .process
        .usage()?
        .processor
        .saturating_sub(before.processor);
    Ok(Load {
        core_thousandths: thousandths(processor, began.elapsed()),
        through_node,
        straight,
    })
}
