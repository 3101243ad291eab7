//! The node under test with its servers, and the changes to its installation file.

use std::fs;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use doortrack_bench::process;
use doortrack_fakes::caller::CallerOutcome;
use doortrack_fakes::fixture::{NodeFixture, NodeSetup, connect};
use doortrack_fakes::server::{Behavior, Server};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Map, Value, json};

use crate::Cli;
use crate::load::{PROTOCOL, send};

const LISTENER_PORT: u16 = 9091;
/// Number of server pools. Each change routes the probe to the other one.
const POOLS: usize = 2;
/// Interval between probes that check for a new version.
const PROBE_INTERVAL: Duration = Duration::from_millis(2);

/// A node, its servers, and the versions of its installation file.
pub(crate) struct Testbed {
    node: NodeFixture,
    pub(crate) listener: SocketAddr,
    /// Application servers, each of which answers with the name of its pool.
    _servers: Vec<Server>,
    versions: Vec<String>,
    version: usize,
}

impl Testbed {
    /// Starts a node and waits until it listens.
    pub(crate) fn start(cli: &Cli) -> Testbed {
        let mut setup = NodeSetup::new(&cli.doortrack);
        let listener = setup.port(LISTENER_PORT);
        let servers: Vec<Server> = (0..POOLS)
            .map(|pool| Server::start(PROTOCOL, move |_| Behavior::ok(pool_name(pool))))
            .collect();
        set_tenants_and_deadlines(&mut setup, cli);
        let version = |version| installation(cli.rules, listener, &servers, version);
        setup.installation = Some(version(0));
        let versions = (0..POOLS).map(|pool| version(pool).to_string()).collect();
        let testbed = Testbed {
            node: setup.start(),
            listener,
            _servers: servers,
            versions,
            version: 0,
        };
        drop(connect(listener));
        testbed
    }

    /// Changes one rule without waiting until the change is in force.
    pub(crate) fn change(&mut self) {
        self.version += 1;
        let next = self.node.folder.join("next.json");
        fs::write(&next, &self.versions[self.version % POOLS]).unwrap();
        fs::rename(&next, self.node.folder.join("installation.json")).unwrap();
        let process = Pid::from_raw(self.node.program.id() as i32).unwrap();
        kill_process(process, Signal::HUP).unwrap();
    }

    /// Sends probes until the newest version is in force.
    pub(crate) fn wait_until_in_force(&self) {
        let expected = CallerOutcome::Completed(pool_name(self.version % POOLS).into_bytes());
        while send(self.listener, "/probe") != expected {
            thread::sleep(PROBE_INTERVAL);
        }
    }

    /// Returns a value in kB from `/proc/PID/status` by its name.
    pub(crate) fn memory_kb(&self, name: &str) -> u64 {
        let path = format!("/proc/{}/status", self.node.program.id());
        let status = fs::read_to_string(path).unwrap();
        let line = status.lines().find(|line| line.starts_with(name)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Returns the CPU time of the node since its start.
    pub(crate) fn cpu_ms(&self) -> u64 {
        process::cpu_ms(self.node.program.id())
    }

    /// Shuts the node down gracefully and returns its log.
    pub(crate) fn end(self) -> String {
        self.node.signal("-TERM");
        self.node.wait_for_exit().1
    }
}

fn pool_name(pool: usize) -> String {
    format!("p{pool}")
}

fn set_tenants_and_deadlines(setup: &mut NodeSetup, cli: &Cli) {
    let settings = &mut setup.config["settings"];
    settings["parties"] = (0..cli.tenants)
        .map(|index| json!({"name": format!("customer-{index:05}"), "allowance_per_s": 1}))
        .collect();
    settings["family_info"]["cores"] = json!(64);
    let deadline_us = cli.deadline_ms * 1000;
    for group in settings["lanes"].as_array_mut().unwrap() {
        group["deadline"] = json!(deadline_us);
        group["target"] = json!(deadline_us * 2 / 3);
    }
}

fn installation(rules: usize, listener: SocketAddr, servers: &[Server], version: usize) -> Value {
    let pool = |server: &Server| json!({"protocol": "uwsgi", "addresses": [server.address.to_string()], "at_once": 64});
    let pools: Map<String, Value> = (0..servers.len())
        .map(pool_name)
        .zip(servers.iter().map(pool))
        .collect();
    let rule = |index: usize| {
        let when = format!(
            "path.starts_with(\"/yard-{index}/\") && (header(\"x-yard\") ?? \"\") == \"north-{index}\""
        );
        json!({"when": when, "group": "look", "subject": "segment(1)", "rank": "0.5"})
    };
    let probe = json!({"when": "path == \"/probe\"", "group": "look",
        "servers": pool_name(version % POOLS)});
    let rules: Vec<Value> = (1..rules).map(rule).chain([probe]).collect();
    json!({"fronts": [{"protocol": "uwsgi", "listen": listener.to_string()}], "servers": pool(&servers[0]),
        "pools": pools, "rules": rules, "otherwise": "look"})
}
