//! Reading of the node's configuration file: defaults, limits and the faults that it names.

use doortrack_config::node_config;
use doortrack_fakes::fixture::config;
use doortrack_time::MILLISECOND;
use serde_json::{Value, json};

fn config_error(change: impl FnOnce(&mut Value)) -> String {
    let mut value = config();
    change(&mut value);
    node_config::parse(value.to_string().as_bytes())
        .expect_err("the configuration was accepted")
        .to_string()
}

#[test]
fn a_configuration_is_read_with_its_defaults() {
    let mut value = config();
    value
        .as_object_mut()
        .unwrap()
        .retain(|key, _| key != "limits" && key != "seed");
    let parsed = node_config::parse(value.to_string().as_bytes()).unwrap();
    assert_eq!(
        (parsed.name.as_str(), parsed.seed, parsed.stop_after),
        ("n1", 0, 3200 * MILLISECOND)
    );
    assert_eq!(
        parsed.limits,
        node_config::parse(config().to_string().as_bytes())
            .unwrap()
            .limits
    );
    assert!(parsed.limits.connections < 1024);
    assert!(parsed.settings.drains_when_unhealthy && parsed.settings.tenant_names.is_empty());
    // All data that may be held at once leaves memory for the program itself.
    for (memory_mb, sockets) in [(192, 1024), (48, 512), (32, 384), (24, 1024)] {
        let mut value = config();
        value["limits"] = json!({"cores": 0.2, "memory_mb": memory_mb, "sockets": sockets});
        let limits = node_config::parse(value.to_string().as_bytes())
            .unwrap()
            .limits;
        let held_bytes = limits.open_requests * 10_500
            + limits.dedup_entries * 300
            + limits.result_bytes
            + limits.engine_command_bytes;
        let max_bytes = held_bytes + limits.unread_answer_bytes + limits.connections * 20_000;
        assert!(
            max_bytes + 3_000_000 < memory_mb * 1_000_000,
            "{memory_mb} MB: {max_bytes}"
        );
        assert!(limits.connections <= sockets - 24 && limits.connections >= sockets.min(300) - 24);
    }
}

#[test]
fn a_fault_in_the_configuration_names_its_key() {
    for key in [
        "name", "listen", "engine", "registry", "stop_ms", "settings",
    ] {
        let missing = config_error(|v| _ = v.as_object_mut().unwrap().remove(key));
        assert!(
            missing.contains(&format!("'{key}' is missing")),
            "{missing}"
        );
        let wrong = config_error(|v| v[key] = json!([]));
        assert!(wrong.contains(key), "{wrong}");
    }
    for (path, value) in [
        ("/limits/memory_mb", json!(4)),
        ("/limits/sockets", json!(25)),
        ("/limits/cores", json!(0)),
        ("/seed", json!("xyz")),
        ("/settings/family_info/below", json!("common")),
        ("/settings/family_info/calls_by_class", json!([true])),
        ("/settings/family_info/deep_checks", json!(true)),
        ("/settings/family_info/passes_deadline", json!(true)),
        ("/settings/family_info/halt", json!("soon")),
        ("/settings/lanes/0/idempotency", json!("perhaps")),
        ("/settings/lanes/0/worth", json!("much")),
        ("/settings/lanes", json!([])),
        ("/settings/safety/tip_multiple", json!(null)),
        ("/settings/tick", json!(-1)),
        ("/limits/memory_mb", json!(-64)),
        ("/settings/lanes/0/deadline", json!(-1)),
        ("/settings/lanes/1/name", json!("look")),
        ("/settings/lanes/0/late_worth", json!(1.1)),
        ("/settings/over_share_worth", json!(2)),
        ("/settings/safety/start_capacity", json!(1.5)),
        ("/settings/family_info/class_skip_worth", json!([0, 3])),
        ("/settings/family_info/class_skip_worth", json!([0])),
        ("/settings/family_info/calls_by_class", json!([false, "no"])),
        (
            "/settings/parties",
            json!([{"name": "a", "allowance_per_s": 1, "share": 1.2}]),
        ),
        (
            "/settings/parties",
            json!([{"name": "a", "allowance_per_s": -1}]),
        ),
    ] {
        let error = config_error(|v| {
            let (parent, key) = path.rsplit_once('/').unwrap();
            match v.pointer_mut(parent).unwrap() {
                Value::Array(array) => array[key.parse::<usize>().unwrap()] = value,
                object => object[key] = value,
            }
        });
        let key = path.trim_end_matches("/0").rsplit('/').next().unwrap();
        assert!(error.contains(key), "{path}: {error}");
    }
}
