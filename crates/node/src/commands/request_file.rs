//! Requests in JSON files, for testing expressions and rules.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::path::Path;

use doortrack_config::{ConfigErrors, deserialize};
use doortrack_expr::LiteralRequest;
use serde::Deserialize;
use serde_json::Value;

const MICROSECONDS_PER_SECOND: i64 = 1_000_000;

/// A request in JSON. Absent fields have the values of an empty request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestFile {
    method: String,
    path: String,
    query: String,
    /// Headers by HTTP name.
    headers: BTreeMap<String, String>,
    /// Variables by CGI name.
    variables: BTreeMap<String, String>,
    body: String,
    front: String,
    peer: IpAddr,
    /// Time of day in UTC, as `09:30` or `09:30:00`.
    time_of_day: String,
}

impl Default for RequestFile {
    fn default() -> Self {
        RequestFile {
            method: "POST".into(),
            path: "/".into(),
            query: String::new(),
            headers: BTreeMap::new(),
            variables: BTreeMap::new(),
            body: String::new(),
            front: "uwsgi".into(),
            peer: Ipv4Addr::LOCALHOST.into(),
            time_of_day: "00:00:00".into(),
        }
    }
}

impl RequestFile {
    /// Converts to a request. `path` is the path of this value in its file, for errors.
    ///
    /// # Errors
    /// The time of day is invalid.
    pub fn request(&self, path: &str) -> Result<LiteralRequest, ConfigErrors> {
        let seconds = seconds_since_midnight(&self.time_of_day).ok_or_else(|| {
            ConfigErrors::one(
                format!("{path}.time_of_day"),
                "a time as 09:30 or 09:30:00 is wanted",
            )
        })?;
        let variables = self
            .variables
            .iter()
            .map(|(name, value)| (name.clone(), value.clone().into()))
            .collect();
        let request = LiteralRequest {
            method: self.method.clone(),
            path: self.path.clone(),
            query: self.query.clone(),
            variables,
            body: self.body.clone().into(),
            front: self.front.clone(),
            peer: self.peer,
            time_of_day: seconds * MICROSECONDS_PER_SECOND,
        };
        Ok(self.headers.iter().fold(request, |request, (name, value)| {
            request.header(name, value.as_str())
        }))
    }
}

/// Parses `09:30` or `09:30:00`.
fn seconds_since_midnight(time: &str) -> Option<i64> {
    let parts: Option<Vec<i64>> = time.split(':').map(two_digits).collect();
    let (hours, minutes, seconds) = match parts?[..] {
        [hours, minutes] => (hours, minutes, 0),
        [hours, minutes, seconds] => (hours, minutes, seconds),
        _ => return None,
    };
    let is_time = hours < 24 && minutes < 60 && seconds < 60;
    is_time.then_some((hours * 60 + minutes) * 60 + seconds)
}

/// Parses one or two digits, without a sign.
fn two_digits(text: &str) -> Option<i64> {
    let are_digits = text.len() <= 2 && text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| are_digits)
}

/// Reads a JSON file. `name` identifies it in errors.
///
/// # Errors
/// The file can't be read, or is not JSON.
pub fn read_json(path: &Path, name: &str) -> Result<Value, ConfigErrors> {
    let text = std::fs::read(path)
        .map_err(|e| ConfigErrors::one(path.display().to_string(), e.to_string()))?;
    serde_json::from_slice(&text).map_err(|e| ConfigErrors::one(name, format!("not JSON: {e}")))
}

/// Reads a request from its file.
///
/// # Errors
/// Every error in the file, with the path of its key.
pub fn read_request(path: &Path) -> Result<LiteralRequest, ConfigErrors> {
    let file: RequestFile = deserialize::all_errors(&read_json(path, "request")?, "request")?;
    file.request("request")
}
