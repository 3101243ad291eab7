//! Timing and bounds of membership, as the operators set them.

use doortrack_time::{MILLISECOND, TenthMillis};
use std::net::SocketAddr;

/// Timing and bounds. All times are in tenths of a millisecond. The reader of the operators' file
/// checks their ranges; nothing here does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parameters {
    /// Addresses that join requests go to, at start and now and then later, so that a split fleet
    /// heals.
    pub seeds: Vec<SocketAddr>,
    /// One member is probed in each period.
    pub probe_period: TenthMillis,
    /// How long a direct answer is awaited before indirect probers are asked; less than `period`.
    pub ack_timeout: TenthMillis,
    /// Members that are asked to probe in this node's place when there is no direct answer.
    pub indirect_probers: usize,
    /// How long a suspicion that others confirmed lasts before the member is declared dead.
    pub suspicion_min: TenthMillis,
    /// The same for a suspicion that nobody confirmed.
    pub suspicion_max: TenthMillis,
    /// The interval at which pending updates are sent.
    pub gossip_interval: TenthMillis,
    /// Members that each round of updates goes to.
    pub gossip_fanout: usize,
    /// A process that runs later than it asked for by more than this counts as having been paused.
    pub max_lateness: TenthMillis,
    /// Periods without any answer after which this node considers itself isolated.
    pub max_silent_periods: u32,
    /// How long a member that came back for the second time is kept out of the view; doubled with
    /// each further return.
    pub initial_hold: TenthMillis,
    /// The longest time that a member is kept out of the view.
    pub max_hold: TenthMillis,
    /// Dead and left members are forgotten after this.
    pub forget_after: TenthMillis,
    /// Members that the table holds beside this node; further ones are left out.
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

    /// How long before its end a suspected member is first probed finally; again after half of it.
    pub(crate) fn final_probes(&self) -> TenthMillis {
        self.ack_timeout * 3
    }

    /// The longest time that an answer is awaited, however slow the member.
    pub fn max_wait(&self) -> TenthMillis {
        self.suspicion_max
    }
}
