//! Handles SIGINT and SIGTERM in test programs, so that they can clean up before they exit.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::thread;

use signal_hook::consts::{SIGINT, SIGTERM};

/// Calls `handler` on a thread of its own at the first SIGINT or SIGTERM, which then does not end the process. Later
/// signals are ignored.
///
/// # Errors
/// No socket or thread can be created.
pub fn on_interrupt(handler: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let (mut receiver, sender) = UnixStream::pair()?;
    for signal in [SIGINT, SIGTERM] {
        signal_hook::low_level::pipe::register(signal, sender.try_clone()?)?;
    }
    let wait_for_signal = move || {
        if receiver.read_exact(&mut [0]).is_ok() {
            handler();
        }
    };
    thread::Builder::new()
        .name("interrupt".into())
        .spawn(wait_for_signal)?;
    Ok(())
}
