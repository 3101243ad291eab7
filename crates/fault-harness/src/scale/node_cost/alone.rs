//! What a node does alone, while it hears neither its registry nor any other node of its fleet.

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
/// Requests a second of a budget's whole, and what is set aside for the node that stays.
const WHOLE: u32 = 300;
const FLOOR: u32 = 60;
/// Until the node has a share of both budgets.
const SHARED_WITHIN: Duration = Duration::from_secs(30);
const RETRY_EVERY: Duration = Duration::from_millis(20);

/// Requests of one kind over the time alone, in quarters.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quarters(pub [Outcomes; 4]);

/// What came of a node that was left alone.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Alone {
    pub seconds: f64,
    /// Under no budget.
    pub without_budget: Quarters,
    /// Under a budget with a floor for this node.
    pub with_floor: Quarters,
    /// Under a budget without one: its share ends with the lease.
    pub without_floor: Quarters,
    /// Processor time meanwhile, in thousandths of one core.
    pub core_thousandths: f64,
    pub resident_before_kb: u64,
    pub resident_after_kb: u64,
    pub log_bytes: u64,
}

/// The kinds of requests, by the tenant that asks; a tenant's budget stands at the place before its own.
#[derive(Clone, Copy)]
enum Kind {
    WithoutBudget,
    WithFloor,
    WithoutFloor,
}

const KINDS: [Kind; 3] = [Kind::WithoutBudget, Kind::WithFloor, Kind::WithoutFloor];

fn budgets() -> serde_json::Value {
    let budget = |name: &str, kind: Kind, floor: u32| {
        json!({"name": name, "kind": "rate", "whole": WHOLE, "burst": WHOLE, "floor": floor,
            "floors_for": [NAMES[0]], "for": {"customer": tenant(kind as usize)}})
    };
    json!([
        budget("floored", Kind::WithFloor, FLOOR),
        budget("unfloored", Kind::WithoutFloor, 0)
    ])
}

/// Starts a fleet of three, kills two and closes the registry, and asks the third at the peak's rate.
///
/// # Errors
/// A process does not start, or the third gets no share before the others die.
pub fn measure(
    program: &Path,
    server: std::net::SocketAddr,
    lasts: Duration,
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
    wait_for_shares(&mut caller, &alone)?;
    drop(nodes);
    drop(bench);
    play(&alone, &mut caller, lasts)
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

fn wait_for_shares(caller: &mut Connection, alone: &Started) -> Result<(), MeasureError> {
    let until = Instant::now() + SHARED_WITHIN;
    while Instant::now() < until {
        if ask(caller, Kind::WithoutFloor)? == Outcome::Completed {
            return Ok(());
        }
        std::thread::sleep(RETRY_EVERY);
    }
    Err(alone.process.too_late("a share of a budget", SHARED_WITHIN))
}

fn play(alone: &Started, caller: &mut Connection, lasts: Duration) -> Result<Alone, MeasureError> {
    let before = alone.process.usage()?;
    let log_before = alone.process.log().bytes;
    let mut counted = [Quarters::default(); 3];
    let turns = (PEAK_RATE * lasts.as_secs_f64()) as usize;
    paced(PEAK_RATE, lasts, |nth, _| {
        let kind = KINDS[nth % KINDS.len()];
        let quarter = nth * 4 / turns;
        counted[kind as usize].0[quarter].count(&ask(caller, kind));
    });
    let after = alone.process.usage()?;
    let processor = after.processor.saturating_sub(before.processor);
    let [without_budget, with_floor, without_floor] = counted;
    Ok(Alone {
        seconds: lasts.as_secs_f64(),
        without_budget,
        with_floor,
        without_floor,
        core_thousandths: thousandths(processor, lasts),
        resident_before_kb: before.resident_kb,
        resident_after_kb: after.resident_kb,
        log_bytes: alone.process.log().bytes - log_before,
    })
}
