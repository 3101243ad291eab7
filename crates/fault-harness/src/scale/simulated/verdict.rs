//! The outcome of a simulation: figures and breaches of guarantees.

use doortrack_simulation::Micros;
use serde::{Deserialize, Serialize};

use super::scenario::{BASELINE_SECONDS, Expected, Partition, Scenario};
use super::topology::Topology;
use super::traffic::{Load, Peaks};
use super::world::{CheckedIncident, SimulationResult, simulate};
use crate::checks::{Invariant, judge, membership_invariants};
use crate::ground_truth::GroundTruth;
use crate::history::{History, HistoryEvent, node_name};
use crate::scale::series::Role;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Share of the first budget that counts as in use again, and the maximum time until then, in ms.
const MIN_USED_SHARE: f64 = 0.9;
const MAX_BUDGET_RECOVERY_MS: u64 = 5_000;
/// Seconds after an incident in which peaks and the recovery of budget use are measured.
const OBSERVATION_SECONDS: usize = 10;
/// Maximum traffic of a machine in one second, as a multiple of the busiest machine without faults.
const MAX_PEAK_FACTOR: f64 = 4.0;
/// Time for a side without majority to fall back to its reserved minimum, and the relative tolerance of that
/// minimum.
const MAX_FALLBACK_TIME: Micros = 5 * SECOND;
const RESERVED_MARGIN: f64 = 0.02;

/// The measurements of one incident.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measured {
    pub label: String,
    pub at_ms: u64,
    /// Time until the views of all live machines were as expected; None if they never were.
    pub agree_ms: Option<u64>,
    /// Time until at least 90% of the first budget was in use again and remained so.
    pub budget_ms: u64,
    /// Maximum traffic of any machine in any of the following 10 s.
    pub peaks: Peaks,
    /// Maximum total traffic of the fleet in any of these seconds.
    pub fleet_peak: Load,
}

/// Uses of the first budget per second during the partition.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PartitionUsage {
    pub with_majority: f64,
    pub without_majority: f64,
    /// The reserved minimum of the nodes without a majority.
    pub reserved: f64,
    pub whole: f64,
}

/// The behavior of a fleet without faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Baseline {
    /// Time from the simultaneous start of all machines until all views are equal.
    pub started_agree_ms: Option<u64>,
    pub peaks: Peaks,
    pub fleet_peak: Load,
    /// Share of the first budget in use.
    pub used: f64,
}

/// The checked results of one simulation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    pub scenario: String,
    pub seed: u64,
    pub nodes: usize,
    pub machines: usize,
    pub simulated_s: u64,
    pub events: u64,
    #[serde(rename = "doubts")]
    pub suspicions: u64,
    /// Number of consecutive leaders, sampled once per second.
    pub leaders: usize,
    #[serde(rename = "calm")]
    pub baseline: Baseline,
    pub measured: Vec<Measured>,
    #[serde(rename = "apart")]
    pub partition_usage: Option<PartitionUsage>,
    /// Descriptions of all breaches of guarantees.
    pub breaches: Vec<String>,
}

/// Simulates a scenario and checks the results.
pub fn run(scenario: &Scenario, seed: u64) -> Outcome {
    let results = simulate(scenario, seed);
    let outcome = Outcome {
        scenario: scenario.name.clone(),
        seed,
        nodes: scenario.topology.nodes,
        machines: scenario.topology.machines(),
        simulated_s: scenario.ms / 1_000,
        events: results.events,
        suspicions: results.suspicions,
        leaders: leaders(&results),
        baseline: baseline(scenario, &results),
        measured: measure_all(scenario.topology, &results),
        partition_usage: scenario
            .partition
            .map(|partition| partition_usage(scenario, partition, &results)),
        breaches: Vec::new(),
    };
    let breaches = breaches(scenario, &results, &outcome);
    Outcome {
        breaches,
        ..outcome
    }
}

