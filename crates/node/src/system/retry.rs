//! Repeats calls that fail for a moment, such as for an address that a previous process still holds.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use doortrack_config::transient::may_open_later;

/// Maximum time to wait at the start. A killed process holds its addresses until the system has removed it, which
/// takes a while on a busy machine.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Interval between two attempts at the start.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of attempts of a call that must not block.
const MAX_IMMEDIATE_ATTEMPTS: usize = 8;

/// Calls `open` and retries while it fails for a reason that may pass. It blocks, so it is only for the start of a node.
///
/// # Errors
/// It still fails after 2 s. An error that does not pass is returned at once.
pub(crate) fn retry_at_start<T>(mut open: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let give_up_at = Instant::now() + MAX_WAIT;
    loop {
        match open() {
            Err(e) if may_open_later(&e) && Instant::now() < give_up_at => {
                thread::sleep(RETRY_INTERVAL);
            }
            opened => return opened,
        }
    }
}

/// Calls `open` and retries at once, a few times, while it fails for a reason that may pass.
///
/// # Errors
/// Each attempt failed, or the last one for a reason that does not pass.
pub(crate) fn retry_at_once<T>(mut open: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..MAX_IMMEDIATE_ATTEMPTS {
        match open() {
            Err(e) if may_open_later(&e) => {}
            opened => return opened,
        }
    }
    open()
}
