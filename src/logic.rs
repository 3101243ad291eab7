//! All decisions of a node. `Door::new` is handed the contract and a seed; from then on `Door::happen`
//! takes a batch of what happened, in order, and adds what is to be done. Both types are in `lib.rs`.
//! Ordinary path: `arrived` asks `turned_away` (the design's rule), holds what is taken in one of two
//! lines, and `begin_work` runs it. `look` acts at the moments at which an exchange is due for a decision.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rustc_hash::{FxHashMap, FxHashSet};
use slab::Slab;

use crate::{
    CallOutcome, Effect, ExId, Exchange, Gauges, Happened, RunOutcome, ServiceContract, StopKind, Tenths,
    Todo,
};

const MS: Tenths = 10;
const SECOND: Tenths = 1000 * MS;

/// Exchanges that run at once, for each core.
const RUNS_A_CORE: f32 = 1.5;
/// Thresholds of the design, as shares of C.
const T1: f32 = 0.75;
const T2: f32 = 0.90;
/// The design's rule denies only while the busy-cores gauge reads this much.
const BUSY: f32 = 0.95;
/// C rises by this for each run that met its SLO time under load, and falls to this share of itself at a miss.
const C_RISE: f32 = 0.2;
const C_FALL: f32 = 0.93;
/// One bad moment is one miss: further ones within this time don't lower C again.
const C_REST: Tenths = 100 * MS;
/// A key stays established for one to two of these without a completed exchange.
const IDLE_WINDOW: Tenths = 20 * SECOND;
/// Bound on the established keys of each half of the table.
const MOST_KEYS: usize = 4096;
/// Share of what a node survives, of crowd, memory and calls, that it lets itself use.
const MARGIN: f32 = 0.9;
/// Time between two readings of the gauges.
const BEAT: Tenths = 50 * MS;
/// Weight of the newest run or call in what is learned.
const NEWEST: f32 = 0.1;
/// Work is long from this multiple of the mean on; it may fill this share of the places while short work waits.
const LONG: f32 = 2.0;
const LONG_SHARE: f32 = 0.5;
/// How often a call may be repeated.
const MORE_CALLS: u8 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Held,
    /// Waits for the outcome of the exchange it repeats.
    Attached(ExId),
    Running,
    /// Stands at a call that has not been made.
    AtCall,
    Calling,
}

struct Ex {
    id: ExId,
    group: usize,
    subject: u64,
    stage: Stage,
    arrived: Tenths,
    slo_by: Tenths,
    due: Tenths,
    /// When `look` is to see it next.
    look_at: Tenths,
    began: Tenths,
    work: f32,
    kb: f32,
    density: u32,
    long: bool,
    answered: bool,
    calls: u8,
}

/// What differs by endpoint group beyond the contract: what was learned of its runs.
#[derive(Clone, Copy, Default)]
struct Row {
    /// Mean time of a completed run, and mean work told for it.
    took: f32,
    work: f32,
}

type Place = usize;
/// Best first: benefit for the work, then the oldest.
type Line = BinaryHeap<(u32, Reverse<Tenths>, Reverse<ExId>, Place)>;

pub struct Door {
    terms: ServiceContract,
    rng: fastrand::Rng,
    now: Tenths,
    born: Tenths,
    exs: Slab<Ex>,
    at_door: FxHashMap<ExId, Place>,
    /// Held exchanges, short and long work. Entries of those no longer held are passed over.
    lines: [Line; 2],
    watch: BinaryHeap<Reverse<(Tenths, ExId, Place)>>,
    rows: Vec<Row>,
    mean_work: f32,
    held: usize,
    running: usize,
    long_running: usize,
    at_calls: usize,
    memory_kb: f32,
    records: FxHashSet<ExId>,
    record_ends: VecDeque<(Tenths, ExId)>,
    capacity: f32,
    last_miss: Tenths,
    established: [FxHashSet<u64>; 2],
    keys_turn: Tenths,
    gauges: Gauges,
    beat_at: Tenths,
    armed: Tenths,
    call_line: VecDeque<(ExId, Place)>,
    calls_out: usize,
    /// Abandoned calls count until these times.
    lingering: VecDeque<Tenths>,
    call_took: f32,
    next_call: Tenths,
    leave: Option<(Tenths, Tenths)>,
}

