//! What idempotency keys mean by the rules of an installation. While keys are within their window it must
//! not change: the same request could come again under another one, and run twice.

use std::collections::HashMap;

use sha2::{Digest as _, Sha256};

use crate::Installation;

type Digest = [u8; 32];

/// For each endpoint group a digest of all that leads to its keys: which requests are of the group, and
/// which key each has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyMeanings {
    /// Whether requests of fronts are classed by rules, or by the platform's variables.
    by_rules: bool,
    /// Whether there are fronts, which rules are for.
    has_fronts: bool,
    /// By the place of the group; none where neither a rule nor `otherwise` names it.
    groups: Vec<Option<Digest>>,
}

impl KeyMeanings {
    /// Reads each rule once, at a cost that does not grow with the number of groups.
    pub fn new(installation: &Installation, group_names: &[String]) -> KeyMeanings {
        let places: HashMap<&str, usize> = group_names
            .iter()
            .enumerate()
            .map(|(place, name)| (name.as_str(), place))
            .collect();
        let place = |name: &str| places.get(name).copied();
        // All conditions so far: a rule before may take what one after it took.
        let mut conditions = Sha256::new();
        let limits = installation.expressions;
        for limit in [limits.max_cost, limits.variable_bytes, limits.body_bytes] {
            conditions.update(limit.to_le_bytes());
        }
        let mut groups: Vec<Option<Sha256>> = vec![None; group_names.len()];
        for (nth, rule) in installation.rules.iter().enumerate() {
            add_text(&mut conditions, Some(&rule.when));
            let Some(place) = place(&rule.group) else {
                continue;
            };
            let group = groups[place].get_or_insert_default();
            group.update((nth as u64).to_le_bytes());
            group.update(conditions.clone().finalize());
            add_text(group, rule.idempotency_key.as_deref());
        }
        if let Some(place) = installation.otherwise.as_deref().and_then(place) {
            let group = groups[place].get_or_insert_default();
            group.update(u64::MAX.to_le_bytes());
            group.update(conditions.finalize());
        }
        let digest = |group: Option<Sha256>| group.map(|group| group.finalize().into());
        KeyMeanings {
            by_rules: !installation.rules.is_empty(),
            has_fronts: !installation.fronts.is_empty(),
            groups: groups.into_iter().map(digest).collect(),
        }
    }

    /// The places of the groups whose keys mean something else by `new`.
    pub fn changed(&self, new: &KeyMeanings) -> Vec<usize> {
        // Where variables alone said what a request is, any group may have been one's own.
        let all = self.has_fronts && !self.by_rules && new.by_rules;
        let places = 0..self.groups.len().max(new.groups.len());
        let differs = |place: &usize| all || self.groups.get(*place) != new.groups.get(*place);
        places.filter(differs).collect()
    }
}

fn add_text(digest: &mut Sha256, text: Option<&str>) {
    // Lengths keep texts apart, and an absent one from an empty one.
    digest.update(
        text.map_or(u64::MAX, |text| text.len() as u64)
            .to_le_bytes(),
    );
    digest.update(text.unwrap_or_default());
}
