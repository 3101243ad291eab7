//! Registry outages while the node runs and drains, and bursts of callers after a time without requests.

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

/// Closes the registry's socket, so that nobody listens on its address any more, and returns that address.
fn close_registry(fixture: &mut NodeFixture) -> std::net::SocketAddr {
    let address = fixture.registry.local_addr().unwrap();
    fixture.registry = open_registry();
    address
}

/// Opens the registry again on its former address.
fn reopen_registry(fixture: &mut NodeFixture, address: std::net::SocketAddr) {
    fixture.registry = UdpSocket::bind(address).unwrap();
    fixture.registry.set_read_timeout(Some(MAX_WAIT)).unwrap();
}

#[test]
fn a_registry_that_returns_during_the_drain_is_told_of_it_and_its_outage_fails_no_request() {
    let (mut fixture, mut engine) = up_with(|config| config["stop_ms"] = json!(2_000));
    let mut client = fixture.client();
    fixture.wait_for_report("ready");
    let registry_address = close_registry(&mut fixture);
    client.send_look(1, 1);
    let (first, _) = engine.next_run();
    // Reports go out every 0.3 s, so some are refused in this time.
    sleep_ms(700);
    engine.finish_run(&first, "OK", b"as ever");
    assert_eq!(client.reply().body, b"as ever");
    client.send_look(2, 2);
    let (second, _) = engine.next_run();
    fixture.signal("-TERM");
    reopen_registry(&mut fixture, registry_address);
    fixture.wait_for_report("draining");
    engine.finish_run(&second, "OK", b"in time");
    assert_eq!(client.reply().body, b"in time");
    // The registry closes again for good; the drain still ends.
    close_registry(&mut fixture);
    assert!(client.is_closed());
    assert_eq!(fixture.wait_for_exit().0, Some(0));
}

/// Guards against a lost report: the system keeps the refusal of one datagram and returns it when the next is
/// sent, which then does not go out.
#[test]
fn the_report_after_a_refused_one_is_sent() {
    let registry_socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let (own_address, registry_address) = (
        "127.0.0.1:9".parse().unwrap(),
        registry_socket.local_addr().unwrap(),
    );
    drop(registry_socket);
    let mut registry = Registry::open(own_address, registry_address, "n1".into()).unwrap();
    registry.heartbeat(0);
    let registry_socket = UdpSocket::bind(registry_address).unwrap();
    registry_socket.set_read_timeout(Some(MAX_WAIT)).unwrap();
    registry.set_draining(true);
    registry.heartbeat(1);
    let mut text = [0; 64];
    let length = registry_socket.recv(&mut text).unwrap();
    assert_eq!(&text[..length], b"BEAT n1 draining");
}

#[test]
fn a_burst_of_callers_after_an_idle_time_is_served_or_rejected_at_once() {
    const CALLERS: u64 = 120;
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    let listeners = [(FastCgi, setup.port(9091)), (Uwsgi, setup.port(9092))];
    let listener_settings = listeners.map(
        |(protocol, address)| json!({"protocol": protocol.name(), "listen": address.to_string()}),
    );
    setup.installation = Some(json!({"fronts": listener_settings}));
    setup.config["stop_ms"] = json!(300);
    let fixture = setup.start();
    immediate::start_engine(fixture.engine_listener.try_clone().unwrap());
    super::partial_requests::wait_until_served(listeners[0].1);
    for burst in 0..3 {
        // The requests arrive while the node is stopped, so that it reads all of them in one turn.
        fixture.signal("-STOP");
        let pending: Vec<PendingAnswer> = (0..CALLERS)
            .map(|index| {
                let (protocol, address) = listeners[index as usize % 2];
                CallerRequest::new((burst + 1) * 10_000 + index, "/svc/look", b"body")
                    .send(address, protocol)
            })
            .collect();
        sleep_ms(300);
        fixture.signal("-CONT");
        let resumed_at = unix_ms();
        let outcomes: Vec<CallerOutcome> =
            pending.into_iter().map(PendingAnswer::outcome).collect();
        let elapsed_ms = unix_ms() - resumed_at;
        let completed = outcomes
            .iter()
            .filter(|outcome| matches!(outcome, CallerOutcome::Completed(_)))
            .count();
        let rejected = outcomes
            .iter()
            .filter(|outcome| matches!(outcome, CallerOutcome::Rejected { .. }))
            .count();
        assert_eq!(completed + rejected, CALLERS as usize, "{outcomes:?}");
        assert!(completed > 0, "{outcomes:?}");
        // The deadline is 30 s, but runs end at once here, so no request waits that long.
        assert!(elapsed_ms < 10_000, "{elapsed_ms} ms");
    }
    fixture.signal("-TERM");
    assert_eq!(fixture.wait_for_exit().0, Some(0));
}
