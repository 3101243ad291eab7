//! A script played in simulated time, on the decisions that the node runs. The same to the byte each time.

use std::net::SocketAddr;
use std::time::Instant;

use doortrack_emulator::{Clock, Law, Links, MachineId, Micros, Net, Next};
use doortrack_fleet::{
    Action, Change, Datagram, Event, Fleet, Incarnation, MemberState, MemberUpdate, Parameters, ReportedState,
};
use doortrack_node::peers::seal::Seal;
use doortrack_node::peers::spoken::Spoken;

use crate::history::{History, Member, What, name};
use crate::links::{self, MS};
use crate::script::{Fault, Script};

/// Microseconds of a tenth of a ms.
const TENTH: Micros = 100;
/// What clocks show at the start of a play, so that one set back shows no time before all times.
const BASE: i64 = 100_000 * MS as i64;
/// Bytes of IP and UDP round each datagram.
const ROUND: u64 = 28;
/// Nodes that are asked for their views at the end, spread over all.
const MAX_QUERIED: usize = 60;

/// Options of a run. The defaults are one zone, exact clocks and a log-normal latency of 0.3 ms in the mean.
#[derive(Clone, Debug)]
pub struct Options {
    pub parameters: Parameters,
    pub latency: Law,
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
            latency: Law::LogNormal { mean: 300.0, sigma: 0.5 },
            zones: 1,
            between_zones: 0,
            offset_ms: 0,
            drift_ppm: 0,
            record_from_ms: 0,
            count_bytes: false,
        }
    }
}

/// What a play cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    pub events: u64,
    /// Real time spent in decisions, in ns.
    pub decisions_ns: u64,
    pub datagrams: u64,
    /// With IP and UDP headers; only with [`Options::count_bytes`].
    pub bytes: u64,
}

impl Cost {
    /// One event's decisions, timed.
    pub(crate) fn decide(&mut self, decide: impl FnOnce()) {
        let began = Instant::now();
        decide();
        self.decisions_ns += began.elapsed().as_nanos() as u64;
        self.events += 1;
    }
}

struct World {
    net: Net<Datagram>,
    fleets: Vec<Option<Fleet>>,
    seeds: Vec<SocketAddr>,
    options: Options,
    seal: Seal,
    seed: u64,
    history: History,
    cost: Cost,
    actions: Vec<Action>,
}

fn address(of: MachineId) -> SocketAddr {
    SocketAddr::from(([10, 0, (of >> 8) as u8, of as u8], 7_400))
}

fn machine(at: SocketAddr) -> Option<MachineId> {
    match at {
        SocketAddr::V4(at) => {
            let [_, _, high, low] = at.ip().octets();
            Some(usize::from(high) << 8 | usize::from(low))
        }
        SocketAddr::V6(_) => None,
    }
}

/// Plays a script.
pub fn run(script: &Script, options: &Options) -> (History, Cost) {
    let links = Links { latency: options.latency, between_zones: options.between_zones, ..Links::default() };
    let mut net = Net::new(links, script.seed);
    let mut chance = fastrand::Rng::with_seed(script.seed);
    for of in 0..script.nodes {
        let spread = |chance: &mut fastrand::Rng, most: u64| match most as i64 {
            0 => 0,
            most => chance.i64(-most..=most),
        };
        let offset = spread(&mut chance, options.offset_ms) * MS as i64 + BASE;
        let clock = Clock { offset, drift_ppm: spread(&mut chance, options.drift_ppm) };
        net.add(clock, of as u32 % options.zones.max(1));
    }
    let mut world = World {
        net,
        fleets: (0..script.nodes).map(|_| None).collect(),
        seeds: (0..script.nodes.min(3)).map(address).collect(),
        options: options.clone(),
        seal: Seal::new(None, "simulated"),
        seed: script.seed,
        history: History { nodes: script.nodes, entries: Vec::new() },
        cost: Cost::default(),
        actions: Vec::new(),
    };
    world.run(script);
    (world.history, world.cost)
}

impl World {
    fn run(&mut self, script: &Script) {
        let faults = links::mark(&mut self.net, script);
        (0..script.nodes).for_each(|of| self.start(of));
        while let Some(next) = self.net.next(script.ms * MS) {
            match next {
                Next::Mark(nth) => self.fault(faults[nth as usize].fault.clone()),
                Next::Wakes { of } => self.handle(of, Event::Tick),
                Next::Hears { of, from, what } => {
                    let from = address(from);
                    self.handle(of, Event::Received { from, datagram: what });
                }
            }
        }
        let step = script.nodes.div_ceil(MAX_QUERIED).max(1);
        (0..script.nodes).step_by(step).for_each(|of| self.ask(of, script.ms));
    }

    fn now_ms(&self) -> u64 {
        self.net.now() / MS
    }

