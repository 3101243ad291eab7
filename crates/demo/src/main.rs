//! `doortrack-demo`: simplified peers of a node, for trying a node by hand: an engine with a registry, an
//! application server, and a caller.

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

/// Addresses of the engine and the registry in `examples/node.json`.
const ENGINE_ADDRESS: &str = "127.0.0.1:4400";
const REGISTRY_ADDRESS: &str = "127.0.0.1:2379";
/// Ports of the node's listeners in the files under `examples/`.
const FASTCGI_PORT: u16 = 9090;
const UWSGI_PORT: u16 = 9091;
/// Time that the application server takes for each request.
const RUN_TIME: Duration = Duration::from_secs(1);
/// Time from an interrupt to the exit of the application server, long enough for a run to finish and its answer
/// to be sent.
const SHUTDOWN_TIME: Duration = Duration::from_millis(1_200);

/// Simulates the peers of a node, for trying a node by hand with the files under `examples/`.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the engine and the registry of examples/node.json, and print the messages they receive
    Serve,
    /// Run an application server that takes one second for each request
    Work {
        #[arg(long, value_enum, default_value = "uwsgi")]
        protocol: ProtocolArgument,
        #[arg(long, default_value = "127.0.0.1:7001")]
        listen: SocketAddr,
    },
    /// Send one request to the node and print the answer
    Ask {
        #[arg(long, value_enum, default_value = "fastcgi")]
        protocol: ProtocolArgument,
        /// Address of the node [default: 127.0.0.1:9090 for FastCGI, 127.0.0.1:9091 for uwsgi]
        #[arg(long)]
        node: Option<SocketAddr>,
        group: String,
        text: String,
        #[arg(default_value = "east-quay")]
        tenant: String,
        /// Idempotency key of 32 hex digits, for the group `moor`
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
    if let Err(e) = install_shutdown_handler(&command) {
        eprintln!("doortrack-demo: cannot handle signals: {e}");
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

/// Makes a server finish its requests and exit on SIGINT or SIGTERM.
fn install_shutdown_handler(command: &Command) -> io::Result<()> {
    let grace_period = match command {
        Command::Serve => Duration::ZERO, // The node detects the closed connection.
        Command::Work { .. } => SHUTDOWN_TIME,
        Command::Ask { .. } => return Ok(()),
    };
    on_interrupt(move || {
        println!("ending");
        std::thread::sleep(grace_period);
        std::process::exit(0);
    })
}

fn run(command: Command) -> io::Result<()> {
    match command {
        Command::Serve => engine::serve(ENGINE_ADDRESS, REGISTRY_ADDRESS),
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

/// Runs an application server until the process exits.
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
