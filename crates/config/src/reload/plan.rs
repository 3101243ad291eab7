//! Determines the changes from the configuration in force to the one that was read.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use doortrack_budgets::Budget;
use doortrack_settings::DeploymentSettings;
use doortrack_time::TenthMillis;

use super::KeyMeanings;
use crate::{
    BudgetIndices, ConfigErrors, FleetConfig, Installation, ListenerConfig, NodeConfig,
    ProtocolName, ResourceLimits,
};

/// The part of the platform's configuration that may change while a node serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReloadablePlatform {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Address of the registry.
    pub registry: SocketAddr,
    /// Time from the shutdown request until the process stops.
    pub stop_after: TenthMillis,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl ReloadablePlatform {
    /// Extracts the part of `config` that may change.
    pub fn new(config: &NodeConfig) -> ReloadablePlatform {
        ReloadablePlatform {
            engine: config.engine,
            registry: config.registry,
            stop_after: config.stop_after,
            seed: config.seed,
        }
    }
}

/// The outcome of reloading the platform's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformReload {
    /// The part that may change while the node serves.
    pub platform: ReloadablePlatform,
    /// Whether the rest differs from the configuration that the node was started with.
    pub requires_restart: bool,
}

impl PlatformReload {
    /// Compares the configuration that was `read` with the one that the node was `started` with.
    pub fn new(started: &NodeConfig, read: &NodeConfig) -> PlatformReload {
        PlatformReload {
            platform: ReloadablePlatform::new(read),
            requires_restart: FixedConfig::new(started) != FixedConfig::new(read),
        }
    }
}

/// The part of the platform's configuration that can't change while a node serves.
#[derive(PartialEq)]
struct FixedConfig<'a> {
    name: &'a str,
    listen: SocketAddr,
    limits: ResourceLimits,
    settings: &'a DeploymentSettings,
}

impl<'a> FixedConfig<'a> {
    fn new(config: &'a NodeConfig) -> FixedConfig<'a> {
        // Without `..`, so that each new field has to be added here or to `ReloadablePlatform`.
        let NodeConfig {
            name,
            listen,
            limits,
            settings,
            engine: _,
            registry: _,
            stop_after: _,
            seed: _,
            source: _,
        } = config;
        FixedConfig {
            name,
            listen: *listen,
            limits: *limits,
            settings,
        }
    }
}

/// The configuration that a node was started with.
#[derive(Clone, Debug)]
pub struct StartupConfig {
    /// The platform's configuration.
    pub config: Arc<NodeConfig>,
    /// Whether the node joined a fleet.
    pub in_fleet: bool,
}

/// A change that is not applied, since it requires a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartRequired {
    /// Server pools are added or removed, or change their protocol. All pools and their servers stay as they are.
    Pools,
    /// The node is to join a fleet.
    JoinFleet,
}

impl RestartRequired {
    /// Returns the log event.
    pub fn subject(self) -> &'static str {
        match self {
            RestartRequired::Pools => "servers need a start",
            RestartRequired::JoinFleet => "fleet needs a start",
        }
    }
}

impl fmt::Display for RestartRequired {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            RestartRequired::Pools => "pools are added or removed, or change their protocol",
            RestartRequired::JoinFleet => "a running node can't join a fleet",
        })
    }
}

/// The new configuration of membership and budgets. All that takes time is computed in advance.
#[derive(Debug)]
pub struct FleetChange {
    /// The configuration of the fleet, or `None` if the new configuration has none.
    pub fleet_config: Option<FleetConfig>,
    /// The budgets, in the order of the file.
    pub budgets: Vec<Budget>,
    /// Indices of the budgets that apply to requests.
    pub indices: BudgetIndices,
}

impl FleetChange {
    /// Computes the change to `installation` for a node that was started with `config`.
    pub fn new(installation: &Installation, config: &NodeConfig) -> FleetChange {
        FleetChange {
            fleet_config: installation.fleet.clone(),
            budgets: installation.budget_list(config),
            indices: installation.budget_indices(config),
        }
    }
}

/// All changes of a new configuration.
#[derive(Debug)]
pub struct Plan {
    /// The platform's configuration.
    pub platform: PlatformReload,
    /// The installation that will be in force.
    pub installation: Arc<Installation>,
    /// Changes that are not applied.
    pub restart_required: Vec<RestartRequired>,
    /// How the rules determine idempotency keys.
    pub keys: KeyMeanings,
    /// The configuration of membership and budgets.
    pub fleet: FleetChange,
}

/// Plans the change from `running`, the installation in force, to `read`, the new one.
///
/// # Errors
/// All inconsistencies between the new installation and the platform's configuration.
pub fn plan(
    started: &StartupConfig,
    running: &Installation,
    platform: PlatformReload,
    read: Installation,
) -> Result<Plan, ConfigErrors> {
    let config = &started.config;
    read.validate_with(config)?;
    let mut installation = read;
    let mut restart_required = Vec::new();
    if pool_protocols(running) != pool_protocols(&installation) {
        restart_required.push(RestartRequired::Pools);
        installation.default_pool.clone_from(&running.default_pool);
        installation.pools.clone_from(&running.pools);
    }
    if !started.in_fleet && installation.fleet.is_some() {
        restart_required.push(RestartRequired::JoinFleet);
    }
    let keys = KeyMeanings::new(&installation, &config.settings.group_names);
    let fleet = FleetChange::new(&installation, config);
    Ok(Plan {
        platform,
        installation: Arc::new(installation),
        restart_required,
        keys,
        fleet,
    })
}

/// Returns the name and protocol of each pool. The protocol can't change, since it encodes requests in flight.
fn pool_protocols(installation: &Installation) -> Vec<(&str, ProtocolName)> {
    installation
        .named_pools()
        .map(|(name, pool)| (name, pool.protocol))
        .collect()
}

/// The listeners to open, close and retain.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ListenerChanges {
    /// Listeners to close, whose connections are drained.
    pub closed: Vec<ListenerConfig>,
    /// Listeners to open.
    pub opened: Vec<ListenerConfig>,
    /// Listeners that stay open, with their new limits.
    pub retained: Vec<ListenerConfig>,
}

impl ListenerChanges {
    /// Determines the changes from the `current` listeners to the `new` ones. A listener is identified by its
    /// address and protocol.
    pub fn between(current: &[ListenerConfig], new: &[ListenerConfig]) -> ListenerChanges {
        let (retained, opened) = new
            .iter()
            .cloned()
            .partition(|listener| contains(current, listener));
        let closed = current
            .iter()
            .filter(|listener| !contains(new, listener))
            .cloned()
            .collect();
        ListenerChanges {
            closed,
            opened,
            retained,
        }
    }
}

fn contains(listeners: &[ListenerConfig], wanted: &ListenerConfig) -> bool {
    let identity = |listener: &ListenerConfig| (listener.listen, listener.protocol);
    listeners
        .iter()
        .any(|listener| identity(listener) == identity(wanted))
}
