//! A node kept apart from the module's own counts: it plays legal histories and checks the four rules.
#![allow(dead_code)] // Each test file uses a part of it.

use std::collections::{BTreeMap, BTreeSet};

use doortrack_admission::logic::Door;
use doortrack_admission::*;
use doortrack_time::{MILLISECOND, TenthMillis};

pub fn contract() -> ServiceContract {
    let group = |effect, calls| EndpointGroup {
        effect,
        slo_time: 1500 * MILLISECOND,
        slo_stretch: 0.0,
        deadline: 4000 * MILLISECOND,
        window: 6000 * MILLISECOND,
        benefit: 1.0,
        late_share: 0.0,
        skip_share: 0.0,
        calls,
    };
    ServiceContract {
        cores: 4,
        memory_kb: 20_000.0,
        run_factor: 8.0,
        record_kb: 100.0,
        groups: vec![
            group(Effect::Repeatable, true),
            group(Effect::Deduplicated, true),
            group(Effect::Mutating, true),
        ],
        customers: vec![50.0, 20.0],
        over_share: 0.05,
        by_work: false,
        nodes: 10,
        stop: StopKind::Drop,
        level: LevelKind::LowestRank,
        level_lasts: 1000 * MILLISECOND,
        fresh: 0,
        calls_share: None,
        calls_window: 5000 * MILLISECOND,
        linger: 200 * MILLISECOND,
        cold: false,
        start_speed: 0.25,
        warm_after: 10_000 * MILLISECOND,
        tip_multiple: 5.0,
        crowd_window: 2000 * MILLISECOND,
        drain_grace: 1000 * MILLISECOND,
        idle_limit: 30_000 * MILLISECOND,
        longest_retry_after: 1000 * MILLISECOND,
        tick: 2 * MILLISECOND,
    }
}

