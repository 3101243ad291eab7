//! Tracks whether all live machines have equal views, and since when.

use std::collections::BTreeMap;

use doortrack_simulation::Micros;

use super::topology::{REGIONS, Topology};

/// Digest and member count of one live machine's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewSummary {
    pub digest: u64,
    pub members: usize,
}

/// The agreement from a time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct State {
    pub since: Micros,
    /// The views of all live machines contain exactly the live machines.
    pub all_agree: bool,
    /// By region: the views of its live machines contain exactly the live machines of the region.
    pub region_agrees: [bool; REGIONS],
}

/// Number of live machines of a region with the same view, and number of members in it.
#[derive(Clone, Copy, Debug, Default)]
struct Holders {
    machines: usize,
    members: usize,
}

/// Tracks every change of every view.
pub struct Agreement {
    regions: Vec<usize>,
    held: Vec<Option<ViewSummary>>,
    /// By region and digest of the view.
    views: [BTreeMap<u64, Holders>; REGIONS],
    live: [usize; REGIONS],
    /// All changes of the agreement in chronological order.
    states: Vec<State>,
}

impl Agreement {
    pub fn new(topology: Topology) -> Agreement {
        Agreement {
            regions: (0..topology.machines())
                .map(|machine| topology.region(machine))
                .collect(),
            held: vec![None; topology.machines()],
            views: Default::default(),
            live: [0; REGIONS],
            states: Vec::new(),
        }
    }

    /// Records the new view of a machine; None if the machine is not live.
    pub fn record_view(&mut self, now: Micros, machine: usize, held: Option<ViewSummary>) {
        let before = std::mem::replace(&mut self.held[machine], held);
        if before == held {
            return;
        }
        let region = self.regions[machine];
        let views = &mut self.views[region];
        if let Some(before) = before {
            self.live[region] -= 1;
            if let Some(holders) = views.get_mut(&before.digest) {
                holders.machines -= 1;
                if holders.machines == 0 {
                    views.remove(&before.digest);
                }
            }
        }
        if let Some(held) = held {
            self.live[region] += 1;
            let holders = views.entry(held.digest).or_default();
            holders.machines += 1;
            holders.members = held.members;
        }
        self.record_state(now);
    }

    /// Returns digest and member count of the only view in a region, or None if there are several.
    fn unanimous_view(&self, region: usize) -> Option<(u64, usize)> {
        let mut views = self.views[region].iter();
        let (digest, holders) = views.next()?;
        views.next().is_none().then_some((*digest, holders.members))
    }

    /// Records the current agreement. Equal digests mean equal members, and each live machine is in its own view;
    /// a common view with as many members as live machines therefore contains exactly the live machines.
    fn record_state(&mut self, since: Micros) {
        let live: usize = self.live.iter().sum();
        let views: [Option<(u64, usize)>; REGIONS] =
            std::array::from_fn(|region| self.unanimous_view(region));
        let members = |region: usize| views[region].map(|(_, members)| members);
        let region_agrees =
            std::array::from_fn(|region| members(region) == Some(self.live[region]));
        let populated = (0..REGIONS).filter(|region| self.live[*region] > 0);
        let mut populated = populated.map(|region| views[region]);
        let first = populated
            .next()
            .flatten()
            .filter(|(_, members)| *members == live);
        let all_agree = first.is_some() && populated.all(|view| view == first);
        let same =
            |last: &State| last.all_agree == all_agree && last.region_agrees == region_agrees;
        if !self.states.last().is_some_and(same) {
            self.states.push(State {
                since,
                all_agree,
                region_agrees,
            });
        }
    }

    /// Returns the first time from `at` on at which `predicate` is true, if any.
    pub fn first_time(&self, at: Micros, predicate: impl Fn(&State) -> bool) -> Option<Micros> {
        let next = self.states.partition_point(|state| state.since <= at);
        if next > 0 && predicate(&self.states[next - 1]) {
            return Some(at);
        }
        self.states[next..]
            .iter()
            .find(|state| predicate(state))
            .map(|state| state.since)
    }

    /// Returns the number of machines that are live now.
    pub fn live(&self) -> usize {
        self.live.iter().sum()
    }
}
