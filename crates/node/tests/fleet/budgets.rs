//! Budgets of a fleet of processes: never more than the limit, by the count of callers and server, whatever
//! dies, stops and is cut; and shown to be more when a safeguard is taken out of the program.

use std::time::Duration;

use doortrack_fakes::caller::{CallerOutcome, CallerRequest};
use doortrack_fakes::server::{Behavior, Disconnect, ReceivedRequest, Server};
use doortrack_fault_harness::load::{Load, LoadProfile, LoadReport};
use doortrack_fault_harness::processes::Rig;
use doortrack_fault_harness::script::{Fault, Script};
use doortrack_fault_harness::usage::{concurrency_exceeded, rate_exceeded, utilization};
use doortrack_node::commands::fleet::query_budgets;
use doortrack_node::peers::peer_message::BudgetStatus;
use doortrack_protocols::Protocol;
use serde_json::{Value, json};

use crate::{parted, program, script};

const NODES: usize = 5;
const LIMIT: u32 = 150;
const BURST: u32 = 50;
const CONCURRENCY: u32 = 5;
const HELD_MS: u32 = 400;

fn profile() -> LoadProfile {
    let ms = Duration::from_millis;
    LoadProfile {
        callers: 10,
        pause: ms(4),
        preferred_for: Some(ms(1_500)),
        run_time: ms(40),
    }
}

fn budgets(limit: u32) -> Value {
    let names: Vec<String> = (0..NODES).map(|of| format!("n{of}")).collect();
    json!({"fleet": {"voters": names}, "budgets": [
        {"name": "looks", "kind": "rate", "limit": limit, "burst": BURST, "reserved": 4,
            "for": {"group": "look"}},
        {"name": "pays", "kind": "concurrency", "limit": CONCURRENCY, "max_hold_ms": HELD_MS,
            "for": {"group": "pay"}}]})
}

fn with(mut one: Value, other: Value) -> Value {
    for (key, value) in other.as_object().into_iter().flatten() {
        one[key] = value.clone();
    }
    one
}

fn key() -> Option<[u8; 32]> {
    Some([0x5a; 32])
}

fn standing(rig: &Rig, of: usize) -> Vec<BudgetStatus> {
    query_budgets(rig.fleet_address(of), key()).unwrap().budgets
}

