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
mod diagnostic;
mod eval;
mod functions;
mod lex;
mod parse;
mod program;
mod request;
mod types;
mod value;

pub use ast::{Expr, Kind, Op, Span};
pub use diagnostic::{Diagnostic, render};
pub use program::{Cost, Program};
pub use request::{Request, Written, cgi_name};
pub use types::Type;
pub use value::{List, Scratch, Text, Value};

/// Bytes of source that one expression may have.
pub const MOST_SOURCE: usize = 8 * 1024;
/// How deep expressions may stand within each other.
pub const MOST_DEPTH: usize = 48;
/// Names that one expression may bind.
pub const MOST_NAMES: usize = 16;
/// Bytes that any one string may have.
pub const MOST_STRING: u64 = 64 * 1024;
/// Bytes that a compiled regular expression may take.
pub const MOST_REGEX: usize = 256 * 1024;

/// What requests hold at the most, and what an expression over them may cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Steps that one evaluation may take.
    pub max_cost: u64,
    /// Bytes of any one variable, of the path and of the query.
    pub variable: u64,
    /// Bytes of the body that an expression sees.
    pub body: u64,
    /// Segments of the path that an expression sees.
    pub segments: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_cost: 20_000,
            variable: 4096,
            body: 256,
            segments: 32,
        }
    }
}

/// Reads, checks and compiles an expression whose value is to be of type `want`.
///
/// # Errors
/// Every fault that could be told apart, in the order of their places.
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
/// Every fault that could be told apart, in the order of their places.
pub fn infer_parsed(expr: &Expr, limits: Limits) -> Result<Program, Vec<Diagnostic>> {
    check::compile(expr, None, limits)
}

/// Reads an expression without checking it.
pub fn parse(source: &str) -> Result<Expr, Vec<Diagnostic>> {
    parse::parse(source)
}
