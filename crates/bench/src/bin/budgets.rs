//! What dividing a budget costs and brings, in simulated time on the package that the node runs: put to use
//! under skewed demand, followed when demand moves, divided anew after a loss, fair, and what it sends.
//!
//! Beside it, on the same demand: fixed shares of 1/N, and a divider that knows all at once.

use std::sync::Arc;

use doortrack_budgets::{Budget, Kind, Parameters};
use doortrack_fault_harness::divided::{self, Options, Outcome};
use doortrack_fault_harness::history::name;
use doortrack_fault_harness::script::{Fault, Script, Timed};
use doortrack_membership::Name;
use doortrack_simulation::Distribution;

const LIMIT: u32 = 6_000;
const VOTERS: usize = 5;
/// Allocations are granted from here on.
const CALM_MS: u64 = 5_000;

type Demand<'a> = &'a dyn Fn(usize, u64) -> f64;

fn names(count: usize) -> Arc<[Name]> {
    (0..count).map(|of| Name::from(name(of))).collect()
}

fn run(
    nodes: usize,
    ms: u64,
    from: u64,
    faults: Vec<(u64, Fault)>,
    demand: Demand,
    reserved: u32,
) -> Outcome {
    let away = away_of(&faults);
    let faults = faults
        .into_iter()
        .map(|(at_ms, fault)| Timed { at_ms, fault })
        .collect();
    let script = Script {
        nodes,
        ms,
        seed: 7,
        faults,
    };
    let kind = Kind::Rate { burst: LIMIT };
    let reserved_for = names(nodes);
    let budget = Budget {
        name: "b".into(),
        kind,
        limit: LIMIT,
        reserved,
        reserved_for,
        max_per_node: LIMIT,
    };
    let options = Options {
        parameters: Parameters {
            voters: names(VOTERS.min(nodes)),
            ..Parameters::default()
        },
        budgets: vec![budget],
        latency: Distribution::LogNormal {
            mean: 300.0,
            sigma: 0.5,
        },
        drift_ppm: (-10_000, 10_000),
        offset_ms: 500,
        demand: &|of, _, ms| if away(of, ms) { 0.0 } else { demand(of, ms) },
        mean_hold_ms: 1,
        count_from_ms: from,
        count_bytes: true,
    };
    let out = divided::run(&script, &options);
    assert!(out.violations.is_empty(), "{:?}", out.violations);
    out
}

/// What could be used from `from` to `till` in all, by who knows all, and by fixed shares. Nobody asks of a
/// node while it is `away`.
fn could(
    nodes: usize,
    from: u64,
    till: u64,
    demand: Demand,
    away: &dyn Fn(usize, u64) -> bool,
) -> (f64, f64) {
    let (limit, fixed) = (f64::from(LIMIT), f64::from(LIMIT) / nodes as f64);
    let (mut knows, mut fixes) = (0.0, 0.0);
    for ms in (from..till).step_by(10) {
        let asked: Vec<f64> = (0..nodes)
            .map(|of| if away(of, ms) { 0.0 } else { demand(of, ms) })
            .collect();
        knows += asked.iter().sum::<f64>().min(limit) / 100.0;
        fixes += asked.iter().map(|of| of.min(fixed)).sum::<f64>() / 100.0;
    }
    (knows, fixes)
}

/// Whether a node is away: it leaves 1 s before it starts anew.
fn away_of(faults: &[(u64, Fault)]) -> impl Fn(usize, u64) -> bool + use<> {
    let starts = faults.iter().filter_map(|(at, fault)| match fault {
        Fault::Start { nodes, .. } => Some((nodes[0], *at)),
        _ => None,
    });
    let starts: Vec<(usize, u64)> = starts.collect();
    move |of, ms| {
        starts
            .iter()
            .any(|(who, at)| *who == of && ms + 1_000 >= *at && ms < *at)
    }
}

fn put_to_use(what: &str, nodes: usize, faults: Vec<(u64, Fault)>, demand: Demand, reserved: u32) {
    let till = 35_000;
    let away = away_of(&faults);
    let out = run(nodes, till, CALM_MS, faults, demand, reserved);
    let (knows, fixes) = could(nodes, CALM_MS, till, demand, &away);
    println!(
        "{what}, {nodes} nodes: {:.3} of what one who knows all puts to use; fixed shares {:.3}",
        out.used[0] as f64 / knows,
        fixes / knows
    );
}

fn total(out: &Outcome, tenth: u64) -> u32 {
    out.by_time
        .iter()
        .filter(|((_, at), _)| *at == tenth)
        .map(|(_, count)| *count)
        .sum()
}

/// Tenths of a second after `from_ms` from which on, for half a second, `enough` is used in each.
fn from_when(out: &Outcome, from_ms: u64, enough: f64, of: Option<usize>) -> String {
    let used = |tenth: u64| match of {
        Some(of) => out.by_time.get(&(of, tenth)).copied().unwrap_or(0),
        None => total(out, tenth),
    };
    let from = from_ms / 100;
    let lasts = |tenth: &u64| (*tenth..tenth + 5).all(|tenth| f64::from(used(tenth)) >= enough);
    (from..from + 150)
        .find(lasts)
        .map_or("never".into(), |at| format!("{} ms", (at - from) * 100))
}