impl Door {
    pub fn new(terms: ServiceContract, seed: u64) -> Self {
        Door {
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            born: 0,
            exs: Slab::new(),
            at_door: FxHashMap::default(),
            lines: [Line::new(), Line::new()],
            watch: BinaryHeap::new(),
            rows: vec![Row::default(); terms.groups.len()],
            mean_work: 0.0,
            held: 0,
            running: 0,
            long_running: 0,
            at_calls: 0,
            memory_kb: 0.0,
            records: FxHashSet::default(),
            record_ends: VecDeque::new(),
            capacity: terms.cores.max(1) as f32,
            last_miss: 0,
            established: [FxHashSet::default(), FxHashSet::default()],
            keys_turn: 0,
            gauges: Gauges::default(),
            beat_at: 0,
            armed: 0,
            call_line: VecDeque::new(),
            calls_out: 0,
            lingering: VecDeque::new(),
            call_took: 0.0,
            next_call: 0,
            leave: None,
            terms,
        }
    }

    /// The one entry point.
    pub fn happen(&mut self, now: Tenths, batch: &[Happened], todo: &mut Vec<Todo>) {
        self.now = now;
        for what in batch {
            match what {
                Happened::Started => self.started(todo),
                Happened::Arrived(ex) => self.arrived(ex, todo),
                Happened::RunEnded { id, outcome } => self.run_ended(*id, *outcome),
                Happened::NeedsCall { id } => self.needs_call(*id),
                Happened::CallEnded { id, outcome, took } => self.call_ended(*id, *outcome, *took, todo),
                Happened::CallerGone { id } => self.caller_gone(*id, todo),
                Happened::Leave { stop_at } => self.leave_by(*stop_at, todo),
                Happened::Alarm { gauges, .. } => self.gauges = *gauges,
            }
        }
        self.upkeep();
        self.look_at_due(todo);
        self.make_calls(todo);
        self.begin_work(todo);
        self.shed_for_memory(todo);
        self.arm(todo);
    }

    fn started(&mut self, todo: &mut Vec<Todo>) {
        self.born = self.now;
        self.keys_turn = self.now + IDLE_WINDOW;
        // Checks that do real work would add to the very overload they are to report.
        todo.push(Todo::Health { from_store: true, good: true });
    }

    // --- Admission ---

    /// The design's rule: who is denied on reading. Keys already served are sheltered, newcomers bear
    /// the overload, and above C all is denied.
    fn turned_away(&mut self, ex: &Exchange) -> bool {
        // Before the first reading the runs themselves tell whether the cores are busy.
        let busy = match self.gauges.busy_cores {
            Some(share) if share.is_finite() => share >= BUSY,
            _ => self.running >= self.places(),
        };
        let load = (self.held + self.running) as f32;
        let (t1, t2) = (T1 * self.capacity, T2 * self.capacity);
        if !busy || load <= t1 {
            return false;
        }
        if load > self.capacity {
            return true;
        }
        if self.is_established(ex.subject) {
            return false;
        }
        load > t2 || self.rng.f32() < (load - t1) / (self.capacity - t1)
    }

    fn is_established(&self, subject: u64) -> bool {
        subject != 0 && self.established.iter().any(|half| half.contains(&subject))
    }

    fn establish(&mut self, subject: u64) {
        if subject == 0 {
            return;
        }
        if self.established[0].len() >= MOST_KEYS {
            self.turn_keys();
        }
        self.established[0].insert(subject);
    }

    fn turn_keys(&mut self) {
        self.established.swap(0, 1);
        self.established[0].clear();
        self.keys_turn = self.now + IDLE_WINDOW;
    }

