//! The racks, zones and regions of the machines of a fleet, and the latency between them.

use doortrack_budgets::{Budget, Kind};
use doortrack_membership::Name;
use doortrack_simulation::{Distribution, LinkModel};

use crate::history::node_name;

/// Zones of the fleet; the first four form one region, the last three the other.
pub const ZONES: usize = 7;
pub const ZONES_PER_REGION: usize = 4;
pub const REGIONS: usize = ZONES.div_ceil(ZONES_PER_REGION);
/// The zone of each dedicated voter. Three are in the first region: four voters have a majority of three, so
/// with two in each neither region would have a leader during a partition.
pub const VOTER_ZONES: [usize; 4] = [0, 1, 2, 4];
/// Nodes of one rack.
pub const RACK: usize = 30;
/// Number of nodes per zone with a reserved minimum of each budget.
pub const RESERVED_NODES_PER_ZONE: usize = 2;

/// Mean latency within a zone, in microseconds.
const ZONE_LATENCY_US: f64 = 250.0;
/// Additional latency between zones of one region, in microseconds.
const INTER_ZONE_LATENCY_US: u64 = 600;
/// Mean additional latency between regions, in microseconds: 15 ms each way, as over some 1,500 km.
const INTER_REGION_LATENCY_US: f64 = 15_000.0;

/// A fleet of nodes spread over [`ZONES`], and the voters. Machines are numbered: first the nodes, zone by
/// zone, then the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Topology {
    pub nodes: usize,
}

impl Topology {
    /// Returns the number of nodes and voters.
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
        self.zone(machine) / ZONES_PER_REGION
    }

    pub fn voters(self) -> std::ops::Range<usize> {
        self.nodes..self.machines()
    }

    /// Returns all machines of a zone, including its voter.
    pub fn machines_in_zone(self, zone: usize) -> Vec<usize> {
        (0..self.machines())
            .filter(|machine| self.zone(*machine) == zone)
            .collect()
    }

    pub fn machines_in_region(self, region: usize) -> Vec<usize> {
        (0..self.machines())
            .filter(|machine| self.region(*machine) == region)
            .collect()
    }

    /// Returns the nodes of a rack.
    pub fn nodes_in_rack(self, rack: usize) -> Vec<usize> {
        (rack * RACK..(rack + 1) * RACK)
            .filter(|node| *node < self.nodes)
            .collect()
    }

    /// Returns the nodes with a reserved minimum of each budget: the first of each zone.
    pub fn reserved(self) -> Vec<usize> {
        let first_of = |zone: usize| (zone * self.nodes).div_ceil(ZONES);
        (0..ZONES)
            .flat_map(|zone| (0..RESERVED_NODES_PER_ZONE).map(move |nth| first_of(zone) + nth))
            .collect()
    }

    /// Returns the names of machines, as used in the settings of budgets and voters.
    pub fn names(machines: impl IntoIterator<Item = usize>) -> Vec<Name> {
        machines
            .into_iter()
            .map(|machine| Name::from(node_name(machine)))
            .collect()
    }

    /// Returns the link model.
    pub fn links(self) -> LinkModel {
        LinkModel {
            latency: Topology::latency(),
            inter_zone_latency: INTER_ZONE_LATENCY_US,
            zones_per_region: ZONES_PER_REGION as u32,
            inter_region_latency: Distribution::LogNormal {
                mean: INTER_REGION_LATENCY_US,
                sigma: 0.1,
            },
            ..LinkModel::default()
        }
    }

    pub fn latency() -> Distribution {
        Distribution::LogNormal {
            mean: ZONE_LATENCY_US,
            sigma: 0.5,
        }
    }

    /// Returns a rate budget with this limit per second for each node.
    pub fn rate(self, name: &str, per_node: u32) -> Budget {
        let limit = per_node * self.nodes as u32;
        // The granularity of an allocation is then a quarter of a node's part.
        let kind = Kind::Rate {
            burst: 4 * self.nodes as u32,
        };
        // A minimum below limit / burst corresponds to less than one unit of the burst and can never be used.
        self.budget(name, kind, limit, (per_node / 2).max(1))
    }

    /// Returns a concurrency budget with this limit for each node.
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
