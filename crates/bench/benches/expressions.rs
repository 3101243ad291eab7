//! Benchmarks of the evaluation of ten typical expressions, and of the compilation of one.

use criterion::{Criterion, criterion_group, criterion_main};
use doortrack_bench::typical::TYPICAL;
use doortrack_expr::{Limits, LiteralRequest, Scratch, infer};

fn expressions(criterion: &mut Criterion) {
    let request = LiteralRequest::example();
    let mut group = criterion.benchmark_group("evaluate");
    for (name, source) in TYPICAL {
        let program = infer(source, Limits::default()).expect("a valid expression");
        let mut scratch = Scratch::default();
        group.bench_function(name, |bencher| {
            bencher.iter(|| program.eval(&request, &mut scratch) == doortrack_expr::Value::Absent)
        });
    }
    group.finish();
    criterion.bench_function("compile a key", |bencher| {
        bencher.iter(|| infer(TYPICAL[8].1, Limits::default()).is_ok())
    });
}

criterion_group!(benches, expressions);
criterion_main!(benches);
