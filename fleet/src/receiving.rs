//! What a datagram means.

use std::net::SocketAddr;

use doortrack::Tenths;

use crate::fleet::{Fetch, Fleet, SAY, Stage};
use crate::probes::{Answered, ForOther, Probe};
use crate::table::Place;
use crate::{Action, Claim, Datagram, Head, Life, Message, News, Stand};

/// Stands for all those that hold a member for lost.
const OTHERS: u32 = 0;
/// Claims that any datagram may carry.
pub(crate) const MOST_HEARD: usize = 64;

impl Fleet {
    pub(crate) fn received(
        &mut self,
        now: Tenths,
        _from: SocketAddr,
        datagram: Datagram,
        out: &mut Vec<Action>,
    ) {
        let Datagram { head, message, claims } = datagram;
        let of_itself = matches!(head.of.stand, Stand::Alive | Stand::Left);
        if !head.of.is_sound() || !of_itself || claims.len() > MOST_HEARD {
            self.refused += 1;
            return;
        }
        if head.of.name == self.me.name {
            return self.on_myself(now, &head.of, true, out);
        }
        if message == Message::Join && head.to == Life(0) {
            if head.digest == self.view.digest {
                // It knows all of this already.
                let (to, life) = (head.of.address, head.of.life);
                return self.send_to(to, life, Message::Page { next: None }, Vec::new(), out);
            }
            return self.page(&head.of, None, out);
        }
        if head.to != self.me.life {
            // Meant for an earlier life, or very old: the sender learns of this one, nothing else is done.
            self.refused += 1;
            return self.send_to(head.of.address, head.of.life, Message::News, Vec::new(), out);
        }
        let Some(place) = self.first_hand(now, &head, &message, out) else { return };
        for claim in claims {
            self.hearsay(now, claim, out);
        }
        if self.stage == Stage::Joining {
            self.stage = Stage::Member;
            self.say = SAY;
            self.arm_news(now);
        }
        // A table like one's own is not read to its end.
        let message = match message {
            Message::Page { .. } if head.digest == self.view.digest => Message::Page { next: None },
            message => message,
        };
        self.act_on(now, place, message, out);
        self.compare(now, place, &head, out);
    }

    /// What it means that this member spoke to this life: its place, if it is to be listened to.
    fn first_hand(
        &mut self,
        now: Tenths,
        head: &Head,
        what: &Message,
        out: &mut Vec<Action>,
    ) -> Option<Place> {
        let Some(place) = self.table.place(&head.of.name) else {
            let place = self.take_up(now, head.of.clone(), out)?;
            self.table.get_mut(place)?.received.is_first(head.nth);
            return Some(place).filter(|_| head.of.stand != Stand::Left);
        };
        let known = self.table.get(place)?.claim.clone();
        if head.of.life < known.life {
            // An elder process of that name, or its last words: it is shown who came after it.
            self.refused += 1;
            self.send_to(head.of.address, head.of.life, Message::News, vec![known], out);
            return None;
        }
        if head.of.beats(&known) {
            self.take_up(now, head.of.clone(), out);
        }
        let member = self.table.get_mut(place)?;
        if !member.received.is_first(head.nth) {
            self.refused += 1;
            return None;
        }
        match member.claim.stand {
            Stand::Left => return None,
            Stand::Alive => {}
            // It lives, but only its own later turn says so to all. Pings are answered with the doubt anyway.
            Stand::Suspected { .. } | Stand::Lost => {
                if !matches!(what, Message::Ping { .. }) {
                    self.send(place, Message::News, out);
                }
            }
        }
        Some(place)
    }

    /// What others say of a member.
    fn hearsay(&mut self, now: Tenths, claim: Claim, out: &mut Vec<Action>) {
        if !claim.is_sound() {
            self.refused += 1;
            return;
        }
        if claim.name == self.me.name {
            return self.on_myself(now, &claim, false, out);
        }
        let Some(place) = self.table.place(&claim.name) else {
            // Of one never heard of, only that it is there is worth knowing.
            if claim.stand.is_there() {
                self.take_up(now, claim, out);
            }
            return;
        };
        let Some(known) = self.table.get(place).map(|member| &member.claim) else { return };
        let same = claim.life == known.life && claim.turn == known.turn;
        if claim.stand == Stand::Lost && known.stand.is_there() && claim.beats(known) {
            return self.said_to_be_lost(now, place, claim, out);
        }
        match (claim.stand, known.stand) {
            (Stand::Suspected { by }, Stand::Suspected { .. }) if same => {
                self.also_doubted(now, place, by);
            }
            _ if claim.beats(known) => _ = self.take_up(now, claim, out),
            _ => {}
        }
    }

