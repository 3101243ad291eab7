//! The nodes of a fleet together never exceed a budget while nodes are killed or suspended and links are cut. Usage is
//! counted by callers and servers. With a safeguard disabled, the limit is exceeded, so the count does detect it.

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

use crate::{partition, program, script};

const NODES: usize = 5;
const LIMIT: u32 = 150;
const BURST: u32 = 50;
const CONCURRENCY: u32 = 5;
const MAX_HOLD_MS: u32 = 400;

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
    let names: Vec<String> = (0..NODES).map(|node| format!("n{node}")).collect();
    json!({"fleet": {"voters": names}, "budgets": [
        {"name": "looks", "kind": "rate", "limit": limit, "burst": BURST, "reserved": 4,
            "for": {"group": "look"}},
        {"name": "pays", "kind": "concurrency", "limit": CONCURRENCY, "max_hold_ms": MAX_HOLD_MS,
            "for": {"group": "pay"}}]})
}

/// Overwrites keys of a JSON object with those of another.
fn merged(mut one: Value, other: Value) -> Value {
    for (key, value) in other.as_object().into_iter().flatten() {
        one[key] = value.clone();
    }
    one
}

fn key() -> Option<[u8; 32]> {
    Some([0x5a; 32])
}

fn budget_status(rig: &Rig, node: usize) -> Vec<BudgetStatus> {
    query_budgets(rig.fleet_address(node), key())
        .unwrap()
        .budgets
}

