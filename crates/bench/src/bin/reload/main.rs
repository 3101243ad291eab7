//! `reload`: measures the cost of configuration changes under load: latencies with one changed rule per second
//! and without changes, the outcomes of requests, and the memory of the node after many changes.
//!
//! Requests are sent at fixed times, whether or not earlier ones were answered. Latency counts from the time at
//! which a request was due, so that a stall counts against every request that was due during it.

mod load;
mod testbed;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::Parser;
use doortrack_bench::log_line;

use crate::load::{Outcomes, run, send};
use crate::testbed::Testbed;

/// Number of changes whose effect on the following requests is measured, and the time measured for each.
const MEASURED_CHANGES: usize = 8;
const CHANGE_WINDOW: Duration = Duration::from_millis(1_500);
/// Memory is read after this many changes and again after all of them.
const FIRST_MEMORY_READING: usize = 10;

#[derive(Parser)]
struct Cli {
    /// Executable of the node to measure
    #[arg(long)]
    doortrack: PathBuf,
    #[arg(long, default_value_t = 3_400)]
    rules: usize,
    #[arg(long = "customers", default_value_t = 20_000)]
    tenants: usize,
    /// Requests per second
    #[arg(long, default_value_t = 400)]
    rate: u32,
    /// Duration of each measurement, with and without changes
    #[arg(long, default_value_t = 20)]
    seconds: u32,
    /// Deadline of every request in ms
    #[arg(long, default_value_t = 30_000)]
    deadline_ms: u64,
    /// Number of consecutive changes; memory is read after 10 and after all of them
    #[arg(long, default_value_t = 500)]
    changes: usize,
}

/// Whether the configuration changes during a measurement.
#[derive(Clone, Copy, PartialEq)]
enum Changes {
    None,
    Repeated,
}

fn print_latencies(title: &str, outcomes: &Outcomes) {
    let ms = |quantile: f64| outcomes.latencies_us.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "{title}: {} requests, p50 {:.2} p99 {:.2} p99.9 {:.2} worst {:.2} ms; {:?}",
        outcomes.latencies_us.len(),
        ms(0.5),
        ms(0.99),
        ms(0.999),
        ms(1.0),
        outcomes.answers
    );
}

/// Prints the longest latency of one caller's requests after each of several changes, or without changes.
fn measure_after_changes(testbed: &mut Testbed, changes: Changes) {
    let mut longest_ms = Vec::new();
    for _ in 0..MEASURED_CHANGES {
        if changes == Changes::Repeated {
            testbed.change();
        }
        let started_at = Instant::now();
        let mut longest = Duration::ZERO;
        while started_at.elapsed() < CHANGE_WINDOW {
            let sent_at = Instant::now();
            send(testbed.listener, "/elsewhere");
            longest = longest.max(sent_at.elapsed());
        }
        longest_ms.push(longest.as_micros() as f64 / 1000.0);
        testbed.wait_until_in_force();
    }
    let title = match changes {
        Changes::Repeated => "after each of some changes",
        Changes::None => "without a change",
    };
    println!("worst wait in 1.5 s {title}, one caller: {longest_ms:.2?} ms");
}

/// Changes the configuration as soon as the previous change is in force. Prints memory and CPU time.
fn measure_many_changes(testbed: &mut Testbed, changes: usize) {
    let cpu_before = testbed.cpu_ms();
    for count in 1..=changes {
        testbed.change();
        testbed.wait_until_in_force();
        if count == FIRST_MEMORY_READING || count == changes {
            println!(
                "after {count} changes: resident {} kB, peak {} kB, {:.1} ms of processor time for each",
                testbed.memory_kb("VmRSS"),
                testbed.memory_kb("VmHWM"),
                (testbed.cpu_ms() - cpu_before) as f64 / count as f64
            );
        }
    }
}

/// Shuts the node down. Prints how long reloads blocked its event loop, as logged by the node.
fn print_stalls(testbed: Testbed) {
    let log = testbed.end();
    let figures = |key: &str| -> Vec<u64> {
        log.lines()
            .filter_map(|line| log_line::value(line, key)?.parse().ok())
            .collect()
    };
    // The pool summary shows how runs ended, which explains requests that were not completed.
    log.lines()
        .filter(|line| log_line::is_pool_summary(line))
        .for_each(|line| println!("{line}"));
    println!(
        "by its log: held_us {:?}, built_ms {:?}",
        figures("held_us"),
        figures("built_ms")
    );
}

fn main() {
    let cli = Cli::parse();
    let started_at = Instant::now();
    let mut testbed = Testbed::start(&cli);
    println!(
        "start: {} ms, {} ms of processor time, resident {} kB",
        started_at.elapsed().as_millis(),
        testbed.cpu_ms(),
        testbed.memory_kb("VmRSS")
    );
    print_latencies("no change", &run(&mut testbed, &cli, Changes::None));
    print_latencies(
        "one change a second",
        &run(&mut testbed, &cli, Changes::Repeated),
    );
    testbed.wait_until_in_force();
    print_latencies("no change", &run(&mut testbed, &cli, Changes::None));
    measure_after_changes(&mut testbed, Changes::None);
    measure_after_changes(&mut testbed, Changes::Repeated);
    print_stalls(testbed);
    let mut testbed = Testbed::start(&cli);
    measure_many_changes(&mut testbed, cli.changes);
}
