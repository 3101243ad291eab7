//! A toy caller: one request over either protocol, and its answer.

use std::io;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use doortrack_fakes::caller::{Ask, Seen};
use doortrack_protocols::Protocol;

/// What a person at a keyboard says of a request.
pub struct Wish<'a> {
    pub group: &'a str,
    pub text: &'a str,
    pub tenant: &'a str,
    pub idempotency_key: Option<&'a str>,
}

pub fn ask(node: SocketAddr, protocol: Protocol, wish: Wish) -> io::Result<()> {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_err(io::Error::other)?;
    let script = format!("/svc/{}", wish.group);
    // Any name that is new with each try; the clock's will do for a person at a keyboard.
    let mut ask = Ask::new(since.as_nanos() as u64, &script, wish.text.as_bytes())
        .with("HTTP_X_TENANT", wish.tenant)
        .with("HTTP_X_MEMORY_KB", "20");
    if let Some(key) = wish.idempotency_key {
        ask = ask.with("HTTP_IDEMPOTENCY_KEY", key);
    }
    let (seen, headers) = ask.try_send(node, protocol)?.seen_whole();
    for (name, value) in headers {
        println!("{name}: {value}");
    }
    match seen {
        Seen::Completed(body) => println!("completed: {}", String::from_utf8_lossy(&body)),
        Seen::Rejected {
            retry_after: Some(ms),
            ..
        } => {
            println!("rejected: it never ran; come back in {ms} ms")
        }
        Seen::Rejected {
            retry_after: None, ..
        } => println!("rejected: it never ran"),
        Seen::Failed => println!("failed: it may have run"),
        Seen::Unreadable(status, what) => println!("not understood: {status} {what}"),
        Seen::Nothing => println!("the connection ended without an answer"),
    }
    Ok(())
}
