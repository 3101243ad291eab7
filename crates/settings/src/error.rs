//! Errors in the settings.

use std::borrow::Cow;

use thiserror::Error;

/// An error in one value of a JSON text, with the path of the value.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{path}: {kind}")]
pub struct SettingsError {
    /// The name of the text and the keys that lead to the value, for example `settings.lanes[0].worth`.
    pub path: String,
    /// The kind of the error.
    pub kind: SettingsErrorKind,
}

/// The kind of an error in a value.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsErrorKind {
    /// A required key of the object is absent or null.
    #[error("needed key '{key}' is missing")]
    MissingKey {
        /// The key as spelled in the text.
        key: String,
    },
    /// The value has the wrong type or is out of range.
    #[error("{expected} is wanted, found {found}")]
    UnexpectedValue {
        /// A description of the accepted values.
        expected: Cow<'static, str>,
        /// The value as JSON.
        found: String,
    },
}
