//! What holds for processes that end with the one that started them.

use std::io;
use std::os::unix::process::CommandExt;
use std::process::Command;

use rustix::process::{Signal, set_parent_process_death_signal};

/// Has the system kill a process when the thread that starts it ends, however that comes about.
pub fn end_with_parent(command: &mut Command) {
    let tie = || set_parent_process_death_signal(Some(Signal::KILL)).map_err(io::Error::from);
    // SAFETY: one system call, no allocation and no lock between fork and exec.
    unsafe { command.pre_exec(tie) };
}
