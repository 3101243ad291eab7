//! Evaluation of the compiled form. Evaluation can't fail, since the checker rejects every program that could.
//! The steps of each node are counted in the same way as the checker bounds them.

mod functions;
mod lists;
mod numbers;

use std::cmp::Ordering;
use std::net::IpAddr;

use self::numbers::{arithmetic, divide};
use crate::cost::{LOOKUP_STEPS, scan_steps};
use crate::limits::MAX_NAMES;
use crate::program::{Field, Node, NodeIndex, Program};
use crate::request::Request;
use crate::value::{List, Scratch, Text, Value};

impl Program {
    /// Evaluates the program for one request. Strings that had to be built stay in `scratch` until the next
    /// evaluation that uses it.
    pub fn eval<'v, R: Request>(&'v self, request: &'v R, scratch: &mut Scratch) -> Value<'v> {
        run(self, request, scratch)
    }

    /// Evaluates the program and returns true if the value is `true`.
    pub fn is_true<R: Request>(&self, request: &R, scratch: &mut Scratch) -> bool {
        self.eval(request, scratch).is_true()
    }
}

fn run<'v, R: Request>(program: &'v Program, request: &'v R, scratch: &mut Scratch) -> Value<'v> {
    scratch.built.clear();
    // Allocates only if the buffer is smaller than the program's bound.
    scratch.built.reserve(program.cost.bytes as usize);
    scratch.steps = 0;
    Eval {
        program,
        request,
        scratch,
        slots: [Value::Absent; MAX_NAMES],
    }
    .eval(program.root)
}

struct Eval<'v, 's, R> {
    program: &'v Program,
    request: &'v R,
    scratch: &'s mut Scratch,
    slots: [Value<'v>; MAX_NAMES],
}

/// FNV-1a, so that a hash is the same on every node and after every restart. The hash is shifted to be
/// nonnegative, so that `%` of it is nonnegative too.
fn hash(bytes: &[u8]) -> i64 {
    let mix = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    (bytes.iter().fold(0xcbf2_9ce4_8422_2325, mix) >> 1) as i64
}

fn subtext(text: Text, from: usize, to: usize) -> Text {
    match text {
        Text::Ref(bytes) => Text::Ref(&bytes[from..to]),
        Text::Built { from: start, .. } => Text::Built {
            from: start + from as u32,
            len: (to - from) as u32,
        },
    }
}

/// Returns the bytes of a string value as `str`. They are valid UTF-8, since the bytes were checked wherever a
/// string value can come from.
fn utf8(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap_or_default()
}

fn find(within: &[u8], what: &[u8]) -> Option<usize> {
    match what {
        [] => Some(0),
        [first, ..] => {
            let last = within.len().checked_sub(what.len())?;
            (0..=last).find(|at| within[*at] == *first && within[*at..].starts_with(what))
        }
    }
}

impl<'v, R: Request> Eval<'v, '_, R> {
    fn step(&mut self, steps: u64) {
        self.scratch.steps += steps;
    }

    fn bytes(&self, value: Value<'v>) -> &[u8] {
        match value {
            Value::Text(text) => self.scratch.text(text),
            _ => &[],
        }
    }

    fn len(&self, value: Value<'v>) -> u64 {
        match value {
            Value::Text(Text::Ref(bytes)) => bytes.len() as u64,
            Value::Text(Text::Built { len, .. }) => len.into(),
            _ => 0,
        }
    }

    fn int(&mut self, index: NodeIndex) -> i64 {
        if let Value::Int(n) = self.eval(index) {
            n
        } else {
            0
        }
    }

