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
use super::settle::SettleTerms;
use super::sweep::{PlayReport, PlayTerms, Size, fitted, play};
use super::table;
use super::watchdog::Watchdog;

/// The most processes of one play.
const MOST_PROCESSES: usize = 300;

/// Measures what a fleet costs by its size, mostly with hollow nodes, beside real processes under load.
#[derive(Args, Clone, Debug)]
pub struct ScaleArgs {
    /// The program of the real nodes
    #[arg(long, value_name = "FILE", default_value = "target/release/doortrack")]
    program: PathBuf,
    /// Sizes of the series over nodes; 0 leaves it out
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "50,100,200,400,770",
        value_name = "COUNTS"
    )]
    nodes: Vec<usize>,
    /// Budgets while the nodes grow
    #[arg(long, default_value_t = 1, value_name = "COUNT")]
    budgets_held: usize,
    /// Sizes of the series over budgets; 0 leaves it out
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "1,10,40,120,250",
        value_name = "COUNTS"
    )]
    budgets: Vec<usize>,
    /// Nodes while the budgets grow
    #[arg(long, default_value_t = 100, value_name = "COUNT")]
    nodes_held: usize,
    /// Nodes at which the line over nodes is read
    #[arg(long, default_value_t = 770, value_name = "COUNT")]
    wanted_nodes: usize,
    /// Budgets at which the line over budgets is read
    #[arg(long, default_value_t = 250, value_name = "COUNT")]
    wanted_budgets: usize,
    /// Instead of the series: the time that control adds to a request, at the greatest of the sizes
    #[arg(long)]
    added: bool,
    /// Instead of the series: kills, restarts, a rack, a zone, regions parted, at the greatest of the sizes
    #[arg(long, conflicts_with = "added")]
    faults: bool,
    /// How long regions are parted
    #[arg(long, default_value_t = 25.0, value_name = "SECONDS")]
    parted_for: f64,
    /// How long requests are timed
    #[arg(long, default_value_t = 20.0, value_name = "SECONDS")]
    added_for: f64,
    /// Real processes under load among the nodes
    #[arg(long, default_value_t = 24, value_name = "COUNT")]
    real: usize,
    /// Nodes that vote and lead, a process each
    #[arg(long, default_value_t = 4, value_name = "COUNT")]
    voters: usize,
    /// Stand-in callers of the real processes
    #[arg(long, default_value_t = 6, value_name = "COUNT")]
    callers: usize,
    /// Requests a second that each hollow node books on its budgets
    #[arg(long, default_value_t = 2, value_name = "COUNT")]
    uses_per_second: u32,
    /// Within which the hollow nodes of each process are started one after the other
    #[arg(long, default_value_t = 3.0, value_name = "SECONDS")]
    start_spread: f64,
    /// How long all views are waited for to agree
    #[arg(long, default_value_t = 25.0, value_name = "SECONDS")]
    agree_within: f64,
    /// From then on, at the least, until the fleet's traffic is looked at
    #[arg(long, default_value_t = 5.0, value_name = "SECONDS")]
    settle: f64,
    /// How long it is waited for to stay the same
    #[arg(long, default_value_t = 35.0, value_name = "SECONDS")]
    settle_most: f64,
    /// In which is measured
    #[arg(long, default_value_t = 10.0, value_name = "SECONDS")]
    window: f64,
    /// Ends the run with exit code 3 if it takes longer
    #[arg(long, default_value_t = 420, value_name = "SECONDS")]
    most_seconds: u64,
    /// Where the results are written as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// What a process of hollow nodes is started with, by the rig itself.
#[derive(Args, Clone, Debug)]
pub struct HollowArgs {
    #[arg(long)]
    plan: PathBuf,
    #[arg(long)]
    from: usize,
    #[arg(long)]
    to: usize,
}

/// All results of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScaleReport {
    /// The words of the command line.
    pub command: Vec<String>,
    pub cores: usize,
    pub plays: Vec<PlayReport>,
    pub series: Vec<FittedSeries>,
    pub added: Option<AddedReport>,
    pub faults: Option<FaultReport>,
}

/// Runs the nodes of one process until its input ends.
///
/// # Errors
/// The plan can't be read, an address can't be had.
pub fn run_hollow(args: &HollowArgs) -> Result<(), ScaleError> {
    let at = args.plan.display().to_string();
    let text = std::fs::read_to_string(&args.plan).map_err(ScaleError::io(&at))?;
    let plan: FleetPlan = serde_json::from_str(&text).map_err(ScaleError::json(&at))?;
    hollow::run(plan, args.from..args.to)
}

