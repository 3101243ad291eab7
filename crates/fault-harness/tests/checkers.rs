//! Checks that each checker accepts a valid history and finds the violation in an altered one.

use doortrack_fault_harness::checks::{judge, membership_invariants};
use doortrack_fault_harness::history::{History, HistoryEvent, Member, node_name};
use doortrack_fault_harness::script::{Fault, Script, TimedFault};
use doortrack_fault_harness::shrink::shrink;
use doortrack_fault_harness::usage::{
    AdmittedRequest, concurrency_exceeded, rate_exceeded, utilization,
};

fn reported(node: usize, change: &str, member: usize, incarnation: u64) -> HistoryEvent {
    let (member, incarnation) = (Some(node_name(member)), Some(format!("{incarnation:x}")));
    HistoryEvent::MemberChange {
        node,
        change: change.into(),
        member,
        incarnation,
        view: 1,
        members: 3,
    }
}

fn status(node: usize, present: &[usize]) -> HistoryEvent {
    let member = |member_number: &usize| Member {
        name: node_name(*member_number),
        incarnation: "1".into(),
        state: "alive".into(),
    };
    let digest = format!("{present:?}");
    HistoryEvent::Status {
        node,
        isolated: false,
        digest,
        members: present.iter().map(member).collect(),
    }
}

/// A history of three nodes that start and report each other as alive.
fn valid_history() -> History {
    let mut history = History {
        nodes: 3,
        entries: Vec::new(),
    };
    (0..3).for_each(|node| history.record(0, HistoryEvent::Began { node }));
    for node in 0..3 {
        (0..3)
            .filter(|member_number| *member_number != node)
            .for_each(|member_number| {
                history.record(500, reported(node, "alive", member_number, 0x10))
            });
    }
    history
}

fn with_final_views(mut history: History, present: &[usize]) -> History {
    present
        .iter()
        .for_each(|node| history.record(60_000, status(*node, present)));
    history.sort();
    history
}

fn violated_rules(history: &History) -> Vec<&'static str> {
    judge(history, &membership_invariants())
        .into_iter()
        .map(|violation| violation.rule)
        .collect()
}

fn fault(history: &mut History, at_ms: u64, fault: Fault) {
    history.record(at_ms, HistoryEvent::Fault { fault });
}

#[test]
fn valid_history_passes_and_round_trips() {
    let history = with_final_views(valid_history(), &[0, 1, 2]);
    assert_eq!(violated_rules(&history), Vec::<&str>::new());
    assert_eq!(History::parse(&history.to_lines()).unwrap(), history);
    let corrupted = history.to_lines().replacen("kind", "knid", 1);
    assert!(History::parse(&corrupted).is_err_and(|error| error.to_string().starts_with("line 2")));
}

#[test]
fn death_without_a_cause_is_a_violation() {
    let mut history = valid_history();
    history.record(30_000, reported(0, "dead", 1, 0x10));
    history.record(30_200, reported(0, "back", 1, 0x10));
    assert_eq!(
        violated_rules(&with_final_views(history, &[0, 1, 2])),
        ["nobody wrongly declared dead"]
    );
}

#[test]
fn broken_link_does_not_justify_a_death_and_a_suspension_does() {
    let mut history = valid_history();
    fault(
        &mut history,
        20_000,
        Fault::Cut {
            from: vec![0],
            to: vec![1],
        },
    );
    history.record(25_000, reported(0, "dead", 1, 0x10));
    assert_eq!(
        violated_rules(&with_final_views(history, &[0, 1, 2])),
        ["nobody wrongly declared dead"]
    );
    let mut history = valid_history();
    fault(&mut history, 20_000, Fault::Suspend { nodes: vec![1] });
    history.record(25_000, reported(0, "dead", 1, 0x10));
    fault(&mut history, 26_000, Fault::Resume { nodes: vec![1] });
    assert_eq!(
        violated_rules(&with_final_views(history, &[0, 1, 2])),
        Vec::<&str>::new()
    );
}

#[test]
fn death_after_leave_is_a_violation() {
    let mut history = valid_history();
    fault(&mut history, 20_000, Fault::Leave { nodes: vec![2] });
    history.record(20_100, reported(0, "left", 2, 0x10));
    history.record(24_000, reported(1, "dead", 2, 0x10));
    assert_eq!(
        violated_rules(&with_final_views(history, &[0, 1])),
        ["left is not dead"]
    );
}

#[test]
fn decreasing_incarnation_is_a_violation() {
    let mut history = valid_history();
    history.record(20_000, reported(0, "alive", 2, 0x9));
    assert_eq!(
        violated_rules(&with_final_views(history, &[0, 1, 2])),
        ["incarnations go forward"]
    );
}

#[test]
fn death_declared_by_an_isolated_node_is_a_violation() {
    let mut history = valid_history();
    fault(
        &mut history,
        20_000,
        Fault::Cut {
            from: vec![0],
            to: vec![1, 2],
        },
    );
    fault(
        &mut history,
        20_000,
        Fault::Cut {
            from: vec![1, 2],
            to: vec![0],
        },
    );
    history.record(24_000, reported(0, "dead", 1, 0x10));
    fault(
        &mut history,
        30_000,
        Fault::Heal {
            from: vec![0],
            to: vec![1, 2],
        },
    );
    fault(
        &mut history,
        30_000,
        Fault::Heal {
            from: vec![1, 2],
            to: vec![0],
        },
    );
    assert_eq!(
        violated_rules(&with_final_views(history, &[0, 1, 2])),
        ["isolated, declares nobody dead"]
    );
}

