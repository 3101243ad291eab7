//! Signatures of functions that depend only on the types of one or two arguments: argument types, result type
//! and cost.

use super::{Checked, Checker};
use crate::ast::{Expr, Span};
use crate::cost::scan_steps;
use crate::diagnostic::Diagnostic;
use crate::program::{Function, Node};
use crate::types::Type;

/// Number of digits that `hex` writes for an int.
const HEX_DIGITS: u64 = 16;

/// The result type of a function and upper bounds on its cost.
struct Signature {
    function: Function,
    result: Type,
    /// Steps, not counting those of the arguments.
    steps: u64,
    /// Bytes built in the scratch buffer.
    built: u64,
    /// Length of the result in bytes.
    len: u64,
}

impl Signature {
    fn new(function: Function, result: Type, steps: u64) -> Signature {
        Signature {
            function,
            result,
            steps,
            built: 0,
            len: 0,
        }
    }

    /// A function that returns a string of at most `len` bytes.
    fn text(function: Function, steps: u64, len: u64) -> Signature {
        Signature::new(function, Type::Str, steps).len(len)
    }

    fn builds(mut self, bytes: u64) -> Signature {
        self.built = bytes;
        self
    }

    fn len(mut self, bytes: u64) -> Signature {
        self.len = bytes;
        self
    }
}

fn binary_signature(
    name: &str,
    types: (&Type, &Type),
    left: &Checked,
    right: &Checked,
) -> Option<Signature> {
    let shorter = 1 + scan_steps(left.len.min(right.len));
    Some(match (name, types) {
        ("starts_with", (Type::Str, Type::Str)) => {
            Signature::new(Function::StartsWith, Type::Bool, shorter)
        }
        ("ends_with", (Type::Str, Type::Str)) => {
            Signature::new(Function::EndsWith, Type::Bool, shorter)
        }
        ("contains", (Type::Str, Type::Str)) => {
            // The search restarts at every position, so the bound is the product of both lengths.
            let steps = (1 + scan_steps(left.len)).saturating_mul(1 + scan_steps(right.len));
            Signature::new(Function::Contains, Type::Bool, steps)
        }
        ("get", (Type::List(item), Type::Int)) => {
            let result = (**item).clone().optional();
            Signature::new(Function::Get, result, 1 + left.items.steps)
                .builds(left.items.built)
                .len(left.items.len)
        }
        ("min", (one, other)) if one == other && is_number(one) => {
            Signature::new(Function::Min, one.clone(), 1)
        }
        ("max", (one, other)) if one == other && is_number(one) => {
            Signature::new(Function::Max, one.clone(), 1)
        }
        _ => return None,
    })
}

impl Checker {
    /// Checks a function that depends only on the types of one or two arguments.
    pub(super) fn by_signature(
        &mut self,
        span: Span,
        name: &str,
        usage: &str,
        args: &[Expr],
    ) -> Checked {
        let checked: Vec<Checked> = args.iter().map(|arg| self.check(arg)).collect();
        let types: Option<Vec<Type>> = checked.iter().map(|checked| checked.ty.clone()).collect();
        let Some(types) = types else {
            return self.invalid();
        };
        if let ("bytes", [Type::Str]) = (name, &types[..]) {
            // Only the type changes; the bytes stay the same.
            return Checked {
                ty: Some(Type::Bytes),
                ..checked[0].clone()
            };
        }
        let Some(found) = self.signature(name, &types, &checked) else {
            return self.no_signature(span, name, usage, &types);
        };
        let with = checked.get(1).map(|with| with.node);
        let node = Node::Call {
            fun: found.function,
            of: checked[0].node,
            with,
        };
        let parts: Vec<&Checked> = checked.iter().collect();
        let whole = self.add_node(span, node, found.result, found.steps, &parts);
        Checked {
            built: whole.built.saturating_add(found.built),
            len: found.len,
            ..whole
        }
    }

    /// Returns the signature of a function for these argument types, or `None` if it doesn't accept them.
    fn signature(&self, name: &str, types: &[Type], args: &[Checked]) -> Option<Signature> {
        match types {
            [ty] => self.unary_signature(name, ty, &args[0]),
            [left, right] => binary_signature(name, (left, right), &args[0], &args[1]),
            _ => None,
        }
    }

    fn unary_signature(&self, name: &str, ty: &Type, arg: &Checked) -> Option<Signature> {
        let (len, items) = (arg.len, arg.items);
        let scan = 1 + scan_steps(len);
        Some(match (name, ty) {
            ("lower", Type::Str) => Signature::text(Function::Lower, scan, len).builds(len),
            ("upper", Type::Str) => Signature::text(Function::Upper, scan, len).builds(len),
            ("trim", Type::Str) => Signature::text(Function::Trim, scan, len),
            ("len", Type::Str | Type::Bytes) => Signature::new(Function::Length, Type::Int, 1),
            ("len", Type::List(_)) => {
                Signature::new(Function::Count, Type::Int, 1 + items.steps).builds(items.built)
            }
            ("hash", Type::Str | Type::Bytes) => Signature::new(Function::Hash, Type::Int, 1 + len),
            ("hex", Type::Int) => Signature::text(Function::Hex, 2, HEX_DIGITS).builds(HEX_DIGITS),
            ("int", Type::Str) => Signature::new(Function::ParseInt, Type::Int.optional(), scan),
            ("int", Type::Float) => Signature::new(Function::FloatToInt, Type::Int, 1),
            ("float", Type::Str) => {
                Signature::new(Function::ParseFloat, Type::Float.optional(), scan)
            }
            ("float", Type::Int) => Signature::new(Function::IntToFloat, Type::Float, 1),
            ("text", Type::Bytes) => {
                Signature::new(Function::BytesToText, Type::Str.optional(), scan).len(len)
            }
            ("present", Type::Optional(_)) => Signature::new(Function::Present, Type::Bool, 1),
            ("segment", Type::Int) => {
                let path = self.limits.variable;
                let steps = 1 + self.limits.segments + scan_steps(path);
                Signature::new(Function::Segment, Type::Str.optional(), steps).len(path)
            }
            _ => return None,
        })
    }

    fn no_signature(&mut self, span: Span, name: &str, usage: &str, types: &[Type]) -> Checked {
        let found: Vec<String> = types.iter().map(Type::to_string).collect();
        let what = format!("'{name}' does not take {}", found.join(" and "));
        let error = Diagnostic::new(span, what, "this call");
        let help = match &types[0] {
            Type::Optional(inner) => {
                format!("it is called as `{usage}`; the {inner} may be absent: `it ?? other`")
            }
            _ => format!("it is called as `{usage}`"),
        };
        self.errors.push(error.help(help));
        self.invalid()
    }
}

fn is_number(ty: &Type) -> bool {
    matches!(ty, Type::Int | Type::Float | Type::Duration)
}
