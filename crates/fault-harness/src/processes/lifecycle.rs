//! Starts, reloads and ends processes.

use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::PoisonError;

use doortrack_fakes::fixture::config;
use doortrack_fakes::unix_ms;
use rustix::process::Signal;
use serde_json::{Value, json};

use super::{Node, Rig, RunResult, log};
use crate::history::{HistoryEvent, node_name};
use crate::traffic::{Backend, ProcessExit, Traffic, TrafficCounts};
use doortrack_fakes::child_process::end_with_parent;

/// Time from SIGTERM to a node's exit, in ms.
pub(super) const SHUTDOWN_MS: u64 = 1_000;
/// Limit of a node's log lines per second, high enough for every member change.
const LOG_LINES_PER_S: &str = "5000";
/// Random seed of the first node; the others follow.
const FIRST_SEED: u64 = 0x5eed_0000;

impl Rig {
    /// Starts a node's process, unless one runs. The process gets the name of the node with number `named`.
    ///
    /// # Errors
    /// The program can't be started.
    pub fn start(&mut self, node: usize, named: usize, extra: &Value) -> io::Result<()> {
        self.start_with_clock(node, named, 0, extra)
    }

    /// As [`Rig::start`], with an offset of the process's clock in ms.
    ///
    /// # Errors
    /// The program can't be started.
    pub fn start_with_clock(
        &mut self,
        node: usize,
        named: usize,
        clock_ms: i64,
        extra: &Value,
    ) -> io::Result<()> {
        if let Some(process) = &mut self.nodes[node].process {
            if process.try_wait()?.is_none() {
                return Ok(());
            }
            self.record(HistoryEvent::Ended { node });
        }
        let config_file = self.write_config(node, named)?;
        self.write_installation(node, extra)?;
        let mut process = self.command(node, &config_file, clock_ms).spawn()?;
        self.record(HistoryEvent::Began { node });
        self.start_log_reader(node, &mut process)?;
        self.nodes[node] = Node {
            process: Some(process),
            is_suspended: false,
            ..self.nodes[node]
        };
        Ok(())
    }

    fn write_config(&self, node: usize, named: usize) -> io::Result<PathBuf> {
        let mut config = config();
        config["name"] = json!(node_name(named));
        config["listen"] = json!(self.listener_address(node).to_string());
        config["stop_ms"] = json!(SHUTDOWN_MS);
        config["seed"] = json!(format!("{:016x}", FIRST_SEED + node as u64));
        let path = self.folder.join(format!("{node}.json"));
        std::fs::write(&path, config.to_string())?;
        Ok(path)
    }

    fn write_installation(&self, node: usize, extra: &Value) -> io::Result<()> {
        let file = self.installation(node, extra);
        std::fs::write(self.installation_file(node), file.to_string())
    }

    fn command(&self, node: usize, config_file: &Path, clock_ms: i64) -> Command {
        let mut command = Command::new(&self.program);
        command
            .arg("serve")
            .arg("--installation")
            .arg(self.installation_file(node))
            .args(["--log-format", "json", "--log-lines", LOG_LINES_PER_S])
            .arg(format!("--test-clock-ms={clock_ms}"))
            .args(self.arguments.get(&node).into_iter().flatten())
            .env("GW_CONFIG", config_file)
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        end_with_parent(&mut command);
        command
    }

    fn start_log_reader(&mut self, node: usize, process: &mut Child) -> io::Result<()> {
        if let Some(output) = process.stderr.take() {
            let (history, began) = (self.history.clone(), self.began);
            let reader = std::thread::Builder::new()
                .spawn(move || log::record_member_changes(node, output, &history, began))?;
            self.log_readers.push(reader);
        }
        Ok(())
    }

    /// Starts a process of the older build.
    pub(super) fn start_older(&mut self, node: usize, extra: &Value) -> io::Result<()> {
        let missing = || io::Error::other("start_older: no older build was given");
        let older = self.older.clone().ok_or_else(missing)?;
        let newer = std::mem::replace(&mut self.program, older);
        let result = self.start(node, node, extra);
        self.program = newer;
        result
    }

    /// Has a node reload a new installation file, by SIGHUP.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn reload(&mut self, node: usize, extra: &Value) -> io::Result<()> {
        self.write_installation(node, extra)?;
        self.nodes[node].signal(Signal::HUP);
        Ok(())
    }

    pub(super) fn kill(&mut self, node: usize) {
        // Read before the signal, as a caller may notice the exit before the harness does.
        let at = unix_ms();
        self.nodes[node].signal(Signal::KILL);
        if let Some(mut process) = self.nodes[node].process.take() {
            _ = process.wait();
            self.record(HistoryEvent::Ended { node });
            self.exits.push(ProcessExit {
                listener: self.caller_address(node),
                at,
                answers_due_before: 0,
            });
        }
    }

    /// Kills a process that is shutting down, before the node is started again.
    pub(super) fn kill_if_shutting_down(&mut self, node: usize) {
        if self.nodes[node].process.is_some() {
            self.kill(node);
        }
    }

    /// Kills all processes and returns what was recorded.
    pub fn finish(mut self) -> RunResult {
        self.finish_with(None)
    }

    /// As [`Rig::finish`], after the callers have their last answers, which are checked by the four rules.
    pub fn finish_with(&mut self, traffic: Option<(Traffic, &Backend)>) -> RunResult {
        let (traffic_counts, violations) = match traffic {
            Some((traffic, backend)) => traffic.finish(backend, &self.exits_and_breaks()),
            None => (TrafficCounts::default(), Vec::new()),
        };
        for node in &mut self.nodes {
            node.signal(Signal::KILL);
            if let Some(mut process) = node.process.take() {
                _ = process.wait();
            }
        }
        for reader in std::mem::take(&mut self.log_readers) {
            _ = reader.join();
        }
        let mut history =
            std::mem::take(&mut *self.history.lock().unwrap_or_else(PoisonError::into_inner));
        history.sort();
        RunResult {
            history,
            relay: self.relay.counts(),
            traffic_counts,
            violations,
        }
    }

    /// Exits of processes, and connections that a proxy broke: the requests of both need no answer.
    fn exits_and_breaks(&self) -> Vec<ProcessExit> {
        let breaks = self.caller_proxies.iter().flat_map(|proxy| {
            proxy.breaks().into_iter().map(|at| ProcessExit {
                listener: proxy.address,
                at,
                answers_due_before: 0,
            })
        });
        self.exits.iter().copied().chain(breaks).collect()
    }
}
