//! Weighted max-min fair division: no allocation exceeds its holder's need while another holder,
//! whose allocation is smaller in proportion to its weight, is short.

use std::cmp::Ordering;

use crate::Units;

/// The demand of one holder in a division.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderDemand {
    /// The units that the holder could use.
    pub need: Units,
    /// The holder's capacity; 0 counts as 1.
    pub weight: u32,
    /// The maximum allocation of the holder.
    pub max: Units,
}

impl HolderDemand {
    fn weight(&self) -> u128 {
        u128::from(self.weight.max(1))
    }
}

/// Divides a budget and returns the allocations in the order of `demands`: multiples of `step`
/// whose sum is at most `limit`. The surplus over all needs is divided by weight, up to the maxima.
/// The indivisible remaining steps go to holders in turn as `rotation` grows, so that over time
/// they are divided evenly as well.
pub fn divide(limit: Units, step: Units, demands: &[HolderDemand], rotation: u64) -> Vec<Units> {
    let step = step.max(1);
    let steps = limit / step;
    let maxima: Vec<Units> = demands.iter().map(|demand| demand.max / step).collect();
    let needs: Vec<Units> = demands
        .iter()
        .zip(&maxima)
        .map(|(demand, max)| demand.need.min(demand.max).div_ceil(step).min(*max))
        .collect();
    let mut allocations = water_fill(steps, demands, &needs, rotation);
    let remaining = steps - allocations.iter().sum::<Units>();
    if remaining > 0 {
        let headroom: Vec<Units> = maxima
            .iter()
            .zip(&allocations)
            .map(|(max, allocation)| max - allocation)
            .collect();
        let surplus = water_fill(remaining, demands, &headroom, rotation);
        for (allocation, surplus) in allocations.iter_mut().zip(surplus) {
            *allocation += surplus;
        }
    }
    for allocation in &mut allocations {
        *allocation *= step;
    }
    allocations
}

/// Water-filling: raises the allocations of all holders to one level in proportion to their weight,
/// each at most to its bound.
fn water_fill(
    limit: Units,
    demands: &[HolderDemand],
    bounds: &[Units],
    rotation: u64,
) -> Vec<Units> {
    let order = fill_order(demands, bounds);
    let mut allocations = vec![0; demands.len()];
    let mut weights: u128 = order.iter().map(|holder| demands[*holder].weight()).sum();
    let mut remaining = limit;
    for (position, holder) in order.iter().enumerate() {
        let fair = fair_share(remaining, &demands[*holder], weights);
        if bounds[*holder] > fair {
            // None of the other holders reaches its bound either: each gets its fair share of the
            // rest.
            let unfilled = &order[position..];
            for holder in unfilled {
                let fair = fair_share(remaining, &demands[*holder], weights);
                allocations[*holder] = fair.min(bounds[*holder]);
            }
            remaining -= unfilled
                .iter()
                .map(|holder| allocations[*holder])
                .sum::<Units>();
            break;
        }
        allocations[*holder] = bounds[*holder];
        remaining -= bounds[*holder];
        weights -= demands[*holder].weight();
    }
    distribute_single_steps(remaining, bounds, rotation, &mut allocations);
    allocations
}

/// The holders with a bound above 0, ordered by the ratio of bound to weight.
fn fill_order(demands: &[HolderDemand], bounds: &[Units]) -> Vec<usize> {
    let by_relative_bound = |a: &usize, b: &usize| -> Ordering {
        let left = u128::from(bounds[*a]) * demands[*b].weight();
        let right = u128::from(bounds[*b]) * demands[*a].weight();
        left.cmp(&right).then(a.cmp(b))
    };
    let mut order: Vec<usize> = (0..demands.len())
        .filter(|holder| bounds[*holder] > 0)
        .collect();
    order.sort_by(by_relative_bound);
    order
}

/// A holder's share of `remaining` by its weight. `weights` is the sum of the weights of all
/// holders that share it.
fn fair_share(remaining: Units, demand: &HolderDemand, weights: u128) -> Units {
    (u128::from(remaining) * demand.weight() / weights.max(1)) as Units
}

/// Gives one remaining step each to holders below their bounds, starting at a position that
/// advances with `rotation`.
fn distribute_single_steps(
    remaining: Units,
    bounds: &[Units],
    rotation: u64,
    allocations: &mut [Units],
) {
    let unfilled: Vec<usize> = (0..bounds.len())
        .filter(|holder| allocations[*holder] < bounds[*holder])
        .collect();
    if unfilled.is_empty() {
        return;
    }
    let first = (rotation % unfilled.len() as u64) as usize;
    for offset in 0..unfilled.len().min(remaining as usize) {
        allocations[unfilled[(first + offset) % unfilled.len()]] += 1;
    }
}
