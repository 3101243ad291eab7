//! A reload and a shutdown signal that arrive together, in either order: every request that was read is
//! answered once, and the process ends by its stop time.

use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::time::Instant;

use doortrack_fakes::MAX_WAIT;
use doortrack_fakes::caller::{CallerOutcome, CallerRequest, PendingAnswer};
use doortrack_fakes::engine::Engine;
use doortrack_fakes::fixture::{NodeFixture, NodeSetup, open_registry};
use doortrack_fakes::records::{Client, record, request};
use doortrack_protocols::Protocol::{self, FastCgi, Uwsgi};
use serde_json::{Value, json};

use super::sockets::up_with;

pub const RELOAD: &str = "-HUP";
pub const TERMINATE: &str = "-TERM";
const BOTH_ORDERS: [[&str; 2]; 2] = [[RELOAD, TERMINATE], [TERMINATE, RELOAD]];
/// A stop time in ms, short enough for a test to wait for.
pub const SHORT_STOP_MS: u64 = 1_200;

/// Sends two signals in immediate succession.
pub fn send_two_signals(fixture: &NodeFixture, [first, second]: [&str; 2]) {
    let id = fixture.program.id();
    let line = format!("kill {first} {id}; kill {second} {id}");
    assert!(
        Command::new("sh")
            .args(["-c", &line])
            .status()
            .unwrap()
            .success()
    );
}

/// Changes the configuration file without signalling a reload.
pub fn rewrite_config(fixture: &NodeFixture, change: impl FnOnce(&mut Value)) {
    let file = fixture.folder.join("config.json");
    let mut config: Value = serde_json::from_slice(&std::fs::read(&file).unwrap()).unwrap();
    change(&mut config);
    std::fs::write(file, config.to_string()).unwrap();
}

/// Waits until the node exits with code 0 and without a panic. Returns its log.
pub fn wait_for_clean_exit(fixture: NodeFixture) -> String {
    let (code, log) = fixture.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(!log.contains("panicked"), "{log}");
    log
}

/// Starts a node with a short stop time and one additional listener per protocol.
fn start_with_listeners(
    change: impl FnOnce(&mut Value),
) -> (NodeFixture, Engine, [(Protocol, SocketAddr); 2]) {
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    setup.config["stop_ms"] = json!(SHORT_STOP_MS);
    change(&mut setup.config);
    let listeners = [(FastCgi, setup.port(9091)), (Uwsgi, setup.port(9092))];
    let listed = listeners
        .map(|(protocol, at)| json!({"protocol": protocol.name(), "listen": at.to_string()}));
    setup.installation = Some(json!({"fronts": listed}));
    let (fixture, engine) = setup.start_with_engine();
    (fixture, engine, listeners)
}

#[test]
fn a_reload_of_invalid_files_with_the_signal_loses_nothing() {
    for order in BOTH_ORDERS {
        let (fixture, mut engine, listeners) = start_with_listeners(|_| {});
        let pending_answers: Vec<PendingAnswer> = (1..)
            .zip(listeners)
            .map(|(n, (protocol, at))| CallerRequest::new(n, "/svc/look", b"").send(at, protocol))
            .collect();
        let calls = [engine.next_run().0, engine.next_run().0];
        std::fs::write(fixture.folder.join("config.json"), "{").unwrap();
        std::fs::write(fixture.folder.join("installation.json"), "{\"fronts\": 3}").unwrap();
        send_two_signals(&fixture, order);
        fixture.wait_for_report("draining");
        calls
            .iter()
            .for_each(|call| engine.finish_run(call, "OK", b"in time"));
        for pending in pending_answers {
            assert_eq!(
                pending.outcome(),
                CallerOutcome::Completed(b"in time".into()),
                "{order:?}"
            );
        }
        let log = wait_for_clean_exit(fixture);
        let rejected_count = log.matches("configuration rejected").count();
        assert!(rejected_count == 1 || order[0] == TERMINATE, "{log}");
    }
}

#[test]
fn a_listener_withdrawn_with_the_signal_answers_its_pending_requests() {
    for order in BOTH_ORDERS {
        let (fixture, mut engine, listeners) = start_with_listeners(|_| {});
        let send_request = |n, (protocol, at): (Protocol, SocketAddr)| {
            CallerRequest::new(n, "/svc/look", b"body").send(at, protocol)
        };
        let in_time = listeners.map(|listener| send_request(listener.1.port().into(), listener));
        let calls = [engine.next_run().0, engine.next_run().0];
        let at_the_stop =
            listeners.map(|listener| send_request(u64::from(listener.1.port()) + 10, listener));
        engine.next_run();
        engine.next_run();
        let partial_requests = listeners.map(|(protocol, at)| {
            let bytes = CallerRequest::new(50, "/svc/look", b"body").bytes(protocol);
            let mut sock = doortrack_fakes::fixture::connect(at);
            std::io::Write::write_all(&mut sock, &bytes[..bytes.len() - 2]).unwrap();
            PendingAnswer { sock, protocol }
        });
        std::fs::write(fixture.folder.join("installation.json"), "{}").unwrap();
        send_two_signals(&fixture, order);
        fixture.wait_for_report("draining");
        calls
            .iter()
            .for_each(|call| engine.finish_run(call, "OK", b"in time"));
        for pending in in_time {
            assert_eq!(
                pending.outcome(),
                CallerOutcome::Completed(b"in time".into()),
                "{order:?}"
            );
        }
        for partial in partial_requests {
            assert!(
                matches!(partial.outcome(), CallerOutcome::Rejected { .. }),
                "the request was never complete and is refused"
            );
        }
        for pending in at_the_stop {
            assert_eq!(pending.outcome(), CallerOutcome::Failed, "{order:?}");
        }
        wait_for_clean_exit(fixture);
    }
}

