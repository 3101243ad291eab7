//! Bookkeeping of probes: those under way, those that failed lately, and those made for other
//! nodes.

use std::collections::VecDeque;

use crate::table::MemberIndex;
use crate::{Incarnation, Name};
use doortrack_time::TenthMillis;

/// Probes under way at once: one each period, and those that confirm suspicions of others.
const MAX_PENDING: usize = 16;
/// Failed probes that are remembered, as a late answer shows how slow the member is.
const MAX_LATE: usize = 32;
/// Probes made for other nodes that are remembered; the oldest is dropped first.
const MAX_INDIRECT: usize = 64;

/// A probe of one member.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// Comes back with the answer.
    pub nonce: u32,
    /// The member that is probed.
    pub index: MemberIndex,
    /// Its incarnation at that time.
    pub incarnation: Incarnation,
    /// When it was sent, in tenths of a millisecond.
    pub sent_at: TenthMillis,
}

/// A probe that another node asked for.
#[derive(Clone, Debug)]
pub struct IndirectProbe {
    /// Of this node's ping.
    pub nonce: u32,
    /// The node that asked.
    pub asker: Name,
    /// The nonce of its request.
    pub asker_nonce: u32,
}

/// All probes of one node; every list is bounded.
#[derive(Default)]
pub struct Probes {
    pending: Vec<Probe>,
    late: VecDeque<Probe>,
    indirect: VecDeque<IndirectProbe>,
}

/// Which probe an answer belongs to.
pub enum AnsweredProbe {
    /// One under way.
    InTime(Probe),
    /// One that had failed.
    Late(Probe),
    /// One that was made for another node.
    IndirectProbe(IndirectProbe),
    /// None that is remembered.
    Nothing,
}

impl Probes {
    /// Records a probe; `false` if [`MAX_PENDING`] are under way already and it must not be sent.
    pub fn begin(&mut self, probe: Probe) -> bool {
        let accepted = self.pending.len() < MAX_PENDING;
        if accepted {
            self.pending.push(probe);
        }
        accepted
    }

    /// Whether a probe of this member is under way.
    pub fn is_pending(&self, index: MemberIndex) -> bool {
        self.pending.iter().any(|probe| probe.index == index)
    }

    /// The probe under way with this nonce.
    pub fn get(&self, nonce: u32) -> Option<Probe> {
        self.pending
            .iter()
            .find(|probe| probe.nonce == nonce)
            .copied()
    }

    /// Moves a probe that was not answered in time to the failed ones.
    pub fn fail(&mut self, nonce: u32) -> Option<Probe> {
        let index = self.pending.iter().position(|probe| probe.nonce == nonce)?;
        let probe = self.pending.swap_remove(index);
        if self.late.len() >= MAX_LATE {
            self.late.pop_front();
        }
        self.late.push_back(probe);
        Some(probe)
    }

    /// Takes out the probe that an answer belongs to.
    pub fn answered(&mut self, nonce: u32) -> AnsweredProbe {
        if let Some(index) = self.pending.iter().position(|probe| probe.nonce == nonce) {
            return AnsweredProbe::InTime(self.pending.swap_remove(index));
        }
        if let Some(index) = self.late.iter().position(|probe| probe.nonce == nonce) {
            return self
                .late
                .remove(index)
                .map_or(AnsweredProbe::Nothing, AnsweredProbe::Late);
        }
        let index = self.indirect.iter().position(|probe| probe.nonce == nonce);
        index
            .and_then(|index| self.indirect.remove(index))
            .map_or(AnsweredProbe::Nothing, AnsweredProbe::IndirectProbe)
    }

    /// Records a probe made for another node.
    pub fn begin_indirect(&mut self, probe: IndirectProbe) {
        if self.indirect.len() >= MAX_INDIRECT {
            self.indirect.pop_front();
        }
        self.indirect.push_back(probe);
    }

    /// Forgets the probes under way: after a pause of the process they prove nothing.
    pub fn drop_all(&mut self) {
        self.pending.clear();
    }
}
