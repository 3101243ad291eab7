//! What is used of the budgets, counted at true time and without any knowledge of leases.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use doortrack_budgets::{Budget, Kind};
use doortrack_simulation::Micros;

use super::topology::REGIONS;

/// Microseconds over which uses of the first budget are summed.
pub const BIN: Micros = 200_000;
/// What is cut to whole tenths of a ms by every node may come to this part of a unit.
const CUT: f64 = 0.01;

/// A place in use: till when, by which machine, in which of its starts.
pub type Place = (Micros, usize, u32);

/// The count of one play.
pub struct Usage {
    list: Vec<Budget>,
    /// By budget: the leaky count of a rate, and when it was last brought up to date.
    levels: Vec<(f64, Micros)>,
    /// By budget: places in use, the first to end on top.
    held: Vec<BinaryHeap<Reverse<Place>>>,
    /// Uses of the first budget by bin and region.
    bins: Vec<[u32; REGIONS]>,
    breaches: Vec<String>,
}

impl Usage {
    pub fn new(list: &[Budget]) -> Usage {
        Usage {
            levels: vec![(0.0, 0); list.len()],
            held: list.iter().map(|_| BinaryHeap::new()).collect(),
            list: list.to_vec(),
            bins: Vec::new(),
            breaches: Vec::new(),
        }
    }

    /// One use of a rate.
    pub fn used(&mut self, now: Micros, budget: usize, region: usize) {
        if budget == 0 {
            let bin = (now / BIN) as usize;
            if self.bins.len() <= bin {
                self.bins.resize(bin + 1, [0; REGIONS]);
            }
            self.bins[bin][region] += 1;
        }
        let Kind::Rate { burst } = self.list[budget].kind else {
            return;
        };
        let limit = f64::from(self.list[budget].limit);
        let (level, at) = self.levels[budget];
        let level = (level - limit * (now - at) as f64 / 1e6).max(0.0) + 1.0;
        self.levels[budget] = (level, now);
        if level > f64::from(burst) + CUT {
            self.breach(
                now,
                budget,
                format!("{level:.3} used beyond {limit} a second, burst {burst}"),
            );
        }
    }

    /// One place taken.
    pub fn held(&mut self, now: Micros, budget: usize, place: Place) {
        self.held[budget].push(Reverse(place));
        let limit = self.list[budget].limit;
        if self.held[budget].len() <= limit as usize {
            return;
        }
        let count = self.held[budget]
            .iter()
            .filter(|Reverse((till, ..))| *till > now)
            .count();
        if count > limit as usize {
            self.breach(now, budget, format!("{count} are held at once of {limit}"));
        }
    }

    /// Takes out the next place whose time is over.
    pub fn over(&mut self, now: Micros, budget: usize) -> Option<Place> {
        let due = self.held[budget]
            .peek()
            .is_some_and(|Reverse((till, ..))| *till <= now);
        if due {
            self.held[budget].pop().map(|Reverse(place)| place)
        } else {
            None
        }
    }

    /// What all live machines together may use at this instant.
    pub fn exposed(&mut self, now: Micros, budget: usize, sum: u64) {
        if sum > self.list[budget].limit() {
            let limit = self.list[budget].limit();
            self.breach(now, budget, format!("{sum} may be used at once of {limit}"));
        }
    }

    /// The first breach of each budget is told.
    fn breach(&mut self, now: Micros, budget: usize, what: String) {
        let name = &self.list[budget].name;
        let told = format!(" ms: {name}: ");
        if !self.breaches.iter().any(|breach| breach.contains(&told)) {
            self.breaches.push(format!("{}{told}{what}", now / 1_000));
        }
    }

    pub fn breaches(&self) -> &[String] {
        &self.breaches
    }

    /// Uses of the first budget a second in a region, from one time to another.
    pub fn rate(&self, from: Micros, till: Micros, region: usize) -> f64 {
        let (first, end) = ((from / BIN) as usize, (till / BIN) as usize);
        let end = end.min(self.bins.len());
        let bins = &self.bins[first.min(end)..end];
        let sum: u64 = bins.iter().map(|bin| u64::from(bin[region])).sum();
        sum as f64 * 1e6 / (bins.len().max(1) as u64 * BIN) as f64
    }

    /// How long after `at` the last bin before `till` ended in which less than this share of the whole was
    /// used; 0 if there was none.
    pub fn back_after(&self, at: Micros, till: Micros, share: f64) -> Micros {
        let least = share * f64::from(self.list[0].limit) * BIN as f64 / 1e6;
        let bins = at.div_ceil(BIN)..till / BIN;
        let short = |bin: &u64| {
            let used = self
                .bins
                .get(*bin as usize)
                .map_or(0, |bin| bin.iter().sum());
            f64::from(used) < least
        };
        bins.rev().find(short).map_or(0, |bin| (bin + 1) * BIN - at)
    }
}
