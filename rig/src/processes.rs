//! Real processes of the program, over loopback: how they are started and ended, and what they tell. What
//! faults do to them, how they are asked and how a script is played stand in files of their own.

mod asking;
mod faults;
mod play;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Instant;

use doortrack_standins::bed::{config, fresh_address};
use doortrack_standins::unix_ms;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use crate::history::{History, What, current_name, name};
use crate::relay::{Passed, Relay};
use crate::streams::Stream;
use crate::traffic::{Behind, Death, Served, Traffic};

pub use play::{play, play_beside};

const FRONT: u16 = 9_090;
const FLEET: u16 = 7_400;
const STAND_IN: u16 = 7_401;
/// From SIGTERM to a node's stop, and the last of it, in which it takes nothing more.
const STOP_MS: u64 = 1_000;
const LAST_MOMENTS: u64 = 300;
/// What a node may write in a second, so that no news is left out of the history.
const LINES: &str = "5000";
/// The nodes of one play and what lies between them. Every process is ended when it is dropped.
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
    /// Between each node and those who ask it, where the play breaks that.
    doors: Vec<Stream>,
    /// An older build, for `start_older`.
    pub older: Option<PathBuf>,
    /// Further words of a node's command line, by its number.
    pub words: BTreeMap<usize, Vec<String>>,
}

struct Node {
    at: SocketAddr,
    process: Option<Child>,
    stopped: bool,
}

/// What a play on processes came to.
pub struct Played {
    pub history: History,
    pub passed: Passed,
    pub served: Served,
    /// Breaches of the four rules, in words.
    pub violations: Vec<String>,
}

impl Node {
    fn port(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.at.ip(), port)
    }

    fn signal(&self, signal: Signal) {
        let pid = self.process.as_ref().and_then(|process| Pid::from_raw(process.id() as i32));
        if let Some(pid) = pid {
            _ = kill_process(pid, signal);
        }
    }
}

/// What the nodes of a play have beside their fleet: more keys of the operators' file.
pub type More<'a> = &'a dyn Fn(usize) -> Value;

impl Rig {
    /// Makes ready for so many nodes; none is started.
    ///
    /// # Errors
    /// A folder or a relay that can't be had.
    pub fn new(program: &Path, nodes: usize, seed: u64) -> io::Result<Rig> {
        let nodes: Vec<Node> =
            (0..nodes).map(|_| Node { at: fresh_address(), process: None, stopped: false }).collect();
        let pairs: Vec<_> = nodes.iter().map(|node| (node.port(FLEET), node.port(STAND_IN))).collect();
        let relay = Relay::open(&pairs, seed)?;
        let first = nodes.first().map_or(String::new(), |node| node.at.ip().to_string());
        let folder = std::env::temp_dir().join(format!("doortrack-rig-{}-{first}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("fleet.key"), "5a".repeat(32))?;
        let history = Arc::new(Mutex::new(History { nodes: nodes.len(), entries: Vec::new() }));
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
            words: BTreeMap::new(),
        })
    }

    /// What each node's operators' file says of the server behind all, each by a stream of its own.
    ///
    /// # Errors
    /// No address can be had.
    pub fn behind(&mut self, behind: &Behind) -> io::Result<Vec<Value>> {
        for nth in 0..self.nodes.len() {
            self.streams.push(Stream::to(behind.at(), nth as u64)?);
        }
        Ok(self.streams.iter().map(|stream| behind.installation(stream.at)).collect())
    }

    /// Puts a stream of its own between each node and those who ask it.
    ///
    /// # Errors
    /// No address can be had.
    pub fn open_doors(&mut self) -> io::Result<()> {
        for of in 0..self.nodes.len() {
            self.doors.push(Stream::to(self.front(of), 1_000 + of as u64)?);
        }
        Ok(())
    }

    /// Where callers are to ask a node.
    pub fn door(&self, of: usize) -> SocketAddr {
        self.doors.get(of).map_or(self.front(of), |door| door.at)
    }

    /// The start of the play's time.
    pub fn begin(&mut self) {
        self.began = Instant::now();
    }

    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn put(&self, what: What) {
        let at_ms = self.now_ms();
        self.history.lock().unwrap_or_else(PoisonError::into_inner).put(at_ms, what);
    }

    /// Where callers reach a node, and where its fleet does without the relay.
    pub fn front(&self, of: usize) -> SocketAddr {
        self.nodes[of].port(FRONT)
    }

    pub fn fleet(&self, of: usize) -> SocketAddr {
        self.nodes[of].port(FLEET)
    }

    pub fn key_file(&self) -> PathBuf {
        self.folder.join("fleet.key")
    }

    pub fn pid(&self, of: usize) -> Option<u32> {
        self.nodes[of].process.as_ref().map(Child::id)
    }

    /// What a node's operators' file says: its fleet, and `more`.
    pub fn installation(&self, of: usize, more: &Value) -> Value {
        let seeds: Vec<String> =
            self.nodes.iter().take(3).map(|node| node.port(STAND_IN).to_string()).collect();
        let mut whole = json!({"fleet": {"name": "rig", "listen": self.nodes[of].port(FLEET).to_string(),
            "advertise": self.nodes[of].port(STAND_IN).to_string(), "seeds": seeds,
            "key_file": "fleet.key"}});
        for (key, value) in more.as_object().into_iter().flatten() {
            match (whole.get_mut(key).and_then(Value::as_object_mut), value.as_object()) {
                (Some(old), Some(new)) => old.extend(new.clone()),
                _ => whole[key] = value.clone(),
            }
        }
        whole
    }

