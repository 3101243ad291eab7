//! All decisions of a node. `AdmissionController::new` is handed the contract and a seed; from then on `AdmissionController::handle`
//! takes a batch of what happened, in order, and adds what is to be done. Both types are in `lib.rs`.
//! Ordinary path: `arrived` asks `turned_away` (the design's rule), queues what is taken in one of two
//! queues, and `begin_work` runs it. `look` acts at the moments at which a request is due for a decision.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use doortrack_time::{MILLISECOND, TenthMillis};
use rustc_hash::{FxHashMap, FxHashSet};
use slab::Slab;

use crate::{
    Action, AdmissionConfig, Backpressure, CallOutcome, Cancellation, Effect, Event, Gauges,
    Request, RequestId, RunOutcome,
};

const RUNS_A_CORE: f32 = 1.5;
/// Thresholds of the design, as shares of C.
const T1: f32 = 0.75;
const T2: f32 = 0.90;
/// The design's rule rejects only while the busy-cores gauge reads this much.
const BUSY: f32 = 0.95;
/// C rises by so much for each run that met its SLO time under load, and falls to this share at a miss.
const C_RISE: f32 = 0.5;
const C_FALL: f32 = 0.93;
/// A key stays established for one to two of these without a completed request; bound on each half.
const IDLE_WINDOW: TenthMillis = 20_000 * MILLISECOND;
const MOST_KEYS: usize = 4096;
/// Share of what a node survives that it lets itself use: of crowd and calls, and of memory, which is exact.
const MARGIN: f32 = 0.9;
const MEMORY: f32 = 0.95;
const BEAT: TenthMillis = 50 * MILLISECOND;
/// Weight of the newest run or call in what is learned.
const NEWEST: f32 = 0.1;
/// Weight of the newest run in what hints tell.
const HINT_NEWEST: f32 = 0.03;
/// Spread of hints that the line begins with, flat, as a share of the first hint squared: two runs alone
/// could make any line.
const HINT_DOUBT: f32 = 0.1;
/// Share of its SLO time that a request may wait unread and queued, as one rejected later has no time left
/// elsewhere; and again at a call that may be left out.
const QUEUE_SHARE: f32 = 0.33;
/// Work is long from this multiple of the mean on; its share of the places while short work waits.
const LONG: f32 = 2.0;
const LONG_SHARE: f32 = 0.5;
/// Calls out in the mean, as a share of those that what lies below survives: it slows down well before that,
/// and what waits here instead goes by benefit or is left out.
const CALL_INFLOW: f32 = 0.3;
const MORE_CALLS: u8 = 2;
/// A call waits until this many times what one takes is left for it: one cut short has cost its time below.
const CALL_TIMES: f32 = 3.0;
/// Share of the time saved up for calls that is kept for those that cannot be left out.
const CALL_RESERVE: f32 = 0.5;
/// Strain is the share lately rejected: weight of the newest, decay in a beat, what is borne without action.
const STRAIN_NEWEST: f32 = 0.03;
const STRAIN_DECAY: f32 = 0.96;
const STRAIN_BORNE: f32 = 0.1;
/// Rise of the level in a beat for each unit of strain over that, its fall, and its bound.
const LEVEL_RISE: f32 = 0.05;
const LEVEL_FALL: f32 = 0.02;
const LEVEL_MOST: f32 = 0.6;
/// From this strain on each caller is told its part of what is wanted in hand. Less is borne without: it
/// holds back a caller that sends more than others where nothing is short.
const CREDIT_FROM: f32 = 0.2;
/// A request that was unread for this share of its SLO time counts for strain as if rejected.
const READ_LATE: f32 = 0.1;
/// Stuck: nothing ended for this many times what a run takes.
const STUCK: f32 = 6.0;
/// Connections a core up to which idle ones may stay: a fuller table costs cores and shuts callers out. Where
/// callers come again, more of them spare a new connection than they cost.
const LINKS_A_CORE: f32 = 7.0;
const LINKS_USED_AGAIN: f32 = 24.0;
/// Callers come again: fewer than this share of what is read is from one not seen for one to two turns. The
/// share is a mean of about as many reads; the bound is on the callers of a turn.
const UNKNOWN_CALLERS: f32 = 0.6;
const UNKNOWN_CALLERS_NEWEST: f32 = 0.02;
const CALLERS_TURN: TenthMillis = 10_000 * MILLISECOND;
const MOST_CALLERS: usize = 4096;
/// The idle limit's least, its rise in a beat below that and its fall above. It rises slowly, as a connection
/// keeps the limit that it went idle under.
const IDLE_LEAST: f32 = 100.0 * MILLISECOND as f32;
const IDLE_RISE: f32 = 1.05;
const IDLE_FALL: f32 = 0.7;
/// Share read too late to be queued from which on the table is left to fill.
const OVERLOAD_READS: f32 = 0.1;
/// A tenant may send this multiple of its share at one node, and save up this much time of it.
const SHARE_SLACK: f32 = 1.3;
const SHARE_SAVED: f32 = 20_000.0;
/// Requests that it may save up at the least: where its share at a node is less than one in that time, it
/// would be beyond it whatever it sends.
const SHARE_LEAST: f32 = 3.0;

