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

/// The fleet to which this node belongs. Absent: the node knows no other nodes and opens no socket for them.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "FleetFile")]
pub struct FleetConfig {
    /// Name of the fleet, 1 to 64 bytes. Messages from nodes of other fleets are ignored.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// IP address and UDP port on which this node receives messages from other nodes, for example
    /// 127.0.0.1:7401.
    pub listen: SocketAddr,
    /// Address that this node announces to other nodes as its own. Default: `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Addresses that this node contacts to find the fleet, at start and from time to time afterwards; at
    /// most 64. The node's own address may be included, so that all nodes can use the same list.
    #[serde(default)]
    #[schemars(length(max = 64))]
    pub seeds: Vec<SocketAddr>,
    /// Path of the key file, which contains 64 hex digits that only nodes of this fleet have. The path is
    /// relative to the folder of the installation file. Absent: anyone who knows the name of the fleet and
    /// can reach `listen` is accepted as a member.
    #[serde(default)]
    pub key_file: Option<PathBuf>,
    /// Names of the nodes that vote on decisions that need a majority; at most 9, preferably an odd number.
    #[serde(default)]
    #[schemars(length(max = 9))]
    pub voters: Vec<String>,
    /// Capacity of this node relative to other nodes, in a unit that all nodes share. Default:
    /// `family_info.cores` of the platform's configuration.
    #[serde(default)]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub weight: Option<u32>,
    #[expect(missing_docs, reason = "a doc comment would change the schema")]
    #[serde(default)]
    pub times: FleetTimes,
    /// Timing of the division of budgets.
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

/// Timing of the probes of members and of the detection of dead members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct FleetTimes {
    /// Interval in ms at which each node probes one other node.
    #[schemars(range(min = 20, max = 60_000))]
    pub period_ms: u32,
    /// Time in ms to wait for the answer to a probe before other nodes are asked to probe indirectly; less
    /// than `period_ms`.
    #[schemars(range(min = 5, max = 30_000))]
    pub answer_within_ms: u32,
    /// Time in ms that a member is suspected before it is declared dead, if other nodes suspect it too.
    #[serde(alias = "doubt_least_ms")]
    #[schemars(range(min = 20, max = 600_000))]
    pub suspicion_min_ms: u32,
    /// Time in ms that a member is suspected before it is declared dead, if only one node suspects it; at
    /// least `suspicion_min_ms`.
    #[serde(alias = "doubt_most_ms")]
    #[schemars(range(min = 20, max = 600_000))]
    pub suspicion_max_ms: u32,
    /// Time in ms for which members that died or left are still shown.
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
