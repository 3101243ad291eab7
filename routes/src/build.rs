//! From rules as they were written to a table, or to every fault of theirs.

use std::collections::BTreeMap;
use std::fmt;

use doortrack_expr::{Expr, Kind, Limits, Program, Type, infer, parse};
use rustc_hash::FxHashMap;

use crate::index::Index;
use crate::lift::{self, Part};
use crate::{Compiled, MOST_RULES, Table};

/// A rule as operators write it. All but `group` and `servers` are expressions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rule {
    /// Its condition, a bool.
    pub when: String,
    /// The name of an endpoint group.
    pub group: String,
    /// The name of a customer: string, or optional string.
    pub customer: Option<String>,
    /// What the exchange is about: string, bytes or int, or optional. Absent and empty are no subject.
    pub subject: Option<String>,
    /// The idempotency key of a deduplicated exchange: string or bytes, or optional. Absent and empty are
    /// a refusal.
    pub idempotency_key: Option<String>,
    /// From 0 to 1: float, or optional float.
    pub rank: Option<String>,
    /// How long its caller waits: duration, or optional duration.
    pub due: Option<String>,
    /// The name of a pool of servers.
    pub servers: Option<String>,
}

/// Names that rules may use, in the order of their places.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Endpoint groups, and whether their exchanges carry an idempotency key.
    pub groups: Vec<(String, bool)>,
    pub customers: Vec<String>,
    pub pools: Vec<String>,
}

/// What is wrong with a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// As `rules[3].when`.
    pub path: String,
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.what)
    }
}

impl std::error::Error for Fault {}

/// A rule that can never win, as an earlier one takes all that it could.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    pub rule: usize,
    pub behind: usize,
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "rules[{}] can never win: rules[{}] before it takes all that it could",
            self.rule, self.behind
        )
    }
}

/// Faults after which no more are looked for.
const MOST_FAULTS: usize = 50;

impl Table {
    /// Reads, checks and compiles all rules.
    ///
    /// # Errors
    /// Every fault, up to fifty, in the order of the rules.
    pub fn build(rules: &[Rule], names: &Names, limits: Limits) -> Result<(Table, Vec<Note>), Vec<Fault>> {
        if rules.len() > MOST_RULES {
            let what = format!("at most {MOST_RULES} are wanted, found {}", rules.len());
            return Err(vec![Fault { path: "rules".into(), what }]);
        }
        let groups: FxHashMap<&str, usize> =
            names.groups.iter().enumerate().map(|(nth, (name, _))| (name.as_str(), nth)).collect();
        let mut builder = Builder { names, groups, limits, faults: Vec::new() };
        let (mut compiled, mut parts, mut notes) =
            (Vec::with_capacity(rules.len()), Vec::new(), Shadows::default());
        for (nth, rule) in rules.iter().enumerate() {
            if builder.faults.len() >= MOST_FAULTS {
                break;
            }
            let parsed = parse(&rule.when).ok();
            compiled.extend(builder.rule(nth, rule));
            if let Some(when) = parsed {
                let lifted = lift::parts(&when);
                notes.add(nth, &when, &lifted);
                parts.push(lifted);
            }
        }
        if !builder.faults.is_empty() {
            return Err(builder.faults);
        }
        let customers =
            names.customers.iter().enumerate().map(|(nth, name)| (name.as_str().into(), nth as u16));
        let keyed = names.groups.iter().map(|(_, keyed)| *keyed).collect();
        let table =
            Table { rules: compiled, index: Index::new(&parts), customers: customers.collect(), keyed };
        Ok((table, notes.found))
    }
}

struct Builder<'n> {
    names: &'n Names,
    groups: FxHashMap<&'n str, usize>,
    limits: Limits,
    faults: Vec<Fault>,
}

