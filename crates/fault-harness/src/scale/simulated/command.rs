//! `doortrack-harness scale-simulated`: simulates large fleets and prints the results.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use clap::{Args, ValueEnum};
use serde::{Deserialize, Serialize};

use super::scenario::{SLOT_MS, Scenario};
use super::slopes;
use super::topology::Topology;
use super::traffic::{Load, Peaks};
use super::verdict::{Measured, Outcome, run};
use crate::scale::error::{ScaleError, write_report};
use crate::scale::series::Series;

/// Number of single machine failures in a day.
const SINGLE_FAILURES: usize = 15;
const LOSS: f64 = 0.05;
const SHORT_PARTITION_MS: u64 = 30_000;
/// Maximum number of breaches printed for one simulation.
const MAX_PRINTED: usize = 12;

/// The kind of simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Kind {
    /// Restarts at the daily rate; failures of single machines, a rack, a zone, the leader and a voter
    Day,
    /// The same as `day` with 5% datagram loss
    DayLoss,
    /// A partition of the regions for `--parted-s` seconds
    Parted,
    /// A partition of the regions for 30 s
    PartedShort,
    /// Traffic without faults by number of nodes and by number of budgets
    Slopes,
}

/// Simulates a fleet of nodes and voters and checks the results
#[derive(Args, Debug)]
pub struct Options {
    #[arg(long, default_value = "770")]
    nodes: usize,
    #[arg(
        long,
        value_enum,
        value_delimiter = ',',
        default_value = "day,day-loss,parted,parted-short,slopes"
    )]
    play: Vec<Kind>,
    #[arg(long, default_value = "1")]
    from: u64,
    /// Number of seeds of each simulation; slopes use only the first
    #[arg(long, default_value = "1")]
    seeds: u64,
    #[arg(long, default_value = "3600")]
    parted_s: u64,
    /// Number of nodes for the slope by budgets
    #[arg(long, default_value = "770")]
    budget_nodes: usize,
    /// Number of concurrent simulations
    #[arg(long, default_value = "2")]
    threads: usize,
    /// File for outcomes and series as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// All results of one command.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Report {
    pub outcomes: Vec<Outcome>,
    pub series: Vec<Series>,
}

/// An independent unit of work.
enum Task {
    Play(Box<Scenario>, u64),
    OverNodes(u64),
    OverBudgets(u64),
}

impl Options {
    fn tasks(&self) -> Vec<Task> {
        let topology = Topology { nodes: self.nodes };
        let mut tasks = Vec::new();
        for kind in &self.play {
            let scenario = |seed: u64| match kind {
                Kind::Day => Scenario::day(topology, SINGLE_FAILURES, SLOT_MS, seed),
                Kind::DayLoss => {
                    Scenario::day(topology, SINGLE_FAILURES, SLOT_MS, seed).with_loss(LOSS)
                }
                Kind::PartedShort => Scenario::partitioned(topology, SHORT_PARTITION_MS, seed),
                Kind::Parted | Kind::Slopes => {
                    Scenario::partitioned(topology, self.parted_s * 1_000, seed)
                }
            };
            if *kind == Kind::Slopes {
                tasks.extend([Task::OverNodes(self.from), Task::OverBudgets(self.from)]);
            } else {
                let seeds = self.from..self.from + self.seeds;
                tasks.extend(seeds.map(|seed| Task::Play(Box::new(scenario(seed)), seed)));
            }
        }
        tasks
    }
}

/// Runs the requested simulations. Returns true if there was no breach.
///
/// # Errors
/// The report file can't be written.
pub fn scale_simulated(options: &Options) -> Result<bool, ScaleError> {
    let tasks = options.tasks();
    let (next, report) = (AtomicUsize::new(0), Mutex::new(Report::default()));
    std::thread::scope(|scope| {
        for _ in 0..options.threads.max(1) {
            scope.spawn(|| {
                while let Some(task) = tasks.get(next.fetch_add(1, Ordering::Relaxed)) {
                    execute(options, task, &report);
                }
            });
        }
    });
    let mut report = report
        .into_inner()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    report
        .outcomes
        .sort_by(|a, b| (&a.scenario, a.seed).cmp(&(&b.scenario, b.seed)));
    if let Some(file) = &options.json {
        write_report(file, &report)?;
    }
    Ok(report
        .outcomes
        .iter()
        .all(|outcome| outcome.breaches.is_empty()))
}

