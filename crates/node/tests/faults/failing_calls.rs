//! System calls that fail for a moment, as Linux documents it.

use std::io::ErrorKind;
use std::net::TcpStream;
use std::time::Duration;

use doortrack_fakes::MAX_WAIT;
use doortrack_fakes::engine::Engine;
use doortrack_fakes::fault_shim::{FailingCall, FaultShim};
use doortrack_fakes::fixture::{NodeFixture, NodeSetup};
use doortrack_fakes::records::{Client, request};
use rustix::io::Errno;
use serde_json::json;

const SEED: u64 = 1;

const fn first_fail(call: &'static str, error: Errno, first: u32) -> FailingCall {
    FailingCall {
        call,
        error: error.raw_os_error(),
        first,
        per_mille: 0,
    }
}

const fn some_fail(call: &'static str, error: i32, per_mille: u32) -> FailingCall {
    FailingCall {
        call,
        error,
        first: 0,
        per_mille,
    }
}

fn setup(shim: &FaultShim) -> NodeSetup {
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    setup.config["stop_ms"] = json!(800);
    setup.config["settings"]["safety"]["drain_grace"] = json!(0);
    setup.environment = shim.environment();
    setup
}

fn check_completes(client: &mut Client, engine: &mut Engine, nth: u64) {
    client.send_look(1, nth);
    let (call, _) = engine.next_run();
    engine.finish_run(&call, "OK", b"done");
    assert_eq!(client.reply().body, b"done");
}

#[test]
fn a_node_starts_though_its_first_calls_fail() {
    let calls = [
        first_fail("socket", Errno::NFILE, 2),
        first_fail("socket", Errno::NOBUFS, 4),
        first_fail("bind", Errno::ADDRNOTAVAIL, 3),
        first_fail("listen", Errno::ADDRINUSE, 2),
        first_fail("setsockopt", Errno::NOMEM, 1),
        first_fail("socketpair", Errno::MFILE, 2),
        first_fail("connect", Errno::NETUNREACH, 2),
        first_fail("open", Errno::NFILE, 2),
    ];
    for (call, name) in calls.iter().zip('a'..) {
        let shim = FaultShim::new(&format!("start-{name}"), &[*call], SEED);
        let (fixture, mut engine) = setup(&shim).start_with_engine();
        check_completes(&mut fixture.client(), &mut engine, 1);
        fixture.signal("-TERM");
        let (code, log) = fixture.wait_for_exit();
        assert_eq!(code, Some(0), "{call:?}: {log}");
    }
}

/// Connects and sends a request on each connection, while the node accepts none of them.
fn send_unaccepted(fixture: &NodeFixture, count: u64) -> Vec<Client> {
    let clients = (0..count).map(|nth| {
        let sock = TcpStream::connect(fixture.address).unwrap();
        sock.set_read_timeout(Some(MAX_WAIT)).unwrap();
        let mut client = Client { sock };
        client.send(&request(1, 100 + nth, "/svc/look", &[], b"waits"));
        client
    });
    clients.collect()
}

/// Guards against closing a listener over connections that the system has accepted.
#[test]
fn requests_in_the_backlog_are_answered_though_accepts_fail_at_the_stop() {
    for (error, name) in [Errno::NFILE, Errno::NOBUFS, Errno::NOMEM]
        .iter()
        .zip('a'..)
    {
        let failing = some_fail("accept4", error.raw_os_error(), 900);
        let shim = FaultShim::new(&format!("backlog-{name}"), &[failing], SEED);
        shim.set_calls_fail(false);
        let (fixture, mut engine) = setup(&shim).start_with_engine();
        check_completes(&mut fixture.client(), &mut engine, 1);
        shim.set_calls_fail(true);
        let mut clients = send_unaccepted(&fixture, 12);
        fixture.signal("-TERM");
        let lost = clients.iter_mut().filter_map(|client| {
            let answered = client.has_reply();
            (!answered).then_some(())
        });
        let lost = lost.count();
        let (code, log) = fixture.wait_for_exit();
        assert_eq!(lost, 0, "{error}: requests lost: {log}");
        assert_eq!(code, Some(0), "{log}");
    }
}

/// Guards against evicting connections that wait for their first request because the system is short of descriptors.
#[test]
fn new_connections_stay_open_though_accepts_of_others_fail() {
    let failing = first_fail("accept4", Errno::NFILE, 3);
    let shim = FaultShim::new("evict", &[failing], SEED);
    shim.set_calls_fail(false);
    let (fixture, mut engine) = setup(&shim).start_with_engine();
    let mut waiting: Vec<Client> = (0..8).map(|_| fixture.client()).collect();
    check_completes(&mut fixture.client(), &mut engine, 1);
    std::thread::sleep(Duration::from_millis(100));
    shim.set_calls_fail(true);
    check_completes(&mut fixture.client(), &mut engine, 2);
    for (client, nth) in waiting.iter_mut().zip(3..) {
        check_completes(client, &mut engine, nth);
    }
}

