//! Tracks probes: pending ones, recently failed ones, and those made for other nodes.

use std::collections::VecDeque;

use crate::table::MemberIndex;
use crate::{Incarnation, Name};
use doortrack_time::TenthMillis;

/// Maximum number of pending probes: one per period, and those that check suspicions of others.
const MAX_PENDING: usize = 16;
/// Maximum number of remembered failed probes. A late answer to one shows how slow the member is.
const MAX_FAILED: usize = 32;
/// Maximum number of remembered probes for other nodes; the oldest is dropped first.
const MAX_INDIRECT: usize = 64;

/// A probe of one member.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// Returned in the answer.
    pub nonce: u32,
    /// The probed member.
    pub index: MemberIndex,
    /// The member's incarnation when the probe was sent.
    pub incarnation: Incarnation,
    /// When the probe was sent, in tenths of a millisecond.
    pub sent_at: TenthMillis,
}

/// A probe made at the request of another node.
#[derive(Clone, Debug)]
pub struct IndirectProbe {
    /// The nonce of this node's ping.
    pub nonce: u32,
    /// The node that requested the probe.
    pub requester: Name,
    /// The nonce of the request.
    pub requester_nonce: u32,
}

/// The probes of one node; every list is bounded.
#[derive(Default)]
pub struct Probes {
    pending: Vec<Probe>,
    failed: VecDeque<Probe>,
    indirect: VecDeque<IndirectProbe>,
}

/// The probe that an answer belongs to.
pub enum AnsweredProbe {
    /// A pending probe.
    InTime(Probe),
    /// A probe that had already failed.
    Late(Probe),
    /// A probe made for another node.
    IndirectProbe(IndirectProbe),
    /// No remembered probe.
    Unknown,
}

impl Probes {
    /// Records a probe. Returns `false` if [`MAX_PENDING`] are pending already, in which case the
    /// probe must not be sent.
    pub fn try_begin(&mut self, probe: Probe) -> bool {
        let is_accepted = self.pending.len() < MAX_PENDING;
        if is_accepted {
            self.pending.push(probe);
        }
        is_accepted
    }

    /// Returns true if a probe of this member is pending.
    pub fn is_pending(&self, index: MemberIndex) -> bool {
        self.pending.iter().any(|probe| probe.index == index)
    }

    /// The pending probe with this nonce.
    pub fn get(&self, nonce: u32) -> Option<Probe> {
        self.pending
            .iter()
            .find(|probe| probe.nonce == nonce)
            .copied()
    }

    /// Moves a pending probe that was not answered in time to the failed ones.
    pub fn fail(&mut self, nonce: u32) -> Option<Probe> {
        let index = self.pending.iter().position(|probe| probe.nonce == nonce)?;
        let probe = self.pending.swap_remove(index);
        if self.failed.len() >= MAX_FAILED {
            self.failed.pop_front();
        }
        self.failed.push_back(probe);
        Some(probe)
    }

    /// Removes and returns the probe that an answer belongs to.
    pub fn take_answered(&mut self, nonce: u32) -> AnsweredProbe {
        if let Some(index) = self.pending.iter().position(|probe| probe.nonce == nonce) {
            return AnsweredProbe::InTime(self.pending.swap_remove(index));
        }
        if let Some(index) = self.failed.iter().position(|probe| probe.nonce == nonce) {
            return self
                .failed
                .remove(index)
                .map_or(AnsweredProbe::Unknown, AnsweredProbe::Late);
        }
        let index = self.indirect.iter().position(|probe| probe.nonce == nonce);
        index
            .and_then(|index| self.indirect.remove(index))
            .map_or(AnsweredProbe::Unknown, AnsweredProbe::IndirectProbe)
    }

    /// Records a probe made for another node.
    pub fn record_indirect(&mut self, probe: IndirectProbe) {
        if self.indirect.len() >= MAX_INDIRECT {
            self.indirect.pop_front();
        }
        self.indirect.push_back(probe);
    }

    /// Forgets the pending probes, which prove nothing after a pause of the process.
    pub fn drop_pending(&mut self) {
        self.pending.clear();
    }
}
