//! Checks that the generated settings are valid, deterministic and vary in only one dimension, and that outcomes
//! and logs are counted correctly.

use std::net::SocketAddr;
use std::time::Duration;

use doortrack_config::{Installation, NodeConfig, installation, node_config};
use doortrack_expr::{LiteralRequest, Scratch};
use doortrack_fault_harness::scale::fit::fit;
use doortrack_fault_harness::scale::node_cost::caller::{Outcome, Outcomes, paced};
use doortrack_fault_harness::scale::node_cost::process::Log;
use doortrack_fault_harness::scale::node_cost::settings::{
    Addresses, KEYED_PATH, Size, configuration, installation, installation_changed, probe_path,
    request_path, tenant, unchanged_path,
};
use doortrack_fault_harness::scale::series::{Dimension, Point};
use doortrack_routes::{Classification, Table};

fn addresses() -> Addresses {
    let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
    Addresses {
        listen: at(1),
        front: at(2),
        fleet: at(3),
        registry: at(4),
        server: at(5),
    }
}

fn read(size: &Size) -> (NodeConfig, Installation) {
    let configuration = configuration("n1", size, &addresses()).to_string();
    let installation = installation("n1", size, &addresses()).to_string();
    let config = node_config::parse(configuration.as_bytes()).unwrap();
    let installation = installation::parse(installation.as_bytes()).unwrap();
    installation.validate_with(&config).unwrap();
    (config, installation)
}

fn sizes() -> Vec<Size> {
    let one = |dimension, size| Size::BASELINE.with(dimension, size);
    vec![
        Size::BASELINE,
        one(Dimension::Routes, 0),
        one(Dimension::Routes, 3_400),
        one(Dimension::Tenants, 200),
        one(Dimension::Services, 1),
        one(Dimension::Services, 65),
        one(Dimension::Budgets, 0),
        one(Dimension::Budgets, 250),
    ]
}

#[test]
fn generated_settings_are_valid_and_have_the_requested_size() {
    for size in sizes() {
        let (config, installation) = read(&size);
        assert_eq!(installation.rules.len(), size.routes, "{size:?}");
        assert_eq!(config.settings.tenant_names.len(), size.tenants, "{size:?}");
        assert_eq!(
            installation.pools_with_paths().count(),
            size.services,
            "{size:?}"
        );
        assert_eq!(
            installation.fleet.is_some(),
            size.budgets.is_some(),
            "{size:?}"
        );
        assert_eq!(
            installation.budgets.len(),
            size.budgets.unwrap_or(0),
            "{size:?}"
        );
    }
}

#[test]
fn generated_settings_are_deterministic() {
    for size in sizes() {
        let both = || {
            (
                configuration("n1", &size, &addresses()),
                installation("n1", &size, &addresses()),
            )
        };
        assert_eq!(both(), both());
    }
}

#[test]
fn one_dimension_varies_and_the_others_stay_fixed() {
    let grown = Size::BASELINE.with(Dimension::Routes, 3_400);
    assert_eq!(
        Size {
            routes: Size::BASELINE.routes,
            ..grown
        },
        Size::BASELINE
    );
    let held = grown.held_beside(Dimension::Routes);
    assert_eq!(held, "2000 tenants, 10 pools, 50 callers, no fleet");
}

#[test]
fn more_pools_than_the_maximum_are_rejected() {
    let size = Size::BASELINE.with(Dimension::Services, 150);
    let text = installation("n1", &size, &addresses()).to_string();
    let faults = installation::parse(text.as_bytes()).unwrap_err();
    assert!(
        faults.to_string().contains("installation.pools"),
        "{faults}"
    );
}

fn table(size: &Size, installation: &Installation) -> Table {
    let (config, _) = read(size);
    installation.table(&config.settings).unwrap().unwrap().table
}

fn group_of(table: &Table, path: &str) -> Option<u8> {
    let request = LiteralRequest {
        path: path.into(),
        method: "POST".into(),
        ..LiteralRequest::default()
    };
    match table.classify(&request, &mut Scratch::default()) {
        Classification::Matched(class) => Some(class.group),
        Classification::Rejected { .. } | Classification::NoRule => None,
    }
}

