//! Addresses that the process before still holds.

use std::io::{self, ErrorKind};
use std::thread;
use std::time::{Duration, Instant};

/// A killed process holds its addresses until the system has ended it, which takes a while on a busy machine.
/// One that is started in its place at once waits so long at most.
const FREE_WITHIN: Duration = Duration::from_secs(2);
const TRY_AGAIN: Duration = Duration::from_millis(10);

/// Opens what needs an address, for as long as another holds that. For the start alone: it blocks.
///
/// # Errors
/// The address is still in use after 2 s; any other error at once.
pub(crate) fn once_free<T>(mut open: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let until = Instant::now() + FREE_WITHIN;
    loop {
        match open() {
            Err(e) if e.kind() == ErrorKind::AddrInUse && Instant::now() < until => {
                thread::sleep(TRY_AGAIN);
            }
            opened => return opened,
        }
    }
}
