//! Fleet-wide budgets in simulated time, on the package that the node runs: a script of faults, demand by
//! node and time, and an independent count of what was used.
//!
//! The count knows nothing of leases: it takes note of each use at its true time, and compares with the
//! limit.

use std::collections::BTreeMap;

use doortrack_budgets::{
    Action, Budget, Budgets, Change, Envelope, Event, Kind, Message, NodeId, Parameters,
};
use doortrack_emulator::{Clock, Law, Links, MachineId, Micros, Net, Next};
use doortrack_fleet::{Incarnation, Member, Name, View};

use crate::history::name;
use crate::links::{self, MS};
use crate::script::{Fault, Script};
use crate::simulated::Cost;

const TENTH: Micros = 100;
/// What clocks show at the start.
const BASE: i64 = 100_000 * MS as i64;
/// How often nodes look whether somebody asks.
const STEP: Micros = 10 * MS;
/// How late nodes learn of starts.
const LEARN: Micros = 500 * MS;
/// Bytes round each envelope: IP, UDP, version, hash, the fleet's name.
const ROUND: u64 = 52;
const TOKEN: f64 = 1.0;

/// Options of a run.
pub struct Options<'a> {
    pub parameters: Parameters,
    pub budgets: Vec<Budget>,
    pub latency: Law,
    /// Least and greatest drift of clocks, in parts per million.
    pub drift_ppm: (i64, i64),
    /// Bound of each clock's offset, in ms, in either direction.
    pub offset_ms: i64,
    /// Requested uses a second, by node, index of the budget, and time in ms.
    pub demand: &'a dyn Fn(usize, usize, u64) -> f64,
    /// Mean hold time of a unit of concurrency, in ms; bounded by the budget's `max_hold`.
    pub mean_hold_ms: u64,
    /// Start of the counts in [`Outcome`], in ms.
    pub count_from_ms: u64,
    /// Whether the bytes of messages are counted.
    pub count_bytes: bool,
}

/// What came of a play.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Breaches in words, the first of each budget.
    pub violations: Vec<String>,
    /// By budget: asked for and used since `count_from_ms`.
    pub asked: Vec<u64>,
    pub used: Vec<u64>,
    /// Of the first budget, uses by node, and by node and tenth of a second since the start.
    pub by_node: Vec<u64>,
    pub by_time: BTreeMap<(usize, u64), u32>,
    pub leaders: u64,
    /// Datagrams and bytes since `count_from_ms`.
    pub cost: Cost,
    /// Bytes of the one that sent most.
    pub most_bytes: u64,
    /// The same play gives the same mark.
    pub digest: u64,
}

struct World<'a> {
    net: Net<Envelope>,
    nodes: Vec<Option<Budgets>>,
    incarnations: Vec<Incarnation>,
    started: u64,
    options: &'a Options<'a>,
    chance: fastrand::Rng,
    /// By budget: what the leaky count of a rate stands at and when, or the ends of what is held.
    level: Vec<(f64, Micros)>,
    held: Vec<Vec<(Micros, MachineId, Incarnation)>>,
    bytes: Vec<u64>,
    out: Outcome,
    actions: Vec<Action>,
    asks_at: Vec<Micros>,
}

/// Plays a script.
pub fn run(script: &Script, options: &Options) -> Outcome {
    let links = Links { latency: options.latency, ..Links::default() };
    let mut net = Net::new(links, script.seed);
    let mut chance = fastrand::Rng::with_seed(script.seed ^ 0xb0d6);
    for _ in 0..script.nodes {
        let offset = chance.i64(-options.offset_ms..=options.offset_ms) * MS as i64 + BASE;
        net.add(Clock { offset, drift_ppm: chance.i64(options.drift_ppm.0..=options.drift_ppm.1) }, 0);
    }
    let count = options.budgets.len();
    let mut world = World {
        net,
        nodes: (0..script.nodes).map(|_| None).collect(),
        incarnations: vec![Incarnation(0); script.nodes],
        started: 0,
        options,
        chance,
        level: vec![(0.0, 0); count],
        held: vec![Vec::new(); count],
        bytes: vec![0; script.nodes],
        out: Outcome {
            asked: vec![0; count],
            used: vec![0; count],
            by_node: vec![0; script.nodes],
            ..Outcome::default()
        },
        actions: Vec::new(),
        asks_at: vec![0; script.nodes],
    };
    world.run(script);
    world.out.most_bytes = world.bytes.iter().copied().max().unwrap_or(0);
    world.out
}

