//! What came of a play: figures, and every promise that was broken.

use doortrack_simulation::Micros;
use serde::{Deserialize, Serialize};

use super::scenario::{CALM_S, Expected, Parting, Scenario};
use super::topology::Topology;
use super::traffic::{Load, Peaks};
use super::world::{Played, Watched, play};
use crate::checks::{Invariant, judge, membership_invariants};
use crate::ground_truth::GroundTruth;
use crate::history::{History, HistoryEvent, node_name};
use crate::scale::series::Role;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Share of the whole budget that counts as in use again, and the bound on the time until then.
const IN_USE: f64 = 0.9;
const BUDGET_WITHIN_MS: u64 = 5_000;
/// Seconds after an incident in which peaks are looked for, and times until the budget is in use.
const AFTER_S: usize = 10;
/// No machine may send or receive in any second more than so many times the busiest machine in calm.
const MOST_PEAK: f64 = 4.0;
/// What a parted side may take to fall back to its reserved minimum, and how exact that is kept.
const FALLS_BACK: Micros = 5 * SECOND;
const RESERVED_MARGIN: f64 = 0.02;

/// One measured incident.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measured {
    pub label: String,
    pub at_ms: u64,
    /// Until the views of all live machines were as expected; nothing if they never were.
    pub agree_ms: Option<u64>,
    /// Until at least nine tenths of the first budget were in use again, and stayed so.
    pub budget_ms: u64,
    /// The most of any one machine in any one of the 10 s that followed.
    pub peaks: Peaks,
    /// All that the fleet sent in the busiest of these seconds.
    pub fleet_peak: Load,
}

/// Uses of the first budget a second while the regions were parted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Apart {
    pub with_majority: f64,
    pub without_majority: f64,
    /// The reserved minimum of the nodes without a majority.
    pub reserved: f64,
    pub whole: f64,
}

/// What a fleet does while nothing fails.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Calm {
    /// From the start of all machines at once until all hold the same view.
    pub started_agree_ms: Option<u64>,
    pub peaks: Peaks,
    pub fleet_peak: Load,
    /// Share of the first budget that is in use.
    pub used: f64,
}

/// One play, judged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    pub scenario: String,
    pub seed: u64,
    pub nodes: usize,
    pub machines: usize,
    pub simulated_s: u64,
    pub events: u64,
    pub doubts: u64,
    /// Leaders that followed one another, by looks a second apart.
    pub leaders: usize,
    pub calm: Calm,
    pub measured: Vec<Measured>,
    pub apart: Option<Apart>,
    /// Every promise that was broken, in words.
    pub breaches: Vec<String>,
}

/// Plays a scenario and judges it.
pub fn run(scenario: &Scenario, seed: u64) -> Outcome {
    let played = play(scenario, seed);
    let outcome = Outcome {
        scenario: scenario.name.clone(),
        seed,
        nodes: scenario.topology.nodes,
        machines: scenario.topology.machines(),
        simulated_s: scenario.ms / 1_000,
        events: played.events,
        doubts: played.doubts,
        leaders: leaders(&played),
        calm: calm(scenario, &played),
        measured: measure_all(scenario.topology, &played),
        apart: scenario
            .parting
            .map(|parting| apart(scenario, parting, &played)),
        breaches: Vec::new(),
    };
    let breaches = breaches(scenario, &played, &outcome);
    Outcome {
        breaches,
        ..outcome
    }
}

impl Played {
    fn peaks(&self, topology: Topology, from_s: usize, till_s: usize) -> Peaks {
        self.traffic.peaks(from_s, till_s, |second, machine| {
            if self.leaders.get(second) == Some(&Some(machine)) {
                Role::Leader
            } else if topology.is_voter(machine) {
                Role::Voter
            } else {
                Role::Node
            }
        })
    }
}

