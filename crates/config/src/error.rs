//! Errors of configurations, with their paths.

use std::borrow::Cow;
use std::fmt::{self, Display};
use std::io;
use std::net::SocketAddr;

use doortrack_settings::{SettingsError, SettingsErrorKind};
use thiserror::Error;

/// An error of a key, file or environment variable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{path}: {kind}")]
pub struct ConfigError {
    /// The file or variable, and the keys that lead to the value, such as `installation.fronts[1].listen`.
    pub path: String,
    /// The kind of the error.
    pub kind: ConfigErrorKind,
}

impl ConfigError {
    /// Creates the error `kind` at `path`.
    pub fn new(path: impl Into<String>, kind: impl Into<ConfigErrorKind>) -> ConfigError {
        ConfigError {
            path: path.into(),
            kind: kind.into(),
        }
    }
}

impl From<SettingsError> for ConfigError {
    fn from(error: SettingsError) -> ConfigError {
        ConfigError::new(error.path, error.kind)
    }
}

/// The kind of a configuration error.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigErrorKind {
    /// The environment variable has no value.
    #[error("is not set")]
    VariableNotSet,
    /// The file can't be read. Holds the error of the system.
    #[error("{0}")]
    Unreadable(String),
    /// The text is not JSON. Holds the error of the parser.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// The value does not have the type of the key. Holds the error of the deserializer.
    #[error("{0}")]
    WrongType(String),
    /// The key is missing, or its value is not accepted.
    #[error(transparent)]
    Value(#[from] SettingsErrorKind),
    /// A list has too many items.
    #[error("at most {max} are wanted, found {found}")]
    TooMany {
        /// Maximum number of items.
        max: usize,
        /// Number of items.
        found: usize,
    },
    /// A list contains an item twice.
    #[error("{0} stands there twice")]
    Duplicate(String),
    /// The address conflicts with that of another listener.
    #[error("{address} is taken by {owner}")]
    AddressInUse {
        /// The conflicting address.
        address: SocketAddr,
        /// Path of the other listener.
        owner: String,
    },
    /// The key refers to a name that does not exist.
    #[error("there is no {kind} '{name}'")]
    UnknownName {
        /// What the name should refer to.
        kind: &'static str,
        /// The unknown name.
        name: String,
    },
    /// The deployment requires a feature that the node does not support.
    #[error("{0} can't be served by this node yet")]
    Unsupported(&'static str),
    /// A constraint on this key, or on several keys together, is violated. Holds its description.
    #[error("{0}")]
    Invalid(Cow<'static, str>),
}

impl ConfigErrorKind {
    /// Converts an error of the system.
    pub(crate) fn unreadable(error: &io::Error) -> ConfigErrorKind {
        ConfigErrorKind::Unreadable(error.to_string())
    }

    /// Converts an error of the JSON parser.
    pub(crate) fn not_json(error: &serde_json::Error) -> ConfigErrorKind {
        ConfigErrorKind::NotJson(error.to_string())
    }

    /// Creates the error for a missing required key.
    pub(crate) fn missing_key(key: &str) -> ConfigErrorKind {
        SettingsErrorKind::MissingKey { key: key.into() }.into()
    }

    /// Creates the error for the value `found` where `expected` describes the accepted values.
    pub(crate) fn unexpected(
        expected: impl Into<Cow<'static, str>>,
        found: impl Display,
    ) -> ConfigErrorKind {
        let (expected, found) = (expected.into(), found.to_string());
        SettingsErrorKind::UnexpectedValue { expected, found }.into()
    }
}

impl From<String> for ConfigErrorKind {
    fn from(message: String) -> ConfigErrorKind {
        ConfigErrorKind::Invalid(message.into())
    }
}

impl From<&'static str> for ConfigErrorKind {
    fn from(message: &'static str) -> ConfigErrorKind {
        ConfigErrorKind::Invalid(message.into())
    }
}

/// All errors of a configuration; never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl ConfigErrors {
    /// Creates a list of one error.
    pub fn one(path: impl Into<String>, kind: impl Into<ConfigErrorKind>) -> ConfigErrors {
        ConfigErrors(vec![ConfigError::new(path, kind)])
    }
}

impl From<ConfigError> for ConfigErrors {
    fn from(error: ConfigError) -> ConfigErrors {
        ConfigErrors(vec![error])
    }
}

impl From<SettingsError> for ConfigErrors {
    fn from(error: SettingsError) -> ConfigErrors {
        ConfigError::from(error).into()
    }
}

/// Formats all errors on one line, for log lines.
impl Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            let separator = if index > 0 { "; " } else { "" };
            write!(f, "{separator}{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigErrors {}

/// Collects the errors of several checks, so that all are reported together.
#[derive(Debug, Default)]
pub struct ErrorCollector(Vec<ConfigError>);

impl ErrorCollector {
    /// Adds the error `kind` at `path`.
    pub fn push(&mut self, path: impl Into<String>, kind: impl Into<ConfigErrorKind>) {
        self.0.push(ConfigError::new(path, kind));
    }

    /// Returns the value of a successful check, or adds the errors of a failed one.
    pub fn collect<T, E: Into<ConfigErrors>>(&mut self, result: Result<T, E>) -> Option<T> {
        result.map_err(|errors| self.0.extend(errors.into().0)).ok()
    }

    /// Returns the collected errors, of which there has to be at least one.
    pub(crate) fn into_errors(self) -> ConfigErrors {
        ConfigErrors(self.0)
    }

    /// Returns the errors collected so far.
    pub fn errors(&self) -> &[ConfigError] {
        &self.0
    }

    /// Returns `value`, which must be `None` only if [`ErrorCollector::collect`] returned `None` for a part of it.
    ///
    /// # Errors
    /// All collected errors.
    pub fn finish_some<T>(self, value: Option<T>) -> Result<T, ConfigErrors> {
        match value {
            Some(value) => self.finish(value),
            None => Err(self.into_errors()),
        }
    }

    /// Returns `value` if there were no errors.
    ///
    /// # Errors
    /// All collected errors.
    pub fn finish<T>(self, value: T) -> Result<T, ConfigErrors> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(ConfigErrors(self.0))
        }
    }
}
