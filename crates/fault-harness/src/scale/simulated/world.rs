//! The play itself: machines, their clocks and links, and what is done to them.

use doortrack_budgets::{Event as BudgetEvent, Parameters as LeaseParameters};
use doortrack_membership::{Event, Parameters};
use doortrack_simulation::{MachineClock, MachineId, Micros, Network, NetworkEvent};
use doortrack_time::TenthMillis;

use super::agreement::{Agreement, Held};
use super::machine::{Content, Machine, Parcel, Start};
use super::scenario::{Incident, Scenario, Watch};
use super::topology::Topology;
use super::traffic::Traffic;
use super::usage::Usage;
use crate::history::{History, HistoryEvent, Member};
use crate::network_faults;
use crate::script::Fault;

mod carrying;
mod demand;

pub(super) const MS: Micros = 1_000;
const TENTH: Micros = 100;
/// What clocks show at the start, and how far one may be off and drift.
const CLOCK_BASE: i64 = 100_000 * MS as i64;
const CLOCK_OFFSET: i64 = 1_000 * MS as i64;
const DRIFT_PPM: i64 = 10_000;
/// How often something of the callers' or the checkers' is due.
const TICK: Micros = 5 * MS;
const TICK_MARK: u64 = u64::MAX;
/// Ticks between two sums of what all may use, and where there are many budgets.
const EXPOSED_EVERY: u64 = 40;
const EXPOSED_SELDOM: u64 = 400;
const MANY_BUDGETS: usize = 10;
const LEADER_EVERY: u64 = 200;
/// Changes before this is not kept: every machine tells of every other as all start.
const QUIET: Micros = 20_000 * MS;
/// Machines that are asked for their views at the end, spread over all.
const MOST_ASKED: usize = 60;

/// A measured incident at its time.
#[derive(Clone, Copy, Debug)]
pub struct Watched {
    pub at: Micros,
    pub watch: Watch,
}

/// What a play left.
pub struct Played {
    pub history: History,
    pub agreement: Agreement,
    pub traffic: Traffic,
    pub usage: Usage,
    /// The leader at the start of each second.
    pub leaders: Vec<Option<MachineId>>,
    pub watched: Vec<Watched>,
    /// Events that machines took in.
    pub events: u64,
    /// Doubts that machines told of.
    pub doubts: u64,
    pub end: Micros,
}

struct World<'a> {
    scenario: &'a Scenario,
    seed: u64,
    network: Network<Parcel>,
    clocks: Vec<MachineClock>,
    machines: Vec<Option<Box<Machine>>>,
    /// Starts of each machine so far.
    starts: Vec<u32>,
    /// By machine and budget: parts of a use that are asked for next time.
    owed: Vec<Vec<f64>>,
    tick: u64,
    /// Killed as leader or voter, not started anew yet.
    killed: Vec<MachineId>,
    played: Played,
    fleet_actions: Vec<doortrack_membership::Action>,
    budget_actions: Vec<doortrack_budgets::Action>,
}

/// Plays a scenario.
pub fn play(scenario: &Scenario, seed: u64) -> Played {
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
    // Nobody's callers come in step with another's.
    let owed = (0..count)
        .map(|_| (0..budgets).map(|_| chance.f64()).collect())
        .collect();
    let mut world = World {
        scenario,
        seed,
        network,
        clocks,
        machines: (0..count).map(|_| None).collect(),
        starts: vec![0; count],
        owed,
        tick: 0,
        killed: Vec::new(),
        played: Played {
            history: History {
                nodes: count,
                entries: Vec::new(),
            },
            agreement: Agreement::new(topology),
            traffic: Traffic::new(count),
            usage: Usage::new(&scenario.list),
            leaders: Vec::new(),
            watched: Vec::new(),
            events: 0,
            doubts: 0,
            end: scenario.ms * MS,
        },
        fleet_actions: Vec::new(),
        budget_actions: Vec::new(),
    };
    world.run();
    world.played
}

