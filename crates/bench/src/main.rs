//! `doortrack-bench`: a node under load, over either protocol. Everything runs on loopback sockets of this
//! machine; compare figures within one run only.

mod load;
mod report;
mod request;
mod target;

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, ValueEnum};
use doortrack_protocols::Protocol;

use crate::load::{Arrivals, Load};
use crate::report::{Row, print, write};
use crate::target::{Backend, Target, TargetOptions};

/// Plays load against nodes in turn, and tells requests a second, latency and time on the core.
///
/// Each node is started anew for each round, on a core of its own, with work behind it that takes no time.
/// Rounds go through all nodes, fronts and kinds of work in turn, so that what the machine does besides
/// meets all alike.
#[derive(Parser)]
#[command(version)]
struct Cli {
    /// Programs to compare, each as NAME=PATH; one without fronts of its own is asked on the platform's
    /// listener
    #[arg(long = "node", value_name = "NAME=PATH", required = true, value_parser = parse_node)]
    nodes: Vec<(String, PathBuf)>,
    /// Listeners to ask
    #[arg(long = "front", value_name = "FRONTS", value_enum, default_values = ["platform", "fastcgi", "uwsgi"])]
    listeners: Vec<Listener>,
    /// What does the work
    #[arg(long = "work", value_name = "WORKS", value_enum, default_values = ["engine"])]
    work: Vec<Work>,
    /// Requests a second, begun at their times whatever the node does; absent: as many as it takes, from a
    /// fixed number of callers that each wait for their answer
    #[arg(long = "open", value_name = "A_SECOND")]
    open_rate: Option<f64>,
    /// Requests in flight at once where the loop is closed
    #[arg(long, default_value_t = 64)]
    callers: usize,
    /// Connections, where a protocol has many requests on one
    #[arg(long, default_value_t = 8)]
    connections: usize,
    /// Threads that play the callers
    #[arg(long, default_value_t = 2)]
    threads: usize,
    /// Rules that the installation has, the last of which takes all; not for the platform's listener
    #[arg(long, default_value_t = 0)]
    rules: usize,
    /// Nodes of the fleet that the node is one of; another of them dies and comes anew every 1.5 s; 1 for
    /// none
    #[arg(long = "fleet", value_name = "FLEETS", default_values = ["1"])]
    fleet_sizes: Vec<usize>,
    /// Bytes of each body
    #[arg(long = "body", value_name = "BODY", default_value_t = 64)]
    body_bytes: usize,
    /// Seconds of each round that count; a fifth more goes before
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// The core that the node has to itself
    #[arg(long, default_value_t = 1)]
    core: usize,
    /// Writes every round as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug, PartialEq, ValueEnum)]
enum Listener {
    Platform,
    Fastcgi,
    Uwsgi,
}

#[derive(Clone, Copy, Debug, PartialEq, ValueEnum)]
enum Work {
    Engine,
    Fastcgi,
    Uwsgi,
}

/// One combination of what is measured.
struct Case<'a> {
    name: &'a str,
    program: &'a Path,
    listener: Listener,
    work: Work,
    fleet_size: usize,
}

impl Listener {
    /// The protocol of a listener of the node's own.
    fn protocol(self) -> Option<Protocol> {
        match self {
            Listener::Platform => None,
            Listener::Fastcgi => Some(Protocol::FastCgi),
            Listener::Uwsgi => Some(Protocol::Uwsgi),
        }
    }
}

impl From<Work> for Backend {
    fn from(work: Work) -> Backend {
        match work {
            Work::Engine => Backend::Engine,
            Work::Fastcgi => Backend::Server(Protocol::FastCgi),
            Work::Uwsgi => Backend::Server(Protocol::Uwsgi),
        }
    }
}

fn parse_node(argument: &str) -> Result<(String, PathBuf), String> {
    let (name, path) = argument.split_once('=').ok_or("NAME=PATH is wanted")?;
    Ok((name.to_string(), PathBuf::from(path)))
}

fn main() -> ExitCode {
    match run(&Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("doortrack-bench: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: &Cli) -> io::Result<()> {
    let mut rows = Vec::new();
    for round in 0..cli.rounds {
        for case in cases(cli) {
            let row = measure(cli, &case, round)?;
            eprintln!("{}", row.line());
            rows.push(row);
        }
    }
    print(&rows);
    match &cli.json {
        Some(path) => write(path, &rows),
        None => Ok(()),
    }
}

fn cases(cli: &Cli) -> Vec<Case<'_>> {
    let mut cases = Vec::new();
    for (name, program) in &cli.nodes {
        for listener in &cli.listeners {
            for work in &cli.work {
                cases.extend(cli.fleet_sizes.iter().map(|fleet_size| Case {
                    name,
                    program,
                    listener: *listener,
                    work: *work,
                    fleet_size: *fleet_size,
                }));
            }
        }
    }
    cases
}

fn measure(cli: &Cli, case: &Case, round: usize) -> io::Result<Row> {
    let protocol = case.listener.protocol();
    let target = Target::start(&TargetOptions {
        program: case.program,
        listener: protocol,
        backend: case.work.into(),
        rules: cli.rules,
        core: cli.core,
        fleet_size: case.fleet_size,
    })?;
    let closed_loop = Arrivals::ClosedLoop {
        callers: cli.callers,
    };
    let load = Load {
        address: target.address,
        protocol: protocol.unwrap_or(Protocol::FastCgi),
        arrivals: cli
            .open_rate
            .map_or(closed_loop, |rate| Arrivals::OpenLoop { rate }),
        connections: cli.connections,
        threads: cli.threads,
        body_bytes: cli.body_bytes,
        warm_up: Duration::from_secs_f64(cli.seconds / 5.0),
        duration: Duration::from_secs_f64(cli.seconds),
        seed: round as u64,
    };
    let result = load.run(&target)?;
    Ok(Row::new(case.name, &case.setup(), round, &result))
}

impl Case<'_> {
    /// Listener, work and fleet size, as printed.
    fn setup(&self) -> String {
        let setup = format!("{:?} before {:?}", self.listener, self.work).to_lowercase();
        match self.fleet_size {
            0 | 1 => setup,
            nodes => format!("{setup}, one of {nodes}"),
        }
    }
}
