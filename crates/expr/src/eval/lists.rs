//! Evaluation of lists, whose items are produced lazily.

use super::{Eval, find, subtext};
use crate::cost::scan_steps;
use crate::program::{Loop, NodeIndex};
use crate::request::Request;
use crate::value::{List, Text, Value};

impl<'v, R: Request> Eval<'v, '_, R> {
    /// Calls `visit` with each item until it returns false.
    pub(super) fn items(
        &mut self,
        list: List<'v>,
        visit: &mut dyn FnMut(&mut Self, Value<'v>) -> bool,
    ) {
        match list {
            List::Items(indexes) => {
                for index in indexes {
                    self.step(1);
                    let item = self.eval(*index);
                    if !visit(self, item) {
                        return;
                    }
                }
            }
            List::Split { text, by, most } => {
                self.step(scan_steps(self.scratch.text(text).len() as u64));
                let mut from = 0;
                for nth in 1..=most {
                    self.step(1);
                    let whole = self.scratch.text(text);
                    let end = find(&whole[from..], by)
                        .filter(|_| nth < most)
                        .map(|at| from + at);
                    let item = Value::Text(subtext(text, from, end.unwrap_or(whole.len())));
                    if !visit(self, item) {
                        return;
                    }
                    match end {
                        Some(end) => from = end + by.len(),
                        None => return,
                    }
                }
            }
            List::Segments { path, most } => {
                self.step(scan_steps(path.len() as u64));
                if path.is_empty() {
                    return;
                }
                for segment in path.split(|byte| *byte == b'/').take(most as usize) {
                    self.step(1);
                    if !visit(self, Value::Text(Text::Ref(segment))) {
                        return;
                    }
                }
            }
        }
    }

    pub(super) fn each(
        &mut self,
        kind: Loop,
        list: NodeIndex,
        slot: u8,
        body: NodeIndex,
    ) -> Value<'v> {
        let Value::List(list) = self.eval(list) else {
            return Value::Absent;
        };
        let mut found = None;
        self.items(list, &mut |eval, item| {
            eval.step(1);
            eval.slots[usize::from(slot)] = item;
            let truth = eval.eval(body).is_true();
            // `any` and `first` stop at the first item that satisfies the predicate, `all` at the first that doesn't.
            if truth != (kind == Loop::All) {
                found = Some(item);
            }
            found.is_none()
        });
        match kind {
            Loop::Any => Value::Bool(found.is_some()),
            Loop::All => Value::Bool(found.is_none()),
            Loop::First => found.unwrap_or(Value::Absent),
        }
    }

    pub(super) fn get(&mut self, list: Value<'v>, index: i64) -> Value<'v> {
        let (Value::List(list), Ok(index)) = (list, usize::try_from(index)) else {
            return Value::Absent;
        };
        if let List::Items(items) = list {
            return match items.get(index) {
                Some(item) => self.eval(*item),
                None => Value::Absent,
            };
        }
        let (mut nth, mut found) = (0, Value::Absent);
        self.items(list, &mut |_, item| {
            if nth == index {
                found = item;
            }
            nth += 1;
            nth <= index
        });
        found
    }
}
