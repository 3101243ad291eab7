//! Max-min fair division with weights: nobody gets more than it needs while another that gets less for its
//! weight is not served.

use crate::Units;

/// One holder's part in a division.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asks {
    pub need: Units,
    pub weight: u32,
    pub max: Units,
}

/// The allocations of each, in the order of `asks`, multiples of `step` whose sum is at most `limit`. What is
/// left beyond all needs goes to all by weight, up to their maxima. Single steps that can't be divided go to
/// one after the other as `rotation` grows, so that in time they are divided as well.
pub fn divide(limit: Units, step: Units, asks: &[Asks], rotation: u64) -> Vec<Units> {
    let step = step.max(1);
    let steps = limit / step;
    let needs: Vec<Units> = asks.iter().map(|holder| holder.need.min(holder.max).div_ceil(step)).collect();
    let maxima: Vec<Units> = asks.iter().map(|holder| holder.max / step).collect();
    let needs: Vec<Units> = needs.iter().zip(&maxima).map(|(need, max)| *need.min(max)).collect();
    let mut allocations = level(steps, asks, &needs, rotation);
    let left = steps - allocations.iter().sum::<Units>();
    if left > 0 {
        let room: Vec<Units> =
            maxima.iter().zip(&allocations).map(|(max, allocation)| max - allocation).collect();
        let more = level(left, asks, &room, rotation);
        allocations.iter_mut().zip(more).for_each(|(allocation, more)| *allocation += more);
    }
    allocations.iter().map(|allocation| allocation * step).collect()
}

/// Fills all up to one level by weight, each to its bound at the most.
fn level(limit: Units, asks: &[Asks], bounds: &[Units], rotation: u64) -> Vec<Units> {
    let weight = |holder: usize| u128::from(asks[holder].weight.max(1));
    // By bound for the weight: who needs least for its weight is filled first.
    let mut order: Vec<usize> = (0..asks.len()).filter(|holder| bounds[*holder] > 0).collect();
    order.sort_by(|a, b| {
        let (first, second) = (u128::from(bounds[*a]) * weight(*b), u128::from(bounds[*b]) * weight(*a));
        first.cmp(&second).then(a.cmp(b))
    });
    let mut allocations = vec![0; asks.len()];
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
            left -= rest.iter().map(|holder| allocations[*holder]).sum::<Units>();
            break;
        }
        allocations[*holder] = bounds[*holder];
        left -= bounds[*holder];
        weights -= weight(*holder);
    }
    // Single steps, from an index that moves on.
    let open: Vec<usize> = (0..asks.len()).filter(|holder| allocations[*holder] < bounds[*holder]).collect();
    if !open.is_empty() {
        let from = (rotation % open.len() as u64) as usize;
        for nth in 0..open.len().min(left as usize) {
            allocations[open[(from + nth) % open.len()]] += 1;
        }
    }
    allocations
}
