//! Functions and the lists that some of them go through, checked and bounded.

use std::net::IpAddr;

use regex::bytes::RegexBuilder;

use super::{Checker, Items, Known, LOOKUP, MOST_PARTS, through};
use crate::ast::{Expr, Kind, Span};
use crate::diagnostic::{Diagnostic, nearest};
use crate::functions::{FIELDS, FUNCTIONS, usage};
use crate::program::{Fun, Loop, Node};
use crate::{MOST_REGEX, Type, cgi_name};

/// Digits that `hex` writes of an int.
const HEX_DIGITS: u64 = 16;

/// What a function makes of its values, and the most that it costs.
struct Signature {
    function: Fun,
    result: Type,
    /// Steps that it takes by itself.
    steps: u64,
    /// Bytes that it builds.
    built: u64,
    /// Length of the result, in bytes.
    len: u64,
}

impl Checker {
    pub(super) fn call(&mut self, span: Span, name: &str, at: Span, args: &[Expr]) -> Known {
        let Some(usage) = usage(name) else {
            let mut fault =
                Diagnostic::new(at, format!("there is no function '{name}'"), "not known");
            if FIELDS.contains(&name) {
                fault = fault.help(format!("'{name}' is a value and is not called"));
            } else if let Some(near) = nearest(name, FUNCTIONS.iter().map(|(known, _)| *known)) {
                fault = fault.help(format!("perhaps '{near}' is meant"));
            }
            self.faults.push(fault);
            return self.wrong();
        };
        let wanted = match name {
            "split" | "substring" => 3..=3,
            "cidr" => 2..=64,
            "matches" | "starts_with" | "ends_with" | "contains" | "get" | "min" | "max"
            | "any" | "all" | "first" => 2..=2,
            _ => 1..=1,
        };
        if !wanted.contains(&args.len()) {
            let fault = Diagnostic::new(
                span,
                format!("'{name}' does not take {} values", args.len()),
                "this call",
            );
            self.faults
                .push(fault.help(format!("it is called as `{usage}`")));
            return self.wrong();
        }
        match name {
            "header" | "raw_header" | "variable" | "parameter" => self.lookup(span, name, &args[0]),
            "any" | "all" | "first" => self.each(span, name, &args[0], &args[1]),
            "matches" => self.matches(span, &args[0], &args[1]),
            "split" => self.split(span, args),
            "substring" => self.substring(span, args),
            "cidr" => self.networks(span, args),
            _ => self.plain(span, name, usage, args),
        }
    }

