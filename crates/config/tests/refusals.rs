//! Error messages of the node's configuration and of the installation file for each key that is missing or has an
//! invalid value. Operators and their tools read these messages, so they are compared exactly.

#![allow(
    clippy::too_many_lines,
    reason = "a list of cases is read from start to end"
)]

use std::path::Path;

use doortrack_config::{installation, node_config};
use proptest::prelude::*;
use serde_json::{Value, json};

const EXPECTED: &str = include_str!("data/refusals.txt");

/// An installation file that uses every key.
fn complete_installation() -> Value {
    json!({
        "fronts": [
            {"protocol": "fastcgi", "listen": "127.0.0.1:9091", "connections": 10},
            {"protocol": "uwsgi", "listen": "127.0.0.1:9092"}
        ],
        "servers": {
            "protocol": "fastcgi", "addresses": ["127.0.0.1:7001", "127.0.0.1:7002"], "at_once": 4,
            "idle_ms": 1000, "open_within_ms": 100, "answer_within_ms": 1000,
            "most_answer_bytes": 1000,
            "aside": {"failures": 3, "first_ms": 500, "longest_ms": 30000, "floor": 0.25},
            "retries": {"share": 0.1, "burst": 10, "tries": 3},
            "ramp": {"over_ms": 1000, "runs": 100}
        },
        "pools": {"slow": {"protocol": "uwsgi", "addresses": ["127.0.0.1:7003"]}},
        "rules": [{"when": "path == \"/pay\"", "group": "pay", "customer": "\"north\"",
            "subject": "path", "idempotency_key": "query", "rank": "0.5", "due": "duration(\"1s\")",
            "servers": "slow"}],
        "otherwise": "look",
        "expressions": {"max_cost": 1000, "variable_bytes": 1000, "body_bytes": 1000},
        "fleet": {
            "name": "delta", "listen": "127.0.0.1:7401", "advertise": "127.0.0.1:7402",
            "seeds": ["127.0.0.1:7403"], "key_file": "key", "voters": ["n1", "n2", "n3"],
            "weight": 3,
            "times": {"period_ms": 1000, "answer_within_ms": 200, "suspicion_min_ms": 1000,
                "suspicion_max_ms": 5000, "forget_after_ms": 60000},
            "leases": {"round_ms": 100, "vote_ms": 1000, "lease_ms": 2000, "drift_permille": 10}
        },
        "budgets": [
            {"name": "rate", "kind": "rate", "limit": 600, "burst": 120, "for": {"group": "pay"},
                "reserved": 20, "reserved_for": ["n1", "n2"], "max_per_node": 400},
            {"name": "held", "kind": "concurrency", "limit": 40, "for": {"pool": "slow"},
                "max_hold_ms": 5000},
            {"name": "again", "kind": "rate", "limit": 40, "burst": 40, "for": {"retries": "slow"}},
            {"name": "slow start", "kind": "rate", "limit": 200, "burst": 40, "for": {"ramp": "servers"}}
        ]
    })
}

/// Installation files whose errors involve more than one key.
fn conflicting_installations() -> Vec<Value> {
    let mut all = Vec::new();
    let mut conflict = |change: &dyn Fn(&mut Value)| {
        let mut value = complete_installation();
        change(&mut value);
        all.push(value);
    };
    conflict(&|v| v["fronts"][1]["listen"] = json!("0.0.0.0:9091"));
    conflict(&|v| v["fronts"][1]["listen"] = json!("127.0.0.1:9090"));
    conflict(&|v| v["fronts"] = (0..9).map(|_| v["fronts"][0].clone()).collect());
    conflict(&|v| v["servers"] = json!(null));
    conflict(&|v| v["servers"]["at_once"] = json!(5000));
    conflict(&|v| v["servers"]["addresses"][1] = json!("127.0.0.1:7001"));
    conflict(&|v| v["servers"]["ramp"] = json!(null));
    conflict(&|v| v["rules"] = json!([]));
    conflict(&|v| v["fleet"] = json!(null));
    conflict(&|v| v["fleet"]["voters"] = json!([]));
    conflict(&|v| v["fleet"]["voters"] = json!(["n1", "n1", ""]));
    conflict(&|v| v["fleet"]["voters"] = json!(["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"]));
    conflict(&|v| v["fleet"]["seeds"] = (0..65).map(|_| json!("127.0.0.1:1")).collect());
    conflict(&|v| v["budgets"][1]["name"] = json!("rate"));
    conflict(&|v| v["budgets"][1]["for"] = json!({"group": "pay"}));
    conflict(&|v| v["budgets"][0]["for"] = json!({"customer": "nobody"}));
    conflict(&|v| v["budgets"][0]["reserved"] = json!(400));
    conflict(&|v| v["budgets"][0]["max_per_node"] = json!(2));
    conflict(&|v| v["budgets"][0]["reserved"] = json!(1));
    conflict(&|v| v["budgets"][0]["max_hold_ms"] = json!(1));
    conflict(&|v| v["budgets"][1]["burst"] = json!(1));
    conflict(&|v| v["budgets"][1]["max_hold_ms"] = json!(0));
    conflict(&|v| v["budgets"][2]["kind"] = json!("concurrency"));
    conflict(&|v| v["budgets"][3]["kind"] = json!("concurrency"));
    conflict(&|v| v["budgets"][3]["limit"] = json!(201));
    conflict(&|v| {
        v["budgets"] = (0..257)
            .map(|index| {
                json!({"name": index.to_string(), "kind": "rate", "limit": 1, "burst": 1,
                    "for": {"customer": index.to_string()}})
            })
            .collect();
    });
    conflict(&|v| {
        for index in 0..2 {
            v["fronts"][index]["listen"] = json!(index);
            v["fronts"][index]
                .as_object_mut()
                .unwrap()
                .remove("protocol");
            v["budgets"][index]["kind"] = json!("other");
        }
    });
    conflict(&|v| {
        let servers = &v["servers"];
        v["pools"] = (0..65)
            .map(|index| (index.to_string(), servers.clone()))
            .collect();
    });
    all
}

