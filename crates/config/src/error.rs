//! What can be wrong with a configuration, and where.

use std::borrow::Cow;
use std::fmt::{self, Display};
use std::io;
use std::net::SocketAddr;

use doortrack_settings::{SettingsError, SettingsErrorKind};
use thiserror::Error;

/// What is wrong with one key, file or variable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{path}: {kind}")]
pub struct ConfigError {
    /// The file or variable, and the keys that lead to the value, as in `installation.fronts[1].listen`.
    pub path: String,
    /// What is wrong there.
    pub kind: ConfigErrorKind,
}

impl ConfigError {
    /// The error `kind` at `path`.
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

/// What is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigErrorKind {
    /// The environment variable has no value.
    #[error("is not set")]
    VariableNotSet,
    /// The file can't be read; the system's reason.
    #[error("{0}")]
    Unreadable(String),
    /// The text is not JSON; the parser's reason.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// The value is not of the type that the key has; the deserializer's reason.
    #[error("{0}")]
    WrongType(String),
    /// The key is missing, or holds a value that is not accepted.
    #[error(transparent)]
    Value(#[from] SettingsErrorKind),
    /// A list has more items than are accepted.
    #[error("at most {max} are wanted, found {found}")]
    TooMany {
        /// Items that are accepted.
        max: usize,
        /// Items that there are.
        found: usize,
    },
    /// An item is in its list twice.
    #[error("{0} stands there twice")]
    Duplicate(String),
    /// The address is that of another listener.
    #[error("{address} is taken by {owner}")]
    AddressInUse {
        /// The address that both are to listen on.
        address: SocketAddr,
        /// The path of the other listener.
        owner: String,
    },
    /// Nothing has the name that the key holds.
    #[error("there is no {kind} '{name}'")]
    UnknownName {
        /// What the name is expected to be one of.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// The deployment asks for something that the node can't do.
    #[error("{0} can't be served by this node yet")]
    Unsupported(&'static str),
    /// A rule on this key, or on several together, is broken; the rule in words.
    #[error("{0}")]
    Invalid(Cow<'static, str>),
}

impl ConfigErrorKind {
    /// The system's reason for which a file can't be read.
    pub(crate) fn unreadable(error: &io::Error) -> ConfigErrorKind {
        ConfigErrorKind::Unreadable(error.to_string())
    }

    /// The parser's reason for which a text is not JSON.
    pub(crate) fn not_json(error: &serde_json::Error) -> ConfigErrorKind {
        ConfigErrorKind::NotJson(error.to_string())
    }

    /// A needed key is missing.
    pub(crate) fn missing_key(key: &str) -> ConfigErrorKind {
        SettingsErrorKind::MissingKey { key: key.into() }.into()
    }

    /// The value is `found` and not one of the `expected` ones.
    pub(crate) fn unexpected(
        expected: impl Into<Cow<'static, str>>,
        found: impl Display,
    ) -> ConfigErrorKind {
        let (expected, found) = (expected.into(), found.to_string());
        SettingsErrorKind::UnexpectedValue { expected, found }.into()
    }
}

impl From<String> for ConfigErrorKind {
    fn from(rule: String) -> ConfigErrorKind {
        ConfigErrorKind::Invalid(rule.into())
    }
}

impl From<&'static str> for ConfigErrorKind {
    fn from(rule: &'static str) -> ConfigErrorKind {
        ConfigErrorKind::Invalid(rule.into())
    }
}

/// Everything that is wrong with a configuration; never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl ConfigErrors {
    /// A single error.
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

/// In one line, for a log.
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

/// Collects errors while checks go on, so that all of them are reported at once.
#[derive(Debug, Default)]
pub struct ErrorCollector(Vec<ConfigError>);

impl ErrorCollector {
    /// Adds the error `kind` at `path`.
    pub fn push(&mut self, path: impl Into<String>, kind: impl Into<ConfigErrorKind>) {
        self.0.push(ConfigError::new(path, kind));
    }

    /// The value of a check that succeeded; the errors of one that did not are added.
    pub fn collect<T, E: Into<ConfigErrors>>(&mut self, result: Result<T, E>) -> Option<T> {
        result.map_err(|errors| self.0.extend(errors.into().0)).ok()
    }

    /// The errors that were collected, at least one.
    pub(crate) fn into_errors(self) -> ConfigErrors {
        ConfigErrors(self.0)
    }

    /// The errors so far.
    pub fn errors(&self) -> &[ConfigError] {
        &self.0
    }

    /// `value`, which is none only where [`ErrorCollector::collect`] returned none for a part of it.
    ///
    /// # Errors
    /// All that were collected.
    pub fn finish_some<T>(self, value: Option<T>) -> Result<T, ConfigErrors> {
        match value {
            Some(value) => self.finish(value),
            None => Err(self.into_errors()),
        }
    }

    /// `value`, if there were no errors.
    ///
    /// # Errors
    /// All that were collected.
    pub fn finish<T>(self, value: T) -> Result<T, ConfigErrors> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(ConfigErrors(self.0))
        }
    }
}
