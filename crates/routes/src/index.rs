//! From what a request has to the rules whose conditions may hold: a superset, in order. Texts are kept by
//! their hashes alone, as a rule that comes up by chance is asked its whole condition like any other.

use std::collections::BTreeMap;

use doortrack_expr::Request;
use rustc_hash::FxHashMap;

use crate::lift::{Part, Place};

/// Places that are looked up for each request; rules over more of them are asked in order.
const MOST_PLACES: usize = 32;
/// Lists of rules that are gone through side by side without taking memory for it.
const LISTS: usize = 48;

const EMPTY: u64 = 0xcbf2_9ce4_8422_2325;

fn add(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
}

fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(EMPTY, |hash, byte| add(hash, *byte))
}

/// Where a rule is found: by the start of the path, or by the text at a place.
type Key = (u16, u64);
const PREFIX: u16 = u16::MAX;

#[derive(Debug, Default)]
pub(crate) struct Index {
    places: Vec<Place>,
    lists: FxHashMap<Key, Vec<u32>>,
    /// Lengths that starts of the path have.
    lengths: Vec<usize>,
    rest: Vec<u32>,
}

impl Index {
    /// Files each rule under the part of its condition that it shares with the fewest.
    pub(crate) fn new<'p>(parts: impl Iterator<Item = &'p [Part]> + Clone) -> Index {
        let mut index = Index::default();
        let mut places: BTreeMap<&Place, usize> = BTreeMap::new();
        for part in parts.clone().flatten() {
            if let Part::OneOf(place, _) = part {
                *places.entry(place).or_default() += 1;
            }
        }
        let mut by_use: Vec<(&Place, usize)> = places.into_iter().collect();
        by_use.sort_by_key(|(place, uses)| (std::cmp::Reverse(*uses), (*place).clone()));
        index.places = by_use
            .into_iter()
            .take(MOST_PLACES)
            .map(|(place, _)| place.clone())
            .collect();
        let place_of: BTreeMap<Place, u16> = index
            .places
            .iter()
            .enumerate()
            .map(|(nth, place)| (place.clone(), nth as u16))
            .collect();
        let keys = |part: &Part| -> Option<Vec<Key>> {
            match part {
                Part::Prefix(start) => Some(vec![(PREFIX, hash(start.as_bytes()))]),
                Part::OneOf(place, texts) => {
                    let place = *place_of.get(place)?;
                    Some(
                        texts
                            .iter()
                            .map(|text| (place, hash(text.as_bytes())))
                            .collect(),
                    )
                }
            }
        };
        let mut shared: FxHashMap<Key, usize> = FxHashMap::default();
        for key in parts.clone().flatten().filter_map(keys).flatten() {
            *shared.entry(key).or_default() += 1;
        }
        for (rule, parts) in parts.enumerate() {
            let cost = |keys: &Vec<Key>| keys.iter().map(|key| shared[key]).sum::<usize>();
            let best = parts
                .iter()
                .filter_map(|part| keys(part).map(|keys| (cost(&keys), part, keys)));
            let Some((_, part, keys)) = best.min_by_key(|(cost, ..)| *cost) else {
                index.rest.push(rule as u32);
                continue;
            };
            if let Part::Prefix(start) = part {
                index.lengths.push(start.len());
            }
            for key in keys {
                let list = index.lists.entry(key).or_default();
                // A text may stand twice in one list of texts.
                if list.last() != Some(&(rule as u32)) {
                    list.push(rule as u32);
                }
            }
        }
        index.lengths.sort_unstable();
        index.lengths.dedup();
        // Places that no rule was filed under in the end are not looked up.
        index
    }

    pub(crate) fn rest(&self) -> usize {
        self.rest.len()
    }

    /// Rules that may match, in order, until one does: the first for which `holds` says so.
    pub(crate) fn first<R: Request>(
        &self,
        request: &R,
        mut holds: impl FnMut(u32) -> bool,
    ) -> Option<u32> {
        let mut lists = Lists {
            few: [&[]; LISTS],
            count: 0,
            more: Vec::new(),
        };
        lists.push(&self.rest);
        let path = request.path().as_bytes();
        let (mut so_far, mut lengths) = (EMPTY, self.lengths.iter().peekable());
        for (nth, byte) in path.iter().enumerate() {
            if lengths.peek().is_none() {
                break;
            }
            so_far = add(so_far, *byte);
            if lengths.next_if(|length| **length == nth + 1).is_some() {
                lists.find(self, (PREFIX, so_far));
            }
        }
        for (nth, place) in self.places.iter().enumerate() {
            let text = match place {
                Place::Path => Some(path),
                Place::Method => Some(request.method().as_bytes()),
                Place::Front => Some(request.front().as_bytes()),
                Place::Variable(name) => request.variable(name),
                Place::Segment(nth) => {
                    let path = path.strip_prefix(b"/").unwrap_or(path);
                    path.split(|byte| *byte == b'/').nth(*nth)
                }
            };
            if let Some(text) = text {
                lists.find(self, (nth as u16, hash(text)));
            }
        }
        while let Some(rule) = lists.next() {
            if holds(rule) {
                return Some(rule);
            }
        }
        None
    }
}

/// Lists in ascending order, gone through as one.
struct Lists<'i> {
    few: [&'i [u32]; LISTS],
    count: usize,
    more: Vec<&'i [u32]>,
}

impl<'i> Lists<'i> {
    fn push(&mut self, list: &'i [u32]) {
        if list.is_empty() {
            return;
        }
        match self.few.get_mut(self.count) {
            Some(place) => {
                *place = list;
                self.count += 1;
            }
            None => self.more.push(list),
        }
    }

    fn find(&mut self, index: &'i Index, key: Key) {
        if let Some(list) = index.lists.get(&key) {
            self.push(list);
        }
    }

    /// The next rule in order. One is in two lists only by a clash of hashes, and asked twice then.
    fn next(&mut self) -> Option<u32> {
        let all = self.few[..self.count].iter_mut().chain(&mut self.more);
        let list = all
            .filter(|list| !list.is_empty())
            .min_by_key(|list| list[0])?;
        let first = list[0];
        *list = &list[1..];
        Some(first)
    }
}
