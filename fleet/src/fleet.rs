//! The whole of what a node knows of its fleet, and how it is told and asked.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use doortrack::Tenths;

use crate::doubt::Doubt;
use crate::gossip::Gossip;
use crate::probes::Probes;
use crate::table::{Place, Table};
use crate::{Action, CLAIM_BYTES, Claim, Datagram, Event, Head, Life, Message, Name, News, Seat, Stand};
use crate::{Terms, View};

/// Rounds in which a node tells of itself after something about it changed.
pub(crate) const SAY: u32 = 6;

/// Where the node itself stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Nobody has spoken to this life yet.
    Joining,
    Member,
    Leaving,
    /// Another process of the same name joined later.
    Displaced,
}

/// What is to be done at a time. What it was set for may be over by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    Period,
    /// No direct answer yet: ask helpers.
    Wait(u32),
    /// No answer at all.
    Over(u32),
    /// A doubt of this place that began then.
    Doubt(Place, Tenths),
    /// A last look at one that is about to be lost.
    Look(Place, Tenths),
    Admit(Place),
    News,
    Knock,
    /// A dead member with the claim of this version.
    Forget(Place, u32),
}

/// A table that is being fetched from another, page by page.
#[derive(Clone, Debug)]
pub(crate) struct Fetch {
    pub of: Name,
    pub till: Tenths,
}

/// One node's membership. See the crate's page for how to drive it.
pub struct Fleet {
    pub(crate) me: Claim,
    /// Tells this node from others that doubt.
    pub(crate) mark: u32,
    pub(crate) stage: Stage,
    pub(crate) terms: Terms,
    pub(crate) table: Table,
    pub(crate) view: View,
    pub(crate) view_since: Tenths,
    pub(crate) gossip: Gossip,
    pub(crate) probes: Probes,
    pub(crate) chance: fastrand::Rng,
    timers: BinaryHeap<Reverse<(Tenths, Timer)>>,
    pub(crate) nth: u64,
    /// Rounds in which to tell of itself.
    pub(crate) say: u32,
    pub(crate) news_armed: bool,
    /// Whether anybody answered since the last period, and for how many periods nobody has.
    pub(crate) answered: bool,
    pub(crate) silent: u32,
    pub(crate) cut_off: bool,
    /// Stood still, and has heard no answer since.
    pub(crate) dazed: bool,
    /// Doubts count from here at the earliest.
    pub(crate) thawed_at: Tenths,
    pub(crate) knocks: u32,
    pub(crate) fetch: Option<Fetch>,
    pub(crate) fetched_at: Tenths,
    pub(crate) twin: Life,
    /// Datagrams that were well formed and still made no sense or came twice.
    pub(crate) refused: u64,
}

impl Fleet {
    /// A node that has just started. `me.stand` and `me.turn` are set here.
    pub fn new(me: Claim, terms: Terms, seed: u64, now: Tenths) -> Fleet {
        let me = Claim { turn: 0, stand: Stand::Alive, ..me };
        let mut view = View::default();
        view.put(&me.name, Seat { life: me.life, address: me.address, weight: me.weight });
        let mut chance = fastrand::Rng::with_seed(seed ^ me.life.0);
        let alone = terms.seeds.iter().all(|seed| *seed == me.address);
        let mut fleet = Fleet {
            mark: chance.u32(1..),
            stage: if alone { Stage::Member } else { Stage::Joining },
            me,
            terms,
            table: Table::default(),
            view,
            view_since: now,
            gossip: Gossip::default(),
            probes: Probes::default(),
            chance,
            timers: BinaryHeap::new(),
            nth: 0,
            say: 0,
            news_armed: false,
            answered: false,
            silent: 0,
            cut_off: false,
            dazed: false,
            thawed_at: 0,
            knocks: 0,
            fetch: None,
            fetched_at: 0,
            twin: Life(0),
            refused: 0,
        };
        // Nodes that start at one instant must not probe at one instant ever after.
        let offset = fleet.chance.u64(0..fleet.terms.period);
        fleet.arm(now + offset, Timer::Period);
        fleet.arm(now, Timer::Knock);
        fleet
    }

    /// When [`Event::Turn`] is due at the latest; [`Tenths::MAX`] where nothing is.
    pub fn next_due(&self) -> Tenths {
        if self.stage == Stage::Displaced {
            return Tenths::MAX;
        }
        self.timers.peek().map_or(Tenths::MAX, |Reverse((at, _))| *at)
    }

