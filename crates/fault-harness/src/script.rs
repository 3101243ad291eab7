//! Scripts of faults and their times: read from JSON, which has a schema, or generated from a seed.

mod seeded;

use schemars::{JsonSchema, schema_for};
use serde::{Deserialize, Serialize};

/// Greatest number of nodes in a run on real processes.
pub const MAX_PROCESSES: usize = 50;
/// Greatest number of nodes in a run in simulated time.
pub const MAX_SIMULATED_NODES: usize = 5_000;
/// Greatest number of faults in a script.
const MAX_FAULTS: usize = 10_000;

/// A script: some nodes, and the faults of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Number of nodes. They are named n0, n1 and so on, and all start at 0 ms.
    #[schemars(range(min = 1, max = 5000))]
    pub nodes: usize,
    /// Duration of the run in ms, after which the nodes are queried for their final views.
    #[schemars(range(max = 86_400_000))]
    #[serde(rename = "ms")]
    pub duration_ms: u64,
    /// Seed of everything random.
    #[serde(default)]
    pub seed: u64,
    /// In any order.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
}

/// One fault at its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Timed")]
pub struct TimedFault {
    /// Time since the start of the run, in ms.
    pub at_ms: u64,
    #[serde(flatten)]
    #[allow(missing_docs, reason = "a doc comment would be printed in the schema")]
    pub fault: Fault,
}

/// Impairments of the TCP connections through a proxy. The default impairs nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct NetworkConditions {
    /// Nothing passes, while connections stay open.
    pub cut: bool,
    /// Delay of each chunk, in ms.
    pub delay_ms: u64,
    /// Probability, from 0 to 1, that a chunk closes its connection instead of passing.
    pub broken: f64,
    /// Bandwidth of one connection in each direction, in bytes a second; 0 for no limit.
    pub bytes_a_second: u64,
}

/// A fault that the rig injects. Nodes are named by their numbers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "do", rename_all = "snake_case")]
#[allow(
    missing_docs,
    reason = "doc comments of these fields would be printed in the schema, which stays as it is"
)]
pub enum Fault {
    /// SIGKILL.
    Kill { nodes: Vec<usize> },
    /// A new process with the same name and addresses, unless one runs. `clock_ms` offsets its clock.
    Start {
        nodes: Vec<usize>,
        #[serde(default)]
        clock_ms: i64,
    },
    /// SIGSTOP.
    #[serde(rename = "stop")]
    Suspend { nodes: Vec<usize> },
    /// SIGCONT.
    #[serde(rename = "go_on")]
    Resume { nodes: Vec<usize> },
    /// SIGTERM.
    Leave { nodes: Vec<usize> },
    /// Nothing that the nodes `from` send reaches the nodes `to`. Cuts of one link are counted.
    Cut { from: Vec<usize>, to: Vec<usize> },
    /// Ends one such cut of each link.
    #[serde(rename = "mend")]
    Heal { from: Vec<usize>, to: Vec<usize> },
    /// The last datagrams that reached these nodes, of any incarnation, are delivered again.
    Replay { nodes: Vec<usize> },
    /// As `start`, of the older build that was given to the rig.
    StartOlder { nodes: Vec<usize> },
    /// Conditions between these nodes and their server from now on. No effect in simulated time, which has no
    /// requests.
    Server {
        nodes: Vec<usize>,
        #[serde(flatten)]
        conditions: NetworkConditions,
    },
    /// Conditions between these nodes and their callers from now on. No effect in simulated time.
    Callers {
        nodes: Vec<usize>,
        #[serde(flatten)]
        conditions: NetworkConditions,
    },
    /// Bandwidth of each link between two nodes in each direction, in bytes a second; 0 for no limit.
    /// Datagrams that would wait for over a second are dropped. No effect in simulated time.
    Throttle { bytes_a_second: u64 },
    /// Faults of all links from now on: probabilities from 0 to 1, and the mean delay in ms, drawn for each
    /// datagram.
    Links {
        #[serde(default)]
        loss: f64,
        #[serde(default)]
        doubled: f64,
        /// One byte of the datagram is changed. In simulated time the datagram is lost.
        #[serde(default)]
        garbled: f64,
        #[serde(default)]
        delay_ms: u64,
    },
}

