//! What can be wrong with the settings.

use std::borrow::Cow;

use thiserror::Error;

/// What is wrong with one value of a JSON text, and where it is.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{path}: {kind}")]
pub struct SettingsError {
    /// The name of the text and the keys that lead to the value, as in `settings.lanes[0].worth`.
    pub path: String,
    /// What is wrong with the value.
    pub kind: SettingsErrorKind,
}

/// What is wrong with a value.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsErrorKind {
    /// The object lacks a key, or holds null under it.
    #[error("needed key '{key}' is missing")]
    MissingKey {
        /// The key as the text spells it.
        key: String,
    },
    /// The value is of another type or out of range.
    #[error("{expected} is wanted, found {found}")]
    UnexpectedValue {
        /// The values that are accepted, in words.
        expected: Cow<'static, str>,
        /// The value as JSON.
        found: String,
    },
}
