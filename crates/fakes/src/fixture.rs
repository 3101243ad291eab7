//! Starts the program under test, each time on an address of its own.

use std::io::{ErrorKind, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::MAX_WAIT;
use crate::child_process::{end_with_parent, send_signal};
use crate::engine::Engine;
use crate::records::{Client, IDEMPOTENCY_KEY, request};
use crate::scratch_folder::ScratchFolder;

static STARTED: AtomicU32 = AtomicU32::new(0);

/// The port at which a node listens for dispatchers.
const NODE_PORT: u16 = 9090;
/// The ports that tests use at the address of one node.
const NODE_PORTS: RangeInclusive<u16> = NODE_PORT..=9099;
/// Number of IP addresses that differ in their second byte.
const SECOND_BYTES: u32 = 200;
/// Changes of the third byte, which is of the process id, for further addresses: none that runs at the same time has them.
const THIRD_BYTE_CHANGES: [u8; 4] = [0, 0x80, 0x40, 0xc0];
/// Number of IP addresses of one test process; they are used again after that.
const MAX_ADDRESSES: u32 = SECOND_BYTES * THIRD_BYTE_CHANGES.len() as u32;

/// Returns a loopback address for one node, at which the ports that tests use are free. Calls in a row return
/// different IP addresses.
pub fn fresh_address() -> SocketAddr {
    let [.., b, c] = std::process::id().to_be_bytes();
    for _ in 0..MAX_ADDRESSES {
        let count = STARTED.fetch_add(1, Ordering::Relaxed);
        let change = THIRD_BYTE_CHANGES[(count % MAX_ADDRESSES / SECOND_BYTES) as usize];
        let ip = Ipv4Addr::new(127, 20 + (count % SECOND_BYTES) as u8, b ^ change, c);
        // A node of an earlier test may still run at an address that is used again.
        let is_free = |port| TcpListener::bind((ip, port)).is_ok();
        if NODE_PORTS.into_iter().all(is_free) {
            return SocketAddr::from((ip, NODE_PORT));
        }
    }
    panic!("no loopback address is free for another node");
}

pub fn open_registry() -> UdpSocket {
    let registry = UdpSocket::bind("127.0.0.1:0").unwrap();
    registry.set_read_timeout(Some(MAX_WAIT)).unwrap();
    registry
}

/// The settings and arguments that a node is started with.
pub struct NodeSetup {
    program: PathBuf,
    /// Where the node listens for dispatchers.
    pub address: SocketAddr,
    pub config: Value,
    /// The content of the installation file; none is passed if this is `None`.
    pub installation: Option<Value>,
    /// Command line arguments after `serve`.
    pub arguments: Vec<String>,
    /// The soft limit on the node's descriptors (RLIMIT_NOFILE); `None` inherits the limit of the test.
    pub descriptor_limit: Option<u64>,
    /// Environment variables of the node in addition to those of the test.
    pub environment: Vec<(String, String)>,
    /// Whether the node is killed when the thread that starts it ends.
    pub ends_with_parent: bool,
    engine_listener: TcpListener,
    registry: UdpSocket,
}

impl NodeSetup {
    pub fn new(program: impl AsRef<Path>) -> NodeSetup {
        let (node_address, registry) = (fresh_address(), open_registry());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut config = config();
        config["listen"] = json!(node_address.to_string());
        config["engine"] = json!(listener.local_addr().unwrap().to_string());
        config["registry"] = json!(registry.local_addr().unwrap().to_string());
        let program = program.as_ref().to_path_buf();
        NodeSetup {
            program,
            address: node_address,
            config,
            installation: None,
            arguments: Vec::new(),
            descriptor_limit: None,
            environment: Vec::new(),
            ends_with_parent: false,
            engine_listener: listener,
            registry,
        }
    }

    /// The node's IP address with another port.
    pub fn port(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.address.ip(), port)
    }

    pub fn start(self) -> NodeFixture {
        let name = format!("{}-{}", std::process::id(), self.address.ip());
        let folder = ScratchFolder::create(&name).unwrap();
        let file = folder.join("config.json");
        std::fs::write(&file, self.config.to_string()).unwrap();
        let mut command = match self.descriptor_limit {
            None => Command::new(&self.program),
            Some(limit) => {
                let mut shell = Command::new("/bin/sh");
                shell
                    .args(["-c", &format!("ulimit -S -n {limit}; exec \"$0\" \"$@\"")])
                    .arg(&self.program);
                shell
            }
        };
        // Without an installation file or arguments, the node is started as the platform starts it: without `serve`.
        if self.installation.is_some() || !self.arguments.is_empty() {
            command.arg("serve").args(&self.arguments);
        }
        if let Some(installation) = &self.installation {
            let file = folder.join("installation.json");
            std::fs::write(&file, installation.to_string()).unwrap();
            command.arg("--installation").arg(file);
        }
        if self.ends_with_parent {
            end_with_parent(&mut command);
        }
        let program = command
            .env("GW_CONFIG", &file)
            .envs(self.environment)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        NodeFixture {
            program,
            folder,
            address: self.address,
            engine_listener: self.engine_listener,
            registry: self.registry,
        }
    }

    /// Starts the node and connects its engine.
    pub fn start_with_engine(self) -> (NodeFixture, Engine) {
        let fixture = self.start();
        let mut engine = fixture.accept_engine();
        engine.handshake(0);
        (fixture, engine)
    }
}

