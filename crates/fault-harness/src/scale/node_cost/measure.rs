//! Measures one size on a real process: start, idle and loaded resource usage, and a reload with a changed rule.

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

/// Requests per second of one node at the peak: 85,000 over 770 nodes.
pub const PEAK_RATE: f64 = 110.0;
/// Wait between a change of the load and the memory sample.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Time limit until the node has an allocation of its budgets.
const ALLOCATION_TIMEOUT: Duration = Duration::from_secs(20);
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Step between the tenants of consecutive requests; a prime, so that all tenants are used.
const TENANT_STRIDE: usize = 7_919;

/// The results of one size.
#[derive(Clone, Debug, Serialize)]
pub struct Measured {
    pub size: Size,
    /// From the start of the process to its first successful health check.
    pub ready_ms: f64,
    /// Processor time up to the first successful health check.
    pub start_processor_ms: f64,
    /// Before any caller connects.
    pub resident_at_rest_kb: u64,
    /// With all callers connected and idle after one request each.
    pub resident_idle_callers_kb: u64,
    /// At the end of the load.
    pub resident_under_load_kb: u64,
    /// Peak over the whole measurement, including the reload.
    pub peak_resident_kb: u64,
    /// Processor time without connections, in thousandths of one core.
    pub rest_core_thousandths: f64,
    /// Processor time under load, in thousandths of one core.
    pub core_thousandths: f64,
    pub through_node: Latency,
    /// The same requests sent directly to the server.
    pub straight: Latency,
    pub outcomes: Outcomes,
    /// Connections that the node had closed before their next request.
    pub reconnected: u64,
    pub reload: Reload,
    pub log_bytes: u64,
}

/// Latencies of one path, in microseconds.
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
    /// Returns the median through the node minus the median without it.
    pub fn added_p50_us(&self) -> f64 {
        self.through_node.p50_us - self.straight.p50_us
    }

    pub fn added_p99_us(&self) -> f64 {
        self.through_node.p99_us - self.straight.p99_us
    }
}

/// Durations of the parts of one measurement.
#[derive(Clone, Copy, Debug)]
pub struct Spans {
    /// Without connections.
    pub rest: Duration,
    /// At the peak rate.
    pub load: Duration,
}

/// Measures one size.
///
/// # Errors
/// The program does not start with these settings, or a step exceeds its time limit.
pub fn measure(bench: &Bench, size: &Size, spans: Spans) -> Result<Measured, MeasureError> {
    let mut started = bench.start(size)?;
    let ready = started.process.wait_ready()?;
    let at_ready = started.process.usage()?;
    wait_for_allocation(&started, size)?;
    std::thread::sleep(SETTLE_TIME);
    let before_rest = started.process.usage()?;
    std::thread::sleep(spans.rest);
    let at_rest = started.process.usage()?;
    let rest_processor = at_rest.processor.saturating_sub(before_rest.processor);
    let mut callers = Callers::open(started.addresses.front, *size)?;
    std::thread::sleep(SETTLE_TIME);
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

/// Waits until the node has a budget allocation. A node that has just started gives no vote for some time, so
/// at first no leader grants it one.
fn wait_for_allocation(started: &Started, size: &Size) -> Result<(), MeasureError> {
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
    let until = Instant::now() + ALLOCATION_TIMEOUT;
    while connection.ask(&request)? != Outcome::Completed {
        if Instant::now() > until {
            return Err(started
                .process
                .too_late("a share of a budget", ALLOCATION_TIMEOUT));
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
    Ok(())
}

/// The callers of one node, which send requests in rotation.
pub struct Callers {
    front: SocketAddr,
    size: Size,
    connections: Vec<Connection>,
    asked: usize,
    pub outcomes: Outcomes,
    pub reconnected: u64,
}

impl Callers {
    /// Connects all callers. Each sends one request, as the node closes connections that send nothing.
    ///
    /// # Errors
    /// The node accepts no connection.
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

    /// Sends a request on the next caller, which reconnects if its connection has been closed.
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

/// Sends requests alternately through the node and directly to the server, each at the peak rate.
fn load(
    started: &Started,
    callers: &mut Callers,
    server: SocketAddr,
    duration: Duration,
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
    paced(2.0 * PEAK_RATE, duration, |nth, _| {
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
