//! Callers reconnect continuously while a node closes its listener. Each connection must be answered or refused;
//! a caller whose connection is refused knows that nothing ran.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use doortrack_fakes::MAX_WAIT;
use doortrack_fakes::caller::CallerRequest;
use doortrack_protocols::Protocol::FastCgi;
use serde_json::json;

use super::reload_with_shutdown::wait_for_clean_exit;
use super::sockets::up_with;

const STOP_MS: u64 = 500;
/// Delay after the shutdown signal; the listener is closed 100 ms before the stop time.
const CONNECT_DELAY: Duration = Duration::from_millis(360);
const CALLER_COUNT: u64 = 8;
const DRAIN_COUNT: usize = 8;

#[derive(Debug, Default)]
struct CallCounts {
    answered: usize,
    lost: usize,
}

/// Sends each request on its own connection until a connection is refused.
fn call_until_refused(address: SocketAddr, caller: u64) -> CallCounts {
    let (mut counts, until) = (CallCounts::default(), Instant::now() + MAX_WAIT);
    for nth in 1.. {
        assert!(
            Instant::now() < until,
            "connections are never refused: {counts:?}"
        );
        let Ok(mut sock) = TcpStream::connect(address) else {
            break;
        };
        sock.set_read_timeout(Some(MAX_WAIT)).unwrap();
        let request = CallerRequest::new((caller << 32) + nth, "/svc/look", b"");
        let mut answer = Vec::new();
        let sent = sock.write_all(&request.bytes(FastCgi));
        _ = sent.and_then(|()| sock.read_to_end(&mut answer));
        if answer.is_empty() {
            counts.lost += 1;
        } else {
            counts.answered += 1;
        }
    }
    counts
}

/// Guards against losing a connection that the system accepts between the last accept and the close of the listener.
#[test]
fn connections_during_the_listener_close_are_answered_or_refused() {
    let (mut answered, mut lost) = (0, 0);
    for _ in 0..DRAIN_COUNT {
        let (fixture, _engine) = up_with(|config| {
            config["stop_ms"] = json!(STOP_MS);
            config["settings"]["safety"]["drain_grace"] = json!(0);
        });
        fixture.signal("-TERM");
        std::thread::sleep(CONNECT_DELAY);
        let address = fixture.address;
        let callers = (0..CALLER_COUNT)
            .map(|caller| std::thread::spawn(move || call_until_refused(address, caller)));
        for caller in callers.collect::<Vec<_>>() {
            let counts = caller.join().unwrap();
            answered += counts.answered;
            lost += counts.lost;
        }
        wait_for_clean_exit(fixture);
    }
    assert_eq!(lost, 0, "requests lost, {answered} answered");
}