    fn eval(&mut self, index: NodeIndex) -> Value<'v> {
        match &self.program.nodes[index as usize] {
            Node::Compare { op, left, right } => self.compare(*op, *left, *right),
            Node::Call { fun, of, with } => self.call(*fun, *of, *with),
            node => self.eval_node(node),
        }
    }

    fn eval_node(&mut self, node: &'v Node) -> Value<'v> {
        self.step(1);
        match node {
            Node::Bool(truth) => Value::Bool(*truth),
            Node::Int(n) => Value::Int(*n),
            Node::Float(n) => Value::Float(*n),
            Node::Duration(n) => Value::Duration(*n),
            Node::Text(bytes) => Value::Text(Text::Ref(bytes)),
            Node::Field(field) => self.field(*field),
            Node::Variable { name, raw } => self.variable(name, *raw),
            Node::Parameter(name) => self.parameter(name),
            Node::Slot(slot) => self.slots[usize::from(*slot)],
            Node::Let { slot, value, body } => {
                self.slots[usize::from(*slot)] = self.eval(*value);
                self.eval(*body)
            }
            Node::If { when, then, other } => {
                let when = self.eval(*when).is_true();
                self.eval(if when { *then } else { *other })
            }
            Node::All(parts) => Value::Bool(parts.iter().all(|part| self.eval(*part).is_true())),
            Node::Any(parts) => Value::Bool(parts.iter().any(|part| self.eval(*part).is_true())),
            Node::Not(of) => Value::Bool(!self.eval(*of).is_true()),
            Node::Neg(of) => negate(self.eval(*of)),
            Node::Arith { op, left, right } => {
                let (left, right) = (self.eval(*left), self.eval(*right));
                arithmetic(*op, left, right)
            }
            Node::Divide { op, left, right } => {
                let (left, right) = (self.eval(*left), self.eval(*right));
                divide(*op, left, right)
            }
            Node::Join { left, right } => {
                let (left, right) = (self.eval(*left), self.eval(*right));
                self.concatenate(left, right)
            }
            Node::Else { left, right } => match self.eval(*left) {
                Value::Absent => self.eval(*right),
                value => value,
            },
            node => self.eval_search(node),
        }
    }

    /// Evaluates nodes that search a string, a list or a set.
    fn eval_search(&mut self, node: &'v Node) -> Value<'v> {
        match node {
            Node::InTexts { of, set } => {
                let value = self.eval(*of);
                self.step(1 + scan_steps(self.len(value)));
                Value::Bool(set.contains(self.bytes(value)))
            }
            Node::InInts { of, set } => {
                let value = self.int(*of);
                self.step(1);
                Value::Bool(set.contains(&value))
            }
            Node::InList { of, list } => {
                let value = self.eval(*of);
                let Value::List(list) = self.eval(*list) else {
                    return Value::Bool(false);
                };
                Value::Bool(self.list_contains(list, value))
            }
            Node::List(items) => Value::List(List::Items(items)),
            Node::Split { of, by, most } => match self.eval(*of) {
                Value::Text(text) => Value::List(List::Split {
                    text,
                    by,
                    most: *most,
                }),
                other => other,
            },
            Node::Substring { of, from, count } => {
                let (value, from, count) = (self.eval(*of), self.int(*from), self.int(*count));
                self.step(scan_steps(self.len(value)));
                self.substring(value, from, count)
            }
            Node::Each {
                kind,
                list,
                slot,
                body,
            } => self.each(*kind, *list, *slot, *body),
            Node::Matches { of, regex } => {
                let value = self.eval(*of);
                self.step(1 + self.len(value));
                Value::Bool(regex.is_match(self.bytes(value)))
            }
            Node::Networks { of, nets } => {
                let value = self.eval(*of);
                self.step(nets.len() as u64);
                Value::Bool(is_in_any(value, nets))
            }
            _ => Value::Absent,
        }
    }

    fn concatenate(&mut self, left: Value<'v>, right: Value<'v>) -> Value<'v> {
        self.step(scan_steps(self.len(left) + self.len(right)));
        match (left, right) {
            (Value::Text(left), Value::Text(right)) => Value::Text(self.join(left, right)),
            _ => Value::Absent,
        }
    }

    fn list_contains(&mut self, list: List<'v>, value: Value<'v>) -> bool {
        let mut found = false;
        self.items(list, &mut |eval, item| {
            eval.step(1 + scan_steps(eval.len(value).min(eval.len(item))));
            found = eval.order(value, item) == Some(Ordering::Equal);
            !found
        });
        found
    }

    // --- Access to the request ---

    /// Returns the text, or an empty text if it is longer than the limit: a truncated value could be mistaken for
    /// the whole.
    fn bounded(&self, text: &'v str) -> Value<'v> {
        let within_limit = text.len() as u64 <= self.program.limits.variable;
        Value::Text(Text::Ref(if within_limit { text.as_bytes() } else { b"" }))
    }

    fn field(&self, field: Field) -> Value<'v> {
        let request = self.request;
        let short = |text: &'v str| {
            Value::Text(Text::Ref(if text.len() <= 64 {
                text.as_bytes()
            } else {
                b""
            }))
        };
        match field {
            Field::Method => short(request.method()),
            Field::Path => self.bounded(request.path()),
            Field::Query => self.bounded(request.query()),
            Field::Segments => match self.bounded(request.path()) {
                Value::Text(Text::Ref(path)) => {
                    let most = self.program.limits.segments as u32;
                    Value::List(List::Segments {
                        path: path.strip_prefix(b"/").unwrap_or(path),
                        most,
                    })
                }
                other => other,
            },
            Field::Body => {
                let body = request.body();
                let most = body.len().min(self.program.limits.body as usize);
                Value::Text(Text::Ref(&body[..most]))
            }
            Field::BodyLength => Value::Int(request.body_length().min(i64::MAX as u64) as i64),
            Field::Front => short(request.front()),
            Field::Peer => Value::Addr(request.peer()),
            Field::TimeOfDay => Value::Duration(request.time_of_day()),
        }
    }

    fn variable(&mut self, name: &str, raw: bool) -> Value<'v> {
        self.step(LOOKUP_STEPS - 1);
        let found = self.request.variable(name);
        let Some(bytes) = found.filter(|bytes| bytes.len() as u64 <= self.program.limits.variable)
        else {
            return Value::Absent;
        };
        if !raw {
            self.step(scan_steps(bytes.len() as u64));
            if std::str::from_utf8(bytes).is_err() {
                return Value::Absent;
            }
        }
        Value::Text(Text::Ref(bytes))
    }

    /// Returns the undecoded value of a query parameter; absent if the parameter is missing or repeated.
    fn parameter(&mut self, name: &str) -> Value<'v> {
        let query = self.request.query();
        if query.len() as u64 > self.program.limits.variable {
            return Value::Absent;
        }
        self.step(scan_steps(query.len() as u64));
        let mut found = query.split('&').filter_map(|pair| {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            (key == name).then_some(value)
        });
        match (found.next(), found.next()) {
            (Some(value), None) => Value::Text(Text::Ref(value.as_bytes())),
            _ => Value::Absent,
        }
    }
}

fn negate(value: Value) -> Value {
    match value {
        Value::Int(n) => Value::Int(n.saturating_neg()),
        Value::Duration(n) => Value::Duration(n.saturating_neg()),
        Value::Float(n) => Value::Float(-n),
        other => other,
    }
}

fn is_in_any(value: Value, networks: &[(IpAddr, u8)]) -> bool {
    let Value::Addr(address) = value else {
        return false;
    };
    networks
        .iter()
        .any(|(network, bits)| is_in(address, *network, *bits))
}

/// Returns true if the address is in the network. IPv4-mapped IPv6 addresses are treated as IPv4.
fn is_in(addr: IpAddr, net: IpAddr, bits: u8) -> bool {
    match (addr.to_canonical(), net) {
        (IpAddr::V4(addr), IpAddr::V4(net)) => {
            let mask = u32::MAX.checked_shl(32 - u32::from(bits)).unwrap_or(0);
            (u32::from(addr) ^ u32::from(net)) & mask == 0
        }
        (IpAddr::V6(addr), IpAddr::V6(net)) => {
            let mask = u128::MAX.checked_shl(128 - u32::from(bits)).unwrap_or(0);
            (u128::from(addr) ^ u128::from(net)) & mask == 0
        }
        _ => false,
    }
}
