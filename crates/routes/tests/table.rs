//! Rule tables: the index compared with evaluating all rules in order, the classification of requests, and the
//! errors and shadowed rules that a build reports.

#![allow(
    clippy::too_many_lines,
    reason = "a scenario is read from its start to its end"
)]

use doortrack_expr::{Limits, LiteralRequest, Scratch};
use doortrack_routes::{Classification, GroupName, Names, Rejection, Rule, Table};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn names() -> Names {
    Names {
        groups: vec![GroupName::new("look", false), GroupName::new("pay", true)],
        tenants: vec!["north".into(), "south".into()],
        pools: vec!["main".into(), "slow".into()],
    }
}

fn rule(when: &str, group: &str) -> Rule {
    Rule {
        when: when.into(),
        group: group.into(),
        ..Rule::default()
    }
}

fn table(rules: &[Rule]) -> Table {
    Table::build(rules, &names(), Limits::default()).unwrap().0
}

fn errors(rules: &[Rule]) -> Vec<String> {
    let errors = Table::build(rules, &names(), Limits::default())
        .err()
        .unwrap_or_default();
    errors.iter().map(ToString::to_string).collect()
}

fn path(path: &str) -> LiteralRequest {
    LiteralRequest {
        path: path.into(),
        ..LiteralRequest::default()
    }
}

fn matched_rule(table: &Table, request: &LiteralRequest) -> Option<u32> {
    let mut scratch = Scratch::default();
    let found = table.classify(request, &mut scratch);
    assert_eq!(
        found,
        table.classify_in_order(request, &mut scratch),
        "{request:?}"
    );
    match found {
        Classification::Matched(class) => Some(class.rule),
        Classification::Rejected { rule, .. } => Some(rule),
        Classification::NoRule => None,
    }
}

#[test]
fn the_first_rule_whose_condition_holds_matches() {
    let table = table(&[
        rule("path == \"/book/special\"", "look"),
        rule(
            "path.starts_with(\"/book/\") && (header(\"x-yard\") ?? \"\") == \"north\"",
            "pay",
        ),
        rule("body_length > 100", "look"),
        rule("path.starts_with(\"/book/\")", "pay"),
        rule("(segment(1) ?? \"none\") in [\"a\", \"b\"]", "look"),
        rule("method in [\"GET\", \"HEAD\"]", "look"),
    ]);
    assert_eq!((table.len(), table.unindexed()), (6, 1));
    for (request, expected) in [
        (path("/book/special"), Some(0)),
        (path("/book/x").header("x-yard", "north"), Some(1)),
        (path("/book/x").header("x-yard", "south"), Some(3)),
        (
            path("/book/x")
                .header("x-yard", "north")
                .header("x-yard", "north"),
            Some(3),
        ),
        (
            LiteralRequest {
                body: vec![0; 200],
                ..path("/book/x")
            },
            Some(2),
        ),
        (path("/other/b"), Some(4)),
        (path("/other/c"), None),
        (
            LiteralRequest {
                method: "GET".into(),
                ..path("/other/c")
            },
            Some(5),
        ),
        (path(""), None),
    ] {
        assert_eq!(matched_rule(&table, &request), expected, "{request:?}");
    }
}

