//! Whether a member was declared dead that was alive and reachable.

use std::collections::BTreeSet;

use super::protocol::Loss;

/// Losses are excused for so long after their cause: doubts last up to 2 s, news and last looks come on top.
pub const EXCUSED_MS: u64 = 8_000;

/// Nodes that were down, or that nobody outside could reach, for a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outage {
    pub nodes: BTreeSet<usize>,
    /// Whether these nodes ran and reached one another: then only losses across the line are excused.
    pub parted: bool,
    pub from_unix_ms: u64,
    /// None while it lasts.
    pub till_unix_ms: Option<u64>,
}

impl Outage {
    /// Whether it explains that `by` declared `lost` dead at that time.
    pub fn excuses(&self, by: usize, lost: usize, unix_ms: u64) -> bool {
        let over = self
            .till_unix_ms
            .is_some_and(|till| unix_ms > till + EXCUSED_MS);
        if unix_ms < self.from_unix_ms || over {
            return false;
        }
        if self.parted {
            self.nodes.contains(&by) != self.nodes.contains(&lost)
        } else {
            self.nodes.contains(&lost)
        }
    }
}

/// Losses that no outage explains. `number` gives the node of a name.
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
