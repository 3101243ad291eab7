//! Budgets under faults in simulated time: never more than the limit, by a count that knows nothing of
//! leases. Each safeguard is taken out in turn, and the count must tell.

#![allow(
    clippy::too_many_lines,
    reason = "a scenario is read from its start to its end"
)]

use std::sync::Arc;

use doortrack_budgets::{Budget, Kind, Parameters, Safeguards};
use doortrack_fault_harness::budget_simulation::{self, Options, Outcome};
use doortrack_fault_harness::history::node_name;
use doortrack_fault_harness::script::{Fault, Script, TimedFault};
use doortrack_membership::Name;
use doortrack_simulation::Distribution;

const NODES: usize = 9;

fn names(count: usize) -> Arc<[Name]> {
    (0..count).map(|of| Name::from(node_name(of))).collect()
}

fn rate(limit: u32, burst: u32, reserved: u32) -> Budget {
    let kind = Kind::Rate { burst };
    Budget {
        name: "rate".into(),
        kind,
        limit,
        reserved,
        reserved_for: names(5),
        max_per_node: limit,
    }
}

fn concurrency(limit: u32, reserved: u32) -> Budget {
    let kind = Kind::Concurrency { max_hold: 20_000 };
    Budget {
        name: "places".into(),
        kind,
        limit,
        reserved,
        reserved_for: names(5),
        max_per_node: limit,
    }
}

fn parameters(safeguards: Safeguards) -> Parameters {
    Parameters {
        voters: names(5),
        safeguards,
        ..Parameters::default()
    }
}

/// More is asked for everywhere than there is, in turns most of it at one node.
fn greedy(of: usize, index: usize, ms: u64) -> f64 {
    let here = (ms / 1_000) as usize % NODES == of;
    match index {
        0 => {
            if here {
                900.0
            } else {
                60.0
            }
        }
        _ => {
            if here {
                60.0
            } else {
                8.0
            }
        }
    }
}

fn run(script: &Script, safeguards: Safeguards) -> Outcome {
    run_with(script, safeguards, (-20_000, 20_000), &greedy)
}

fn run_with(
    script: &Script,
    safeguards: Safeguards,
    drift_ppm: (i64, i64),
    demand: &dyn Fn(usize, usize, u64) -> f64,
) -> Outcome {
    let options = Options {
        parameters: parameters(safeguards),
        budgets: vec![rate(600, 120, 20), concurrency(30, 1)],
        latency: Distribution::LogNormal {
            mean: 300.0,
            sigma: 0.5,
        },
        drift_ppm,
        offset_ms: 1_000,
        demand,
        mean_hold_ms: 1_500,
        count_from_ms: 0,
        count_bytes: false,
    };
    budget_simulation::run(script, &options)
}

fn holds(script: &Script) -> Outcome {
    let out = run(script, Safeguards::default());
    assert!(out.violations.is_empty(), "{:?}", out.violations);
    out
}

fn script(ms: u64, seed: u64, faults: Vec<(u64, Fault)>) -> Script {
    let faults = faults
        .into_iter()
        .map(|(at_ms, fault)| TimedFault { at_ms, fault })
        .collect();
    Script {
        nodes: NODES,
        duration_ms: ms,
        seed,
        faults,
    }
}

#[test]
fn healthy_it_is_put_to_use_and_the_same_each_time() {
    let one = holds(&script(20_000, 1, vec![]));
    // All but what went before there was a leader that grants: 3 s of the 20.
    assert!(
        one.admitted[0] > 17 * 600 * 85 / 100,
        "{} of {}",
        one.admitted[0],
        one.requested[0]
    );
    assert_eq!(one.leaders, 1);
    assert_eq!(one.digest, holds(&script(20_000, 1, vec![])).digest);
}

#[test]
fn whatever_fails_the_limit_is_never_exceeded() {
    for seed in 1..=40 {
        holds(&Script::seeded(seed, NODES, 6));
    }
}

#[test]
fn with_most_voters_gone_allocations_run_out_to_the_reserved_minimums() {
    let gone = script(
        20_000,
        3,
        vec![(
            8_000,
            Fault::Kill {
                nodes: vec![0, 1, 2],
            },
        )],
    );
    let out = holds(&gone);
    let used = |from: u64, till: u64| -> u32 {
        out.by_time
            .iter()
            .filter(|((_, at), _)| (from..till).contains(at))
            .map(|(_, count)| count)
            .sum()
    };
    // Two reserved minimums of 20 a second are left, for 8 s.
    assert!((250..=340).contains(&used(120, 200)), "{}", used(120, 200));
    assert!(used(40, 80) > 1_800, "{}", used(40, 80));
}

