//! The syntax tree of an expression, with the place of each part in the source.

/// A range of bytes of the source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Span {
    /// The first byte.
    pub from: usize,
    /// One past the last byte.
    pub to: usize,
}

impl Span {
    /// The smallest range that holds both.
    pub fn with(self, other: Span) -> Span {
        Span {
            from: self.from.min(other.from),
            to: self.to.max(other.to),
        }
    }
}

/// An infix operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// `+`, also for texts and bytes.
    Add,
    /// `-`
    Sub,
    /// `*`
    Mul,
    /// `/`
    Div,
    /// `%`
    Rem,
    /// `==`
    Eq,
    /// `!=`
    Ne,
    /// `<`
    Lt,
    /// `<=`
    Le,
    /// `>`
    Gt,
    /// `>=`
    Ge,
    /// `in`
    In,
    /// `??`
    Else,
}

impl Op {
    /// As it is written in the source.
    pub fn sign(self) -> &'static str {
        match self {
            Op::Add => "+",
            Op::Sub => "-",
            Op::Mul => "*",
            Op::Div => "/",
            Op::Rem => "%",
            Op::Eq => "==",
            Op::Ne => "!=",
            Op::Lt => "<",
            Op::Le => "<=",
            Op::Gt => ">",
            Op::Ge => ">=",
            Op::In => "in",
            Op::Else => "??",
        }
    }
}

/// An expression.
#[derive(Clone, Debug, PartialEq)]
pub struct Expr {
    /// What it is.
    pub kind: Kind,
    /// Where it stands in the source.
    pub span: Span,
    /// How many expressions are nested here, itself included; at most [`crate::MAX_DEPTH`].
    pub depth: usize,
}

/// The kinds of expressions.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// `true` or `false`.
    Bool(bool),
    /// A whole number.
    Int(i64),
    /// A number with a decimal point.
    Float(f64),
    /// `"text"`
    Str(String),
    /// `b"bytes"`
    Bytes(Vec<u8>),
    /// A duration such as `250ms`, in microseconds.
    Duration(i64),
    /// A field of the request, or a bound name.
    Name(String),
    /// `[a, b]`
    List(Vec<Expr>),
    /// `!a`
    Not(Box<Expr>),
    /// `-a`
    Neg(Box<Expr>),
    /// `a && b && ...`, side by side.
    All(Vec<Expr>),
    /// `a || b || ...`, side by side.
    Any(Vec<Expr>),
    /// Two operands with an operator between them.
    Binary(Op, Box<Expr>, Box<Expr>),
    /// `if condition { a } else { b }`
    If(Box<Expr>, Box<Expr>, Box<Expr>),
    /// `let name = value; body`
    Let {
        /// The name that is bound.
        name: String,
        /// Where the name stands.
        at: Span,
        /// What it is bound to.
        value: Box<Expr>,
        /// Where it is known.
        body: Box<Expr>,
    },
    /// `name(args)`, or `first.name(rest)`.
    Call {
        /// The function.
        name: String,
        /// Where its name stands.
        at: Span,
        /// Its arguments.
        args: Vec<Expr>,
    },
    /// `name -> body`, only as the last argument of a function over a list.
    Each {
        /// The name that each item is bound to.
        name: String,
        /// Where the name stands.
        at: Span,
        /// What is asked of each item.
        body: Box<Expr>,
    },
    /// Something that could not be read, and was reported.
    Wrong,
}
