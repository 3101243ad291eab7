//! A node kept apart from the module's own counts: it plays legal histories and checks the four rules.
#![allow(dead_code)] // Each test file uses a part of it.

use std::collections::{BTreeMap, BTreeSet};

use doortrack_admission::AdmissionController;
use doortrack_admission::*;
use doortrack_time::{MILLISECOND, TenthMillis};

pub fn contract() -> AdmissionConfig {
    let group = |effect, calls| EndpointGroup {
        effect,
        latency_objective: 1500 * MILLISECOND,
        objective_per_work: 0.0,
        deadline: 4000 * MILLISECOND,
        dedup_window: 6000 * MILLISECOND,
        priority_weight: 1.0,
        late_weight: 0.0,
        degraded_weight: 0.0,
        calls_downstream: calls,
    };
    AdmissionConfig {
        cores: 4,
        memory_kb: 20_000.0,
        run_memory_factor: 8.0,
        record_kb: 100.0,
        groups: vec![
            group(Effect::Idempotent, true),
            group(Effect::Deduplicated, true),
            group(Effect::Mutating, true),
        ],
        tenant_quotas: vec![50.0, 20.0],
        over_quota_weight: 0.05,
        weight_per_work: false,
        nodes: 10,
        cancellation: Cancellation::Drop,
        backpressure: Backpressure::MinRank,
        backpressure_ttl: 1000 * MILLISECOND,
        max_staleness: 0,
        downstream_concurrency: None,
        downstream_window: 5000 * MILLISECOND,
        abandoned_call_time: 200 * MILLISECOND,
        cold: false,
        initial_speed: 0.25,
        warm_up_time: 10_000 * MILLISECOND,
        overload_multiple: 5.0,
        overload_window: 2000 * MILLISECOND,
        drain_grace: 1000 * MILLISECOND,
        idle_timeout: 30_000 * MILLISECOND,
        max_retry_after: 1000 * MILLISECOND,
        tick: 2 * MILLISECOND,
    }
}

