//! What fails in a fleet of this size, and when.

use doortrack_budgets::{Budget, Safeguards};
use doortrack_membership::Parameters;

use super::machine::address;
use super::topology::{Topology, ZONES};
use crate::script::Fault;

/// All start at 0; from here on the views are expected to be one.
const SETTLED_MS: u64 = 20_000;
/// Seconds of calm by which peaks are judged.
pub const CALM_S: std::ops::Range<usize> = 20..30;
const FIRST_SLOT_MS: u64 = 30_000;
/// One restart a slot: 3,600 a day.
pub const SLOT_MS: u64 = 24_000;
/// A restart: told to leave, ended, started anew.
const ENDS_MS: u64 = 1_500;
const STARTS_MS: u64 = 3_000;
/// Where in its slot something else fails, so that the restart is over by then.
const FAILS_MS: u64 = 10_000;
/// A single machine that failed is back after this.
const BACK_MS: u64 = 8_000;
/// The zone that is lost, which has a voter, and the rack.
const LOST_ZONE: usize = 1;
const LOST_RACK: usize = 2;
const TAIL_MS: u64 = 15_000;

/// What is done to the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Incident {
    Fault(Fault),
    /// The leader of the budgets is killed, whichever machine that is by then.
    KillLeader,
    /// A voter that does not lead is killed.
    KillVoter,
    /// Those that were killed by the two above are started anew.
    StartKilled,
}

/// What the views are to come to after an incident.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    AllAgree,
    /// Parted regions, each by itself.
    RegionsAgree,
}

/// An incident that is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watch {
    pub label: &'static str,
    pub expected: Expected,
    /// Bound on the time until the views are as expected.
    pub agree_within_ms: u64,
}

/// One incident at its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at_ms: u64,
    pub incident: Incident,
    pub watch: Option<Watch>,
}

/// The parting of the regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parting {
    pub from_ms: u64,
    pub till_ms: u64,
}

/// Uses asked for, a second and node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    pub first: f64,
    /// Of each other budget.
    pub others: f64,
    /// How long a unit of a concurrency is held.
    pub held_ms: u64,
}

/// One play.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: String,
    pub topology: Topology,
    pub ms: u64,
    pub steps: Vec<Step>,
    pub parting: Option<Parting>,
    /// Share of all datagrams that is lost.
    pub loss: f64,
    pub membership: Parameters,
    pub safeguards: Safeguards,
    pub list: Vec<Budget>,
    pub demand: Demand,
}

/// Bounds on agreement: after a loss or a return, as a region is parted, and after the regions' link is back.
const KNOWN_MS: u64 = 5_000;
/// The last of some 330 that are lost at once is first probed after about 2 s, one alone after 0.35 s. Its
/// doubt may last 2 s, and the word on all of them has to go round.
const REGION_KNOWN_MS: u64 = 8_000;
const TOGETHER_MS: u64 = 4_000;

fn watch(label: &'static str) -> Option<Watch> {
    Some(Watch {
        label,
        expected: Expected::AllAgree,
        agree_within_ms: KNOWN_MS,
    })
}

/// Units a second for each node of the first budget, and what is asked for: twice as much.
const PER_NODE: u32 = 30;
const HELD_PER_NODE: u32 = 3;
const HELD_MOST_MS: u64 = 2_000;

impl Scenario {
    /// A fleet in which nothing fails.
    pub fn calm(topology: Topology, ms: u64) -> Scenario {
        let seeds = topology.voters().map(address).collect();
        Scenario {
            name: "calm".into(),
            topology,
            ms,
            steps: Vec::new(),
            parting: None,
            loss: 0.0,
            membership: Parameters {
                seeds,
                ..Parameters::default()
            },
            safeguards: Safeguards::default(),
            list: vec![
                topology.rate("requests", PER_NODE),
                topology.concurrency("slots", HELD_PER_NODE, HELD_MOST_MS),
            ],
            demand: Demand {
                first: 2.0 * f64::from(PER_NODE),
                others: 4.0,
                held_ms: 500,
            },
        }
    }

    /// A calm fleet under so many rate budgets.
    pub fn budgets(topology: Topology, budgets: usize, ms: u64) -> Scenario {
        let rate = |nth: usize| {
            topology.rate(
                &format!("customer-{nth}"),
                PER_NODE / if nth > 0 { 6 } else { 1 },
            )
        };
        let demand = Demand {
            first: f64::from(PER_NODE),
            others: 1.0,
            held_ms: 0,
        };
        Scenario {
            list: (0..budgets).map(rate).collect(),
            demand,
            ..Scenario::calm(topology, ms)
        }
    }

