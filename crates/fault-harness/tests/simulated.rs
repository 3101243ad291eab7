//! Fleets in simulated time, on the decisions that the node runs, judged by the checkers that judge real
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

fn holds(script: &Script, options: &Options) -> History {
    let (history, _) = run(script, options);
    let violations = judge(&history, &membership_invariants());
    assert!(violations.is_empty(), "{violations:#?}");
    history
}

fn deaths(history: &History) -> usize {
    let dead = |what: &HistoryEvent| matches!(what, HistoryEvent::MemberChange { change, .. } if change == "dead");
    history
        .entries
        .iter()
        .filter(|entry| dead(&entry.event))
        .count()
}

#[test]
fn drawn_troubles_break_no_promise_whatever_clocks_show() {
    for seed in 1..=12 {
        let options = Options {
            offset_ms: 2_000,
            drift_ppm: 20_000,
            zones: 3,
            inter_zone_latency: 2_000,
            ..Options::default()
        };
        holds(&Script::seeded(seed, 7, 5), &options);
    }
}

#[test]
fn the_same_script_is_the_same_play_to_the_byte() {
    let script = Script::seeded(5, 9, 4);
    let (one, other) = (
        run(&script, &Options::default()).0,
        run(&script, &Options::default()).0,
    );
    assert_eq!(one.to_lines(), other.to_lines());
}

#[test]
fn half_of_sixty_die_at_once_and_come_back_at_once() {
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
    let history = holds(&script(60, 20_000, faults), &Options::default());
    assert!(deaths(&history) >= 30 * 30);
}

#[test]
fn halves_that_declare_one_another_dead_find_together_within_three_seconds() {
    let (one, other): (Vec<usize>, Vec<usize>) = ((0..25).collect(), (25..50).collect());
    let cut = |from: &Vec<usize>, to: &Vec<usize>| Fault::Cut {
        from: from.clone(),
        to: to.clone(),
    };
    let mend = |from: &Vec<usize>, to: &Vec<usize>| Fault::Heal {
        from: from.clone(),
        to: to.clone(),
    };
    let faults = vec![
        (5_000, cut(&one, &other)),
        (5_000, cut(&other, &one)),
        (25_000, mend(&one, &other)),
        (25_000, mend(&other, &one)),
    ];
    let history = holds(&script(50, 28_000, faults), &Options::default());
    assert!(deaths(&history) >= 2 * 25 * 25);
}

#[test]
fn a_twentieth_of_all_datagrams_lost_declares_nobody_dead_in_ten_minutes() {
    let faults = vec![(
        0,
        Fault::Links {
            loss: 0.05,
            doubled: 0.01,
            garbled: 0.0,
            delay_ms: 2,
        },
    )];
    let history = holds(&script(50, 600_000, faults), &Options::default());
    assert_eq!(deaths(&history), 0);
}

/// Plays that break a promise once a safeguard is taken out, which shows that the checkers see it.
#[test]
fn each_safeguard_taken_out_breaks_a_promise() {
    let rest: Vec<usize> = (1..6).collect();
    let isolated = script(
        6,
        30_000,
        vec![
            (
                12_000,
                Fault::Cut {
                    from: vec![0],
                    to: rest.clone(),
                },
            ),
            (
                12_000,
                Fault::Cut {
                    from: rest.clone(),
                    to: vec![0],
                },
            ),
            (
                26_000,
                Fault::Heal {
                    from: vec![0],
                    to: rest.clone(),
                },
            ),
            (
                26_000,
                Fault::Heal {
                    from: rest,
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
    let breaks = |script: &Script, parameters: Parameters| -> Vec<&'static str> {
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
    assert!(breaks(&isolated, Parameters::default()).is_empty());
    let deaf = Parameters {
        max_silent_periods: u32::MAX,
        ..Parameters::default()
    };
    assert!(breaks(&isolated, deaf).contains(&"isolated, declares nobody dead"));
    // Where suspicions are hardly given time to be contradicted, what comes before them shows.
    let hasty = Parameters {
        suspicion_min: 50,
        suspicion_max: 100,
        ..Parameters::default()
    };
    assert!(breaks(&one_link, hasty.clone()).is_empty());
    let alone = Parameters {
        indirect_probers: 0,
        ..hasty.clone()
    };
    assert!(breaks(&one_link, alone).contains(&"nobody wrongly declared dead"));
    let rest: Vec<usize> = (1..6).collect();
    let woken = script(
        6,
        30_000,
        vec![
            (
                12_000,
                Fault::Cut {
                    from: rest.clone(),
                    to: vec![0],
                },
            ),
            (12_100, Fault::Suspend { nodes: vec![0] }),
            (17_000, Fault::Resume { nodes: vec![0] }),
            (
                17_300,
                Fault::Heal {
                    from: rest,
                    to: vec![0],
                },
            ),
        ],
    );
    assert!(!breaks(&woken, hasty.clone()).contains(&"resumed, declares nobody dead"));
    let unaware = Parameters {
        max_lateness: u64::MAX,
        ..hasty
    };
    assert!(breaks(&woken, unaware).contains(&"resumed, declares nobody dead"));
}
