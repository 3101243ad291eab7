//! Prefix and postfix operators, calls, lists and single values.

use super::Parser;
use crate::ast::{Expr, Kind, Span};
use crate::lex::Token;
use crate::limits::MAX_DEPTH;

/// Names that can't be used for values.
const KEYWORDS: [&str; 4] = ["let", "if", "else", "in"];
/// Signs that end an expression.
const CLOSING_SIGNS: [&str; 5] = [")", "]", "}", ",", ";"];

impl Parser {
    pub(super) fn prefix(&mut self) -> Expr {
        self.depth += 1;
        let expr = if self.depth > 2 * MAX_DEPTH {
            self.too_deep()
        } else if self.is("!") || self.is("-") {
            let (sign, start) = self.next();
            let of = self.prefix();
            let (span, within) = (start.with(of.span), of.depth);
            let kind = if sign == Token::Sign("!") {
                Kind::Not(Box::new(of))
            } else {
                Kind::Neg(Box::new(of))
            };
            self.node(kind, span, within)
        } else {
            self.postfix()
        };
        self.depth -= 1;
        expr
    }

    fn postfix(&mut self) -> Expr {
        let mut of = self.primary();
        loop {
            if self.accept(".") {
                let (name, at) = self.name();
                if !self.is("(") {
                    return self.error("a function is called with '('", "no call");
                }
                let (mut args, end) = self.args();
                args.insert(0, of);
                of = self.call(name, at, args, end);
            } else if self.is("[") {
                let (_, at) = self.next();
                let place = self.expr();
                let end = self.expect("]");
                of = self.call("get".into(), at, vec![of, place], end);
            } else {
                return of;
            }
        }
    }

    fn call(&mut self, name: String, at: Span, args: Vec<Expr>, end: Span) -> Expr {
        let span = args
            .first()
            .map_or(at, |first| first.span.with(at))
            .with(end);
        let within = args.iter().map(|arg| arg.depth).max().unwrap_or(0);
        self.node(Kind::Call { name, at, args }, span, within)
    }

    /// What stands in brackets behind a function's name.
    fn args(&mut self) -> (Vec<Expr>, Span) {
        self.expect("(");
        let args = self.list(")");
        (args, self.expect(")"))
    }

    fn list(&mut self, end: &str) -> Vec<Expr> {
        let mut items = Vec::new();
        while !self.is(end) && self.token() != &Token::End {
            let each = matches!(self.token(), Token::Name(_))
                && self
                    .tokens
                    .get(self.at + 1)
                    .is_some_and(|(token, _)| *token == Token::Sign("->"));
            let item = if each {
                let (name, at) = self.name();
                self.next();
                let body = self.expr();
                let (span, within) = (at.with(body.span), body.depth);
                self.node(
                    Kind::Each {
                        name,
                        at,
                        body: Box::new(body),
                    },
                    span,
                    within,
                )
            } else {
                self.expr()
            };
            items.push(item);
            if !self.accept(",") {
                break;
            }
        }
        items
    }

    /// A single value, a list, a call, or an expression in parentheses.
    fn primary(&mut self) -> Expr {
        let span = self.span();
        match self.token().clone() {
            Token::Int(n) => self.constant(Kind::Int(n)),
            Token::Float(n) => self.constant(Kind::Float(n)),
            Token::Duration(micros) => self.constant(Kind::Duration(micros)),
            Token::Str(text) => self.constant(Kind::Str(text)),
            Token::Bytes(bytes) => self.constant(Kind::Bytes(bytes)),
            Token::Name(name) if name == "true" || name == "false" => {
                self.constant(Kind::Bool(name == "true"))
            }
            Token::Name(name) if KEYWORDS.contains(&name.as_str()) => self.error(
                format!("'{name}' can't stand here; put it in brackets"),
                "out of place",
            ),
            Token::Name(name) => self.named(name, span),
            Token::Sign("(") => self.parenthesized(span),
            Token::Sign("[") => self.list_literal(span),
            Token::End => self.error(
                "something is wanted here, and the source has ended",
                "the end",
            ),
            Token::Sign(sign) => self.no_value(sign),
        }
    }

    fn constant(&mut self, kind: Kind) -> Expr {
        let span = self.span();
        self.next();
        Expr {
            kind,
            span,
            depth: 1,
        }
    }

    /// A call, or the name of a value.
    fn named(&mut self, name: String, span: Span) -> Expr {
        self.next();
        if self.is("(") {
            let (args, end) = self.args();
            return self.call_from(name, span, args, end);
        }
        Expr {
            kind: Kind::Name(name),
            span,
            depth: 1,
        }
    }

    fn parenthesized(&mut self, start: Span) -> Expr {
        self.next();
        let mut inner = self.expr();
        let end = self.expect(")");
        inner.span = start.with(end);
        inner
    }

    fn list_literal(&mut self, start: Span) -> Expr {
        self.next();
        let items = self.list("]");
        let end = self.expect("]");
        let within = items.iter().map(|item| item.depth).max().unwrap_or(0);
        self.node(Kind::List(items), start.with(end), within)
    }

    /// A sign where a value has to stand. One that may end what is around it is left for that.
    fn no_value(&mut self, sign: &str) -> Expr {
        let wrong = self.error(format!("a value is wanted here, not '{sign}'"), "no value");
        if !CLOSING_SIGNS.contains(&sign) {
            self.next();
        }
        wrong
    }

    fn call_from(&mut self, name: String, at: Span, args: Vec<Expr>, end: Span) -> Expr {
        let within = args.iter().map(|arg| arg.depth).max().unwrap_or(0);
        self.node(Kind::Call { name, at, args }, at.with(end), within)
    }
}
