//! Benchmarks of a budget check, without the time to read the clock.

use std::hint::black_box;
use std::sync::Arc;

use criterion::{Criterion, criterion_group, criterion_main};
use doortrack_budgets::{Budget, Budgets, Kind, NodeId, Parameters};
use doortrack_membership::{Incarnation, Name};

fn checks(criterion: &mut Criterion) {
    let node_name: Name = "n0".into();
    for (kind_name, kind) in [
        ("rate", Kind::Rate { burst: 1_000 }),
        ("concurrency", Kind::Concurrency { max_hold: 10 }),
    ] {
        let list: Vec<Budget> = (0..200)
            .map(|index| Budget {
                name: format!("b{index}").into(),
                kind,
                limit: 1_000_000,
                reserved: 1_000_000,
                reserved_for: Arc::new([node_name.clone()]),
                max_per_node: 1_000_000,
            })
            .collect();
        let node = NodeId {
            name: node_name.clone(),
            incarnation: Incarnation(1),
        };
        let mut budgets = Budgets::new(node, 1, Parameters::default(), &list, 1, 0);
        let (mut now, mut index) = (1_000_000, 0);
        criterion.bench_function(&format!("check of a {kind_name}, one of 200"), |bencher| {
            bencher.iter(|| {
                (now, index) = (now + 1, (index + 7) % 200);
                let admitted = budgets.acquire(index, black_box(now));
                budgets.release(index);
                admitted
            })
        });
    }
    let start = std::time::Instant::now();
    criterion.bench_function("reading the clock", |bencher| {
        bencher.iter(|| start.elapsed())
    });
}

criterion_group!(benches, checks);
criterion_main!(benches);
