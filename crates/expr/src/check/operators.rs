//! Checks operators and conditionals and bounds their cost.

use rustc_hash::FxHashSet;

use super::{Checked, Checker, Items};
use crate::ast::{Expr, Op, Span};
use crate::cost::scan_steps;
use crate::diagnostic::Diagnostic;
use crate::limits::MAX_STRING;
use crate::program::{Node, NodeIndex};
use crate::types::Type;

/// One operand of an infix operator.
struct Operand<'e> {
    span: Span,
    checked: &'e Checked,
    ty: Type,
}

impl<'e> Operand<'e> {
    fn new(expr: &Expr, checked: &'e Checked, ty: Type) -> Operand<'e> {
        Operand {
            span: expr.span,
            checked,
            ty,
        }
    }
}

impl Checker {
    pub(super) fn conditional(
        &mut self,
        span: Span,
        when: &Expr,
        then: &Expr,
        other: &Expr,
    ) -> Checked {
        let (condition, one, two) = (self.check(when), self.check(then), self.check(other));
        let well_typed = self.expect(&condition, when.span, &Type::Bool);
        let (Some(first), Some(second)) = (one.ty.clone(), two.ty.clone()) else {
            return self.invalid();
        };
        let ty = match (&first, &second) {
            _ if first == second => first,
            // One branch may be optional.
            (Type::Optional(of), other) if **of == *other => first,
            (other, Type::Optional(of)) if **of == *other => second,
            _ => return self.mismatch(other.span, &first, &second),
        };
        if !well_typed {
            return self.invalid();
        }
        let node = Node::If {
            when: condition.node,
            then: one.node,
            other: two.node,
        };
        let checked = self.add_node(span, node, ty, 1, &[&condition]);
        let items = Items {
            steps: one.items.steps.max(two.items.steps),
            built: one.items.built.max(two.items.built),
            len: one.items.len.max(two.items.len),
        };
        Checked {
            steps: checked.steps.saturating_add(one.steps.max(two.steps)),
            built: checked.built.saturating_add(one.built.max(two.built)),
            len: one.len.max(two.len),
            items,
            ..checked
        }
    }

    pub(super) fn not(&mut self, span: Span, operand: &Expr) -> Checked {
        let checked = self.check(operand);
        if !self.expect(&checked, operand.span, &Type::Bool) {
            return self.invalid();
        }
        self.add_node(span, Node::Not(checked.node), Type::Bool, 1, &[&checked])
    }

    pub(super) fn negate(&mut self, span: Span, operand: &Expr) -> Checked {
        let checked = self.check(operand);
        let ty = match checked.ty.clone() {
            Some(ty @ (Type::Int | Type::Float | Type::Duration)) => ty,
            Some(ty) => {
                let what = format!("a number or a duration is wanted, this is {ty}");
                return self.error(operand.span, what, "no number");
            }
            None => return self.invalid(),
        };
        // Folds the negation of a constant.
        let node = match self.nodes[checked.node as usize] {
            Node::Int(n) => Node::Int(n.saturating_neg()),
            Node::Float(n) => Node::Float(-n),
            Node::Duration(n) => Node::Duration(n.saturating_neg()),
            _ => Node::Neg(checked.node),
        };
        self.add_node(span, node, ty, 1, &[&checked])
    }

    /// Checks `&&` or `||`; `node` builds the node from the operands.
    pub(super) fn logical(
        &mut self,
        span: Span,
        parts: &[Expr],
        node: fn(Box<[NodeIndex]>) -> Node,
    ) -> Checked {
        let checked: Vec<Checked> = parts.iter().map(|part| self.check(part)).collect();
        let mut well_typed = true;
        for (part, checked) in parts.iter().zip(&checked) {
            well_typed &= self.expect(checked, part.span, &Type::Bool);
        }
        if !well_typed {
            return self.invalid();
        }
        let nodes = checked.iter().map(|checked| checked.node).collect();
        self.add_node(
            span,
            node(nodes),
            Type::Bool,
            1,
            &checked.iter().collect::<Vec<_>>(),
        )
    }

    pub(super) fn binary(&mut self, span: Span, op: Op, left: &Expr, right: &Expr) -> Checked {
        let (one, two) = (self.check(left), self.check(right));
        let (Some(first), Some(second)) = (one.ty.clone(), two.ty.clone()) else {
            return self.invalid();
        };
        let (left, right) = (
            Operand::new(left, &one, first),
            Operand::new(right, &two, second),
        );
        match op {
            Op::Else => self.coalesce(span, &left, &right),
            Op::In => self.contained(span, &left, &right),
            Op::Eq | Op::Ne | Op::Lt | Op::Le | Op::Gt | Op::Ge => {
                self.comparison(span, op, &left, &right)
            }
            Op::Add if matches!(left.ty, Type::Str | Type::Bytes) => self.join(span, &left, &right),
            _ => self.arithmetic(span, op, &left, &right),
        }
    }

