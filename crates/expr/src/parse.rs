//! Words to an expression. Several faults are told at a time: what can't be read is passed over to where the
//! next thing can begin.

use crate::ast::{Expr, Kind, Op, Span};
use crate::diagnostic::Diagnostic;
use crate::lex::{Word, lex};
use crate::{MOST_DEPTH, MOST_SOURCE};

/// Faults after which no more are looked for.
const MOST_FAULTS: usize = 20;

pub(crate) fn parse(source: &str) -> Result<Expr, Vec<Diagnostic>> {
    if source.len() > MOST_SOURCE {
        let span = Span {
            from: MOST_SOURCE,
            to: MOST_SOURCE,
        };
        let what = format!(
            "an expression has at most {MOST_SOURCE} bytes, this one {}",
            source.len()
        );
        return Err(vec![Diagnostic::new(span, what, "too long")]);
    }
    let (words, faults) = lex(source);
    let mut parser = Parser {
        words,
        at: 0,
        depth: 0,
        faults,
    };
    let expr = parser.expr();
    if parser.faults.is_empty() && parser.word() != &Word::End {
        parser.fault("nothing more is expected here", "left over");
    }
    parser.faults.sort_by_key(|fault| fault.span.from);
    parser.faults.truncate(MOST_FAULTS);
    if parser.faults.is_empty() {
        Ok(expr)
    } else {
        Err(parser.faults)
    }
}

