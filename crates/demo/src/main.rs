//! `doortrack-demo`: toy counterparts of a node, to try one by hand: an engine and a registry, an application
//! server, and a caller.

mod engine;
mod request;

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand, ValueEnum};
use doortrack_fakes::interrupt::on_interrupt;
use doortrack_fakes::server::{Behavior, Server};
use doortrack_protocols::Protocol;

use crate::request::Request;

/// Addresses in `examples/node.json`.
const ENGINE: &str = "127.0.0.1:4400";
const REGISTRY: &str = "127.0.0.1:2379";
/// Ports of the node's listeners in the files of `examples/`.
const FASTCGI_PORT: u16 = 9090;
const UWSGI_PORT: u16 = 9091;
/// Run time of a request at the application server.
const RUN_TIME: Duration = Duration::from_secs(1);
/// From an interrupt to the application server's end: a run and its answer.
const SHUTDOWN_TIME: Duration = Duration::from_millis(1_200);

/// Plays what a node talks to, so that one can be tried by hand with the files of `examples/`.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays the engine and the registry of examples/node.json, and tells what it sees
    Serve,
    /// Plays an application server that takes a second for each run
    Work {
        #[arg(long, value_enum, default_value = "uwsgi")]
        protocol: ProtocolArgument,
        #[arg(long, default_value = "127.0.0.1:7001")]
        listen: SocketAddr,
    },
    /// Sends one request to the node and prints the answer
    Ask {
        #[arg(long, value_enum, default_value = "fastcgi")]
        protocol: ProtocolArgument,
        /// Absent: 127.0.0.1:9090 over FastCGI, 127.0.0.1:9091 over uwsgi
        #[arg(long)]
        node: Option<SocketAddr>,
        group: String,
        text: String,
        #[arg(default_value = "east-quay")]
        tenant: String,
        /// 32 hex digits, for the group `moor`
        idempotency_key: Option<String>,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum ProtocolArgument {
    Fastcgi,
    Uwsgi,
}

impl From<ProtocolArgument> for Protocol {
    fn from(argument: ProtocolArgument) -> Protocol {
        match argument {
            ProtocolArgument::Fastcgi => Protocol::FastCgi,
            ProtocolArgument::Uwsgi => Protocol::Uwsgi,
        }
    }
}

fn main() -> ExitCode {
    let command = Cli::parse().command;
    if let Err(e) = end_in_order_on_interrupt(&command) {
        eprintln!("doortrack-demo: signals: {e}");
        return ExitCode::FAILURE;
    }
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("doortrack-demo: {e}");
            ExitCode::FAILURE
        }
    }
}

/// At SIGINT or SIGTERM a server answers what runs, and ends.
fn end_in_order_on_interrupt(command: &Command) -> io::Result<()> {
    let remaining = match command {
        Command::Serve => Duration::ZERO, // The node learns of the end of its engine by itself.
        Command::Work { .. } => SHUTDOWN_TIME,
        Command::Ask { .. } => return Ok(()),
    };
    on_interrupt(move || {
        println!("ending");
        std::thread::sleep(remaining);
        std::process::exit(0);
    })
}

fn run(command: Command) -> io::Result<()> {
    match command {
        Command::Serve => engine::serve(ENGINE, REGISTRY),
        Command::Work { protocol, listen } => serve_requests(protocol.into(), listen),
        Command::Ask {
            protocol,
            node,
            group,
            text,
            tenant,
            idempotency_key,
        } => {
            let protocol = protocol.into();
            let request = Request {
                group: &group,
                text: &text,
                tenant: &tenant,
                idempotency_key: idempotency_key.as_deref(),
            };
            request::send(
                node.unwrap_or_else(|| default_listener(protocol)),
                protocol,
                &request,
            )
        }
    }
}

fn default_listener(protocol: Protocol) -> SocketAddr {
    let port = match protocol {
        Protocol::FastCgi => FASTCGI_PORT,
        Protocol::Uwsgi => UWSGI_PORT,
    };
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Runs an application server until the process ends.
fn serve_requests(protocol: Protocol, listen: SocketAddr) -> io::Result<()> {
    let _server = Server::start_at(listen, protocol, |request| {
        let body = String::from_utf8_lossy(&request.body);
        println!("run: {body}");
        Behavior::Answer {
            status: "200 OK",
            body: format!("done: {body}").into_bytes(),
            after: RUN_TIME,
        }
    });
    println!("{protocol} server at {listen}");
    loop {
        std::thread::park();
    }
}
