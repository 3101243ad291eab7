//! Configurable timing and bounds of membership.

use doortrack_time::{MILLISECOND, TenthMillis};
use std::net::SocketAddr;

/// Timing and bounds. All times are in tenths of a millisecond. Ranges are checked when the
/// configuration is read, not here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parameters {
    /// Addresses that join requests are sent to, at start and periodically later, so that the parts
    /// of a partitioned fleet rejoin.
    pub seeds: Vec<SocketAddr>,
    /// The interval between probes; one member is probed in each period.
    pub probe_period: TenthMillis,
    /// How long to wait for a direct answer before asking indirect probers; less than
    /// `probe_period`.
    pub ack_timeout: TenthMillis,
    /// How many members are asked for an indirect probe when there is no direct answer.
    pub indirect_probers: usize,
    /// How long a fully confirmed suspicion lasts before the member is declared dead.
    pub suspicion_min: TenthMillis,
    /// How long an unconfirmed suspicion lasts before the member is declared dead.
    pub suspicion_max: TenthMillis,
    /// The interval between gossip rounds.
    pub gossip_interval: TenthMillis,
    /// How many members each gossip round is sent to.
    pub gossip_fanout: usize,
    /// A process counts as having been paused if a timer is overdue by more than this.
    pub max_lateness: TenthMillis,
    /// This node considers itself isolated after more periods than this without any answer.
    pub max_silent_periods: u32,
    /// How long a member that returns for the second time is kept out of the view; doubled with
    /// each further return.
    pub initial_hold: TenthMillis,
    /// The longest time that a member is kept out of the view after a return.
    pub max_hold: TenthMillis,
    /// How long dead and left members are remembered.
    pub forget_after: TenthMillis,
    /// Maximum number of members in the table, without this node; further ones are not added.
    pub max_members: usize,
}

impl Default for Parameters {
    fn default() -> Parameters {
        Parameters {
            seeds: Vec::new(),
            probe_period: 200 * MILLISECOND,
            ack_timeout: 70 * MILLISECOND,
            indirect_probers: 3,
            suspicion_min: 400 * MILLISECOND,
            suspicion_max: 2_000 * MILLISECOND,
            gossip_interval: 50 * MILLISECOND,
            gossip_fanout: 3,
            max_lateness: 100 * MILLISECOND,
            max_silent_periods: 4,
            initial_hold: 1_000 * MILLISECOND,
            max_hold: 30_000 * MILLISECOND,
            forget_after: 60_000 * MILLISECOND,
            max_members: 4_096,
        }
    }
}

impl Parameters {
    /// The interval between join requests to nodes outside the view.
    pub fn join_request_interval(&self) -> TenthMillis {
        self.probe_period * 5
    }

    /// How long before the end of a suspicion the first final probe is sent; the second one follows
    /// after half of this time.
    pub(crate) fn final_probe_lead(&self) -> TenthMillis {
        self.ack_timeout * 3
    }

    /// Upper bound of the time to wait for a direct answer, however slow the member.
    pub fn max_ack_timeout(&self) -> TenthMillis {
        self.suspicion_max
    }
}