/// A running node, for which the test acts as engine and registry.
pub struct NodeFixture {
    pub program: Child,
    pub folder: ScratchFolder,
    /// Where the node listens for dispatchers.
    pub address: SocketAddr,
    /// Accepts the node's engine link.
    pub engine_listener: TcpListener,
    pub registry: UdpSocket,
}

impl NodeFixture {
    pub fn accept_engine(&self) -> Engine {
        let deadline = Instant::now() + MAX_WAIT;
        self.engine_listener.set_nonblocking(true).unwrap();
        let sock = loop {
            match self.engine_listener.accept() {
                Ok((sock, _)) => break sock,
                Err(e) => assert!(
                    Instant::now() < deadline,
                    "the node opened no engine link: {e}"
                ),
            }
            std::thread::sleep(Duration::from_millis(2));
        };
        sock.set_nonblocking(false).unwrap();
        sock.set_read_timeout(Some(MAX_WAIT)).unwrap();
        Engine::new(sock)
    }

    pub fn client(&self) -> Client {
        Client {
            sock: connect(self.address),
        }
    }

    /// Sends a deduplicated request and breaks the link to the engine after its RUN. Returns the next link.
    pub fn lose_link_after_run(&self, mut engine: Engine, client: &mut Client) -> Engine {
        engine.answer_stats(1);
        client.send(&request(1, 1, "/svc/pay", &[IDEMPOTENCY_KEY], b""));
        while engine.read_command()["msg"] != "RUN" {}
        drop(engine);
        let mut engine = self.accept_engine();
        engine.handshake(0);
        engine
    }

    pub fn next_report(&self) -> String {
        let mut text = [0; 100];
        let n = loop {
            match self.registry.recv(&mut text) {
                // EINTR if the test process was stopped and resumed; the node has sent nothing.
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                received => break received.unwrap(),
            }
        };
        String::from_utf8_lossy(&text[..n]).into_owned()
    }

    /// Waits for a report of this state, and skips a bounded number of others.
    pub fn wait_for_report(&self, state: &str) {
        let wanted = format!("BEAT n1 {state}");
        assert!(
            (0..40).any(|_| self.next_report() == wanted),
            "the node never reported {state}"
        );
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        std::fs::write(self.folder.join("config.json"), text).unwrap();
        self.signal("-HUP");
    }

    /// Replaces the installation file and sends SIGHUP.
    pub fn replace_installation(&self, installation: &Value) {
        std::fs::write(
            self.folder.join("installation.json"),
            installation.to_string(),
        )
        .unwrap();
        self.signal("-HUP");
    }

    pub fn signal(&self, name: &str) {
        send_signal(self.program.id(), name);
    }

    /// Waits until the node exits, and returns its exit code and its log.
    pub fn wait_for_exit(mut self) -> (Option<i32>, String) {
        let mut log = String::new();
        self.program
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut log)
            .unwrap();
        (self.program.wait().unwrap().code(), log)
    }
}

impl Drop for NodeFixture {
    fn drop(&mut self) {
        _ = self.program.kill();
        _ = self.program.wait();
    }
}

/// A valid configuration, which tests modify as needed.
pub fn config() -> Value {
    json!({
        "name": "n1", "listen": "127.0.0.1:9090", "engine": "127.0.0.1:4400", "registry": "127.0.0.1:2379",
        "seed": "8c1f30d27a5be964", "stop_ms": 3200, "more": true,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "bounds": {"max_retry_after": 1_000_000, "retry_after": true},
            "family_info": {
                "below": "silent", "calls_by_class": [false, false], "calls_out": 0,
                "class_skip_worth": [0, 0],
                "cores": 4, "deep_checks": false, "dep_window": 5_000_000, "fresh": 0, "fresh_start": false,
                "gauges": ["core_use"], "halt": "drop", "keepalive_max": 30_000_000, "key_kb": 50,
                "linger": 0, "memory_kb": 10_000, "passes_deadline": false, "readiness": true,
                "run_factor": 8, "said_for": 1_000_000, "say": "min_rank"
            },
            "lanes": [
                {"deadline": 30_000_000, "idempotency": "safe", "late_worth": 0, "name": "look",
                    "target": 20_000_000, "window": 5_000_000, "worth": 1},
                {"deadline": 30_000_000, "idempotency": "keyed", "late_worth": 0, "name": "pay",
                    "target": 20_000_000, "window": 60_000_000, "worth": 10}
            ],
            "over_share_worth": 0.1,
            "safety": {"drain_grace": 1_000_000, "overload_for": 2_000_000, "ramp_time": 10_000_000,
                "start_capacity": 0.25, "tip_multiple": 5},
            "servers": 3, "tick": 4000, "worth_by": "request"
        }
    })
}

/// Connects to a listener, and retries while it is not open yet.
pub fn connect(address: SocketAddr) -> TcpStream {
    let deadline = Instant::now() + MAX_WAIT;
    loop {
        match TcpStream::connect(address) {
            Ok(sock) => {
                sock.set_read_timeout(Some(MAX_WAIT)).unwrap();
                return sock;
            }
            Err(e) => assert!(Instant::now() < deadline, "{address}: {e}"),
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}
