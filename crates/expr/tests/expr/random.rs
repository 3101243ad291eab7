//! Random expressions of a wanted type, compiled and read plainly: the same value, within the bound of cost.

use doortrack_expr::{Limits, LiteralRequest, Scratch, Type, compile, infer, parse};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::asked;
use crate::reference::{Reference, plain};

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

fn of(ty: Type, depth: u32) -> Source {
    if depth == 0 {
        return literal(&ty);
    }
    let d = depth - 1;
    let any = |ty: Type| of(ty, d);
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
            move |may| of(ty.clone(), d).prop_map(move |other| format!("(({may}) ?? ({other}))"))
        }),
    ];
    let sign = |signs: &[&'static str]| prop::sample::select(signs.to_vec());
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
                    of(ty.clone(), d),
                    prop::sample::select(vec!["==", "!=", "<", "<=", ">", ">="]),
                    of(ty, d),
                )
                    .prop_map(|(left, op, right)| format!("(({left}) {op} ({right}))"))
            });
            let joined = (any(Type::Bool), sign(&["&&", "||"]), any(Type::Bool))
                .prop_map(|(left, op, right)| format!("(({left}) {op} ({right}))"));
            let texts = (
                prop::sample::select(vec!["starts_with", "ends_with", "contains"]),
                any(Type::Str),
                any(Type::Str),
            )
                .prop_map(|(fun, left, right)| format!("{fun}({left}, {right})"));
            let within = (any(Type::Str), any(Type::Str), any(Type::Str))
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
                within,
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
            let arithmetic = (any(Type::Int), sign(&["+", "-", "*"]), any(Type::Int))
                .prop_map(|(left, op, right)| format!("(({left}) {op} ({right}))"));
            let sure = (any(Type::Int), sign(&["/ 7", "% 10", "/ -1", "% -1"]))
                .prop_map(|(of, by)| format!("(({of}) {by})"));
            prop_oneof![
                arithmetic,
                sure,
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
            (any(Type::Float), sign(&["+", "-", "*"]), any(Type::Float))
                .prop_map(|(left, op, right)| format!("(({left}) {op} ({right}))")),
            any(Type::Int).prop_map(|of| format!("float({of})")),
            (any(Type::Float), any(Type::Float))
                .prop_map(|(one, two)| format!("max({one}, {two})")),
        ]
        .boxed(),
        Type::Duration => prop_oneof![
            (any(Type::Duration), sign(&["+", "-"]), any(Type::Duration))
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
    let of_text = (of(Type::Str, depth), 1..6)
        .prop_map(|(text, most)| format!("split({text}, \"/\", {most})"));
    let of_items = (of(Type::Str, depth), of(Type::Str, depth))
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
            of(Type::Bytes, depth).prop_map(|of| format!("text({of})")),
            (list(depth), of(Type::Int, depth))
                .prop_map(|(list, place)| format!("get({list}, {place})")),
            list(depth).prop_map(|list| format!("first({list}, item -> len(item) > 1)")),
        ]
        .boxed(),
        Type::Int => prop_oneof![
            of(Type::Str, depth).prop_map(|of| format!("int({of})")),
            (of(Type::Int, depth), of(Type::Int, depth))
                .prop_map(|(one, two)| format!("({one}) / (0 + ({two}))")),
        ]
        .boxed(),
        Type::Float => prop_oneof![
            of(Type::Str, depth).prop_map(|of| format!("float({of})")),
            (of(Type::Float, depth), of(Type::Float, depth))
                .prop_map(|(one, two)| format!("({one}) / (0.0 + ({two}))")),
        ]
        .boxed(),
        Type::Duration => (of(Type::Duration, depth), of(Type::Int, depth))
            .prop_map(|(one, two)| format!("({one}) / (0 + ({two}))"))
            .boxed(),
        Type::Bytes => Just("raw_header(\"x-raw\")".to_string()).boxed(),
        _ => of(Type::Bool, depth)
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
            of(ty.clone(), depth).prop_map(move |source| (ty.clone(), source))
        })
        .boxed()
}

/// Requests small and as large as the limits allow.
fn request() -> impl Strategy<Value = LiteralRequest> {
    (0..4u8, "[a-z/]{0,40}", any::<[u8; 4]>()).prop_map(|(kind, path, addr)| {
        let mut asked = LiteralRequest {
            path: format!("/{path}"),
            peer: addr.into(),
            ..asked()
        };
        if kind == 0 {
            asked.path = "/ab".repeat(4096 / 3);
            asked.body = vec![b'A'; 5000];
            asked.variables[0].1 = vec![b'N'; 4096];
            asked.query = "day=x&".repeat(600);
        }
        asked
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000, failure_persistence: None, rng_seed: RngSeed::Fixed(0x0d00_e479),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_compiled_form_agrees_with_a_plain_reading((ty, source) in any_source(), asked in request()) {
        let limits = Limits { max_cost: u64::MAX, ..Limits::default() };
        let program = match compile(&source, &ty, limits) {
            Ok(program) => program,
            // Only bounds may refuse what is sound by its types.
            Err(faults) => {
                let bounds = ["allowed", "deep", "at most", "too long"];
                let is_bound = |message: &str| bounds.iter().any(|bound| message.contains(bound));
                let told = faults.iter().all(|fault| is_bound(&fault.message));
                prop_assert!(told, "{source}\n{faults:?}");
                return Ok(());
            }
        };
        let parsed = parse(&source).unwrap();
        let wanted = Reference { request: &asked, names: Vec::new() }.eval(&parsed);
        let mut scratch = Scratch::default();
        for _ in 0..2 {
            let value = program.eval(&asked, &mut scratch);
            prop_assert_eq!(plain(value, &scratch), Some(wanted.clone()), "{}", source);
            let cost = program.cost();
            prop_assert!(scratch.steps <= cost.steps, "{} of {} steps: {source}", scratch.steps, cost.steps);
            let built = scratch.bytes();
            prop_assert!(built <= cost.bytes, "{built} of {} bytes: {source}", cost.bytes);
        }
    }

    #[test]
    fn any_text_is_read_or_refused(words in prop::collection::vec(prop::sample::select(vec![
        "let", "if", "else", "in", "x", "path", "(", ")", "[", "]", "{", "}", ",", ";", ".", "=", "==", "->",
        "??", "&&", "||", "+", "-", "!", "1", "2.5", "3ms", "4x", "\"a\"", "b\"\\xff\"", "\"", "\\",
        "#", "any", "split", "header", "é", "\u{0}",
    ]), 0..40), noise in ".{0,60}") {
        for source in [words.join(" "), words.concat(), noise] {
            match infer(&source, Limits::default()) {
                Ok(program) => prop_assert!(program.cost().steps <= Limits::default().max_cost),
                Err(faults) => {
                    prop_assert!(!faults.is_empty());
                    let within = |from, to| from <= to && to <= source.len();
                    let placed = faults.iter().all(|fault| within(fault.span.from, fault.span.to));
                    prop_assert!(placed, "{source:?}: {faults:?}");
                    prop_assert!(!doortrack_expr::render("source", &source, &faults).is_empty());
                }
            }
        }
    }
}
