//! Generated settings of one node: its platform configuration and installation file at a given size.

use std::net::SocketAddr;
use std::ops::Range;

use doortrack_fakes::fixture;
use serde_json::{Value, json};

use crate::scale::series::Dimension;

/// Services that the paths of rules name. Each goes to one of the server pools, which may be fewer.
pub const SERVICES: usize = 460;
/// Runs at once on the server of one pool.
const AT_ONCE: usize = 4;
/// Capacity that no run of these measurements fills, so that nothing is rejected for lack of it.
const AMPLE_CORES: usize = 1_000;
const AMPLE_MEMORY_KB: usize = 10_000_000;
const AMPLE_KEEPALIVE_US: u64 = 3_600_000_000;
/// Requests a second and burst of a budget that no run of these measurements reaches.
const AMPLE_BUDGET: u32 = 10_000;
/// Of every 20 rules 17 compare the start of the path alone; the last three also ask for method or header.
const RULE_KINDS: usize = 20;
const METHOD_KINDS: Range<usize> = 17..19;
/// Where requests of the deduplicated endpoint group go.
pub const KEYED_PATH: &str = "/keyed/";
/// What the last rule takes.
const PROBE_PATH: &str = "/probe";
/// What no rule takes, where there is one rule after a change.
const OTHER_PATH: &str = "/other";
/// The path that the platform's own variables class.
const PLATFORM_PATH: &str = "/svc/look";

/// How much of everything the settings of a node have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Size {
    pub routes: usize,
    pub tenants: usize,
    /// Pools of application servers.
    pub services: usize,
    /// Connections that are open at the front.
    pub callers: usize,
    /// None: the node is of no fleet.
    pub budgets: Option<usize>,
}

impl Size {
    /// The values of all dimensions that are not being varied.
    pub const BASELINE: Size = Size {
        routes: 850,
        tenants: 2_000,
        services: 10,
        callers: 50,
        budgets: None,
    };

    /// The held size with one dimension changed.
    ///
    /// # Panics
    /// For the number of nodes, which is no setting of one node.
    pub fn with(self, dimension: Dimension, size: usize) -> Size {
        match dimension {
            Dimension::Routes => Size {
                routes: size,
                ..self
            },
            Dimension::Tenants => Size {
                tenants: size,
                ..self
            },
            Dimension::Services => Size {
                services: size,
                ..self
            },
            Dimension::Callers => Size {
                callers: size,
                ..self
            },
            Dimension::Budgets => Size {
                budgets: Some(size),
                ..self
            },
            Dimension::Nodes => panic!("the number of nodes is no setting of one node"),
        }
    }

    /// What a reader is told of the dimensions that did not grow.
    pub fn held_beside(&self, dimension: Dimension) -> String {
        let parts = [
            (Dimension::Routes, format!("{} routes", self.routes)),
            (Dimension::Tenants, format!("{} tenants", self.tenants)),
            (Dimension::Services, format!("{} pools", self.services)),
            (Dimension::Callers, format!("{} callers", self.callers)),
            (
                Dimension::Budgets,
                self.budgets
                    .map_or("no fleet".into(), |count| format!("{count} budgets")),
            ),
        ];
        let held = parts
            .into_iter()
            .filter(|(other, _)| *other != dimension)
            .map(|(_, text)| text);
        held.collect::<Vec<_>>().join(", ")
    }
}

/// The addresses that a node's settings name.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// The platform's listener.
    pub listen: SocketAddr,
    /// The FastCGI front that callers ask.
    pub front: SocketAddr,
    pub fleet: SocketAddr,
    pub registry: SocketAddr,
    /// The application server of every pool.
    pub server: SocketAddr,
}

/// The name of a tenant.
pub fn tenant(nth: usize) -> String {
    format!("tenant-{nth}")
}

fn pool(nth: usize) -> String {
    format!("pool-{nth}")
}

fn route_path(nth: usize) -> String {
    format!("/service-{}/route-{}/", nth % SERVICES, nth / SERVICES)
}

/// The path of a request that a rule on the path alone takes; where there are no rules, one that the
/// platform's variables class.
pub fn request_path(size: &Size, nth: usize) -> String {
    if size.routes == 0 {
        return PLATFORM_PATH.into();
    }
    // Neither the rule of the deduplicated group nor that of the probe.
    let mut route = nth % size.routes.saturating_sub(2).max(1);
    route -= (route % RULE_KINDS).saturating_sub(METHOD_KINDS.start - 1);
    format!("{}item", route_path(route))
}

