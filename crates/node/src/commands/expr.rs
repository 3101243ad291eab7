//! `doortrack expr`: checks, evaluates or explains an expression by itself. It blocks on reading files.

use std::io;
use std::path::{Path, PathBuf};

use clap::Subcommand;
use doortrack_config::ConfigErrors;
use doortrack_expr::{
    Limits, List, LiteralRequest, Program, Request, Scratch, Value, infer, render,
};

use super::input;

/// What is to be done with an expression.
#[derive(Subcommand)]
pub enum ExprCommand {
    /// Checks the expression in a file, and tells its type and cost
    Check {
        #[allow(missing_docs, reason = "a doc comment would be printed by --help")]
        file: PathBuf,
    },
    /// Evaluates an expression against a request that was written down in JSON
    Eval {
        #[allow(missing_docs, reason = "a doc comment would be printed by --help")]
        expression: String,
        /// The request; absent: one with nothing in it
        #[arg(long, value_name = "FILE")]
        request: Option<PathBuf>,
    },
    /// Tells type, bound of cost and compiled form of an expression
    Explain {
        #[allow(missing_docs, reason = "a doc comment would be printed by --help")]
        expression: String,
    },
}

/// Why there is nothing to say of an expression.
#[derive(Debug, thiserror::Error)]
pub enum ExprError {
    /// The file of the expression can't be read.
    #[error("{}: {source}", .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The expression is invalid; its errors with the lines that they point at.
    #[error("{0}")]
    Invalid(String),
    /// The request is invalid.
    #[error(transparent)]
    Request(#[from] ConfigErrors),
}

/// Executes a command and returns what is to be printed.
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
                Some(path) => input::read(path)?,
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
    let shown = show(&value, &scratch, request);
    format!(
        "{shown}\n{}, {} of at most {} steps",
        program.ty(),
        scratch.steps,
        program.cost().steps
    )
}

/// Compiles an expression; `name` stands for its source in errors.
fn compile(name: &str, source: &str) -> Result<Program, ExprError> {
    infer(source, Limits::default())
        .map_err(|errors| ExprError::Invalid(render(name, source, &errors).trim_end().to_string()))
}

/// A value as it is printed.
fn show(value: &Value, scratch: &Scratch, request: &LiteralRequest) -> String {
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
        // Items are made only as they are asked for.
        Value::List(List::Segments { .. }) => format!("the segments of {:?}", request.path()),
        Value::List(_) => "a list; ask for one of its items, as in `list[0]`".into(),
    }
}
