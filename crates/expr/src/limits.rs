//! Bounds that hold for every expression, and those that a deployment sets.

/// Bytes of source that one expression may have.
pub const MAX_SOURCE: usize = 8 * 1024;
/// How deep expressions may stand within each other.
pub const MAX_DEPTH: usize = 48;
/// Names that one expression may bind.
pub const MAX_NAMES: usize = 16;
/// Bytes that any one string may have.
pub const MAX_STRING: u64 = 64 * 1024;
/// Bytes that a compiled regular expression may take.
pub const MAX_REGEX: usize = 256 * 1024;

/// What requests hold at the most, and what an expression over them may cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Steps that one evaluation may take.
    pub max_cost: u64,
    /// Bytes of any one variable, of the path and of the query.
    pub variable: u64,
    /// Bytes of the body that an expression sees.
    pub body: u64,
    /// Segments of the path that an expression sees.
    pub segments: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_cost: 20_000,
            variable: 4096,
            body: 256,
            segments: 32,
        }
    }
}
