//! A reload and a notice to leave that come together, in either order and with nothing between them: all that
//! was read is answered once, and the process ends by the stop that is due.

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
pub const LEAVE: &str = "-TERM";
const BOTH_ORDERS: [[&str; 2]; 2] = [[RELOAD, LEAVE], [LEAVE, RELOAD]];
/// A stop that a test waits for, in ms.
pub const SOON: u64 = 1_200;

/// Sends two signals one right after the other.
pub fn signals(fixture: &NodeFixture, [first, second]: [&str; 2]) {
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

/// Changes the configuration's file; nobody is told yet.
pub fn rewrite_config(fixture: &NodeFixture, change: impl FnOnce(&mut Value)) {
    let file = fixture.folder.join("config.json");
    let mut config: Value = serde_json::from_slice(&std::fs::read(&file).unwrap()).unwrap();
    change(&mut config);
    std::fs::write(file, config.to_string()).unwrap();
}

/// The node ends in order and by itself; its log.
pub fn ends_well(fixture: NodeFixture) -> String {
    let (code, log) = fixture.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(!log.contains("panicked"), "{log}");
    log
}

/// A node with a front of each protocol that leaves soon.
fn with_fronts(
    change: impl FnOnce(&mut Value),
) -> (NodeFixture, Engine, [(Protocol, SocketAddr); 2]) {
    let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    plan.config["stop_ms"] = json!(SOON);
    change(&mut plan.config);
    let fronts = [(FastCgi, plan.port(9091)), (Uwsgi, plan.port(9092))];
    let listed =
        fronts.map(|(protocol, at)| json!({"protocol": protocol.name(), "listen": at.to_string()}));
    plan.installation = Some(json!({"fronts": listed}));
    let (fixture, engine) = plan.start_with_engine();
    (fixture, engine, fronts)
}

#[test]
fn a_reload_of_bad_files_beside_the_notice_costs_nothing() {
    for order in BOTH_ORDERS {
        let (fixture, mut engine, fronts) = with_fronts(|_| {});
        let waits: Vec<PendingAnswer> = (1..)
            .zip(fronts)
            .map(|(n, (protocol, at))| CallerRequest::new(n, "/svc/look", b"").send(at, protocol))
            .collect();
        let calls = [engine.next_run().0, engine.next_run().0];
        std::fs::write(fixture.folder.join("config.json"), "{").unwrap();
        std::fs::write(fixture.folder.join("installation.json"), "{\"fronts\": 3}").unwrap();
        signals(&fixture, order);
        fixture.wait_for_report("draining");
        calls
            .iter()
            .for_each(|call| engine.finish_run(call, "OK", b"in time"));
        for pending in waits {
            assert_eq!(
                pending.outcome(),
                CallerOutcome::Completed(b"in time".into()),
                "{order:?}"
            );
        }
        let log = ends_well(fixture);
        let left_out = log.matches("configuration rejected").count();
        assert!(left_out == 1 || order[0] == LEAVE, "{log}");
    }
}

#[test]
fn a_front_withdrawn_beside_the_notice_answers_what_is_open_on_it() {
    for order in BOTH_ORDERS {
        let (fixture, mut engine, fronts) = with_fronts(|_| {});
        let ask = |n, (protocol, at): (Protocol, SocketAddr)| {
            CallerRequest::new(n, "/svc/look", b"body").send(at, protocol)
        };
        let in_time = fronts.map(|front| ask(front.1.port().into(), front));
        let calls = [engine.next_run().0, engine.next_run().0];
        let at_the_stop = fronts.map(|front| ask(u64::from(front.1.port()) + 10, front));
        engine.next_run();
        engine.next_run();
        let halves = fronts.map(|(protocol, at)| {
            let bytes = CallerRequest::new(50, "/svc/look", b"body").bytes(protocol);
            let mut sock = doortrack_fakes::fixture::connect(at);
            std::io::Write::write_all(&mut sock, &bytes[..bytes.len() - 2]).unwrap();
            PendingAnswer { sock, protocol }
        });
        std::fs::write(fixture.folder.join("installation.json"), "{}").unwrap();
        signals(&fixture, order);
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
        for half in halves {
            assert!(
                matches!(half.outcome(), CallerOutcome::Rejected { .. }),
                "never whole, and told so"
            );
        }
        for pending in at_the_stop {
            assert_eq!(pending.outcome(), CallerOutcome::Failed, "{order:?}");
        }
        ends_well(fixture);
    }
}

/// Found by reading: the last look at a full table made room among the connections of a front that had been
/// withdrawn, with the last of them the front was forgotten, and it was looked at all the same.
#[test]
fn a_front_withdrawn_beside_the_notice_of_a_node_with_a_full_table_ends_nothing_else() {
    let (fixture, mut engine, [(_, withdrawn), _]) = with_fronts(|config| {
        config["limits"]["sockets"] = json!(32);
        config["settings"]["family_info"]["cores"] = json!(20);
    });
    let mut stays = Client {
        sock: doortrack_fakes::fixture::connect(withdrawn),
    };
    stays.send_look(1, 100);
    let (call, _) = engine.next_run();
    let mut busy: Vec<Client> = (0..7).map(|_| fixture.client()).collect();
    for (n, client) in busy.iter_mut().enumerate() {
        client.send_look(1, n as u64);
        engine.next_run();
    }
    std::fs::write(fixture.folder.join("installation.json"), "{}").unwrap();
    fixture.signal(RELOAD);
    // Refused, as its front is withdrawn: what is asked next on it tells that the reload was taken up.
    let until = Instant::now() + MAX_WAIT;
    for nth in 200.. {
        stays.send(&request(2, nth, "/status/live", &[], b""));
        if stays.reply().status == 2 {
            break;
        }
        assert!(Instant::now() < until, "it is never withdrawn");
    }
    fixture.signal(LEAVE);
    fixture.wait_for_report("draining");
    engine.finish_run(&call, "OK", b"in time");
    assert_eq!(stays.reply().body, b"in time");
    // Told the end, it stays open as long as its peer does not close it.
    assert!(stays.is_closed());
    for client in &mut busy {
        assert_eq!(
            client.reply().status,
            500,
            "it ran and was cut short by the stop"
        );
    }
    ends_well(fixture);
}

#[test]
fn engine_and_registry_that_move_beside_the_notice_are_followed() {
    for order in BOTH_ORDERS {
        let (mut fixture, mut engine) = up_with(|config| config["stop_ms"] = json!(SOON));
        let mut client = fixture.client();
        client.send_look(1, 1);
        client.send_look(2, 2);
        let (first, _) = engine.next_run();
        engine.next_run();
        // What was sent before an answered reading is known to have arrived.
        engine.answer_stats(2);
        (fixture.engine_listener, fixture.registry) =
            (TcpListener::bind("127.0.0.1:0").unwrap(), open_registry());
        let (door, registry) = (
            fixture.engine_listener.local_addr().unwrap(),
            fixture.registry.local_addr().unwrap(),
        );
        rewrite_config(&fixture, |config| {
            config["engine"] = json!(door.to_string());
            config["registry"] = json!(registry.to_string());
        });
        signals(&fixture, order);
        let mut engine = fixture.accept_engine();
        engine.handshake(0);
        engine.finish_run(&first, "OK", b"in time");
        assert_eq!(client.reply().body, b"in time", "{order:?}");
        fixture.wait_for_report("draining");
        assert_eq!(client.reply().status, 500);
        assert!(client.is_closed());
        ends_well(fixture);
    }
}

#[test]
fn an_engine_that_moves_out_of_reach_beside_the_notice_leaves_nothing_unanswered() {
    let (fixture, mut engine) = up_with(|config| config["stop_ms"] = json!(SOON));
    let (mut client, mut half) = (fixture.client(), fixture.client());
    client.send_look(1, 1);
    engine.next_run();
    half.send(&record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0]));
    // Nobody listens there.
    let nowhere = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    rewrite_config(&fixture, |config| {
        config["engine"] = json!(nowhere.to_string())
    });
    signals(&fixture, [RELOAD, LEAVE]);
    assert_eq!(client.reply().status, 500);
    assert!(
        [2, 503].contains(&half.reply().status),
        "never whole, and told so"
    );
    assert!(client.is_closed() && half.is_closed());
    ends_well(fixture);
}