#[test]
fn death_declared_by_a_just_resumed_node_is_a_violation() {
    let mut history = valid_history();
    fault(&mut history, 20_000, Fault::Suspend { nodes: vec![0] });
    fault(&mut history, 25_000, Fault::Resume { nodes: vec![0] });
    history.record(25_050, reported(0, "dead", 1, 0x10));
    assert_eq!(
        violated_rules(&with_final_views(history, &[0, 1, 2])),
        ["resumed, declares nobody dead"]
    );
}

#[test]
fn final_views_that_are_wrong_or_differ_are_violations() {
    let mut history = valid_history();
    fault(&mut history, 20_000, Fault::Kill { nodes: vec![2] });
    history.record(20_001, HistoryEvent::Ended { node: 2 });
    history.record(60_000, status(0, &[0, 1]));
    history.record(60_000, status(1, &[0, 1, 2]));
    assert_eq!(violated_rules(&history), ["in the end all agree"]);
    let mut history = with_final_views(valid_history(), &[0, 1, 2]);
    if let Some(HistoryEvent::Status { digest, .. }) =
        history.entries.last_mut().map(|entry| &mut entry.event)
    {
        *digest = "another".into();
    }
    assert_eq!(violated_rules(&history), ["in the end all agree"]);
}

#[test]
fn shrunk_script_keeps_the_faults_that_make_it_fail() {
    let timed = |at_ms, fault| TimedFault { at_ms, fault };
    let mut faults: Vec<TimedFault> = (0..20)
        .map(|index| timed(index, Fault::Suspend { nodes: vec![1] }))
        .collect();
    faults.insert(7, timed(7, Fault::Kill { nodes: vec![0] }));
    faults.insert(
        13,
        timed(
            13,
            Fault::Start {
                nodes: vec![0],
                clock_ms: 0,
            },
        ),
    );
    let script = Script {
        nodes: 3,
        duration_ms: 100,
        seed: 1,
        faults,
    };
    let still_fails = |script: &Script| {
        let has = |kind: fn(&Fault) -> bool| script.faults.iter().any(|timed| kind(&timed.fault));
        has(|fault| matches!(fault, Fault::Kill { .. }))
            && has(|fault| matches!(fault, Fault::Start { .. }))
    };
    let smallest = shrink(&script, 1_000, still_fails);
    assert_eq!(smallest.faults.len(), 2, "{smallest:?}");
}

#[test]
fn script_errors_name_the_path_of_the_key() {
    let invalid_scripts = [
        (r#"{"nodes": 0, "ms": 1}"#, "script.nodes"),
        (r#"{"nodes": 2, "ms": "x"}"#, "script.ms"),
        (
            r#"{"nodes": 2, "ms": 1, "faults": [{"at_ms": 1, "do": "kill", "nodes": [2]}]}"#,
            "script.faults[0]",
        ),
        (
            r#"{"nodes": 2, "ms": 1, "faults": [{"at_ms": 1, "do": "links", "loss": 2}]}"#,
            "script.faults[0]",
        ),
        (
            r#"{"nodes": 2, "ms": 1, "faults": [{"at_ms": 1, "do": "melt"}]}"#,
            "script.faults[0]",
        ),
    ];
    for (text, path) in invalid_scripts {
        let error = Script::parse(text).unwrap_err();
        assert!(error.to_string().starts_with(path), "{text}: {error}");
    }
    let seeded = Script::seeded(3, 5, 4);
    let text = serde_json::to_string(&seeded).unwrap();
    assert_eq!(Script::parse(&text).unwrap(), seeded);
}

#[test]
fn exceeded_budgets_are_found_and_possibly_earlier_admissions_are_not_counted() {
    let admitted = |sent: u64, ran: u64| AdmittedRequest { sent, ran };
    let even: Vec<AdmittedRequest> = (0..100)
        .map(|index| admitted(index * 10, index * 10 + 2))
        .collect();
    assert_eq!(rate_exceeded(&even, 100, 5), None);
    let mut exceeding = even.clone();
    exceeding.extend((0..6).map(|index| admitted(500 + index, 503 + index)));
    assert!(rate_exceeded(&exceeding, 100, 5).is_some());
    // The same six requests, sent long before they ran, may have been admitted at any time in between.
    let mut early = even.clone();
    early.truncate(50);
    early.extend((0..6).map(|index| admitted(100, 503 + index)));
    assert_eq!(rate_exceeded(&early, 120, 5), None);
    assert_eq!(
        concurrency_exceeded(&[(0, 10), (5, 15), (10, 20), (15, 30)], 2),
        None
    );
    assert!(concurrency_exceeded(&[(0, 10), (5, 15), (9, 20)], 2).is_some());
    assert!((utilization(&even, 100, 0, 1_000) - 1.0).abs() < 0.02);
}

/// A history with the keys and names of an earlier build parses to the same history, and its violation is found.
#[test]
fn history_of_an_earlier_build_is_checked_alike() {
    let mut history = valid_history();
    history.record(25_000, reported(0, "dead", 1, 0x10));
    let history = with_final_views(history, &[0, 1, 2]);
    let earlier_names = [
        ("\"incarnation\":", "\"life\":"),
        ("\"dead\"", "\"lost\""),
        ("\"kind\":\"member_change\"", "\"kind\":\"news\""),
        ("\"change\":", "\"word\":"),
        ("\"member\":", "\"of\":"),
    ];
    let mut earlier = history.to_lines();
    for (present, earlier_name) in earlier_names {
        let replaced = earlier.replace(present, earlier_name);
        assert_ne!(replaced, earlier, "{present} is not in the history");
        earlier = replaced;
    }
    let read = History::parse(&earlier).unwrap();
    assert_eq!(read, history);
    assert_eq!(violated_rules(&read), ["nobody wrongly declared dead"]);
}
