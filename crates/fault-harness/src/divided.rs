//! Fleet-wide budgets in simulated time, on the package that the node runs: a script of faults, demand by
//! node and time, and an independent count of uses.
//!
//! The count knows nothing of leases: it records each use at its true time and compares with the limit.

mod message_size;

use std::collections::BTreeMap;

use doortrack_budgets::{
    Action, Budget, Budgets, Change, Envelope, Event, Kind, NodeId, Parameters,
};
use doortrack_membership::{Incarnation, Member, Name, View};
use doortrack_simulation::{
    Distribution, LinkModel, MachineClock, MachineId, Micros, Network, NetworkEvent,
};

use self::message_size::encoded_size;
use crate::history::name;
use crate::links::{self, MS};
use crate::script::{Fault, Script};
use crate::simulated::Cost;

/// Microseconds in a tenth of a ms, the unit of the decisions' time.
const TENTH: Micros = 100;
/// What clocks show at the start of a run.
const BASE: i64 = 100_000 * MS as i64;
/// Interval at which a node's demand arrives.
const DEMAND_INTERVAL: Micros = 10 * MS;
/// Delay after which all nodes know of a start.
const MEMBERSHIP_DELAY: Micros = 500 * MS;
/// Bytes around each envelope: IP, UDP, version, hash, the fleet's name.
const OVERHEAD_BYTES: u64 = 52;
/// Tolerance of a rate, in units: each node truncates times to tenths of a ms.
const TOLERANCE: f64 = 0.01;

/// Options of a run.
pub struct Options<'a> {
    pub parameters: Parameters,
    pub budgets: Vec<Budget>,
    pub latency: Distribution,
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

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Violations, described; the first of each budget.
    pub violations: Vec<String>,
    /// By budget: uses requested and admitted since `count_from_ms`.
    pub asked: Vec<u64>,
    pub used: Vec<u64>,
    /// Uses of the first budget by node, and by node and tenth of a second since the start.
    pub by_node: Vec<u64>,
    pub by_time: BTreeMap<(usize, u64), u32>,
    /// Elections won.
    pub leaders: u64,
    /// Datagrams and bytes since `count_from_ms`.
    pub cost: Cost,
    /// Bytes sent by the node that sent most.
    pub max_bytes: u64,
    /// A hash of all messages and uses: the same for the same script and options.
    pub digest: u64,
}

struct World<'a> {
    network: Network<Envelope>,
    nodes: Vec<Option<Budgets>>,
    incarnations: Vec<Incarnation>,
    started: u64,
    options: &'a Options<'a>,
    chance: fastrand::Rng,
    /// By budget: the level of a rate's leaky bucket and its time, or the holds of a concurrency.
    level: Vec<(f64, Micros)>,
    held: Vec<Vec<(Micros, MachineId, Incarnation)>>,
    bytes: Vec<u64>,
    out: Outcome,
    actions: Vec<Action>,
    next_demand: Vec<Micros>,
}

/// Runs a script.
pub fn run(script: &Script, options: &Options) -> Outcome {
    let links = LinkModel {
        latency: options.latency,
        ..LinkModel::default()
    };
    let mut network = Network::new(links, script.seed);
    let mut chance = fastrand::Rng::with_seed(script.seed ^ 0xb0d6);
    for _ in 0..script.nodes {
        let offset = chance.i64(-options.offset_ms..=options.offset_ms) * MS as i64 + BASE;
        network.add_machine(
            MachineClock {
                offset,
                drift_ppm: chance.i64(options.drift_ppm.0..=options.drift_ppm.1),
            },
            0,
        );
    }
    let count = options.budgets.len();
    let mut world = World {
        network,
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
        next_demand: vec![0; script.nodes],
    };
    world.run(script);
    world.out.max_bytes = world.bytes.iter().copied().max().unwrap_or(0);
    world.out
}