/// The scripts that each safeguard is there for.
fn scripts() -> Vec<Script> {
    let all: Vec<usize> = (0..NODES).collect();
    let cut = |from: Vec<usize>, to: Vec<usize>| Fault::Cut { from, to };
    let mend = |from: Vec<usize>, to: Vec<usize>| Fault::Heal { from, to };
    let mut scripts: Vec<Script> = (1..=12)
        .map(|seed| Script::seeded(seed, NODES, 6))
        .collect();
    for seed in 1..=3 {
        let (few, rest) = (vec![0, 1, 5, 6], vec![2, 3, 4, 7, 8]);
        scripts.push(script(
            24_000,
            seed,
            vec![
                (6_000, cut(few.clone(), rest.clone())),
                (6_000, cut(rest.clone(), few.clone())),
                (18_000, mend(few.clone(), rest.clone())),
                (18_000, mend(rest, few)),
            ],
        ));
        // All at once, twice; each leader in turn, with nothing left of what it knew.
        let again = |at| {
            (
                at,
                Fault::Start {
                    nodes: all.clone(),
                    clock_ms: 0,
                },
            )
        };
        scripts.push(script(
            16_000,
            seed,
            vec![again(6_000), again(9_300), again(12_100)],
        ));
        let start = |at: u64, of: usize| {
            (
                at,
                Fault::Start {
                    nodes: vec![of],
                    clock_ms: 0,
                },
            )
        };
        scripts.push(script(
            20_000,
            seed,
            (0..30)
                .map(|nth| start(5_000 + nth * 400, nth as usize % 5))
                .collect(),
        ));
        let rough = Fault::Links {
            loss: 0.1,
            doubled: 0.3,
            garbled: 0.0,
            delay_ms: 150,
        };
        scripts.push(script(25_000, seed, vec![(4_000, rough)]));
        scripts.push(script(
            25_000,
            seed,
            vec![
                (
                    6_000,
                    Fault::Suspend {
                        nodes: vec![5, 6, 7],
                    },
                ),
                (
                    9_500,
                    Fault::Resume {
                        nodes: vec![5, 6, 7],
                    },
                ),
            ],
        ));
    }
    scripts
}

fn breaks(what: &str, safeguards: Safeguards) {
    let found = scripts()
        .iter()
        .map(|script| run(script, safeguards).violations)
        .find(|violations| !violations.is_empty());
    assert!(found.is_some(), "{what}: nothing came of taking it out");
}

#[test]
fn with_all_safeguards_those_plays_hold() {
    scripts().iter().for_each(|script| _ = holds(script));
}

#[test]
fn each_safeguard_is_needed() {
    let all = Safeguards::default();
    breaks(
        "majority",
        Safeguards {
            majority_vote: false,
            ..all
        },
    );
    breaks(
        "settle",
        Safeguards {
            wait_for_old_leases: false,
            ..all
        },
    );
    breaks(
        "confirm",
        Safeguards {
            await_confirmation: false,
            ..all
        },
    );
    breaks(
        "run out",
        Safeguards {
            lease_expiry: false,
            ..all
        },
    );
    breaks(
        "held",
        Safeguards {
            count_max_hold: false,
            ..all
        },
    );
    // All clocks too fast at once: each makes more of a second than there is.
    let fast = script(30_000, 1, vec![]);
    assert!(
        run_with(&fast, all, (20_000, 20_000), &|_, _, _| 200.0)
            .violations
            .is_empty()
    );
    let without = run_with(
        &fast,
        Safeguards {
            drift_margin: false,
            ..all
        },
        (20_000, 20_000),
        &|_, _, _| 200.0,
    );
    assert!(!without.violations.is_empty(), "{}", without.admitted[0]);
}

/// Two hundred budgets go in pages; one node's need is absurd, and takes no more than its fair part.
#[test]
fn two_hundred_budgets_and_an_absurd_need() {
    let budgets: Vec<Budget> = (0..200)
        .map(|nth| Budget {
            name: format!("b{nth}").into(),
            ..rate(90, 90, 0)
        })
        .collect();
    let demand = |of: usize, index: usize, _: u64| match (index, of) {
        (0, 8) => 1e6,
        (0, _) => 20.0,
        (199, 3) => 80.0,
        _ => 0.0,
    };
    let options = Options {
        parameters: parameters(Safeguards::default()),
        budgets,
        latency: Distribution::LogNormal {
            mean: 300.0,
            sigma: 0.5,
        },
        drift_ppm: (-20_000, 20_000),
        offset_ms: 0,
        demand: &demand,
        mean_hold_ms: 1,
        count_from_ms: 6_000,
        count_bytes: false,
    };
    let out = budget_simulation::run(&script(16_000, 1, vec![]), &options);
    assert!(out.violations.is_empty(), "{:?}", out.violations);
    // A ninth of 90 a second for 10 s each, whoever shouts.
    assert!(
        out.by_node.iter().all(|used| (88..=110).contains(used)),
        "{:?}",
        out.by_node
    );
    assert!(out.admitted[199] > 700, "{}", out.admitted[199]);
}
