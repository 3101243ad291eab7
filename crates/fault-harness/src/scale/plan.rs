//! The layout of a fleet: voters, real nodes, and the addresses and files of each node.
//!
//! Nodes are numbered from 0: voters first, then real nodes, then hollow ones. Each has its own address in
//! `127.230.0.0/16`. All share one port, which the trial reserves on 127.0.0.1 so that concurrent trials do not
//! collide.

use std::net::SocketAddr;

use doortrack_config::{ConfigErrors, Installation, NodeConfig, installation, node_config};
use doortrack_fakes::fixture;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// The key of every fleet.
pub const FLEET_KEY: [u8; 32] = [0x5a; 32];
/// Limit and burst of each budget, large enough that no load is rejected and every node has a share.
const BUDGET_LIMIT: u32 = 1_000_000;
const TENANT_ALLOWANCE_PER_SECOND: f64 = 1_000.0;
/// The tenant of the simulated callers. Nodes with only one budget have no tenants and ignore it.
pub const CALLERS_TENANT: &str = "tenant-0000";
/// The request field with the tenant.
pub const TENANT_FIELD: &str = "HTTP_X_TENANT";
/// Time limit for a real node to stop after SIGTERM, in ms.
const STOP_MS: u64 = 1_000;
/// The first two bytes of all addresses.
const NETWORK: [u8; 2] = [127, 230];
/// Number of nodes whose addresses share the third byte.
const ADDRESSES_PER_BLOCK: usize = 250;

/// The plan of one fleet. All processes derive the same addresses and names from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetPlan {
    /// Total number of nodes.
    pub nodes: usize,
    pub voters: usize,
    /// `doortrack serve` processes.
    pub real: usize,
    pub budgets: usize,
    pub fleet_port: u16,
    pub front_port: u16,
    /// Requests per second that each hollow node admits under its budgets, in place of load from callers.
    pub uses_per_second: u32,
    /// Period over which the hollow nodes of a process are started one by one.
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
        let (block, place) = (node / ADDRESSES_PER_BLOCK, node % ADDRESSES_PER_BLOCK);
        let [first, second] = NETWORK;
        SocketAddr::from(([first, second, block as u8, place as u8 + 1], port))
    }

    /// Returns the number of the node with this fleet address.
    pub fn node_at(&self, address: SocketAddr) -> Option<usize> {
        let SocketAddr::V4(address) = address else {
            return None;
        };
        let [first, second, block, place] = address.ip().octets();
        if [first, second] != NETWORK {
            return None;
        }
        let node = usize::from(block) * ADDRESSES_PER_BLOCK + usize::from(place).checked_sub(1)?;
        (node < self.nodes).then_some(node)
    }

    /// Returns the number of the node with this name.
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

    /// Returns the number of tenant budgets: all but the first, which is for the endpoint group `look`.
    pub fn tenant_budgets(&self) -> usize {
        self.budgets.saturating_sub(1)
    }

    fn tenant(nth: usize) -> String {
        format!("tenant-{nth:04}")
    }

    /// Returns the node configuration file of a node.
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

    /// Returns the installation file of a node, without servers. All nodes have the same budgets.
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
        let scope = match nth.checked_sub(1) {
            None => json!({"group": "look"}),
            Some(tenant) => json!({"customer": FleetPlan::tenant(tenant)}),
        };
        let name = format!("budget-{nth:03}");
        json!({"name": name, "kind": "rate", "whole": BUDGET_LIMIT, "burst": BUDGET_LIMIT, "for": scope})
    }

    /// Parses the files of a node, with the same code as a real node does.
    ///
    /// # Errors
    /// The errors of either file.
    pub fn parsed(&self, node: usize) -> Result<(Installation, NodeConfig), ConfigErrors> {
        let config = node_config::parse(self.config(node).to_string().as_bytes())?;
        let installation = installation::parse(self.installation(node).to_string().as_bytes())?;
        installation.validate_with(&config)?;
        Ok((installation, config))
    }
}
