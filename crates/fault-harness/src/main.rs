//! `doortrack-harness`: plays scripts of faults on fleets, and judges what came of them.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use doortrack_fault_harness::checks::{Violation, judge, membership};
use doortrack_fault_harness::scale::command::{self, HollowArgs, ScaleArgs};
use doortrack_fault_harness::scale::node_cost;
use doortrack_fault_harness::scale::simulated::command::{Options, scale_simulated};
use doortrack_fault_harness::shrink::shrink;
use doortrack_fault_harness::simulated;
use doortrack_fault_harness::{History, Script, processes, script};

/// Plays fleets of doortrack nodes while parts of the system fail, and judges the joint history.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays one script
    Play {
        #[arg(long, value_name = "FILE")]
        script: PathBuf,
        #[command(flatten)]
        on: On,
    },
    /// Plays scripts drawn from seeds, and tells the smallest script that still fails of the first that does
    Seeds {
        #[arg(long, default_value = "1")]
        from: u64,
        #[arg(long, default_value = "10")]
        count: u64,
        #[arg(long, default_value = "5")]
        nodes: usize,
        /// Troubles of each play
        #[arg(long, default_value = "4")]
        troubles: usize,
        #[command(flatten)]
        on: On,
    },
    /// Judges a history that was kept
    Judge {
        #[arg(value_name = "FILE")]
        history: PathBuf,
    },
    /// Plays a fleet at full size in simulated time
    ScaleSimulated(Options),
    /// Prints the JSON Schema of a script
    Schema,
    /// Measures what a fleet costs by its size
    Scale(ScaleArgs),
    ScaleNode(node_cost::Options),
    /// A process of hollow nodes, which `scale` starts
    #[command(hide = true)]
    Hollow(HollowArgs),
}

#[derive(Args)]
struct On {
    /// In simulated time instead of on processes
    #[arg(long)]
    simulated: bool,
    /// The program that is played
    #[arg(long, value_name = "FILE", default_value = "target/release/doortrack")]
    program: PathBuf,
    /// An older build, which `start_older` starts beside it
    #[arg(long, value_name = "FILE")]
    older: Option<PathBuf>,
    /// Callers that ask the nodes meanwhile; judged by the four rules
    #[arg(long, default_value = "3")]
    callers: usize,
    /// Where the history of a play, or of the first that fails, is kept
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
}

impl On {
    /// The history of a play, and its violations.
    fn play(&self, script: &Script) -> Result<(History, Vec<Violation>), String> {
        if self.simulated {
            let history = simulated::run(script, &simulated::Options::default()).0;
            let violations = judge(&history, &membership());
            return Ok((history, violations));
        }
        if script.nodes > script::MAX_PROCESSES {
            return Err(format!(
                "script.nodes: at most {} processes are played",
                script::MAX_PROCESSES
            ));
        }
        let older = self.older.as_deref();
        let played = processes::run_with_older(&self.program, older, script, self.callers);
        let played = played.map_err(|e| format!("{}: {e}", self.program.display()))?;
        let mut violations = judge(&played.history, &membership());
        let found = played.violations.into_iter();
        violations.extend(found.map(|what| Violation {
            rule: "the four rules",
            at_ms: script.ms,
            what,
        }));
        let served = played.served;
        println!(
            "{} exchanges, {} completed, {} asked of processes that were ended",
            served.asked, served.completed, served.unanswered
        );
        Ok((played.history, violations))
    }

    fn keep(&self, history: &History) -> Result<(), String> {
        let Some(file) = &self.history else {
            return Ok(());
        };
        std::fs::write(file, history.lines()).map_err(|e| format!("{}: {e}", file.display()))
    }
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("doortrack-harness: {why}");
            ExitCode::FAILURE
        }
    }
}

fn text(file: &Path) -> Result<String, String> {
    std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))
}

/// Prints what was broken; whether nothing was.
fn verdict(of: &str, history: &History, violations: &[Violation]) -> bool {
    println!(
        "{of}: {} entries, {} broken",
        history.entries.len(),
        violations.len()
    );
    violations
        .iter()
        .for_each(|found| println!("  {} ms: {}: {}", found.at_ms, found.rule, found.what));
    violations.is_empty()
}

fn run(command: Command) -> Result<bool, String> {
    match command {
        Command::Schema => {
            println!("{}", script::schema());
            Ok(true)
        }
        Command::ScaleNode(options) => node_cost::run(&options),
        Command::Scale(args) => command::run(&args),
        Command::Hollow(args) => command::run_hollow(&args).map(|()| true),
        Command::ScaleSimulated(options) => scale_simulated(&options),
        Command::Judge { history } => {
            let kept = History::parse(&text(&history)?)?;
            Ok(verdict(
                &history.display().to_string(),
                &kept,
                &judge(&kept, &membership()),
            ))
        }
        Command::Play { script, on } => {
            let (history, violations) = on.play(&Script::parse(&text(&script)?)?)?;
            on.keep(&history)?;
            Ok(verdict(
                &script.display().to_string(),
                &history,
                &violations,
            ))
        }
        Command::Seeds {
            from,
            count,
            nodes,
            troubles,
            on,
        } => {
            for seed in from..from + count {
                let script = Script::seeded(seed, nodes, troubles);
                let (history, violations) = on.play(&script)?;
                if verdict(&format!("seed {seed}"), &history, &violations) {
                    continue;
                }
                on.keep(&history)?;
                let plays = if on.simulated { 200 } else { 12 };
                let fails = |tried: &Script| {
                    on.play(tried)
                        .is_ok_and(|(_, violations)| !violations.is_empty())
                };
                let least = shrink(&script, plays, fails);
                println!("the smallest script that still fails:");
                println!(
                    "{}",
                    serde_json::to_string_pretty(&least).unwrap_or_default()
                );
                return Ok(false);
            }
            Ok(true)
        }
    }
}
