//! What a new configuration changes while a node serves, and what takes a restart. Decided here from the old
//! and the new configuration, without I/O or a clock; the node applies it.

mod builds;
mod keys;
mod plan;

pub use builds::BuildScheduler;
pub use keys::KeyMeanings;
pub use plan::{
    FleetChange, ListenerChanges, Plan, PlatformReload, ReloadablePlatform, RestartRequired,
    StartupConfig, plan,
};
