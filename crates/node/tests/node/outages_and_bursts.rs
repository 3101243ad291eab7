//! Peers that fall silent and come back: the registry some time after the start and over a drain, and callers
//! that all come at once after a time in which nothing came.

use std::net::UdpSocket;

use doortrack_fakes::caller::{CallerOutcome, CallerRequest, PendingAnswer};
use doortrack_fakes::fixture::{NodeFixture, NodeSetup, open_registry};
use doortrack_fakes::immediate;
use doortrack_fakes::{MAX_WAIT, unix_ms};
use doortrack_node::network::registry::Registry;
use doortrack_protocols::Protocol::{FastCgi, Uwsgi};
use serde_json::json;

use super::sockets::up_with;

fn sleep_ms(ms: u64) {
    std::thread::sleep(std::time::Duration::from_millis(ms));
}

/// Nobody has the registry's address from here on.
fn registry_goes(fixture: &mut NodeFixture) -> std::net::SocketAddr {
    let at = fixture.registry.local_addr().unwrap();
    fixture.registry = open_registry();
    at
}

/// It is back where it was.
fn registry_comes_back(fixture: &mut NodeFixture, at: std::net::SocketAddr) {
    fixture.registry = UdpSocket::bind(at).unwrap();
    fixture.registry.set_read_timeout(Some(MAX_WAIT)).unwrap();
}

#[test]
fn a_registry_that_goes_late_and_comes_back_during_the_drain_is_told_and_costs_nothing() {
    let (mut fixture, mut engine) = up_with(|config| config["stop_ms"] = json!(2_000));
    let mut client = fixture.client();
    fixture.wait_for_report("ready");
    let at = registry_goes(&mut fixture);
    client.send_look(1, 1);
    let (first, _) = engine.next_run();
    // Reports go out every 0.3 s, so some are refused meanwhile.
    sleep_ms(700);
    engine.finish_run(&first, "OK", b"as ever");
    assert_eq!(client.reply().body, b"as ever");
    client.send_look(2, 2);
    let (second, _) = engine.next_run();
    fixture.signal("-TERM");
    registry_comes_back(&mut fixture, at);
    fixture.wait_for_report("draining");
    engine.finish_run(&second, "OK", b"in time");
    assert_eq!(client.reply().body, b"in time");
    // It goes once more, for good, and the drain ends all the same.
    registry_goes(&mut fixture);
    assert!(client.is_closed());
    assert_eq!(fixture.wait_for_exit().0, Some(0));
}

/// Found by reading: the system keeps the refusal of one datagram and gives it to the next, which is not
/// sent.
#[test]
fn the_report_after_one_that_was_refused_goes_out() {
    let list = UdpSocket::bind("127.0.0.1:0").unwrap();
    let (own, at) = ("127.0.0.1:9".parse().unwrap(), list.local_addr().unwrap());
    drop(list);
    let mut registry = Registry::open(own, at, "n1".into()).unwrap();
    registry.heartbeat(0);
    let list = UdpSocket::bind(at).unwrap();
    list.set_read_timeout(Some(MAX_WAIT)).unwrap();
    registry.set_draining(true);
    registry.heartbeat(1);
    let mut text = [0; 64];
    let n = list.recv(&mut text).unwrap();
    assert_eq!(&text[..n], b"BEAT n1 draining");
}

#[test]
fn callers_that_come_all_at_once_after_a_silence_are_served_or_rejected_at_once() {
    const CALLERS: u64 = 120;
    let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    let fronts = [(FastCgi, plan.port(9091)), (Uwsgi, plan.port(9092))];
    let listed =
        fronts.map(|(protocol, at)| json!({"protocol": protocol.name(), "listen": at.to_string()}));
    plan.installation = Some(json!({"fronts": listed}));
    plan.config["stop_ms"] = json!(300);
    let fixture = plan.start();
    immediate::start_engine(fixture.engine_listener.try_clone().unwrap());
    super::partial_requests::until_served(fronts[0].1);
    for burst in 0..3 {
        // They come while the node stands still, so that it reads all of them in one turn.
        fixture.signal("-STOP");
        let waits: Vec<PendingAnswer> = (0..CALLERS)
            .map(|n| {
                let (protocol, at) = fronts[n as usize % 2];
                CallerRequest::new((burst + 1) * 10_000 + n, "/svc/look", b"body")
                    .send(at, protocol)
            })
            .collect();
        sleep_ms(300);
        fixture.signal("-CONT");
        let woken = unix_ms();
        let seen: Vec<CallerOutcome> = waits.into_iter().map(PendingAnswer::outcome).collect();
        let took = unix_ms() - woken;
        let completed = seen
            .iter()
            .filter(|seen| matches!(seen, CallerOutcome::Completed(_)))
            .count();
        let rejected = seen
            .iter()
            .filter(|seen| matches!(seen, CallerOutcome::Rejected { .. }))
            .count();
        assert_eq!(completed + rejected, CALLERS as usize, "{seen:?}");
        assert!(completed > 0, "{seen:?}");
        // Their deadline is 30 s; runs take no time here, so nothing is to wait for it.
        assert!(took < 10_000, "{took} ms");
    }
    fixture.signal("-TERM");
    assert_eq!(fixture.wait_for_exit().0, Some(0));
}