/// Guards against an access to a removed listener: the last accept on a full table evicted the connections of a
/// withdrawn listener, which was removed with its last connection and then accessed.
#[test]
fn a_listener_withdrawn_with_the_signal_on_a_full_table_ends_nothing_else() {
    let (fixture, mut engine, [(_, withdrawn), _]) = start_with_listeners(|config| {
        config["limits"]["sockets"] = json!(32);
        config["settings"]["family_info"]["cores"] = json!(20);
    });
    let mut withdrawn_client = Client {
        sock: doortrack_fakes::fixture::connect(withdrawn),
    };
    withdrawn_client.send_look(1, 100);
    let (call, _) = engine.next_run();
    let mut busy_clients: Vec<Client> = (0..7).map(|_| fixture.client()).collect();
    for (n, client) in busy_clients.iter_mut().enumerate() {
        client.send_look(1, n as u64);
        engine.next_run();
    }
    std::fs::write(fixture.folder.join("installation.json"), "{}").unwrap();
    fixture.signal(RELOAD);
    // A withdrawn listener refuses further requests, which shows that the reload was applied.
    let until = Instant::now() + MAX_WAIT;
    for nth in 200.. {
        withdrawn_client.send(&request(2, nth, "/status/live", &[], b""));
        if withdrawn_client.reply().status == 2 {
            break;
        }
        assert!(Instant::now() < until, "the listener is never withdrawn");
    }
    fixture.signal(TERMINATE);
    fixture.wait_for_report("draining");
    engine.finish_run(&call, "OK", b"in time");
    assert_eq!(withdrawn_client.reply().body, b"in time");
    // The node half-closes the connection, which then stays open until the peer closes it.
    assert!(withdrawn_client.is_closed());
    for client in &mut busy_clients {
        assert_eq!(
            client.reply().status,
            500,
            "the run is cut short by the stop"
        );
    }
    wait_for_clean_exit(fixture);
}

#[test]
fn an_engine_and_registry_that_move_with_the_signal_are_followed() {
    for order in BOTH_ORDERS {
        let (mut fixture, mut engine) = up_with(|config| config["stop_ms"] = json!(SHORT_STOP_MS));
        let mut client = fixture.client();
        client.send_look(1, 1);
        client.send_look(2, 2);
        let (first, _) = engine.next_run();
        engine.next_run();
        // All that the node sent before a STAT that was answered is known to have arrived.
        engine.answer_stats(2);
        (fixture.engine_listener, fixture.registry) =
            (TcpListener::bind("127.0.0.1:0").unwrap(), open_registry());
        let (engine_address, registry) = (
            fixture.engine_listener.local_addr().unwrap(),
            fixture.registry.local_addr().unwrap(),
        );
        rewrite_config(&fixture, |config| {
            config["engine"] = json!(engine_address.to_string());
            config["registry"] = json!(registry.to_string());
        });
        send_two_signals(&fixture, order);
        let mut engine = fixture.accept_engine();
        engine.handshake(0);
        engine.finish_run(&first, "OK", b"in time");
        assert_eq!(client.reply().body, b"in time", "{order:?}");
        fixture.wait_for_report("draining");
        assert_eq!(client.reply().status, 500);
        assert!(client.is_closed());
        wait_for_clean_exit(fixture);
    }
}

#[test]
fn an_engine_that_moves_out_of_reach_with_the_signal_leaves_nothing_unanswered() {
    let (fixture, mut engine) = up_with(|config| config["stop_ms"] = json!(SHORT_STOP_MS));
    let (mut client, mut partial) = (fixture.client(), fixture.client());
    client.send_look(1, 1);
    engine.next_run();
    partial.send(&record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0]));
    // Nothing listens on this address.
    let unused_address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    rewrite_config(&fixture, |config| {
        config["engine"] = json!(unused_address.to_string())
    });
    send_two_signals(&fixture, [RELOAD, TERMINATE]);
    assert_eq!(client.reply().status, 500);
    assert!(
        [2, 503].contains(&partial.reply().status),
        "the request was never complete and is refused"
    );
    assert!(client.is_closed() && partial.is_closed());
    wait_for_clean_exit(fixture);
}
