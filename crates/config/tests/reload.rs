//! Reloads: what a new configuration changes while a node serves, what requires a restart, and when builds begin.

use std::sync::Arc;

use doortrack_config::node_config;
use doortrack_config::reload::{
    BuildScheduler, KeyMeanings, ListenerChanges, Plan, PlatformReload, ReloadablePlatform,
    RestartRequired, StartupConfig, plan,
};
use doortrack_config::{ConfigErrors, Installation, ListenerConfig, NodeConfig, installation};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

fn node_config(change: impl Fn(&mut Value)) -> NodeConfig {
    let mut value = doortrack_fakes::fixture::config();
    value["settings"]["parties"] = json!([{"name": "north", "allowance_per_s": 1}]);
    change(&mut value);
    node_config::parse(value.to_string().as_bytes()).unwrap()
}

fn started(in_fleet: bool) -> StartupConfig {
    StartupConfig {
        config: Arc::new(node_config(|_| {})),
        in_fleet,
    }
}

fn installation(value: &Value) -> Installation {
    installation::parse(value.to_string().as_bytes()).unwrap()
}

fn planned(started: &StartupConfig, old: &Value, new: &Value) -> Result<Plan, ConfigErrors> {
    let platform = PlatformReload::new(&started.config, &started.config);
    plan(started, &installation(old), platform, installation(new))
}

fn pool(port: u16, protocol: &str) -> Value {
    json!({"protocol": protocol, "addresses": [format!("127.0.0.1:{port}")]})
}

#[test]
fn four_platform_keys_change_without_a_restart() {
    let started = node_config(|_| {});
    let moved = node_config(|value| {
        value["engine"] = json!("127.0.0.1:4499");
        value["registry"] = json!("127.0.0.1:2399");
        value["stop_ms"] = json!(4000);
        value["seed"] = json!("1");
    });
    let read = PlatformReload::new(&started, &moved);
    let wanted = ReloadablePlatform {
        engine: "127.0.0.1:4499".parse().unwrap(),
        registry: "127.0.0.1:2399".parse().unwrap(),
        stop_after: 40_000,
        seed: 1,
    };
    assert_eq!(
        read,
        PlatformReload {
            platform: wanted,
            requires_restart: false
        }
    );
    for change in [
        |value: &mut Value| value["name"] = json!("n2"),
        |value: &mut Value| value["listen"] = json!("127.0.0.1:9095"),
        |value: &mut Value| value["limits"]["memory_mb"] = json!(64),
        |value: &mut Value| value["settings"]["lanes"][0]["deadline"] = json!(1_000_000),
        |value: &mut Value| value["settings"]["parties"][0]["name"] = json!("south"),
    ] {
        assert!(PlatformReload::new(&started, &node_config(change)).requires_restart);
    }
}

#[test]
fn adding_or_removing_pools_requires_a_restart_and_keeps_the_old_ones() {
    let started = started(false);
    let old = json!({"servers": pool(7001, "uwsgi"), "pools": {"slow": pool(7002, "uwsgi")}});
    // The servers of a pool may change.
    let new = json!({"servers": pool(7009, "uwsgi"), "pools": {"slow": pool(7002, "uwsgi")}});
    let changed = planned(&started, &old, &new).unwrap();
    assert_eq!(
        (changed.restart_required, &*changed.installation),
        (vec![], &installation(&new))
    );
    // The set of pools and their protocols may not; the rest of the file is applied.
    for pools in [
        json!({"servers": pool(7009, "uwsgi")}),
        json!({"servers": pool(7009, "fastcgi"), "pools": {"slow": pool(7002, "uwsgi")}}),
        json!({"servers": pool(7009, "uwsgi"), "pools": {"fast": pool(7002, "uwsgi")}}),
        json!({}),
    ] {
        let mut new = pools;
        new["rules"] = json!([{"when": "true", "group": "look"}]);
        let changed = planned(&started, &old, &new).unwrap();
        assert_eq!(changed.restart_required, [RestartRequired::Pools]);
        assert_eq!(
            changed.installation.default_pool,
            installation(&old).default_pool
        );
        assert_eq!(changed.installation.pools, installation(&old).pools);
        assert_eq!(changed.installation.rules.len(), 1);
    }
}

