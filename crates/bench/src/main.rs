//! `doortrack-bench`: what a node does under load, over either protocol. Everything is played on loopback
//! sockets of this machine; figures are to be compared within one run only.

mod load;
mod report;
mod request;
mod target;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, ValueEnum};
use doortrack_protocols::Protocol;

use crate::load::{Load, Pace};
use crate::report::{Row, print, write};
use crate::target::{Behind, Target};

/// Plays load against nodes in turn, and tells requests a second, latency and time on the core.
///
/// Each node is started anew for each round, on a core of its own, with work behind it that takes no time.
/// Rounds go through all nodes, fronts and kinds of work in turn, so that what the machine does besides
/// meets all alike.
#[derive(Parser)]
#[command(version)]
struct Words {
    /// Programs to compare, each as NAME=PATH; one without fronts of its own is asked on the platform's
    /// listener
    #[arg(long = "node", value_name = "NAME=PATH", required = true, value_parser = named)]
    nodes: Vec<(String, PathBuf)>,
    /// Fronts to ask
    #[arg(long = "front", value_enum, default_values = ["platform", "fastcgi", "uwsgi"])]
    fronts: Vec<FrontWord>,
    /// What does the work
    #[arg(long = "work", value_enum, default_values = ["engine"])]
    works: Vec<WorkWord>,
    /// Requests a second, begun at their times whatever the node does; absent: as many as it takes, from a
    /// fixed number of callers that each wait for their answer
    #[arg(long, value_name = "A_SECOND")]
    open: Option<f64>,
    /// Requests in hand at once where the loop is closed
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
    #[arg(long = "fleet", default_values = ["1"])]
    fleets: Vec<usize>,
    /// Bytes of each body
    #[arg(long, default_value_t = 64)]
    body: usize,
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
enum FrontWord {
    Platform,
    Fastcgi,
    Uwsgi,
}

#[derive(Clone, Copy, Debug, PartialEq, ValueEnum)]
enum WorkWord {
    Engine,
    Fastcgi,
    Uwsgi,
}

fn named(word: &str) -> Result<(String, PathBuf), String> {
    let (name, path) = word.split_once('=').ok_or("NAME=PATH is wanted")?;
    Ok((name.to_string(), PathBuf::from(path)))
}

fn main() -> ExitCode {
    let words = Words::parse();
    match play(&words) {
        Ok(rows) => {
            print(&rows);
            match words
                .json
                .as_ref()
                .map_or(Ok(()), |path| write(path, &rows))
            {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => fail(&e.to_string()),
            }
        }
        Err(e) => fail(&e.to_string()),
    }
}

fn fail(why: &str) -> ExitCode {
    eprintln!("doortrack-bench: {why}");
    ExitCode::FAILURE
}

fn play(words: &Words) -> std::io::Result<Vec<Row>> {
    let mut rows = Vec::new();
    for round in 0..words.rounds {
        for (name, path) in &words.nodes {
            for front in &words.fronts {
                for work in &words.works {
                    let behind = match work {
                        WorkWord::Engine => Behind::Engine,
                        WorkWord::Fastcgi => Behind::Servers(Protocol::FastCgi),
                        WorkWord::Uwsgi => Behind::Servers(Protocol::Uwsgi),
                    };
                    let spoken = match front {
                        FrontWord::Platform => None,
                        FrontWord::Fastcgi => Some(Protocol::FastCgi),
                        FrontWord::Uwsgi => Some(Protocol::Uwsgi),
                    };
                    for nodes in &words.fleets {
                        let (rules, core) = (words.rules, words.core);
                        let target = Target::start(path, spoken, behind, rules, core, *nodes)?;
                        let load = Load {
                            at: target.at,
                            protocol: spoken.unwrap_or(Protocol::FastCgi),
                            pace: words.open.map_or(Pace::Closed(words.callers), Pace::Open),
                            connections: words.connections,
                            threads: words.threads,
                            body: words.body,
                            warm: Duration::from_secs_f64(words.seconds / 5.0),
                            lasts: Duration::from_secs_f64(words.seconds),
                            seed: round as u64,
                        };
                        let played = load.play(&target)?;
                        let mut place = format!("{front:?} before {work:?}").to_lowercase();
                        if *nodes > 1 {
                            place += &format!(", one of {nodes}");
                        }
                        rows.push(Row::of(name, &place, round, &played));
                        eprintln!("{}", rows[rows.len() - 1].line());
                    }
                }
            }
        }
    }
    Ok(rows)
}
