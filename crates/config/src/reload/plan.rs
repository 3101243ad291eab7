//! From the configuration in force and the one that was read to what changes between two turns of the loop.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use doortrack_budgets::Budget;
use doortrack_settings::DeploymentSettings;
use doortrack_time::TenthMillis;

use super::KeyMeanings;
use crate::file::Spoken;
use crate::{
    BudgetIndices, ConfigErrors, FleetFile, Front, Installation, NodeConfig, ResourceLimits,
};

/// What of the platform's configuration may change while a node serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Platform {
    pub engine: SocketAddr,
    pub registry: SocketAddr,
    /// From the notice to leave to the stop.
    pub stop_after: TenthMillis,
    pub seed: u64,
}

impl Platform {
    pub fn new(orders: &NodeConfig) -> Platform {
        let NodeConfig {
            engine,
            registry,
            stop_after,
            seed,
            ..
        } = *orders;
        Platform {
            engine,
            registry,
            stop_after,
            seed,
        }
    }
}

/// The platform's configuration as it was read, as far as a reload goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformRead {
    pub platform: Platform,
    /// Something differs from the start that can't change while the node serves.
    pub rest_needs_start: bool,
}

impl PlatformRead {
    /// `started` is what the node was started with.
    pub fn new(started: &NodeConfig, read: &NodeConfig) -> PlatformRead {
        PlatformRead {
            platform: Platform::new(read),
            rest_needs_start: fixed(started) != fixed(read),
        }
    }
}

/// What of the platform's configuration is as it was at the start.
fn fixed(orders: &NodeConfig) -> (&str, SocketAddr, ResourceLimits, &DeploymentSettings) {
    let NodeConfig {
        name,
        listen,
        limits: room,
        settings: handed,
        engine: _,
        registry: _,
        stop_after: _,
        seed: _,
        source: _,
    } = orders;
    (name, *listen, *room, handed)
}

/// What a node was started with.
#[derive(Clone, Debug)]
pub struct Started {
    pub orders: Arc<NodeConfig>,
    /// Whether it is of a fleet.
    pub in_fleet: bool,
}

/// Something that was asked for and is not taken up, as only a start can.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NeedsStart {
    /// Pools of servers come or go, or speak something else. They and their servers stay as they are.
    Pools,
    /// A fleet is to be joined.
    JoinFleet,
}

impl NeedsStart {
    /// What the log says needs a start.
    pub fn subject(self) -> &'static str {
        match self {
            NeedsStart::Pools => "servers need a start",
            NeedsStart::JoinFleet => "fleet needs a start",
        }
    }
}

impl fmt::Display for NeedsStart {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            NeedsStart::Pools => "pools come or go, or speak something else",
            NeedsStart::JoinFleet => "it can't be joined under way",
        })
    }
}

/// What the part on the fleet is to take up, with all that takes time worked out beforehand.
#[derive(Debug)]
pub struct FleetChange {
    /// None where the new configuration has no fleet.
    pub file: Option<FleetFile>,
    pub budgets: Vec<Budget>,
    pub indices: BudgetIndices,
}

impl FleetChange {
    pub fn new(installation: &Installation, started: &NodeConfig) -> FleetChange {
        FleetChange {
            file: installation.fleet.clone(),
            budgets: installation.budget_list(started),
            indices: installation.budget_indices(started),
        }
    }
}

/// Everything that changes with a new configuration.
#[derive(Debug)]
pub struct Plan {
    pub platform: PlatformRead,
    /// The installation as it will be in force.
    pub installation: Arc<Installation>,
    pub needs_start: Vec<NeedsStart>,
    pub keys: KeyMeanings,
    pub fleet: FleetChange,
}

/// Decides what changes; `running` is the installation in force.
///
/// # Errors
/// Every fault of the new installation beside the platform's configuration, each with the path of its key.
pub fn plan(
    started: &Started,
    running: &Installation,
    platform: PlatformRead,
    read: Installation,
) -> Result<Plan, ConfigErrors> {
    // What can't change under way is as it was at the start.
    let orders = &started.orders;
    read.beside(orders)?;
    let mut installation = read;
    let mut needs_start = Vec::new();
    if pool_kinds(running) != pool_kinds(&installation) {
        needs_start.push(NeedsStart::Pools);
        installation.servers.clone_from(&running.servers);
        installation.pools.clone_from(&running.pools);
    }
    if !started.in_fleet && installation.fleet.is_some() {
        needs_start.push(NeedsStart::JoinFleet);
    }
    let keys = KeyMeanings::new(&installation, &orders.settings.group_names);
    let fleet = FleetChange::new(&installation, orders);
    Ok(Plan {
        platform,
        installation: Arc::new(installation),
        needs_start,
        keys,
        fleet,
    })
}

/// Which pools there are and what each speaks; requests in hand are written in that.
fn pool_kinds(installation: &Installation) -> Vec<(&str, Spoken)> {
    installation
        .named_pools()
        .map(|(name, servers)| (name, servers.protocol))
        .collect()
}

/// Which fronts are to be opened and which drained.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct FrontChanges {
    pub withdrawn: Vec<Front>,
    pub opened: Vec<Front>,
    /// Those that stay, with the bounds that they have from now on.
    pub kept: Vec<Front>,
}

impl FrontChanges {
    /// `open` are the fronts that listen now, `wanted` those that are to.
    pub fn between(open: &[Front], wanted: &[Front]) -> FrontChanges {
        let same = |one: &Front, other: &Front| {
            (one.listen, one.protocol) == (other.listen, other.protocol)
        };
        let among = |fronts: &[Front], front: &Front| fronts.iter().any(|other| same(other, front));
        let (kept, opened) = wanted.iter().cloned().partition(|front| among(open, front));
        let withdrawn = open
            .iter()
            .filter(|front| !among(wanted, front))
            .cloned()
            .collect();
        FrontChanges {
            withdrawn,
            opened,
            kept,
        }
    }
}
