//! Tests fits, tables and log parsing with known values, and runs a small fleet of hollow nodes.

use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use doortrack_fault_harness::scale::added::quantile;
use doortrack_fault_harness::scale::command::ScaleReport;
use doortrack_fault_harness::scale::fit::{FitError, FittedSeries, fit};
use doortrack_fault_harness::scale::fleet::{Ports, Programs, RunningFleet};
use doortrack_fault_harness::scale::losses::{EXCUSE_WINDOW_MS, Outage, wrongly_lost};
use doortrack_fault_harness::scale::measure::{HEADER_BYTES, LinkRates};
use doortrack_fault_harness::scale::plan::FleetPlan;
use doortrack_fault_harness::scale::protocol::{HollowCommand, Loss};
use doortrack_fault_harness::scale::series::{Dimension, Point, Quantity, Role, Series};
use doortrack_fault_harness::scale::serving::{LinkCounts, link_counts};
use doortrack_fault_harness::scale::settle::is_steady;
use doortrack_fault_harness::scale::table::{format_number, text};
use serde_json::Value;

/// Long enough for a machine that runs other work at the same time.
const TIMEOUT: Duration = Duration::from_secs(60);
const HARNESS: &str = env!("CARGO_BIN_EXE_doortrack-harness");

fn points(of: &[(f64, f64)]) -> Vec<Point> {
    of.iter()
        .map(|(size, value)| Point {
            size: *size,
            value: *value,
        })
        .collect()
}

fn near(one: f64, other: f64) -> bool {
    (one - other).abs() < 1e-6 * other.abs().max(1.0)
}

#[test]
fn a_fit_recovers_a_known_line() {
    let line = fit(&points(&[
        (50.0, 110.0),
        (100.0, 210.0),
        (400.0, 810.0),
        (770.0, 1_550.0),
    ]))
    .unwrap();
    assert!(
        near(line.slope, 2.0) && near(line.intercept, 10.0),
        "{line:?}"
    );
    assert!(
        near(line.r_squared, 1.0) && line.slope_standard_error < 1e-6,
        "{line:?}"
    );
    assert!(!line.at(770.0).extrapolated && line.at(771.0).extrapolated);
    assert!(near(line.at(1_000.0).value, 2_010.0));
}

/// Computed by hand: the points (1, 2), (2, 4), (3, 5), (4, 4) have the line 2 + 0.7 x and a residual sum of
/// squares of 2.3.
#[test]
fn standard_errors_match_values_computed_by_hand() {
    let line = fit(&points(&[(1.0, 2.0), (2.0, 4.0), (3.0, 5.0), (4.0, 4.0)])).unwrap();
    assert!(
        near(line.slope, 0.7) && near(line.intercept, 2.0),
        "{line:?}"
    );
    assert!(
        near(line.residual_standard_error, 1.15_f64.sqrt()),
        "{line:?}"
    );
    assert!(
        near(line.slope_standard_error, (1.15_f64 / 5.0).sqrt()),
        "{line:?}"
    );
    assert!(near(line.r_squared, 2.45 / 4.75), "{line:?}");
}

#[test]
fn constant_values_fit_and_too_few_or_invalid_points_are_rejected() {
    let flat = fit(&points(&[(1.0, 3.0), (2.0, 3.0), (3.0, 3.0)])).unwrap();
    assert_eq!(
        (flat.slope, flat.intercept, flat.r_squared),
        (0.0, 3.0, 1.0)
    );
    let two = fit(&points(&[(1.0, 3.0), (2.0, 4.0), (2.0, 5.0)]));
    assert_eq!(two, Err(FitError::TooFewSizes { found: 2 }));
    let none = fit(&points(&[(1.0, f64::NAN), (2.0, 4.0), (3.0, 5.0)]));
    assert_eq!(none, Err(FitError::NotFinite));
}

fn series(points: Vec<Point>) -> Series {
    let (role, quantity) = (Role::Leader, Quantity::BytesInPerSecond);
    Series {
        role,
        quantity,
        dimension: Dimension::Nodes,
        held: "1 budgets".into(),
        points,
    }
}

#[test]
fn a_table_marks_extrapolated_values() {
    let measured = series(points(&[(50.0, 110.0), (100.0, 210.0), (400.0, 810.0)]));
    let beyond = text(&[FittedSeries::of(measured.clone(), Some(770.0))]);
    assert!(beyond.contains("by nodes, with 1 budgets"), "{beyond}");
    assert!(
        beyond.contains("leader") && beyond.contains("bytes_in_per_second"),
        "{beyond}"
    );
    assert!(beyond.contains("1550 at 770.0 (extrapolated)"), "{beyond}");
    let within = text(&[FittedSeries::of(measured, Some(400.0))]);
    assert!(within.contains("810.0 at 400.0 (within)"), "{within}");
    let alone = text(&[FittedSeries::of(
        series(points(&[(50.0, 110.0)])),
        Some(770.0),
    )]);
    assert!(!alone.contains("extrapolated"), "{alone}");
}

