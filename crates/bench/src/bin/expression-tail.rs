//! `expression-tail`: how long the slow ones of many evaluations take, to be run beside a load on
//! the same machine.
//! Each is timed by itself, which adds what reading the clock takes; that is told too.

use std::hint::black_box;
use std::time::Instant;

use clap::Parser;
use doortrack_bench::typical::TYPICAL;
use doortrack_expr::{Limits, LiteralRequest, Scratch, infer};
use hdrhistogram::Histogram;

#[derive(Parser)]
#[command(version)]
struct Words {
    /// Evaluations of each expression
    #[arg(long, default_value_t = 1_000_000)]
    count: u64,
}

fn timed(count: u64, mut what: impl FnMut()) -> Histogram<u64> {
    let mut times =
        Histogram::new_with_bounds(1, 1_000_000_000, 3).expect("bounds that make sense");
    for _ in 0..count {
        let start = Instant::now();
        what();
        times.saturating_record(start.elapsed().as_nanos() as u64);
    }
    times
}

fn main() {
    let (words, asked) = (Words::parse(), LiteralRequest::example());
    println!(
        "{:<22} {:>10} {:>10} {:>10}",
        "ns", "median", "p99", "p99.9"
    );
    let line = |name: &str, times: &Histogram<u64>| {
        let at = |q| times.value_at_quantile(q);
        println!(
            "{name:<22} {:>10} {:>10} {:>10}",
            at(0.5),
            at(0.99),
            at(0.999)
        );
    };
    line("the clock alone", &timed(words.count, || {}));
    for (name, source) in TYPICAL {
        let program = infer(source, Limits::default()).expect("a sound source");
        let mut scratch = Scratch::default();
        line(
            name,
            &timed(words.count, || {
                _ = black_box(program.eval(&asked, &mut scratch))
            }),
        );
    }
}