    /// C follows what the runs show: SLO times met under load raise it, missed ones lower it.
    fn learn_capacity(&mut self, met: bool) {
        let cores = self.terms.cores.max(1) as f32;
        if !met {
            if self.now >= self.last_miss + C_REST {
                self.last_miss = self.now;
                self.capacity *= C_FALL;
            }
        } else if (self.held + self.running) as f32 > T1 * self.capacity {
            // Only a load near C says anything about C.
            self.capacity += C_RISE;
        }
        self.capacity = self.capacity.clamp(cores, (self.terms.tip_multiple * cores).max(cores));
    }

    fn arrived(&mut self, ex: &Exchange, todo: &mut Vec<Todo>) {
        let Some(group) = self.terms.groups.get(ex.group as usize) else {
            todo.push(Todo::Terminate { id: ex.id });
            return;
        };
        let arrived = self.now.saturating_sub(ex.age);
        let due = ex.due.unwrap_or((arrived + group.async_timeout).saturating_sub(1));
        let work = ex.work_hint.unwrap_or(0) as f32;
        let slo_by = (arrived + group.slo_time + (group.slo_stretch * work) as Tenths).min(due);
        let effect = group.effect;
        let lasting = group.window.saturating_sub(ex.age);
        let root = ex.repeats.and_then(|first| self.root_of(ex.id, first));
        let stage = root.map_or(Stage::Held, Stage::Attached);
        let new = Ex {
            id: ex.id,
            group: ex.group as usize,
            subject: ex.subject,
            stage,
            arrived,
            slo_by,
            due: self.last_answer(due),
            look_at: 0,
            began: 0,
            work,
            kb: ex.kb.max(0.0),
            density: 0,
            long: false,
            answered: false,
            calls: 0,
        };
        if root.is_some() {
            // Whatever became of the first try, a repeat takes its outcome: it is neither run nor denied.
            todo.push(Todo::Attach { id: ex.id });
            let place = self.take_in(new);
            let due = self.exs[place].due;
            self.look_again(place, due);
            return;
        }
        let too_late = self.leave.is_some_and(|(last, _)| arrived + 1 > last);
        let recorded_kb = if effect == Effect::Deduplicated { self.terms.record_kb } else { 0.0 };
        let no_room = self.memory_kb + new.kb + recorded_kb > self.memory_room();
        if too_late || no_room || self.turned_away(ex) {
            todo.push(self.denial(ex.id, ex.further_try));
            return;
        }
        if effect == Effect::Deduplicated {
            // Entered on reading: a repeat of a try that is held without an entry would not be known as one.
            todo.push(Todo::Record { id: ex.id, lasting });
            self.records.insert(ex.id);
            self.record_ends.push_back((self.now + lasting, ex.id));
            self.memory_kb += recorded_kb;
        }
        let place = self.take_in(new);
        self.held += 1;
        self.file(place);
    }

    /// The exchange that a repeat is to wait for. Tries of one batch may name each other: the one whose
    /// chain leads back to itself is the first.
    fn root_of(&self, id: ExId, first: ExId) -> Option<ExId> {
        let mut root = first;
        for _ in 0..=self.exs.len() {
            match self.at_door.get(&root).map(|p| self.exs[*p].stage) {
                Some(Stage::Attached(next)) if next == id => return None,
                Some(Stage::Attached(next)) => root = next,
                _ => break,
            }
        }
        Some(first)
    }

    fn take_in(&mut self, ex: Ex) -> Place {
        self.memory_kb += ex.kb;
        let id = ex.id;
        let place = self.exs.insert(ex);
        self.at_door.insert(id, place);
        place
    }

    /// Puts a held exchange in its line, by what it still earns for the work it needs.
    fn file(&mut self, place: Place) {
        let ex = &self.exs[place];
        let group = &self.terms.groups[ex.group];
        let expected = self.expected(ex);
        let late = self.now + expected > ex.slo_by;
        let earns = group.benefit * if late { group.late_share } else { 1.0 };
        let need = if self.terms.by_work { 1.0 } else { self.need(ex).max(0.01) };
        let density = (1000.0 * earns / need) as u32;
        let long = self.need(ex) > LONG;
        let last_start = if late { ex.due } else { ex.slo_by }.saturating_sub(expected);
        let entry = (density, Reverse(ex.arrived), Reverse(ex.id), place);
        let ex = &mut self.exs[place];
        (ex.density, ex.long) = (density, long);
        self.lines[usize::from(long)].push(entry);
        self.look_again(place, last_start.max(self.now) + 1);
    }

