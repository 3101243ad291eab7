//! Builds a table from rules in source form, or reports all their errors.

use std::sync::Arc;

use doortrack_expr::Limits;
use rustc_hash::FxHashMap;

use crate::compile::{CompiledRule, Compiler, source_digest};
use crate::index::Index;
use crate::rule::{Environment, Names, Rule, RuleError};
use crate::shadowing::{Digest, ShadowDetector, ShadowedRule};
use crate::table::{MAX_RULES, Table};

/// Number of errors after which no further rules are compiled.
const MAX_ERRORS: usize = 50;

/// A table and the findings of its build.
#[derive(Debug)]
pub struct BuildOutput {
    /// The table that was built.
    pub table: Table,
    /// Rules that can never match.
    pub shadowed: Vec<ShadowedRule>,
    /// Number of compiled rules that are shared with the previous table.
    pub reused: usize,
}

type TenantIndices = FxHashMap<Box<str>, u16>;

impl Table {
    /// Parses, checks and compiles all rules.
    ///
    /// # Errors
    /// Returns the errors in rule order; compilation stops after the rule that brings them to fifty or more.
    pub fn build(
        rules: &[Rule],
        names: &Names,
        limits: Limits,
    ) -> Result<(Table, Vec<ShadowedRule>), Vec<RuleError>> {
        Table::build_from(None, rules, names, limits).map(|built| (built.table, built.shadowed))
    }

    /// As [`Table::build`], but rules that are also in `previous` are shared with it instead of being compiled
    /// again. The resulting table is the same.
    ///
    /// # Errors
    /// Returns the errors in rule order; compilation stops after the rule that brings them to fifty or more.
    pub fn build_from(
        previous: Option<&Table>,
        rules: &[Rule],
        names: &Names,
        limits: Limits,
    ) -> Result<BuildOutput, Vec<RuleError>> {
        if rules.len() > MAX_RULES {
            let message = format!("at most {MAX_RULES} are wanted, found {}", rules.len());
            return Err(vec![RuleError {
                path: "rules".into(),
                message,
            }]);
        }
        let environment = Environment::new(names, limits);
        let previous_rules = previous
            .filter(|table| table.environment == environment)
            .map_or_else(
                FxHashMap::default,
                |table| -> FxHashMap<Digest, &Arc<CompiledRule>> {
                    table.rules.iter().map(|rule| (rule.source, rule)).collect()
                },
            );
        let mut compiler = Compiler::new(&environment);
        let (mut compiled, mut shadows) =
            (Vec::with_capacity(rules.len()), ShadowDetector::default());
        let mut reused = 0;
        for (index, rule) in rules.iter().enumerate() {
            if compiler.errors.len() >= MAX_ERRORS {
                break;
            }
            let source = source_digest(rule);
            let reused_rule = previous_rules.get(&source).map(|rule| Arc::clone(rule));
            reused += usize::from(reused_rule.is_some());
            let Some(rule) =
                reused_rule.or_else(|| compiler.compile_rule(index, rule, source).map(Arc::new))
            else {
                continue;
            };
            shadows.add(index, &rule.condition, &rule.predicates);
            compiled.push(rule);
        }
        if !compiler.errors.is_empty() {
            return Err(compiler.errors);
        }
        let rule_index = Index::new(compiled.iter().map(|rule| &rule.predicates[..]));
        let tenants = tenant_indices(previous, &names.tenants);
        let table = Table {
            rules: compiled,
            index: rule_index,
            tenants,
            environment,
        };
        Ok(BuildOutput {
            table,
            shadowed: shadows.into_shadowed(),
            reused,
        })
    }
}

/// Returns the tenant indices by name, shared with the previous table if they are the same.
fn tenant_indices(previous: Option<&Table>, names: &[String]) -> Arc<TenantIndices> {
    let same = |tenants: &TenantIndices| {
        let has =
            |(index, name): (usize, &String)| tenants.get(name.as_str()) == Some(&(index as u16));
        tenants.len() == names.len() && names.iter().enumerate().all(has)
    };
    match previous
        .map(|table| &table.tenants)
        .filter(|tenants| same(tenants))
    {
        Some(tenants) => Arc::clone(tenants),
        None => {
            let index = |(index, name): (usize, &String)| (name.as_str().into(), index as u16);
            Arc::new(names.iter().enumerate().map(index).collect())
        }
    }
}
