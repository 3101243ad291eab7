//! Checks whether uses exceed the limits, without knowledge of leases: each use is recorded at its true time.

use doortrack_budgets::{Budget, Kind};
use doortrack_membership::Incarnation;
use doortrack_simulation::{MachineId, Micros};

use super::world::TENTH_MS;
use crate::network_faults::MICROS_PER_MS;

/// Tolerance of a rate, in units: each node truncates times to tenths of a ms.
const RATE_TOLERANCE: f64 = 0.01;
const MICROS_PER_S: f64 = 1e6;

/// Tracks the actual use of all budgets.
pub(super) struct LimitCheck<'a> {
    budgets: &'a [Budget],
    mean_hold: Micros,
    /// By budget; used by rates.
    buckets: Vec<LeakyBucket>,
    /// By budget; used by concurrencies.
    holds: Vec<Vec<Hold>>,
    /// The first violation of each budget, described.
    pub(super) violations: Vec<String>,
}

/// The excess of a rate's uses over its limit.
#[derive(Clone, Copy, Default)]
struct LeakyBucket {
    level: f64,
    updated_at: Micros,
}

/// A unit of concurrency in use.
#[derive(Clone, Copy)]
pub(super) struct Hold {
    end: Micros,
    /// The node that uses it.
    pub(super) node: MachineId,
    /// The incarnation of the node that acquired it.
    pub(super) incarnation: Incarnation,
}

impl LeakyBucket {
    /// Adds a use, and returns the level then.
    fn add(&mut self, limit: f64, now: Micros) -> f64 {
        let leaked = limit * (now - self.updated_at) as f64 / MICROS_PER_S;
        self.level = (self.level - leaked).max(0.0) + 1.0;
        self.updated_at = now;
        self.level
    }
}

impl<'a> LimitCheck<'a> {
    pub(super) fn new(budgets: &'a [Budget], mean_hold_ms: u64) -> LimitCheck<'a> {
        LimitCheck {
            budgets,
            mean_hold: mean_hold_ms * MICROS_PER_MS,
            buckets: vec![LeakyBucket::default(); budgets.len()],
            holds: vec![Vec::new(); budgets.len()],
            violations: Vec::new(),
        }
    }

    /// Records one admitted use. `random` draws hold times.
    pub(super) fn record_use(
        &mut self,
        index: usize,
        now: Micros,
        (node, incarnation): (MachineId, Incarnation),
        random: &mut fastrand::Rng,
    ) {
        let budget = &self.budgets[index];
        let limit = f64::from(budget.limit);
        match budget.kind {
            Kind::Rate { burst } => {
                let level = self.buckets[index].add(limit, now);
                if level > f64::from(burst) + RATE_TOLERANCE {
                    let excess = format!("{level:.3} beyond {limit} a second, a burst of {burst}");
                    self.record_violation(index, now, &excess);
                }
            }
            Kind::Concurrency { max_hold } => {
                let max_hold = (max_hold * TENTH_MS) as f64;
                let end = now + self.draw_hold(max_hold, random);
                let holds = &mut self.holds[index];
                holds.push(Hold {
                    end,
                    node,
                    incarnation,
                });
                let held = holds.iter().filter(|hold| hold.end > now).count();
                if held as u32 > budget.limit {
                    let excess = format!("{held} of {limit} are held at once");
                    self.record_violation(index, now, &excess);
                }
            }
        }
    }

    /// An exponentially distributed hold time.
    fn draw_hold(&self, max_hold: f64, random: &mut fastrand::Rng) -> Micros {
        let hold = -(self.mean_hold as f64) * random.f64().max(1e-9).ln();
        hold.min(max_hold) as Micros
    }

    /// Removes and returns the holds of a budget that have expired and for which `can_end` returns true.
    pub(super) fn end_holds(
        &mut self,
        index: usize,
        now: Micros,
        can_end: impl Fn(&Hold) -> bool,
    ) -> Vec<Hold> {
        self.holds[index]
            .extract_if(.., |hold| hold.end <= now && can_end(hold))
            .collect()
    }

    fn record_violation(&mut self, index: usize, now: Micros, excess: &str) {
        let budget = &self.budgets[index].name;
        let is_known = self
            .violations
            .iter()
            .any(|violation| violation.contains(&**budget));
        if !is_known {
            self.violations
                .push(format!("{} ms: {budget}: {excess}", now / MICROS_PER_MS));
        }
    }
}
