//! Detects rules that can never match, since an earlier rule matches all their requests.

use std::collections::BTreeMap;
use std::fmt;

use doortrack_expr::{Expr, Kind};
use rustc_hash::FxHashMap;
use sha2::{Digest as _, Sha256};

use crate::canonical::without_spans;
use crate::predicates::{self, Attribute, Predicate};

/// A rule that can never match, since an earlier rule matches all its requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShadowedRule {
    /// Index of the rule that can never match.
    pub rule: usize,
    /// Index of the earlier rule.
    pub by: usize,
}

impl fmt::Display for ShadowedRule {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "rules[{}] can never match: the earlier rules[{}] matches all its requests",
            self.rule, self.by
        )
    }
}

/// SHA-256 digest of a text.
pub(crate) type Digest = [u8; 32];

/// Digests of the parts of a condition, for comparison with other conditions.
#[derive(Debug)]
pub(crate) struct Condition {
    /// Digests of the conjuncts, sorted and without duplicates.
    conjuncts: Vec<Digest>,
    /// Digest of all conjuncts.
    all: Digest,
    /// Whether the condition is the literal `true`.
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

/// Finds rules that are shadowed by an earlier rule. The cost per rule does not grow with the number of rules, so
/// only these cases are found: the earlier condition is the same, is `true`, is one of the conjuncts, or is a path
/// prefix that a conjunct implies.
#[derive(Default)]
pub(crate) struct ShadowDetector {
    /// Rules with a single conjunct, by its digest.
    single: FxHashMap<Digest, usize>,
    /// Rules with several conjuncts, by the digest of all.
    compound: FxHashMap<Digest, usize>,
    /// Rules whose whole condition is a path prefix, by the prefix.
    prefixes: BTreeMap<String, usize>,
    /// Rule whose condition is `true`.
    always: Option<usize>,
    found: Vec<ShadowedRule>,
}

impl ShadowDetector {
    /// Adds the next rule. Rules have to be added in order.
    pub(crate) fn add(&mut self, rule: usize, condition: &Condition, predicates: &[Predicate]) {
        if let Some(by) = self.first_shadowing(condition, predicates) {
            self.found.push(ShadowedRule { rule, by });
            return;
        }
        if condition.always {
            self.always = Some(rule);
        }
        match (&condition.conjuncts[..], predicates) {
            ([_], [Predicate::Prefix(prefix)]) => _ = self.prefixes.insert(prefix.clone(), rule),
            ([conjunct], _) => _ = self.single.insert(*conjunct, rule),
            _ => _ = self.compound.insert(condition.all, rule),
        }
    }

    pub(crate) fn into_shadowed(self) -> Vec<ShadowedRule> {
        self.found
    }

    /// Returns the first rule that matches all requests for which the condition holds.
    fn first_shadowing(&self, condition: &Condition, predicates: &[Predicate]) -> Option<usize> {
        let mut first: Option<usize> = self.always;
        let mut consider =
            |found: Option<&usize>| first = first.into_iter().chain(found.copied()).min();
        condition
            .conjuncts
            .iter()
            .for_each(|conjunct| consider(self.single.get(conjunct)));
        consider(self.compound.get(&condition.all));
        for part in predicates {
            match part {
                Predicate::Prefix(prefix) => self.prefixes_of(prefix, &mut consider),
                Predicate::OneOf(Attribute::Path, texts) if texts.len() == 1 => {
                    self.prefixes_of(&texts[0], &mut consider)
                }
                Predicate::OneOf(..) => {}
            }
        }
        first
    }

    /// Calls `consider` with each rule whose path prefix is a prefix of `path`.
    fn prefixes_of(&self, path: &str, consider: &mut impl FnMut(Option<&usize>)) {
        for end in (1..=path.len()).filter(|end| path.is_char_boundary(*end)) {
            consider(self.prefixes.get(&path[..end]));
        }
    }
}
