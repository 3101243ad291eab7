//! The operators' own file: what an installation adds to the platform's configuration. JSON; its schema is
//! printed by `doortrack schema` and kept as `deploy/installation.schema.json`.
//!
//! The file's keys and the names in its schema are kept by `rename`, and so are doc comments of its types,
//! which are the schema's descriptions.

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
    deserialize, stable,
};

/// The name of the file's outermost object in paths.
const ROOT: &str = "installation";
/// The name by which the pool without one goes.
const DEFAULT_POOL: &str = "servers";
/// Keys that hold a list of objects.
const OBJECT_LISTS: [&str; 3] = ["fronts", "rules", "budgets"];

/// What an installation adds to the platform's configuration.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Installation {
    /// Where callers may connect beside the platform's own listener, and what is spoken there. At most 8.
    #[serde(default, rename = "fronts")]
    #[schemars(length(max = 8))]
    pub listeners: Vec<ListenerConfig>,
    /// Application servers that do the work in place of the engine. Absent: the engine does it.
    #[serde(default, rename = "servers")]
    pub default_pool: Option<ServerPool>,
    /// Further pools of servers, by the names that rules use.
    #[serde(default)]
    pub pools: BTreeMap<String, ServerPool>,
    /// How exchanges of these fronts are classed: the first rule that applies. Absent: by the platform's own
    /// variables. The platform's listener is not concerned.
    #[serde(default)]
    #[schemars(length(max = 100_000))]
    pub rules: Vec<RuleConfig>,
    /// The endpoint group of what no rule takes. Absent: it is answered with 404.
    #[serde(default, rename = "otherwise")]
    pub fallback_group: Option<String>,
    /// What expressions may cost and see.
    #[serde(default)]
    pub expressions: ExpressionLimits,
    /// Other nodes, and how this one and they know of one another. Absent: it knows of none.
    #[serde(default)]
    pub fleet: Option<FleetConfig>,
    /// Limits that belong to the whole fleet; at most 256.
    #[serde(default)]
    #[schemars(length(max = 256))]
    pub budgets: Vec<BudgetConfig>,
}

/// One address on which callers are taken in.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Front")]
pub struct ListenerConfig {
    #[expect(missing_docs, reason = "a doc comment would change the schema")]
    pub protocol: ProtocolName,
    /// IP address and port, as 127.0.0.1:9091.
    pub listen: SocketAddr,
    /// Connections that this front may have open at once. Absent: as many as the node may have in all, which
    /// bounds all fronts together.
    #[serde(default)]
    #[schemars(range(min = 1))]
    pub connections: Option<u32>,
}

/// What is spoken on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Spoken")]
pub enum ProtocolName {
    /// FastCGI 1.0, many requests on a connection.
    FastCgi,
    /// uwsgi, a connection for each request.
    Uwsgi,
}

impl ProtocolName {
    /// The name in lower case.
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

/// Reads and checks the file.
///
/// # Errors
/// It can't be read, or as [`parse`].
pub fn read(path: &Path) -> Result<Installation, ConfigErrors> {
    let text = stable::read(path).map_err(|error| {
        let path = path.display().to_string();
        ConfigErrors::one(path, ConfigErrorKind::unreadable(&error))
    })?;
    parse(&text)
}

/// Reads and checks a text.
///
/// # Errors
/// All that the text alone shows, each with the path of its key.
pub fn parse(text: &[u8]) -> Result<Installation, ConfigErrors> {
    let value: Value = serde_json::from_slice(text)
        .map_err(|error| ConfigErrors::one(ROOT, ConfigErrorKind::not_json(&error)))?;
    check_objects(&value)?;
    let installation: Installation = deserialize::all_errors(&value, ROOT)?;
    let mut errors = ErrorCollector::default();
    installation.validate(&mut errors);
    errors.finish(installation)
}

/// Refuses lists where objects are wanted: serde takes the items of a list for the fields of a struct in their
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
    /// All pools of servers with the paths at which they are found; the one without a name first.
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

    /// All pools of servers with their names; the one without a name comes first and goes by `servers`.
    pub fn named_pools(&self) -> impl Iterator<Item = (&str, &ServerPool)> {
        let default = self.default_pool.iter().map(|pool| (DEFAULT_POOL, pool));
        let named = self.pools.iter().map(|(name, pool)| (name.as_str(), pool));
        default.chain(named)
    }

    /// The names of [`Installation::named_pools`].
    pub(crate) fn pool_names(&self) -> impl Iterator<Item = &str> {
        self.named_pools().map(|(name, _)| name)
    }

    /// Names of the nodes of whom a majority decides; none where there is no fleet.
    pub(crate) fn voters(&self) -> &[String] {
        self.fleet.as_ref().map_or(&[], |fleet| &fleet.voters)
    }

    /// Connections to all servers together that may be open at once.
    pub fn max_server_connections(&self) -> usize {
        self.named_pools()
            .map(|(_, pool)| pool.max_connections())
            .sum()
    }

    /// What the file adds, in one line for `doortrack check`.
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

/// The JSON Schema of the file, as it is kept in `deploy/`.
pub fn schema() -> String {
    let mut text = serde_json::to_string_pretty(&schema_for!(Installation)).unwrap_or_default();
    text.push('\n');
    text
}
