//! SIGTERM, SIGINT and SIGHUP as sockets in the poller: one for the first two, which mean the same, and one for the third.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;

use polling::{Event, PollMode, Poller};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Key in the poller of SIGTERM and SIGINT: the node is to drain and stop.
pub(crate) const DRAIN_KEY: usize = 2;
/// Key in the poller of SIGHUP: the configuration is to be read again.
pub(crate) const RELOAD_KEY: usize = 3;

/// The signals that arrived, kept until the loop reads them.
pub struct Signals {
    drain: UnixStream,
    reload: UnixStream,
}

impl Signals {
    /// Handles the signals from here on. Before this any of them ends the process, so it is the first thing
    /// that a start does: reading a large configuration takes a while.
    ///
    /// # Errors
    /// The system gives no socket.
    pub fn register() -> io::Result<Signals> {
        Ok(Signals {
            drain: register(&[SIGTERM, SIGINT])?,
            reload: register(&[SIGHUP])?,
        })
    }

    /// Has the poller watch them; those that came before count.
    pub(crate) fn watch(&self, poller: &Poller) -> io::Result<()> {
        for (receiver, key) in [(&self.drain, DRAIN_KEY), (&self.reload, RELOAD_KEY)] {
            // SAFETY: the node keeps the sockets as long as the poller.
            unsafe { poller.add_with_mode(receiver, Event::readable(key), PollMode::Level)? };
        }
        Ok(())
    }

    /// Clears a signal, however often it was sent meanwhile.
    pub(crate) fn acknowledge(&mut self, key: usize) {
        let receiver = if key == DRAIN_KEY {
            &mut self.drain
        } else {
            &mut self.reload
        };
        _ = receiver.read(&mut [0; 64]);
    }
}

/// A socket that becomes readable when one of the signals arrives.
fn register(signals: &[i32]) -> io::Result<UnixStream> {
    let (receiver, sender) = UnixStream::pair()?;
    receiver.set_nonblocking(true)?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, sender.try_clone()?)?;
    }
    Ok(receiver)
}
