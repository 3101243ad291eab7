//! The signals that the node heeds, each by a socket of its own in the poller.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;

use polling::{Event, PollMode, Poller};
use signal_hook::consts::{SIGHUP, SIGTERM};

/// SIGTERM, the notice to leave, and SIGHUP, the word that the configuration was replaced.
pub(crate) const DRAIN_KEY: usize = 2;
pub(crate) const RELOAD_KEY: usize = 3;

/// The signals that came, kept until the loop reads them.
pub struct Signals {
    leave: UnixStream,
    reload: UnixStream,
}

impl Signals {
    /// Heeds them from here on. Before this either signal ends the process, so it is the first thing that a
    /// start does: reading a large configuration takes a while.
    ///
    /// # Errors
    /// No socket can be had.
    pub fn heed() -> io::Result<Signals> {
        let heed = |signal| {
            let (heard, sender) = UnixStream::pair()?;
            heard.set_nonblocking(true)?;
            signal_hook::low_level::pipe::register(signal, sender)?;
            io::Result::Ok(heard)
        };
        Ok(Signals {
            leave: heed(SIGTERM)?,
            reload: heed(SIGHUP)?,
        })
    }

    /// Has the poller tell of them, those included that came before.
    pub(crate) fn watch(&self, poller: &Poller) -> io::Result<()> {
        for (heard, key) in [(&self.leave, DRAIN_KEY), (&self.reload, RELOAD_KEY)] {
            // SAFETY: the node keeps the sockets as long as the poller.
            unsafe { poller.add_with_mode(heard, Event::readable(key), PollMode::Level)? };
        }
        Ok(())
    }

    /// Takes note of one, however often it was sent meanwhile.
    pub(crate) fn acknowledge(&mut self, key: usize) {
        let signal = if key == DRAIN_KEY {
            &mut self.leave
        } else {
            &mut self.reload
        };
        _ = signal.read(&mut [0; 64]);
    }
}