pub fn exchange(id: RequestId, group: u8) -> Request {
    Request {
        id,
        group,
        memory_kb: 40.0,
        rank: 0.5,
        ..Request::default()
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum At {
    #[default]
    Queued,
    Attached(RequestId),
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
    pub prior: Option<RequestId>,
}

pub struct World {
    pub door: AdmissionController,
    pub terms: AdmissionConfig,
    pub now: TenthMillis,
    pub items: BTreeMap<RequestId, Item>,
    pub events: Vec<Event>,
    pub alarms: BTreeSet<TenthMillis>,
    pub busy: f32,
    pub links: f32,
    /// Who sends what arrives.
    pub caller: u64,
    /// Entries of the table: idempotency key, request, end.
    pub table: Vec<(u64, RequestId, TenthMillis)>,
    /// Calls in the hands of what lies below: from, to.
    calls: Vec<(TenthMillis, TenthMillis)>,
    pub leave: Option<(TenthMillis, TenthMillis)>,
    born: TenthMillis,
    next_id: RequestId,
    pub done: Vec<Action>,
}

impl World {
    pub fn new(terms: AdmissionConfig, seed: u64) -> World {
        let (born, door) = (
            60_000 * MILLISECOND,
            AdmissionController::new(terms.clone(), seed),
        );
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

    /// Reads one request into the node; a repeat of its idempotency key is linked as the node's table says.
    pub fn arrive(
        &mut self,
        group: u8,
        key: u64,
        age: TenthMillis,
        passed: Option<TenthMillis>,
        kb: f32,
    ) -> RequestId {
        let id = self.next_id;
        self.next_id += 1;
        let terms = &self.terms.groups[group as usize];
        let arrived = self.now - age;
        let due = passed.map_or(arrived + terms.deadline, |left| self.now + left);
        let deduplicated = terms.effect == Effect::Deduplicated;
        let here = |i: &RequestId| self.items[i].ran || self.items[i].at == At::Queued;
        let entry = self
            .table
            .iter()
            .rev()
            .find(|(m, i, end)| *m == key && *end >= arrived && here(i));
        let repeats = entry
            .map(|(_, i, _)| *i)
            .or_else(|| self.in_batch(group, key))
            .filter(|_| deduplicated);
        let ex = Request {
            session_key: if deduplicated { 0 } else { key },
            deadline: passed.map(|left| self.now + left),
            tenant: (key % 3) as u16,
            caller: self.caller,
            memory_kb: kb,
            age,
            duplicate_of: repeats,
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
    fn in_batch(&self, group: u8, key: u64) -> Option<RequestId> {
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
    pub fn arrive_together(&mut self, group: u8, key: u64) -> (RequestId, RequestId) {
        let (a, b) = (
            self.arrive(group, key, 0, None, 30.0),
            self.arrive(group, key, 0, None, 30.0),
        );
        for event in &mut self.events {
            if let Event::Arrived(ex) = event
                && ex.duplicate_of.is_none()
                && [a, b].contains(&ex.id)
            {
                ex.duplicate_of = Some(if ex.id == a { b } else { a });
                self.items.get_mut(&ex.id).unwrap().prior = ex.duplicate_of;
            }
        }
        (a, b)
    }

    pub fn pick(&self, at: At, n: u32) -> Option<RequestId> {
        let here: Vec<RequestId> = self
            .items
            .iter()
            .filter(|(_, x)| x.at == at)
            .map(|(id, _)| *id)
            .collect();
        (!here.is_empty()).then(|| here[n as usize % here.len()])
    }

    pub fn finish(&mut self, id: RequestId, outcome: RunOutcome) {
        let item = self.items.get_mut(&id).unwrap();
        (item.at, item.owed, item.completed) = (At::Over, false, outcome == RunOutcome::Completed);
        if let Some(from) = item.called.take() {
            self.calls
                .push((from, self.now + self.terms.abandoned_call_time));
        }
        self.events.push(Event::RunEnded { id, outcome });
    }

    pub fn need_call(&mut self, id: RequestId) {
        let item = self.items.get_mut(&id).unwrap();
        if !item.owed {
            return self.finish(id, RunOutcome::Cancelled);
        }
        item.at = At::Waiting;
        self.events.push(Event::CallRequired { id });
    }

    pub fn end_call(&mut self, id: RequestId, outcome: CallOutcome) {
        let item = self.items.get_mut(&id).unwrap();
        let from = item.called.take().unwrap();
        let lingers = if outcome == CallOutcome::TimedOut {
            self.terms.abandoned_call_time
        } else {
            0
        };
        self.calls.push((from, self.now + lingers));
        let effect = self.terms.groups[item.group].effect;
        item.may_call = effect == Effect::Idempotent || outcome.proves_not_run();
        item.at = if outcome == CallOutcome::Completed {
            At::Running
        } else {
            At::Waiting
        };
        item.may_call |= outcome == CallOutcome::Completed;
        self.events.push(Event::CallEnded {
            id,
            outcome,
            duration: self.now - from,
        });
    }

    pub fn caller_gone(&mut self, id: RequestId) {
        let item = self.items.get_mut(&id).unwrap();
        item.owed = false;
        match item.at {
            At::Queued | At::Attached(_) => item.at = At::Over,
            At::Waiting | At::Calling => self.finish(id, RunOutcome::Cancelled),
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
            self.events.push(Event::Timer { token: 0, gauges });
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
                        !again || x.arrived > y.arrived + group.dedup_window,
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
                let kept = self.terms.groups[x.group].effect != Effect::Idempotent;
                assert!(
                    !(rejected && kept && x.ran),
                    "{id} was rejected after it ran"
                );
                x.owed = false;
                match x.at {
                    At::Queued | At::Attached(_) => x.at = At::Over,
                    At::Waiting | At::Calling => self.finish(id, RunOutcome::Cancelled),
                    _ => {}
                }
            }
            Action::Cancel { id } => {
                assert!(
                    self.terms.cancellation != Cancellation::Unsupported,
                    "stop where nothing can be stopped"
                );
                let x = &self.items[&id];
                assert!(
                    !x.owed || x.at == At::Over,
                    "{id} was stopped before it was answered"
                );
                if x.at == At::Running {
                    self.finish(id, RunOutcome::Cancelled);
                }
            }
            Action::Call { id, timeout: limit } => {
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
                assert!(x.at == At::Waiting && self.terms.groups[x.group].degraded_weight > 0.0);
                x.at = At::Running;
            }
            Action::Record { id, ttl: lasting } => {
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
            Action::SetTimer { at, .. } => {
                assert!(at > now, "alarm in the past");
                self.alarms.insert(at);
            }
            Action::Health { .. } | Action::Backpressure { .. } | Action::IdleTimeout { .. } => {}
        }
    }

    fn check(&self) {
        let live = self.items.values().filter(|x| x.at != At::Over);
        let on_cores = live.clone().filter(|x| x.at == At::Running).count() as f32;
        let warmth = (self.now - self.born) as f32 / self.terms.warm_up_time as f32;
        let warmth = if self.terms.cold {
            warmth.min(1.0)
        } else {
            1.0
        };
        let speed = self.terms.initial_speed + (1.0 - self.terms.initial_speed) * warmth;
        let crowd = (1.0 + (self.terms.overload_multiple - 1.0) * speed) * self.terms.cores as f32;
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
                    self.terms.run_memory_factor
                }
        });
        assert!(memory <= self.terms.memory_kb, "fall-over: memory {memory}");
        if let Some(share) = self.terms.downstream_concurrency {
            let from = self.now.saturating_sub(self.terms.downstream_window);
            let open = live.filter_map(|x| x.called.map(|start| (start, self.now)));
            let span = |(a, b): (TenthMillis, TenthMillis)| {
                b.min(self.now).saturating_sub(a.max(from)) as f32
            };
            let sum: f32 = self.calls.iter().copied().chain(open).map(span).sum();
            let mean = sum / self.terms.downstream_window as f32;
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
