//! What the programs and benches of this package share.

pub mod log_line;
pub mod process;
pub mod typical;
