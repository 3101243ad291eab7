//! Injects the faults of a script into a simulated network, whatever runs in it.

use doortrack_simulation::{Law, Net};

use crate::script::{Fault, Script, Timed};

/// Microseconds in a ms.
pub(crate) const MS: u64 = 1_000;

/// The faults of a script by time. The network is told to stop at the time of each, marked by its index.
pub(crate) fn mark<M: Clone>(net: &mut Net<M>, script: &Script) -> Vec<Timed> {
    let faults = script.in_order();
    for (index, timed) in faults.iter().enumerate() {
        net.mark(timed.at_ms * MS, index as u64);
    }
    net.keeps = faults
        .iter()
        .any(|timed| matches!(timed.fault, Fault::Replay { .. }));
    faults
}

/// Injects a fault of links, or one of machines that keep their state. `latency` is that of undisturbed
/// links. Faults that start, end or remove nodes are left to the caller.
pub(crate) fn take_up<M: Clone>(net: &mut Net<M>, latency: Law, fault: &Fault) {
    match fault {
        Fault::Replay { nodes } => nodes.iter().for_each(|node| net.replay(*node)),
        Fault::Stop { nodes } => nodes.iter().for_each(|node| net.stop(*node)),
        Fault::GoOn { nodes } => nodes.iter().for_each(|node| net.go_on(*node)),
        Fault::Cut { from, to } => cut(net, from, to, true),
        Fault::Mend { from, to } => cut(net, from, to, false),
        Fault::Links {
            loss,
            doubled,
            garbled,
            delay_ms,
        } => {
            let latency = match delay_ms {
                0 => latency,
                ms => Law::Exponential {
                    mean: (ms * MS) as f64,
                },
            };
            let links = net.links();
            (links.loss, links.doubled, links.latency) = (loss + garbled, *doubled, latency);
        }
        Fault::Kill { .. }
        | Fault::Start { .. }
        | Fault::StartOlder { .. }
        | Fault::Leave { .. } => {}
        // Simulated nodes serve no requests, and links have no bandwidth.
        Fault::Server { .. } | Fault::Callers { .. } | Fault::Throttle { .. } => {}
    }
}

fn cut<M: Clone>(net: &mut Net<M>, from: &[usize], to: &[usize], cut: bool) {
    for from in from {
        to.iter().for_each(|to| net.cut(*from, *to, cut));
    }
}
