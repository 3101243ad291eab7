//! Errors that stop the adapter.

use std::io;

use doortrack_settings::SettingsError;
use thiserror::Error;

/// An error in the input or output. Offsets are in bytes from the start of the input.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input can't be read.
    #[error("byte {offset}: {source}")]
    Input {
        /// Offset at which the read failed.
        offset: u64,
        /// The I/O error.
        source: io::Error,
    },
    /// The input ends within the header of a batch.
    #[error("byte {offset}: a header needs {needed} bytes, the input ends after {found}")]
    TruncatedHeader {
        /// Offset of the header.
        offset: u64,
        /// Length of the header in bytes.
        needed: usize,
        /// Number of bytes available.
        found: usize,
    },
    /// The input ends within the records of a batch.
    #[error("byte {offset}: the frame length is {length} bytes, the input ends after {found}")]
    TruncatedBatch {
        /// Offset of the records.
        offset: u64,
        /// Length of the records according to the header, in bytes.
        length: usize,
        /// Number of bytes available.
        found: usize,
    },
    /// The batch ends within a field.
    #[error("byte {offset}: {field} needs {needed} bytes, the frame has {left} left")]
    TruncatedField {
        /// Offset of the field.
        offset: u64,
        /// The name of the field.
        field: &'static str,
        /// Length of the field in bytes.
        needed: usize,
        /// Number of bytes left in the batch.
        left: usize,
    },
    /// A record has an unknown code.
    #[error("byte {offset}: unknown event code {code}")]
    UnknownEvent {
        /// Offset of the record.
        offset: u64,
        /// The code.
        code: u8,
    },
    /// The `reason` of a call's end is not one of the reasons defined for calls.
    #[error("byte {offset}: unknown outcome of a call: {reason}")]
    UnknownCallOutcome {
        /// Offset of the reason.
        offset: u64,
        /// The reason.
        reason: u16,
    },
    /// The `reason` of a run's end is not one of the reasons defined for runs.
    #[error("byte {offset}: unknown outcome of a run: {reason}")]
    UnknownRunOutcome {
        /// Offset of the reason.
        offset: u64,
        /// The reason.
        reason: u16,
    },
    /// The settings of a node are not JSON.
    #[error("byte {offset}: node {node}: env is not JSON: {source}")]
    SettingsNotJson {
        /// Offset of the batch's records.
        offset: u64,
        /// The node.
        node: u32,
        /// The parse error.
        source: serde_json::Error,
    },
    /// The settings of a node are invalid.
    #[error("byte {offset}: node {node}: {source}")]
    Settings {
        /// Offset of the batch's records.
        offset: u64,
        /// The node.
        node: u32,
        /// The error in the settings.
        source: SettingsError,
    },
    /// An event refers to a node that was never started or was killed.
    #[error("byte {offset}: node {node} was never started")]
    UnknownNode {
        /// Offset of the batch's records.
        offset: u64,
        /// The node.
        node: u32,
    },
    /// The length of the records of a reply does not fit into its header.
    #[error("byte {offset}: the reply is too long")]
    ReplyTooLong {
        /// Offset of the end of the batch that the reply answers.
        offset: u64,
    },
    /// The reply can't be written.
    #[error("standard output: {0}")]
    Output(#[source] io::Error),
}
