//! Start of a node: opens its sockets and reads its rules. It may block, on files and on addresses that a previous
//! process still holds.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use doortrack_admission::{Backpressure, Effect, EndpointGroup};
use doortrack_config::reload::StartupConfig;
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
use super::runs_in_doubt::RunsInDoubt;
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
use crate::system::clock::Clock;
use crate::system::descriptors;
use crate::system::retry::retry_at_start;
use crate::system::signals::Signals;

/// Maximum number of rules without effect that are logged one by one.
const MAX_LOGGED_SHADOWED_RULES: usize = 5;

/// Logs the number of rules, and the first few of those that can never match.
pub(super) fn log_rules(log: &Logger, rules: &RuleTable) {
    for rule in rules.shadowed.iter().take(MAX_LOGGED_SHADOWED_RULES) {
        warn!(log, "rule without effect"; "why" => %rule);
    }
    info!(log, "rules"; "rules" => rules.table.len(), "unindexed" => rules.table.unindexed(),
        "without_effect" => rules.shadowed.len(), "reused" => rules.reused);
}

/// The opened sockets and tables of a node.
struct OpenedParts {
    backend: Backend,
    listeners: Listeners,
    registry: Registry,
    subsystems: Vec<Box<dyn Subsystem>>,
    results: ResultTable,
}

/// What the sockets and tables are opened from.
struct Startup<'a> {
    config: &'a NodeConfig,
    installation: &'a Installation,
    /// Path of the installation file, if there is one.
    installation_path: Option<&'a Path>,
    longest_deadline: TenthMillis,
    poller: &'a Arc<Poller>,
    log: &'a Logger,
}

impl Startup<'_> {
    fn open(&self, clock: Clock) -> Result<OpenedParts, StartError> {
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
        Ok(OpenedParts {
            backend,
            listeners,
            registry,
            subsystems,
            results: ResultTable::new(entries, bytes, self.longest_deadline),
        })
    }

    /// The platform's limits, with callers' connections reduced to what the descriptor limit allows.
    ///
    /// # Errors
    /// The server pools could take more than half of the connections that the descriptor limit allows.
    fn limits(&self) -> Result<ResourceLimits, StartError> {
        let mut limits = self.config.limits;
        let configured = limits.connections;
        let available = configured.min(descriptors::available_connections());
        let servers = self.installation.max_server_connections();
        if available < configured {
            let limit = descriptors::soft_limit();
            if servers > available / 2 {
                return Err(StartError::TooManyServerConnections {
                    servers,
                    available,
                    limit,
                });
            }
            warn!(self.log, "low descriptor limit"; "limit" => limit, "connections" => available,
                "wanted" => configured);
        }
        limits.connections = available - servers.min(available / 2);
        Ok(limits)
    }

    /// Opens what runs requests: the application servers if the installation names any, otherwise the engine.
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
        retry_at_start(|| listeners.listen(address, Protocol::FastCgi, None))
            .map_err(socket_error("config.listen", address))?;
        // Until the controller sets it: none, or the lowest rank, at which no request is held back.
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
        retry_at_start(|| Registry::open(*listen, *registry, name.clone()))
            .map_err(socket_error("config.registry", *registry))
    }

    /// Opens the link to the other nodes, if the installation has a fleet.
    fn open_subsystems(&self, clock: Clock) -> Result<Vec<Box<dyn Subsystem>>, StartError> {
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

/// The names that callers use for endpoint groups and tenants.
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
    /// Opens everything the node needs. `installation_path` is the file that `installation` was read from; SIGHUP
    /// reads it again.
    ///
    /// # Errors
    /// The configuration is invalid, or a socket can't be opened.
    pub fn start(
        signals: Signals,
        config: NodeConfig,
        installation_path: Option<PathBuf>,
        installation: Installation,
        clock: Clock,
        log: Logger,
    ) -> Result<Node, StartError> {
        let rules = rule_table(&installation, &config, &log)?;
        let poller = Arc::new(retry_at_start(Poller::new).map_err(StartError::Poller)?);
        signals.watch(&poller).map_err(StartError::Signals)?;
        let longest_deadline = longest_deadline(&config);
        let startup = Startup {
            config: &config,
            installation: &installation,
            installation_path: installation_path.as_deref(),
            longest_deadline,
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
            waited_since: 0,
            poller,
            signals,
            listeners: opened.listeners,
            listener_events: Vec::new(),
            backend: opened.backend,
            backend_events: Vec::new(),
            registry: opened.registry,
            admission: AdmissionDriver::default(),
            in_flight: InFlightTable::default(),
            runs_in_doubt: RunsInDoubt::new(longest_deadline),
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
            retry_at_start(|| self.open_listener(listener))
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
    let started = StartupConfig {
        config: Arc::clone(&config.node),
        in_fleet: config.installation.fleet.is_some(),
    };
    let sources = Sources {
        started,
        installation_path,
    };
    Reloader::new(sources, Arc::clone(poller))
}
