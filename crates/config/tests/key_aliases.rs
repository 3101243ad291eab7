//! Keys of the installation file from earlier versions are accepted as aliases of the current ones.

use doortrack_config::installation::parse;

const CURRENT: &str = r#"{
    "fleet": {"name": "delta", "listen": "127.0.0.1:7401", "voters": ["n1", "n2", "n3"],
        "times": {"suspicion_min_ms": 300, "suspicion_max_ms": 900}},
    "budgets": [
        {"name": "rate", "kind": "rate", "limit": 600, "burst": 120, "for": {"customer": "east-quay"},
            "reserved": 20, "reserved_for": ["n1", "n2"], "max_per_node": 400},
        {"name": "held", "kind": "concurrency", "limit": 40, "for": {"group": "pay"},
            "max_hold_ms": 5000}]}"#;

const EARLIER: &str = r#"{
    "fleet": {"name": "delta", "listen": "127.0.0.1:7401", "voters": ["n1", "n2", "n3"],
        "times": {"doubt_least_ms": 300, "doubt_most_ms": 900}},
    "budgets": [
        {"name": "rate", "kind": "rate", "whole": 600, "burst": 120, "for": {"customer": "east-quay"},
            "floor": 20, "floors_for": ["n1", "n2"], "most": 400},
        {"name": "held", "kind": "places", "whole": 40, "for": {"group": "pay"}, "held_most_ms": 5000}]}"#;

#[test]
fn a_file_with_earlier_keys_gives_the_same_installation() {
    let current = parse(CURRENT.as_bytes()).unwrap();
    assert_eq!(parse(EARLIER.as_bytes()).unwrap(), current);
    let times = current.fleet.as_ref().unwrap().times;
    assert_eq!((times.suspicion_min_ms, times.suspicion_max_ms), (300, 900));
    let budget = &current.budgets[0];
    assert_eq!(
        (budget.limit, budget.reserved, budget.max_per_node),
        (600, 20, Some(400))
    );
    assert_eq!(budget.reserved_for.as_ref().map(Vec::len), Some(2));
    assert_eq!(current.budgets[1].max_hold_ms, Some(5_000));
}

#[test]
fn a_key_under_both_names_is_rejected() {
    let both = EARLIER.replace("\"whole\": 600", "\"whole\": 600, \"limit\": 600");
    let errors = parse(both.as_bytes()).unwrap_err();
    assert!(
        errors.to_string().contains("installation.budgets[0]"),
        "{errors}"
    );
}

#[test]
fn an_invalid_value_of_an_earlier_key_is_reported_under_the_current_key() {
    let invalid = EARLIER.replace("\"floor\": 20", "\"floor\": 900");
    let errors = parse(invalid.as_bytes()).unwrap_err();
    assert!(
        errors
            .to_string()
            .contains("installation.budgets[0].reserved"),
        "{errors}"
    );
}