#[test]
fn numbers_have_four_significant_digits() {
    let all = [0.0, 0.012_346, 1.234_56, 123.456, 12_345.6, f64::NAN].map(format_number);
    assert_eq!(all, ["0.000", "0.01235", "1.235", "123.5", "12346", "-"]);
}

#[test]
fn quantiles_are_measured_values() {
    let hundred: Vec<f64> = (1..=100).map(f64::from).collect();
    assert_eq!(
        (quantile(&hundred, 0.5), quantile(&hundred, 0.99)),
        (50.0, 99.0)
    );
    assert_eq!((quantile(&[7.0], 0.99), quantile(&[], 0.5)), (7.0, 0.0));
}

#[test]
fn a_fleet_is_steady_once_two_rates_are_equal() {
    assert!(!is_steady(&[]) && !is_steady(&[100.0]));
    assert!(!is_steady(&[100.0, 100.0, 80.0]) && !is_steady(&[80.0, 100.0]));
    assert!(is_steady(&[500.0, 100.0, 95.0]) && is_steady(&[95.0, 97.0]));
}

#[test]
fn link_counters_are_parsed_from_the_log_and_converted_to_rates() {
    let line = r#"{"msg":"fleet summary","level":"INFO","received":40,"received_bytes":4000,"sent":20,
        "sent_bytes":1000,"unsent":0}"#;
    let after = link_counts(line).unwrap();
    let former = line.replace("fleet summary", "so far of the fleet");
    assert_eq!(link_counts(&former), Some(after));
    assert_eq!(
        after,
        LinkCounts {
            datagrams_in: 40,
            datagrams_out: 20,
            bytes_in: 4_000,
            bytes_out: 1_000
        }
    );
    assert_eq!(link_counts(r#"{"msg":"summary","received":40}"#), None);
    assert_eq!(link_counts(r#"{"msg":"so far","received":40}"#), None);
    assert_eq!(
        link_counts(r#"{"msg":"fleet summary","received":40}"#),
        None
    );
    assert_eq!(
        link_counts(r#"{"msg":"so far of the fleet","received":40}"#),
        None
    );
    assert_eq!(link_counts("no JSON"), None);
    let before = LinkCounts {
        datagrams_in: 0,
        datagrams_out: 0,
        bytes_in: 0,
        bytes_out: 0,
    };
    let rates = LinkRates::between(before, after, Duration::from_secs(2));
    assert!(
        near(rates.datagrams_in, 20.0) && near(rates.datagrams_out, 10.0),
        "{rates:?}"
    );
    assert!(
        near(rates.bytes_in, 2_000.0 + 20.0 * HEADER_BYTES as f64),
        "{rates:?}"
    );
    assert!(
        near(rates.bytes_out, 500.0 + 10.0 * HEADER_BYTES as f64),
        "{rates:?}"
    );
}

fn plan(ports: &Ports, nodes: usize) -> FleetPlan {
    FleetPlan {
        nodes,
        voters: 3,
        real: 0,
        budgets: 4,
        fleet_port: ports.fleet(),
        front_port: ports.front(),
        uses_per_second: 5,
        start_spread_ms: 100,
    }
}

#[test]
fn addresses_and_names_map_back_to_their_nodes() {
    let plan = plan(&Ports::hold().unwrap(), 770);
    for node in [0, 249, 250, 769] {
        assert_eq!(plan.node_at(plan.fleet_address(node)), Some(node));
        assert_eq!(plan.node_named(&plan.name(node)), Some(node));
    }
    assert_eq!(plan.node_at("127.0.0.1:7400".parse().unwrap()), None);
    assert_eq!(plan.node_named("node-0770"), None);
    let (installation, config) = plan.parsed(769).unwrap();
    assert_eq!(installation.budget_list(&config).len(), 4);
}

fn lost(by: usize, node: usize, unix_ms: u64) -> Loss {
    Loss {
        by,
        name: format!("node-{node:04}"),
        unix_ms,
    }
}

#[test]
fn only_an_outage_excuses_a_loss() {
    let plan = plan(&Ports::hold().unwrap(), 20);
    let outage = |nodes: &[usize], partitioned, from_unix_ms, until_unix_ms| Outage {
        nodes: nodes.iter().copied().collect(),
        partitioned,
        from_unix_ms,
        until_unix_ms,
    };
    let outages = [
        outage(&[7], false, 1_000, Some(2_000)),
        outage(&[8, 9], true, 50_000, None),
    ];
    let excused = [
        lost(1, 7, 1_500),
        lost(1, 7, 2_000 + EXCUSE_WINDOW_MS),
        lost(8, 1, 50_000),
        lost(1, 9, 60_000),
    ];
    let name = |name: &str| plan.node_named(name);
    assert_eq!(wrongly_lost(&excused, &outages, name), []);
    let wrong = [
        lost(1, 7, 999),
        lost(1, 7, 2_001 + EXCUSE_WINDOW_MS),
        lost(7, 1, 1_500),
        lost(8, 9, 60_000),
        lost(1, 2, 60_000),
        lost(8, 1, 49_999),
    ];
    assert_eq!(wrongly_lost(&wrong, &outages, name), wrong);
}

/// Waits until `wanted` returns true for the fleet.
fn until(fleet: &mut RunningFleet, what: &str, mut wanted: impl FnMut(&mut RunningFleet) -> bool) {
    let began = Instant::now();
    while !wanted(fleet) {
        assert!(began.elapsed() < TIMEOUT, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn hollow_nodes_form_a_fleet_with_a_leader_and_their_processes_end() {
    let ports = Ports::hold().unwrap();
    let programs = Programs {
        doortrack: "none".into(),
        harness: HARNESS.into(),
    };
    let mut fleet =
        RunningFleet::start(&programs, plan(&ports, 12), &Value::Null, |_| true).unwrap();
    assert!(
        fleet.wait_for_agreement(12, TIMEOUT).unwrap().is_some(),
        "views do not agree"
    );
    let before = fleet.sample().unwrap();
    let leader = before.nodes[0].leader.clone().unwrap();
    assert!(
        fleet.plan.is_voter(fleet.plan.node_named(&leader).unwrap()),
        "{leader}"
    );
    until(&mut fleet, "counters of all nodes grow", |fleet| {
        let now = fleet.node_samples().unwrap();
        let pairs = now.iter().zip(&before.nodes);
        pairs.into_iter().all(|(now, before)| {
            now.datagrams_in > before.datagrams_in && now.bytes_out > before.bytes_out
        })
    });
    fleet
        .ask_all(&HollowCommand::Kill { nodes: vec![5, 11] })
        .unwrap();
    until(&mut fleet, "two that died are lost", |fleet| {
        fleet.views_agree(10).unwrap()
    });
    let losses = fleet.take_losses().unwrap().into_iter();
    let mut lost: Vec<String> = losses.map(|loss| loss.name).collect();
    lost.sort_unstable();
    lost.dedup();
    assert_eq!(lost, ["node-0005", "node-0011"]);
    fleet
        .ask_all(&HollowCommand::Start { nodes: vec![5, 11] })
        .unwrap();
    until(&mut fleet, "two that came back are members", |fleet| {
        fleet.views_agree(12).unwrap()
    });
    let processes: Vec<u32> = fleet.hollow.iter().map(|process| process.pid()).collect();
    drop(fleet);
    assert!(
        processes
            .iter()
            .all(|pid| !Path::new(&format!("/proc/{pid}")).exists())
    );
}

#[test]
fn the_scale_command_ends_and_writes_its_report() {
    let file =
        std::env::temp_dir().join(format!("doortrack-scale-test-{}.json", std::process::id()));
    let words = [
        "scale",
        "--real",
        "0",
        "--voters",
        "3",
        "--nodes",
        "12",
        "--budgets",
        "0",
    ];
    let more = [
        "--start-spread",
        "0.1",
        "--settle",
        "0.1",
        "--settle-most",
        "1",
        "--window",
        "0.5",
        "--agree-within",
        "60",
    ];
    let run = Command::new(HARNESS)
        .args(words)
        .args(more)
        .arg("--json")
        .arg(&file)
        .output()
        .unwrap();
    let said = String::from_utf8_lossy(&run.stdout).into_owned();
    let text = std::fs::read_to_string(&file).unwrap();
    _ = std::fs::remove_file(&file);
    let report: ScaleReport = serde_json::from_str(&text).unwrap();
    assert_eq!(report.trials.len(), 1, "{said}");
    assert!(report.trials[0].agreed_after_ms.is_some(), "{said}");
    let value = |role, quantity| {
        let of = |one: &&FittedSeries| one.series.role == role && one.series.quantity == quantity;
        report
            .series
            .iter()
            .find(of)
            .map(|one| one.series.points[0].value)
    };
    assert!(
        value(Role::Node, Quantity::DatagramsInPerSecond).unwrap() > 0.0,
        "{said}"
    );
    assert!(
        value(Role::Node, Quantity::ResidentKilobytes).unwrap() > 0.0,
        "{said}"
    );
    assert!(said.contains("by nodes, with 1 budgets"), "{said}");
}

#[test]
fn a_size_smaller_than_voters_and_real_nodes_is_rejected() {
    let run = Command::new(HARNESS)
        .args(["scale", "--nodes", "10", "--budgets", "0"])
        .output()
        .unwrap();
    assert!(!run.status.success());
    let said = String::from_utf8_lossy(&run.stderr).into_owned();
    assert!(
        said.contains("10 nodes: 28 are voters and real ones"),
        "{said}"
    );
}
