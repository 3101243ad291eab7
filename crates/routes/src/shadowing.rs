//! Rules that can never win, since an earlier one takes all that they could.

use std::collections::BTreeMap;
use std::fmt;

use doortrack_expr::{Expr, Kind};
use rustc_hash::FxHashMap;
use sha2::{Digest as _, Sha256};

use crate::predicates::{self, Attribute, Predicate};

/// A rule that can never win, as an earlier one takes all that it could.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShadowedRule {
    /// The index of the rule.
    pub rule: usize,
    /// The index of the earlier rule.
    pub by: usize,
}

impl fmt::Display for ShadowedRule {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "rules[{}] can never win: rules[{}] before it takes all that it could",
            self.rule, self.by
        )
    }
}

/// Stands for a text of any length.
pub(crate) type Digest = [u8; 32];

/// What of a condition is compared with other conditions: digests of its parts.
#[derive(Debug)]
pub(crate) struct Condition {
    /// The parts that must all hold, in the order of their digests, each once.
    conjuncts: Vec<Digest>,
    /// All of them together.
    all: Digest,
    /// It is `true`.
    always: bool,
}

impl Condition {
    pub(crate) fn new(when: &Expr) -> Condition {
        let mut conjuncts: Vec<Digest> = predicates::conjuncts(when)
            .iter()
            .map(|conjunct| Sha256::digest(without_spans(conjunct)).into())
            .collect();
        conjuncts.sort_unstable();
        conjuncts.dedup();
        let all = Sha256::digest(conjuncts.as_flattened()).into();
        Condition {
            conjuncts,
            all,
            always: when.kind == Kind::Bool(true),
        }
    }
}

/// Finds rules that are shadowed by an earlier one, as far as that can be found at a cost that does not grow with
/// the number of rules: by the same condition, by one that always holds, by one that is a part of theirs.
#[derive(Default)]
pub(crate) struct Shadows {
    /// Conditions with one part only, by that part.
    single: FxHashMap<Digest, usize>,
    /// Conditions with several parts, by all of them.
    compound: FxHashMap<Digest, usize>,
    /// Path prefixes that are a condition by themselves.
    prefixes: BTreeMap<String, usize>,
    always: Option<usize>,
    found: Vec<ShadowedRule>,
}

impl Shadows {
    /// Takes the next rule; rules are to come in their order.
    pub(crate) fn add(&mut self, rule: usize, condition: &Condition, predicates: &[Predicate]) {
        if let Some(by) = self.first_before(condition, predicates) {
            self.found.push(ShadowedRule { rule, by });
            return;
        }
        if condition.always {
            self.always = Some(rule);
        }
        match (&condition.conjuncts[..], predicates) {
            ([_], [Predicate::Prefix(start)]) => _ = self.prefixes.insert(start.clone(), rule),
            ([conjunct], _) => _ = self.single.insert(*conjunct, rule),
            _ => _ = self.compound.insert(condition.all, rule),
        }
    }

    pub(crate) fn into_shadowed(self) -> Vec<ShadowedRule> {
        self.found
    }

    /// The first rule that takes all that this condition could.
    fn first_before(&self, condition: &Condition, predicates: &[Predicate]) -> Option<usize> {
        let mut first: Option<usize> = self.always;
        let mut earlier =
            |found: Option<&usize>| first = first.into_iter().chain(found.copied()).min();
        condition
            .conjuncts
            .iter()
            .for_each(|conjunct| earlier(self.single.get(conjunct)));
        earlier(self.compound.get(&condition.all));
        for part in predicates {
            match part {
                Predicate::Prefix(start) => self.prefixes_of(start, &mut earlier),
                Predicate::OneOf(Attribute::Path, texts) if texts.len() == 1 => {
                    self.prefixes_of(&texts[0], &mut earlier)
                }
                Predicate::OneOf(..) => {}
            }
        }
        first
    }

    fn prefixes_of(&self, path: &str, earlier: &mut impl FnMut(Option<&usize>)) {
        for end in (1..=path.len()).filter(|end| path.is_char_boundary(*end)) {
            earlier(self.prefixes.get(&path[..end]));
        }
    }
}

/// An expression without its spans, so that the same one reads the same wherever it stands.
fn without_spans(expr: &Expr) -> String {
    let all = |exprs: &[Expr]| {
        exprs
            .iter()
            .map(without_spans)
            .collect::<Vec<_>>()
            .join(",")
    };
    match &expr.kind {
        Kind::List(items) => format!("[{}]", all(items)),
        Kind::Not(operand) => format!("!({})", without_spans(operand)),
        Kind::Neg(operand) => format!("-({})", without_spans(operand)),
        Kind::All(parts) => format!("all({})", all(parts)),
        Kind::Any(parts) => format!("any({})", all(parts)),
        Kind::Binary(op, left, right) => {
            format!(
                "({}{}{})",
                without_spans(left),
                op.sign(),
                without_spans(right)
            )
        }
        Kind::If(when, then, other) => {
            format!(
                "if({},{},{})",
                without_spans(when),
                without_spans(then),
                without_spans(other)
            )
        }
        Kind::Let {
            name, value, body, ..
        } => {
            format!(
                "let({name},{},{})",
                without_spans(value),
                without_spans(body)
            )
        }
        Kind::Call { name, args, .. } => format!("{name}({})", all(args)),
        Kind::Each { name, body, .. } => format!("{name}->{}", without_spans(body)),
        other => format!("{other:?}"),
    }
}
