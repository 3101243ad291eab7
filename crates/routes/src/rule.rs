//! Rules as written by operators, the names they may refer to, and their errors.

use doortrack_expr::Limits;

/// A rule in source form. All fields except `group` and `pool` are expressions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rule {
    /// Condition of type bool.
    pub when: String,
    /// Name of an endpoint group.
    pub group: String,
    /// Tenant name, of type string or optional string.
    pub tenant: Option<String>,
    /// Session key, of type string, bytes, int or an optional of these. A request whose value is absent or empty
    /// has no session key.
    pub session_key: Option<String>,
    /// Idempotency key of a deduplicated request, of type string, bytes or an optional of these. A request whose
    /// value is absent or empty is rejected.
    pub idempotency_key: Option<String>,
    /// Rank from 0 to 1, of type float or optional float.
    pub rank: Option<String>,
    /// How long the caller waits, of type duration or optional duration.
    pub timeout: Option<String>,
    /// Name of a server pool.
    pub pool: Option<String>,
}

/// Name of an endpoint group and whether its requests are deduplicated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupName {
    /// Name as rules refer to it.
    pub name: String,
    /// Whether requests of the group carry an idempotency key.
    pub deduplicated: bool,
}

impl GroupName {
    /// Creates a group of this name.
    pub fn new(name: impl Into<String>, deduplicated: bool) -> GroupName {
        GroupName {
            name: name.into(),
            deduplicated,
        }
    }
}

/// Names that rules may refer to. A position in each list is the index in a compiled rule.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Endpoint groups.
    pub groups: Vec<GroupName>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Server pools.
    pub pools: Vec<String>,
}

/// An error in a rule.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {message}")]
pub struct RuleError {
    /// Path of the key, such as `rules[3].when`.
    pub path: String,
    /// Description of the error.
    pub message: String,
}

/// Everything besides its source that the compiled form of a rule depends on.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Environment {
    pub(crate) groups: Vec<GroupName>,
    pub(crate) pools: Vec<String>,
    /// Whether there are tenants. The tenants themselves are looked up for each request and are not part of a
    /// compiled rule.
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
