//! How long a doubt stands before its member counts as lost.

use doortrack::Tenths;

use crate::Terms;

/// Others whose word shortens a doubt.
const MOST_OTHERS: usize = 2;

/// A doubt about one member.
#[derive(Clone, Copy, Debug)]
pub struct Doubt {
    pub since: Tenths,
    first: u32,
    others: [u32; MOST_OTHERS],
    count: usize,
    /// It ends no earlier: a doubt that began long ago must not end at a word of others before the member was
    /// looked at once more.
    not_before: Tenths,
}

impl Doubt {
    pub fn new(by: u32, since: Tenths) -> Doubt {
        Doubt { since, first: by, others: [0; MOST_OTHERS], count: 0, not_before: 0 }
    }

    /// Whether this one's word is counted already, or can't be any more.
    pub fn is_shared_by(&self, by: u32) -> bool {
        by == self.first || self.others[..self.count].contains(&by) || self.count == MOST_OTHERS
    }

    /// Takes note of another that doubts, where [`Doubt::is_shared_by`] did not say that it is known.
    pub fn share(&mut self, by: u32) {
        if !self.is_shared_by(by) {
            self.others[self.count] = by;
            self.count += 1;
        }
    }

    /// Others hold it for lost already: all the word that is wanted, but it ends no earlier than
    /// `not_before`. Whether it was still wanting.
    pub fn confirm(&mut self, not_before: Tenths) -> bool {
        let wanting = std::mem::replace(&mut self.count, MOST_OTHERS) < MOST_OTHERS;
        if wanting {
            self.not_before = not_before;
        }
        wanting
    }

    /// When the member counts as lost, in a view of so many. Where fewer than two others could share the
    /// doubt, it takes those there are; where nobody can, it stands to the last. Time before `thawed_at` does
    /// not count.
    pub fn ends(&self, terms: &Terms, members: usize, thawed_at: Tenths) -> Tenths {
        let since = self.since.max(thawed_at);
        let wanted = members.saturating_sub(2).min(MOST_OTHERS);
        let (least, most) = (terms.doubt_least, terms.doubt_most.max(terms.doubt_least));
        if wanted == 0 {
            return since + most;
        }
        let missing = wanted.saturating_sub(self.count) as u64;
        (since + least + (most - least) * missing / wanted as u64).max(self.not_before)
    }
}
