//! The joint history of a run: the harness's actions and the nodes' reports, by time. A history file has one
//! JSON object per line.

use std::fmt::Write as _;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::script::Fault;

/// One event of a run and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Time since the start of the run.
    pub at_ms: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: HistoryEvent,
}

/// An event of a run. Nodes are numbers; names are those of [`node_name`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum HistoryEvent {
    /// The harness injected this fault.
    Fault {
        /// The fault.
        fault: Fault,
    },
    /// A process of this node began.
    Began {
        /// The node.
        node: usize,
    },
    /// The process of this node ended.
    Ended {
        /// The node.
        node: usize,
    },
    /// A node reported a change of a member, or of itself where `member` is absent. Earlier builds wrote it
    /// as `news`, with `word` and `of`.
    #[serde(alias = "news")]
    MemberChange {
        /// The reporting node.
        node: usize,
        /// As in the node's log: `alive`, `suspected`, `dead`, `left` and so on.
        #[serde(alias = "word")]
        change: String,
        /// Name of the member that changed.
        #[serde(default, skip_serializing_if = "Option::is_none", alias = "of")]
        member: Option<String>,
        /// Incarnation of the member, in hexadecimal.
        #[serde(default, skip_serializing_if = "Option::is_none", alias = "life")]
        incarnation: Option<String>,
        /// Number of the node's view at that time.
        view: u64,
        /// Members of that view.
        members: usize,
    },
    /// A node's answer to a query of its view.
    Status {
        /// The node that answered.
        node: usize,
        /// Whether the node considers itself isolated.
        #[serde(alias = "cut_off")]
        isolated: bool,
        /// Digest of its view; equal for equal views.
        digest: String,
        /// The members that it knows.
        members: Vec<Member>,
    },
}

/// A member in a [`HistoryEvent::Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the node.
    pub name: String,
    /// Its incarnation, in hexadecimal.
    #[serde(alias = "life")]
    pub incarnation: String,
    /// `alive`, `suspected`, `dead` or `left`.
    pub state: String,
}

impl Member {
    /// Whether the member counts as present.
    pub fn is_present(&self) -> bool {
        matches!(&*self.state, "alive" | "suspected")
    }
}

/// The history of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// Number of nodes.
    pub nodes: usize,
    /// Events; sorted by time after [`History::sort`].
    pub entries: Vec<Entry>,
}

/// A history file that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum HistoryError {
    /// The first line lacks the number of nodes.
    #[error("line 1: the number of nodes is missing")]
    NodeCountMissing,
    /// A line is not a valid entry.
    #[error("line {line}: {source}")]
    InvalidLine {
        /// Number of the line, from 1.
        line: usize,
        /// Why it can't be read.
        source: serde_json::Error,
    },
}

/// Translates names of changes and states that earlier builds write in logs and histories to the current
/// ones. Other names are returned unchanged.
///
/// Nodes of an earlier build may run beside newer ones, and their reports are checked in the same way.
pub fn current_name(written: &str) -> &str {
    match written {
        "lost" => "dead",
        "cut_off" => "isolated",
        "twin" => "duplicate_name",
        "displaced" => "superseded",
        "stood_still" => "resumed",
        current => current,
    }
}

/// The name of a node by its number.
pub fn node_name(node: usize) -> String {
    format!("n{node}")
}

impl Entry {
    /// The entry, with names of earlier builds replaced by the current ones.
    fn with_current_names(mut self) -> Entry {
        match &mut self.event {
            HistoryEvent::MemberChange { change, .. } => *change = current_name(change).to_string(),
            HistoryEvent::Status { members, .. } => {
                for member in members {
                    member.state = current_name(&member.state).to_string();
                }
            }
            HistoryEvent::Fault { .. }
            | HistoryEvent::Began { .. }
            | HistoryEvent::Ended { .. } => {}
        }
        self
    }
}

impl History {
    /// Appends an event.
    pub fn record(&mut self, at_ms: u64, event: HistoryEvent) {
        self.entries.push(Entry { at_ms, event });
    }

    /// Sorts the entries by time; several threads record them.
    pub fn sort(&mut self) {
        self.entries.sort_by_key(|entry| entry.at_ms);
    }

    /// The text of a history file; its first line is the number of nodes.
    pub fn to_lines(&self) -> String {
        let mut text = format!("{{\"nodes\":{}}}\n", self.nodes);
        for entry in &self.entries {
            _ = writeln!(text, "{}", serde_json::to_string(entry).unwrap_or_default());
        }
        text
    }

    /// Reads the text of a history file, also one of an earlier build.
    ///
    /// # Errors
    /// The first line that can't be read, by its number.
    pub fn parse(text: &str) -> Result<History, HistoryError> {
        let mut lines = text.lines().zip(1..);
        let (header, _) = lines.next().ok_or(HistoryError::NodeCountMissing)?;
        let header: serde_json::Value = parse_line(header, 1)?;
        let nodes = header["nodes"]
            .as_u64()
            .ok_or(HistoryError::NodeCountMissing)? as usize;
        let entries = lines
            .map(|(text, line)| parse_line(text, line).map(Entry::with_current_names))
            .collect::<Result<_, _>>()?;
        Ok(History { nodes, entries })
    }
}

fn parse_line<T: DeserializeOwned>(text: &str, line: usize) -> Result<T, HistoryError> {
    serde_json::from_str(text).map_err(|source| HistoryError::InvalidLine { line, source })
}
