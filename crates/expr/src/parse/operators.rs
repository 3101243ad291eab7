//! `let`, `if`, and infix operators by precedence climbing.

use super::Parser;
use crate::ast::{Expr, Kind, Op};
use crate::lex::Token;

/// How tight a sign binds, the tightest last.
fn binding(sign: &str) -> Option<(u8, Op)> {
    Some(match sign {
        "==" => (1, Op::Eq),
        "!=" => (1, Op::Ne),
        "<" => (1, Op::Lt),
        "<=" => (1, Op::Le),
        ">" => (1, Op::Gt),
        ">=" => (1, Op::Ge),
        "??" => (2, Op::Else),
        "+" => (3, Op::Add),
        "-" => (3, Op::Sub),
        "*" => (4, Op::Mul),
        "/" => (4, Op::Div),
        "%" => (4, Op::Rem),
        _ => return None,
    })
}

impl Parser {
    pub(super) fn let_binding(&mut self) -> Expr {
        let (_, start) = self.next();
        let (name, at) = self.name();
        self.expect("=");
        let value = self.expr();
        self.expect(";");
        let body = self.expr();
        let (span, within) = (start.with(body.span), value.depth.max(body.depth));
        self.node(
            Kind::Let {
                name,
                at,
                value: Box::new(value),
                body: Box::new(body),
            },
            span,
            within,
        )
    }

    pub(super) fn conditional(&mut self) -> Expr {
        let (_, start) = self.next();
        let when = self.logical();
        self.expect("{");
        let then = self.expr();
        self.expect("}");
        if !self.is_name("else") {
            return self.error(
                "'else' is wanted here: every choice has two ways",
                "before this",
            );
        }
        self.next();
        let (other, end) = if self.is_name("if") {
            let other = self.expr();
            let end = other.span;
            (other, end)
        } else {
            self.expect("{");
            let other = self.expr();
            (other, self.expect("}"))
        };
        let within = when.depth.max(then.depth).max(other.depth);
        self.node(
            Kind::If(Box::new(when), Box::new(then), Box::new(other)),
            start.with(end),
            within,
        )
    }

    pub(super) fn logical(&mut self) -> Expr {
        self.chain("||", Kind::Any, |parser| {
            parser.chain("&&", Kind::All, |parser| parser.infix(1))
        })
    }

    /// Any number of parts side by side, which does not make them deeper.
    pub(super) fn chain(
        &mut self,
        sign: &str,
        kind: fn(Vec<Expr>) -> Kind,
        part: impl Fn(&mut Parser) -> Expr,
    ) -> Expr {
        let first = part(self);
        if !self.is(sign) {
            return first;
        }
        let mut parts = vec![first];
        while self.accept(sign) {
            parts.push(part(self));
        }
        let span = parts[0].span.with(parts[parts.len() - 1].span);
        let within = parts.iter().map(|part| part.depth).max().unwrap_or(0);
        self.node(kind(parts), span, within)
    }

    pub(super) fn infix(&mut self, least: u8) -> Expr {
        let mut left = self.prefix();
        loop {
            let (tight, op) = match self.token() {
                Token::Sign(sign) => match binding(sign) {
                    Some(found) => found,
                    None => return left,
                },
                Token::Name(name) if name == "in" => (1, Op::In),
                _ => return left,
            };
            if tight < least {
                return left;
            }
            self.next();
            // Whatever is absent is looked for from left to right.
            let right = self.infix(if op == Op::Else { tight } else { tight + 1 });
            let (span, within) = (left.span.with(right.span), left.depth.max(right.depth));
            left = self.node(
                Kind::Binary(op, Box::new(left), Box::new(right)),
                span,
                within,
            );
            if tight == 1
                && matches!(
                    self.token(),
                    Token::Sign("==" | "!=" | "<" | "<=" | ">" | ">=")
                )
            {
                return self.error(
                    "comparisons can't stand in a row; join two with '&&'",
                    "a second one",
                );
            }
        }
    }
}