/// Invalid values that replace the valid one.
fn replacements() -> [Value; 7] {
    [
        json!(null),
        json!("other"),
        json!(-1),
        json!(0),
        json!(4_000_000_000_u32),
        json!([]),
        json!({"other": 1}),
    ]
}

/// Collects the JSON pointers of everything in `value`, parents before children.
fn pointers(value: &Value, prefix: &str, found: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(object) => object
            .iter()
            .map(|(key, child)| (key.clone(), child))
            .collect(),
        Value::Array(list) => list
            .iter()
            .enumerate()
            .map(|(index, child)| (index.to_string(), child))
            .collect(),
        _ => Vec::new(),
    };
    for (key, child) in children {
        let pointer = format!("{prefix}/{key}");
        found.push(pointer.clone());
        pointers(child, &pointer, found);
    }
}

fn remove(value: &mut Value, pointer: &str) {
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    match value.pointer_mut(parent).unwrap() {
        Value::Object(object) => _ = object.remove(key),
        Value::Array(list) => _ = list.remove(key.parse().unwrap()),
        other => panic!("{other} is neither an object nor an array"),
    }
}

/// Adds a line for each key of `complete` that is removed, and for each that is replaced.
fn one_key_at_a_time(
    name: &str,
    complete: &Value,
    outcome: fn(&Value) -> String,
    lines: &mut Vec<String>,
) {
    let mut all = Vec::new();
    pointers(complete, "", &mut all);
    for pointer in &all {
        let mut without = complete.clone();
        remove(&mut without, pointer);
        lines.push(format!("{name}{pointer} removed: {}", outcome(&without)));
        for replacement in replacements() {
            let mut changed = complete.clone();
            *changed.pointer_mut(pointer).unwrap() = replacement.clone();
            let outcome = outcome(&changed);
            lines.push(format!("{name}{pointer} = {replacement}: {outcome}"));
        }
    }
}

/// Returns all errors of a node's configuration, or `accepted`.
fn config_outcome(config: &Value) -> String {
    let path = Path::new("/etc/config.json");
    match node_config::parse_file(path, config.to_string().as_bytes()) {
        Ok(_) => "accepted".into(),
        Err(errors) => errors.to_string(),
    }
}

/// Returns all errors of an installation file, alone or together with the node's configuration, or its summary.
fn installation_outcome(installation: &Value) -> String {
    let node =
        node_config::parse(doortrack_fakes::fixture::config().to_string().as_bytes()).unwrap();
    let outcome = installation::parse(installation.to_string().as_bytes()).and_then(|read| {
        read.validate_with(&node)?;
        read.table(&node.settings)?;
        Ok(format!("accepted, {}", read.summary()))
    });
    outcome.unwrap_or_else(|errors| errors.to_string())
}

#[test]
fn error_messages_are_unchanged() {
    let mut lines = Vec::new();
    let config = doortrack_fakes::fixture::config();
    one_key_at_a_time("config", &config, config_outcome, &mut lines);
    let installation = complete_installation();
    one_key_at_a_time("", &installation, installation_outcome, &mut lines);
    for (index, conflicting) in conflicting_installations().iter().enumerate() {
        let outcome = installation_outcome(conflicting);
        lines.push(format!("conflict {index}: {outcome}"));
    }
    for text in ["", "[]", "{}", "7"] {
        let config = node_config::parse(text.as_bytes()).unwrap_err();
        lines.push(format!("config {text:?}: {config}"));
        let installation = installation::parse(text.as_bytes());
        let outcome = installation.map_or_else(|errors| errors.to_string(), |_| "accepted".into());
        lines.push(format!("installation {text:?}: {outcome}"));
    }
    let actual = lines.join("\n") + "\n";
    if actual != EXPECTED {
        let path = concat!(env!("CARGO_TARGET_TMPDIR"), "/config-refusals.txt");
        std::fs::write(path, &actual).unwrap();
        let difference = actual
            .lines()
            .zip(EXPECTED.lines())
            .find(|(actual_line, expected_line)| actual_line != expected_line);
        panic!("first difference: {difference:?}; the actual messages are in {path}");
    }
}

