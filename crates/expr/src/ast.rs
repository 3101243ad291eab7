//! The syntax tree of an expression, with the source span of each node.

/// A half-open byte range in the source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Span {
    /// Offset of the first byte.
    pub from: usize,
    /// Offset after the last byte.
    pub to: usize,
}

impl Span {
    /// Returns the smallest span that covers both spans.
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
    /// `+`; concatenates strings and bytes.
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
    /// The operator as written in the source.
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
    /// The kind of expression, with its operands.
    pub kind: Kind,
    /// Position in the source.
    pub span: Span,
    /// Nesting depth of this subtree, counting this node; at most [`crate::MAX_DEPTH`].
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
    /// A request field or a bound name.
    Name(String),
    /// `[a, b]`
    List(Vec<Expr>),
    /// `!a`
    Not(Box<Expr>),
    /// `-a`
    Neg(Box<Expr>),
    /// `a && b && ...` as one flat node.
    All(Vec<Expr>),
    /// `a || b || ...` as one flat node.
    Any(Vec<Expr>),
    /// An infix operator and its two operands.
    Binary(Op, Box<Expr>, Box<Expr>),
    /// `if condition { a } else { b }`
    If(Box<Expr>, Box<Expr>, Box<Expr>),
    /// `let name = value; body`
    Let {
        /// The bound name.
        name: String,
        /// Span of the name.
        at: Span,
        /// The value bound to the name.
        value: Box<Expr>,
        /// The expression in which the name is in scope.
        body: Box<Expr>,
    },
    /// `name(args)`, or `first.name(rest)` with `first` as the first argument.
    Call {
        /// The function name.
        name: String,
        /// Span of the function name.
        at: Span,
        /// The arguments.
        args: Vec<Expr>,
    },
    /// `name -> body`, valid only as the last argument of a list function.
    Each {
        /// The name bound to each item.
        name: String,
        /// Span of the name.
        at: Span,
        /// The predicate evaluated for each item.
        body: Box<Expr>,
    },
    /// A placeholder for source that could not be parsed; the error has been reported.
    Wrong,
}
