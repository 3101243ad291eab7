//! Types, bounds of cost, and the compiled form, in one walk over what was read.

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

/// Bytes that all strings of one evaluation may have.
const MAX_BUILT_BYTES: u64 = 4 * MAX_STRING;
/// Items that a split may have.
const MAX_SPLIT_ITEMS: i64 = 64;
/// Items that a list in the source may have.
const MAX_LIST_ITEMS: usize = 1024;

/// What is known of an expression before it is evaluated.
#[derive(Clone, Debug)]
struct Checked {
    node: NodeIndex,
    /// None where it has an error, which was reported.
    ty: Option<Type>,
    /// Bounds: of steps, of bytes built, of its length in bytes or items.
    steps: u64,
    built: u64,
    len: u64,
    /// Of a list: bounds of making all items once, and of the length of each.
    items: Items,
}

#[derive(Clone, Copy, Debug, Default)]
struct Items {
    steps: u64,
    built: u64,
    len: u64,
}

struct Bound {
    name: String,
    slot: u8,
    checked: Checked,
}

struct Checker {
    limits: Limits,
    nodes: Vec<Node>,
    names: Vec<Bound>,
    slots: usize,
    errors: Vec<Diagnostic>,
    /// The part that takes the most steps by itself.
    costliest: (u64, Span),
}

pub(crate) fn compile(
    expr: &Expr,
    want: Option<&Type>,
    limits: Limits,
) -> Result<Program, Vec<Diagnostic>> {
    let (nodes, names, errors) = Default::default();
    let mut checker = Checker {
        limits,
        nodes,
        names,
        slots: 0,
        errors,
        costliest: (0, expr.span),
    };
    let root = checker.check(expr);
    if let (Some(found), Some(want)) = (&root.ty, want)
        && found != want
        && Some(found) != inner(want)
    {
        checker.mismatch(expr.span, want, found);
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

fn inner(ty: &Type) -> Option<&Type> {
    if let Type::Optional(of) = ty {
        Some(of)
    } else {
        None
    }
}

impl Checker {
    fn node(&mut self, node: Node) -> NodeIndex {
        self.nodes.push(node);
        (self.nodes.len() - 1) as NodeIndex
    }

    fn error(&mut self, span: Span, what: impl Into<String>, label: &str) -> Checked {
        self.errors.push(Diagnostic::new(span, what, label));
        self.invalid()
    }

    fn invalid(&mut self) -> Checked {
        let node = self.node(Node::Bool(false));
        Checked {
            node,
            ty: None,
            steps: 0,
            built: 0,
            len: 0,
            items: Items::default(),
        }
    }

    fn mismatch(&mut self, span: Span, want: &Type, found: &Type) -> Checked {
        let mut error = Diagnostic::new(
            span,
            format!("{want} is wanted, this is {found}"),
            format!("{found}"),
        );
        if inner(found) == Some(want) {
            error =
                error.help("it may be absent: say what stands for it then, as in `it ?? other`");
        } else if *want == Type::Str && *found == Type::Bytes {
            error = error.help("`text(it)` is the text of bytes, absent where they are none");
        } else if *want == Type::Bytes && *found == Type::Str {
            error = error.help("`bytes(it)` are the bytes of a text");
        }
        self.errors.push(error);
        self.invalid()
    }

    /// Puts a node together with what its parts cost; `own` is what it takes by itself.
    fn checked(
        &mut self,
        span: Span,
        node: Node,
        ty: Type,
        own_steps: u64,
        parts: &[&Checked],
    ) -> Checked {
        let node = self.node(node);
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

    /// Whether it is of this type; if not, that is reported, unless it has an error already.
    fn expect(&mut self, checked: &Checked, span: Span, want: &Type) -> bool {
        match &checked.ty {
            Some(found) if found == want => true,
            Some(found) => {
                let found = found.clone();
                self.mismatch(span, want, &found);
                false
            }
            None => false,
        }
    }

    fn check(&mut self, expr: &Expr) -> Checked {
        let span = expr.span;
        match &expr.kind {
            Kind::Bool(truth) => self.checked(span, Node::Bool(*truth), Type::Bool, 1, &[]),
            Kind::Int(n) => self.checked(span, Node::Int(*n), Type::Int, 1, &[]),
            Kind::Float(n) => self.checked(span, Node::Float(*n), Type::Float, 1, &[]),
            Kind::Duration(n) => self.checked(span, Node::Duration(*n), Type::Duration, 1, &[]),
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
        let checked = self.checked(span, Node::Text(bytes.into()), ty, 1, &[]);
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
        let list = self.checked(span, Node::List(nodes), ty.list(), 1, &[]);
        Checked {
            len: checked.len() as u64,
            items,
            ..list
        }
    }
}
