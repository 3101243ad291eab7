//! The part on application servers: where they are, and how the pool of them is to be kept.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use doortrack_time::{MILLISECOND, TenthMillis};
use doortrack_upstream::{OutlierConfig, PoolConfig, RetryConfig, SlowStartConfig};
use schemars::JsonSchema;
use serde::Deserialize;

use crate::ConfigError;
use crate::file::Spoken;

/// Servers that one node may have.
pub const MOST_SERVERS: usize = 1000;
/// Bytes of a body that an answer may be allowed to have.
const MOST_ANSWER: u32 = 1 << 20;

/// Application servers that do the work: a run is one request to one of them.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    pub protocol: Spoken,
    /// IP addresses and ports, each once; 1 to 1000.
    #[schemars(length(min = 1, max = 1000))]
    pub addresses: Vec<SocketAddr>,
    /// Runs at once on one server, each on a connection of its own. `family_info.cores` of the platform's
    /// configuration should be what all servers together can do at once.
    #[serde(default = "at_once")]
    #[schemars(range(min = 1, max = 10_000))]
    pub at_once: u32,
    /// Whether FastCGI connections are kept after an answer, and for how many ms; 0 keeps none. Shorter
    /// than the servers keep theirs, or runs meet connections that are being closed.
    #[serde(default = "idle_ms")]
    #[schemars(range(max = 3_600_000))]
    pub idle_ms: u32,
    /// A connection that takes longer to open counts as failed.
    #[serde(default = "open_within_ms")]
    #[schemars(range(min = 1, max = 60_000))]
    pub open_within_ms: u32,
    /// An answer that takes longer is given up, and its server counts as failed. Absent: the longest async
    /// timeout of all endpoint groups.
    #[serde(default)]
    #[schemars(range(min = 1, max = 3_600_000))]
    pub answer_within_ms: Option<u32>,
    /// Bytes that the body of an answer may have; one with more counts as failed.
    #[serde(default = "most_answer")]
    #[schemars(range(min = 1, max = 1_048_576))]
    pub most_answer_bytes: u32,
    #[serde(default)]
    pub aside: PutAside,
    #[serde(default)]
    pub retries: Again,
    /// How a server that was down is taken into use again. Absent: it is sent all at once.
    #[serde(default)]
    pub ramp: Option<RampFile>,
}

/// When a server that fails is put aside.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct PutAside {
    /// Failures one after the other that put it aside.
    #[schemars(range(min = 1, max = 1000))]
    pub failures: u32,
    /// How long the first time; twice that the next, and so on. Chance takes off up to half of each.
    #[schemars(range(min = 1, max = 3_600_000))]
    pub first_ms: u32,
    #[schemars(range(min = 1, max = 3_600_000))]
    pub longest_ms: u32,
    /// Share of the servers that are in use whatever they do; at least one is.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub floor: f32,
}

/// Bounds on trying a run again on another server.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Again {
    /// Retries for each run begun, as a share.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub share: f32,
    /// Retries that may be saved up.
    #[schemars(range(max = 100_000))]
    pub burst: u32,
    /// Tries that one run has in all; 1 means none again.
    #[schemars(range(min = 1, max = 10))]
    pub tries: u32,
}

/// The first load of a server that was down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RampFile {
    /// How long it is bounded, from the first connection that opens; its rate grows linearly.
    #[schemars(range(min = 10, max = 3_600_000))]
    pub over_ms: u32,
    /// Runs that this node sends it meanwhile; of all nodes together where a budget is for this pool's ramp.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub runs: u32,
}

impl RampFile {
    /// Tokens a second that the budget of a fleet needs for it, rounded up: each is worth as much of a run
    /// as is over of the ramp.
    pub fn tokens_a_second(&self) -> u64 {
        (2_000 * u64::from(self.runs)).div_ceil(u64::from(self.over_ms.max(1)))
    }
}

impl Default for PutAside {
    fn default() -> Self {
        PutAside {
            failures: 3,
            first_ms: 500,
            longest_ms: 30_000,
            floor: 0.25,
        }
    }
}

impl Default for Again {
    fn default() -> Self {
        Again {
            share: 0.1,
            burst: 10,
            tries: 3,
        }
    }
}

fn at_once() -> u32 {
    4
}