    /// Work of an exchange over the mean of all; 1 where nothing is known.
    fn need(&self, ex: &Ex) -> f32 {
        let work = if ex.work > 0.0 { ex.work } else { self.rows[ex.group].took };
        if work > 0.0 && self.mean_work > 0.0 { work / self.mean_work } else { 1.0 }
    }

    /// Expected time of a run. Never more than half the SLO time, so that a node that has come to expect
    /// too much still begins fresh work and learns better.
    fn expected(&self, ex: &Ex) -> Tenths {
        let row = &self.rows[ex.group];
        let ratio = if ex.work > 0.0 && row.work > 0.0 { (ex.work / row.work).clamp(0.2, 5.0) } else { 1.0 };
        ((row.took * ratio) as Tenths).min(self.terms.groups[ex.group].slo_time / 2)
    }

    // --- Running ---

    /// Runs that the crowd rule survives at this age; less while cold.
    fn survivable(&self) -> f32 {
        let age = (self.now - self.born) as f32 / self.terms.warm_after.max(1) as f32;
        let speed = if self.terms.cold {
            self.terms.start_speed + (1.0 - self.terms.start_speed) * age.min(1.0)
        } else {
            1.0
        };
        MARGIN * (1.0 + (self.terms.tip_multiple - 1.0).max(0.0) * speed) * self.terms.cores as f32
    }

    fn places(&self) -> usize {
        (RUNS_A_CORE * self.terms.cores as f32).min(self.survivable()).max(1.0) as usize
    }

    fn memory_room(&self) -> f32 {
        self.terms.memory_kb * (1.0 + MARGIN) / 2.0
    }

    fn begin_work(&mut self, todo: &mut Vec<Todo>) {
        let (places, most) = (self.places(), self.survivable().max(1.0) as usize);
        while self.running < places && self.running + self.at_calls < most {
            let Some(place) = self.next_to_run(places) else { break };
            let ex = &mut self.exs[place];
            let more = ex.kb * (self.terms.run_factor - 1.0).max(0.0);
            if self.memory_kb + more > self.terms.memory_kb * (1.0 + MARGIN) / 2.0 && self.running > 0 {
                break;
            }
            self.memory_kb += more;
            (ex.stage, ex.began) = (Stage::Running, self.now);
            let (id, long, next) = (ex.id, ex.long, ex.slo_by.min(ex.due).max(self.now + 1));
            self.lines[usize::from(long)].pop();
            self.held -= 1;
            self.running += 1;
            self.long_running += usize::from(long);
            self.look_again(place, next);
            todo.push(Todo::Run { id });
        }
    }

    /// The best head of the two lines. Long work leaves places to short work that waits.
    fn next_to_run(&mut self, places: usize) -> Option<Place> {
        for line in &mut self.lines {
            while let Some(&(density, _, Reverse(id), place)) = line.peek() {
                let ex = self.exs.get(place);
                if ex.is_some_and(|x| x.id == id && x.stage == Stage::Held && x.density == density) {
                    break;
                }
                line.pop();
            }
        }
        let (short, long) = (self.lines[0].peek(), self.lines[1].peek());
        let long_full = self.long_running as f32 >= LONG_SHARE * places as f32;
        match (short, long) {
            (Some(s), Some(l)) => Some(if long_full || s >= l { s.3 } else { l.3 }),
            (s, l) => s.or(l).map(|head| head.3),
        }
    }

