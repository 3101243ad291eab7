//! The request data that expressions can access.

use std::net::{IpAddr, Ipv4Addr};

/// A request as received by its listener. Texts are not decoded.
pub trait Request {
    /// The method, such as `POST`.
    fn method(&self) -> &str;
    /// The path, without the query.
    fn path(&self) -> &str;
    /// The part after the question mark; empty if there is none.
    fn query(&self) -> &str;
    /// The value of a variable by its CGI name; `None` if the variable is absent, or repeated, since two readers
    /// could pick different values.
    fn variable(&self, name: &str) -> Option<&[u8]>;
    /// The first bytes of the body.
    fn body(&self) -> &[u8];
    /// Length of the whole body, in bytes.
    fn body_length(&self) -> u64;
    /// The name of the listener that received the request.
    fn front(&self) -> &str;
    /// The caller's address.
    fn peer(&self) -> IpAddr;
    /// Microseconds since midnight, UTC.
    fn time_of_day(&self) -> i64;
}

/// Returns the CGI variable name of a header, such as `HTTP_X_YARD` for `x-yard`.
pub fn cgi_name(header: &str) -> String {
    let variable: String = header
        .chars()
        .map(|c| {
            if c == '-' {
                '_'
            } else {
                c.to_ascii_uppercase()
            }
        })
        .collect();
    match variable.as_str() {
        "CONTENT_TYPE" | "CONTENT_LENGTH" => variable,
        _ => format!("HTTP_{variable}"),
    }
}

/// A request given by its fields, for trying out expressions and for tests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiteralRequest {
    /// The method.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// The part after the question mark.
    pub query: String,
    /// Variables by their CGI names, in order; names may repeat.
    pub variables: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
    /// The name of the listener.
    pub front: String,
    /// The caller's address.
    pub peer: IpAddr,
    /// Microseconds since midnight, UTC.
    pub time_of_day: i64,
}

impl Default for LiteralRequest {
    fn default() -> Self {
        LiteralRequest {
            method: "POST".into(),
            path: "/".into(),
            query: String::new(),
            variables: Vec::new(),
            body: Vec::new(),
            front: "fastcgi".into(),
            peer: Ipv4Addr::LOCALHOST.into(),
            time_of_day: 0,
        }
    }
}

impl LiteralRequest {
    /// An example booking request for benches and tests.
    pub fn example() -> LiteralRequest {
        LiteralRequest {
            path: "/book/north/berth-4".into(),
            query: "day=sat&boat=12".into(),
            body: b"berth=4;nights=2".to_vec(),
            peer: Ipv4Addr::new(10, 1, 2, 3).into(),
            ..LiteralRequest::default()
        }
        .header("host", "x")
        .header("accept", "*")
        .header("x-yard", "North")
    }

    /// Adds a header, named as in HTTP.
    pub fn header(mut self, name: &str, value: impl Into<Vec<u8>>) -> LiteralRequest {
        self.variables.push((cgi_name(name), value.into()));
        self
    }
}

impl Request for LiteralRequest {
    fn method(&self) -> &str {
        &self.method
    }

    fn path(&self) -> &str {
        &self.path
    }

    fn query(&self) -> &str {
        &self.query
    }

    fn variable(&self, name: &str) -> Option<&[u8]> {
        let mut found = self.variables.iter().filter(|(other, _)| other == name);
        match (found.next(), found.next()) {
            (Some((_, value)), None) => Some(value),
            _ => None,
        }
    }

    fn body(&self) -> &[u8] {
        &self.body
    }

    fn body_length(&self) -> u64 {
        self.body.len() as u64
    }

    fn front(&self) -> &str {
        &self.front
    }

    fn peer(&self) -> IpAddr {
        self.peer
    }

    fn time_of_day(&self) -> i64 {
        self.time_of_day
    }
}
