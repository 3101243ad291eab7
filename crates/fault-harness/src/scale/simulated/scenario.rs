//! Scenarios: the faults of a simulation and their times.

use doortrack_budgets::{Budget, Safeguards};
use doortrack_membership::Parameters;

use super::machine::address;
use super::topology::{Topology, ZONES};
use crate::script::Fault;

/// Time from the start of all machines by which all views are expected to be equal.
const SETTLED_MS: u64 = 20_000;
/// Fault-free seconds whose traffic is the baseline for peaks.
pub const BASELINE_SECONDS: std::ops::Range<usize> = 20..30;
const FIRST_SLOT_MS: u64 = 30_000;
/// Length of a slot. One restart per slot is 3,600 per day.
pub const SLOT_MS: u64 = 24_000;
/// Times of kill and start in a restart, relative to the request to leave.
const RESTART_KILL_MS: u64 = 1_500;
const RESTART_START_MS: u64 = 3_000;
/// Time in the slot at which another fault is injected, after the restart has completed.
const FAULT_OFFSET_MS: u64 = 10_000;
/// Time until a single failed machine is restarted.
const DOWNTIME_MS: u64 = 8_000;
/// The failing zone, which has a voter, and the failing rack.
const FAILED_ZONE: usize = 1;
const FAILED_RACK: usize = 2;
const FINAL_MS: u64 = 15_000;

/// An action on the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Incident {
    Fault(Fault),
    /// Kills the machine that is budget leader at that time.
    KillLeader,
    /// Kills a voter that is not the leader.
    KillVoter,
    /// Restarts the machines killed by the other two.
    StartKilled,
}

/// The views expected after an incident.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    AllAgree,
    /// The regions are partitioned, and the views agree within each.
    RegionsAgree,
}

/// The measurement and check of an incident.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncidentCheck {
    pub label: &'static str,
    pub expected: Expected,
    /// Time limit until the views are as expected.
    pub agree_within_ms: u64,
}

/// An incident and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at_ms: u64,
    pub incident: Incident,
    pub check: Option<IncidentCheck>,
}

/// The period in which the regions are partitioned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Partition {
    pub from_ms: u64,
    pub until_ms: u64,
}

/// Requested uses per second and node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    pub first: f64,
    /// Demand for each other budget.
    pub others: f64,
    /// How long a unit of a concurrency budget is held.
    pub held_ms: u64,
}

/// One scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: String,
    pub topology: Topology,
    pub ms: u64,
    pub steps: Vec<Step>,
    pub partition: Option<Partition>,
    /// Share of datagrams lost.
    pub loss: f64,
    pub membership: Parameters,
    pub safeguards: Safeguards,
    pub list: Vec<Budget>,
    pub demand: Demand,
}

/// Time limit for agreement after a failure or restart.
const MAX_AGREEMENT_MS: u64 = 5_000;
/// Time limit for agreement after the start of a partition. The last of some 330 members lost at once is first
/// probed after about 2 s (a single one after 0.35 s). Its suspicion may last 2 s, and the updates about all of
/// them have to be gossiped.
const MAX_PARTITION_AGREEMENT_MS: u64 = 8_000;
/// Time limit for agreement after the end of a partition.
const MAX_REJOIN_AGREEMENT_MS: u64 = 4_000;

fn check(label: &'static str) -> Option<IncidentCheck> {
    Some(IncidentCheck {
        label,
        expected: Expected::AllAgree,
        agree_within_ms: MAX_AGREEMENT_MS,
    })
}

/// Units per second of the first budget for each node; the demand is twice as high.
const RATE_PER_NODE: u32 = 30;
const CONCURRENCY_PER_NODE: u32 = 3;
const MAX_HOLD_MS: u64 = 2_000;