    fn start(&mut self, of: MachineId) {
        if !self.net.is_down(of) {
            return;
        }
        self.net.start(of);
        let at_ms = self.now_ms();
        self.history.put(at_ms, What::Began { node: of });
        let shown = self.net.shown(of);
        let me = MemberUpdate {
            name: name(of).into(),
            incarnation: Incarnation::started(shown / MS, of as u64),
            version: 0,
            state: MemberState::Alive,
            address: address(of),
            weight: 4,
        };
        let parameters = Parameters { seeds: self.seeds.clone(), ..self.options.parameters.clone() };
        let fleet = Fleet::new(me, parameters, self.seed ^ self.net.now(), shown / TENTH);
        self.wake(of, &fleet);
        self.fleets[of] = Some(fleet);
    }

    fn wake(&mut self, of: MachineId, fleet: &Fleet) {
        let due = fleet.next_due();
        if due != u64::MAX {
            self.net.wake(of, due * TENTH);
        }
    }

    fn handle(&mut self, of: MachineId, event: Event) {
        let now = self.net.shown(of) / TENTH;
        let Some(mut fleet) = self.fleets[of].take() else { return };
        let mut actions = std::mem::take(&mut self.actions);
        self.cost.decide(|| fleet.handle(now, event, &mut actions));
        for action in actions.drain(..) {
            match action {
                Action::Send { to, datagram } => self.send(of, to, *datagram),
                Action::Report(change) => self.tell(of, &change, &fleet),
            }
        }
        self.actions = actions;
        self.wake(of, &fleet);
        self.fleets[of] = Some(fleet);
    }

    fn send(&mut self, of: MachineId, to: SocketAddr, datagram: Datagram) {
        self.cost.datagrams += 1;
        let Some(to) = machine(to).filter(|to| *to < self.fleets.len()) else { return };
        if self.options.count_bytes {
            let whole = self.seal.close(&Spoken::Fleet(datagram.clone()));
            self.cost.bytes += whole.map_or(0, |whole| whole.len() as u64) + ROUND;
        }
        self.net.send(of, to, datagram);
    }

    fn tell(&mut self, of: MachineId, change: &Change, fleet: &Fleet) {
        let at_ms = self.now_ms();
        if at_ms < self.options.record_from_ms {
            return;
        }
        let (about, view) = (change.about(), fleet.view());
        let what = What::MemberChange {
            node: of,
            change: change.word().to_string(),
            member: about.map(|(name, _)| name.to_string()),
            incarnation: about.map(|(_, incarnation)| incarnation.to_string()),
            view: view.number,
            members: view.members.len(),
        };
        self.history.put(at_ms, what);
    }

    fn fault(&mut self, fault: Fault) {
        let at_ms = self.now_ms();
        self.history.put(at_ms, What::Fault { fault: fault.clone() });
        links::take_up(&mut self.net, self.options.latency, &fault);
        match fault {
            Fault::Kill { nodes } => {
                for of in nodes.into_iter().filter(|of| !self.net.is_down(*of)).collect::<Vec<_>>() {
                    self.net.kill(of);
                    self.fleets[of] = None;
                    self.history.put(at_ms, What::Ended { node: of });
                }
            }
            Fault::Start { nodes, clock_ms } => self.start_all(nodes, clock_ms),
            Fault::StartOlder { nodes } => self.start_all(nodes, 0),
            Fault::Leave { nodes } => nodes.into_iter().for_each(|of| self.handle(of, Event::Leave)),
            _ => {}
        }
    }

    fn start_all(&mut self, nodes: Vec<usize>, clock_ms: i64) {
        let at_ms = self.now_ms();
        for of in nodes {
            // One that leaves still answers until it is started anew.
            if self.fleets[of].as_ref().is_some_and(|fleet| fleet.me().state == MemberState::Left) {
                self.net.kill(of);
                self.history.put(at_ms, What::Ended { node: of });
            }
            if self.net.is_down(of) {
                let clock = Clock { offset: BASE + clock_ms * MS as i64, drift_ppm: 0 };
                self.net.set_clock(of, clock);
            }
            self.start(of);
        }
    }

    fn ask(&mut self, of: MachineId, at_ms: u64) {
        let now = self.net.shown(of) / TENTH;
        let Some(fleet) = self.fleets[of].as_ref().filter(|_| self.net.is_up(of)) else { return };
        let (reports, _) = fleet.report(None, usize::MAX, now);
        let state = |state: ReportedState| {
            serde_json::to_value(state).ok().and_then(|v| v.as_str().map(str::to_string))
        };
        let member = |of: doortrack_fleet::MemberReport| Member {
            name: of.name.to_string(),
            incarnation: of.incarnation.to_string(),
            state: state(of.state).unwrap_or_default(),
        };
        let members = reports.into_iter().map(member).collect();
        let (isolated, digest) = (fleet.is_isolated(), format!("{:016x}", fleet.view().digest));
        self.history.put(at_ms, What::Status { node: of, isolated, digest, members });
    }
}
