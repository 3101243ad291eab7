//! Callers who connect again and again while a node closes its listener: whoever is connected is answered, and whoever
//! is refused knows that nothing ran.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use doortrack_fakes::MAX_WAIT;
use doortrack_fakes::caller::CallerRequest;
use doortrack_protocols::Protocol::FastCgi;
use serde_json::json;

use super::reload_with_shutdown::ends_well;
use super::sockets::up_with;

const STOP_MS: u64 = 500;
/// From the notice on; the listener is closed 100 ms before the stop.
const CROWD_AFTER: Duration = Duration::from_millis(360);
const CALLERS: u64 = 8;
const DRAINS: usize = 8;

#[derive(Debug, Default)]
struct Seen {
    answered: usize,
    lost: usize,
}

/// Sends requests on a connection each until one is refused.
fn call_until_refused(address: SocketAddr, caller: u64) -> Seen {
    let (mut seen, until) = (Seen::default(), Instant::now() + MAX_WAIT);
    for nth in 1.. {
        assert!(Instant::now() < until, "never refused: {seen:?}");
        let Ok(mut sock) = TcpStream::connect(address) else {
            break;
        };
        sock.set_read_timeout(Some(MAX_WAIT)).unwrap();
        let request = CallerRequest::new((caller << 32) + nth, "/svc/look", b"");
        let mut answer = Vec::new();
        let sent = sock.write_all(&request.bytes(FastCgi));
        _ = sent.and_then(|()| sock.read_to_end(&mut answer));
        if answer.is_empty() {
            seen.lost += 1;
        } else {
            seen.answered += 1;
        }
    }
    seen
}

/// Guards against a connection that the system accepts between the last look at the backlog and the listener's close.
#[test]
fn who_connects_while_the_listener_closes_is_answered_or_refused() {
    let (mut answered, mut lost) = (0, 0);
    for _ in 0..DRAINS {
        let (fixture, _engine) = up_with(|config| {
            config["stop_ms"] = json!(STOP_MS);
            config["settings"]["safety"]["drain_grace"] = json!(0);
        });
        fixture.signal("-TERM");
        std::thread::sleep(CROWD_AFTER);
        let address = fixture.address;
        let crowd = (0..CALLERS)
            .map(|caller| std::thread::spawn(move || call_until_refused(address, caller)));
        for caller in crowd.collect::<Vec<_>>() {
            let seen = caller.join().unwrap();
            answered += seen.answered;
            lost += seen.lost;
        }
        ends_well(fixture);
    }
    assert_eq!(lost, 0, "beside {answered} answered");
}