#[test]
fn every_request_of_the_load_matches_a_rule() {
    for routes in [340, 3_400] {
        let size = Size::BASELINE.with(Dimension::Routes, routes);
        let table = table(&size, &read(&size).1);
        for nth in 0..2 * routes {
            let path = request_path(&size, nth);
            assert_eq!(group_of(&table, &path), Some(0), "{path}");
        }
        assert_eq!(group_of(&table, KEYED_PATH), Some(1));
    }
}

#[test]
fn the_change_affects_only_the_last_rule_and_rejects_its_requests() {
    for size in [Size::BASELINE, Size::BASELINE.with(Dimension::Routes, 0)] {
        let before = installation("n1", &size, &addresses());
        let after = installation_changed(&before);
        let parse =
            |text: &serde_json::Value| installation::parse(text.to_string().as_bytes()).unwrap();
        let (old, new) = (parse(&before), parse(&after));
        let kept = size.routes.saturating_sub(1);
        assert_eq!(new.rules.len(), size.routes.max(1));
        assert_eq!(old.rules[..kept], new.rules[..kept]);
        let (probe, other) = (probe_path(&size), unchanged_path(&size));
        assert_eq!(group_of(&table(&size, &new), probe), None);
        match size.routes {
            0 => assert_eq!(new.fallback_group.as_deref(), Some("look")),
            _ => {
                assert_eq!(group_of(&table(&size, &old), probe), Some(0));
                assert_eq!(group_of(&table(&size, &new), &other), Some(0));
            }
        }
    }
}

#[test]
fn tenant_names_are_unique() {
    assert_eq!(tenant(7), "tenant-7");
    assert_ne!(tenant(1), tenant(11));
}

#[test]
fn the_whole_log_is_counted_and_its_end_is_kept() {
    let mut log = Log::default();
    (0..100).for_each(|nth| log.append(format!("line é {nth}\n").as_bytes()));
    assert_eq!(log.lines, 100);
    assert_eq!(log.bytes, 100 * "line é ".len() as u64 + 10 * 2 + 90 * 3);
    assert!(
        log.tail.ends_with("line é 99\n") && log.tail.len() <= 600,
        "{}",
        log.tail
    );
}

#[test]
fn each_outcome_is_counted_once() {
    let mut outcomes = Outcomes::default();
    for outcome in [
        Ok(Outcome::Completed),
        Ok(Outcome::Rejected),
        Ok(Outcome::Refused),
        Ok(Outcome::Failed),
        Ok(Outcome::Unreadable(404)),
        Err(std::io::ErrorKind::UnexpectedEof.into()),
    ] {
        outcomes.count(&outcome);
    }
    let one_each = Outcomes {
        completed: 1,
        rejected: 1,
        refused: 1,
        failed: 1,
        unreadable: 1,
        unanswered: 1,
    };
    assert_eq!(outcomes, one_each);
    outcomes.add(&one_each);
    assert_eq!(outcomes.all(), 12);
}

#[test]
fn a_fit_recovers_the_line_of_collinear_points() {
    let points: Vec<Point> = [0.0, 340.0, 850.0, 3_400.0]
        .map(|size| Point {
            size,
            value: 12.5 + 0.25 * size,
        })
        .into();
    let line = fit(&points).unwrap();
    assert!(
        (line.intercept - 12.5).abs() < 1e-6 && (line.slope - 0.25).abs() < 1e-9,
        "{line:?}"
    );
    assert!(line.r_squared > 0.999_999);
    assert!(fit(&points[..2]).is_err());
}

#[test]
fn paced_calls_are_complete_and_in_order() {
    let mut turns = Vec::new();
    paced(1_000.0, Duration::from_millis(20), |nth, _| turns.push(nth));
    assert_eq!(turns, (0..20).collect::<Vec<_>>());
}