impl SimulationResult {
    fn peaks(&self, topology: Topology, from_s: usize, until_s: usize) -> Peaks {
        self.traffic.peaks(from_s, until_s, |second, machine| {
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

fn leaders(results: &SimulationResult) -> usize {
    let mut seen: Vec<usize> = results.leaders.iter().flatten().copied().collect();
    seen.dedup();
    seen.len()
}

fn baseline(scenario: &Scenario, results: &SimulationResult) -> Baseline {
    let (from, until) = (BASELINE_SECONDS.start, BASELINE_SECONDS.end);
    let span = (from as Micros * SECOND, until as Micros * SECOND);
    let used: f64 = (0..2)
        .map(|region| results.usage.rate(span.0, span.1, region))
        .sum();
    Baseline {
        started_agree_ms: results
            .agreement
            .first_time(0, |state| state.all_agree)
            .map(|at| at / MS),
        peaks: results.peaks(scenario.topology, from, until),
        fleet_peak: results.traffic.fleet_peak(from, until),
        used: used / f64::from(scenario.list[0].limit),
    }
}

fn measure_all(topology: Topology, results: &SimulationResult) -> Vec<Measured> {
    let ends = results
        .checked_incidents
        .iter()
        .skip(1)
        .map(|incident| incident.at)
        .chain([results.end]);
    results
        .checked_incidents
        .iter()
        .zip(ends)
        .map(|(incident, next)| measure(topology, results, incident, next))
        .collect()
}

/// Measures one incident up to `next`, the time of the next one.
fn measure(
    topology: Topology,
    results: &SimulationResult,
    incident: &CheckedIncident,
    next: Micros,
) -> Measured {
    let at = incident.at;
    let agreed = results
        .agreement
        .first_time(at, |state| match incident.check.expected {
            Expected::AllAgree => state.all_agree,
            Expected::RegionsAgree => state.region_agrees.iter().all(|agrees| *agrees),
        });
    let (from_s, until_s) = (
        (at / SECOND) as usize,
        (at / SECOND) as usize + OBSERVATION_SECONDS,
    );
    let until = next.min(at + OBSERVATION_SECONDS as Micros * SECOND);
    Measured {
        label: incident.check.label.to_string(),
        at_ms: at / MS,
        agree_ms: agreed.map(|agreed| (agreed - at) / MS),
        budget_ms: results.usage.recovery_time(at, until, MIN_USED_SHARE) / MS,
        peaks: results.peaks(topology, from_s, until_s),
        fleet_peak: results.traffic.fleet_peak(from_s, until_s),
    }
}

fn partition_usage(
    scenario: &Scenario,
    partition: Partition,
    results: &SimulationResult,
) -> PartitionUsage {
    let (from, until) = (
        partition.from_ms * MS + MAX_FALLBACK_TIME,
        partition.until_ms * MS,
    );
    let topology = scenario.topology;
    let reserved = topology
        .reserved()
        .into_iter()
        .filter(|node| topology.region(*node) == 1)
        .count();
    PartitionUsage {
        with_majority: results.usage.rate(from, until, 0),
        without_majority: results.usage.rate(from, until, 1),
        reserved: reserved as f64 * f64::from(scenario.list[0].reserved),
        whole: f64::from(scenario.list[0].limit),
    }
}

fn breaches(scenario: &Scenario, results: &SimulationResult, outcome: &Outcome) -> Vec<String> {
    let mut rules = membership_invariants();
    if let Some(partition) = scenario.partition {
        rules.push(Box::new(NoFalseDeathWithinRegion {
            topology: scenario.topology,
            partition,
        }));
    }
    let found = judge(&results.history, &rules);
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
        results
            .usage
            .breaches()
            .iter()
            .map(|breach| format!("over the whole: {breach}")),
    );
    for (measured, incident) in outcome.measured.iter().zip(&results.checked_incidents) {
        breaches.extend(time_limit_breaches(
            measured,
            incident.check.agree_within_ms,
        ));
        breaches.extend(excessive_peak(measured, outcome.baseline.peaks.busiest()));
    }
    breaches.extend(outcome.partition_usage.iter().flat_map(side_breaches));
    breaches
}

/// Returns breaches of the time limits for views and budgets.
pub fn time_limit_breaches(measured: &Measured, agree_within_ms: u64) -> Vec<String> {
    let mut time_limit_breaches = Vec::new();
    let at = format!("{} ms: {}", measured.at_ms, measured.label);
    match measured.agree_ms {
        Some(ms) if ms <= agree_within_ms => {}
        Some(ms) => time_limit_breaches.push(format!(
            "{at}: views are one after {ms} ms, {agree_within_ms} at most"
        )),
        None => time_limit_breaches.push(format!("{at}: views are never one")),
    }
    if measured.budget_ms > MAX_BUDGET_RECOVERY_MS {
        let ms = measured.budget_ms;
        time_limit_breaches.push(format!(
            "{at}: the budget is in use after {ms} ms, {MAX_BUDGET_RECOVERY_MS} at most"
        ));
    }
    time_limit_breaches
}

/// Returns a breach if one machine sends or receives too many times the fault-free maximum.
pub fn excessive_peak(measured: &Measured, baseline: Load) -> Option<String> {
    let (peak, at) = (measured.peaks.busiest(), measured.at_ms);
    let bytes = [
        (peak.bytes_in, baseline.bytes_in, "received"),
        (peak.bytes_out, baseline.bytes_out, "sent"),
    ];
    let too_much = bytes
        .into_iter()
        .find(|(peak, baseline, _)| *peak as f64 > MAX_PEAK_FACTOR * *baseline as f64);
    too_much.map(|(peak, baseline, what)| {
        format!(
            "{at} ms: {}: one machine {what} {peak} bytes in a second, {baseline} in calm",
            measured.label
        )
    })
}

/// Returns breaches of budget use during the partition: a side without majority that does not use its reserved
/// minimum, or a side with majority that uses too little.
pub fn side_breaches(usage: &PartitionUsage) -> Vec<String> {
    let mut breaches = Vec::new();
    let most = usage.reserved * (1.0 + RESERVED_MARGIN);
    let least = usage.reserved * (1.0 - 2.0 * RESERVED_MARGIN);
    if !(least..=most).contains(&usage.without_majority) {
        let (used, reserved) = (usage.without_majority, usage.reserved);
        breaches.push(format!(
            "without a majority {used:.1} a second are used, {reserved:.1} are reserved"
        ));
    }
    if usage.with_majority < MIN_USED_SHARE * usage.whole {
        let (used, whole) = (usage.with_majority, usage.whole);
        breaches.push(format!(
            "with a majority {used:.1} a second are used of {whole:.1}"
        ));
    }
    breaches
}

/// Checks that during a partition no member is declared dead by its own side without another cause.
pub struct NoFalseDeathWithinRegion {
    pub topology: Topology,
    pub partition: Partition,
}

/// Maximum time between the cause of a death declaration and the declaration, in ms.
const MAX_CAUSE_AGE_MS: u64 = 8_000;

impl Invariant for NoFalseDeathWithinRegion {
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
            let partitioned = (self.partition.from_ms..self.partition.until_ms + MAX_CAUSE_AGE_MS)
                .contains(&entry.at_ms);
            let one_side = self.topology.region(*node) == self.topology.region(member);
            if change != "dead" || !partitioned || !one_side {
                continue;
            }
            let since = entry.at_ms.saturating_sub(MAX_CAUSE_AGE_MS);
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
