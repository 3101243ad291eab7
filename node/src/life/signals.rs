//! The signals that the node heeds, each by a socket of its own in the poller.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;

use polling::{Event, PollMode, Poller};
use signal_hook::consts::{SIGHUP, SIGTERM};

/// SIGTERM, the notice to leave, and SIGHUP, the word that the configuration was replaced.
pub(crate) const LEAVE_KEY: usize = 2;
pub(crate) const RELOAD_KEY: usize = 3;

pub(crate) struct Signals {
    leave: UnixStream,
    reload: UnixStream,
}

impl Signals {
    pub(crate) fn open(poller: &Poller) -> io::Result<Signals> {
        let watch = |signal, key| {
            let (heard, sender) = UnixStream::pair()?;
            heard.set_nonblocking(true)?;
            signal_hook::low_level::pipe::register(signal, sender)?;
            // SAFETY: the node keeps the socket as long as the poller.
            unsafe { poller.add_with_mode(&heard, Event::readable(key), PollMode::Level)? };
            io::Result::Ok(heard)
        };
        Ok(Signals { leave: watch(SIGTERM, LEAVE_KEY)?, reload: watch(SIGHUP, RELOAD_KEY)? })
    }

    /// Takes note of one, however often it was sent meanwhile.
    pub(crate) fn acknowledge(&mut self, key: usize) {
        let signal = if key == LEAVE_KEY { &mut self.leave } else { &mut self.reload };
        _ = signal.read(&mut [0; 64]);
    }
}
