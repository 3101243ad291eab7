//! What a node is handed at start, read, checked and given its defaults in this one place: the platform's
//! configuration ([`node_config`], named by `GW_CONFIG`) and the operators' own file ([`mod@file`]), which adds what
//! the platform knows nothing of.
//!
//! Both are read whole before anything is done with them, and every [`ConfigError`] names the path of its key, as
//! in `installation.fronts[1].listen`. Nothing here opens a socket or looks at a clock.

pub mod budgets;
pub mod file;
pub mod fleet;
pub mod gather;
pub mod node_config;
pub mod reload;
pub mod rules;
pub mod servers;
mod stable;

use std::fmt;

pub use budgets::{BudgetFile, BudgetFor, BudgetIndices, BudgetKind, LeaseTimes};
pub use file::{Front, Installation};
pub use fleet::{FleetFile, FleetTests, FleetTimes};
pub use node_config::{NodeConfig, ResourceLimits};
pub use servers::Servers;

/// What is wrong with a text that was handed over, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The file or variable, and the keys that lead to the place.
    pub path: String,
    pub what: String,
}

impl ConfigError {
    pub fn new(path: impl Into<String>, what: impl Into<String>) -> ConfigError {
        ConfigError {
            path: path.into(),
            what: what.into(),
        }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.what)
    }
}

/// Everything that is wrong with a text; never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl ConfigErrors {
    pub fn one(path: impl Into<String>, what: impl Into<String>) -> ConfigErrors {
        ConfigErrors(vec![ConfigError::new(path, what)])
    }

    /// Takes note of what is wrong with a part and goes on, so that all faults are told at once.
    pub fn keep<T>(list: &mut Vec<ConfigError>, part: Result<T, ConfigErrors>) -> Option<T> {
        part.map_err(|faults| list.extend(faults.0)).ok()
    }
}

impl From<ConfigError> for ConfigErrors {
    fn from(fault: ConfigError) -> ConfigErrors {
        ConfigErrors(vec![fault])
    }
}

/// In one line, for a log.
impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (nth, fault) in self.0.iter().enumerate() {
            write!(f, "{}{fault}", if nth > 0 { "; " } else { "" })?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigErrors {}
