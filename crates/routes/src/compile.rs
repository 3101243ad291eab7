//! Compiles one rule from its source expressions.

use doortrack_expr::{Expr, Program, Type, infer, infer_parsed, parse};
use rustc_hash::FxHashMap;
use sha2::{Digest as _, Sha256};

use crate::idempotency::{KeyExpression, KeyProgram};
use crate::predicates::{self, Predicate};
use crate::rule::{Environment, Rule, RuleError};
use crate::shadowing::{Condition, Digest};

/// A checked and compiled rule. Tables that have the same rule in the same environment share it.
#[derive(Debug)]
pub(crate) struct CompiledRule {
    /// Digest of the rule in source form.
    pub(crate) source: Digest,
    pub(crate) when: Program,
    pub(crate) group: u8,
    pub(crate) tenant: Option<Program>,
    pub(crate) session_key: Option<Program>,
    pub(crate) idempotency_key: Option<KeyExpression<KeyProgram>>,
    pub(crate) rank: Option<Program>,
    pub(crate) timeout: Option<Program>,
    pub(crate) pool: Option<u16>,
    /// The parts of the condition that can be looked up in the index.
    pub(crate) predicates: Box<[Predicate]>,
    pub(crate) condition: Condition,
}

/// Returns a digest of all fields of a rule.
pub(crate) fn source_digest(rule: &Rule) -> Digest {
    let Rule {
        when,
        group,
        tenant,
        session_key,
        idempotency_key,
        rank,
        timeout,
        pool,
    } = rule;
    let mut digest = Sha256::new();
    for text in [Some(when), Some(group)]
        .into_iter()
        .chain([tenant, session_key, idempotency_key, rank, timeout, pool].map(Option::as_ref))
    {
        // The lengths separate adjacent strings and distinguish an absent string from an empty one.
        digest.update(
            text.map_or(u64::MAX, |text| text.len() as u64)
                .to_le_bytes(),
        );
        digest.update(text.map_or(&[][..], |text| text.as_bytes()));
    }
    digest.finalize().into()
}

/// Compiles rules and collects their errors.
pub(crate) struct Compiler<'e> {
    environment: &'e Environment,
    groups: FxHashMap<&'e str, usize>,
    pub(crate) errors: Vec<RuleError>,
}