    /// Tells what happened; `now` never goes back. What is to be done is added to `out`, in order.
    pub fn handle(&mut self, now: Tenths, event: Event, out: &mut Vec<Action>) {
        if self.stage == Stage::Displaced {
            return;
        }
        let late = now.saturating_sub(self.next_due());
        if late > self.terms.stall && !self.dazed {
            // Answers may lie unread, or were lost while nobody read: what was begun says nothing.
            self.dazed = true;
            self.probes.drop_all();
            out.push(Action::Report(News::StoodStill { late }));
        }
        match event {
            Event::Turn => self.turn(now, out),
            Event::Received { from, datagram } => self.received(now, from, datagram, out),
            Event::Leave => self.leave(now, out),
            Event::Changed { terms } => {
                self.terms = *terms;
            }
        }
    }

    pub fn view(&self) -> &View {
        &self.view
    }

    /// The node itself, as it tells others.
    pub fn me(&self) -> &Claim {
        &self.me
    }

    /// Whether nobody answers this node.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off
    }

    pub fn is_displaced(&self) -> bool {
        self.stage == Stage::Displaced
    }

    pub(crate) fn frozen(&self) -> bool {
        self.cut_off || self.dazed
    }

    pub(crate) fn arm(&mut self, at: Tenths, timer: Timer) {
        self.timers.push(Reverse((at, timer)));
    }

    pub(crate) fn due(&mut self, now: Tenths) -> Option<Timer> {
        let Reverse((at, timer)) = self.timers.peek().copied()?;
        if at > now {
            return None;
        }
        self.timers.pop();
        Some(timer)
    }

    /// News goes out soon, if it does not already.
    pub(crate) fn arm_news(&mut self, now: Tenths) {
        if !self.news_armed {
            self.news_armed = true;
            // A little chance keeps those that heard the same thing from passing it on in one instant.
            let wait = self.chance.u64(0..self.terms.news_every.max(1));
            self.arm(now + wait, Timer::News);
        }
    }

    // --- Sending ---

    fn head(&mut self, to: Life) -> Head {
        self.nth += 1;
        Head { of: self.me.clone(), to, nth: self.nth, digest: self.view.digest, view: self.view.number }
    }

    /// Sends to a member, with what is thought of it if that is not the best, and what there is of news.
    pub(crate) fn send(&mut self, place: Place, message: Message, out: &mut Vec<Action>) {
        let Some(member) = self.table.get(place) else { return };
        let (to, life) = (member.claim.address, member.claim.life);
        let mut places = Vec::new();
        let mut claims = Vec::new();
        let mut room = CLAIM_BYTES;
        if member.claim.stand != Stand::Alive {
            room = room.saturating_sub(member.claim.most_bytes());
            claims.push(member.claim.clone());
        }
        let (table, members) = (&self.table, self.view.members.len());
        let bytes = |place: Place, version: u32| {
            table.get(place).filter(|of| of.version == version).map(|of| of.claim.most_bytes())
        };
        self.gossip.take((room, claims.len()), members, bytes, &mut places);
        claims.extend(places.iter().filter_map(|place| self.table.get(*place)).map(|of| of.claim.clone()));
        let datagram = Box::new(Datagram { head: self.head(life), message, claims });
        out.push(Action::Send { to, datagram });
    }

    /// Sends to who is not, or not in this life, in the table.
    pub(crate) fn send_to(
        &mut self,
        to: SocketAddr,
        life: Life,
        message: Message,
        claims: Vec<Claim>,
        out: &mut Vec<Action>,
    ) {
        let datagram = Box::new(Datagram { head: self.head(life), message, claims });
        out.push(Action::Send { to, datagram });
    }

    // --- What is thought of members ---

    /// Takes up a word on a member that holds against what was known, with all that follows.
    pub(crate) fn take_up(&mut self, now: Tenths, claim: Claim, out: &mut Vec<Action>) -> Option<Place> {
        let Some(place) = self.table.place(&claim.name) else { return self.newcomer(now, claim, out) };
        let member = self.table.get_mut(place)?;
        let old = member.claim.clone();
        let reborn = claim.life != old.life;
        if reborn {
            (member.received, member.answers_in, member.slow) = (Default::default(), 0, false);
        }
        let was_there = old.stand.is_there() && !reborn;
        if !matches!(claim.stand, Stand::Suspected { .. }) || reborn || claim.turn != old.turn {
            member.doubt = None;
        }
        // Who left on its own word comes back as often as it likes.
        let returns = claim.stand.is_there() && old.stand != Stand::Left && (reborn || !old.stand.is_there());
        self.table.set(place, claim.clone(), now);
        if returns {
            self.came_back(now, place, out);
        }
        self.passed_on(now, place);
        self.told(now, place, &claim, was_there.then_some(old.stand), out);
        Some(place)
    }

    /// The claim of a member is news for the others.
    pub(crate) fn passed_on(&mut self, now: Tenths, place: Place) {
        if let Some(member) = self.table.get(place) {
            self.gossip.add(place, member.version);
            self.arm_news(now);
        }
    }

    fn newcomer(&mut self, now: Tenths, claim: Claim, out: &mut Vec<Action>) -> Option<Place> {
        if self.table.len() >= self.terms.most_members {
            out.push(Action::Report(News::NoRoom { name: claim.name }));
            return None;
        }
        let place = self.table.insert(claim.clone(), now);
        self.passed_on(now, place);
        self.told(now, place, &claim, None, out);
        Some(place)
    }

    /// What a new word means for the view and the log. `was` is how the same life stood, if it was there.
    fn told(&mut self, now: Tenths, place: Place, claim: &Claim, was: Option<Stand>, out: &mut Vec<Action>) {
        let (name, life) = (claim.name.clone(), claim.life);
        match claim.stand {
            Stand::Alive => {
                let cleared = matches!(was, Some(Stand::Suspected { .. }));
                if was.is_none() {
                    self.admit(now, place, out);
                } else if cleared {
                    out.push(Action::Report(News::Cleared { name, life }));
                }
            }
            Stand::Suspected { by } => {
                if was.is_none() {
                    self.admit(now, place, out);
                }
                self.doubted(now, place, by, out);
            }
            Stand::Lost | Stand::Left => {
                if let Some(member) = self.table.get_mut(place) {
                    member.held_until = None;
                    let version = member.version;
                    self.arm(now + self.terms.forget_after, Timer::Forget(place, version));
                }
                self.change_view(now, |view| view.remove(&name));
                if was.is_some() {
                    let left = claim.stand == Stand::Left;
                    out.push(Action::Report(if left {
                        News::Left { name, life }
                    } else {
                        News::Lost { name, life }
                    }));
                }
            }
        }
    }

    fn doubted(&mut self, now: Tenths, place: Place, by: u32, out: &mut Vec<Action>) {
        let members = self.view.members.len();
        let Some(member) = self.table.get_mut(place) else { return };
        let (name, life) = (member.claim.name.clone(), member.claim.life);
        member.doubt.get_or_insert(Doubt::new(by, now));
        self.arm_doubt(now, place);
        out.push(Action::Report(News::Suspected { name, life }));
        // A few of all that hear of it try for themselves, however many there are.
        let helpers = self.terms.helpers as f64;
        if by != self.mark && self.chance.f64() * members as f64 <= helpers {
            self.probe(now, place, out);
        }
    }

    /// Somebody else's doubt about a member that is doubted already; whether it counts.
    pub(crate) fn also_doubted(&mut self, now: Tenths, place: Place, by: u32) -> bool {
        let Some(member) = self.table.get_mut(place) else { return false };
        let mut claim = member.claim.clone();
        let Some(doubt) = member.doubt.as_mut().filter(|doubt| !doubt.is_shared_by(by)) else { return false };
        doubt.share(by);
        self.arm_doubt(now, place);
        // Passed on, as it is a word of its own.
        claim.stand = Stand::Suspected { by };
        self.table.set(place, claim, now);
        self.passed_on(now, place);
        true
    }

    /// Sets the end of a doubt, and two last looks before it: a word that cleared it may have passed this
    /// node by, as news reaches all but one in some thousands.
    pub(crate) fn arm_doubt(&mut self, now: Tenths, place: Place) {
        let (members, thawed_at) = (self.view.members.len(), self.thawed_at);
        let Some(doubt) = self.table.get(place).and_then(|member| member.doubt) else { return };
        let ends = doubt.ends(&self.terms, members, thawed_at).max(now);
        self.arm(ends, Timer::Doubt(place, doubt.since));
        let looks = self.terms.last_looks();
        for before in [looks, looks / 2] {
            self.arm(ends.saturating_sub(before).max(now), Timer::Look(place, doubt.since));
        }
    }

    pub(crate) fn change_view(&mut self, now: Tenths, change: impl FnOnce(&mut View)) {
        let before = self.view.number;
        change(&mut self.view);
        if self.view.number != before {
            self.view_since = now;
        }
    }
}
