//! Types, bounds of cost, and the compiled form, in one walk over what was read.

mod functions;
mod operators;

use crate::ast::{Expr, Kind, Span};
use crate::diagnostic::{Diagnostic, nearest};
use crate::functions::{FIELDS, field, usage};
use crate::program::{Cost, Field, Node, Place, Program};
use crate::{Limits, MOST_NAMES, MOST_STRING, Type};

/// Bytes that all strings of one evaluation may have.
const MOST_BUILT: u64 = 4 * MOST_STRING;
/// Items that a split may have.
const MOST_PARTS: i64 = 64;
/// Items that a list in the source may have.
const MOST_ITEMS: usize = 1024;

/// Steps that looking a variable up takes, and those of looking through so many bytes.
pub(crate) const LOOKUP: u64 = 16;
pub(crate) fn through(bytes: u64) -> u64 {
    1 + bytes / 16
}

/// What is known of an expression before it is evaluated.
#[derive(Clone, Debug)]
struct Known {
    place: Place,
    /// None where it is wrong, and that was told.
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
    known: Known,
}

struct Checker {
    limits: Limits,
    nodes: Vec<Node>,
    names: Vec<Bound>,
    slots: usize,
    faults: Vec<Diagnostic>,
    /// The part that takes the most steps by itself.
    dearest: (u64, Span),
}

