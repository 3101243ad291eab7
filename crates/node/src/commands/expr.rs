//! `doortrack expr`: an expression by itself, checked, evaluated or explained.

use std::path::{Path, PathBuf};

use clap::Subcommand;
use doortrack_expr::{
    Limits, List, LiteralRequest, Program, Request, Scratch, Value, infer, render,
};

use super::input;

#[derive(Subcommand)]
pub enum ExprCommand {
    /// Checks the expression in a file, and tells its type and cost
    Check { file: PathBuf },
    /// Evaluates an expression against a request that was written down in JSON
    Eval {
        expression: String,
        /// The request; absent: one with nothing in it
        #[arg(long, value_name = "FILE")]
        request: Option<PathBuf>,
    },
    /// Tells type, bound of cost and compiled form of an expression
    Explain { expression: String },
}

/// What is printed, or what is printed where it is wrong.
pub fn run(command: &ExprCommand) -> Result<String, String> {
    match command {
        ExprCommand::Check { file } => {
            let source =
                std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
            let program = program(&file.display().to_string(), &source)?;
            let cost = program.cost();
            Ok(format!(
                "good: {}, at most {} steps and {} bytes built",
                program.ty(),
                cost.steps,
                cost.bytes
            ))
        }
        ExprCommand::Eval {
            expression,
            request,
        } => {
            let program = program("expression", expression)?;
            let request = request
                .as_deref()
                .map_or_else(|| Ok(LiteralRequest::default()), read)?;
            let mut scratch = Scratch::default();
            let value = program.eval(&request, &mut scratch);
            let shown = show(&value, &scratch, &request);
            Ok(format!(
                "{shown}\n{}, {} of at most {} steps",
                program.ty(),
                scratch.steps,
                program.cost().steps
            ))
        }
        ExprCommand::Explain { expression } => Ok(program("expression", expression)?
            .explain()
            .trim_end()
            .to_string()),
    }
}

fn read(path: &Path) -> Result<LiteralRequest, String> {
    input::read(path).map_err(|faults| faults.to_string())
}

fn program(name: &str, source: &str) -> Result<Program, String> {
    infer(source, Limits::default())
        .map_err(|faults| render(name, source, &faults).trim_end().to_string())
}

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
