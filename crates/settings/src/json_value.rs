//! Access to the values of a JSON text with errors that name their path.

use std::borrow::Cow;

use serde_json::Value;

use crate::{SettingsError, SettingsErrorKind};

/// A value within a JSON text, and the path at which it is found.
#[derive(Clone, Debug)]
pub struct JsonValue<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> JsonValue<'a> {
    /// The outermost value of a text; `name` begins the paths of everything inside it.
    pub fn root(name: impl Into<String>, value: &'a Value) -> JsonValue<'a> {
        JsonValue {
            value,
            path: name.into(),
        }
    }

    /// The value under `key`; none where it is absent or null.
    pub fn get(&self, key: &str) -> Option<JsonValue<'a>> {
        let value = self.value.get(key).filter(|value| !value.is_null())?;
        Some(JsonValue {
            value,
            path: format!("{}.{key}", self.path),
        })
    }

    /// The value under `key`.
    ///
    /// # Errors
    /// [`SettingsErrorKind::MissingKey`] where it is absent or null.
    pub fn required(&self, key: &str) -> Result<JsonValue<'a>, SettingsError> {
        self.get(key).ok_or_else(|| SettingsError {
            path: self.path.clone(),
            kind: SettingsErrorKind::MissingKey { key: key.into() },
        })
    }

    /// The error that the value is not one of the `expected` ones.
    pub fn unexpected(&self, expected: impl Into<Cow<'static, str>>) -> SettingsError {
        SettingsError {
            path: self.path.clone(),
            kind: SettingsErrorKind::UnexpectedValue {
                expected: expected.into(),
                found: self.value.to_string(),
            },
        }
    }

    /// A finite number that is not negative.
    ///
    /// # Errors
    /// The value is anything else.
    pub fn number(&self) -> Result<f64, SettingsError> {
        match self.value.as_f64() {
            Some(number) if number >= 0.0 && number.is_finite() => Ok(number),
            _ => Err(self.unexpected("a number of 0 or more")),
        }
    }

    /// A duration in whole microseconds; a fraction of one is cut off.
    ///
    /// # Errors
    /// As [`JsonValue::number`].
    pub fn micros(&self) -> Result<u64, SettingsError> {
        Ok(self.number()? as u64)
    }

    /// A number from 0 to 1.
    ///
    /// # Errors
    /// The value is anything else.
    pub fn fraction(&self) -> Result<f32, SettingsError> {
        match self.value.as_f64() {
            Some(number) if (0.0..=1.0).contains(&number) => Ok(number as f32),
            _ => Err(self.unexpected("a share from 0 to 1")),
        }
    }

    /// True or false.
    ///
    /// # Errors
    /// The value is anything else.
    pub fn boolean(&self) -> Result<bool, SettingsError> {
        self.value
            .as_bool()
            .ok_or_else(|| self.unexpected("true or false"))
    }

    /// A string.
    ///
    /// # Errors
    /// The value is anything else.
    pub fn string(&self) -> Result<&'a str, SettingsError> {
        self.value.as_str().ok_or_else(|| self.unexpected("a word"))
    }

    /// The string, where the value is one.
    pub(crate) fn as_str(&self) -> Option<&'a str> {
        self.value.as_str()
    }

    /// The items of a list, in its order.
    ///
    /// # Errors
    /// The value is no list.
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

    /// What the string means by a table of all strings that are accepted.
    ///
    /// # Errors
    /// The value is no string, or one that is not in the table.
    pub(crate) fn one_of<T: Copy>(&self, meanings: &[(&str, T)]) -> Result<T, SettingsError> {
        let word = self.string()?;
        match meanings.iter().find(|(known, _)| *known == word) {
            Some((_, meaning)) => Ok(*meaning),
            None => Err(self.unexpected(alternatives(meanings))),
        }
    }
}

/// The strings of a table in words: `a, b or c`.
fn alternatives<T>(meanings: &[(&str, T)]) -> String {
    let words: Vec<&str> = meanings.iter().map(|(word, _)| *word).collect();
    match words.split_last() {
        Some((last, [])) => (*last).to_string(),
        Some((last, others)) => format!("{} or {last}", others.join(", ")),
        None => String::new(),
    }
}
