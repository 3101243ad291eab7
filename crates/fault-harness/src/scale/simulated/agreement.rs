//! Whether all live machines hold the same view, and since when.

use std::collections::BTreeMap;

use doortrack_simulation::Micros;

use super::topology::{REGIONS, Topology};

/// What one live machine holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    pub digest: u64,
    pub members: usize,
}

/// What was true from a time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct State {
    pub since: Micros,
    /// All live machines hold exactly the live machines.
    pub all_agree: bool,
    /// All live machines of each region hold exactly those of their region.
    pub region_agrees: [bool; REGIONS],
}

/// Live machines of a region that hold one view, and the members of that view.
#[derive(Clone, Copy, Debug, Default)]
struct Holders {
    machines: usize,
    members: usize,
}

/// Follows every change of every view.
pub struct Agreement {
    regions: Vec<usize>,
    held: Vec<Option<Held>>,
    /// By region and digest of the view.
    views: [BTreeMap<u64, Holders>; REGIONS],
    live: [usize; REGIONS],
    /// Every change, in the order of time.
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

    /// What a machine holds from here on; nothing if it is not live.
    pub fn put(&mut self, now: Micros, machine: usize, held: Option<Held>) {
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
        self.note(now);
    }

    /// The one view of a region, by its digest and members; nothing while there are several.
    fn only_view(&self, region: usize) -> Option<(u64, usize)> {
        let mut views = self.views[region].iter();
        let (digest, holders) = views.next()?;
        views.next().is_none().then_some((*digest, holders.members))
    }

    /// Equal digests mean equal members, and each live machine is in its own view: where as many members are
    /// held as machines are live, those are the live ones.
    fn note(&mut self, since: Micros) {
        let live: usize = self.live.iter().sum();
        let views: [Option<(u64, usize)>; REGIONS] =
            std::array::from_fn(|region| self.only_view(region));
        let members = |region: usize| views[region].map(|(_, members)| members);
        let region_agrees =
            std::array::from_fn(|region| members(region) == Some(self.live[region]));
        let filled = (0..REGIONS).filter(|region| self.live[*region] > 0);
        let mut filled = filled.map(|region| views[region]);
        let first = filled
            .next()
            .flatten()
            .filter(|(_, members)| *members == live);
        let all_agree = first.is_some() && filled.all(|view| view == first);
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

    /// When, from `at` on, `holds` was first true; nothing if it never was.
    pub fn first(&self, at: Micros, holds: impl Fn(&State) -> bool) -> Option<Micros> {
        let next = self.states.partition_point(|state| state.since <= at);
        if next > 0 && holds(&self.states[next - 1]) {
            return Some(at);
        }
        self.states[next..]
            .iter()
            .find(|state| holds(state))
            .map(|state| state.since)
    }

    /// Machines that are live, at the last.
    pub fn live(&self) -> usize {
        self.live.iter().sum()
    }
}
