//! A checker that cannot fail is none: each is shown a good history, and the same one tampered with.

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

fn status(node: usize, there: &[usize]) -> HistoryEvent {
    let member = |of: &usize| Member {
        name: node_name(*of),
        incarnation: "1".into(),
        state: "alive".into(),
    };
    let digest = format!("{there:?}");
    HistoryEvent::Status {
        node,
        isolated: false,
        digest,
        members: there.iter().map(member).collect(),
    }
}

/// Three nodes that start, and say so of one another.
fn good() -> History {
    let mut history = History {
        nodes: 3,
        entries: Vec::new(),
    };
    (0..3).for_each(|node| history.record(0, HistoryEvent::Began { node }));
    for node in 0..3 {
        (0..3)
            .filter(|of| *of != node)
            .for_each(|of| history.record(500, reported(node, "alive", of, 0x10)));
    }
    history
}

fn ended(mut history: History, there: &[usize]) -> History {
    there
        .iter()
        .for_each(|node| history.record(60_000, status(*node, there)));
    history.sort();
    history
}

fn violated(history: &History) -> Vec<&'static str> {
    judge(history, &membership_invariants())
        .into_iter()
        .map(|violation| violation.rule)
        .collect()
}

fn fault(history: &mut History, at_ms: u64, fault: Fault) {
    history.record(at_ms, HistoryEvent::Fault { fault });
}

#[test]
fn a_good_history_passes_and_reads_back() {
    let history = ended(good(), &[0, 1, 2]);
    assert_eq!(violated(&history), Vec::<&str>::new());
    assert_eq!(History::parse(&history.to_lines()).unwrap(), history);
    let torn = history.to_lines().replacen("kind", "knid", 1);
    assert!(History::parse(&torn).is_err_and(|error| error.to_string().starts_with("line 2")));
}

#[test]
fn a_loss_without_a_reason_is_found() {
    let mut history = good();
    history.record(30_000, reported(0, "dead", 1, 0x10));
    history.record(30_200, reported(0, "back", 1, 0x10));
    assert_eq!(
        violated(&ended(history, &[0, 1, 2])),
        ["nobody wrongly declared dead"]
    );
}

#[test]
fn one_broken_link_is_no_reason_and_a_stop_is_one() {
    let mut history = good();
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
        violated(&ended(history, &[0, 1, 2])),
        ["nobody wrongly declared dead"]
    );
    let mut history = good();
    fault(&mut history, 20_000, Fault::Suspend { nodes: vec![1] });
    history.record(25_000, reported(0, "dead", 1, 0x10));
    fault(&mut history, 26_000, Fault::Resume { nodes: vec![1] });
    assert_eq!(violated(&ended(history, &[0, 1, 2])), Vec::<&str>::new());
}

#[test]
fn one_that_left_and_is_declared_dead_is_found() {
    let mut history = good();
    fault(&mut history, 20_000, Fault::Leave { nodes: vec![2] });
    history.record(20_100, reported(0, "left", 2, 0x10));
    history.record(24_000, reported(1, "dead", 2, 0x10));
    assert_eq!(violated(&ended(history, &[0, 1])), ["left is not dead"]);
}

#[test]
fn an_earlier_incarnation_is_found() {
    let mut history = good();
    history.record(20_000, reported(0, "alive", 2, 0x9));
    assert_eq!(
        violated(&ended(history, &[0, 1, 2])),
        ["incarnations go forward"]
    );
}

#[test]
fn a_death_declared_by_one_that_is_isolated_is_found() {
    let mut history = good();
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
        violated(&ended(history, &[0, 1, 2])),
        ["isolated, declares nobody dead"]
    );
}

#[test]
fn a_death_declared_by_one_that_just_woke_is_found() {
    let mut history = good();
    fault(&mut history, 20_000, Fault::Suspend { nodes: vec![0] });
    fault(&mut history, 25_000, Fault::Resume { nodes: vec![0] });
    history.record(25_050, reported(0, "dead", 1, 0x10));
    assert_eq!(
        violated(&ended(history, &[0, 1, 2])),
        ["resumed, declares nobody dead"]
    );
}

