//! The commands of the command line, one module each. Only `serve` starts a node. The others check files and
//! expressions, or query a running node, and block on files and answers.

pub mod check;
pub mod expr;
pub mod fleet;
mod request_file;
pub mod routes;
pub mod serve;
