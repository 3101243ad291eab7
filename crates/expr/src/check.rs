//! Type checking, cost bounds and code generation in one pass over the syntax tree.

mod functions;
mod lists;
mod names;
mod operators;
mod patterns;
mod signatures;

use crate::ast::{Expr, Kind, Span};
use crate::cost::Cost;
use crate::diagnostic::Diagnostic;
use crate::limits::{Limits, MAX_STRING};
use crate::program::{Node, NodeIndex, Program};
use crate::types::Type;

/// Maximum total size in bytes of the strings built in one evaluation.
const MAX_BUILT_BYTES: u64 = 4 * MAX_STRING;
/// Maximum number of parts of a `split`.
const MAX_SPLIT_ITEMS: i64 = 64;
/// Maximum number of items in a list literal.
const MAX_LIST_ITEMS: usize = 1024;

/// The result of checking an expression: its node, type and cost bounds.
#[derive(Clone, Debug)]
struct Checked {
    node: NodeIndex,
    /// `None` if the expression has an error, which has been reported.
    ty: Option<Type>,
    /// Upper bound on evaluation steps.
    steps: u64,
    /// Upper bound on the bytes built.
    built: u64,
    /// Upper bound on the length, in bytes or items.
    len: u64,
    /// For a list: upper bounds on producing all items once, and on the length of each item.
    items: Items,
}

#[derive(Clone, Copy, Debug, Default)]
struct Items {
    steps: u64,
    built: u64,
    len: u64,
}

struct Binding {
    name: String,
    slot: u8,
    checked: Checked,
}

struct Checker {
    limits: Limits,
    nodes: Vec<Node>,
    bindings: Vec<Binding>,
    slot_count: usize,
    errors: Vec<Diagnostic>,
    /// Steps and span of the node with the most steps of its own.
    costliest: (u64, Span),
}

pub(crate) fn compile(
    expr: &Expr,
    expected: Option<&Type>,
    limits: Limits,
) -> Result<Program, Vec<Diagnostic>> {
    let (nodes, bindings, errors) = Default::default();
    let mut checker = Checker {
        limits,
        nodes,
        bindings,
        slot_count: 0,
        errors,
        costliest: (0, expr.span),
    };
    let root = checker.check(expr);
    if let (Some(found), Some(expected)) = (&root.ty, expected)
        && found != expected
        && Some(found) != optional_inner(expected)
    {
        checker.mismatch(expr.span, expected, found);
    }
    if checker.errors.is_empty() && root.steps > limits.max_cost {
        let (steps, span) = checker.costliest;
        let what = format!(
            "this may take {} steps, and at most {} are allowed",
            root.steps, limits.max_cost
        );
        checker
            .errors
            .push(Diagnostic::new(span, what, format!("{steps} of them here")));
    }
    if checker.errors.is_empty() && root.built > MAX_BUILT_BYTES {
        let what = format!(
            "this may build {} bytes of text, and at most {MAX_BUILT_BYTES} are allowed",
            root.built
        );
        checker
            .errors
            .push(Diagnostic::new(expr.span, what, "all of it"));
    }
    checker.errors.sort_by_key(|error| error.span.from);
    match root.ty {
        Some(ty) if checker.errors.is_empty() => {
            let cost = Cost {
                steps: root.steps,
                bytes: root.built,
            };
            Ok(Program {
                nodes: checker.nodes,
                root: root.node,
                ty,
                cost,
                limits,
            })
        }
        _ => Err(checker.errors),
    }
}

fn optional_inner(ty: &Type) -> Option<&Type> {
    if let Type::Optional(of) = ty {
        Some(of)
    } else {
        None
    }
}

impl Checker {
    fn push_node(&mut self, node: Node) -> NodeIndex {
        self.nodes.push(node);
        (self.nodes.len() - 1) as NodeIndex
    }

    fn error(&mut self, span: Span, what: impl Into<String>, label: &str) -> Checked {
        self.errors.push(Diagnostic::new(span, what, label));
        self.invalid()
    }

    fn invalid(&mut self) -> Checked {
        let node = self.push_node(Node::Bool(false));
        Checked {
            node,
            ty: None,
            steps: 0,
            built: 0,
            len: 0,
            items: Items::default(),
        }
    }

    fn mismatch(&mut self, span: Span, expected: &Type, found: &Type) -> Checked {
        let mut error = Diagnostic::new(
            span,
            format!("{expected} is wanted, this is {found}"),
            format!("{found}"),
        );
        if optional_inner(found) == Some(expected) {
            error =
                error.help("it may be absent: say what stands for it then, as in `it ?? other`");
        } else if *expected == Type::Str && *found == Type::Bytes {
            error = error.help("`text(it)` is the text of bytes, absent where they are none");
        } else if *expected == Type::Bytes && *found == Type::Str {
            error = error.help("`bytes(it)` are the bytes of a text");
        }
        self.errors.push(error);
        self.invalid()
    }

