//! How long a suspicion stands before its member is declared dead.

use doortrack::Tenths;

use crate::Parameters;

/// Others whose word shortens a suspicion.
const MAX_CONFIRMATIONS: usize = 2;

/// A suspicion about one member.
#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    pub since: Tenths,
    first: u32,
    others: [u32; MAX_CONFIRMATIONS],
    count: usize,
}

impl Suspicion {
    pub fn new(by: u32, since: Tenths) -> Suspicion {
        Suspicion { since, first: by, others: [0; MAX_CONFIRMATIONS], count: 0 }
    }

    /// Whether this one's word is counted already, or can't be any more.
    pub fn is_confirmed_by(&self, by: u32) -> bool {
        by == self.first || self.others[..self.count].contains(&by) || self.count == MAX_CONFIRMATIONS
    }

    /// Takes note of another that suspects, where [`Suspicion::is_confirmed_by`] did not say that it is
    /// known.
    pub fn confirm(&mut self, by: u32) {
        if !self.is_confirmed_by(by) {
            self.others[self.count] = by;
            self.count += 1;
        }
    }

    /// Others have declared it dead already: no further confirmation is needed. Whether it was still wanting.
    pub fn confirm_fully(&mut self) -> bool {
        std::mem::replace(&mut self.count, MAX_CONFIRMATIONS) < MAX_CONFIRMATIONS
    }

    /// When the member is declared dead, in a view of so many. Where fewer than two others could share the
    /// suspicion, it takes those there are; where nobody can, it stands to the last. Time before `resumed_at`
    /// does not count.
    pub fn ends(&self, parameters: &Parameters, members: usize, resumed_at: Tenths) -> Tenths {
        let since = self.since.max(resumed_at);
        let wanted = members.saturating_sub(2).min(MAX_CONFIRMATIONS);
        let (min, max) = (parameters.suspicion_min, parameters.suspicion_max.max(parameters.suspicion_min));
        if wanted == 0 {
            return since + max;
        }
        let missing = wanted.saturating_sub(self.count) as u64;
        since + min + (max - min) * missing / wanted as u64
    }
}
