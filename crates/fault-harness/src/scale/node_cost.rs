//! Measures the resource usage of one real node by its settings and callers, varying one dimension at a time.

pub mod alone;
pub mod bench;
pub mod caller;
pub mod full_table;
pub mod keys;
pub mod log_volume;
pub mod measure;
pub mod process;
pub mod reload;
pub mod report;
pub mod settings;
pub mod units;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::Args;
use doortrack_budgets::MAX_BUDGETS;
use doortrack_config::installation::MAX_POOLS;
use indicatif::{ProgressBar, ProgressStyle};

use self::bench::Bench;
use self::measure::{Spans, measure};
pub use self::process::MeasureError;
use self::report::{Report, Sweep, SweepPoint};
use self::settings::Size;
use crate::scale::error::{ScaleError, write_report};
use crate::scale::series::{Dimension, Point};

/// The expected size in two years, as far as the settings of one node allow it.
const TARGET_SIZE: Size = Size {
    routes: 3_400,
    tenants: 20_000,
    services: MAX_POOLS + 1,
    callers: 700,
    budgets: Some(MAX_BUDGETS),
};
/// The callers of the whole fleet, all connected to one node.
const FLEET_CALLERS: usize = 12_000;

/// Measures what one node costs as its settings and callers grow
#[derive(Args, Debug)]
pub struct Options {
    /// Program to measure
    #[arg(long, value_name = "FILE", default_value = "target/release/doortrack")]
    program: PathBuf,
    /// Measures only the smallest and largest sizes, for short times: under a minute
    #[arg(long)]
    quick: bool,
    /// File for the results as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// Durations of the parts of a measurement.
struct Durations {
    sweep: Spans,
    at_size: Spans,
    /// Number of consecutive reloads.
    reloads: usize,
    /// Duration of the measurements of keys, log and isolation; at most the dedup window of the deduplicated
    /// group, 60 s.
    situations: Duration,
}

impl Durations {
    fn of(quick: bool) -> Durations {
        let seconds =
            |quick_for, full_for| Duration::from_secs(if quick { quick_for } else { full_for });
        Durations {
            sweep: Spans {
                rest: seconds(1, 1),
                load: seconds(1, 5),
            },
            at_size: Spans {
                rest: seconds(1, 5),
                load: seconds(2, 10),
            },
            reloads: if quick { 2 } else { 12 },
            situations: seconds(12, 60),
        }
    }
}

fn sizes(quick: bool) -> Vec<(Dimension, Vec<usize>)> {
    let pools = MAX_POOLS + 1;
    let all = [
        (Dimension::Routes, vec![0, 340, 850, 1_700, 3_400]),
        (Dimension::Tenants, vec![200, 2_000, 10_000, 20_000]),
        (Dimension::Services, vec![1, 10, 50, pools, 150]),
        (Dimension::Callers, vec![50, 200, 500, 900]),
        (Dimension::Budgets, vec![0, 50, 250]),
    ];
    let ends = |sizes: Vec<usize>| vec![sizes[0], sizes[sizes.len() - 1]];
    all.into_iter()
        .map(|(dimension, list)| (dimension, if quick { ends(list) } else { list }))
        .collect()
}

/// Measures everything, prints the tables and writes the JSON.
///
/// # Errors
/// A measurement fails, or the file can't be written.
pub fn run(options: &Options) -> Result<bool, ScaleError> {
    let report = measure_all(options)?;
    print!("{}", report::tables(&report));
    if let Some(file) = &options.json {
        write_report(file, &report)?;
    }
    Ok(true)
}

fn measure_all(options: &Options) -> Result<Report, MeasureError> {
    let began = Instant::now();
    let durations = Durations::of(options.quick);
    let bench = Bench::open(&options.program)?;
    let sizes = sizes(options.quick);
    let steps: usize = sizes.iter().map(|(_, list)| list.len()).sum();
    let progress = progress(steps as u64 + 3);
    let sweeps: Vec<Sweep> = sizes
        .into_iter()
        .map(|(dimension, list)| sweep(&bench, dimension, &list, durations.sweep, &progress))
        .collect::<Result<_, _>>()?;
    progress.set_message("all at the size of two years");
    let at_size = measure(&bench, &TARGET_SIZE, durations.at_size)?;
    let repeated_reloads = repeated_reloads(&bench, durations.reloads)?;
    progress.inc(1);
    progress.set_message("more callers than sockets");
    let batches = if options.quick {
        vec![1_200]
    } else {
        vec![1_200, FLEET_CALLERS]
    };
    let full_tables = batches
        .into_iter()
        .map(|callers| full_table::measure(&bench, callers))
        .collect::<Result<_, _>>()?;
    progress.inc(1);
    progress.set_message("keys, log and a node alone");
    let (keys, log, alone) = situations(&bench, durations.situations, !options.quick)?;
    progress.finish_and_clear();
    Ok(Report {
        program: options.program.display().to_string(),
        quick: options.quick,
        load_seconds: durations.sweep.load.as_secs_f64(),
        series: sweeps.iter().flat_map(Sweep::series).collect(),
        sweeps,
        at_size,
        repeated_reloads,
        keys,
        full_tables,
        log,
        alone,
        seconds: began.elapsed().as_secs_f64(),
    })
}

fn repeated_reloads(bench: &Bench, count: usize) -> Result<Vec<Point>, MeasureError> {
    let mut started = bench.start(&TARGET_SIZE)?;
    started.process.wait_ready()?;
    reload::repeat(&started, count)
}

fn sweep(
    bench: &Bench,
    dimension: Dimension,
    sizes: &[usize],
    spans: Spans,
    progress: &ProgressBar,
) -> Result<Sweep, MeasureError> {
    let mut results = Vec::new();
    for size in sizes {
        progress.set_message(format!("{dimension:?} {size}"));
        let found = match measure(bench, &Size::BASELINE.with(dimension, *size), spans) {
            Ok(measured) => SweepPoint::Measured(Box::new(measured)),
            Err(MeasureError::DoesNotStart(why)) => SweepPoint::Refused { size: *size, why },
            Err(fault) => return Err(fault),
        };
        results.push((*size, found));
        progress.inc(1);
    }
    Ok(Sweep {
        dimension,
        held: Size::BASELINE.held_beside(dimension),
        results,
    })
}

type Situations = (keys::KeysHeld, log_volume::LogVolumes, alone::Alone);

/// Runs these measurements concurrently, as their results do not depend on the speed of the machine.
fn situations(
    bench: &Bench,
    duration: Duration,
    fill_table: bool,
) -> Result<Situations, MeasureError> {
    std::thread::scope(|scope| {
        let keys = scope.spawn(|| keys::measure(bench, duration, fill_table));
        let log = scope.spawn(|| log_volume::measure(bench, duration));
        let alone = alone::measure(bench.program, bench.server, duration);
        let keys = keys
            .join()
            .unwrap_or_else(|panic| std::panic::resume_unwind(panic));
        let log = log
            .join()
            .unwrap_or_else(|panic| std::panic::resume_unwind(panic));
        Ok((keys?, log?, alone?))
    })
}

/// Creates a progress bar, shown only on a terminal.
fn progress(steps: u64) -> ProgressBar {
    let progress = ProgressBar::new(steps);
    if let Ok(style) = ProgressStyle::with_template("{elapsed} {bar:30} {pos}/{len} {msg}") {
        progress.set_style(style);
    }
    progress
}