#[test]
fn a_rule_determines_the_class_of_a_request() {
    let complete = Rule {
        tenant: Some("lower(header(\"x-yard\") ?? \"\")".into()),
        session_key: Some("segment(1)".into()),
        idempotency_key: Some("header(\"x-order\")".into()),
        rank: Some("if body_length > 10 { 7.5 } else { 0.25 }".into()),
        timeout: None,
        pool: Some("slow".into()),
        ..rule("path.starts_with(\"/pay/\")", "pay")
    };
    let due = Rule {
        timeout: Some("int(header(\"x-wait-ms\") ?? \"\") ?? 0".into()),
        ..rule("true", "look")
    };
    assert!(
        errors(&[due])
            .iter()
            .any(|error| error.contains("rules[0].due: duration is wanted"))
    );
    let due = Rule {
        timeout: Some("1ms * (int(header(\"x-wait-ms\") ?? \"\") ?? -5)".into()),
        ..rule("true", "look")
    };
    let table = table(&[complete, due]);
    let class = |request: &LiteralRequest| table.classify(request, &mut Scratch::default());
    let complete_request = path("/pay/berth-4")
        .header("x-yard", "South")
        .header("x-order", "77");
    let Classification::Matched(one) = class(&complete_request) else {
        panic!()
    };
    assert_eq!(
        (one.rule, one.group, one.tenant, one.pool, one.rank),
        (0, 1, Some(1), Some(1), Some(0.25))
    );
    let Classification::Matched(again) = class(&complete_request) else {
        panic!()
    };
    assert_eq!(one, again);
    let other = path("/pay/berth-5")
        .header("x-yard", "South")
        .header("x-order", "78");
    let Classification::Matched(other) = class(&LiteralRequest {
        body: vec![0; 20],
        ..other
    }) else {
        panic!()
    };
    assert!(other.session_key != one.session_key && other.idempotency_key != one.idempotency_key);
    assert!(
        other.rank.is_some_and(|rank| rank < 1.0 && rank > 0.999),
        "a rank is less than 1"
    );
    // With an empty idempotency key all requests would be duplicates; an empty session key counts as absent.
    for (request, why) in [
        (
            path("/pay/x").header("x-yard", "south"),
            Rejection::IdempotencyKey,
        ),
        (
            path("/pay/x")
                .header("x-yard", "south")
                .header("x-order", ""),
            Rejection::IdempotencyKey,
        ),
        (path("/pay/x").header("x-order", "1"), Rejection::Tenant),
        (
            path("/pay/x")
                .header("x-order", "1")
                .header("x-yard", "\u{fffd}"),
            Rejection::Tenant,
        ),
    ] {
        assert_eq!(class(&request), Classification::Rejected { rule: 0, why });
    }
    let Classification::Matched(none) = class(
        &path("/pay/")
            .header("x-order", "1")
            .header("x-yard", "north"),
    ) else {
        panic!()
    };
    assert_eq!(none.session_key, None);
    let timeout_of = |request: &LiteralRequest| {
        if let Classification::Matched(class) = class(request) {
            class.timeout
        } else {
            None
        }
    };
    assert_eq!(
        timeout_of(&path("/").header("x-wait-ms", "250")),
        Some(2500)
    );
    assert_eq!(timeout_of(&path("/")), Some(0));
}

#[test]
fn every_error_names_its_rule_and_key() {
    let reported = errors(&[
        rule("pth == \"a\"", "look"),
        Rule {
            tenant: Some("1".into()),
            idempotency_key: Some("path".into()),
            ..rule("true", "look")
        },
        Rule {
            pool: Some("fast".into()),
            ..rule("header(\"x\")", "pays")
        },
        Rule {
            rank: Some("path".into()),
            session_key: Some("(".into()),
            ..rule("true", "pay")
        },
    ]);
    for part in [
        "rules[0].when: 1:1: there is no value 'pth'; perhaps 'path' is meant",
        "rules[1].customer: string is wanted, this is int",
        "rules[1].idempotency_key: exchanges of 'look' are not deduplicated",
        "rules[2].when: bool is wanted, this is optional string",
        "rules[2].group: 'pays' is none of the endpoint groups look, pay",
        "rules[2].servers: 'fast' is none of the pools main, slow",
        "rules[3].rank: float is wanted, this is string",
        "rules[3].subject: 1:2: something is wanted here",
    ] {
        assert!(
            reported.iter().any(|error| error.starts_with(part)),
            "{part}\n{reported:#?}"
        );
    }
}

#[test]
fn shadowed_rules_are_reported() {
    let rules = [
        rule("path.starts_with(\"/a/\")", "look"),
        rule("path.starts_with(\"/a/b\")", "look"),
        rule("path == \"/a/x\"", "look"),
        rule("method == \"GET\" && body_length > 3", "look"),
        rule("body_length > 3 && method == \"GET\"", "look"),
        rule("method == \"PUT\"", "look"),
        rule("front == \"uwsgi\" && method == \"PUT\"", "look"),
        rule("path == \"/b\"", "look"),
        rule("true", "look"),
        rule("path == \"/c\"", "look"),
    ];
    let (_, shadowed) = Table::build(&rules, &names(), Limits::default()).unwrap();
    let found: Vec<(usize, usize)> = shadowed
        .iter()
        .map(|entry| (entry.rule, entry.by))
        .collect();
    assert_eq!(found, [(1, 0), (2, 0), (4, 3), (6, 5), (9, 8)]);
}

