//! The identity of idempotency keys.
//!
//! A key is the pair of what it is read from, its source, and its value there. The source is the expression that gave
//! the value; an expression that reads the platform's header has the same source as the platform's own requests, so
//! that a request is the same one whichever listener it comes by. Equal values from different sources are different
//! keys: they need not name the same request.

use doortrack_expr::{Expr, Kind, Op, Program, Request, Scratch, Value, cgi_name};
use sha2::{Digest as _, Sha256};

use crate::canonical::without_spans;
use crate::shadowing::Digest;

/// The variable that carries the key of the platform's requests.
pub const PLATFORM_KEY_VARIABLE: &str = "HTTP_IDEMPOTENCY_KEY";
/// Number of hex digits in a key of the platform.
const PLATFORM_KEY_DIGITS: usize = 32;
/// Functions that do not change which key a text with a key of the platform stands for.
const KEY_PRESERVING_FUNCTIONS: [&str; 5] = ["lower", "upper", "trim", "text", "bytes"];

/// The idempotency key of a request, the same for all requests that repeat one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum IdempotencyKey {
    /// The bytes that the hex digits in the platform's header stand for, in either case.
    Platform([u8; 16]),
    /// The SHA-256 digest of any other key, with its source.
    Derived([u8; 32]),
}

impl IdempotencyKey {
    /// Returns the key in the platform's header, or `None` if it is not 32 hex digits.
    pub fn platform(value: &[u8]) -> Option<IdempotencyKey> {
        let is_key = value.len() == PLATFORM_KEY_DIGITS && value.iter().all(u8::is_ascii_hexdigit);
        let digits = std::str::from_utf8(value).ok().filter(|_| is_key)?;
        let number = u128::from_str_radix(digits, 16).ok()?;
        Some(IdempotencyKey::Platform(number.to_be_bytes()))
    }

    fn new(source: &KeySource, value: &[u8]) -> IdempotencyKey {
        let platform = match source {
            KeySource::Platform => IdempotencyKey::platform(value),
            KeySource::Expression(_) => None,
        };
        platform.unwrap_or_else(|| {
            let digest = Sha256::new()
                .chain_update(source.digest())
                .chain_update(value);
            IdempotencyKey::Derived(digest.finalize().into())
        })
    }
}

/// What the value of a key is read from.
#[derive(Clone, Debug, PartialEq, Eq)]
enum KeySource {
    /// The platform's header.
    Platform,
    /// The expression with this digest.
    Expression(Digest),
}

impl KeySource {
    fn new(expr: &Expr) -> KeySource {
        if reads_platform_key(expr) {
            return KeySource::Platform;
        }
        // Several functions read the same variable.
        let text = variable_name(expr).unwrap_or_else(|| without_spans(expr));
        KeySource::Expression(Sha256::digest(text).into())
    }

    fn digest(&self) -> Digest {
        match self {
            KeySource::Platform => [0; 32],
            KeySource::Expression(digest) => *digest,
        }
    }
}

fn reads_platform_key(expr: &Expr) -> bool {
    match &expr.kind {
        Kind::Call { name, args, .. }
            if KEY_PRESERVING_FUNCTIONS.contains(&name.as_str()) && args.len() == 1 =>
        {
            reads_platform_key(&args[0])
        }
        Kind::Binary(Op::Else, first, other) if is_empty_text(other) => reads_platform_key(first),
        _ => variable_name(expr).is_some_and(|name| name == PLATFORM_KEY_VARIABLE),
    }
}

/// Returns the CGI name of the variable that an expression reads, if it reads one and does nothing else.
fn variable_name(expr: &Expr) -> Option<String> {
    let Kind::Call { name, args, .. } = &expr.kind else {
        return None;
    };
    let [argument] = args.as_slice() else {
        return None;
    };
    match (name.as_str(), &argument.kind) {
        ("header" | "raw_header", Kind::Str(header)) => Some(cgi_name(header)),
        ("variable", Kind::Str(variable)) => Some(variable.clone()),
        _ => None,
    }
}

/// An expression for a key, divided into the alternatives that may give its value.
#[derive(Debug)]
pub(crate) enum KeyExpression<P> {
    /// One source.
    Source(P),
    /// `a ?? b`
    Else(Box<KeyExpression<P>>, Box<KeyExpression<P>>),
    /// `if condition { a } else { b }`
    If(P, Box<KeyExpression<P>>, Box<KeyExpression<P>>),
}

