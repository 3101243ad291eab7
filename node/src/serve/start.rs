//! The start: what the node needs of the system, and, once the engine is up, the decisions.

use std::collections::{BinaryHeap, HashSet};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use doortrack::logic::Door;
use doortrack::{Effect, Event, Gauges, LevelKind, Tenths};
use doortrack_installation::reload::{KeyMeanings, Platform, Started};
use doortrack_installation::{Installation, Orders};
use doortrack_wire::Protocol;
use polling::Poller;
use serde_json::Value;
use slog::{Logger, info, o, warn};

use super::build::Sources;
use super::builds::Reloader;
use super::report::Slowest;
use super::{Fault, MS, Node};
use crate::life::addresses::once_free;
use crate::life::clock::Clock;
use crate::life::descriptors;
use crate::life::signals::Signals;
use crate::memory::exchanges::Exchanges;
use crate::memory::results::Results;
use crate::parts::Part;
use crate::peers::{KEY, Peers, Registration};
use crate::wire::engine::Link;
use crate::wire::fronts::Fronts;
use crate::wire::registry::Registry;
use crate::wire::request::Names;
use crate::wire::ruled::{RuleTable, Rules};
use crate::wire::servers::Servers;
use crate::wire::work::Work;

/// Rules without effect that are told one by one.
const MOST_NOTES: usize = 5;

/// Tells what rules there are, and those that can never win.
pub(super) fn log_rules(log: &Logger, rules: &RuleTable) {
    for note in rules.notes.iter().take(MOST_NOTES) {
        warn!(log, "rule without effect"; "why" => %note);
    }
    info!(log, "rules"; "rules" => rules.table.len(), "asked_in_order" => rules.table.unindexed(),
        "without_effect" => rules.notes.len(), "reused" => rules.reused);
}

/// Connections that callers may have: all sockets together keep within the node's own bound, and within what
/// the system lets this process have.
///
/// # Errors
/// The pools of servers could take more than half of what the system lets it have.
fn connections(installation: &Installation, wanted: usize, log: &Logger) -> Result<usize, Fault> {
    let all = wanted.min(descriptors::connections());
    let servers = installation.server_connections();
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

/// What an installation asks for beside fronts and servers; nothing where it asks for nothing.
fn parts(
    installation: &Installation,
    orders: &Orders,
    file: Option<&Path>,
    mut clock: Clock,
    poller: &Arc<Poller>,
    log: &Logger,
) -> Result<Vec<Box<dyn Part>>, Fault> {
    let Some(fleet) = &installation.fleet else { return Ok(Vec::new()) };
    let folder = file.and_then(Path::parent).unwrap_or(Path::new(""));
    let key = fleet.key(folder).map_err(|faults| faults.to_string())?;
    let unix_ms = clock.now() / MS;
    let registration = Registration { poller, key: KEY };
    Ok(vec![Box::new(Peers::open(installation, fleet, key, orders, unix_ms, registration, log.clone())?)])
}

impl Node {
    /// Opens all that the node needs. `file` is where `installation` was read, to be read again at SIGHUP.
    pub fn start(
        signals: Signals,
        orders: Orders,
        file: Option<PathBuf>,
        installation: Installation,
        clock: Clock,
        log: Logger,
    ) -> Result<Node, Fault> {
        let orders = Arc::new(orders);
        let built = installation.table_from(None, &orders.handed).map_err(|faults| faults.to_string())?;
        let rules = built.map(|built| RuleTable::new(built, &installation, &orders.handed));
        if let Some(rules) = &rules {
            log_rules(&log, rules);
        }
        let plain = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
        let poller = Arc::new(Poller::new().map_err(plain("poller"))?);
        signals.watch(&poller).map_err(plain("signals"))?;
        let handed = &orders.handed;
        let groups = &handed.contract.groups;
        let longest_deadline = groups.iter().map(|group| group.deadline).max().unwrap_or(0);
        let names = Names {
            groups: handed.group_names.clone(),
            keyed: groups.iter().map(|group| group.effect == Effect::Deduplicated).collect(),
            customers: handed.customer_names.clone(),
        };
        let mut room = orders.room;
        room.connections = connections(&installation, room.connections, &log)?;
        let pools: Vec<(String, Servers)> = installation
            .named_pools()
            .enumerate()
            .map(|(place, (name, asked))| {
                let (poller, log) = (poller.clone(), log.new(o!("pool" => name.to_string())));
                let seed = orders.seed.wrapping_add(place as u64);
                (name.to_string(), Servers::new(poller, log, asked, place, longest_deadline, seed))
            })
            .collect();
        let work = if pools.is_empty() {
            let (poller, log) = (poller.clone(), log.clone());
            Work::Engine(Box::new(Link::new(orders.engine, poller, log, room.commands)))
        } else {
            Work::Servers(pools)
        };
        let mut fronts = Fronts::new(poller.clone(), names, room, longest_deadline);
        once_free(|| fronts.listen(orders.listen, Protocol::FastCgi, None))
            .map_err(|e| format!("config.listen: {}: {e}", orders.listen))?;
        // Nothing is said before the decisions do, but where the least rank is meant, none is held back.
        fronts.level = (handed.contract.level == LevelKind::LowestRank).then_some(0.0);
        let registry = Registry::open(orders.listen, orders.registry, orders.name.clone())
            .map_err(|e| format!("config.registry: {}: {e}", orders.registry))?;
        info!(log, "listening"; "address" => %orders.listen, "connections" => room.connections,
            "open" => room.open);
        let parts = parts(&installation, &orders, file.as_deref(), clock, &poller, &log)?;
        let mut work = work;
        for part in &parts {
            work.gate_retries(|pool| part.retry_gate(pool));
            work.gate_ramps(|pool| part.ramp_gate(pool));
        }
        let started = Started { orders: Arc::clone(&orders), in_fleet: installation.fleet.is_some() };
        let reloader = Reloader::new(Sources { started, file }, poller.clone());
        let keys = KeyMeanings::new(&installation, &orders.handed.group_names);
        let mut node = Node {
            parts,
            groups: handed.group_names.iter().map(|name| Value::from(name.as_str()).to_string()).collect(),
            results: Results::new(room.entries, room.result_bytes, longest_deadline),
            log,
            clock,
            now: 0,
            poller,
            signals,
            fronts,
            work,
            registry,
            door: None,
            exs: Exchanges::default(),
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
            closing: false,
            stop_in_doubt: false,
            slowest: Slowest::default(),
            platform: Platform::new(&orders),
            orders: Arc::clone(&orders),
            keys,
            listening: installation.fronts.clone(),
            reloader,
            installation: Arc::new(installation),
        };
        let installation = Arc::clone(&node.installation);
        for (nth, front) in installation.fronts.iter().enumerate() {
            once_free(|| node.open_front(front))
                .map_err(|e| format!("installation.fronts[{nth}].listen: {}: {e}", front.listen))?;
        }
        node.fronts.rules = rules.map(Rules::new);
        Ok(node)
    }

    /// The engine is up, and with it the node. Its age counts for a cold one's speed.
    pub(super) fn open_door(&mut self, cold: bool, age: Tenths) {
        if self.door.is_some() {
            return;
        }
        let mut contract = self.orders.handed.contract.clone();
        contract.cold = cold;
        let mut door = Door::new(contract, self.platform.seed);
        let mut actions = Vec::new();
        door.handle(self.now.saturating_sub(age), &[Event::Started], &mut actions);
        self.door = Some(door);
        actions.into_iter().for_each(|what| self.carry_out(what));
        self.pass_on_notice();
    }
}
