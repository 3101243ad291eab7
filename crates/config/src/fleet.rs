//! The part on the fleet: how this node and others know of one another.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use doortrack_budgets::Safeguards;
use doortrack_membership::{Parameters, is_name};
use doortrack_time::{MILLISECOND, TenthMillis};
use schemars::JsonSchema;
use serde::Deserialize;

use crate::{ConfigError, ConfigErrors, LeaseTimes, NodeConfig};

/// Seeds, and voters, that one file may name.
const MAX_SEEDS: usize = 64;
const MAX_VOTERS: usize = 9;
/// Bytes of a key.
const KEY: usize = 32;

/// The fleet that this node is of. Absent: it knows of no other node and opens no socket for them.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// The fleet's name, 1 to 64 bytes; nodes of another fleet are not listened to.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// Where other nodes reach this one, IP address and UDP port, as 127.0.0.1:7401.
    pub listen: SocketAddr,
    /// What other nodes are told to reach this one at. Absent: `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Where the fleet is looked for at start and now and then later; at most 64. This node's own may be
    /// among them, so that one list serves all.
    #[serde(default)]
    #[schemars(length(max = 64))]
    pub seeds: Vec<SocketAddr>,
    /// A file with 64 hex digits that only nodes of this fleet have; its path starts at this file's folder.
    /// Absent: whoever knows the fleet's name and reaches `listen` is taken for a member.
    #[serde(default)]
    pub key_file: Option<PathBuf>,
    /// Names of the nodes of whom a majority decides what needs one; at most 9, an odd number is best.
    #[serde(default)]
    #[schemars(length(max = 9))]
    pub voters: Vec<String>,
    /// What this node can do against others, in a unit that all share. Absent: `family_info.cores` of the
    /// platform's configuration.
    #[serde(default)]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub weight: Option<u32>,
    #[serde(default)]
    pub times: FleetTimes,
    /// How fast budgets are divided.
    #[serde(default)]
    pub leases: LeaseTimes,
    /// Never read from a file.
    #[serde(skip)]
    pub tests: FleetTests,
}

/// What tests of fleets do to one process; set by words of the command line that are hidden.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetTests {
    /// The part's clock gains so many millionths.
    pub drift_ppm: i32,
    pub safeguards: Safeguards,
}

/// How fast members are probed and given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct FleetTimes {
    /// Each node probes one other so often.
    #[schemars(range(min = 20, max = 60_000))]
    pub period_ms: u32,
    /// An answer that takes longer has indirect probers asked; less than `period_ms`.
    #[schemars(range(min = 5, max = 30_000))]
    pub answer_within_ms: u32,
    /// How long a member is suspected before it is declared dead, where others suspect it too.
    #[serde(alias = "doubt_least_ms")]
    #[schemars(range(min = 20, max = 600_000))]
    pub suspicion_min_ms: u32,
    /// The same on one node's word alone; at least `suspicion_min_ms`.
    #[serde(alias = "doubt_most_ms")]
    #[schemars(range(min = 20, max = 600_000))]
    pub suspicion_max_ms: u32,
    /// Dead and left members are shown so long.
    #[schemars(range(min = 1_000, max = 86_400_000))]
    pub forget_after_ms: u32,
}

impl Default for FleetTimes {
    fn default() -> FleetTimes {
        let (parameters, ms) = (Parameters::default(), |span: TenthMillis| {
            (span / MILLISECOND) as u32
        });
        FleetTimes {
            period_ms: ms(parameters.period),
            answer_within_ms: ms(parameters.answer_within),
            suspicion_min_ms: ms(parameters.suspicion_min),
            suspicion_max_ms: ms(parameters.suspicion_max),
            forget_after_ms: ms(parameters.forget_after),
        }
    }
}

impl FleetFile {
    /// What the decisions are handed.
    pub fn fleet_parameters(&self) -> Parameters {
        let (times, ms) = (self.times, |span: u32| {
            TenthMillis::from(span) * MILLISECOND
        });
        Parameters {
            seeds: self.seeds.clone(),
            period: ms(times.period_ms),
            answer_within: ms(times.answer_within_ms),
            suspicion_min: ms(times.suspicion_min_ms),
            suspicion_max: ms(times.suspicion_max_ms),
            forget_after: ms(times.forget_after_ms),
            ..Parameters::default()
        }
    }

