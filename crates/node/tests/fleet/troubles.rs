//! Processes that die, stop, leave and come back, and links that break.

use doortrack_fault_harness::history::HistoryEvent;
use doortrack_fault_harness::processes::{RunResult, run, run_with_older};
use doortrack_fault_harness::script::{Fault, NetworkConditions, Script};

use crate::{holds, parted, program, script};

fn run_and_judge(script: &Script) -> RunResult {
    let result = run(program(), script, 3).unwrap();
    holds(&result);
    result
}

fn told(result: &RunResult, wanted: &str) -> usize {
    let is = |what: &HistoryEvent| matches!(what, HistoryEvent::MemberChange { change, .. } if change == wanted);
    result
        .history
        .entries
        .iter()
        .filter(|entry| is(&entry.event))
        .count()
}

#[test]
fn half_of_a_fleet_killed_at_once_is_declared_dead_and_comes_back() {
    let half = vec![0, 1, 2];
    let faults = vec![
        (
            2_000,
            Fault::Kill {
                nodes: half.clone(),
            },
        ),
        (
            7_000,
            Fault::Start {
                nodes: half,
                clock_ms: 0,
            },
        ),
    ];
    let result = run_and_judge(&script(6, 9_000, faults));
    assert!(
        told(&result, "dead") >= 9,
        "each of three declared three dead\n{}",
        result.history.to_lines()
    );
}

#[test]
fn all_started_anew_within_a_second_agree_again() {
    let faults = (0..6).flat_map(|of| {
        let at = 2_000 + of as u64 * 150;
        [
            (at, Fault::Kill { nodes: vec![of] }),
            (
                at + 20,
                Fault::Start {
                    nodes: vec![of],
                    clock_ms: 0,
                },
            ),
        ]
    });
    run_and_judge(&script(6, 4_000, faults.collect()));
}

#[test]
fn a_release_in_steps_with_datagrams_lost_is_left_and_never_dead() {
    let rough = Fault::Links {
        loss: 0.1,
        doubled: 0.05,
        garbled: 0.02,
        delay_ms: 5,
    };
    let calm = Fault::Links {
        loss: 0.0,
        doubled: 0.0,
        garbled: 0.0,
        delay_ms: 0,
    };
    let mut faults = vec![(1_500, rough), (11_000, calm)];
    for of in 0..5 {
        let at = 2_000 + of as u64 * 1_800;
        faults.push((at, Fault::Leave { nodes: vec![of] }));
        faults.push((
            at + 1_500,
            Fault::Start {
                nodes: vec![of],
                clock_ms: 0,
            },
        ));
    }
    let result = run_and_judge(&script(5, 12_000, faults));
    assert!(told(&result, "left") >= 10, "{}", result.history.to_lines());
    assert!(result.relay.garbled > 0 && result.relay.lost > 0);
}

#[test]
fn a_node_cut_off_one_way_considers_itself_isolated() {
    let faults = vec![
        (
            2_000,
            Fault::Cut {
                from: vec![1, 2, 3, 4],
                to: vec![0],
            },
        ),
        (
            10_000,
            Fault::Heal {
                from: vec![1, 2, 3, 4],
                to: vec![0],
            },
        ),
    ];
    let result = run_and_judge(&script(5, 12_000, faults));
    let own = |what: &HistoryEvent| matches!(what, HistoryEvent::MemberChange { node: 0, change, .. } if change == "dead");
    assert!(
        !result.history.entries.iter().any(|entry| own(&entry.event)),
        "{}",
        result.history.to_lines()
    );
    assert!(told(&result, "isolated") >= 1 && told(&result, "reconnected") >= 1);
}

#[test]
fn two_halves_that_hear_nothing_of_one_another_heal_without_a_start() {
    let result = run_and_judge(&script(
        6,
        11_000,
        parted((vec![0, 1, 2], vec![3, 4, 5]), 2_000, 9_000),
    ));
    assert!(told(&result, "dead") >= 18, "{}", result.history.to_lines());
    assert_eq!(
        result
            .history
            .entries
            .iter()
            .filter(|e| matches!(e.event, HistoryEvent::Began { .. }))
            .count(),
        6
    );
}

