//! SIGTERM, SIGINT and SIGHUP as sockets in the poller. SIGTERM and SIGINT mean the same and share a socket.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::retry::retry_at_start;
use polling::{Event, PollMode, Poller};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Poller key of SIGTERM and SIGINT, which make the node drain and stop.
pub(crate) const DRAIN_KEY: usize = 2;
/// Poller key of SIGHUP, which makes the node reload its configuration.
pub(crate) const RELOAD_KEY: usize = 3;

/// Signals that arrived and have not been handled by the event loop.
pub struct Signals {
    drain: Receiver,
    reload: Receiver,
}

/// Receives some of the signals. The flag holds each of them; the socket wakes the poller, unless the write to it fails.
struct Receiver {
    is_pending: Arc<AtomicBool>,
    socket: UnixStream,
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
        for key in [DRAIN_KEY, RELOAD_KEY] {
            let socket = &self.receiver(key).socket;
            // SAFETY: the node owns both the sockets and the poller, and keeps them equally long.
            unsafe { poller.add_with_mode(socket, Event::readable(key), PollMode::Level)? };
        }
        Ok(())
    }

    /// Returns true if a signal has arrived that is not acknowledged, also if the poller was not woken for it.
    pub(crate) fn is_pending(&self, key: usize) -> bool {
        self.receiver(key).is_pending.load(Ordering::SeqCst)
    }

    /// Clears a pending signal, even if it was sent several times.
    pub(crate) fn acknowledge(&mut self, key: usize) {
        let receiver = self.receiver(key);
        // The flag is cleared first, so that a signal that arrives meanwhile stays pending.
        receiver.is_pending.store(false, Ordering::SeqCst);
        _ = (&receiver.socket).read(&mut [0; 64]);
    }

    fn receiver(&self, key: usize) -> &Receiver {
        if key == DRAIN_KEY {
            &self.drain
        } else {
            &self.reload
        }
    }
}

/// Returns the receiver of these signals.
fn register(signals: &[i32]) -> io::Result<Receiver> {
    let is_pending = Arc::default();
    let (socket, sender) = UnixStream::pair()?;
    socket.set_nonblocking(true)?;
    for signal in signals {
        signal_hook::flag::register(*signal, Arc::clone(&is_pending))?;
        signal_hook::low_level::pipe::register(*signal, sender.try_clone()?)?;
    }
    Ok(Receiver { is_pending, socket })
}
