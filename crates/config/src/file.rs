//! The operators' own file: fronts beside the platform's listener. JSON; its schema is printed by
//! `doortrack schema` and kept as `deploy/installation.schema.json`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use doortrack_protocols::Protocol;
use schemars::{JsonSchema, schema_for};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::rules::{ExpressionLimits, RuleFile};
use crate::{
    BudgetFile, ConfigError, ConfigErrors, FleetFile, NodeConfig, Servers, gather, stable,
};

/// Fronts that one node may have beside the platform's listener.
pub const MOST_FRONTS: usize = 8;
/// Pools of servers beside the one without a name.
pub const MOST_POOLS: usize = 64;

/// What an installation adds to the platform's configuration.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Installation {
    /// Where callers may connect beside the platform's own listener, and what is spoken there. At most 8.
    #[serde(default)]
    #[schemars(length(max = 8))]
    pub fronts: Vec<Front>,
    /// Application servers that do the work in place of the engine. Absent: the engine does it.
    #[serde(default)]
    pub servers: Option<Servers>,
    /// Further pools of servers, by the names that rules use.
    #[serde(default)]
    pub pools: BTreeMap<String, Servers>,
    /// How exchanges of these fronts are classed: the first rule that applies. Absent: by the platform's own
    /// variables. The platform's listener is not concerned.
    #[serde(default)]
    #[schemars(length(max = 100_000))]
    pub rules: Vec<RuleFile>,
    /// The endpoint group of what no rule takes. Absent: it is answered with 404.
    #[serde(default)]
    pub otherwise: Option<String>,
    /// What expressions may cost and see.
    #[serde(default)]
    pub expressions: ExpressionLimits,
    /// Other nodes, and how this one and they know of one another. Absent: it knows of none.
    #[serde(default)]
    pub fleet: Option<FleetFile>,
    /// Limits that belong to the whole fleet; at most 256.
    #[serde(default)]
    #[schemars(length(max = 256))]
    pub budgets: Vec<BudgetFile>,
}

/// One address on which callers are taken in.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Front {
    pub protocol: Spoken,
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
pub enum Spoken {
    /// FastCGI 1.0, many requests on a connection.
    FastCgi,
    /// uwsgi, a connection for each request.
    Uwsgi,
}

impl Spoken {
    pub fn name(self) -> &'static str {
        Protocol::from(self).name()
    }
}

impl From<Spoken> for Protocol {
    fn from(spoken: Spoken) -> Protocol {
        match spoken {
            Spoken::FastCgi => Protocol::FastCgi,
            Spoken::Uwsgi => Protocol::Uwsgi,
        }
    }
}

/// Reads and checks the file.
pub fn read(path: &Path) -> Result<Installation, ConfigErrors> {
    let text = stable::read(path)
        .map_err(|e| ConfigErrors::one(path.display().to_string(), e.to_string()))?;
    parse(&text)
}

/// Reads and checks a text.
///
/// # Errors
/// All its faults, each with the path of its key.
pub fn parse(text: &[u8]) -> Result<Installation, ConfigErrors> {
    const AT: &str = "installation";
    let value: Value = serde_json::from_slice(text)
        .map_err(|e| ConfigErrors::one(AT, format!("not JSON: {e}")))?;
    let lists = ["fronts", "rules", "budgets"]
        .into_iter()
        .filter_map(|key| Some((key, value.get(key)?.as_array()?)));
    let parts = lists.flat_map(|(key, list)| {
        list.iter()
            .enumerate()
            .map(move |(nth, part)| (format!("{AT}.{key}[{nth}]"), part))
    });
    let fleet = value
        .get("fleet")
        .filter(|fleet| !fleet.is_null())
        .map(|fleet| (format!("{AT}.fleet"), fleet));
    let parts = parts
        .chain(fleet)
        .chain([(AT.to_string(), &value)])
        .filter(|(_, part)| !part.is_object());
    // A list would be taken for the values of an object in the order of its keys.
    let lists: Vec<ConfigError> = parts
        .map(|(at, _)| ConfigError::new(at, "an object is wanted"))
        .collect();
    if !lists.is_empty() {
        return Err(ConfigErrors(lists));
    }
    let installation: Installation = gather::read(&value, AT)?;
    let faults = installation.faults();
    if !faults.is_empty() {
        return Err(ConfigErrors(faults));
    }
    Ok(installation)
}

