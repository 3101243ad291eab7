//! Real processes of the program on loopback: how they are started and ended, and how their logs are read.
//! The modules below inject faults, query nodes and run scripts.

mod faults;
mod querying;
mod run;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Instant;

use doortrack_fakes::bed::{config, fresh_address};
use doortrack_fakes::unix_ms;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use crate::history::{History, What, current_name, name};
use crate::relay::{Relay, RelayCounts};
use crate::streams::Stream;
use crate::traffic::{Behind, Death, Served, Traffic};

pub use run::{run, run_with_older};

/// Ports at each node's own loopback address: of its callers, of its fleet, and of the relay for its fleet.
const FRONT: u16 = 9_090;
const FLEET: u16 = 7_400;
const STAND_IN: u16 = 7_401;
/// Time from SIGTERM to a node's exit, in ms, and the end of that time, in which it accepts nothing more.
const STOP_MS: u64 = 1_000;
const LAST_MOMENTS: u64 = 300;
/// Log lines a second that a node may write: enough for every member change.
const LINES: &str = "5000";
/// Each byte of the fleet's key.
const KEY_BYTE: u8 = 0x5a;

/// The nodes of one run and what connects them. Every process is killed when it is dropped.
pub struct Rig {
    program: PathBuf,
    nodes: Vec<Node>,
    pub relay: Relay,
    folder: PathBuf,
    began: Instant,
    history: Arc<Mutex<History>>,
    readers: Vec<JoinHandle<()>>,
    deaths: Vec<Death>,
    streams: Vec<Stream>,
    /// Proxies between each node and its callers, where the script has faults for them.
    doors: Vec<Stream>,
    /// An older build, for `start_older`.
    pub older: Option<PathBuf>,
    /// Further arguments of a node's command line, by its number.
    pub arguments: BTreeMap<usize, Vec<String>>,
}

struct Node {
    at: SocketAddr,
    process: Option<Child>,
    stopped: bool,
}

/// The result of a run on processes.
pub struct RunResult {
    pub history: History,
    pub relay: RelayCounts,
    pub served: Served,
    /// Violations of the four rules, described.
    pub violations: Vec<String>,
}

impl Node {
    fn port(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.at.ip(), port)
    }

    fn signal(&self, signal: Signal) {
        let pid = self
            .process
            .as_ref()
            .and_then(|process| Pid::from_raw(process.id() as i32));
        if let Some(pid) = pid {
            _ = kill_process(pid, signal);
        }
    }
}

/// Further keys of each node's operators' file, beside its fleet.
pub type More<'a> = &'a dyn Fn(usize) -> Value;

