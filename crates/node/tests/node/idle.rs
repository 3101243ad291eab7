//! Idle clients fill the node's descriptors while the registry is down: who has something to ask still gets
//! in, and what was read is answered. Each wait has a long limit; an idle connection that is kept where room
//! is needed would outlast it by far.

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

/// What bounds the descriptors: the platform's `limits.sockets`, and the limit of the system.
#[derive(Clone, Copy, Debug)]
struct Bound {
    sockets: u64,
    descriptors: Option<u64>,
}

const BY_SETTINGS: Bound = Bound {
    sockets: 64,
    descriptors: None,
};
const BY_SYSTEM: Bound = Bound {
    sockets: 1024,
    descriptors: Some(64),
};
const BY_BOTH: Bound = Bound {
    sockets: 64,
    descriptors: Some(64),
};

/// Idle connections, of all habits of a test together: twice what the bounds above allow.
const IDLE: usize = 120;
/// Health checks and requests that are to get in under the pressure of one habit.
const ROUNDS: u64 = 8;
/// Far longer than anything is waited for here, so that no idle connection ends by itself.
const IDLE_FOR_US: u64 = 3_600_000_000;

/// Nothing that runs here is given up for its age.
const DEADLINE_US: u64 = 600_000_000;

/// A node whose registry nobody has open: every report to it is refused.
fn plan(bound: Bound) -> (NodeSetup, SocketAddr) {
    let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    let registry = fresh_address();
    plan.config["registry"] = json!(registry.to_string());
    plan.config["limits"]["sockets"] = json!(bound.sockets);
    plan.config["settings"]["family_info"]["keepalive_max"] = json!(IDLE_FOR_US);
    for lane in plan.config["settings"]["lanes"].as_array_mut().unwrap() {
        (lane["deadline"], lane["target"]) = (json!(DEADLINE_US), json!(DEADLINE_US));
    }
    plan.descriptor_limit = bound.descriptors;
    (plan, registry)
}

/// The registry is back on its address, and hears of the node.
fn registry_hears(registry: SocketAddr) {
    let back = UdpSocket::bind(registry).unwrap();
    back.set_read_timeout(Some(MAX_WAIT)).unwrap();
    let mut text = [0; 64];
    let length = loop {
        match back.recv(&mut text) {
            // A signal to the test's own process says nothing of the node.
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            received => break received.unwrap(),
        }
    };
    assert_eq!(&text[..length], b"BEAT n1 ready");
}

/// Asks until there is an answer. A connection may be let go of while nothing was read on it, so one that
/// was told nothing asks anew, as a dispatcher does.
fn answered(what: &str, mut ask: impl FnMut() -> CallerOutcome) -> CallerOutcome {
    let until = Instant::now() + MAX_WAIT;
    loop {
        match ask() {
            CallerOutcome::Nothing => assert!(Instant::now() < until, "{what}: never answered"),
            seen => return seen,
        }
    }
}

fn checks(at: SocketAddr, nth: u64) {
    let check = || {
        CallerRequest::new(nth, "/status/live", b"")
            .try_send(at, FastCgi)
            .map(|waits| waits.outcome())
    };
    let seen = answered("health check", || check().unwrap_or(CallerOutcome::Nothing));
    assert!(matches!(seen, CallerOutcome::Completed(_)), "{seen:?}");
}

/// Asks for a request until it runs: what its caller will be told.
fn begins(
    fixture: &NodeFixture,
    engine: &mut Engine,
    tries: &mut u64,
) -> JoinHandle<CallerOutcome> {
    let until = Instant::now() + MAX_WAIT;
    loop {
        *tries += 1;
        let (at, nth) = (fixture.address, *tries);
        let caller = thread::spawn(move || {
            let sent = CallerRequest::new(nth, "/svc/look", b"work").try_send(at, FastCgi);
            sent.map_or(CallerOutcome::Nothing, |waits| waits.outcome())
        });
        while !caller.is_finished() {
            assert!(Instant::now() < until, "an exchange never ran");
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
            "answered, and never run"
        );
    }
}

/// One request that is run and answered.
fn works(fixture: &NodeFixture, engine: &mut Engine, tries: &mut u64) {
    let caller = begins(fixture, engine, tries);
    engine.finish_run(&attempt_id(*tries), "OK", b"worked");
    assert_eq!(
        caller.join().unwrap(),
        CallerOutcome::Completed(b"worked".into()),
        "it was read and run"
    );
}

fn stays_reachable(habits: &[IdleBehavior], bound: Bound) {
    let (plan, registry) = plan(bound);
    let (fixture, mut engine) = plan.start_with_engine();
    // In hand before the pressure begins, and answered under it.
    let mut tries = 0;
    let early = begins(&fixture, &mut engine, &mut tries);
    let idle = IdleClients::start(fixture.address, habits, IDLE / habits.len());
    idle.wait_until_opened(IDLE);
    let mut longest = (Duration::ZERO, Duration::ZERO);
    for round in 0..ROUNDS {
        let since = Instant::now();
        checks(fixture.address, 1_000_000 + round);
        let checked = since.elapsed();
        works(&fixture, &mut engine, &mut tries);
        longest = (
            longest.0.max(checked),
            longest.1.max(since.elapsed() - checked),
        );
    }
    println!(
        "{habits:?} {bound:?}: longest check {:?}, exchange {:?}",
        longest.0, longest.1
    );
    // A link that breaks needs a descriptor of its own again; what was read meanwhile is not lost with it.
    let over_the_loss = begins(&fixture, &mut engine, &mut tries);
    let serial = engine.last_serial;
    drop(engine);
    let mut engine = fixture.accept_engine();
    engine.handshake(serial);
    engine.last_serial = serial;
    engine.finish_run(&attempt_id(tries), "OK", b"crossed");
    assert_eq!(
        over_the_loss.join().unwrap(),
        CallerOutcome::Completed(b"crossed".into())
    );
    works(&fixture, &mut engine, &mut tries);
    engine.finish_run(&attempt_id(1), "OK", b"kept");
    assert_eq!(
        early.join().unwrap(),
        CallerOutcome::Completed(b"kept".into())
    );
    registry_hears(registry);
    drop(idle);
}

