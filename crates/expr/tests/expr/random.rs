//! Random expressions of a given type: the compiled form must yield the same value as the reference interpreter
//! and stay within its cost bound.

use doortrack_expr::{Limits, LiteralRequest, Scratch, Type, compile, infer, parse};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::reference::{Reference, to_owned_value};
use crate::sample_request;

type Source = BoxedStrategy<String>;

fn literal(of: &Type) -> Source {
    match of {
        Type::Bool => prop::sample::select(vec!["true", "false"])
            .prop_map(String::from)
            .boxed(),
        Type::Int => prop_oneof![
            (0..100i64).prop_map(|n| n.to_string()),
            Just("9223372036854775807".to_string()),
            Just("body_length".to_string()),
        ]
        .boxed(),
        Type::Float => prop::sample::select(vec!["0.0", "1.5", "2.25", "1000000.0"])
            .prop_map(String::from)
            .boxed(),
        Type::Duration => prop::sample::select(vec!["10ms", "1.5s", "2h", "time_of_day", "0us"])
            .prop_map(String::from)
            .boxed(),
        Type::Str => {
            let known = vec![
                "\"north\"",
                "\"NORTH\"",
                "\"\"",
                "\" ä b \"",
                "\"a/b/c\"",
                "path",
                "method",
                "front",
                "query",
                "\"12\"",
                "\"1.5\"",
                "\"x\\ty\"",
            ];
            prop::sample::select(known).prop_map(String::from).boxed()
        }
        Type::Bytes => prop::sample::select(vec!["b\"ab\"", "b\"\\xff\"", "body"])
            .prop_map(String::from)
            .boxed(),
        _ => panic!("no literal of {of}"),
    }
}

