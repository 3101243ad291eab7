//! The smallest script that still fails.

use crate::script::Script;

/// Takes out faults, half of them at first and one at a time in the end, for as long as `fails` says so of
/// what is left. At most `plays` plays are made.
pub fn shrink(script: &Script, plays: usize, mut fails: impl FnMut(&Script) -> bool) -> Script {
    let mut least = script.clone();
    let (mut chunk, mut left) = (least.faults.len().div_ceil(2), plays);
    while chunk > 0 {
        let (mut from, mut smaller) = (0, false);
        while from < least.faults.len() && left > 0 {
            let mut tried = least.clone();
            let till = (from + chunk).min(tried.faults.len());
            tried.faults.drain(from..till);
            left -= 1;
            if fails(&tried) {
                (least, smaller) = (tried, true);
            } else {
                from = till;
            }
        }
        if left == 0 || (chunk == 1 && !smaller) {
            break;
        }
        chunk = if chunk == 1 { 1 } else { chunk / 2 };
    }
    least
}
