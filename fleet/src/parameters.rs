//! Times and bounds, as the operators set them.

use std::net::SocketAddr;

use doortrack::Tenths;

const MS: Tenths = 10;

/// Times in tenths of a ms. What is said of each is checked by who reads the operators' file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parameters {
    /// Addresses to ask when joining, and now and then later, so that halves find together again.
    pub seeds: Vec<SocketAddr>,
    /// One member is probed each period.
    pub period: Tenths,
    /// An answer is waited for so long before indirect probers are asked; less than `period`.
    pub answer_within: Tenths,
    /// Members that are asked to probe in its place.
    pub indirect_probers: usize,
    /// How long a suspicion stands before the member is declared dead: when others share it, and on one's own
    /// word.
    pub suspicion_min: Tenths,
    pub suspicion_max: Tenths,
    /// Pending updates go out so often while there are any, to so many members.
    pub gossip_interval: Tenths,
    pub gossip_fanout: usize,
    /// Woken by more than this later than asked for, the process counts as having been paused.
    pub max_lateness: Tenths,
    /// Periods without any answer after which this node considers itself isolated.
    pub silent_periods: u32,
    /// Wait before a member that came back twice is in the view again; doubled each time, up to the most.
    pub hold_first: Tenths,
    pub hold_max: Tenths,
    /// Dead and left members are forgotten after this.
    pub forget_after: Tenths,
    pub max_members: usize,
}

impl Default for Parameters {
    fn default() -> Parameters {
        Parameters {
            seeds: Vec::new(),
            period: 200 * MS,
            answer_within: 70 * MS,
            indirect_probers: 3,
            suspicion_min: 400 * MS,
            suspicion_max: 2_000 * MS,
            gossip_interval: 50 * MS,
            gossip_fanout: 3,
            max_lateness: 100 * MS,
            silent_periods: 4,
            hold_first: 1_000 * MS,
            hold_max: 30_000 * MS,
            forget_after: 60_000 * MS,
            max_members: 4_096,
        }
    }
}

impl Parameters {
    /// How often a node asks to join where it knows of nobody in its view.
    pub fn join_request_interval(&self) -> Tenths {
        self.period * 5
    }

    /// Silence after which a member that answers late is no longer only slow.
    pub fn max_wait(&self) -> Tenths {
        self.suspicion_max
    }
}