/// Waits until what a node says of the first budget is as wanted.
fn wait_for(rig: &Rig, of: usize, wanted: impl Fn(&BudgetStatus) -> bool) {
    let until = std::time::Instant::now() + Duration::from_secs(30);
    loop {
        let stands = standing(rig, of);
        if stands.first().is_some_and(&wanted) {
            return;
        }
        assert!(std::time::Instant::now() < until, "n{of}: {stands:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn play(script: &Script, words: &[&str]) -> LoadReport {
    play_with(script, words, profile(), &budgets(LIMIT))
}

fn play_with(script: &Script, words: &[&str], profile: LoadProfile, own: &Value) -> LoadReport {
    let mut load = Load::new(profile);
    let mut rig = Rig::new(program(), script.nodes, script.seed).unwrap();
    for of in 0..script.nodes {
        // Clocks go up to 2% apart, in turns ahead and behind.
        let drift = if of % 2 == 0 { 15_000 } else { -15_000 };
        let mut own = vec![format!("--test-drift-ppm={drift}")];
        own.extend(words.iter().map(|word| word.to_string()));
        rig.arguments.insert(of, own);
    }
    let more = with(own.clone(), load.installation());
    let more = |_: usize| more.clone();
    rig.start_clock();
    (0..script.nodes).for_each(|of| rig.start(of, of, &more(of)).unwrap());
    let fronts: Vec<_> = (0..script.nodes)
        .map(|of| rig.listener_address(of))
        .collect();
    load.start(&fronts, script.seed);
    let began = std::time::Instant::now();
    for timed in script.faults_by_time() {
        std::thread::sleep(Duration::from_millis(timed.at_ms).saturating_sub(began.elapsed()));
        rig.inject(&timed.fault, &more).unwrap();
    }
    std::thread::sleep(Duration::from_millis(script.duration_ms).saturating_sub(began.elapsed()));
    load.finish()
}

fn violations(report: &LoadReport) -> Vec<String> {
    let rate =
        rate_exceeded(&report.unkeyed, LIMIT, BURST).map(|what| format!("without a key: {what}"));
    let concurrency =
        concurrency_exceeded(&report.runs, CONCURRENCY).map(|what| format!("with a key: {what}"));
    rate.into_iter().chain(concurrency).collect()
}

fn halves(at: u64, till: u64) -> Vec<(u64, Fault)> {
    parted((vec![0, 1], vec![2, 3, 4]), at, till)
}

#[test]
fn leaders_die_holders_stop_and_halves_part_and_the_limit_is_never_exceeded() {
    let start = |nodes: Vec<usize>| Fault::Start { nodes, clock_ms: 0 };
    let mut faults = vec![
        (5_000, Fault::Kill { nodes: vec![0] }),
        (5_600, Fault::Kill { nodes: vec![1] }),
        (6_200, start(vec![0, 1])),
        (8_500, Fault::Suspend { nodes: vec![2] }),
        (11_200, Fault::Resume { nodes: vec![2] }),
        (
            16_500,
            Fault::Kill {
                nodes: vec![0, 1, 2, 3, 4],
            },
        ),
        (16_600, start(vec![0, 1, 2, 3, 4])),
        (17_000, Fault::Leave { nodes: vec![4] }),
        (18_600, start(vec![4])),
    ];
    faults.extend(halves(12_500, 15_500));
    let report = play(&script(NODES, 22_000, faults), &[]);
    let violations = violations(&report);
    assert!(violations.is_empty(), "{violations:#?}");
    // It was put to use: a good part of what a leader could grant, however slow the machine.
    assert!(
        report.unkeyed.len() > 300 && report.keyed.len() > 100,
        "{} {}",
        report.unkeyed.len(),
        report.keyed.len()
    );
}

/// Nine processes, five of which are replaced within 7 s, links rough, and one way to a voter cut.
#[test]
fn a_concurrency_of_three_and_a_rate_among_nine_that_are_released_in_seven_seconds() {
    let own = json!({"fleet": {"voters": ["n0", "n1", "n2", "n3", "n4"]}, "budgets": [
        {"name": "looks", "kind": "rate", "limit": LIMIT, "burst": BURST, "for": {"group": "look"}},
        {"name": "pays", "kind": "concurrency", "limit": 3, "max_hold_ms": HELD_MS,
            "for": {"group": "pay"}}]});
    let rough = Fault::Links {
        loss: 0.05,
        doubled: 0.1,
        garbled: 0.01,
        delay_ms: 10,
    };
    let others: Vec<usize> = vec![1, 2, 3, 4, 5, 6, 7, 8];
    let mut faults = vec![
        (4_000, rough),
        (
            5_000,
            Fault::Cut {
                from: others.clone(),
                to: vec![0],
            },
        ),
        (
            8_000,
            Fault::Heal {
                from: others,
                to: vec![0],
            },
        ),
    ];
    for nth in 0..5 {
        let at = 9_000 + 1_300 * nth as u64;
        faults.push((
            at,
            Fault::Leave {
                nodes: vec![nth + 2],
            },
        ));
        faults.push((
            at + 1_200,
            Fault::Start {
                nodes: vec![nth + 2],
                clock_ms: 0,
            },
        ));
    }
    let ms = Duration::from_millis;
    let profile = LoadProfile {
        preferred_for: Some(ms(1_000)),
        ..profile()
    };
    let report = play_with(&script(9, 19_000, faults), &[], profile, &own);
    assert_eq!(rate_exceeded(&report.unkeyed, LIMIT, BURST), None);
    assert_eq!(concurrency_exceeded(&report.runs, 3), None);
    // Each permit goes round: three, and yet most nodes had one.
    let fronts: std::collections::BTreeSet<usize> = report
        .requests
        .iter()
        .filter(|request| {
            request.keyed && matches!(request.answer, Some(CallerOutcome::Completed(_)))
        })
        .map(|request| request.node)
        .collect();
    assert!(
        fronts.len() >= 6 && report.keyed.len() > 50,
        "{fronts:?} {}",
        report.keyed.len()
    );
}

#[test]
fn without_a_majority_two_halves_use_more_than_the_limit() {
    let report = play(
        &script(NODES, 13_000, halves(4_000, 12_500)),
        &["--test-without", "majority"],
    );
    assert!(
        !violations(&report).is_empty(),
        "{} ran without a key",
        report.unkeyed.len()
    );
}

#[test]
fn allocations_are_granted_run_out_to_the_reserved_minimums_and_follow_a_lower_limit() {
    let mut rig = Rig::new(program(), NODES, 3).unwrap();
    let more = |_: usize| budgets(LIMIT);
    rig.start_clock();
    (0..NODES).for_each(|of| rig.start(of, of, &more(of)).unwrap());
    // All alike: a fifth each, and 4 of it set aside.
    (0..NODES).for_each(|of| {
        wait_for(&rig, of, |of| {
            of.allocation >= 24_000 && of.until_ms.is_some()
        })
    });
    // One node learns of a lower limit: all keep to it.
    rig.reload(3, &budgets(50)).unwrap();
    (0..NODES).for_each(|of| wait_for(&rig, of, |of| of.allocation <= 12_000));
    rig.reload(3, &budgets(LIMIT)).unwrap();
    (0..NODES).for_each(|of| wait_for(&rig, of, |of| of.allocation >= 24_000));
    // Other voters, or another kind under the name, change nothing under way: they need a start.
    let voters = with(budgets(20), json!({"fleet": {"voters": ["n3", "n4"]}}));
    rig.reload(3, &voters).unwrap();
    let mut other_kind = budgets(20);
    other_kind["budgets"][0] =
        json!({"name": "looks", "kind": "concurrency", "limit": 7, "for": {"group": "look"}});
    rig.reload(4, &other_kind).unwrap();
    std::thread::sleep(Duration::from_millis(500));
    (0..NODES).for_each(|of| {
        wait_for(&rig, of, |of| {
            of.allocation >= 24_000 && of.rate && of.limit == LIMIT
        })
    });
    // Most voters gone: the reserved minimums are left.
    rig.inject(
        &Fault::Kill {
            nodes: vec![0, 1, 2],
        },
        &more,
    )
    .unwrap();
    [3, 4].iter().for_each(|of| {
        wait_for(&rig, *of, |of| {
            of.allocation == 4_000 && of.until_ms.is_none()
        })
    });
    rig.inject(
        &Fault::Start {
            nodes: vec![0],
            clock_ms: 0,
        },
        &more,
    )
    .unwrap();
    [0, 3, 4]
        .iter()
        .for_each(|of| wait_for(&rig, *of, |of| of.allocation > 30_000));
    let status = std::process::Command::new(program())
        .args([
            "fleet",
            "status",
            "--json",
            "--peer",
            &rig.fleet_address(3).to_string(),
            "--key-file",
        ])
        .arg(rig.key_file())
        .output()
        .unwrap();
    let seen: Value = serde_json::from_slice(&status.stdout).unwrap();
    assert_eq!(seen["budgets"][0]["name"], "looks", "{seen}");
    assert!(
        seen["budgets"][0]["leader"].is_string() && seen["budgets"][1]["kind"] == "concurrency",
        "{seen}"
    );
}

#[test]
fn what_is_denied_for_a_budget_is_told_when_to_come_back() {
    let ms = Duration::from_millis;
    let mut load = Load::new(LoadProfile {
        callers: 4,
        pause: ms(1),
        preferred_for: None,
        run_time: ms(1),
    });
    let mut rig = Rig::new(program(), 1, 3).unwrap();
    // One node, whose reserved minimum is all there is.
    let own = json!({"fleet": {"voters": ["n0"]}, "budgets": [
        {"name": "looks", "kind": "rate", "limit": 20, "burst": 10, "reserved": 20,
            "for": {"pool": "servers"}}]});
    rig.start(0, 0, &with(own, load.installation())).unwrap();
    drop(doortrack_fakes::fixture::connect(rig.listener_address(0)));
    let began = doortrack_fakes::unix_ms();
    load.start(&[rig.listener_address(0)], 1);
    std::thread::sleep(ms(2_000));
    let report = load.finish();
    let all: Vec<_> = report
        .unkeyed
        .iter()
        .chain(&report.keyed)
        .copied()
        .collect();
    assert_eq!(rate_exceeded(&all, 20, 10), None);
    assert!(
        utilization(&all, 20, began, began + 2_000) > 0.5,
        "{}",
        all.len()
    );
    let rejected = report
        .requests
        .iter()
        .filter_map(|request| match &request.answer {
            Some(CallerOutcome::Rejected { retry_after, .. }) => Some(retry_after.unwrap_or(0)),
            _ => None,
        });
    let rejected: Vec<u64> = rejected.collect();
    assert!(
        rejected.len() > 20 && rejected.iter().any(|ms| *ms > 0),
        "{rejected:?}"
    );
}

/// All servers fail: each node by itself would retry far more than the fleet may.
#[test]
fn retries_of_all_nodes_together_keep_to_the_fleets_budget() {
    let breaks = |_: &ReceivedRequest| Behavior::Cut {
        body: Vec::new(),
        at: 0,
        how: Disconnect::Close,
    };
    let servers = [
        Server::start(Protocol::FastCgi, breaks),
        Server::start(Protocol::FastCgi, breaks),
    ];
    let mut rig = Rig::new(program(), 3, 3).unwrap();
    let own = json!({"fleet": {"voters": ["n0", "n1", "n2"]},
        "servers": {"protocol": "fastcgi", "at_once": 8,
            "addresses": servers.each_ref().map(|of| of.address.to_string()),
            "aside": {"failures": 1000}, "retries": {"share": 1.0, "burst": 1000, "tries": 3}},
        "budgets": [{"name": "again", "kind": "rate", "limit": 12, "burst": 6,
            "for": {"retries": "servers"}}]});
    (0..3).for_each(|of| rig.start(of, of, &own).unwrap());
    (0..3).for_each(|of| wait_for(&rig, of, |of| of.until_ms.is_some()));
    let began = doortrack_fakes::unix_ms();
    let mut load = Load::new(LoadProfile {
        callers: 6,
        pause: Duration::from_millis(5),
        ..profile()
    });
    load.start(
        &(0..3)
            .map(|of| rig.listener_address(of))
            .collect::<Vec<_>>(),
        2,
    );
    std::thread::sleep(Duration::from_millis(4_000));
    let requests = load.finish().requests.len();
    let lasted = doortrack_fakes::unix_ms() - began;
    let mut tries = std::collections::BTreeMap::new();
    for got in servers.iter().flat_map(Server::received) {
        *tries
            .entry(got.variable("HTTP_X_REQUEST_ID").map(<[u8]>::to_vec))
            .or_insert(0u64) += 1;
    }
    let retries: u64 = tries.values().map(|count| count - 1).sum();
    let most = 12.0 * (lasted + 1_000) as f64 / 1_000.0 + 6.0;
    assert!(
        retries as f64 <= most,
        "{retries} retries of {requests} requests, {most} at most"
    );
    assert!(
        retries > 10 && requests > 200,
        "{retries} retries of {requests} requests"
    );
}

fn seen(rig: &Rig, nth: u64, key: Option<&str>) -> CallerOutcome {
    let ask = CallerRequest::new(
        nth,
        if key.is_some() {
            "/svc/pay"
        } else {
            "/svc/look"
        },
        b"berth",
    );
    let ask = key.map_or(ask.clone(), |key| ask.with("HTTP_IDEMPOTENCY_KEY", key));
    ask.send(rig.listener_address(0), Protocol::FastCgi)
        .outcome()
}

/// Asks under new ids until one is completed; the id.
fn until_completed(rig: &Rig, key: Option<&str>) -> u64 {
    let until = std::time::Instant::now() + Duration::from_secs(30);
    for nth in 1.. {
        if matches!(seen(rig, nth, key), CallerOutcome::Completed(_)) {
            return nth;
        }
        assert!(std::time::Instant::now() < until, "nothing is ever taken");
        std::thread::sleep(Duration::from_millis(20));
    }
    unreachable!()
}

fn alone(server: &Server, answer_within_ms: u32, budget: Value) -> Rig {
    let mut rig = Rig::new(program(), 1, 3).unwrap();
    let own = json!({"fleet": {"voters": ["n0"]}, "budgets": [budget],
        "servers": {"protocol": "fastcgi", "addresses": [server.address.to_string()], "at_once": 8,
            "answer_within_ms": answer_within_ms, "aside": {"failures": 1000}, "retries": {"tries": 1}}});
    rig.start(0, 0, &own).unwrap();
    drop(doortrack_fakes::fixture::connect(rig.listener_address(0)));
    rig
}

#[test]
fn a_repeat_is_answered_while_its_budget_has_nothing_left() {
    let server = Server::start(Protocol::FastCgi, |_| Behavior::ok("done"));
    let budget = json!({"name": "pays", "kind": "rate", "limit": 1, "burst": 1, "reserved": 1,
        "for": {"group": "pay"}});
    let rig = alone(&server, 5_000, budget);
    let (key, other) = (
        "00112233445566778899aabbccddeeff",
        "ffeeddccbbaa99887766554433221100",
    );
    let first = until_completed(&rig, Some(key));
    // However slow the machine: several repeats for each new idempotency key that is rejected.
    let mut rejected = 0;
    for nth in (first + 1..).step_by(2).take(60) {
        assert_eq!(
            seen(&rig, nth, Some(key)),
            CallerOutcome::Completed(b"done".to_vec())
        );
        rejected += usize::from(matches!(
            seen(&rig, nth + 1, Some(other)),
            CallerOutcome::Rejected { .. }
        ));
    }
    assert!(rejected > 0, "the budget was never empty");
    assert!(
        server.received().len() <= 2,
        "{} runs of two keys",
        server.received().len()
    );
}

/// What a node gives up may go on in its server: its permit is free only once that is over.
#[test]
fn the_permit_of_a_run_that_was_given_up_is_held_on() {
    let server = Server::start(Protocol::FastCgi, |_| Behavior::Hang);
    let budget = json!({"name": "all", "kind": "concurrency", "limit": 1, "reserved": 1, "max_hold_ms": 3_000,
        "for": {"pool": "servers"}});
    let rig = alone(&server, 100, budget);
    let until = std::time::Instant::now() + Duration::from_secs(30);
    let mut nth = 0;
    while server.received().len() < 3 {
        nth += 1;
        assert!(!matches!(
            seen(&rig, nth, None),
            CallerOutcome::Completed(_)
        ));
        assert!(
            std::time::Instant::now() < until,
            "{} runs",
            server.received().len()
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    let at: Vec<u64> = server
        .received()
        .iter()
        .map(|got| got.received_at_ms)
        .collect();
    // Each waits for the permit of the one before, which was given up after 0.1 s.
    assert!(at.windows(2).all(|two| two[1] >= two[0] + 3_000), "{at:?}");
}
