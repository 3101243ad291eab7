//! The configuration that a node is started with: read, checked and given its defaults in this one place.
//!
//! It has two parts: the platform's configuration ([`node_config`], named by `GW_CONFIG`) and the operators'
//! own file ([`installation`]), which adds what the platform does not know. What changes while a node serves
//! is worked out in [`reload`].
//!
//! Both are read as a whole before any of it is used, and every [`ConfigError`] names the path of its key, as
//! in `installation.fronts[1].listen`. Nothing here opens a socket or looks at a clock.

pub mod budgets;
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
mod stable;

pub use budgets::{BudgetConfig, BudgetIndices, BudgetKind, BudgetScope, LeaseTimes};
pub use error::{ConfigError, ConfigErrorKind, ConfigErrors, ErrorCollector};
pub use fleet::{FaultInjection, FleetConfig, FleetTimes};
pub use installation::{Installation, ListenerConfig, ProtocolName};
pub use limits::ResourceLimits;
pub use node_config::NodeConfig;
pub use servers::ServerPool;