impl Installation {
    fn faults(&self) -> Vec<ConfigError> {
        let mut faults = Vec::new();
        if self.fronts.len() > MOST_FRONTS {
            let what = format!(
                "at most {MOST_FRONTS} are wanted, found {}",
                self.fronts.len()
            );
            faults.push(ConfigError::new("installation.fronts", what));
        }
        for (nth, front) in self.fronts.iter().enumerate() {
            let at = |key: &str| format!("installation.fronts[{nth}].{key}");
            if front.listen.port() == 0 {
                faults.push(ConfigError::new(
                    at("listen"),
                    "a port from 1 to 65535 is wanted, found 0",
                ));
            }
            if front.connections == Some(0) {
                faults.push(ConfigError::new(
                    at("connections"),
                    "at least 1 is wanted, found 0",
                ));
            }
            let earlier = self.fronts[..nth]
                .iter()
                .position(|other| clash(other.listen, front.listen));
            if let Some(other) = earlier {
                let what = format!("{} is taken by installation.fronts[{other}]", front.listen);
                faults.push(ConfigError::new(at("listen"), what));
            }
        }
        for (at, servers) in self.pools_of_servers() {
            servers.faults(&at, &mut faults);
        }
        if self.servers.is_none() && !self.pools.is_empty() {
            let what = "needed key 'servers' is missing: what no rule sends to a pool goes there";
            faults.push(ConfigError::new("installation", what));
        }
        if self.pools.len() > MOST_POOLS {
            let what = format!(
                "at most {MOST_POOLS} are wanted, found {}",
                self.pools.len()
            );
            faults.push(ConfigError::new("installation.pools", what));
        }
        self.expressions.faults(&mut faults);
        if let Some(fleet) = &self.fleet {
            fleet.faults(&mut faults);
        }
        self.budget_faults(&mut faults);
        if self.otherwise.is_some() && self.rules.is_empty() {
            faults.push(ConfigError::new(
                "installation.otherwise",
                "without rules there is nothing else",
            ));
        }
        faults
    }

    /// All pools of servers with the paths at which they stand; the one without a name first.
    pub fn pools_of_servers(&self) -> impl Iterator<Item = (String, &Servers)> {
        let first = self
            .servers
            .iter()
            .map(|servers| ("installation.servers".to_string(), servers));
        first.chain(
            self.pools
                .iter()
                .map(|(name, servers)| (format!("installation.pools.{name}"), servers)),
        )
    }

    /// All pools of servers with their names; the one without a name comes first and goes by `servers`.
    pub fn named_pools(&self) -> impl Iterator<Item = (&str, &Servers)> {
        let first = self.servers.iter().map(|servers| ("servers", servers));
        first.chain(
            self.pools
                .iter()
                .map(|(name, servers)| (name.as_str(), servers)),
        )
    }

    /// Connections that all servers together may have at once.
    pub fn server_connections(&self) -> usize {
        self.pools_of_servers()
            .map(|(_, servers)| servers.connections())
            .sum()
    }

    /// What it adds, as `doortrack check` tells it.
    pub fn in_one_line(&self) -> String {
        let front = |front: &Front| format!("{} on {}", front.protocol.name(), front.listen);
        let fronts: Vec<String> = self.fronts.iter().map(front).collect();
        let rules = match self.rules.len() {
            0 => String::new(),
            count => format!("; {count} rules"),
        };
        let fronts = if fronts.is_empty() {
            "no fronts".into()
        } else {
            fronts.join(", ")
        };
        let pools: String = self
            .pools_of_servers()
            .map(|(_, pool)| format!("; {}", pool.in_one_line()))
            .collect();
        let fleet = self
            .fleet
            .as_ref()
            .map_or(String::new(), |fleet| format!("; of fleet {}", fleet.name));
        let budgets = match self.budgets.len() {
            0 => String::new(),
            count => format!("; {count} budgets"),
        };
        format!("good: {fronts}{pools}{rules}{fleet}{budgets}")
    }

    /// What can't go together with the platform's configuration.
    pub fn beside(&self, orders: &NodeConfig) -> Result<(), ConfigErrors> {
        let listen = orders.listen;
        let clashes = self
            .fronts
            .iter()
            .enumerate()
            .filter(|(_, front)| clash(front.listen, listen));
        let fault = |(nth, _)| {
            let what = format!("{listen} is taken by config.listen");
            ConfigError::new(format!("installation.fronts[{nth}].listen"), what)
        };
        let mut faults: Vec<ConfigError> = clashes.map(fault).collect();
        let (wanted, room) = (self.server_connections(), orders.limits.connections);
        if wanted > room / 2 {
            let what = format!(
                "all pools together may have {wanted} connections, more than half of the {room} that the \
                 node may have; raise config.limits.sockets or lower it"
            );
            faults.push(ConfigError::new("installation.servers.at_once", what));
        }
        if let Some(fleet) = &self.fleet {
            fleet.beside(orders, &mut faults);
        }
        self.budgets_beside(orders, &mut faults);
        if faults.is_empty() {
            Ok(())
        } else {
            Err(ConfigErrors(faults))
        }
    }
}

/// Whether two listeners can't both be had: the same port on the same address, or on all of them.
fn clash(one: SocketAddr, other: SocketAddr) -> bool {
    let all = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() == other.port() && (all || one.ip() == other.ip())
}

/// The JSON Schema of the file, as it is kept in `deploy/`.
pub fn schema() -> String {
    let mut text = serde_json::to_string_pretty(&schema_for!(Installation)).unwrap_or_default();
    text.push('\n');
    text
}
