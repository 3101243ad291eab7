//! A node under load: a process on a core of its own, with work behind it that takes no time.

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

/// Ports of the plan, which maps each to a free one.
const LISTENER_PORT: u16 = 9091;
const FLEET_PORT: u16 = 7400;
/// A node rejects requests until it has heard from its engine or servers.
const START_TIME: Duration = Duration::from_millis(300);
/// Concurrency limit of the application server, and its threads.
const SERVER_CONCURRENCY: usize = 64;

/// What runs the requests.
#[derive(Clone, Copy)]
pub enum Backend {
    /// An engine.
    Engine,
    /// An application server over this protocol.
    Server(Protocol),
}

/// How a node is set up.
pub struct TargetOptions<'a> {
    /// The program of the node and its peers.
    pub program: &'a Path,
    /// The protocol of a listener of its own; absent for the platform's.
    pub listener: Option<Protocol>,
    /// What runs the requests.
    pub backend: Backend,
    /// Rules of the installation, the last of which matches. None for the platform's listener.
    pub rules: usize,
    /// The core that the node has to itself.
    pub core: usize,
    /// Nodes of its fleet, itself included; 1 for none.
    pub fleet_size: usize,
}

/// A running node. Ends when dropped, with its peers.
pub struct Target {
    node: NodeFixture,
    /// Where it takes requests.
    pub address: SocketAddr,
    _peers: Option<ChurningPeers>,
}

/// Resources that a process used.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUsage {
    /// Processor time since its start, in microseconds.
    pub cpu_us: u64,
    /// Resident memory now.
    pub memory_kb: u64,
}

impl Target {
    /// Starts a node and waits until it takes requests.
    ///
    /// # Errors
    /// Those of sockets, and of setting the core.
    pub fn start(options: &TargetOptions) -> io::Result<Target> {
        let mut plan = NodeSetup::new(options.program);
        set_unlimited_resources(&mut plan);
        let mut installation = json!({});
        let address = match options.listener {
            Some(protocol) => add_listener(&mut plan, &mut installation, protocol, options.rules),
            None => plan.address,
        };
        add_backend(&mut plan, &mut installation, options.backend)?;
        let fleet_address = plan.port(FLEET_PORT);
        if options.fleet_size > 1 {
            installation["fleet"] = fleet_settings(fleet_address, fleet_address);
        }
        // Earlier builds know no such file, and are measured on the platform's listener.
        plan.installation = Some(installation).filter(|file| file != &json!({}));
        let node = plan.start();
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

    /// What the node has used.
    pub fn usage(&self) -> ResourceUsage {
        let process = format!("/proc/{}", self.node.program.id());
        let status = fs::read_to_string(format!("{process}/status")).unwrap_or_default();
        let memory_kb = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(first_number)
            .unwrap_or(0);
        // The scheduler's own count is finer than the hundredths of a second of `stat`.
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

/// The path of a request is measured, not the decision on it: nothing is to be rejected.
fn set_unlimited_resources(plan: &mut NodeSetup) {
    let resources = &mut plan.config["settings"]["family_info"];
    resources["cores"] = json!(1000);
    resources["memory_kb"] = json!(10_000_000);
    resources["keepalive_max"] = json!(3_600_000_000u64);
}

fn add_listener(
    plan: &mut NodeSetup,
    installation: &mut Value,
    protocol: Protocol,
    rules: usize,
) -> SocketAddr {
    let address = plan.port(LISTENER_PORT);
    let listener = json!({"protocol": protocol.name(), "listen": address.to_string()});
    installation["fronts"] = json!([listener]);
    if rules > 0 {
        let other = |index| json!({"when": format!("path.starts_with(\"/yard-{index}/\")"), "group": "look"});
        let matching =
            json!({"when": "path == \"/svc/look\" && method == \"POST\"", "group": "look"});
        installation["rules"] = (1..rules).map(other).chain([matching]).collect();
    }
    address
}

fn add_backend(plan: &mut NodeSetup, installation: &mut Value, backend: Backend) -> io::Result<()> {
    match backend {
        Backend::Engine => {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            plan.config["engine"] = json!(listener.local_addr()?.to_string());
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
