//! `let`, `if`, and infix operators by precedence climbing.

use super::Parser;
use crate::ast::{Expr, Kind, Op};
use crate::lex::Token;

/// The precedence of an infix operator and the operator itself; a higher precedence binds more tightly.
fn infix_operator(symbol: &str) -> Option<(u8, Op)> {
    Some(match symbol {
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
        let (span, child_depth) = (start.with(body.span), value.depth.max(body.depth));
        self.node(
            Kind::Let {
                name,
                at,
                value: Box::new(value),
                body: Box::new(body),
            },
            span,
            child_depth,
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
        let child_depth = when.depth.max(then.depth).max(other.depth);
        self.node(
            Kind::If(Box::new(when), Box::new(then), Box::new(other)),
            start.with(end),
            child_depth,
        )
    }

    pub(super) fn logical(&mut self) -> Expr {
        self.chain("||", Kind::Any, |parser| {
            parser.chain("&&", Kind::All, |parser| parser.infix(1))
        })
    }

    /// Parses any number of operands joined by the same symbol into one flat node, without adding depth for each.
    pub(super) fn chain(
        &mut self,
        symbol: &str,
        kind: fn(Vec<Expr>) -> Kind,
        part: impl Fn(&mut Parser) -> Expr,
    ) -> Expr {
        let first = part(self);
        if !self.is(symbol) {
            return first;
        }
        let mut parts = vec![first];
        while self.accept(symbol) {
            parts.push(part(self));
        }
        let span = parts[0].span.with(parts[parts.len() - 1].span);
        let child_depth = parts.iter().map(|part| part.depth).max().unwrap_or(0);
        self.node(kind(parts), span, child_depth)
    }

    pub(super) fn infix(&mut self, min_precedence: u8) -> Expr {
        let mut left = self.prefix();
        loop {
            let (precedence, op) = match self.token() {
                Token::Symbol(symbol) => match infix_operator(symbol) {
                    Some(found) => found,
                    None => return left,
                },
                Token::Name(name) if name == "in" => (1, Op::In),
                _ => return left,
            };
            if precedence < min_precedence {
                return left;
            }
            self.next();
            // `??` is right-associative; all other operators are left-associative.
            let right = self.infix(if op == Op::Else {
                precedence
            } else {
                precedence + 1
            });
            let (span, child_depth) = (left.span.with(right.span), left.depth.max(right.depth));
            left = self.node(
                Kind::Binary(op, Box::new(left), Box::new(right)),
                span,
                child_depth,
            );
            if precedence == 1
                && matches!(
                    self.token(),
                    Token::Symbol("==" | "!=" | "<" | "<=" | ">" | ">=")
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