#[test]
fn joining_a_fleet_requires_a_restart() {
    let fleet = json!({"fleet": {"name": "f", "listen": "127.0.0.1:7401"}});
    let changed = planned(&started(false), &json!({}), &fleet).unwrap();
    assert_eq!(changed.restart_required, [RestartRequired::JoinFleet]);
    // Reported at each reload, although the installation in force already has the fleet.
    let again = planned(&started(false), &fleet, &fleet).unwrap();
    assert_eq!(again.restart_required, [RestartRequired::JoinFleet]);
    let member = planned(&started(true), &fleet, &fleet).unwrap();
    assert_eq!(member.restart_required, []);
    // A node that was started in a fleet may leave it and join it again.
    assert_eq!(
        planned(&started(true), &json!({}), &fleet)
            .unwrap()
            .restart_required,
        []
    );
}

#[test]
fn conflicts_with_the_platform_are_rejected_with_their_path() {
    let listener = |address: &str| json!({"fronts": [{"protocol": "uwsgi", "listen": address}]});
    let conflict = planned(&started(false), &json!({}), &listener("127.0.0.1:9090"))
        .err()
        .unwrap();
    assert!(
        conflict
            .to_string()
            .starts_with("installation.fronts[0].listen: "),
        "{conflict}"
    );
    let fleet = json!({"name": "f", "listen": "127.0.0.1:7401", "voters": ["n1"]});
    let budget =
        |scope: Value| json!({"name": "b", "kind": "rate", "limit": 10, "burst": 10, "for": scope});
    let budgets = |scope: Value| json!({"fleet": fleet, "budgets": [budget(scope)]});
    let known = planned(
        &started(true),
        &json!({}),
        &budgets(json!({"customer": "north"})),
    )
    .unwrap();
    assert_eq!(known.fleet.indices.tenants, [Some(0)]);
    let unknown = planned(
        &started(true),
        &json!({}),
        &budgets(json!({"customer": "east"})),
    )
    .err()
    .unwrap();
    assert!(
        unknown
            .to_string()
            .starts_with("installation.budgets[0].for: "),
        "{unknown}"
    );
}

#[test]
fn listeners_are_identified_by_address_and_protocol() {
    let listener = |port: u16, protocol: &str, connections: u32| -> ListenerConfig {
        let value = json!({"protocol": protocol, "listen": format!("127.0.0.1:{port}"),
            "connections": connections});
        serde_json::from_value(value).unwrap()
    };
    let open = [
        listener(1, "uwsgi", 5),
        listener(2, "uwsgi", 5),
        listener(3, "uwsgi", 5),
    ];
    let new = [
        listener(1, "uwsgi", 9),
        listener(2, "fastcgi", 5),
        listener(4, "uwsgi", 5),
    ];
    let changes = ListenerChanges::between(&open, &new);
    assert_eq!(changes.retained, [listener(1, "uwsgi", 9)]);
    assert_eq!(
        changes.opened,
        [listener(2, "fastcgi", 5), listener(4, "uwsgi", 5)]
    );
    assert_eq!(
        changes.closed,
        [listener(2, "uwsgi", 5), listener(3, "uwsgi", 5)]
    );
    assert_eq!(ListenerChanges::between(&open, &open).retained, open);
}

const GROUPS: [&str; 3] = ["look", "pay", "book"];

fn group_names() -> Vec<String> {
    GROUPS.map(String::from).to_vec()
}

fn meanings(value: &Value) -> KeyMeanings {
    KeyMeanings::new(&installation(value), &group_names())
}

fn changed(old: &Value, new: &Value) -> Vec<&'static str> {
    meanings(old)
        .changed(&meanings(new))
        .into_iter()
        .map(|index| GROUPS[index])
        .collect()
}