fn jain(shares: &[u64]) -> f64 {
    let sum: f64 = shares.iter().map(|of| *of as f64).sum();
    let squares: f64 = shares.iter().map(|of| (*of as f64).powi(2)).sum();
    sum * sum / (shares.len() as f64 * squares.max(1.0))
}

fn main() {
    let limit = f64::from(LIMIT);
    for nodes in [9, 30] {
        let still = move |of: usize, _: u64| {
            if of == 7 {
                limit * 0.9
            } else {
                limit * 0.2 / nodes as f64
            }
        };
        put_to_use("skewed, always the same node", nodes, vec![], &still, 0);
        // Nine tenths of the limit at one node, which changes every 5 s; a little at the others.
        let skewed = move |of: usize, ms: u64| {
            if (ms / 5_000) as usize % nodes == of {
                limit * 0.9
            } else {
                limit * 0.2 / nodes as f64
            }
        };
        put_to_use("skewed, another node every 5 s", nodes, vec![], &skewed, 0);
        let mut release = Vec::new();
        let gone = nodes * 6 / 10;
        for nth in 0..gone {
            let at = 12_000 + 7_000 * nth as u64 / gone as u64;
            release.push((at, Fault::Leave { nodes: vec![nth] }));
            release.push((
                at + 1_000,
                Fault::Start {
                    nodes: vec![nth],
                    clock_ms: 0,
                },
            ));
        }
        put_to_use(
            "the same while six in ten are replaced within 7 s",
            nodes,
            release,
            &skewed,
            0,
        );
        let every_second = move |of: usize, ms: u64| {
            if (ms / 1_000) as usize % nodes == of {
                limit * 0.9
            } else {
                limit * 0.2 / nodes as f64
            }
        };
        put_to_use("moving every second", nodes, vec![], &every_second, 0);
    }
    let jump = |of: usize, ms: u64| match (of, ms < 15_000) {
        (6, true) | (7, false) => limit * 1.2,
        _ => limit * 0.01,
    };
    let out = run(9, 25_000, 0, vec![], &jump, 0);
    let after = from_when(&out, 15_000, 0.8 * limit * 0.9 / 10.0, Some(7));
    println!("demand that moves is followed to 80% after {after}");
    let hungry = |of: usize, _: u64| if of == 8 { limit * 2.0 } else { limit * 0.5 };
    for (who, gone) in [
        ("a holder", 8),
        ("a voter", 0),
        ("a voter", 1),
        ("a voter", 2),
        ("a voter", 3),
        ("a voter", 4),
    ] {
        let out = run(
            9,
            30_000,
            0,
            vec![(15_000, Fault::Kill { nodes: vec![gone] })],
            &hungry,
            0,
        );
        let after = from_when(&out, 15_000, 0.93 * limit / 10.0, None);
        println!(
            "{who} dies ({} leaders in all): 93% of the limit in use again after {after}",
            out.leaders
        );
    }
    let equal = |_: usize, _: u64| limit * 0.3;
    for nodes in [9, 30] {
        let out = run(nodes, 35_000, CALM_MS, vec![], &equal, 0);
        println!(
            "equal need, {nodes} nodes: Jain's index {:.4}, {:.3} of the limit used",
            jain(&out.by_node),
            out.used[0] as f64 / (limit * 30.0)
        );
    }
    // How much allocations swing where needs do not.
    let steady = |of: usize, _: u64| limit * if of.is_multiple_of(2) { 0.4 } else { 0.6 };
    let out = run(2, 35_000, CALM_MS, vec![], &steady, 0);
    let by_second: Vec<u32> = (10..35)
        .map(|s| {
            (s * 10..s * 10 + 10)
                .filter_map(|t| out.by_time.get(&(0, t)))
                .sum()
        })
        .collect();
    println!("two nodes that need 0.4 and 0.6: the first uses {by_second:?} a second");
    for nodes in [10, 30, 100, 300, 1_000, 3_000] {
        let little = move |_: usize, _: u64| limit * 0.8 / nodes as f64;
        let out = run(nodes, 15_000, CALM_MS, vec![], &little, 0);
        let each = |of: u64| of as f64 / nodes as f64 / 10.0;
        println!(
            "{nodes} nodes: {:.1} datagrams and {:.0} bytes a second sent by each, {:.0} bytes by the \
             leader; {:.0} ns an event; {:.3} used",
            each(out.cost.datagrams),
            each(out.cost.bytes),
            out.max_bytes as f64 / 10.0,
            out.cost.decisions_ns as f64 / out.cost.events.max(1) as f64,
            out.used[0] as f64 / out.asked[0].max(1) as f64,
        );
    }
}
