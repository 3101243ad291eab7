//! Times and bounds, as the operators set them.

use std::net::SocketAddr;

use doortrack::Tenths;

const MS: Tenths = 10;

/// Times in tenths of a ms. What is said of each is checked by who reads the operators' file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Addresses to knock at when joining, and now and then later, so that halves find together again.
    pub seeds: Vec<SocketAddr>,
    /// One member is probed each period.
    pub period: Tenths,
    /// An answer is waited for so long before helpers are asked; less than `period`.
    pub answer_within: Tenths,
    /// Helpers asked.
    pub helpers: usize,
    /// How long a doubt stands before the member counts as lost: when others share it, and on one's own word.
    pub doubt_least: Tenths,
    pub doubt_most: Tenths,
    /// News goes out so often while there is any, to so many members.
    pub news_every: Tenths,
    pub news_to: usize,
    /// Woken so much later than asked for, the process has stood still.
    pub stall: Tenths,
    /// Periods without any answer after which this node holds itself for the one that is cut off.
    pub silent_periods: u32,
    /// Wait before a member that came back twice is in the view again; doubled each time, up to the most.
    pub hold_first: Tenths,
    pub hold_most: Tenths,
    /// Lost and left members are forgotten after this.
    pub forget_after: Tenths,
    pub most_members: usize,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            seeds: Vec::new(),
            period: 200 * MS,
            answer_within: 70 * MS,
            helpers: 3,
            doubt_least: 400 * MS,
            doubt_most: 2_000 * MS,
            news_every: 50 * MS,
            news_to: 3,
            stall: 100 * MS,
            silent_periods: 4,
            hold_first: 1_000 * MS,
            hold_most: 30_000 * MS,
            forget_after: 60_000 * MS,
            most_members: 4_096,
        }
    }
}

impl Terms {
    /// How often a node knocks at a door that is not in its view.
    pub fn knock_every(&self) -> Tenths {
        self.period * 5
    }

    /// How long before its end a doubted member is looked at, and again half so long before.
    pub(crate) fn last_looks(&self) -> Tenths {
        self.answer_within * 3
    }

    /// Silence after which a member that answers late is no longer only slow.
    pub fn longest_wait(&self) -> Tenths {
        self.doubt_most
    }
}