fn execute(options: &Options, task: &Task, report: &Mutex<Report>) {
    let began = Instant::now();
    let (mut outcomes, mut series) = (Vec::new(), Vec::new());
    match task {
        Task::Play(scenario, seed) => outcomes.push(run(scenario, *seed)),
        Task::OverNodes(seed) => series = slopes::over_nodes(&slopes::NODES, *seed),
        Task::OverBudgets(seed) => {
            series = slopes::over_budgets(options.budget_nodes, &slopes::BUDGETS, *seed);
        }
    }
    let took = began.elapsed().as_secs_f64();
    let mut report = report
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    outcomes
        .iter()
        .for_each(|outcome| print!("{}", outcome_table(outcome)));
    series
        .iter()
        .for_each(|series| println!("{}", series_line(series)));
    println!("took {took:.1} s\n");
    report.outcomes.extend(outcomes);
    report.series.extend(series);
}

/// Formats one outcome; incidents of one kind are summarized by their median and worst.
pub fn outcome_table(outcome: &Outcome) -> String {
    let Outcome {
        scenario,
        seed,
        nodes,
        machines,
        simulated_s,
        events,
        suspicions,
        leaders,
        ..
    } = outcome;
    let baseline = &outcome.baseline;
    let mut text = format!(
        "{scenario} seed {seed}: {nodes} nodes, {machines} machines, {simulated_s} s simulated, \
         {events} events, {suspicions} doubts, {leaders} leaders\n"
    );
    text += "| incident | times | views one, ms: middle (worst) | budget 0.9 in use, ms: middle (worst) | \
             peak B/s in/out: node | voter | leader | fleet, out |\n\
             | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    let started = baseline
        .started_agree_ms
        .map_or("never".into(), |ms| ms.to_string());
    text += &format!(
        "| calm; started | 1 | {started} | {:.3} used | ",
        baseline.used
    );
    text += &peak_columns(baseline.peaks, baseline.fleet_peak.bytes_out);
    let mut by_label: BTreeMap<&str, Vec<&Measured>> = BTreeMap::new();
    outcome
        .measured
        .iter()
        .for_each(|one| by_label.entry(&one.label).or_default().push(one));
    by_label
        .iter()
        .for_each(|(label, list)| text += &incident_line(label, list));
    if let Some(usage) = &outcome.partition_usage {
        text += &format!(
            "parted: with a majority {:.1} of {:.1} a second used, without {:.1} where {:.1} are reserved\n",
            usage.with_majority, usage.whole, usage.without_majority, usage.reserved
        );
    }
    text += &format!("{} broken\n", outcome.breaches.len());
    outcome
        .breaches
        .iter()
        .take(MAX_PRINTED)
        .for_each(|breach| text += &format!("  {breach}\n"));
    text
}

fn peak_columns(peaks: Peaks, fleet: u64) -> String {
    let column = |load: Load| format!("{}/{}", load.bytes_in, load.bytes_out);
    format!(
        "{} | {} | {} | {fleet} |\n",
        column(peaks.node),
        column(peaks.voter),
        column(peaks.leader)
    )
}

fn incident_line(label: &str, list: &[&Measured]) -> String {
    let never = u64::MAX;
    let middle = |mut values: Vec<u64>| {
        values.sort_unstable();
        let say = |value: u64| {
            if value == never {
                "never".to_string()
            } else {
                value.to_string()
            }
        };
        format!(
            "{} ({})",
            say(values[values.len() / 2]),
            say(values[values.len() - 1])
        )
    };
    let agree = middle(
        list.iter()
            .map(|one| one.agree_ms.unwrap_or(never))
            .collect(),
    );
    let budget = middle(list.iter().map(|one| one.budget_ms).collect());
    let peaks = list
        .iter()
        .map(|one| one.peaks)
        .fold(Peaks::default(), Peaks::component_max);
    let fleet = list
        .iter()
        .map(|one| one.fleet_peak.bytes_out)
        .max()
        .unwrap_or(0);
    format!(
        "| {label} | {} | {agree} | {budget} | {}",
        list.len(),
        peak_columns(peaks, fleet)
    )
}

fn series_line(series: &Series) -> String {
    let points = series
        .points
        .iter()
        .map(|point| format!("{}: {:.1}", point.size, point.value));
    let points: Vec<String> = points.collect();
    format!(
        "{:?} {:?} over {:?}, {}: {}",
        series.role,
        series.quantity,
        series.dimension,
        series.held,
        points.join(", ")
    )
}