    /// Checks `left ?? right`, which is `right` if the optional `left` is absent.
    fn coalesce(&mut self, span: Span, left: &Operand, right: &Operand) -> Checked {
        let Type::Optional(inner) = &left.ty else {
            let what = format!("this is {}, and never absent", left.ty);
            return self.error(left.span, what, "always there");
        };
        let ty = match &right.ty {
            second if **inner == *second => (**inner).clone(),
            Type::Optional(second) if inner == second => right.ty.clone(),
            _ => return self.mismatch(right.span, inner, &right.ty),
        };
        let node = Node::Else {
            left: left.checked.node,
            right: right.checked.node,
        };
        let checked = self.add_node(span, node, ty, 1, &[left.checked, right.checked]);
        Checked {
            len: left.checked.len.max(right.checked.len),
            ..checked
        }
    }

    fn comparison(&mut self, span: Span, op: Op, left: &Operand, right: &Operand) -> Checked {
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
            let mut error = Diagnostic::new(span, what, "not comparable");
            if matches!(ty, Type::Optional(_)) {
                error = error.help("say what stands for it where it is absent: `it ?? other`");
            }
            self.errors.push(error);
            return self.invalid();
        }
        let own_steps = 1 + scan_steps(left.checked.len.min(right.checked.len));
        let node = Node::Compare {
            op,
            left: left.checked.node,
            right: right.checked.node,
        };
        self.add_node(
            span,
            node,
            Type::Bool,
            own_steps,
            &[left.checked, right.checked],
        )
    }

    /// Checks the concatenation of two strings or two byte strings.
    fn join(&mut self, span: Span, left: &Operand, right: &Operand) -> Checked {
        if left.ty != right.ty {
            return self.mismatch(right.span, &left.ty, &right.ty);
        }
        let len = left.checked.len.saturating_add(right.checked.len);
        if len > MAX_STRING {
            let what =
                format!("this may be {len} bytes long, and at most {MAX_STRING} are allowed");
            return self.error(span, what, "too long");
        }
        let node = Node::Join {
            left: left.checked.node,
            right: right.checked.node,
        };
        let own_steps = 1 + scan_steps(len);
        let checked = self.add_node(
            span,
            node,
            left.ty.clone(),
            own_steps,
            &[left.checked, right.checked],
        );
        Checked {
            len,
            built: checked.built.saturating_add(len),
            ..checked
        }
    }

    fn arithmetic(&mut self, span: Span, op: Op, left: &Operand, right: &Operand) -> Checked {
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
                return self.error(left.span, what, "no number");
            }
        };
        let (a, b) = (left.checked.node, right.checked.node);
        let parts = [left.checked, right.checked];
        if !matches!(op, Op::Div | Op::Rem) {
            return self.add_node(
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
        let divisor_is_nonzero = match self.nodes[b as usize] {
            Node::Int(n) | Node::Duration(n) => n != 0,
            Node::Float(n) => n != 0.0,
            _ => false,
        };
        let ty = if divisor_is_nonzero {
            ty
        } else {
            ty.optional()
        };
        self.add_node(
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

    /// Checks `left in right`.
    fn contained(&mut self, span: Span, left: &Operand, right: &Operand) -> Checked {
        let Type::List(item) = &right.ty else {
            let what = format!("a list is wanted behind 'in', this is {}", right.ty);
            return self.error(right.span, what, "no list");
        };
        if left.ty != **item {
            return self.mismatch(left.span, item, &left.ty);
        }
        if !left.ty.has_equality() {
            let what = format!("'in' does not compare {}", left.ty);
            return self.error(span, what, "not comparable");
        }
        match self.constant_set(left.checked.node, right.checked.node) {
            Some(node @ Node::InTexts { .. }) => {
                let own_steps = 2 + scan_steps(left.checked.len);
                self.add_node(span, node, Type::Bool, own_steps, &[left.checked])
            }
            Some(node) => self.add_node(span, node, Type::Bool, 2, &[left.checked]),
            None => self.contained_in_list(span, left.checked, right.checked),
        }
    }

    /// Compiles a list of constants to a hash set, so that `in` is a lookup instead of a scan. Returns `None` for
    /// other lists.
    fn constant_set(&self, of: NodeIndex, list: NodeIndex) -> Option<Node> {
        let Node::List(items) = &self.nodes[list as usize] else {
            return None;
        };
        let items = || items.iter().map(|item| &self.nodes[*item as usize]);
        let texts = items().map(|item| match item {
            Node::Text(bytes) => Some(bytes.clone()),
            _ => None,
        });
        if let Some(set) = texts.collect::<Option<FxHashSet<Box<[u8]>>>>() {
            return Some(Node::InTexts { of, set });
        }
        let numbers = items().map(|item| match item {
            Node::Int(n) => Some(*n),
            _ => None,
        });
        let set = numbers.collect::<Option<FxHashSet<i64>>>()?;
        Some(Node::InInts { of, set })
    }

    fn contained_in_list(&mut self, span: Span, value: &Checked, list: &Checked) -> Checked {
        let comparisons = list
            .len
            .saturating_mul(1 + scan_steps(value.len.min(list.items.len)));
        let own_steps = comparisons
            .saturating_add(list.items.steps)
            .saturating_add(1);
        let node = Node::InList {
            of: value.node,
            list: list.node,
        };
        let checked = self.add_node(span, node, Type::Bool, own_steps, &[value, list]);
        Checked {
            built: checked.built.saturating_add(list.items.built),
            ..checked
        }
    }
}