    /// Others hold for lost who is there for this node: two halves that find together say so of one another's
    /// members. It is told to the member and doubted for the shortest time, in which it can contradict. Where
    /// it was doubted for longer already, there is time for the last looks at it.
    fn said_to_be_lost(&mut self, now: Tenths, place: Place, claim: Claim, out: &mut Vec<Action>) {
        let looks = self.terms.last_looks();
        let stand = Stand::Suspected { by: OTHERS };
        let doubted = Claim { stand, ..claim };
        let known = self.table.get(place).is_some_and(|member| doubted.beats(&member.claim));
        if known {
            self.take_up(now, doubted, out);
            self.send(place, Message::News, out);
        }
        let Some(doubt) = self.table.get_mut(place).and_then(|member| member.doubt.as_mut()) else { return };
        if doubt.confirm(now + looks) {
            self.arm_doubt(now, place);
        }
    }

    fn act_on(&mut self, now: Tenths, place: Place, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Ping { nonce } => self.send(place, Message::Ack { nonce }, out),
            Message::Ack { nonce } => self.answered(now, nonce, out),
            Message::PingFor { nonce, name, life } => {
                let of = self
                    .table
                    .place(&name)
                    .filter(|of| self.table.get(*of).is_some_and(|member| member.claim.life == life));
                let asker = self.table.get(place).map(|member| member.claim.name.clone());
                if let (Some(of), Some(asker)) = (of, asker) {
                    let own = self.chance.u32(..);
                    self.probes.for_other(ForOther { nonce: own, asker, askers: nonce });
                    self.send(of, Message::Ping { nonce: own }, out);
                }
            }
            Message::Ask { after } => {
                if let Some(claim) = self.table.get(place).map(|member| member.claim.clone()) {
                    self.page(&claim, after.as_ref(), out);
                }
            }
            Message::Page { next } => self.fetched(now, place, next, out),
            Message::Join | Message::News => {}
        }
    }

    fn answered(&mut self, now: Tenths, nonce: u32, out: &mut Vec<Action>) {
        match self.probes.answered(nonce) {
            Answered::InTime(probe) => {
                self.somebody_answers(now, out);
                self.took(now, probe, out);
            }
            Answered::Late(probe) => {
                self.somebody_answers(now, out);
                self.took(now, probe, out);
                // It lives, only late: what doubt there is begins anew, until its own word ends it.
                let thawed = self.table.get_mut(probe.place).and_then(|member| member.doubt.as_mut());
                if let Some(doubt) = thawed {
                    doubt.since = now;
                    self.arm_doubt(now, probe.place);
                }
            }
            Answered::ForOther(probe) => {
                if let Some(asker) = self.table.place(&probe.asker) {
                    self.send(asker, Message::Ack { nonce: probe.askers }, out);
                }
            }
            Answered::Nothing => {}
        }
    }

    /// How long a member took to answer; one that takes long is waited for longer.
    fn took(&mut self, now: Tenths, probe: Probe, out: &mut Vec<Action>) {
        let late = 3 * self.terms.answer_within;
        let Some(member) = self.table.get_mut(probe.place) else { return };
        if member.claim.life != probe.life {
            return;
        }
        let took = now.saturating_sub(probe.began).max(1);
        // Up at once, down slowly: a wait too short makes doubts.
        member.answers_in = if took > member.answers_in { took } else { (member.answers_in * 7 + took) / 8 };
        let slow = if member.slow { member.answers_in > late / 2 } else { member.answers_in > late };
        if slow && !member.slow {
            let (name, life) = (member.claim.name.clone(), member.claim.life);
            out.push(Action::Report(News::Slow { name, life, after: member.answers_in }));
        }
        member.slow = slow;
    }

    fn somebody_answers(&mut self, now: Tenths, out: &mut Vec<Action>) {
        self.answered = true;
        self.silent = 0;
        if self.frozen() {
            self.thawed_at = now;
        }
        self.dazed = false;
        if std::mem::take(&mut self.cut_off) {
            out.push(Action::Report(News::CutOff(false)));
        }
    }

    // --- Finding out what the other knows ---

    /// A member that rests on another view than this node for a while: its table is fetched.
    fn compare(&mut self, now: Tenths, place: Place, head: &Head, out: &mut Vec<Action>) {
        let calm = 4 * self.terms.news_every;
        if head.digest == self.view.digest || now < self.view_since + calm {
            return;
        }
        if self.fetch.as_ref().is_some_and(|fetch| fetch.till > now) || now < self.fetched_at + 5 * calm {
            return;
        }
        self.fetch = Some(Fetch { of: head.of.name.clone(), till: now + 5 * calm });
        self.fetched_at = now;
        self.send(place, Message::Ask { after: None }, out);
    }

    /// A page came: on with the next, if it is of the table that is being fetched or joined by.
    fn fetched(&mut self, now: Tenths, place: Place, next: Option<crate::Name>, out: &mut Vec<Action>) {
        let Some(name) = self.table.get(place).map(|member| member.claim.name.clone()) else { return };
        match (&self.fetch, next) {
            (Some(fetch), _) if fetch.of != name && fetch.till > now => {}
            (_, Some(next)) => {
                self.fetch = Some(Fetch { of: name, till: now + 20 * self.terms.news_every });
                self.send(place, Message::Ask { after: Some(next) }, out);
            }
            (_, None) => self.fetch = None,
        }
    }
}
