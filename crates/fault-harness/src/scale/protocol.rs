//! Messages between the harness and a process of hollow nodes: one JSON object per line on the standard
//! input and output of the process. Each command has one reply.

use serde::{Deserialize, Serialize};

/// A command to a process of hollow nodes. Nodes are given by their numbers in the plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HollowCommand {
    /// Requests the counters and views of all running nodes of the process.
    Sample,
    /// Closes the sockets of these nodes without notifying their peers, as a kill does. Numbers of nodes that
    /// belong to another process are ignored.
    Kill { nodes: Vec<usize> },
    /// Restarts these nodes without any of their earlier state.
    Start { nodes: Vec<usize> },
    /// Drops all datagrams between nodes in this list and nodes outside it. An empty list ends the partition.
    #[serde(rename = "part")]
    Partition { nodes: Vec<usize> },
    /// Requests the members that nodes of the process have declared dead since the last such command.
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
    /// The command failed; `why` is the error message.
    Failed {
        why: String,
    },
}

/// The state of one node at one moment. Counters start at the start of the node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeSample {
    pub node: usize,
    pub datagrams_in: u64,
    pub datagrams_out: u64,
    /// Without IP and UDP headers.
    pub bytes_in: u64,
    pub bytes_out: u64,
    /// Datagrams that the operating system did not accept for sending.
    pub unsent: u64,
    /// Received datagrams that were rejected, for any reason.
    pub refused: u64,
    /// Members in the node's view, and the digest of the view. Two digests are equal exactly if the members are.
    pub members: usize,
    pub digest: u64,
    pub isolated: bool,
    /// The budget leader, as far as this node knows.
    pub leader: Option<String>,
}

/// One node's declaration that another member is dead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    pub by: usize,
    pub name: String,
    pub unix_ms: u64,
}
