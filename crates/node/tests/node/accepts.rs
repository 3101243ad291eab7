//! Ends that come right after a connection was accepted: of the node, which is started again under its
//! address at once, and of the connection.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use doortrack_fakes::MAX_WAIT;
use doortrack_fakes::caller::{CallerOutcome, CallerRequest, PendingAnswer};
use doortrack_fakes::fixture::{NodeFixture, NodeSetup, connect};
use doortrack_fakes::server::{Behavior, Server};
use doortrack_protocols::Protocol::{self, FastCgi, Uwsgi};
use serde_json::json;

/// Starts a node under these addresses, whatever had them before. It keeps its files apart from that one.
fn start_at(at: SocketAddr, front: SocketAddr, server: &Server) -> NodeFixture {
    let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    plan.config["listen"] = json!(at.to_string());
    plan.config["stop_ms"] = json!(500);
    plan.installation = Some(json!({
        "fronts": [{"protocol": "uwsgi", "listen": front.to_string()}],
        "servers": {"protocol": "fastcgi", "addresses": [server.address.to_string()], "at_once": 8}
    }));
    plan.start()
}

/// Asks until one request is completed: a process that is about to end may still take the first in.
fn until_completed(at: SocketAddr, protocol: Protocol, first: u64) {
    let until = Instant::now() + MAX_WAIT;
    for nth in first.. {
        let ask = CallerRequest::new(nth, "/svc/look", b"body");
        if let Ok(pending) = ask.try_send(at, protocol)
            && matches!(pending.outcome(), CallerOutcome::Completed(_))
        {
            return;
        }
        assert!(Instant::now() < until, "{at} is never served again");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_node_killed_right_after_an_accept_serves_again_under_its_address_at_once() {
    let server = Server::start(FastCgi, |_| Behavior::ok("done"));
    let plan = NodeSetup::new("unused");
    let (at, front) = (plan.address, plan.port(9092));
    let mut fixture = start_at(at, front, &server);
    let whole = CallerRequest::new(1, "/svc/look", b"body").bytes(FastCgi);
    for (round, sent) in [0, 5, 100, whole.len()].into_iter().enumerate() {
        let mut sock = connect(at);
        sock.write_all(&whole[..sent]).unwrap();
        // Nobody waits for the end of the process that is killed.
        fixture.signal("-KILL");
        let next = start_at(at, front, &server);
        until_completed(at, FastCgi, 1_000 * (round as u64 + 1));
        until_completed(front, Uwsgi, 1_000 * (round as u64 + 1) + 500);
        assert_eq!(
            std::mem::replace(&mut fixture, next).wait_for_exit().0,
            None,
            "it was killed"
        );
        drop(sock);
    }
    fixture.signal("-TERM");
    let (code, log) = fixture.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
}

/// Found by the test above, in 2 of 60 plays beside builds: a process that was sent SIGKILL has its listeners
/// until the system gets round to it. One that stands still is such a process for as long as the test likes.
#[test]
fn a_node_started_while_the_one_before_still_has_the_addresses_serves_once_that_has_gone() {
    let server = Server::start(FastCgi, |_| Behavior::ok("done"));
    let plan = NodeSetup::new("unused");
    let (at, front) = (plan.address, plan.port(9092));
    let before = start_at(at, front, &server);
    until_completed(at, FastCgi, 1);
    before.signal("-STOP");
    let fixture = start_at(at, front, &server);
    std::thread::sleep(Duration::from_millis(300));
    before.signal("-KILL");
    assert_eq!(before.wait_for_exit().0, None, "it was killed");
    until_completed(at, FastCgi, 1_000);
    until_completed(front, Uwsgi, 2_000);
    fixture.signal("-TERM");
    let (code, log) = fixture.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
}

/// Closes right after the connection was accepted, in each way that there is.
fn comes_and_goes(nth: u64, at: SocketAddr, protocol: Protocol) {
    let mut sock = TcpStream::connect(at).unwrap();
    let check = CallerRequest::new(nth, "/status/live", b"").bytes(protocol);
    let look = CallerRequest::new(nth, "/svc/look", b"body").bytes(protocol);
    let (bytes, resets) = match nth % 6 {
        0 => (&[][..], false),
        1 => (&[][..], true),
        2 => (&look[..look.len() / 2], true),
        3 => (&look[..look.len() / 2], false),
        4 => (&check[..], true),
        _ => (&look[..], true),
    };
    sock.write_all(bytes).unwrap();
    if resets {
        PendingAnswer { sock, protocol }.reset();
    }
}

#[test]
fn hundreds_that_come_and_go_take_nothing_from_what_was_read_before() {
    let server = Server::start(FastCgi, |got| {
        let after = Duration::from_millis(if got.body == b"slow" { 1_500 } else { 0 });
        Behavior::Answer {
            status: "200 OK",
            body: b"done".to_vec(),
            after,
        }
    });
    let plan = NodeSetup::new("unused");
    let (at, front) = (plan.address, plan.port(9092));
    let fixture = start_at(at, front, &server);
    until_completed(at, FastCgi, 1);
    let descriptors = || {
        std::fs::read_dir(format!("/proc/{}/fd", fixture.program.id()))
            .unwrap()
            .count()
    };
    let slow: Vec<PendingAnswer> = [(at, FastCgi), (front, Uwsgi)]
        .into_iter()
        .zip(500..)
        .map(|((at, protocol), nth)| {
            CallerRequest::new(nth, "/svc/look", b"slow").send(at, protocol)
        })
        .collect();
    // In hand before the others come: beside them it could be rejected, which is no fault.
    let until = Instant::now() + MAX_WAIT;
    while server
        .received()
        .iter()
        .filter(|got| got.body == b"slow")
        .count()
        < 2
    {
        assert!(Instant::now() < until, "the slow ones are not run");
        std::thread::sleep(Duration::from_millis(5));
    }
    let before = descriptors();
    for nth in 10_000..10_600 {
        let (at, protocol) = if nth / 6 % 2 == 0 {
            (at, FastCgi)
        } else {
            (front, Uwsgi)
        };
        comes_and_goes(nth, at, protocol);
    }
    for pending in slow {
        assert_eq!(pending.outcome(), CallerOutcome::Completed(b"done".into()));
    }
    until_completed(at, FastCgi, 20_000);
    until_completed(front, Uwsgi, 20_500);
    // Connections to the server are kept: at most as many as it is given at once.
    let until = Instant::now() + MAX_WAIT;
    while descriptors() > before + 8 {
        assert!(
            Instant::now() < until,
            "{before} descriptors, then {}",
            descriptors()
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    fixture.signal("-TERM");
    let (code, log) = fixture.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(!log.contains("panicked"), "{log}");
}