/// Waits until a node reports the wanted status of the first budget.
fn wait_for_status(rig: &Rig, node: usize, wanted: impl Fn(&BudgetStatus) -> bool) {
    let deadline = std::time::Instant::now() + Duration::from_secs(30);
    loop {
        let budgets = budget_status(rig, node);
        if budgets.first().is_some_and(&wanted) {
            return;
        }
        assert!(std::time::Instant::now() < deadline, "n{node}: {budgets:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn run(script: &Script, extra_arguments: &[&str]) -> LoadReport {
    run_with(script, extra_arguments, profile(), &budgets(LIMIT))
}

/// Runs a script under load, with these further arguments and settings for every node.
fn run_with(
    script: &Script,
    extra_arguments: &[&str],
    profile: LoadProfile,
    settings: &Value,
) -> LoadReport {
    let mut load = Load::new(profile);
    let mut rig = Rig::new(program(), script.nodes, script.seed).unwrap();
    for node in 0..script.nodes {
        // Clocks run 1.5% too fast and too slow in turn.
        let drift = if node % 2 == 0 { 15_000 } else { -15_000 };
        let mut node_arguments = vec![format!("--test-drift-ppm={drift}")];
        node_arguments.extend(extra_arguments.iter().map(|argument| argument.to_string()));
        rig.arguments.insert(node, node_arguments);
    }
    let installation = merged(settings.clone(), load.installation());
    let installation = |_: usize| installation.clone();
    rig.start_clock();
    (0..script.nodes).for_each(|node| rig.start(node, node, &installation(node)).unwrap());
    let listeners: Vec<_> = (0..script.nodes)
        .map(|node| rig.listener_address(node))
        .collect();
    load.start(&listeners, script.seed);
    let started = std::time::Instant::now();
    for timed in script.faults_by_time() {
        std::thread::sleep(Duration::from_millis(timed.at_ms).saturating_sub(started.elapsed()));
        rig.inject(&timed.fault, &installation).unwrap();
    }
    std::thread::sleep(Duration::from_millis(script.duration_ms).saturating_sub(started.elapsed()));
    load.finish()
}

fn violations(report: &LoadReport) -> Vec<String> {
    let rate = rate_exceeded(&report.unkeyed, LIMIT, BURST)
        .map(|violation| format!("without a key: {violation}"));
    let concurrency = concurrency_exceeded(&report.runs, CONCURRENCY)
        .map(|violation| format!("with a key: {violation}"));
    rate.into_iter().chain(concurrency).collect()
}

/// Cuts the links between nodes 0 and 1 and the others from `at` until `heal_at`, in ms.
fn partition_in_halves(at: u64, heal_at: u64) -> Vec<(u64, Fault)> {
    partition((vec![0, 1], vec![2, 3, 4]), at, heal_at)
}

#[test]
fn limits_hold_while_leaders_are_killed_holders_suspended_and_halves_partitioned() {
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
    faults.extend(partition_in_halves(12_500, 15_500));
    let report = run(&script(NODES, 22_000, faults), &[]);
    let violations = violations(&report);
    assert!(violations.is_empty(), "{violations:#?}");
    // A good part of what a leader can grant was used, however slow the machine.
    assert!(
        report.unkeyed.len() > 300 && report.keyed.len() > 100,
        "{} {}",
        report.unkeyed.len(),
        report.keyed.len()
    );
}

/// Five of nine processes are restarted within 7 s, links lose and delay datagrams, and those to one voter are cut.
#[test]
fn limits_hold_among_nine_nodes_of_which_five_are_restarted_in_seven_seconds() {
    let settings = json!({"fleet": {"voters": ["n0", "n1", "n2", "n3", "n4"]}, "budgets": [
        {"name": "looks", "kind": "rate", "limit": LIMIT, "burst": BURST, "for": {"group": "look"}},
        {"name": "pays", "kind": "concurrency", "limit": 3, "max_hold_ms": MAX_HOLD_MS,
            "for": {"group": "pay"}}]});
    let faulty = Fault::Links {
        loss: 0.05,
        doubled: 0.1,
        garbled: 0.01,
        delay_ms: 10,
    };
    let others: Vec<usize> = vec![1, 2, 3, 4, 5, 6, 7, 8];
    let mut faults = vec![
        (4_000, faulty),
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
    for index in 0..5 {
        let at = 9_000 + 1_300 * index as u64;
        faults.push((
            at,
            Fault::Leave {
                nodes: vec![index + 2],
            },
        ));
        faults.push((
            at + 1_200,
            Fault::Start {
                nodes: vec![index + 2],
                clock_ms: 0,
            },
        ));
    }
    let ms = Duration::from_millis;
    let profile = LoadProfile {
        preferred_for: Some(ms(1_000)),
        ..profile()
    };
    let report = run_with(&script(9, 19_000, faults), &[], profile, &settings);
    assert_eq!(rate_exceeded(&report.unkeyed, LIMIT, BURST), None);
    assert_eq!(concurrency_exceeded(&report.runs, 3), None);
    // The three permits move between the nodes, so most nodes have had one.
    let served_nodes: std::collections::BTreeSet<usize> = report
        .requests
        .iter()
        .filter(|request| {
            request.keyed && matches!(request.answer, Some(CallerOutcome::Completed(_)))
        })
        .map(|request| request.node)
        .collect();
    assert!(
        served_nodes.len() >= 6 && report.keyed.len() > 50,
        "{served_nodes:?} {}",
        report.keyed.len()
    );
}

#[test]
fn without_the_majority_check_two_halves_exceed_the_limit() {
    let report = run(
        &script(NODES, 13_000, partition_in_halves(4_000, 12_500)),
        &["--test-without", "majority"],
    );
    assert!(
        !violations(&report).is_empty(),
        "{} runs without a key",
        report.unkeyed.len()
    );
}

#[test]
fn allocations_are_granted_follow_a_lower_limit_and_expire_to_the_reserved_minimums() {
    let mut rig = Rig::new(program(), NODES, 3).unwrap();
    let installation = |_: usize| budgets(LIMIT);
    rig.start_clock();
    (0..NODES).for_each(|node| rig.start(node, node, &installation(node)).unwrap());
    // Without load, each node gets a fifth of the limit, which includes its reserved 4.
    (0..NODES).for_each(|node| {
        wait_for_status(&rig, node, |budget| {
            budget.allocation >= 24_000 && budget.until_ms.is_some()
        })
    });
    // A lower limit that one node reloads applies to all.
    rig.reload(3, &budgets(50)).unwrap();
    (0..NODES).for_each(|node| wait_for_status(&rig, node, |budget| budget.allocation <= 12_000));
    rig.reload(3, &budgets(LIMIT)).unwrap();
    (0..NODES).for_each(|node| wait_for_status(&rig, node, |budget| budget.allocation >= 24_000));
    // Other voters, or another kind of a budget, take effect only at a restart.
    let voters = merged(budgets(20), json!({"fleet": {"voters": ["n3", "n4"]}}));
    rig.reload(3, &voters).unwrap();
    let mut other_kind = budgets(20);
    other_kind["budgets"][0] =
        json!({"name": "looks", "kind": "concurrency", "limit": 7, "for": {"group": "look"}});
    rig.reload(4, &other_kind).unwrap();
    std::thread::sleep(Duration::from_millis(500));
    (0..NODES).for_each(|node| {
        wait_for_status(&rig, node, |budget| {
            budget.allocation >= 24_000 && budget.rate && budget.limit == LIMIT
        })
    });
    // Without a majority of voters only the reserved minimums remain.
    rig.inject(
        &Fault::Kill {
            nodes: vec![0, 1, 2],
        },
        &installation,
    )
    .unwrap();
    [3, 4].iter().for_each(|node| {
        wait_for_status(&rig, *node, |budget| {
            budget.allocation == 4_000 && budget.until_ms.is_none()
        })
    });
    rig.inject(
        &Fault::Start {
            nodes: vec![0],
            clock_ms: 0,
        },
        &installation,
    )
    .unwrap();
    [0, 3, 4]
        .iter()
        .for_each(|node| wait_for_status(&rig, *node, |budget| budget.allocation > 30_000));
    let output = std::process::Command::new(program())
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
    let status: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(status["budgets"][0]["name"], "looks", "{status}");
    assert!(
        status["budgets"][0]["leader"].is_string() && status["budgets"][1]["kind"] == "concurrency",
        "{status}"
    );
}

#[test]
fn requests_rejected_by_a_budget_carry_a_retry_time() {
    let ms = Duration::from_millis;
    let mut load = Load::new(LoadProfile {
        callers: 4,
        pause: ms(1),
        preferred_for: None,
        run_time: ms(1),
    });
    let mut rig = Rig::new(program(), 1, 3).unwrap();
    // One node, whose reserved minimum is the whole limit.
    let settings = json!({"fleet": {"voters": ["n0"]}, "budgets": [
        {"name": "looks", "kind": "rate", "limit": 20, "burst": 10, "reserved": 20,
            "for": {"pool": "servers"}}]});
    rig.start(0, 0, &merged(settings, load.installation()))
        .unwrap();
    drop(doortrack_fakes::fixture::connect(rig.listener_address(0)));
    let started_at = doortrack_fakes::unix_ms();
    load.start(&[rig.listener_address(0)], 1);
    std::thread::sleep(ms(2_000));
    let report = load.finish();
    let admitted: Vec<_> = report
        .unkeyed
        .iter()
        .chain(&report.keyed)
        .copied()
        .collect();
    assert_eq!(rate_exceeded(&admitted, 20, 10), None);
    assert!(
        utilization(&admitted, 20, started_at, started_at + 2_000) > 0.5,
        "{}",
        admitted.len()
    );
    let retry_times = report
        .requests
        .iter()
        .filter_map(|request| match &request.answer {
            Some(CallerOutcome::Rejected { retry_after, .. }) => Some(retry_after.unwrap_or(0)),
            _ => None,
        });
    let retry_times: Vec<u64> = retry_times.collect();
    assert!(
        retry_times.len() > 20 && retry_times.iter().any(|ms| *ms > 0),
        "{retry_times:?}"
    );
}

/// All servers fail, so each node alone would retry far more than the budget of the fleet allows.
#[test]
fn retries_of_all_nodes_together_stay_within_the_budget_of_the_fleet() {
    let close_connection = |_: &ReceivedRequest| Behavior::Cut {
        body: Vec::new(),
        at: 0,
        how: Disconnect::Close,
    };
    let servers = [
        Server::start(Protocol::FastCgi, close_connection),
        Server::start(Protocol::FastCgi, close_connection),
    ];
    let mut rig = Rig::new(program(), 3, 3).unwrap();
    let installation = json!({"fleet": {"voters": ["n0", "n1", "n2"]},
        "servers": {"protocol": "fastcgi", "at_once": 8,
            "addresses": servers.each_ref().map(|server| server.address.to_string()),
            "aside": {"failures": 1000}, "retries": {"share": 1.0, "burst": 1000, "tries": 3}},
        "budgets": [{"name": "again", "kind": "rate", "limit": 12, "burst": 6,
            "for": {"retries": "servers"}}]});
    (0..3).for_each(|node| rig.start(node, node, &installation).unwrap());
    (0..3).for_each(|node| wait_for_status(&rig, node, |budget| budget.until_ms.is_some()));
    let started_at = doortrack_fakes::unix_ms();
    let mut load = Load::new(LoadProfile {
        callers: 6,
        pause: Duration::from_millis(5),
        ..profile()
    });
    load.start(
        &(0..3)
            .map(|node| rig.listener_address(node))
            .collect::<Vec<_>>(),
        2,
    );
    std::thread::sleep(Duration::from_millis(4_000));
    let requests = load.finish().requests.len();
    let elapsed_ms = doortrack_fakes::unix_ms() - started_at;
    let mut attempts = std::collections::BTreeMap::new();
    for request in servers.iter().flat_map(Server::received) {
        *attempts
            .entry(request.variable("HTTP_X_REQUEST_ID").map(<[u8]>::to_vec))
            .or_insert(0u64) += 1;
    }
    let retries: u64 = attempts.values().map(|count| count - 1).sum();
    let max_retries = 12.0 * (elapsed_ms + 1_000) as f64 / 1_000.0 + 6.0;
    assert!(
        retries as f64 <= max_retries,
        "{retries} retries of {requests} requests, at most {max_retries} allowed"
    );
    assert!(
        retries > 10 && requests > 200,
        "{retries} retries of {requests} requests"
    );
}

/// Sends one request, under an idempotency key if there is one.
fn send(rig: &Rig, attempt_number: u64, key: Option<&str>) -> CallerOutcome {
    let request = CallerRequest::new(
        attempt_number,
        if key.is_some() {
            "/svc/pay"
        } else {
            "/svc/look"
        },
        b"body",
    );
    let request = key.map_or(request.clone(), |key| {
        request.with("HTTP_IDEMPOTENCY_KEY", key)
    });
    request
        .send(rig.listener_address(0), Protocol::FastCgi)
        .outcome()
}

/// Sends requests with new attempt numbers until one is completed, and returns its number.
fn send_until_completed(rig: &Rig, key: Option<&str>) -> u64 {
    let deadline = std::time::Instant::now() + Duration::from_secs(30);
    for attempt_number in 1.. {
        if matches!(send(rig, attempt_number, key), CallerOutcome::Completed(_)) {
            return attempt_number;
        }
        assert!(
            std::time::Instant::now() < deadline,
            "no request was completed"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    unreachable!()
}

/// Starts one node that is the whole fleet, with one server and one budget.
fn start_single_node(server: &Server, answer_within_ms: u32, budget: Value) -> Rig {
    let mut rig = Rig::new(program(), 1, 3).unwrap();
    let installation = json!({"fleet": {"voters": ["n0"]}, "budgets": [budget],
        "servers": {"protocol": "fastcgi", "addresses": [server.address.to_string()], "at_once": 8,
            "answer_within_ms": answer_within_ms, "aside": {"failures": 1000}, "retries": {"tries": 1}}});
    rig.start(0, 0, &installation).unwrap();
    drop(doortrack_fakes::fixture::connect(rig.listener_address(0)));
    rig
}

#[test]
fn a_duplicate_is_answered_while_its_budget_is_exhausted() {
    let server = Server::start(Protocol::FastCgi, |_| Behavior::ok("done"));
    let budget = json!({"name": "pays", "kind": "rate", "limit": 1, "burst": 1, "reserved": 1,
        "for": {"group": "pay"}});
    let rig = start_single_node(&server, 5_000, budget);
    let (key, other_key) = (
        "00112233445566778899aabbccddeeff",
        "ffeeddccbbaa99887766554433221100",
    );
    let first = send_until_completed(&rig, Some(key));
    // Sends duplicates in turn with requests under a new key, some of which are rejected, however slow the machine.
    let mut rejected = 0;
    for attempt_number in (first + 1..).step_by(2).take(60) {
        assert_eq!(
            send(&rig, attempt_number, Some(key)),
            CallerOutcome::Completed(b"done".to_vec())
        );
        rejected += usize::from(matches!(
            send(&rig, attempt_number + 1, Some(other_key)),
            CallerOutcome::Rejected { .. }
        ));
    }
    assert!(rejected > 0, "the budget was never exhausted");
    assert!(
        server.received().len() <= 2,
        "{} runs under two keys",
        server.received().len()
    );
}

/// A run that the node has given up may still execute in its server, so its permit stays held for `max_hold_ms`.
#[test]
fn the_permit_of_an_abandoned_run_stays_held() {
    let server = Server::start(Protocol::FastCgi, |_| Behavior::Hang);
    let budget = json!({"name": "all", "kind": "concurrency", "limit": 1, "reserved": 1, "max_hold_ms": 3_000,
        "for": {"pool": "servers"}});
    let rig = start_single_node(&server, 100, budget);
    let deadline = std::time::Instant::now() + Duration::from_secs(30);
    let mut attempt_number = 0;
    while server.received().len() < 3 {
        attempt_number += 1;
        assert!(!matches!(
            send(&rig, attempt_number, None),
            CallerOutcome::Completed(_)
        ));
        assert!(
            std::time::Instant::now() < deadline,
            "{} runs",
            server.received().len()
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    let received_at: Vec<u64> = server
        .received()
        .iter()
        .map(|request| request.received_at_ms)
        .collect();
    // Each run waits for the permit of the one before, which was given up after 0.1 s.
    assert!(
        received_at
            .windows(2)
            .all(|pair| pair[1] >= pair[0] + 3_000),
        "{received_at:?}"
    );
}
