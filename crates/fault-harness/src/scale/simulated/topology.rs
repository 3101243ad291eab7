//! Where the machines of a fleet stand: racks, zones and regions, and the latency between them.

use doortrack_budgets::{Budget, Kind};
use doortrack_membership::Name;
use doortrack_simulation::{Distribution, LinkModel};

use crate::history::node_name;

/// Zones of the whole fleet; the first four are one region, the last three the other.
pub const ZONES: usize = 7;
pub const ZONES_OF_REGION: usize = 4;
pub const REGIONS: usize = ZONES.div_ceil(ZONES_OF_REGION);
/// Machines set aside to vote, and the zone of each. Three lie in the first region: four voters have a
/// majority of three, so two and two would leave neither region a leader when they are parted.
pub const VOTER_ZONES: [usize; 4] = [0, 1, 2, 4];
/// Nodes of one rack.
pub const RACK: usize = 30;
/// Nodes of each zone that have a reserved minimum of each budget.
pub const RESERVED_OF_ZONE: usize = 2;

/// Microseconds between two machines of one zone, in the mean.
const IN_ZONE: f64 = 250.0;
/// Microseconds added between two zones of one region.
const BETWEEN_ZONES: u64 = 600;
/// Microseconds added between the regions, in the mean: 15 ms each way, as over some 1,500 km.
const BETWEEN_REGIONS: f64 = 15_000.0;

/// A fleet of nodes over [`ZONES`], and the voters beside them. Machines are numbered: nodes first, zone
/// after zone, then the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Topology {
    pub nodes: usize,
}

impl Topology {
    /// Nodes and voters.
    pub fn machines(self) -> usize {
        self.nodes + VOTER_ZONES.len()
    }

    pub fn is_voter(self, machine: usize) -> bool {
        machine >= self.nodes
    }

    pub fn zone(self, machine: usize) -> usize {
        match machine.checked_sub(self.nodes) {
            Some(voter) => VOTER_ZONES[voter],
            None => machine * ZONES / self.nodes,
        }
    }

    pub fn region(self, machine: usize) -> usize {
        self.zone(machine) / ZONES_OF_REGION
    }

    pub fn voters(self) -> std::ops::Range<usize> {
        self.nodes..self.machines()
    }

    /// All machines of a zone, its voter included.
    pub fn in_zone(self, zone: usize) -> Vec<usize> {
        (0..self.machines())
            .filter(|machine| self.zone(*machine) == zone)
            .collect()
    }

    pub fn in_region(self, region: usize) -> Vec<usize> {
        (0..self.machines())
            .filter(|machine| self.region(*machine) == region)
            .collect()
    }

    /// The nodes of the rack at this place.
    pub fn in_rack(self, rack: usize) -> Vec<usize> {
        (rack * RACK..(rack + 1) * RACK)
            .filter(|node| *node < self.nodes)
            .collect()
    }

    /// The nodes that have a reserved minimum of each budget: the first of each zone.
    pub fn reserved(self) -> Vec<usize> {
        let first_of = |zone: usize| (zone * self.nodes).div_ceil(ZONES);
        (0..ZONES)
            .flat_map(|zone| (0..RESERVED_OF_ZONE).map(move |nth| first_of(zone) + nth))
            .collect()
    }

    /// Names of machines, as budgets and voters are set up by.
    pub fn names(machines: impl IntoIterator<Item = usize>) -> Vec<Name> {
        machines
            .into_iter()
            .map(|machine| Name::from(node_name(machine)))
            .collect()
    }

    /// What lies between the machines.
    pub fn links(self) -> LinkModel {
        LinkModel {
            latency: Topology::latency(),
            inter_zone_latency: BETWEEN_ZONES,
            zones_per_region: ZONES_OF_REGION as u32,
            inter_region_latency: Distribution::LogNormal {
                mean: BETWEEN_REGIONS,
                sigma: 0.1,
            },
            ..LinkModel::default()
        }
    }

    pub fn latency() -> Distribution {
        Distribution::LogNormal {
            mean: IN_ZONE,
            sigma: 0.5,
        }
    }

    /// A rate budget of so many units a second for each node.
    pub fn rate(self, name: &str, per_node: u32) -> Budget {
        let limit = per_node * self.nodes as u32;
        // A step of the share is then a quarter of a node's part.
        let kind = Kind::Rate {
            burst: 4 * self.nodes as u32,
        };
        // A minimum below a step (limit / burst) has no whole unit of the burst, and can never be used.
        self.budget(name, kind, limit, (per_node / 2).max(1))
    }

    /// A concurrency budget, so many units for each node.
    pub fn concurrency(self, name: &str, per_node: u32, max_hold_ms: u64) -> Budget {
        let kind = Kind::Concurrency {
            max_hold: max_hold_ms * 10,
        };
        self.budget(name, kind, per_node * self.nodes as u32, 1)
    }

    fn budget(self, name: &str, kind: Kind, limit: u32, reserved: u32) -> Budget {
        let reserved_for = Topology::names(self.reserved()).into();
        Budget {
            name: name.into(),
            kind,
            limit,
            reserved,
            reserved_for,
            max_per_node: limit,
        }
    }
}
