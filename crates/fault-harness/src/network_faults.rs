//! Injects the faults of a script into a simulated network.

use doortrack_simulation::{Distribution, Network};

use crate::script::{Fault, Script, TimedFault};

pub(crate) const MICROS_PER_MS: u64 = 1_000;

/// The faults of a script by time. Sets a timer at the time of each, with its index as the identifier.
pub(crate) fn schedule_faults<M: Clone>(
    network: &mut Network<M>,
    script: &Script,
) -> Vec<TimedFault> {
    let faults = script.faults_by_time();
    for (index, timed) in faults.iter().enumerate() {
        network.set_timer(timed.at_ms * MICROS_PER_MS, index as u64);
    }
    network.record_deliveries = faults
        .iter()
        .any(|timed| matches!(timed.fault, Fault::Replay { .. }));
    faults
}

/// Injects a fault of links, or one that suspends or resumes machines. `latency` is that of links without
/// faults. The caller handles the faults that start or end nodes.
pub(crate) fn inject<M: Clone>(network: &mut Network<M>, latency: Distribution, fault: &Fault) {
    match fault {
        Fault::Replay { nodes } => nodes.iter().for_each(|node| network.replay(*node)),
        Fault::Suspend { nodes } => nodes.iter().for_each(|node| network.suspend(*node)),
        Fault::Resume { nodes } => nodes.iter().for_each(|node| network.resume(*node)),
        Fault::Cut { from, to } => {
            for (from, to) in pairs(from, to) {
                network.partition(from, to);
            }
        }
        Fault::Heal { from, to } => {
            for (from, to) in pairs(from, to) {
                network.heal(from, to);
            }
        }
        Fault::Links {
            loss,
            doubled,
            garbled,
            delay_ms,
        } => {
            let links = network.links_mut();
            // A garbled datagram is discarded by its receiver.
            links.loss_rate = loss + garbled;
            links.duplication_rate = *doubled;
            links.latency = latency_with_delay(latency, *delay_ms);
        }
        Fault::Kill { .. }
        | Fault::Start { .. }
        | Fault::StartOlder { .. }
        | Fault::Leave { .. } => {}
        // Simulated nodes serve no requests, and links have no bandwidth.
        Fault::Server { .. } | Fault::Callers { .. } | Fault::Throttle { .. } => {}
    }
}

fn latency_with_delay(normal: Distribution, delay_ms: u64) -> Distribution {
    match delay_ms {
        0 => normal,
        delay_ms => Distribution::Exponential {
            mean: (delay_ms * MICROS_PER_MS) as f64,
        },
    }
}

fn pairs(from: &[usize], to: &[usize]) -> impl Iterator<Item = (usize, usize)> {
    from.iter()
        .flat_map(move |from| to.iter().map(move |to| (*from, *to)))
}
