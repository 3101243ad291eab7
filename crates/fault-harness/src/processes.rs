//! A fleet of real node processes on loopback: addresses, files and proxies.
//!
//! The submodules start and end processes, read their logs, inject faults, query nodes and run scripts.

mod faults;
mod lifecycle;
mod log;
mod querying;
mod run;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Child;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Instant;

use doortrack_fakes::fixture::fresh_address;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use crate::history::{History, HistoryEvent};
use crate::relay::{Relay, RelayCounts};
use crate::tcp_proxy::TcpProxy;
use crate::traffic::{Backend, ProcessExit, TrafficCounts};
use doortrack_fakes::scratch_folder::ScratchFolder;

pub use run::{run, run_with_older};

/// Ports at each node's own loopback address: for its callers, for its fleet, and of its socket in the relay.
const LISTENER_PORT: u16 = 9_090;
const FLEET_PORT: u16 = 7_400;
const RELAY_PORT: u16 = 7_401;
/// Nodes that each node contacts to join the fleet.
const SEED_COUNT: usize = 3;
/// Value of each byte of the fleet's key, and the key's length in bytes.
const KEY_BYTE: u8 = 0x5a;
const KEY_BYTES: usize = 32;
const KEY_FILE: &str = "fleet.key";
/// First random seed of the proxies in front of nodes; those in front of the server start at 0.
const FIRST_CALLER_PROXY_SEED: u64 = 1_000;

/// A test rig: the node processes of one run, and the relay and proxies between them. Dropping the rig kills all
/// processes.
pub struct Rig {
    program: PathBuf,
    nodes: Vec<Node>,
    /// The links between the nodes.
    pub relay: Relay,
    folder: ScratchFolder,
    began: Instant,
    history: Arc<Mutex<History>>,
    log_readers: Vec<JoinHandle<()>>,
    exits: Vec<ProcessExit>,
    /// Proxies between each node and its server.
    server_proxies: Vec<TcpProxy>,
    /// Proxies between each node and its callers, where the script has faults for them.
    caller_proxies: Vec<TcpProxy>,
    /// An older build, for `start_older`.
    pub older: Option<PathBuf>,
    /// Further arguments of a node's command line, by its number.
    pub arguments: BTreeMap<usize, Vec<String>>,
}

struct Node {
    /// The node's own loopback address; the port is unused.
    address: SocketAddr,
    process: Option<Child>,
    is_suspended: bool,
}

/// The result of a run on processes.
pub struct RunResult {
    /// The joint history.
    pub history: History,
    /// Counts of datagrams between the nodes.
    pub relay: RelayCounts,
    /// Counts of the callers' requests.
    pub traffic_counts: TrafficCounts,
    /// Violations of the four rules, described.
    pub violations: Vec<String>,
}

impl Node {
    fn new() -> Node {
        Node {
            address: fresh_address(),
            process: None,
            is_suspended: false,
        }
    }

    fn address_with_port(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.address.ip(), port)
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

/// Gives additional keys of a node's installation file, by its number.
pub type ExtraSettings<'a> = &'a dyn Fn(usize) -> Value;

impl Rig {
    /// Prepares addresses, files and the relay for `node_count` nodes. Starts no node.
    ///
    /// # Errors
    /// The folder can't be created, or the relay can't be opened.
    pub fn new(program: &Path, node_count: usize, seed: u64) -> io::Result<Rig> {
        let nodes: Vec<Node> = (0..node_count).map(|_| Node::new()).collect();
        let addresses: Vec<(SocketAddr, SocketAddr)> = nodes
            .iter()
            .map(|node| {
                (
                    node.address_with_port(FLEET_PORT),
                    node.address_with_port(RELAY_PORT),
                )
            })
            .collect();
        let relay = Relay::open(&addresses, seed)?;
        let folder = create_folder(nodes.first())?;
        Ok(Rig {
            program: program.to_path_buf(),
            nodes,
            relay,
            folder,
            began: Instant::now(),
            history: Arc::new(Mutex::new(History {
                nodes: node_count,
                entries: Vec::new(),
            })),
            log_readers: Vec::new(),
            exits: Vec::new(),
            server_proxies: Vec::new(),
            caller_proxies: Vec::new(),
            older: None,
            arguments: BTreeMap::new(),
        })
    }

