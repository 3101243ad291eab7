//! One fleet for each size of a series: started, left to settle, measured for a window, ended.

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
use super::settle::{SettleTerms, Settled, settle};
use crate::traffic::{Backend, Traffic, TrafficCounts};

/// A node writes its counters to the log so often; a little more is waited.
const SUMMARY_EVERY: Duration = Duration::from_millis(10_500);
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// What all plays of a run share.
#[derive(Clone, Debug)]
pub struct PlayTerms {
    pub programs: Programs,
    pub voters: usize,
    pub real: usize,
    pub callers: usize,
    pub uses_per_second: u32,
    pub start_spread: Duration,
    /// Until all views agree and a leader is known.
    pub agree_within: Duration,
    pub settle: SettleTerms,
    pub window: Duration,
}

/// The size of one fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    pub nodes: usize,
    pub budgets: usize,
}

/// What came of one fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlayReport {
    pub size: Size,
    pub hollow: usize,
    pub real: usize,
    /// From the start of the processes until all views were the same and all knew one leader; none if that
    /// did not come in time, and the figures are of a fleet that had not found together.
    pub agreed_after_ms: Option<u64>,
    /// Whether its traffic stayed the same before the window.
    pub calm: bool,
    pub window_ms: u64,
    /// Before the window and after it.
    pub leaders: [Option<String>; 2],
    /// Datagrams of the whole machine that met a full receive buffer during the window.
    pub receive_buffer_errors: u64,
    /// How often a voter or hollow node declared another dead in the window, in which none dies.
    pub declared_dead: usize,
    /// Datagrams of hollow nodes and voters that the system did not take, and that were not listened to.
    pub unsent: u64,
    pub refused: u64,
    /// What the stand-in callers of the real nodes came to, and each breach of the four rules in words.
    pub asked: usize,
    pub completed: usize,
    pub broken_rules: Vec<String>,
    pub figures: Vec<Figure>,
}

impl PlayTerms {
    /// The plan of a fleet of this size.
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

/// Plays a fleet of one size.
///
/// # Errors
/// A process that can't be started, or that ended before its time.
pub fn play(
    terms: &PlayTerms,
    size: Size,
    progress: &ProgressBar,
) -> Result<PlayReport, ScaleError> {
    let ports = Ports::hold()?;
    let behind = Backend::start();
    let servers = behind.installation(behind.address())["servers"].clone();
    let plan = terms.plan(size, &ports);
    let label = format!("{} nodes, {} budgets", size.nodes, size.budgets);
    progress.set_message(format!("{label}: start"));
    let mut fleet = RunningFleet::start(&terms.programs, plan, &servers, |_| true)?;
    let agreed = fleet.agree(size.nodes, terms.agree_within)?;
    let fronts: Vec<SocketAddr> = fleet.real.iter().map(|real| real.front).collect();
    let callers = if fronts.is_empty() { 0 } else { terms.callers };
    let traffic = Traffic::start_for(Some(CALLERS_TENANT), callers, &fronts, size.nodes as u64);
    progress.set_message(format!("{label}: settle"));
    let settled = settle(&mut fleet, terms.settle)?;
    progress.set_message(format!("{label}: measure"));
    let measured = measure(&mut fleet, terms.window, settled);
    let (served, broken_rules) = traffic.finish(&behind, &[]);
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
    calm: bool,
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
    let lasted = began.elapsed();
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
        calm: settled.calm_since.is_some(),
        window: lasted,
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

/// Of each real node the last span between two lines of its log that began in the calm fleet; waits for the
/// next line where there is none yet.
fn real_links(fleet: &RunningFleet, settled: Settled) -> Vec<LinkRates> {
    let Some(calm_since) = settled.calm_since else {
        return Vec::new();
    };
    let until = Instant::now() + SUMMARY_EVERY;
    let in_calm = |real: &RealNode| {
        let [(at, counts), (later, more)] = real.last_summaries()?;
        (at >= calm_since).then(|| LinkRates::between(counts, more, later - at))
    };
    loop {
        let links: Vec<LinkRates> = fleet.real.iter().filter_map(in_calm).collect();
        if links.len() == fleet.real.len() || Instant::now() > until {
            return links;
        }
        std::thread::sleep(LOOK_EVERY);
    }
}

fn report(
    fleet: &RunningFleet,
    size: Size,
    agreed: Option<Duration>,
    measured: Measured,
    served: TrafficCounts,
    broken_rules: Vec<String>,
) -> PlayReport {
    PlayReport {
        size,
        hollow: fleet.plan.hollow_nodes().len(),
        real: fleet.real.len(),
        agreed_after_ms: agreed.map(|span| span.as_millis() as u64),
        calm: measured.calm,
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

/// Of the whole machine since its start; 0 where the system does not tell.
fn receive_buffer_errors() -> u64 {
    procfs::net::snmp().map_or(0, |snmp| snmp.udp_rcvbuf_errors)
}

/// One series for each role and quantity of the plays, with the line through it, read at `wanted`.
pub fn fitted(
    plays: &[PlayReport],
    dimension: Dimension,
    held: &str,
    size: impl Fn(Size) -> usize,
    wanted: f64,
) -> Vec<FittedSeries> {
    let mut series: Vec<Series> = Vec::new();
    for play in plays {
        for figure in &play.figures {
            let point = Point {
                size: size(play.size) as f64,
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