pub(crate) fn compile(
    expr: &Expr,
    want: Option<&Type>,
    limits: Limits,
) -> Result<Program, Vec<Diagnostic>> {
    let (nodes, names, faults) = Default::default();
    let mut checker = Checker {
        limits,
        nodes,
        names,
        slots: 0,
        faults,
        dearest: (0, expr.span),
    };
    let root = checker.check(expr);
    if let (Some(found), Some(want)) = (&root.ty, want)
        && found != want
        && Some(found) != inner(want)
    {
        checker.mismatch(expr.span, want, found);
    }
    if checker.faults.is_empty() && root.steps > limits.max_cost {
        let (steps, span) = checker.dearest;
        let what = format!(
            "this may take {} steps, and at most {} are allowed",
            root.steps, limits.max_cost
        );
        checker
            .faults
            .push(Diagnostic::new(span, what, format!("{steps} of them here")));
    }
    if checker.faults.is_empty() && root.built > MOST_BUILT {
        let what = format!(
            "this may build {} bytes of text, and at most {MOST_BUILT} are allowed",
            root.built
        );
        checker
            .faults
            .push(Diagnostic::new(expr.span, what, "all of it"));
    }
    checker.faults.sort_by_key(|fault| fault.span.from);
    match root.ty {
        Some(ty) if checker.faults.is_empty() => {
            let cost = Cost {
                steps: root.steps,
                bytes: root.built,
            };
            Ok(Program {
                nodes: checker.nodes,
                root: root.place,
                ty,
                cost,
                limits,
            })
        }
        _ => Err(checker.faults),
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
    fn node(&mut self, node: Node) -> Place {
        self.nodes.push(node);
        (self.nodes.len() - 1) as Place
    }

    fn fault(&mut self, span: Span, what: impl Into<String>, label: &str) -> Known {
        self.faults.push(Diagnostic::new(span, what, label));
        self.wrong()
    }

    fn wrong(&mut self) -> Known {
        let place = self.node(Node::Bool(false));
        Known {
            place,
            ty: None,
            steps: 0,
            built: 0,
            len: 0,
            items: Items::default(),
        }
    }

    fn mismatch(&mut self, span: Span, want: &Type, found: &Type) -> Known {
        let mut fault = Diagnostic::new(
            span,
            format!("{want} is wanted, this is {found}"),
            format!("{found}"),
        );
        if inner(found) == Some(want) {
            fault =
                fault.help("it may be absent: say what stands for it then, as in `it ?? other`");
        } else if *want == Type::Str && *found == Type::Bytes {
            fault = fault.help("`text(it)` is the text of bytes, absent where they are none");
        } else if *want == Type::Bytes && *found == Type::Str {
            fault = fault.help("`bytes(it)` are the bytes of a text");
        }
        self.faults.push(fault);
        self.wrong()
    }

    /// Puts a node together with what its parts cost; `own` is what it takes by itself.
    fn known(&mut self, span: Span, node: Node, ty: Type, own: u64, parts: &[&Known]) -> Known {
        let place = self.node(node);
        if own > self.dearest.0 {
            self.dearest = (own, span);
        }
        let sum = |of: &dyn Fn(&Known) -> u64| {
            parts
                .iter()
                .fold(0u64, |all, part| all.saturating_add(of(part)))
        };
        let (steps, built) = (
            sum(&|part| part.steps).saturating_add(own),
            sum(&|part| part.built),
        );
        Known {
            place,
            ty: Some(ty),
            steps,
            built,
            len: 0,
            items: Items::default(),
        }
    }

    /// Whether it is of this type; if not, that is told, unless it is wrong anyway.
    fn is(&mut self, known: &Known, span: Span, want: &Type) -> bool {
        match &known.ty {
            Some(found) if found == want => true,
            Some(found) => {
                let found = found.clone();
                self.mismatch(span, want, &found);
                false
            }
            None => false,
        }
    }

    fn check(&mut self, expr: &Expr) -> Known {
        let span = expr.span;
        match &expr.kind {
            Kind::Bool(truth) => self.known(span, Node::Bool(*truth), Type::Bool, 1, &[]),
            Kind::Int(n) => self.known(span, Node::Int(*n), Type::Int, 1, &[]),
            Kind::Float(n) => self.known(span, Node::Float(*n), Type::Float, 1, &[]),
            Kind::Duration(n) => self.known(span, Node::Duration(*n), Type::Duration, 1, &[]),
            Kind::Str(text) => self.constant(span, text.as_bytes(), Type::Str),
            Kind::Bytes(bytes) => self.constant(span, bytes, Type::Bytes),
            Kind::Name(name) => self.name(span, name),
            Kind::List(items) => self.list(span, items),
            Kind::Not(operand) => self.not(span, operand),
            Kind::Neg(operand) => self.negate(span, operand),
            Kind::All(parts) => self.junction(span, parts, Node::All),
            Kind::Any(parts) => self.junction(span, parts, Node::Any),
            Kind::Binary(op, left, right) => self.binary(span, *op, left, right),
            Kind::If(when, then, other) => self.choice(span, when, then, other),
            Kind::Let {
                name,
                at,
                value,
                body,
            } => self.binding(span, name, *at, value, body),
            Kind::Call { name, at, args } => self.call(span, name, *at, args),
            Kind::Each { at, .. } => self.fault(
                *at,
                "'->' can only stand in any, all and first",
                "no function of a list",
            ),
            Kind::Wrong => self.wrong(),
        }
    }

    fn constant(&mut self, span: Span, bytes: &[u8], ty: Type) -> Known {
        let known = self.known(span, Node::Text(bytes.into()), ty, 1, &[]);
        Known {
            len: bytes.len() as u64,
            ..known
        }
    }

    /// `let name = value; body`: the name is known in the body alone.
    fn binding(&mut self, span: Span, name: &str, at: Span, value: &Expr, body: &Expr) -> Known {
        let value = self.check(value);
        let Some(slot) = self.bind(name, at, value.clone()) else {
            return self.wrong();
        };
        let body = self.check(body);
        self.names.pop();
        let Some(ty) = body.ty.clone().filter(|_| value.ty.is_some()) else {
            return self.wrong();
        };
        let node = Node::Let {
            slot,
            value: value.place,
            body: body.place,
        };
        let known = self.known(span, node, ty, 1, &[&value, &body]);
        Known {
            len: body.len,
            items: body.items,
            ..known
        }
    }

    fn bind(&mut self, name: &str, at: Span, known: Known) -> Option<u8> {
        if self.slots >= MOST_NAMES {
            self.fault(
                at,
                format!("at most {MOST_NAMES} names can be bound"),
                "one too many",
            );
            return None;
        }
        // A slot is never used twice, so a list that is looked at later finds what was bound then.
        self.slots += 1;
        let slot = (self.slots - 1) as u8;
        self.names.push(Bound {
            name: name.to_string(),
            slot,
            known,
        });
        Some(slot)
    }

    fn name(&mut self, span: Span, name: &str) -> Known {
        if let Some(bound) = self.names.iter().rfind(|bound| bound.name == name) {
            let (slot, of) = (bound.slot, bound.known.clone());
            let Some(ty) = of.ty.clone() else {
                return self.wrong();
            };
            let known = self.known(span, Node::Slot(slot), ty, 1, &[]);
            return Known {
                len: of.len,
                items: of.items,
                ..known
            };
        }
        if let Some((field, ty)) = field(name) {
            let known = self.known(span, Node::Field(field), ty, 1, &[]);
            let variable = self.limits.variable;
            return match field {
                Field::Method | Field::Front => Known { len: 64, ..known },
                Field::Path | Field::Query => Known {
                    len: variable,
                    ..known
                },
                Field::Body => Known {
                    len: self.limits.body,
                    ..known
                },
                Field::Segments => {
                    let most = self.limits.segments;
                    let items = Items {
                        steps: most + through(variable),
                        built: 0,
                        len: variable,
                    };
                    Known {
                        len: most,
                        items,
                        ..known
                    }
                }
                _ => known,
            };
        }
        let mut fault = Diagnostic::new(span, format!("there is no value '{name}'"), "not known");
        let bound: Vec<String> = self.names.iter().map(|bound| bound.name.clone()).collect();
        if let Some(usage) = usage(name) {
            fault = fault.help(format!("it is a function: `{usage}`"));
        } else if let Some(near) = nearest(
            name,
            FIELDS.into_iter().chain(bound.iter().map(String::as_str)),
        ) {
            fault = fault.help(format!("perhaps '{near}' is meant"));
        }
        self.faults.push(fault);
        self.wrong()
    }

    fn list(&mut self, span: Span, items: &[Expr]) -> Known {
        if items.len() > MOST_ITEMS {
            return self.fault(
                span,
                format!("a list has at most {MOST_ITEMS} items"),
                "too long",
            );
        }
        let known: Vec<Known> = items.iter().map(|item| self.check(item)).collect();
        let Some(first) = known.first() else {
            return self.fault(
                span,
                "a list has at least one item, so that it has a type",
                "empty",
            );
        };
        let Some(ty) = first.ty.clone() else {
            return self.wrong();
        };
        let mut good = true;
        for (item, known) in items.iter().zip(&known).skip(1) {
            good &= self.is(known, item.span, &ty);
        }
        if !good {
            return self.wrong();
        }
        let sum = |of: &dyn Fn(&Known) -> u64| {
            known
                .iter()
                .fold(0u64, |all, item| all.saturating_add(of(item)))
        };
        let items = Items {
            steps: sum(&|item| item.steps).saturating_add(known.len() as u64),
            built: sum(&|item| item.built),
            len: known.iter().map(|item| item.len).max().unwrap_or(0),
        };
        let places = known.iter().map(|item| item.place).collect();
        let list = self.known(span, Node::List(places), ty.list(), 1, &[]);
        Known {
            len: known.len() as u64,
            items,
            ..list
        }
    }
}