impl Builder<'_> {
    fn fault(&mut self, nth: usize, key: &str, what: impl Into<String>) {
        self.faults.push(Fault { path: format!("rules[{nth}].{key}"), what: what.into() });
    }

    fn rule(&mut self, nth: usize, rule: &Rule) -> Option<Compiled> {
        let when = self.program(nth, "when", &rule.when, &[Type::Bool]);
        let group = self.groups.get(rule.group.as_str()).copied();
        if group.is_none() {
            let known: Vec<&str> = self.names.groups.iter().map(|(name, _)| name.as_str()).collect();
            self.fault(
                nth,
                "group",
                format!("'{}' is none of the endpoint groups {}", rule.group, known.join(", ")),
            );
        }
        let mut optional = |key: &str, source: &Option<String>, types: &[Type]| {
            source.as_ref().map(|source| self.program(nth, key, source, types))
        };
        let customer = optional("customer", &rule.customer, &[Type::Str]);
        let subject = optional("subject", &rule.subject, &[Type::Str, Type::Bytes, Type::Int]);
        let key = optional("idempotency_key", &rule.idempotency_key, &[Type::Str, Type::Bytes]);
        let rank = optional("rank", &rule.rank, &[Type::Float]);
        let due = optional("due", &rule.due, &[Type::Duration]);
        let pool = rule.servers.as_ref().map(|name| self.names.pools.iter().position(|pool| pool == name));
        if pool == Some(None) {
            let known = self.names.pools.join(", ");
            let name = rule.servers.as_deref().unwrap_or_default();
            self.fault(nth, "servers", format!("'{name}' is none of the pools {known}"));
        }
        if key.is_some() && group.is_some_and(|group| !self.names.groups[group].1) {
            self.fault(
                nth,
                "idempotency_key",
                format!("exchanges of '{}' are not deduplicated and carry none", rule.group),
            );
        }
        if customer.is_some() && self.names.customers.is_empty() {
            self.fault(nth, "customer", "the deployment has no customers");
        }
        // A part that is there and wrong was told, and takes the whole with it.
        Some(Compiled {
            when: when?,
            group: group? as u8,
            customer: sound(customer)?,
            subject: sound(subject)?,
            idempotency_key: sound(key)?,
            rank: sound(rank)?,
            due: sound(due)?,
            pool: match pool {
                None => None,
                Some(found) => Some(found? as u16),
            },
        })
    }

    fn program(&mut self, nth: usize, key: &str, source: &str, types: &[Type]) -> Option<Program> {
        match infer(source, self.limits) {
            Ok(program) => {
                let of = if let Type::Optional(of) = program.ty() { of } else { program.ty() };
                if types.contains(of) && (key != "when" || of == program.ty()) {
                    return Some(program);
                }
                let wanted: Vec<String> = types.iter().map(Type::to_string).collect();
                let what = format!("{} is wanted, this is {}", wanted.join(" or "), program.ty());
                self.fault(nth, key, what);
            }
            Err(faults) => faults.iter().for_each(|fault| self.fault(nth, key, fault.line(source))),
        }
        None
    }
}

/// Nothing where there was nothing; nothing at all where it was wrong.
#[expect(clippy::option_option, reason = "three cases that each mean something else")]
fn sound(part: Option<Option<Program>>) -> Option<Option<Program>> {
    match part {
        None => Some(None),
        Some(found) => found.map(Some),
    }
}

/// Tells rules that an earlier one stands before, as far as that can be told at a cost that does not grow
/// with the number of rules: the same condition, one that always holds, one that asks a part of the same.
#[derive(Default)]
struct Shadows {
    /// Conditions with one part only, by that part.
    single: BTreeMap<String, usize>,
    /// Conditions with several, as a whole.
    whole: BTreeMap<String, usize>,
    /// Starts of the path that are a whole condition.
    starts: BTreeMap<String, usize>,
    always: Option<usize>,
    found: Vec<Note>,
}

impl Shadows {
    fn add(&mut self, rule: usize, when: &Expr, lifted: &[Part]) {
        let mut parts: Vec<String> = lift::conjuncts(when).iter().map(plain).collect();
        parts.sort_unstable();
        parts.dedup();
        let whole = parts.join(" && ");
        let mut behind: Option<usize> = self.always;
        let mut earlier = |found: Option<&usize>| behind = behind.into_iter().chain(found.copied()).min();
        parts.iter().for_each(|part| earlier(self.single.get(part)));
        earlier(self.whole.get(&whole));
        for part in lifted {
            match part {
                Part::Prefix(start) => self.starts_of(start, &mut earlier),
                Part::OneOf(lift::Place::Path, texts) if texts.len() == 1 => {
                    self.starts_of(&texts[0], &mut earlier)
                }
                Part::OneOf(..) => {}
            }
        }
        if let Some(behind) = behind {
            self.found.push(Note { rule, behind });
            return;
        }
        if when.kind == Kind::Bool(true) {
            self.always = Some(rule);
        }
        match (&parts[..], lifted) {
            ([_], [Part::Prefix(start)]) => _ = self.starts.insert(start.clone(), rule),
            ([part], _) => _ = self.single.insert(part.clone(), rule),
            _ => _ = self.whole.insert(whole, rule),
        }
    }

    fn starts_of(&self, path: &str, earlier: &mut impl FnMut(Option<&usize>)) {
        for end in (1..=path.len()).filter(|end| path.is_char_boundary(*end)) {
            earlier(self.starts.get(&path[..end]));
        }
    }
}

/// An expression without its places, so that the same one reads the same wherever it stands.
fn plain(expr: &Expr) -> String {
    let all = |exprs: &[Expr]| exprs.iter().map(plain).collect::<Vec<_>>().join(",");
    match &expr.kind {
        Kind::List(items) => format!("[{}]", all(items)),
        Kind::Not(of) => format!("!({})", plain(of)),
        Kind::Neg(of) => format!("-({})", plain(of)),
        Kind::All(parts) => format!("all({})", all(parts)),
        Kind::Any(parts) => format!("any({})", all(parts)),
        Kind::Binary(op, left, right) => format!("({}{}{})", plain(left), op.sign(), plain(right)),
        Kind::If(when, then, other) => format!("if({},{},{})", plain(when), plain(then), plain(other)),
        Kind::Let { name, value, body, .. } => format!("let({name},{},{})", plain(value), plain(body)),
        Kind::Call { name, args, .. } => format!("{name}({})", all(args)),
        Kind::Each { name, body, .. } => format!("{name}->{}", plain(body)),
        other => format!("{other:?}"),
    }
}