/// Runs the series, prints the table and writes the results; whether all was as it should be.
///
/// # Errors
/// A size that can't be played, a process that can't be started or ended before its time.
pub fn run(args: &ScaleArgs) -> Result<bool, ScaleError> {
    args.check()?;
    let _watchdog = Watchdog::start(Duration::from_secs(args.most_seconds));
    let report = args.play_all()?;
    println!("{}", table::text(&report.series));
    if let Some(added) = &report.added {
        println!("{}", added.text());
    }
    if let Some(faults) = &report.faults {
        println!("{}", faults.text());
    }
    let of_plays = report.plays.iter().flat_map(play_faults);
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

/// What makes a play's figures doubtful, or breaks a promise.
fn play_faults(play: &PlayReport) -> Vec<String> {
    let of = format!("{} nodes, {} budgets", play.size.nodes, play.size.budgets);
    let mut faults = Vec::new();
    if play.agreed_after_ms.is_none() {
        faults.push(format!("{of}: views did not agree before the window"));
    }
    if !play.calm {
        faults.push(format!("{of}: traffic still changed when the window began"));
    }
    if play.declared_dead > 0 {
        faults.push(format!(
            "{of}: nodes were declared dead {} times in the window",
            play.declared_dead
        ));
    }
    if play.leaders[0] != play.leaders[1] {
        faults.push(format!(
            "{of}: the leader changed in the window: {:?}",
            play.leaders
        ));
    }
    // Budgets are so great that no request has a reason to be rejected.
    if play.completed < play.asked {
        faults.push(format!(
            "{of}: of {} exchanges {} were completed",
            play.asked, play.completed
        ));
    }
    faults.extend(
        play.broken_rules
            .iter()
            .map(|broken| format!("{of}: {broken}")),
    );
    faults
}

impl ScaleArgs {
    fn check(&self) -> Result<(), ScaleError> {
        let own = self.voters + self.real;
        let by_budgets = self.budgets.iter().any(|budgets| *budgets > 0);
        let sizes = self.nodes.iter().filter(|nodes| **nodes > 0);
        let sizes = sizes.chain(by_budgets.then_some(&self.nodes_held));
        if let Some(&size) = sizes.clone().find(|size| **size < own) {
            return Err(ScaleError::TooFewNodes { size, own });
        }
        let most = sizes.max().copied().unwrap_or(0);
        let processes = own
            + most
                .saturating_sub(own)
                .div_ceil(super::fleet::NODES_PER_PROCESS);
        if processes > MOST_PROCESSES {
            return Err(ScaleError::TooManyProcesses {
                needed: processes,
                max: MOST_PROCESSES,
            });
        }
        Ok(())
    }

    fn terms(&self) -> Result<PlayTerms, ScaleError> {
        let rig = std::env::current_exe().map_err(ScaleError::io("this program"))?;
        let programs = Programs {
            doortrack: self.program.clone(),
            rig,
        };
        Ok(PlayTerms {
            programs,
            voters: self.voters,
            real: self.real,
            callers: self.callers,
            uses_per_second: self.uses_per_second,
            start_spread: Duration::from_secs_f64(self.start_spread),
            agree_within: Duration::from_secs_f64(self.agree_within),
            settle: SettleTerms {
                least: Duration::from_secs_f64(self.settle),
                most: Duration::from_secs_f64(self.settle_most),
            },
            window: Duration::from_secs_f64(self.window),
        })
    }

    fn play_all(&self) -> Result<ScaleReport, ScaleError> {
        let terms = self.terms()?;
        let mut report = ScaleReport {
            command: std::env::args().collect(),
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            plays: Vec::new(),
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
            report.faults = Some(faults::play(&terms, size, parted_for, &progress)?);
            progress.finish_and_clear();
        } else if self.added {
            let progress = progress_bar(1);
            let lasts = Duration::from_secs_f64(self.added_for);
            report.added = Some(added::play(&terms, size, lasts, &progress)?);
            progress.finish_and_clear();
        } else {
            self.play_series(&terms, &mut report)?;
        }
        Ok(report)
    }

    fn play_series(&self, terms: &PlayTerms, report: &mut ScaleReport) -> Result<(), ScaleError> {
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
        let by_nodes = play_each(terms, by_nodes, &progress)?;
        let by_budgets = play_each(terms, by_budgets, &progress)?;
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
        report.plays = by_nodes.into_iter().chain(by_budgets).collect();
        Ok(())
    }
}

fn play_each(
    terms: &PlayTerms,
    sizes: Vec<Size>,
    progress: &ProgressBar,
) -> Result<Vec<PlayReport>, ScaleError> {
    let played = sizes.into_iter().map(|size| {
        let report = play(terms, size, progress);
        progress.inc(1);
        report
    });
    played.collect()
}

/// Drawn on standard error, and hidden where that is no terminal.
fn progress_bar(plays: usize) -> ProgressBar {
    let bar = ProgressBar::new(plays as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {pos}/{len} {elapsed} {msg}") {
        bar.set_style(style);
    }
    bar.enable_steady_tick(Duration::from_millis(500));
    bar
}
