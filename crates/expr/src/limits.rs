//! Fixed limits of the language, and limits that a deployment configures.

/// Maximum length in bytes of an expression's source.
pub const MAX_SOURCE: usize = 8 * 1024;
/// Maximum nesting depth of expressions.
pub const MAX_DEPTH: usize = 48;
/// Maximum number of names that one expression may bind.
pub const MAX_NAMES: usize = 16;
/// Maximum length in bytes of a string built by concatenation.
pub const MAX_STRING: u64 = 64 * 1024;
/// Maximum size in bytes of a compiled regular expression.
pub const MAX_REGEX: usize = 256 * 1024;

/// Limits on the request data that expressions see, and on the cost of an expression.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of steps of one evaluation.
    pub max_cost: u64,
    /// Maximum length in bytes of a variable, of the path and of the query.
    pub variable: u64,
    /// Number of leading body bytes that an expression sees.
    pub body: u64,
    /// Number of leading path segments that an expression sees.
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
