//! Reduces a failing script to a smaller one.

use crate::script::Script;

/// Removes faults from a failing script in chunks, from half of the faults down to single ones, and keeps each
/// removal after which `fails` still returns true. `fails` is called at most `max_runs` times.
pub fn shrink(script: &Script, max_runs: usize, mut fails: impl FnMut(&Script) -> bool) -> Script {
    let mut smallest = script.clone();
    let (mut chunk, mut runs_left) = (smallest.faults.len().div_ceil(2), max_runs);
    while chunk > 0 {
        let (mut start, mut shrunk) = (0, false);
        while start < smallest.faults.len() && runs_left > 0 {
            let mut candidate = smallest.clone();
            let end = (start + chunk).min(candidate.faults.len());
            candidate.faults.drain(start..end);
            runs_left -= 1;
            if fails(&candidate) {
                (smallest, shrunk) = (candidate, true);
            } else {
                start = end;
            }
        }
        if runs_left == 0 || (chunk == 1 && !shrunk) {
            break;
        }
        chunk = if chunk == 1 { 1 } else { chunk / 2 };
    }
    smallest
}
