//! Weighted max-min fair division: no holder gets more than it needs while another that gets less in
//! proportion to its weight goes short.

use crate::Units;

/// What one holder brings to a division.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderDemand {
    /// What it could use.
    pub need: Units,
    /// Its capacity; at least 1 counts.
    pub weight: u32,
    /// What it may have at most.
    pub max: Units,
}

/// The allocations in the order of `demands`: multiples of `step` whose sum is at most `limit`. What exceeds
/// all needs is divided by weight, up to the maxima. Single steps that can't be divided go to one holder
/// after the other as `rotation` grows, so that over time they are divided as well.
pub fn divide(limit: Units, step: Units, demands: &[HolderDemand], rotation: u64) -> Vec<Units> {
    let step = step.max(1);
    let steps = limit / step;
    let needs: Vec<Units> = demands
        .iter()
        .map(|holder| holder.need.min(holder.max).div_ceil(step))
        .collect();
    let maxima: Vec<Units> = demands.iter().map(|holder| holder.max / step).collect();
    let needs: Vec<Units> = needs
        .iter()
        .zip(&maxima)
        .map(|(need, max)| *need.min(max))
        .collect();
    let mut allocations = level(steps, demands, &needs, rotation);
    let left = steps - allocations.iter().sum::<Units>();
    if left > 0 {
        let room: Vec<Units> = maxima
            .iter()
            .zip(&allocations)
            .map(|(max, allocation)| max - allocation)
            .collect();
        let more = level(left, demands, &room, rotation);
        allocations
            .iter_mut()
            .zip(more)
            .for_each(|(allocation, more)| *allocation += more);
    }
    allocations
        .iter()
        .map(|allocation| allocation * step)
        .collect()
}

/// Fills all to one level in proportion to weight (water-filling), each at most to its bound.
fn level(limit: Units, demands: &[HolderDemand], bounds: &[Units], rotation: u64) -> Vec<Units> {
    let weight = |holder: usize| u128::from(demands[holder].weight.max(1));
    // By bound for the weight: who needs least for its weight is filled first.
    let mut order: Vec<usize> = (0..demands.len())
        .filter(|holder| bounds[*holder] > 0)
        .collect();
    order.sort_by(|a, b| {
        let (first, second) = (
            u128::from(bounds[*a]) * weight(*b),
            u128::from(bounds[*b]) * weight(*a),
        );
        first.cmp(&second).then(a.cmp(b))
    });
    let mut allocations = vec![0; demands.len()];
    let mut weights: u128 = order.iter().map(|holder| weight(*holder)).sum();
    let mut left = limit;
    for (nth, holder) in order.iter().enumerate() {
        let fair = u128::from(left) * weight(*holder) / weights.max(1);
        if u128::from(bounds[*holder]) > fair {
            // From here on nobody is filled: all get what is fair of the rest.
            let rest = &order[nth..];
            for holder in rest {
                allocations[*holder] =
                    ((u128::from(left) * weight(*holder) / weights) as Units).min(bounds[*holder]);
            }
            left -= rest
                .iter()
                .map(|holder| allocations[*holder])
                .sum::<Units>();
            break;
        }
        allocations[*holder] = bounds[*holder];
        left -= bounds[*holder];
        weights -= weight(*holder);
    }
    // Single steps, from an index that moves on.
    let open: Vec<usize> = (0..demands.len())
        .filter(|holder| allocations[*holder] < bounds[*holder])
        .collect();
    if !open.is_empty() {
        let from = (rotation % open.len() as u64) as usize;
        for nth in 0..open.len().min(left as usize) {
            allocations[open[(from + nth) % open.len()]] += 1;
        }
    }
    allocations
}
