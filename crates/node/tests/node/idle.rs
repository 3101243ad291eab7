//! Idle clients use up the node's descriptors while the registry is down: new requests still get in, and requests
//! that were read are answered. Each wait has a long limit, but an idle connection that is kept where it should be
//! evicted outlasts it by far.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use doortrack_fakes::caller::{CallerOutcome, CallerRequest};
use doortrack_fakes::engine::Engine;
use doortrack_fakes::fixture::{NodeFixture, NodeSetup, fresh_address};
use doortrack_fakes::idle::{IdleBehavior, IdleClients};
use doortrack_fakes::server::{Behavior, Server};
use doortrack_fakes::{MAX_WAIT, attempt_id};
use doortrack_protocols::Protocol::{FastCgi, Uwsgi};
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use serde_json::json;

/// Bounds on descriptors: the configuration's `limits.sockets` and the system's limit.
#[derive(Clone, Copy, Debug)]
struct DescriptorBound {
    sockets: u64,
    descriptors: Option<u64>,
}

const SETTINGS_LIMIT: DescriptorBound = DescriptorBound {
    sockets: 64,
    descriptors: None,
};
const SYSTEM_LIMIT: DescriptorBound = DescriptorBound {
    sockets: 1024,
    descriptors: Some(64),
};
const BOTH_LIMITS: DescriptorBound = DescriptorBound {
    sockets: 64,
    descriptors: Some(64),
};

/// Idle connections of a test, over all behaviors: twice what the bounds above allow.
const IDLE_CONNECTIONS: usize = 120;
/// Health checks and requests that must succeed in each test while idle clients hold connections.
const ROUNDS: u64 = 8;
/// Far longer than any wait of a test, so that no idle connection times out.
const KEEPALIVE_MAX_US: u64 = 3_600_000_000;

/// Long enough that no request here passes its deadline.
const DEADLINE_US: u64 = 600_000_000;

/// Sets up a node whose registry address is not open: every report to it is refused.
fn node_setup(bound: DescriptorBound) -> (NodeSetup, SocketAddr) {
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    let registry = fresh_address();
    setup.config["registry"] = json!(registry.to_string());
    setup.config["limits"]["sockets"] = json!(bound.sockets);
    setup.config["settings"]["family_info"]["keepalive_max"] = json!(KEEPALIVE_MAX_US);
    for lane in setup.config["settings"]["lanes"].as_array_mut().unwrap() {
        (lane["deadline"], lane["target"]) = (json!(DEADLINE_US), json!(DEADLINE_US));
    }
    setup.descriptor_limit = bound.descriptors;
    (setup, registry)
}

/// Opens the registry's address and waits for a report of the node.
fn wait_for_registry_report(registry: SocketAddr) {
    let socket = UdpSocket::bind(registry).unwrap();
    socket.set_read_timeout(Some(MAX_WAIT)).unwrap();
    let mut text = [0; 64];
    let length = loop {
        match socket.recv(&mut text) {
            // A signal to the test process itself interrupts the receive.
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            received => break received.unwrap(),
        }
    };
    assert_eq!(&text[..length], b"BEAT n1 ready");
}

/// Sends a request until it is answered. A connection may be evicted before anything was read on it, so a request
/// without an answer is sent again, as a dispatcher does.
fn answered(what: &str, mut send: impl FnMut() -> CallerOutcome) -> CallerOutcome {
    let until = Instant::now() + MAX_WAIT;
    loop {
        match send() {
            CallerOutcome::Nothing => assert!(Instant::now() < until, "{what}: never answered"),
            result => return result,
        }
    }
}

fn check_health(at: SocketAddr, nth: u64) {
    let check = || {
        CallerRequest::new(nth, "/status/live", b"")
            .try_send(at, FastCgi)
            .map(|pending| pending.outcome())
    };
    let result = answered("health check", || check().unwrap_or(CallerOutcome::Nothing));
    assert!(matches!(result, CallerOutcome::Completed(_)), "{result:?}");
}

