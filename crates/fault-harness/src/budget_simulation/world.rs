//! The nodes, their network and their demand.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use doortrack_budgets::{Action, Budgets, Change, Envelope, Event, NodeId};
use doortrack_membership::{Incarnation, Member, Name, View};
use doortrack_simulation::{LinkModel, MachineClock, MachineId, Micros, Network, NetworkEvent};

use super::limit_check::{Hold, LimitCheck};
use super::message_size::encoded_size;
use super::{Options, Outcome};
use crate::history::node_name;
use crate::network_faults::{self, MICROS_PER_MS};
use crate::script::{Fault, Script, TimedFault};

/// Microseconds in a tenth of a ms, the time unit of the budgets code.
pub(super) const TENTH_MS: Micros = 100;
/// Reading of the clocks at the start of a run; large enough that a clock set back is never negative.
const CLOCK_START_MICROS: i64 = 100_000 * MICROS_PER_MS as i64;
/// Interval at which a node's demand arrives.
const DEMAND_INTERVAL: Micros = 10 * MICROS_PER_MS;
/// Delay after which all nodes know of a start, and the identifier of its timer.
const MEMBERSHIP_DELAY: Micros = 500 * MICROS_PER_MS;
const MEMBERSHIP_TIMER: u64 = u64::MAX;
/// Interval of the counts in [`Outcome::by_time`].
const COUNT_INTERVAL: Micros = 100 * MICROS_PER_MS;
/// Bytes around each envelope: IP, UDP, version, hash, the fleet's name.
const ENVELOPE_OVERHEAD_BYTES: u64 = 52;
/// Weight of each node.
const WEIGHT: u32 = 4;
/// Distinguishes the random numbers of nodes and demand from those of the links.
const SEED_SALT: u64 = 0xb0d6;

pub(super) struct World<'a> {
    options: &'a Options<'a>,
    network: Network<Envelope>,
    nodes: Vec<Option<Budgets>>,
    incarnations: Vec<Incarnation>,
    last_incarnation: u64,
    random: fastrand::Rng,
    limits: LimitCheck<'a>,
    /// By node, the reading of its clock at which its next demand is due.
    next_demand: Vec<Micros>,
    bytes_sent: Vec<u64>,
    outcome: Outcome,
    /// Reused between events.
    actions: Vec<Action>,
}

