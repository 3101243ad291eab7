//! `doortrack serve`: reads the configuration, starts the node and serves until it is stopped.

use std::io;
use std::path::PathBuf;

use clap::Args;
use doortrack_budgets::Safeguards;
use doortrack_config::{ConfigErrors, FaultInjection, Installation, installation, node_config};
use slog::Level;

use crate::event_loop::{Node, ServeError, StartError};
use crate::system::clock::Clock;
use crate::system::log::{self, LogFormat};
use crate::system::panics;
use crate::system::signals::Signals;
#[cfg(debug_assertions)]
use crate::system::test_panics;

/// The arguments of `doortrack serve`.
#[derive(Args)]
pub struct ServeArgs {
    /// The operators' installation file, which adds listeners to that of the platform
    #[arg(long, value_name = "FILE", env = "DOORTRACK_INSTALLATION")]
    installation: Option<PathBuf>,
    /// Format of the log on standard error: plain text, or one JSON object per line
    #[arg(long, value_enum, default_value = "text")]
    log_format: LogFormat,
    /// The lowest severity that is logged: critical, error, warning, info, debug or trace
    #[arg(long, default_value = "info", value_parser = parse_level)]
    log_level: Level,
    /// Maximum number of log lines per second; lines beyond are dropped and counted
    #[arg(long, default_value_t = log::DEFAULT_LINES_PER_SECOND, value_name = "COUNT")]
    log_lines: u32,
    /// Offset of this process's clock, in ms; only for tests of fleets
    #[arg(
        long,
        hide = true,
        default_value_t = 0,
        allow_negative_numbers = true,
        value_name = "MS"
    )]
    test_clock_ms: i64,
    /// Drift of the fleet's clock, in millionths; only for tests of fleets
    #[arg(
        long,
        hide = true,
        default_value_t = 0,
        allow_negative_numbers = true,
        value_name = "PPM"
    )]
    test_drift_ppm: i32,
    /// Disables a safeguard of the budgets; only for tests of fleets
    #[arg(long, hide = true, value_name = "SAFEGUARD", value_parser = parse_safeguards)]
    test_without: Option<Safeguards>,
    /// File that names a place in the code that is to panic; only for tests
    #[cfg(debug_assertions)]
    #[arg(long, hide = true, value_name = "FILE")]
    test_panic: Option<PathBuf>,
}

/// Why a node did not start, or ended before its shutdown.
#[derive(Debug, thiserror::Error)]
pub enum ServeCommandError {
    /// The signals can't be handled.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The configuration or the installation is invalid.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// Test arguments were given to a node without a fleet.
    #[error("--test-drift-ppm, --test-without: allowed only for a node of a fleet")]
    TestsWithoutFleet,
    /// A clock offset was given to a node without a fleet.
    #[error("--test-clock-ms: allowed only for a node of a fleet")]
    ClockWithoutFleet,
    /// The node can't start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The node ended early.
    #[error(transparent)]
    Serve(#[from] ServeError),
}

impl ServeCommandError {
    /// The error as lines. An invalid configuration has a line for each of its errors.
    pub fn lines(&self) -> Vec<String> {
        match self {
            ServeCommandError::Config(errors) => errors.0.iter().map(ToString::to_string).collect(),
            other => vec![other.to_string()],
        }
    }
}

/// Parses the name of a safeguard and returns the safeguards without it.
fn parse_safeguards(name: &str) -> Result<Safeguards, String> {
    let mut safeguards = Safeguards::default();
    match name {
        "settle" => safeguards.wait_for_old_leases = false,
        "confirm" => safeguards.await_confirmation = false,
        "run-out" => safeguards.lease_expiry = false,
        "majority" => safeguards.majority_vote = false,
        _ => return Err("expected settle, confirm, run-out or majority".into()),
    }
    Ok(safeguards)
}

fn parse_level(name: &str) -> Result<Level, String> {
    name.parse()
        .map_err(|()| "expected critical, error, warning, info, debug or trace".into())
}

/// Serves until a graceful shutdown is over.
///
/// # Errors
/// The node can't start, or its event loop failed.
pub fn run(args: ServeArgs) -> Result<(), ServeCommandError> {
    // This comes first: before it, a signal would end the process.
    let signals = Signals::register().map_err(ServeCommandError::Signals)?;
    panics::install_hook(args.log_format, None);
    #[cfg(debug_assertions)]
    if let Some(path) = &args.test_panic {
        test_panics::set_trigger_file(path.clone());
    }
    let config = node_config::read()?;
    panics::install_hook(args.log_format, Some(&config.name));
    let mut installation = match &args.installation {
        Some(path) => installation::read(path)?,
        None => Installation::default(),
    };
    apply_fleet_test_args(&args, &mut installation)?;
    installation.validate_with(&config)?;
    let log = log::open(
        &config.name,
        args.log_format,
        args.log_level,
        args.log_lines,
    );
    if args.test_clock_ms != 0 && installation.fleet.is_none() {
        return Err(ServeCommandError::ClockWithoutFleet);
    }
    let clock = Clock::with_offset(args.test_clock_ms);
    let node = Node::start(signals, config, args.installation, installation, clock, log)?;
    node.serve()?;
    Ok(())
}

/// Copies the arguments for tests of fleets to the installation's fleet.
fn apply_fleet_test_args(
    args: &ServeArgs,
    installation: &mut Installation,
) -> Result<(), ServeCommandError> {
    let tests = FaultInjection {
        drift_ppm: args.test_drift_ppm,
        safeguards: args.test_without.unwrap_or_default(),
    };
    match &mut installation.fleet {
        Some(fleet) => fleet.fault_injection = tests,
        None if tests == FaultInjection::default() => {}
        None => return Err(ServeCommandError::TestsWithoutFleet),
    }
    Ok(())
}