/// A script that cannot be run. Each message starts with the path of the key.
#[derive(Debug, thiserror::Error)]
pub enum ScriptError {
    /// The text is not valid JSON, or not a script.
    #[error("script.{}: {}", .0.path(), .0.inner())]
    Syntax(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// The number of nodes is out of range.
    #[error("script.nodes: 1 to {MAX_SIMULATED_NODES} are allowed, found {found}")]
    NodeCount {
        /// The number found.
        found: usize,
    },
    /// Too many nodes for a run on processes.
    #[error("script.nodes: at most {MAX_PROCESSES} are allowed on real processes")]
    TooManyProcesses,
    /// There are more faults than a script may have.
    #[error("script.faults: at most {MAX_FAULTS} are allowed")]
    TooManyFaults,
    /// A fault names a node that doesn't exist.
    #[error("script.faults[{index}]: there is no node {node}")]
    UnknownNode {
        /// Index of the fault.
        index: usize,
        /// The node named.
        node: usize,
    },
    /// A probability of a fault is out of range.
    #[error("script.faults[{index}]: probabilities must be from 0 to 1")]
    Probability {
        /// Index of the fault.
        index: usize,
    },
}

impl Fault {
    /// The nodes that the fault names.
    pub fn nodes(&self) -> Vec<usize> {
        match self {
            Fault::Kill { nodes }
            | Fault::Start { nodes, .. }
            | Fault::StartOlder { nodes }
            | Fault::Replay { nodes }
            | Fault::Server { nodes, .. }
            | Fault::Callers { nodes, .. }
            | Fault::Suspend { nodes }
            | Fault::Resume { nodes }
            | Fault::Leave { nodes } => nodes.clone(),
            Fault::Cut { from, to } | Fault::Heal { from, to } => [&from[..], to].concat(),
            Fault::Links { .. } | Fault::Throttle { .. } => Vec::new(),
        }
    }

    /// The probabilities among the fault's parameters.
    fn probabilities(&self) -> Vec<f64> {
        match self {
            Fault::Links {
                loss,
                doubled,
                garbled,
                ..
            } => vec![*loss, *doubled, *garbled],
            Fault::Server { conditions, .. } | Fault::Callers { conditions, .. } => {
                vec![conditions.broken]
            }
            _ => Vec::new(),
        }
    }
}

impl Script {
    /// Reads and validates a script.
    ///
    /// # Errors
    /// The first error, with the path of its key.
    pub fn parse(text: &str) -> Result<Script, ScriptError> {
        let reader = &mut serde_json::Deserializer::from_str(text);
        let script: Script = serde_path_to_error::deserialize(reader)?;
        script.validate()?;
        Ok(script)
    }

    fn validate(&self) -> Result<(), ScriptError> {
        if !(1..=MAX_SIMULATED_NODES).contains(&self.nodes) {
            return Err(ScriptError::NodeCount { found: self.nodes });
        }
        if self.faults.len() > MAX_FAULTS {
            return Err(ScriptError::TooManyFaults);
        }
        for (index, timed) in self.faults.iter().enumerate() {
            let nodes = timed.fault.nodes();
            if let Some(node) = nodes.into_iter().find(|node| *node >= self.nodes) {
                return Err(ScriptError::UnknownNode { index, node });
            }
            let mut probabilities = timed.fault.probabilities().into_iter();
            if probabilities.any(|probability| !(0.0..=1.0).contains(&probability)) {
                return Err(ScriptError::Probability { index });
            }
        }
        Ok(())
    }

    /// The faults by time. Faults with equal times keep the script's order.
    pub fn faults_by_time(&self) -> Vec<TimedFault> {
        let mut faults = self.faults.clone();
        faults.sort_by_key(|timed| timed.at_ms);
        faults
    }
}

/// The JSON Schema of a script.
pub fn schema() -> String {
    serde_json::to_string_pretty(&schema_for!(Script)).unwrap_or_default()
}
