//! What was done and what was told, by all, in the order of time. One JSON object a line when kept.

use std::fmt::Write as _;

use serde::{Deserialize, Serialize};

use crate::script::Fault;

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// From the start of the play.
    pub at_ms: u64,
    #[serde(flatten)]
    pub what: What,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum What {
    /// The rig did this.
    Fault {
        fault: Fault,
    },
    /// A process of this node began, and ended.
    Began {
        node: usize,
    },
    Ended {
        node: usize,
    },
    /// A node told this of a member, or of itself where `of` is absent.
    News {
        node: usize,
        word: String,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        of: Option<String>,
        #[serde(default, skip_serializing_if = "Option::is_none", alias = "life")]
        incarnation: Option<String>,
        /// The view it rests on, and its members.
        view: u64,
        members: usize,
    },
    /// A node was asked how it sees its fleet.
    Status {
        node: usize,
        #[serde(alias = "cut_off")]
        isolated: bool,
        digest: String,
        members: Vec<Member>,
    },
}

/// A member in a status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    #[serde(alias = "life")]
    pub incarnation: String,
    pub state: String,
}

/// One play, from its start to its end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    pub nodes: usize,
    pub entries: Vec<Entry>,
}

/// The present word for one that earlier builds wrote in logs and histories; any other as it is.
///
/// Nodes of an earlier build may stand beside newer ones in a play, and their news is judged alike.
pub fn current_word(word: &str) -> &str {
    match word {
        "lost" => "dead",
        "cut_off" => "isolated",
        "twin" => "duplicate_name",
        "displaced" => "superseded",
        "stood_still" => "resumed",
        word => word,
    }
}

/// The name of a node in a play.
pub fn name(node: usize) -> String {
    format!("n{node}")
}

impl Entry {
    /// The entry, with words of earlier builds replaced by the present ones.
    fn in_current_words(mut self) -> Entry {
        match &mut self.what {
            What::News { word, .. } => *word = current_word(word).to_string(),
            What::Status { members, .. } => {
                for member in members {
                    member.state = current_word(&member.state).to_string();
                }
            }
            What::Fault { .. } | What::Began { .. } | What::Ended { .. } => {}
        }
        self
    }
}

impl History {
    pub fn put(&mut self, at_ms: u64, what: What) {
        self.entries.push(Entry { at_ms, what });
    }

    /// Entries that came by several ways are put in one order.
    pub fn settle(&mut self) {
        self.entries.sort_by_key(|entry| entry.at_ms);
    }

    /// One object a line, the number of nodes first.
    pub fn lines(&self) -> String {
        let mut text = format!("{{\"nodes\":{}}}\n", self.nodes);
        for entry in &self.entries {
            _ = writeln!(text, "{}", serde_json::to_string(entry).unwrap_or_default());
        }
        text
    }

    /// Reads what [`History::lines`] wrote.
    ///
    /// # Errors
    /// The line that can't be read.
    pub fn parse(text: &str) -> Result<History, String> {
        let mut lines = text.lines().enumerate();
        let (_, first) = lines.next().ok_or("line 1: the number of nodes is wanted")?;
        let first: serde_json::Value = serde_json::from_str(first).map_err(|e| format!("line 1: {e}"))?;
        let nodes = first["nodes"].as_u64().ok_or("line 1: the number of nodes is wanted")? as usize;
        let entry = |(nth, line): (usize, &str)| {
            let entry: Entry = serde_json::from_str(line).map_err(|e| format!("line {}: {e}", nth + 1))?;
            Ok(entry.in_current_words())
        };
        Ok(History { nodes, entries: lines.map(entry).collect::<Result<_, String>>()? })
    }
}
