//! Measured quantities by size, as written to reports.

use serde::{Deserialize, Serialize};

/// The role whose resource usage a series describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A node that neither votes nor leads.
    Node,
    /// A node that is one of the voters and not their leader.
    Voter,
    /// The elected leader of the budgets.
    Leader,
    /// A real node that also serves callers; its processor time and memory include that work.
    ServingNode,
    /// The part of a node that handles the callers connected to it.
    Dispatcher,
}

/// A measured quantity. Each name includes the unit.
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
    /// From the reload signal to the first effect of the new configuration.
    ReloadMilliseconds,
    AddedP50Microseconds,
    AddedP99Microseconds,
    LogBytesPerSecond,
}

/// The dimension that is varied while the others stay fixed.
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
    /// Human-readable values of the fixed dimensions, such as "770 nodes, one budget".
    pub held: String,
    pub points: Vec<Point>,
}