#[derive(Clone, Copy, Default, PartialEq)]
enum Stage {
    #[default]
    Queued,
    Attached,
    Running,
    AtCall,
    Calling,
}

#[derive(Default)]
struct Ex {
    id: RequestId,
    group: usize,
    subject: u64,
    stage: Stage,
    attached_to: RequestId,
    arrived: TenthMillis,
    slo_by: TenthMillis,
    due: TenthMillis,
    look_at: TenthMillis,
    began: TenthMillis,
    work: f32,
    kb: f32,
    over_share: bool,
    long: bool,
    /// Nothing is owed any more; only its end is still to come.
    answered: bool,
    calls: u8,
    called: TenthMillis,
    /// Time below that its call was charged with.
    call_given: TenthMillis,
}

type Place = usize;
/// Best first: benefit for the work, then the oldest. Entries that no longer hold are passed over.
type Queue = BinaryHeap<(u32, Reverse<TenthMillis>, Reverse<RequestId>, Place)>;

pub struct AdmissionController {
    terms: AdmissionConfig,
    rng: fastrand::Rng,
    /// C of the design.
    capacity: f32,
    /// Mean time of a run, by endpoint group; what else differs by group stands in the contract.
    took: Vec<f32>,
    /// What each tenant has saved up of its share here, and when that was counted.
    saved: Vec<(f32, TenthMillis)>,
    st: State,
}

#[derive(Default)]
struct State {
    now: TenthMillis,
    born: TenthMillis,
    /// Next reading of the gauges.
    beat: TenthMillis,
    /// When a run last began or ended.
    last_change: TenthMillis,
    told_good: bool,
    armed: TenthMillis,
    /// Last arrival that may be run, and the stop, once told to leave.
    leave: Option<(TenthMillis, TenthMillis)>,
    gauges: Gauges,
    idle_limit: f32,
    /// Share lately read too late to be queued.
    read_late: f32,
    exs: Slab<Ex>,
    at_door: FxHashMap<RequestId, Place>,
    at_stage: [usize; 5],
    queued_over_share: usize,
    long_running: usize,
    /// Queued requests, short and long work.
    queues: [Queue; 2],
    watch: BinaryHeap<Reverse<(TenthMillis, RequestId, Place)>>,
    /// Summed in f64, so that what fractions drift stays far under the margin.
    memory_kb: f64,
    mean_work: f32,
    mean_took: f32,
    hints: Hints,
    /// Live entries of the node's table, and their ends.
    records: FxHashSet<RequestId>,
    record_ends: VecDeque<(TenthMillis, RequestId)>,
    /// Established keys, of this turn and the one before.
    keys: [FxHashSet<u64>; 2],
    keys_turn: TenthMillis,
    /// Callers that were read from, of this turn and the one before, and the share of reads from others.
    callers: [FxHashSet<u64>; 2],
    callers_turn: TenthMillis,
    unknown_callers: f32,
    strain: f32,
    level: f32,
    /// What was last said to callers.
    said: f32,
    call_queue: Queue,
    /// Time that calls may still spend below, and when that was counted.
    call_budget: f32,
    call_counted: TenthMillis,
    call_took: f32,
}

impl AdmissionController {
    pub fn new(terms: AdmissionConfig, seed: u64) -> Self {
        AdmissionController {
            rng: fastrand::Rng::with_seed(seed),
            capacity: terms.cores.max(1) as f32,
            took: vec![0.0; terms.groups.len()],
            saved: vec![(0.0, 0); terms.tenant_quotas.len()],
            st: State {
                unknown_callers: 1.0,
                ..State::default()
            },
            terms,
        }
    }

    /// The one entry point.
    pub fn handle(&mut self, now: TenthMillis, batch: &[Event], actions: &mut Vec<Action>) {
        self.st.now = now;
        for what in batch {
            match what {
                Event::Started => self.st.born = now,
                Event::Arrived(ex) => self.arrived(ex, actions),
                Event::RunEnded { id, outcome } => self.run_ended(*id, *outcome),
                Event::CallRequired { id } => self.needs_call(*id),
                Event::CallEnded {
                    id,
                    outcome,
                    duration: took,
                } => self.call_ended(*id, *outcome, *took, actions),
                Event::CallerGone { id } => self.caller_gone(*id, actions),
                Event::Drain { age, stop_at } => self.leave_by(*age, *stop_at, actions),
                Event::Timer { gauges, .. } => self.st.gauges = *gauges,
            }
        }
        self.upkeep(actions);
        self.look_at_due(actions);
        self.make_calls(actions);
        self.begin_work(actions);
        self.arm(actions);
    }

    // --- Admission ---