    fn run_ended(&mut self, id: ExId, outcome: RunOutcome) {
        let Some(&place) = self.at_door.get(&id) else { return };
        let ex = &self.exs[place];
        if outcome == RunOutcome::Completed && ex.stage != Stage::Held && !ex.answered {
            let (subject, met) = (ex.subject, self.now <= ex.slo_by);
            if !matches!(ex.stage, Stage::Attached(_)) {
                let (group, took, work) = (ex.group, (self.now - ex.began) as f32, ex.work);
                let row = &mut self.rows[group];
                learn(&mut row.took, took);
                if work > 0.0 {
                    learn(&mut row.work, work);
                }
                learn(&mut self.mean_work, if work > 0.0 { work } else { took });
                self.learn_capacity(met);
            }
            self.establish(subject);
        }
        self.let_go(place);
    }

    /// Takes an exchange out of every count.
    fn let_go(&mut self, place: Place) {
        let ex = self.exs.remove(place);
        self.at_door.remove(&ex.id);
        self.memory_kb -= ex.kb;
        match ex.stage {
            Stage::Held => self.held -= 1,
            Stage::Attached(_) => return,
            Stage::Running => self.running -= 1,
            Stage::AtCall => self.at_calls -= 1,
            Stage::Calling => {
                self.at_calls -= 1;
                self.call_left(true);
            }
        }
        if ex.stage != Stage::Held {
            self.long_running -= usize::from(ex.long);
            self.memory_kb -= ex.kb * (self.terms.run_factor - 1.0).max(0.0);
        }
        if self.exs.is_empty() {
            // Sums of fractions drift; an empty node is the moment to set them right.
            self.memory_kb = self.records.len() as f32 * self.terms.record_kb;
        }
    }

    // --- Answers ---

    /// The last moment for an answer: two ticks before it is due, and before the stop.
    fn last_answer(&self, due: Tenths) -> Tenths {
        let due = self.leave.map_or(due, |(_, stop)| due.min(stop));
        due.saturating_sub(2 * self.terms.tick)
    }

    fn denial(&mut self, id: ExId, not_elsewhere: bool) -> Todo {
        let over = (self.held + self.running) as f32 - T1 * self.capacity;
        let each = self.mean_took() / self.places() as f32;
        let wait = if self.leave.is_some() { Tenths::MAX } else { (over * each).max(0.0) as Tenths };
        Todo::Deny { id, not_elsewhere, come_back_in: wait.min(self.terms.longest_come_back) }
    }

    fn mean_took(&self) -> f32 {
        let (sum, n) =
            self.rows.iter().filter(|r| r.took > 0.0).fold((0.0, 0), |(s, n), r| (s + r.took, n + 1));
        if n > 0 { sum / n as f32 } else { 0.0 }
    }

    fn look_at_due(&mut self, todo: &mut Vec<Todo>) {
        while let Some(&Reverse((at, id, place))) = self.watch.peek() {
            let current = self.exs.get(place).is_some_and(|ex| ex.id == id && ex.look_at == at);
            if current && at > self.now {
                break;
            }
            self.watch.pop();
            if current {
                self.look(place, todo);
            }
        }
    }

    fn look_again(&mut self, place: Place, at: Tenths) {
        let ex = &mut self.exs[place];
        ex.look_at = at;
        self.watch.push(Reverse((at, ex.id, place)));
    }

    /// An exchange has come to the moment at which it is due for a decision.
    fn look(&mut self, place: Place, todo: &mut Vec<Todo>) {
        let ex = &self.exs[place];
        let (id, due, late_share) = (ex.id, ex.due, self.terms.groups[ex.group].late_share);
        let over = self.now >= due;
        match ex.stage {
            Stage::Held => {
                let hopeless = self.now + self.expected(ex) > due;
                if over || hopeless || late_share <= 0.0 {
                    self.learn_capacity(false);
                    self.give_up_held(place, todo);
                } else {
                    self.file(place);
                }
            }
            Stage::Attached(_) => {
                todo.push(Todo::Terminate { id });
                self.let_go(place);
            }
            _ if ex.answered => self.stop(place, todo),
            _ if over || (late_share <= 0.0 && self.held > 0 && self.terms.stop != StopKind::Never) => {
                self.learn_capacity(false);
                self.end_running(place, todo);
            }
            _ => self.look_again(place, if self.held > 0 { due } else { due.min(self.now + BEAT) }),
        }
    }

