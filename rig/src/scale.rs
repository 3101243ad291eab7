//! What a fleet costs as it grows: each quantity measured at several sizes, with the slope through them.

pub mod node_cost;
pub mod series;
