//! How a fleet is laid out: who is a voter, who is real, which addresses and files each node has.
//!
//! Nodes are numbered from 0: voters first, then real nodes, then hollow ones. Each has an address of
//! `127.230.0.0/16` of its own; all share one port that the run holds on 127.0.0.1, so that no two runs meet.

use std::net::SocketAddr;

use doortrack_config::{ConfigErrors, Installation, NodeConfig, installation, node_config};
use doortrack_fakes::fixture;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// The key of every fleet that is played.
pub const FLEET_KEY: [u8; 32] = [0x5a; 32];
/// Wholes so great that no load is rejected, with a burst that leaves every node a share.
const BUDGET_WHOLE: u32 = 1_000_000;
const TENANT_ALLOWANCE_PER_SECOND: f64 = 1_000.0;
/// The tenant on whose behalf the stand-in callers ask; nodes with one budget know none and disregard it.
pub const CALLERS_TENANT: &str = "tenant-0000";
/// The field of a request that names its tenant.
pub const TENANT_FIELD: &str = "HTTP_X_TENANT";
/// From SIGTERM to a real node's stop.
const STOP_MS: u64 = 1_000;
/// The first two bytes of all addresses.
const NETWORK: [u8; 2] = [127, 230];
/// Nodes whose addresses share their third byte.
const ADDRESSES_IN_A_ROW: usize = 250;

/// One fleet. Two processes with the same plan agree on every address and name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetPlan {
    /// All nodes together.
    pub nodes: usize,
    pub voters: usize,
    /// `doortrack serve` processes.
    pub real: usize,
    pub budgets: usize,
    pub fleet_port: u16,
    pub front_port: u16,
    /// Requests a second that each hollow node books on its budgets, as its load would.
    pub uses_per_second: u32,
    /// Hollow nodes of one process are started one after the other within this time.
    pub start_spread_ms: u64,
}

impl FleetPlan {
    pub fn name(&self, node: usize) -> String {
        format!("node-{node:04}")
    }

    pub fn fleet_address(&self, node: usize) -> SocketAddr {
        self.address(node, self.fleet_port)
    }

    pub fn front_address(&self, node: usize) -> SocketAddr {
        self.address(node, self.front_port)
    }

    fn address(&self, node: usize, port: u16) -> SocketAddr {
        let (row, place) = (node / ADDRESSES_IN_A_ROW, node % ADDRESSES_IN_A_ROW);
        let [first, second] = NETWORK;
        SocketAddr::from(([first, second, row as u8, place as u8 + 1], port))
    }

    /// The number of the node at a fleet address.
    pub fn node_at(&self, address: SocketAddr) -> Option<usize> {
        let SocketAddr::V4(address) = address else {
            return None;
        };
        let [first, second, row, place] = address.ip().octets();
        if [first, second] != NETWORK {
            return None;
        }
        let node = usize::from(row) * ADDRESSES_IN_A_ROW + usize::from(place).checked_sub(1)?;
        (node < self.nodes).then_some(node)
    }

    /// The number of the node of a name.
    pub fn node_named(&self, name: &str) -> Option<usize> {
        name.strip_prefix("node-")?
            .parse()
            .ok()
            .filter(|node| *node < self.nodes)
    }

    pub fn is_voter(&self, node: usize) -> bool {
        node < self.voters
    }

    pub fn real_nodes(&self) -> std::ops::Range<usize> {
        self.voters..self.voters + self.real
    }

    pub fn hollow_nodes(&self) -> std::ops::Range<usize> {
        self.voters + self.real..self.nodes
    }

    /// Budgets that are for a tenant: all but the first, which is for the endpoint group `look`.
    pub fn tenant_budgets(&self) -> usize {
        self.budgets.saturating_sub(1)
    }

    fn tenant(nth: usize) -> String {
        format!("tenant-{nth:04}")
    }

    /// The platform's configuration of a node.
    pub fn config(&self, node: usize) -> Value {
        let mut config = fixture::config();
        config["name"] = json!(self.name(node));
        config["listen"] = json!(self.front_address(node).to_string());
        config["stop_ms"] = json!(STOP_MS);
        config["seed"] = json!(format!("{:016x}", 0x5ca1_e000 + node as u64));
        let tenant = |nth| json!({"name": FleetPlan::tenant(nth), "allowance_per_s": TENANT_ALLOWANCE_PER_SECOND});
        let tenants: Vec<Value> = (0..self.tenant_budgets()).map(tenant).collect();
        config["settings"]["parties"] = json!(tenants);
        config
    }

    /// The operators' file of a node, without servers. The same budgets stand in all.
    pub fn installation(&self, node: usize) -> Value {
        let voters: Vec<String> = (0..self.voters).map(|voter| self.name(voter)).collect();
        let seeds: Vec<String> = (0..self.voters)
            .map(|voter| self.fleet_address(voter).to_string())
            .collect();
        let budgets: Vec<Value> = (0..self.budgets).map(FleetPlan::budget).collect();
        json!({
            "fleet": {"name": "scale", "listen": self.fleet_address(node).to_string(), "seeds": seeds,
                "voters": voters},
            "budgets": budgets,
        })
    }

    fn budget(nth: usize) -> Value {
        let falls = match nth.checked_sub(1) {
            None => json!({"group": "look"}),
            Some(tenant) => json!({"customer": FleetPlan::tenant(tenant)}),
        };
        let name = format!("budget-{nth:03}");
        json!({"name": name, "kind": "rate", "whole": BUDGET_WHOLE, "burst": BUDGET_WHOLE, "for": falls})
    }

    /// What a hollow node is opened with: the same files as a real one's, read by the same code.
    ///
    /// # Errors
    /// All errors of either file.
    pub fn parsed(&self, node: usize) -> Result<(Installation, NodeConfig), ConfigErrors> {
        let config = node_config::parse(self.config(node).to_string().as_bytes())?;
        let installation = installation::parse(self.installation(node).to_string().as_bytes())?;
        installation.validate_with(&config)?;
        Ok((installation, config))
    }
}
