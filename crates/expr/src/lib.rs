//! A small typed expression language over requests. An expression is parsed, checked against the expected type,
//! bounded in cost and compiled before its first use. Evaluation then can't fail, loop forever or, once the
//! scratch buffer has its capacity, allocate.
//!
//! ```text
//! let yard = header("x-yard") ?? "none";
//! if yard in ["north", "south"] { lower(yard) + "/" + (segment(1) ?? "") } else { "other" }
//! ```
//!
//! [`compile`] returns a [`Program`], or every [`Diagnostic`] found, each with its position. A program is
//! evaluated against any [`Request`], with a [`Scratch`] buffer that is reused between evaluations; values are
//! borrowed from the request where possible. Evaluation does no I/O and reads no clock: the time of day is a
//! field of the request.
//!
//! The following holds for every program and is checked by this package's tests:
//! - an evaluation takes at most [`Cost::steps`] steps and [`Cost::bytes`] of scratch for every request within
//!   the [`Limits`] that the program was compiled for;
//! - integers saturate, floats stay finite, and optional values must be handled before use;
//! - the same request gives the same value.
//!
//! The language itself is described in `docs/expressions.md`.

mod ast;
mod check;
mod cost;
mod diagnostic;
mod eval;
mod functions;
mod lex;
mod limits;
mod parse;
mod program;
mod request;
mod types;
mod value;

pub use ast::{Expr, Kind, Op, Span};
pub use cost::Cost;
pub use diagnostic::{Diagnostic, render};
pub use limits::{Limits, MAX_DEPTH, MAX_NAMES, MAX_REGEX, MAX_SOURCE, MAX_STRING};
pub use program::Program;
pub use request::{LiteralRequest, Request, cgi_name};
pub use types::Type;
pub use value::{List, Scratch, Text, Value};

/// Parses, checks and compiles an expression whose value must have the type `expected`.
///
/// # Errors
/// All errors found, in source order.
pub fn compile(source: &str, expected: &Type, limits: Limits) -> Result<Program, Vec<Diagnostic>> {
    check::compile(&parse(source)?, Some(expected), limits)
}

/// Compiles an expression without an expected type; [`Program::ty`] is the inferred one.
pub fn infer(source: &str, limits: Limits) -> Result<Program, Vec<Diagnostic>> {
    infer_parsed(&parse(source)?, limits)
}

/// Like [`infer`], for an expression that is already parsed.
///
/// # Errors
/// All errors found, in source order.
pub fn infer_parsed(expr: &Expr, limits: Limits) -> Result<Program, Vec<Diagnostic>> {
    check::compile(expr, None, limits)
}

/// Parses an expression without checking it.
pub fn parse(source: &str) -> Result<Expr, Vec<Diagnostic>> {
    parse::parse(source)
}