impl<'a> World<'a> {
    pub(super) fn new(script: &Script, options: &'a Options) -> World<'a> {
        let links = LinkModel {
            latency: options.latency,
            ..LinkModel::default()
        };
        let mut network = Network::new(links, script.seed);
        let mut random = fastrand::Rng::with_seed(script.seed ^ SEED_SALT);
        for _ in 0..script.nodes {
            let offset_ms = random.i64(-options.offset_ms..=options.offset_ms);
            let clock = MachineClock {
                offset: offset_ms * MICROS_PER_MS as i64 + CLOCK_START_MICROS,
                drift_ppm: random.i64(options.drift_ppm.0..=options.drift_ppm.1),
            };
            network.add_machine(clock, 0);
        }
        let budgets = options.budgets.len();
        World {
            options,
            network,
            nodes: (0..script.nodes).map(|_| None).collect(),
            incarnations: vec![Incarnation(0); script.nodes],
            last_incarnation: 0,
            random,
            limits: LimitCheck::new(&options.budgets, options.mean_hold_ms),
            next_demand: vec![0; script.nodes],
            bytes_sent: vec![0; script.nodes],
            outcome: Outcome {
                requested: vec![0; budgets],
                admitted: vec![0; budgets],
                by_node: vec![0; script.nodes],
                ..Outcome::default()
            },
            actions: Vec::new(),
        }
    }

    pub(super) fn run(mut self, script: &Script) -> Outcome {
        let faults = network_faults::schedule_faults(&mut self.network, script);
        (0..script.nodes).for_each(|node| self.start(node));
        self.announce_members();
        while let Some(event) = self.network.next_event(script.duration_ms * MICROS_PER_MS) {
            self.handle_network(event, &faults);
        }
        self.outcome.violations = self.limits.violations;
        self.outcome.max_bytes = self.bytes_sent.iter().copied().max().unwrap_or(0);
        self.outcome
    }

    fn handle_network(&mut self, event: NetworkEvent<Envelope>, faults: &[TimedFault]) {
        match event {
            NetworkEvent::Timer(MEMBERSHIP_TIMER) => self.announce_members(),
            NetworkEvent::Timer(index) => self.inject(&faults[index as usize].fault),
            NetworkEvent::Woken { machine: node } => {
                self.handle(node, Event::Tick);
                self.send_demand(node);
                self.schedule_wakeup(node);
            }
            NetworkEvent::Delivered {
                machine: node,
                message: envelope,
                ..
            } => {
                self.handle(node, Event::Received(envelope));
                self.schedule_wakeup(node);
            }
        }
    }

    /// The time of a node's clock in tenths of a ms.
    fn node_time(&self, node: MachineId) -> u64 {
        self.network.clock_reading(node) / TENTH_MS
    }

    fn is_counted(&self) -> bool {
        self.network.now() >= self.options.count_from_ms * MICROS_PER_MS
    }

    fn start(&mut self, node: MachineId) {
        if !self.network.is_down(node) {
            return;
        }
        self.network.start(node);
        self.last_incarnation += 1;
        self.incarnations[node] = Incarnation(self.last_incarnation);
        let id = NodeId {
            name: node_name(node).into(),
            incarnation: self.incarnations[node],
        };
        self.nodes[node] = Some(Budgets::new(
            id,
            WEIGHT,
            self.options.parameters.clone(),
            &self.options.budgets,
            self.random.u64(..),
            self.node_time(node),
        ));
        self.next_demand[node] = self.network.clock_reading(node);
        self.schedule_wakeup(node);
        let known_at = self.network.now() + MEMBERSHIP_DELAY;
        self.network.set_timer(known_at, MEMBERSHIP_TIMER);
    }

    /// Gives all nodes a view of the voters that run.
    fn announce_members(&mut self) {
        let mut view = View::default();
        for voter in self.options.parameters.voters.iter() {
            let node = node_number(voter).filter(|node| *node < self.nodes.len());
            if let Some(node) = node
                && !self.network.is_down(node)
            {
                let member = Member {
                    incarnation: self.incarnations[node],
                    address: SocketAddr::from(([10, 0, 0, 1], node as u16)),
                    weight: WEIGHT,
                };
                view.members.insert(Name::clone(voter), member);
            }
        }
        for node in 0..self.nodes.len() {
            self.handle(node, Event::ViewChanged(view.clone()));
        }
    }

    fn schedule_wakeup(&mut self, node: MachineId) {
        let Some(budgets) = &self.nodes[node] else {
            return;
        };
        let due = budgets.next_due().saturating_mul(TENTH_MS);
        self.network.wake_at(node, due.min(self.next_demand[node]));
    }

    fn handle(&mut self, node: MachineId, event: Event) {
        let now = self.node_time(node);
        let Some(mut budgets) = self.nodes[node].take() else {
            return;
        };
        let mut actions = std::mem::take(&mut self.actions);
        self.outcome
            .cost
            .measure(|| budgets.handle(now, event, &mut actions));
        for action in actions.drain(..) {
            match action {
                Action::Send(envelope) => self.send(node, envelope),
                Action::Report(Change::Elected { .. }) => self.outcome.leaders += 1,
                Action::Report(_) => {}
            }
        }
        self.actions = actions;
        self.nodes[node] = Some(budgets);
    }

    fn send(&mut self, node: MachineId, envelope: Envelope) {
        let receiver = node_number(&envelope.to.name).filter(|node| *node < self.nodes.len());
        let Some(receiver) = receiver else {
            return;
        };
        if self.is_counted() {
            self.outcome.cost.datagrams += 1;
            if self.options.count_bytes {
                let bytes = encoded_size(&envelope) + ENVELOPE_OVERHEAD_BYTES;
                self.outcome.cost.bytes += bytes;
                self.bytes_sent[node] += bytes;
            }
        }
        let kind = std::mem::discriminant(&envelope.message);
        self.hash(&(self.network.now(), node, receiver, kind));
        self.network.send(node, receiver, envelope);
    }

    /// Adds an event to the run's digest.
    fn hash(&mut self, event: &impl Hash) {
        // `DefaultHasher::new` gives the same hash in every run, unlike the hasher of a `HashMap`.
        let mut hasher = DefaultHasher::new();
        (self.outcome.digest, event).hash(&mut hasher);
        self.outcome.digest = hasher.finish();
    }

    /// Sends the requests that fell due at a node in the last interval.
    fn send_demand(&mut self, node: MachineId) {
        let reading = self.network.clock_reading(node);
        if reading < self.next_demand[node] {
            return;
        }
        self.next_demand[node] = reading + DEMAND_INTERVAL;
        let at_ms = self.network.now() / MICROS_PER_MS;
        for index in 0..self.options.budgets.len() {
            self.end_holds(index);
            let per_second = (self.options.demand)(node, index, at_ms);
            let mean = per_second * DEMAND_INTERVAL as f64 / 1e6;
            // The whole part of the mean is always requested, one more with the probability of the fraction.
            let count = mean as u64 + u64::from(self.random.f64() < mean.fract());
            for _ in 0..count {
                self.request(node, index);
            }
        }
    }

    fn request(&mut self, node: MachineId, index: usize) {
        let now = self.node_time(node);
        let count = u64::from(self.is_counted());
        self.outcome.requested[index] += count;
        let Some(budgets) = &mut self.nodes[node] else {
            return;
        };
        if budgets.acquire(index, now).is_err() {
            return;
        }
        let now = self.network.now();
        self.outcome.admitted[index] += count;
        if index == 0 {
            self.outcome.by_node[node] += count;
            let by_time = &mut self.outcome.by_time;
            *by_time.entry((node, now / COUNT_INTERVAL)).or_default() += 1;
        }
        self.hash(&(now, node, index));
        let user = (node, self.incarnations[node]);
        self.limits.record_use(index, now, user, &mut self.random);
    }

    /// Ends expired holds; a suspended node releases its holds when it is resumed.
    fn end_holds(&mut self, index: usize) {
        let (network, incarnations) = (&self.network, &self.incarnations);
        let is_current = |hold: &Hold| incarnations[hold.node] == hold.incarnation;
        let can_end = |hold: &Hold| {
            network.is_running(hold.node) || network.is_down(hold.node) || !is_current(hold)
        };
        for hold in self.limits.end_holds(index, network.now(), can_end) {
            if is_current(&hold)
                && let Some(budgets) = &mut self.nodes[hold.node]
            {
                budgets.release(index);
            }
        }
    }

    fn inject(&mut self, fault: &Fault) {
        network_faults::inject(&mut self.network, self.options.latency, fault);
        match fault {
            Fault::Kill { nodes } => nodes.iter().for_each(|node| self.kill(*node)),
            Fault::Start { nodes, .. } | Fault::StartOlder { nodes } => {
                for node in nodes {
                    self.kill(*node);
                    self.start(*node);
                }
            }
            Fault::Leave { nodes } => {
                for node in nodes {
                    self.handle(*node, Event::Leave);
                }
            }
            _ => {}
        }
    }

    fn kill(&mut self, node: MachineId) {
        self.network.kill(node);
        self.nodes[node] = None;
    }
}

/// The number of a node by its name.
fn node_number(name: &str) -> Option<usize> {
    name[1..].parse().ok()
}