impl World<'_> {
    fn run(&mut self) {
        for (nth, step) in self.scenario.steps.iter().enumerate() {
            self.network.set_timer(step.at_ms * MS, nth as u64);
        }
        self.network.set_timer(TICK, TICK_MARK);
        (0..self.machines.len()).for_each(|machine| self.start(machine));
        let end = self.played.end;
        while let Some(next) = self.network.next_event(end) {
            match next {
                NetworkEvent::Timer(TICK_MARK) => self.tick(),
                NetworkEvent::Timer(nth) => self.step(nth as usize),
                NetworkEvent::Woken { machine } => self.woken(machine),
                NetworkEvent::Delivered {
                    machine,
                    from: _,
                    message: parcel,
                } => self.hears(machine, parcel),
            }
        }
        let step = self.machines.len().div_ceil(MOST_ASKED).max(1);
        (0..self.machines.len())
            .step_by(step)
            .for_each(|machine| self.ask_view(machine));
    }

    fn now(&self) -> Micros {
        self.network.now()
    }

    fn now_ms(&self) -> u64 {
        self.network.now() / MS
    }

    /// What the machine's own clock shows.
    fn shown(&self, machine: MachineId) -> TenthMillis {
        self.network.clock_reading(machine) / TENTH
    }

    fn start(&mut self, machine: MachineId) {
        if !self.network.is_down(machine) {
            return;
        }
        self.network.start(machine);
        self.starts[machine] += 1;
        let at_ms = self.now_ms();
        self.played
            .history
            .record(at_ms, HistoryEvent::Began { node: machine });
        let shown = self.network.clock_reading(machine);
        let started = Machine::new(Start {
            machine,
            unix_ms: shown / MS,
            now: shown / TENTH,
            seed: self.seed ^ self.now() ^ (machine as u64) << 32,
            membership: Parameters::clone(&self.scenario.membership),
            leases: self.lease_parameters(),
            list: &self.scenario.list,
        });
        self.machines[machine] = Some(Box::new(started));
        self.with(machine, |world, own| world.tell_members(machine, own));
    }

    fn lease_parameters(&self) -> LeaseParameters {
        let voters = Topology::names(self.scenario.topology.voters()).into();
        LeaseParameters {
            voters,
            safeguards: self.scenario.safeguards,
            ..LeaseParameters::default()
        }
    }

    /// Lends one machine out, then takes note of its view and of when it has to be woken.
    fn with(&mut self, machine: MachineId, act: impl FnOnce(&mut Self, &mut Machine)) {
        let Some(mut own) = self.machines[machine].take() else {
            return;
        };
        self.played.events += 1;
        act(self, &mut own);
        let view = own.fleet.view();
        let held = Held {
            digest: view.digest,
            members: view.members.len(),
        };
        let now = self.now();
        self.played
            .agreement
            .put(now, machine, Some(held).filter(|_| !own.leaves));
        let due = own.next_due();
        if due != own.due {
            own.due = due;
            if due != TenthMillis::MAX {
                self.network.wake_at(machine, due * TENTH);
            }
        }
        self.machines[machine] = Some(own);
    }

    fn woken(&mut self, machine: MachineId) {
        self.with(machine, |world, own| {
            own.due = TenthMillis::MAX;
            let now = world.shown(machine);
            if now >= own.fleet.next_due() {
                world.membership(machine, own, Event::Tick);
            }
            if now >= own.budgets.next_due() {
                world.budgets(machine, own, BudgetEvent::Tick);
            }
        });
    }

    fn hears(&mut self, machine: MachineId, parcel: Parcel) {
        let now = self.now();
        self.played
            .traffic
            .received(now, machine, u64::from(parcel.bytes));
        self.with(machine, |world, own| match parcel.content {
            Content::Membership(datagram) => {
                let from = datagram.head.sender.address;
                world.membership(
                    machine,
                    own,
                    Event::Received {
                        from,
                        datagram: *datagram,
                    },
                );
            }
            // As the node does: a stranger could fill a leader's books.
            Content::Budgets(envelope) if own.knows(&envelope.from) => {
                world.budgets(machine, own, BudgetEvent::Received(*envelope));
            }
            Content::Budgets(_) => {}
        });
    }

    fn step(&mut self, nth: usize) {
        let step = self.scenario.steps[nth].clone();
        if let Some(watch) = step.watch {
            let at = self.now();
            self.played.watched.push(Watched { at, watch });
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

    /// The machine that leads the budgets by its own clock.
    fn leader(&self) -> Option<MachineId> {
        self.scenario.topology.voters().find(|voter| {
            let now = self.shown(*voter);
            self.machines[*voter]
                .as_ref()
                .is_some_and(|own| own.budgets.is_leader(now))
        })
    }

    fn fault(&mut self, fault: Fault) {
        let at_ms = self.now_ms();
        self.played.history.record(
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
        self.played.agreement.put(now, machine, None);
        self.played
            .history
            .record(at_ms, HistoryEvent::Ended { node: machine });
    }

    fn leave(&mut self, machine: MachineId) {
        self.with(machine, |world, own| {
            own.leaves = true;
            world.budgets(machine, own, BudgetEvent::Leave);
            world.membership(machine, own, Event::Leave);
        });
    }

    /// A machine is asked for its view, for the checkers.
    fn ask_view(&mut self, machine: MachineId) {
        let now = self.shown(machine);
        let Some(own) = self.machines[machine].as_ref() else {
            return;
        };
        let (reports, _) = own.fleet.report(None, usize::MAX, now);
        let members = reports.into_iter().map(|report| Member {
            name: report.name.to_string(),
            incarnation: report.incarnation.to_string(),
            state: format!("{:?}", report.state).to_lowercase(),
        });
        let members = members.collect();
        let (isolated, digest) = (
            own.fleet.is_isolated(),
            format!("{:016x}", own.fleet.view().digest),
        );
        let at_ms = self.now_ms();
        self.played.history.record(
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
