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

/// A pool of application servers that execute runs; a run is one request to one of the servers.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    #[expect(missing_docs, reason = "a doc comment would change the schema")]
    pub protocol: ProtocolName,
    /// IP addresses and ports of the servers, without duplicates; 1 to 1000.
    #[schemars(length(min = 1, max = 1000))]
    pub addresses: Vec<SocketAddr>,
    /// Maximum number of concurrent runs on one server, each on its own connection. `family_info.cores` of
    /// the platform's configuration should be the number of runs that all servers together can execute
    /// concurrently.
    #[serde(rename = "at_once", default = "default_max_concurrency")]
    #[schemars(range(min = 1, max = 10_000))]
    pub max_concurrency: u32,
    /// Time in ms for which an idle FastCGI connection is kept open after an answer; 0 closes it at once.
    /// Must be shorter than the idle timeout of the servers; otherwise runs are sent on connections that the
    /// server is closing.
    #[serde(rename = "idle_ms", default = "default_idle_timeout_ms")]
    #[schemars(range(max = 3_600_000))]
    pub idle_timeout_ms: u32,
    /// Time in ms to open a connection; a connection that takes longer counts as failed.
    #[serde(rename = "open_within_ms", default = "default_connect_timeout_ms")]
    #[schemars(range(min = 1, max = 60_000))]
    pub connect_timeout_ms: u32,
    /// Time in ms to wait for an answer; if it takes longer, the wait ends and the server counts as failed.
    /// Default: the longest async timeout of all endpoint groups.
    #[serde(default, rename = "answer_within_ms")]
    #[schemars(range(min = 1, max = 3_600_000))]
    pub response_timeout_ms: Option<u32>,
    /// Maximum length in bytes of the body of an answer; a longer answer counts as failed.
    #[serde(rename = "most_answer_bytes", default = "default_max_response_bytes")]
    #[schemars(range(min = 1, max = 1_048_576))]
    pub max_response_bytes: u32,
    #[expect(missing_docs, reason = "a doc comment would change the schema")]
    #[serde(default, rename = "aside")]
    pub ejection: PutAside,
    #[expect(missing_docs, reason = "a doc comment would change the schema")]
    #[serde(default)]
    pub retries: Again,
    /// Slow start of a server that was down. Absent: the server receives its full load at once.
    #[serde(default, rename = "ramp")]
    pub slow_start: Option<RampFile>,
}

/// Conditions under which a failing server is ejected, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct PutAside {
    /// Number of consecutive failures after which a server is ejected.
    #[schemars(range(min = 1, max = 1000))]
    pub failures: u32,
    /// Duration in ms of the first ejection; each further ejection lasts twice as long as the one before.
    /// Each duration is randomly shortened by up to half.
    #[serde(rename = "first_ms")]
    #[schemars(range(min = 1, max = 3_600_000))]
    pub base_duration_ms: u32,
    #[expect(missing_docs, reason = "a doc comment would change the schema")]
    #[serde(rename = "longest_ms")]
    #[schemars(range(min = 1, max = 3_600_000))]
    pub max_duration_ms: u32,
    /// Share of the servers that stay in use regardless of failures; at least one server always does.
    #[serde(rename = "floor")]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub min_share_in_use: f32,
}

/// Limits on retries of a run on another server.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Again {
    /// Number of retries allowed for each started run, as a share.
    #[serde(rename = "share")]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub retries_per_run: f32,
    /// Maximum number of unused retries that can accumulate.
    #[schemars(range(max = 100_000))]
    pub burst: u32,
    /// Maximum number of attempts of one run, including the first; 1 disables retries.
    #[serde(rename = "tries")]
    #[schemars(range(min = 1, max = 10))]
    pub max_attempts: u32,
}

/// Slow start: limits the load of a server that was down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RampFile {
    /// Duration in ms of the limit, from the first connection that opens; the permitted rate grows linearly.
    #[serde(rename = "over_ms")]
    #[schemars(range(min = 10, max = 3_600_000))]
    pub duration_ms: u32,
    /// Number of runs that this node sends to the server during the slow start; if a budget applies to the
    /// `ramp` of this pool, the number that all nodes together send.
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
