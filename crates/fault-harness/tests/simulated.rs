//! Runs fleets in simulated time with the node's own membership code, and applies the same checkers as to real
//! processes.

#![allow(
    clippy::too_many_lines,
    reason = "a scenario is read from its start to its end"
)]

use doortrack_fault_harness::checks::{judge, membership_invariants};
use doortrack_fault_harness::history::{History, HistoryEvent};
use doortrack_fault_harness::script::{Fault, Script, TimedFault};
use doortrack_fault_harness::simulated::{Options, run};
use doortrack_membership::Parameters;

fn script(nodes: usize, ms: u64, faults: Vec<(u64, Fault)>) -> Script {
    let faults = faults
        .into_iter()
        .map(|(at_ms, fault)| TimedFault { at_ms, fault })
        .collect();
    Script {
        nodes,
        duration_ms: ms,
        seed: 11,
        faults,
    }
}

fn run_and_check(script: &Script, options: &Options) -> History {
    let (history, _) = run(script, options);
    let violations = judge(&history, &membership_invariants());
    assert!(violations.is_empty(), "{violations:#?}");
    history
}

fn deaths(history: &History) -> usize {
    let dead = |history_event: &HistoryEvent| matches!(history_event, HistoryEvent::MemberChange { change, .. } if change == "dead");
    history
        .entries
        .iter()
        .filter(|entry| dead(&entry.event))
        .count()
}

#[test]
fn seeded_faults_violate_nothing_with_inexact_clocks() {
    for seed in 1..=12 {
        let options = Options {
            offset_ms: 2_000,
            drift_ppm: 20_000,
            zones: 3,
            inter_zone_latency: 2_000,
            ..Options::default()
        };
        run_and_check(&Script::seeded(seed, 7, 5), &options);
    }
}

#[test]
fn same_script_gives_a_byte_identical_history() {
    let script = Script::seeded(5, 9, 4);
    let (one, other) = (
        run(&script, &Options::default()).0,
        run(&script, &Options::default()).0,
    );
    assert_eq!(one.to_lines(), other.to_lines());
}

#[test]
fn half_of_sixty_nodes_crash_and_restart_at_once() {
    let half: Vec<usize> = (0..30).collect();
    let faults = vec![
        (
            5_000,
            Fault::Kill {
                nodes: half.clone(),
            },
        ),
        (
            12_000,
            Fault::Start {
                nodes: half,
                clock_ms: 0,
            },
        ),
    ];
    let history = run_and_check(&script(60, 20_000, faults), &Options::default());
    assert!(deaths(&history) >= 30 * 30);
}

#[test]
fn partitioned_halves_rejoin_within_three_seconds() {
    let (one, other): (Vec<usize>, Vec<usize>) = ((0..25).collect(), (25..50).collect());
    let cut = |from: &Vec<usize>, to: &Vec<usize>| Fault::Cut {
        from: from.clone(),
        to: to.clone(),
    };
    let heal = |from: &Vec<usize>, to: &Vec<usize>| Fault::Heal {
        from: from.clone(),
        to: to.clone(),
    };
    let faults = vec![
        (5_000, cut(&one, &other)),
        (5_000, cut(&other, &one)),
        (25_000, heal(&one, &other)),
        (25_000, heal(&other, &one)),
    ];
    let history = run_and_check(&script(50, 28_000, faults), &Options::default());
    assert!(deaths(&history) >= 2 * 25 * 25);
}

#[test]
fn five_percent_loss_causes_no_death_in_ten_minutes() {
    let faults = vec![(
        0,
        Fault::Links {
            loss: 0.05,
            doubled: 0.01,
            garbled: 0.0,
            delay_ms: 2,
        },
    )];
    let history = run_and_check(&script(50, 600_000, faults), &Options::default());
    assert_eq!(deaths(&history), 0);
}

/// Each script violates an invariant if a safeguard is disabled, which shows that the checkers detect it.
#[test]
fn each_disabled_safeguard_violates_an_invariant() {
    let others: Vec<usize> = (1..6).collect();
    let isolated = script(
        6,
        30_000,
        vec![
            (
                12_000,
                Fault::Cut {
                    from: vec![0],
                    to: others.clone(),
                },
            ),
            (
                12_000,
                Fault::Cut {
                    from: others.clone(),
                    to: vec![0],
                },
            ),
            (
                26_000,
                Fault::Heal {
                    from: vec![0],
                    to: others.clone(),
                },
            ),
            (
                26_000,
                Fault::Heal {
                    from: others,
                    to: vec![0],
                },
            ),
        ],
    );
    let one_link = script(
        6,
        30_000,
        vec![
            (
                12_000,
                Fault::Cut {
                    from: vec![0],
                    to: vec![1],
                },
            ),
            (
                12_000,
                Fault::Cut {
                    from: vec![1],
                    to: vec![0],
                },
            ),
        ],
    );
    let violated_rules = |script: &Script, parameters: Parameters| -> Vec<&'static str> {
        let (history, _) = run(
            script,
            &Options {
                parameters,
                ..Options::default()
            },
        );
        judge(&history, &membership_invariants())
            .into_iter()
            .map(|violation| violation.rule)
            .collect()
    };
    assert!(violated_rules(&isolated, Parameters::default()).is_empty());
    let no_isolation_check = Parameters {
        max_silent_periods: u32::MAX,
        ..Parameters::default()
    };
    assert!(
        violated_rules(&isolated, no_isolation_check).contains(&"isolated, declares nobody dead")
    );
    // Short suspicion timeouts, which leave hardly time for a refutation, expose the effect of the other safeguards.
    let short_suspicion = Parameters {
        suspicion_min: 50,
        suspicion_max: 100,
        ..Parameters::default()
    };
    assert!(violated_rules(&one_link, short_suspicion.clone()).is_empty());
    let no_indirect_probes = Parameters {
        indirect_probers: 0,
        ..short_suspicion.clone()
    };
    assert!(
        violated_rules(&one_link, no_indirect_probes).contains(&"nobody wrongly declared dead")
    );
    let others: Vec<usize> = (1..6).collect();
    let resumed = script(
        6,
        30_000,
        vec![
            (
                12_000,
                Fault::Cut {
                    from: others.clone(),
                    to: vec![0],
                },
            ),
            (12_100, Fault::Suspend { nodes: vec![0] }),
            (17_000, Fault::Resume { nodes: vec![0] }),
            (
                17_300,
                Fault::Heal {
                    from: others,
                    to: vec![0],
                },
            ),
        ],
    );
    assert!(
        !violated_rules(&resumed, short_suspicion.clone())
            .contains(&"resumed, declares nobody dead")
    );
    let no_lateness_check = Parameters {
        max_lateness: u64::MAX,
        ..short_suspicion
    };
    assert!(violated_rules(&resumed, no_lateness_check).contains(&"resumed, declares nobody dead"));
}
