//! The joint history of a run: what the rig did and what each node reported, by time. In a file, one JSON
//! object a line.

use std::fmt::Write as _;

use serde::{Deserialize, Serialize};

use crate::script::Fault;

/// One event of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Time since the start of the run.
    pub at_ms: u64,
    #[serde(flatten)]
    pub what: What,
}

/// What happened. Nodes are numbers; names are those of [`name`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum What {
    /// The rig injected this fault.
    Fault { fault: Fault },
    /// A process of this node began.
    Began { node: usize },
    /// The process of this node ended.
    Ended { node: usize },
    /// A node reported a change of a member, or of itself where `member` is absent. Earlier builds wrote it
    /// as `news`, with `word` and `of`.
    #[serde(alias = "news")]
    MemberChange {
        node: usize,
        /// As in the node's log: `alive`, `suspected`, `dead`, `left` and so on.
        #[serde(alias = "word")]
        change: String,
        #[serde(default, skip_serializing_if = "Option::is_none", alias = "of")]
        member: Option<String>,
        #[serde(default, skip_serializing_if = "Option::is_none", alias = "life")]
        incarnation: Option<String>,
        /// Number of the node's view at that time.
        view: u64,
        /// Members of that view.
        members: usize,
    },
    /// A node's answer to a query of its view.
    Status {
        node: usize,
        #[serde(alias = "cut_off")]
        isolated: bool,
        digest: String,
        members: Vec<Member>,
    },
}

/// A member in a [`What::Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    #[serde(alias = "life")]
    pub incarnation: String,
    pub state: String,
}

/// The history of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    pub nodes: usize,
    pub entries: Vec<Entry>,
}

/// The present name of a change or state that earlier builds wrote in logs and histories; others unchanged.
///
/// Nodes of an earlier build may run beside newer ones, and their reports are judged alike.
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
pub fn name(node: usize) -> String {
    format!("n{node}")
}

impl Entry {
    /// The entry, with names of earlier builds replaced by the present ones.
    fn with_current_names(mut self) -> Entry {
        match &mut self.what {
            What::MemberChange { change, .. } => *change = current_name(change).to_string(),
            What::Status { members, .. } => {
                for member in members {
                    member.state = current_name(&member.state).to_string();
                }
            }
            What::Fault { .. } | What::Began { .. } | What::Ended { .. } => {}
        }
        self
    }
}

impl History {
    /// Appends an event.
    pub fn put(&mut self, at_ms: u64, what: What) {
        self.entries.push(Entry { at_ms, what });
    }

    /// Sorts entries, which several threads recorded, by time.
    pub fn sort(&mut self) {
        self.entries.sort_by_key(|entry| entry.at_ms);
    }

    /// The text of a history file; its first line is the number of nodes.
    pub fn lines(&self) -> String {
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
    pub fn parse(text: &str) -> Result<History, String> {
        let mut lines = text.lines().enumerate();
        let (_, first) = lines
            .next()
            .ok_or("line 1: the number of nodes is wanted")?;
        let first: serde_json::Value =
            serde_json::from_str(first).map_err(|e| format!("line 1: {e}"))?;
        let nodes = first["nodes"]
            .as_u64()
            .ok_or("line 1: the number of nodes is wanted")? as usize;
        let entry = |(nth, line): (usize, &str)| {
            let entry: Entry =
                serde_json::from_str(line).map_err(|e| format!("line {}: {e}", nth + 1))?;
            Ok(entry.with_current_names())
        };
        Ok(History {
            nodes,
            entries: lines.map(entry).collect::<Result<_, String>>()?,
        })
    }
}
