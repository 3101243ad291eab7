//! Measures an isolated node that reaches neither its registry nor any other node of its fleet.

use std::path::Path;
use std::time::{Duration, Instant};

use doortrack_fakes::fixture::open_registry;
use serde::Serialize;
use serde_json::json;

use super::bench::{Bench, Started};
use super::caller::{Connection, Outcome, Outcomes, Request, paced};
use super::measure::PEAK_RATE;
use super::process::{MeasureError, fresh_addresses};
use super::settings::{Addresses, Size, request_path, tenant};
use super::units::thousandths;

const NAMES: [&str; 3] = ["n1", "n2", "n3"];
/// Requests per second of each budget's limit, and the minimum reserved for the isolated node.
const BUDGET_LIMIT: u32 = 300;
const RESERVED_MINIMUM: u32 = 60;
/// Time limit until the node has an allocation of the budgets.
const ALLOCATION_TIMEOUT: Duration = Duration::from_secs(30);
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Outcomes of the requests of one kind, for each quarter of the isolation.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quarters(pub [Outcomes; 4]);

/// The results of the isolated node.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Alone {
    pub seconds: f64,
    /// Requests without a budget.
    pub without_budget: Quarters,
    /// Requests under a budget with a reserved minimum for this node.
    pub with_floor: Quarters,
    /// Requests under a budget without a reserved minimum: the allocation ends with the lease.
    pub without_floor: Quarters,
    /// Processor time in thousandths of one core.
    pub core_thousandths: f64,
    pub resident_before_kb: u64,
    pub resident_after_kb: u64,
    pub log_bytes: u64,
}

/// The kinds of requests; each is sent for the tenant with the number of the variant. The budget of a tenant
/// has the index one below that number.
#[derive(Clone, Copy)]
enum Kind {
    WithoutBudget,
    WithFloor,
    WithoutFloor,
}

const KINDS: [Kind; 3] = [Kind::WithoutBudget, Kind::WithFloor, Kind::WithoutFloor];

fn budgets() -> serde_json::Value {
    let budget = |name: &str, kind: Kind, floor: u32| {
        json!({"name": name, "kind": "rate", "whole": BUDGET_LIMIT, "burst": BUDGET_LIMIT, "floor": floor,
            "floors_for": [NAMES[0]], "for": {"customer": tenant(kind as usize)}})
    };
    json!([
        budget("floored", Kind::WithFloor, RESERVED_MINIMUM),
        budget("unfloored", Kind::WithoutFloor, 0)
    ])
}

/// Starts a fleet of three, kills two nodes, closes the registry, and sends requests to the third at the peak
/// rate.
///
/// # Errors
/// A process does not start, or the third node gets no allocation before the others are killed.
pub fn measure(
    program: &Path,
    server: std::net::SocketAddr,
    duration: Duration,
) -> Result<Alone, MeasureError> {
    let bench = Bench {
        program,
        registry: open_registry(),
        server,
    };
    let addresses: Vec<Addresses> = NAMES
        .iter()
        .map(|_| fresh_addresses(&bench.registry, server))
        .collect::<Result<_, _>>()?;
    let mut nodes: Vec<Started> = NAMES
        .iter()
        .zip(&addresses)
        .map(|(name, at)| start(&bench, name, *at, addresses[0]))
        .collect::<Result<_, _>>()?;
    for node in &mut nodes {
        node.process.wait_ready()?;
    }
    let alone = nodes.swap_remove(0);
    let mut caller = Connection::open(alone.addresses.front)?;
    wait_for_allocation(&mut caller, &alone)?;
    drop(nodes);
    drop(bench);
    run_load(&alone, &mut caller, duration)
}

fn start(
    bench: &Bench,
    name: &str,
    at: Addresses,
    seed: Addresses,
) -> Result<Started, MeasureError> {
    let size = Size {
        budgets: Some(0),
        ..Size::BASELINE
    };
    bench.start_at(name, &size, at, |installation| {
        installation["fleet"]["seeds"] = json!([seed.fleet.to_string()]);
        installation["fleet"]["voters"] = json!(NAMES);
        installation["budgets"] = budgets();
    })
}

fn ask(caller: &mut Connection, kind: Kind) -> std::io::Result<Outcome> {
    let (path, tenant) = (request_path(&Size::BASELINE, 0), tenant(kind as usize));
    caller.ask(&Request {
        path: &path,
        tenant: &tenant,
        idempotency_key: None,
    })
}

fn wait_for_allocation(caller: &mut Connection, alone: &Started) -> Result<(), MeasureError> {
    let until = Instant::now() + ALLOCATION_TIMEOUT;
    while Instant::now() < until {
        if ask(caller, Kind::WithoutFloor)? == Outcome::Completed {
            return Ok(());
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
    Err(alone
        .process
        .too_late("a share of a budget", ALLOCATION_TIMEOUT))
}

fn run_load(
    alone: &Started,
    caller: &mut Connection,
    duration: Duration,
) -> Result<Alone, MeasureError> {
    let before = alone.process.usage()?;
    let log_before = alone.process.log().bytes;
    let mut counted = [Quarters::default(); 3];
    let total_requests = (PEAK_RATE * duration.as_secs_f64()) as usize;
    paced(PEAK_RATE, duration, |nth, _| {
        let kind = KINDS[nth % KINDS.len()];
        let quarter = nth * 4 / total_requests;
        counted[kind as usize].0[quarter].count(&ask(caller, kind));
    });
    let after = alone.process.usage()?;
    let processor = after.processor.saturating_sub(before.processor);
    let [without_budget, with_floor, without_floor] = counted;
    Ok(Alone {
        seconds: duration.as_secs_f64(),
        without_budget,
        with_floor,
        without_floor,
        core_thousandths: thousandths(processor, duration),
        resident_before_kb: before.resident_kb,
        resident_after_kb: after.resident_kb,
        log_bytes: alone.process.log().bytes - log_before,
    })
}
