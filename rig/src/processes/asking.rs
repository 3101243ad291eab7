//! Nodes asked how they see their fleet.

use std::time::{Duration, Instant};

use doortrack_node::commands::fleet::ask;

use super::Rig;
use crate::history::{Member, What};

/// How long the last views are waited for, beyond the script: what must happen in the end has this long.
const PATIENCE: Duration = Duration::from_secs(20);

impl Rig {
    /// How a node sees its fleet; none if it does not answer.
    pub fn status(&self, of: usize) -> Option<What> {
        let seen = ask(self.fleet(of), Some([0x5a; 32])).ok()?;
        let members = seen.members.iter().map(|of| Member {
            name: of.name.to_string(),
            incarnation: of.incarnation.to_string(),
            state: serde_json::to_value(of.state)
                .ok()
                .and_then(|v| v.as_str().map(str::to_string))
                .unwrap_or_default(),
        });
        Some(What::Status {
            node: of,
            isolated: seen.first.isolated,
            digest: format!("{:016x}", seen.first.digest),
            members: members.collect(),
        })
    }

    /// Waits until a node's status satisfies `wanted`, for as long as a slow machine may need.
    pub fn wait_for(&self, of: usize, wanted: impl Fn(&[Member]) -> bool) -> bool {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            if let Some(What::Status { members, .. }) = self.status(of)
                && wanted(&members)
            {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Asks all that run until their views agree with one another, or patience ends; the last answers go
    /// into the history.
    pub fn last_words(&mut self, expected: usize) {
        let until = Instant::now() + PATIENCE;
        loop {
            let running: Vec<usize> = (0..self.nodes.len())
                .filter(|of| self.nodes[*of].process.is_some() && !self.nodes[*of].stopped)
                .collect();
            let words: Vec<What> = running.iter().filter_map(|of| self.status(*of)).collect();
            let there = |what: &What| match what {
                What::Status { members, .. } => {
                    members.iter().filter(|of| matches!(&*of.state, "alive" | "suspected")).count()
                }
                _ => 0,
            };
            let agreed = words.iter().filter(|what| there(what) == expected).count() >= expected;
            if agreed || Instant::now() > until {
                return words.into_iter().for_each(|what| self.put(what));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
}
