//! Checks whether a fleet exceeded the limit of a budget, by the times at which callers sent requests and
//! servers ran them, without knowledge of leases and allocations.

/// One admitted request. It was admitted at some time between the two times, which are in ms of one clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdmittedRequest {
    /// When it was sent.
    pub sent: u64,
    /// When it ran.
    pub ran: u64,
}

/// Describes the first span in which more requests were admitted than `limit` per second plus `burst`,
/// whenever each was admitted between its two times. `None` if there is no such span.
pub fn rate_exceeded(admitted: &[AdmittedRequest], limit: u32, burst: u32) -> Option<String> {
    let mut by_sent = admitted.to_vec();
    by_sent.sort_unstable();
    for (index, first) in by_sent.iter().enumerate() {
        let mut ends: Vec<u64> = by_sent[index..].iter().map(|request| request.ran).collect();
        ends.sort_unstable();
        for (earlier, end) in ends.iter().enumerate() {
            let count = earlier + 1;
            let max = max_admitted(first.sent, *end, limit, burst);
            if count as f64 > max {
                return Some(format!(
                    "{count} from {} to {end} ms, {max:.1} at most",
                    first.sent
                ));
            }
        }
    }
    None
}

/// Number of requests that a rate limit admits from `start` to `end`, in ms.
fn max_admitted(start: u64, end: u64, limit: u32, burst: u32) -> f64 {
    // Times are truncated to whole ms, so a span may be 1 ms longer than it looks.
    let seconds = (end - start + 1) as f64 / 1_000.0;
    f64::from(limit) * seconds + f64::from(burst)
}

/// Describes the first time at which more than `limit` requests ran at once, given the start and end of each
/// in ms. `None` if there is no such time.
pub fn concurrency_exceeded(runs: &[(u64, u64)], limit: u32) -> Option<String> {
    // Times are truncated to whole ms. Of an end and a start in the same ms, the end may have come first.
    let mut edges: Vec<(u64, i32)> = runs
        .iter()
        .filter(|(start, end)| start < end)
        .flat_map(|(start, end)| [(*start, 1), (*end, -1)])
        .collect();
    edges.sort_unstable();
    let mut running = 0;
    for (at, change) in edges {
        running += change;
        if running > limit as i32 {
            return Some(format!("{running} at {at} ms, {limit} at most"));
        }
    }
    None
}

/// The fraction of a rate limit used from `start` to `end`, in ms, by requests certainly admitted in that span.
pub fn utilization(admitted: &[AdmittedRequest], limit: u32, start: u64, end: u64) -> f64 {
    let count = admitted
        .iter()
        .filter(|request| request.sent >= start && request.ran < end)
        .count();
    count as f64 * 1_000.0 / f64::from(limit) / (end - start).max(1) as f64
}
