//! Operators and choices, checked and bounded.

use rustc_hash::FxHashSet;

use super::{Checker, Items, Known, through};
use crate::ast::{Expr, Op, Span};
use crate::diagnostic::Diagnostic;
use crate::program::{Node, Place};
use crate::{MOST_STRING, Type};

/// One side of an operator: where it stands, what is known of it, and its type.
struct Operand<'e> {
    span: Span,
    known: &'e Known,
    ty: Type,
}

impl<'e> Operand<'e> {
    fn new(expr: &Expr, known: &'e Known, ty: Type) -> Operand<'e> {
        Operand {
            span: expr.span,
            known,
            ty,
        }
    }
}

impl Checker {
    pub(super) fn choice(&mut self, span: Span, when: &Expr, then: &Expr, other: &Expr) -> Known {
        let (asked, one, two) = (self.check(when), self.check(then), self.check(other));
        let good = self.is(&asked, when.span, &Type::Bool);
        let (Some(first), Some(second)) = (one.ty.clone(), two.ty.clone()) else {
            return self.wrong();
        };
        let ty = match (&first, &second) {
            _ if first == second => first,
            // One way may be absent.
            (Type::Optional(of), other) if **of == *other => first,
            (other, Type::Optional(of)) if **of == *other => second,
            _ => return self.mismatch(other.span, &first, &second),
        };
        if !good {
            return self.wrong();
        }
        let node = Node::If {
            when: asked.place,
            then: one.place,
            other: two.place,
        };
        let known = self.known(span, node, ty, 1, &[&asked]);
        let items = Items {
            steps: one.items.steps.max(two.items.steps),
            built: one.items.built.max(two.items.built),
            len: one.items.len.max(two.items.len),
        };
        Known {
            steps: known.steps.saturating_add(one.steps.max(two.steps)),
            built: known.built.saturating_add(one.built.max(two.built)),
            len: one.len.max(two.len),
            items,
            ..known
        }
    }

    pub(super) fn not(&mut self, span: Span, operand: &Expr) -> Known {
        let known = self.check(operand);
        if !self.is(&known, operand.span, &Type::Bool) {
            return self.wrong();
        }
        self.known(span, Node::Not(known.place), Type::Bool, 1, &[&known])
    }

    pub(super) fn negate(&mut self, span: Span, operand: &Expr) -> Known {
        let known = self.check(operand);
        let ty = match known.ty.clone() {
            Some(ty @ (Type::Int | Type::Float | Type::Duration)) => ty,
            Some(ty) => {
                let what = format!("a number or a duration is wanted, this is {ty}");
                return self.fault(operand.span, what, "no number");
            }
            None => return self.wrong(),
        };
        // A negated constant is a constant itself.
        let node = match self.nodes[known.place as usize] {
            Node::Int(n) => Node::Int(n.saturating_neg()),
            Node::Float(n) => Node::Float(-n),
            Node::Duration(n) => Node::Duration(n.saturating_neg()),
            _ => Node::Neg(known.place),
        };
        self.known(span, node, ty, 1, &[&known])
    }

    /// A conjunction or disjunction of bools; `node` makes the one or the other of its parts.
    pub(super) fn junction(
        &mut self,
        span: Span,
        parts: &[Expr],
        node: fn(Box<[Place]>) -> Node,
    ) -> Known {
        let known: Vec<Known> = parts.iter().map(|part| self.check(part)).collect();
        let mut good = true;
        for (part, known) in parts.iter().zip(&known) {
            good &= self.is(known, part.span, &Type::Bool);
        }
        if !good {
            return self.wrong();
        }
        let places = known.iter().map(|known| known.place).collect();
        self.known(
            span,
            node(places),
            Type::Bool,
            1,
            &known.iter().collect::<Vec<_>>(),
        )
    }

    pub(super) fn binary(&mut self, span: Span, op: Op, left: &Expr, right: &Expr) -> Known {
        let (one, two) = (self.check(left), self.check(right));
        let (Some(first), Some(second)) = (one.ty.clone(), two.ty.clone()) else {
            return self.wrong();
        };
        let (left, right) = (
            Operand::new(left, &one, first),
            Operand::new(right, &two, second),
        );
        match op {
            Op::Else => self.otherwise(span, &left, &right),
            Op::In => self.within(span, &left, &right),
            Op::Eq | Op::Ne | Op::Lt | Op::Le | Op::Gt | Op::Ge => {
                self.comparison(span, op, &left, &right)
            }
            Op::Add if matches!(left.ty, Type::Str | Type::Bytes) => self.join(span, &left, &right),
            _ => self.arithmetic(span, op, &left, &right),
        }
    }

    /// `left ?? right`: what stands for an optional value where it is absent.
    fn otherwise(&mut self, span: Span, left: &Operand, right: &Operand) -> Known {
        let Type::Optional(inner) = &left.ty else {
            let what = format!("this is {}, and never absent", left.ty);
            return self.fault(left.span, what, "always there");
        };
        let ty = match &right.ty {
            second if **inner == *second => (**inner).clone(),
            Type::Optional(second) if inner == second => right.ty.clone(),
            _ => return self.mismatch(right.span, inner, &right.ty),
        };
        let node = Node::Else {
            left: left.known.place,
            right: right.known.place,
        };
        let known = self.known(span, node, ty, 1, &[left.known, right.known]);
        Known {
            len: left.known.len.max(right.known.len),
            ..known
        }
    }

