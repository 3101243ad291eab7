//! `reload`: the cost of a change of configuration under load: latencies with one changed rule per second and
//! without any change, how requests ended, and the node's memory after many changes.
//!
//! Requests are sent at fixed times whatever became of those before, and each latency counts from when the
//! request was due, so that a stalled node is charged for all that pile up meanwhile.

mod load;
mod site;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::Parser;
use doortrack_bench::log_line;

use crate::load::{Outcomes, run, send};
use crate::site::Site;

/// Changes whose effect on the next requests is measured, and for how long each.
const MEASURED_CHANGES: usize = 8;
const CHANGE_WINDOW: Duration = Duration::from_millis(1_500);
/// Memory is read after this many changes and after all.
const FIRST_MEMORY_READING: usize = 10;

#[derive(Parser)]
struct Cli {
    /// The program to be measured
    #[arg(long)]
    doortrack: PathBuf,
    #[arg(long, default_value_t = 3_400)]
    rules: usize,
    #[arg(long = "customers", default_value_t = 20_000)]
    tenants: usize,
    /// Requests a second
    #[arg(long, default_value_t = 400)]
    rate: u32,
    /// Seconds with changes, and as many without
    #[arg(long, default_value_t = 20)]
    seconds: u32,
    /// Deadline of every request
    #[arg(long, default_value_t = 30_000)]
    deadline_ms: u64,
    /// Changes one right after the other; memory is read after 10 and after all
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

/// Prints the longest latency of one caller's requests after each of some changes, or without any.
fn measure_after_changes(site: &mut Site, changes: Changes) {
    let mut longest_ms = Vec::new();
    for _ in 0..MEASURED_CHANGES {
        if changes == Changes::Repeated {
            site.change();
        }
        let began = Instant::now();
        let mut longest = Duration::ZERO;
        while began.elapsed() < CHANGE_WINDOW {
            let sent_at = Instant::now();
            send(site.listener, "/elsewhere");
            longest = longest.max(sent_at.elapsed());
        }
        longest_ms.push(longest.as_micros() as f64 / 1000.0);
        site.wait_until_in_force();
    }
    let title = match changes {
        Changes::Repeated => "after each of some changes",
        Changes::None => "without a change",
    };
    println!("worst wait in 1.5 s {title}, one caller: {longest_ms:.2?} ms");
}

/// Changes as fast as they come into force. Prints memory and processor time.
fn measure_many_changes(site: &mut Site, changes: usize) {
    let cpu_before = site.cpu_ms();
    for count in 1..=changes {
        site.change();
        site.wait_until_in_force();
        if count == FIRST_MEMORY_READING || count == changes {
            println!(
                "after {count} changes: resident {} kB, peak {} kB, {:.1} ms of processor time for each",
                site.memory_kb("VmRSS"),
                site.memory_kb("VmHWM"),
                (site.cpu_ms() - cpu_before) as f64 / count as f64
            );
        }
    }
}

/// Ends the node. Prints how long reloads stalled its event loop, by its own log.
fn print_stalls(site: Site) {
    let log = site.end();
    let figures = |key: &str| -> Vec<u64> {
        log.lines()
            .filter_map(|line| log_line::value(line, key)?.parse().ok())
            .collect()
    };
    // How runs ended at the servers explains requests that were not completed.
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
    let began = Instant::now();
    let mut site = Site::start(&cli);
    println!(
        "start: {} ms, {} ms of processor time, resident {} kB",
        began.elapsed().as_millis(),
        site.cpu_ms(),
        site.memory_kb("VmRSS")
    );
    print_latencies("no change", &run(&mut site, &cli, Changes::None));
    print_latencies(
        "one change a second",
        &run(&mut site, &cli, Changes::Repeated),
    );
    site.wait_until_in_force();
    print_latencies("no change", &run(&mut site, &cli, Changes::None));
    measure_after_changes(&mut site, Changes::None);
    measure_after_changes(&mut site, Changes::Repeated);
    print_stalls(site);
    let mut site = Site::start(&cli);
    measure_many_changes(&mut site, cli.changes);
}
