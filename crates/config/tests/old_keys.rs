//! Keys that earlier builds had in the operators' file are read as the present ones.

use doortrack_config::installation::parse;

const PRESENT: &str = r#"{
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
fn a_file_with_earlier_keys_reads_the_same() {
    let present = parse(PRESENT.as_bytes()).unwrap();
    assert_eq!(parse(EARLIER.as_bytes()).unwrap(), present);
    let times = present.fleet.as_ref().unwrap().times;
    assert_eq!((times.suspicion_min_ms, times.suspicion_max_ms), (300, 900));
    let budget = &present.budgets[0];
    assert_eq!(
        (budget.limit, budget.reserved, budget.max_per_node),
        (600, 20, Some(400))
    );
    assert_eq!(budget.reserved_for.as_ref().map(Vec::len), Some(2));
    assert_eq!(present.budgets[1].max_hold_ms, Some(5_000));
}

#[test]
fn a_key_under_both_its_names_is_refused() {
    let both = EARLIER.replace("\"whole\": 600", "\"whole\": 600, \"limit\": 600");
    let errors = parse(both.as_bytes()).unwrap_err();
    assert!(
        errors.to_string().contains("installation.budgets[0]"),
        "{errors}"
    );
}

#[test]
fn a_bad_value_under_an_earlier_key_names_the_present_one() {
    let bad = EARLIER.replace("\"floor\": 20", "\"floor\": 900");
    let errors = parse(bad.as_bytes()).unwrap_err();
    assert!(
        errors
            .to_string()
            .contains("installation.budgets[0].reserved"),
        "{errors}"
    );
}
