//! How the rules of an installation determine idempotency keys. This must not change while keys are within their
//! dedup window: the same request could arrive again with another key and run twice.

use std::collections::HashMap;

use doortrack_routes::key_meaning;
use sha2::{Digest as _, Sha256};

use crate::Installation;
use crate::node_config::Digest;
use crate::rules::ExpressionLimits;

/// Digests, by endpoint group, of everything that the idempotency keys of the group depend on: which requests belong
/// to the group, and which key each of them has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyMeanings {
    /// Whether requests are classified by rules instead of the platform's variables.
    by_rules: bool,
    /// Whether the installation has listeners, to which the rules apply.
    has_listeners: bool,
    /// Digests by group index, `None` for groups that neither a rule nor `otherwise` names.
    groups: Vec<Option<Digest>>,
}

impl KeyMeanings {
    /// Computes the digests in one pass over the rules.
    pub fn new(installation: &Installation, group_names: &[String]) -> KeyMeanings {
        let indices: HashMap<&str, usize> = group_names
            .iter()
            .enumerate()
            .map(|(index, name)| (name.as_str(), index))
            .collect();
        let index_of = |name: &str| indices.get(name).copied();
        // Includes all earlier conditions: an earlier rule may match requests that a later one matched before.
        let mut conditions = limits_digest(installation.expressions);
        let mut groups: Vec<Option<Sha256>> = vec![None; group_names.len()];
        for (position, rule) in installation.rules.iter().enumerate() {
            add_text(&mut conditions, &rule.when);
            let Some(index) = index_of(&rule.group) else {
                continue;
            };
            let group = groups[index].get_or_insert_default();
            group.update((position as u64).to_le_bytes());
            group.update(conditions.clone().finalize());
            group.update(key_meaning(rule.idempotency_key.as_deref()));
        }
        if let Some(index) = installation.fallback_group.as_deref().and_then(index_of) {
            let group = groups[index].get_or_insert_default();
            group.update(u64::MAX.to_le_bytes());
            group.update(conditions.finalize());
        }
        let digest = |group: Option<Sha256>| group.map(|group| group.finalize().into());
        KeyMeanings {
            by_rules: !installation.rules.is_empty(),
            has_listeners: !installation.listeners.is_empty(),
            groups: groups.into_iter().map(digest).collect(),
        }
    }

    /// Returns the indices of the groups whose keys are determined differently by `new`.
    pub fn changed(&self, new: &KeyMeanings) -> Vec<usize> {
        // Without rules, variables may have put any request into any group.
        let all = self.has_listeners && !self.by_rules && new.by_rules;
        let indices = 0..self.groups.len().max(new.groups.len());
        let differs = |index: &usize| all || self.groups.get(*index) != new.groups.get(*index);
        indices.filter(differs).collect()
    }
}

/// Starts a digest with the limits that determine which part of a request expressions can read.
fn limits_digest(limits: ExpressionLimits) -> Sha256 {
    let mut digest = Sha256::new();
    for limit in [limits.max_cost, limits.variable_bytes, limits.body_bytes] {
        digest.update(limit.to_le_bytes());
    }
    digest
}

/// Adds a string and its length, which separates adjacent strings.
fn add_text(digest: &mut Sha256, text: &str) {
    digest.update((text.len() as u64).to_le_bytes());
    digest.update(text);
}
