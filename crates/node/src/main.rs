//! The program `doortrack`: reads the command line and executes one command.
//!
//! It exits with 0, or with 1 on an error. Errors of `serve` and `fleet` are printed on standard error, those
//! that the other commands find in what they check on standard output.

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

/// Decides, inside each server of a fleet, what it takes, runs and turns away.
///
/// With no command it serves, as `doortrack serve` does. GW_CONFIG names the platform's configuration.
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
    /// Starts a node, which stays in the foreground until SIGTERM or SIGINT. SIGHUP reads its files again
    Serve(ServeArgs),
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

/// Prints errors on standard error, one a line.
fn fail(errors: &[impl Display]) -> ExitCode {
    for error in errors {
        eprintln!("doortrack: {error}");
    }
    ExitCode::FAILURE
}

/// Prints what a check found, right or wrong, on standard output.
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
