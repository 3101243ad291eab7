//! Checks names: `let` bindings and request fields.

use super::{Binding, Checked, Checker, Items};
use crate::ast::{Expr, Span};
use crate::cost::scan_steps;
use crate::diagnostic::{Diagnostic, nearest};
use crate::functions::{FIELDS, field, usage};
use crate::limits::MAX_NAMES;
use crate::program::{Field, Node};

impl Checker {
    /// Checks `let name = value; body`. The name is in scope only in the body.
    pub(super) fn let_binding(
        &mut self,
        span: Span,
        name: &str,
        at: Span,
        value: &Expr,
        body: &Expr,
    ) -> Checked {
        let value = self.check(value);
        let Some(slot) = self.bind(name, at, value.clone()) else {
            return self.invalid();
        };
        let body = self.check(body);
        self.bindings.pop();
        let Some(ty) = body.ty.clone().filter(|_| value.ty.is_some()) else {
            return self.invalid();
        };
        let node = Node::Let {
            slot,
            value: value.node,
            body: body.node,
        };
        let checked = self.add_node(span, node, ty, 1, &[&value, &body]);
        Checked {
            len: body.len,
            items: body.items,
            ..checked
        }
    }

    pub(super) fn bind(&mut self, name: &str, at: Span, checked: Checked) -> Option<u8> {
        if self.slot_count >= MAX_NAMES {
            self.error(
                at,
                format!("at most {MAX_NAMES} names can be bound"),
                "one too many",
            );
            return None;
        }
        // Slots are never reused: list items are evaluated lazily and must still find the values bound earlier.
        self.slot_count += 1;
        let slot = (self.slot_count - 1) as u8;
        self.bindings.push(Binding {
            name: name.to_string(),
            slot,
            checked,
        });
        Some(slot)
    }

    pub(super) fn name(&mut self, span: Span, name: &str) -> Checked {
        if let Some(bound) = self.bindings.iter().rfind(|bound| bound.name == name) {
            let (slot, of) = (bound.slot, bound.checked.clone());
            let Some(ty) = of.ty.clone() else {
                return self.invalid();
            };
            let checked = self.add_node(span, Node::Slot(slot), ty, 1, &[]);
            return Checked {
                len: of.len,
                items: of.items,
                ..checked
            };
        }
        if let Some((field, ty)) = field(name) {
            let checked = self.add_node(span, Node::Field(field), ty, 1, &[]);
            let variable = self.limits.variable;
            return match field {
                Field::Method | Field::Front => Checked { len: 64, ..checked },
                Field::Path | Field::Query => Checked {
                    len: variable,
                    ..checked
                },
                Field::Body => Checked {
                    len: self.limits.body,
                    ..checked
                },
                Field::Segments => {
                    let most = self.limits.segments;
                    let items = Items {
                        steps: most + scan_steps(variable),
                        built: 0,
                        len: variable,
                    };
                    Checked {
                        len: most,
                        items,
                        ..checked
                    }
                }
                _ => checked,
            };
        }
        let mut error = Diagnostic::new(span, format!("there is no value '{name}'"), "not known");
        let bound: Vec<String> = self
            .bindings
            .iter()
            .map(|bound| bound.name.clone())
            .collect();
        if let Some(usage) = usage(name) {
            error = error.help(format!("it is a function: `{usage}`"));
        } else if let Some(near) = nearest(
            name,
            FIELDS.into_iter().chain(bound.iter().map(String::as_str)),
        ) {
            error = error.help(format!("perhaps '{near}' is meant"));
        }
        self.errors.push(error);
        self.invalid()
    }
}