    /// Restarts at the rate of 3,600 a day through all of a play, and in between: single machines fail, as
    /// many as in a day (15), then a rack, a zone, the leader and a voter at once; all return.
    pub fn day(topology: Topology, singles: usize, slot_ms: u64, seed: u64) -> Scenario {
        let mut steps = Steps {
            slot_ms,
            ..Steps::default()
        };
        let mut order = shuffled(topology, seed);
        for slot in 0..singles {
            let node = order.pop().unwrap_or(0);
            steps.put(slot, FAILS_MS, kill(vec![node]), watch("one node lost"));
            steps.put(
                slot,
                FAILS_MS + BACK_MS,
                start(vec![node]),
                watch("one node back"),
            );
        }
        let (rack, zone) = (
            topology.in_rack(LOST_RACK),
            topology.in_zone(LOST_ZONE % ZONES),
        );
        let mut slot = singles;
        for (nodes, lost, back) in [
            (rack, "rack lost", "rack back"),
            (zone, "zone lost", "zone back"),
        ] {
            steps.put(slot, FAILS_MS, kill(nodes.clone()), watch(lost));
            steps.put(slot + 1, FAILS_MS, start(nodes), watch(back));
            slot += 2;
        }
        for (incident, lost, back) in [
            (Incident::KillLeader, "leader lost", "leader back"),
            (Incident::KillVoter, "voter lost", "voter back"),
        ] {
            steps.put(slot, FAILS_MS, incident, watch(lost));
            steps.put(slot + 1, FAILS_MS, Incident::StartKilled, watch(back));
            slot += 2;
        }
        (0..slot).for_each(|slot| steps.restart(slot, order.pop().unwrap_or(0)));
        let ms = steps.at(slot, 0) + TAIL_MS;
        Scenario {
            name: "day".into(),
            ms,
            steps: steps.list,
            ..Scenario::calm(topology, 0)
        }
    }

    /// The regions are parted for so long, while nodes of both restart at the rate of a day.
    pub fn parted(topology: Topology, parted_ms: u64, seed: u64) -> Scenario {
        let mut steps = Steps {
            slot_ms: SLOT_MS,
            ..Steps::default()
        };
        let parting = Parting {
            from_ms: steps.at(0, FAILS_MS),
            till_ms: steps.at(0, FAILS_MS) + parted_ms,
        };
        let (one, other) = (topology.in_region(0), topology.in_region(1));
        let pairs = [(one.clone(), other.clone()), (other, one)];
        let apart = Watch {
            label: "regions parted",
            expected: Expected::RegionsAgree,
            agree_within_ms: REGION_KNOWN_MS,
        };
        let together = Watch {
            label: "regions together",
            expected: Expected::AllAgree,
            agree_within_ms: TOGETHER_MS,
        };
        for (nth, (from, to)) in pairs.into_iter().enumerate() {
            let cut = Incident::Fault(Fault::Cut {
                from: from.clone(),
                to: to.clone(),
            });
            let mend = Incident::Fault(Fault::Heal { from, to });
            let watch = |watch: Watch| Some(watch).filter(|_| nth == 1);
            steps.list.push(Step {
                at_ms: parting.from_ms,
                incident: cut,
                watch: watch(apart),
            });
            steps.list.push(Step {
                at_ms: parting.till_ms,
                incident: mend,
                watch: watch(together),
            });
        }
        let mut order = shuffled(topology, seed);
        // None that is under way when the link breaks or is back, and each is over before the next.
        let slots = (parted_ms.saturating_sub(SLOT_MS) / SLOT_MS) as usize;
        for slot in 1..=slots {
            let node = order.pop().unwrap_or(0);
            order.insert(0, node);
            steps.restart_apart(slot, node);
        }
        let ms = parting.till_ms + 2 * TAIL_MS;
        let name = format!("parted-{}s", parted_ms / 1_000);
        Scenario {
            name,
            ms,
            steps: steps.list,
            parting: Some(parting),
            ..Scenario::calm(topology, 0)
        }
    }

    /// The same with so many of all datagrams lost.
    pub fn with_loss(self, loss: f64) -> Scenario {
        Scenario {
            name: format!("{}-loss", self.name),
            loss,
            ..self
        }
    }
}

/// Nodes in an order drawn from the seed.
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

/// Steps by slots of equal length.
#[derive(Default)]
struct Steps {
    slot_ms: u64,
    list: Vec<Step>,
}

impl Steps {
    fn at(&self, slot: usize, in_slot: u64) -> u64 {
        FIRST_SLOT_MS.max(SETTLED_MS) + slot as u64 * self.slot_ms + in_slot
    }

    fn put(&mut self, slot: usize, in_slot: u64, incident: Incident, watch: Option<Watch>) {
        let at_ms = self.at(slot, in_slot);
        self.list.push(Step {
            at_ms,
            incident,
            watch,
        });
    }

    /// One node leaves, ends and starts anew.
    fn restart(&mut self, slot: usize, node: usize) {
        self.restart_watched(slot, node, watch("restart"));
    }

    fn restart_apart(&mut self, slot: usize, node: usize) {
        let apart = Watch {
            label: "restart while parted",
            expected: Expected::RegionsAgree,
            agree_within_ms: KNOWN_MS,
        };
        self.restart_watched(slot, node, Some(apart));
    }

    fn restart_watched(&mut self, slot: usize, node: usize, watch: Option<Watch>) {
        self.put(
            slot,
            0,
            Incident::Fault(Fault::Leave { nodes: vec![node] }),
            None,
        );
        self.put(slot, ENDS_MS, kill(vec![node]), None);
        self.put(slot, STARTS_MS, start(vec![node]), watch);
    }
}