impl Scenario {
    /// A scenario without faults.
    pub fn without_faults(topology: Topology, ms: u64) -> Scenario {
        let seeds = topology.voters().map(address).collect();
        Scenario {
            name: "calm".into(),
            topology,
            ms,
            steps: Vec::new(),
            partition: None,
            loss: 0.0,
            membership: Parameters {
                seeds,
                ..Parameters::default()
            },
            safeguards: Safeguards::default(),
            list: vec![
                topology.rate("requests", RATE_PER_NODE),
                topology.concurrency("slots", CONCURRENCY_PER_NODE, MAX_HOLD_MS),
            ],
            demand: Demand {
                first: 2.0 * f64::from(RATE_PER_NODE),
                others: 4.0,
                held_ms: 500,
            },
        }
    }

    /// A scenario without faults and with this number of rate budgets.
    pub fn budgets(topology: Topology, budgets: usize, ms: u64) -> Scenario {
        let rate = |nth: usize| {
            topology.rate(
                &format!("customer-{nth}"),
                RATE_PER_NODE / if nth > 0 { 6 } else { 1 },
            )
        };
        let demand = Demand {
            first: f64::from(RATE_PER_NODE),
            others: 1.0,
            held_ms: 0,
        };
        Scenario {
            list: (0..budgets).map(rate).collect(),
            demand,
            ..Scenario::without_faults(topology, ms)
        }
    }

    /// Restarts at the rate of 3,600 per day throughout. Between them single machines fail (15 per day), then a
    /// rack, a zone, the leader and a voter; all are restarted.
    pub fn day(topology: Topology, singles: usize, slot_ms: u64, seed: u64) -> Scenario {
        let mut steps = Steps {
            slot_ms,
            ..Steps::default()
        };
        let mut order = shuffled(topology, seed);
        for slot in 0..singles {
            let node = order.pop().unwrap_or(0);
            steps.put(
                slot,
                FAULT_OFFSET_MS,
                kill(vec![node]),
                check("one node lost"),
            );
            steps.put(
                slot,
                FAULT_OFFSET_MS + DOWNTIME_MS,
                start(vec![node]),
                check("one node back"),
            );
        }
        let (rack, zone) = (
            topology.nodes_in_rack(FAILED_RACK),
            topology.machines_in_zone(FAILED_ZONE % ZONES),
        );
        let mut slot = singles;
        for (nodes, lost, back) in [
            (rack, "rack lost", "rack back"),
            (zone, "zone lost", "zone back"),
        ] {
            steps.put(slot, FAULT_OFFSET_MS, kill(nodes.clone()), check(lost));
            steps.put(slot + 1, FAULT_OFFSET_MS, start(nodes), check(back));
            slot += 2;
        }
        for (incident, lost, back) in [
            (Incident::KillLeader, "leader lost", "leader back"),
            (Incident::KillVoter, "voter lost", "voter back"),
        ] {
            steps.put(slot, FAULT_OFFSET_MS, incident, check(lost));
            steps.put(
                slot + 1,
                FAULT_OFFSET_MS,
                Incident::StartKilled,
                check(back),
            );
            slot += 2;
        }
        (0..slot).for_each(|slot| steps.restart(slot, order.pop().unwrap_or(0)));
        let ms = steps.at(slot, 0) + FINAL_MS;
        Scenario {
            name: "day".into(),
            ms,
            steps: steps.list,
            ..Scenario::without_faults(topology, 0)
        }
    }

