//! `doortrack-bench`: measures a node under load, over FastCGI or uwsgi. All connections use loopback, so only
//! figures of the same run are comparable.

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

/// Applies load to one node after another, and reports requests per second, latency and CPU time.
///
/// Each node is restarted for each round, on a dedicated core, with a backend that answers immediately.
/// Each round measures every combination of node, listener and backend once, so that other activity of the
/// machine affects all of them alike.
#[derive(Parser)]
#[command(version)]
struct Cli {
    /// Programs to compare, each as NAME=PATH; a program without listeners of its own supports only the
    /// platform's listener
    #[arg(long = "node", value_name = "NAME=PATH", required = true, value_parser = parse_node)]
    nodes: Vec<(String, PathBuf)>,
    /// Listeners to send requests to
    #[arg(long = "front", value_name = "FRONTS", value_enum, default_values = ["platform", "fastcgi", "uwsgi"])]
    listeners: Vec<Listener>,
    /// Backends that run the requests
    #[arg(long = "work", value_name = "WORKS", value_enum, default_values = ["engine"])]
    work: Vec<Work>,
    /// Requests per second of an open loop, sent at their scheduled times whether or not the node keeps up;
    /// without it a closed loop, in which each caller waits for its answer before its next request
    #[arg(long = "open", value_name = "A_SECOND")]
    open_rate: Option<f64>,
    /// Number of concurrent callers of a closed loop
    #[arg(long, default_value_t = 64)]
    callers: usize,
    /// Number of connections, for a protocol that multiplexes requests
    #[arg(long, default_value_t = 8)]
    connections: usize,
    /// Threads that send the requests
    #[arg(long, default_value_t = 2)]
    threads: usize,
    /// Number of rules in the installation file, the last of which matches every request; not for the
    /// platform's listener
    #[arg(long, default_value_t = 0)]
    rules: usize,
    /// Size of the fleet that the node belongs to, of which another member is killed and restarted every
    /// 1.5 s; 1 for no fleet
    #[arg(long = "fleet", value_name = "FLEETS", default_values = ["1"])]
    fleet_sizes: Vec<usize>,
    /// Length of each request body in bytes
    #[arg(long = "body", value_name = "BODY", default_value_t = 64)]
    body_bytes: usize,
    /// Measured seconds of each round, after a warm-up of a fifth of that
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// Core to which the node is pinned
    #[arg(long, default_value_t = 1)]
    core: usize,
    /// File to which the result of each round is written as JSON
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

/// One combination of node, listener, backend and fleet size.
struct Case<'a> {
    name: &'a str,
    program: &'a Path,
    listener: Listener,
    work: Work,
    fleet_size: usize,
}

impl Listener {
    /// The protocol of one of the node's own listeners, or `None` for the platform's listener.
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
    let (name, path) = argument.split_once('=').ok_or("expected NAME=PATH")?;
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
    /// The listener, the backend and the fleet size, as printed.
    fn setup(&self) -> String {
        let setup = format!("{:?} before {:?}", self.listener, self.work).to_lowercase();
        match self.fleet_size {
            0 | 1 => setup,
            nodes => format!("{setup}, one of {nodes}"),
        }
    }
}
