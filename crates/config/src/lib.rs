//! Reads the configuration of a node, validates it and fills in its defaults.
//!
//! The configuration has two parts: the platform's configuration ([`node_config`], the file that `GW_CONFIG`
//! names) and the operators' installation file ([`installation`]). [`reload`] determines what changes with a new
//! configuration while a node serves.
//!
//! Both files are read and validated completely before any part is used. Every [`ConfigError`] names the path of
//! its key, such as `installation.fronts[1].listen`. The package opens no sockets and reads no clock.

pub mod budgets;
mod consistent_read;
pub mod deserialize;
mod error;
pub mod fleet;
pub mod installation;
mod limits;
pub mod node_config;
mod range;
pub mod reload;
pub mod rules;
pub mod servers;
pub mod transient;

pub use budgets::{BudgetConfig, BudgetIndices, BudgetKind, BudgetScope, LeaseTimes};
pub use error::{ConfigError, ConfigErrorKind, ConfigErrors, ErrorCollector};
pub use fleet::{FaultInjection, FleetConfig, FleetTimes};
pub use installation::{Installation, ListenerConfig, ProtocolName};
pub use limits::ResourceLimits;
pub use node_config::NodeConfig;
pub use servers::ServerPool;