    /// Adds a node whose cost is `own_steps` plus the cost of its operands.
    fn add_node(
        &mut self,
        span: Span,
        node: Node,
        ty: Type,
        own_steps: u64,
        parts: &[&Checked],
    ) -> Checked {
        let node = self.push_node(node);
        if own_steps > self.costliest.0 {
            self.costliest = (own_steps, span);
        }
        let sum = |of: &dyn Fn(&Checked) -> u64| {
            parts
                .iter()
                .fold(0u64, |all, part| all.saturating_add(of(part)))
        };
        let (steps, built) = (
            sum(&|part| part.steps).saturating_add(own_steps),
            sum(&|part| part.built),
        );
        Checked {
            node,
            ty: Some(ty),
            steps,
            built,
            len: 0,
            items: Items::default(),
        }
    }

    /// Returns true if the expression has the type `expected`. Otherwise reports a mismatch, unless the expression
    /// already has an error.
    fn expect(&mut self, checked: &Checked, span: Span, expected: &Type) -> bool {
        match &checked.ty {
            Some(found) if found == expected => true,
            Some(found) => {
                let found = found.clone();
                self.mismatch(span, expected, &found);
                false
            }
            None => false,
        }
    }

    fn check(&mut self, expr: &Expr) -> Checked {
        let span = expr.span;
        match &expr.kind {
            Kind::Bool(truth) => self.add_node(span, Node::Bool(*truth), Type::Bool, 1, &[]),
            Kind::Int(n) => self.add_node(span, Node::Int(*n), Type::Int, 1, &[]),
            Kind::Float(n) => self.add_node(span, Node::Float(*n), Type::Float, 1, &[]),
            Kind::Duration(n) => self.add_node(span, Node::Duration(*n), Type::Duration, 1, &[]),
            Kind::Str(text) => self.constant(span, text.as_bytes(), Type::Str),
            Kind::Bytes(bytes) => self.constant(span, bytes, Type::Bytes),
            Kind::Name(name) => self.name(span, name),
            Kind::List(items) => self.list(span, items),
            Kind::Not(operand) => self.not(span, operand),
            Kind::Neg(operand) => self.negate(span, operand),
            Kind::All(parts) => self.logical(span, parts, Node::All),
            Kind::Any(parts) => self.logical(span, parts, Node::Any),
            Kind::Binary(op, left, right) => self.binary(span, *op, left, right),
            Kind::If(when, then, other) => self.conditional(span, when, then, other),
            Kind::Let {
                name,
                at,
                value,
                body,
            } => self.let_binding(span, name, *at, value, body),
            Kind::Call { name, at, args } => self.call(span, name, *at, args),
            Kind::Each { at, .. } => self.error(
                *at,
                "'->' can only stand in any, all and first",
                "no function of a list",
            ),
            Kind::Wrong => self.invalid(),
        }
    }

    fn constant(&mut self, span: Span, bytes: &[u8], ty: Type) -> Checked {
        let checked = self.add_node(span, Node::Text(bytes.into()), ty, 1, &[]);
        Checked {
            len: bytes.len() as u64,
            ..checked
        }
    }

    fn list(&mut self, span: Span, items: &[Expr]) -> Checked {
        if items.len() > MAX_LIST_ITEMS {
            return self.error(
                span,
                format!("a list has at most {MAX_LIST_ITEMS} items"),
                "too long",
            );
        }
        let checked: Vec<Checked> = items.iter().map(|item| self.check(item)).collect();
        let Some(first) = checked.first() else {
            return self.error(
                span,
                "a list has at least one item, so that it has a type",
                "empty",
            );
        };
        let Some(ty) = first.ty.clone() else {
            return self.invalid();
        };
        let mut well_typed = true;
        for (item, checked) in items.iter().zip(&checked).skip(1) {
            well_typed &= self.expect(checked, item.span, &ty);
        }
        if !well_typed {
            return self.invalid();
        }
        let sum = |of: &dyn Fn(&Checked) -> u64| {
            checked
                .iter()
                .fold(0u64, |all, item| all.saturating_add(of(item)))
        };
        let items = Items {
            steps: sum(&|item| item.steps).saturating_add(checked.len() as u64),
            built: sum(&|item| item.built),
            len: checked.iter().map(|item| item.len).max().unwrap_or(0),
        };
        let nodes = checked.iter().map(|item| item.node).collect();
        let list = self.add_node(span, Node::List(nodes), ty.list(), 1, &[]);
        Checked {
            len: checked.len() as u64,
            items,
            ..list
        }
    }
}
