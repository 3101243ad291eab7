//! The command line: starts one node with what it is handed, or checks that without starting one.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use doortrack_budgets::Safeguards;
use doortrack_config::{ConfigErrors, FleetTests, Installation, installation, node_config};
use doortrack_node::commands::check::check;
use doortrack_node::commands::expr::{self, ExprCommand};
use doortrack_node::commands::fleet::{self, FleetCommand};
use doortrack_node::commands::routes::{self, RoutesCommand};
use doortrack_node::event_loop::Node;
use doortrack_node::system::clock::Clock;
use doortrack_node::system::log::{self, Format};
use doortrack_node::system::signals::Signals;
use slog::Level;

/// Decides, inside each server of a fleet, what it takes, runs and turns away.
///
/// With no command it serves, as `doortrack serve` does. GW_CONFIG names the platform's configuration.
#[derive(Parser)]
#[command(version, args_conflicts_with_subcommands = true)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    serve: Serve,
}

#[derive(Subcommand)]
enum Command {
    /// Starts a node, which stays in the foreground until SIGTERM. SIGHUP reads its files again
    Serve(Serve),
    /// Prints every fault of an installation file, and of a configuration, and exits with 1 if there is any
    Check {
        /// The operators' own file
        #[arg(long, value_name = "FILE")]
        installation: PathBuf,
        /// The platform's configuration, as GW_CONFIG would name it
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Prints the JSON Schema of the installation file
    Schema,
    /// Looks at an expression by itself
    #[command(subcommand)]
    Expr(ExprCommand),
    /// Tries the rules of an installation file
    #[command(subcommand)]
    Routes(RoutesCommand),
    /// Asks a running node how it sees its fleet
    #[command(subcommand)]
    Fleet(FleetCommand),
}

#[derive(Args)]
struct Serve {
    /// The operators' own file, which adds fronts to the platform's listener
    #[arg(long, value_name = "FILE", env = "DOORTRACK_INSTALLATION")]
    installation: Option<PathBuf>,
    /// How the log on standard error is written: a plain line or one JSON object for each
    #[arg(long, value_enum, default_value = "text")]
    log_format: Format,
    /// The least severe lines written: critical, error, warning, info, debug or trace
    #[arg(long, default_value = "info", value_parser = level)]
    log_level: Level,
    /// Lines a second; what is beyond is counted and left out
    #[arg(long, default_value_t = log::MOST_LINES, value_name = "COUNT")]
    log_lines: u32,
    /// Sets this process's clock off by so many ms: for tests of fleets alone
    #[arg(
        long,
        hide = true,
        default_value_t = 0,
        allow_negative_numbers = true,
        value_name = "MS"
    )]
    test_clock_ms: i64,
    /// Has the fleet's own time gain so many millionths: for tests of fleets alone
    #[arg(
        long,
        hide = true,
        default_value_t = 0,
        allow_negative_numbers = true,
        value_name = "PPM"
    )]
    test_drift_ppm: i32,
    /// Takes a safeguard of the budgets out: for tests of fleets alone
    #[arg(long, hide = true, value_name = "SAFEGUARD", value_parser = without)]
    test_without: Option<Safeguards>,
}

fn without(word: &str) -> Result<Safeguards, String> {
    let mut safeguards = Safeguards::default();
    match word {
        "settle" => safeguards.settle = false,
        "confirm" => safeguards.confirm = false,
        "run-out" => safeguards.run_out = false,
        "majority" => safeguards.majority = false,
        _ => return Err("settle, confirm, run-out or majority is wanted".into()),
    }
    Ok(safeguards)
}

fn level(word: &str) -> Result<Level, String> {
    word.parse()
        .map_err(|()| "critical, error, warning, info, debug or trace is wanted".into())
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command.unwrap_or(Command::Serve(cli.serve)) {
        Command::Serve(words) => match serve(words) {
            Ok(()) => ExitCode::SUCCESS,
            Err(faults) => {
                faults
                    .iter()
                    .for_each(|fault| eprintln!("doortrack: {fault}"));
                ExitCode::FAILURE
            }
        },
        Command::Check {
            installation,
            config,
        } => match check(&installation, config.as_deref()) {
            Ok(said) => {
                println!("{said}");
                ExitCode::SUCCESS
            }
            Err(faults) => {
                faults.0.iter().for_each(|fault| println!("{fault}"));
                ExitCode::FAILURE
            }
        },
        Command::Schema => {
            print!("{}", installation::schema());
            ExitCode::SUCCESS
        }
        Command::Expr(command) => told(expr::run(&command)),
        Command::Routes(command) => told(routes::run(&command)),
        Command::Fleet(command) => match fleet::run(&command, |line| println!("{line}")) {
            Ok(()) => ExitCode::SUCCESS,
            Err(why) => {
                eprintln!("doortrack: {why}");
                ExitCode::FAILURE
            }
        },
    }
}

fn told(said: Result<String, String>) -> ExitCode {
    match said {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(text) => {
            println!("{text}");
            ExitCode::FAILURE
        }
    }
}

fn serve(words: Serve) -> Result<(), Vec<String>> {
    let signals = Signals::heed().map_err(|e| vec![format!("signals: {e}")])?;
    let all = |faults: ConfigErrors| faults.0.iter().map(ToString::to_string).collect::<Vec<_>>();
    let orders = node_config::read().map_err(all)?;
    let mut installation = match &words.installation {
        Some(path) => installation::read(path).map_err(all)?,
        None => Installation::default(),
    };
    let tests = FleetTests {
        drift_ppm: words.test_drift_ppm,
        safeguards: words.test_without.unwrap_or_default(),
    };
    match &mut installation.fleet {
        Some(fleet) => fleet.tests = tests,
        None if tests == FleetTests::default() => {}
        None => {
            return Err(vec![
                "--test-drift-ppm, --test-without: for nodes of a fleet alone".into(),
            ]);
        }
    }
    installation.validate_with(&orders).map_err(all)?;
    let log = log::open(
        &orders.name,
        words.log_format,
        words.log_level,
        words.log_lines,
    );
    if words.test_clock_ms != 0 && installation.fleet.is_none() {
        return Err(vec![
            "--test-clock-ms: only a node of a fleet may have its clock set off".into(),
        ]);
    }
    let clock = Clock::set_off(words.test_clock_ms);
    let node = Node::start(
        signals,
        orders,
        words.installation,
        installation,
        clock,
        log,
    );
    let node = node.map_err(|error| vec![error.to_string()])?;
    node.serve().map_err(|error| vec![error.to_string()])
}
