//! Typed access to the CGI variables of a request.

use std::str::FromStr;

use doortrack_protocols::Variable;
use doortrack_routes::{IdempotencyKey, PLATFORM_KEY_VARIABLE};

use super::Unreadable;

/// The variables of a request.
pub(in crate::network) struct Fields<'a>(pub(in crate::network) &'a [Variable<'a>]);

impl<'a> Fields<'a> {
    /// Returns a variable, if present. A duplicated variable is an error, as two readers could use different values.
    pub(in crate::network) fn find(
        &self,
        name: &'static str,
    ) -> Result<Option<&'a str>, Unreadable> {
        let mut values = self
            .0
            .iter()
            .filter(|(field, _)| *field == name.as_bytes())
            .map(|(_, value)| *value);
        match (values.next(), values.next()) {
            (None, _) => Ok(None),
            (Some(value), None) => std::str::from_utf8(value)
                .map(Some)
                .map_err(|_| Unreadable::Field(name)),
            (Some(_), Some(_)) => Err(Unreadable::Field(name)),
        }
    }

    /// Returns a required variable.
    pub(in crate::network) fn required(&self, name: &'static str) -> Result<&'a str, Unreadable> {
        self.find(name)?.ok_or(Unreadable::Field(name))
    }

    /// Returns a required number.
    pub(in crate::network) fn required_number<T: FromStr>(
        &self,
        name: &'static str,
    ) -> Result<T, Unreadable> {
        parse(self.required(name)?, name)
    }

    /// Returns a number, if present.
    pub(in crate::network) fn find_number<T: FromStr>(
        &self,
        name: &'static str,
    ) -> Result<Option<T>, Unreadable> {
        self.find(name)?.map(|text| parse(text, name)).transpose()
    }

    /// Returns `N` required hex digits.
    pub(in crate::network) fn required_hex<const N: usize>(
        &self,
        name: &'static str,
    ) -> Result<[u8; N], Unreadable> {
        parse_hex(self.required(name)?, name)
    }

    /// Returns `N` hex digits, if present.
    pub(in crate::network) fn find_hex<const N: usize>(
        &self,
        name: &'static str,
    ) -> Result<Option<[u8; N]>, Unreadable> {
        self.find(name)?
            .map(|text| parse_hex(text, name))
            .transpose()
    }

    /// Returns the platform's idempotency key, if present.
    pub(in crate::network) fn find_idempotency_key(
        &self,
    ) -> Result<Option<IdempotencyKey>, Unreadable> {
        let parse = |text: &str| {
            IdempotencyKey::platform(text.as_bytes())
                .ok_or(Unreadable::Field(PLATFORM_KEY_VARIABLE))
        };
        self.find(PLATFORM_KEY_VARIABLE)?.map(parse).transpose()
    }

    /// Returns the platform's idempotency key.
    pub(in crate::network) fn required_idempotency_key(
        &self,
    ) -> Result<IdempotencyKey, Unreadable> {
        self.find_idempotency_key()?
            .ok_or(Unreadable::Field(PLATFORM_KEY_VARIABLE))
    }

    /// Returns true if the request is a retry.
    pub(in crate::network) fn is_retry(&self) -> Result<bool, Unreadable> {
        Ok(self.find("HTTP_X_RETRY")? == Some("1"))
    }

    /// Returns the session key; 0 for none.
    pub(in crate::network) fn session_key(&self) -> Result<u64, Unreadable> {
        match self.find("HTTP_X_OBJECT")? {
            Some(text) if text.bytes().all(|b| b.is_ascii_hexdigit()) => {
                u64::from_str_radix(text, 16).map_err(|_| Unreadable::Field("HTTP_X_OBJECT"))
            }
            Some(_) => Err(Unreadable::Field("HTTP_X_OBJECT")),
            None => Ok(0),
        }
    }
}

fn parse<T: FromStr>(text: &str, name: &'static str) -> Result<T, Unreadable> {
    text.parse().map_err(|_| Unreadable::Field(name))
}

/// Returns `number` if it is `valid`; otherwise the error names the variable.
pub(super) fn in_range(number: f32, valid: bool, name: &'static str) -> Result<f32, Unreadable> {
    valid.then_some(number).ok_or(Unreadable::Field(name))
}

/// Parses exactly `N` hex digits and returns them as received.
fn parse_hex<const N: usize>(text: &str, name: &'static str) -> Result<[u8; N], Unreadable> {
    let digits = text
        .as_bytes()
        .try_into()
        .ok()
        .filter(|digits: &[u8; N]| digits.iter().all(u8::is_ascii_hexdigit));
    digits.ok_or(Unreadable::Field(name))
}
