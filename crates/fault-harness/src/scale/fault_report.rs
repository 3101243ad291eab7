//! The report of a fault trial.

use serde::{Deserialize, Serialize};

use super::probe::Served;
use super::protocol::Loss;
use super::sweep::Size;

/// The kind of a fault or recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    HollowKilled,
    RealKilled,
    LeaderKilled,
    Returned,
    /// Killed and restarted at once.
    Restarted,
    RackKilled,
    RackReturned,
    ZoneKilled,
    ZoneReturned,
    RegionsParted,
    RegionsJoined,
}

/// One fault, and the time until all nodes knew of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultEvent {
    pub kind: FaultKind,
    pub nodes: usize,
    pub at_ms: u64,
    /// Time until the views of all live nodes were equal and correct; None if that took more than 20 s.
    pub known_after_ms: Option<u64>,
}

/// The results of a fault trial.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FaultReport {
    pub size: Size,
    pub agreed_after_ms: Option<u64>,
    /// When the processes were started; `at_ms` of events is relative to this time.
    pub began_unix_ms: u64,
    pub events: Vec<FaultEvent>,
    /// Number of members declared dead by hollow nodes and voters; `wrongly_lost` lists those without a cause.
    pub losses: usize,
    pub wrongly_lost: Vec<Loss>,
    /// Requests to one real node that was never killed.
    pub never_killed: Option<Served>,
    /// Requests to all real nodes.
    pub asked: usize,
    pub completed: usize,
    pub unanswered_by_killed: usize,
    pub broken_rules: Vec<String>,
}

impl FaultReport {
    /// Formats the report as text, with one line for each event.
    pub fn text(&self) -> String {
        let line = |event: &FaultEvent| {
            let known = event
                .known_after_ms
                .map_or("not in time".into(), |ms| format!("{ms} ms"));
            format!(
                "{:>7} ms  {:?}, {} nodes: known to all after {known}\n",
                event.at_ms, event.kind, event.nodes
            )
        };
        let mut text: String = self.events.iter().map(line).collect();
        text += &format!(
            "losses told: {}, of nodes that lived: {}\n",
            self.losses,
            self.wrongly_lost.len()
        );
        text += &format!(
            "real nodes: {} asked, {} completed, {} asked of killed ones",
            self.asked, self.completed, self.unanswered_by_killed
        );
        if let Some(served) = &self.never_killed {
            text += &format!(
                "\none that was never killed: {} asked, {} completed, longest gap {} ms",
                served.asked, served.completed, served.longest_gap_ms
            );
        }
        text
    }

    /// Describes each violated guarantee.
    pub fn faults(&self) -> Vec<String> {
        let mut faults: Vec<String> = Vec::new();
        let late = self
            .events
            .iter()
            .filter(|event| event.known_after_ms.is_none());
        faults.extend(
            late.map(|event| format!("{:?} at {} ms: not known to all", event.kind, event.at_ms)),
        );
        if let Some(first) = self.wrongly_lost.first() {
            let at_ms = first.unix_ms.saturating_sub(self.began_unix_ms);
            faults.push(format!(
                "{} losses of nodes that lived; the first: node {} declared {} dead at {at_ms} ms",
                self.wrongly_lost.len(),
                first.by,
                first.name
            ));
        }
        if let Some(served) = self
            .never_killed
            .as_ref()
            .filter(|served| served.completed < served.asked)
        {
            faults.push(format!(
                "a real node that was never killed did not complete {} of {}, longest gap {} ms",
                served.asked - served.completed,
                served.asked,
                served.longest_gap_ms
            ));
        }
        faults.extend(self.broken_rules.iter().cloned());
        faults
    }
}
