//! What the rig and a process of hollow nodes say to one another: one JSON object a line, on the process's
//! standard input and output. Each command has one reply.

use serde::{Deserialize, Serialize};

/// What a process of hollow nodes is asked to do. Nodes go by their numbers in the plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HollowCommand {
    /// Counters and views of all its nodes that run.
    Sample,
    /// Closes these nodes' sockets without a word, as a kill does; others of the process are passed over.
    Kill { nodes: Vec<usize> },
    /// Opens these nodes anew with nothing of what they knew.
    Start { nodes: Vec<usize> },
    /// Drops all datagrams between a node of this list and one that is not on it. An empty list ends it.
    Part { nodes: Vec<usize> },
    /// Which members its nodes declared dead since this was last asked.
    Losses,
}

/// The answer to one command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HollowReply {
    Sample {
        nodes: Vec<NodeSample>,
    },
    Done,
    Losses {
        losses: Vec<Loss>,
    },
    /// What could not be done, in words.
    Failed {
        why: String,
    },
}

/// One node at one moment. Counts are since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeSample {
    pub node: usize,
    pub datagrams_in: u64,
    pub datagrams_out: u64,
    /// Without IP and UDP headers.
    pub bytes_in: u64,
    pub bytes_out: u64,
    /// Datagrams that the system did not take.
    pub unsent: u64,
    /// Datagrams that were not listened to, for whatever reason.
    pub refused: u64,
    /// Members in its view, and the view's digest: the same in two nodes exactly when their members are.
    pub members: usize,
    pub digest: u64,
    pub isolated: bool,
    /// The node that grants the budgets, as far as this one knows.
    pub leader: Option<String>,
}

/// One node declared another dead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    pub by: usize,
    pub name: String,
    pub unix_ms: u64,
}
