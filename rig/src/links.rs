//! What a fault of a script does to a simulated net, whoever runs in it.

use doortrack_emulator::{Law, Net};

use crate::script::{Fault, Script, Timed};

/// Microseconds of a ms.
pub(crate) const MS: u64 = 1_000;

/// The faults of a script by time; the net marks the time of each by its place.
pub(crate) fn mark<M: Clone>(net: &mut Net<M>, script: &Script) -> Vec<Timed> {
    let faults = script.in_order();
    for (nth, timed) in faults.iter().enumerate() {
        net.mark(timed.at_ms * MS, nth as u64);
    }
    net.keeps = faults.iter().any(|timed| matches!(timed.fault, Fault::Replay { .. }));
    faults
}

/// Takes up a fault of links, or one of machines that keep what they know. `latency` is that of calm. Those
/// that start, end or leave are the caller's.
pub(crate) fn take_up<M: Clone>(net: &mut Net<M>, latency: Law, fault: &Fault) {
    match fault {
        Fault::Replay { nodes } => nodes.iter().for_each(|of| net.replay(*of)),
        Fault::Stop { nodes } => nodes.iter().for_each(|of| net.stop(*of)),
        Fault::GoOn { nodes } => nodes.iter().for_each(|of| net.go_on(*of)),
        Fault::Cut { from, to } => cut(net, from, to, true),
        Fault::Mend { from, to } => cut(net, from, to, false),
        Fault::Links { loss, doubled, garbled, delay_ms } => {
            let latency = match delay_ms {
                0 => latency,
                ms => Law::Exponential { mean: (ms * MS) as f64 },
            };
            let links = net.links();
            (links.loss, links.doubled, links.latency) = (loss + garbled, *doubled, latency);
        }
        Fault::Kill { .. } | Fault::Start { .. } | Fault::StartOlder { .. } | Fault::Leave { .. } => {}
        // There are no exchanges, and no bytes are counted on links.
        Fault::Server { .. } | Fault::Callers { .. } | Fault::Throttle { .. } => {}
    }
}

fn cut<M: Clone>(net: &mut Net<M>, from: &[usize], to: &[usize], cut: bool) {
    for of in from {
        to.iter().for_each(|to| net.cut(*of, *to, cut));
    }
}
