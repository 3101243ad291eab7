//! All decisions of a node. `Door::new` is handed the contract and a seed; from then on `Door::happen`
//! takes a batch of what happened, in order, and adds what is to be done. Both types are in `lib.rs`.
//! Ordinary path: `arrived` asks `turned_away` (the design's rule), holds what is taken in one of two
//! lines, and `begin_work` runs it. `look` acts at the moments at which an exchange is due for a decision.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rustc_hash::{FxHashMap, FxHashSet};
use slab::Slab;

use crate::{
    CallOutcome, Effect, ExId, Exchange, Gauges, Happened, LevelKind, RunOutcome, ServiceContract, StopKind,
    Tenths, Todo,
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
/// Share of what a node survives that it lets itself use: of crowd and calls, and of memory, counted exactly.
const MARGIN: f32 = 0.9;
const MEMORY: f32 = 0.95;
/// Time between two readings of the gauges.
const BEAT: Tenths = 50 * MS;
/// Weight of the newest run or call in what is learned.
const NEWEST: f32 = 0.1;
/// Work is long from this multiple of the mean on; it may fill this share of the places while short work waits.
const LONG: f32 = 2.0;
const LONG_SHARE: f32 = 0.5;
/// A call that may be left out is, once it has waited this share of its SLO time for room below.
const CALL_PATIENCE: f32 = 0.15;
/// Calls are crowded below when they take this many times the least they took.
const CALL_CROWDED: f32 = 2.0;
const CALL_LEAST_RISE: f32 = 1.005;
/// Calls let out at first, as a share of those that what lies below survives.
const CALL_START: f32 = 0.3;
/// Weight of the newest reading in the strain, the strain borne without a level, and how fast the level follows.
const STRAIN_NEWEST: f32 = 0.03;
const STRAIN_BORNE: f32 = 0.1;
const LEVEL_GAIN: f32 = 0.05;
const LEVEL_FALL: f32 = 0.4;
const LEVEL_MOST: f32 = 0.9;
/// Read late: unread for this share of the SLO time.
const READ_LATE: f32 = 0.1;
/// How often a call may be repeated.
const MORE_CALLS: u8 = 2;

#[derive(Clone, Copy, Default, PartialEq)]
enum Stage {
    #[default]
    Held,
    /// Waits for the outcome of the exchange it repeats.
    Attached(ExId),
    Running,
    /// Stands at a call that has not been made.
    AtCall,
    Calling,
}

#[derive(Default)]
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

/// What differs by endpoint group beyond the contract: mean time of its runs, and mean work told for them.
#[derive(Clone, Copy, Default)]
struct Row {
    took: f32,
    work: f32,
}

type Place = usize;
/// Best first: benefit for the work, then the oldest.
type Line = BinaryHeap<(u32, Reverse<Tenths>, Reverse<ExId>, Place)>;

pub struct Door {
    terms: ServiceContract,
    rng: fastrand::Rng,
    /// C of the design.
    capacity: f32,
    rows: Vec<Row>,
    at: Clock,
    hold: Hold,
    records: Records,
    keys: Keys,
    calls: Calls,
    gauges: Gauges,
    /// Share of what was read lately that was denied or had waited long unread.
    strain: f32,
    level: f32,
}

#[derive(Default)]
struct Clock {
    now: Tenths,
    born: Tenths,
    last_miss: Tenths,
    /// Next reading of the gauges, and the alarm that is set.
    beat: Tenths,
    armed: Tenths,
    /// Last arrival that may be run, and the stop, once told to leave.
    leave: Option<(Tenths, Tenths)>,
}

#[derive(Default)]
struct Hold {
    exs: Slab<Ex>,
    at_door: FxHashMap<ExId, Place>,
    /// Held exchanges, short and long work. Entries of those no longer held are passed over.
    lines: [Line; 2],
    /// When `look` is to see which exchange. Entries of another time than its own are passed over.
    watch: BinaryHeap<Reverse<(Tenths, ExId, Place)>>,
    held: usize,
    running: usize,
    long_running: usize,
    at_calls: usize,
    memory_kb: f32,
    mean_work: f32,
    mean_took: f32,
}

#[derive(Default)]
struct Records {
    live: FxHashSet<ExId>,
    ends: VecDeque<(Tenths, ExId)>,
}

/// Established keys, of this turn and the one before.
#[derive(Default)]
struct Keys {
    halves: [FxHashSet<u64>; 2],
    turn: Tenths,
}

#[derive(Default)]
struct Calls {
    line: Line,
    out: usize,
    /// Abandoned calls count until these times.
    lingering: VecDeque<Tenths>,
    /// How many may be out, as learned from the time they take over the least that they took.
    room: f32,
    took: f32,
    least: f32,
    rest_until: Tenths,
}

impl Door {
    pub fn new(terms: ServiceContract, seed: u64) -> Self {
        Door {
            rng: fastrand::Rng::with_seed(seed),
            capacity: terms.cores.max(1) as f32,
            rows: vec![Row::default(); terms.groups.len()],
            at: Clock::default(),
            hold: Hold::default(),
            records: Records::default(),
            keys: Keys::default(),
            calls: Calls::default(),
            gauges: Gauges::default(),
            strain: 0.0,
            level: 0.0,
            terms,
        }
    }

    /// The one entry point.
    pub fn happen(&mut self, now: Tenths, batch: &[Happened], todo: &mut Vec<Todo>) {
        self.at.now = now;
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
        self.upkeep(todo);
        self.look_at_due(todo);
        self.make_calls(todo);
        self.begin_work(todo);
        self.shed_for_memory(todo);
        self.arm(todo);
    }

    fn started(&mut self, todo: &mut Vec<Todo>) {
        self.at.born = self.at.now;
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
            _ => self.hold.running >= self.places(),
        };
        let load = (self.hold.held + self.hold.running) as f32;
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
        subject != 0 && self.keys.halves.iter().any(|half| half.contains(&subject))
    }

    fn establish(&mut self, subject: u64) {
        if self.keys.halves[0].len() >= MOST_KEYS {
            self.turn_keys();
        }
        self.keys.halves[0].insert(subject);
    }

    fn turn_keys(&mut self) {
        self.keys.halves.swap(0, 1);
        self.keys.halves[0].clear();
        self.keys.turn = self.at.now + IDLE_WINDOW;
    }

    /// C follows what the runs show: SLO times met under load raise it, missed ones lower it.
    fn learn_capacity(&mut self, met: bool) {
        let cores = self.terms.cores.max(1) as f32;
        if !met {
            if self.at.now >= self.at.last_miss + C_REST {
                self.at.last_miss = self.at.now;
                self.capacity *= C_FALL;
            }
        } else if (self.hold.held + self.hold.running) as f32 > T1 * self.capacity {
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
        let arrived = self.at.now.saturating_sub(ex.age);
        let due = ex.due.unwrap_or((arrived + group.async_timeout).saturating_sub(1));
        let work = ex.work_hint.unwrap_or(0) as f32;
        let slo_by = (arrived + group.slo_time + (group.slo_stretch * work) as Tenths).min(due);
        let (effect, slo_time) = (group.effect, group.slo_time);
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
            work,
            kb: ex.kb.max(0.0),
            ..Ex::default()
        };
        if root.is_some() {
            // Whatever became of the first try, a repeat takes its outcome: it is neither run nor denied.
            todo.push(Todo::Attach { id: ex.id });
            let place = self.take_in(new);
            let due = self.hold.exs[place].due;
            self.look_again(place, due);
            return;
        }
        let too_late = self.at.now >= new.due || self.at.leave.is_some_and(|(last, _)| arrived + 1 > last);
        let recorded_kb = if effect == Effect::Deduplicated { self.terms.record_kb } else { 0.0 };
        let no_room = self.hold.memory_kb + new.kb + recorded_kb > self.terms.memory_kb * MEMORY;
        let denied = too_late || no_room || self.turned_away(ex);
        let unread_long = ex.age as f32 > READ_LATE * slo_time as f32;
        self.strain += STRAIN_NEWEST * (f32::from(u8::from(denied || unread_long)) - self.strain);
        if denied {
            todo.push(self.denial(ex.id, ex.further_try || self.strain > STRAIN_BORNE));
            return;
        }
        if effect == Effect::Deduplicated {
            // Entered on reading: a repeat of a try that is held without an entry would not be known as one.
            todo.push(Todo::Record { id: ex.id, lasting });
            self.records.live.insert(ex.id);
            self.records.ends.push_back((self.at.now + lasting, ex.id));
            self.hold.memory_kb += recorded_kb;
        }
        let place = self.take_in(new);
        self.hold.held += 1;
        self.file(place);
    }

    /// The exchange that a repeat is to wait for. Tries of one batch may name each other: the one whose
    /// chain leads back to itself is the first.
    fn root_of(&self, id: ExId, first: ExId) -> Option<ExId> {
        let mut root = first;
        for _ in 0..=self.hold.exs.len() {
            match self.hold.at_door.get(&root).map(|p| self.hold.exs[*p].stage) {
                Some(Stage::Attached(next)) if next == id => return None,
                Some(Stage::Attached(next)) => root = next,
                _ => break,
            }
        }
        Some(first)
    }

    fn take_in(&mut self, ex: Ex) -> Place {
        self.hold.memory_kb += ex.kb;
        let id = ex.id;
        let place = self.hold.exs.insert(ex);
        self.hold.at_door.insert(id, place);
        place
    }

    /// Puts a held exchange in its line, by what it still earns for the work it needs.
    fn file(&mut self, place: Place) {
        let ex = &self.hold.exs[place];
        let group = &self.terms.groups[ex.group];
        let expected = self.expected(ex);
        let late = self.at.now + expected > ex.slo_by;
        let earns = group.benefit * if late { group.late_share } else { 1.0 };
        let need = if self.terms.by_work { 1.0 } else { self.need(ex).max(0.01) };
        let density = (1000.0 * earns / need) as u32;
        let long = self.need(ex) > LONG;
        let last_start = if late { ex.due } else { ex.slo_by }.saturating_sub(expected);
        let entry = (density, Reverse(ex.arrived), Reverse(ex.id), place);
        let ex = &mut self.hold.exs[place];
        (ex.density, ex.long) = (density, long);
        self.hold.lines[usize::from(long)].push(entry);
        self.look_again(place, last_start.max(self.at.now) + 1);
    }

    /// Work of an exchange over the mean of all; 1 where nothing is known.
    fn need(&self, ex: &Ex) -> f32 {
        let work = if ex.work > 0.0 { ex.work } else { self.rows[ex.group].took };
        if work > 0.0 && self.hold.mean_work > 0.0 { work / self.hold.mean_work } else { 1.0 }
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
        let age = (self.at.now - self.at.born) as f32 / self.terms.warm_after.max(1) as f32;
        let warmth = if self.terms.cold { age.min(1.0) } else { 1.0 };
        let speed = self.terms.start_speed + (1.0 - self.terms.start_speed) * warmth;
        MARGIN * (1.0 + (self.terms.tip_multiple - 1.0).max(0.0) * speed) * self.terms.cores as f32
    }

    fn places(&self) -> usize {
        (RUNS_A_CORE * self.terms.cores as f32).min(self.survivable()).max(1.0) as usize
    }

    fn begin_work(&mut self, todo: &mut Vec<Todo>) {
        let (places, most) = (self.places(), self.survivable().max(1.0) as usize);
        while self.hold.running < places && self.hold.running + self.hold.at_calls < most {
            let Some(place) = self.next_to_run(places) else { break };
            let ex = &mut self.hold.exs[place];
            let more = ex.kb * (self.terms.run_factor - 1.0).max(0.0);
            if self.hold.memory_kb + more > self.terms.memory_kb * MEMORY {
                break;
            }
            self.hold.memory_kb += more;
            (ex.stage, ex.began) = (Stage::Running, self.at.now);
            let (id, long, next) = (ex.id, ex.long, ex.slo_by.min(ex.due).max(self.at.now + 1));
            self.hold.lines[usize::from(long)].pop();
            self.hold.held -= 1;
            self.hold.running += 1;
            self.hold.long_running += usize::from(long);
            self.look_again(place, next);
            todo.push(Todo::Run { id });
        }
    }

    /// The best head of the two lines. Long work leaves places to short work that waits.
    fn next_to_run(&mut self, places: usize) -> Option<Place> {
        for line in &mut self.hold.lines {
            while let Some(&(density, _, Reverse(id), place)) = line.peek() {
                let ex = self.hold.exs.get(place);
                if ex.is_some_and(|x| x.id == id && x.stage == Stage::Held && x.density == density) {
                    break;
                }
                line.pop();
            }
        }
        let (short, long) = (self.hold.lines[0].peek(), self.hold.lines[1].peek());
        let long_full = self.hold.long_running as f32 >= LONG_SHARE * places as f32;
        match (short, long) {
            (Some(s), Some(l)) => Some(if long_full || s >= l { s.3 } else { l.3 }),
            (s, l) => s.or(l).map(|head| head.3),
        }
    }

    fn run_ended(&mut self, id: ExId, outcome: RunOutcome) {
        let Some(&place) = self.hold.at_door.get(&id) else { return };
        let ex = &self.hold.exs[place];
        if outcome == RunOutcome::Completed && ex.stage != Stage::Held && !ex.answered {
            let (subject, met) = (ex.subject, self.at.now <= ex.slo_by);
            if !matches!(ex.stage, Stage::Attached(_)) {
                let (group, took, work) = (ex.group, (self.at.now - ex.began) as f32, ex.work);
                let work = if work > 0.0 { work } else { took };
                learn(&mut self.rows[group].took, took);
                learn(&mut self.rows[group].work, work);
                learn(&mut self.hold.mean_took, took);
                learn(&mut self.hold.mean_work, work);
                self.learn_capacity(met);
            }
            self.establish(subject);
        }
        self.let_go(place);
    }

    /// Takes an exchange out of every count.
    fn let_go(&mut self, place: Place) {
        let ex = self.hold.exs.remove(place);
        self.hold.at_door.remove(&ex.id);
        self.hold.memory_kb -= ex.kb;
        match ex.stage {
            Stage::Held => self.hold.held -= 1,
            Stage::Attached(_) => return,
            Stage::Running => self.hold.running -= 1,
            Stage::AtCall => self.hold.at_calls -= 1,
            Stage::Calling => {
                self.hold.at_calls -= 1;
                self.call_left(true);
            }
        }
        if ex.stage != Stage::Held {
            self.hold.long_running -= usize::from(ex.long);
            self.hold.memory_kb -= ex.kb * (self.terms.run_factor - 1.0).max(0.0);
        }
        if self.hold.exs.is_empty() {
            // Sums of fractions drift; an empty node is the moment to set them right.
            self.hold.memory_kb = self.records.live.len() as f32 * self.terms.record_kb;
        }
    }

    // --- Answers ---

    /// The last moment for an answer: two ticks before it is due, and before the stop.
    fn last_answer(&self, due: Tenths) -> Tenths {
        let due = self.at.leave.map_or(due, |(_, stop)| due.min(stop));
        due.saturating_sub(2 * self.terms.tick)
    }

    fn denial(&mut self, id: ExId, not_elsewhere: bool) -> Todo {
        let over = (self.hold.held + self.hold.running) as f32 - T1 * self.capacity;
        let each = self.hold.mean_took / self.places() as f32;
        let wait = if self.at.leave.is_some() { Tenths::MAX } else { (over * each).max(0.0) as Tenths };
        Todo::Deny { id, not_elsewhere, come_back_in: wait.min(self.terms.longest_come_back) }
    }

    fn look_at_due(&mut self, todo: &mut Vec<Todo>) {
        while let Some(&Reverse((at, id, place))) = self.hold.watch.peek() {
            let current = self.hold.exs.get(place).is_some_and(|ex| ex.id == id && ex.look_at == at);
            if current && at > self.at.now {
                break;
            }
            self.hold.watch.pop();
            if current {
                self.look(place, todo);
            }
        }
    }

    fn look_again(&mut self, place: Place, at: Tenths) {
        let ex = &mut self.hold.exs[place];
        ex.look_at = at;
        self.hold.watch.push(Reverse((at, ex.id, place)));
    }

    /// An exchange has come to the moment at which it is due for a decision.
    fn look(&mut self, place: Place, todo: &mut Vec<Todo>) {
        let ex = &self.hold.exs[place];
        let (id, due, late_share) = (ex.id, ex.due, self.terms.groups[ex.group].late_share);
        let over = self.at.now >= due;
        match ex.stage {
            Stage::Held => {
                let hopeless = self.at.now + self.expected(ex) > due;
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
            Stage::AtCall if !over && self.terms.groups[ex.group].skip_share > 0.0 => {
                todo.push(Todo::SkipCall { id });
                self.back_to_work(place);
            }
            _ if over || (late_share <= 0.0 && self.hold.held > 0 && self.terms.stop != StopKind::Never) => {
                self.learn_capacity(false);
                self.end_running(place, todo);
            }
            _ => self.look_again(place, if self.hold.held > 0 { due } else { due.min(self.at.now + BEAT) }),
        }
    }

    /// Answers what was held and never run, at once.
    fn give_up_held(&mut self, place: Place, todo: &mut Vec<Todo>) {
        let id = self.hold.exs[place].id;
        todo.push(self.denial(id, true));
        self.forget(id, todo);
        self.let_go(place);
    }

    /// Answers running work and stops it where that is possible; its end is still to come.
    fn end_running(&mut self, place: Place, todo: &mut Vec<Todo>) {
        let ex = &mut self.hold.exs[place];
        ex.answered = true;
        let id = ex.id;
        todo.push(Todo::Terminate { id });
        self.stop(place, todo);
    }

    /// Stops work that nobody waits for any more. A stop has no effect while the cores stand still, so it
    /// is asked for again until the end of the run is told.
    fn stop(&mut self, place: Place, todo: &mut Vec<Todo>) {
        let ex = &self.hold.exs[place];
        let can = self.terms.stop != StopKind::Never;
        if can && ex.stage == Stage::Running {
            todo.push(Todo::Stop { id: ex.id });
        }
        self.look_again(place, if can { self.at.now + 5 * BEAT } else { Tenths::MAX });
    }

    fn forget(&mut self, id: ExId, todo: &mut Vec<Todo>) {
        if self.records.live.remove(&id) {
            self.hold.memory_kb -= self.terms.record_kb;
            todo.push(Todo::Forget { id });
        }
    }

    fn caller_gone(&mut self, id: ExId, todo: &mut Vec<Todo>) {
        let Some(&place) = self.hold.at_door.get(&id) else { return };
        let ex = &self.hold.exs[place];
        match ex.stage {
            Stage::Held => {
                self.forget(id, todo);
                self.let_go(place);
            }
            Stage::Attached(_) => self.let_go(place),
            _ => {
                // The result of a deduplicated one may still serve a repeat in time.
                let effect = self.terms.groups[ex.group].effect;
                if !ex.answered && (effect != Effect::Deduplicated || self.at.now >= ex.slo_by) {
                    self.hold.exs[place].answered = true;
                    self.stop(place, todo);
                }
            }
        }
    }

    fn leave_by(&mut self, stop_at: Tenths, todo: &mut Vec<Todo>) {
        self.at.leave = Some((self.at.now + self.terms.drain_grace, stop_at));
        todo.push(Todo::Health { from_store: true, good: false });
        let places: Vec<Place> = self.hold.exs.iter().map(|(place, _)| place).collect();
        for place in places {
            let due = self.last_answer(self.hold.exs[place].due);
            let ex = &mut self.hold.exs[place];
            ex.due = due;
            ex.slo_by = ex.slo_by.min(due);
            let at = ex.look_at.min(due);
            self.look_again(place, at);
        }
    }

    /// More was read than memory bears: the least worth of what is held goes.
    fn shed_for_memory(&mut self, todo: &mut Vec<Todo>) {
        while self.hold.memory_kb > self.terms.memory_kb * MEMORY {
            let held = self.hold.exs.iter().filter(|(_, ex)| ex.stage == Stage::Held);
            let Some((place, _)) = held.min_by_key(|(_, ex)| (ex.density, ex.id)) else { break };
            self.give_up_held(place, todo);
        }
    }

    // --- Calls below ---

    fn needs_call(&mut self, id: ExId) {
        let Some(&place) = self.hold.at_door.get(&id) else { return };
        let ex = &mut self.hold.exs[place];
        if ex.stage == Stage::Running {
            ex.stage = Stage::AtCall;
            self.hold.running -= 1;
            self.hold.at_calls += 1;
            self.line_up_for_call(place);
        }
    }

    fn line_up_for_call(&mut self, place: Place) {
        let ex = &self.hold.exs[place];
        let group = &self.terms.groups[ex.group];
        // What cannot go on without its call goes first.
        let rank = (1000.0 * group.benefit * (1.0 - group.skip_share)) as u32;
        self.calls.line.push((rank, Reverse(ex.arrived), Reverse(ex.id), place));
        if group.skip_share > 0.0 {
            let patience = (CALL_PATIENCE * group.slo_time as f32) as Tenths;
            let at = ex.look_at.min(self.at.now + patience);
            self.look_again(place, at);
        }
    }

    fn call_ended(&mut self, id: ExId, outcome: CallOutcome, took: Tenths, todo: &mut Vec<Todo>) {
        let Some(&place) = self.hold.at_door.get(&id) else { return };
        let ex = &mut self.hold.exs[place];
        if ex.stage != Stage::Calling {
            return;
        }
        ex.stage = Stage::AtCall;
        let group = &self.terms.groups[ex.group];
        let may_repeat =
            (group.effect == Effect::Repeatable || outcome.proves_not_run()) && ex.calls <= MORE_CALLS;
        let (skips, answered) = (group.skip_share > 0.0, ex.answered);
        self.call_left(outcome == CallOutcome::TimedOut);
        if matches!(outcome, CallOutcome::Completed | CallOutcome::TimedOut) {
            self.learn_call_room(took as f32);
        }
        if outcome == CallOutcome::Completed {
            self.back_to_work(place);
        } else if answered {
            // Its end is on the way.
        } else if skips {
            todo.push(Todo::SkipCall { id });
            self.back_to_work(place);
        } else if may_repeat {
            self.line_up_for_call(place);
        } else {
            self.end_running(place, todo);
        }
    }

    /// Calls crowd what lies below long before it dies: when they take much longer than the least they took,
    /// fewer are let out, and they wait here, where the best go first. The least is let rise, as what lies
    /// below may itself have become slower.
    fn learn_call_room(&mut self, took: f32) {
        let calls = &mut self.calls;
        learn(&mut calls.took, took);
        calls.least =
            if calls.least > 0.0 { (calls.least * CALL_LEAST_RISE).min(calls.took) } else { calls.took };
        if calls.took > CALL_CROWDED * calls.least {
            calls.room *= 1.0 - NEWEST / 2.0;
        } else if calls.out as f32 + 1.0 >= calls.room {
            calls.room += NEWEST;
        }
    }

    fn back_to_work(&mut self, place: Place) {
        let ex = &mut self.hold.exs[place];
        ex.stage = Stage::Running;
        self.hold.at_calls -= 1;
        self.hold.running += 1;
        let next = if self.at.now < ex.slo_by { ex.slo_by } else { ex.due };
        self.look_again(place, next);
    }

    fn call_left(&mut self, abandoned: bool) {
        self.calls.out = self.calls.out.saturating_sub(1);
        let Some(share) = self.terms.calls_share else { return };
        if abandoned {
            self.calls.lingering.push_back(self.at.now + self.terms.linger);
        }
        if MARGIN * share < 1.0 {
            // A share under one call is kept by resting: one call of at most share x window in each window.
            self.calls.rest_until = self.at.now + self.terms.calls_window;
        }
    }

    /// Makes the calls that there is room for: within this node's share of what lies below survives, and
    /// within what was learned of its crowding.
    fn make_calls(&mut self, todo: &mut Vec<Todo>) {
        while self.calls.lingering.front().is_some_and(|end| *end <= self.at.now) {
            self.calls.lingering.pop_front();
        }
        let share = self.terms.calls_share.map(|share| share * MARGIN);
        if let Some(share) = share {
            self.calls.room = if self.calls.room > 0.0 { self.calls.room } else { CALL_START * share };
            self.calls.room = self.calls.room.min(share).max(1.0);
        }
        while let Some(&(_, _, Reverse(id), place)) = self.calls.line.peek() {
            let waits = |x: &Ex| x.id == id && x.stage == Stage::AtCall && !x.answered;
            if !self.hold.exs.get(place).is_some_and(waits) {
                self.calls.line.pop();
                continue;
            }
            let in_hand = (self.calls.out + self.calls.lingering.len()) as f32;
            if share.is_some_and(|s| {
                in_hand + 1.0 > self.calls.room || s <= 0.0 || self.at.now < self.calls.rest_until
            }) {
                break;
            }
            self.calls.line.pop();
            let ex = &mut self.hold.exs[place];
            ex.calls += 1;
            ex.stage = Stage::Calling;
            // Where the call may be left out, it is given up while the rest can still be done in time.
            let skips = self.terms.groups[ex.group].skip_share > 0.0;
            let left = if skips {
                ex.slo_by.saturating_sub(self.at.now) / 2
            } else {
                ex.due.saturating_sub(self.at.now)
            };
            let mut limit = left.max(BEAT);
            if let Some(s) = share.filter(|s| *s < 1.0) {
                let longest = (s * self.terms.calls_window as f32) as Tenths;
                limit = limit.min(longest.saturating_sub(self.terms.linger).max(1));
            }
            self.calls.out += 1;
            todo.push(Todo::Call { id, limit });
        }
    }

    // --- Time ---

    /// Reading costs work, so callers are told to keep back the lowest ranks while much is denied.
    fn tell_level(&mut self, todo: &mut Vec<Todo>) {
        let before = self.level;
        self.level = (self.level + LEVEL_GAIN * if self.strain > STRAIN_BORNE { self.strain - STRAIN_BORNE } else { -LEVEL_FALL }).clamp(0.0, LEVEL_MOST);
        if self.terms.level == LevelKind::LowestRank && self.level != before {
            todo.push(Todo::Level { level: self.level });
        }
        self.strain *= 0.96;
    }

    fn upkeep(&mut self, todo: &mut Vec<Todo>) {
        while self.records.ends.front().is_some_and(|(end, _)| *end < self.at.now) {
            let (_, id) = self.records.ends.pop_front().expect("just seen");
            if self.records.live.remove(&id) {
                self.hold.memory_kb -= self.terms.record_kb;
            }
        }
        if self.at.now >= self.keys.turn {
            self.turn_keys();
        }
        if self.at.now >= self.at.beat {
            self.at.beat = self.at.now + BEAT;
            self.tell_level(todo);
        }
    }

    /// One alarm for all times due: it is set whenever none is due as early as the earliest of them.
    fn arm(&mut self, todo: &mut Vec<Todo>) {
        let due = self.hold.watch.peek().map_or(Tenths::MAX, |Reverse((at, ..))| *at);
        let next = due.min(self.at.beat).max(self.at.now + 1);
        if self.at.armed <= self.at.now || next < self.at.armed {
            self.at.armed = next;
            todo.push(Todo::Alarm { at: next, token: 0 });
        }
    }
}

fn learn(mean: &mut f32, newest: f32) {
    *mean = if *mean > 0.0 { *mean + NEWEST * (newest - *mean) } else { newest };
}