impl World<'_> {
    fn run(&mut self, script: &Script) {
        let faults = links::mark(&mut self.net, script);
        (0..script.nodes).for_each(|of| self.start(of));
        self.learn();
        while let Some(next) = self.net.next(script.ms * MS) {
            match next {
                Next::Mark(u64::MAX) => self.learn(),
                Next::Mark(nth) => self.fault(faults[nth as usize].fault.clone()),
                Next::Wakes { of } => {
                    self.handle(of, Event::Tick);
                    self.asks(of);
                    self.wake(of);
                }
                Next::Hears { of, what, .. } => {
                    self.handle(of, Event::Received(what));
                    self.wake(of);
                }
            }
        }
    }

    fn start(&mut self, of: MachineId) {
        if !self.net.is_down(of) {
            return;
        }
        self.net.start(of);
        self.started += 1;
        self.incarnations[of] = Incarnation(self.started);
        let me = NodeId { name: name(of).into(), incarnation: self.incarnations[of] };
        let now = self.net.shown(of) / TENTH;
        let (parameters, list) = (self.options.parameters.clone(), &self.options.budgets);
        self.nodes[of] = Some(Budgets::new(me, 4, parameters, list, self.chance.u64(..), now));
        self.asks_at[of] = self.net.shown(of);
        self.wake(of);
        self.net.mark(self.net.now() + LEARN, u64::MAX);
    }

    /// All nodes know the voters that run.
    fn learn(&mut self) {
        let mut view = View::default();
        for voter in self.options.parameters.voters.iter() {
            let of: Option<usize> = voter[1..].parse().ok();
            if let Some(of) = of.filter(|of| *of < self.nodes.len() && !self.net.is_down(*of)) {
                let address = std::net::SocketAddr::from(([10, 0, 0, 1], of as u16));
                let member = Member { incarnation: self.incarnations[of], address, weight: 4 };
                view.members.insert(Name::clone(voter), member);
            }
        }
        for of in 0..self.nodes.len() {
            self.handle(of, Event::Members(view.clone()));
        }
    }

    fn wake(&mut self, of: MachineId) {
        let Some(node) = &self.nodes[of] else { return };
        let due = node.next_due().saturating_mul(TENTH).min(self.asks_at[of]);
        self.net.wake(of, due);
    }

    fn handle(&mut self, of: MachineId, event: Event) {
        let now = self.net.shown(of) / TENTH;
        let Some(mut node) = self.nodes[of].take() else { return };
        let mut actions = std::mem::take(&mut self.actions);
        self.out.cost.decide(|| node.handle(now, event, &mut actions));
        for action in actions.drain(..) {
            match action {
                Action::Send(envelope) => self.send(of, envelope),
                Action::Report(change) => {
                    self.out.leaders += u64::from(matches!(change, Change::Elected { .. }))
                }
            }
        }
        self.actions = actions;
        self.nodes[of] = Some(node);
    }

    fn send(&mut self, of: MachineId, envelope: Envelope) {
        let Some(to) = envelope.to.name[1..].parse().ok().filter(|to| *to < self.nodes.len()) else { return };
        if self.net.now() >= self.options.count_from_ms * MS {
            self.out.cost.datagrams += 1;
            if self.options.count_bytes {
                let bytes = weight(&envelope) + ROUND;
                self.out.cost.bytes += bytes;
                self.bytes[of] += bytes;
            }
        }
        let seen = (self.net.now(), of, to, std::mem::discriminant(&envelope.message));
        self.mark(&seen);
        self.net.send(of, to, envelope);
    }

    fn mark(&mut self, what: &impl std::hash::Hash) {
        use std::hash::{Hash, Hasher};
        // The same in every run, unlike the library's own for maps.
        let mut hasher = std::hash::DefaultHasher::new();
        (self.out.digest, what).hash(&mut hasher);
        self.out.digest = hasher.finish();
    }

    /// Those who come to a node, since it last looked.
    fn asks(&mut self, of: MachineId) {
        let shown = self.net.shown(of);
        if shown < self.asks_at[of] {
            return;
        }
        self.asks_at[of] = shown + STEP;
        let at_ms = self.net.now() / MS;
        for index in 0..self.options.budgets.len() {
            self.end_holds(index);
            let mean = (self.options.demand)(of, index, at_ms) * STEP as f64 / 1e6;
            // So many that the mean is met: exact but for chance in the fraction.
            let count = mean as u64 + u64::from(self.chance.f64() < mean.fract());
            for _ in 0..count {
                self.ask(of, index);
            }
        }
    }

    fn ask(&mut self, of: MachineId, index: usize) {
        let now = self.net.shown(of) / TENTH;
        let counts = self.net.now() >= self.options.count_from_ms * MS;
        self.out.asked[index] += u64::from(counts);
        let Some(node) = &mut self.nodes[of] else { return };
        if node.acquire(index, now).is_err() {
            return;
        }
        self.out.used[index] += u64::from(counts);
        if index == 0 {
            self.out.by_node[of] += u64::from(counts);
            *self.out.by_time.entry((of, self.net.now() / (100 * MS))).or_default() += 1;
        }
        self.mark(&(self.net.now(), of, index));
        self.used(of, index);
    }

    /// Counts one use at its true time.
    fn used(&mut self, of: MachineId, index: usize) {
        let (budget, now) = (&self.options.budgets[index], self.net.now());
        let limit = f64::from(budget.limit);
        match budget.kind {
            Kind::Rate { burst } => {
                let (level, at) = self.level[index];
                let level = (level - limit * (now - at) as f64 / 1e6).max(0.0) + TOKEN;
                self.level[index] = (level, now);
                // What is cut to whole tenths of a ms, by each node, may come to a thousandth of a unit.
                if level > f64::from(burst) + 0.01 {
                    self.record_violation(
                        index,
                        format!("{level:.3} beyond {limit} a second, a burst of {burst}"),
                    );
                }
            }
            Kind::Concurrency { max_hold } => {
                let mean = (self.options.mean_hold_ms * MS) as f64;
                let lasts = (-mean * self.chance.f64().max(1e-9).ln()).min((max_hold * TENTH) as f64);
                self.held[index].push((now + lasts as Micros, of, self.incarnations[of]));
                let held = self.held[index].iter().filter(|(till, ..)| *till > now).count();
                if held as u32 > budget.limit {
                    self.record_violation(index, format!("{held} of {limit} are held at once"));
                }
            }
        }
    }

    /// What is held comes to its end; a node that stands still learns of it when it goes on.
    fn end_holds(&mut self, index: usize) {
        let now = self.net.now();
        let (nodes, incarnations, net) = (&mut self.nodes, &self.incarnations, &self.net);
        self.held[index].retain(|(till, of, incarnation)| {
            let over =
                *till <= now && (net.is_up(*of) || incarnations[*of] != *incarnation || net.is_down(*of));
            if over
                && incarnations[*of] == *incarnation
                && let Some(node) = &mut nodes[*of]
            {
                node.release(index);
            }
            !over
        });
    }

    fn record_violation(&mut self, index: usize, what: String) {
        let budget = &self.options.budgets[index].name;
        if !self.out.violations.iter().any(|found| found.contains(&**budget)) {
            self.out.violations.push(format!("{} ms: {budget}: {what}", self.net.now() / MS));
        }
    }

    fn fault(&mut self, fault: Fault) {
        links::take_up(&mut self.net, self.options.latency, &fault);
        match fault {
            Fault::Kill { nodes } => {
                for of in nodes.into_iter().filter(|of| !self.net.is_down(*of)).collect::<Vec<_>>() {
                    self.net.kill(of);
                    self.nodes[of] = None;
                }
            }
            Fault::Start { nodes, .. } | Fault::StartOlder { nodes } => {
                for of in nodes {
                    self.net.kill(of);
                    self.nodes[of] = None;
                    self.start(of);
                }
            }
            Fault::Leave { nodes } => nodes.into_iter().for_each(|of| self.handle(of, Event::Leave)),
            _ => {}
        }
    }
}

/// Bytes of an envelope as the codec writes it, near enough to compare sizes.
fn weight(envelope: &Envelope) -> u64 {
    let small = |value: u64| 1 + u64::from(value > 127) + u64::from(value > 16_383);
    let who = |who: &NodeId| 1 + who.name.len() as u64 + 9;
    let message = match &envelope.message {
        Message::Ask { ballot } | Message::Vote { ballot } | Message::Refused { ballot } => small(*ballot),
        Message::Release { ballot } => small(*ballot),
        Message::Report { seq, items, .. } => {
            let item = |item: &doortrack_budgets::ReportItem| {
                let units = [item.need, item.holding, item.accepted, item.limit, item.reserved];
                5 + units.into_iter().map(small).sum::<u64>()
            };
            small(*seq) + 2 + items.iter().map(item).sum::<u64>()
        }
        Message::Grant { seq, grants } => {
            small(*seq) + 1 + grants.iter().map(|grant| 6 + small(grant.allocation)).sum::<u64>()
        }
        Message::Elsewhere { seq, leader } => small(*seq) + 1 + leader.as_ref().map_or(0, who),
    };
    who(&envelope.from) + who(&envelope.to) + 1 + message
}
