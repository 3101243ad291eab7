//! What a new configuration changes while a node serves, and what it can't: decided here from the old and
//! the new one, without I/O or a clock. The node carries it out (`node/src/event_loop/reload.rs`).

mod builds;
mod keys;
mod plan;

pub use builds::Builds;
pub use keys::KeyMeanings;
pub use plan::{
    FleetChange, FrontChanges, NeedsStart, Plan, Platform, PlatformRead, Started, plan,
};
