//! SIGTERM, SIGINT and SIGHUP as sockets in the poller. SIGTERM and SIGINT mean the same and share a socket.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;

use super::retry::retry_at_start;
use polling::{Event, PollMode, Poller};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Poller key of SIGTERM and SIGINT, which make the node drain and stop.
pub(crate) const DRAIN_KEY: usize = 2;
/// Poller key of SIGHUP, which makes the node reload its configuration.
pub(crate) const RELOAD_KEY: usize = 3;

/// Signals that arrived and have not been read by the event loop.
pub struct Signals {
    drain: UnixStream,
    reload: UnixStream,
}

impl Signals {
    /// Registers the signal handlers. Until then each of these signals ends the process, so this is the first step of a
    /// start: reading a large configuration takes a while.
    ///
    /// # Errors
    /// A socket or a handler can't be created.
    pub fn register() -> io::Result<Signals> {
        Ok(Signals {
            drain: retry_at_start(|| register(&[SIGTERM, SIGINT]))?,
            reload: retry_at_start(|| register(&[SIGHUP]))?,
        })
    }

    /// Registers the sockets with the poller. Signals that arrived earlier are reported too.
    pub(crate) fn watch(&self, poller: &Poller) -> io::Result<()> {
        for (receiver, key) in [(&self.drain, DRAIN_KEY), (&self.reload, RELOAD_KEY)] {
            // SAFETY: the node owns both the sockets and the poller, and keeps them equally long.
            unsafe { poller.add_with_mode(receiver, Event::readable(key), PollMode::Level)? };
        }
        Ok(())
    }

    /// Clears a pending signal, even if it was sent several times.
    pub(crate) fn acknowledge(&mut self, key: usize) {
        let receiver = if key == DRAIN_KEY {
            &mut self.drain
        } else {
            &mut self.reload
        };
        _ = receiver.read(&mut [0; 64]);
    }
}

/// Returns a socket that becomes readable when one of the signals arrives.
fn register(signals: &[i32]) -> io::Result<UnixStream> {
    let (receiver, sender) = UnixStream::pair()?;
    receiver.set_nonblocking(true)?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, sender.try_clone()?)?;
    }
    Ok(receiver)
}
