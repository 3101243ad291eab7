//! Slow-start settings (`ramp`) of the installation file, and the faults reported for them.

use doortrack_config::{installation, node_config};
use doortrack_fakes::fixture::config;
use serde_json::{Value, json};

/// Two pools, one with a slow start of 100 runs in 10 s that a fleet budget limits across all nodes.
fn valid_installation() -> Value {
    json!({
        "servers": {"protocol": "uwsgi", "addresses": ["127.0.0.1:7001"]},
        "pools": {"boats": {"protocol": "fastcgi", "addresses": ["127.0.0.1:7002"],
            "ramp": {"over_ms": 10_000, "runs": 100}}},
        "fleet": {"name": "delta", "listen": "127.0.0.1:7401", "voters": ["n1"]},
        "budgets": [{"name": "boats return", "kind": "rate", "limit": 20, "burst": 10,
            "for": {"ramp": "boats"}}]
    })
}

/// The faults of an installation file validated against the node's configuration, in one line; empty if there are none.
fn faults(value: &Value) -> String {
    let parsed_config = node_config::parse(config().to_string().as_bytes()).unwrap();
    let parsed = installation::parse(value.to_string().as_bytes());
    parsed
        .and_then(|file| file.validate_with(&parsed_config))
        .err()
        .map_or_else(String::new, |faults| faults.to_string())
}

#[test]
fn a_slow_start_and_its_budget_are_read() {
    assert_eq!(faults(&valid_installation()), "");
    let installation = installation::parse(valid_installation().to_string().as_bytes()).unwrap();
    let parsed_config = node_config::parse(config().to_string().as_bytes()).unwrap();
    assert_eq!(
        installation.budget_indices(&parsed_config).slow_starts,
        [None, Some(0)]
    );
    let slow_start = installation.pools["boats"]
        .pool_config(0)
        .slow_start
        .unwrap();
    assert_eq!((slow_start.duration, slow_start.runs), (100_000, 100));
    assert_eq!(
        installation.default_pool.unwrap().pool_config(0).slow_start,
        None
    );
}

#[test]
fn each_fault_of_a_slow_start_is_reported_with_its_path() {
    for (path, value, expected) in [
        (
            "/pools/boats/ramp/over_ms",
            json!(9),
            "installation.pools.boats.ramp.over_ms: ",
        ),
        (
            "/pools/boats/ramp/over_ms",
            json!("10s"),
            "installation.pools.boats.ramp.over_ms: ",
        ),
        (
            "/pools/boats/ramp/runs",
            json!(0),
            "installation.pools.boats.ramp.runs: ",
        ),
        (
            "/pools/boats/ramp",
            json!({"runs": 4}),
            "installation.pools.boats.ramp: needed key 'over_ms'",
        ),
        (
            "/pools/boats/ramp",
            json!(null),
            "installation.budgets[0].for: installation.pools.boats has no ramp",
        ),
        (
            "/budgets/0/for",
            json!({"ramp": "servers"}),
            "installation.budgets[0].for: installation.servers has",
        ),
        (
            "/budgets/0/for",
            json!({"ramp": "ships"}),
            "installation.budgets[0].for: there is no pool 'ships'",
        ),
        (
            "/budgets/0/limit",
            json!(21),
            "installation.budgets[0].limit: at most 20 is wanted",
        ),
        (
            "/budgets/0/kind",
            json!("concurrency"),
            "installation.budgets[0].kind: a ramp is a rate",
        ),
    ] {
        let mut changed = valid_installation();
        *changed.pointer_mut(path).unwrap() = value;
        let found = faults(&changed);
        assert!(found.contains(expected), "{path}: {expected}\n{found}");
    }
}