fn leaders(played: &Played) -> usize {
    let mut seen: Vec<usize> = played.leaders.iter().flatten().copied().collect();
    seen.dedup();
    seen.len()
}

fn calm(scenario: &Scenario, played: &Played) -> Calm {
    let (from, till) = (CALM_S.start, CALM_S.end);
    let span = (from as Micros * SECOND, till as Micros * SECOND);
    let used: f64 = (0..2)
        .map(|region| played.usage.rate(span.0, span.1, region))
        .sum();
    Calm {
        started_agree_ms: played
            .agreement
            .first(0, |state| state.all_agree)
            .map(|at| at / MS),
        peaks: played.peaks(scenario.topology, from, till),
        fleet_peak: played.traffic.fleet_peak(from, till),
        used: used / f64::from(scenario.list[0].limit),
    }
}

fn measure_all(topology: Topology, played: &Played) -> Vec<Measured> {
    let ends = played
        .watched
        .iter()
        .skip(1)
        .map(|watched| watched.at)
        .chain([played.end]);
    played
        .watched
        .iter()
        .zip(ends)
        .map(|(watched, next)| measure(topology, played, watched, next))
        .collect()
}

/// `next` is the time of the next measured incident, up to which this one's effects are looked at.
fn measure(topology: Topology, played: &Played, watched: &Watched, next: Micros) -> Measured {
    let at = watched.at;
    let agreed = played
        .agreement
        .first(at, |state| match watched.watch.expected {
            Expected::AllAgree => state.all_agree,
            Expected::RegionsAgree => state.region_agrees.iter().all(|agrees| *agrees),
        });
    let (from_s, till_s) = ((at / SECOND) as usize, (at / SECOND) as usize + AFTER_S);
    let till = next.min(at + AFTER_S as Micros * SECOND);
    Measured {
        label: watched.watch.label.to_string(),
        at_ms: at / MS,
        agree_ms: agreed.map(|agreed| (agreed - at) / MS),
        budget_ms: played.usage.back_after(at, till, IN_USE) / MS,
        peaks: played.peaks(topology, from_s, till_s),
        fleet_peak: played.traffic.fleet_peak(from_s, till_s),
    }
}

fn apart(scenario: &Scenario, parting: Parting, played: &Played) -> Apart {
    let (from, till) = (parting.from_ms * MS + FALLS_BACK, parting.till_ms * MS);
    let topology = scenario.topology;
    let reserved = topology
        .reserved()
        .into_iter()
        .filter(|node| topology.region(*node) == 1)
        .count();
    Apart {
        with_majority: played.usage.rate(from, till, 0),
        without_majority: played.usage.rate(from, till, 1),
        reserved: reserved as f64 * f64::from(scenario.list[0].reserved),
        whole: f64::from(scenario.list[0].limit),
    }
}

fn breaches(scenario: &Scenario, played: &Played, outcome: &Outcome) -> Vec<String> {
    let mut rules = membership_invariants();
    if let Some(parting) = scenario.parting {
        rules.push(Box::new(OwnSideDeclaresNobodyDead {
            topology: scenario.topology,
            parting,
        }));
    }
    let found = judge(&played.history, &rules);
    let mut breaches: Vec<String> = found
        .into_iter()
        .map(|breach| {
            format!(
                "{} ms: {}: {}",
                breach.at_ms, breach.rule, breach.description
            )
        })
        .collect();
    breaches.extend(
        played
            .usage
            .breaches()
            .iter()
            .map(|breach| format!("over the whole: {breach}")),
    );
    for (measured, watched) in outcome.measured.iter().zip(&played.watched) {
        breaches.extend(late(measured, watched.watch.agree_within_ms));
        breaches.extend(stampede(measured, outcome.calm.peaks.busiest()));
    }
    breaches.extend(outcome.apart.iter().flat_map(side_breaches));
    breaches
}

