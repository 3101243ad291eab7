//! Index from a request to the rules whose conditions may hold: a superset of the matching rules, in rule order.
//! Strings are indexed by hash only: a rule that is found by a hash collision is evaluated like any other.

use std::collections::BTreeMap;

use doortrack_expr::Request;
use rustc_hash::FxHashMap;

use crate::fnv1a;
use crate::predicates::{Attribute, Predicate};

/// Maximum number of attributes that are looked up for each request. Predicates on further attributes are not
/// indexed.
const MAX_ATTRIBUTES: usize = 32;
/// Number of rule lists that [`Candidates`] merges without a heap allocation.
const INLINE_LISTS: usize = 48;

/// Key of a posting list: the index of an attribute, or [`PREFIX`], and the hash of the compared string.
type Key = (u16, u64);
/// Marks a [`Key`] of a path prefix.
const PREFIX: u16 = u16::MAX;

#[derive(Debug, Default)]
pub(crate) struct Index {
    /// Attributes that are looked up for each request.
    attributes: Vec<Attribute>,
    /// Posting lists: rule indices by key, ascending.
    postings: FxHashMap<Key, Vec<u32>>,
    /// Lengths of the indexed path prefixes in bytes, ascending.
    prefix_lengths: Vec<usize>,
    /// Rules that are in no posting list, ascending.
    unindexed: Vec<u32>,
}

impl Index {
    /// Indexes each rule by the predicate of its condition that the fewest rules share.
    pub(crate) fn new<'p>(rules: impl Iterator<Item = &'p [Predicate]> + Clone) -> Index {
        let mut index = Index {
            attributes: most_used_attributes(rules.clone().flatten()),
            ..Index::default()
        };
        let indices: BTreeMap<Attribute, u16> = index
            .attributes
            .iter()
            .enumerate()
            .map(|(nth, attribute)| (attribute.clone(), nth as u16))
            .collect();
        let keys = |predicate: &Predicate| keys_of(predicate, &indices);
        let mut uses: FxHashMap<Key, usize> = FxHashMap::default();
        for key in rules.clone().flatten().filter_map(keys).flatten() {
            *uses.entry(key).or_default() += 1;
        }
        for (rule, predicates) in rules.enumerate() {
            let cost = |keys: &Vec<Key>| keys.iter().map(|key| uses[key]).sum::<usize>();
            let candidates = predicates
                .iter()
                .filter_map(|predicate| keys(predicate).map(|keys| (cost(&keys), predicate, keys)));
            match candidates.min_by_key(|(cost, ..)| *cost) {
                Some((_, predicate, keys)) => index.insert(rule as u32, predicate, keys),
                None => index.unindexed.push(rule as u32),
            }
        }
        index.prefix_lengths.sort_unstable();
        index.prefix_lengths.dedup();
        index
    }

    fn insert(&mut self, rule: u32, predicate: &Predicate, keys: Vec<Key>) {
        if let Predicate::Prefix(prefix) = predicate {
            self.prefix_lengths.push(prefix.len());
        }
        for key in keys {
            let postings = self.postings.entry(key).or_default();
            // A list of strings may contain the same string twice.
            if postings.last() != Some(&rule) {
                postings.push(rule);
            }
        }
    }

    /// The number of rules in no posting list, which are evaluated for every request.
    pub(crate) fn unindexed(&self) -> usize {
        self.unindexed.len()
    }

    /// Returns the first candidate rule for which `holds` returns true.
    pub(crate) fn first_match<R: Request>(
        &self,
        request: &R,
        mut holds: impl FnMut(u32) -> bool,
    ) -> Option<u32> {
        let mut candidates = self.candidates(request);
        while let Some(rule) = candidates.next() {
            if holds(rule) {
                return Some(rule);
            }
        }
        None
    }

    fn candidates<R: Request>(&self, request: &R) -> Candidates<'_> {
        let mut candidates = Candidates {
            inline: [&[]; INLINE_LISTS],
            count: 0,
            overflow: Vec::new(),
        };
        candidates.push(&self.unindexed);
        self.push_prefixes(request.path().as_bytes(), &mut candidates);
        for (nth, attribute) in self.attributes.iter().enumerate() {
            if let Some(text) = attribute_text(request, attribute) {
                candidates.push_postings(self, (nth as u16, fnv1a::hash(text)));
            }
        }
        candidates
    }

    fn push_prefixes<'i>(&'i self, path: &[u8], candidates: &mut Candidates<'i>) {
        let mut prefix_hash = fnv1a::EMPTY;
        let mut lengths = self.prefix_lengths.iter().peekable();
        for (nth, byte) in path.iter().enumerate() {
            if lengths.peek().is_none() {
                return;
            }
            prefix_hash = fnv1a::add(prefix_hash, *byte);
            if lengths.next_if(|length| **length == nth + 1).is_some() {
                candidates.push_postings(self, (PREFIX, prefix_hash));
            }
        }
    }
}