#[test]
fn requests_are_answered_though_reads_and_writes_fail_or_are_short() {
    const SHORT: i32 = 0;
    let calls = [
        some_fail("recv", Errno::INTR.raw_os_error(), 100),
        some_fail("recv", Errno::NOMEM.raw_os_error(), 100),
        some_fail("recv", SHORT, 100),
        some_fail("send", Errno::INTR.raw_os_error(), 100),
        some_fail("send", Errno::NOBUFS.raw_os_error(), 100),
        some_fail("send", Errno::NOMEM.raw_os_error(), 100),
        some_fail("send", SHORT, 100),
    ];
    let shim = FaultShim::new("transfer", &calls, SEED);
    let (fixture, mut engine) = setup(&shim).start_with_engine();
    let mut clients: Vec<Client> = (0..8).map(|_| fixture.client()).collect();
    for nth in 0..40 {
        let client = &mut clients[nth % 8];
        check_completes(client, &mut engine, 1 + nth as u64);
    }
    fixture.signal("-TERM");
    let (code, log) = fixture.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(!log.contains("engine link lost"), "{log}");
}

#[test]
fn a_node_serves_though_its_log_can_not_be_written() {
    for (error, name) in [Errno::NOSPC, Errno::IO].iter().zip('a'..) {
        let failing = some_fail("log", error.raw_os_error(), 1_000);
        let shim = FaultShim::new(&format!("log-{name}"), &[failing], SEED);
        let (fixture, mut engine) = setup(&shim).start_with_engine();
        check_completes(&mut fixture.client(), &mut engine, 1);
        fixture.signal("-TERM");
        let (code, log) = fixture.wait_for_exit();
        assert_eq!((code, &*log), (Some(0), ""));
    }
}

/// Guards against a registry that is never told of the node, after one failing call at a reload.
#[test]
fn reports_reach_a_registry_that_moved_though_calls_failed() {
    let failing = first_fail("socket", Errno::NFILE, 3);
    let shim = FaultShim::new("registry", &[failing], SEED);
    shim.set_calls_fail(false);
    let setup = setup(&shim);
    let mut config = setup.config.clone();
    let (fixture, _engine) = setup.start_with_engine();
    fixture.wait_for_report("ready");
    let moved = doortrack_fakes::fixture::open_registry();
    config["registry"] = json!(moved.local_addr().unwrap().to_string());
    shim.set_calls_fail(true);
    fixture.reload(&config.to_string());
    let mut report = [0; 100];
    let length = loop {
        match moved.recv(&mut report) {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            received => break received.unwrap(),
        }
    };
    assert_eq!(&report[..length], b"BEAT n1 ready");
}

/// Guards against a listener that stays closed until the next SIGHUP, after one failing call at a reload.
#[test]
fn a_listener_that_a_reload_adds_is_opened_though_calls_failed() {
    let failing = first_fail("socket", Errno::NFILE, 3);
    let shim = FaultShim::new("listener", &[failing], SEED);
    shim.set_calls_fail(false);
    let mut setup = setup(&shim);
    let added = setup.port(9091);
    setup.installation = Some(json!({"fronts": []}));
    let (fixture, _engine) = setup.start_with_engine();
    shim.set_calls_fail(true);
    let fronts = json!([{"protocol": "fastcgi", "listen": added.to_string()}]);
    fixture.replace_installation(&json!({"fronts": fronts}));
    drop(doortrack_fakes::fixture::connect(added));
}

/// Guards against a signal that is lost as the handler can't wake the event loop.
#[test]
fn a_shutdown_signal_is_heeded_though_no_socket_can_be_written() {
    let failing = some_fail("send", Errno::NOBUFS.raw_os_error(), 1_000);
    let shim = FaultShim::new("signal", &[failing], SEED);
    shim.set_calls_fail(false);
    let (fixture, mut engine) = setup(&shim).start_with_engine();
    check_completes(&mut fixture.client(), &mut engine, 1);
    shim.set_calls_fail(true);
    fixture.signal("-TERM");
    std::thread::sleep(Duration::from_millis(50));
    shim.set_calls_fail(false);
    fixture.wait_for_report("draining");
    let (code, log) = fixture.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
}