    fn comparison(&mut self, span: Span, op: Op, left: &Operand, right: &Operand) -> Known {
        let ty = &left.ty;
        if *ty != right.ty {
            return self.mismatch(right.span, ty, &right.ty);
        }
        let is_equality = matches!(op, Op::Eq | Op::Ne);
        let comparable = if is_equality {
            ty.has_equality()
        } else {
            ty.has_order()
        };
        if !comparable {
            let what = format!("'{}' does not compare {ty}", op.sign());
            let mut fault = Diagnostic::new(span, what, "not comparable");
            if matches!(ty, Type::Optional(_)) {
                fault = fault.help("say what stands for it where it is absent: `it ?? other`");
            }
            self.faults.push(fault);
            return self.wrong();
        }
        let own = 1 + through(left.known.len.min(right.known.len));
        let node = Node::Compare {
            op,
            left: left.known.place,
            right: right.known.place,
        };
        self.known(span, node, Type::Bool, own, &[left.known, right.known])
    }

    /// Two texts, or the bytes of two, one behind the other.
    fn join(&mut self, span: Span, left: &Operand, right: &Operand) -> Known {
        if left.ty != right.ty {
            return self.mismatch(right.span, &left.ty, &right.ty);
        }
        let len = left.known.len.saturating_add(right.known.len);
        if len > MOST_STRING {
            let what =
                format!("this may be {len} bytes long, and at most {MOST_STRING} are allowed");
            return self.fault(span, what, "too long");
        }
        let node = Node::Join {
            left: left.known.place,
            right: right.known.place,
        };
        let own = 1 + through(len);
        let known = self.known(span, node, left.ty.clone(), own, &[left.known, right.known]);
        Known {
            len,
            built: known.built.saturating_add(len),
            ..known
        }
    }

    fn arithmetic(&mut self, span: Span, op: Op, left: &Operand, right: &Operand) -> Known {
        let ty = match (op, &left.ty, &right.ty) {
            (_, Type::Int, Type::Int) => Type::Int,
            (Op::Add | Op::Sub | Op::Mul | Op::Div, Type::Float, Type::Float) => Type::Float,
            (Op::Add | Op::Sub | Op::Rem, Type::Duration, Type::Duration) => Type::Duration,
            (Op::Mul | Op::Div, Type::Duration, Type::Int) => Type::Duration,
            (_, Type::Int | Type::Float | Type::Duration, _) => {
                return self.mismatch(right.span, &left.ty, &right.ty);
            }
            _ => {
                let what = format!(
                    "'{}' is for numbers and durations, this is {}",
                    op.sign(),
                    left.ty
                );
                return self.fault(left.span, what, "no number");
            }
        };
        let (a, b) = (left.known.place, right.known.place);
        let parts = [left.known, right.known];
        if !matches!(op, Op::Div | Op::Rem) {
            return self.known(
                span,
                Node::Arith {
                    op,
                    left: a,
                    right: b,
                },
                ty,
                1,
                &parts,
            );
        }
        let sure = match self.nodes[b as usize] {
            Node::Int(n) | Node::Duration(n) => n != 0,
            Node::Float(n) => n != 0.0,
            _ => false,
        };
        let ty = if sure { ty } else { ty.optional() };
        self.known(
            span,
            Node::Divide {
                op,
                left: a,
                right: b,
            },
            ty,
            1,
            &parts,
        )
    }

    fn within(&mut self, span: Span, left: &Operand, right: &Operand) -> Known {
        let Type::List(item) = &right.ty else {
            let what = format!("a list is wanted behind 'in', this is {}", right.ty);
            return self.fault(right.span, what, "no list");
        };
        if left.ty != **item {
            return self.mismatch(left.span, item, &left.ty);
        }
        if !left.ty.has_equality() {
            return self.fault(
                span,
                format!("'in' does not compare {}", left.ty),
                "not comparable",
            );
        }
        let (one, two) = (left.known, right.known);
        // A list that is known beforehand is looked up and not gone through.
        if let Node::List(items) = &self.nodes[two.place as usize] {
            let texts = items.iter().map(|item| match &self.nodes[*item as usize] {
                Node::Text(bytes) => Some(bytes.clone()),
                _ => None,
            });
            if let Some(set) = texts.collect::<Option<FxHashSet<Box<[u8]>>>>() {
                let own = 2 + through(one.len);
                return self.known(
                    span,
                    Node::InTexts { of: one.place, set },
                    Type::Bool,
                    own,
                    &[one],
                );
            }
            let numbers = items.iter().map(|item| match &self.nodes[*item as usize] {
                Node::Int(n) => Some(*n),
                _ => None,
            });
            if let Some(set) = numbers.collect::<Option<FxHashSet<i64>>>() {
                return self.known(
                    span,
                    Node::InInts { of: one.place, set },
                    Type::Bool,
                    2,
                    &[one],
                );
            }
        }
        let compare = two
            .len
            .saturating_mul(1 + through(one.len.min(two.items.len)));
        let own = compare.saturating_add(two.items.steps).saturating_add(1);
        let known = self.known(
            span,
            Node::InList {
                of: one.place,
                list: two.place,
            },
            Type::Bool,
            own,
            &[one, two],
        );
        Known {
            built: known.built.saturating_add(two.items.built),
            ..known
        }
    }
}
