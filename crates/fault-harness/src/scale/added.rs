//! Measures the latency that control adds to a request. Half of the real nodes have fleet and budgets (with
//! control), the others have neither.
//!
//! Callers send pairs of requests, one to a node of each half, in alternating order while the hollow nodes of
//! the fleet run. Both halves thus share the load of the machine, and are compared pair by pair.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use doortrack_fakes::caller::{CallerOutcome, CallerRequest};
use doortrack_fakes::immediate;
use doortrack_protocols::Protocol;
use indicatif::ProgressBar;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::child::{Usage, usage};
use super::error::ScaleError;
use super::fleet::{Ports, RunningFleet};
use super::measure::core_thousandths;
use super::plan::{CALLERS_TENANT, TENANT_FIELD};
use super::settle::settle;
use super::sweep::{Size, TrialOptions};

/// Connections that each node keeps to the application server.
const CONNECTIONS_PER_NODE: usize = 4;
/// Callers that measure latency; each sends one request at a time.
const TIMING_CALLERS: usize = 2;
/// Pause of a caller after each pair.
const PAUSE: Duration = Duration::from_millis(1);

/// Latencies of one half of the real nodes, in microseconds, and the resource usage of its processes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct VariantStats {
    pub p50_us: f64,
    pub p99_us: f64,
    pub mean_us: f64,
    /// Mean per process, as is `resident_kilobytes`.
    pub core_thousandths: f64,
    pub resident_kilobytes: f64,
}

/// Results of both halves, and the difference between them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AddedReport {
    pub size: Size,
    pub real_with_control: usize,
    pub real_without_control: usize,
    pub agreed_after_ms: Option<u64>,
    /// Number of pairs in which both requests were completed; the others are in `incomplete_pairs`.
    pub pairs: usize,
    pub incomplete_pairs: usize,
    pub with_control: VariantStats,
    pub without_control: VariantStats,
    pub ratio_p50: f64,
    pub ratio_p99: f64,
    pub added_p50_us: f64,
    pub added_p99_us: f64,
    /// Median of the differences within pairs.
    pub paired_difference_p50_us: f64,
    pub added_core_thousandths: f64,
    pub added_kilobytes: f64,
}

/// Latencies of one pair of requests, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pair {
    pub with_control: f64,
    pub without_control: f64,
}

/// Returns a quantile of sorted values, or 0 if there are none.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    let index = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(index.saturating_sub(1)).copied().unwrap_or(0.0)
}

fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values
}

/// Runs a fleet of this size with half of the real nodes outside it, and measures latencies for `duration`.
///
/// # Errors
/// A process can't be started or ends early.
pub fn run_trial(
    options: &TrialOptions,
    size: Size,
    duration: Duration,
    progress: &ProgressBar,
) -> Result<AddedReport, ScaleError> {
    let ports = Ports::hold()?;
    let server = immediate::start_server(Protocol::FastCgi, options.real * CONNECTIONS_PER_NODE);
    let server = server.map_err(ScaleError::io("the application server"))?;
    let servers = json!({"protocol": "fastcgi", "addresses": [server.to_string()], "at_once": CONNECTIONS_PER_NODE});
    let plan = options.plan(size, &ports);
    let first = plan.real_nodes().start;
    // Alternating, so that neither half starts first.
    let in_fleet = |node: usize| (node - first).is_multiple_of(2);
    progress.set_message("start");
    let mut fleet = RunningFleet::start(&options.programs, plan, &servers, in_fleet)?;
    let members = fleet.members();
    let agreed = fleet.wait_for_agreement(members, options.agree_within)?;
    progress.set_message("settle");
    settle(&mut fleet, options.settle)?;
    progress.set_message("time requests");
    let fronts = |in_fleet: bool| -> Vec<SocketAddr> {
        fleet
            .real
            .iter()
            .filter(|real| real.in_fleet == in_fleet)
            .map(|real| real.front)
            .collect()
    };
    let (with, without) = (fronts(true), fronts(false));
    let before = usages(&fleet)?;
    let (pairs, incomplete_pairs) = time_pairs(&with, &without, duration);
    let after = usages(&fleet)?;
    let variant_stats = |in_fleet: bool| variant_stats(&fleet, in_fleet, &pairs, &before, &after);
    let counts = (with.len(), without.len(), incomplete_pairs);
    Ok(AddedReport::of(
        size,
        agreed,
        counts,
        &pairs,
        variant_stats(true),
        variant_stats(false),
    ))
}

fn usages(fleet: &RunningFleet) -> Result<Vec<Usage>, ScaleError> {
    fleet.real.iter().map(|real| usage(real.pid())).collect()
}

fn variant_stats(
    fleet: &RunningFleet,
    in_fleet: bool,
    pairs: &[Pair],
    before: &[Usage],
    after: &[Usage],
) -> VariantStats {
    let times = sorted(pairs.iter().map(|pair| {
        if in_fleet {
            pair.with_control
        } else {
            pair.without_control
        }
    }));
    let indices = (0..fleet.real.len()).filter(|index| fleet.real[*index].in_fleet == in_fleet);
    let indices: Vec<usize> = indices.collect();
    let count = indices.len().max(1) as f64;
    let cores: f64 = indices
        .iter()
        .map(|index| core_thousandths(before[*index], after[*index]))
        .sum();
    let kilobytes: u64 = indices
        .iter()
        .map(|index| after[*index].resident_kilobytes)
        .sum();
    VariantStats {
        p50_us: quantile(&times, 0.5),
        p99_us: quantile(&times, 0.99),
        mean_us: times.iter().sum::<f64>() / times.len().max(1) as f64,
        core_thousandths: cores / count,
        resident_kilobytes: kilobytes as f64 / count,
    }
}

