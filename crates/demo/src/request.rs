//! A toy caller: one request over either protocol, and its answer.

use std::io;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use doortrack_fakes::caller::{CallerOutcome, CallerRequest};
use doortrack_protocols::Protocol;

/// Memory that the request declares, in kB.
const MEMORY_KB: &str = "20";

/// A request as given on the command line.
pub struct Request<'a> {
    /// The group whose path it has.
    pub group: &'a str,
    /// The body.
    pub text: &'a str,
    /// The tenant that sends it.
    pub tenant: &'a str,
    /// The idempotency key, if it has one.
    pub idempotency_key: Option<&'a str>,
}

/// Sends a request and prints the answer.
///
/// # Errors
/// Those of the connection.
pub fn send(node: SocketAddr, protocol: Protocol, request: &Request) -> io::Result<()> {
    let unix_time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_err(io::Error::other)?;
    // Unique enough for requests typed by hand.
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
        } => format!("rejected: it never ran; come back in {ms} ms"),
        CallerOutcome::Rejected {
            retry_after: None, ..
        } => "rejected: it never ran".into(),
        CallerOutcome::Failed => "failed: it may have run".into(),
        CallerOutcome::Unreadable(status, error) => format!("not understood: {status} {error}"),
        CallerOutcome::Nothing => "the connection ended without an answer".into(),
    }
}
