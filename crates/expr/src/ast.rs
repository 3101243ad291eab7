//! What was read, with the places where it stands.

/// Bytes of the source, from and up to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Span {
    pub from: usize,
    pub to: usize,
}

impl Span {
    pub fn with(self, other: Span) -> Span {
        Span {
            from: self.from.min(other.from),
            to: self.to.max(other.to),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    Add,
    Sub,
    Mul,
    Div,
    Rem,
    Eq,
    Ne,
    Lt,
    Le,
    Gt,
    Ge,
    In,
    Else,
}

impl Op {
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

#[derive(Clone, Debug, PartialEq)]
pub struct Expr {
    pub kind: Kind,
    pub span: Span,
    /// How many expressions stand within each other here, itself included.
    pub depth: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    Bool(bool),
    Int(i64),
    Float(f64),
    Str(String),
    Bytes(Vec<u8>),
    /// In microseconds.
    Duration(i64),
    Name(String),
    List(Vec<Expr>),
    Not(Box<Expr>),
    Neg(Box<Expr>),
    /// All of them, or any: as many as there are, side by side.
    All(Vec<Expr>),
    Any(Vec<Expr>),
    Binary(Op, Box<Expr>, Box<Expr>),
    If(Box<Expr>, Box<Expr>, Box<Expr>),
    Let {
        name: String,
        at: Span,
        value: Box<Expr>,
        body: Box<Expr>,
    },
    Call {
        name: String,
        at: Span,
        args: Vec<Expr>,
    },
    /// `name -> body`, only as the last argument of a function over a list.
    Each {
        name: String,
        at: Span,
        body: Box<Expr>,
    },
    /// Something that could not be read, and was told.
    Wrong,
}