    /// The design's rule: who is rejected on reading. Keys already served are sheltered, newcomers bear
    /// the overload, and above C all is rejected.
    fn turned_away(&mut self, subject: u64, over_share: bool, unread: f32) -> bool {
        // With no reading it is told by what runs and what of this batch is queued ahead: whether a burst is
        // read in one turn or in many makes no difference.
        let taken = self.at(Stage::Running) + self.at(Stage::Queued);
        let busy = self.all_busy().unwrap_or(taken >= self.places());
        let (load, c) = (self.load_before(over_share), self.capacity);
        // Little may be queued while much stands unread, or while nothing comes to its end.
        if self.stuck() || (busy && (load > c || unread > QUEUE_SHARE)) {
            return true;
        }
        let established =
            !over_share && subject != 0 && self.st.keys.iter().any(|k| k.contains(&subject));
        let chance = if load > T2 * c || over_share {
            1.0
        } else {
            (load - T1 * c) / (c - T1 * c)
        };
        busy && load > T1 * c && !established && self.rng.f32() < chance
    }

    /// Every place is taken and nothing has ended for many times what a run takes, whatever the gauge says:
    /// hung work, a frozen disk, a machine far slower than it was.
    fn stuck(&self) -> bool {
        let quiet = (self.st.now - self.st.last_change) as f32;
        let long = self.shortest_slo().max(STUCK * self.st.mean_took);
        self.at(Stage::Running) >= self.places() && quiet > long
    }

    fn shortest_slo(&self) -> f32 {
        self.terms
            .groups
            .iter()
            .map(|group| group.latency_objective)
            .min()
            .unwrap_or(0) as f32
    }

    fn fits(&self, kb: f32) -> bool {
        self.st.memory_kb + f64::from(kb) <= f64::from(self.terms.memory_kb * MEMORY)
    }

    fn load(&self) -> f32 {
        (self.at(Stage::Queued) + self.at(Stage::Running)) as f32
    }

    /// What goes before such a request: what is queued beyond a share waits for all within one.
    fn load_before(&self, over_share: bool) -> f32 {
        self.load()
            - if over_share {
                0.0
            } else {
                self.st.queued_over_share as f32
            }
    }

    fn at(&self, stage: Stage) -> usize {
        self.st.at_stage[stage as usize]
    }

    /// C follows what runs show. What was given up in the queue is no run: on few cores it would hold C down.
    fn learn_capacity(&mut self, met: bool) {
        let cores = self.terms.cores.max(1) as f32;
        // More than begins within the time queued would be taken only to be given up.
        let begins = 1.0 + QUEUE_SHARE * self.shortest_slo() / self.st.mean_took.max(1.0);
        let most = (self.places() as f32 * begins).min(self.terms.overload_multiple * cores);
        if !met {
            self.capacity *= C_FALL;
        } else if self.load() > T1 * self.capacity {
            // Only a load near C says anything about C.
            self.capacity += C_RISE;
        }
        self.capacity = self.capacity.clamp(cores, most.max(cores));
    }

    fn arrived(&mut self, ex: &Request, actions: &mut Vec<Action>) {
        self.note_caller(ex.caller);
        let Some(&group) = self.terms.groups.get(ex.group as usize) else {
            actions.push(Action::Fail { id: ex.id });
            return;
        };
        let arrived = self.st.now.saturating_sub(ex.age);
        let due = self.last_answer(
            ex.deadline
                .unwrap_or((arrived + group.deadline).saturating_sub(1)),
        );
        let work = ex.work_hint.unwrap_or(0) as f32;
        let over_share = self.over_share(ex.tenant as usize);
        let root = ex
            .duplicate_of
            .filter(|first| !self.leads_back(ex.id, *first));
        let new = Ex {
            id: ex.id,
            group: ex.group as usize,
            subject: ex.session_key,
            stage: if root.is_some() {
                Stage::Attached
            } else {
                Stage::Queued
            },
            attached_to: root.unwrap_or(0),
            arrived,
            slo_by: (arrived
                + group.latency_objective
                + (group.objective_per_work * work) as TenthMillis)
                .min(due),
            due,
            work,
            kb: ex.memory_kb.max(0.0),
            over_share,
            ..Ex::default()
        };
        let records = root.is_none() && group.effect == Effect::Deduplicated;
        let needs = new.kb + if records { self.terms.record_kb } else { 0.0 };
        let no_room = !self.fits(needs);
        if root.is_some() {
            // Whatever became of the first try, a repeat takes its outcome: it is neither run nor rejected.
            actions.push(if no_room {
                Action::Fail { id: ex.id }
            } else {
                Action::Attach { id: ex.id }
            });
            if !no_room {
                let place = self.take_in(new);
                self.look_again(place, due);
            }
            return;
        }
        let unread = ex.age as f32 / group.latency_objective.max(1) as f32;
        let too_late =
            self.st.now >= due || self.st.leave.is_some_and(|(last, _)| arrived + 1 > last);
        let rejected = too_late || no_room || self.turned_away(ex.session_key, over_share, unread);
        self.st.strain +=
            STRAIN_NEWEST * (f32::from(rejected || unread > READ_LATE) - self.st.strain);
        self.st.read_late += NEWEST * (f32::from(unread > QUEUE_SHARE) - self.st.read_late);
        // It may still be done in time by a quicker node, and says nothing of the load.
        let ends = self
            .st
            .now
            .saturating_add(self.expected(ex.group as usize, work));
        let hopeless = group.late_weight <= 0.0 && ends > new.slo_by;
        if rejected || hopeless || ex.budget_retry_after.is_some() {
            let wait = ex.budget_retry_after.unwrap_or(0);
            let strained =
                (rejected || ex.budget_retry_after.is_some()) && self.st.strain > STRAIN_BORNE;
            actions.push(self.rejection(ex.id, ex.retry || strained, wait));
            return;
        }
        if records {
            // Entered on reading: a repeat of a try queued without an entry would not be known as one.
            let lasting = group.dedup_window.saturating_sub(ex.age);
            actions.push(Action::Record {
                id: ex.id,
                ttl: lasting,
            });
            self.st.records.insert(ex.id);
            self.st
                .record_ends
                .push_back((self.st.now + lasting, ex.id));
            self.st.memory_kb += f64::from(self.terms.record_kb);
        }
        if let Some((saved, _)) = self
            .saved
            .get_mut(ex.tenant as usize)
            .filter(|_| !over_share)
        {
            *saved -= 1.0;
        }
        let place = self.take_in(new);
        self.file(place);
    }

