//! A small typed language over requests. An expression is read, checked against the type that is wanted of
//! it, bounded in cost and compiled, all before its first use; evaluating it then can't fail, loop or
//! allocate.
//!
//! ```text
//! let yard = header("x-yard") ?? "none";
//! if yard in ["north", "south"] { lower(yard) + "/" + (segment(1) ?? "") } else { "other" }
//! ```
//!
//! [`compile`] gives a [`Program`] or every [`Diagnostic`] that was found, each with its place. A program is
//! evaluated against anything that is a [`Request`] with a [`Scratch`] that is kept between evaluations, and
//! borrows what it can from the request. Neither I/O nor a clock: time of day is a value of the request.
//!
//! What holds for every program, and is checked by this package's tests:
//! - evaluating it takes at most [`Cost::steps`] steps and [`Cost::bytes`] of scratch, whatever the request
//!   holds, as long as that keeps within the [`Limits`] that the program was compiled for;
//! - integers saturate, floats stay finite, and what may be absent must be handled before it is used;
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

/// Reads, checks and compiles an expression whose value is to be of type `want`.
///
/// # Errors
/// Every error that could be told apart, in the order of their places.
pub fn compile(source: &str, want: &Type, limits: Limits) -> Result<Program, Vec<Diagnostic>> {
    check::compile(&parse(source)?, Some(want), limits)
}

/// The same without a wanted type; the program tells which it has.
pub fn infer(source: &str, limits: Limits) -> Result<Program, Vec<Diagnostic>> {
    infer_parsed(&parse(source)?, limits)
}

/// As [`infer`], of an expression that was read before.
///
/// # Errors
/// Every error that could be told apart, in the order of their places.
pub fn infer_parsed(expr: &Expr, limits: Limits) -> Result<Program, Vec<Diagnostic>> {
    check::compile(expr, None, limits)
}

/// Reads an expression without checking it.
pub fn parse(source: &str) -> Result<Expr, Vec<Diagnostic>> {
    parse::parse(source)
}
