//! What the command line does beside serving: looks at files and expressions, and starts nothing.

pub mod check;
pub mod expr;
pub mod fleet;
mod input;
pub mod routes;
