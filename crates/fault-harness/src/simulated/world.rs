//! The nodes, their network and their history.

use std::net::SocketAddr;

use doortrack_membership::{
    Action, Change, Datagram, Event, Fleet, Incarnation, MemberReport, MemberState, MemberUpdate,
    Parameters,
};
use doortrack_node::peers::datagram_codec::DatagramCodec;
use doortrack_node::peers::peer_message::PeerMessage;
use doortrack_simulation::{LinkModel, MachineClock, MachineId, Micros, Network, NetworkEvent};

use super::{Cost, Options};
use crate::history::{History, HistoryEvent, Member, node_name};
use crate::network_faults::{self, MICROS_PER_MS};
use crate::script::{Fault, Script, TimedFault};

/// Microseconds in a tenth of a ms, the time unit of the membership code.
const TENTH_MS: Micros = 100;
/// Reading of the clocks at the start of a run; large enough that a clock set back is never negative.
const CLOCK_START_MICROS: i64 = 100_000 * MICROS_PER_MS as i64;
/// Bytes of IP and UDP headers of each datagram.
const HEADER_BYTES: u64 = 28;
/// Greatest number of nodes, evenly spaced, queried for their views at the end.
const MAX_QUERIED: usize = 60;
/// Nodes that each node contacts to join the fleet.
const SEED_COUNT: usize = 3;
/// Weight of each node.
const WEIGHT: u32 = 4;
const PORT: u16 = 7_400;

pub(super) struct World {
    network: Network<Datagram>,
    fleets: Vec<Option<Fleet>>,
    seeds: Vec<SocketAddr>,
    options: Options,
    codec: DatagramCodec,
    seed: u64,
    history: History,
    cost: Cost,
    /// Reused between events.
    actions: Vec<Action>,
}

fn address(node: MachineId) -> SocketAddr {
    SocketAddr::from(([10, 0, (node >> 8) as u8, node as u8], PORT))
}

/// The node at an address of [`address`].
fn node_at(address: SocketAddr) -> Option<MachineId> {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            Some(usize::from(high) << 8 | usize::from(low))
        }
        SocketAddr::V6(_) => None,
    }
}

/// A uniformly distributed number from `-bound` to `bound`.
fn draw_within(random: &mut fastrand::Rng, bound: u64) -> i64 {
    match bound as i64 {
        0 => 0,
        bound => random.i64(-bound..=bound),
    }
}

impl World {
    pub(super) fn new(script: &Script, options: &Options) -> World {
        let links = LinkModel {
            latency: options.latency,
            inter_zone_latency: options.inter_zone_latency,
            ..LinkModel::default()
        };
        let mut network = Network::new(links, script.seed);
        let mut random = fastrand::Rng::with_seed(script.seed);
        for node in 0..script.nodes {
            let offset_ms = draw_within(&mut random, options.offset_ms);
            let clock = MachineClock {
                offset: offset_ms * MICROS_PER_MS as i64 + CLOCK_START_MICROS,
                drift_ppm: draw_within(&mut random, options.drift_ppm),
            };
            network.add_machine(clock, node as u32 % options.zones.max(1));
        }
        World {
            network,
            fleets: (0..script.nodes).map(|_| None).collect(),
            seeds: (0..script.nodes.min(SEED_COUNT)).map(address).collect(),
            options: options.clone(),
            codec: DatagramCodec::new(None, "simulated"),
            seed: script.seed,
            history: History {
                nodes: script.nodes,
                entries: Vec::new(),
            },
            cost: Cost::default(),
            actions: Vec::new(),
        }
    }

    pub(super) fn run(mut self, script: &Script) -> (History, Cost) {
        let faults = network_faults::schedule_faults(&mut self.network, script);
        (0..script.nodes).for_each(|node| self.start(node));
        while let Some(event) = self.network.next_event(script.duration_ms * MICROS_PER_MS) {
            self.handle_network(event, &faults);
        }
        let step = script.nodes.div_ceil(MAX_QUERIED).max(1);
        for node in (0..script.nodes).step_by(step) {
            self.record_status(node, script.duration_ms);
        }
        (self.history, self.cost)
    }

