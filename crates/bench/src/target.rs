//! The node under load: a process pinned to a dedicated core, with a backend that answers immediately.

mod churn;

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::thread;
use std::time::Duration;

use doortrack_fakes::fixture::{NodeFixture, NodeSetup, connect};
use doortrack_fakes::immediate;
use doortrack_protocols::Protocol;
use rustix::process::Pid;
use rustix::thread::{CpuSet, sched_setaffinity};
use serde_json::{Value, json};

use self::churn::{ChurningPeers, fleet_settings};

/// Nominal ports; [`NodeSetup::port`] maps each to a free one.
const LISTENER_PORT: u16 = 9091;
const FLEET_PORT: u16 = 7400;
/// Time to wait after the start: a node rejects requests until it has heard from its engine or servers.
const START_TIME: Duration = Duration::from_millis(300);
/// Concurrency limit of the application server, and its number of threads.
const SERVER_CONCURRENCY: usize = 64;

/// What runs the requests of the node.
#[derive(Clone, Copy)]
pub enum Backend {
    /// An engine.
    Engine,
    /// An application server with this protocol.
    Server(Protocol),
}

/// Options for starting a node under load.
pub struct TargetOptions<'a> {
    /// The executable of the node and its peers.
    pub program: &'a Path,
    /// The protocol of the node's own listener; `None` for the platform's listener.
    pub listener: Option<Protocol>,
    /// The backend of the node.
    pub backend: Backend,
    /// Number of rules in the installation file, the last of which matches; unused for the platform's listener.
    pub rules: usize,
    /// The core to which the node is pinned.
    pub core: usize,
    /// Size of the fleet including the node; 1 for no fleet.
    pub fleet_size: usize,
}

/// A running node and its peers, which are stopped on drop.
pub struct Target {
    node: NodeFixture,
    /// The address at which the node accepts requests.
    pub address: SocketAddr,
    _peers: Option<ChurningPeers>,
}

/// Resources that a process used.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUsage {
    /// CPU time since the start of the process, in microseconds.
    pub cpu_us: u64,
    /// Current resident memory in kB.
    pub memory_kb: u64,
}

impl Target {
    /// Starts a node and waits until it accepts requests.
    ///
    /// # Errors
    /// Returns an error if a socket operation fails or the node cannot be pinned to its core.
    pub fn start(options: &TargetOptions) -> io::Result<Target> {
        let mut setup = NodeSetup::new(options.program);
        set_unlimited_resources(&mut setup);
        let mut installation = json!({});
        let address = match options.listener {
            Some(protocol) => add_listener(&mut setup, &mut installation, protocol, options.rules),
            None => setup.address,
        };
        add_backend(&mut setup, &mut installation, options.backend)?;
        let fleet_address = setup.port(FLEET_PORT);
        if options.fleet_size > 1 {
            installation["fleet"] = fleet_settings(fleet_address, fleet_address);
        }
        // Earlier builds do not support an installation file and are measured on the platform's listener.
        setup.installation = Some(installation).filter(|file| file != &json!({}));
        let node = setup.start();
        pin_to_core(&node, options.core)?;
        drop(connect(address));
        thread::sleep(START_TIME);
        let peers = options.fleet_size.saturating_sub(1);
        Ok(Target {
            node,
            address,
            _peers: (peers > 0)
                .then(|| ChurningPeers::start(options.program, peers, fleet_address)),
        })
    }

    /// Returns the resources that the node has used since its start.
    pub fn usage(&self) -> ResourceUsage {
        let process = format!("/proc/{}", self.node.program.id());
        let status = fs::read_to_string(format!("{process}/status")).unwrap_or_default();
        let memory_kb = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(first_number)
            .unwrap_or(0);
        // `schedstat` counts in nanoseconds, `stat` only in hundredths of a second.
        let schedstat = fs::read_to_string(format!("{process}/schedstat")).unwrap_or_default();
        let cpu_ns = first_number(&schedstat).unwrap_or(0);
        ResourceUsage {
            cpu_us: cpu_ns / 1000,
            memory_kb,
        }
    }
}

fn first_number(text: &str) -> Option<u64> {
    text.split_whitespace().next()?.parse().ok()
}

/// Raises the resource limits so that the node rejects no request: the benchmark measures forwarding, not
/// rejections.
fn set_unlimited_resources(setup: &mut NodeSetup) {
    let resources = &mut setup.config["settings"]["family_info"];
    resources["cores"] = json!(1000);
    resources["memory_kb"] = json!(10_000_000);
    resources["keepalive_max"] = json!(3_600_000_000u64);
}

fn add_listener(
    setup: &mut NodeSetup,
    installation: &mut Value,
    protocol: Protocol,
    rules: usize,
) -> SocketAddr {
    let address = setup.port(LISTENER_PORT);
    let listener = json!({"protocol": protocol.name(), "listen": address.to_string()});
    installation["fronts"] = json!([listener]);
    if rules > 0 {
        let unmatched = |index| json!({"when": format!("path.starts_with(\"/yard-{index}/\")"), "group": "look"});
        let matching =
            json!({"when": "path == \"/svc/look\" && method == \"POST\"", "group": "look"});
        installation["rules"] = (1..rules).map(unmatched).chain([matching]).collect();
    }
    address
}

fn add_backend(
    setup: &mut NodeSetup,
    installation: &mut Value,
    backend: Backend,
) -> io::Result<()> {
    match backend {
        Backend::Engine => {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            setup.config["engine"] = json!(listener.local_addr()?.to_string());
            immediate::start_engine(listener);
        }
        Backend::Server(protocol) => {
            let address = immediate::start_server(protocol, SERVER_CONCURRENCY)?;
            installation["servers"] = json!({
                "protocol": protocol.name(),
                "addresses": [address.to_string()],
                "at_once": SERVER_CONCURRENCY,
            });
        }
    }
    Ok(())
}

fn pin_to_core(node: &NodeFixture, core: usize) -> io::Result<()> {
    let mut cores = CpuSet::new();
    cores.set(core);
    sched_setaffinity(Pid::from_raw(node.program.id() as i32), &cores)?;
    Ok(())
}