/// Views or budgets that took too long.
pub fn late(measured: &Measured, agree_within_ms: u64) -> Vec<String> {
    let mut late = Vec::new();
    let at = format!("{} ms: {}", measured.at_ms, measured.label);
    match measured.agree_ms {
        Some(ms) if ms <= agree_within_ms => {}
        Some(ms) => late.push(format!(
            "{at}: views are one after {ms} ms, {agree_within_ms} at most"
        )),
        None => late.push(format!("{at}: views are never one")),
    }
    if measured.budget_ms > BUDGET_WITHIN_MS {
        let ms = measured.budget_ms;
        late.push(format!(
            "{at}: the budget is in use after {ms} ms, {BUDGET_WITHIN_MS} at most"
        ));
    }
    late
}

/// One machine that sends or receives many times what the busiest does in calm.
pub fn stampede(measured: &Measured, calm: Load) -> Option<String> {
    let (peak, at) = (measured.peaks.busiest(), measured.at_ms);
    let bytes = [
        (peak.bytes_in, calm.bytes_in, "received"),
        (peak.bytes_out, calm.bytes_out, "sent"),
    ];
    let too_much = bytes
        .into_iter()
        .find(|(peak, calm, _)| *peak as f64 > MOST_PEAK * *calm as f64);
    too_much.map(|(peak, calm, what)| {
        format!(
            "{at} ms: {}: one machine {what} {peak} bytes in a second, {calm} in calm",
            measured.label
        )
    })
}

/// A side without a majority that used another rate than its reserved minimum, or one with it that stopped.
pub fn side_breaches(apart: &Apart) -> Vec<String> {
    let mut breaches = Vec::new();
    let most = apart.reserved * (1.0 + RESERVED_MARGIN);
    let least = apart.reserved * (1.0 - 2.0 * RESERVED_MARGIN);
    if !(least..=most).contains(&apart.without_majority) {
        let (used, reserved) = (apart.without_majority, apart.reserved);
        breaches.push(format!(
            "without a majority {used:.1} a second are used, {reserved:.1} are reserved"
        ));
    }
    if apart.with_majority < IN_USE * apart.whole {
        let (used, whole) = (apart.with_majority, apart.whole);
        breaches.push(format!(
            "with a majority {used:.1} a second are used of {whole:.1}"
        ));
    }
    breaches
}

/// While regions are parted, each side holds its own members for present: their parting is no reason to
/// declare a death within one side.
pub struct OwnSideDeclaresNobodyDead {
    pub topology: Topology,
    pub parting: Parting,
}

/// Reasons to declare a death lie within so many ms before it.
const REASONS_MS: u64 = 8_000;

impl Invariant for OwnSideDeclaresNobodyDead {
    fn name(&self) -> &'static str {
        "own side, nobody wrongly declared dead"
    }

    fn judge(&self, history: &History, truth: &GroundTruth) -> Vec<(u64, String)> {
        let mut breaches = Vec::new();
        for entry in &history.entries {
            let HistoryEvent::MemberChange {
                node,
                change,
                member: Some(member),
                ..
            } = &entry.event
            else {
                continue;
            };
            let Some(member) = member
                .strip_prefix('n')
                .and_then(|number| number.parse::<usize>().ok())
            else {
                continue;
            };
            let parted =
                (self.parting.from_ms..self.parting.till_ms + REASONS_MS).contains(&entry.at_ms);
            let one_side = self.topology.region(*node) == self.topology.region(member);
            if change != "dead" || !parted || !one_side {
                continue;
            }
            let since = entry.at_ms.saturating_sub(REASONS_MS);
            let reason = truth.was_unhealthy(member, since, entry.at_ms)
                || truth.was_unhealthy(*node, since, entry.at_ms)
                || truth.was_degraded(since, entry.at_ms);
            if !reason {
                breaches.push((
                    entry.at_ms,
                    format!("{} declared {} dead", node_name(*node), node_name(member)),
                ));
            }
        }
        breaches
    }
}
