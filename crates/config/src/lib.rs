//! What a node is handed at start, read, checked and given its defaults in this one place: the platform's
//! configuration ([`orders`], named by `GW_CONFIG`) and the operators' own file ([`file`]), which adds what
//! the platform knows nothing of.
//!
//! Both are read whole before anything is done with them, and every [`Fault`] names the path of its key, as
//! in `installation.fronts[1].listen`. Nothing here opens a socket or looks at a clock.

pub mod budgets;
mod error;
pub mod file;
pub mod fleet;
pub mod gather;
mod limits;
pub mod node_config;
pub mod reload;
pub mod rules;
pub mod servers;
mod stable;

pub use budgets::{BudgetFile, BudgetFor, BudgetIndices, BudgetKind, LeaseTimes};
pub use error::{ConfigError, ConfigErrorKind, ConfigErrors, ErrorCollector};
pub use file::{Front, Installation};
pub use fleet::{FleetFile, FleetTests, FleetTimes};
pub use limits::ResourceLimits;
pub use node_config::NodeConfig;
pub use servers::Servers;
