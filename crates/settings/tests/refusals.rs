//! What the reader of settings says of each key that is missing or holds the wrong thing, and in which order it
//! looks at them. Operators and their tools read these texts: they are compared to the letter.

use doortrack_settings::{JsonValue, read};
use serde_json::{Value, json};

const EXPECTED: &str = include_str!("data/refusals.txt");

/// Every key that is read, with the rarest of the values that are taken.
fn complete_settings() -> Value {
    json!({
        "bounds": {"max_retry_after": 1_000_000, "retry_after": true},
        "family_info": {
            "below": "common", "calls_by_class": [false, true], "calls_out": 1.5,
            "class_skip_worth": [0, 0.5], "cores": 4, "deep_checks": false, "dep_window": 5_000_000,
            "fresh": 0, "fresh_start": false, "gauges": ["core_use", "links"], "halt": "pause",
            "keepalive_max": 30_000_000, "key_kb": 50, "linger": 0, "memory_kb": 10_000,
            "passes_deadline": false, "readiness": true, "run_factor": 8, "said_for": 1_000_000,
            "say": "tokens"
        },
        "lanes": [
            {"deadline": 30_000_000, "idempotency": "safe", "late_worth": 0, "name": "look",
                "target": 20_000_000, "window": 5_000_000, "worth": 1},
            {"aim_stretch": 2, "deadline": 30_000_000, "idempotency": "keyed", "late_worth": 0.5,
                "name": "pay", "target": 20_000_000, "window": 5_000_000, "worth": 1}
        ],
        "over_share_worth": 0.1,
        "parties": [{"allowance_per_s": 1, "name": "north", "share": 0.5},
            {"allowance_per_s": 1, "name": "south"}],
        "safety": {"drain_grace": 1_000_000, "overload_for": 2_000_000, "ramp_time": 10_000_000,
            "start_capacity": 0.25, "tip_multiple": 5},
        "servers": 3, "tick": 4000, "worth_by": "request"
    })
}

/// JSON pointers of everything that `value` holds, outermost first.
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

/// The error, or that there was none.
fn outcome(settings: &Value) -> String {
    match read(&JsonValue::root("settings", settings)) {
        Ok(_) => "accepted".into(),
        Err(error) => error.to_string(),
    }
}

fn remove(settings: &mut Value, pointer: &str) {
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    match settings.pointer_mut(parent).unwrap() {
        Value::Object(object) => _ = object.remove(key),
        Value::Array(list) => _ = list.remove(key.parse().unwrap()),
        other => panic!("{other} holds nothing"),
    }
}

/// A line for each key that is removed or replaced.
fn one_key_at_a_time(lines: &mut Vec<String>) {
    let complete = complete_settings();
    let mut all = Vec::new();
    pointers(&complete, "", &mut all);
    for pointer in &all {
        let mut without = complete.clone();
        remove(&mut without, pointer);
        lines.push(format!("{pointer} removed: {}", outcome(&without)));
        for replacement in [
            json!(null),
            json!("other"),
            json!(-1),
            json!(1.5),
            json!([]),
        ] {
            let mut changed = complete.clone();
            *changed.pointer_mut(pointer).unwrap() = replacement.clone();
            lines.push(format!("{pointer} = {replacement}: {}", outcome(&changed)));
        }
    }
}

/// A line for each key in the order in which it is looked at: all are wrong, and put right one after the other.
fn order_of_checks(lines: &mut Vec<String>) {
    let complete = complete_settings();
    let mut all = Vec::new();
    pointers(&complete, "", &mut all);
    let leaves: Vec<&String> = all
        .iter()
        .filter(|pointer| {
            let value = complete.pointer(pointer).unwrap();
            !value.is_object() && !value.is_array()
        })
        .collect();
    let wrong = json!({"wrong": true});
    let mut settings = complete.clone();
    for leaf in &leaves {
        *settings.pointer_mut(leaf).unwrap() = wrong.clone();
    }
    loop {
        let error = outcome(&settings);
        lines.push(format!("in order: {error}"));
        let path = error.split(": ").next().unwrap();
        let pointer = path
            .trim_start_matches("settings")
            .replace(['.', '['], "/")
            .replace(']', "");
        match complete.pointer(&pointer) {
            Some(right) if !pointer.is_empty() => {
                *settings.pointer_mut(&pointer).unwrap() = right.clone();
            }
            _ => break,
        }
    }
}

#[test]
fn each_key_is_refused_in_the_same_words_and_order() {
    let mut lines = Vec::new();
    one_key_at_a_time(&mut lines);
    order_of_checks(&mut lines);
    let actual = lines.join("\n") + "\n";
    if actual != EXPECTED {
        let path = concat!(env!("CARGO_TARGET_TMPDIR"), "/settings-refusals.txt");
        std::fs::write(path, &actual).unwrap();
        let differing = actual
            .lines()
            .zip(EXPECTED.lines())
            .find(|(now, before)| now != before);
        panic!("first difference: {differing:?}; all that is said now is in {path}");
    }
}
