//! The operators' installation file, which extends the platform's configuration. The file is JSON; its schema is
//! printed by `doortrack schema` and kept as `deploy/installation.schema.json`.
//!
//! `rename` attributes keep the keys of the file and the names in its schema. Doc comments of the types that are
//! read from the file are the descriptions in its schema.

mod validate;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use doortrack_protocols::Protocol;
use schemars::{JsonSchema, schema_for};
use serde::{Deserialize, Serialize};
use serde_json::Value;

pub use validate::MAX_POOLS;

use crate::rules::{ExpressionLimits, RuleConfig};
use crate::{
    BudgetConfig, ConfigErrorKind, ConfigErrors, ErrorCollector, FleetConfig, ServerPool,
    consistent_read, deserialize,
};

/// Name of the outermost object in paths of errors.
const ROOT: &str = "installation";
/// Name of the default pool.
const DEFAULT_POOL: &str = "servers";
/// Keys whose values are lists of objects.
const OBJECT_LISTS: [&str; 3] = ["fronts", "rules", "budgets"];

/// Settings that an installation adds to the platform's configuration.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Installation {
    /// Listeners for callers in addition to the platform's own listener, each with its protocol; at most 8.
    #[serde(default, rename = "fronts")]
    #[schemars(length(max = 8))]
    pub listeners: Vec<ListenerConfig>,
    /// Default pool of application servers, which execute runs in place of the engine. Absent: the engine
    /// executes them.
    #[serde(default, rename = "servers")]
    pub default_pool: Option<ServerPool>,
    /// Additional server pools, by the names that rules use.
    #[serde(default)]
    pub pools: BTreeMap<String, ServerPool>,
    /// Rules that classify the requests of the listeners in `fronts`; the first matching rule applies.
    /// Absent: requests are classified by the platform's own variables. The platform's listener does not use
    /// the rules.
    #[serde(default)]
    #[schemars(length(max = 100_000))]
    pub rules: Vec<RuleConfig>,
    /// Endpoint group of requests that match no rule. Absent: they are answered with 404.
    #[serde(default, rename = "otherwise")]
    pub fallback_group: Option<String>,
    /// Limits on the cost of expressions and on the data that they see.
    #[serde(default)]
    pub expressions: ExpressionLimits,
    /// The fleet of this node: how it and other nodes find one another. Absent: the node knows no other
    /// nodes.
    #[serde(default)]
    pub fleet: Option<FleetConfig>,
    /// Limits that apply to the whole fleet; at most 256.
    #[serde(default)]
    #[schemars(length(max = 256))]
    pub budgets: Vec<BudgetConfig>,
}

/// A listener: an address on which connections from callers are accepted.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Front")]
pub struct ListenerConfig {
    #[expect(missing_docs, reason = "a doc comment would change the schema")]
    pub protocol: ProtocolName,
    /// IP address and port, for example 127.0.0.1:9091.
    pub listen: SocketAddr,
    /// Maximum number of open connections of this listener. Default: the maximum of the node, which applies
    /// to all listeners together.
    #[serde(default)]
    #[schemars(range(min = 1))]
    pub connections: Option<u32>,
}

/// Protocol of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Spoken")]
pub enum ProtocolName {
    /// FastCGI 1.0, with many requests on one connection.
    FastCgi,
    /// uwsgi, with one connection for each request.
    Uwsgi,
}

impl ProtocolName {
    /// Returns the name in lower case.
    pub fn name(self) -> &'static str {
        Protocol::from(self).name()
    }
}

impl From<ProtocolName> for Protocol {
    fn from(name: ProtocolName) -> Protocol {
        match name {
            ProtocolName::FastCgi => Protocol::FastCgi,
            ProtocolName::Uwsgi => Protocol::Uwsgi,
        }
    }
}

/// Reads and validates the file.
///
/// # Errors
/// The file can't be read, or as [`parse`].
pub fn read(path: &Path) -> Result<Installation, ConfigErrors> {
    let text = consistent_read::read(path).map_err(|error| {
        let path = path.display().to_string();
        ConfigErrors::one(path, ConfigErrorKind::unreadable(&error))
    })?;
    parse(&text)
}