    /// Whether this is beyond what its tenant's share of the fleet comes to at one node. Only what is taken
    /// uses it up: what is turned away may come again, here or elsewhere, marked or not.
    fn over_share(&mut self, tenant: usize) -> bool {
        let Some((saved, counted)) = self.saved.get_mut(tenant) else {
            return false;
        };
        let rate = SHARE_SLACK * self.terms.tenant_quotas[tenant]
            / self.terms.nodes.max(1) as f32
            / 10_000.0;
        *saved = (*saved + rate * (self.st.now - *counted) as f32)
            .min((rate * SHARE_SAVED).max(SHARE_LEAST));
        *counted = self.st.now;
        *saved < 1.0
    }

    /// Tries of one batch may name each other: the one whose chain leads back to itself is the first.
    fn leads_back(&self, id: RequestId, first: RequestId) -> bool {
        let next = |at: &RequestId| {
            let ex = &self.st.exs[*self.st.at_door.get(at)?];
            (ex.stage == Stage::Attached).then_some(ex.attached_to)
        };
        std::iter::successors(Some(first), next)
            .take(self.st.exs.len() + 1)
            .any(|at| at == id)
    }

    fn take_in(&mut self, ex: Ex) -> Place {
        self.st.memory_kb += f64::from(ex.kb);
        self.st.at_stage[ex.stage as usize] += 1;
        self.st.queued_over_share += usize::from(ex.stage == Stage::Queued && ex.over_share);
        let (id, place) = (ex.id, self.st.exs.insert(ex));
        self.st.at_door.insert(id, place);
        place
    }

    /// Puts a queued request in its queue, by what it still earns for the work it needs.
    fn file(&mut self, place: Place) {
        let ex = &self.st.exs[place];
        let group = &self.terms.groups[ex.group];
        let expected = self.expected(ex.group, ex.work);
        let patient_till = ex.arrived
            + (QUEUE_SHARE * (ex.slo_by.saturating_sub(ex.arrived)) as f32) as TenthMillis;
        let start_by = patient_till.min(ex.slo_by.saturating_sub(expected));
        let earns = group.priority_weight
            * if ex.over_share {
                self.terms.over_quota_weight
            } else {
                1.0
            };
        let work = if ex.work > 0.0 {
            ex.work
        } else {
            self.took[ex.group]
        };
        let need = if work > 0.0 && self.st.mean_work > 0.0 {
            work / self.st.mean_work
        } else {
            1.0
        };
        let density = 1000.0 * earns
            / if self.terms.weight_per_work {
                1.0
            } else {
                need.max(0.01)
            };
        let ex = &mut self.st.exs[place];
        ex.long = need > LONG;
        let entry = (density as u32, Reverse(ex.arrived), Reverse(ex.id), place);
        self.st.queues[usize::from(ex.long)].push(entry);
        self.look_again(place, start_by.max(self.st.now) + 1);
    }

    /// How long a run should take: by its hint, where there is one; else as its group's of late, and then
    /// never more than half the SLO time, so that a node that has come to expect too much of a run still
    /// begins fresh work and learns better.
    fn expected(&self, group: usize, work: f32) -> TenthMillis {
        if work > 0.0 && self.st.hints.variance > 0.0 {
            return self.st.hints.took(work) as TenthMillis;
        }
        (self.took[group] as TenthMillis).min(self.terms.groups[group].latency_objective / 2)
    }

    // --- Running ---

    /// Runs that the crowd rule survives at this age; less while cold.
    fn survivable(&self) -> f32 {
        let age = (self.st.now - self.st.born) as f32 / self.terms.warm_up_time.max(1) as f32;
        let warmth = if self.terms.cold { age.min(1.0) } else { 1.0 };
        let speed = self.terms.initial_speed + (1.0 - self.terms.initial_speed) * warmth;
        MARGIN
            * (1.0 + (self.terms.overload_multiple - 1.0).max(0.0) * speed)
            * self.terms.cores as f32
    }

