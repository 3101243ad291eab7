//! The types of server pools that are read from the installation file. Operators see their names in its schema and
//! in serde's error messages, and their doc comments as descriptions in the schema; the parent module re-exports them
//! under the names that the code uses.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;

use crate::ProtocolName;

const DEFAULT_MAX_CONCURRENCY: u32 = 4;
const DEFAULT_IDLE_TIMEOUT_MS: u32 = 5_000;
const DEFAULT_CONNECT_TIMEOUT_MS: u32 = 250;
const DEFAULT_MAX_RESPONSE_BYTES: u32 = 65_536;

/// Application servers that do the work: a run is one request to one of them.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    #[expect(missing_docs, reason = "a doc comment would change the schema")]
    pub protocol: ProtocolName,
    /// IP addresses and ports, each once; 1 to 1000.
    #[schemars(length(min = 1, max = 1000))]
    pub addresses: Vec<SocketAddr>,
    /// Runs at once on one server, each on a connection of its own. `family_info.cores` of the platform's
    /// configuration should be what all servers together can do at once.
    #[serde(rename = "at_once", default = "default_max_concurrency")]
    #[schemars(range(min = 1, max = 10_000))]
    pub max_concurrency: u32,
    /// Whether FastCGI connections are kept after an answer, and for how many ms; 0 keeps none. Shorter
    /// than the servers keep theirs, or runs meet connections that are being closed.
    #[serde(rename = "idle_ms", default = "default_idle_timeout_ms")]
    #[schemars(range(max = 3_600_000))]
    pub idle_timeout_ms: u32,
    /// A connection that takes longer to open counts as failed.
    #[serde(rename = "open_within_ms", default = "default_connect_timeout_ms")]
    #[schemars(range(min = 1, max = 60_000))]
    pub connect_timeout_ms: u32,
    /// An answer that takes longer is given up, and its server counts as failed. Absent: the longest async
    /// timeout of all endpoint groups.
    #[serde(default, rename = "answer_within_ms")]
    #[schemars(range(min = 1, max = 3_600_000))]
    pub response_timeout_ms: Option<u32>,
    /// Bytes that the body of an answer may have; one with more counts as failed.
    #[serde(rename = "most_answer_bytes", default = "default_max_response_bytes")]
    #[schemars(range(min = 1, max = 1_048_576))]
    pub max_response_bytes: u32,
    #[expect(missing_docs, reason = "a doc comment would change the schema")]
    #[serde(default, rename = "aside")]
    pub ejection: PutAside,
    #[expect(missing_docs, reason = "a doc comment would change the schema")]
    #[serde(default)]
    pub retries: Again,
    /// How a server that was down is taken into use again. Absent: it is sent all at once.
    #[serde(default, rename = "ramp")]
    pub slow_start: Option<RampFile>,
}

/// When a server that fails is put aside.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct PutAside {
    /// Failures one after the other that put it aside.
    #[schemars(range(min = 1, max = 1000))]
    pub failures: u32,
    /// How long the first time; twice that the next, and so on. Chance takes off up to half of each.
    #[serde(rename = "first_ms")]
    #[schemars(range(min = 1, max = 3_600_000))]
    pub base_duration_ms: u32,
    #[expect(missing_docs, reason = "a doc comment would change the schema")]
    #[serde(rename = "longest_ms")]
    #[schemars(range(min = 1, max = 3_600_000))]
    pub max_duration_ms: u32,
    /// Share of the servers that are in use whatever they do; at least one is.
    #[serde(rename = "floor")]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub min_share_in_use: f32,
}

/// Bounds on trying a run again on another server.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Again {
    /// Retries for each run begun, as a share.
    #[serde(rename = "share")]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub retries_per_run: f32,
    /// Retries that may be saved up.
    #[schemars(range(max = 100_000))]
    pub burst: u32,
    /// Tries that one run has in all; 1 means none again.
    #[serde(rename = "tries")]
    #[schemars(range(min = 1, max = 10))]
    pub max_attempts: u32,
}

/// The first load of a server that was down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RampFile {
    /// How long it is bounded, from the first connection that opens; its rate grows linearly.
    #[serde(rename = "over_ms")]
    #[schemars(range(min = 10, max = 3_600_000))]
    pub duration_ms: u32,
    /// Runs that this node sends it meanwhile; of all nodes together where a budget is for this pool's ramp.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub runs: u32,
}

impl Default for PutAside {
    fn default() -> Self {
        PutAside {
            failures: 3,
            base_duration_ms: 500,
            max_duration_ms: 30_000,
            min_share_in_use: 0.25,
        }
    }
}

impl Default for Again {
    fn default() -> Self {
        Again {
            retries_per_run: 0.1,
            burst: 10,
            max_attempts: 3,
        }
    }
}

fn default_max_concurrency() -> u32 {
    DEFAULT_MAX_CONCURRENCY
}

fn default_idle_timeout_ms() -> u32 {
    DEFAULT_IDLE_TIMEOUT_MS
}

fn default_connect_timeout_ms() -> u32 {
    DEFAULT_CONNECT_TIMEOUT_MS
}

fn default_max_response_bytes() -> u32 {
    DEFAULT_MAX_RESPONSE_BYTES
}