impl Rig {
    /// Prepares addresses, files and the relay of so many nodes; none is started.
    ///
    /// # Errors
    /// The folder can't be created, or the relay can't be opened.
    pub fn new(program: &Path, nodes: usize, seed: u64) -> io::Result<Rig> {
        let nodes: Vec<Node> = (0..nodes)
            .map(|_| Node {
                at: fresh_address(),
                process: None,
                stopped: false,
            })
            .collect();
        let pairs: Vec<_> = nodes
            .iter()
            .map(|node| (node.port(FLEET), node.port(STAND_IN)))
            .collect();
        let relay = Relay::open(&pairs, seed)?;
        let first = nodes
            .first()
            .map_or(String::new(), |node| node.at.ip().to_string());
        let folder =
            std::env::temp_dir().join(format!("doortrack-harness-{}-{first}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(
            folder.join("fleet.key"),
            format!("{KEY_BYTE:02x}").repeat(32),
        )?;
        let history = Arc::new(Mutex::new(History {
            nodes: nodes.len(),
            entries: Vec::new(),
        }));
        let (began, readers) = (Instant::now(), Vec::new());
        let (program, deaths) = (program.to_path_buf(), Vec::new());
        let (streams, doors) = Default::default();
        Ok(Rig {
            program,
            nodes,
            relay,
            folder,
            began,
            history,
            readers,
            deaths,
            streams,
            doors,
            older: None,
            arguments: BTreeMap::new(),
        })
    }

    /// The part of each node's operators' file that names the server, reached through a proxy of its own.
    ///
    /// # Errors
    /// A proxy can't be started.
    pub fn behind(&mut self, behind: &Behind) -> io::Result<Vec<Value>> {
        for node in 0..self.nodes.len() {
            self.streams.push(Stream::to(behind.at(), node as u64)?);
        }
        Ok(self
            .streams
            .iter()
            .map(|stream| behind.installation(stream.at))
            .collect())
    }

    /// Puts a proxy between each node and its callers.
    ///
    /// # Errors
    /// A proxy can't be started.
    pub fn open_doors(&mut self) -> io::Result<()> {
        for node in 0..self.nodes.len() {
            self.doors
                .push(Stream::to(self.front(node), 1_000 + node as u64)?);
        }
        Ok(())
    }

    /// The address for callers: of the node, or of the proxy before it.
    pub fn door(&self, node: usize) -> SocketAddr {
        self.doors
            .get(node)
            .map_or(self.front(node), |door| door.at)
    }

    /// Starts the run's clock.
    pub fn begin(&mut self) {
        self.began = Instant::now();
    }

    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn put(&self, what: What) {
        let at_ms = self.now_ms();
        self.history
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .put(at_ms, what);
    }

    /// The node's own address for callers.
    pub fn front(&self, node: usize) -> SocketAddr {
        self.nodes[node].port(FRONT)
    }

    /// The node's own address for its fleet, without the relay.
    pub fn fleet(&self, node: usize) -> SocketAddr {
        self.nodes[node].port(FLEET)
    }

    /// The file of the fleet's key.
    pub fn key_file(&self) -> PathBuf {
        self.folder.join("fleet.key")
    }

    /// The process id of a node; `None` if none was started.
    pub fn pid(&self, node: usize) -> Option<u32> {
        self.nodes[node].process.as_ref().map(Child::id)
    }

    /// A node's operators' file: its fleet, and `more`.
    pub fn installation(&self, node: usize, more: &Value) -> Value {
        let seeds: Vec<String> = self
            .nodes
            .iter()
            .take(3)
            .map(|node| node.port(STAND_IN).to_string())
            .collect();
        let mut whole = json!({"fleet": {"name": "rig", "listen": self.nodes[node].port(FLEET).to_string(),
            "advertise": self.nodes[node].port(STAND_IN).to_string(), "seeds": seeds,
            "key_file": "fleet.key"}});
        for (key, value) in more.as_object().into_iter().flatten() {
            match (
                whole.get_mut(key).and_then(Value::as_object_mut),
                value.as_object(),
            ) {
                (Some(old), Some(new)) => old.extend(new.clone()),
                _ => whole[key] = value.clone(),
            }
        }
        whole
    }

    /// Starts a node's process, unless one runs. It is configured with the name of node `named`.
    ///
    /// # Errors
    /// The program can't be started.
    pub fn start(&mut self, node: usize, named: usize, more: &Value) -> io::Result<()> {
        self.start_off(node, named, 0, more)
    }

    /// Has a node reload a new operators' file, by SIGHUP.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn reload(&mut self, node: usize, more: &Value) -> io::Result<()> {
        std::fs::write(
            self.installation_file(node),
            self.installation(node, more).to_string(),
        )?;
        self.nodes[node].signal(Signal::HUP);
        Ok(())
    }

    fn installation_file(&self, node: usize) -> PathBuf {
        self.folder.join(format!("{node}.installation.json"))
    }

    /// Starts a process of the older build.
    fn start_older(&mut self, node: usize, more: &Value) -> io::Result<()> {
        let none = || io::Error::other("start_older: no older build was given");
        let older = self.older.clone().ok_or_else(none)?;
        let newer = std::mem::replace(&mut self.program, older);
        let started = self.start(node, node, more);
        self.program = newer;
        started
    }

