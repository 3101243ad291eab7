//! What the operators' file says of ramps, and what is wrong with it.

use doortrack_config::{installation, node_config};
use doortrack_fakes::fixture::config;
use serde_json::{Value, json};

/// Two pools, one with a ramp of 100 runs in 10 s, which a budget of the fleet bounds for all nodes.
fn good() -> Value {
    json!({
        "servers": {"protocol": "uwsgi", "addresses": ["127.0.0.1:7001"]},
        "pools": {"boats": {"protocol": "fastcgi", "addresses": ["127.0.0.1:7002"],
            "ramp": {"over_ms": 10_000, "runs": 100}}},
        "fleet": {"name": "delta", "listen": "127.0.0.1:7401", "voters": ["n1"]},
        "budgets": [{"name": "boats return", "kind": "rate", "limit": 20, "burst": 10,
            "for": {"ramp": "boats"}}]
    })
}

/// The faults of a file, in one line, beside the platform's configuration; empty where there is none.
fn faults(value: &Value) -> String {
    let orders = node_config::parse(config().to_string().as_bytes()).unwrap();
    let read = installation::parse(value.to_string().as_bytes());
    read.and_then(|file| file.validate_with(&orders))
        .err()
        .map_or_else(String::new, |faults| faults.to_string())
}

#[test]
fn a_ramp_and_the_budget_for_it_are_read() {
    assert_eq!(faults(&good()), "");
    let installation = installation::parse(good().to_string().as_bytes()).unwrap();
    let orders = node_config::parse(config().to_string().as_bytes()).unwrap();
    assert_eq!(
        installation.budget_indices(&orders).slow_starts,
        [None, Some(0)]
    );
    let ramp = installation.pools["boats"]
        .pool_config(0)
        .slow_start
        .unwrap();
    assert_eq!((ramp.duration, ramp.runs), (100_000, 100));
    assert_eq!(
        installation.default_pool.unwrap().pool_config(0).slow_start,
        None
    );
}

#[test]
fn each_fault_of_a_ramp_is_told_with_its_path() {
    for (place, value, told) in [
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
        let mut changed = good();
        *changed.pointer_mut(place).unwrap() = value;
        let found = faults(&changed);
        assert!(found.contains(told), "{place}: {told}\n{found}");
    }
}
