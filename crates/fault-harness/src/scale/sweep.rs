//! Runs one fleet for each size of a series: starts it, waits until it is steady, measures it and stops it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indicatif::ProgressBar;
use serde::{Deserialize, Serialize};

use super::child::{Usage, usage};
use super::error::ScaleError;
use super::fit::FittedSeries;
use super::fleet::{FleetSample, Ports, Programs, RunningFleet};
use super::measure::{Figure, LinkRates, figures, serving_figures};
use super::plan::{CALLERS_TENANT, FleetPlan};
use super::series::{Dimension, Point, Series};
use super::serving::RealNode;
use super::settle::{SettleOptions, Settled, settle};
use crate::traffic::{Backend, Traffic, TrafficCounts};

/// How long to wait for the next log line with link counters; a node writes one every 10 s.
const SUMMARY_TIMEOUT: Duration = Duration::from_millis(10_500);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Options shared by all trials of a command.
#[derive(Clone, Debug)]
pub struct TrialOptions {
    pub programs: Programs,
    pub voters: usize,
    pub real: usize,
    pub callers: usize,
    pub uses_per_second: u32,
    pub start_spread: Duration,
    /// Time limit until all views agree and a leader is known.
    pub agree_within: Duration,
    pub settle: SettleOptions,
    pub window: Duration,
}

/// The size of one fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    pub nodes: usize,
    pub budgets: usize,
}

/// The results of one fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TrialReport {
    pub size: Size,
    pub hollow: usize,
    pub real: usize,
    /// Time from the start of the processes until all views were equal and all nodes knew one leader. None if
    /// that did not happen in time; the figures are then those of a fleet without agreement.
    pub agreed_after_ms: Option<u64>,
    /// True if the traffic was steady before the window.
    #[serde(rename = "calm")]
    pub steady: bool,
    pub window_ms: u64,
    /// The leader before and after the window.
    pub leaders: [Option<String>; 2],
    /// Datagrams dropped on the whole machine during the window because a receive buffer was full.
    pub receive_buffer_errors: u64,
    /// Members declared dead by voters and hollow nodes during the window, in which no node is killed.
    pub declared_dead: usize,
    /// Datagrams of hollow nodes and voters that could not be sent, and received ones that were rejected.
    pub unsent: u64,
    pub refused: u64,
    /// Requests of the simulated callers of the real nodes, those completed, and descriptions of violations.
    pub asked: usize,
    pub completed: usize,
    pub broken_rules: Vec<String>,
    pub figures: Vec<Figure>,
}

impl TrialOptions {
    /// Returns the plan of a fleet of this size.
    pub fn plan(&self, size: Size, ports: &Ports) -> FleetPlan {
        FleetPlan {
            nodes: size.nodes,
            voters: self.voters,
            real: self.real,
            budgets: size.budgets,
            fleet_port: ports.fleet(),
            front_port: ports.front(),
            uses_per_second: self.uses_per_second,
            start_spread_ms: self.start_spread.as_millis() as u64,
        }
    }
}

/// Runs and measures a fleet of one size.
///
/// # Errors
/// A process can't be started or ends early.
pub fn run_trial(
    options: &TrialOptions,
    size: Size,
    progress: &ProgressBar,
) -> Result<TrialReport, ScaleError> {
    let ports = Ports::hold()?;
    let backend = Backend::start();
    let servers = backend.installation(backend.address())["servers"].clone();
    let plan = options.plan(size, &ports);
    let label = format!("{} nodes, {} budgets", size.nodes, size.budgets);
    progress.set_message(format!("{label}: start"));
    let mut fleet = RunningFleet::start(&options.programs, plan, &servers, |_| true)?;
    let agreed = fleet.wait_for_agreement(size.nodes, options.agree_within)?;
    let fronts: Vec<SocketAddr> = fleet.real.iter().map(|real| real.front).collect();
    let callers = if fronts.is_empty() {
        0
    } else {
        options.callers
    };
    let traffic = Traffic::start_for(Some(CALLERS_TENANT), callers, &fronts, size.nodes as u64);
    progress.set_message(format!("{label}: settle"));
    let settled = settle(&mut fleet, options.settle)?;
    progress.set_message(format!("{label}: measure"));
    let measured = measure(&mut fleet, options.window, settled);
    let (served, broken_rules) = traffic.finish(&backend, &[]);
    Ok(report(
        &fleet,
        size,
        agreed,
        measured?,
        served,
        broken_rules,
    ))
}

