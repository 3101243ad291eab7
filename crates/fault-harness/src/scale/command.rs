//! `doortrack-harness scale` and `doortrack-harness hollow`.

use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use serde::{Deserialize, Serialize};

use super::added::{self, AddedReport};
use super::error::{ScaleError, write_report};
use super::fault_report::FaultReport;
use super::faults;
use super::fit::FittedSeries;
use super::fleet::Programs;
use super::hollow;
use super::plan::FleetPlan;
use super::series::Dimension;
use super::settle::SettleOptions;
use super::sweep::{Size, TrialOptions, TrialReport, fitted, run_trial};
use super::table;
use super::watchdog::Watchdog;

/// Maximum number of processes of one trial.
const MAX_PROCESSES: usize = 300;

/// Measures what a fleet costs by its size, mostly with hollow nodes beside real processes under load.
#[derive(Args, Clone, Debug)]
pub struct ScaleArgs {
    /// Program of the real nodes
    #[arg(long, value_name = "FILE", default_value = "target/release/doortrack")]
    program: PathBuf,
    /// Fleet sizes of the series over nodes; 0 skips the series
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "50,100,200,400,770",
        value_name = "COUNTS"
    )]
    nodes: Vec<usize>,
    /// Number of budgets in the series over nodes
    #[arg(long, default_value_t = 1, value_name = "COUNT")]
    budgets_held: usize,
    /// Budget counts of the series over budgets; 0 skips the series
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "1,10,40,120,250",
        value_name = "COUNTS"
    )]
    budgets: Vec<usize>,
    /// Number of nodes in the series over budgets
    #[arg(long, default_value_t = 100, value_name = "COUNT")]
    nodes_held: usize,
    /// Number of nodes at which the line over nodes is evaluated
    #[arg(long, default_value_t = 770, value_name = "COUNT")]
    wanted_nodes: usize,
    /// Number of budgets at which the line over budgets is evaluated
    #[arg(long, default_value_t = 250, value_name = "COUNT")]
    wanted_budgets: usize,
    /// Instead of the series: measures the latency that fleet and budgets add to a request, at the largest size
    #[arg(long)]
    added: bool,
    /// Instead of the series: kills nodes, a rack and a zone, restarts nodes, partitions regions, at the largest size
    #[arg(long, conflicts_with = "added")]
    faults: bool,
    /// Duration of the partition between regions
    #[arg(long, default_value_t = 25.0, value_name = "SECONDS")]
    parted_for: f64,
    /// Duration of the latency measurement
    #[arg(long, default_value_t = 20.0, value_name = "SECONDS")]
    added_for: f64,
    /// Number of real processes under load among the nodes
    #[arg(long, default_value_t = 24, value_name = "COUNT")]
    real: usize,
    /// Nodes that vote and lead, a process each
    #[arg(long, default_value_t = 4, value_name = "COUNT")]
    voters: usize,
    /// Simulated callers of the real processes
    #[arg(long, default_value_t = 6, value_name = "COUNT")]
    callers: usize,
    /// Requests per second that each hollow node admits under its budgets
    #[arg(long, default_value_t = 2, value_name = "COUNT")]
    uses_per_second: u32,
    /// Period over which the hollow nodes of each process are started one by one
    #[arg(long, default_value_t = 3.0, value_name = "SECONDS")]
    start_spread: f64,
    /// Time limit for all views to agree
    #[arg(long, default_value_t = 25.0, value_name = "SECONDS")]
    agree_within: f64,
    /// Minimum wait after agreement before the traffic is checked
    #[arg(long, default_value_t = 5.0, value_name = "SECONDS")]
    settle: f64,
    /// Time limit for the traffic to become steady
    #[arg(long, default_value_t = 35.0, value_name = "SECONDS")]
    settle_most: f64,
    /// Duration of the measurement
    #[arg(long, default_value_t = 10.0, value_name = "SECONDS")]
    window: f64,
    /// Time limit of the command, which then ends with exit code 3
    #[arg(long, default_value_t = 420, value_name = "SECONDS")]
    most_seconds: u64,
    /// File for the results as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// Arguments with which the harness starts a process of hollow nodes.