/// A path that is served until the installation is changed by [`installation_changed`].
pub fn probe_path(size: &Size) -> &'static str {
    if size.routes == 0 {
        PLATFORM_PATH
    } else {
        PROBE_PATH
    }
}

/// A path that [`installation_changed`] leaves as it was served.
pub fn unchanged_path(size: &Size) -> String {
    if size.routes == 0 {
        OTHER_PATH.into()
    } else {
        request_path(size, 0)
    }
}

/// The platform's configuration.
pub fn configuration(name: &str, size: &Size, addresses: &Addresses) -> Value {
    let mut configuration = fixture::config();
    configuration["name"] = json!(name);
    configuration["listen"] = json!(addresses.listen.to_string());
    configuration["registry"] = json!(addresses.registry.to_string());
    let capacity = &mut configuration["settings"]["family_info"];
    capacity["cores"] = json!(AMPLE_CORES);
    capacity["memory_kb"] = json!(AMPLE_MEMORY_KB);
    capacity["keepalive_max"] = json!(AMPLE_KEEPALIVE_US);
    let party = |nth| json!({"name": tenant(nth), "allowance_per_s": 10});
    configuration["settings"]["parties"] = (0..size.tenants).map(party).collect();
    configuration
}

/// The operators' own file.
pub fn installation(name: &str, size: &Size, addresses: &Addresses) -> Value {
    let server = json!({"protocol": "fastcgi", "addresses": [addresses.server.to_string()],
        "at_once": AT_ONCE});
    let front = json!({"protocol": "fastcgi", "listen": addresses.front.to_string()});
    let mut installation = json!({"fronts": [front], "servers": server});
    // The first pool is the one without a name.
    let pools = (1..size.services).map(|nth| (pool(nth), server.clone()));
    installation["pools"] = Value::Object(pools.collect());
    installation["rules"] = rules(size).into();
    if let Some(budgets) = size.budgets {
        installation["fleet"] = json!({"name": "scale", "listen": addresses.fleet.to_string(),
            "seeds": [addresses.fleet.to_string()], "voters": [name]});
        installation["budgets"] = (0..budgets).map(budget).collect();
    }
    installation
}

/// The same with its last rule changed so that it has a tenant whom nobody knows: what it takes is answered
/// with 400 from then on. Without rules the change adds one.
pub fn installation_changed(installation: &Value) -> Value {
    let mut changed = installation.clone();
    let unknown = json!("\"nobody\"");
    match changed["rules"]
        .as_array_mut()
        .and_then(|rules| rules.last_mut())
    {
        Some(last) => last["customer"] = unknown,
        None => {
            let when = format!("path == \"{PLATFORM_PATH}\"");
            changed["rules"] = json!([{"when": when, "group": "look", "customer": unknown}]);
            changed["otherwise"] = json!("look");
        }
    }
    changed
}

/// The rules: the first is for the deduplicated group, the last takes the path of the probe, and those
/// between are routes of services.
fn rules(size: &Size) -> Vec<Value> {
    let keyed = json!({"when": format!("path.starts_with(\"{KEYED_PATH}\")"), "group": "pay"});
    let probe = json!({"when": format!("path == \"{PROBE_PATH}\""), "group": "look"});
    let routes = (0..size.routes.saturating_sub(2)).map(|nth| route(nth, size.services));
    std::iter::once(keyed)
        .chain(routes)
        .chain([probe])
        .take(size.routes)
        .collect()
}

fn route(nth: usize, services: usize) -> Value {
    let prefix = format!("path.starts_with(\"{}\")", route_path(nth));
    let kind = nth % RULE_KINDS;
    let when = if METHOD_KINDS.contains(&kind) {
        format!("{prefix} && method == \"POST\"")
    } else if kind >= METHOD_KINDS.end {
        format!("{prefix} && (header(\"x-version\") ?? \"\") == \"2\"")
    } else {
        prefix
    };
    let mut rule = json!({"when": when, "group": "look"});
    let place = nth % SERVICES % services.max(1);
    if place > 0 {
        rule["servers"] = json!(pool(place));
    }
    rule
}

/// By the keys that builds of before the settings' new names read too, so that these can be measured.
fn budget(nth: usize) -> Value {
    json!({"name": format!("budget-{nth}"), "kind": "rate", "whole": AMPLE_BUDGET, "burst": AMPLE_BUDGET,
        "for": {"customer": tenant(nth)}})
}
