//! Finds members that were declared dead while alive and reachable.

use std::collections::BTreeSet;

use super::protocol::Loss;

/// How long after its cause a loss is still excused, in ms. A suspicion lasts up to 2 s; gossip and the final
/// probes take additional time.
pub const EXCUSE_WINDOW_MS: u64 = 8_000;

/// A period in which nodes were down or partitioned from the rest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outage {
    pub nodes: BTreeSet<usize>,
    /// True for a partition: the nodes ran and reached one another, so only losses across it are excused.
    pub partitioned: bool,
    pub from_unix_ms: u64,
    /// None while the outage lasts.
    pub until_unix_ms: Option<u64>,
}

impl Outage {
    /// Returns true if the outage explains why `by` declared `lost` dead at that time.
    pub fn excuses(&self, by: usize, lost: usize, unix_ms: u64) -> bool {
        let over = self
            .until_unix_ms
            .is_some_and(|until| unix_ms > until + EXCUSE_WINDOW_MS);
        if unix_ms < self.from_unix_ms || over {
            return false;
        }
        if self.partitioned {
            self.nodes.contains(&by) != self.nodes.contains(&lost)
        } else {
            self.nodes.contains(&lost)
        }
    }
}

/// Returns the losses that no outage explains. `number` maps names to node numbers.
pub fn wrongly_lost(
    losses: &[Loss],
    outages: &[Outage],
    number: impl Fn(&str) -> Option<usize>,
) -> Vec<Loss> {
    let excused = |loss: &&Loss| {
        let lost = number(&loss.name);
        lost.is_some_and(|lost| {
            outages
                .iter()
                .any(|outage| outage.excuses(loss.by, lost, loss.unix_ms))
        })
    };
    losses
        .iter()
        .filter(|loss| !excused(loss))
        .cloned()
        .collect()
}
