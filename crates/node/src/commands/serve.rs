//! `doortrack serve`: reads the configuration, starts the node and serves until it is stopped.

use std::io;
use std::path::PathBuf;

use clap::Args;
use doortrack_budgets::Safeguards;
use doortrack_config::{ConfigErrors, FleetTests, Installation, installation, node_config};
use slog::Level;

use crate::event_loop::{Node, ServeError, StartError};
use crate::system::clock::Clock;
use crate::system::log::{self, Format};
use crate::system::panics;
use crate::system::signals::Signals;
#[cfg(debug_assertions)]
use crate::system::test_panics;

/// The arguments of `doortrack serve`.
#[derive(Args)]
pub struct ServeArgs {
    /// The operators' own file, which adds fronts to the platform's listener
    #[arg(long, value_name = "FILE", env = "DOORTRACK_INSTALLATION")]
    installation: Option<PathBuf>,
    /// How the log on standard error is written: a plain line or one JSON object for each
    #[arg(long, value_enum, default_value = "text")]
    log_format: Format,
    /// The least severe lines written: critical, error, warning, info, debug or trace
    #[arg(long, default_value = "info", value_parser = parse_level)]
    log_level: Level,
    /// Lines a second; what is beyond is counted and left out
    #[arg(long, default_value_t = log::DEFAULT_LINES_PER_SECOND, value_name = "COUNT")]
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
    #[arg(long, hide = true, value_name = "SAFEGUARD", value_parser = parse_safeguards)]
    test_without: Option<Safeguards>,
    /// Has the place that this file names panic: for tests alone
    #[cfg(debug_assertions)]
    #[arg(long, hide = true, value_name = "FILE")]
    test_panic: Option<PathBuf>,
}

/// Why a node does not serve, or ended before its shutdown.
#[derive(Debug, thiserror::Error)]
pub enum ServeCommandError {
    /// The signals can't be handled.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The configuration or the installation is invalid.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// Arguments that only a node of a fleet may have.
    #[error("--test-drift-ppm, --test-without: for nodes of a fleet alone")]
    TestsWithoutFleet,
    /// The same, of the clock.
    #[error("--test-clock-ms: only a node of a fleet may have its clock set off")]
    ClockWithoutFleet,
    /// The node can't start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The node ended early.
    #[error(transparent)]
    Serve(#[from] ServeError),
}

impl ServeCommandError {
    /// The error in lines; an invalid configuration has one for each of its errors.
    pub fn lines(&self) -> Vec<String> {
        match self {
            ServeCommandError::Config(errors) => errors.0.iter().map(ToString::to_string).collect(),
            other => vec![other.to_string()],
        }
    }
}

/// The safeguards without the one that is named.
fn parse_safeguards(name: &str) -> Result<Safeguards, String> {
    let mut safeguards = Safeguards::default();
    match name {
        "settle" => safeguards.wait_for_old_leases = false,
        "confirm" => safeguards.await_confirmation = false,
        "run-out" => safeguards.lease_expiry = false,
        "majority" => safeguards.majority_vote = false,
        _ => return Err("settle, confirm, run-out or majority is wanted".into()),
    }
    Ok(safeguards)
}

fn parse_level(name: &str) -> Result<Level, String> {
    name.parse()
        .map_err(|()| "critical, error, warning, info, debug or trace is wanted".into())
}

/// Serves until a graceful shutdown is over.
///
/// # Errors
/// The node can't start, or its event loop failed.
pub fn run(args: ServeArgs) -> Result<(), ServeCommandError> {
    // First of all, as a signal would end the process before this.
    let signals = Signals::register().map_err(ServeCommandError::Signals)?;
    panics::report_in_log(args.log_format, None);
    #[cfg(debug_assertions)]
    if let Some(path) = &args.test_panic {
        test_panics::set_file(path.clone());
    }
    let config = node_config::read()?;
    panics::report_in_log(args.log_format, Some(&config.name));
    let mut installation = match &args.installation {
        Some(path) => installation::read(path)?,
        None => Installation::default(),
    };
    set_fleet_tests(&args, &mut installation)?;
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

/// Hands the arguments for tests of fleets to the installation's fleet.
fn set_fleet_tests(
    args: &ServeArgs,
    installation: &mut Installation,
) -> Result<(), ServeCommandError> {
    let tests = FleetTests {
        drift_ppm: args.test_drift_ppm,
        safeguards: args.test_without.unwrap_or_default(),
    };
    match &mut installation.fleet {
        Some(fleet) => fleet.tests = tests,
        None if tests == FleetTests::default() => {}
        None => return Err(ServeCommandError::TestsWithoutFleet),
    }
    Ok(())
}
