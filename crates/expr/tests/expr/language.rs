//! Known sources: their values, or what is told of them and where.

use doortrack_expr::{Limits, LiteralRequest, MAX_SOURCE, Scratch, Type, compile, infer, render};

use crate::asked;
use crate::reference::{Plain, plain};

fn value(source: &str) -> (Type, Plain) {
    let program = infer(source, Limits::default())
        .unwrap_or_else(|faults| panic!("{}", render("test", source, &faults)));
    let (asked, mut scratch) = (asked(), Scratch::default());
    let value = program.eval(&asked, &mut scratch);
    (program.ty().clone(), plain(value, &scratch).unwrap())
}

fn text(text: &str) -> Plain {
    Plain::Text(text.as_bytes().to_vec())
}

#[test]
fn values_of_known_expressions() {
    for (source, wanted) in [
        ("1 + 2 * 3", Plain::Int(7)),
        ("-(2 - 5) % 2", Plain::Int(1)),
        ("1_000", Plain::Int(1000)),
        ("9223372036854775807 + 1", Plain::Int(i64::MAX)),
        ("-9223372036854775807 - 9", Plain::Int(i64::MIN)),
        ("(-9223372036854775807 - 1) / -1", Plain::Int(i64::MAX)),
        ("7 / (body_length - body_length) ?? -1", Plain::Int(-1)),
        ("1.5 * 2.0 >= 3.0", Plain::Bool(true)),
        ("float(\"nan\") ?? 0.5", Plain::Float(0.5)),
        ("float(\"1e400\") ?? 0.5", Plain::Float(0.5)),
        ("1.5s + 500ms == 2s", Plain::Bool(true)),
        ("time_of_day >= 8h && time_of_day < 18h", Plain::Bool(true)),
        ("header(\"x-yard\") ?? \"none\"", text("North")),
        ("lower(header(\"X-Yard\") ?? \"\")", text("north")),
        ("header(\"x-none\") ?? \"none\"", text("none")),
        ("header(\"x-raw\") ?? \"no text\"", text("no text")),
        ("len(raw_header(\"x-raw\") ?? b\"\")", Plain::Int(2)),
        ("header(\"x-twice\") ?? \"doubled\"", text("doubled")),
        ("header(\"x-empty\") ?? \"absent\"", text("")),
        ("parameter(\"day\") ?? \"\"", text("sat")),
        ("parameter(\"boat\") ?? \"doubled\"", text("doubled")),
        ("variable(\"REMOTE_USER\") ?? \"\"", text("ana")),
        ("segment(1) ?? \"\"", text("north")),
        ("segments[2] ?? \"\"", text("berth-4")),
        ("segments[-1] ?? \"none\"", text("none")),
        ("len(segments)", Plain::Int(3)),
        (
            "path.starts_with(\"/book/\") && !path.ends_with(\"/\")",
            Plain::Bool(true),
        ),
        ("\"north\" in segments", Plain::Bool(true)),
        ("method in [\"GET\", \"HEAD\"]", Plain::Bool(false)),
        (
            "any(segments, s -> s.starts_with(\"berth\"))",
            Plain::Bool(true),
        ),
        (
            "first(split(text(body) ?? \"\", \";\", 8), p -> p.starts_with(\"nights=\")) ?? \"\"",
            text("nights=2"),
        ),
        ("split(\"a,b,c,d\", \",\", 2)[1] ?? \"\"", text("b,c,d")),
        ("substring(\"äöü\", 1, 1)", text("ö")),
        ("substring(\"abc\", 2, 9)", text("c")),
        (
            "matches(path, \"^/book/[a-z]+/berth-[0-9]+$\")",
            Plain::Bool(true),
        ),
        (
            "cidr(peer, \"10.0.0.0/8\") && !cidr(peer, \"10.2.0.0/16\", \"::/0\")",
            Plain::Bool(true),
        ),
        (
            "hash(\"a\") == hash(b\"a\") && hash(\"a\") != hash(\"b\") && hash(path) % 8 >= 0",
            Plain::Bool(true),
        ),
        ("hex(255)", text("00000000000000ff")),
        (
            "let y = lower(header(\"x-yard\") ?? \"\"); if y == \"north\" { y + \"/\" + front } else { y }",
            text("north/uwsgi"),
        ),
        ("let x = 1; let x = x + 1; x", Plain::Int(2)),
        ("# a comment\n  true # and another", Plain::Bool(true)),
        (
            "if 1 > 2 { header(\"x-yard\") } else { \"plain\" }",
            text("plain"),
        ),
        (
            "header(\"x-none\") ?? parameter(\"none\") ?? \"last\"",
            text("last"),
        ),
        ("trim(\" a \") + upper(\"bß\")", text("aBß")),
        ("int(header(\"x-length\") ?? \"\") ?? 0", Plain::Int(12)),
        (
            "let l = [path, method]; any(l, a -> any(l, b -> a != b))",
            Plain::Bool(true),
        ),
        ("true || false && false", Plain::Bool(true)),
    ] {
        assert_eq!(value(source).1, wanted, "{source}");
    }
}

