//! Benchmarks of the rule table: loading few and many rules, and matching a request.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use doortrack_expr::{Limits, LiteralRequest, Scratch};
use doortrack_routes::{GroupName, Names, Rule, Table};

fn rules(count: usize) -> Vec<Rule> {
    let when = |index: usize| match index % 3 {
        0 => format!("path.starts_with(\"/yard-{index}/\")"),
        1 => format!("(header(\"x-yard\") ?? \"\") == \"yard-{index}\" && method == \"POST\""),
        _ => format!(
            "(segment(0) ?? \"\") in [\"yard-{index}\", \"dock-{index}\"] && body_length < 4096"
        ),
    };
    (0..count)
        .map(|index| Rule {
            when: when(index),
            group: "look".into(),
            ..Rule::default()
        })
        .collect()
}

fn names() -> Names {
    Names {
        groups: vec![GroupName::new("look", false)],
        ..Names::default()
    }
}

fn routes(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("routes");
    group.sample_size(10);
    for count in [10, 1000, 10_000, 100_000] {
        let rules = rules(count);
        group.bench_function(BenchmarkId::new("load", count), |bencher| {
            bencher.iter(|| Table::build(&rules, &names(), Limits::default()).is_ok())
        });
        let (table, _) = Table::build(&rules, &names(), Limits::default()).expect("valid rules");
        let last_prefix_rule = (count - 1) / 3 * 3;
        let request = LiteralRequest {
            path: format!("/yard-{last_prefix_rule}/book"),
            ..LiteralRequest::default()
        }
        .header("host", "booking.example.org")
        .header("x-yard", "none");
        let mut scratch = Scratch::default();
        group.bench_function(BenchmarkId::new("match", count), |bencher| {
            bencher.iter(|| table.classify(&request, &mut scratch))
        });
    }
    group.finish();
}

criterion_group!(benches, routes);
criterion_main!(benches);
