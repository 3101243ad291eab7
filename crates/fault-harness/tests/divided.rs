//! Fleet-wide budgets under faults in simulated time. A check that is independent of leases must find no exceeded
//! limit, and must find one when any single safeguard is disabled.

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
    (0..count).map(|node| Name::from(node_name(node))).collect()
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

/// Demand that exceeds the limit everywhere, with most of it at one node at a time.
fn excessive_demand(node: usize, index: usize, ms: u64) -> f64 {
    let is_preferred = (ms / 1_000) as usize % NODES == node;
    match index {
        0 => {
            if is_preferred {
                900.0
            } else {
                60.0
            }
        }
        _ => {
            if is_preferred {
                60.0
            } else {
                8.0
            }
        }
    }
}

fn run(script: &Script, safeguards: Safeguards) -> Outcome {
    run_with(script, safeguards, (-20_000, 20_000), &excessive_demand)
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

fn assert_within_limits(script: &Script) -> Outcome {
    let outcome = run(script, Safeguards::default());
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    outcome
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
fn healthy_fleet_uses_its_budgets_and_runs_are_deterministic() {
    let outcome = assert_within_limits(&script(20_000, 1, vec![]));
    // The first 3 of 20 s are not counted, as no leader grants allocations yet.
    assert!(
        outcome.admitted[0] > 17 * 600 * 85 / 100,
        "{} of {}",
        outcome.admitted[0],
        outcome.requested[0]
    );
    assert_eq!(outcome.leaders, 1);
    assert_eq!(
        outcome.digest,
        assert_within_limits(&script(20_000, 1, vec![])).digest
    );
}

#[test]
fn limit_is_not_exceeded_under_seeded_faults() {
    for seed in 1..=40 {
        assert_within_limits(&Script::seeded(seed, NODES, 6));
    }
}

#[test]
fn without_a_majority_allocations_expire_to_the_reserved_minimums() {
    let killed_voters = script(
        20_000,
        3,
        vec![(
            8_000,
            Fault::Kill {
                nodes: vec![0, 1, 2],
            },
        )],
    );
    let outcome = assert_within_limits(&killed_voters);
    let uses = |from: u64, until: u64| -> u32 {
        outcome
            .by_time
            .iter()
            .filter(|((_, at), _)| (from..until).contains(at))
            .map(|(_, count)| count)
            .sum()
    };
    // Two nodes still have their reserved minimums of 20 a second, for 8 s.
    assert!((250..=340).contains(&uses(120, 200)), "{}", uses(120, 200));
    assert!(uses(40, 80) > 1_800, "{}", uses(40, 80));
}

/// Scripts whose faults require the safeguards.
fn scripts() -> Vec<Script> {
    let all: Vec<usize> = (0..NODES).collect();
    let cut = |from: Vec<usize>, to: Vec<usize>| Fault::Cut { from, to };
    let heal = |from: Vec<usize>, to: Vec<usize>| Fault::Heal { from, to };
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
                (18_000, heal(few.clone(), rest.clone())),
                (18_000, heal(rest, few)),
            ],
        ));
        // All nodes restart at once several times; then each voter in turn restarts without its state.
        let restart_all = |at| {
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
            vec![restart_all(6_000), restart_all(9_300), restart_all(12_100)],
        ));
        let start = |at: u64, node: usize| {
            (
                at,
                Fault::Start {
                    nodes: vec![node],
                    clock_ms: 0,
                },
            )
        };
        scripts.push(script(
            20_000,
            seed,
            (0..30)
                .map(|index| start(5_000 + index * 400, index as usize % 5))
                .collect(),
        ));
        let degraded = Fault::Links {
            loss: 0.1,
            doubled: 0.3,
            garbled: 0.0,
            delay_ms: 150,
        };
        scripts.push(script(25_000, seed, vec![(4_000, degraded)]));
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

fn assert_exceeds_without(safeguard: &str, safeguards: Safeguards) {
    let found = scripts()
        .iter()
        .map(|script| run(script, safeguards).violations)
        .find(|violations| !violations.is_empty());
    assert!(
        found.is_some(),
        "{safeguard}: no limit is exceeded without it"
    );
}

#[test]
fn limits_hold_with_all_safeguards() {
    scripts()
        .iter()
        .for_each(|script| _ = assert_within_limits(script));
}

#[test]
fn each_safeguard_is_needed() {
    let all = Safeguards::default();
    assert_exceeds_without(
        "majority",
        Safeguards {
            majority_vote: false,
            ..all
        },
    );
    assert_exceeds_without(
        "settle",
        Safeguards {
            wait_for_old_leases: false,
            ..all
        },
    );
    assert_exceeds_without(
        "confirm",
        Safeguards {
            await_confirmation: false,
            ..all
        },
    );
    assert_exceeds_without(
        "run out",
        Safeguards {
            lease_expiry: false,
            ..all
        },
    );
    assert_exceeds_without(
        "held",
        Safeguards {
            count_max_hold: false,
            ..all
        },
    );
    // All clocks run fast, so each node admits more than its allocation per true second.
    let fast_clocks = script(30_000, 1, vec![]);
    assert!(
        run_with(&fast_clocks, all, (20_000, 20_000), &|_, _, _| 200.0)
            .violations
            .is_empty()
    );
    let without = run_with(
        &fast_clocks,
        Safeguards {
            drift_margin: false,
            ..all
        },
        (20_000, 20_000),
        &|_, _, _| 200.0,
    );
    assert!(!without.violations.is_empty(), "{}", without.admitted[0]);
}

/// Two hundred budgets need several messages. A node with an extreme demand gets no more than its fair share.
#[test]
fn two_hundred_budgets_and_an_extreme_demand() {
    let budgets: Vec<Budget> = (0..200)
        .map(|number| Budget {
            name: format!("b{number}").into(),
            ..rate(90, 90, 0)
        })
        .collect();
    let demand = |node: usize, index: usize, _: u64| match (index, node) {
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
    let outcome = budget_simulation::run(&script(16_000, 1, vec![]), &options);
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    // Each node uses a ninth of 90 a second for 10 s, whatever its demand.
    assert!(
        outcome.by_node.iter().all(|uses| (88..=110).contains(uses)),
        "{:?}",
        outcome.by_node
    );
    assert!(outcome.admitted[199] > 700, "{}", outcome.admitted[199]);
}