#[test]
fn a_hundred_thousand_rules_are_accepted_or_rejected_in_bounded_time() {
    let mut rules: Vec<Rule> = (0..100_000)
        .map(|n| {
            rule(
                &format!("path.starts_with(\"/yard-{n}/\") && method == \"POST\""),
                "look",
            )
        })
        .collect();
    let table = table(&rules);
    assert_eq!(table.unindexed(), 0);
    for n in [0, 1, 77, 99_999] {
        assert_eq!(
            matched_rule(&table, &path(&format!("/yard-{n}/book"))),
            Some(n)
        );
    }
    rules.push(rule("true", "look"));
    assert!(errors(&rules)[0].contains("at most 100000 are wanted"));
    // If all rules are invalid, no further ones are compiled after fifty errors.
    rules
        .iter_mut()
        .for_each(|rule| rule.when = "(".repeat(8000));
    rules.pop();
    assert!((50..60).contains(&errors(&rules).len()));
}

const WORDS: [&str; 5] = ["a", "b", "north", "é", "x/y"];

fn condition() -> impl Strategy<Value = String> {
    let word = prop::sample::select(WORDS.to_vec());
    let part = (word.clone(), word, 0..12u8).prop_map(|(one, other, kind)| match kind {
        0 => format!("path == \"/{one}\""),
        1 => format!("path.starts_with(\"/{one}\")"),
        2 => format!("path.starts_with(\"/{one}/{other}\")"),
        3 => format!(
            "(header(\"x-{}\") ?? \"\") == \"{other}\"",
            if one == "a" { "one" } else { "two" }
        ),
        4 => format!("(header(\"x-one\") ?? \"{one}\") == \"{other}\""),
        5 => format!("(segment(0) ?? \"\") in [\"{one}\", \"{other}\"]"),
        6 => format!("\"{one}\" == (segment(1) ?? \"none\")"),
        7 => format!("path.contains(\"{one}\")"),
        8 => "method in [\"GET\", \"POST\", \"\"]".into(),
        9 => format!("!(path == \"/{one}\")"),
        10 => format!("(segment(0) ?? \"\") == \"{one}\" || (segment(1) ?? \"\") == \"{other}\""),
        _ => format!(
            "front == \"{}\"",
            if one == "a" { "uwsgi" } else { "fastcgi" }
        ),
    });
    prop::collection::vec(part, 1..4).prop_map(|parts| {
        let wrapped: Vec<String> = parts
            .iter()
            .map(|part| {
                if part.contains("||") {
                    format!("({part})")
                } else {
                    part.clone()
                }
            })
            .collect();
        wrapped.join(" && ")
    })
}

fn request() -> impl Strategy<Value = LiteralRequest> {
    let word = || prop::sample::select(WORDS.to_vec());
    (
        prop::collection::vec(word(), 0..4),
        prop::collection::vec((any::<bool>(), word()), 0..3),
        any::<bool>(),
    )
        .prop_map(|(segments, headers, get)| {
            let mut request = path(&format!("/{}", segments.join("/")));
            request.method = if get { "GET".into() } else { "PUT".into() };
            headers.into_iter().fold(request, |request, (one, value)| {
                request.header(if one { "x-one" } else { "x-two" }, value)
            })
        })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(0x0d00_2011),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_index_finds_the_rule_that_evaluation_in_order_finds(
        conditions in prop::collection::vec(condition(), 0..60),
        requests in prop::collection::vec(request(), 1..20),
    ) {
        let rules: Vec<Rule> = conditions.iter().map(|when| rule(when, "look")).collect();
        let (table, shadowed) = Table::build(&rules, &names(), Limits::default()).unwrap();
        for request in &requests {
            let found = matched_rule(&table, request);
            // A rule that is reported as shadowed never matches.
            prop_assert!(shadowed.iter().all(|entry| found != Some(entry.rule as u32)), "{found:?} {shadowed:?}");
        }
    }
}
