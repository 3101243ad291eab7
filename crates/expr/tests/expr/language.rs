//! Values of known expressions, and the errors reported for invalid ones with their positions.

use doortrack_expr::{Limits, LiteralRequest, MAX_SOURCE, Scratch, Type, compile, infer, render};

use crate::reference::{OwnedValue, to_owned_value};
use crate::sample_request;

fn value(source: &str) -> (Type, OwnedValue) {
    let program = infer(source, Limits::default())
        .unwrap_or_else(|errors| panic!("{}", render("test", source, &errors)));
    let (request, mut scratch) = (sample_request(), Scratch::default());
    let value = program.eval(&request, &mut scratch);
    (
        program.ty().clone(),
        to_owned_value(value, &scratch).unwrap(),
    )
}

fn text(text: &str) -> OwnedValue {
    OwnedValue::Text(text.as_bytes().to_vec())
}

#[test]
fn values_of_known_expressions() {
    for (source, expected) in [
        ("1 + 2 * 3", OwnedValue::Int(7)),
        ("-(2 - 5) % 2", OwnedValue::Int(1)),
        ("1_000", OwnedValue::Int(1000)),
        ("9223372036854775807 + 1", OwnedValue::Int(i64::MAX)),
        ("-9223372036854775807 - 9", OwnedValue::Int(i64::MIN)),
        ("(-9223372036854775807 - 1) / -1", OwnedValue::Int(i64::MAX)),
        ("7 / (body_length - body_length) ?? -1", OwnedValue::Int(-1)),
        ("1.5 * 2.0 >= 3.0", OwnedValue::Bool(true)),
        ("float(\"nan\") ?? 0.5", OwnedValue::Float(0.5)),
        ("float(\"1e400\") ?? 0.5", OwnedValue::Float(0.5)),
        ("1.5s + 500ms == 2s", OwnedValue::Bool(true)),
        (
            "time_of_day >= 8h && time_of_day < 18h",
            OwnedValue::Bool(true),
        ),
        ("header(\"x-yard\") ?? \"none\"", text("North")),
        ("lower(header(\"X-Yard\") ?? \"\")", text("north")),
        ("header(\"x-none\") ?? \"none\"", text("none")),
        ("header(\"x-raw\") ?? \"no text\"", text("no text")),
        ("len(raw_header(\"x-raw\") ?? b\"\")", OwnedValue::Int(2)),
        ("header(\"x-twice\") ?? \"doubled\"", text("doubled")),
        ("header(\"x-empty\") ?? \"absent\"", text("")),
        ("parameter(\"day\") ?? \"\"", text("sat")),
        ("parameter(\"boat\") ?? \"doubled\"", text("doubled")),
        ("variable(\"REMOTE_USER\") ?? \"\"", text("ana")),
        ("segment(1) ?? \"\"", text("north")),
        ("segments[2] ?? \"\"", text("berth-4")),
        ("segments[-1] ?? \"none\"", text("none")),
        ("len(segments)", OwnedValue::Int(3)),
        (
            "path.starts_with(\"/book/\") && !path.ends_with(\"/\")",
            OwnedValue::Bool(true),
        ),
        ("\"north\" in segments", OwnedValue::Bool(true)),
        ("method in [\"GET\", \"HEAD\"]", OwnedValue::Bool(false)),
        (
            "any(segments, s -> s.starts_with(\"berth\"))",
            OwnedValue::Bool(true),
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
            OwnedValue::Bool(true),
        ),
        (
            "cidr(peer, \"10.0.0.0/8\") && !cidr(peer, \"10.2.0.0/16\", \"::/0\")",
            OwnedValue::Bool(true),
        ),
        (
            "hash(\"a\") == hash(b\"a\") && hash(\"a\") != hash(\"b\") && hash(path) % 8 >= 0",
            OwnedValue::Bool(true),
        ),
        ("hex(255)", text("00000000000000ff")),
        (
            "let y = lower(header(\"x-yard\") ?? \"\"); if y == \"north\" { y + \"/\" + front } else { y }",
            text("north/uwsgi"),
        ),
        ("let x = 1; let x = x + 1; x", OwnedValue::Int(2)),
        ("# a comment\n  true # and another", OwnedValue::Bool(true)),
        (
            "if 1 > 2 { header(\"x-yard\") } else { \"plain\" }",
            text("plain"),
        ),
        (
            "header(\"x-none\") ?? parameter(\"none\") ?? \"last\"",
            text("last"),
        ),
        ("trim(\" a \") + upper(\"bß\")", text("aBß")),
        (
            "int(header(\"x-length\") ?? \"\") ?? 0",
            OwnedValue::Int(12),
        ),
        (
            "let l = [path, method]; any(l, a -> any(l, b -> a != b))",
            OwnedValue::Bool(true),
        ),
        ("true || false && false", OwnedValue::Bool(true)),
    ] {
        assert_eq!(value(source).1, expected, "{source}");
    }
}