impl World<'_> {
    fn run(&mut self, script: &Script) {
        let faults = links::schedule_faults(&mut self.network, script);
        (0..script.nodes).for_each(|node| self.start(node));
        self.announce_members();
        while let Some(next) = self.network.next_event(script.ms * MS) {
            match next {
                NetworkEvent::Timer(u64::MAX) => self.announce_members(),
                NetworkEvent::Timer(index) => self.inject(faults[index as usize].fault.clone()),
                NetworkEvent::Woken { machine: node } => {
                    self.handle(node, Event::Tick);
                    self.demand(node);
                    self.wake(node);
                }
                NetworkEvent::Delivered {
                    machine: node,
                    message: envelope,
                    ..
                } => {
                    self.handle(node, Event::Received(envelope));
                    self.wake(node);
                }
            }
        }
    }

    fn start(&mut self, node: MachineId) {
        if !self.network.is_down(node) {
            return;
        }
        self.network.start(node);
        self.started += 1;
        self.incarnations[node] = Incarnation(self.started);
        let me = NodeId {
            name: name(node).into(),
            incarnation: self.incarnations[node],
        };
        let now = self.network.clock_reading(node) / TENTH;
        let (parameters, list) = (self.options.parameters.clone(), &self.options.budgets);
        self.nodes[node] = Some(Budgets::new(
            me,
            4,
            parameters,
            list,
            self.chance.u64(..),
            now,
        ));
        self.next_demand[node] = self.network.clock_reading(node);
        self.wake(node);
        self.network
            .set_timer(self.network.now() + MEMBERSHIP_DELAY, u64::MAX);
    }

    /// Tells all nodes which voters run.
    fn announce_members(&mut self) {
        let mut view = View::default();
        for voter in self.options.parameters.voters.iter() {
            let number: Option<usize> = voter[1..].parse().ok();
            if let Some(node) =
                number.filter(|node| *node < self.nodes.len() && !self.network.is_down(*node))
            {
                let address = std::net::SocketAddr::from(([10, 0, 0, 1], node as u16));
                let member = Member {
                    incarnation: self.incarnations[node],
                    address,
                    weight: 4,
                };
                view.members.insert(Name::clone(voter), member);
            }
        }
        for node in 0..self.nodes.len() {
            self.handle(node, Event::Members(view.clone()));
        }
    }

    fn wake(&mut self, node: MachineId) {
        let Some(budgets) = &self.nodes[node] else {
            return;
        };
        let due = budgets
            .next_due()
            .saturating_mul(TENTH)
            .min(self.next_demand[node]);
        self.network.wake_at(node, due);
    }

    fn handle(&mut self, node: MachineId, event: Event) {
        let now = self.network.clock_reading(node) / TENTH;
        let Some(mut budgets) = self.nodes[node].take() else {
            return;
        };
        let mut actions = std::mem::take(&mut self.actions);
        self.out
            .cost
            .decide(|| budgets.handle(now, event, &mut actions));
        for action in actions.drain(..) {
            match action {
                Action::Send(envelope) => self.send(node, envelope),
                Action::Report(change) => {
                    self.out.leaders += u64::from(matches!(change, Change::Elected { .. }))
                }
            }
        }
        self.actions = actions;
        self.nodes[node] = Some(budgets);
    }

    fn send(&mut self, node: MachineId, envelope: Envelope) {
        let Some(to) = envelope.to.name[1..]
            .parse()
            .ok()
            .filter(|to| *to < self.nodes.len())
        else {
            return;
        };
        if self.network.now() >= self.options.count_from_ms * MS {
            self.out.cost.datagrams += 1;
            if self.options.count_bytes {
                let bytes = encoded_size(&envelope) + OVERHEAD_BYTES;
                self.out.cost.bytes += bytes;
                self.bytes[node] += bytes;
            }
        }
        let sent = (
            self.network.now(),
            node,
            to,
            std::mem::discriminant(&envelope.message),
        );
        self.hash(&sent);
        self.network.send(node, to, envelope);
    }

    fn hash(&mut self, what: &impl std::hash::Hash) {
        use std::hash::{Hash, Hasher};
        // The same in every run, unlike the standard library's hasher of maps.
        let mut hasher = std::hash::DefaultHasher::new();
        (self.out.digest, what).hash(&mut hasher);
        self.out.digest = hasher.finish();
    }

    /// The demand at a node since the last interval.
    fn demand(&mut self, node: MachineId) {
        let shown = self.network.clock_reading(node);
        if shown < self.next_demand[node] {
            return;
        }
        self.next_demand[node] = shown + DEMAND_INTERVAL;
        let at_ms = self.network.now() / MS;
        for index in 0..self.options.budgets.len() {
            self.end_holds(index);
            let mean = (self.options.demand)(node, index, at_ms) * DEMAND_INTERVAL as f64 / 1e6;
            // The mean is met exactly; its fraction by chance.
            let count = mean as u64 + u64::from(self.chance.f64() < mean.fract());
            for _ in 0..count {
                self.request(node, index);
            }
        }
    }

    fn request(&mut self, node: MachineId, index: usize) {
        let now = self.network.clock_reading(node) / TENTH;
        let counted = self.network.now() >= self.options.count_from_ms * MS;
        self.out.asked[index] += u64::from(counted);
        let Some(budgets) = &mut self.nodes[node] else {
            return;
        };
        if budgets.acquire(index, now).is_err() {
            return;
        }
        self.out.used[index] += u64::from(counted);
        if index == 0 {
            self.out.by_node[node] += u64::from(counted);
            *self
                .out
                .by_time
                .entry((node, self.network.now() / (100 * MS)))
                .or_default() += 1;
        }
        self.hash(&(self.network.now(), node, index));
        self.record_use(node, index);
    }

    /// Records one use at its true time.
    fn record_use(&mut self, node: MachineId, index: usize) {
        let (budget, now) = (&self.options.budgets[index], self.network.now());
        let limit = f64::from(budget.limit);
        match budget.kind {
            Kind::Rate { burst } => {
                let (level, at) = self.level[index];
                let level = (level - limit * (now - at) as f64 / 1e6).max(0.0) + 1.0;
                self.level[index] = (level, now);
                if level > f64::from(burst) + TOLERANCE {
                    self.record_violation(
                        index,
                        format!("{level:.3} beyond {limit} a second, a burst of {burst}"),
                    );
                }
            }
            Kind::Concurrency { max_hold } => {
                let mean = (self.options.mean_hold_ms * MS) as f64;
                let lasts =
                    (-mean * self.chance.f64().max(1e-9).ln()).min((max_hold * TENTH) as f64);
                self.held[index].push((now + lasts as Micros, node, self.incarnations[node]));
                let held = self.held[index]
                    .iter()
                    .filter(|(end, ..)| *end > now)
                    .count();
                if held as u32 > budget.limit {
                    self.record_violation(index, format!("{held} of {limit} are held at once"));
                }
            }
        }
    }

    /// Ends holds whose time has come; a stopped node releases them when it continues.
    fn end_holds(&mut self, index: usize) {
        let now = self.network.now();
        let (nodes, incarnations, network) = (&mut self.nodes, &self.incarnations, &self.network);
        self.held[index].retain(|(end, node, incarnation)| {
            let over = *end <= now
                && (network.is_running(*node)
                    || incarnations[*node] != *incarnation
                    || network.is_down(*node));
            if over
                && incarnations[*node] == *incarnation
                && let Some(budgets) = &mut nodes[*node]
            {
                budgets.release(index);
            }
            !over
        });
    }

    fn record_violation(&mut self, index: usize, what: String) {
        let budget = &self.options.budgets[index].name;
        if !self
            .out
            .violations
            .iter()
            .any(|found| found.contains(&**budget))
        {
            self.out
                .violations
                .push(format!("{} ms: {budget}: {what}", self.network.now() / MS));
        }
    }

    fn inject(&mut self, fault: Fault) {
        links::inject(&mut self.network, self.options.latency, &fault);
        match fault {
            Fault::Kill { nodes } => {
                for node in nodes
                    .into_iter()
                    .filter(|node| !self.network.is_down(*node))
                    .collect::<Vec<_>>()
                {
                    self.network.kill(node);
                    self.nodes[node] = None;
                }
            }
            Fault::Start { nodes, .. } | Fault::StartOlder { nodes } => {
                for node in nodes {
                    self.network.kill(node);
                    self.nodes[node] = None;
                    self.start(node);
                }
            }
            Fault::Leave { nodes } => nodes
                .into_iter()
                .for_each(|node| self.handle(node, Event::Leave)),
            _ => {}
        }
    }
}
