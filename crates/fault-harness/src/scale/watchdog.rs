//! The bound in time of a whole run.

use std::process::exit;
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::Duration;

/// The exit code of a run that did not end by itself.
pub const OVER_TIME: i32 = 3;

/// Ends this process if it is not dropped in time; the system ends its children then (see
/// [`doortrack_fakes::child_process::end_with_parent`]).
pub struct Watchdog {
    _alive: Sender<()>,
}

impl Watchdog {
    pub fn start(most: Duration) -> Watchdog {
        let (alive, gone) = channel::<()>();
        thread::spawn(move || {
            if gone.recv_timeout(most) == Err(RecvTimeoutError::Timeout) {
                eprintln!(
                    "doortrack-harness scale: not over after {} s, ended",
                    most.as_secs()
                );
                exit(OVER_TIME);
            }
        });
        Watchdog { _alive: alive }
    }
}