    /// A text that stands in the source.
    fn literal<'e>(&mut self, arg: &'e Expr, what: &str) -> Option<&'e str> {
        if let Kind::Str(text) = &arg.kind {
            return Some(text);
        }
        self.fault(
            arg.span,
            format!("{what} has to stand here as a text in quotes"),
            "not known beforehand",
        );
        None
    }

    fn lookup(&mut self, span: Span, kind: &str, arg: &Expr) -> Known {
        let Some(name) = self.literal(arg, "a name") else {
            return self.wrong();
        };
        let (node, own, ty) = match kind {
            "parameter" => (
                Node::Parameter(name.into()),
                through(self.limits.variable),
                Type::Str,
            ),
            "variable" => (
                Node::Variable {
                    name: name.into(),
                    raw: false,
                },
                LOOKUP,
                Type::Str,
            ),
            "raw_header" => (
                Node::Variable {
                    name: cgi_name(name).into(),
                    raw: true,
                },
                LOOKUP,
                Type::Bytes,
            ),
            _ => (
                Node::Variable {
                    name: cgi_name(name).into(),
                    raw: false,
                },
                LOOKUP,
                Type::Str,
            ),
        };
        // A text is looked through for what is none.
        let own = own
            + if ty == Type::Str {
                through(self.limits.variable)
            } else {
                0
            };
        let known = self.known(span, node, ty.optional(), own, &[]);
        Known {
            len: self.limits.variable,
            ..known
        }
    }

    fn each(&mut self, span: Span, name: &str, list: &Expr, each: &Expr) -> Known {
        let of = self.check(list);
        let Some(Type::List(item)) = of.ty.clone() else {
            if let Some(ty) = of.ty {
                self.fault(
                    list.span,
                    format!("a list is wanted, this is {ty}"),
                    "no list",
                );
            }
            return self.wrong();
        };
        let Kind::Each {
            name: bound,
            at,
            body,
        } = &each.kind
        else {
            let fault = Diagnostic::new(
                each.span,
                "what is asked of each item is wanted here",
                "no '->'",
            );
            self.faults
                .push(fault.help(format!("as in `{name}(list, item -> item == \"x\")`")));
            return self.wrong();
        };
        let place = self.node(Node::Bool(false));
        let items = Items::default();
        let known = Known {
            place,
            ty: Some((*item).clone()),
            steps: 1,
            built: 0,
            len: of.items.len,
            items,
        };
        let Some(slot) = self.bind(bound, *at, known) else {
            return self.wrong();
        };
        let asked = self.check(body);
        self.names.pop();
        if !self.is(&asked, body.span, &Type::Bool) {
            return self.wrong();
        }
        let (kind, ty) = match name {
            "any" => (Loop::Any, Type::Bool),
            "all" => (Loop::All, Type::Bool),
            _ => (Loop::First, item.optional()),
        };
        let own = of
            .len
            .saturating_mul(asked.steps.saturating_add(1))
            .saturating_add(of.items.steps)
            .saturating_add(1);
        let built = of
            .len
            .saturating_mul(asked.built)
            .saturating_add(of.items.built);
        let node = Node::Each {
            kind,
            list: of.place,
            slot,
            body: asked.place,
        };
        let known = self.known(span, node, ty, own, &[&of]);
        Known {
            built: known.built.saturating_add(built),
            len: of.items.len,
            ..known
        }
    }

    fn matches(&mut self, span: Span, of: &Expr, pattern: &Expr) -> Known {
        let known = self.check(of);
        let good = self.is(&known, of.span, &Type::Str);
        let Some(pattern_text) = self.literal(pattern, "a regular expression") else {
            return self.wrong();
        };
        let built = RegexBuilder::new(pattern_text)
            .size_limit(MOST_REGEX)
            .dfa_size_limit(MOST_REGEX)
            .build();
        let regex = match built {
            Ok(regex) => Box::new(regex),
            Err(regex::Error::CompiledTooBig(_)) => {
                let what = format!("this regular expression takes more than {MOST_REGEX} bytes");
                return self.fault(pattern.span, what, "too large");
            }
            Err(e) => {
                let what = e.to_string();
                let last = what
                    .lines()
                    .last()
                    .unwrap_or_default()
                    .trim_start_matches("error: ");
                return self.fault(
                    pattern.span,
                    format!("no regular expression: {last}"),
                    "here",
                );
            }
        };
        if !good {
            return self.wrong();
        }
        // Linear in the text, by the library's word; no step is charged for less than a byte.
        let own = 2 + known.len;
        self.known(
            span,
            Node::Matches {
                of: known.place,
                regex,
            },
            Type::Bool,
            own,
            &[&known],
        )
    }

    fn split(&mut self, span: Span, args: &[Expr]) -> Known {
        let of = self.check(&args[0]);
        let good = self.is(&of, args[0].span, &Type::Str);
        let Some(by) = self.literal(&args[1], "a separator") else {
            return self.wrong();
        };
        if by.is_empty() {
            return self.fault(args[1].span, "a separator has at least one sign", "empty");
        }
        let most = match args[2].kind {
            Kind::Int(n) if (1..=MOST_PARTS).contains(&n) => n as u32,
            _ => {
                let what = format!(
                    "how many parts there are at the most, from 1 to {MOST_PARTS}, has to stand here"
                );
                return self.fault(args[2].span, what, "not a bound");
            }
        };
        if !good {
            return self.wrong();
        }
        let node = Node::Split {
            of: of.place,
            by: by.as_bytes().into(),
            most,
        };
        let known = self.known(span, node, Type::Str.list(), 1, &[&of]);
        let items = Items {
            steps: u64::from(most) + through(of.len),
            built: 0,
            len: of.len,
        };
        Known {
            len: most.into(),
            items,
            ..known
        }
    }

    fn substring(&mut self, span: Span, args: &[Expr]) -> Known {
        let known: Vec<Known> = args.iter().map(|arg| self.check(arg)).collect();
        let mut good = true;
        for ((arg, known), want) in args
            .iter()
            .zip(&known)
            .zip([Type::Str, Type::Int, Type::Int])
        {
            good &= self.is(known, arg.span, &want);
        }
        if !good {
            return self.wrong();
        }
        let len = known[0].len;
        let node = Node::Substring {
            of: known[0].place,
            from: known[1].place,
            count: known[2].place,
        };
        let own = 1 + through(len);
        let known = self.known(
            span,
            node,
            Type::Str,
            own,
            &known.iter().collect::<Vec<_>>(),
        );
        Known { len, ..known }
    }

    fn networks(&mut self, span: Span, args: &[Expr]) -> Known {
        let of = self.check(&args[0]);
        let mut good = self.is(&of, args[0].span, &Type::Addr);
        let mut nets = Vec::new();
        for arg in &args[1..] {
            let Some(text) = self.literal(arg, "a network") else {
                return self.wrong();
            };
            match network(text) {
                Some(net) => nets.push(net),
                None => {
                    self.fault(
                        arg.span,
                        "a network is an address, a slash and a number of bits",
                        "no network",
                    );
                    good = false;
                }
            }
        }
        if !good {
            return self.wrong();
        }
        let own = 1 + nets.len() as u64;
        self.known(
            span,
            Node::Networks {
                of: of.place,
                nets: nets.into(),
            },
            Type::Bool,
            own,
            &[&of],
        )
    }

    /// Functions that look only at the types of one or two values.
    fn plain(&mut self, span: Span, name: &str, usage: &str, args: &[Expr]) -> Known {
        let known: Vec<Known> = args.iter().map(|arg| self.check(arg)).collect();
        let types: Option<Vec<Type>> = known.iter().map(|known| known.ty.clone()).collect();
        let Some(types) = types else {
            return self.wrong();
        };
        if let ("bytes", [Type::Str]) = (name, &types[..]) {
            // The same bytes under another type.
            return Known {
                ty: Some(Type::Bytes),
                ..known[0].clone()
            };
        }
        let Some(found) = self.signature(name, &types, &known) else {
            return self.not_taken(span, name, usage, &types);
        };
        let with = known.get(1).map(|with| with.place);
        let node = Node::Call {
            fun: found.function,
            of: known[0].place,
            with,
        };
        let parts: Vec<&Known> = known.iter().collect();
        let whole = self.known(span, node, found.result, found.steps, &parts);
        Known {
            built: whole.built.saturating_add(found.built),
            len: found.len,
            ..whole
        }
    }

    /// What a function of this name makes of values of these types, and what it costs at the most; none
    /// where it takes no such values.
    fn signature(&self, name: &str, types: &[Type], known: &[Known]) -> Option<Signature> {
        let (len, items) = (known[0].len, known[0].items);
        let scan = 1 + through(len);
        let other_len = known.get(1).map_or(0, |other| other.len);
        let signature = |function, result, steps| Signature {
            function,
            result,
            steps,
            built: 0,
            len: 0,
        };
        let text = |function, built| Signature {
            function,
            result: Type::Str,
            steps: scan,
            built,
            len,
        };
        let found = match (name, types) {
            ("lower", [Type::Str]) => text(Fun::Lower, len),
            ("upper", [Type::Str]) => text(Fun::Upper, len),
            ("trim", [Type::Str]) => text(Fun::Trim, 0),
            ("len", [Type::Str | Type::Bytes]) => signature(Fun::Length, Type::Int, 1),
            ("len", [Type::List(_)]) => Signature {
                built: items.built,
                ..signature(Fun::Count, Type::Int, 1 + items.steps)
            },
            ("hash", [Type::Str | Type::Bytes]) => signature(Fun::Hash, Type::Int, 1 + len),
            ("hex", [Type::Int]) => Signature {
                built: HEX_DIGITS,
                len: HEX_DIGITS,
                ..signature(Fun::Hex, Type::Str, 2)
            },
            ("int", [Type::Str]) => signature(Fun::ParseInt, Type::Int.optional(), scan),
            ("int", [Type::Float]) => signature(Fun::FloatToInt, Type::Int, 1),
            ("float", [Type::Str]) => signature(Fun::ParseFloat, Type::Float.optional(), scan),
            ("float", [Type::Int]) => signature(Fun::IntToFloat, Type::Float, 1),
            ("text", [Type::Bytes]) => Signature {
                len,
                ..signature(Fun::BytesToText, Type::Str.optional(), scan)
            },
            ("present", [Type::Optional(_)]) => signature(Fun::Present, Type::Bool, 1),
            ("segment", [Type::Int]) => {
                let (segments, path) = (self.limits.segments, self.limits.variable);
                let steps = 1 + segments + through(path);
                Signature {
                    len: path,
                    ..signature(Fun::Segment, Type::Str.optional(), steps)
                }
            }
            ("starts_with", [Type::Str, Type::Str]) => {
                signature(Fun::StartsWith, Type::Bool, 1 + through(len.min(other_len)))
            }
            ("ends_with", [Type::Str, Type::Str]) => {
                signature(Fun::EndsWith, Type::Bool, 1 + through(len.min(other_len)))
            }
            ("contains", [Type::Str, Type::Str]) => {
                // Looked for from every place; what is looked for is bounded so that the product is.
                signature(
                    Fun::Contains,
                    Type::Bool,
                    scan.saturating_mul(1 + through(other_len)),
                )
            }
            ("get", [Type::List(item), Type::Int]) => {
                let result = (**item).clone().optional();
                let get = signature(Fun::Get, result, 1 + items.steps);
                Signature {
                    built: items.built,
                    len: items.len,
                    ..get
                }
            }
            ("min", [one, two]) if one == two && is_number(one) => {
                signature(Fun::Min, one.clone(), 1)
            }
            ("max", [one, two]) if one == two && is_number(one) => {
                signature(Fun::Max, one.clone(), 1)
            }
            _ => return None,
        };
        Some(found)
    }

    fn not_taken(&mut self, span: Span, name: &str, usage: &str, types: &[Type]) -> Known {
        let found: Vec<String> = types.iter().map(Type::to_string).collect();
        let what = format!("'{name}' does not take {}", found.join(" and "));
        let fault = Diagnostic::new(span, what, "this call");
        let help = match &types[0] {
            Type::Optional(inner) => {
                format!("it is called as `{usage}`; the {inner} may be absent: `it ?? other`")
            }
            _ => format!("it is called as `{usage}`"),
        };
        self.faults.push(fault.help(help));
        self.wrong()
    }
}

fn is_number(ty: &Type) -> bool {
    matches!(ty, Type::Int | Type::Float | Type::Duration)
}

fn network(text: &str) -> Option<(IpAddr, u8)> {
    let (address, bits) = text.split_once('/')?;
    let (address, bits): (IpAddr, u8) = (address.parse().ok()?, bits.parse().ok()?);
    (bits <= if address.is_ipv4() { 32 } else { 128 }).then_some((address, bits))
}
