//! `doortrack expr`: checks, evaluates or explains a single expression. It blocks on reading files.

use std::io;
use std::path::{Path, PathBuf};

use clap::Subcommand;
use doortrack_config::ConfigErrors;
use doortrack_expr::{
    Limits, List, LiteralRequest, Program, Request, Scratch, Value, infer, render,
};

use super::request_file;

/// Commands on an expression.
#[derive(Subcommand)]
pub enum ExprCommand {
    /// Checks the expression in a file, and prints its type and cost
    Check {
        #[allow(missing_docs, reason = "a doc comment would be printed by --help")]
        file: PathBuf,
    },
    /// Evaluates an expression against a request in a JSON file
    Eval {
        #[allow(missing_docs, reason = "a doc comment would be printed by --help")]
        expression: String,
        /// File with the request; default: an empty request
        #[arg(long, value_name = "FILE")]
        request: Option<PathBuf>,
    },
    /// Prints type, maximum cost and compiled form of an expression
    Explain {
        #[allow(missing_docs, reason = "a doc comment would be printed by --help")]
        expression: String,
    },
}

/// Why a command on an expression failed.
#[derive(Debug, thiserror::Error)]
pub enum ExprError {
    /// The expression's file can't be read.
    #[error("{}: {source}", .path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The expression is invalid. The text has its errors, each with the line in question.
    #[error("{0}")]
    Invalid(String),
    /// The request is invalid.
    #[error(transparent)]
    Request(#[from] ConfigErrors),
}

/// Executes a command and returns the text to print.
///
/// # Errors
/// A file can't be read, or the expression or the request is invalid.
pub fn run(command: &ExprCommand) -> Result<String, ExprError> {
    match command {
        ExprCommand::Check { file } => check(file),
        ExprCommand::Eval {
            expression,
            request,
        } => {
            let program = compile("expression", expression)?;
            let request = match request {
                Some(path) => request_file::read_request(path)?,
                None => LiteralRequest::default(),
            };
            Ok(evaluate(&program, &request))
        }
        ExprCommand::Explain { expression } => {
            let program = compile("expression", expression)?;
            Ok(program.explain().trim_end().to_string())
        }
    }
}

fn check(path: &Path) -> Result<String, ExprError> {
    let source = std::fs::read_to_string(path).map_err(|source| ExprError::Unreadable {
        path: path.into(),
        source,
    })?;
    let program = compile(&path.display().to_string(), &source)?;
    let cost = program.cost();
    Ok(format!(
        "good: {}, at most {} steps and {} bytes built",
        program.ty(),
        cost.steps,
        cost.bytes
    ))
}

fn evaluate(program: &Program, request: &LiteralRequest) -> String {
    let mut scratch = Scratch::default();
    let value = program.eval(request, &mut scratch);
    let formatted = format_value(&value, &scratch, request);
    format!(
        "{formatted}\n{}, {} of at most {} steps",
        program.ty(),
        scratch.steps,
        program.cost().steps
    )
}

/// Compiles an expression. `name` identifies its source in errors.
fn compile(name: &str, source: &str) -> Result<Program, ExprError> {
    infer(source, Limits::default())
        .map_err(|errors| ExprError::Invalid(render(name, source, &errors).trim_end().to_string()))
}

/// Formats a value for printing.
fn format_value(value: &Value, scratch: &Scratch, request: &LiteralRequest) -> String {
    match value {
        Value::Absent => "absent".into(),
        Value::Bool(truth) => truth.to_string(),
        Value::Int(n) => n.to_string(),
        Value::Float(n) => format!("{n:?}"),
        Value::Duration(micros) => format!("{micros}us"),
        Value::Addr(addr) => addr.to_string(),
        Value::Text(text) => match std::str::from_utf8(scratch.text(*text)) {
            Ok(text) => format!("{text:?}"),
            Err(_) => format!("b\"{}\"", scratch.text(*text).escape_ascii()),
        },
        // Items of a list are created only on access.
        Value::List(List::Segments { .. }) => format!("the segments of {:?}", request.path()),
        Value::List(_) => "a list; use an index to see an item, as in `list[0]`".into(),
    }
}
