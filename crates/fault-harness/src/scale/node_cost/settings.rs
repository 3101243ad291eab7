//! Generates the node configuration and installation file of one node for a given size.

use std::net::SocketAddr;
use std::ops::Range;

use doortrack_fakes::fixture;
use serde_json::{Value, json};

use crate::scale::series::Dimension;

/// Number of services in the paths of the rules. Each is routed to one of the server pools, which may be
/// fewer.
pub const SERVICES: usize = 460;
/// Concurrent runs on the server of one pool.
const CONCURRENT_RUNS: usize = 4;
/// Capacity that these measurements never exhaust, so that no request is rejected for lack of it.
const AMPLE_CORES: usize = 1_000;
const AMPLE_MEMORY_KB: usize = 10_000_000;
const AMPLE_KEEPALIVE_US: u64 = 3_600_000_000;
/// Limit per second and burst of a budget that these measurements never reach.
const AMPLE_BUDGET_LIMIT: u32 = 10_000;
/// Of every 20 rules, 17 match only a path prefix; the last three also match the method or a header.
const RULE_KINDS: usize = 20;
const METHOD_KINDS: Range<usize> = 17..19;
/// Path of requests to the deduplicated endpoint group.
pub const KEYED_PATH: &str = "/keyed/";
/// Path matched by the last rule.
const PROBE_PATH: &str = "/probe";
/// A path that no rule matches if the changed installation has only one rule.
const OTHER_PATH: &str = "/other";
/// A path that is classified without rules.
const PLATFORM_PATH: &str = "/svc/look";

/// The size of the settings of a node in each dimension.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Size {
    pub routes: usize,
    pub tenants: usize,
    /// Pools of application servers.
    pub services: usize,
    /// Number of open connections of callers.
    pub callers: usize,
    /// Number of budgets, or None if the node is not in a fleet.
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

    /// Returns the size with one dimension changed.
    ///
    /// # Panics
    /// For [`Dimension::Nodes`], which is not a setting of one node.
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

    /// Describes the dimensions that were not varied.
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

/// The addresses in the settings of a node.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// The platform's listener.
    pub listen: SocketAddr,
    /// The FastCGI listener for callers.
    pub front: SocketAddr,
    pub fleet: SocketAddr,
    pub registry: SocketAddr,
    /// The application server of every pool.
    pub server: SocketAddr,
}

/// Returns the name of a tenant.
pub fn tenant(nth: usize) -> String {
    format!("tenant-{nth}")
}

fn pool(nth: usize) -> String {
    format!("pool-{nth}")
}

fn route_path(nth: usize) -> String {
    format!("/service-{}/route-{}/", nth % SERVICES, nth / SERVICES)
}

/// Returns a path matched by a rule with only a path prefix; without rules, one that is classified without
/// them.
pub fn request_path(size: &Size, nth: usize) -> String {
    if size.routes == 0 {
        return PLATFORM_PATH.into();
    }
    // Excludes the rules of the deduplicated group and of the probe path.
    let mut route = nth % size.routes.saturating_sub(2).max(1);
    route -= (route % RULE_KINDS).saturating_sub(METHOD_KINDS.start - 1);
    format!("{}item", route_path(route))
}

/// Returns a path that is served until the change by [`installation_changed`].
pub fn probe_path(size: &Size) -> &'static str {
    if size.routes == 0 {
        PLATFORM_PATH
    } else {
        PROBE_PATH
    }
}

/// Returns a path whose handling [`installation_changed`] does not affect.
pub fn unchanged_path(size: &Size) -> String {
    if size.routes == 0 {
        OTHER_PATH.into()
    } else {
        request_path(size, 0)
    }
}

/// Generates the node configuration file.
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

/// Generates the installation file.
pub fn installation(name: &str, size: &Size, addresses: &Addresses) -> Value {
    let server = json!({"protocol": "fastcgi", "addresses": [addresses.server.to_string()],
        "at_once": CONCURRENT_RUNS});
    let front = json!({"protocol": "fastcgi", "listen": addresses.front.to_string()});
    let mut installation = json!({"fronts": [front], "servers": server});
    // The first pool is the unnamed one.
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

/// Returns the installation with an unknown tenant in its last rule, so that requests matching it are answered
/// with 400. Without rules, such a rule is added.
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

/// Generates the rules: the first is for the deduplicated group, the last for the probe path, and the others
/// are routes of services.
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

/// Generates a budget. The keys are ones that older builds also read, so that those can be measured too.
fn budget(nth: usize) -> Value {
    json!({"name": format!("budget-{nth}"), "kind": "rate", "whole": AMPLE_BUDGET_LIMIT, "burst": AMPLE_BUDGET_LIMIT,
        "for": {"customer": tenant(nth)}})
}
