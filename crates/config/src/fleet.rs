//! The section of the installation file on the fleet: how this node and others find and monitor one another.
//!
//! Doc comments of the types that are read from the file are the descriptions in its schema.

mod key;
mod validate;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use doortrack_budgets::Safeguards;
use doortrack_membership::Parameters;
use doortrack_time::{MILLISECOND, TenthMillis, from_millis};
use schemars::JsonSchema;
use serde::Deserialize;

pub use key::{FleetKey, KeyError, read_key};
pub(crate) use validate::NAME_RULE;

use crate::{ConfigErrors, LeaseTimes};

/// The fleet that this node is of. Absent: it knows of no other node and opens no socket for them.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "FleetFile")]
pub struct FleetConfig {
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
    #[expect(missing_docs, reason = "a doc comment would change the schema")]
    #[serde(default)]
    pub times: FleetTimes,
    /// How fast budgets are divided.
    #[serde(default)]
    pub leases: LeaseTimes,
    /// Never read from a file.
    #[serde(skip)]
    pub fault_injection: FaultInjection,
}

/// Faults that fleet tests inject into one process through hidden command line arguments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultInjection {
    /// Clock drift of membership and budgets in parts per million; a positive value makes the clock fast.
    pub drift_ppm: i32,
    /// The safeguards of budget division that are in force.
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
        let parameters = Parameters::default();
        let millis = |time: TenthMillis| (time / MILLISECOND) as u32;
        FleetTimes {
            period_ms: millis(parameters.probe_period),
            answer_within_ms: millis(parameters.ack_timeout),
            suspicion_min_ms: millis(parameters.suspicion_min),
            suspicion_max_ms: millis(parameters.suspicion_max),
            forget_after_ms: millis(parameters.forget_after),
        }
    }
}

impl FleetConfig {
    /// Returns the parameters of membership.
    pub fn fleet_parameters(&self) -> Parameters {
        let times = self.times;
        Parameters {
            seeds: self.seeds.clone(),
            probe_period: from_millis(times.period_ms),
            ack_timeout: from_millis(times.answer_within_ms),
            suspicion_min: from_millis(times.suspicion_min_ms),
            suspicion_max: from_millis(times.suspicion_max_ms),
            forget_after: from_millis(times.forget_after_ms),
            ..Parameters::default()
        }
    }

    /// Returns the address at which other nodes reach this node.
    pub fn address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// Returns the key of the fleet, if it has one. `folder` is the folder of the installation file.
    ///
    /// # Errors
    /// The key file can't be read, or does not contain 64 hex digits.
    pub fn key(&self, folder: &Path) -> Result<Option<FleetKey>, ConfigErrors> {
        let Some(file) = &self.key_file else {
            return Ok(None);
        };
        let key = read_key(&folder.join(file))
            .map_err(|error| ConfigErrors::one("installation.fleet.key_file", error.to_string()))?;
        Ok(Some(key))
    }
}
