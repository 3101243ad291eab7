//! Whether a fleet used more of a budget than the whole, judged by what callers and servers know: when an
//! exchange was asked, and when it was run. Nothing of leases or shares is known here.

/// One exchange that passed: somewhere between these two, in ms of one clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Passed {
    pub asked: u64,
    pub ran: u64,
}

/// The first span in which more passed than `limit` a second and `burst` beyond, whenever within its two
/// times each did; none if there is none.
pub fn rate_exceeded(passed: &[Passed], limit: u32, burst: u32) -> Option<String> {
    let mut by_asked = passed.to_vec();
    by_asked.sort_unstable();
    // Times are cut to whole ms, so a span is up to 1 ms longer than it looks.
    let most =
        |from: u64, till: u64| f64::from(limit) * (till - from + 1) as f64 / 1_000.0 + f64::from(burst);
    for (nth, first) in by_asked.iter().enumerate() {
        let mut ends: Vec<u64> = by_asked[nth..].iter().map(|of| of.ran).collect();
        ends.sort_unstable();
        for (count, till) in ends.iter().enumerate() {
            let count = count + 1;
            if count as f64 > most(first.asked, *till) {
                let (from, till) = (first.asked, *till);
                return Some(format!("{count} from {from} to {till} ms, {:.1} at most", most(from, till)));
            }
        }
    }
    None
}

/// The first moment at which more than `limit` were run at once; each began and ended at these times, in ms.
pub fn concurrency_exceeded(runs: &[(u64, u64)], limit: u32) -> Option<String> {
    // Cut to whole ms: what ends in the ms in which another begins may have ended before.
    let mut edges: Vec<(u64, i32)> = runs
        .iter()
        .filter(|(from, till)| from < till)
        .flat_map(|(from, till)| [(*from, 1), (*till, -1)])
        .collect();
    edges.sort_unstable();
    let mut held = 0;
    for (at, change) in edges {
        held += change;
        if held > limit as i32 {
            return Some(format!("{held} at {at} ms, {limit} at most"));
        }
    }
    None
}

/// How much of the limit was used from `from` to `till`, as a share; of those that surely passed then.
pub fn used(passed: &[Passed], limit: u32, from: u64, till: u64) -> f64 {
    let count = passed.iter().filter(|of| of.asked >= from && of.ran < till).count();
    count as f64 * 1_000.0 / f64::from(limit) / (till - from).max(1) as f64
}