#[derive(Args, Clone, Debug)]
pub struct HollowArgs {
    #[arg(long)]
    plan: PathBuf,
    #[arg(long)]
    from: usize,
    #[arg(long)]
    to: usize,
}

/// All results of one command.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScaleReport {
    /// The command line arguments.
    pub command: Vec<String>,
    pub cores: usize,
    #[serde(rename = "plays")]
    pub trials: Vec<TrialReport>,
    pub series: Vec<FittedSeries>,
    pub added: Option<AddedReport>,
    pub faults: Option<FaultReport>,
}

/// Runs the nodes of one process until the end of standard input.
///
/// # Errors
/// The plan can't be read, or an address can't be bound.
pub fn run_hollow(args: &HollowArgs) -> Result<(), ScaleError> {
    let at = args.plan.display().to_string();
    let text = std::fs::read_to_string(&args.plan).map_err(ScaleError::io(&at))?;
    let plan: FleetPlan = serde_json::from_str(&text).map_err(ScaleError::json(&at))?;
    hollow::run(plan, args.from..args.to)
}

/// Runs the trials, prints the tables and writes the results. Returns true if no fault was found.
///
/// # Errors
/// A size is not possible, or a process can't be started or ends early.
pub fn run(args: &ScaleArgs) -> Result<bool, ScaleError> {
    args.check()?;
    let _watchdog = Watchdog::start(Duration::from_secs(args.most_seconds));
    let report = args.run_all()?;
    println!("{}", table::text(&report.series));
    if let Some(added) = &report.added {
        println!("{}", added.text());
    }
    if let Some(faults) = &report.faults {
        println!("{}", faults.text());
    }
    let of_plays = report.trials.iter().flat_map(trial_faults);
    let faults: Vec<String> = of_plays
        .chain(report.faults.iter().flat_map(FaultReport::faults))
        .collect();
    faults
        .iter()
        .for_each(|fault| println!("not as it should be: {fault}"));
    if let Some(file) = &args.json {
        write_report(file, &report)?;
    }
    Ok(faults.is_empty())
}

/// Describes what makes the figures of a trial unreliable or violates a guarantee.
fn trial_faults(trial: &TrialReport) -> Vec<String> {
    let of = format!("{} nodes, {} budgets", trial.size.nodes, trial.size.budgets);
    let mut faults = Vec::new();
    if trial.agreed_after_ms.is_none() {
        faults.push(format!("{of}: views did not agree before the window"));
    }
    if !trial.steady {
        faults.push(format!("{of}: traffic still changed when the window began"));
    }
    if trial.declared_dead > 0 {
        faults.push(format!(
            "{of}: nodes were declared dead {} times in the window",
            trial.declared_dead
        ));
    }
    if trial.leaders[0] != trial.leaders[1] {
        faults.push(format!(
            "{of}: the leader changed in the window: {:?}",
            trial.leaders
        ));
    }
    // The budgets are large enough that no request should be rejected.
    if trial.completed < trial.asked {
        faults.push(format!(
            "{of}: of {} exchanges {} were completed",
            trial.asked, trial.completed
        ));
    }
    faults.extend(
        trial
            .broken_rules
            .iter()
            .map(|broken| format!("{of}: {broken}")),
    );
    faults
}

impl ScaleArgs {
    fn check(&self) -> Result<(), ScaleError> {
        let own_processes = self.voters + self.real;
        let by_budgets = self.budgets.iter().any(|budgets| *budgets > 0);
        let sizes = self.nodes.iter().filter(|nodes| **nodes > 0);
        let sizes = sizes.chain(by_budgets.then_some(&self.nodes_held));
        if let Some(&size) = sizes.clone().find(|size| **size < own_processes) {
            return Err(ScaleError::TooFewNodes {
                size,
                own_processes,
            });
        }
        let max_wait = sizes.max().copied().unwrap_or(0);
        let processes = own_processes
            + max_wait
                .saturating_sub(own_processes)
                .div_ceil(super::fleet::NODES_PER_PROCESS);
        if processes > MAX_PROCESSES {
            return Err(ScaleError::TooManyProcesses {
                needed: processes,
                max: MAX_PROCESSES,
            });
        }
        Ok(())
    }

