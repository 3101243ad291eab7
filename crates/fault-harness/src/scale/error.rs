//! What ends a measurement of scale before its time, and how its results are written.

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
        /// What was tried, or on what.
        what: String,
        /// The system's reason.
        source: io::Error,
    },
    /// A file or a message is not the JSON that it should be, or could not be written as such.
    #[error("{what}: {source}")]
    Json {
        /// The file, or what the message is.
        what: String,
        /// Where and why.
        source: serde_json::Error,
    },
    /// What a process has used could not be read.
    #[error("process {pid}: {source}")]
    Proc {
        /// Its id.
        pid: u32,
        /// Why.
        source: procfs::ProcError,
    },
    /// A process of hollow nodes failed.
    #[error("hollow nodes {nodes:?}: {why}")]
    Hollow {
        /// Its nodes.
        nodes: Range<usize>,
        /// What it said.
        why: String,
    },
    /// The files of a plan's node are invalid.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// A hollow node's link could not be opened.
    #[error(transparent)]
    OpenLink(#[from] OpenLinkError),
    /// The installation of a plan's node names no fleet.
    #[error("the plan has no fleet")]
    NoFleet,
    /// A size has fewer nodes than have to be processes of their own.
    #[error("{size} nodes: {own} are voters and real ones")]
    TooFewNodes {
        /// Nodes of that size.
        size: usize,
        /// Voters and real nodes.
        own: usize,
    },
    /// A size takes too many processes.
    #[error("{needed} processes are needed, {max} are the most")]
    TooManyProcesses {
        /// How many it takes.
        needed: usize,
        /// How many there may be.
        max: usize,
    },
    /// One node could not be measured.
    #[error(transparent)]
    NodeCost(#[from] MeasureError),
}

impl ScaleError {
    /// For `map_err`, with what was tried.
    pub fn io(what: impl ToString) -> impl FnOnce(io::Error) -> ScaleError {
        let what = what.to_string();
        move |source| ScaleError::Io { what, source }
    }

    /// For `map_err`, with the file or what the message is.
    pub fn json(what: impl ToString) -> impl FnOnce(serde_json::Error) -> ScaleError {
        let what = what.to_string();
        move |source| ScaleError::Json { what, source }
    }
}

/// Writes a report as JSON for readers.
///
/// # Errors
/// The file can't be written.
pub fn write_report(file: &Path, report: &impl Serialize) -> Result<(), ScaleError> {
    let text = serde_json::to_string_pretty(report).map_err(ScaleError::json(file.display()))?;
    std::fs::write(file, text + "\n").map_err(ScaleError::io(file.display()))
}
