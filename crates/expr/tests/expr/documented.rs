//! Runs every example of the language reference.

use doortrack_expr::{Limits, Scratch, infer};

use crate::reference::{OwnedValue, to_owned_value};
use crate::sample_request;

fn rendered(value: &OwnedValue) -> String {
    match value {
        OwnedValue::Absent => "absent".into(),
        OwnedValue::Bool(truth) => truth.to_string(),
        OwnedValue::Int(n) => n.to_string(),
        OwnedValue::Float(n) => format!("{n:?}"),
        OwnedValue::Duration(micros) => format!("{micros}us"),
        OwnedValue::Text(bytes) => format!("{:?}", String::from_utf8_lossy(bytes)),
        other => format!("{other:?}"),
    }
}

#[test]
fn documented_examples_have_the_stated_results() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/expressions.md");
    let page = std::fs::read_to_string(page).unwrap();
    let (request, mut scratch, mut run) = (sample_request(), Scratch::default(), 0);
    for block in page.split("```expr\n").skip(1) {
        for line in block.split("```").next().unwrap().lines() {
            run += 1;
            if let Some((source, part)) = line.split_once(" =! ") {
                let errors = infer(source, Limits::default())
                    .err()
                    .unwrap_or_else(|| panic!("accepted: {source}"));
                let reported: String = errors.iter().map(|error| error.line(source)).collect();
                assert!(reported.contains(part), "{source}: {reported}");
                continue;
            }
            let (source, expected) = line
                .rsplit_once(" => ")
                .unwrap_or_else(|| panic!("not an example: {line}"));
            let program = infer(source, Limits::default())
                .unwrap_or_else(|errors| panic!("{source}: {errors:?}"));
            let value = program.eval(&request, &mut scratch);
            assert_eq!(
                rendered(&to_owned_value(value, &scratch).unwrap()),
                expected,
                "{source}"
            );
        }
    }
    assert!(run > 60, "{run} examples");
}
