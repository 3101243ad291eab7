//! Runs a simulation: the machines, their clocks and links, and the faults injected into them.

use doortrack_budgets::{Event as BudgetEvent, Parameters as LeaseParameters};
use doortrack_membership::{Event, Parameters};
use doortrack_simulation::{MachineClock, MachineId, Micros, Network, NetworkEvent};
use doortrack_time::TenthMillis;

use super::agreement::{Agreement, ViewSummary};
use super::machine::{Machine, Packet, Payload, Start};
use super::scenario::{Incident, IncidentCheck, Scenario};
use super::topology::Topology;
use super::traffic::Traffic;
use super::usage::Usage;
use crate::history::{History, HistoryEvent, Member};
use crate::network_faults;
use crate::script::Fault;

mod actions;
mod demand;

pub(super) const MS: Micros = 1_000;
const TENTH_MS: Micros = 100;
/// Initial clock reading in microseconds, maximum offset from it, and maximum drift.
const CLOCK_BASE: i64 = 100_000 * MS as i64;
const CLOCK_OFFSET: i64 = 1_000 * MS as i64;
const DRIFT_PPM: i64 = 10_000;
/// Interval of callers and checkers.
const TICK: Micros = 5 * MS;
const TICK_MARK: u64 = u64::MAX;
/// Ticks between checks of the sum that all machines may use; fewer checks if there are many budgets.
const MAX_IN_USE_CHECK_TICKS: u64 = 40;
const MAX_IN_USE_CHECK_TICKS_MANY_BUDGETS: u64 = 400;
const MANY_BUDGETS: usize = 10;
const LEADER_SAMPLE_TICKS: u64 = 200;
/// Member changes before this time are not recorded, as every machine reports every other one at the start.
const STARTUP_PERIOD: Micros = 20_000 * MS;
/// Maximum number of machines whose views are recorded at the end, spread evenly.
const MAX_RECORDED_VIEWS: usize = 60;

/// A checked incident and the time at which it happened.
#[derive(Clone, Copy, Debug)]
pub struct CheckedIncident {
    pub at: Micros,
    pub check: IncidentCheck,
}

/// The results of a simulation.
pub struct SimulationResult {
    pub history: History,
    pub agreement: Agreement,
    pub traffic: Traffic,
    pub usage: Usage,
    /// The leader at the start of each second.
    pub leaders: Vec<Option<MachineId>>,
    pub checked_incidents: Vec<CheckedIncident>,
    /// Number of events handled by machines.
    pub events: u64,
    /// Number of suspicions reported by machines.
    pub suspicions: u64,
    pub end: Micros,
}

struct World<'a> {
    scenario: &'a Scenario,
    seed: u64,
    network: Network<Packet>,
    clocks: Vec<MachineClock>,
    machines: Vec<Option<Box<Machine>>>,
    /// Number of starts of each machine.
    starts: Vec<u32>,
    /// Fractional demand carried over to the next tick, by machine and budget.
    accumulated_demand: Vec<Vec<f64>>,
    tick: u64,
    /// Machines killed as leader or voter and not restarted yet.
    killed: Vec<MachineId>,
    results: SimulationResult,
    fleet_actions: Vec<doortrack_membership::Action>,
    budget_actions: Vec<doortrack_budgets::Action>,
}

/// Simulates a scenario.
pub fn simulate(scenario: &Scenario, seed: u64) -> SimulationResult {
    let topology = scenario.topology;
    let links = doortrack_simulation::LinkModel {
        loss_rate: scenario.loss,
        ..topology.links()
    };
    let mut network = Network::new(links, seed);
    let mut chance = fastrand::Rng::with_seed(seed);
    let count = topology.machines();
    let mut clocks = Vec::with_capacity(count);
    for machine in 0..count {
        let offset = CLOCK_BASE + chance.i64(-CLOCK_OFFSET..=CLOCK_OFFSET);
        let clock = MachineClock {
            offset,
            drift_ppm: chance.i64(-DRIFT_PPM..=DRIFT_PPM),
        };
        clocks.push(clock);
        network.add_machine(clock, topology.zone(machine) as u32);
    }
    let budgets = scenario.list.len();
    // Random initial fractions, so that the callers of different machines are not synchronized.
    let accumulated_demand = (0..count)
        .map(|_| (0..budgets).map(|_| chance.f64()).collect())
        .collect();
    let mut world = World {
        scenario,
        seed,
        network,
        clocks,
        machines: (0..count).map(|_| None).collect(),
        starts: vec![0; count],
        accumulated_demand,
        tick: 0,
        killed: Vec::new(),
        results: SimulationResult {
            history: History {
                nodes: count,
                entries: Vec::new(),
            },
            agreement: Agreement::new(topology),
            traffic: Traffic::new(count),
            usage: Usage::new(&scenario.list),
            leaders: Vec::new(),
            checked_incidents: Vec::new(),
            events: 0,
            suspicions: 0,
            end: scenario.ms * MS,
        },
        fleet_actions: Vec::new(),
        budget_actions: Vec::new(),
    };
    world.run();
    world.results
}

