//! The types of values.

use std::fmt;

/// The type of an expression.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Type {
    /// `true` or `false`.
    Bool,
    /// A signed 64-bit integer; arithmetic saturates.
    Int,
    /// A finite 64-bit floating-point number.
    Float,
    /// UTF-8 text.
    Str,
    /// Any bytes.
    Bytes,
    /// A duration in microseconds.
    Duration,
    /// An IP address.
    Addr,
    /// A list of values of one type.
    List(Box<Type>),
    /// A value that may be absent.
    Optional(Box<Type>),
}

impl Type {
    /// The optional form of this type.
    pub fn optional(self) -> Type {
        Type::Optional(Box::new(self))
    }

    /// A list of this type.
    pub fn list(self) -> Type {
        Type::List(Box::new(self))
    }

    pub(crate) fn has_order(&self) -> bool {
        matches!(
            self,
            Type::Int | Type::Float | Type::Str | Type::Bytes | Type::Duration
        )
    }

    pub(crate) fn has_equality(&self) -> bool {
        self.has_order() || matches!(self, Type::Bool | Type::Addr)
    }
}

impl fmt::Display for Type {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Type::Bool => f.write_str("bool"),
            Type::Int => f.write_str("int"),
            Type::Float => f.write_str("float"),
            Type::Str => f.write_str("string"),
            Type::Bytes => f.write_str("bytes"),
            Type::Duration => f.write_str("duration"),
            Type::Addr => f.write_str("address"),
            Type::List(of) => write!(f, "list of {of}"),
            Type::Optional(of) => write!(f, "optional {of}"),
        }
    }
}
