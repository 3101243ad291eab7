//! A time limit for the whole command.

use std::process::exit;
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::Duration;

/// Exit code of a command that exceeded its time limit.
pub const TIMEOUT_EXIT_CODE: i32 = 3;

/// Ends this process unless dropped within the time limit. The system then kills its children (see
/// [`doortrack_fakes::child_process::end_with_parent`]).
pub struct Watchdog {
    _sender: Sender<()>,
}

impl Watchdog {
    pub fn start(time_limit: Duration) -> Watchdog {
        let (sender, receiver) = channel::<()>();
        thread::spawn(move || {
            if receiver.recv_timeout(time_limit) == Err(RecvTimeoutError::Timeout) {
                eprintln!(
                    "doortrack-harness scale: not over after {} s, ended",
                    time_limit.as_secs()
                );
                exit(TIMEOUT_EXIT_CODE);
            }
        });
        Watchdog { _sender: sender }
    }
}
