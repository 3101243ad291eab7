//! What control adds to a request: half of the real nodes have fleet and budgets, the others have neither.
//!
//! Callers ask one of each half in turns, in changing order, while the hollow nodes of a whole fleet run
//! beside them. So both halves meet the same machine at the same time, and are compared pair by pair.

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
use super::sweep::{PlayTerms, Size};

/// Connections that a node keeps to the server behind it.
const AT_ONCE: usize = 4;
/// Callers that time requests, each one after the other.
const TIMING_CALLERS: usize = 2;
/// A caller's rest after each pair.
const REST: Duration = Duration::from_millis(1);

/// How long requests to one half took, in microseconds, and what its processes used.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Half {
    pub p50_us: f64,
    pub p99_us: f64,
    pub mean_us: f64,
    /// Of each process, in the mean.
    pub core_thousandths: f64,
    pub resident_kilobytes: f64,
}

/// Both halves, and what the half with control takes beyond the other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AddedReport {
    pub size: Size,
    pub real_with_control: usize,
    pub real_without_control: usize,
    pub agreed_after_ms: Option<u64>,
    /// Pairs in which both requests were completed, and the others.
    pub pairs: usize,
    pub incomplete_pairs: usize,
    pub with_control: Half,
    pub without_control: Half,
    pub ratio_p50: f64,
    pub ratio_p99: f64,
    pub added_p50_us: f64,
    pub added_p99_us: f64,
    /// The middle of the differences within pairs.
    pub paired_difference_p50_us: f64,
    pub added_core_thousandths: f64,
    pub added_kilobytes: f64,
}

/// One pair of requests, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pair {
    pub with_control: f64,
    pub without_control: f64,
}

/// The value below which this share of the sorted values lies; 0 of none.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    let place = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(place.saturating_sub(1)).copied().unwrap_or(0.0)
}

fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values
}

/// Plays a fleet of this size with half of its real nodes outside it, and times requests for so long.
///
/// # Errors
/// A process that can't be started, or that ended before its time.
pub fn play(
    terms: &PlayTerms,
    size: Size,
    lasts: Duration,
    progress: &ProgressBar,
) -> Result<AddedReport, ScaleError> {
    let ports = Ports::hold()?;
    let server = immediate::start_server(Protocol::FastCgi, terms.real * AT_ONCE);
    let server = server.map_err(ScaleError::io("the server behind the nodes"))?;
    let servers =
        json!({"protocol": "fastcgi", "addresses": [server.to_string()], "at_once": AT_ONCE});
    let plan = terms.plan(size, &ports);
    let first = plan.real_nodes().start;
    // In turns, so that neither half starts first.
    let in_fleet = |node: usize| (node - first).is_multiple_of(2);
    progress.set_message("start");
    let mut fleet = RunningFleet::start(&terms.programs, plan, &servers, in_fleet)?;
    let members = fleet.members();
    let agreed = fleet.agree(members, terms.agree_within)?;
    progress.set_message("settle");
    settle(&mut fleet, terms.settle)?;
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
    let (pairs, incomplete_pairs) = time_pairs(&with, &without, lasts);
    let after = usages(&fleet)?;
    let half = |in_fleet: bool| half(&fleet, in_fleet, &pairs, &before, &after);
    let counts = (with.len(), without.len(), incomplete_pairs);
    Ok(AddedReport::of(
        size,
        agreed,
        counts,
        &pairs,
        half(true),
        half(false),
    ))
}

fn usages(fleet: &RunningFleet) -> Result<Vec<Usage>, ScaleError> {
    fleet.real.iter().map(|real| usage(real.pid())).collect()
}

