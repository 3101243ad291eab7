//! The view of a request that the expressions of rules evaluate.

use std::net::IpAddr;

use doortrack_expr::Request;
use doortrack_protocols::Variable;
use doortrack_time::{MILLISECOND, TenthMillis};

use super::Origin;
use crate::network::request::{Fields, Unreadable};

const DAY: TenthMillis = 86_400_000 * MILLISECOND;
const MICROSECONDS_PER_TENTH_MILLI: i64 = 100;

/// A view of a decoded request that borrows all its parts.
pub(super) struct RequestView<'r> {
    pairs: &'r [Variable<'r>],
    method: &'r str,
    path: &'r str,
    query: &'r str,
    body: &'r [u8],
    origin: Origin,
}

impl<'r> RequestView<'r> {
    /// # Errors
    /// A variable that contributes to the path, the query or the method is duplicated or not UTF-8.
    pub(super) fn new(
        pairs: &'r [Variable<'r>],
        body: &'r [u8],
        origin: Origin,
    ) -> Result<RequestView<'r>, Unreadable> {
        let fields = Fields(pairs);
        let text = |name| Ok(fields.find(name)?.unwrap_or_default());
        let uri = text("REQUEST_URI")?;
        let script = text("SCRIPT_NAME")?;
        let rest = text("PATH_INFO")?;
        let (uri_path, uri_query) = uri.split_once('?').unwrap_or((uri, ""));
        Ok(RequestView {
            pairs,
            query: fields.find("QUERY_STRING")?.unwrap_or(uri_query),
            method: text("REQUEST_METHOD")?,
            path: path(uri_path, script, rest),
            body,
            origin,
        })
    }
}

/// Returns the path of the request's URI if the front end forwards it; otherwise `SCRIPT_NAME` or `PATH_INFO`, one
/// of which is usually empty.
fn path<'r>(uri_path: &'r str, script: &'r str, rest: &'r str) -> &'r str {
    match (uri_path, script) {
        ("", "") => rest,
        // If both are set, the full path would have to be concatenated, which the borrowed view cannot do;
        // `SCRIPT_NAME` is used alone.
        ("", script) => script,
        (uri_path, _) => uri_path,
    }
}

impl Request for RequestView<'_> {
    fn method(&self) -> &str {
        self.method
    }

    fn path(&self) -> &str {
        self.path
    }

    fn query(&self) -> &str {
        self.query
    }

    fn variable(&self, name: &str) -> Option<&[u8]> {
        let mut values = self
            .pairs
            .iter()
            .filter(|(field, _)| *field == name.as_bytes());
        match (values.next(), values.next()) {
            (Some((_, value)), None) => Some(value),
            _ => None,
        }
    }

    fn body(&self) -> &[u8] {
        self.body
    }

    fn body_length(&self) -> u64 {
        self.body.len() as u64
    }

    fn front(&self) -> &str {
        self.origin.protocol.name()
    }

    fn peer(&self) -> IpAddr {
        self.origin.peer
    }

    fn time_of_day(&self) -> i64 {
        (self.origin.wall_time % DAY) as i64 * MICROSECONDS_PER_TENTH_MILLI
    }
}
