//! Checks functions that iterate over a list, and `split`, which produces one.

use super::{Checked, Checker, Items, MAX_SPLIT_ITEMS};
use crate::ast::{Expr, Kind, Span};
use crate::cost::scan_steps;
use crate::diagnostic::Diagnostic;
use crate::program::{Loop, Node};
use crate::types::Type;

impl Checker {
    /// Checks `any`, `all` and `first`, which apply a predicate to each item of a list.
    pub(super) fn quantifier(
        &mut self,
        span: Span,
        name: &str,
        list: &Expr,
        predicate: &Expr,
    ) -> Checked {
        let checked_list = self.check(list);
        let Some(Type::List(item)) = checked_list.ty.clone() else {
            if let Some(ty) = checked_list.ty {
                self.error(
                    list.span,
                    format!("a list is wanted, this is {ty}"),
                    "no list",
                );
            }
            return self.invalid();
        };
        let Some((slot, body)) = self.predicate(name, predicate, &item, checked_list.items.len)
        else {
            return self.invalid();
        };
        let (kind, ty) = match name {
            "any" => (Loop::Any, Type::Bool),
            "all" => (Loop::All, Type::Bool),
            _ => (Loop::First, item.optional()),
        };
        let own_steps = checked_list
            .len
            .saturating_mul(body.steps.saturating_add(1))
            .saturating_add(checked_list.items.steps)
            .saturating_add(1);
        let own_built = checked_list
            .len
            .saturating_mul(body.built)
            .saturating_add(checked_list.items.built);
        let node = Node::Each {
            kind,
            list: checked_list.node,
            slot,
            body: body.node,
        };
        let checked = self.add_node(span, node, ty, own_steps, &[&checked_list]);
        Checked {
            built: checked.built.saturating_add(own_built),
            len: checked_list.items.len,
            ..checked
        }
    }

    /// Checks `item -> body`. Returns the slot that each item is bound to and the checked body of type bool, or
    /// `None` after reporting an error.
    fn predicate(
        &mut self,
        function: &str,
        predicate: &Expr,
        item: &Type,
        item_len: u64,
    ) -> Option<(u8, Checked)> {
        let Kind::Each { name, at, body } = &predicate.kind else {
            let error = Diagnostic::new(
                predicate.span,
                "what is asked of each item is wanted here",
                "no '->'",
            );
            let help = format!("as in `{function}(list, item -> item == \"x\")`");
            self.errors.push(error.help(help));
            return None;
        };
        let item = Checked {
            node: self.push_node(Node::Bool(false)),
            ty: Some(item.clone()),
            steps: 1,
            built: 0,
            len: item_len,
            items: Items::default(),
        };
        let slot = self.bind(name, *at, item)?;
        let checked_body = self.check(body);
        self.bindings.pop();
        self.expect(&checked_body, body.span, &Type::Bool)
            .then_some((slot, checked_body))
    }

    pub(super) fn split(&mut self, span: Span, args: &[Expr]) -> Checked {
        let of = self.check(&args[0]);
        let well_typed = self.expect(&of, args[0].span, &Type::Str);
        let Some(by) = self.literal(&args[1], "a separator") else {
            return self.invalid();
        };
        if by.is_empty() {
            return self.error(args[1].span, "a separator has at least one sign", "empty");
        }
        let most = match args[2].kind {
            Kind::Int(n) if (1..=MAX_SPLIT_ITEMS).contains(&n) => n as u32,
            _ => {
                let what = format!(
                    "how many parts there are at the most, from 1 to {MAX_SPLIT_ITEMS}, has to stand here"
                );
                return self.error(args[2].span, what, "not a bound");
            }
        };
        if !well_typed {
            return self.invalid();
        }
        let node = Node::Split {
            of: of.node,
            by: by.as_bytes().into(),
            most,
        };
        let checked = self.add_node(span, node, Type::Str.list(), 1, &[&of]);
        let items = Items {
            steps: u64::from(most) + scan_steps(of.len),
            built: 0,
            len: of.len,
        };
        Checked {
            len: most.into(),
            items,
            ..checked
        }
    }
}
