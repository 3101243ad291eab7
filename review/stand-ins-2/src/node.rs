//! A real node, started by the command of the deploy file, with its files in a temporary folder of its own.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::fastcgi::Client;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Process ids of the nodes that run, so that each end of the program ends them.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());
static STARTED: AtomicU32 = AtomicU32::new(0);

/// Ends every node that still runs.
pub fn kill_all() {
    for pid in RUNNING.lock().unwrap().drain(..) {
        // SAFETY: `kill` has no requirements on memory; the id is that of a child that was not waited for.
        unsafe { kill(pid, SIGKILL) };
    }
}

/// A free TCP port on 127.0.0.1.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

/// What a node is started with.
pub struct Setup {
    /// The section `settings` of the platform's file.
    pub settings: String,
    pub memory_mb: u32,
    pub stop_ms: u32,
    pub sockets: u32,
    /// Where the engine listens; without one the node is started with an installation file that names servers.
    pub engine: Option<SocketAddr>,
}

pub struct Node {
    pub pid: i32,
    child: Child,
    /// Where dispatchers connect.
    pub listen: SocketAddr,
    folder: PathBuf,
    /// Takes the reports, which have no answer.
    _registry: UdpSocket,
}

impl Node {
    /// Starts a node, with an installation file unless it is empty, and waits until it answers a health check.
    pub fn start(setup: &Setup, installation: &str) -> Result<Node, String> {
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let name = format!("review-2-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let text = |error: std::io::Error| error.to_string();
        fs::create_dir_all(&folder).map_err(text)?;
        let registry = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).map_err(text)?;
        let listen = free_address();
        // Where servers are named, the node does not connect to an engine; nothing listens at this address.
        let engine = setup.engine.unwrap_or_else(free_address);
        let config = format!(
            r#"{{"name": "n{number}", "listen": "{listen}", "engine": "{engine}", "registry": "{}", "seed": "{:016x}",
 "stop_ms": {}, "limits": {{"cores": 1.0, "memory_mb": {}, "sockets": {}}}, "settings": {}}}"#,
            registry.local_addr().map_err(text)?,
            number + 77,
            setup.stop_ms,
            setup.memory_mb,
            setup.sockets,
            setup.settings,
        );
        let config_file = folder.join("config.json");
        fs::write(&config_file, config).map_err(text)?;
        let installation_file = folder.join("installation.json");
        if !installation.is_empty() {
            fs::write(&installation_file, installation).map_err(text)?;
        }
        let log = File::create(folder.join("log.txt")).map_err(text)?;
        // The line `run` of deploy/balancer.toml, as the platform starts it.
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", "exec target/release/doortrack"])
            .env("GW_CONFIG", &config_file);
        if !installation.is_empty() {
            command.env("DOORTRACK_INSTALLATION", &installation_file);
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(text)?;
        let pid = child.id() as i32;
        RUNNING.lock().unwrap().push(pid);
        let mut node = Node {
            pid,
            child,
            listen,
            folder,
            _registry: registry,
        };
        node.wait_until_ready()?;
        Ok(node)
    }

    fn wait_until_ready(&mut self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(30);
        while Instant::now() < deadline {
            if let Ok(sock) = TcpStream::connect(self.listen) {
                let mut client = Client::new(sock);
                client.send(1, &[("SCRIPT_NAME", "/status/live")], b"");
                if client.read().is_some_and(|answer| answer.status == 200) {
                    return Ok(());
                }
            }
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(format!(
                    "the node ended at its start, {status}:\n{}",
                    self.log()
                ));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Err(format!(
            "the node was not ready within 30 s:\n{}",
            self.log()
        ))
    }

    /// Replaces the installation file, by renaming another over it.
    pub fn replace_installation(&self, installation: &str) {
        let new = self.folder.join("installation.new");
        let mut file = File::create(&new).expect("a file");
        file.write_all(installation.as_bytes())
            .expect("its content");
        drop(file);
        fs::rename(new, self.folder.join("installation.json")).expect("renamed");
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: as in `kill_all`.
        unsafe { kill(self.pid, signal) };
    }

    /// What the node has logged so far.
    pub fn log(&self) -> String {
        let mut text = String::new();
        if let Ok(mut file) = File::open(self.folder.join("log.txt")) {
            _ = file.read_to_string(&mut text);
        }
        text
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// The resident memory in bytes, as the system counts it.
    pub fn resident_bytes(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kb: u64 = line.split_ascii_whitespace().nth(1)?.parse().ok()?;
        Some(kb * 1024)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Ok(None) = self.child.try_wait() {
            _ = self.child.kill();
            _ = self.child.wait();
        }
        RUNNING.lock().unwrap().retain(|pid| *pid != self.pid);
        _ = fs::remove_dir_all(&self.folder);
    }
}