/// Message, the text at its place, and a part of its help.
fn told(source: &str) -> Vec<(String, String, String)> {
    let faults = infer(source, Limits::default())
        .err()
        .unwrap_or_else(|| panic!("taken: {source}"));
    let part = |from: usize, to: usize| source.get(from..to).unwrap_or_default().to_string();
    faults
        .into_iter()
        .map(|fault| {
            (
                fault.message,
                part(fault.span.from, fault.span.to),
                fault.help.unwrap_or_default(),
            )
        })
        .collect()
}

#[test]
fn each_fault_is_told_with_its_place_and_what_may_be_meant() {
    for (source, message, place, help) in [
        ("1 + \"a\"", "int is wanted", "\"a\"", ""),
        ("header(\"x\") == \"a\"", "is wanted, this is", "\"a\"", ""),
        (
            "lower(header(\"x\"))",
            "does not take optional string",
            "lower(header(\"x\"))",
            "?? other",
        ),
        ("if method { 1 } else { 2 }", "bool is wanted", "method", ""),
        ("if true { 1 } else { \"a\" }", "int is wanted", "\"a\"", ""),
        ("pth == \"a\"", "there is no value 'pth'", "pth", "'path'"),
        (
            "lowr(path)",
            "there is no function 'lowr'",
            "lowr",
            "'lower'",
        ),
        (
            "path(1)",
            "there is no function 'path'",
            "path",
            "is a value",
        ),
        (
            "lower == 1",
            "there is no value 'lower'",
            "lower",
            "lower(text)",
        ),
        (
            "lower(path, path)",
            "does not take 2 values",
            "lower(path, path)",
            "lower(text)",
        ),
        ("path ?? \"a\"", "never absent", "path", ""),
        ("matches(path, \"(\")", "no regular expression", "\"(\"", ""),
        ("matches(path, method)", "has to stand here", "method", ""),
        (
            "matches(path, \"[a-z]{1,1000}{1,1000}\")",
            "takes more than",
            "\"[a-z]{1,1000}{1,1000}\"",
            "",
        ),
        ("split(path, \"/\", 1000)", "from 1 to 64", "1000", ""),
        ("split(path, \"\", 2)", "at least one sign", "\"\"", ""),
        ("[1, \"a\"]", "int is wanted", "\"a\"", ""),
        ("[]", "at least one item", "[]", ""),
        ("any(path, s -> true)", "a list is wanted", "path", ""),
        ("any(segments, true)", "asked of each item", "true", "->"),
        ("lower(s -> s)", "can only stand in", "s", ""),
        (
            "cidr(peer, \"10.0.0.0/33\")",
            "a network is",
            "\"10.0.0.0/33\"",
            "",
        ),
        ("true < false", "does not compare bool", "true < false", ""),
        (
            "path in method",
            "a list is wanted behind 'in'",
            "method",
            "",
        ),
        ("1 < 2 < 3", "can't stand in a row", "<", ""),
        ("if true { 1 }", "'else' is wanted", "", ""),
        ("(1 + ", "source has ended", "", ""),
        ("\"abc", "without its end", "\"abc", ""),
        ("\"\\q\"", "an escape is one of", "", ""),
        ("5 parsecs", "nothing more is expected", "parsecs", ""),
        ("5x", "a unit of time is", "5x", ""),
        (
            "99999999999999999999",
            "a whole number is at most",
            "99999999999999999999",
            "",
        ),
        ("path § 1", "means nothing here", "§", ""),
        ("-path", "a number or a duration", "path", ""),
        ("\"\\xff\"", "this is no text", "\"\\xff\"", ""),
    ] {
        let faults = told(source);
        let found = faults.iter().any(|(m, p, h)| {
            m.contains(message) && (place.is_empty() || p == place) && h.contains(help)
        });
        assert!(found, "{source}: {faults:?}");
    }
}

