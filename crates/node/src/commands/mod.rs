//! The commands of the command line, one module each. All but `serve` start no node: they look at files and
//! expressions, or ask a running node. They block, on files and on answers.

pub mod check;
pub mod expr;
pub mod fleet;
mod input;
pub mod routes;
pub mod serve;