fn expression(ty: Type, depth: u32) -> Source {
    if depth == 0 {
        return literal(&ty);
    }
    let d = depth - 1;
    let any = |ty: Type| expression(ty, d);
    let bind = (any(Type::Int), any(ty.clone()))
        .prop_map(|(value, body)| format!("let n = {value}; {body}"));
    let choice = (any(Type::Bool), any(ty.clone()), any(ty.clone()))
        .prop_map(|(when, then, other)| format!("(if ({when}) {{ {then} }} else {{ {other} }})"));
    let shared = prop_oneof![
        2 => literal(&ty),
        1 => bind.prop_map(|source| format!("({source})")),
        1 => choice,
        1 => optional(ty.clone(), d).prop_flat_map({
            let ty = ty.clone();
            move |maybe| {
                expression(ty.clone(), d).prop_map(move |other| format!("(({maybe}) ?? ({other}))"))
            }
        }),
    ];
    let operator = |operators: &[&'static str]| prop::sample::select(operators.to_vec());
    let special: Source = match ty {
        Type::Bool => {
            let comparable = prop::sample::select(vec![
                Type::Int,
                Type::Float,
                Type::Str,
                Type::Bytes,
                Type::Duration,
            ]);
            let compare = comparable.prop_flat_map(move |ty| {
                (
                    expression(ty.clone(), d),
                    prop::sample::select(vec!["==", "!=", "<", "<=", ">", ">="]),
                    expression(ty, d),
                )
                    .prop_map(|(left, op, right)| format!("(({left}) {op} ({right}))"))
            });
            let joined = (any(Type::Bool), operator(&["&&", "||"]), any(Type::Bool))
                .prop_map(|(left, op, right)| format!("(({left}) {op} ({right}))"));
            let texts = (
                prop::sample::select(vec!["starts_with", "ends_with", "contains"]),
                any(Type::Str),
                any(Type::Str),
            )
                .prop_map(|(fun, left, right)| format!("{fun}({left}, {right})"));
            let is_in_list = (any(Type::Str), any(Type::Str), any(Type::Str))
                .prop_map(|(of, one, two)| format!("(({of}) in [{one}, {two}, \"north\"])"));
            let ints = any(Type::Int).prop_map(|of| format!("(({of}) in [1, 2, 25])"));
            let each = (
                prop::sample::select(vec!["any", "all"]),
                list(d),
                any(Type::Str),
            )
                .prop_map(|(fun, list, other)| {
                    format!("{fun}({list}, item -> item == {other} || len(item) > 3)")
                });
            let matches = any(Type::Str).prop_map(|of| format!("matches({of}, \"^[a-n]+/?\")"));
            prop_oneof![
                compare,
                joined,
                texts,
                is_in_list,
                ints,
                each,
                matches,
                any(Type::Bool).prop_map(|of| format!("!({of})")),
                optional(Type::Str, d).prop_map(|of| format!("present({of})")),
                Just("cidr(peer, \"10.0.0.0/8\", \"192.0.2.0/24\")".to_string()),
            ]
            .boxed()
        }
        Type::Int => {
            let arithmetic = (any(Type::Int), operator(&["+", "-", "*"]), any(Type::Int))
                .prop_map(|(left, op, right)| format!("(({left}) {op} ({right}))"));
            let nonzero_divisor = (any(Type::Int), operator(&["/ 7", "% 10", "/ -1", "% -1"]))
                .prop_map(|(of, by)| format!("(({of}) {by})"));
            prop_oneof![
                arithmetic,
                nonzero_divisor,
                any(Type::Str).prop_map(|of| format!("len({of})")),
                any(Type::Bytes).prop_map(|of| format!("hash({of})")),
                list(d).prop_map(|of| format!("len({of})")),
                any(Type::Int).prop_map(|of| format!("-({of})")),
                any(Type::Float).prop_map(|of| format!("int({of})")),
                (any(Type::Int), any(Type::Int))
                    .prop_map(|(one, two)| format!("min({one}, {two})")),
            ]
            .boxed()
        }
        Type::Float => prop_oneof![
            (
                any(Type::Float),
                operator(&["+", "-", "*"]),
                any(Type::Float)
            )
                .prop_map(|(left, op, right)| format!("(({left}) {op} ({right}))")),
            any(Type::Int).prop_map(|of| format!("float({of})")),
            (any(Type::Float), any(Type::Float))
                .prop_map(|(one, two)| format!("max({one}, {two})")),
        ]
        .boxed(),
        Type::Duration => prop_oneof![
            (
                any(Type::Duration),
                operator(&["+", "-"]),
                any(Type::Duration)
            )
                .prop_map(|(left, op, right)| format!("(({left}) {op} ({right}))")),
            (any(Type::Duration), any(Type::Int))
                .prop_map(|(left, right)| format!("(({left}) * ({right}))")),
            any(Type::Duration).prop_map(|of| format!("-({of})")),
        ]
        .boxed(),
        Type::Str => prop_oneof![
            (
                prop::sample::select(vec!["lower", "upper", "trim"]),
                any(Type::Str)
            )
                .prop_map(|(fun, of)| format!("{fun}({of})")),
            any(Type::Int).prop_map(|of| format!("hex({of})")),
            (any(Type::Str), any(Type::Str)).prop_map(|(one, two)| format!("(({one}) + ({two}))")),
            (any(Type::Str), any(Type::Int), 0..5)
                .prop_map(|(of, from, count)| format!("substring({of}, {from}, {count})")),
        ]
        .boxed(),
        Type::Bytes => any(Type::Str).prop_map(|of| format!("bytes({of})")).boxed(),
        _ => panic!("{ty}"),
    };
    prop_oneof![1 => shared, 2 => special].boxed()
}

fn list(depth: u32) -> Source {
    let of_text = (expression(Type::Str, depth), 1..6)
        .prop_map(|(text, most)| format!("split({text}, \"/\", {most})"));
    let of_items = (expression(Type::Str, depth), expression(Type::Str, depth))
        .prop_map(|(one, two)| format!("[{one}, {two}]"));
    prop_oneof![Just("segments".to_string()), of_text, of_items].boxed()
}

fn optional(ty: Type, depth: u32) -> Source {
    match ty {
        Type::Str => prop_oneof![
            prop::sample::select(vec![
                "header(\"x-yard\")",
                "header(\"x-raw\")",
                "header(\"x-twice\")",
                "header(\"x-none\")",
                "header(\"x-empty\")",
                "variable(\"REMOTE_USER\")",
                "parameter(\"day\")",
                "parameter(\"boat\")",
                "segment(1)",
                "segment(9)",
            ])
            .prop_map(String::from),
            expression(Type::Bytes, depth).prop_map(|of| format!("text({of})")),
            (list(depth), expression(Type::Int, depth))
                .prop_map(|(list, place)| format!("get({list}, {place})")),
            list(depth).prop_map(|list| format!("first({list}, item -> len(item) > 1)")),
        ]
        .boxed(),
        Type::Int => prop_oneof![
            expression(Type::Str, depth).prop_map(|of| format!("int({of})")),
            (expression(Type::Int, depth), expression(Type::Int, depth))
                .prop_map(|(one, two)| format!("({one}) / (0 + ({two}))")),
        ]
        .boxed(),
        Type::Float => prop_oneof![
            expression(Type::Str, depth).prop_map(|of| format!("float({of})")),
            (
                expression(Type::Float, depth),
                expression(Type::Float, depth)
            )
                .prop_map(|(one, two)| format!("({one}) / (0.0 + ({two}))")),
        ]
        .boxed(),
        Type::Duration => (
            expression(Type::Duration, depth),
            expression(Type::Int, depth),
        )
            .prop_map(|(one, two)| format!("({one}) / (0 + ({two}))"))
            .boxed(),
        Type::Bytes => Just("raw_header(\"x-raw\")".to_string()).boxed(),
        _ => expression(Type::Bool, depth)
            .prop_map(|of| format!("first([{of}], item -> item)"))
            .boxed(),
    }
}

fn any_source() -> BoxedStrategy<(Type, String)> {
    let types = vec![
        Type::Bool,
        Type::Int,
        Type::Float,
        Type::Str,
        Type::Bytes,
        Type::Duration,
    ];
    (prop::sample::select(types), 0..4u32)
        .prop_flat_map(|(ty, depth)| {
            expression(ty.clone(), depth).prop_map(move |source| (ty.clone(), source))
        })
        .boxed()
}

/// Small requests, and some that reach or exceed the limits.
fn any_request() -> impl Strategy<Value = LiteralRequest> {
    (0..4u8, "[a-z/]{0,40}", any::<[u8; 4]>()).prop_map(|(kind, path, addr)| {
        let mut request = LiteralRequest {
            path: format!("/{path}"),
            peer: addr.into(),
            ..sample_request()
        };
        if kind == 0 {
            request.path = "/ab".repeat(4096 / 3);
            request.body = vec![b'A'; 5000];
            request.variables[0].1 = vec![b'N'; 4096];
            request.query = "day=x&".repeat(600);
        }
        request
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000, failure_persistence: None, rng_seed: RngSeed::Fixed(0x0d00_e479),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_compiled_form_agrees_with_the_reference_interpreter(
        (ty, source) in any_source(), request in any_request()
    ) {
        let limits = Limits { max_cost: u64::MAX, ..Limits::default() };
        let program = match compile(&source, &ty, limits) {
            Ok(program) => program,
            // A well-typed expression may be rejected only for exceeding a limit.
            Err(errors) => {
                let bounds = ["allowed", "deep", "at most", "too long"];
                let is_bound = |message: &str| bounds.iter().any(|bound| message.contains(bound));
                let reported = errors.iter().all(|error| is_bound(&error.message));
                prop_assert!(reported, "{source}\n{errors:?}");
                return Ok(());
            }
        };
        let parsed = parse(&source).unwrap();
        let expected = Reference { request: &request, names: Vec::new() }.eval(&parsed);
        let mut scratch = Scratch::default();
        for _ in 0..2 {
            let value = program.eval(&request, &mut scratch);
            prop_assert_eq!(to_owned_value(value, &scratch), Some(expected.clone()), "{}", source);
            let cost = program.cost();
            prop_assert!(scratch.steps <= cost.steps, "{} of {} steps: {source}", scratch.steps, cost.steps);
            let built = scratch.bytes();
            prop_assert!(built <= cost.bytes, "{built} of {} bytes: {source}", cost.bytes);
        }
    }

    #[test]
    fn any_source_is_compiled_or_rejected_with_valid_spans(words in prop::collection::vec(prop::sample::select(vec![
        "let", "if", "else", "in", "x", "path", "(", ")", "[", "]", "{", "}", ",", ";", ".", "=", "==", "->",
        "??", "&&", "||", "+", "-", "!", "1", "2.5", "3ms", "4x", "\"a\"", "b\"\\xff\"", "\"", "\\",
        "#", "any", "split", "header", "é", "\u{0}",
    ]), 0..40), noise in ".{0,60}") {
        for source in [words.join(" "), words.concat(), noise] {
            match infer(&source, Limits::default()) {
                Ok(program) => prop_assert!(program.cost().steps <= Limits::default().max_cost),
                Err(errors) => {
                    prop_assert!(!errors.is_empty());
                    let is_in_list = |from, to| from <= to && to <= source.len();
                    let placed = errors.iter().all(|error| is_in_list(error.span.from, error.span.to));
                    prop_assert!(placed, "{source:?}: {errors:?}");
                    prop_assert!(!doortrack_expr::render("source", &source, &errors).is_empty());
                }
            }
        }
    }
}