#[test]
fn errors_of_several_list_items_have_their_indices_in_the_file() {
    let mut value = complete_installation();
    value["fleet"]["seeds"] = json!(["x", "127.0.0.1:1", 7, "127.0.0.1:2", "y"]);
    value["servers"]["addresses"] = json!(["127.0.0.1:1", "x", "y"]);
    let errors = installation::parse(value.to_string().as_bytes()).unwrap_err();
    let paths: Vec<&str> = errors.0.iter().map(|error| error.path.as_str()).collect();
    assert_eq!(
        paths,
        [
            "installation.fleet.seeds[0]",
            "installation.fleet.seeds[2]",
            "installation.fleet.seeds[4]",
            "installation.servers.addresses[1]",
            "installation.servers.addresses[2]",
        ]
    );
}

/// Numbers at the bounds of ranges, and just beyond them.
const EDGE_NUMBERS: [u64; 8] = [0, 1, 2, 10, 600, 10_000_000, u32::MAX as u64, u64::MAX];

proptest! {
    /// Guards against a check that panics because it relies on another key being within its range.
    #[test]
    fn numbers_out_of_range_never_cause_a_panic(
        changes in proptest::collection::vec((any::<prop::sample::Index>(), 0..EDGE_NUMBERS.len()), 1..4)
    ) {
        let mut installation = complete_installation();
        let mut all = Vec::new();
        pointers(&installation, "", &mut all);
        all.retain(|pointer| installation.pointer(pointer).is_some_and(Value::is_number));
        for (position, number) in changes {
            let pointer: &String = position.get(all.as_slice());
            *installation.pointer_mut(pointer).unwrap() = json!(EDGE_NUMBERS[number]);
        }
        prop_assert!(!installation_outcome(&installation).is_empty());
    }
}

/// A change to a node's configuration.
type Change<'a> = &'a dyn Fn(&mut Value);

#[test]
fn deployments_that_the_node_does_not_support_are_rejected() {
    let lanes = |count: usize| {
        move |v: &mut Value| {
            let lane = v["settings"]["lanes"][0].clone();
            let named = |index: usize| {
                let mut lane = lane.clone();
                lane["name"] = json!(index.to_string());
                lane
            };
            v["settings"]["lanes"] = (0..count).map(named).collect();
            v["settings"]["family_info"]["calls_by_class"] = json!(vec![false; count]);
            v["settings"]["family_info"]["class_skip_worth"] = json!(vec![0; count]);
        }
    };
    let parties = |count: usize| {
        move |v: &mut Value| {
            let party = |index: usize| json!({"name": index.to_string(), "allowance_per_s": 1});
            v["settings"]["parties"] = (0..count).map(party).collect();
        }
    };
    let node = |key: &'static str, value: Value| {
        move |v: &mut Value| {
            v["settings"]["family_info"][key] = value.clone();
        }
    };
    let cases: [(Change, &str); 9] = [
        (
            &node("below", json!("common")),
            "config.settings.family_info.below: calls to what lies below can't be served by this node yet",
        ),
        (
            &node("calls_by_class", json!([false, true])),
            "config.settings.family_info.calls_by_class: endpoint groups that call can't be served by \
             this node yet",
        ),
        (
            &node("deep_checks", json!(true)),
            "config.settings.family_info.deep_checks: health checks that do real work can't be served \
             by this node yet",
        ),
        (
            &node("passes_deadline", json!(true)),
            "config.settings.family_info.passes_deadline: exchanges that tell how long their caller \
             waits can't be served by this node yet",
        ),
        (&lanes(0), "config.settings.lanes: at least one is wanted"),
        (&lanes(256), "accepted"),
        (&lanes(257), "config.settings.lanes: at most 256 are wanted"),
        (&parties(65_536), "accepted"),
        (
            &parties(65_537),
            "config.settings.parties: at most 65536 are wanted",
        ),
    ];
    for (change, expected) in cases {
        let mut config = doortrack_fakes::fixture::config();
        change(&mut config);
        let outcome = match node_config::parse(config.to_string().as_bytes()) {
            Ok(_) => "accepted".into(),
            Err(errors) => errors.to_string(),
        };
        assert_eq!(outcome, expected);
    }
}