/// Returns the [`MAX_ATTRIBUTES`] attributes that occur in the most predicates.
fn most_used_attributes<'p>(predicates: impl Iterator<Item = &'p Predicate>) -> Vec<Attribute> {
    let mut uses: BTreeMap<&Attribute, usize> = BTreeMap::new();
    for predicate in predicates {
        if let Predicate::OneOf(attribute, _) = predicate {
            *uses.entry(attribute).or_default() += 1;
        }
    }
    let mut by_use: Vec<(&Attribute, usize)> = uses.into_iter().collect();
    by_use.sort_by_key(|(attribute, uses)| (std::cmp::Reverse(*uses), (*attribute).clone()));
    by_use
        .into_iter()
        .take(MAX_ATTRIBUTES)
        .map(|(attribute, _)| attribute.clone())
        .collect()
}

/// Returns the keys that index a rule by this predicate, or `None` if the attribute is not looked up.
fn keys_of(predicate: &Predicate, indices: &BTreeMap<Attribute, u16>) -> Option<Vec<Key>> {
    match predicate {
        Predicate::Prefix(prefix) => Some(vec![(PREFIX, fnv1a::hash(prefix.as_bytes()))]),
        Predicate::OneOf(attribute, texts) => {
            let index = *indices.get(attribute)?;
            let key = |text: &String| (index, fnv1a::hash(text.as_bytes()));
            Some(texts.iter().map(key).collect())
        }
    }
}

fn attribute_text<'r, R: Request>(request: &'r R, attribute: &Attribute) -> Option<&'r [u8]> {
    match attribute {
        Attribute::Path => Some(request.path().as_bytes()),
        Attribute::Method => Some(request.method().as_bytes()),
        Attribute::Front => Some(request.front().as_bytes()),
        Attribute::Variable(name) => request.variable(name),
        Attribute::Segment(nth) => {
            let path = request.path().as_bytes();
            let path = path.strip_prefix(b"/").unwrap_or(path);
            path.split(|byte| *byte == b'/').nth(*nth)
        }
    }
}

/// Merges ascending rule lists while they are read.
struct Candidates<'i> {
    inline: [&'i [u32]; INLINE_LISTS],
    /// Number of lists in `inline`.
    count: usize,
    overflow: Vec<&'i [u32]>,
}

impl<'i> Candidates<'i> {
    fn push(&mut self, list: &'i [u32]) {
        if list.is_empty() {
            return;
        }
        match self.inline.get_mut(self.count) {
            Some(slot) => {
                *slot = list;
                self.count += 1;
            }
            None => self.overflow.push(list),
        }
    }

    fn push_postings(&mut self, index: &'i Index, key: Key) {
        if let Some(list) = index.postings.get(&key) {
            self.push(list);
        }
    }

    /// Returns the next rule in order. A rule is in two lists only after a hash collision, and is then returned
    /// twice.
    fn next(&mut self) -> Option<u32> {
        let all = self.inline[..self.count]
            .iter_mut()
            .chain(&mut self.overflow);
        let list = all
            .filter(|list| !list.is_empty())
            .min_by_key(|list| list[0])?;
        let first = list[0];
        *list = &list[1..];
        Some(first)
    }
}
