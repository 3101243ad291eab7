//! Counts the use of the budgets in simulation time, independently of leases.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use doortrack_budgets::{Budget, Kind};
use doortrack_simulation::Micros;

use super::topology::REGIONS;

/// Length of the intervals in which uses of the first budget are counted, in microseconds.
pub const BIN_US: Micros = 200_000;
/// Tolerance in units, as each node rounds down to tenths of a ms.
const ROUNDING_TOLERANCE: f64 = 0.01;

/// A unit of a concurrency budget in use: end time, machine, and number of the start of the machine.
pub type Hold = (Micros, usize, u32);

/// The budget use of one simulation.
pub struct Usage {
    list: Vec<Budget>,
    /// By budget: the leaky bucket level of a rate and the time of its last update.
    levels: Vec<(f64, Micros)>,
    /// By budget: units in use, earliest end first.
    held: Vec<BinaryHeap<Reverse<Hold>>>,
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

    /// Records one use of a rate budget.
    pub fn record_use(&mut self, now: Micros, budget: usize, region: usize) {
        if budget == 0 {
            let bin = (now / BIN_US) as usize;
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
        if level > f64::from(burst) + ROUNDING_TOLERANCE {
            self.breach(
                now,
                budget,
                format!("{level:.3} used beyond {limit} a second, burst {burst}"),
            );
        }
    }

    /// Records one unit of a concurrency budget taken.
    pub fn record_hold(&mut self, now: Micros, budget: usize, hold: Hold) {
        self.held[budget].push(Reverse(hold));
        let limit = self.list[budget].limit;
        if self.held[budget].len() <= limit as usize {
            return;
        }
        let count = self.held[budget]
            .iter()
            .filter(|Reverse((until, ..))| *until > now)
            .count();
        if count > limit as usize {
            self.breach(now, budget, format!("{count} are held at once of {limit}"));
        }
    }

    /// Removes the next unit whose end time has passed.
    pub fn pop_expired(&mut self, now: Micros, budget: usize) -> Option<Hold> {
        let due = self.held[budget]
            .peek()
            .is_some_and(|Reverse((until, ..))| *until <= now);
        if due {
            self.held[budget].pop().map(|Reverse(hold)| hold)
        } else {
            None
        }
    }

    /// Checks the sum that all live machines may use at this time.
    pub fn check_max_in_use(&mut self, now: Micros, budget: usize, sum: u64) {
        if sum > self.list[budget].limit() {
            let limit = self.list[budget].limit();
            self.breach(now, budget, format!("{sum} may be used at once of {limit}"));
        }
    }

    /// Records the first breach of each budget.
    fn breach(&mut self, now: Micros, budget: usize, what: String) {
        let name = &self.list[budget].name;
        let prefix = format!(" ms: {name}: ");
        if !self.breaches.iter().any(|breach| breach.contains(&prefix)) {
            self.breaches.push(format!("{}{prefix}{what}", now / 1_000));
        }
    }

    pub fn breaches(&self) -> &[String] {
        &self.breaches
    }

    /// Returns the uses of the first budget per second in a region between two times.
    pub fn rate(&self, from: Micros, until: Micros, region: usize) -> f64 {
        let (first, end) = ((from / BIN_US) as usize, (until / BIN_US) as usize);
        let end = end.min(self.bins.len());
        let bins = &self.bins[first.min(end)..end];
        let sum: u64 = bins.iter().map(|bin| u64::from(bin[region])).sum();
        sum as f64 * 1e6 / (bins.len().max(1) as u64 * BIN_US) as f64
    }

    /// Returns the time from `at` to the end of the last bin before `until` in which less than this share of the
    /// limit was used, or 0 if there was none.
    pub fn recovery_time(&self, at: Micros, until: Micros, share: f64) -> Micros {
        let least = share * f64::from(self.list[0].limit) * BIN_US as f64 / 1e6;
        let bins = at.div_ceil(BIN_US)..until / BIN_US;
        let short = |bin: &u64| {
            let used = self
                .bins
                .get(*bin as usize)
                .map_or(0, |bin| bin.iter().sum());
            f64::from(used) < least
        };
        bins.rev()
            .find(short)
            .map_or(0, |bin| (bin + 1) * BIN_US - at)
    }
}
