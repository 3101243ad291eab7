//! `expression-tail`: measures tail latencies of expression evaluation, to be run alongside a load on the same
//! machine. Each evaluation is timed separately, which includes reading the clock; that time is printed as
//! well.

use std::hint::black_box;
use std::time::Instant;

use clap::Parser;
use doortrack_bench::typical::TYPICAL;
use doortrack_expr::{Limits, LiteralRequest, Scratch, infer};
use hdrhistogram::Histogram;

/// Upper bound of recorded latencies in nanoseconds; longer ones are recorded as this.
const MAX_LATENCY_NS: u64 = 1_000_000_000;

#[derive(Parser)]
#[command(version)]
struct Cli {
    /// Number of evaluations of each expression
    #[arg(long, default_value_t = 1_000_000)]
    count: u64,
}

fn measure(count: u64, mut operation: impl FnMut()) -> Histogram<u64> {
    let mut latencies =
        Histogram::new_with_bounds(1, MAX_LATENCY_NS, 3).expect("constant bounds are valid");
    for _ in 0..count {
        let start = Instant::now();
        operation();
        latencies.saturating_record(start.elapsed().as_nanos() as u64);
    }
    latencies
}

fn print_row(name: &str, latencies: &Histogram<u64>) {
    println!(
        "{name:<22} {:>10} {:>10} {:>10}",
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
        latencies.value_at_quantile(0.999)
    );
}

fn main() {
    let (cli, request) = (Cli::parse(), LiteralRequest::example());
    println!(
        "{:<22} {:>10} {:>10} {:>10}",
        "ns", "median", "p99", "p99.9"
    );
    print_row("the clock alone", &measure(cli.count, || {}));
    for (name, source) in TYPICAL {
        let program = infer(source, Limits::default()).expect("a valid expression");
        let mut scratch = Scratch::default();
        let latencies = measure(cli.count, || {
            _ = black_box(program.eval(&request, &mut scratch));
        });
        print_row(name, &latencies);
    }
}
