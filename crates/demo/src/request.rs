//! A caller that sends one request over FastCGI or uwsgi and prints the answer.

use std::io;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use doortrack_fakes::caller::{CallerOutcome, CallerRequest};
use doortrack_protocols::Protocol;

/// Memory that the request declares it needs, in kB.
const MEMORY_KB: &str = "20";

/// The parts of a request that are given on the command line.
pub struct Request<'a> {
    /// The endpoint group, which determines the path.
    pub group: &'a str,
    /// The request body.
    pub text: &'a str,
    /// The tenant that sends the request.
    pub tenant: &'a str,
    /// The idempotency key, if any.
    pub idempotency_key: Option<&'a str>,
}

/// Sends a request and prints the answer.
///
/// # Errors
/// Returns an error if the connection fails.
pub fn send(node: SocketAddr, protocol: Protocol, request: &Request) -> io::Result<()> {
    let unix_time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_err(io::Error::other)?;
    // A timestamp is unique enough for requests that are sent by hand.
    let attempt = unix_time.as_nanos() as u64;
    let path = format!("/svc/{}", request.group);
    let mut message = CallerRequest::new(attempt, &path, request.text.as_bytes())
        .with("HTTP_X_TENANT", request.tenant)
        .with("HTTP_X_MEMORY_KB", MEMORY_KB);
    if let Some(key) = request.idempotency_key {
        message = message.with("HTTP_IDEMPOTENCY_KEY", key);
    }
    let (answer, headers) = message.try_send(node, protocol)?.outcome_with_headers();
    for (name, value) in headers {
        println!("{name}: {value}");
    }
    println!("{}", describe(&answer));
    Ok(())
}

fn describe(answer: &CallerOutcome) -> String {
    match answer {
        CallerOutcome::Completed(body) => format!("completed: {}", String::from_utf8_lossy(body)),
        CallerOutcome::Rejected {
            retry_after: Some(ms),
            ..
        } => format!("rejected: it never ran; retry after {ms} ms"),
        CallerOutcome::Rejected {
            retry_after: None, ..
        } => "rejected: it never ran".into(),
        CallerOutcome::Failed => "failed: it may have run".into(),
        CallerOutcome::Unreadable(status, error) => format!("unreadable answer: {status} {error}"),
        CallerOutcome::Nothing => "the connection ended without an answer".into(),
    }
}
