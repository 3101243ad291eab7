//! `doortrack-harness`: runs fault scripts on fleets and checks the joint history.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use doortrack_fakes::interrupt::on_interrupt;
use doortrack_fakes::scratch_folder;
use doortrack_fault_harness::checks::{Violation, judge, membership_invariants};
use doortrack_fault_harness::drains::{self, DrainReport, Faults};
use doortrack_fault_harness::history::HistoryError;
use doortrack_fault_harness::scale::command::{self, HollowArgs, ScaleArgs};
use doortrack_fault_harness::scale::error::ScaleError;
use doortrack_fault_harness::scale::node_cost;
use doortrack_fault_harness::scale::simulated::command::{Options, scale_simulated};
use doortrack_fault_harness::script::ScriptError;
use doortrack_fault_harness::shrink::shrink;
use doortrack_fault_harness::simulated;
use doortrack_fault_harness::{History, Script, processes, script};

/// Runs fleets of doortrack nodes under injected faults, and checks the joint history.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one script
    Play {
        #[arg(long, value_name = "FILE")]
        script: PathBuf,
        #[command(flatten)]
        options: RunOptions,
    },
    /// Runs scripts generated from seeds; reduces the first that fails to the smallest that still fails
    Seeds(SeedOptions),
    /// Shuts nodes down by series of signals while clients keep using their connections until SIGKILL
    Drains(DrainOptions),
    /// Checks a stored history
    Judge {
        #[arg(value_name = "FILE")]
        history: PathBuf,
    },
    /// Runs a full-size fleet in simulated time
    ScaleSimulated(Options),
    /// Prints the JSON Schema of a script
    Schema,
    /// Measures the cost of a fleet by its size
    Scale(ScaleArgs),
    ScaleNode(node_cost::Options),
    /// A process of hollow nodes, which `scale` starts
    #[command(hide = true)]
    Hollow(HollowArgs),
}

/// Which scripts are generated, and how they run.
#[derive(Args)]
struct SeedOptions {
    #[arg(long, default_value = "1")]
    from: u64,
    #[arg(long, default_value = "10")]
    count: u64,
    #[arg(long, default_value = "5")]
    nodes: usize,
    /// Disruptions in each script
    #[arg(long, default_value = "4")]
    troubles: usize,
    #[command(flatten)]
    options: RunOptions,
}

/// Which shutdown tests run.
#[derive(Args)]
struct DrainOptions {
    #[arg(long, default_value = "1")]
    from: u64,
    #[arg(long, default_value = "50")]
    count: u64,
    /// Tests that run in parallel
    #[arg(long, default_value = "2")]
    parallel: usize,
    /// Under faults of the network, the system and the engine
    #[arg(long)]
    faults: bool,
    /// The program under test
    #[arg(long, value_name = "FILE", default_value = "target/release/doortrack")]
    program: PathBuf,
}

#[derive(Args)]
struct RunOptions {
    /// Runs in simulated time instead of on processes
    #[arg(long)]
    simulated: bool,
    /// The program under test
    #[arg(long, value_name = "FILE", default_value = "target/release/doortrack")]
    program: PathBuf,
    /// An older build, started by the fault `start_older`
    #[arg(long, value_name = "FILE")]
    older: Option<PathBuf>,
    /// Number of callers that send requests during the run, checked by the four rules
    #[arg(long, default_value = "3")]
    callers: usize,
    /// File for the history of the run, or of the first run that fails
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
}

/// Runs to reduce a failing script, in simulated time and on processes.
const MAX_SHRINK_RUNS_SIMULATED: usize = 200;
const MAX_SHRINK_RUNS_PROCESSES: usize = 12;

