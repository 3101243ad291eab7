//! The program `doortrack`: parses the command line and executes one command.
//!
//! The exit code is 0, or 1 on an error. `serve` and `fleet` print errors on standard error. The other commands print
//! the errors they find in their input on standard output.

use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use doortrack_config::installation;
use doortrack_node::commands::check::check;
use doortrack_node::commands::expr::{self, ExprCommand};
use doortrack_node::commands::fleet::{self, FleetCommand};
use doortrack_node::commands::routes::{self, RoutesCommand};
use doortrack_node::commands::serve::{self, ServeArgs};

/// Admission control that runs on each server of a fleet: decides which requests run, wait or are rejected.
///
/// Without a command, this is `doortrack serve`. GW_CONFIG is the path of the platform's configuration.
#[derive(Parser)]
#[command(version, args_conflicts_with_subcommands = true)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    serve: ServeArgs,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a node in the foreground until SIGTERM or SIGINT. SIGHUP reloads its files
    Serve(ServeArgs),
    /// Prints every error of an installation file and a configuration, and exits with 1 if there are any
    Check {
        /// The operators' installation file
        #[arg(long, value_name = "FILE")]
        installation: PathBuf,
        /// The platform's configuration, the file that GW_CONFIG is set to when serving
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Prints the JSON Schema of the installation file
    Schema,
    /// Checks, evaluates or explains a single expression
    #[command(subcommand)]
    Expr(ExprCommand),
    /// Tests the rules of an installation file
    #[command(subcommand)]
    Routes(RoutesCommand),
    /// Queries a running node for its view of the fleet
    #[command(subcommand)]
    Fleet(FleetCommand),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command.unwrap_or(Command::Serve(cli.serve)) {
        Command::Serve(args) => match serve::run(args) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(&error.lines()),
        },
        Command::Check {
            installation,
            config,
        } => print_result(check(&installation, config.as_deref()).map_err(|errors| {
            let lines: Vec<String> = errors.0.iter().map(ToString::to_string).collect();
            lines.join("\n")
        })),
        Command::Schema => {
            print!("{}", installation::schema());
            ExitCode::SUCCESS
        }
        Command::Expr(command) => print_result(expr::run(&command)),
        Command::Routes(command) => print_result(routes::run(&command)),
        Command::Fleet(command) => match fleet::run(&command, |line| println!("{line}")) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(&[error]),
        },
    }
}

/// Prints errors on standard error, one per line.
fn fail(errors: &[impl Display]) -> ExitCode {
    for error in errors {
        eprintln!("doortrack: {error}");
    }
    ExitCode::FAILURE
}

/// Prints the result of a command, whether success or error, on standard output.
fn print_result(result: Result<String, impl Display>) -> ExitCode {
    match result {
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
