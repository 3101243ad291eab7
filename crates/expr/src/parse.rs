//! A recursive descent parser from tokens to the syntax tree. The parser recovers from errors where it can, so
//! that several are reported at a time.

mod operators;
mod primary;

use crate::ast::{Expr, Kind, Span};
use crate::diagnostic::Diagnostic;
use crate::lex::{Token, lex};
use crate::limits::{MAX_DEPTH, MAX_SOURCE};

/// Maximum number of errors reported for one source.
const MAX_ERRORS: usize = 20;

pub(crate) fn parse(source: &str) -> Result<Expr, Vec<Diagnostic>> {
    if source.len() > MAX_SOURCE {
        let span = Span {
            from: MAX_SOURCE,
            to: MAX_SOURCE,
        };
        let what = format!(
            "an expression has at most {MAX_SOURCE} bytes, this one {}",
            source.len()
        );
        return Err(vec![Diagnostic::new(span, what, "too long")]);
    }
    let (tokens, errors) = lex(source);
    let mut parser = Parser {
        tokens,
        at: 0,
        depth: 0,
        errors,
    };
    let expr = parser.expr();
    if parser.errors.is_empty() && parser.token() != &Token::End {
        parser.error("nothing more is expected here", "left over");
    }
    parser.errors.sort_by_key(|error| error.span.from);
    parser.errors.truncate(MAX_ERRORS);
    if parser.errors.is_empty() {
        Ok(expr)
    } else {
        Err(parser.errors)
    }
}

struct Parser {
    tokens: Vec<(Token, Span)>,
    at: usize,
    depth: usize,
    errors: Vec<Diagnostic>,
}

impl Parser {
    fn token(&self) -> &Token {
        &self.tokens[self.at].0
    }

    fn span(&self) -> Span {
        self.tokens[self.at].1
    }

    fn is(&self, symbol: &str) -> bool {
        matches!(self.token(), Token::Symbol(other) if *other == symbol)
    }

    fn is_name(&self, name: &str) -> bool {
        matches!(self.token(), Token::Name(other) if other == name)
    }

    fn next(&mut self) -> (Token, Span) {
        let token = self.tokens[self.at].clone();
        self.at = (self.at + 1).min(self.tokens.len() - 1);
        token
    }

    fn accept(&mut self, symbol: &str) -> bool {
        let is = self.is(symbol);
        if is {
            self.next();
        }
        is
    }

    fn error(&mut self, what: impl Into<String>, label: &str) -> Expr {
        let span = self.span();
        // Only the first of consecutive errors at the same position is reported; the others follow from it.
        if self.errors.last().is_none_or(|last| last.span != span) {
            self.errors.push(Diagnostic::new(span, what, label));
        }
        Expr {
            kind: Kind::Wrong,
            span,
            depth: 1,
        }
    }

    fn expect(&mut self, symbol: &'static str) -> Span {
        if !self.is(symbol) {
            self.error(format!("'{symbol}' is wanted here"), "before this");
            return self.span();
        }
        self.next().1
    }

    /// Builds a node, or reports an error if it would exceed the maximum depth.
    fn node(&mut self, kind: Kind, span: Span, child_depth: usize) -> Expr {
        let depth = child_depth + 1;
        if depth > MAX_DEPTH {
            if self.errors.iter().all(|error| error.label != "too deep") {
                let what = format!("expressions stand at most {MAX_DEPTH} deep within each other");
                self.errors.push(Diagnostic::new(span, what, "too deep"));
            }
            return Expr {
                kind: Kind::Wrong,
                span,
                depth: 1,
            };
        }
        Expr { kind, span, depth }
    }

    /// Reports that the nesting is too deep and skips the remaining tokens.
    fn too_deep(&mut self) -> Expr {
        let what = format!("expressions stand at most {MAX_DEPTH} deep within each other");
        let placeholder = self.error(what, "too deep");
        self.at = self.tokens.len() - 1;
        placeholder
    }

    fn expr(&mut self) -> Expr {
        self.depth += 1;
        let expr = if self.depth > 2 * MAX_DEPTH {
            self.too_deep()
        } else if self.is_name("let") {
            self.let_binding()
        } else if self.is_name("if") {
            self.conditional()
        } else {
            self.logical()
        };
        self.depth -= 1;
        expr
    }

    fn name(&mut self) -> (String, Span) {
        match self.token().clone() {
            Token::Name(name) => (name, self.next().1),
            _ => {
                self.error("a name is wanted here", "no name");
                (String::new(), self.span())
            }
        }
    }
}
