//! Evaluation of functions and comparisons, and the strings that they slice and build.

use std::cmp::Ordering;

use super::{Eval, find, hash, subtext, utf8};
use crate::ast::Op;
use crate::cost::scan_steps;
use crate::program::{Field, Function, NodeIndex};
use crate::request::Request;
use crate::value::{List, Text, Value};

impl<'v, R: Request> Eval<'v, '_, R> {
    pub(super) fn join(&mut self, left: Text<'v>, right: Text<'v>) -> Text<'v> {
        let add = |built: &mut Vec<u8>, text: Text| match text {
            Text::Ref(bytes) => built.extend_from_slice(bytes),
            Text::Built { from, len } => {
                built.extend_from_within(from as usize..(from + len) as usize)
            }
        };
        self.scratch.build(|built| {
            add(built, left);
            add(built, right);
        })
    }

    pub(super) fn change_case(
        &mut self,
        value: Value<'v>,
        needs_change: fn(&u8) -> bool,
        apply: fn(&mut [u8]),
    ) -> Value<'v> {
        let Value::Text(text) = value else {
            return value;
        };
        if !self.scratch.text(text).iter().any(needs_change) {
            return value;
        }
        let built = self.join(text, Text::Ref(b""));
        if let Text::Built { from, len } = built {
            apply(&mut self.scratch.built[from as usize..(from + len) as usize]);
        }
        Value::Text(built)
    }

    /// Returns up to `count` characters starting at character `from`.
    pub(super) fn substring(&self, value: Value<'v>, from: i64, count: i64) -> Value<'v> {
        let Value::Text(text) = value else {
            return value;
        };
        let whole = utf8(self.scratch.text(text));
        let (from, count) = (from.max(0) as usize, count.max(0) as usize);
        let at = |nth: usize| {
            whole
                .char_indices()
                .nth(nth)
                .map_or(whole.len(), |(at, _)| at)
        };
        Value::Text(subtext(text, at(from), at(from.saturating_add(count))))
    }

    pub(super) fn order(&self, left: Value<'v>, right: Value<'v>) -> Option<Ordering> {
        match (left, right) {
            (Value::Int(a), Value::Int(b)) | (Value::Duration(a), Value::Duration(b)) => {
                Some(a.cmp(&b))
            }
            (Value::Float(a), Value::Float(b)) => a.partial_cmp(&b),
            (Value::Bool(a), Value::Bool(b)) => Some(a.cmp(&b)),
            (Value::Addr(a), Value::Addr(b)) => Some(a.cmp(&b)),
            (Value::Text(a), Value::Text(b)) => {
                Some(self.scratch.text(a).cmp(self.scratch.text(b)))
            }
            _ => None,
        }
    }

    pub(super) fn compare(&mut self, op: Op, left: NodeIndex, right: NodeIndex) -> Value<'v> {
        let (left, right) = (self.eval(left), self.eval(right));
        self.step(1 + scan_steps(self.len(left).min(self.len(right))));
        let order = self.order(left, right);
        Value::Bool(match op {
            Op::Eq => order == Some(Ordering::Equal),
            Op::Ne => order != Some(Ordering::Equal),
            Op::Lt => order == Some(Ordering::Less),
            Op::Le => matches!(order, Some(Ordering::Less | Ordering::Equal)),
            Op::Gt => order == Some(Ordering::Greater),
            _ => matches!(order, Some(Ordering::Greater | Ordering::Equal)),
        })
    }

    pub(super) fn call(
        &mut self,
        fun: Function,
        of: NodeIndex,
        with: Option<NodeIndex>,
    ) -> Value<'v> {
        let value = self.eval(of);
        let other = with.map_or(Value::Absent, |with| self.eval(with));
        let len = self.len(value);
        self.step(own_steps(fun, len, self.len(other)));
        match fun {
            Function::Lower => {
                self.change_case(value, u8::is_ascii_uppercase, <[u8]>::make_ascii_lowercase)
            }
            Function::Upper => {
                self.change_case(value, u8::is_ascii_lowercase, <[u8]>::make_ascii_uppercase)
            }
            Function::Trim => self.trim(value),
            Function::Length => Value::Int(len as i64),
            Function::Count => self.count(value),
            Function::Hash => Value::Int(hash(self.bytes(value))),
            Function::Hex => self.hex(value),
            Function::ParseInt => utf8(self.bytes(value))
                .parse()
                .map_or(Value::Absent, Value::Int),
            Function::ParseFloat => match utf8(self.bytes(value)).parse::<f64>() {
                Ok(number) if number.is_finite() => Value::Float(number),
                _ => Value::Absent,
            },
            Function::FloatToInt | Function::IntToFloat => convert(value),
            Function::BytesToText if std::str::from_utf8(self.bytes(value)).is_ok() => value,
            Function::BytesToText => Value::Absent,
            Function::Present => Value::Bool(value != Value::Absent),
            Function::Segment => {
                let Value::Int(place) = value else {
                    return value;
                };
                let segments = self.field(Field::Segments);
                self.get(segments, place)
            }
            Function::StartsWith => Value::Bool(self.bytes(value).starts_with(self.bytes(other))),
            Function::EndsWith => Value::Bool(self.bytes(value).ends_with(self.bytes(other))),
            Function::Contains => Value::Bool(find(self.bytes(value), self.bytes(other)).is_some()),
            Function::Get => match other {
                Value::Int(place) => self.get(value, place),
                _ => Value::Absent,
            },
            Function::Min if self.order(other, value) == Some(Ordering::Less) => other,
            Function::Max if self.order(other, value) == Some(Ordering::Greater) => other,
            Function::Min | Function::Max => value,
        }
    }

    fn trim(&self, value: Value<'v>) -> Value<'v> {
        let Value::Text(text) = value else {
            return value;
        };
        let whole = utf8(self.scratch.text(text));
        let from = whole.len() - whole.trim_start().len();
        Value::Text(subtext(text, from, (from + whole.trim().len()).max(from)))
    }

    /// Formats an int as 16 hex digits.
    fn hex(&mut self, value: Value<'v>) -> Value<'v> {
        let Value::Int(n) = value else { return value };
        Value::Text(self.scratch.build(|built| {
            let digit = |place: u32| b"0123456789abcdef"[(n as u64 >> (4 * place) & 15) as usize];
            built.extend((0..16).rev().map(digit));
        }))
    }

    pub(super) fn count(&mut self, list: Value<'v>) -> Value<'v> {
        let Value::List(list) = list else {
            return Value::Int(0);
        };
        if let List::Items(items) = list {
            return Value::Int(items.len() as i64);
        }
        let mut count = 0;
        self.items(list, &mut |_, _| {
            count += 1;
            true
        });
        Value::Int(count)
    }
}

/// Steps of a function itself for arguments of these lengths in bytes, counted in the same way as the checker
/// bounds them.
fn own_steps(fun: Function, len: u64, other_len: u64) -> u64 {
    match fun {
        Function::Lower
        | Function::Upper
        | Function::Trim
        | Function::ParseInt
        | Function::ParseFloat
        | Function::BytesToText => 1 + scan_steps(len),
        Function::Hash => 1 + len,
        Function::Hex => 2,
        Function::StartsWith | Function::EndsWith => 1 + scan_steps(len.min(other_len)),
        Function::Contains => (1 + scan_steps(len)).saturating_mul(1 + scan_steps(other_len)),
        _ => 1,
    }
}

/// Converts a float to an int, rounding towards zero, or an int to a float.
fn convert(value: Value) -> Value {
    match value {
        Value::Float(n) => Value::Int(n as i64),
        Value::Int(n) => Value::Float(n as f64),
        other => other,
    }
}
