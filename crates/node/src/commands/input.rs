//! A request as operators write it down in JSON, to try expressions and rules on it.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::path::Path;

use doortrack_config::{ConfigErrors, deserialize};
use doortrack_expr::LiteralRequest;
use serde::Deserialize;
use serde_json::Value;

/// What is not said is as in a request with nothing in it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestFile {
    method: String,
    path: String,
    query: String,
    /// Named as in HTTP.
    headers: BTreeMap<String, String>,
    /// By their CGI names.
    variables: BTreeMap<String, String>,
    body: String,
    front: String,
    peer: IpAddr,
    /// Hours, minutes and seconds since midnight, UTC: `09:30:00`.
    time_of_day: String,
}

impl Default for RequestFile {
    fn default() -> Self {
        let text = String::new;
        let (method, path, front) = ("POST".into(), "/".into(), "uwsgi".into());
        let (headers, variables, peer) =
            (BTreeMap::new(), BTreeMap::new(), Ipv4Addr::LOCALHOST.into());
        let (query, body, time_of_day) = (text(), text(), "00:00:00".into());
        RequestFile {
            method,
            path,
            query,
            headers,
            variables,
            body,
            front,
            peer,
            time_of_day,
        }
    }
}

impl RequestFile {
    pub fn request(&self, at: &str) -> Result<LiteralRequest, ConfigErrors> {
        let parts: Vec<Option<i64>> = self
            .time_of_day
            .split(':')
            .map(|part| part.parse().ok())
            .collect();
        let (Some(Some(hours)), Some(Some(minutes)), seconds, None) =
            (parts.first(), parts.get(1), parts.get(2), parts.get(3))
        else {
            return Err(ConfigErrors::one(
                format!("{at}.time_of_day"),
                "a time as 09:30 or 09:30:00 is wanted",
            ));
        };
        let seconds = seconds.copied().flatten().unwrap_or(0);
        let request = LiteralRequest {
            method: self.method.clone(),
            path: self.path.clone(),
            query: self.query.clone(),
            variables: self
                .variables
                .iter()
                .map(|(name, value)| (name.clone(), value.clone().into()))
                .collect(),
            body: self.body.clone().into(),
            front: self.front.clone(),
            peer: self.peer,
            time_of_day: ((hours * 60 + minutes) * 60 + seconds) * 1_000_000,
        };
        Ok(self.headers.iter().fold(request, |request, (name, value)| {
            request.header(name, value.as_str())
        }))
    }
}

/// A JSON file; `name` stands for it in faults.
pub fn json(path: &Path, name: &str) -> Result<Value, ConfigErrors> {
    let text = std::fs::read(path)
        .map_err(|e| ConfigErrors::one(path.display().to_string(), e.to_string()))?;
    serde_json::from_slice(&text).map_err(|e| ConfigErrors::one(name, format!("not JSON: {e}")))
}

pub fn read(path: &Path) -> Result<LiteralRequest, ConfigErrors> {
    let file: RequestFile = deserialize::all_errors(&json(path, "request")?, "request")?;
    file.request("request")
}