#[test]
fn several_faults_are_told_at_a_time() {
    let faults = told("pth == \"a\" && lowr(path) == 1 && 5 == \"b\" && (mehod in [1])");
    assert_eq!(faults.len(), 4, "{faults:?}");
    let source = "let yard = hedder(\"x-yard\") ?? \"\";\nyard == \"north\"";
    let shown = render(
        "rules[3].when",
        source,
        &infer(source, Limits::default()).unwrap_err(),
    );
    assert!(
        shown.contains("rules[3].when:1:12") && shown.contains("perhaps 'header' is meant"),
        "{shown}"
    );
    assert_eq!(
        infer(source, Limits::default()).unwrap_err()[0].line(source),
        "1:12: there is no function 'hedder'; perhaps 'header' is meant"
    );
}

#[test]
fn what_would_cost_too_much_is_refused_with_the_part_that_costs_most() {
    let nested = "any(segments, a -> any(segments, b -> any(segments, c -> a + b + c == path)))";
    let faults = infer(nested, Limits::default()).unwrap_err();
    assert!(
        faults[0]
            .message
            .contains("steps, and at most 20000 are allowed"),
        "{faults:?}"
    );
    assert!(faults[0].span.to - faults[0].span.from > 40, "{faults:?}");
    // Doubled again and again it would be huge: told before the limit on steps.
    let mut huge = "let a = path + path;".to_string();
    let names = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
    for pair in names.windows(2) {
        huge += &format!(" let {} = {} + {};", pair[1], pair[0], pair[0]);
    }
    let faults = infer(&(huge + " len(l)"), Limits::default()).unwrap_err();
    assert!(
        faults
            .iter()
            .any(|fault| fault.message.contains("at most 65536 are allowed")),
        "{faults:?}"
    );
    assert!(
        infer(
            "len(path + path)",
            Limits {
                max_cost: 10,
                ..Limits::default()
            }
        )
        .is_err()
    );
}

#[test]
fn nesting_bombs_and_long_sources_are_refused_at_once() {
    for (open, close) in [
        ("(", ")"),
        ("[", "]"),
        ("!", ""),
        ("-", ""),
        ("lower(", ")"),
        ("if true { ", " } else { 1 }"),
    ] {
        for count in [100, 2000] {
            let source = open.repeat(count) + "1" + &close.repeat(count);
            if source.len() > MAX_SOURCE {
                continue;
            }
            let faults = infer(&source, Limits::default()).unwrap_err();
            assert!(
                faults.iter().any(|fault| fault.message.contains("deep")),
                "{open} {count}: {faults:?}"
            );
        }
    }
    for part in [" + 1", " - 1", " ?? 1", ".x()", "[0]"] {
        let source = "1".to_string() + &part.repeat(1000);
        assert!(infer(&source, Limits::default()).is_err(), "{part}");
    }
    let million = "(".repeat(1_000_000);
    assert!(
        infer(&million, Limits::default()).unwrap_err()[0]
            .message
            .contains("at most 8192 bytes")
    );
    // Side by side any number may stand.
    let wide = vec!["path == \"a\""; 300].join(" || ");
    assert!(
        infer(
            &wide,
            Limits {
                max_cost: u64::MAX,
                ..Limits::default()
            }
        )
        .is_ok()
    );
}

#[test]
fn more_than_was_declared_is_not_seen_and_costs_no_more() {
    let limits = Limits {
        variable: 16,
        body: 4,
        segments: 2,
        ..Limits::default()
    };
    let asked = LiteralRequest {
        path: format!("/{}", "a".repeat(5000)),
        ..asked()
    };
    let mut scratch = Scratch::default();
    for (source, wanted) in [
        ("path", text("")),
        ("header(\"x-yard\") ?? \"\"", text("North")),
        ("len(body)", Plain::Int(4)),
        ("body_length", Plain::Int(25)),
        ("query == \"\"", Plain::Bool(true)),
        ("parameter(\"day\") ?? \"unseen\"", text("unseen")),
    ] {
        let program = infer(source, limits).unwrap();
        let value = program.eval(&asked, &mut scratch);
        assert_eq!(plain(value, &scratch), Some(wanted), "{source}");
        assert!(scratch.steps <= program.cost().steps);
    }
}

#[test]
fn the_wanted_type_is_held_against_the_found_one() {
    assert!(compile("path", &Type::Str, Limits::default()).is_ok());
    assert!(
        compile("path", &Type::Str.optional(), Limits::default()).is_ok(),
        "what is there may be wanted or absent"
    );
    for (source, want) in [
        ("path", Type::Bool),
        ("header(\"x\")", Type::Str),
        ("body", Type::Str),
        ("path", Type::Bytes),
    ] {
        let faults = compile(source, &want, Limits::default()).unwrap_err();
        assert!(
            faults[0].message.contains("is wanted")
                && faults[0].help.is_some() == (want != Type::Bool),
            "{faults:?}"
        );
    }
}
