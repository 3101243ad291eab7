//! Determines what a new configuration changes while a node serves, and which changes require a restart. The
//! decisions are made from the old and the new configuration, without I/O or a clock; the node applies them.

mod builds;
mod keys;
mod plan;

pub use builds::BuildScheduler;
pub use keys::KeyMeanings;
pub use plan::{
    FleetChange, ListenerChanges, Plan, PlatformReload, ReloadablePlatform, RestartRequired,
    StartupConfig, plan,
};