    /// Answers what was held and never run, at once.
    fn give_up_held(&mut self, place: Place, todo: &mut Vec<Todo>) {
        let id = self.exs[place].id;
        todo.push(self.denial(id, true));
        self.forget(id, todo);
        self.let_go(place);
    }

    /// Answers running work and stops it where that is possible; its end is still to come.
    fn end_running(&mut self, place: Place, todo: &mut Vec<Todo>) {
        let ex = &mut self.exs[place];
        ex.answered = true;
        let id = ex.id;
        todo.push(Todo::Terminate { id });
        self.stop(place, todo);
    }

    /// Stops work that nobody waits for any more. A stop has no effect while the cores stand still, so it
    /// is asked for again until the end of the run is told.
    fn stop(&mut self, place: Place, todo: &mut Vec<Todo>) {
        let ex = &self.exs[place];
        let can = self.terms.stop != StopKind::Never;
        if can && ex.stage == Stage::Running {
            todo.push(Todo::Stop { id: ex.id });
        }
        self.look_again(place, if can { self.now + 5 * BEAT } else { Tenths::MAX });
    }

    fn forget(&mut self, id: ExId, todo: &mut Vec<Todo>) {
        if self.records.remove(&id) {
            self.memory_kb -= self.terms.record_kb;
            todo.push(Todo::Forget { id });
        }
    }

    fn caller_gone(&mut self, id: ExId, todo: &mut Vec<Todo>) {
        let Some(&place) = self.at_door.get(&id) else { return };
        let ex = &self.exs[place];
        match ex.stage {
            Stage::Held => {
                self.forget(id, todo);
                self.let_go(place);
            }
            Stage::Attached(_) => self.let_go(place),
            _ => {
                // The result of a deduplicated one may still serve a repeat in time.
                let serves =
                    self.terms.groups[ex.group].effect == Effect::Deduplicated && self.now < ex.slo_by;
                if !ex.answered && !serves && self.terms.stop != StopKind::Never && ex.stage == Stage::Running
                {
                    self.exs[place].answered = true;
                    todo.push(Todo::Stop { id });
                    self.look_again(place, self.now + 5 * BEAT);
                }
            }
        }
    }

    fn leave_by(&mut self, stop_at: Tenths, todo: &mut Vec<Todo>) {
        self.leave = Some((self.now + self.terms.drain_grace, stop_at));
        todo.push(Todo::Health { from_store: true, good: false });
        let places: Vec<Place> = self.exs.iter().map(|(place, _)| place).collect();
        for place in places {
            let due = self.last_answer(self.exs[place].due);
            let ex = &mut self.exs[place];
            ex.due = due;
            ex.slo_by = ex.slo_by.min(due);
            let at = ex.look_at.min(due);
            self.look_again(place, at);
        }
    }

    /// More was read than memory bears: the least worth of what is held goes.
    fn shed_for_memory(&mut self, todo: &mut Vec<Todo>) {
        while self.memory_kb > self.memory_room() {
            let held = self.exs.iter().filter(|(_, ex)| ex.stage == Stage::Held);
            let Some((place, _)) = held.min_by_key(|(_, ex)| (ex.density, ex.id)) else { break };
            self.give_up_held(place, todo);
        }
    }

    // --- Calls below ---

    fn needs_call(&mut self, id: ExId) {
        let Some(&place) = self.at_door.get(&id) else { return };
        let ex = &mut self.exs[place];
        if ex.stage != Stage::Running {
            return;
        }
        ex.stage = Stage::AtCall;
        self.running -= 1;
        self.at_calls += 1;
        self.call_line.push_back((id, place));
    }