/// Sends pairs of requests. Returns the completed pairs and the number of incomplete ones.
fn time_pairs(
    with: &[SocketAddr],
    without: &[SocketAddr],
    duration: Duration,
) -> (Vec<Pair>, usize) {
    let (stop, began) = (
        AtomicBool::new(with.is_empty() || without.is_empty()),
        Instant::now(),
    );
    let mut pairs = Vec::new();
    let mut incomplete = 0;
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..TIMING_CALLERS as u64)
            .map(|index| {
                scope.spawn({
                    let stop = &stop;
                    move || time_pairs_until_stopped(stop, index, with, without)
                })
            })
            .collect();
        std::thread::sleep(duration.saturating_sub(began.elapsed()));
        stop.store(true, Ordering::Relaxed);
        for (timed, failed) in callers.into_iter().filter_map(|caller| caller.join().ok()) {
            pairs.extend(timed);
            incomplete += failed;
        }
    });
    (pairs, incomplete)
}

fn time_pairs_until_stopped(
    stop: &AtomicBool,
    index: u64,
    with: &[SocketAddr],
    without: &[SocketAddr],
) -> (Vec<Pair>, usize) {
    let (mut pairs, mut incomplete) = (Vec::new(), 0);
    let mut nth = (index + 1) << 32;
    while !stop.load(Ordering::Relaxed) {
        nth += 2;
        let round = (nth / 2) as usize;
        let (one, other) = (with[round % with.len()], without[round % without.len()]);
        // The half that is asked first alternates with each pass over the nodes.
        let with_first = (round / with.len()).is_multiple_of(2);
        let (first, second) = if with_first {
            (one, other)
        } else {
            (other, one)
        };
        let times = (time_one(first, nth), time_one(second, nth + 1));
        match times {
            (Some(first), Some(second)) => {
                let (with_control, without_control) = if with_first {
                    (first, second)
                } else {
                    (second, first)
                };
                pairs.push(Pair {
                    with_control,
                    without_control,
                });
            }
            _ => incomplete += 1,
        }
        std::thread::sleep(PAUSE);
    }
    (pairs, incomplete)
}

/// Returns the microseconds from the connection attempt to the end of the response, or None if the request
/// was not completed.
fn time_one(front: SocketAddr, nth: u64) -> Option<f64> {
    let request = CallerRequest::new(nth, "/svc/look", b"berth").with(TENANT_FIELD, CALLERS_TENANT);
    let began = Instant::now();
    let seen = request.try_send(front, Protocol::FastCgi).ok()?.outcome();
    let took = began.elapsed().as_secs_f64() * 1e6;
    matches!(seen, CallerOutcome::Completed(_)).then_some(took)
}

impl AddedReport {
    /// Builds the report. `counts` are the nodes of each half and the number of incomplete pairs.
    pub fn of(
        size: Size,
        agreed: Option<Duration>,
        counts: (usize, usize, usize),
        pairs: &[Pair],
        with_control: VariantStats,
        without_control: VariantStats,
    ) -> AddedReport {
        let differences = sorted(
            pairs
                .iter()
                .map(|pair| pair.with_control - pair.without_control),
        );
        AddedReport {
            size,
            real_with_control: counts.0,
            real_without_control: counts.1,
            agreed_after_ms: agreed.map(|span| span.as_millis() as u64),
            pairs: pairs.len(),
            incomplete_pairs: counts.2,
            ratio_p50: with_control.p50_us / without_control.p50_us,
            ratio_p99: with_control.p99_us / without_control.p99_us,
            added_p50_us: with_control.p50_us - without_control.p50_us,
            added_p99_us: with_control.p99_us - without_control.p99_us,
            paired_difference_p50_us: quantile(&differences, 0.5),
            added_core_thousandths: with_control.core_thousandths
                - without_control.core_thousandths,
            added_kilobytes: with_control.resident_kilobytes - without_control.resident_kilobytes,
            with_control,
            without_control,
        }
    }

    /// Formats the report as text.
    pub fn text(&self) -> String {
        let variant_stats = |name: &str, variant_stats: &VariantStats| {
            format!(
                "{name}: p50 {:.0} us, p99 {:.0} us, mean {:.0} us, {:.1} thousandths of a core, {:.0} kB\n",
                variant_stats.p50_us,
                variant_stats.p99_us,
                variant_stats.mean_us,
                variant_stats.core_thousandths,
                variant_stats.resident_kilobytes
            )
        };
        let mut text = format!(
            "{} nodes, {} budgets; {} pairs, {} not completed\n",
            self.size.nodes, self.size.budgets, self.pairs, self.incomplete_pairs
        );
        text += &variant_stats("with control", &self.with_control);
        text += &variant_stats("without", &self.without_control);
        text += &format!(
            "added: p50 {:.0} us (ratio {:.3}), p99 {:.0} us (ratio {:.3}), middle of pairs {:.0} us, ",
            self.added_p50_us,
            self.ratio_p50,
            self.added_p99_us,
            self.ratio_p99,
            self.paired_difference_p50_us
        );
        text += &format!(
            "{:.1} thousandths of a core, {:.0} kB",
            self.added_core_thousandths, self.added_kilobytes
        );
        text
    }
}