/// Parses and validates the content of the file.
///
/// # Errors
/// All errors that the file alone shows, each with the path of its key.
pub fn parse(text: &[u8]) -> Result<Installation, ConfigErrors> {
    let value: Value = serde_json::from_slice(text)
        .map_err(|error| ConfigErrors::one(ROOT, ConfigErrorKind::not_json(&error)))?;
    check_objects(&value)?;
    let installation: Installation = deserialize::all_errors(&value, ROOT)?;
    let mut errors = ErrorCollector::default();
    installation.validate(&mut errors);
    errors.finish(installation)
}

/// Rejects lists in place of objects: serde would accept the items of a list as the fields of a struct, in
/// order.
fn check_objects(root: &Value) -> Result<(), ConfigErrors> {
    let mut errors = ErrorCollector::default();
    let mut check = |path: String, value: &Value| {
        if !value.is_object() {
            errors.push(path, "an object is wanted");
        }
    };
    for key in OBJECT_LISTS {
        let items = root.get(key).and_then(Value::as_array);
        for (index, item) in items.into_iter().flatten().enumerate() {
            check(format!("{ROOT}.{key}[{index}]"), item);
        }
    }
    if let Some(fleet) = root.get("fleet").filter(|fleet| !fleet.is_null()) {
        check(format!("{ROOT}.fleet"), fleet);
    }
    check(ROOT.to_string(), root);
    errors.finish(())
}

impl Installation {
    /// Returns all server pools with their paths in the file, the default pool first.
    pub fn pools_with_paths(&self) -> impl Iterator<Item = (String, &ServerPool)> {
        let default = self
            .default_pool
            .iter()
            .map(|pool| (format!("{ROOT}.{DEFAULT_POOL}"), pool));
        let named = self
            .pools
            .iter()
            .map(|(name, pool)| (format!("{ROOT}.pools.{name}"), pool));
        default.chain(named)
    }

    /// Returns all server pools with their names, the default pool first; its name is `servers`.
    pub fn named_pools(&self) -> impl Iterator<Item = (&str, &ServerPool)> {
        let default = self.default_pool.iter().map(|pool| (DEFAULT_POOL, pool));
        let named = self.pools.iter().map(|(name, pool)| (name.as_str(), pool));
        default.chain(named)
    }

    /// Returns the names of [`Installation::named_pools`].
    pub(crate) fn pool_names(&self) -> impl Iterator<Item = &str> {
        self.named_pools().map(|(name, _)| name)
    }

    /// Returns the names of the voters, or none without a fleet.
    pub(crate) fn voters(&self) -> &[String] {
        self.fleet.as_ref().map_or(&[], |fleet| &fleet.voters)
    }

    /// Returns the maximum number of open connections to all servers together.
    pub fn max_server_connections(&self) -> usize {
        self.named_pools()
            .map(|(_, pool)| pool.max_connections())
            .sum()
    }

    /// Summarizes the file in one line for `doortrack check`.
    pub fn summary(&self) -> String {
        let listeners: Vec<String> = self
            .listeners
            .iter()
            .map(|listener| format!("{} on {}", listener.protocol.name(), listener.listen))
            .collect();
        let listeners = if listeners.is_empty() {
            "no fronts".to_string()
        } else {
            listeners.join(", ")
        };
        let pools: String = self
            .named_pools()
            .map(|(_, pool)| format!("; {}", pool.summary()))
            .collect();
        let fleet = match &self.fleet {
            Some(fleet) => format!("; of fleet {}", fleet.name),
            None => String::new(),
        };
        let rules = count_summary(self.rules.len(), "rules");
        let budgets = count_summary(self.budgets.len(), "budgets");
        format!("good: {listeners}{pools}{rules}{fleet}{budgets}")
    }
}

fn count_summary(count: usize, items: &str) -> String {
    match count {
        0 => String::new(),
        count => format!("; {count} {items}"),
    }
}

/// Returns the JSON Schema of the file, as it is kept in `deploy/`.
pub fn schema() -> String {
    let mut text = serde_json::to_string_pretty(&schema_for!(Installation)).unwrap_or_default();
    text.push('\n');
    text
}