struct Parser {
    words: Vec<(Word, Span)>,
    at: usize,
    depth: usize,
    faults: Vec<Diagnostic>,
}

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
    fn word(&self) -> &Word {
        &self.words[self.at].0
    }

    fn span(&self) -> Span {
        self.words[self.at].1
    }

    fn is(&self, sign: &str) -> bool {
        matches!(self.word(), Word::Sign(other) if *other == sign)
    }

    fn is_name(&self, name: &str) -> bool {
        matches!(self.word(), Word::Name(other) if other == name)
    }

    fn next(&mut self) -> (Word, Span) {
        let word = self.words[self.at].clone();
        self.at = (self.at + 1).min(self.words.len() - 1);
        word
    }

    fn take(&mut self, sign: &str) -> bool {
        let is = self.is(sign);
        if is {
            self.next();
        }
        is
    }

    fn fault(&mut self, what: impl Into<String>, label: &str) -> Expr {
        let span = self.span();
        // One for each place: what follows from it is not worth a word.
        if self.faults.last().is_none_or(|last| last.span != span) {
            self.faults.push(Diagnostic::new(span, what, label));
        }
        Expr {
            kind: Kind::Wrong,
            span,
            depth: 1,
        }
    }

    fn want(&mut self, sign: &'static str) -> Span {
        if !self.is(sign) {
            self.fault(format!("'{sign}' is wanted here"), "before this");
            return self.span();
        }
        self.next().1
    }

    /// Puts together what was read, unless it is too deep by now.
    fn make(&mut self, kind: Kind, span: Span, within: usize) -> Expr {
        let depth = within + 1;
        if depth > MOST_DEPTH {
            if self.faults.iter().all(|fault| fault.label != "too deep") {
                let what = format!("expressions stand at most {MOST_DEPTH} deep within each other");
                self.faults.push(Diagnostic::new(span, what, "too deep"));
            }
            return Expr {
                kind: Kind::Wrong,
                span,
                depth: 1,
            };
        }
        Expr { kind, span, depth }
    }

    /// What is deeper is not looked at.
    fn too_deep(&mut self) -> Expr {
        let what = format!("expressions stand at most {MOST_DEPTH} deep within each other");
        let wrong = self.fault(what, "too deep");
        self.at = self.words.len() - 1;
        wrong
    }

    fn expr(&mut self) -> Expr {
        self.depth += 1;
        let expr = if self.depth > 2 * MOST_DEPTH {
            self.too_deep()
        } else if self.is_name("let") {
            self.binding()
        } else if self.is_name("if") {
            self.choice()
        } else {
            self.any()
        };
        self.depth -= 1;
        expr
    }

    fn binding(&mut self) -> Expr {
        let (_, start) = self.next();
        let (name, at) = self.name();
        self.want("=");
        let value = self.expr();
        self.want(";");
        let body = self.expr();
        let (span, within) = (start.with(body.span), value.depth.max(body.depth));
        self.make(
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

    fn name(&mut self) -> (String, Span) {
        match self.word().clone() {
            Word::Name(name) => (name, self.next().1),
            _ => {
                self.fault("a name is wanted here", "no name");
                (String::new(), self.span())
            }
        }
    }

    fn choice(&mut self) -> Expr {
        let (_, start) = self.next();
        let when = self.any();
        self.want("{");
        let then = self.expr();
        self.want("}");
        if !self.is_name("else") {
            return self.fault(
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
            self.want("{");
            let other = self.expr();
            (other, self.want("}"))
        };
        let within = when.depth.max(then.depth).max(other.depth);
        self.make(
            Kind::If(Box::new(when), Box::new(then), Box::new(other)),
            start.with(end),
            within,
        )
    }

    fn any(&mut self) -> Expr {
        self.chain("||", Kind::Any, |parser| {
            parser.chain("&&", Kind::All, |parser| parser.infix(1))
        })
    }

    /// Any number of parts side by side, which does not make them deeper.
    fn chain(
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
        while self.take(sign) {
            parts.push(part(self));
        }
        let span = parts[0].span.with(parts[parts.len() - 1].span);
        let within = parts.iter().map(|part| part.depth).max().unwrap_or(0);
        self.make(kind(parts), span, within)
    }

    fn infix(&mut self, least: u8) -> Expr {
        let mut left = self.prefix();
        loop {
            let (tight, op) = match self.word() {
                Word::Sign(sign) => match binding(sign) {
                    Some(found) => found,
                    None => return left,
                },
                Word::Name(name) if name == "in" => (1, Op::In),
                _ => return left,
            };
            if tight < least {
                return left;
            }
            self.next();
            // Whatever is absent is looked for from left to right.
            let right = self.infix(if op == Op::Else { tight } else { tight + 1 });
            let (span, within) = (left.span.with(right.span), left.depth.max(right.depth));
            left = self.make(
                Kind::Binary(op, Box::new(left), Box::new(right)),
                span,
                within,
            );
            if tight == 1
                && matches!(
                    self.word(),
                    Word::Sign("==" | "!=" | "<" | "<=" | ">" | ">=")
                )
            {
                return self.fault(
                    "comparisons can't stand in a row; join two with '&&'",
                    "a second one",
                );
            }
        }
    }

    fn prefix(&mut self) -> Expr {
        self.depth += 1;
        let expr = if self.depth > 2 * MOST_DEPTH {
            self.too_deep()
        } else if self.is("!") || self.is("-") {
            let (sign, start) = self.next();
            let of = self.prefix();
            let (span, within) = (start.with(of.span), of.depth);
            let kind = if sign == Word::Sign("!") {
                Kind::Not(Box::new(of))
            } else {
                Kind::Neg(Box::new(of))
            };
            self.make(kind, span, within)
        } else {
            self.postfix()
        };
        self.depth -= 1;
        expr
    }

    fn postfix(&mut self) -> Expr {
        let mut of = self.primary();
        loop {
            if self.take(".") {
                let (name, at) = self.name();
                if !self.is("(") {
                    return self.fault("a function is called with '('", "no call");
                }
                let (mut args, end) = self.args();
                args.insert(0, of);
                of = self.call(name, at, args, end);
            } else if self.is("[") {
                let (_, at) = self.next();
                let place = self.expr();
                let end = self.want("]");
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
        self.make(Kind::Call { name, at, args }, span, within)
    }

    /// What stands in brackets behind a function's name.
    fn args(&mut self) -> (Vec<Expr>, Span) {
        self.want("(");
        let args = self.list(")");
        (args, self.want(")"))
    }

    fn list(&mut self, end: &str) -> Vec<Expr> {
        let mut items = Vec::new();
        while !self.is(end) && self.word() != &Word::End {
            let each = matches!(self.word(), Word::Name(_))
                && self
                    .words
                    .get(self.at + 1)
                    .is_some_and(|(word, _)| *word == Word::Sign("->"));
            let item = if each {
                let (name, at) = self.name();
                self.next();
                let body = self.expr();
                let (span, within) = (at.with(body.span), body.depth);
                self.make(
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
            if !self.take(",") {
                break;
            }
        }
        items
    }

    fn primary(&mut self) -> Expr {
        let span = self.span();
        let kind = match self.word().clone() {
            Word::Int(n) => Kind::Int(n),
            Word::Float(n) => Kind::Float(n),
            Word::Duration(micros) => Kind::Duration(micros),
            Word::Str(text) => Kind::Str(text),
            Word::Bytes(bytes) => Kind::Bytes(bytes),
            Word::Name(name) if name == "true" || name == "false" => Kind::Bool(name == "true"),
            Word::Name(name) if ["let", "if", "else", "in"].contains(&name.as_str()) => {
                return self.fault(
                    format!("'{name}' can't stand here; put it in brackets"),
                    "out of place",
                );
            }
            Word::Name(name) => {
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
            Word::Sign("(") => {
                self.next();
                let mut inner = self.expr();
                let end = self.want(")");
                inner.span = span.with(end);
                return inner;
            }
            Word::Sign("[") => {
                self.next();
                let items = self.list("]");
                let end = self.want("]");
                let within = items.iter().map(|item| item.depth).max().unwrap_or(0);
                return self.make(Kind::List(items), span.with(end), within);
            }
            Word::End => {
                return self.fault(
                    "something is wanted here, and the source has ended",
                    "the end",
                );
            }
            Word::Sign(sign) => {
                let wrong = self.fault(format!("a value is wanted here, not '{sign}'"), "no value");
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
        self.make(Kind::Call { name, at, args }, at.with(end), within)
    }
}
