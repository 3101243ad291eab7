//! What the programs and benches of this package share.

#![warn(missing_docs)]

pub mod log_line;
pub mod process;
pub mod typical;
