//! From rules as they were written to a table, or to every fault of theirs.

use std::fmt;
use std::sync::Arc;

use doortrack_expr::Limits;
use rustc_hash::FxHashMap;

use crate::compile::{Compiled, Compiler, source_digest};
use crate::index::Index;
use crate::shadows::{Digest, Shadows};
use crate::{MOST_RULES, Table};

/// A rule as operators write it. All but `group` and `servers` are expressions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rule {
    /// Its condition, a bool.
    pub when: String,
    /// The name of an endpoint group.
    pub group: String,
    /// The name of a tenant: string, or optional string.
    pub tenant: Option<String>,
    /// What the request is about: string, bytes or int, or optional. Absent and empty are no subject.
    pub subject: Option<String>,
    /// The idempotency key of a deduplicated request: string or bytes, or optional. Absent and empty are
    /// a refusal.
    pub idempotency_key: Option<String>,
    /// From 0 to 1: float, or optional float.
    pub rank: Option<String>,
    /// How long its caller waits: duration, or optional duration.
    pub due: Option<String>,
    /// The name of a pool of servers.
    pub servers: Option<String>,
}

/// Names that rules may use, in the order of their places.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Endpoint groups, and whether their requests carry an idempotency key.
    pub groups: Vec<(String, bool)>,
    pub tenants: Vec<String>,
    pub pools: Vec<String>,
}

/// What is wrong with a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// As `rules[3].when`.
    pub path: String,
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.what)
    }
}

impl std::error::Error for Fault {}

/// A rule that can never win, as an earlier one takes all that it could.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    pub rule: usize,
    pub behind: usize,
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "rules[{}] can never win: rules[{}] before it takes all that it could",
            self.rule, self.behind
        )
    }
}

/// Faults after which no more are looked for.
const MOST_FAULTS: usize = 50;

/// A table with what is to be told of it.
#[derive(Debug)]
pub struct Built {
    pub table: Table,
    /// Rules that can never win.
    pub notes: Vec<Note>,
    /// Rules that were taken over from the previous table, compiled as they were.
    pub reused: usize,
}

/// What a rule's compiled form depends on beside its own source.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Environment {
    pub(crate) groups: Vec<(String, bool)>,
    pub(crate) pools: Vec<String>,
    /// Which tenants there are is looked up for each request, and is no part of a compiled rule.
    pub(crate) has_tenants: bool,
    pub(crate) limits: Limits,
}

impl Environment {
    fn new(names: &Names, limits: Limits) -> Environment {
        Environment {
            groups: names.groups.clone(),
            pools: names.pools.clone(),
            has_tenants: !names.tenants.is_empty(),
            limits,
        }
    }
}

type Tenants = FxHashMap<Box<str>, u16>;

impl Table {
    /// Reads, checks and compiles all rules.
    ///
    /// # Errors
    /// Every fault, up to fifty, in the order of the rules.
    pub fn build(
        rules: &[Rule],
        names: &Names,
        limits: Limits,
    ) -> Result<(Table, Vec<Note>), Vec<Fault>> {
        Table::build_from(None, rules, names, limits).map(|built| (built.table, built.notes))
    }

    /// As [`Table::build`], where rules that stand in `previous` as well are shared with it and neither read
    /// nor checked again. The outcome is the same table.
    ///
    /// # Errors
    /// Every fault, up to fifty, in the order of the rules.
    pub fn build_from(
        previous: Option<&Table>,
        rules: &[Rule],
        names: &Names,
        limits: Limits,
    ) -> Result<Built, Vec<Fault>> {
        if rules.len() > MOST_RULES {
            let what = format!("at most {MOST_RULES} are wanted, found {}", rules.len());
            return Err(vec![Fault {
                path: "rules".into(),
                what,
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
        for (place, rule) in rules.iter().enumerate() {
            if compiler.faults.len() >= MOST_FAULTS {
                break;
            }
            let source = source_digest(rule);
            let known = known.get(&source).map(|rule| Arc::clone(rule));
            reused += usize::from(known.is_some());
            let Some(rule) = known.or_else(|| compiler.rule(place, rule, source).map(Arc::new))
            else {
                continue;
            };
            shadows.add(place, &rule.condition, &rule.lifted);
            compiled.push(rule);
        }
        if !compiler.faults.is_empty() {
            return Err(compiler.faults);
        }
        let index = Index::new(compiled.iter().map(|rule| &rule.lifted[..]));
        let tenants = tenants(previous, &names.tenants);
        let table = Table {
            rules: compiled,
            index,
            tenants,
            environment,
        };
        Ok(Built {
            table,
            notes: shadows.into_notes(),
            reused,
        })
    }
}

/// The places of tenants by their names, shared with the previous table where they are the same.
fn tenants(previous: Option<&Table>, names: &[String]) -> Arc<Tenants> {
    let same = |tenants: &Tenants| {
        let has =
            |(place, name): (usize, &String)| tenants.get(name.as_str()) == Some(&(place as u16));
        tenants.len() == names.len() && names.iter().enumerate().all(has)
    };
    match previous
        .map(|table| &table.tenants)
        .filter(|tenants| same(tenants))
    {
        Some(tenants) => Arc::clone(tenants),
        None => {
            let place = |(place, name): (usize, &String)| (name.as_str().into(), place as u16);
            Arc::new(names.iter().enumerate().map(place).collect())
        }
    }
}
