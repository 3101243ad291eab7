//! Errors of scale measurements, and writing of reports.

use std::io;
use std::ops::Range;
use std::path::Path;

use doortrack_config::ConfigErrors;
use doortrack_node::peers::OpenLinkError;
use serde::Serialize;
use thiserror::Error;

use super::node_cost::MeasureError;

/// Why a fleet could not be measured.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// A file, a socket or a process could not be used.
    #[error("{what}: {source}")]
    Io {
        /// The operation, or the object it was applied to.
        what: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file or a message is not valid JSON of its type, or could not be serialized.
    #[error("{what}: {source}")]
    Json {
        /// The file or the kind of message.
        what: String,
        /// The JSON error.
        source: serde_json::Error,
    },
    /// The resource usage of a process could not be read.
    #[error("process {pid}: {source}")]
    Proc {
        /// The process id.
        pid: u32,
        /// The error from `/proc`.
        source: procfs::ProcError,
    },
    /// A process of hollow nodes failed.
    #[error("hollow nodes {nodes:?}: {why}")]
    Hollow {
        /// The nodes of the process.
        nodes: Range<usize>,
        /// The reason.
        why: String,
    },
    /// The generated configuration of a node is invalid.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// A hollow node's link could not be opened.
    #[error(transparent)]
    OpenLink(#[from] OpenLinkError),
    /// The generated installation of a node has no fleet.
    #[error("the plan has no fleet")]
    NoFleet,
    /// The fleet size is smaller than the number of voters and real nodes.
    #[error("{size} nodes: {own_processes} are voters and real ones")]
    TooFewNodes {
        /// Nodes of that size.
        size: usize,
        /// Voters and real nodes.
        own_processes: usize,
    },
    /// The fleet size needs too many processes.
    #[error("{needed} processes are needed, {max} are the most")]
    TooManyProcesses {
        /// Number of processes needed.
        needed: usize,
        /// Maximum number of processes.
        max: usize,
    },
    /// One node could not be measured.
    #[error(transparent)]
    NodeCost(#[from] MeasureError),
}

impl ScaleError {
    /// Returns a function for `map_err` that adds the operation.
    pub fn io(what: impl ToString) -> impl FnOnce(io::Error) -> ScaleError {
        let what = what.to_string();
        move |source| ScaleError::Io { what, source }
    }

    /// Returns a function for `map_err` that adds the file or the kind of message.
    pub fn json(what: impl ToString) -> impl FnOnce(serde_json::Error) -> ScaleError {
        let what = what.to_string();
        move |source| ScaleError::Json { what, source }
    }
}

/// Writes a report as indented JSON.
///
/// # Errors
/// The file can't be written.
pub fn write_report(file: &Path, report: &impl Serialize) -> Result<(), ScaleError> {
    let text = serde_json::to_string_pretty(report).map_err(ScaleError::json(file.display()))?;
    std::fs::write(file, text + "\n").map_err(ScaleError::io(file.display()))
}
