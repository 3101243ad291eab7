//! `doortrack fleet`: prints a running node's view of its fleet. It blocks on the node's answers.

mod format;
mod query;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use doortrack_config::fleet::{FleetKey, KeyError, read_key};
use doortrack_membership::Name;

pub use self::query::{BudgetsView, FleetView, QueryError, query_budgets, query_members};

/// Minimum interval between two queries of `watch`, in ms.
const MIN_WATCH_INTERVAL_MS: u64 = 50;

/// Commands that print the state of a fleet.
#[derive(Subcommand)]
pub enum FleetCommand {
    /// Prints one node's view of the members
    Status {
        /// The node to query
        #[command(flatten)]
        target: Target,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Prints a line for each change that one node sees, until stopped
    Watch {
        /// The node to query
        #[command(flatten)]
        target: Target,
        /// Interval between two queries
        #[arg(long, default_value = "500", value_name = "MS")]
        every_ms: u64,
        /// Duration after which the command ends; default: unlimited
        #[arg(long, value_name = "MS")]
        for_ms: Option<u64>,
    },
}

/// The node to query.
#[derive(Args)]
pub struct Target {
    /// The node's fleet address
    #[arg(long, value_name = "ADDRESS")]
    peer: SocketAddr,
    /// File with the fleet's key, if it has one
    #[arg(long, value_name = "FILE")]
    key_file: Option<PathBuf>,
}

impl Target {
    fn key(&self) -> Result<Option<FleetKey>, KeyError> {
        self.key_file.as_deref().map(read_key).transpose()
    }
}

/// Why the state of a fleet can't be printed.
#[derive(Debug, thiserror::Error)]
pub enum FleetCommandError {
    /// The fleet's key can't be read.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The node can't be queried, or does not answer.
    #[error(transparent)]
    Query(#[from] QueryError),
}

/// Executes a command and passes each line of output to `print`.
///
/// # Errors
/// The key can't be read, or the node can't be queried. After its first answer, `watch` continues despite failed
/// queries.
pub fn run(command: &FleetCommand, print: impl FnMut(&str)) -> Result<(), FleetCommandError> {
    match command {
        FleetCommand::Status { target, json } => print_status(target, *json, print),
        FleetCommand::Watch {
            target,
            every_ms,
            for_ms,
        } => {
            let interval = Duration::from_millis((*every_ms).max(MIN_WATCH_INTERVAL_MS));
            watch(target, interval, for_ms.map(Duration::from_millis), print)
        }
    }
}

fn print_status(
    target: &Target,
    json: bool,
    mut print: impl FnMut(&str),
) -> Result<(), FleetCommandError> {
    let key = target.key()?;
    let view = query_members(target.peer, key)?;
    let budgets = query_budgets(target.peer, key)?;
    let text = if json {
        format::json(&view, &budgets).to_string()
    } else {
        format::text(&view, &budgets)
    };
    print(&text);
    Ok(())
}

fn watch(
    target: &Target,
    interval: Duration,
    max_duration: Option<Duration>,
    mut print: impl FnMut(&str),
) -> Result<(), FleetCommandError> {
    let key = target.key()?;
    let started_at = Instant::now();
    let mut known = BTreeMap::new();
    let mut unanswered = false;
    while max_duration.is_none_or(|max| started_at.elapsed() < max) {
        match query_members(target.peer, key) {
            Ok(view) => {
                unanswered = false;
                for line in changes(&mut known, &view) {
                    print(&line);
                }
            }
            Err(error) if known.is_empty() => return Err(error.into()),
            Err(error) if !unanswered => {
                unanswered = true;
                print(&error.to_string());
            }
            Err(_) => {}
        }
        std::thread::sleep(interval);
    }
    Ok(())
}

/// Returns a line for each member whose state differs from `known`, and updates `known`.
fn changes(known: &mut BTreeMap<Name, String>, view: &FleetView) -> Vec<String> {
    let number = view.status.view;
    let mut lines = Vec::new();
    let mut present = BTreeMap::new();
    for report in &view.members {
        let state = format!(
            "{} (incarnation {})",
            format::state(report),
            report.incarnation
        );
        if known.get(&report.name) != Some(&state) {
            lines.push(format!("view {number}: {} {state}", report.name));
        }
        present.insert(report.name.clone(), state);
    }
    let forgotten = known.keys().filter(|name| !present.contains_key(*name));
    lines.extend(forgotten.map(|name| format!("view {number}: {name} forgotten")));
    *known = present;
    lines
}