/// Sends a request until it runs. Returns the thread that waits for its outcome.
fn start_request(
    fixture: &NodeFixture,
    engine: &mut Engine,
    request_count: &mut u64,
) -> JoinHandle<CallerOutcome> {
    let until = Instant::now() + MAX_WAIT;
    loop {
        *request_count += 1;
        let (at, nth) = (fixture.address, *request_count);
        let caller = thread::spawn(move || {
            let sent = CallerRequest::new(nth, "/svc/look", b"work").try_send(at, FastCgi);
            sent.map_or(CallerOutcome::Nothing, |pending| pending.outcome())
        });
        while !caller.is_finished() {
            assert!(Instant::now() < until, "no request ran");
            if let Some(command) = engine.next_command_within_stats(1) {
                assert_eq!(
                    (&command["msg"], &command["call"]),
                    (&json!("RUN"), &json!(attempt_id(nth)))
                );
                return caller;
            }
        }
        assert_eq!(
            caller.join().unwrap(),
            CallerOutcome::Nothing,
            "the request was answered but never ran"
        );
    }
}

/// Checks that a request is run and answered.
fn check_request_served(fixture: &NodeFixture, engine: &mut Engine, request_count: &mut u64) {
    let caller = start_request(fixture, engine, request_count);
    engine.finish_run(&attempt_id(*request_count), "OK", b"worked");
    assert_eq!(
        caller.join().unwrap(),
        CallerOutcome::Completed(b"worked".into()),
        "a request that ran must be answered"
    );
}

fn check_stays_reachable(behaviors: &[IdleBehavior], bound: DescriptorBound) {
    let (setup, registry) = node_setup(bound);
    let (fixture, mut engine) = setup.start_with_engine();
    // A request that runs before the idle clients connect and is answered while they hold connections.
    let mut request_count = 0;
    let early_request = start_request(&fixture, &mut engine, &mut request_count);
    let idle = IdleClients::start(
        fixture.address,
        behaviors,
        IDLE_CONNECTIONS / behaviors.len(),
    );
    idle.wait_until_opened(IDLE_CONNECTIONS);
    let mut longest = (Duration::ZERO, Duration::ZERO);
    for round in 0..ROUNDS {
        let since = Instant::now();
        check_health(fixture.address, 1_000_000 + round);
        let checked = since.elapsed();
        check_request_served(&fixture, &mut engine, &mut request_count);
        longest = (
            longest.0.max(checked),
            longest.1.max(since.elapsed() - checked),
        );
    }
    println!(
        "{behaviors:?} {bound:?}: longest health check {:?}, longest request {:?}",
        longest.0, longest.1
    );
    // A reconnecting engine link needs a descriptor; requests read before the link broke are not lost.
    let request_during_loss = start_request(&fixture, &mut engine, &mut request_count);
    let serial = engine.last_serial;
    drop(engine);
    let mut engine = fixture.accept_engine();
    engine.handshake(serial);
    engine.last_serial = serial;
    engine.finish_run(&attempt_id(request_count), "OK", b"crossed");
    assert_eq!(
        request_during_loss.join().unwrap(),
        CallerOutcome::Completed(b"crossed".into())
    );
    check_request_served(&fixture, &mut engine, &mut request_count);
    engine.finish_run(&attempt_id(1), "OK", b"kept");
    assert_eq!(
        early_request.join().unwrap(),
        CallerOutcome::Completed(b"kept".into())
    );
    wait_for_registry_report(registry);
    drop(idle);
}

#[test]
fn silent_clients_block_no_requests() {
    [SETTINGS_LIMIT, SYSTEM_LIMIT, BOTH_LIMITS]
        .into_iter()
        .for_each(|bound| check_stays_reachable(&[IdleBehavior::Silent], bound));
}

#[test]
fn clients_idle_after_a_health_check_block_no_requests() {
    [SETTINGS_LIMIT, SYSTEM_LIMIT, BOTH_LIMITS]
        .into_iter()
        .for_each(|bound| check_stays_reachable(&[IdleBehavior::HealthCheck], bound));
}

#[test]
fn partial_requests_block_no_requests() {
    [SETTINGS_LIMIT, SYSTEM_LIMIT, BOTH_LIMITS]
        .into_iter()
        .for_each(|bound| check_stays_reachable(&[IdleBehavior::HalfRequest], bound));
}

#[test]
fn partial_requests_after_complete_ones_block_no_requests() {
    [SETTINGS_LIMIT, SYSTEM_LIMIT]
        .into_iter()
        .for_each(|bound| {
            check_stays_reachable(&[IdleBehavior::HealthCheckThenHalfRequest], bound)
        });
}

