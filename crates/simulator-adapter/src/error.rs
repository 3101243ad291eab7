//! Why the adapter stops.

use std::io;

use doortrack_settings::SettingsError;
use thiserror::Error;

/// An error in the input, at an offset in bytes from its start, or of the output.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input can't be read.
    #[error("byte {offset}: {source}")]
    Input {
        /// How far it was read.
        offset: u64,
        /// The system's reason.
        source: io::Error,
    },
    /// The input ends within the header of a batch.
    #[error("byte {offset}: a header needs {needed} bytes, the input ends after {found}")]
    TruncatedHeader {
        /// Where the header begins.
        offset: u64,
        /// Its length in bytes.
        needed: usize,
        /// Bytes that there are.
        found: usize,
    },
    /// The input ends within a batch.
    #[error("byte {offset}: the frame says {length} bytes, the input ends after {found}")]
    TruncatedBatch {
        /// Where the records begin.
        offset: u64,
        /// Bytes of records by the header.
        length: usize,
        /// Bytes that there are.
        found: usize,
    },
    /// The batch ends within a field.
    #[error("byte {offset}: {field} needs {needed} bytes, the frame has {left} left")]
    TruncatedField {
        /// Where the field begins.
        offset: u64,
        /// The field's name.
        field: &'static str,
        /// Its length in bytes.
        needed: usize,
        /// Bytes that are left of the batch.
        left: usize,
    },
    /// A record has a code that no event has.
    #[error("byte {offset}: unknown event code {code}")]
    UnknownEvent {
        /// Where the record begins.
        offset: u64,
        /// The code.
        code: u8,
    },
    /// A call ended with a reason that calls do not have.
    #[error("byte {offset}: unknown outcome of a call: {reason}")]
    UnknownCallOutcome {
        /// Where the reason is.
        offset: u64,
        /// The reason.
        reason: u16,
    },
    /// A run ended with a reason that runs do not have.
    #[error("byte {offset}: unknown outcome of a run: {reason}")]
    UnknownRunOutcome {
        /// Where the reason is.
        offset: u64,
        /// The reason.
        reason: u16,
    },
    /// The settings of a node are not JSON.
    #[error("byte {offset}: node {node}: env is not JSON: {source}")]
    SettingsNotJson {
        /// Where the batch's records begin.
        offset: u64,
        /// The node.
        node: u32,
        /// The parser's reason.
        source: serde_json::Error,
    },
    /// The settings of a node are refused.
    #[error("byte {offset}: node {node}: {source}")]
    Settings {
        /// Where the batch's records begin.
        offset: u64,
        /// The node.
        node: u32,
        /// What is wrong with them.
        source: SettingsError,
    },
    /// An event is for a node that was never started, or died.
    #[error("byte {offset}: node {node} was never started")]
    UnknownNode {
        /// Where the batch's records begin.
        offset: u64,
        /// The node.
        node: u32,
    },
    /// The actions of one reply take more bytes than its header can say.
    #[error("byte {offset}: the reply is too long")]
    ReplyTooLong {
        /// Where the batch that it answers ends.
        offset: u64,
    },
    /// The reply can't be written.
    #[error("standard output: {0}")]
    Output(#[source] io::Error),
}
