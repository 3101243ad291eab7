//! The start: what the node needs of the system, and, once the engine is up, the decisions.

use std::collections::{BinaryHeap, HashSet};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use doortrack_admission::AdmissionController;
use doortrack_admission::{Backpressure, Effect, EndpointGroup, Event, Gauges};
use doortrack_config::reload::{KeyMeanings, Platform, Started};
use doortrack_config::{Installation, NodeConfig, ServerPool};
use doortrack_protocols::Protocol;
use doortrack_time::{MILLISECOND, TenthMillis};
use polling::Poller;
use serde_json::Value;
use slog::{Logger, info, o, warn};

use super::build::Sources;
use super::builds::Reloader;
use super::report::Slowest;
use super::{Fault, Node};
use crate::network::backend::Backend;
use crate::network::classified::{RuleTable, Rules};
use crate::network::engine::EngineLink;
use crate::network::listeners::Listeners;
use crate::network::registry::Registry;
use crate::network::request::Names;
use crate::network::servers::Servers;
use crate::peers::{KEY, Peers, Registration};
use crate::state::in_flight::InFlight;
use crate::state::results::Results;
use crate::subsystem::Subsystem;
use crate::system::addresses::once_free;
use crate::system::clock::Clock;
use crate::system::descriptors;
use crate::system::signals::Signals;

/// Rules without effect that are told one by one.
const MOST_NOTES: usize = 5;

/// Tells what rules there are, and those that can never win.
pub(super) fn log_rules(log: &Logger, rules: &RuleTable) {
    for note in rules.shadowed.iter().take(MOST_NOTES) {
        warn!(log, "rule without effect"; "why" => %note);
    }
    info!(log, "rules"; "rules" => rules.table.len(), "asked_in_order" => rules.table.unindexed(),
        "without_effect" => rules.shadowed.len(), "reused" => rules.reused);
}

/// Connections that callers may have: all sockets together keep within the node's own bound, and within what
/// the system lets this process have.
///
/// # Errors
/// The pools of servers could take more than half of what the system lets it have.
fn connections(installation: &Installation, wanted: usize, log: &Logger) -> Result<usize, Fault> {
    let all = wanted.min(descriptors::connections());
    let servers = installation.max_server_connections();
    if all < wanted {
        let limit = descriptors::limit();
        if servers > all / 2 {
            return Err(format!(
                "installation.servers.at_once: all pools together may have {servers} connections, more than \
                 half of the {all} for which there are descriptors; raise the limit of {limit} or lower it"
            ));
        }
        warn!(log, "few descriptors"; "limit" => limit, "connections" => all, "wanted" => wanted);
    }
    Ok(all - servers.min(all / 2))
}

/// The rules of an installation, if it has any.
///
/// # Errors
/// Every fault of the rules, each with its path.
fn rule_table(
    installation: &Installation,
    orders: &NodeConfig,
    log: &Logger,
) -> Result<Option<RuleTable>, Fault> {
    let built = installation
        .table_from(None, &orders.settings)
        .map_err(|faults| faults.to_string())?;
    let rules = built.map(|built| RuleTable::new(built, installation, &orders.settings));
    if let Some(rules) = &rules {
        log_rules(log, rules);
    }
    Ok(rules)
}

/// The names by which callers speak of groups and tenants.
fn names(orders: &NodeConfig) -> Names {
    let handed = &orders.settings;
    let is_keyed = |group: &EndpointGroup| group.effect == Effect::Deduplicated;
    Names {
        groups: handed.group_names.clone(),
        idempotency_keyed: handed.admission.groups.iter().map(is_keyed).collect(),
        tenants: handed.tenant_names.clone(),
    }
}

/// What runs requests: the engine, or the application servers where an installation names any.
fn open_work(
    installation: &Installation,
    orders: &NodeConfig,
    longest_deadline: TenthMillis,
    poller: &Arc<Poller>,
    log: &Logger,
) -> Backend {
    let open_pool = |(index, (name, settings)): (usize, (&str, &ServerPool))| {
        let pool_log = log.new(o!("pool" => name.to_string()));
        let seed = orders.seed.wrapping_add(index as u64);
        let servers = Servers::new(
            poller.clone(),
            pool_log,
            settings,
            index,
            longest_deadline,
            seed,
        );
        (name.to_string(), servers)
    };
    let pools: Vec<(String, Servers)> = installation
        .named_pools()
        .enumerate()
        .map(open_pool)
        .collect();
    if pools.is_empty() {
        let link = EngineLink::new(
            orders.engine,
            poller.clone(),
            log.clone(),
            orders.limits.engine_command_bytes,
        );
        Backend::Engine(Box::new(link))
    } else {
        Backend::Servers(pools)
    }
}