fn idle_ms() -> u32 {
    5_000
}

fn open_within_ms() -> u32 {
    250
}

fn most_answer() -> u32 {
    65_536
}

impl Servers {
    /// What the pool is handed; `longest` is the longest deadline.
    pub fn terms(&self, longest: TenthMillis) -> PoolConfig {
        let ms = |ms: u32| TenthMillis::from(ms) * MILLISECOND;
        let (aside, retries) = (self.aside, self.retries);
        PoolConfig {
            max_concurrency: self.at_once,
            // uwsgi has one request on each connection.
            idle_timeout: if self.protocol == Spoken::FastCgi {
                ms(self.idle_ms)
            } else {
                0
            },
            connect_timeout: ms(self.open_within_ms),
            response_timeout: self.answer_within_ms.map_or(longest, ms).max(1),
            outlier: OutlierConfig {
                consecutive_failures: aside.failures,
                base_ejection: ms(aside.first_ms),
                max_ejection: ms(aside.longest_ms),
                in_use_floor: aside.floor,
            },
            retry: RetryConfig {
                ratio: retries.share,
                burst: retries.burst,
                max_attempts: retries.tries,
            },
            slow_start: self.ramp.map(|ramp| SlowStartConfig {
                duration: ms(ramp.over_ms),
                runs: ramp.runs,
            }),
        }
    }

    /// Connections that all of them may have at once.
    pub fn connections(&self) -> usize {
        self.addresses.len() * self.at_once as usize
    }

    pub(crate) fn in_one_line(&self) -> String {
        format!(
            "{} servers over {}, {} runs at once",
            self.addresses.len(),
            self.protocol.name(),
            self.connections()
        )
    }

    pub(crate) fn faults(&self, at: &str, faults: &mut Vec<ConfigError>) {
        let mut whole = |key: &str, value: u32, least: u32, most: u32| {
            if !(least..=most).contains(&value) {
                let what =
                    format!("a whole number from {least} to {most} is wanted, found {value}");
                faults.push(ConfigError::new(format!("{at}.{key}"), what));
            }
        };
        whole("at_once", self.at_once, 1, 10_000);
        whole("idle_ms", self.idle_ms, 0, 3_600_000);
        whole("open_within_ms", self.open_within_ms, 1, 60_000);
        whole(
            "answer_within_ms",
            self.answer_within_ms.unwrap_or(1),
            1,
            3_600_000,
        );
        whole("most_answer_bytes", self.most_answer_bytes, 1, MOST_ANSWER);
        whole("aside.failures", self.aside.failures, 1, 1000);
        whole("aside.first_ms", self.aside.first_ms, 1, 3_600_000);
        whole(
            "aside.longest_ms",
            self.aside.longest_ms,
            self.aside.first_ms,
            3_600_000,
        );
        whole("retries.burst", self.retries.burst, 0, 100_000);
        whole("retries.tries", self.retries.tries, 1, 10);
        if let Some(ramp) = self.ramp {
            whole("ramp.over_ms", ramp.over_ms, 10, 3_600_000);
            whole("ramp.runs", ramp.runs, 1, 10_000_000);
        }
        for (key, share) in [
            ("aside.floor", self.aside.floor),
            ("retries.share", self.retries.share),
        ] {
            if !(0.0..=1.0).contains(&share) {
                let what = format!("a share from 0 to 1 is wanted, found {share}");
                faults.push(ConfigError::new(format!("{at}.{key}"), what));
            }
        }
        if !(1..=MOST_SERVERS).contains(&self.addresses.len()) {
            let what = format!(
                "1 to {MOST_SERVERS} are wanted, found {}",
                self.addresses.len()
            );
            faults.push(ConfigError::new(format!("{at}.addresses"), what));
        }
        let mut seen = BTreeSet::new();
        for (nth, address) in self.addresses.iter().enumerate() {
            let place = || format!("{at}.addresses[{nth}]");
            if address.port() == 0 || address.ip().is_unspecified() {
                faults.push(ConfigError::new(
                    place(),
                    format!("{address} can't be connected to"),
                ));
            }
            if !seen.insert(address) {
                faults.push(ConfigError::new(
                    place(),
                    format!("{address} stands there twice"),
                ));
            }
        }
    }
}