    /// Puts a proxy between each node and the server. Returns the part of each node's installation file that
    /// names the server.
    ///
    /// # Errors
    /// A proxy can't be started.
    pub fn connect_backend(&mut self, backend: &Backend) -> io::Result<Vec<Value>> {
        for node in 0..self.nodes.len() {
            let proxy = TcpProxy::start(backend.address(), node as u64)?;
            self.server_proxies.push(proxy);
        }
        Ok(self
            .server_proxies
            .iter()
            .map(|proxy| backend.installation(proxy.address))
            .collect())
    }

    /// Puts a proxy between each node and its callers.
    ///
    /// # Errors
    /// A proxy can't be started.
    pub fn open_caller_proxies(&mut self) -> io::Result<()> {
        for node in 0..self.nodes.len() {
            let seed = FIRST_CALLER_PROXY_SEED + node as u64;
            let proxy = TcpProxy::start(self.listener_address(node), seed)?;
            self.caller_proxies.push(proxy);
        }
        Ok(())
    }

    /// The address for callers: that of the proxy in front of the node, if there is one, or else of the node.
    pub fn caller_address(&self, node: usize) -> SocketAddr {
        self.caller_proxies
            .get(node)
            .map_or(self.listener_address(node), |proxy| proxy.address)
    }

    /// Sets the start of the run to now.
    pub fn start_clock(&mut self) {
        self.began = Instant::now();
    }

    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn record(&self, event: HistoryEvent) {
        let at_ms = self.now_ms();
        self.history
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record(at_ms, event);
    }

    /// The node's own address for callers.
    pub fn listener_address(&self, node: usize) -> SocketAddr {
        self.nodes[node].address_with_port(LISTENER_PORT)
    }

    /// The node's own address for its fleet, without the relay.
    pub fn fleet_address(&self, node: usize) -> SocketAddr {
        self.nodes[node].address_with_port(FLEET_PORT)
    }

    /// The file of the fleet's key.
    pub fn key_file(&self) -> PathBuf {
        self.folder.join(KEY_FILE)
    }

    /// The process id of a node; `None` if none was started.
    pub fn pid(&self, node: usize) -> Option<u32> {
        self.nodes[node].process.as_ref().map(Child::id)
    }

    /// A node's installation file: its fleet settings, merged with `extra`, whose objects extend those of the same
    /// key.
    pub fn installation(&self, node: usize, extra: &Value) -> Value {
        let relay_address = |node: &Node| node.address_with_port(RELAY_PORT).to_string();
        let seeds: Vec<String> = self
            .nodes
            .iter()
            .take(SEED_COUNT)
            .map(relay_address)
            .collect();
        let mut file = json!({"fleet": {
            "name": "rig",
            "listen": self.fleet_address(node).to_string(),
            "advertise": relay_address(&self.nodes[node]),
            "seeds": seeds,
            "key_file": KEY_FILE,
        }});
        for (key, value) in extra.as_object().into_iter().flatten() {
            let present = file.get_mut(key).and_then(Value::as_object_mut);
            match (present, value.as_object()) {
                (Some(present), Some(added)) => present.extend(added.clone()),
                _ => file[key] = value.clone(),
            }
        }
        file
    }

    fn installation_file(&self, node: usize) -> PathBuf {
        self.folder.join(format!("{node}.installation.json"))
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        (0..self.nodes.len()).for_each(|node| self.kill(node));
    }
}

/// Creates the run's folder, named after this process and the first node, with the key file.
fn create_folder(first: Option<&Node>) -> io::Result<ScratchFolder> {
    let first = first.map_or(String::new(), |node| node.address.ip().to_string());
    let folder = ScratchFolder::create(&format!("harness-{}-{first}", std::process::id()))?;
    let key = format!("{KEY_BYTE:02x}").repeat(KEY_BYTES);
    std::fs::write(folder.join(KEY_FILE), key)?;
    Ok(folder)
}
