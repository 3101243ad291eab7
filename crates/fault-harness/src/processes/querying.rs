//! Queries of a node's view of its fleet.

use std::time::{Duration, Instant};

use doortrack_node::commands::fleet::query_members;

use super::{KEY_BYTE, KEY_BYTES, Rig};
use crate::history::{HistoryEvent, Member};

/// Time in which nodes have to reach an expected state; long enough that a slow machine doesn't change the verdict.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two queries of one node, and between two rounds of queries of all nodes.
const QUERY_INTERVAL: Duration = Duration::from_millis(50);
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Number of members that a status shows as present.
fn present_count(status: &HistoryEvent) -> usize {
    match status {
        HistoryEvent::Status { members, .. } => {
            members.iter().filter(|member| member.is_present()).count()
        }
        _ => 0,
    }
}

impl Rig {
    /// A node's view of its fleet; `None` if it does not answer.
    pub fn status(&self, node: usize) -> Option<HistoryEvent> {
        let answer = query_members(self.fleet_address(node), Some([KEY_BYTE; KEY_BYTES])).ok()?;
        let members = answer.members.iter().map(|member| Member {
            name: member.name.to_string(),
            incarnation: member.incarnation.to_string(),
            state: serde_json::to_value(member.state)
                .ok()
                .and_then(|state| state.as_str().map(str::to_string))
                .unwrap_or_default(),
        });
        Some(HistoryEvent::Status {
            node,
            isolated: answer.status.isolated,
            digest: format!("{:016x}", answer.status.digest),
            members: members.collect(),
        })
    }

    /// Waits until `accepts` holds for the members of a node's view; false after the timeout.
    pub fn wait_for(&self, node: usize, accepts: impl Fn(&[Member]) -> bool) -> bool {
        let until = Instant::now() + TIMEOUT;
        while Instant::now() < until {
            if let Some(HistoryEvent::Status { members, .. }) = self.status(node)
                && accepts(&members)
            {
                return true;
            }
            std::thread::sleep(QUERY_INTERVAL);
        }
        false
    }

    /// Queries all running nodes until `expected` of them see `expected` members each, or the timeout passes.
    /// The last answers are recorded in the history.
    pub fn query_until_agreed(&mut self, expected: usize) {
        let until = Instant::now() + TIMEOUT;
        loop {
            let statuses: Vec<HistoryEvent> = self
                .running()
                .filter_map(|node| self.status(node))
                .collect();
            let agreed = statuses
                .iter()
                .filter(|status| present_count(status) == expected)
                .count()
                >= expected;
            if agreed || Instant::now() > until {
                return statuses.into_iter().for_each(|status| self.record(status));
            }
            std::thread::sleep(ROUND_INTERVAL);
        }
    }

    /// Nodes whose process runs and is not suspended.
    fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len())
            .filter(|node| self.nodes[*node].process.is_some() && !self.nodes[*node].is_suspended)
    }
}
