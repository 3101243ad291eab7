//! Runs a script in simulated time, on the decisions that the node runs. Every run gives the same history to
//! the byte.

use std::net::SocketAddr;
use std::time::Instant;

use doortrack_membership::{
    Action, Change, Datagram, Event, Fleet, Incarnation, MemberState, MemberUpdate, Parameters,
    ReportedState,
};
use doortrack_node::peers::peer_message::PeerMessage;
use doortrack_node::peers::seal::Seal;
use doortrack_simulation::{
    Distribution, LinkModel, MachineClock, MachineId, Micros, Network, NetworkEvent,
};

use crate::history::{History, Member, What, name};
use crate::links::{self, MS};
use crate::script::{Fault, Script};

/// Microseconds in a tenth of a ms, the unit of the decisions' time.
const TENTH: Micros = 100;
/// What clocks show at the start of a run; large enough that a clock set back shows no negative time.
const BASE: i64 = 100_000 * MS as i64;
/// Bytes of IP and UDP headers of each datagram.
const HEADER_BYTES: u64 = 28;
/// Nodes queried for their views at the end, spread evenly.
const MAX_QUERIED: usize = 60;

/// Options of a run. The defaults are one zone, exact clocks and a log-normal latency of 0.3 ms in the mean.
#[derive(Clone, Debug)]
pub struct Options {
    pub parameters: Parameters,
    pub latency: Distribution,
    /// Zones, to which nodes are assigned in turn.
    pub zones: u32,
    /// Additional latency between two zones, in microseconds.
    pub between_zones: Micros,
    /// Bound of each clock's offset, in ms, in either direction.
    pub offset_ms: u64,
    /// Bound of each clock's drift, in parts per million, in either direction.
    pub drift_ppm: u64,
    /// Membership changes before this time, in ms, are not recorded, to bound the history's length.
    pub record_from_ms: u64,
    /// Whether the bytes of datagrams are counted. Encoding them takes most of a run's time.
    pub count_bytes: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            parameters: Parameters::default(),
            latency: Distribution::LogNormal {
                mean: 300.0,
                sigma: 0.5,
            },
            zones: 1,
            between_zones: 0,
            offset_ms: 0,
            drift_ppm: 0,
            record_from_ms: 0,
            count_bytes: false,
        }
    }
}

/// The cost of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Events handled by the decisions.
    pub events: u64,
    /// Real time spent in decisions, in ns.
    pub decisions_ns: u64,
    pub datagrams: u64,
    /// With IP and UDP headers; only with [`Options::count_bytes`].
    pub bytes: u64,
}

impl Cost {
    /// Runs the decisions of one event and adds their time.
    pub(crate) fn decide(&mut self, decide: impl FnOnce()) {
        let began = Instant::now();
        decide();
        self.decisions_ns += began.elapsed().as_nanos() as u64;
        self.events += 1;
    }
}

struct World {
    network: Network<Datagram>,
    fleets: Vec<Option<Fleet>>,
    seeds: Vec<SocketAddr>,
    options: Options,
    seal: Seal,
    seed: u64,
    history: History,
    cost: Cost,
    actions: Vec<Action>,
}

fn address(node: MachineId) -> SocketAddr {
    SocketAddr::from(([10, 0, (node >> 8) as u8, node as u8], 7_400))
}

fn machine(address: SocketAddr) -> Option<MachineId> {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            Some(usize::from(high) << 8 | usize::from(low))
        }
        SocketAddr::V6(_) => None,
    }
}

/// Runs a script; returns its history and cost.
pub fn run(script: &Script, options: &Options) -> (History, Cost) {
    let links = LinkModel {
        latency: options.latency,
        inter_zone_latency: options.between_zones,
        ..LinkModel::default()
    };
    let mut network = Network::new(links, script.seed);
    let mut chance = fastrand::Rng::with_seed(script.seed);
    for node in 0..script.nodes {
        let spread = |chance: &mut fastrand::Rng, bound: u64| match bound as i64 {
            0 => 0,
            bound => chance.i64(-bound..=bound),
        };
        let offset = spread(&mut chance, options.offset_ms) * MS as i64 + BASE;
        let clock = MachineClock {
            offset,
            drift_ppm: spread(&mut chance, options.drift_ppm),
        };
        network.add_machine(clock, node as u32 % options.zones.max(1));
    }
    let mut world = World {
        network,
        fleets: (0..script.nodes).map(|_| None).collect(),
        seeds: (0..script.nodes.min(3)).map(address).collect(),
        options: options.clone(),
        seal: Seal::new(None, "simulated"),
        seed: script.seed,
        history: History {
            nodes: script.nodes,
            entries: Vec::new(),
        },
        cost: Cost::default(),
        actions: Vec::new(),
    };
    world.run(script);
    (world.history, world.cost)
}

impl World {
    fn run(&mut self, script: &Script) {
        let faults = links::schedule_faults(&mut self.network, script);
        (0..script.nodes).for_each(|node| self.start(node));
        while let Some(next) = self.network.next_event(script.ms * MS) {
            match next {
                NetworkEvent::Timer(index) => self.inject(faults[index as usize].fault.clone()),
                NetworkEvent::Woken { machine: node } => self.handle(node, Event::Tick),
                NetworkEvent::Delivered {
                    machine: node,
                    from,
                    message: datagram,
                } => {
                    let from = address(from);
                    self.handle(node, Event::Received { from, datagram });
                }
            }
        }
        let step = script.nodes.div_ceil(MAX_QUERIED).max(1);
        (0..script.nodes)
            .step_by(step)
            .for_each(|node| self.record_status(node, script.ms));
    }