    /// The regions are partitioned for `partition_ms` while nodes of both restart at the daily rate.
    pub fn partitioned(topology: Topology, partition_ms: u64, seed: u64) -> Scenario {
        let mut steps = Steps {
            slot_ms: SLOT_MS,
            ..Steps::default()
        };
        let partition = Partition {
            from_ms: steps.at(0, FAULT_OFFSET_MS),
            until_ms: steps.at(0, FAULT_OFFSET_MS) + partition_ms,
        };
        let (one, other) = (
            topology.machines_in_region(0),
            topology.machines_in_region(1),
        );
        let pairs = [(one.clone(), other.clone()), (other, one)];
        let partitioned_check = IncidentCheck {
            label: "regions parted",
            expected: Expected::RegionsAgree,
            agree_within_ms: MAX_PARTITION_AGREEMENT_MS,
        };
        let rejoined = IncidentCheck {
            label: "regions together",
            expected: Expected::AllAgree,
            agree_within_ms: MAX_REJOIN_AGREEMENT_MS,
        };
        for (nth, (from, to)) in pairs.into_iter().enumerate() {
            let cut = Incident::Fault(Fault::Cut {
                from: from.clone(),
                to: to.clone(),
            });
            let heal = Incident::Fault(Fault::Heal { from, to });
            let check = |check: IncidentCheck| Some(check).filter(|_| nth == 1);
            steps.list.push(Step {
                at_ms: partition.from_ms,
                incident: cut,
                check: check(partitioned_check),
            });
            steps.list.push(Step {
                at_ms: partition.until_ms,
                incident: heal,
                check: check(rejoined),
            });
        }
        let mut order = shuffled(topology, seed);
        // No restart overlaps the start or end of the partition, and each ends before the next.
        let slots = (partition_ms.saturating_sub(SLOT_MS) / SLOT_MS) as usize;
        for slot in 1..=slots {
            let node = order.pop().unwrap_or(0);
            order.insert(0, node);
            steps.restart_in_partition(slot, node);
        }
        let ms = partition.until_ms + 2 * FINAL_MS;
        let name = format!("parted-{}s", partition_ms / 1_000);
        Scenario {
            name,
            ms,
            steps: steps.list,
            partition: Some(partition),
            ..Scenario::without_faults(topology, 0)
        }
    }

    /// Returns the scenario with this share of datagrams lost.
    pub fn with_loss(self, loss: f64) -> Scenario {
        Scenario {
            name: format!("{}-loss", self.name),
            loss,
            ..self
        }
    }
}

/// Returns the nodes in a random order determined by the seed.
fn shuffled(topology: Topology, seed: u64) -> Vec<usize> {
    let mut order: Vec<usize> = (0..topology.nodes).collect();
    fastrand::Rng::with_seed(seed ^ 0xda7).shuffle(&mut order);
    order
}

fn kill(nodes: Vec<usize>) -> Incident {
    Incident::Fault(Fault::Kill { nodes })
}

fn start(nodes: Vec<usize>) -> Incident {
    Incident::Fault(Fault::Start { nodes, clock_ms: 0 })
}

/// Builds steps in slots of equal length.
#[derive(Default)]
struct Steps {
    slot_ms: u64,
    list: Vec<Step>,
}

impl Steps {
    fn at(&self, slot: usize, in_slot: u64) -> u64 {
        FIRST_SLOT_MS.max(SETTLED_MS) + slot as u64 * self.slot_ms + in_slot
    }

    fn put(&mut self, slot: usize, in_slot: u64, incident: Incident, check: Option<IncidentCheck>) {
        let at_ms = self.at(slot, in_slot);
        self.list.push(Step {
            at_ms,
            incident,
            check,
        });
    }

    /// Adds a restart of one node: leave, kill and start.
    fn restart(&mut self, slot: usize, node: usize) {
        self.restart_with_check(slot, node, check("restart"));
    }

    fn restart_in_partition(&mut self, slot: usize, node: usize) {
        let partitioned_check = IncidentCheck {
            label: "restart while parted",
            expected: Expected::RegionsAgree,
            agree_within_ms: MAX_AGREEMENT_MS,
        };
        self.restart_with_check(slot, node, Some(partitioned_check));
    }

    fn restart_with_check(&mut self, slot: usize, node: usize, check: Option<IncidentCheck>) {
        self.put(
            slot,
            0,
            Incident::Fault(Fault::Leave { nodes: vec![node] }),
            None,
        );
        self.put(slot, RESTART_KILL_MS, kill(vec![node]), None);
        self.put(slot, RESTART_START_MS, start(vec![node]), check);
    }
}