#[test]
fn views_that_differ_from_who_runs_or_from_one_another_are_found() {
    let mut history = good();
    fault(&mut history, 20_000, Fault::Kill { nodes: vec![2] });
    history.record(20_001, HistoryEvent::Ended { node: 2 });
    history.record(60_000, status(0, &[0, 1]));
    history.record(60_000, status(1, &[0, 1, 2]));
    assert_eq!(violated(&history), ["in the end all agree"]);
    let mut history = ended(good(), &[0, 1, 2]);
    if let Some(HistoryEvent::Status { digest, .. }) =
        history.entries.last_mut().map(|entry| &mut entry.event)
    {
        *digest = "another".into();
    }
    assert_eq!(violated(&history), ["in the end all agree"]);
}

#[test]
fn the_smallest_script_keeps_what_makes_it_fail() {
    let put = |at_ms, fault| TimedFault { at_ms, fault };
    let mut faults: Vec<TimedFault> = (0..20)
        .map(|nth| put(nth, Fault::Suspend { nodes: vec![1] }))
        .collect();
    faults.insert(7, put(7, Fault::Kill { nodes: vec![0] }));
    faults.insert(
        13,
        put(
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
    let wanted = |script: &Script| {
        let has = |kind: fn(&Fault) -> bool| script.faults.iter().any(|timed| kind(&timed.fault));
        has(|fault| matches!(fault, Fault::Kill { .. }))
            && has(|fault| matches!(fault, Fault::Start { .. }))
    };
    let least = shrink(&script, 1_000, wanted);
    assert_eq!(least.faults.len(), 2, "{least:?}");
}

#[test]
fn a_script_tells_its_faults_by_their_paths() {
    let wrong = [
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
    for (text, path) in wrong {
        let error = Script::parse(text).unwrap_err();
        assert!(error.to_string().starts_with(path), "{text}: {error}");
    }
    let seeded = Script::seeded(3, 5, 4);
    let text = serde_json::to_string(&seeded).unwrap();
    assert_eq!(Script::parse(&text).unwrap(), seeded);
}

#[test]
fn more_than_a_budget_is_seen_and_what_may_have_passed_earlier_is_not() {
    let admitted = |sent: u64, ran: u64| AdmittedRequest { sent, ran };
    let even: Vec<AdmittedRequest> = (0..100)
        .map(|nth| admitted(nth * 10, nth * 10 + 2))
        .collect();
    assert_eq!(rate_exceeded(&even, 100, 5), None);
    let mut more = even.clone();
    more.extend((0..6).map(|nth| admitted(500 + nth, 503 + nth)));
    assert!(rate_exceeded(&more, 100, 5).is_some());
    // The same six, asked long before: they may have passed whenever there was room.
    let mut early = even.clone();
    early.truncate(50);
    early.extend((0..6).map(|nth| admitted(100, 503 + nth)));
    assert_eq!(rate_exceeded(&early, 120, 5), None);
    assert_eq!(
        concurrency_exceeded(&[(0, 10), (5, 15), (10, 20), (15, 30)], 2),
        None
    );
    assert!(concurrency_exceeded(&[(0, 10), (5, 15), (9, 20)], 2).is_some());
    assert!((utilization(&even, 100, 0, 1_000) - 1.0).abs() < 0.02);
}

/// What an earlier build wrote: its keys and words, a death among them that is no less wrong for its name.
#[test]
fn a_history_in_the_words_of_an_earlier_build_is_judged_alike() {
    let mut history = good();
    history.record(25_000, reported(0, "dead", 1, 0x10));
    let history = ended(history, &[0, 1, 2]);
    let earlier_words = [
        ("\"incarnation\":", "\"life\":"),
        ("\"dead\"", "\"lost\""),
        ("\"kind\":\"member_change\"", "\"kind\":\"news\""),
        ("\"change\":", "\"word\":"),
        ("\"member\":", "\"of\":"),
    ];
    let mut earlier = history.to_lines();
    for (present, before) in earlier_words {
        let replaced = earlier.replace(present, before);
        assert_ne!(replaced, earlier, "{present} is not written");
        earlier = replaced;
    }
    let read = History::parse(&earlier).unwrap();
    assert_eq!(read, history);
    assert_eq!(violated(&read), ["nobody wrongly declared dead"]);
}
