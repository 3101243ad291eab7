//! Checks function calls and bounds their cost.

use super::{Checked, Checker};
use crate::ast::{Expr, Kind, Span};
use crate::cost::{LOOKUP_STEPS, scan_steps};
use crate::diagnostic::{Diagnostic, nearest};
use crate::functions::{FIELDS, FUNCTIONS, usage};
use crate::program::Node;
use crate::request::cgi_name;
use crate::types::Type;

impl Checker {
    pub(super) fn call(&mut self, span: Span, name: &str, at: Span, args: &[Expr]) -> Checked {
        let Some(usage) = usage(name) else {
            let mut error =
                Diagnostic::new(at, format!("there is no function '{name}'"), "not known");
            if FIELDS.contains(&name) {
                error = error.help(format!("'{name}' is a value and is not called"));
            } else if let Some(near) = nearest(name, FUNCTIONS.iter().map(|(checked, _)| *checked))
            {
                error = error.help(format!("perhaps '{near}' is meant"));
            }
            self.errors.push(error);
            return self.invalid();
        };
        let arity = match name {
            "split" | "substring" => 3..=3,
            "cidr" => 2..=64,
            "matches" | "starts_with" | "ends_with" | "contains" | "get" | "min" | "max"
            | "any" | "all" | "first" => 2..=2,
            _ => 1..=1,
        };
        if !arity.contains(&args.len()) {
            let error = Diagnostic::new(
                span,
                format!("'{name}' does not take {} values", args.len()),
                "this call",
            );
            self.errors
                .push(error.help(format!("it is called as `{usage}`")));
            return self.invalid();
        }
        match name {
            "header" | "raw_header" | "variable" | "parameter" => self.lookup(span, name, &args[0]),
            "any" | "all" | "first" => self.quantifier(span, name, &args[0], &args[1]),
            "matches" => self.matches(span, &args[0], &args[1]),
            "split" => self.split(span, args),
            "substring" => self.substring(span, args),
            "cidr" => self.networks(span, args),
            _ => self.by_signature(span, name, usage, args),
        }
    }

    /// Returns the string literal `arg`, or reports an error if it is another expression.
    pub(super) fn literal<'e>(&mut self, arg: &'e Expr, what: &str) -> Option<&'e str> {
        if let Kind::Str(text) = &arg.kind {
            return Some(text);
        }
        self.error(
            arg.span,
            format!("{what} has to stand here as a text in quotes"),
            "not known beforehand",
        );
        None
    }

    fn lookup(&mut self, span: Span, kind: &str, arg: &Expr) -> Checked {
        let Some(name) = self.literal(arg, "a name") else {
            return self.invalid();
        };
        let (node, own_steps, ty) = match kind {
            "parameter" => (
                Node::Parameter(name.into()),
                scan_steps(self.limits.variable),
                Type::Str,
            ),
            "variable" => (
                Node::Variable {
                    name: name.into(),
                    raw: false,
                },
                LOOKUP_STEPS,
                Type::Str,
            ),
            "raw_header" => (
                Node::Variable {
                    name: cgi_name(name).into(),
                    raw: true,
                },
                LOOKUP_STEPS,
                Type::Bytes,
            ),
            _ => (
                Node::Variable {
                    name: cgi_name(name).into(),
                    raw: false,
                },
                LOOKUP_STEPS,
                Type::Str,
            ),
        };
        // Strings are scanned for invalid UTF-8.
        let own_steps = own_steps
            + if ty == Type::Str {
                scan_steps(self.limits.variable)
            } else {
                0
            };
        let checked = self.add_node(span, node, ty.optional(), own_steps, &[]);
        Checked {
            len: self.limits.variable,
            ..checked
        }
    }
}