struct Measured {
    steady: bool,
    window: Duration,
    leaders: [Option<String>; 2],
    receive_buffer_errors: u64,
    declared_dead: usize,
    unsent: u64,
    refused: u64,
    figures: Vec<Figure>,
}

fn measure(
    fleet: &mut RunningFleet,
    window: Duration,
    settled: Settled,
) -> Result<Measured, ScaleError> {
    let (errors_before, real_before) = (receive_buffer_errors(), usages(fleet)?);
    fleet.take_losses()?;
    let before = fleet.sample()?;
    let began = Instant::now();
    std::thread::sleep(window);
    let after = fleet.sample()?;
    let elapsed_time = began.elapsed();
    let declared_dead = fleet.take_losses()?.len();
    let errors = receive_buffer_errors().saturating_sub(errors_before);
    let real_after = usages(fleet)?;
    let leader = |sample: &FleetSample| sample.nodes.first().and_then(|node| node.leader.clone());
    let leaders = [leader(&before), leader(&after)];
    let leads = leaders[1]
        .as_deref()
        .and_then(|name| fleet.plan.node_named(name));
    let mut all = figures(&fleet.plan, &before, &after, leads);
    let links = real_links(fleet, settled);
    let pairs: Vec<(Usage, Usage)> = real_before.into_iter().zip(real_after).collect();
    all.extend(serving_figures(&pairs, &links));
    Ok(Measured {
        steady: settled.steady_since.is_some(),
        window: elapsed_time,
        leaders,
        receive_buffer_errors: errors,
        declared_dead,
        unsent: after.nodes.iter().map(|node| node.unsent).sum(),
        refused: after.nodes.iter().map(|node| node.refused).sum(),
        figures: all,
    })
}

fn usages(fleet: &RunningFleet) -> Result<Vec<Usage>, ScaleError> {
    fleet.real.iter().map(|real| usage(real.pid())).collect()
}

/// Returns the link rates of each real node between its last two log lines with counters, if both were
/// written while the fleet was steady. Waits for the next line if necessary.
fn real_links(fleet: &RunningFleet, settled: Settled) -> Vec<LinkRates> {
    let Some(steady_since) = settled.steady_since else {
        return Vec::new();
    };
    let until = Instant::now() + SUMMARY_TIMEOUT;
    let steady_rates = |real: &RealNode| {
        let [(at, counts), (later, more)] = real.last_summaries()?;
        (at >= steady_since).then(|| LinkRates::between(counts, more, later - at))
    };
    loop {
        let links: Vec<LinkRates> = fleet.real.iter().filter_map(steady_rates).collect();
        if links.len() == fleet.real.len() || Instant::now() > until {
            return links;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn report(
    fleet: &RunningFleet,
    size: Size,
    agreed: Option<Duration>,
    measured: Measured,
    served: TrafficCounts,
    broken_rules: Vec<String>,
) -> TrialReport {
    TrialReport {
        size,
        hollow: fleet.plan.hollow_nodes().len(),
        real: fleet.real.len(),
        agreed_after_ms: agreed.map(|span| span.as_millis() as u64),
        steady: measured.steady,
        window_ms: measured.window.as_millis() as u64,
        leaders: measured.leaders,
        receive_buffer_errors: measured.receive_buffer_errors,
        declared_dead: measured.declared_dead,
        unsent: measured.unsent,
        refused: measured.refused,
        asked: served.sent,
        completed: served.completed,
        broken_rules,
        figures: measured.figures,
    }
}

/// Returns the receive buffer errors of the whole machine since its start, or 0 if they are not available.
fn receive_buffer_errors() -> u64 {
    procfs::net::snmp().map_or(0, |snmp| snmp.udp_rcvbuf_errors)
}

/// Builds one series for each role and quantity, fits a line, and evaluates the line at `wanted`.
pub fn fitted(
    trials: &[TrialReport],
    dimension: Dimension,
    held: &str,
    size: impl Fn(Size) -> usize,
    wanted: f64,
) -> Vec<FittedSeries> {
    let mut series: Vec<Series> = Vec::new();
    for trial in trials {
        for figure in &trial.figures {
            let point = Point {
                size: size(trial.size) as f64,
                value: figure.value,
            };
            let same =
                |one: &&mut Series| one.role == figure.role && one.quantity == figure.quantity;
            match series.iter_mut().find(same) {
                Some(one) => one.points.push(point),
                None => series.push(Series {
                    role: figure.role,
                    quantity: figure.quantity,
                    dimension,
                    held: held.to_string(),
                    points: vec![point],
                }),
            }
        }
    }
    series
        .into_iter()
        .map(|one| FittedSeries::of(one, Some(wanted)))
        .collect()
}