    /// Runs at once. Where the cores are all busy, more of them only make each take longer; where they are
    /// not, some wait for what the node is not told of, such as a disk.
    fn places(&self) -> usize {
        let a_core = if self.all_busy().unwrap_or(false) {
            1.0
        } else {
            RUNS_A_CORE
        };
        (a_core * self.terms.cores as f32)
            .min(self.survivable())
            .max(1.0) as usize
    }

    /// Whether the cores are all busy, by the gauge.
    fn all_busy(&self) -> Option<bool> {
        self.st
            .gauges
            .busy_cores
            .filter(|share| share.is_finite())
            .map(|share| share >= BUSY)
    }

    fn begin_work(&mut self, actions: &mut Vec<Action>) {
        let (places, most) = (self.places(), self.survivable().max(1.0) as usize);
        // Calls that return put work back on the cores unasked, so they count for the crowd.
        while self.at(Stage::Running) < places
            && self.at(Stage::Running) + self.at(Stage::AtCall) + self.at(Stage::Calling) < most
        {
            let Some(place) = self.next_to_run(places) else {
                break;
            };
            let more = self.st.exs[place].kb * (self.terms.run_memory_factor - 1.0).max(0.0);
            if !self.fits(more) {
                break;
            }
            let ex = &mut self.st.exs[place];
            (ex.began, self.st.last_change) = (self.st.now, self.st.now);
            let (id, long, next) = (ex.id, ex.long, ex.slo_by.min(ex.due).max(self.st.now + 1));
            self.st.memory_kb += f64::from(more);
            self.st.queues[usize::from(long)].pop();
            self.st.long_running += usize::from(long);
            self.put(place, Stage::Running);
            self.look_again(place, next);
            actions.push(Action::Run { id });
        }
    }

    /// The best head of the two queues. Long work leaves places to short work that waits.
    fn next_to_run(&mut self, places: usize) -> Option<Place> {
        for queue in &mut self.st.queues {
            while let Some(&(.., Reverse(id), place)) = queue.peek()
                && !self
                    .st
                    .exs
                    .get(place)
                    .is_some_and(|x| x.id == id && x.stage == Stage::Queued)
            {
                queue.pop();
            }
        }
        let long_full = self.st.long_running as f32 >= LONG_SHARE * places as f32;
        match (self.st.queues[0].peek(), self.st.queues[1].peek()) {
            (Some(s), Some(l)) => Some(if long_full || s >= l { s.3 } else { l.3 }),
            (s, l) => s.or(l).map(|head| head.3),
        }
    }

    fn put(&mut self, place: Place, stage: Stage) {
        let ex = &mut self.st.exs[place];
        self.st.queued_over_share -= usize::from(ex.stage == Stage::Queued && ex.over_share);
        self.st.at_stage[ex.stage as usize] -= 1;
        self.st.at_stage[stage as usize] += 1;
        ex.stage = stage;
    }

    fn run_ended(&mut self, id: RequestId, outcome: RunOutcome) {
        let Some(&place) = self.st.at_door.get(&id) else {
            return;
        };
        let ex = &self.st.exs[place];
        if outcome == RunOutcome::Completed && ex.stage != Stage::Queued && !ex.answered {
            let (subject, met) = (ex.subject, self.st.now <= ex.slo_by);
            if ex.stage != Stage::Attached {
                let took = (self.st.now - ex.began) as f32;
                if ex.work > 0.0 {
                    self.st.hints.learn(ex.work, took);
                }
                let ex = &self.st.exs[place];
                learn(&mut self.took[ex.group], took);
                learn(&mut self.st.mean_took, took);
                learn(
                    &mut self.st.mean_work,
                    if ex.work > 0.0 { ex.work } else { took },
                );
                self.learn_capacity(met);
            }
            self.st.keys[0].insert(subject);
            self.st.keys_turn = if self.st.keys[0].len() < MOST_KEYS {
                self.st.keys_turn
            } else {
                0
            };
        }
        self.st.last_change = self.st.now;
        self.let_go(place);
    }

    fn let_go(&mut self, place: Place) {
        if self.st.exs[place].stage == Stage::Calling {
            self.call_left(place, true);
        }
        let ex = self.st.exs.remove(place);
        self.st.at_door.remove(&ex.id);
        self.st.at_stage[ex.stage as usize] -= 1;
        self.st.queued_over_share -= usize::from(ex.stage == Stage::Queued && ex.over_share);
        self.st.memory_kb -= f64::from(ex.kb);
        if !matches!(ex.stage, Stage::Queued | Stage::Attached) {
            self.st.long_running -= usize::from(ex.long);
            self.st.memory_kb -= f64::from(ex.kb * (self.terms.run_memory_factor - 1.0).max(0.0));
        }
    }

    // --- Answers ---

    /// The last moment for an answer: two ticks before it is due, and before the stop.
    fn last_answer(&self, due: TenthMillis) -> TenthMillis {
        let due = self.st.leave.map_or(due, |(_, stop)| due.min(stop));
        due.saturating_sub(2 * self.terms.tick)
    }