    fn now_ms(&self) -> u64 {
        self.network.now() / MS
    }

    fn start(&mut self, node: MachineId) {
        if !self.network.is_down(node) {
            return;
        }
        self.network.start(node);
        let at_ms = self.now_ms();
        self.history.put(at_ms, What::Began { node });
        let shown = self.network.clock_reading(node);
        let me = MemberUpdate {
            name: name(node).into(),
            incarnation: Incarnation::started(shown / MS, node as u64),
            version: 0,
            state: MemberState::Alive,
            address: address(node),
            weight: 4,
        };
        let parameters = Parameters {
            seeds: self.seeds.clone(),
            ..self.options.parameters.clone()
        };
        let fleet = Fleet::new(
            me,
            parameters,
            self.seed ^ self.network.now(),
            shown / TENTH,
        );
        self.wake(node, &fleet);
        self.fleets[node] = Some(fleet);
    }

    fn wake(&mut self, node: MachineId, fleet: &Fleet) {
        let due = fleet.next_due();
        if due != u64::MAX {
            self.network.wake_at(node, due * TENTH);
        }
    }

    fn handle(&mut self, node: MachineId, event: Event) {
        let now = self.network.clock_reading(node) / TENTH;
        let Some(mut fleet) = self.fleets[node].take() else {
            return;
        };
        let mut actions = std::mem::take(&mut self.actions);
        self.cost.decide(|| fleet.handle(now, event, &mut actions));
        for action in actions.drain(..) {
            match action {
                Action::Send { to, datagram } => self.send(node, to, *datagram),
                Action::Report(change) => self.record_change(node, &change, &fleet),
            }
        }
        self.actions = actions;
        self.wake(node, &fleet);
        self.fleets[node] = Some(fleet);
    }

    fn send(&mut self, node: MachineId, to: SocketAddr, datagram: Datagram) {
        self.cost.datagrams += 1;
        let Some(to) = machine(to).filter(|to| *to < self.fleets.len()) else {
            return;
        };
        if self.options.count_bytes {
            let sealed = self.seal.seal(&PeerMessage::Fleet(datagram.clone()));
            self.cost.bytes += sealed.map_or(0, |bytes| bytes.len() as u64) + HEADER_BYTES;
        }
        self.network.send(node, to, datagram);
    }

    fn record_change(&mut self, node: MachineId, change: &Change, fleet: &Fleet) {
        let at_ms = self.now_ms();
        if at_ms < self.options.record_from_ms {
            return;
        }
        let (member, view) = (change.member(), fleet.view());
        let what = What::MemberChange {
            node,
            change: change.name().to_string(),
            member: member.map(|(name, _)| name.to_string()),
            incarnation: member.map(|(_, incarnation)| incarnation.to_string()),
            view: view.number,
            members: view.members.len(),
        };
        self.history.put(at_ms, what);
    }

    fn inject(&mut self, fault: Fault) {
        let at_ms = self.now_ms();
        self.history.put(
            at_ms,
            What::Fault {
                fault: fault.clone(),
            },
        );
        links::inject(&mut self.network, self.options.latency, &fault);
        match fault {
            Fault::Kill { nodes } => {
                for node in nodes
                    .into_iter()
                    .filter(|node| !self.network.is_down(*node))
                    .collect::<Vec<_>>()
                {
                    self.network.kill(node);
                    self.fleets[node] = None;
                    self.history.put(at_ms, What::Ended { node });
                }
            }
            Fault::Start { nodes, clock_ms } => self.start_all(nodes, clock_ms),
            Fault::StartOlder { nodes } => self.start_all(nodes, 0),
            Fault::Leave { nodes } => nodes
                .into_iter()
                .for_each(|node| self.handle(node, Event::Leave)),
            _ => {}
        }
    }

    fn start_all(&mut self, nodes: Vec<usize>, clock_ms: i64) {
        let at_ms = self.now_ms();
        for node in nodes {
            // A node that left still answers until it is restarted.
            if self.fleets[node]
                .as_ref()
                .is_some_and(|fleet| fleet.me().state == MemberState::Left)
            {
                self.network.kill(node);
                self.history.put(at_ms, What::Ended { node });
            }
            if self.network.is_down(node) {
                let clock = MachineClock {
                    offset: BASE + clock_ms * MS as i64,
                    drift_ppm: 0,
                };
                self.network.set_clock(node, clock);
            }
            self.start(node);
        }
    }

    fn record_status(&mut self, node: MachineId, at_ms: u64) {
        let now = self.network.clock_reading(node) / TENTH;
        let Some(fleet) = self.fleets[node]
            .as_ref()
            .filter(|_| self.network.is_running(node))
        else {
            return;
        };
        let (reports, _) = fleet.report(None, usize::MAX, now);
        let state = |state: ReportedState| {
            serde_json::to_value(state)
                .ok()
                .and_then(|v| v.as_str().map(str::to_string))
        };
        let member = |report: doortrack_membership::MemberReport| Member {
            name: report.name.to_string(),
            incarnation: report.incarnation.to_string(),
            state: state(report.state).unwrap_or_default(),
        };
        let members = reports.into_iter().map(member).collect();
        let (isolated, digest) = (fleet.is_isolated(), format!("{:016x}", fleet.view().digest));
        self.history.put(
            at_ms,
            What::Status {
                node,
                isolated,
                digest,
                members,
            },
        );
    }
}