    fn handle_network(&mut self, event: NetworkEvent<Datagram>, faults: &[TimedFault]) {
        match event {
            NetworkEvent::Timer(index) => self.inject(&faults[index as usize].fault),
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

    fn now_ms(&self) -> u64 {
        self.network.now() / MICROS_PER_MS
    }

    /// The time of a node's clock in tenths of a ms.
    fn node_time(&self, node: MachineId) -> u64 {
        self.network.clock_reading(node) / TENTH_MS
    }

    fn start(&mut self, node: MachineId) {
        if !self.network.is_down(node) {
            return;
        }
        self.network.start(node);
        self.history
            .record(self.now_ms(), HistoryEvent::Began { node });
        let started_ms = self.network.clock_reading(node) / MICROS_PER_MS;
        let own = MemberUpdate {
            name: node_name(node).into(),
            incarnation: Incarnation::from_start_time(started_ms, node as u64),
            version: 0,
            state: MemberState::Alive,
            address: address(node),
            weight: WEIGHT,
        };
        let parameters = Parameters {
            seeds: self.seeds.clone(),
            ..self.options.parameters.clone()
        };
        let seed = self.seed ^ self.network.now();
        let fleet = Fleet::new(own, parameters, seed, self.node_time(node));
        self.schedule_wakeup(node, &fleet);
        self.fleets[node] = Some(fleet);
    }

    fn schedule_wakeup(&mut self, node: MachineId, fleet: &Fleet) {
        let due = fleet.next_due();
        if due != u64::MAX {
            self.network.wake_at(node, due * TENTH_MS);
        }
    }

    fn handle(&mut self, node: MachineId, event: Event) {
        let now = self.node_time(node);
        let Some(mut fleet) = self.fleets[node].take() else {
            return;
        };
        let mut actions = std::mem::take(&mut self.actions);
        self.cost.measure(|| fleet.handle(now, event, &mut actions));
        for action in actions.drain(..) {
            match action {
                Action::Send { to, datagram } => self.send(node, to, *datagram),
                Action::Report(change) => self.record_change(node, &change, &fleet),
            }
        }
        self.actions = actions;
        self.schedule_wakeup(node, &fleet);
        self.fleets[node] = Some(fleet);
    }

    fn send(&mut self, node: MachineId, to: SocketAddr, datagram: Datagram) {
        self.cost.datagrams += 1;
        let Some(receiver) = node_at(to).filter(|node| *node < self.fleets.len()) else {
            return;
        };
        if self.options.count_bytes {
            let encoded = self
                .codec
                .encode(&PeerMessage::Membership(datagram.clone()));
            self.cost.bytes += encoded.map_or(0, |bytes| bytes.len() as u64) + HEADER_BYTES;
        }
        self.network.send(node, receiver, datagram);
    }

    fn record_change(&mut self, node: MachineId, change: &Change, fleet: &Fleet) {
        let at_ms = self.now_ms();
        if at_ms < self.options.record_from_ms {
            return;
        }
        let (member, view) = (change.member(), fleet.view());
        let event = HistoryEvent::MemberChange {
            node,
            change: change.name().to_string(),
            member: member.map(|(name, _)| name.to_string()),
            incarnation: member.map(|(_, incarnation)| incarnation.to_string()),
            view: view.number,
            members: view.members.len(),
        };
        self.history.record(at_ms, event);
    }

    fn inject(&mut self, fault: &Fault) {
        let event = HistoryEvent::Fault {
            fault: fault.clone(),
        };
        self.history.record(self.now_ms(), event);
        network_faults::inject(&mut self.network, self.options.latency, fault);
        match fault {
            Fault::Kill { nodes } => {
                let mut running = nodes.clone();
                running.retain(|node| !self.network.is_down(*node));
                running.into_iter().for_each(|node| self.kill(node));
            }
            Fault::Start { nodes, clock_ms } => self.restart(nodes, *clock_ms),
            Fault::StartOlder { nodes } => self.restart(nodes, 0),
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
        self.fleets[node] = None;
        self.history
            .record(self.now_ms(), HistoryEvent::Ended { node });
    }

    /// Starts nodes that do not run, each with its clock off by `clock_ms`.
    fn restart(&mut self, nodes: &[usize], clock_ms: i64) {
        for node in nodes {
            // A node that left still runs until it is restarted.
            let has_left = self.fleets[*node]
                .as_ref()
                .is_some_and(|fleet| fleet.me().state == MemberState::Left);
            if has_left {
                self.kill(*node);
            }
            if self.network.is_down(*node) {
                let clock = MachineClock {
                    offset: CLOCK_START_MICROS + clock_ms * MICROS_PER_MS as i64,
                    drift_ppm: 0,
                };
                self.network.set_clock(*node, clock);
            }
            self.start(*node);
        }
    }

    /// Records a running node's view.
    fn record_status(&mut self, node: MachineId, at_ms: u64) {
        let Some(fleet) = &self.fleets[node] else {
            return;
        };
        if !self.network.is_running(node) {
            return;
        }
        let (reports, _) = fleet.report(None, usize::MAX, self.node_time(node));
        let event = HistoryEvent::Status {
            node,
            isolated: fleet.is_isolated(),
            digest: format!("{:016x}", fleet.view().digest),
            members: reports.into_iter().map(member).collect(),
        };
        self.history.record(at_ms, event);
    }
}

fn member(report: MemberReport) -> Member {
    let state = serde_json::to_value(report.state).unwrap_or_default();
    Member {
        name: report.name.to_string(),
        incarnation: report.incarnation.to_string(),
        state: state.as_str().unwrap_or_default().to_string(),
    }
}
