//! Addresses that a former process still holds.

use std::io::{self, ErrorKind};
use std::thread;
use std::time::{Duration, Instant};

/// A killed process holds its addresses until the system has ended it, which takes a while on a busy machine.
const MAX_WAIT: Duration = Duration::from_secs(2);
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Opens what needs an address, and retries while another process holds that. For the start alone: it blocks.
///
/// # Errors
/// The address is still in use after 2 s; any other error at once.
pub(crate) fn once_free<T>(mut open: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let until = Instant::now() + MAX_WAIT;
    loop {
        match open() {
            Err(e) if e.kind() == ErrorKind::AddrInUse && Instant::now() < until => {
                thread::sleep(RETRY_INTERVAL);
            }
            opened => return opened,
        }
    }
}
