//! The faults of a simulation or test fleet, and the analysis of its history for their detection.

use std::collections::BTreeMap;

use doortrack_fault_harness::history::{History, HistoryEvent, node_name};
use doortrack_fault_harness::script::{Fault, TimedFault};

/// Maximum number of kills and the interval between them.
pub(crate) const KILLS: usize = 5;
pub(crate) const KILL_INTERVAL_MS: u64 = 6_000;
/// Time for all nodes to discover one another; the first kill happens at its end.
pub(crate) const WARM_UP_MS: u64 = 20_000;

/// Time from a kill until half of the remaining nodes and until all of them had detected it, in ms.
#[derive(Clone, Copy)]
pub(crate) struct Detection {
    to_half: u64,
    to_all: u64,
}

/// Returns kills of the nodes with the highest indices, one after the other.
pub(crate) fn kills(nodes: usize) -> Vec<TimedFault> {
    let kill = |index: usize| TimedFault {
        at_ms: WARM_UP_MS + KILL_INTERVAL_MS * index as u64,
        fault: Fault::Kill {
            nodes: vec![nodes - 1 - index],
        },
    };
    (0..KILLS.min(nodes / 2)).map(kill).collect()
}

/// Returns a partition between the two halves of a fleet, which is healed at `until_ms`.
pub(crate) fn partition(nodes: usize, from_ms: u64, until_ms: u64) -> Vec<TimedFault> {
    let first: Vec<usize> = (0..nodes / 2).collect();
    let second: Vec<usize> = (nodes / 2..nodes).collect();
    let directions = [(first.clone(), second.clone()), (second, first)];
    let partitions = directions.clone().map(|(from, to)| TimedFault {
        at_ms: from_ms,
        fault: Fault::Cut { from, to },
    });
    let heals = directions.map(|(from, to)| TimedFault {
        at_ms: until_ms,
        fault: Fault::Heal { from, to },
    });
    partitions.into_iter().chain(heals).collect()
}

/// Returns the detection times of each kill that all remaining nodes detected.
pub(crate) fn detections(history: &History) -> Vec<Detection> {
    let kills = history
        .entries
        .iter()
        .filter_map(|entry| match &entry.event {
            HistoryEvent::Fault {
                fault: Fault::Kill { nodes },
            } => Some((entry.at_ms, nodes[0])),
            _ => None,
        });
    kills
        .enumerate()
        .filter_map(|(index, (killed_ms, node))| {
            let remaining = history.nodes - index - 1;
            let delays = detection_delays(history, killed_ms, node);
            (delays.len() >= remaining).then(|| Detection {
                to_half: delays[remaining.div_ceil(2) - 1],
                to_all: delays[remaining - 1],
            })
        })
        .collect()
}

/// Returns the delays after which nodes declared a killed node dead, in ascending order.
fn detection_delays(history: &History, killed_ms: u64, killed: usize) -> Vec<u64> {
    let mut delays: Vec<u64> = history
        .entries
        .iter()
        .filter_map(|entry| match &entry.event {
            HistoryEvent::MemberChange {
                change,
                member: Some(member),
                ..
            } if change == "dead" && *member == node_name(killed) => {
                entry.at_ms.checked_sub(killed_ms)
            }
            _ => None,
        })
        .collect();
    delays.sort_unstable();
    delays
}

/// Returns the time from `healed_ms` until every node had all members in its view; `u64::MAX` if one never did.
pub(crate) fn rejoin_time(history: &History, healed_ms: u64) -> u64 {
    let mut last_changes: BTreeMap<usize, (u64, usize)> = BTreeMap::new();
    for entry in &history.entries {
        if let HistoryEvent::MemberChange { node, members, .. } = entry.event {
            let members_before = last_changes.get(&node).map_or(0, |(_, members)| *members);
            if members != members_before {
                last_changes.insert(node, (entry.at_ms, members));
            }
        }
    }
    let is_complete = last_changes
        .values()
        .all(|(_, members)| *members == history.nodes);
    if !is_complete {
        return u64::MAX;
    }
    let last_ms = last_changes.values().map(|(at_ms, _)| *at_ms).max();
    last_ms.unwrap_or_default().saturating_sub(healed_ms)
}

/// Formats the median of times in ms and the longest.
pub(crate) fn median(mut times: Vec<u64>) -> String {
    times.sort_unstable();
    match times.last() {
        Some(longest) => format!("{} (worst {longest})", times[times.len() / 2]),
        None => "none".into(),
    }
}

/// Prints the detection times of all kills of a fleet.
pub(crate) fn print_detections(kind: &str, nodes: usize, detections: &[Detection]) {
    let to_half = median(detections.iter().map(|found| found.to_half).collect());
    let to_all = median(detections.iter().map(|found| found.to_all).collect());
    println!(
        "{kind} {nodes}: known to half after {to_half} ms, to all after {to_all} ms, of {} kills",
        detections.len()
    );
}
