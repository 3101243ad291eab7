//! SIGINT and SIGTERM for the test programs: what is to be done before they end.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::thread;

use signal_hook::consts::{SIGINT, SIGTERM};

/// Does something at the first SIGINT or SIGTERM, on a thread of its own, in place of ending the process. Later ones
/// change nothing.
///
/// # Errors
/// The system gives no socket or no thread.
pub fn on_interrupt(act: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let (mut receiver, sender) = UnixStream::pair()?;
    for signal in [SIGINT, SIGTERM] {
        signal_hook::low_level::pipe::register(signal, sender.try_clone()?)?;
    }
    let wait = move || {
        if receiver.read_exact(&mut [0]).is_ok() {
            act();
        }
    };
    thread::Builder::new()
        .name("interrupt".into())
        .spawn(wait)?;
    Ok(())
}
