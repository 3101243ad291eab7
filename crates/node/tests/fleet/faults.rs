//! Processes that are killed, suspended, drained and restarted, and links that fail.

use doortrack_fault_harness::history::HistoryEvent;
use doortrack_fault_harness::processes::{RunResult, run, run_with_older};
use doortrack_fault_harness::script::{Fault, NetworkConditions, Script};

use crate::{assert_no_violations, partition, program, script};

fn run_and_judge(script: &Script) -> RunResult {
    let result = run(program(), script, 3).unwrap();
    assert_no_violations(&result);
    result
}

/// Counts the log lines that report this change of a member.
fn count_changes(result: &RunResult, wanted: &str) -> usize {
    let is_wanted = |event: &HistoryEvent| matches!(event, HistoryEvent::MemberChange { change, .. } if change == wanted);
    result
        .history
        .entries
        .iter()
        .filter(|entry| is_wanted(&entry.event))
        .count()
}

#[test]
fn half_of_a_fleet_killed_at_once_is_declared_dead_and_rejoins() {
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
        count_changes(&result, "dead") >= 9,
        "each of the three surviving nodes must declare three members dead\n{}",
        result.history.to_lines()
    );
}

#[test]
fn all_nodes_restarted_within_a_second_agree_again() {
    let faults = (0..6).flat_map(|node| {
        let at = 2_000 + node as u64 * 150;
        [
            (at, Fault::Kill { nodes: vec![node] }),
            (
                at + 20,
                Fault::Start {
                    nodes: vec![node],
                    clock_ms: 0,
                },
            ),
        ]
    });
    run_and_judge(&script(6, 4_000, faults.collect()));
}

#[test]
fn nodes_drained_one_by_one_with_datagram_loss_are_left_and_never_dead() {
    let faulty = Fault::Links {
        loss: 0.1,
        doubled: 0.05,
        garbled: 0.02,
        delay_ms: 5,
    };
    let fault_free = Fault::Links {
        loss: 0.0,
        doubled: 0.0,
        garbled: 0.0,
        delay_ms: 0,
    };
    let mut faults = vec![(1_500, faulty), (11_000, fault_free)];
    for node in 0..5 {
        let at = 2_000 + node as u64 * 1_800;
        faults.push((at, Fault::Leave { nodes: vec![node] }));
        faults.push((
            at + 1_500,
            Fault::Start {
                nodes: vec![node],
                clock_ms: 0,
            },
        ));
    }
    let result = run_and_judge(&script(5, 12_000, faults));
    assert!(
        count_changes(&result, "left") >= 10,
        "{}",
        result.history.to_lines()
    );
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
    let declares_dead = |event: &HistoryEvent| matches!(event, HistoryEvent::MemberChange { node: 0, change, .. } if change == "dead");
    assert!(
        !result
            .history
            .entries
            .iter()
            .any(|entry| declares_dead(&entry.event)),
        "{}",
        result.history.to_lines()
    );
    assert!(count_changes(&result, "isolated") >= 1 && count_changes(&result, "reconnected") >= 1);
}

#[test]
fn two_partitioned_halves_merge_again_without_a_restart() {
    let result = run_and_judge(&script(
        6,
        11_000,
        partition((vec![0, 1, 2], vec![3, 4, 5]), 2_000, 9_000),
    ));
    assert!(
        count_changes(&result, "dead") >= 18,
        "{}",
        result.history.to_lines()
    );
    assert_eq!(
        result
            .history
            .entries
            .iter()
            .filter(|entry| matches!(entry.event, HistoryEvent::Began { .. }))
            .count(),
        6
    );
}

#[test]
fn a_node_suspended_for_five_seconds_checks_its_view_when_it_resumes() {
    // Meanwhile one member leaves and another restarts, so two entries of the suspended node's view are outdated.
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
    let is_resumed = |event: &HistoryEvent| matches!(event, HistoryEvent::MemberChange { node: 0, change, .. } if change == "resumed");
    assert!(
        result
            .history
            .entries
            .iter()
            .any(|entry| is_resumed(&entry.event)),
        "{}",
        result.history.to_lines()
    );
}

#[test]
fn restarts_with_the_clock_set_back_and_replayed_datagrams_supersede_no_node() {
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
        count_changes(&result, "superseded") == 0,
        "{}",
        result.history.to_lines()
    );
}

#[test]
fn faults_between_nodes_and_their_server_cause_no_suspicion_between_nodes() {
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
        count_changes(&result, "suspected"),
        0,
        "{}",
        result.history.to_lines()
    );
}

#[test]
fn faults_between_nodes_and_their_callers_violate_no_rule() {
    let callers = |nodes: Vec<usize>, conditions| Fault::Callers { nodes, conditions };
    let fault_free = NetworkConditions::default();
    let faults = vec![
        (
            1_500,
            callers(
                vec![0],
                NetworkConditions {
                    cut: true,
                    ..fault_free
                },
            ),
        ),
        (
            1_500,
            callers(
                vec![1],
                NetworkConditions {
                    broken: 0.2,
                    delay_ms: 10,
                    ..fault_free
                },
            ),
        ),
        (
            1_500,
            callers(
                vec![2],
                NetworkConditions {
                    bytes_a_second: 20_000,
                    ..fault_free
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
        (5_500, callers(vec![0, 1, 2], fault_free)),
        (5_500, Fault::Throttle { bytes_a_second: 0 }),
    ];
    let result = run_and_judge(&script(3, 7_000, faults));
    // Some requests were cut off, and most were completed.
    let served = result.traffic_counts;
    assert!(
        served.unanswered > 0 && served.completed * 10 > served.sent * 5,
        "{served:?}"
    );
}

/// Both builds are the current one here; `docs/fleet.md` describes a run beside an actual older build.
#[test]
fn an_older_and_a_newer_build_run_in_one_fleet() {
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
    assert_no_violations(&result);
}

#[test]
fn random_faults_from_seeds_violate_no_rule() {
    for seed in [3, 8] {
        let script = Script::seeded(seed, 5, 3);
        run_and_judge(&Script {
            duration_ms: script.duration_ms - 10_000,
            ..script
        });
    }
}