    /// Starts a process of a node, where none runs. `name_of` is the name under which it goes.
    ///
    /// # Errors
    /// The program can't be started.
    pub fn start(&mut self, of: usize, name_of: usize, more: &Value) -> io::Result<()> {
        self.start_off(of, name_of, 0, more)
    }

    /// Has a node read another operators' file, by SIGHUP.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn reload(&mut self, of: usize, more: &Value) -> io::Result<()> {
        std::fs::write(self.own_file(of), self.installation(of, more).to_string())?;
        self.nodes[of].signal(Signal::HUP);
        Ok(())
    }

    fn own_file(&self, of: usize) -> PathBuf {
        self.folder.join(format!("{of}.installation.json"))
    }

    /// Starts a process of the older build.
    fn start_older(&mut self, of: usize, more: &Value) -> io::Result<()> {
        let none = || io::Error::other("start_older: no older build was given");
        let older = self.older.clone().ok_or_else(none)?;
        let newer = std::mem::replace(&mut self.program, older);
        let started = self.start(of, of, more);
        self.program = newer;
        started
    }

    /// As [`Rig::start`], with the process's clock so many ms off.
    ///
    /// # Errors
    /// The program can't be started.
    pub fn start_off(&mut self, of: usize, name_of: usize, clock_ms: i64, more: &Value) -> io::Result<()> {
        if let Some(process) = &mut self.nodes[of].process {
            if process.try_wait()?.is_none() {
                return Ok(());
            }
            self.put(What::Ended { node: of });
        }
        let mut handed = config();
        handed["name"] = json!(name(name_of));
        handed["listen"] = json!(self.front(of).to_string());
        handed["stop_ms"] = json!(STOP_MS);
        handed["seed"] = json!(format!("{:016x}", 0x5eed_0000 + of as u64));
        let (file, own) = (self.folder.join(format!("{of}.json")), self.own_file(of));
        std::fs::write(&file, handed.to_string())?;
        std::fs::write(&own, self.installation(of, more).to_string())?;
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--installation").arg(&own);
        command.args(["--log-format", "json", "--log-lines", LINES]);
        command.arg(format!("--test-clock-ms={clock_ms}"));
        command.args(self.words.get(&of).into_iter().flatten());
        command.env("GW_CONFIG", &file).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut process = command.spawn()?;
        self.put(What::Began { node: of });
        if let Some(log) = process.stderr.take() {
            let (history, began) = (self.history.clone(), self.began);
            let reader = std::thread::Builder::new().spawn(move || read(of, log, &history, began))?;
            self.readers.push(reader);
        }
        self.nodes[of] = Node { process: Some(process), stopped: false, ..self.nodes[of] };
        Ok(())
    }

    fn end(&mut self, of: usize) {
        // Before the signal: a caller may learn of the end sooner than the rig.
        let at = unix_ms();
        self.nodes[of].signal(Signal::KILL);
        if let Some(mut process) = self.nodes[of].process.take() {
            _ = process.wait();
            self.put(What::Ended { node: of });
            self.deaths.push(Death { front: self.door(of), at, owed_before: 0 });
        }
    }

    /// One that was told to leave has had its time to stop.
    fn end_leaving(&mut self, of: usize) {
        if self.nodes[of].process.is_some() {
            self.end(of);
        }
    }

    /// Ends all processes, and gives what was told.
    pub fn finish(mut self) -> Played {
        self.finish_with(None)
    }

    /// As [`Rig::finish`], once the callers have their last answers.
    pub fn finish_with(&mut self, traffic: Option<(Traffic, &Behind)>) -> Played {
        let (served, violations) = match traffic {
            Some((traffic, behind)) => {
                // What the rig itself broke off owes no answer, like what it ended.
                let broke = self.doors.iter().flat_map(|door| {
                    door.breaks().into_iter().map(|at| Death { front: door.at, at, owed_before: 0 })
                });
                let ended: Vec<Death> = self.deaths.iter().copied().chain(broke).collect();
                traffic.finish(behind, &ended)
            }
            None => Default::default(),
        };
        (0..self.nodes.len()).for_each(|of| {
            self.nodes[of].signal(Signal::KILL);
            if let Some(mut process) = self.nodes[of].process.take() {
                _ = process.wait();
            }
        });
        for reader in std::mem::take(&mut self.readers) {
            _ = reader.join();
        }
        let mut history = std::mem::take(&mut *self.history.lock().unwrap_or_else(PoisonError::into_inner));
        history.sort();
        Played { history, passed: self.relay.passed(), served, violations }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        (0..self.nodes.len()).for_each(|of| self.end(of));
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Puts what a process logs of its fleet into the history.
fn read(of: usize, log: impl io::Read, history: &Mutex<History>, began: Instant) {
    for line in BufReader::new(log).lines().map_while(Result::ok) {
        let Ok(line) = serde_json::from_str::<Value>(&line) else { continue };
        if line["msg"] != "member" {
            continue;
        }
        let text = |key: &str| line[key].as_str().map(str::to_string);
        let number = |key: &str| line[key].as_u64().unwrap_or_default();
        let what = What::MemberChange {
            node: of,
            change: text("what").map_or(String::new(), |change| current_name(&change).to_string()),
            member: text("of"),
            // Builds before the renaming log it as `life`.
            incarnation: text("incarnation").or_else(|| text("life")),
            view: number("view"),
            members: number("members") as usize,
        };
        let at_ms = began.elapsed().as_millis() as u64;
        history.lock().unwrap_or_else(PoisonError::into_inner).put(at_ms, what);
    }
}
