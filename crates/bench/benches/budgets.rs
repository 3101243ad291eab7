//! The check of a budget on the ordinary path, by itself: the decision alone, without reading the clock.

use std::hint::black_box;
use std::sync::Arc;

use criterion::{Criterion, criterion_group, criterion_main};
use doortrack_budgets::{Budget, Budgets, Kind, NodeId, Parameters};
use doortrack_membership::{Incarnation, Name};

fn checks(criterion: &mut Criterion) {
    let me: Name = "n0".into();
    for (what, kind) in [
        ("rate", Kind::Rate { burst: 1_000 }),
        ("concurrency", Kind::Concurrency { max_hold: 10 }),
    ] {
        let list: Vec<Budget> = (0..200)
            .map(|nth| Budget {
                name: format!("b{nth}").into(),
                kind,
                limit: 1_000_000,
                reserved: 1_000_000,
                reserved_for: Arc::new([me.clone()]),
                max_per_node: 1_000_000,
            })
            .collect();
        let who = NodeId {
            name: me.clone(),
            incarnation: Incarnation(1),
        };
        let mut budgets = Budgets::new(who, 1, Parameters::default(), &list, 1, 0);
        let (mut now, mut index) = (1_000_000, 0);
        criterion.bench_function(&format!("check of a {what}, one of 200"), |bencher| {
            bencher.iter(|| {
                (now, index) = (now + 1, (index + 7) % 200);
                let taken = budgets.acquire(index, black_box(now));
                budgets.release(index);
                taken
            })
        });
    }
    let zero = std::time::Instant::now();
    criterion.bench_function("reading the clock", |bencher| {
        bencher.iter(|| zero.elapsed())
    });
}

criterion_group!(benches, checks);
criterion_main!(benches);