impl World<'_> {
    fn run(&mut self) {
        for (nth, step) in self.scenario.steps.iter().enumerate() {
            self.network.set_timer(step.at_ms * MS, nth as u64);
        }
        self.network.set_timer(TICK, TICK_MARK);
        (0..self.machines.len()).for_each(|machine| self.start(machine));
        let end = self.results.end;
        while let Some(next) = self.network.next_event(end) {
            match next {
                NetworkEvent::Timer(TICK_MARK) => self.tick(),
                NetworkEvent::Timer(nth) => self.step(nth as usize),
                NetworkEvent::Woken { machine } => self.woken(machine),
                NetworkEvent::Delivered {
                    machine,
                    from: _,
                    message: packet,
                } => self.receive(machine, packet),
            }
        }
        let step = self.machines.len().div_ceil(MAX_RECORDED_VIEWS).max(1);
        (0..self.machines.len())
            .step_by(step)
            .for_each(|machine| self.record_view_of(machine));
    }

    fn now(&self) -> Micros {
        self.network.now()
    }

    fn now_ms(&self) -> u64 {
        self.network.now() / MS
    }

    /// Returns the reading of the machine's own clock.
    fn machine_time(&self, machine: MachineId) -> TenthMillis {
        self.network.clock_reading(machine) / TENTH_MS
    }

    fn start(&mut self, machine: MachineId) {
        if !self.network.is_down(machine) {
            return;
        }
        self.network.start(machine);
        self.starts[machine] += 1;
        let at_ms = self.now_ms();
        self.results
            .history
            .record(at_ms, HistoryEvent::Began { node: machine });
        let machine_time = self.network.clock_reading(machine);
        let started = Machine::new(Start {
            machine,
            unix_ms: machine_time / MS,
            now: machine_time / TENTH_MS,
            seed: self.seed ^ self.now() ^ (machine as u64) << 32,
            membership: Parameters::clone(&self.scenario.membership),
            leases: self.lease_parameters(),
            list: &self.scenario.list,
        });
        self.machines[machine] = Some(Box::new(started));
        self.update_machine(machine, |world, process| {
            world.update_budget_view(machine, process)
        });
    }

    fn lease_parameters(&self) -> LeaseParameters {
        let voters = Topology::names(self.scenario.topology.voters()).into();
        LeaseParameters {
            voters,
            safeguards: self.scenario.safeguards,
            ..LeaseParameters::default()
        }
    }

    /// Applies `act` to one machine, then records its view and schedules its next wake-up.
    fn update_machine(&mut self, machine: MachineId, act: impl FnOnce(&mut Self, &mut Machine)) {
        let Some(mut process) = self.machines[machine].take() else {
            return;
        };
        self.results.events += 1;
        act(self, &mut process);
        let view = process.fleet.view();
        let held = ViewSummary {
            digest: view.digest,
            members: view.members.len(),
        };
        let now = self.now();
        self.results
            .agreement
            .record_view(now, machine, Some(held).filter(|_| !process.leaves));
        let due = process.next_due();
        if due != process.due {
            process.due = due;
            if due != TenthMillis::MAX {
                self.network.wake_at(machine, due * TENTH_MS);
            }
        }
        self.machines[machine] = Some(process);
    }

    fn woken(&mut self, machine: MachineId) {
        self.update_machine(machine, |world, process| {
            process.due = TenthMillis::MAX;
            let now = world.machine_time(machine);
            if now >= process.fleet.next_due() {
                world.membership(machine, process, Event::Tick);
            }
            if now >= process.budgets.next_due() {
                world.budgets(machine, process, BudgetEvent::Tick);
            }
        });
    }

    fn receive(&mut self, machine: MachineId, packet: Packet) {
        let now = self.now();
        self.results
            .traffic
            .received(now, machine, u64::from(packet.bytes));
        self.update_machine(machine, |world, process| match packet.payload {
            Payload::Membership(datagram) => {
                let from = datagram.head.sender.address;
                world.membership(
                    machine,
                    process,
                    Event::Received {
                        from,
                        datagram: *datagram,
                    },
                );
            }
            // As in the node: unknown senders could fill the tables of a leader.
            Payload::Budgets(envelope) if process.knows(&envelope.from) => {
                world.budgets(machine, process, BudgetEvent::Received(*envelope));
            }
            Payload::Budgets(_) => {}
        });
    }

    fn step(&mut self, nth: usize) {
        let step = self.scenario.steps[nth].clone();
        if let Some(check) = step.check {
            let at = self.now();
            self.results
                .checked_incidents
                .push(CheckedIncident { at, check });
        }
        match step.incident {
            Incident::Fault(fault) => self.fault(fault),
            Incident::KillLeader => {
                let leader = self.leader();
                self.kill_voter(leader);
            }
            Incident::KillVoter => {
                let leader = self.leader();
                let others = self.scenario.topology.voters().rev();
                let victim = others
                    .into_iter()
                    .find(|of| Some(*of) != leader && !self.network.is_down(*of));
                self.kill_voter(victim);
            }
            Incident::StartKilled => {
                let nodes = std::mem::take(&mut self.killed);
                self.fault(Fault::Start { nodes, clock_ms: 0 });
            }
        }
    }

    fn kill_voter(&mut self, voter: Option<MachineId>) {
        let nodes: Vec<MachineId> = voter.into_iter().collect();
        self.killed.extend(&nodes);
        self.fault(Fault::Kill { nodes });
    }

    /// Returns the machine that is budget leader by its own clock.
    fn leader(&self) -> Option<MachineId> {
        self.scenario.topology.voters().find(|voter| {
            let now = self.machine_time(*voter);
            self.machines[*voter]
                .as_ref()
                .is_some_and(|process| process.budgets.is_leader(now))
        })
    }

    fn fault(&mut self, fault: Fault) {
        let at_ms = self.now_ms();
        self.results.history.record(
            at_ms,
            HistoryEvent::Fault {
                fault: fault.clone(),
            },
        );
        network_faults::inject(&mut self.network, Topology::latency(), &fault);
        match fault {
            Fault::Kill { nodes } => nodes.into_iter().for_each(|machine| self.kill(machine)),
            Fault::Start { nodes, clock_ms } => {
                for machine in nodes {
                    let offset = self.clocks[machine].offset + clock_ms * MS as i64;
                    self.network.set_clock(
                        machine,
                        MachineClock {
                            offset,
                            ..self.clocks[machine]
                        },
                    );
                    self.start(machine);
                }
            }
            Fault::Leave { nodes } => nodes.into_iter().for_each(|machine| self.leave(machine)),
            _ => {}
        }
    }

    fn kill(&mut self, machine: MachineId) {
        if self.network.is_down(machine) {
            return;
        }
        self.network.kill(machine);
        self.machines[machine] = None;
        let (now, at_ms) = (self.now(), self.now_ms());
        self.results.agreement.record_view(now, machine, None);
        self.results
            .history
            .record(at_ms, HistoryEvent::Ended { node: machine });
    }

    fn leave(&mut self, machine: MachineId) {
        self.update_machine(machine, |world, process| {
            process.leaves = true;
            world.budgets(machine, process, BudgetEvent::Leave);
            world.membership(machine, process, Event::Leave);
        });
    }

    /// Records the view of a machine for the checkers.
    fn record_view_of(&mut self, machine: MachineId) {
        let now = self.machine_time(machine);
        let Some(process) = self.machines[machine].as_ref() else {
            return;
        };
        let (reports, _) = process.fleet.report(None, usize::MAX, now);
        let members = reports.into_iter().map(|report| Member {
            name: report.name.to_string(),
            incarnation: report.incarnation.to_string(),
            state: format!("{:?}", report.state).to_lowercase(),
        });
        let members = members.collect();
        let (isolated, digest) = (
            process.fleet.is_isolated(),
            format!("{:016x}", process.fleet.view().digest),
        );
        let at_ms = self.now_ms();
        self.results.history.record(
            at_ms,
            HistoryEvent::Status {
                node: machine,
                isolated,
                digest,
                members,
            },
        );
    }
}