/// Returns the message, the source text of the span and the help of each reported error.
fn reported_errors(source: &str) -> Vec<(String, String, String)> {
    let errors = infer(source, Limits::default())
        .err()
        .unwrap_or_else(|| panic!("accepted: {source}"));
    let part = |from: usize, to: usize| source.get(from..to).unwrap_or_default().to_string();
    errors
        .into_iter()
        .map(|error| {
            (
                error.message,
                part(error.span.from, error.span.to),
                error.help.unwrap_or_default(),
            )
        })
        .collect()
}

#[test]
fn errors_have_message_span_and_help() {
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
        let errors = reported_errors(source);
        let found = errors.iter().any(|(m, p, h)| {
            m.contains(message) && (place.is_empty() || p == place) && h.contains(help)
        });
        assert!(found, "{source}: {errors:?}");
    }
}

#[test]
fn several_errors_are_reported_at_once() {
    let errors = reported_errors("pth == \"a\" && lowr(path) == 1 && 5 == \"b\" && (mehod in [1])");
    assert_eq!(errors.len(), 4, "{errors:?}");
    let source = "let yard = hedder(\"x-yard\") ?? \"\";\nyard == \"north\"";
    let rendered = render(
        "rules[3].when",
        source,
        &infer(source, Limits::default()).unwrap_err(),
    );
    assert!(
        rendered.contains("rules[3].when:1:12") && rendered.contains("perhaps 'header' is meant"),
        "{rendered}"
    );
    assert_eq!(
        infer(source, Limits::default()).unwrap_err()[0].line(source),
        "1:12: there is no function 'hedder'; perhaps 'header' is meant"
    );
}

#[test]
fn too_costly_expressions_are_rejected_with_the_costliest_span() {
    let nested = "any(segments, a -> any(segments, b -> any(segments, c -> a + b + c == path)))";
    let errors = infer(nested, Limits::default()).unwrap_err();
    assert!(
        errors[0]
            .message
            .contains("steps, and at most 20000 are allowed"),
        "{errors:?}"
    );
    assert!(errors[0].span.to - errors[0].span.from > 40, "{errors:?}");
    // Repeated doubling exceeds the string limit, which is reported before the step limit.
    let mut huge = "let a = path + path;".to_string();
    let names = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
    for pair in names.windows(2) {
        huge += &format!(" let {} = {} + {};", pair[1], pair[0], pair[0]);
    }
    let errors = infer(&(huge + " len(l)"), Limits::default()).unwrap_err();
    assert!(
        errors
            .iter()
            .any(|error| error.message.contains("at most 65536 are allowed")),
        "{errors:?}"
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
fn deeply_nested_and_long_sources_are_rejected() {
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
            let errors = infer(&source, Limits::default()).unwrap_err();
            assert!(
                errors.iter().any(|error| error.message.contains("deep")),
                "{open} {count}: {errors:?}"
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
    // Flat chains of `||` don't count as nesting.
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
fn data_over_the_limits_is_hidden_and_stays_within_the_cost_bound() {
    let limits = Limits {
        variable: 16,
        body: 4,
        segments: 2,
        ..Limits::default()
    };
    let request = LiteralRequest {
        path: format!("/{}", "a".repeat(5000)),
        ..sample_request()
    };
    let mut scratch = Scratch::default();
    for (source, expected) in [
        ("path", text("")),
        ("header(\"x-yard\") ?? \"\"", text("North")),
        ("len(body)", OwnedValue::Int(4)),
        ("body_length", OwnedValue::Int(25)),
        ("query == \"\"", OwnedValue::Bool(true)),
        ("parameter(\"day\") ?? \"unseen\"", text("unseen")),
    ] {
        let program = infer(source, limits).unwrap();
        let value = program.eval(&request, &mut scratch);
        assert_eq!(to_owned_value(value, &scratch), Some(expected), "{source}");
        assert!(scratch.steps <= program.cost().steps);
    }
}

#[test]
fn the_expected_type_is_compared_with_the_found_one() {
    assert!(compile("path", &Type::Str, Limits::default()).is_ok());
    assert!(
        compile("path", &Type::Str.optional(), Limits::default()).is_ok(),
        "a value that is always present must be accepted where an optional one is expected"
    );
    for (source, want) in [
        ("path", Type::Bool),
        ("header(\"x\")", Type::Str),
        ("body", Type::Str),
        ("path", Type::Bytes),
    ] {
        let errors = compile(source, &want, Limits::default()).unwrap_err();
        assert!(
            errors[0].message.contains("is wanted")
                && errors[0].help.is_some() == (want != Type::Bool),
            "{errors:?}"
        );
    }
}