/// What an installation asks for beside fronts and servers; nothing where it asks for nothing.
fn parts(
    installation: &Installation,
    orders: &NodeConfig,
    file: Option<&Path>,
    mut clock: Clock,
    poller: &Arc<Poller>,
    log: &Logger,
) -> Result<Vec<Box<dyn Subsystem>>, Fault> {
    let Some(fleet) = &installation.fleet else {
        return Ok(Vec::new());
    };
    let folder = file.and_then(Path::parent).unwrap_or(Path::new(""));
    let key = fleet.key(folder).map_err(|faults| faults.to_string())?;
    let unix_ms = clock.now() / MILLISECOND;
    let registration = Registration { poller, key: KEY };
    Ok(vec![Box::new(Peers::open(
        installation,
        fleet,
        key,
        orders,
        unix_ms,
        registration,
        log.clone(),
    )?)])
}

impl Node {
    /// Opens all that the node needs. `file` is where `installation` was read, to be read again at SIGHUP.
    pub fn start(
        signals: Signals,
        orders: NodeConfig,
        file: Option<PathBuf>,
        installation: Installation,
        clock: Clock,
        log: Logger,
    ) -> Result<Node, Fault> {
        let orders = Arc::new(orders);
        let rules = rule_table(&installation, &orders, &log)?;
        let plain = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
        let poller = Arc::new(Poller::new().map_err(plain("poller"))?);
        signals.watch(&poller).map_err(plain("signals"))?;
        let handed = &orders.settings;
        let groups = &handed.admission.groups;
        let longest_deadline = groups.iter().map(|group| group.deadline).max().unwrap_or(0);
        let mut room = orders.limits;
        room.connections = connections(&installation, room.connections, &log)?;
        let mut work = open_work(&installation, &orders, longest_deadline, &poller, &log);
        let mut listeners = Listeners::new(poller.clone(), names(&orders), room, longest_deadline);
        once_free(|| listeners.listen(orders.listen, Protocol::FastCgi, None))
            .map_err(|e| format!("config.listen: {}: {e}", orders.listen))?;
        // Nothing is said before the decisions do, but where the least rank is meant, none is held back.
        listeners.backpressure =
            (handed.admission.backpressure == Backpressure::MinRank).then_some(0.0);
        let registry = Registry::open(orders.listen, orders.registry, orders.name.clone())
            .map_err(|e| format!("config.registry: {}: {e}", orders.registry))?;
        info!(log, "listening"; "address" => %orders.listen, "connections" => room.connections,
            "open" => room.open_requests);
        let parts = parts(
            &installation,
            &orders,
            file.as_deref(),
            clock,
            &poller,
            &log,
        )?;
        for part in &parts {
            work.set_retry_gates(|pool| part.retry_gate(pool));
            work.set_slow_start_tokens(|pool| part.ramp_gate(pool));
        }
        let started = Started {
            config: Arc::clone(&orders),
            in_fleet: installation.fleet.is_some(),
        };
        let reloader = Reloader::new(Sources { started, file }, poller.clone());
        let keys = KeyMeanings::new(&installation, &orders.settings.group_names);
        let mut node = Node {
            parts,
            groups: handed
                .group_names
                .iter()
                .map(|name| Value::from(name.as_str()).to_string())
                .collect(),
            results: Results::new(room.dedup_entries, room.result_bytes, longest_deadline),
            log,
            clock,
            now: 0,
            poller,
            signals,
            listeners,
            work,
            registry,
            door: None,
            in_flight: InFlight::default(),
            batch: Vec::new(),
            batch_keys: HashSet::new(),
            alarms: BinaryHeap::new(),
            reading: None,
            gauges: Gauges::default(),
            read_at: 0,
            sweep_at: 0,
            summary_at: 0,
            stop_at: None,
            noticed: 0,
            build_names_stop: false,
            closing: false,
            slowest: Slowest::default(),
            platform: Platform::new(&orders),
            orders: Arc::clone(&orders),
            keys,
            listening: installation.listeners.clone(),
            reloader,
            installation: Arc::new(installation),
        };
        node.open_installation_fronts()?;
        node.listeners.rules = rules.map(Rules::new);
        Ok(node)
    }

    fn open_installation_fronts(&mut self) -> Result<(), Fault> {
        let installation = Arc::clone(&self.installation);
        for (nth, front) in installation.listeners.iter().enumerate() {
            once_free(|| self.open_front(front))
                .map_err(|e| format!("installation.fronts[{nth}].listen: {}: {e}", front.listen))?;
        }
        Ok(())
    }

    /// The engine is up, and with it the node. Its age counts for a cold one's speed.
    pub(super) fn open_door(&mut self, cold: bool, age: TenthMillis) {
        if self.door.is_some() {
            return;
        }
        let mut contract = self.orders.settings.admission.clone();
        contract.cold = cold;
        let mut door = AdmissionController::new(contract, self.platform.seed);
        let mut actions = Vec::new();
        door.handle(
            self.now.saturating_sub(age),
            &[Event::Started],
            &mut actions,
        );
        self.door = Some(door);
        actions.into_iter().for_each(|what| self.carry_out(what));
        self.pass_on_notice();
    }
}
