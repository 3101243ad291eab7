//! How a node gets in, comes back, leaves, and what becomes of a name that is used twice.

use doortrack::Tenths;

use crate::fleet::{Fleet, SAY, Stage, Timer};
use crate::receiving::MOST_HEARD;
use crate::table::Place;
use crate::{Action, CLAIM_BYTES, Claim, Life, Message, News, Seat, Stand};

/// Knocks at seeds that are all made; later ones only now and then.
const EARLY_KNOCKS: u32 = 5;
const SELDOM: u32 = 4;
/// Seeds that are knocked at together.
const MOST_AT_ONCE: usize = 3;

impl Fleet {
    /// Knocks where somebody may be who is not in the view: at one that is lost, now and then at a seed, and
    /// at seeds alone while nobody answers.
    pub(crate) fn knock(&mut self, out: &mut Vec<Action>) {
        self.knocks = self.knocks.saturating_add(1);
        let lonely = self.stage == Stage::Joining || self.cut_off || self.table.there() == 0;
        // All started at once, nodes find together in islands at first.
        let often = self.knocks <= EARLY_KNOCKS || self.knocks.is_multiple_of(SELDOM);
        let most = if lonely || self.knocks <= EARLY_KNOCKS { MOST_AT_ONCE } else { usize::from(often) };
        let seeds = self.terms.seeds.len().min(most);
        let from = self.chance.usize(..self.terms.seeds.len().max(1));
        for nth in 0..seeds {
            let seed = self.terms.seeds[(from + nth) % self.terms.seeds.len()];
            if seed != self.me.address {
                self.send_to(seed, Life(0), Message::Join, Vec::new(), out);
            }
        }
        if let Some(place) = self.table.some_lost(&mut self.chance) {
            let nonce = self.chance.u32(..);
            self.send(place, Message::Ping { nonce }, out);
        }
    }

    /// Answers one that knocks, or goes on with the table. Nothing is thought of who merely knocks: it may
    /// be an old datagram. It is a member once it speaks to this life.
    pub(crate) fn page(&mut self, to: &Claim, after: Option<&crate::Name>, out: &mut Vec<Action>) {
        let (mut claims, mut bytes, mut next) = (Vec::new(), 0, None);
        for member in self.table.after(after) {
            if bytes > CLAIM_BYTES || claims.len() >= MOST_HEARD {
                next = claims.last().map(|claim: &Claim| claim.name.clone());
                break;
            }
            bytes += member.claim.most_bytes();
            claims.push(member.claim.clone());
        }
        self.send_to(to.address, to.life, Message::Page { next }, claims, out);
    }

    /// A member is in the view from here on, unless it is held back.
    pub(crate) fn admit(&mut self, now: Tenths, place: Place, out: &mut Vec<Action>) {
        let Some(member) = self.table.get_mut(place).filter(|of| of.claim.stand.is_there()) else { return };
        if member.held_until.is_some_and(|till| till > now) {
            return;
        }
        member.held_until = None;
        let claim = &member.claim;
        let (name, life, back) = (claim.name.clone(), claim.life, member.returns > 0);
        let seat = Seat { life, address: claim.address, weight: claim.weight };
        self.change_view(now, |view| view.put(&name, seat));
        out.push(Action::Report(News::Alive { name, life, back }));
    }

    /// Counts that a member came back, and holds it back if it does so again and again. The first return is
    /// free, as after a restart or a broken link.
    pub(crate) fn came_back(&mut self, now: Tenths, place: Place, out: &mut Vec<Action>) {
        let (first, most) = (self.terms.hold_first, self.terms.hold_most);
        let Some(member) = self.table.get_mut(place) else { return };
        if member.returned_at + 2 * most < now {
            member.returns = 0;
        }
        member.returns = member.returns.saturating_add(1);
        member.returned_at = now;
        if member.returns < 2 {
            return;
        }
        let wait = most.min(first << (member.returns - 2).min(20));
        member.held_until = Some(now + wait);
        let (name, life) = (member.claim.name.clone(), member.claim.life);
        self.arm(now + wait, Timer::Admit(place));
        self.change_view(now, |view| view.remove(&name));
        out.push(Action::Report(News::HeldBack { name, life, wait }));
    }

    /// Says that it leaves, at once and in some rounds more.
    pub(crate) fn leave(&mut self, now: Tenths, out: &mut Vec<Action>) {
        if self.stage == Stage::Leaving {
            return;
        }
        self.stage = Stage::Leaving;
        self.me.stand = Stand::Left;
        let name = self.me.name.clone();
        self.change_view(now, |view| view.remove(&name));
        self.say = SAY;
        self.news(now, out);
    }

    /// A word on this node's own name.
    pub(crate) fn on_myself(&mut self, now: Tenths, claim: &Claim, first_hand: bool, out: &mut Vec<Action>) {
        if claim.life == self.me.life {
            let doubted = claim.stand != Stand::Alive && claim.turn >= self.me.turn && !first_hand;
            if doubted && claim.stand == Stand::Left && self.stage != Stage::Leaving {
                // Final for that life, which this one therefore can't be.
                self.live_on(now, claim.life, out);
            } else if doubted && self.stage != Stage::Leaving {
                self.me.turn = claim.turn + 1;
                self.say = SAY;
                self.arm_news(now);
            }
        } else if claim.life < self.me.life {
            if first_hand {
                // It learns of this life by the head, and steps aside.
                self.send_to(claim.address, claim.life, Message::News, Vec::new(), out);
                if self.twin != claim.life {
                    self.twin = claim.life;
                    out.push(Action::Report(News::Twin { life: claim.life, address: claim.address }));
                }
            }
        } else if self.stage == Stage::Joining || !claim.stand.is_there() || claim.address == self.me.address
        {
            // That life is over, as only this process is where it was, or this one joins after it.
            self.live_on(now, claim.life, out);
        } else {
            self.stage = Stage::Displaced;
            out.push(Action::Report(News::Displaced { by: claim.life, address: claim.address }));
        }
    }

    /// Goes on under a life younger than `than`.
    fn live_on(&mut self, now: Tenths, than: Life, out: &mut Vec<Action>) {
        self.me.life = Life(than.0.saturating_add(1 + self.chance.u64(..256)));
        self.me.turn = 0;
        let (name, claim) = (self.me.name.clone(), &self.me);
        let seat = Seat { life: claim.life, address: claim.address, weight: claim.weight };
        self.change_view(now, |view| view.put(&name, seat));
        self.say = SAY;
        self.arm_news(now);
        out.push(Action::Report(News::NewLife { life: self.me.life }));
    }
}