#[test]
fn a_node_stopped_for_five_seconds_wakes_and_believes_nothing_unchecked() {
    // Meanwhile another left and a third came anew: its old view is wrong twice.
    let faults = vec![
        (2_000, Fault::Suspend { nodes: vec![0] }),
        (3_000, Fault::Leave { nodes: vec![3] }),
        (3_500, Fault::Kill { nodes: vec![4] }),
        (
            5_000,
            Fault::Start {
                nodes: vec![4],
                clock_ms: 0,
            },
        ),
        (7_000, Fault::Resume { nodes: vec![0] }),
    ];
    let result = run_and_judge(&script(5, 9_000, faults));
    let still = |what: &HistoryEvent| matches!(what, HistoryEvent::MemberChange { node: 0, change, .. } if change == "resumed");
    assert!(
        result
            .history
            .entries
            .iter()
            .any(|entry| still(&entry.event)),
        "{}",
        result.history.to_lines()
    );
}

#[test]
fn a_start_with_the_clock_set_back_and_old_datagrams_replayed_change_nothing_else() {
    let faults = vec![
        (2_000, Fault::Kill { nodes: vec![1, 2] }),
        (
            2_100,
            Fault::Start {
                nodes: vec![1, 2],
                clock_ms: -2_000,
            },
        ),
        (
            4_000,
            Fault::Replay {
                nodes: vec![0, 1, 2, 3],
            },
        ),
        (5_000, Fault::Kill { nodes: vec![3] }),
        (
            8_000,
            Fault::Replay {
                nodes: vec![0, 1, 2],
            },
        ),
        (
            8_500,
            Fault::Start {
                nodes: vec![3],
                clock_ms: 2_000,
            },
        ),
        (
            9_500,
            Fault::Replay {
                nodes: vec![0, 1, 2, 3],
            },
        ),
    ];
    let result = run_and_judge(&script(4, 11_000, faults));
    assert!(
        told(&result, "superseded") == 0,
        "{}",
        result.history.to_lines()
    );
}

#[test]
fn trouble_between_nodes_and_their_server_is_none_between_nodes() {
    let server = |nodes: Vec<usize>, cut, broken| {
        let conditions = NetworkConditions {
            cut,
            delay_ms: 5,
            broken,
            bytes_a_second: 0,
        };
        Fault::Server { nodes, conditions }
    };
    let faults = vec![
        (1_500, server(vec![0], true, 0.0)),
        (1_500, server(vec![1], false, 0.3)),
        (5_500, server(vec![0, 1], false, 0.0)),
    ];
    let result = run_and_judge(&script(3, 6_500, faults));
    assert_eq!(
        told(&result, "suspected"),
        0,
        "{}",
        result.history.to_lines()
    );
}

#[test]
fn trouble_between_nodes_and_their_callers_breaks_no_rule() {
    let callers = |nodes: Vec<usize>, conditions| Fault::Callers { nodes, conditions };
    let calm = NetworkConditions::default();
    let faults = vec![
        (
            1_500,
            callers(vec![0], NetworkConditions { cut: true, ..calm }),
        ),
        (
            1_500,
            callers(
                vec![1],
                NetworkConditions {
                    broken: 0.2,
                    delay_ms: 10,
                    ..calm
                },
            ),
        ),
        (
            1_500,
            callers(
                vec![2],
                NetworkConditions {
                    bytes_a_second: 20_000,
                    ..calm
                },
            ),
        ),
        (
            1_500,
            Fault::Throttle {
                bytes_a_second: 4_000,
            },
        ),
        (3_000, Fault::Kill { nodes: vec![1] }),
        (
            4_000,
            Fault::Start {
                nodes: vec![1],
                clock_ms: 0,
            },
        ),
        (5_500, callers(vec![0, 1, 2], calm)),
        (5_500, Fault::Throttle { bytes_a_second: 0 }),
    ];
    let result = run_and_judge(&script(3, 7_000, faults));
    // Some were broken off, and most went through.
    let served = result.traffic_counts;
    assert!(
        served.unanswered > 0 && served.completed * 10 > served.sent * 5,
        "{served:?}"
    );
}

/// Here both builds are this one; `docs/fleet.md` tells of a play beside a real older one.
#[test]
fn an_older_build_stands_beside_a_newer_one() {
    let faults = vec![
        (1_500, Fault::Kill { nodes: vec![1, 2] }),
        (1_600, Fault::StartOlder { nodes: vec![1, 2] }),
        (4_000, Fault::Leave { nodes: vec![1] }),
        (
            5_600,
            Fault::Start {
                nodes: vec![1],
                clock_ms: 0,
            },
        ),
    ];
    let script = script(4, 7_000, faults);
    let result = run_with_older(program(), Some(program()), &script, 3).unwrap();
    holds(&result);
}

#[test]
fn troubles_drawn_from_seeds_break_no_promise() {
    for seed in [3, 8] {
        let script = Script::seeded(seed, 5, 3);
        run_and_judge(&Script {
            duration_ms: script.duration_ms - 10_000,
            ..script
        });
    }
}
