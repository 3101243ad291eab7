//! What a doortrack node talks to, as a toy: its engine and registry, an application server, a caller.

mod ask;
mod engine;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand, ValueEnum};
use doortrack_fakes::server::{Act, Server};
use doortrack_protocols::Protocol;

use crate::ask::Wish;

const ENGINE: &str = "127.0.0.1:4400";
const REGISTRY: &str = "127.0.0.1:2379";

/// Plays what a node talks to, so that one can be tried by hand with the files of `examples/`.
#[derive(Parser)]
#[command(version)]
struct Words {
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
        protocol: Spoken,
        #[arg(long, default_value = "127.0.0.1:7001")]
        listen: SocketAddr,
    },
    /// Sends one request to the node and prints the answer
    Ask {
        #[arg(long, value_enum, default_value = "fastcgi")]
        protocol: Spoken,
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
enum Spoken {
    Fastcgi,
    Uwsgi,
}

impl From<Spoken> for Protocol {
    fn from(spoken: Spoken) -> Protocol {
        match spoken {
            Spoken::Fastcgi => Protocol::FastCgi,
            Spoken::Uwsgi => Protocol::Uwsgi,
        }
    }
}

fn main() -> ExitCode {
    let done = match Words::parse().command {
        Command::Serve => engine::serve(ENGINE, REGISTRY),
        Command::Work { protocol, listen } => work(protocol.into(), listen),
        Command::Ask {
            protocol,
            node,
            group,
            text,
            tenant,
            idempotency_key,
        } => {
            let port = if matches!(protocol, Spoken::Uwsgi) {
                9091
            } else {
                9090
            };
            let node = node.unwrap_or(SocketAddr::from(([127, 0, 0, 1], port)));
            let wish = Wish {
                group: &group,
                text: &text,
                tenant: &tenant,
                idempotency_key: idempotency_key.as_deref(),
            };
            ask::ask(node, protocol.into(), wish)
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("doortrack-demo: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Serves until it is killed.
fn work(protocol: Protocol, listen: SocketAddr) -> std::io::Result<()> {
    let _server = Server::start_at(listen, protocol, |got| {
        let body = String::from_utf8_lossy(&got.body).into_owned();
        println!("run: {body}");
        let body = format!("done: {body}").into_bytes();
        Act::Answer {
            status: "200 OK",
            body,
            after: Duration::from_secs(1),
        }
    });
    println!("{protocol} server at {listen}");
    loop {
        std::thread::park();
    }
}
