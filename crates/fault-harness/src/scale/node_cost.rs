//! What one real node costs as its settings and callers grow, each dimension alone at fixed others.

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
use self::report::{Report, Swept, Taken};
use self::settings::Size;
use crate::scale::error::{ScaleError, write_report};
use crate::scale::series::{Dimension, Point};

/// The size of two years, as far as the settings of one node allow.
const AT_SIZE: Size = Size {
    routes: 3_400,
    tenants: 20_000,
    services: MAX_POOLS + 1,
    callers: 700,
    budgets: Some(MAX_BUDGETS),
};
/// Callers of the whole fleet, all at one node.
const ALL_CALLERS: usize = 12_000;

/// Measures what one node costs as its settings and callers grow
#[derive(Args, Debug)]
pub struct Options {
    /// The program that is measured
    #[arg(long, value_name = "FILE", default_value = "target/release/doortrack")]
    program: PathBuf,
    /// Smallest and greatest sizes only, for short times: under a minute
    #[arg(long)]
    quick: bool,
    /// Where everything found is written as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// How long each part of a run lasts.
struct Lengths {
    sweep: Spans,
    at_size: Spans,
    /// Reloads one after the other.
    reloads: usize,
    /// Keys, log and the time alone; no longer than the window of the deduplicated group, 60 s.
    situations: Duration,
}

impl Lengths {
    fn of(quick: bool) -> Lengths {
        let seconds =
            |quick_for, full_for| Duration::from_secs(if quick { quick_for } else { full_for });
        Lengths {
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
/// What could not be measured, or the file that can't be written.
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
    let lengths = Lengths::of(options.quick);
    let bench = Bench::open(&options.program)?;
    let sizes = sizes(options.quick);
    let steps: usize = sizes.iter().map(|(_, list)| list.len()).sum();
    let progress = progress(steps as u64 + 3);
    let swept: Vec<Swept> = sizes
        .into_iter()
        .map(|(dimension, list)| sweep(&bench, dimension, &list, lengths.sweep, &progress))
        .collect::<Result<_, _>>()?;
    progress.set_message("all at the size of two years");
    let at_size = measure(&bench, &AT_SIZE, lengths.at_size)?;
    let repeated_reloads = repeated_reloads(&bench, lengths.reloads)?;
    progress.inc(1);
    progress.set_message("more callers than sockets");
    let crowds = if options.quick {
        vec![1_200]
    } else {
        vec![1_200, ALL_CALLERS]
    };
    let full_tables = crowds
        .into_iter()
        .map(|callers| full_table::measure(&bench, callers))
        .collect::<Result<_, _>>()?;
    progress.inc(1);
    progress.set_message("keys, log and a node alone");
    let (keys, log, alone) = situations(&bench, lengths.situations, !options.quick)?;
    progress.finish_and_clear();
    Ok(Report {
        program: options.program.display().to_string(),
        quick: options.quick,
        load_seconds: lengths.sweep.load.as_secs_f64(),
        series: swept.iter().flat_map(Swept::series).collect(),
        swept,
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
    let mut started = bench.start(&AT_SIZE)?;
    started.process.wait_ready()?;
    reload::repeat(&started, count)
}

fn sweep(
    bench: &Bench,
    dimension: Dimension,
    sizes: &[usize],
    spans: Spans,
    progress: &ProgressBar,
) -> Result<Swept, MeasureError> {
    let mut taken = Vec::new();
    for size in sizes {
        progress.set_message(format!("{dimension:?} {size}"));
        let found = match measure(bench, &Size::BASELINE.with(dimension, *size), spans) {
            Ok(measured) => Taken::Measured(Box::new(measured)),
            Err(MeasureError::DoesNotStart(why)) => Taken::Refused { size: *size, why },
            Err(fault) => return Err(fault),
        };
        taken.push((*size, found));
        progress.inc(1);
    }
    Ok(Swept {
        dimension,
        held: Size::BASELINE.held_beside(dimension),
        taken,
    })
}

type Situations = (keys::KeysHeld, log_volume::LogVolumes, alone::Alone);

/// Side by side, as what they measure does not rest on how fast the machine is.
fn situations(
    bench: &Bench,
    lasts: Duration,
    fill_table: bool,
) -> Result<Situations, MeasureError> {
    std::thread::scope(|scope| {
        let keys = scope.spawn(|| keys::measure(bench, lasts, fill_table));
        let log = scope.spawn(|| log_volume::measure(bench, lasts));
        let alone = alone::measure(bench.program, bench.server, lasts);
        let keys = keys
            .join()
            .unwrap_or_else(|panic| std::panic::resume_unwind(panic));
        let log = log
            .join()
            .unwrap_or_else(|panic| std::panic::resume_unwind(panic));
        Ok((keys?, log?, alone?))
    })
}

/// Shown on a terminal alone.
fn progress(steps: u64) -> ProgressBar {
    let progress = ProgressBar::new(steps);
    if let Ok(style) = ProgressStyle::with_template("{elapsed} {bar:30} {pos}/{len} {msg}") {
        progress.set_style(style);
    }
    progress
}
