//! One rule, from its sources to the form that requests are asked with.

use doortrack_expr::{Expr, Program, Type, infer, infer_parsed, parse};
use rustc_hash::FxHashMap;
use sha2::{Digest as _, Sha256};

use crate::build::{Environment, Fault, Rule};
use crate::lift::{self, Part};
use crate::shadows::{Condition, Digest};

/// One rule, checked and compiled. Tables that have the same rule in the same environment share it.
#[derive(Debug)]
pub(crate) struct Compiled {
    /// A digest of the rule as it was written.
    pub(crate) source: Digest,
    pub(crate) when: Program,
    pub(crate) group: u8,
    pub(crate) tenant: Option<Program>,
    pub(crate) subject: Option<Program>,
    pub(crate) idempotency_key: Option<Program>,
    pub(crate) rank: Option<Program>,
    pub(crate) due: Option<Program>,
    pub(crate) pool: Option<u16>,
    /// What of its condition can be looked up.
    pub(crate) lifted: Box<[Part]>,
    pub(crate) condition: Condition,
}

/// A digest of all that a rule says.
pub(crate) fn source_digest(rule: &Rule) -> Digest {
    let Rule {
        when,
        group,
        tenant,
        subject,
        idempotency_key,
        rank,
        due,
        servers,
    } = rule;
    let mut digest = Sha256::new();
    for text in [Some(when), Some(group)]
        .into_iter()
        .chain([tenant, subject, idempotency_key, rank, due, servers].map(Option::as_ref))
    {
        // Lengths keep texts apart, and an absent one from an empty one.
        digest.update(
            text.map_or(u64::MAX, |text| text.len() as u64)
                .to_le_bytes(),
        );
        digest.update(text.map_or(&[][..], |text| text.as_bytes()));
    }
    digest.finalize().into()
}

/// Compiles rules, and collects what is wrong with them.
pub(crate) struct Compiler<'e> {
    environment: &'e Environment,
    groups: FxHashMap<&'e str, usize>,
    pub(crate) faults: Vec<Fault>,
}

impl<'e> Compiler<'e> {
    pub(crate) fn new(environment: &'e Environment) -> Compiler<'e> {
        let groups = environment
            .groups
            .iter()
            .enumerate()
            .map(|(place, (name, _))| (name.as_str(), place))
            .collect();
        Compiler {
            environment,
            groups,
            faults: Vec::new(),
        }
    }

    /// The rule at this place, or nothing where it has faults.
    pub(crate) fn rule(&mut self, place: usize, rule: &Rule, source: Digest) -> Option<Compiled> {
        let parsed = self.parsed(place, &rule.when);
        let when = parsed
            .as_ref()
            .and_then(|expr| self.condition(place, &rule.when, expr));
        let group = self.group(place, &rule.group);
        let mut optional = |key: &str, source: &Option<String>, types: &[Type]| {
            source
                .as_ref()
                .map(|source| self.program(place, key, source, types))
        };
        let tenant = optional("customer", &rule.tenant, &[Type::Str]);
        let subject = optional(
            "subject",
            &rule.subject,
            &[Type::Str, Type::Bytes, Type::Int],
        );
        let key = optional(
            "idempotency_key",
            &rule.idempotency_key,
            &[Type::Str, Type::Bytes],
        );
        let rank = optional("rank", &rule.rank, &[Type::Float]);
        let due = optional("due", &rule.due, &[Type::Duration]);
        let pool = rule.servers.as_ref().map(|name| self.pool(place, name));
        if key.is_some() && group.is_some_and(|group| !self.environment.groups[group].1) {
            let what = format!(
                "exchanges of '{}' are not deduplicated and carry none",
                rule.group
            );
            self.fault(place, "idempotency_key", what);
        }
        if tenant.is_some() && !self.environment.has_tenants {
            self.fault(place, "customer", "the deployment has no customers");
        }
        let expr = parsed?;
        // A part that is there and wrong was told, and takes the whole with it.
        Some(Compiled {
            source,
            when: when?,
            group: group? as u8,
            tenant: sound(tenant)?,
            subject: sound(subject)?,
            idempotency_key: sound(key)?,
            rank: sound(rank)?,
            due: sound(due)?,
            pool: sound(pool)?,
            lifted: lift::parts(&expr).into(),
            condition: Condition::new(&expr),
        })
    }

    fn fault(&mut self, place: usize, key: &str, what: impl Into<String>) {
        self.faults.push(Fault {
            path: format!("rules[{place}].{key}"),
            what: what.into(),
        });
    }

    fn parsed(&mut self, place: usize, when: &str) -> Option<Expr> {
        let told = |faults: Vec<_>| {
            faults
                .iter()
                .for_each(|fault: &doortrack_expr::Diagnostic| {
                    self.fault(place, "when", fault.line(when))
                });
        };
        parse(when).map_err(told).ok()
    }

    fn condition(&mut self, place: usize, source: &str, when: &Expr) -> Option<Program> {
        let found = infer_parsed(when, self.environment.limits);
        self.of_type(place, "when", source, found, &[Type::Bool])
    }

    fn program(
        &mut self,
        place: usize,
        key: &str,
        source: &str,
        types: &[Type],
    ) -> Option<Program> {
        let found = infer(source, self.environment.limits);
        self.of_type(place, key, source, found, types)
    }

    /// What was compiled, if its value is of one of these types; of a condition the type itself, of anything
    /// else also an optional one.
    fn of_type(
        &mut self,
        place: usize,
        key: &str,
        source: &str,
        found: Result<Program, Vec<doortrack_expr::Diagnostic>>,
        types: &[Type],
    ) -> Option<Program> {
        match found {
            Ok(program) => {
                let inner = if let Type::Optional(inner) = program.ty() {
                    inner
                } else {
                    program.ty()
                };
                if types.contains(inner) && (key != "when" || inner == program.ty()) {
                    return Some(program);
                }
                let wanted: Vec<String> = types.iter().map(Type::to_string).collect();
                let what = format!(
                    "{} is wanted, this is {}",
                    wanted.join(" or "),
                    program.ty()
                );
                self.fault(place, key, what);
            }
            Err(faults) => faults
                .iter()
                .for_each(|fault| self.fault(place, key, fault.line(source))),
        }
        None
    }

    fn group(&mut self, place: usize, name: &str) -> Option<usize> {
        let group = self.groups.get(name).copied();
        if group.is_none() {
            let known: Vec<&str> = self
                .environment
                .groups
                .iter()
                .map(|(name, _)| name.as_str())
                .collect();
            let what = format!(
                "'{name}' is none of the endpoint groups {}",
                known.join(", ")
            );
            self.fault(place, "group", what);
        }
        group
    }

    fn pool(&mut self, place: usize, name: &str) -> Option<u16> {
        let pool = self.environment.pools.iter().position(|pool| pool == name);
        if pool.is_none() {
            let known = self.environment.pools.join(", ");
            self.fault(
                place,
                "servers",
                format!("'{name}' is none of the pools {known}"),
            );
        }
        pool.map(|pool| pool as u16)
    }
}

/// Nothing where there was nothing; nothing at all where it was wrong.
#[expect(
    clippy::option_option,
    reason = "three cases that each mean something else"
)]
fn sound<T>(part: Option<Option<T>>) -> Option<Option<T>> {
    match part {
        None => Some(None),
        Some(found) => found.map(Some),
    }
}