impl<'e> Compiler<'e> {
    pub(crate) fn new(environment: &'e Environment) -> Compiler<'e> {
        let groups = environment
            .groups
            .iter()
            .enumerate()
            .map(|(index, group)| (group.name.as_str(), index))
            .collect();
        Compiler {
            environment,
            groups,
            errors: Vec::new(),
        }
    }

    /// Compiles the rule at this index, or returns `None` if it has errors.
    pub(crate) fn compile_rule(
        &mut self,
        index: usize,
        rule: &Rule,
        source: Digest,
    ) -> Option<CompiledRule> {
        let parsed = self.parse_condition(index, &rule.when);
        let when = parsed
            .as_ref()
            .and_then(|expr| self.compile_condition(index, &rule.when, expr));
        let group = self.group_index(index, &rule.group);
        let tenant = self.compile_optional(index, "customer", &rule.tenant, &[Type::Str]);
        let session_key = self.compile_optional(
            index,
            "subject",
            &rule.session_key,
            &[Type::Str, Type::Bytes, Type::Int],
        );
        let key = rule.idempotency_key.as_ref();
        let key = key.map(|source| self.compile_key(index, source));
        let rank = self.compile_optional(index, "rank", &rule.rank, &[Type::Float]);
        let timeout = self.compile_optional(index, "due", &rule.timeout, &[Type::Duration]);
        let pool = rule.pool.as_ref().map(|name| self.pool_index(index, name));
        if key.is_some() && group.is_some_and(|group| !self.environment.groups[group].deduplicated)
        {
            let message = format!(
                "exchanges of '{}' are not deduplicated and carry none",
                rule.group
            );
            self.error(index, "idempotency_key", message);
        }
        if tenant.is_some() && !self.environment.has_tenants {
            self.error(index, "customer", "the deployment has no customers");
        }
        let expr = parsed?;
        // Errors were reported above; a rule with an error is not compiled.
        Some(CompiledRule {
            source,
            when: when?,
            group: group? as u8,
            tenant: compiled(tenant)?,
            session_key: compiled(session_key)?,
            idempotency_key: compiled(key)?,
            rank: compiled(rank)?,
            timeout: compiled(timeout)?,
            pool: compiled(pool)?,
            predicates: predicates::predicates(&expr).into(),
            condition: Condition::new(&expr),
        })
    }

    fn error(&mut self, index: usize, key: &str, message: impl Into<String>) {
        self.errors.push(RuleError {
            path: format!("rules[{index}].{key}"),
            message: message.into(),
        });
    }

    fn parse_condition(&mut self, index: usize, when: &str) -> Option<Expr> {
        let report = |errors: Vec<_>| {
            errors
                .iter()
                .for_each(|error: &doortrack_expr::Diagnostic| {
                    self.error(index, "when", error.line(when))
                });
        };
        parse(when).map_err(report).ok()
    }

    fn compile_condition(&mut self, index: usize, source: &str, when: &Expr) -> Option<Program> {
        let result = infer_parsed(when, self.environment.limits);
        self.check_type(index, "when", source, result, &[Type::Bool])
    }

    fn compile_expression(
        &mut self,
        index: usize,
        key: &str,
        source: &str,
        types: &[Type],
    ) -> Option<Program> {
        let result = infer(source, self.environment.limits);
        self.check_type(index, key, source, result, types)
    }

    /// Compiles an expression that a rule may leave out.
    #[expect(
        clippy::option_option,
        reason = "absent, failed and compiled are three different cases"
    )]
    fn compile_optional(
        &mut self,
        index: usize,
        key: &str,
        source: &Option<String>,
        types: &[Type],
    ) -> Option<Option<Program>> {
        let source = source.as_ref()?;
        Some(self.compile_expression(index, key, source, types))
    }

    /// Compiles the expression for an idempotency key, as a whole to check it and then by its alternatives.
    fn compile_key(&mut self, index: usize, source: &str) -> Option<KeyExpression<KeyProgram>> {
        let types = [Type::Str, Type::Bytes];
        self.compile_expression(index, "idempotency_key", source, &types)?;
        let expr = parse(source).ok()?;
        let limits = self.environment.limits;
        KeyExpression::new(&expr).compile(&mut |part| infer_parsed(part, limits).ok())
    }

    /// Returns the compiled program if its type is one of `types`, or an optional of one of them unless `key` is
    /// `when`; reports an error otherwise.
    fn check_type(
        &mut self,
        index: usize,
        key: &str,
        source: &str,
        result: Result<Program, Vec<doortrack_expr::Diagnostic>>,
        types: &[Type],
    ) -> Option<Program> {
        match result {
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
                let message = format!(
                    "{} is wanted, this is {}",
                    wanted.join(" or "),
                    program.ty()
                );
                self.error(index, key, message);
            }
            Err(errors) => errors
                .iter()
                .for_each(|error| self.error(index, key, error.line(source))),
        }
        None
    }

    fn group_index(&mut self, index: usize, name: &str) -> Option<usize> {
        let group = self.groups.get(name).copied();
        if group.is_none() {
            let known: Vec<&str> = self
                .environment
                .groups
                .iter()
                .map(|group| group.name.as_str())
                .collect();
            let message = format!(
                "'{name}' is none of the endpoint groups {}",
                known.join(", ")
            );
            self.error(index, "group", message);
        }
        group
    }

    fn pool_index(&mut self, index: usize, name: &str) -> Option<u16> {
        let pool = self.environment.pools.iter().position(|pool| pool == name);
        if pool.is_none() {
            let known = self.environment.pools.join(", ");
            self.error(
                index,
                "servers",
                format!("'{name}' is none of the pools {known}"),
            );
        }
        pool.map(|pool| pool as u16)
    }
}

/// Returns `Some(None)` if the rule does not have the key, and `None` if its expression has an error.
#[expect(
    clippy::option_option,
    reason = "absent, failed and compiled are three different cases"
)]
fn compiled<T>(part: Option<Option<T>>) -> Option<Option<T>> {
    match part {
        None => Some(None),
        Some(result) => result.map(Some),
    }
}
