//! What the programs and benches of this package share.

pub mod typical;
