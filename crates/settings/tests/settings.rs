//! Reading settings of any size: the time grows with the number of tenants and not with its square.

use std::time::{Duration, Instant};

use doortrack_settings::{JsonValue, read};
use serde_json::{Value, json};

fn settings(tenants: usize) -> Value {
    let tenant = |nth: usize| json!({"name": format!("customer-{nth:06}"), "allowance_per_s": 1});
    json!({
        "bounds": {"max_retry_after": 1_000_000, "retry_after": true},
        "family_info": {
            "below": "silent", "calls_by_class": [false], "calls_out": 0, "class_skip_worth": [0],
            "cores": 4, "deep_checks": false, "dep_window": 5_000_000, "fresh": 0, "fresh_start": false,
            "gauges": ["core_use"], "halt": "drop", "keepalive_max": 30_000_000, "key_kb": 50,
            "linger": 0, "memory_kb": 10_000, "passes_deadline": false, "readiness": true,
            "run_factor": 8, "said_for": 1_000_000, "say": "min_rank"
        },
        "lanes": [{"deadline": 30_000_000, "idempotency": "safe", "late_worth": 0, "name": "look",
            "target": 20_000_000, "window": 5_000_000, "worth": 1}],
        "over_share_worth": 0.1,
        "parties": (0..tenants).map(tenant).collect::<Value>(),
        "safety": {"drain_grace": 1_000_000, "overload_for": 2_000_000, "ramp_time": 10_000_000,
            "start_capacity": 0.25, "tip_multiple": 5},
        "servers": 3, "tick": 4000, "worth_by": "request"
    })
}

/// The shortest of three runs, as anything else on the machine only makes one longer.
fn time_to_read(tenants: usize) -> Duration {
    let settings = settings(tenants);
    let root = JsonValue::root("settings", &settings);
    let once = || {
        let started_at = Instant::now();
        assert_eq!(read(&root).unwrap().tenant_names.len(), tenants);
        started_at.elapsed()
    };
    (0..3).map(|_| once()).min().unwrap()
}

#[test]
fn reading_tenants_takes_time_that_grows_with_their_number_alone() {
    const FEW: usize = 2_000;
    const TIMES: u32 = 32;
    let (few, many) = (time_to_read(FEW), time_to_read(FEW * TIMES as usize));
    // In proportion it is 32 times as long; compared each with each it would be 1,024 times.
    assert!(
        many < few * TIMES * 8,
        "{few:?} for {FEW}, {many:?} for {TIMES} times as many"
    );
}

#[test]
fn a_duplicate_name_is_refused_with_its_path() {
    let mut settings = settings(3);
    settings["parties"][2]["name"] = json!("customer-000000");
    let error = read(&JsonValue::root("settings", &settings)).unwrap_err();
    assert_eq!(
        error.to_string(),
        "settings.parties[2].name: a name that none before it has is wanted, found \"customer-000000\""
    );
}

/// Guards against a machine with a part of a core that counts as one without it, and one of half a core as none.
#[test]
fn parts_of_a_core_count() {
    let mut value = settings(1);
    value["family_info"]["cores"] = json!(2.5);
    value["servers"] = json!(3.5);
    let deployment = read(&JsonValue::root("settings", &value)).unwrap();
    assert_eq!(deployment.admission.cores, 2.5);
    assert_eq!(deployment.admission.nodes, 3.5);
}
