//! Rules as they are written, the names that they may use, and what can be wrong with them.

use doortrack_expr::Limits;

/// A rule as operators write it. All but `group` and `servers` are expressions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rule {
    /// Its condition, a bool.
    pub when: String,
    /// The name of an endpoint group.
    pub group: String,
    /// The name of a tenant: string, or optional string.
    pub tenant: Option<String>,
    /// Identifies its session: string, bytes or int, or optional. Absent and empty are no session.
    pub session_key: Option<String>,
    /// The idempotency key of a deduplicated request: string or bytes, or optional. Absent and empty
    /// ones are rejected.
    pub idempotency_key: Option<String>,
    /// From 0 to 1: float, or optional float.
    pub rank: Option<String>,
    /// How long its caller waits: duration, or optional duration.
    pub timeout: Option<String>,
    /// The name of a pool of servers.
    pub pool: Option<String>,
}

/// The name of an endpoint group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupName {
    /// The name.
    pub name: String,
    /// Whether its requests carry an idempotency key.
    pub deduplicated: bool,
}

impl GroupName {
    /// A group of this name.
    pub fn new(name: impl Into<String>, deduplicated: bool) -> GroupName {
        GroupName {
            name: name.into(),
            deduplicated,
        }
    }
}

/// Names that rules may use, in the order of their indices.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Endpoint groups.
    pub groups: Vec<GroupName>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Pools of application servers.
    pub pools: Vec<String>,
}

/// An error in a rule.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {message}")]
pub struct RuleError {
    /// The path of the key, such as `rules[3].when`.
    pub path: String,
    /// What is wrong with it.
    pub message: String,
}

/// What a rule's compiled form depends on beside its own source.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Environment {
    pub(crate) groups: Vec<GroupName>,
    pub(crate) pools: Vec<String>,
    /// Which tenants there are is looked up for each request, and is no part of a compiled rule.
    pub(crate) has_tenants: bool,
    pub(crate) limits: Limits,
}

impl Environment {
    pub(crate) fn new(names: &Names, limits: Limits) -> Environment {
        Environment {
            groups: names.groups.clone(),
            pools: names.pools.clone(),
            has_tenants: !names.tenants.is_empty(),
            limits,
        }
    }
}