    fn options(&self) -> Result<TrialOptions, ScaleError> {
        let harness = std::env::current_exe().map_err(ScaleError::io("this program"))?;
        let programs = Programs {
            doortrack: self.program.clone(),
            harness,
        };
        Ok(TrialOptions {
            programs,
            voters: self.voters,
            real: self.real,
            callers: self.callers,
            uses_per_second: self.uses_per_second,
            start_spread: Duration::from_secs_f64(self.start_spread),
            agree_within: Duration::from_secs_f64(self.agree_within),
            settle: SettleOptions {
                min_wait: Duration::from_secs_f64(self.settle),
                max_wait: Duration::from_secs_f64(self.settle_most),
            },
            window: Duration::from_secs_f64(self.window),
        })
    }

    fn run_all(&self) -> Result<ScaleReport, ScaleError> {
        let options = self.options()?;
        let mut report = ScaleReport {
            command: std::env::args().collect(),
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            trials: Vec::new(),
            series: Vec::new(),
            added: None,
            faults: None,
        };
        let nodes = self.nodes.iter().max().copied().unwrap_or(0);
        let size = Size {
            nodes,
            budgets: self.budgets_held,
        };
        if self.faults {
            let progress = progress_bar(1);
            let parted_for = Duration::from_secs_f64(self.parted_for);
            report.faults = Some(faults::run_trial(&options, size, parted_for, &progress)?);
            progress.finish_and_clear();
        } else if self.added {
            let progress = progress_bar(1);
            let lasts = Duration::from_secs_f64(self.added_for);
            report.added = Some(added::run_trial(&options, size, lasts, &progress)?);
            progress.finish_and_clear();
        } else {
            self.run_series(&options, &mut report)?;
        }
        Ok(report)
    }

    fn run_series(
        &self,
        options: &TrialOptions,
        report: &mut ScaleReport,
    ) -> Result<(), ScaleError> {
        let nodes = self.nodes.iter().filter(|nodes| **nodes > 0);
        let by_nodes: Vec<Size> = nodes
            .map(|nodes| Size {
                nodes: *nodes,
                budgets: self.budgets_held,
            })
            .collect();
        let budgets = self.budgets.iter().filter(|budgets| **budgets > 0);
        let by_budgets: Vec<Size> = budgets
            .map(|budgets| Size {
                nodes: self.nodes_held,
                budgets: *budgets,
            })
            .collect();
        let progress = progress_bar(by_nodes.len() + by_budgets.len());
        let by_nodes = run_trials(options, by_nodes, &progress)?;
        let by_budgets = run_trials(options, by_budgets, &progress)?;
        progress.finish_and_clear();
        let (held, wanted) = (
            format!("{} budgets", self.budgets_held),
            self.wanted_nodes as f64,
        );
        let series = fitted(
            &by_nodes,
            Dimension::Nodes,
            &held,
            |size| size.nodes,
            wanted,
        );
        report.series.extend(series);
        let (held, wanted) = (
            format!("{} nodes", self.nodes_held),
            self.wanted_budgets as f64,
        );
        let series = fitted(
            &by_budgets,
            Dimension::Budgets,
            &held,
            |size| size.budgets,
            wanted,
        );
        report.series.extend(series);
        report.trials = by_nodes.into_iter().chain(by_budgets).collect();
        Ok(())
    }
}

fn run_trials(
    options: &TrialOptions,
    sizes: Vec<Size>,
    progress: &ProgressBar,
) -> Result<Vec<TrialReport>, ScaleError> {
    let reports = sizes.into_iter().map(|size| {
        let report = run_trial(options, size, progress);
        progress.inc(1);
        report
    });
    reports.collect()
}

/// Creates a progress bar on standard error, hidden if that is not a terminal.
fn progress_bar(plays: usize) -> ProgressBar {
    let bar = ProgressBar::new(plays as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {pos}/{len} {elapsed} {msg}") {
        bar.set_style(style);
    }
    bar.enable_steady_tick(Duration::from_millis(500));
    bar
}