#[test]
fn all_kinds_of_idle_clients_together_block_no_requests() {
    let mixed = IdleBehavior::ALL;
    [SETTINGS_LIMIT, SYSTEM_LIMIT, BOTH_LIMITS]
        .into_iter()
        .for_each(|bound| check_stays_reachable(&mixed, bound));
}

#[test]
fn application_servers_are_reached_while_idle_clients_fill_the_descriptors() {
    for protocol in [FastCgi, Uwsgi] {
        let server = Server::start(protocol, |got| Behavior::ok(got.body.clone()));
        let (mut setup, registry) = node_setup(SYSTEM_LIMIT);
        // Each run opens a connection, so descriptors are needed all the time.
        setup.installation = Some(
            json!({"servers": {"protocol": protocol.name(), "idle_ms": 0,
            "at_once": 4, "addresses": [server.address.to_string()]}}),
        );
        let fixture = setup.start();
        let idle = IdleClients::start(
            fixture.address,
            &[IdleBehavior::Silent, IdleBehavior::HealthCheck],
            IDLE_CONNECTIONS / 2,
        );
        idle.wait_until_opened(IDLE_CONNECTIONS);
        let mut outcomes: BTreeMap<u64, CallerOutcome> = BTreeMap::new();
        for nth in 1..=12 {
            let send_look =
                || CallerRequest::new(nth, "/svc/look", b"work").try_send(fixture.address, FastCgi);
            outcomes.insert(
                nth,
                answered("request", || {
                    send_look().map_or(CallerOutcome::Nothing, |pending| pending.outcome())
                }),
            );
        }
        let expected = CallerOutcome::Completed(b"work".into());
        assert!(
            outcomes.values().all(|result| *result == expected),
            "{outcomes:?}"
        );
        wait_for_registry_report(registry);
        drop(idle);
        fixture.signal("-TERM");
        let (code, log) = fixture.wait_for_exit();
        assert_eq!(code, Some(0), "{log}");
        assert!(log.contains("low descriptor limit"), "{log}");
        assert!(
            !log.contains("server ejected") && !log.contains("out of reach"),
            "{log}"
        );
    }
}

#[test]
fn pools_that_could_use_more_than_half_of_the_descriptors_are_rejected_at_startup() {
    let (mut setup, _) = node_setup(SYSTEM_LIMIT);
    setup.installation = Some(json!({"servers": {"protocol": "uwsgi", "at_once": 30,
        "addresses": [fresh_address().to_string()]}}));
    let (code, log) = setup.start().wait_for_exit();
    assert_eq!(code, Some(1), "{log}");
    assert!(
        log.contains("installation.servers.at_once") && log.contains("limit of 64"),
        "{log}"
    );
}

#[test]
fn lowering_the_descriptor_limit_at_run_time_blocks_no_requests() {
    let (setup, registry) = node_setup(SETTINGS_LIMIT);
    let (fixture, mut engine) = setup.start_with_engine();
    let idle = IdleClients::start(
        fixture.address,
        &[IdleBehavior::HealthCheck],
        IDLE_CONNECTIONS,
    );
    idle.wait_until_opened(IDLE_CONNECTIONS);
    let id = Pid::from_raw(fixture.program.id() as i32);
    let maximum = prlimit(
        id,
        Resource::Nofile,
        Rlimit {
            current: Some(32),
            maximum: Some(1024),
        },
    );
    assert!(maximum.is_ok(), "{maximum:?}");
    // More connections are open than the limit allows, so none is accepted until some have been evicted.
    let mut request_count = 0;
    for nth in 0..ROUNDS {
        check_health(fixture.address, 1_000_000 + nth);
        check_request_served(&fixture, &mut engine, &mut request_count);
    }
    wait_for_registry_report(registry);
    drop(idle);
}

#[test]
fn more_connections_than_the_table_holds_can_wait_to_be_accepted() {
    let (mut setup, _) = node_setup(SETTINGS_LIMIT);
    setup.config["limits"]["sockets"] = json!(32);
    let (fixture, _engine) = setup.start_with_engine();
    // A suspended node accepts nothing. A client that finds the backlog full retries only after 1 s.
    fixture.signal("-STOP");
    let connect = |_| TcpStream::connect_timeout(&fixture.address, Duration::from_millis(900));
    let waiting: Vec<_> = (0..IDLE_CONNECTIONS).map(connect).collect();
    fixture.signal("-CONT");
    assert!(waiting.iter().all(Result::is_ok), "{waiting:?}");
}
