//! Probes under way, and those that were made for others.

use std::collections::VecDeque;

use doortrack::Tenths;

use crate::table::MemberIndex;
use crate::{Incarnation, Name};

/// Probes under way at once: one a period and second opinions.
const MAX_UNDER_WAY: usize = 16;
/// Probes that failed whose answer may still come and tells how late the member is.
const MAX_LATE: usize = 32;
/// Probes made for others.
const MAX_INDIRECT: usize = 64;

#[derive(Clone, Copy, Debug)]
pub struct Probe {
    pub nonce: u32,
    pub index: MemberIndex,
    pub incarnation: Incarnation,
    pub began: Tenths,
}

#[derive(Clone, Debug)]
pub struct IndirectProbe {
    pub nonce: u32,
    pub asker: Name,
    pub asker_nonce: u32,
}

#[derive(Default)]
pub struct Probes {
    under_way: Vec<Probe>,
    late: VecDeque<Probe>,
    indirect: VecDeque<IndirectProbe>,
}

/// What an answer belongs to.
pub enum Answered {
    InTime(Probe),
    Late(Probe),
    IndirectProbe(IndirectProbe),
    Nothing,
}

impl Probes {
    /// Whether there was room for it.
    pub fn begin(&mut self, probe: Probe) -> bool {
        let room = self.under_way.len() < MAX_UNDER_WAY;
        if room {
            self.under_way.push(probe);
        }
        room
    }

    pub fn is_under_way(&self, index: MemberIndex) -> bool {
        self.under_way.iter().any(|probe| probe.index == index)
    }

    pub fn get(&self, nonce: u32) -> Option<Probe> {
        self.under_way.iter().find(|probe| probe.nonce == nonce).copied()
    }

    /// Takes out one that is over without an answer; an answer that comes after all tells how late it was.
    pub fn fail(&mut self, nonce: u32) -> Option<Probe> {
        let index = self.under_way.iter().position(|probe| probe.nonce == nonce)?;
        let probe = self.under_way.swap_remove(index);
        if self.late.len() >= MAX_LATE {
            self.late.pop_front();
        }
        self.late.push_back(probe);
        Some(probe)
    }

    pub fn answered(&mut self, nonce: u32) -> Answered {
        if let Some(index) = self.under_way.iter().position(|probe| probe.nonce == nonce) {
            return Answered::InTime(self.under_way.swap_remove(index));
        }
        if let Some(index) = self.late.iter().position(|probe| probe.nonce == nonce) {
            return self.late.remove(index).map_or(Answered::Nothing, Answered::Late);
        }
        let index = self.indirect.iter().position(|probe| probe.nonce == nonce);
        index.and_then(|index| self.indirect.remove(index)).map_or(Answered::Nothing, Answered::IndirectProbe)
    }

    pub fn begin_indirect(&mut self, probe: IndirectProbe) {
        if self.indirect.len() >= MAX_INDIRECT {
            self.indirect.pop_front();
        }
        self.indirect.push_back(probe);
    }

    /// Nothing that was begun counts any more.
    pub fn drop_all(&mut self) {
        self.under_way.clear();
    }
}
