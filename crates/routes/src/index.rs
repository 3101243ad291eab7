//! From a request to the rules whose conditions may hold: a superset, in order. Texts are kept by their hashes
//! alone, since a rule found by a collision is evaluated like any other.

use std::collections::BTreeMap;

use doortrack_expr::Request;
use rustc_hash::FxHashMap;

use crate::fnv1a;
use crate::predicates::{Attribute, Predicate};

/// Attributes that are looked up for each request; rules over further ones are evaluated in order.
const MAX_ATTRIBUTES: usize = 32;
/// Lists of rules that are merged without an allocation.
const INLINE_LISTS: usize = 48;

/// Where a rule is found: the index of an attribute, or [`PREFIX`], and the hash of its text.
type Key = (u16, u64);
/// Stands for a prefix of the path in a [`Key`].
const PREFIX: u16 = u16::MAX;

#[derive(Debug, Default)]
pub(crate) struct Index {
    /// Attributes that are looked up for each request.
    attributes: Vec<Attribute>,
    /// Rules by key, in order.
    postings: FxHashMap<Key, Vec<u32>>,
    /// Lengths of path prefixes, ascending.
    prefix_lengths: Vec<usize>,
    /// Rules that are under no key, in order.
    unindexed: Vec<u32>,
}

impl Index {
    /// Files each rule under the predicate of its condition that it shares with the fewest rules.
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
                Some((_, predicate, keys)) => index.file(rule as u32, predicate, keys),
                None => index.unindexed.push(rule as u32),
            }
        }
        index.prefix_lengths.sort_unstable();
        index.prefix_lengths.dedup();
        index
    }

    fn file(&mut self, rule: u32, predicate: &Predicate, keys: Vec<Key>) {
        if let Predicate::Prefix(start) = predicate {
            self.prefix_lengths.push(start.len());
        }
        for key in keys {
            let postings = self.postings.entry(key).or_default();
            // A text may stand twice in one list of texts.
            if postings.last() != Some(&rule) {
                postings.push(rule);
            }
        }
    }

    /// Rules that are under no key, and so are evaluated for every request.
    pub(crate) fn unindexed(&self) -> usize {
        self.unindexed.len()
    }

    /// The first rule, of those that may match, for which `holds` is true.
    pub(crate) fn first<R: Request>(
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
        self.find_prefixes(request.path().as_bytes(), &mut candidates);
        for (nth, attribute) in self.attributes.iter().enumerate() {
            if let Some(text) = attribute_text(request, attribute) {
                candidates.find(self, (nth as u16, fnv1a::hash(text)));
            }
        }
        candidates
    }

    fn find_prefixes<'i>(&'i self, path: &[u8], candidates: &mut Candidates<'i>) {
        let mut prefix_hash = fnv1a::EMPTY;
        let mut lengths = self.prefix_lengths.iter().peekable();
        for (nth, byte) in path.iter().enumerate() {
            if lengths.peek().is_none() {
                return;
            }
            prefix_hash = fnv1a::add(prefix_hash, *byte);
            if lengths.next_if(|length| **length == nth + 1).is_some() {
                candidates.find(self, (PREFIX, prefix_hash));
            }
        }
    }
}

/// The attributes that the most predicates compare, up to [`MAX_ATTRIBUTES`].
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

/// The keys under which a rule with this predicate can be found; none where its attribute is not looked up.
fn keys_of(predicate: &Predicate, indices: &BTreeMap<Attribute, u16>) -> Option<Vec<Key>> {
    match predicate {
        Predicate::Prefix(start) => Some(vec![(PREFIX, fnv1a::hash(start.as_bytes()))]),
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

/// Ascending lists of rules, merged as they are read.
struct Candidates<'i> {
    inline: [&'i [u32]; INLINE_LISTS],
    /// Lists in `inline`.
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

    fn find(&mut self, index: &'i Index, key: Key) {
        if let Some(list) = index.postings.get(&key) {
            self.push(list);
        }
    }

    /// The next rule in order. One is in two lists only by a clash of hashes, and asked twice then.
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
