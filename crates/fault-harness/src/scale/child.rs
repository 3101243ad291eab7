//! Processes of hollow nodes, and the resource usage of processes.

use std::io::{self, BufRead, BufReader, Write};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

use super::error::ScaleError;
use super::protocol::{HollowCommand, HollowReply};
use doortrack_fakes::child_process::end_with_parent;

/// The resource usage of a process up to `at`.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    pub at: Instant,
    /// User and system time of all threads, with the resolution of the system clock tick (usually 10 ms).
    pub processor: Duration,
    pub resident_kilobytes: u64,
}

/// Reads the usage from `/proc/PID/stat` and `/proc/PID/status`.
///
/// # Errors
/// The process has ended.
pub fn usage(pid: u32) -> Result<Usage, ScaleError> {
    let wrap = |source| ScaleError::Proc { pid, source };
    let process = procfs::process::Process::new(pid as i32).map_err(wrap)?;
    let stat = process.stat().map_err(wrap)?;
    let status = process.status().map_err(wrap)?;
    let seconds = (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64;
    let processor = Duration::from_secs_f64(seconds);
    Ok(Usage {
        at: Instant::now(),
        processor,
        resident_kilobytes: status.vmrss.unwrap_or(0),
    })
}

/// A process of hollow nodes, killed on drop.
pub struct HollowProcess {
    pub nodes: Range<usize>,
    child: Child,
    input: Option<ChildStdin>,
    output: BufReader<ChildStdout>,
}

/// The program and plan of a process of hollow nodes.
#[derive(Clone, Debug)]
pub struct HollowProgram {
    /// The program of the harness.
    pub harness: PathBuf,
    /// The plan as JSON.
    pub plan_file: PathBuf,
}

impl HollowProcess {
    /// Starts a process that runs the nodes of this range.
    ///
    /// # Errors
    /// The program can't be started.
    pub fn start(
        program: &HollowProgram,
        nodes: Range<usize>,
    ) -> Result<HollowProcess, ScaleError> {
        let mut command = hollow_command(&program.harness, &program.plan_file, &nodes);
        let mut child = command
            .spawn()
            .map_err(ScaleError::io(program.harness.display()))?;
        let (input, output) = (child.stdin.take(), child.stdout.take());
        let no_pipe = || ScaleError::Hollow {
            nodes: nodes.clone(),
            why: "no pipe".into(),
        };
        let output = BufReader::new(output.ok_or_else(no_pipe)?);
        Ok(HollowProcess {
            nodes,
            child,
            input,
            output,
        })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a command without waiting for its reply.
    ///
    /// # Errors
    /// The process has ended.
    pub fn send(&mut self, command: &HollowCommand) -> Result<(), ScaleError> {
        let text = serde_json::to_string(command).map_err(|e| self.failed(e))?;
        let input = self.input.as_mut();
        let written = input.map_or(Err(io::ErrorKind::BrokenPipe.into()), |input| {
            writeln!(input, "{text}")
        });
        written.map_err(|e| self.failed(e))
    }

    /// Waits for the reply to the oldest unanswered command.
    ///
    /// # Errors
    /// The process has ended, or the command failed.
    pub fn receive(&mut self) -> Result<HollowReply, ScaleError> {
        let mut line = String::new();
        let len = self
            .output
            .read_line(&mut line)
            .map_err(|e| self.failed(e))?;
        if len == 0 {
            return Err(self.failed("the process has ended"));
        }
        match serde_json::from_str(&line).map_err(|e| self.failed(e))? {
            HollowReply::Failed { why } => Err(self.failed(why)),
            reply => Ok(reply),
        }
    }

    fn failed(&self, why: impl ToString) -> ScaleError {
        ScaleError::Hollow {
            nodes: self.nodes.clone(),
            why: why.to_string(),
        }
    }
}

impl Drop for HollowProcess {
    fn drop(&mut self) {
        self.input = None;
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

fn hollow_command(harness: &Path, plan_file: &Path, nodes: &Range<usize>) -> Command {
    let mut command = Command::new(harness);
    command.arg("hollow").arg("--plan").arg(plan_file);
    command.arg("--from").arg(nodes.start.to_string());
    command.arg("--to").arg(nodes.end.to_string());
    command.stdin(Stdio::piped()).stdout(Stdio::piped());
    end_with_parent(&mut command);
    command
}
