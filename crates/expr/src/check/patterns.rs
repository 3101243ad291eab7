//! Checks `matches` and `cidr`, whose literals are compiled here, and `substring`.

use std::net::IpAddr;

use regex::bytes::RegexBuilder;

use super::{Checked, Checker};
use crate::ast::{Expr, Span};
use crate::cost::scan_steps;
use crate::limits::MAX_REGEX;
use crate::program::Node;
use crate::types::Type;

impl Checker {
    pub(super) fn matches(&mut self, span: Span, of: &Expr, pattern: &Expr) -> Checked {
        let checked = self.check(of);
        let well_typed = self.expect(&checked, of.span, &Type::Str);
        let Some(pattern_text) = self.literal(pattern, "a regular expression") else {
            return self.invalid();
        };
        let built = RegexBuilder::new(pattern_text)
            .size_limit(MAX_REGEX)
            .dfa_size_limit(MAX_REGEX)
            .build();
        let regex = match built {
            Ok(regex) => Box::new(regex),
            Err(regex::Error::CompiledTooBig(_)) => {
                let what = format!("this regular expression takes more than {MAX_REGEX} bytes");
                return self.error(pattern.span, what, "too large");
            }
            Err(e) => {
                let what = e.to_string();
                let last_line = what
                    .lines()
                    .last()
                    .unwrap_or_default()
                    .trim_start_matches("error: ");
                return self.error(
                    pattern.span,
                    format!("no regular expression: {last_line}"),
                    "here",
                );
            }
        };
        if !well_typed {
            return self.invalid();
        }
        // The regex crate guarantees matching in linear time; one step is counted for each byte.
        let own_steps = 2 + checked.len;
        self.add_node(
            span,
            Node::Matches {
                of: checked.node,
                regex,
            },
            Type::Bool,
            own_steps,
            &[&checked],
        )
    }

    pub(super) fn substring(&mut self, span: Span, args: &[Expr]) -> Checked {
        let checked: Vec<Checked> = args.iter().map(|arg| self.check(arg)).collect();
        let mut well_typed = true;
        for ((arg, checked), expected) in
            args.iter()
                .zip(&checked)
                .zip([Type::Str, Type::Int, Type::Int])
        {
            well_typed &= self.expect(checked, arg.span, &expected);
        }
        if !well_typed {
            return self.invalid();
        }
        let len = checked[0].len;
        let node = Node::Substring {
            of: checked[0].node,
            from: checked[1].node,
            count: checked[2].node,
        };
        let own_steps = 1 + scan_steps(len);
        let checked = self.add_node(
            span,
            node,
            Type::Str,
            own_steps,
            &checked.iter().collect::<Vec<_>>(),
        );
        Checked { len, ..checked }
    }

    pub(super) fn networks(&mut self, span: Span, args: &[Expr]) -> Checked {
        let of = self.check(&args[0]);
        let mut well_typed = self.expect(&of, args[0].span, &Type::Addr);
        let mut nets = Vec::new();
        for arg in &args[1..] {
            let Some(text) = self.literal(arg, "a network") else {
                return self.invalid();
            };
            match network(text) {
                Some(net) => nets.push(net),
                None => {
                    self.error(
                        arg.span,
                        "a network is an address, a slash and a number of bits",
                        "no network",
                    );
                    well_typed = false;
                }
            }
        }
        if !well_typed {
            return self.invalid();
        }
        let own_steps = 1 + nets.len() as u64;
        self.add_node(
            span,
            Node::Networks {
                of: of.node,
                nets: nets.into(),
            },
            Type::Bool,
            own_steps,
            &[&of],
        )
    }
}

fn network(text: &str) -> Option<(IpAddr, u8)> {
    let (address, bits) = text.split_once('/')?;
    let (address, bits): (IpAddr, u8) = (address.parse().ok()?, bits.parse().ok()?);
    (bits <= if address.is_ipv4() { 32 } else { 128 }).then_some((address, bits))
}