    /// Where other nodes are told to reach this one.
    pub fn address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// The key, if there is one; `folder` is that of the operators' file.
    ///
    /// # Errors
    /// The file can't be read, or does not hold 64 hex digits.
    pub fn key(&self, folder: &Path) -> Result<Option<[u8; KEY]>, ConfigErrors> {
        let Some(file) = &self.key_file else {
            return Ok(None);
        };
        read_key(&folder.join(file))
            .map(Some)
            .map_err(|what| ConfigErrors::one("installation.fleet.key_file", what))
    }

    pub(crate) fn faults(&self, faults: &mut Vec<ConfigError>) {
        let mut fault = |key: &str, what: String| {
            faults.push(ConfigError::new(format!("installation.fleet{key}"), what))
        };
        if !is_name(&self.name) {
            fault(
                ".name",
                "1 to 64 bytes without control characters are wanted".into(),
            );
        }
        let told = [
            (".listen", Some(self.listen)),
            (".advertise", self.advertise),
        ];
        let seeds = self
            .seeds
            .iter()
            .enumerate()
            .map(|(nth, at)| (format!(".seeds[{nth}]"), Some(*at)));
        for (key, at) in told
            .map(|(key, at)| (key.to_string(), at))
            .into_iter()
            .chain(seeds)
        {
            if at.is_some_and(|at| at.port() == 0 || at.ip().is_unspecified()) {
                fault(
                    &key,
                    format!("{} can't be reached by others", at.unwrap_or(self.listen)),
                );
            }
        }
        if self.seeds.len() > MAX_SEEDS {
            fault(
                ".seeds",
                format!("at most {MAX_SEEDS} are wanted, found {}", self.seeds.len()),
            );
        }
        if self.voters.len() > MAX_VOTERS {
            fault(
                ".voters",
                format!(
                    "at most {MAX_VOTERS} are wanted, found {}",
                    self.voters.len()
                ),
            );
        }
        let mut seen = BTreeSet::new();
        for (nth, voter) in self.voters.iter().enumerate() {
            if !is_name(voter) {
                fault(
                    &format!(".voters[{nth}]"),
                    "1 to 64 bytes without control characters are wanted".into(),
                );
            } else if !seen.insert(voter) {
                fault(
                    &format!(".voters[{nth}]"),
                    format!("'{voter}' stands there twice"),
                );
            }
        }
        let times = self.times;
        let mut check_range = |key: &str, value: u32, least: u32, most: u32| {
            if !(least..=most).contains(&value) {
                fault(
                    key,
                    format!("a whole number from {least} to {most} is wanted, found {value}"),
                );
            }
        };
        check_range(".weight", self.weight.unwrap_or(1), 1, 1_000_000);
        check_range(".times.period_ms", times.period_ms, 20, 60_000);
        let longest = 30_000.min(times.period_ms.saturating_sub(1)).max(5);
        check_range(
            ".times.answer_within_ms",
            times.answer_within_ms,
            5,
            longest,
        );
        check_range(
            ".times.suspicion_min_ms",
            times.suspicion_min_ms,
            20,
            600_000,
        );
        check_range(
            ".times.suspicion_max_ms",
            times.suspicion_max_ms,
            times.suspicion_min_ms.min(600_000),
            600_000,
        );
        check_range(
            ".times.forget_after_ms",
            times.forget_after_ms,
            1_000,
            86_400_000,
        );
        self.leases.faults(faults);
    }

    /// What can't go together with the platform's configuration.
    pub(crate) fn beside(&self, orders: &NodeConfig, faults: &mut Vec<ConfigError>) {
        if !is_name(&orders.name) {
            let what =
                "names this node in its fleet: 1 to 64 bytes without control characters are wanted";
            faults.push(ConfigError::new("config.name", what));
        }
    }
}

/// Reads a key of 64 hex digits; white space around them does not count.
///
/// # Errors
/// In words, with the path.
pub fn read_key(path: &Path) -> Result<[u8; KEY], String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let digits = text.trim();
    let mut key = [0; KEY];
    let whole = digits.len() == 2 * KEY && digits.is_ascii();
    let read = whole
        && key.iter_mut().enumerate().all(|(nth, byte)| {
            u8::from_str_radix(&digits[2 * nth..2 * nth + 2], 16).is_ok_and(|value| {
                *byte = value;
                true
            })
        });
    if read {
        Ok(key)
    } else {
        Err(format!(
            "{}: {} hex digits are wanted",
            path.display(),
            2 * KEY
        ))
    }
}
