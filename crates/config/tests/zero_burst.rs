//! A rate budget with a burst of zero is rejected like any other number out of range, also if the budget has a
//! reserved minimum.

use doortrack_config::installation;
use serde_json::json;

#[test]
fn a_burst_of_zero_with_a_reserved_minimum_is_rejected() {
    let file = json!({
        "fleet": {"name": "delta", "listen": "127.0.0.1:7401", "voters": ["n1", "n2", "n3"]},
        "budgets": [{"name": "rate", "kind": "rate", "limit": 600, "burst": 0, "for": {"group": "pay"},
            "reserved": 20, "reserved_for": ["n1", "n2"]}]
    });
    let errors = installation::parse(file.to_string().as_bytes())
        .expect_err("a burst of zero is out of range");
    let text = errors.to_string();
    assert!(text.contains("installation.budgets[0].burst"), "{text}");
}
