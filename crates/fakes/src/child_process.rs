//! Control of the processes that tests and the harness start.

use std::io;
use std::os::unix::process::CommandExt;
use std::process::Command;

use rustix::process::{Signal, set_parent_process_death_signal};

/// Sends a signal, which is named as for `kill`, such as `-TERM`.
///
/// # Panics
/// The signal can't be sent.
pub fn send_signal(pid: u32, name: &str) {
    let status = Command::new("kill").args([name, &pid.to_string()]).status();
    assert!(
        status.is_ok_and(|status| status.success()),
        "kill {name} {pid}"
    );
}

/// Has the kernel kill the started process when the thread that starts it ends for any reason.
pub fn end_with_parent(command: &mut Command) {
    let set_death_signal =
        || set_parent_process_death_signal(Some(Signal::KILL)).map_err(io::Error::from);
    // SAFETY: one system call, no allocation and no lock between fork and exec.
    unsafe { command.pre_exec(set_death_signal) };
}
