//! Works out what changes from the configuration in force to the one that was read.

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

/// What of the platform's configuration may change while a node serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReloadablePlatform {
    /// Where the engine listens.
    pub engine: SocketAddr,
    /// Where the registry listens.
    pub registry: SocketAddr,
    /// Time from the request to shut down until the process stops.
    pub stop_after: TenthMillis,
    /// Of the node's random numbers.
    pub seed: u64,
}

impl ReloadablePlatform {
    /// The part of `config` that may change.
    pub fn new(config: &NodeConfig) -> ReloadablePlatform {
        ReloadablePlatform {
            engine: config.engine,
            registry: config.registry,
            stop_after: config.stop_after,
            seed: config.seed,
        }
    }
}

/// The platform's configuration as it was read, as far as a reload goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformReload {
    /// What may change while the node serves.
    pub platform: ReloadablePlatform,
    /// Something else differs from what the node was started with.
    pub requires_restart: bool,
}

impl PlatformReload {
    /// What was `read` by a node that was `started` with another configuration, or the same.
    pub fn new(started: &NodeConfig, read: &NodeConfig) -> PlatformReload {
        PlatformReload {
            platform: ReloadablePlatform::new(read),
            requires_restart: FixedConfig::new(started) != FixedConfig::new(read),
        }
    }
}

/// What of the platform's configuration can't change while a node serves.
#[derive(PartialEq)]
struct FixedConfig<'a> {
    name: &'a str,
    listen: SocketAddr,
    limits: ResourceLimits,
    settings: &'a DeploymentSettings,
}

impl<'a> FixedConfig<'a> {
    fn new(config: &'a NodeConfig) -> FixedConfig<'a> {
        // Without `..`, so that a new field is sorted either here or into `ReloadablePlatform`.
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

/// What a node was started with.
#[derive(Clone, Debug)]
pub struct StartupConfig {
    /// The platform's configuration.
    pub config: Arc<NodeConfig>,
    /// Whether it joined a fleet.
    pub in_fleet: bool,
}

/// A change that is ignored, as it takes a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartRequired {
    /// Pools of servers are added or removed, or change their protocol. They and their servers stay.
    Pools,
    /// The node is to join a fleet.
    JoinFleet,
}

impl RestartRequired {
    /// The message of the log.
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
            RestartRequired::Pools => "pools come or go, or speak something else",
            RestartRequired::JoinFleet => "it can't be joined under way",
        })
    }
}

/// The new configuration of membership and budgets, with all that takes time worked out beforehand.
#[derive(Debug)]
pub struct FleetChange {
    /// None where the new configuration has no fleet.
    pub file: Option<FleetConfig>,
    /// The budgets in the order of the file.
    pub budgets: Vec<Budget>,
    /// Which of them apply to which requests.
    pub indices: BudgetIndices,
}

impl FleetChange {
    /// The change to `installation` of a node that was started with `config`.
    pub fn new(installation: &Installation, config: &NodeConfig) -> FleetChange {
        FleetChange {
            file: installation.fleet.clone(),
            budgets: installation.budget_list(config),
            indices: installation.budget_indices(config),
        }
    }
}

/// Everything that changes with a new configuration.
#[derive(Debug)]
pub struct Plan {
    /// The platform's configuration.
    pub platform: PlatformReload,
    /// The installation as it will be in force.
    pub installation: Arc<Installation>,
    /// Changes that the installation in force does not have.
    pub restart_required: Vec<RestartRequired>,
    /// What idempotency keys mean by its rules.
    pub keys: KeyMeanings,
    /// The configuration of membership and budgets.
    pub fleet: FleetChange,
}

/// Decides what changes; `running` is the installation in force, `read` the one that is to replace it.
///
/// # Errors
/// Everything in which the new installation does not go together with the platform's configuration.
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

/// The name and protocol of each pool. Requests in flight are encoded in that protocol.
fn pool_protocols(installation: &Installation) -> Vec<(&str, ProtocolName)> {
    installation
        .named_pools()
        .map(|(name, pool)| (name, pool.protocol))
        .collect()
}

/// Which listeners are to be opened and which closed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ListenerChanges {
    /// Those to be closed, once their connections are drained.
    pub closed: Vec<ListenerConfig>,
    /// Those to be opened.
    pub opened: Vec<ListenerConfig>,
    /// Those that stay, with their new limits.
    pub retained: Vec<ListenerConfig>,
}

impl ListenerChanges {
    /// The changes from the `current` listeners to the `new` ones. Address and protocol together identify a
    /// listener.
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
