//! Waiting for addresses that a previous process still holds.

use std::io::{self, ErrorKind};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time to wait for an address. A killed process holds its addresses until the system has removed it, which
/// takes a while on a busy machine.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Interval between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Calls `open` and retries while the address is in use. It blocks, so it is only for the start of a node.
///
/// # Errors
/// The address is still in use after 2 s. Any other error is returned at once.
pub(crate) fn retry_while_in_use<T>(mut open: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let give_up_at = Instant::now() + MAX_WAIT;
    loop {
        match open() {
            Err(e) if e.kind() == ErrorKind::AddrInUse && Instant::now() < give_up_at => {
                thread::sleep(RETRY_INTERVAL);
            }
            opened => return opened,
        }
    }
}