    fn call_ended(&mut self, id: ExId, outcome: CallOutcome, took: Tenths, todo: &mut Vec<Todo>) {
        let Some(&place) = self.at_door.get(&id) else { return };
        let ex = &mut self.exs[place];
        if ex.stage != Stage::Calling {
            return;
        }
        ex.stage = Stage::AtCall;
        let effect = self.terms.groups[ex.group].effect;
        let may_repeat = (effect == Effect::Repeatable || outcome.proves_not_run()) && ex.calls <= MORE_CALLS;
        let skips = self.terms.groups[ex.group].skip_share > 0.0;
        let answered = ex.answered;
        self.call_left(outcome == CallOutcome::TimedOut);
        if outcome == CallOutcome::Completed {
            learn(&mut self.call_took, took as f32);
            self.back_to_work(place);
        } else if answered {
        } else if skips {
            todo.push(Todo::SkipCall { id });
            self.back_to_work(place);
        } else if may_repeat {
            self.call_line.push_back((id, place));
        } else {
            self.end_running(place, todo);
        }
    }

    fn back_to_work(&mut self, place: Place) {
        self.exs[place].stage = Stage::Running;
        self.at_calls -= 1;
        self.running += 1;
    }

    fn call_left(&mut self, abandoned: bool) {
        self.calls_out = self.calls_out.saturating_sub(1);
        if abandoned && self.terms.calls_share.is_some() {
            self.lingering.push_back(self.now + self.terms.linger);
        }
        if let Some(share) = self.terms.calls_share.filter(|share| MARGIN * share < 1.0) {
            // A share under one call is kept by resting: one call of at most share x window in each window.
            self.next_call = self.now + if share > 0.0 { self.terms.calls_window } else { 0 };
        }
    }

    /// Makes the calls that the node's share of what lies below has room for.
    fn make_calls(&mut self, todo: &mut Vec<Todo>) {
        while self.lingering.front().is_some_and(|end| *end <= self.now) {
            self.lingering.pop_front();
        }
        while let Some(&(id, place)) = self.call_line.front() {
            if !self.exs.get(place).is_some_and(|x| x.id == id && x.stage == Stage::AtCall && !x.answered) {
                self.call_line.pop_front();
                continue;
            }
            let share = self.terms.calls_share.map(|share| share * MARGIN);
            let in_hand = (self.calls_out + self.lingering.len()) as f32;
            if share.is_some_and(|s| in_hand + 1.0 > s.max(1.0) || s <= 0.0 || self.now < self.next_call) {
                break;
            }
            self.call_line.pop_front();
            let ex = &mut self.exs[place];
            ex.calls += 1;
            ex.stage = Stage::Calling;
            let mut limit = ex.due.saturating_sub(self.now).max(1);
            if let Some(s) = share.filter(|s| *s < 1.0) {
                let longest = (s * self.terms.calls_window as f32) as Tenths;
                limit = limit.min(longest.saturating_sub(self.terms.linger).max(1));
            }
            self.calls_out += 1;
            todo.push(Todo::Call { id, limit });
        }
    }

    // --- Time ---

    fn upkeep(&mut self) {
        while self.record_ends.front().is_some_and(|(end, _)| *end < self.now) {
            let (_, id) = self.record_ends.pop_front().expect("just seen");
            if self.records.remove(&id) {
                self.memory_kb -= self.terms.record_kb;
            }
        }
        if self.now >= self.keys_turn {
            self.turn_keys();
        }
        if self.now >= self.beat_at {
            self.beat_at = self.now + BEAT;
        }
    }

    /// One alarm for all times due: it is set whenever none is due as early as the earliest of them.
    fn arm(&mut self, todo: &mut Vec<Todo>) {
        let due = self.watch.peek().map_or(Tenths::MAX, |Reverse((at, ..))| *at);
        let next = due.min(self.beat_at).max(self.now + 1);
        if self.armed <= self.now || next < self.armed {
            self.armed = next;
            todo.push(Todo::Alarm { at: next, token: 0 });
        }
    }
}

fn learn(mean: &mut f32, newest: f32) {
    *mean = if *mean > 0.0 { *mean + NEWEST * (newest - *mean) } else { newest };
}