    /// Rejected ones are told to come back when the load should be down at T1.
    /// `wait` is what else keeps it from being taken.
    fn rejection(&self, id: RequestId, not_elsewhere: bool, wait: TenthMillis) -> Action {
        let over =
            (self.load() - T1 * self.capacity).max(0.0) * self.st.mean_took / self.places() as f32;
        let wait = if self.st.leave.is_some() || self.stuck() {
            TenthMillis::MAX
        } else {
            wait.max(over as TenthMillis)
        };
        let not_elsewhere = not_elsewhere && !self.stuck();
        Action::Reject {
            id,
            no_retry_elsewhere: not_elsewhere,
            retry_after: wait.min(self.terms.max_retry_after),
        }
    }

    fn look_at_due(&mut self, actions: &mut Vec<Action>) {
        while let Some(&Reverse((at, id, place))) = self.st.watch.peek() {
            let current = self
                .st
                .exs
                .get(place)
                .is_some_and(|ex| ex.id == id && ex.look_at == at);
            if current && at > self.st.now {
                break;
            }
            self.st.watch.pop();
            if current {
                self.look(place, actions);
            }
        }
    }

    fn look_again(&mut self, place: Place, at: TenthMillis) {
        let ex = &mut self.st.exs[place];
        ex.look_at = at;
        self.st.watch.push(Reverse((at, ex.id, place)));
    }

    /// A request has come to the moment at which it is due for a decision.
    fn look(&mut self, place: Place, actions: &mut Vec<Action>) {
        let ex = &self.st.exs[place];
        let group = &self.terms.groups[ex.group];
        let (id, due, now, over) = (ex.id, ex.due, self.st.now, self.st.now >= ex.due);
        let others_wait = self.at(Stage::Queued) > 0;
        match ex.stage {
            Stage::Queued => {
                actions.push(self.rejection(id, true, 0));
                self.drop_queued(place, actions);
            }
            Stage::Attached => {
                actions.push(Action::Fail { id });
                self.drop_queued(place, actions);
            }
            _ if ex.answered => self.stop(place, actions),
            Stage::AtCall if !over && group.degraded_weight > 0.0 => {
                actions.push(Action::SkipCall { id });
                self.back_to_work(place);
            }
            _ if over
                || (group.late_weight <= 0.0
                    && others_wait
                    && self.terms.cancellation != Cancellation::Unsupported) =>
            {
                self.learn_capacity(false);
                self.end_running(place, actions);
            }
            _ => self.look_again(
                place,
                if others_wait {
                    due
                } else {
                    due.min(now + BEAT)
                },
            ),
        }
    }

    /// Answers running work and stops it where that is possible; its end is still to come.
    fn end_running(&mut self, place: Place, actions: &mut Vec<Action>) {
        actions.push(Action::Fail {
            id: self.st.exs[place].id,
        });
        self.stop(place, actions);
    }

    /// Stops work that nobody waits for any more. A stop has no effect while the cores stand still, so it
    /// is asked for again until the end of the run is told.
    fn stop(&mut self, place: Place, actions: &mut Vec<Action>) {
        let ex = &mut self.st.exs[place];
        ex.answered = true;
        let can = self.terms.cancellation != Cancellation::Unsupported;
        if can && ex.stage == Stage::Running {
            actions.push(Action::Cancel { id: ex.id });
        }
        self.look_again(
            place,
            if can {
                self.st.now + 5 * BEAT
            } else {
                TenthMillis::MAX
            },
        );
    }

    /// Lets go of what never ran, its entry included, so that a later try may run.
    fn drop_queued(&mut self, place: Place, actions: &mut Vec<Action>) {
        let id = self.st.exs[place].id;
        actions.extend(self.drop_record(id).then_some(Action::Forget { id }));
        self.let_go(place);
    }

    fn drop_record(&mut self, id: RequestId) -> bool {
        let live = self.st.records.remove(&id);
        self.st.memory_kb -= if live {
            f64::from(self.terms.record_kb)
        } else {
            0.0
        };
        live
    }

    fn caller_gone(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(&place) = self.st.at_door.get(&id) else {
            return;
        };
        match self.st.exs[place].stage {
            Stage::Queued | Stage::Attached => self.drop_queued(place, actions),
            _ => self.stop(place, actions),
        }
    }

    fn leave_by(&mut self, age: TenthMillis, stop_at: TenthMillis, actions: &mut Vec<Action>) {
        self.st.leave = Some((
            self.st.now.saturating_sub(age) + self.terms.drain_grace,
            stop_at,
        ));
        self.tell_health(actions);
        let places: Vec<Place> = self.st.exs.iter().map(|(place, _)| place).collect();
        for place in places {
            let due = self.last_answer(self.st.exs[place].due);
            let ex = &mut self.st.exs[place];
            (ex.due, ex.slo_by) = (due, ex.slo_by.min(due));
            let at = ex.look_at.min(due);
            self.look_again(place, at);
        }
    }

    // --- Calls below ---

    fn needs_call(&mut self, id: RequestId) {
        let Some(&place) = self.st.at_door.get(&id) else {
            return;
        };
        if self.st.exs[place].stage == Stage::Running {
            self.put(place, Stage::AtCall);
            self.queue_for_call(place);
        }
    }

