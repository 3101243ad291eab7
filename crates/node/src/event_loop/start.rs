//! The start: opens what the node needs of the system. It may block, on files and on addresses that a former
//! process still holds.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use doortrack_admission::{Backpressure, Effect, EndpointGroup};
use doortrack_config::reload::Started;
use doortrack_config::{Installation, NodeConfig, ResourceLimits, ServerPool};
use doortrack_protocols::Protocol;
use doortrack_time::{MILLISECOND, TenthMillis};
use polling::Poller;
use slog::{Logger, info, o, warn};

use super::Node;
use super::admission_driver::AdmissionDriver;
use super::config_build::Sources;
use super::error::StartError;
use super::gauge_readings::GaugeReadings;
use super::reloader::Reloader;
use super::running_config::{RunningConfig, longest_deadline};
use super::shutdown::Shutdown;
use super::summary::SummarySchedule;
use super::timers::Timers;
use crate::network::backend::Backend;
use crate::network::classifier::{RequestClassifier, RuleTable};
use crate::network::engine::EngineLink;
use crate::network::listeners::Listeners;
use crate::network::registry::Registry;
use crate::network::request::DeploymentNames;
use crate::network::servers::PoolClient;
use crate::peers::{POLLER_KEY, PeerLink, PollerRegistration};
use crate::state::in_flight::InFlightTable;
use crate::state::results::ResultTable;
use crate::subsystem::Subsystem;
use crate::system::addresses::once_free;
use crate::system::clock::Clock;
use crate::system::descriptors;
use crate::system::signals::Signals;

/// Rules without effect that are logged one by one.
const MAX_LOGGED_RULES: usize = 5;

/// Logs how many rules there are, and the first of those that can never match.
pub(super) fn log_rules(log: &Logger, rules: &RuleTable) {
    for rule in rules.shadowed.iter().take(MAX_LOGGED_RULES) {
        warn!(log, "rule without effect"; "why" => %rule);
    }
    info!(log, "rules"; "rules" => rules.table.len(), "unindexed" => rules.table.unindexed(),
        "without_effect" => rules.shadowed.len(), "reused" => rules.reused);
}

/// What a node serves with, once it is open.
struct Opened {
    backend: Backend,
    listeners: Listeners,
    registry: Registry,
    subsystems: Vec<Box<dyn Subsystem>>,
    results: ResultTable,
}

/// What everything is opened from.
struct Startup<'a> {
    config: &'a NodeConfig,
    installation: &'a Installation,
    /// Where the installation was read, if there is a file.
    installation_path: Option<&'a Path>,
    longest_deadline: TenthMillis,
    poller: &'a Arc<Poller>,
    log: &'a Logger,
}

impl Startup<'_> {
    fn open(&self, clock: Clock) -> Result<Opened, StartError> {
        let limits = self.limits()?;
        let mut backend = self.open_backend();
        let listeners = self.open_listeners(limits)?;
        let registry = self.open_registry()?;
        info!(self.log, "listening"; "address" => %self.config.listen,
            "connections" => limits.connections, "open" => limits.open_requests);
        let subsystems = self.open_subsystems(clock)?;
        for subsystem in &subsystems {
            backend.set_retry_gates(|pool| subsystem.retry_gate(pool));
            backend.set_slow_start_tokens(|pool| subsystem.slow_start_tokens(pool));
        }
        let (entries, bytes) = (limits.dedup_entries, limits.result_bytes);
        Ok(Opened {
            backend,
            listeners,
            registry,
            subsystems,
            results: ResultTable::new(entries, bytes, self.longest_deadline),
        })
    }

    /// The limits of the platform, with no more connections of callers than there are descriptors for.
    ///
    /// # Errors
    /// The pools of servers could take more than half of the descriptors.
    fn limits(&self) -> Result<ResourceLimits, StartError> {
        let mut limits = self.config.limits;
        let wanted = limits.connections;
        let available = wanted.min(descriptors::connections());
        let servers = self.installation.max_server_connections();
        if available < wanted {
            let limit = descriptors::limit();
            if servers > available / 2 {
                return Err(StartError::TooManyServerConnections {
                    servers,
                    available,
                    limit,
                });
            }
            warn!(self.log, "low descriptor limit"; "limit" => limit, "connections" => available,
                "wanted" => wanted);
        }
        limits.connections = available - servers.min(available / 2);
        Ok(limits)
    }

    /// What runs requests: the engine, or the application servers where an installation names any.
    fn open_backend(&self) -> Backend {
        let pools: Vec<(String, PoolClient)> = self
            .installation
            .named_pools()
            .enumerate()
            .map(|(index, (name, settings))| (name.to_string(), self.pool(index, name, settings)))
            .collect();
        if !pools.is_empty() {
            return Backend::Servers(pools);
        }
        Backend::Engine(Box::new(EngineLink::new(
            self.config.engine,
            self.poller.clone(),
            self.log.clone(),
            self.config.limits.engine_command_bytes,
        )))
    }

    fn pool(&self, index: usize, name: &str, settings: &ServerPool) -> PoolClient {
        PoolClient::new(
            self.poller.clone(),
            self.log.new(o!("pool" => name.to_string())),
            settings,
            index,
            self.longest_deadline,
            self.config.seed.wrapping_add(index as u64),
        )
    }

    /// Opens the platform's listener.
    fn open_listeners(&self, limits: ResourceLimits) -> Result<Listeners, StartError> {
        let address = self.config.listen;
        let names = names(self.config);
        let mut listeners =
            Listeners::new(self.poller.clone(), names, limits, self.longest_deadline);
        once_free(|| listeners.listen(address, Protocol::FastCgi, None))
            .map_err(socket_error("config.listen", address))?;
        // Until the controller says more: nothing, or the least rank, at which no request is held back.
        let backpressure = self.config.settings.admission.backpressure;
        listeners.backpressure = (backpressure == Backpressure::MinRank).then_some(0.0);
        Ok(listeners)
    }

    fn open_registry(&self) -> Result<Registry, StartError> {
        let NodeConfig {
            listen,
            registry,
            name,
            ..
        } = self.config;
        Registry::open(*listen, *registry, name.clone())
            .map_err(socket_error("config.registry", *registry))
    }

    /// Opens the link to the other nodes, if the installation has a fleet.
    fn open_subsystems(&self, mut clock: Clock) -> Result<Vec<Box<dyn Subsystem>>, StartError> {
        let Some(fleet) = &self.installation.fleet else {
            return Ok(Vec::new());
        };
        let folder = self.installation_path.and_then(Path::parent);
        let key = fleet.key(folder.unwrap_or(Path::new("")))?;
        let registration = PollerRegistration {
            poller: self.poller,
            key: POLLER_KEY,
        };
        let peers = PeerLink::open(
            self.installation,
            fleet,
            key,
            self.config,
            clock.now() / MILLISECOND,
            registration,
            self.log.clone(),
        )?;
        Ok(vec![Box::new(peers)])
    }
}