    /// As [`Rig::start`], with an offset of the process's clock in ms.
    ///
    /// # Errors
    /// The program can't be started.
    pub fn start_off(
        &mut self,
        node: usize,
        named: usize,
        clock_ms: i64,
        more: &Value,
    ) -> io::Result<()> {
        if let Some(process) = &mut self.nodes[node].process {
            if process.try_wait()?.is_none() {
                return Ok(());
            }
            self.put(What::Ended { node });
        }
        let mut config = config();
        config["name"] = json!(name(named));
        config["listen"] = json!(self.front(node).to_string());
        config["stop_ms"] = json!(STOP_MS);
        config["seed"] = json!(format!("{:016x}", 0x5eed_0000 + node as u64));
        let config_file = self.folder.join(format!("{node}.json"));
        let installation_file = self.installation_file(node);
        std::fs::write(&config_file, config.to_string())?;
        std::fs::write(
            &installation_file,
            self.installation(node, more).to_string(),
        )?;
        let mut command = Command::new(&self.program);
        command
            .arg("serve")
            .arg("--installation")
            .arg(&installation_file);
        command.args(["--log-format", "json", "--log-lines", LINES]);
        command.arg(format!("--test-clock-ms={clock_ms}"));
        command.args(self.arguments.get(&node).into_iter().flatten());
        command
            .env("GW_CONFIG", &config_file)
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut process = command.spawn()?;
        self.put(What::Began { node });
        if let Some(log) = process.stderr.take() {
            let (history, began) = (self.history.clone(), self.began);
            let reader =
                std::thread::Builder::new().spawn(move || read_log(node, log, &history, began))?;
            self.readers.push(reader);
        }
        self.nodes[node] = Node {
            process: Some(process),
            stopped: false,
            ..self.nodes[node]
        };
        Ok(())
    }

    fn kill(&mut self, node: usize) {
        // Before the signal: a caller may notice the exit sooner than the rig.
        let at = unix_ms();
        self.nodes[node].signal(Signal::KILL);
        if let Some(mut process) = self.nodes[node].process.take() {
            _ = process.wait();
            self.put(What::Ended { node });
            self.deaths.push(Death {
                front: self.door(node),
                at,
                owed_before: 0,
            });
        }
    }

    /// Kills a process that was told to leave, before the node is started again.
    fn kill_leaving(&mut self, node: usize) {
        if self.nodes[node].process.is_some() {
            self.kill(node);
        }
    }

    /// Kills all processes and returns what was recorded.
    pub fn finish(mut self) -> RunResult {
        self.finish_with(None)
    }

    /// As [`Rig::finish`], once the callers have their last answers, which are judged.
    pub fn finish_with(&mut self, traffic: Option<(Traffic, &Behind)>) -> RunResult {
        let (served, violations) = match traffic {
            Some((traffic, behind)) => {
                // A request whose connection the rig broke needs no answer, like one to a killed process.
                let broke = self.doors.iter().flat_map(|door| {
                    door.breaks().into_iter().map(|at| Death {
                        front: door.at,
                        at,
                        owed_before: 0,
                    })
                });
                let ended: Vec<Death> = self.deaths.iter().copied().chain(broke).collect();
                traffic.finish(behind, &ended)
            }
            None => Default::default(),
        };
        for node in &mut self.nodes {
            node.signal(Signal::KILL);
            if let Some(mut process) = node.process.take() {
                _ = process.wait();
            }
        }
        for reader in std::mem::take(&mut self.readers) {
            _ = reader.join();
        }
        let mut history =
            std::mem::take(&mut *self.history.lock().unwrap_or_else(PoisonError::into_inner));
        history.sort();
        RunResult {
            history,
            relay: self.relay.counts(),
            served,
            violations,
        }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        (0..self.nodes.len()).for_each(|node| self.kill(node));
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Records the member changes that a process logs in the history.
fn read_log(node: usize, log: impl io::Read, history: &Mutex<History>, began: Instant) {
    for line in BufReader::new(log).lines().map_while(Result::ok) {
        let Ok(line) = serde_json::from_str::<Value>(&line) else {
            continue;
        };
        if line["msg"] != "member" {
            continue;
        }
        let text = |key: &str| line[key].as_str().map(str::to_string);
        let number = |key: &str| line[key].as_u64().unwrap_or_default();
        let what = What::MemberChange {
            node,
            // Former builds log the change as `what` and the member as `of`.
            change: text("change")
                .or_else(|| text("what"))
                .map_or(String::new(), |change| current_name(&change).to_string()),
            member: text("member").or_else(|| text("of")),
            // Builds before the renaming log it as `life`.
            incarnation: text("incarnation").or_else(|| text("life")),
            view: number("view"),
            members: number("members") as usize,
        };
        let at_ms = began.elapsed().as_millis() as u64;
        history
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .put(at_ms, what);
    }
}
