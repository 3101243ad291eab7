//! Prefix and postfix operators, calls, lists and single values.

use super::Parser;
use crate::ast::{Expr, Kind, Span};
use crate::lex::Token;
use crate::limits::MAX_DEPTH;

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

    fn primary(&mut self) -> Expr {
        let span = self.span();
        let kind = match self.token().clone() {
            Token::Int(n) => Kind::Int(n),
            Token::Float(n) => Kind::Float(n),
            Token::Duration(micros) => Kind::Duration(micros),
            Token::Str(text) => Kind::Str(text),
            Token::Bytes(bytes) => Kind::Bytes(bytes),
            Token::Name(name) if name == "true" || name == "false" => Kind::Bool(name == "true"),
            Token::Name(name) if ["let", "if", "else", "in"].contains(&name.as_str()) => {
                return self.error(
                    format!("'{name}' can't stand here; put it in brackets"),
                    "out of place",
                );
            }
            Token::Name(name) => {
                self.next();
                if self.is("(") {
                    let (args, end) = self.args();
                    return self.call_from(name, span, args, end);
                }
                return Expr {
                    kind: Kind::Name(name),
                    span,
                    depth: 1,
                };
            }
            Token::Sign("(") => {
                self.next();
                let mut inner = self.expr();
                let end = self.expect(")");
                inner.span = span.with(end);
                return inner;
            }
            Token::Sign("[") => {
                self.next();
                let items = self.list("]");
                let end = self.expect("]");
                let within = items.iter().map(|item| item.depth).max().unwrap_or(0);
                return self.node(Kind::List(items), span.with(end), within);
            }
            Token::End => {
                return self.error(
                    "something is wanted here, and the source has ended",
                    "the end",
                );
            }
            Token::Sign(sign) => {
                let wrong = self.error(format!("a value is wanted here, not '{sign}'"), "no value");
                if ![")", "]", "}", ",", ";"].contains(&sign) {
                    self.next();
                }
                return wrong;
            }
        };
        self.next();
        Expr {
            kind,
            span,
            depth: 1,
        }
    }

    fn call_from(&mut self, name: String, at: Span, args: Vec<Expr>, end: Span) -> Expr {
        let within = args.iter().map(|arg| arg.depth).max().unwrap_or(0);
        self.node(Kind::Call { name, at, args }, at.with(end), within)
    }
}
