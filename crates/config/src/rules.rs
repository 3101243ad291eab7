//! The section of the installation file on rules, by which requests of the installation's listeners are classified.
//!
//! Doc comments of the types that are read from the file are the descriptions in its schema.

use doortrack_admission::Effect;
use doortrack_expr::Limits;
use doortrack_routes::{BuildOutput, GroupName, Names, Rule, RuleError, Table};
use doortrack_settings::DeploymentSettings;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::{ConfigError, ConfigErrorKind, ConfigErrors, ErrorCollector, Installation};

const MAX_COST: u64 = 10_000_000;
const MAX_VARIABLE_BYTES: u64 = 8192;
const MAX_BODY_BYTES: u64 = 2048;

/// A rule. The first rule whose condition is true classifies a request. All fields except `group` are
/// expressions (docs/expressions.md).
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "RuleFile")]
pub struct RuleConfig {
    /// Condition under which the rule applies, a bool.
    pub when: String,
    /// Name of the endpoint group.
    pub group: String,
    /// Name of the customer. Default: the variable HTTP_X_TENANT.
    #[serde(default, rename = "customer")]
    pub tenant: Option<String>,
    /// Session key of the request, a string, bytes or int. Default: the variable HTTP_X_OBJECT, if present.
    #[serde(default, rename = "subject")]
    pub session_key: Option<String>,
    /// Idempotency key, by which a repetition of a deduplicated request is recognized. Default: the variable
    /// HTTP_IDEMPOTENCY_KEY.
    #[serde(default, alias = "mark")]
    pub idempotency_key: Option<String>,
    /// Rank of the request, a float from 0 to 1. Default: the variable HTTP_X_RANK, or 0.5 without it.
    #[serde(default)]
    pub rank: Option<String>,
    /// Time that the caller waits for the answer, a duration. Default: the deadline of the endpoint group.
    #[serde(default, rename = "due")]
    pub timeout: Option<String>,
    /// Name in `pools` of the server pool that receives the request. Default: `servers`.
    #[serde(default, rename = "servers")]
    pub pool: Option<String>,
}

/// Limits on the cost of an expression and on the part of a request that it sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct ExpressionLimits {
    /// Maximum number of steps of one evaluation.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub max_cost: u64,
    /// Maximum length in bytes of a variable, the path or the query; expressions do not see longer values.
    #[schemars(range(min = 1, max = 8192))]
    pub variable_bytes: u64,
    /// Number of bytes of the body that expressions see.
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
    /// Returns the limits for the evaluator.
    pub fn limits(self) -> Limits {
        Limits {
            max_cost: self.max_cost,
            variable: self.variable_bytes,
            body: self.body_bytes,
            ..Limits::default()
        }
    }

    /// Adds an error for every limit that is out of its range.
    pub(crate) fn validate(self, errors: &mut ErrorCollector) {
        let ranges = [
            ("max_cost", self.max_cost, 1..=MAX_COST),
            (
                "variable_bytes",
                self.variable_bytes,
                1..=MAX_VARIABLE_BYTES,
            ),
            ("body_bytes", self.body_bytes, 0..=MAX_BODY_BYTES),
        ];
        for (key, value, range) in ranges {
            if !range.contains(&value) {
                let expected = format!("a whole number up to {}", range.end());
                let kind = ConfigErrorKind::unexpected(expected, value);
                errors.push(format!("installation.expressions.{key}"), kind);
            }
        }
    }
}

impl From<&RuleConfig> for Rule {
    fn from(rule: &RuleConfig) -> Rule {
        Rule {
            when: rule.when.clone(),
            group: rule.group.clone(),
            tenant: rule.tenant.clone(),
            session_key: rule.session_key.clone(),
            idempotency_key: rule.idempotency_key.clone(),
            rank: rule.rank.clone(),
            timeout: rule.timeout.clone(),
            pool: rule.pool.clone(),
        }
    }
}

impl Installation {
    /// Builds the rule table with the names of the deployment. Returns `None` if there are no rules.
    ///
    /// # Errors
    /// The errors of the rules and of the fallback group, each with its path.
    pub fn table(
        &self,
        settings: &DeploymentSettings,
    ) -> Result<Option<BuildOutput>, ConfigErrors> {
        self.table_from(None, settings)
    }

    /// As [`Installation::table`]; rules that are also in the `previous` table are shared with it.
    ///
    /// # Errors
    /// The errors of the rules and of the fallback group, each with its path.
    pub fn table_from(
        &self,
        previous: Option<&Table>,
        settings: &DeploymentSettings,
    ) -> Result<Option<BuildOutput>, ConfigErrors> {
        let groups = settings.group_names.iter().zip(&settings.admission.groups);
        let names = Names {
            groups: groups
                .map(|(name, group)| GroupName::new(name, group.effect == Effect::Deduplicated))
                .collect(),
            tenants: settings.tenant_names.clone(),
            pools: self.pools.keys().cloned().collect(),
        };
        let table = self.build_table(previous, &names)?;
        self.check_fallback_group(&settings.group_names)?;
        Ok(table)
    }

    /// Builds the rule table without a deployment: the names that the rules use are assumed to exist.
    ///
    /// # Errors
    /// The errors of the rules, each with its path.
    pub fn table_without_deployment(&self) -> Result<Option<BuildOutput>, ConfigErrors> {
        let groups = self.groups_in_rules();
        let names = Names {
            groups: groups
                .into_iter()
                .map(|name| GroupName::new(name, true))
                .collect(),
            tenants: vec!["any".into()],
            pools: self.pools.keys().cloned().collect(),
        };
        self.build_table(None, &names)
    }

    /// Returns the endpoint groups that the rules name, sorted and without duplicates.
    pub fn groups_in_rules(&self) -> Vec<String> {
        let mut groups: Vec<String> = self.rules.iter().map(|rule| rule.group.clone()).collect();
        groups.sort_unstable();
        groups.dedup();
        groups
    }

    fn build_table(
        &self,
        previous: Option<&Table>,
        names: &Names,
    ) -> Result<Option<BuildOutput>, ConfigErrors> {
        if self.rules.is_empty() {
            return Ok(None);
        }
        let rules: Vec<Rule> = self.rules.iter().map(Rule::from).collect();
        let limits = self.expressions.limits();
        match Table::build_from(previous, &rules, names, limits) {
            Ok(built) => Ok(Some(built)),
            Err(errors) => Err(ConfigErrors(errors.into_iter().map(rule_error).collect())),
        }
    }

    /// Checks that the group of requests that match no rule is one of the deployment.
    fn check_fallback_group(&self, group_names: &[String]) -> Result<(), ConfigErrors> {
        match &self.fallback_group {
            Some(name) if !group_names.contains(name) => {
                let known = group_names.join(", ");
                let message = format!("'{name}' is none of the endpoint groups {known}");
                Err(ConfigErrors::one("installation.otherwise", message))
            }
            _ => Ok(()),
        }
    }
}

fn rule_error(error: RuleError) -> ConfigError {
    ConfigError::new(format!("installation.{}", error.path), error.message)
}