/// Why a command could not be carried out.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error("{}: {source}", path.display())]
    Io { path: PathBuf, source: io::Error },
    #[error(transparent)]
    Script(#[from] ScriptError),
    #[error(transparent)]
    History(#[from] HistoryError),
    #[error(transparent)]
    Scale(#[from] ScaleError),
}

fn io_error(path: &Path) -> impl FnOnce(io::Error) -> CommandError {
    move |source| CommandError::Io {
        path: path.to_path_buf(),
        source,
    }
}

/// The exit code of a program that was interrupted, as shells have it.
const EXIT_CODE_INTERRUPTED: i32 = 130;

fn main() -> ExitCode {
    let command = Cli::parse().command;
    if let Err(e) = clean_up_on_interrupt(&command) {
        eprintln!("doortrack-harness: signals: {e}");
        return ExitCode::FAILURE;
    }
    match run(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("doortrack-harness: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Removes all scratch files at SIGINT or SIGTERM. Child processes end with this process.
fn clean_up_on_interrupt(command: &Command) -> io::Result<()> {
    if matches!(command, Command::Hollow(_)) {
        return Ok(()); // Has no files or children, and ends with its parent.
    }
    on_interrupt(|| {
        eprintln!("doortrack-harness: interrupted");
        scratch_folder::remove_all_at_exit();
        std::process::exit(EXIT_CODE_INTERRUPTED);
    })
}

/// Runs a command. Returns whether there were no violations.
fn run(command: Command) -> Result<bool, CommandError> {
    match command {
        Command::Schema => {
            println!("{}", script::schema());
            Ok(true)
        }
        Command::ScaleNode(options) => Ok(node_cost::run(&options)?),
        Command::Scale(args) => Ok(command::run(&args)?),
        Command::Hollow(args) => {
            command::run_hollow(&args)?;
            Ok(true)
        }
        Command::ScaleSimulated(options) => Ok(scale_simulated(&options)?),
        Command::Judge { history } => judge_file(&history),
        Command::Play { script, options } => run_file(&script, &options),
        Command::Seeds(options) => run_seeds(&options),
        Command::Drains(options) => run_drains(&options),
    }
}

fn read(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(io_error(path))
}

fn judge_file(path: &Path) -> Result<bool, CommandError> {
    let history = History::parse(&read(path)?)?;
    let violations = judge(&history, &membership_invariants());
    print_verdict(&path.display().to_string(), &history, &violations);
    Ok(violations.is_empty())
}

fn run_file(path: &Path, options: &RunOptions) -> Result<bool, CommandError> {
    let script = Script::parse(&read(path)?)?;
    let (history, violations) = options.run(&script)?;
    options.write_history(&history)?;
    print_verdict(&path.display().to_string(), &history, &violations);
    Ok(violations.is_empty())
}

/// Runs scripts until one fails, which is then reduced.
fn run_seeds(seeds: &SeedOptions) -> Result<bool, CommandError> {
    for seed in seeds.from..seeds.from + seeds.count {
        let script = Script::seeded(seed, seeds.nodes, seeds.troubles);
        let (history, violations) = seeds.options.run(&script)?;
        print_verdict(&format!("seed {seed}"), &history, &violations);
        if !violations.is_empty() {
            seeds.options.write_history(&history)?;
            print_smallest(&script, &seeds.options);
            return Ok(false);
        }
    }
    Ok(true)
}

/// Runs shutdown tests. Prints each report as a line of JSON; progress and violations go to standard error.
fn run_drains(options: &DrainOptions) -> Result<bool, CommandError> {
    std::fs::metadata(&options.program).map_err(io_error(&options.program))?;
    let (mut done, mut broken) = (0, Vec::new());
    let report = |report: DrainReport| {
        done += 1;
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
        eprintln!("{done} of {}: seed {}", options.count, report.seed);
        for violation in &report.violations {
            eprintln!("  {violation}");
        }
        if !report.violations.is_empty() {
            broken.push(report.seed);
        }
    };
    let faults = if options.faults {
        Faults::All
    } else {
        Faults::None
    };
    drains::run_seeds(
        &options.program,
        faults,
        options.from,
        options.count,
        options.parallel,
        report,
    );
    if !broken.is_empty() {
        broken.sort_unstable();
        eprintln!("rules are broken with the seeds {broken:?}");
    }
    Ok(broken.is_empty())
}

fn print_smallest(script: &Script, options: &RunOptions) {
    let max_runs = if options.simulated {
        MAX_SHRINK_RUNS_SIMULATED
    } else {
        MAX_SHRINK_RUNS_PROCESSES
    };
    let fails = |candidate: &Script| {
        options
            .run(candidate)
            .is_ok_and(|(_, violations)| !violations.is_empty())
    };
    let smallest = shrink(script, max_runs, fails);
    println!("the smallest script that still fails:");
    println!(
        "{}",
        serde_json::to_string_pretty(&smallest).unwrap_or_default()
    );
}

fn print_verdict(title: &str, history: &History, violations: &[Violation]) {
    println!(
        "{title}: {} entries, {} broken",
        history.entries.len(),
        violations.len()
    );
    for violation in violations {
        println!(
            "  {} ms: {}: {}",
            violation.at_ms, violation.rule, violation.description
        );
    }
}

impl RunOptions {
    /// Runs a script. Returns its history and violations.
    fn run(&self, script: &Script) -> Result<(History, Vec<Violation>), CommandError> {
        if self.simulated {
            let history = simulated::run(script, &simulated::Options::default()).0;
            let violations = judge(&history, &membership_invariants());
            return Ok((history, violations));
        }
        if script.nodes > script::MAX_PROCESSES {
            return Err(ScriptError::TooManyProcesses.into());
        }
        let older = self.older.as_deref();
        let result = processes::run_with_older(&self.program, older, script, self.callers)
            .map_err(io_error(&self.program))?;
        let mut violations = judge(&result.history, &membership_invariants());
        let rule_violations = result.violations.into_iter();
        violations.extend(rule_violations.map(|description| Violation {
            rule: "the four rules",
            at_ms: script.duration_ms,
            description,
        }));
        let served = result.traffic_counts;
        println!(
            "{} exchanges, {} completed, {} asked of processes that were ended",
            served.sent, served.completed, served.unanswered
        );
        Ok((result.history, violations))
    }

    fn write_history(&self, history: &History) -> Result<(), CommandError> {
        match &self.history {
            Some(path) => std::fs::write(path, history.to_lines()).map_err(io_error(path)),
            None => Ok(()),
        }
    }
}
