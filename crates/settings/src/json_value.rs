//! Typed access to the values of a JSON text, with errors that name the path of the value.

use std::borrow::Cow;

use serde_json::Value;

use crate::{SettingsError, SettingsErrorKind};

/// A value in a JSON text, with its path.
#[derive(Clone, Debug)]
pub struct JsonValue<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> JsonValue<'a> {
    /// The root value of a text. The paths of all values in it begin with `name`.
    pub fn root(name: impl Into<String>, value: &'a Value) -> JsonValue<'a> {
        JsonValue {
            value,
            path: name.into(),
        }
    }

    /// The value of `key`; `None` if it is absent or null.
    pub fn get(&self, key: &str) -> Option<JsonValue<'a>> {
        let value = self.value.get(key).filter(|value| !value.is_null())?;
        Some(JsonValue {
            value,
            path: format!("{}.{key}", self.path),
        })
    }

    /// The value of `key`.
    ///
    /// # Errors
    /// [`SettingsErrorKind::MissingKey`] if the key is absent or null.
    pub fn required(&self, key: &str) -> Result<JsonValue<'a>, SettingsError> {
        self.get(key).ok_or_else(|| SettingsError {
            path: self.path.clone(),
            kind: SettingsErrorKind::MissingKey { key: key.into() },
        })
    }

    /// An error which says that `expected` was expected in place of this value.
    pub fn unexpected(&self, expected: impl Into<Cow<'static, str>>) -> SettingsError {
        SettingsError {
            path: self.path.clone(),
            kind: SettingsErrorKind::UnexpectedValue {
                expected: expected.into(),
                found: self.value.to_string(),
            },
        }
    }

    /// The value as a finite, non-negative number.
    ///
    /// # Errors
    /// The value is not a number or out of range.
    pub fn number(&self) -> Result<f64, SettingsError> {
        match self.value.as_f64() {
            Some(number) if number >= 0.0 && number.is_finite() => Ok(number),
            _ => Err(self.unexpected("a number of 0 or more")),
        }
    }

    /// The value as a duration in microseconds. Fractions of a microsecond are truncated.
    ///
    /// # Errors
    /// See [`JsonValue::number`].
    pub fn micros(&self) -> Result<u64, SettingsError> {
        Ok(self.number()? as u64)
    }

    /// The value as a number from 0 to 1.
    ///
    /// # Errors
    /// The value is not a number or out of range.
    pub fn fraction(&self) -> Result<f32, SettingsError> {
        match self.value.as_f64() {
            Some(number) if (0.0..=1.0).contains(&number) => Ok(number as f32),
            _ => Err(self.unexpected("a share from 0 to 1")),
        }
    }

    /// The value as a boolean.
    ///
    /// # Errors
    /// The value is not a boolean.
    pub fn boolean(&self) -> Result<bool, SettingsError> {
        self.value
            .as_bool()
            .ok_or_else(|| self.unexpected("true or false"))
    }

    /// The value as a string.
    ///
    /// # Errors
    /// The value is not a string.
    pub fn string(&self) -> Result<&'a str, SettingsError> {
        self.value.as_str().ok_or_else(|| self.unexpected("a word"))
    }

    /// The value as a string; `None` if it is not a string.
    pub(crate) fn as_str(&self) -> Option<&'a str> {
        self.value.as_str()
    }

    /// The items of the value, which must be a list.
    ///
    /// # Errors
    /// The value is not a list.
    pub fn list(&self) -> Result<Vec<JsonValue<'a>>, SettingsError> {
        let Some(list) = self.value.as_array() else {
            return Err(self.unexpected("a list"));
        };
        let item = |(index, value)| JsonValue {
            value,
            path: format!("{}[{index}]", self.path),
        };
        Ok(list.iter().enumerate().map(item).collect())
    }

    /// Looks up the string in a table that maps all accepted strings to their meanings.
    ///
    /// # Errors
    /// The value is not a string, or is not in the table.
    pub(crate) fn one_of<T: Copy>(&self, meanings: &[(&str, T)]) -> Result<T, SettingsError> {
        let text = self.string()?;
        match meanings.iter().find(|(known, _)| *known == text) {
            Some((_, meaning)) => Ok(*meaning),
            None => Err(self.unexpected(alternatives(meanings))),
        }
    }
}

/// Lists the strings of a table as `a, b or c`.
fn alternatives<T>(meanings: &[(&str, T)]) -> String {
    let strings: Vec<&str> = meanings.iter().map(|(text, _)| *text).collect();
    match strings.split_last() {
        Some((last, [])) => (*last).to_string(),
        Some((last, others)) => format!("{} or {last}", others.join(", ")),
        None => String::new(),
    }
}
