//! Rules that can never win, since an earlier one takes all that they could.

use std::collections::BTreeMap;

use doortrack_expr::{Expr, Kind};
use rustc_hash::FxHashMap;
use sha2::{Digest as _, Sha256};

use crate::build::Note;
use crate::lift::{self, Part, Place};

/// Stands for a text of any length.
pub(crate) type Digest = [u8; 32];

/// What of a condition is compared with other conditions. Texts stand there by their digests.
#[derive(Debug)]
pub(crate) struct Condition {
    /// The parts that must all hold, in the order of their digests, each once.
    conjuncts: Vec<Digest>,
    /// All of them together.
    whole: Digest,
    /// It is `true`.
    always: bool,
}

impl Condition {
    pub(crate) fn new(when: &Expr) -> Condition {
        let mut conjuncts: Vec<Digest> = lift::conjuncts(when)
            .iter()
            .map(|conjunct| Sha256::digest(without_places(conjunct)).into())
            .collect();
        conjuncts.sort_unstable();
        conjuncts.dedup();
        let whole = Sha256::digest(conjuncts.as_flattened()).into();
        Condition {
            conjuncts,
            whole,
            always: when.kind == Kind::Bool(true),
        }
    }
}

/// Tells rules that an earlier one stands before, as far as that can be told at a cost that does not grow
/// with the number of rules: the same condition, one that always holds, one that asks a part of the same.
#[derive(Default)]
pub(crate) struct Shadows {
    /// Conditions with one part only, by that part.
    single: FxHashMap<Digest, usize>,
    /// Conditions with several, as a whole.
    whole: FxHashMap<Digest, usize>,
    /// Starts of the path that are a whole condition.
    starts: BTreeMap<String, usize>,
    always: Option<usize>,
    found: Vec<Note>,
}

impl Shadows {
    /// Takes the next rule; rules are to come in their order.
    pub(crate) fn add(&mut self, rule: usize, condition: &Condition, lifted: &[Part]) {
        if let Some(behind) = self.first_before(condition, lifted) {
            self.found.push(Note { rule, behind });
            return;
        }
        if condition.always {
            self.always = Some(rule);
        }
        match (&condition.conjuncts[..], lifted) {
            ([_], [Part::Prefix(start)]) => _ = self.starts.insert(start.clone(), rule),
            ([conjunct], _) => _ = self.single.insert(*conjunct, rule),
            _ => _ = self.whole.insert(condition.whole, rule),
        }
    }

    pub(crate) fn into_notes(self) -> Vec<Note> {
        self.found
    }

    /// The first rule that takes all that this condition could.
    fn first_before(&self, condition: &Condition, lifted: &[Part]) -> Option<usize> {
        let mut behind: Option<usize> = self.always;
        let mut earlier =
            |found: Option<&usize>| behind = behind.into_iter().chain(found.copied()).min();
        condition
            .conjuncts
            .iter()
            .for_each(|conjunct| earlier(self.single.get(conjunct)));
        earlier(self.whole.get(&condition.whole));
        for part in lifted {
            match part {
                Part::Prefix(start) => self.starts_of(start, &mut earlier),
                Part::OneOf(Place::Path, texts) if texts.len() == 1 => {
                    self.starts_of(&texts[0], &mut earlier)
                }
                Part::OneOf(..) => {}
            }
        }
        behind
    }

    fn starts_of(&self, path: &str, earlier: &mut impl FnMut(Option<&usize>)) {
        for end in (1..=path.len()).filter(|end| path.is_char_boundary(*end)) {
            earlier(self.starts.get(&path[..end]));
        }
    }
}

/// An expression without its places, so that the same one reads the same wherever it stands.
fn without_places(expr: &Expr) -> String {
    let all = |exprs: &[Expr]| {
        exprs
            .iter()
            .map(without_places)
            .collect::<Vec<_>>()
            .join(",")
    };
    match &expr.kind {
        Kind::List(items) => format!("[{}]", all(items)),
        Kind::Not(operand) => format!("!({})", without_places(operand)),
        Kind::Neg(operand) => format!("-({})", without_places(operand)),
        Kind::All(parts) => format!("all({})", all(parts)),
        Kind::Any(parts) => format!("any({})", all(parts)),
        Kind::Binary(op, left, right) => {
            format!(
                "({}{}{})",
                without_places(left),
                op.sign(),
                without_places(right)
            )
        }
        Kind::If(when, then, other) => {
            format!(
                "if({},{},{})",
                without_places(when),
                without_places(then),
                without_places(other)
            )
        }
        Kind::Let {
            name, value, body, ..
        } => {
            format!(
                "let({name},{},{})",
                without_places(value),
                without_places(body)
            )
        }
        Kind::Call { name, args, .. } => format!("{name}({})", all(args)),
        Kind::Each { name, body, .. } => format!("{name}->{}", without_places(body)),
        other => format!("{other:?}"),
    }
}