    fn queue_for_call(&mut self, place: Place) {
        let ex = &self.st.exs[place];
        let group = &self.terms.groups[ex.group];
        // What cannot go on without its call goes first.
        let rank = (1000.0 * group.priority_weight * (1.0 - group.degraded_weight)) as u32;
        self.st
            .call_queue
            .push((rank, Reverse(ex.arrived), Reverse(ex.id), place));
        if group.degraded_weight > 0.0 {
            let wait = (QUEUE_SHARE * group.latency_objective as f32) as TenthMillis;
            let at = ex.look_at.min(self.st.now + wait);
            self.look_again(place, at);
        }
    }

    fn call_ended(
        &mut self,
        id: RequestId,
        outcome: CallOutcome,
        took: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        let Some(&place) = self.st.at_door.get(&id) else {
            return;
        };
        if self.st.exs[place].stage != Stage::Calling {
            return;
        }
        self.put(place, Stage::AtCall);
        self.call_left(place, outcome == CallOutcome::TimedOut);
        if outcome == CallOutcome::Completed {
            learn(&mut self.st.call_took, took as f32);
        }
        let ex = &self.st.exs[place];
        let group = &self.terms.groups[ex.group];
        let repeatable = group.effect == Effect::Idempotent || outcome.proves_not_run();
        if outcome == CallOutcome::Completed {
            self.back_to_work(place);
        } else if ex.answered {
            // Its end is on the way.
        } else if group.degraded_weight > 0.0 {
            actions.push(Action::SkipCall { id });
            self.back_to_work(place);
        } else if repeatable && ex.calls <= MORE_CALLS {
            self.queue_for_call(place);
        } else {
            self.end_running(place, actions);
        }
    }

    fn back_to_work(&mut self, place: Place) {
        self.put(place, Stage::Running);
        let (slo_by, due) = (self.st.exs[place].slo_by, self.st.exs[place].due);
        self.look_again(place, if self.st.now < slo_by { slo_by } else { due });
    }

    /// What a call was given and did not use goes back; an abandoned one lingers below for a while.
    fn call_left(&mut self, place: Place, abandoned: bool) {
        let ex = &self.st.exs[place];
        let lingers = if abandoned {
            self.terms.abandoned_call_time
        } else {
            0
        };
        self.st.call_budget += ex.call_given as f32 - (self.st.now - ex.called + lingers) as f32;
    }

    /// Makes the calls that there is room for. A budget of time keeps the node's share below over any window:
    /// a part of the share flows in, the rest of the window may be saved up, and a call is charged beforehand
    /// with all that it may take.
    fn make_calls(&mut self, actions: &mut Vec<Action>) {
        let (share, window) = (
            self.terms.downstream_concurrency,
            self.terms.downstream_window as f32,
        );
        let most = share.map_or(f32::MAX, |s| (MARGIN - CALL_INFLOW) * s * window);
        let inflow = share.map_or(f32::MAX, |s| {
            CALL_INFLOW * s * (self.st.now - self.st.call_counted) as f32
        });
        self.st.call_budget = (self.st.call_budget + inflow).min(most);
        self.st.call_counted = self.st.now;
        while let Some(&(_, _, Reverse(id), place)) = self.st.call_queue.peek() {
            let waits = |x: &&Ex| x.id == id && x.stage == Stage::AtCall && !x.answered;
            if let Some(ex) = self.st.exs.get(place).filter(waits) {
                // Where the call may be left out, it is given up while the rest can still be done in time.
                let skips = self.terms.groups[ex.group].degraded_weight > 0.0;
                let left = if skips { ex.slo_by } else { ex.due }.saturating_sub(self.st.now);
                let left = if skips { left / 2 } else { left }.max(BEAT);
                let kept = self.terms.abandoned_call_time as f32
                    + if skips { CALL_RESERVE * most } else { 0.0 };
                let limit = left.min((self.st.call_budget - kept) as TenthMillis);
                let enough = left
                    .min((CALL_TIMES * self.st.call_took).min((most - kept) / 2.0) as TenthMillis)
                    .max(1);
                if limit < enough {
                    break;
                }
                self.put(place, Stage::Calling);
                let ex = &mut self.st.exs[place];
                (ex.calls, ex.called, ex.call_given) = (
                    ex.calls + 1,
                    self.st.now,
                    limit + self.terms.abandoned_call_time,
                );
                self.st.call_budget -= ex.call_given as f32;
                actions.push(Action::Call { id, timeout: limit });
            }
            self.st.call_queue.pop();
        }
    }

    // --- Time ---

    fn upkeep(&mut self, actions: &mut Vec<Action>) {
        while let Some((_, id)) = self
            .st
            .record_ends
            .pop_front_if(|(end, _)| *end < self.st.now)
        {
            self.drop_record(id);
        }
        if self.st.now >= self.st.keys_turn {
            self.st.keys.swap(0, 1);
            self.st.keys[0].clear();
            self.st.keys_turn = self.st.now + IDLE_WINDOW;
        }
        if self.st.now >= self.st.beat {
            self.st.beat = self.st.now + BEAT;
            self.tell_level(actions);
            self.tell_health(actions);
            self.tell_idle_limit(actions);
        }
    }

