//! Parses prefix and postfix operators, calls, lists and literals.

use super::Parser;
use crate::ast::{Expr, Kind, Span};
use crate::lex::Token;
use crate::limits::MAX_DEPTH;

/// Reserved words, which can't name a value.
const KEYWORDS: [&str; 4] = ["let", "if", "else", "in"];
/// Symbols that end an expression.
const CLOSING_SYMBOLS: [&str; 5] = [")", "]", "}", ",", ";"];

impl Parser {
    pub(super) fn prefix(&mut self) -> Expr {
        self.depth += 1;
        let expr = if self.depth > 2 * MAX_DEPTH {
            self.too_deep()
        } else if self.is("!") || self.is("-") {
            let (symbol, start) = self.next();
            let of = self.prefix();
            let (span, child_depth) = (start.with(of.span), of.depth);
            let kind = if symbol == Token::Symbol("!") {
                Kind::Not(Box::new(of))
            } else {
                Kind::Neg(Box::new(of))
            };
            self.node(kind, span, child_depth)
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
        let child_depth = args.iter().map(|arg| arg.depth).max().unwrap_or(0);
        self.node(Kind::Call { name, at, args }, span, child_depth)
    }

    /// Parses the parenthesized arguments of a call.
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
                    .is_some_and(|(token, _)| *token == Token::Symbol("->"));
            let item = if each {
                let (name, at) = self.name();
                self.next();
                let body = self.expr();
                let (span, child_depth) = (at.with(body.span), body.depth);
                self.node(
                    Kind::Each {
                        name,
                        at,
                        body: Box::new(body),
                    },
                    span,
                    child_depth,
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

    /// Parses a literal, a name, a list, a call, or an expression in parentheses.
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
            Token::Name(name) => self.name_or_call(name, span),
            Token::Symbol("(") => self.parenthesized(span),
            Token::Symbol("[") => self.list_literal(span),
            Token::End => self.error(
                "something is wanted here, and the source has ended",
                "the end",
            ),
            Token::Symbol(symbol) => self.unexpected_symbol(symbol),
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

    /// Parses a call or the name of a value.
    fn name_or_call(&mut self, name: String, span: Span) -> Expr {
        self.next();
        if self.is("(") {
            let (args, end) = self.args();
            return self.function_call(name, span, args, end);
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
        let child_depth = items.iter().map(|item| item.depth).max().unwrap_or(0);
        self.node(Kind::List(items), start.with(end), child_depth)
    }

    /// Reports a symbol where a value is expected. A closing symbol isn't consumed, since it may end the enclosing
    /// expression.
    fn unexpected_symbol(&mut self, symbol: &str) -> Expr {
        let placeholder = self.error(
            format!("a value is wanted here, not '{symbol}'"),
            "no value",
        );
        if !CLOSING_SYMBOLS.contains(&symbol) {
            self.next();
        }
        placeholder
    }

    fn function_call(&mut self, name: String, at: Span, args: Vec<Expr>, end: Span) -> Expr {
        let child_depth = args.iter().map(|arg| arg.depth).max().unwrap_or(0);
        self.node(Kind::Call { name, at, args }, at.with(end), child_depth)
    }
}