#[test]
fn keys_change_if_anything_that_they_depend_on_changes() {
    let rule = |when: &str, group: &str, key: Option<&str>| {
        let (when, group, key) = (json!(when), json!(group), json!(key));
        json!({"when": when, "group": group, "idempotency_key": key})
    };
    let look = rule("path == \"/look\"", "look", None);
    let pay = rule("path == \"/pay\"", "pay", Some("query"));
    let book = rule("path == \"/book\"", "book", None);
    let base = json!({"rules": [look, pay, book]});
    let with = |rules: Value| json!({"rules": rules});
    assert_eq!(changed(&base, &base), [""; 0]);
    // Rules after the last rule of a group do not affect the group.
    assert_eq!(
        changed(
            &base,
            &with(json!([look, pay, book, rule("true", "look", None)]))
        ),
        ["look"]
    );
    assert_eq!(changed(&base, &with(json!([look, pay]))), ["book"]);
    // An earlier rule may match requests that a later one matched before.
    assert_eq!(changed(&base, &with(json!([pay, book]))), GROUPS);
    assert_eq!(
        changed(
            &base,
            &with(json!([look, rule("true", "pay", Some("query")), book]))
        ),
        ["pay", "book"]
    );
    assert_eq!(
        changed(
            &base,
            &with(json!([
                look,
                rule("path == \"/pay\"", "pay", Some("path")),
                book
            ]))
        ),
        ["pay"]
    );
    assert_eq!(
        changed(
            &base,
            &with(json!([look, rule("path == \"/pay\"", "pay", None), book]))
        ),
        ["pay"]
    );
    // If a rule without a key changes its group, both groups are affected.
    let last = rule("path == \"/last\"", "book", None);
    let keyless = with(json!([look, book, last]));
    let moved = with(json!([look, rule("path == \"/book\"", "look", None), last]));
    assert_eq!(changed(&keyless, &moved), ["look", "book"]);
}

/// Guards against a change of rules that is judged by their text and not by the keys that they give: one that leaves
/// each key what it was is refused, or one that changes keys is not.
#[test]
fn keys_change_only_if_they_are_read_from_something_else() {
    let with = |key: Option<&str>| json!({"rules": [{"when": "true", "group": "pay", "idempotency_key": key}]});
    let same = |one: Option<&str>, other: Option<&str>| {
        assert_eq!(
            changed(&with(one), &with(other)),
            [""; 0],
            "{one:?}, {other:?}"
        );
        assert_eq!(
            changed(&with(other), &with(one)),
            [""; 0],
            "{other:?}, {one:?}"
        );
    };
    same(None, Some("header(\"idempotency-key\")"));
    same(None, Some("lower(header(\"Idempotency-Key\") ?? \"\")"));
    same(None, Some("variable(\"HTTP_IDEMPOTENCY_KEY\")"));
    same(
        Some("header(\"x-order\")"),
        Some("raw_header( \"X-Order\" )"),
    );
    same(
        Some("header(\"x-order\")"),
        Some("header(\"x-order\") ?? \"\""),
    );
    let differ = |one: Option<&str>, other: Option<&str>| {
        assert_eq!(
            changed(&with(one), &with(other)),
            ["pay"],
            "{one:?}, {other:?}"
        );
        assert_eq!(
            changed(&with(other), &with(one)),
            ["pay"],
            "{other:?}, {one:?}"
        );
    };
    differ(None, Some("header(\"x-order\")"));
    differ(Some("header(\"x-trip\")"), Some("header(\"x-order\")"));
    differ(
        Some("header(\"x-order\")"),
        Some("lower(header(\"x-order\") ?? \"\")"),
    );
    differ(
        None,
        Some("header(\"x-order\") ?? header(\"idempotency-key\")"),
    );
    differ(
        Some("header(\"x-order\") ?? header(\"x-trip\")"),
        Some("header(\"x-trip\") ?? header(\"x-order\")"),
    );
    differ(
        Some("if present(header(\"x-a\")) { path } else { query }"),
        Some("if present(header(\"x-b\")) { path } else { query }"),
    );
}