fn half(
    fleet: &RunningFleet,
    in_fleet: bool,
    pairs: &[Pair],
    before: &[Usage],
    after: &[Usage],
) -> Half {
    let times = sorted(pairs.iter().map(|pair| {
        if in_fleet {
            pair.with_control
        } else {
            pair.without_control
        }
    }));
    let places = (0..fleet.real.len()).filter(|place| fleet.real[*place].in_fleet == in_fleet);
    let places: Vec<usize> = places.collect();
    let count = places.len().max(1) as f64;
    let cores: f64 = places
        .iter()
        .map(|place| core_thousandths(before[*place], after[*place]))
        .sum();
    let kilobytes: u64 = places
        .iter()
        .map(|place| after[*place].resident_kilobytes)
        .sum();
    Half {
        p50_us: quantile(&times, 0.5),
        p99_us: quantile(&times, 0.99),
        mean_us: times.iter().sum::<f64>() / times.len().max(1) as f64,
        core_thousandths: cores / count,
        resident_kilobytes: kilobytes as f64 / count,
    }
}

/// Times pairs of requests; those that were completed, and how many were not.
fn time_pairs(with: &[SocketAddr], without: &[SocketAddr], lasts: Duration) -> (Vec<Pair>, usize) {
    let (over, began) = (
        AtomicBool::new(with.is_empty() || without.is_empty()),
        Instant::now(),
    );
    let mut pairs = Vec::new();
    let mut incomplete = 0;
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..TIMING_CALLERS as u64)
            .map(|place| {
                scope.spawn({
                    let over = &over;
                    move || time_until(over, place, with, without)
                })
            })
            .collect();
        std::thread::sleep(lasts.saturating_sub(began.elapsed()));
        over.store(true, Ordering::Relaxed);
        for (timed, failed) in callers.into_iter().filter_map(|caller| caller.join().ok()) {
            pairs.extend(timed);
            incomplete += failed;
        }
    });
    (pairs, incomplete)
}

fn time_until(
    over: &AtomicBool,
    place: u64,
    with: &[SocketAddr],
    without: &[SocketAddr],
) -> (Vec<Pair>, usize) {
    let (mut pairs, mut incomplete) = (Vec::new(), 0);
    let mut nth = (place + 1) << 32;
    while !over.load(Ordering::Relaxed) {
        nth += 2;
        let turn = (nth / 2) as usize;
        let (one, other) = (with[turn % with.len()], without[turn % without.len()]);
        // Who is asked first changes with each round of the nodes.
        let with_first = (turn / with.len()).is_multiple_of(2);
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
        std::thread::sleep(REST);
    }
    (pairs, incomplete)
}

/// Microseconds from before the connection to the end of the answer; none if it was not completed.
fn time_one(front: SocketAddr, nth: u64) -> Option<f64> {
    let ask = CallerRequest::new(nth, "/svc/look", b"berth").with(TENANT_FIELD, CALLERS_TENANT);
    let began = Instant::now();
    let seen = ask.try_send(front, Protocol::FastCgi).ok()?.outcome();
    let took = began.elapsed().as_secs_f64() * 1e6;
    matches!(seen, CallerOutcome::Completed(_)).then_some(took)
}

impl AddedReport {
    /// `counts` are the nodes of each half and the pairs that were not completed.
    pub fn of(
        size: Size,
        agreed: Option<Duration>,
        counts: (usize, usize, usize),
        pairs: &[Pair],
        with_control: Half,
        without_control: Half,
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

    /// For a reader.
    pub fn text(&self) -> String {
        let half = |name: &str, half: &Half| {
            format!(
                "{name}: p50 {:.0} us, p99 {:.0} us, mean {:.0} us, {:.1} thousandths of a core, {:.0} kB\n",
                half.p50_us,
                half.p99_us,
                half.mean_us,
                half.core_thousandths,
                half.resident_kilobytes
            )
        };
        let mut text = format!(
            "{} nodes, {} budgets; {} pairs, {} not completed\n",
            self.size.nodes, self.size.budgets, self.pairs, self.incomplete_pairs
        );
        text += &half("with control", &self.with_control);
        text += &half("without", &self.without_control);
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