    fn tell_health(&mut self, actions: &mut Vec<Action>) {
        let good = self.st.leave.is_none() && !self.stuck();
        if good != self.st.told_good {
            self.st.told_good = good;
            // Checks that do real work would add to the very overload they are to report.
            actions.push(Action::Health {
                cached: true,
                healthy: good,
            });
        }
    }

    fn note_caller(&mut self, caller: u64) {
        let unknown_caller = !self.st.callers.iter().any(|seen| seen.contains(&caller));
        self.st.unknown_callers +=
            UNKNOWN_CALLERS_NEWEST * (f32::from(unknown_caller) - self.st.unknown_callers);
        if self.st.now >= self.st.callers_turn || self.st.callers[0].len() >= MOST_CALLERS {
            self.st.callers.swap(0, 1);
            self.st.callers[0].clear();
            self.st.callers_turn = self.st.now + CALLERS_TURN;
        }
        self.st.callers[0].insert(caller);
    }

    /// With many callers most idle connections are never used again and fill the table, so they are closed
    /// early. A node that is overloaded with unread work lets the table fill: callers that find no room cost
    /// nothing, while each request that it rejects costs a read and perhaps a new connection.
    fn tell_idle_limit(&mut self, actions: &mut Vec<Action>) {
        let Some(links) = self.st.gauges.connections else {
            return;
        };
        let most = (self.terms.idle_timeout as f32).max(IDLE_LEAST);
        let most_links = if self.st.unknown_callers < UNKNOWN_CALLERS {
            LINKS_USED_AGAIN
        } else {
            LINKS_A_CORE
        };
        let crowded = links > most_links * self.terms.cores as f32;
        let next = self.st.idle_limit * if crowded { IDLE_FALL } else { IDLE_RISE };
        let next = if self.st.read_late > OVERLOAD_READS {
            most
        } else {
            next.clamp(IDLE_LEAST, most)
        };
        if next != self.st.idle_limit {
            actions.push(Action::IdleTimeout {
                timeout: (next as TenthMillis).min(self.terms.idle_timeout),
            });
        }
        self.st.idle_limit = next;
        self.st.read_late *= STRAIN_DECAY;
    }

    /// Reading costs work, so callers are told to keep back the lowest ranks while much is rejected.
    fn tell_level(&mut self, actions: &mut Vec<Action>) {
        let over = self.st.strain - STRAIN_BORNE;
        let change = if over > 0.0 {
            LEVEL_RISE * over
        } else {
            -LEVEL_FALL
        };
        let level = (self.st.level + change).clamp(0.0, LEVEL_MOST);
        // A caller's part of what is wanted in hand. Nothing is said until the first need, and after it what
        // never binds.
        let callers = self
            .st
            .callers
            .iter()
            .map(FxHashSet::len)
            .max()
            .unwrap_or(0)
            .max(1) as f32;
        let said = match self.terms.backpressure {
            Backpressure::MinRank => Some(level),
            Backpressure::Credits if self.st.strain > CREDIT_FROM => {
                Some(T1 * self.capacity / callers)
            }
            Backpressure::Credits if self.st.said > 0.0 => {
                Some(self.terms.overload_multiple * self.terms.cores as f32)
            }
            _ => None,
        };
        if let Some(level) = said.filter(|level| self.st.said != *level) {
            self.st.said = level;
            actions.push(Action::Backpressure { value: level });
        }
        self.st.level = level;
        self.st.strain *= STRAIN_DECAY;
    }

    /// One alarm for all times due: it is set whenever none is due as early as the earliest of them.
    fn arm(&mut self, actions: &mut Vec<Action>) {
        let due = self
            .st
            .watch
            .peek()
            .map_or(TenthMillis::MAX, |Reverse((at, ..))| *at);
        let next = due.min(self.st.beat).max(self.st.now + 1);
        if self.st.armed <= self.st.now || next < self.st.armed {
            self.st.armed = next;
            actions.push(Action::SetTimer { at: next, token: 0 });
        }
    }
}

/// How the time of a run follows from its hint: a line through what was seen, of late more than before. Hints
/// that tell little, and costs that are the same for all, make it flat.
#[derive(Default)]
struct Hints {
    hint: f32,
    took: f32,
    variance: f32,
    covariance: f32,
}

impl Hints {
    fn learn(&mut self, hint: f32, took: f32) {
        if self.hint <= 0.0 {
            (self.hint, self.took, self.variance) = (hint, took, HINT_DOUBT * hint * hint);
        }
        let (by, late) = (hint - self.hint, took - self.took);
        self.hint += HINT_NEWEST * by;
        self.took += HINT_NEWEST * late;
        self.variance = (1.0 - HINT_NEWEST) * (self.variance + HINT_NEWEST * by * by);
        self.covariance = (1.0 - HINT_NEWEST) * (self.covariance + HINT_NEWEST * by * late);
    }

    fn took(&self, hint: f32) -> f32 {
        self.took + self.covariance / self.variance * (hint - self.hint)
    }
}

fn learn(mean: &mut f32, newest: f32) {
    *mean = if *mean > 0.0 {
        *mean + NEWEST * (newest - *mean)
    } else {
        newest
    };
}