#[test]
fn silent_clients_keep_nobody_out() {
    [BY_SETTINGS, BY_SYSTEM, BY_BOTH]
        .into_iter()
        .for_each(|bound| stays_reachable(&[IdleBehavior::Silent], bound));
}

#[test]
fn clients_that_spoke_once_keep_nobody_out() {
    [BY_SETTINGS, BY_SYSTEM, BY_BOTH]
        .into_iter()
        .for_each(|bound| stays_reachable(&[IdleBehavior::HealthCheck], bound));
}

#[test]
fn half_requests_keep_nobody_out() {
    [BY_SETTINGS, BY_SYSTEM, BY_BOTH]
        .into_iter()
        .for_each(|bound| stays_reachable(&[IdleBehavior::HalfRequest], bound));
}

#[test]
fn half_requests_after_whole_ones_keep_nobody_out() {
    [BY_SETTINGS, BY_SYSTEM]
        .into_iter()
        .for_each(|bound| stays_reachable(&[IdleBehavior::HealthCheckThenHalfRequest], bound));
}

#[test]
fn idle_clients_of_all_kinds_at_once_keep_nobody_out() {
    let mixed = IdleBehavior::ALL;
    [BY_SETTINGS, BY_SYSTEM, BY_BOTH]
        .into_iter()
        .for_each(|bound| stays_reachable(&mixed, bound));
}

#[test]
fn application_servers_are_reached_while_idle_clients_fill_the_descriptors() {
    for protocol in [FastCgi, Uwsgi] {
        let server = Server::start(protocol, |got| Behavior::ok(got.body.clone()));
        let (mut plan, registry) = plan(BY_SYSTEM);
        // A connection for each run, so that descriptors are wanted all the time.
        plan.installation = Some(
            json!({"servers": {"protocol": protocol.name(), "idle_ms": 0,
            "at_once": 4, "addresses": [server.address.to_string()]}}),
        );
        let fixture = plan.start();
        let idle = IdleClients::start(
            fixture.address,
            &[IdleBehavior::Silent, IdleBehavior::HealthCheck],
            IDLE / 2,
        );
        idle.wait_until_opened(IDLE);
        let mut told: BTreeMap<u64, CallerOutcome> = BTreeMap::new();
        for nth in 1..=12 {
            let look =
                || CallerRequest::new(nth, "/svc/look", b"work").try_send(fixture.address, FastCgi);
            told.insert(
                nth,
                answered("exchange", || {
                    look().map_or(CallerOutcome::Nothing, |waits| waits.outcome())
                }),
            );
        }
        let expected = CallerOutcome::Completed(b"work".into());
        assert!(told.values().all(|seen| *seen == expected), "{told:?}");
        registry_hears(registry);
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
fn pools_that_could_take_more_than_half_of_the_descriptors_are_refused_at_the_start() {
    let (mut plan, _) = plan(BY_SYSTEM);
    plan.installation = Some(json!({"servers": {"protocol": "uwsgi", "at_once": 30,
        "addresses": [fresh_address().to_string()]}}));
    let (code, log) = plan.start().wait_for_exit();
    assert_eq!(code, Some(1), "{log}");
    assert!(
        log.contains("installation.servers.at_once") && log.contains("limit of 64"),
        "{log}"
    );
}

#[test]
fn a_limit_that_is_lowered_under_way_keeps_nobody_out() {
    let (plan, registry) = plan(BY_SETTINGS);
    let (fixture, mut engine) = plan.start_with_engine();
    let idle = IdleClients::start(fixture.address, &[IdleBehavior::HealthCheck], IDLE);
    idle.wait_until_opened(IDLE);
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
    // More are open than the limit allows, so nothing is accepted until some of those were let go of.
    let mut tries = 0;
    for nth in 0..ROUNDS {
        checks(fixture.address, 1_000_000 + nth);
        works(&fixture, &mut engine, &mut tries);
    }
    registry_hears(registry);
    drop(idle);
}

#[test]
fn more_than_the_table_holds_may_wait_to_be_accepted() {
    let (mut plan, _) = plan(BY_SETTINGS);
    plan.config["limits"]["sockets"] = json!(32);
    let (fixture, _engine) = plan.start_with_engine();
    // It accepts nothing meanwhile. A connection for which its system has no place is tried again after 1 s.
    fixture.signal("-STOP");
    let connect = |_| TcpStream::connect_timeout(&fixture.address, Duration::from_millis(900));
    let waiting: Vec<_> = (0..IDLE).map(connect).collect();
    fixture.signal("-CONT");
    assert!(waiting.iter().all(Result::is_ok), "{waiting:?}");
}
