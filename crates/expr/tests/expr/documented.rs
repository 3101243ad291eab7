//! Every example of the language reference is run.

use doortrack_expr::{Limits, Scratch, infer};

use crate::asked;
use crate::reference::{Plain, plain};

fn shown(plain: &Plain) -> String {
    match plain {
        Plain::Absent => "absent".into(),
        Plain::Bool(truth) => truth.to_string(),
        Plain::Int(n) => n.to_string(),
        Plain::Float(n) => format!("{n:?}"),
        Plain::Duration(micros) => format!("{micros}us"),
        Plain::Text(bytes) => format!("{:?}", String::from_utf8_lossy(bytes)),
        other => format!("{other:?}"),
    }
}

#[test]
fn the_examples_of_the_reference_come_to_what_they_say() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/expressions.md");
    let page = std::fs::read_to_string(page).unwrap();
    let (asked, mut scratch, mut run) = (asked(), Scratch::default(), 0);
    for block in page.split("```expr\n").skip(1) {
        for line in block.split("```").next().unwrap().lines() {
            run += 1;
            if let Some((source, part)) = line.split_once(" =! ") {
                let faults = infer(source, Limits::default())
                    .err()
                    .unwrap_or_else(|| panic!("taken: {source}"));
                let told: String = faults.iter().map(|fault| fault.line(source)).collect();
                assert!(told.contains(part), "{source}: {told}");
                continue;
            }
            let (source, wanted) = line
                .rsplit_once(" => ")
                .unwrap_or_else(|| panic!("no example: {line}"));
            let program = infer(source, Limits::default())
                .unwrap_or_else(|faults| panic!("{source}: {faults:?}"));
            let value = program.eval(&asked, &mut scratch);
            assert_eq!(shown(&plain(value, &scratch).unwrap()), wanted, "{source}");
        }
    }
    assert!(run > 60, "{run} examples");
}
