//! Resource limits of a node, derived from the memory and the file descriptors that it may use.

use doortrack_settings::JsonValue;

use crate::{ConfigErrorKind, ConfigErrors, ErrorCollector};

const DEFAULT_CORES: f64 = 1.0;
const DEFAULT_MEMORY_MB: f64 = 192.0;
const DEFAULT_SOCKETS: f64 = 1024.0;
const MIN_MEMORY_MB: f64 = 16.0;
/// Minimum number of connections of callers that a node has to accept.
const MIN_CONNECTIONS: usize = 8;
/// File descriptors that the node itself uses: for the poller, the listener, its own connections and signals.
const RESERVED_DESCRIPTORS: usize = 24;
/// Memory of a connection in bytes: of an empty write buffer, of one incomplete request, of the list of its pending
/// requests and of [`DUPLICATES_PER_CONNECTION`].
const CONNECTION_BYTES: usize = 20_000;
/// Duplicates for each connection that may wait for the result of another request.
const DUPLICATES_PER_CONNECTION: usize = 2;
/// Memory of an entry in the table of deduplicated requests in bytes.
const DEDUP_ENTRY_BYTES: usize = 300;

/// Maximum amounts of resources in use at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Connections of callers.
    pub connections: usize,
    /// Complete requests that are open, including their parameters and bodies. Duplicates are answered beyond it.
    pub open_requests: usize,
    /// Entries in the table of deduplicated requests.
    pub dedup_entries: usize,
    /// Bytes of the results in that table.
    pub result_bytes: usize,
    /// Bytes of responses that callers have not read.
    pub unread_answer_bytes: usize,
    /// Bytes of commands that the engine has not read. Beyond this limit the engine counts as hung and is
    /// reconnected.
    pub engine_command_bytes: usize,
}

impl ResourceLimits {
    /// Maximum memory of a request in bytes, with its parameters and body.
    pub const MAX_REQUEST_BYTES: usize = 10_500;

    /// Returns the maximum bytes of incomplete requests on all connections: on average one request of the maximum size
    /// on each connection.
    pub fn incomplete_request_bytes(&self) -> usize {
        self.connections * Self::MAX_REQUEST_BYTES
    }

    /// Returns the maximum number of duplicates that wait for the result of another request.
    pub fn waiting_duplicates(&self) -> usize {
        self.connections * DUPLICATES_PER_CONNECTION
    }

    /// Derives the limits from shares of the memory that add up to about five sixths. The rest is for admission
    /// control and the program itself.
    fn within(memory_mb: f64, sockets: usize) -> ResourceLimits {
        let bytes = (memory_mb * 1e6) as usize;
        ResourceLimits {
            connections: sockets
                .saturating_sub(RESERVED_DESCRIPTORS)
                .min(bytes / 4 / CONNECTION_BYTES),
            open_requests: bytes / 5 / Self::MAX_REQUEST_BYTES,
            dedup_entries: bytes / 16 / DEDUP_ENTRY_BYTES,
            result_bytes: bytes / 6,
            unread_answer_bytes: bytes / 8,
            engine_command_bytes: bytes / 32,
        }
    }

    /// Reads the section `limits`. Missing keys have their default.
    ///
    /// # Errors
    /// Every limit that is not a number or is too small.
    pub(crate) fn read(root: &JsonValue) -> Result<ResourceLimits, ConfigErrors> {
        let section = root.get("limits");
        let mut errors = ErrorCollector::default();
        let mut limit = |key: &str, default: f64| {
            let value = section.as_ref().and_then(|section| section.get(key));
            value
                .and_then(|value| errors.collect(value.number()))
                .unwrap_or(default)
        };
        let cores = limit("cores", DEFAULT_CORES);
        let memory_mb = limit("memory_mb", DEFAULT_MEMORY_MB);
        let sockets = limit("sockets", DEFAULT_SOCKETS) as usize;
        let limits = ResourceLimits::within(memory_mb, sockets);
        if cores <= 0.0 {
            errors.push("config.limits.cores", "more than 0 is wanted");
        }
        if memory_mb < MIN_MEMORY_MB {
            let kind = ConfigErrorKind::unexpected(format!("at least {MIN_MEMORY_MB}"), memory_mb);
            errors.push("config.limits.memory_mb", kind);
        } else if limits.connections < MIN_CONNECTIONS {
            let min = MIN_CONNECTIONS + RESERVED_DESCRIPTORS;
            let kind = ConfigErrorKind::unexpected(format!("at least {min}"), sockets);
            errors.push("config.limits.sockets", kind);
        }
        errors.finish(limits)
    }
}