fn socket_error(key: &str, address: SocketAddr) -> impl FnOnce(io::Error) -> StartError {
    move |source| StartError::Socket {
        key: key.to_string(),
        address,
        source,
    }
}

/// The rules of an installation, if it has any.
///
/// # Errors
/// Every error of the rules, each with its path.
fn rule_table(
    installation: &Installation,
    config: &NodeConfig,
    log: &Logger,
) -> Result<Option<RuleTable>, StartError> {
    let table = installation.table_from(None, &config.settings)?;
    let rules = table.map(|table| RuleTable::new(table, installation, &config.settings));
    if let Some(rules) = &rules {
        log_rules(log, rules);
    }
    Ok(rules)
}

/// The names by which callers refer to endpoint groups and tenants.
fn names(config: &NodeConfig) -> DeploymentNames {
    let settings = &config.settings;
    let has_keys = |group: &EndpointGroup| group.effect == Effect::Deduplicated;
    DeploymentNames {
        groups: settings.group_names.clone(),
        idempotency_keyed: settings.admission.groups.iter().map(has_keys).collect(),
        tenants: settings.tenant_names.clone(),
    }
}

impl Node {
    /// Opens all that the node needs. `installation_path` is where `installation` was read, to be read again
    /// at SIGHUP.
    ///
    /// # Errors
    /// A configuration that can't be served, or a socket that can't be opened.
    pub fn start(
        signals: Signals,
        config: NodeConfig,
        installation_path: Option<PathBuf>,
        installation: Installation,
        clock: Clock,
        log: Logger,
    ) -> Result<Node, StartError> {
        let rules = rule_table(&installation, &config, &log)?;
        let poller = Arc::new(Poller::new().map_err(StartError::Poller)?);
        signals.watch(&poller).map_err(StartError::Signals)?;
        let startup = Startup {
            config: &config,
            installation: &installation,
            installation_path: installation_path.as_deref(),
            longest_deadline: longest_deadline(&config),
            poller: &poller,
            log: &log,
        };
        let opened = startup.open(clock)?;
        let config = RunningConfig::new(Arc::new(config), installation);
        let mut node = Node {
            reloader: reloader(&config, installation_path, &poller),
            config,
            log,
            clock,
            now: 0,
            poller,
            signals,
            listeners: opened.listeners,
            listener_events: Vec::new(),
            backend: opened.backend,
            backend_events: Vec::new(),
            registry: opened.registry,
            admission: AdmissionDriver::default(),
            in_flight: InFlightTable::default(),
            results: opened.results,
            timers: Timers::default(),
            gauges: GaugeReadings::default(),
            maintenance_at: 0,
            summaries: SummarySchedule::default(),
            shutdown: Shutdown::default(),
            subsystems: opened.subsystems,
        };
        node.open_installation_listeners()?;
        node.listeners.rules = rules.map(RequestClassifier::new);
        Ok(node)
    }

    fn open_installation_listeners(&mut self) -> Result<(), StartError> {
        let installation = Arc::clone(&self.config.installation);
        for (index, listener) in installation.listeners.iter().enumerate() {
            let key = format!("installation.fronts[{index}].listen");
            once_free(|| self.open_listener(listener))
                .map_err(socket_error(&key, listener.listen))?;
        }
        Ok(())
    }
}

fn reloader(
    config: &RunningConfig,
    installation_path: Option<PathBuf>,
    poller: &Arc<Poller>,
) -> Reloader {
    let started = Started {
        config: Arc::clone(&config.node),
        in_fleet: config.installation.fleet.is_some(),
    };
    let sources = Sources {
        started,
        installation_path,
    };
    Reloader::new(sources, Arc::clone(poller))
}
