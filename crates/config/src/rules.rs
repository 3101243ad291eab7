//! The part on rules: how exchanges of the installation's fronts are classed.

use doortrack_admission::Effect;
use doortrack_expr::Limits;
use doortrack_routes::{Built, GroupName, Names, Rule, Shadowed, Table};
use doortrack_settings::DeploymentSettings;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::{ConfigError, ConfigErrors, Installation};

/// One rule. The first whose condition holds says what an exchange is. All but `group` are expressions
/// (docs/expressions.md).
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RuleFile {
    /// When it applies: a bool.
    pub when: String,
    /// The endpoint group, by its name.
    pub group: String,
    /// The customer's name. Absent: the variable HTTP_X_TENANT.
    #[serde(default, rename = "customer")]
    pub tenant: Option<String>,
    /// What the exchange is about, as string, bytes or int. Absent: the variable HTTP_X_OBJECT, if there is
    /// one.
    #[serde(default)]
    pub subject: Option<String>,
    /// The idempotency key by which a repeat of a deduplicated exchange is known. Absent: the variable
    /// HTTP_IDEMPOTENCY_KEY.
    #[serde(default, alias = "mark")]
    pub idempotency_key: Option<String>,
    /// Its rank, a float from 0 to 1. Absent: the variable HTTP_X_RANK, or 0.5.
    #[serde(default)]
    pub rank: Option<String>,
    /// How long its caller waits, a duration. Absent: the deadline of its group.
    #[serde(default)]
    pub due: Option<String>,
    /// The pool of servers that it goes to, by its name in `pools`. Absent: `servers`.
    #[serde(default)]
    pub servers: Option<String>,
}

/// What an expression may cost, and what it sees of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct ExpressionLimits {
    /// Steps that one evaluation may take.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub max_cost: u64,
    /// Bytes of a variable, the path or the query; what is longer is not seen.
    #[schemars(range(min = 1, max = 8192))]
    pub variable_bytes: u64,
    /// Bytes of the body that are seen.
    #[schemars(range(min = 0, max = 2048))]
    pub body_bytes: u64,
}

impl Default for ExpressionLimits {
    fn default() -> Self {
        let limits = Limits::default();
        ExpressionLimits {
            max_cost: limits.max_cost,
            variable_bytes: limits.variable,
            body_bytes: limits.body,
        }
    }
}

impl ExpressionLimits {
    pub fn limits(self) -> Limits {
        let (max_cost, variable, body) = (self.max_cost, self.variable_bytes, self.body_bytes);
        Limits {
            max_cost,
            variable,
            body,
            ..Limits::default()
        }
    }

    pub(crate) fn faults(self, faults: &mut Vec<ConfigError>) {
        for (key, value, most) in [
            ("max_cost", self.max_cost, 10_000_000),
            ("variable_bytes", self.variable_bytes, 8192),
            ("body_bytes", self.body_bytes, 2048),
        ] {
            if value > most || (value == 0 && key != "body_bytes") {
                let what = format!("a whole number up to {most} is wanted, found {value}");
                faults.push(ConfigError::new(
                    format!("installation.expressions.{key}"),
                    what,
                ));
            }
        }
    }
}

/// Rules as a table, and what to be told of them.
pub type Ruled = (Table, Vec<Shadowed>);

fn ruled(built: Built) -> Ruled {
    (built.table, built.shadowed)
}

impl Installation {
    /// The table of its rules over the deployment's names; none where it has no rules.
    ///
    /// # Errors
    /// Every fault of the rules, each with its path.
    pub fn table(&self, handed: &DeploymentSettings) -> Result<Option<Ruled>, ConfigErrors> {
        Ok(self.table_from(None, handed)?.map(ruled))
    }

    /// As [`Installation::table`], sharing the rules that stand in `previous` as well.
    ///
    /// # Errors
    /// Every fault of the rules, each with its path.
    pub fn table_from(
        &self,
        previous: Option<&Table>,
        handed: &DeploymentSettings,
    ) -> Result<Option<Built>, ConfigErrors> {
        let keyed = handed
            .admission
            .groups
            .iter()
            .map(|group| group.effect == Effect::Deduplicated);
        let groups = handed
            .group_names
            .iter()
            .zip(keyed)
            .map(|(name, deduplicated)| GroupName::new(name, deduplicated))
            .collect();
        let tenants = handed.tenant_names.clone();
        let pools = self.pools.keys().cloned().collect();
        let table = self.build(
            previous,
            &Names {
                groups,
                tenants,
                pools,
            },
        )?;
        if let Some(name) = self
            .otherwise
            .as_ref()
            .filter(|name| !handed.group_names.contains(name))
        {
            let what = format!(
                "'{name}' is none of the endpoint groups {}",
                handed.group_names.join(", ")
            );
            return Err(ConfigErrors::one("installation.otherwise", what));
        }
        Ok(table)
    }

    /// The same where the deployment is not known: its names are taken to be those that the rules use.
    pub fn table_by_itself(&self) -> Result<Option<Ruled>, ConfigErrors> {
        let groups = self
            .groups_named()
            .into_iter()
            .map(|name| GroupName::new(name, true))
            .collect();
        let pools = self.pools.keys().cloned().collect();
        let built = self.build(
            None,
            &Names {
                groups,
                tenants: vec!["any".into()],
                pools,
            },
        )?;
        Ok(built.map(ruled))
    }

    /// The endpoint groups that its rules name, each once, in the order of their names.
    pub fn groups_named(&self) -> Vec<String> {
        let mut groups: Vec<String> = self.rules.iter().map(|rule| rule.group.clone()).collect();
        groups.sort_unstable();
        groups.dedup();
        groups
    }

    fn build(
        &self,
        previous: Option<&Table>,
        names: &Names,
    ) -> Result<Option<Built>, ConfigErrors> {
        if self.rules.is_empty() {
            return Ok(None);
        }
        let rule = |rule: &RuleFile| Rule {
            when: rule.when.clone(),
            group: rule.group.clone(),
            tenant: rule.tenant.clone(),
            session_key: rule.subject.clone(),
            idempotency_key: rule.idempotency_key.clone(),
            rank: rule.rank.clone(),
            timeout: rule.due.clone(),
            pool: rule.servers.clone(),
        };
        let rules: Vec<Rule> = self.rules.iter().map(rule).collect();
        let path = |path: String| format!("installation.{path}");
        let built = Table::build_from(previous, &rules, names, self.expressions.limits());
        let faults = |faults: Vec<doortrack_routes::RuleError>| {
            ConfigErrors(
                faults
                    .into_iter()
                    .map(|fault| ConfigError::new(path(fault.path), fault.message))
                    .collect(),
            )
        };
        built.map(Some).map_err(faults)
    }
}
