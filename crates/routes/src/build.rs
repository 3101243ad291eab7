//! From rules as they were written to a table, or to every error of theirs.

use std::sync::Arc;

use doortrack_expr::Limits;
use rustc_hash::FxHashMap;

use crate::compile::{Compiled, Compiler, source_digest};
use crate::index::Index;
use crate::rule::{Environment, Names, Rule, RuleError};
use crate::shadowing::{Digest, ShadowedRule, Shadows};
use crate::table::{MAX_RULES, Table};

/// Errors after which no more are looked for.
const MAX_ERRORS: usize = 50;

/// A table, and what was found while it was built.
#[derive(Debug)]
pub struct BuildOutput {
    /// The table.
    pub table: Table,
    /// Rules that can never win.
    pub shadowed: Vec<ShadowedRule>,
    /// Rules that were taken over from the previous table, compiled as they were.
    pub reused: usize,
}

type Tenants = FxHashMap<Box<str>, u16>;

impl Table {
    /// Reads, checks and compiles all rules.
    ///
    /// # Errors
    /// Every error, up to fifty, in the order of the rules.
    pub fn build(
        rules: &[Rule],
        names: &Names,
        limits: Limits,
    ) -> Result<(Table, Vec<ShadowedRule>), Vec<RuleError>> {
        Table::build_from(None, rules, names, limits).map(|built| (built.table, built.shadowed))
    }

    /// As [`Table::build`], where rules that stand in `previous` as well are shared with it and neither read
    /// nor checked again. The outcome is the same table.
    ///
    /// # Errors
    /// Every error, up to fifty, in the order of the rules.
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
        let known = previous
            .filter(|table| table.environment == environment)
            .map_or_else(
                FxHashMap::default,
                |table| -> FxHashMap<Digest, &Arc<Compiled>> {
                    table.rules.iter().map(|rule| (rule.source, rule)).collect()
                },
            );
        let mut compiler = Compiler::new(&environment);
        let (mut compiled, mut shadows) = (Vec::with_capacity(rules.len()), Shadows::default());
        let mut reused = 0;
        for (index, rule) in rules.iter().enumerate() {
            if compiler.errors.len() >= MAX_ERRORS {
                break;
            }
            let source = source_digest(rule);
            let known = known.get(&source).map(|rule| Arc::clone(rule));
            reused += usize::from(known.is_some());
            let Some(rule) = known.or_else(|| compiler.rule(index, rule, source).map(Arc::new))
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
        let tenants = tenants(previous, &names.tenants);
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

/// The indices of tenants by their names, shared with the previous table where they are the same.
fn tenants(previous: Option<&Table>, names: &[String]) -> Arc<Tenants> {
    let same = |tenants: &Tenants| {
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
