//! Code shared by the benchmark programs and the benches of this package.

pub mod log_line;
pub mod process;
pub mod typical;