pub fn exchange(id: ExId, group: u8) -> Exchange {
    Exchange {
        id,
        group,
        kb: 40.0,
        rank: 0.5,
        ..Exchange::default()
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum At {
    #[default]
    Queued,
    Attached(ExId),
    Running,
    Waiting,
    Calling,
    Over,
}

#[derive(Default)]
pub struct Item {
    pub group: usize,
    pub at: At,
    pub idempotency_key: u64,
    pub arrived: TenthMillis,
    pub due: TenthMillis,
    pub kb: f32,
    pub ran: bool,
    pub completed: bool,
    pub owed: bool,
    pub answered: bool,
    pub called: Option<TenthMillis>,
    pub given_up: TenthMillis,
    pub may_call: bool,
    /// The try that this one was told to repeat.
    pub prior: Option<ExId>,
}

pub struct World {
    pub door: Door,
    pub terms: ServiceContract,
    pub now: TenthMillis,
    pub items: BTreeMap<ExId, Item>,
    pub events: Vec<Event>,
    pub alarms: BTreeSet<TenthMillis>,
    pub busy: f32,
    pub links: f32,
    /// Who sends what arrives.
    pub caller: u64,
    /// Entries of the table: idempotency key, exchange, end.
    pub table: Vec<(u64, ExId, TenthMillis)>,
    /// Calls in the hands of what lies below: from, to.
    calls: Vec<(TenthMillis, TenthMillis)>,
    pub leave: Option<(TenthMillis, TenthMillis)>,
    born: TenthMillis,
    next_id: ExId,
    pub done: Vec<Action>,
}

impl World {
    pub fn new(terms: ServiceContract, seed: u64) -> World {
        let (born, door) = (60_000 * MILLISECOND, Door::new(terms.clone(), seed));
        let events = vec![Event::Started];
        let (items, alarms, table, calls, done) = Default::default();
        let (now, busy, links, leave, next_id) = (born, 1.0, 1.0, None, 1);
        let mut world = World {
            door,
            terms,
            now,
            items,
            events,
            alarms,
            busy,
            links,
            caller: 0,
            table,
            calls,
            leave,
            born,
            next_id,
            done,
        };
        world.step();
        world
    }

    /// Reads one exchange into the node; a repeat of its idempotency key is linked as the node's table says.
    pub fn arrive(
        &mut self,
        group: u8,
        key: u64,
        age: TenthMillis,
        passed: Option<TenthMillis>,
        kb: f32,
    ) -> ExId {
        let id = self.next_id;
        self.next_id += 1;
        let terms = &self.terms.groups[group as usize];
        let arrived = self.now - age;
        let due = passed.map_or(arrived + terms.deadline, |left| self.now + left);
        let deduplicated = terms.effect == Effect::Deduplicated;
        let here = |i: &ExId| self.items[i].ran || self.items[i].at == At::Queued;
        let entry = self
            .table
            .iter()
            .rev()
            .find(|(m, i, end)| *m == key && *end >= arrived && here(i));
        let repeats = entry
            .map(|(_, i, _)| *i)
            .or_else(|| self.in_batch(group, key))
            .filter(|_| deduplicated);
        let ex = Exchange {
            subject: if deduplicated { 0 } else { key },
            due: passed.map(|left| self.now + left),
            customer: (key % 3) as u16,
            caller: self.caller,
            kb,
            age,
            repeats,
            ..exchange(id, group)
        };
        self.events.push(Event::Arrived(ex));
        let group = group as usize;
        let item = Item {
            group,
            idempotency_key: key,
            arrived,
            due,
            kb,
            owed: true,
            may_call: true,
            prior: repeats,
            ..Item::default()
        };
        self.items.insert(id, item);
        id
    }

    /// A try of the same idempotency key that is read in the same batch.
    fn in_batch(&self, group: u8, key: u64) -> Option<ExId> {
        self.events.iter().rev().find_map(|event| match event {
            Event::Arrived(ex)
                if ex.group == group && self.items[&ex.id].idempotency_key == key =>
            {
                Some(ex.id)
            }
            _ => None,
        })
    }

    /// Two tries of one idempotency key in one batch, each naming the other.
    pub fn arrive_together(&mut self, group: u8, key: u64) -> (ExId, ExId) {
        let (a, b) = (
            self.arrive(group, key, 0, None, 30.0),
            self.arrive(group, key, 0, None, 30.0),
        );
        for event in &mut self.events {
            if let Event::Arrived(ex) = event
                && ex.repeats.is_none()
                && [a, b].contains(&ex.id)
            {
                ex.repeats = Some(if ex.id == a { b } else { a });
                self.items.get_mut(&ex.id).unwrap().prior = ex.repeats;
            }
        }
        (a, b)
    }

    pub fn pick(&self, at: At, n: u32) -> Option<ExId> {
        let here: Vec<ExId> = self
            .items
            .iter()
            .filter(|(_, x)| x.at == at)
            .map(|(id, _)| *id)
            .collect();
        (!here.is_empty()).then(|| here[n as usize % here.len()])
    }

    pub fn finish(&mut self, id: ExId, outcome: RunOutcome) {
        let item = self.items.get_mut(&id).unwrap();
        (item.at, item.owed, item.completed) = (At::Over, false, outcome == RunOutcome::Completed);
        if let Some(from) = item.called.take() {
            self.calls.push((from, self.now + self.terms.linger));
        }
        self.events.push(Event::RunEnded { id, outcome });
    }

    pub fn need_call(&mut self, id: ExId) {
        let item = self.items.get_mut(&id).unwrap();
        if !item.owed {
            return self.finish(id, RunOutcome::Stopped);
        }
        item.at = At::Waiting;
        self.events.push(Event::NeedsCall { id });
    }

    pub fn end_call(&mut self, id: ExId, outcome: CallOutcome) {
        let item = self.items.get_mut(&id).unwrap();
        let from = item.called.take().unwrap();
        let lingers = if outcome == CallOutcome::TimedOut {
            self.terms.linger
        } else {
            0
        };
        self.calls.push((from, self.now + lingers));
        let effect = self.terms.groups[item.group].effect;
        item.may_call = effect == Effect::Repeatable || outcome.proves_not_run();
        item.at = if outcome == CallOutcome::Completed {
            At::Running
        } else {
            At::Waiting
        };
        item.may_call |= outcome == CallOutcome::Completed;
        self.events.push(Event::CallEnded {
            id,
            outcome,
            took: self.now - from,
        });
    }

    pub fn caller_gone(&mut self, id: ExId) {
        let item = self.items.get_mut(&id).unwrap();
        item.owed = false;
        match item.at {
            At::Queued | At::Attached(_) => item.at = At::Over,
            At::Waiting | At::Calling => self.finish(id, RunOutcome::Stopped),
            _ => {}
        }
        self.events.push(Event::CallerGone { id });
    }

    pub fn leave_in(&mut self, left: TenthMillis) {
        if self.leave.is_none() {
            self.leave = Some((self.now + self.terms.drain_grace, self.now + left));
            self.events.push(Event::Drain {
                age: 0,
                stop_at: self.now + left,
            });
        }
    }

    /// Lets time pass, with every alarm at its moment.
    pub fn pass(&mut self, span: TenthMillis) {
        let end = self.now + span;
        self.step();
        while let Some(at) = self.alarms.first().copied().filter(|at| *at <= end) {
            self.alarms.remove(&at);
            self.now = self.now.max(at.next_multiple_of(self.terms.tick));
            let (busy_cores, connections) = (Some(self.busy), Some(self.links));
            let gauges = Gauges {
                busy_cores,
                connections,
                ..Gauges::default()
            };
            self.events.push(Event::Alarm { token: 0, gauges });
            self.step();
        }
        self.now = self.now.max(end.next_multiple_of(self.terms.tick));
    }

    /// Hands over what happened, carries out what comes back, and checks the rules.
    pub fn step(&mut self) {
        let over = |x: &Item| x.at == At::Calling && x.given_up <= self.now;
        let over: Vec<_> = self
            .items
            .iter()
            .filter(|(_, x)| over(x))
            .map(|(id, _)| *id)
            .collect();
        over.into_iter()
            .for_each(|id| self.end_call(id, CallOutcome::TimedOut));
        let batch = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        self.door.handle(self.now, &batch, &mut actions);
        for what in &actions {
            self.carry_out(what);
        }
        self.done.extend(actions);
        let waiting = self.items.iter().filter_map(|(id, x)| match x.at {
            At::Attached(root) => Some((*id, self.items[&root].at, self.items[&root].completed)),
            _ => None,
        });
        for (id, at, completed) in waiting.collect::<Vec<_>>() {
            if at == At::Over {
                self.finish(
                    id,
                    if completed {
                        RunOutcome::Completed
                    } else {
                        RunOutcome::Failed
                    },
                );
            }
        }
        self.check();
    }

    fn carry_out(&mut self, what: &Action) {
        let now = self.now;
        match *what {
            Action::Run { id } => {
                let x = &self.items[&id];
                assert!(
                    x.at == At::Queued && !x.ran && x.owed,
                    "run of {id} at {:?}",
                    x.at
                );
                let late = self.leave.is_some_and(|(last, _)| x.arrived > last);
                assert!(!late, "drain: {id} arrived after the grace and was run");
                let group = &self.terms.groups[x.group];
                for (other, y) in self
                    .items
                    .iter()
                    .filter(|(_, y)| y.idempotency_key == x.idempotency_key && y.group == x.group)
                {
                    let again = group.effect == Effect::Deduplicated && y.ran;
                    assert!(
                        !again || x.arrived > y.arrived + group.window,
                        "{id} runs again after {other}"
                    );
                }
                let x = self.items.get_mut(&id).unwrap();
                (x.at, x.ran) = (At::Running, true);
            }
            Action::Reject { id, .. } | Action::Fail { id } => {
                let rejected = matches!(what, Action::Reject { .. });
                let x = self.items.get_mut(&id).unwrap();
                assert!(!x.answered, "second answer for {id}");
                x.answered = true;
                if x.at == At::Over {
                    return; // It was over before this batch was answered: harmless.
                }
                let kept = self.terms.groups[x.group].effect != Effect::Repeatable;
                assert!(
                    !(rejected && kept && x.ran),
                    "{id} was rejected after it ran"
                );
                x.owed = false;
                match x.at {
                    At::Queued | At::Attached(_) => x.at = At::Over,
                    At::Waiting | At::Calling => self.finish(id, RunOutcome::Stopped),
                    _ => {}
                }
            }
            Action::Stop { id } => {
                assert!(
                    self.terms.stop != StopKind::Never,
                    "stop where nothing can be stopped"
                );
                let x = &self.items[&id];
                assert!(
                    !x.owed || x.at == At::Over,
                    "{id} was stopped before it was answered"
                );
                if x.at == At::Running {
                    self.finish(id, RunOutcome::Stopped);
                }
            }
            Action::Call { id, limit } => {
                let x = self.items.get_mut(&id).unwrap();
                assert!(
                    x.at == At::Waiting && x.may_call && limit > 0,
                    "call of {id} at {:?}",
                    x.at
                );
                (x.at, x.called, x.given_up) = (At::Calling, Some(now), now + limit);
            }
            Action::SkipCall { id } => {
                let x = self.items.get_mut(&id).unwrap();
                assert!(x.at == At::Waiting && self.terms.groups[x.group].skip_share > 0.0);
                x.at = At::Running;
            }
            Action::Record { id, lasting } => {
                self.table
                    .push((self.items[&id].idempotency_key, id, now + lasting))
            }
            Action::Forget { id } => self.table.retain(|(_, i, _)| *i != id),
            Action::Attach { id } => {
                let x = self.items.get_mut(&id).unwrap();
                if x.at == At::Over {
                    return;
                }
                x.at = At::Attached(x.prior.expect("attached with nothing to repeat"));
            }
            Action::Alarm { at, .. } => {
                assert!(at > now, "alarm in the past");
                self.alarms.insert(at);
            }
            Action::Health { .. } | Action::Level { .. } | Action::IdleLimit { .. } => {}
        }
    }

    fn check(&self) {
        let live = self.items.values().filter(|x| x.at != At::Over);
        let on_cores = live.clone().filter(|x| x.at == At::Running).count() as f32;
        let warmth = (self.now - self.born) as f32 / self.terms.warm_after as f32;
        let warmth = if self.terms.cold {
            warmth.min(1.0)
        } else {
            1.0
        };
        let speed = self.terms.start_speed + (1.0 - self.terms.start_speed) * warmth;
        let crowd = (1.0 + (self.terms.tip_multiple - 1.0) * speed) * self.terms.cores as f32;
        assert!(
            on_cores <= crowd,
            "fall-over: {on_cores} on the cores, {crowd} survived"
        );
        let entries = self
            .table
            .iter()
            .filter(|(.., end)| *end > self.now)
            .count() as f32;
        let memory = live.clone().fold(entries * self.terms.record_kb, |sum, x| {
            sum + x.kb
                * if matches!(x.at, At::Queued | At::Attached(_)) {
                    1.0
                } else {
                    self.terms.run_factor
                }
        });
        assert!(memory <= self.terms.memory_kb, "fall-over: memory {memory}");
        if let Some(share) = self.terms.calls_share {
            let from = self.now.saturating_sub(self.terms.calls_window);
            let open = live.filter_map(|x| x.called.map(|start| (start, self.now)));
            let span = |(a, b): (TenthMillis, TenthMillis)| {
                b.min(self.now).saturating_sub(a.max(from)) as f32
            };
            let sum: f32 = self.calls.iter().copied().chain(open).map(span).sum();
            let mean = sum / self.terms.calls_window as f32;
            assert!(
                mean <= share * 1.0001,
                "fall-over: {mean} calls below, share {share}"
            );
        }
        for (id, x) in &self.items {
            assert!(
                !x.owed || self.now <= x.due,
                "lost: {id} is due at {} and now is {}",
                x.due,
                self.now
            );
        }
        if let Some((_, stop)) = self.leave.filter(|(_, stop)| self.now >= *stop) {
            let left = self
                .items
                .iter()
                .find(|(_, x)| x.owed)
                .map(|(id, x)| (*id, x.at, x.arrived));
            assert!(
                left.is_none(),
                "drain: {left:?} is not answered at the stop {stop}"
            );
        }
    }
}