impl<'e> KeyExpression<&'e Expr> {
    pub(crate) fn new(expr: &'e Expr) -> Self {
        match &expr.kind {
            // An absent key is rejected like an empty one.
            Kind::Binary(Op::Else, first, other) if is_empty_text(other) => {
                KeyExpression::new(first)
            }
            Kind::Binary(Op::Else, first, other) => KeyExpression::Else(
                Box::new(KeyExpression::new(first)),
                Box::new(KeyExpression::new(other)),
            ),
            Kind::If(condition, then, other) => KeyExpression::If(
                condition,
                Box::new(KeyExpression::new(then)),
                Box::new(KeyExpression::new(other)),
            ),
            _ => KeyExpression::Source(expr),
        }
    }

    /// Compiles each part with `compile`. Returns `None` if that fails for any.
    pub(crate) fn compile(
        &self,
        compile: &mut impl FnMut(&Expr) -> Option<Program>,
    ) -> Option<KeyExpression<KeyProgram>> {
        let mut part = |expr: &Expr| {
            let program = compile(expr)?;
            let source = KeySource::new(expr);
            Some(KeyProgram { source, program })
        };
        Some(match self {
            KeyExpression::Source(expr) => KeyExpression::Source(part(expr)?),
            KeyExpression::Else(first, other) => KeyExpression::Else(
                Box::new(first.compile(compile)?),
                Box::new(other.compile(compile)?),
            ),
            KeyExpression::If(condition, then, other) => KeyExpression::If(
                part(condition)?,
                Box::new(then.compile(compile)?),
                Box::new(other.compile(compile)?),
            ),
        })
    }

    /// Adds everything that the keys of the expression depend on to a digest.
    fn add_to(&self, digest: &mut Sha256) {
        match self {
            KeyExpression::Source(expr) => {
                digest.update(b"source");
                digest.update(KeySource::new(expr).digest());
            }
            KeyExpression::Else(first, other) => {
                digest.update(b"else");
                first.add_to(digest);
                other.add_to(digest);
            }
            KeyExpression::If(condition, then, other) => {
                digest.update(b"if");
                digest.update(KeySource::new(condition).digest());
                then.add_to(digest);
                other.add_to(digest);
            }
        }
    }
}

fn is_empty_text(expr: &Expr) -> bool {
    match &expr.kind {
        Kind::Str(text) => text.is_empty(),
        Kind::Bytes(bytes) => bytes.is_empty(),
        _ => false,
    }
}

/// A compiled part of the expression for a key.
#[derive(Debug)]
pub(crate) struct KeyProgram {
    source: KeySource,
    program: Program,
}

/// The value of an expression for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyValue {
    /// There is none.
    Absent,
    /// An empty text, which is no key.
    Empty,
    /// A key.
    Key(IdempotencyKey),
}

impl KeyExpression<KeyProgram> {
    /// Evaluates the expression. Each part is evaluated at most once.
    pub(crate) fn eval<R: Request>(&self, request: &R, scratch: &mut Scratch) -> KeyValue {
        match self {
            KeyExpression::Source(part) => part.eval(request, scratch),
            KeyExpression::Else(first, other) => match first.eval(request, scratch) {
                KeyValue::Absent => other.eval(request, scratch),
                value => value,
            },
            KeyExpression::If(condition, then, other) => {
                if condition.program.is_true(request, scratch) {
                    then.eval(request, scratch)
                } else {
                    other.eval(request, scratch)
                }
            }
        }
    }
}

impl KeyProgram {
    fn eval<R: Request>(&self, request: &R, scratch: &mut Scratch) -> KeyValue {
        let Value::Text(text) = self.program.eval(request, scratch) else {
            return KeyValue::Absent;
        };
        match scratch.text(text) {
            [] => KeyValue::Empty,
            value => KeyValue::Key(IdempotencyKey::new(&self.source, value)),
        }
    }
}

/// Returns a digest of everything that the keys of a rule with this expression depend on, or of a rule without one,
/// whose requests carry the platform's header. Expressions with the same digest give each request the same key.
pub fn key_meaning(source: Option<&str>) -> [u8; 32] {
    let mut digest = Sha256::new();
    match source.map(doortrack_expr::parse) {
        Some(Ok(expr)) => KeyExpression::new(&expr).add_to(&mut digest),
        // Such a rule is refused; its errors are reported where it is compiled.
        Some(Err(_)) => digest.update(source.unwrap_or_default()),
        None => {
            digest.update(b"source");
            digest.update(KeySource::Platform.digest());
        }
    }
    digest.finalize().into()
}