#[test]
fn keys_depend_on_the_fallback_group_and_the_limits() {
    let rule = json!({"when": "path == \"/pay\"", "group": "pay"});
    let base = json!({"rules": [rule], "otherwise": "book"});
    assert_eq!(
        changed(&base, &json!({"rules": [rule], "otherwise": "look"})),
        ["look", "book"]
    );
    assert_eq!(changed(&base, &json!({"rules": [rule]})), ["book"]);
    // A further rule may match requests that went to the fallback group.
    let more = json!({"when": "path == \"/x\"", "group": "look"});
    assert_eq!(
        changed(&base, &json!({"rules": [rule, more], "otherwise": "book"})),
        ["look", "book"]
    );
    let limited =
        json!({"rules": [rule], "otherwise": "book", "expressions": {"variable_bytes": 100}});
    assert_eq!(changed(&base, &limited), ["pay", "book"]);
    // With listeners but without rules, variables may put requests into any group.
    let listeners = json!([{"protocol": "uwsgi", "listen": "127.0.0.1:9091"}]);
    let classified = json!({"fronts": listeners, "rules": [rule]});
    assert_eq!(changed(&json!({"fronts": listeners}), &classified), GROUPS);
    assert_eq!(changed(&json!({}), &classified), ["pay"]);
    assert_eq!(changed(&json!({"fronts": listeners}), &json!({})), [""; 0]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(0x0d00_3702),
        ..ProptestConfig::default()
    })]

    /// Compares the digests with the rules themselves: the conditions up to the last rule of a group, and the keys
    /// of those rules that belong to the group.
    #[test]
    fn digests_differ_exactly_where_the_rules_differ(
        old in prop::collection::vec((0..4u8, 0..3usize, 0..3u8), 0..6),
        edits in prop::collection::vec((0..6usize, 0..4u8, 0..3usize, 0..3u8), 0..3),
    ) {
        let mut new = old.clone();
        for (index, when, group, key) in edits {
            match index % (new.len() + 1) {
                index if index == new.len() => new.push((when, group, key)),
                index => new[index] = (when, group, key),
            }
        }
        let value = |rules: &[(u8, usize, u8)]| -> Value {
            let rule = |(when, group, key): &(u8, usize, u8)| {
                let key = (*key > 0).then(|| format!("\"key-{key}\" + path"));
                json!({"when": format!("path == \"/{when}\""), "group": GROUPS[*group],
                    "idempotency_key": key})
            };
            json!({"rules": rules.iter().map(rule).collect::<Vec<_>>()})
        };
        let group_rules = |rules: &[(u8, usize, u8)], group: usize| -> Vec<(u8, Option<u8>)> {
            let last = rules.iter().rposition(|rule| rule.1 == group).map_or(0, |last| last + 1);
            rules[..last].iter().map(|rule| (rule.0, (rule.1 == group).then_some(rule.2))).collect()
        };
        let differs = |group: &usize| group_rules(&old, *group) != group_rules(&new, *group);
        let expected: Vec<&str> = (0..3).filter(differs).map(|group| GROUPS[group]).collect();
        prop_assert_eq!(changed(&value(&old), &value(&new)), expected);
    }
}

#[test]
fn at_most_one_build_runs_and_one_is_pending() {
    let mut builds = BuildScheduler::default();
    assert!(!builds.is_under_way());
    assert!(builds.notice(), "the first build begins at once");
    assert!(
        (0..100).all(|_| !builds.notice()),
        "notices during a build do not begin another one"
    );
    assert!(builds.finished(), "the pending build begins");
    assert!(builds.is_under_way());
    assert!(!builds.finished());
    assert!(!builds.is_under_way() && builds.notice());
    assert!(
        !builds.finished(),
        "notices before the build began have no further effect"
    );
}

#[test]
fn a_file_that_is_replaced_during_a_read_gives_a_single_version() {
    let folder = std::env::temp_dir().join(format!("doortrack-replaced-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (path, next) = (folder.join("installation.json"), folder.join("next.json"));
    let content = |group: &str| {
        let rule = |index: usize| json!({"when": format!("path == \"/{index}\""), "group": group});
        json!({"rules": (0..2_000).map(rule).collect::<Vec<_>>()}).to_string()
    };
    let contents = [content("look"), content("pay")];
    std::fs::write(&path, &contents[0]).unwrap();
    std::thread::scope(|scope| {
        let writer = scope.spawn(|| {
            for index in 0..200 {
                std::fs::write(&next, &contents[index % 2]).unwrap();
                std::fs::rename(&next, &path).unwrap();
            }
        });
        while !writer.is_finished() {
            let read = installation::read(&path).unwrap();
            let groups = read.groups_in_rules();
            assert_eq!((read.rules.len(), groups.len()), (2_000, 1), "{groups:?}");
        }
    });
    _ = std::fs::remove_dir_all(folder);
}
