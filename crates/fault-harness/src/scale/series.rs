//! Measured quantities against a size, as they are written to the results.

use serde::{Deserialize, Serialize};

/// Whose cost a series tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A node that neither votes nor leads.
    Node,
    /// A node that is one of the voters and not their leader.
    Voter,
    /// The elected leader of the budgets.
    Leader,
    /// A node with its whole program, which serves callers meanwhile: its processor time and memory are for
    /// both.
    ServingNode,
    /// What a node spends on the callers that connect to it.
    Dispatcher,
}

/// What is measured. The unit of each is part of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Quantity {
    DatagramsInPerSecond,
    DatagramsOutPerSecond,
    /// With IP and UDP headers.
    BytesInPerSecond,
    BytesOutPerSecond,
    /// Processor time as a share of one core, in thousandths.
    CoreThousandths,
    ResidentKilobytes,
    /// From the start of the process to its first good health check.
    ReadyMilliseconds,
    /// From a configuration's signal to its first effect.
    ReloadMilliseconds,
    AddedP50Microseconds,
    AddedP99Microseconds,
    LogBytesPerSecond,
}

/// What grows while all else is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Dimension {
    Nodes,
    Budgets,
    Routes,
    Tenants,
    Services,
    Callers,
}

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    pub size: f64,
    pub value: f64,
}

/// One quantity of one role at several sizes of one dimension.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    pub role: Role,
    pub quantity: Quantity,
    pub dimension: Dimension,
    /// What is held while the dimension grows, for a reader: "770 nodes, one budget".
    pub held: String,
    pub points: Vec<Point>,
}
