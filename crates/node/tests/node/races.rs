//! Races: events that cross the end of a connection, of an engine link or of the process. The test plays both ends
//! and each step waits for the result of the one before, so that the order of events is fixed.

use std::io::{Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::time::Duration;

use doortrack_fakes::fixture::{NodeSetup, connect, fresh_address};
use doortrack_fakes::records::{Client, IDEMPOTENCY_KEY, record, request};
use doortrack_fakes::{attempt_id, unix_ms};
use serde_json::{Value, json};

use super::sockets::{start, up, up_with};

/// Waits until the clock is past `moment`, with a margin for timestamps rounded to whole ms.
fn wait_until(moment: u64) {
    while unix_ms() <= moment + 2 {
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Checks that the node has half-closed this connection, and that data sent on it now causes no reset.
fn check_half_closed_without_reset(
    client: &mut Client,
    crossing: &[u8],
    wait_for_node: impl FnOnce(),
) {
    assert_eq!(
        client.sock.read(&mut [0]).unwrap(),
        0,
        "the connection is not half-closed"
    );
    client.sock.write_all(crossing).unwrap();
    wait_for_node();
    // A reset is kept as the socket's error, which a read after the end of the stream does not report.
    assert_eq!(
        client.sock.take_error().unwrap().map(|e| e.kind()),
        None,
        "the connection was reset"
    );
}

#[test]
fn a_request_that_crosses_an_eviction_is_not_run_and_causes_no_reset() {
    let gauges = json!(["core_use", "links"]);
    let (fixture, mut engine) =
        up_with(|config| config["settings"]["family_info"]["gauges"] = gauges);
    let (mut idle, mut client) = (fixture.client(), fixture.client());
    idle.send(&request(1, 1, "/status/live", &[], b""));
    assert_eq!(idle.reply().status, 200);
    client.send_look(1, 2);
    let (call, _) = engine.next_run();
    engine.answer_stats(3);
    check_half_closed_without_reset(
        &mut idle,
        &request(1, 3, "/svc/look", &[], b"crosses"),
        || {
            client.send_look(2, 4);
            assert_eq!(
                engine.next_run().0,
                attempt_id(4),
                "a request sent after the half-close was run"
            );
        },
    );
    engine.finish_run(&call, "OK", b"as ever");
    assert_eq!(client.reply().body, b"as ever");
}

#[test]
fn data_that_crosses_the_last_answer_of_a_connection_causes_no_reset() {
    let (fixture, _engine) = up();
    let (mut once, mut other) = (fixture.client(), fixture.client());
    let mut check = request(5, 1, "/status/live", &[], b"");
    check[8 + 2] = 0;
    once.send(&check);
    assert_eq!(once.reply().status, 200);
    check_half_closed_without_reset(&mut once, &[1, 1, 0, 7], || {
        other.send(&request(1, 2, "/status/live", &[], b""));
        assert_eq!(other.reply().status, 200);
    });
}

#[test]
fn a_node_suspended_past_its_stop_answers_pending_requests() {
    let (fixture, mut engine) = up_with(|config| config["stop_ms"] = json!(400));
    let mut client = fixture.client();
    client.send_look(1, 1);
    engine.next_run();
    fixture.signal("-TERM");
    fixture.wait_for_report("draining");
    fixture.signal("-STOP");
    let stopped = unix_ms();
    // No event arrives meanwhile: the node must answer because the stop time has passed.
    wait_until(stopped + 400);
    fixture.signal("-CONT");
    assert_eq!(client.reply().status, 500);
    assert!(client.is_closed());
    assert_eq!(fixture.wait_for_exit().0, Some(0));
}

/// The drain grace in ms.
const DRAIN_GRACE_MS: u64 = 600;

fn set_drain_grace(config: &mut Value) {
    config["stop_ms"] = json!(20_000);
    config["settings"]["safety"]["drain_grace"] = json!(DRAIN_GRACE_MS * 1000);
}

#[test]
fn the_drain_grace_counts_from_the_signal_though_the_process_was_suspended() {
    let (fixture, _engine) = up_with(set_drain_grace);
    let mut client = fixture.client();
    client.send(&request(1, 1, "/status/live", &[], b""));
    assert_eq!(client.reply().status, 200);
    fixture.signal("-STOP");
    let signalled = unix_ms();
    fixture.signal("-TERM");
    wait_until(signalled + DRAIN_GRACE_MS);
    fixture.signal("-CONT");
    fixture.wait_for_report("draining");
    // The process may notice the signal as late as its next timer.
    wait_until(signalled + DRAIN_GRACE_MS + 400);
    client.send_look(2, 2);
    assert_eq!(
        client.reply().status,
        503,
        "the request came after the drain grace"
    );
}

#[test]
fn the_drain_grace_counts_from_the_signal_though_the_engine_attaches_later() {
    let fixture = start(set_drain_grace);
    fixture.wait_for_report("ready");
    fixture.signal("-TERM");
    fixture.wait_for_report("draining");
    let reported = unix_ms();
    wait_until(reported + DRAIN_GRACE_MS);
    let mut engine = fixture.accept_engine();
    engine.handshake(0);
    engine.answer_stats(1);
    let mut client = fixture.client();
    client.send_look(1, 1);
    assert_eq!(
        client.reply().status,
        503,
        "the request came after the drain grace"
    );
}

#[test]
fn requests_in_a_full_backlog_at_the_stop_are_answered() {
    let (fixture, mut engine) = up_with(|config| {
        config["limits"]["sockets"] = json!(32);
        config["stop_ms"] = json!(700);
        config["settings"]["family_info"]["cores"] = json!(20);
    });
    let mut clients = Vec::new();
    // Eight connections are accepted and their requests run; three more wait in the system's backlog.
    for n in 0..11 {
        let mut client = fixture.client();
        client.send_look(1, n);
        clients.push(client);
        if n < 8 {
            engine.next_run();
        }
    }
    assert_eq!(engine.next_command_within_stats(2), None);
    fixture.signal("-TERM");
    for client in &mut clients[..8] {
        assert_eq!(
            client.reply().status,
            500,
            "the run is cut short by the stop"
        );
    }
    for client in &mut clients[8..] {
        assert!(
            [2, 503].contains(&client.reply().status),
            "the request never ran and is refused"
        );
    }
    assert_eq!(fixture.wait_for_exit().0, Some(0));
}

#[test]
fn requests_in_a_full_backlog_are_answered_by_a_node_suspended_past_its_stop() {
    let (fixture, mut engine) = up_with(|config| {
        config["limits"]["sockets"] = json!(32);
        config["stop_ms"] = json!(700);
        config["settings"]["family_info"]["cores"] = json!(20);
    });
    let mut clients = Vec::new();
    for n in 0..11 {
        let mut client = fixture.client();
        client.send_look(1, n);
        clients.push(client);
        if n < 8 {
            engine.next_run();
        }
    }
    fixture.signal("-TERM");
    fixture.wait_for_report("draining");
    fixture.signal("-STOP");
    let stopped = unix_ms();
    // The answers to the pending runs and the last accept fall into one turn.
    wait_until(stopped + 700);
    fixture.signal("-CONT");
    for client in &mut clients[..8] {
        assert_eq!(
            client.reply().status,
            500,
            "the run is cut short by the stop"
        );
    }
    for client in &mut clients[8..] {
        assert!(
            [2, 503].contains(&client.reply().status),
            "the request never ran and is refused"
        );
    }
    assert_eq!(fixture.wait_for_exit().0, Some(0));
}

#[test]
fn a_deduplicated_run_that_may_have_arrived_is_not_sent_again() {
    let (fixture, engine) = up();
    let mut client = fixture.client();
    let mut engine = fixture.lose_link_after_run(engine, &mut client);
    engine.answer_stats(3);
    client.send_look(2, 2);
    assert_eq!(
        engine.next_run().0,
        attempt_id(2),
        "a run that may have arrived was sent again"
    );
    engine.finish_run(&attempt_id(1), "OK", b"paid once");
    assert_eq!(client.reply().body, b"paid once");
}

#[test]
fn a_deduplicated_run_that_never_arrived_is_answered_in_time_and_runs_only_after_its_window() {
    let (fixture, engine) = up_with(|config| {
        let group = &mut config["settings"]["lanes"][1];
        (group["deadline"], group["window"]) = (json!(1_000_000), json!(1_500_000));
        config["settings"]["lanes"][0]["deadline"] = json!(1_000_000);
    });
    let mut client = fixture.client();
    let mut engine = fixture.lose_link_after_run(engine, &mut client);
    let halt = json!({"msg": "HALT", "call": attempt_id(1)});
    assert_eq!(engine.next_command(), halt);
    assert_eq!(
        client.reply().status,
        500,
        "the node does not know whether the request ran"
    );
    client.send(&request(2, 2, "/svc/pay", &[IDEMPOTENCY_KEY], b""));
    assert_eq!(engine.next_command(), halt, "the run may have arrived");
    assert_eq!(client.reply().status, 500, "the retry waited for its end");
    // The node gives the run up after two deadlines. A retry beyond the window may run.
    let retry = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(1_500));
        client.send(&request(3, 3, "/svc/pay", &[IDEMPOTENCY_KEY], b""));
        client
    });
    let next = std::iter::repeat_with(|| engine.next_command()).find(|command| *command != halt);
    let run = next.unwrap();
    assert_eq!(
        (&run["msg"], &run["call"]),
        (&json!("RUN"), &json!(attempt_id(3)))
    );
    engine.finish_run(&attempt_id(3), "OK", b"paid");
    assert_eq!(retry.join().unwrap().reply().body, b"paid");
}

#[test]
fn a_notice_cut_by_a_lost_link_is_repeated_whole_on_the_next() {
    let (fixture, mut engine) = up();
    let mut client = fixture.client();
    client.send_look(1, 1);
    let (call, _) = engine.next_run();
    let sock = engine.reader.get_mut();
    write!(
        sock,
        "{{\"msg\":\"DONE\",\"serial\":1,\"call\":\"{call}\",\"how\":\"OK\",\"dura"
    )
    .unwrap();
    drop(engine);
    let mut engine = fixture.accept_engine();
    engine.handshake(0);
    engine.send_done(1, &call, "OK", b"whole");
    assert_eq!(client.reply().body, b"whole");
    // A notice repeated under the same serial number causes no second answer.
    engine.send_done(1, &call, "OK", b"again");
    client.send(&request(2, 2, "/status/live", &[], b""));
    assert_eq!(client.reply().id, 2);
}

#[test]
fn a_finished_run_that_crosses_the_halt_of_its_abort_is_no_fault() {
    let (fixture, mut engine) = up();
    let mut client = fixture.client();
    client.send_look(1, 1);
    let (call, _) = engine.next_run();
    client.send(&record(2, 1, b""));
    assert_eq!(engine.next_command(), json!({"msg": "HALT", "call": call}));
    engine.finish_run(&call, "OK", b"nobody waits");
    engine.send(json!({"msg": "NO", "how": "HALT", "call": call}));
    client.send_look(1, 2);
    let (second, _) = engine.next_run();
    engine.finish_run(&second, "OK", b"the second");
    assert_eq!(client.reply().body, b"the second");
}

#[test]
fn a_second_signal_and_a_reload_during_the_drain_change_nothing() {
    let (fixture, mut engine) = up_with(|config| config["stop_ms"] = json!(900));
    let mut client = fixture.client();
    client.send_look(1, 1);
    engine.next_run();
    let config = std::fs::read_to_string(fixture.folder.join("config.json")).unwrap();
    fixture.signal("-TERM");
    fixture.wait_for_report("draining");
    fixture.reload(&config.replace("\"stop_ms\":900", "\"stop_ms\":900000"));
    fixture.signal("-TERM");
    assert_eq!(
        client.reply().status,
        500,
        "the first signal sets the stop time"
    );
    assert_eq!(fixture.wait_for_exit().0, Some(0));
}

#[test]
fn a_registry_that_returns_gets_reports_and_its_outage_ends_nothing() {
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    // The address is not open yet: every datagram to it is refused.
    let registry_address = fresh_address();
    setup.config["registry"] = json!(registry_address.to_string());
    let (fixture, mut engine) = setup.start_with_engine();
    let mut client = fixture.client();
    client.send_look(1, 1);
    let (call, _) = engine.next_run();
    engine.finish_run(&call, "OK", b"served");
    assert_eq!(client.reply().body, b"served");
    // At least two reports have been refused by now, as one is sent every 0.3 s.
    let since = unix_ms();
    wait_until(since + 700);
    let registry = std::net::UdpSocket::bind(registry_address).unwrap();
    registry
        .set_read_timeout(Some(doortrack_fakes::MAX_WAIT))
        .unwrap();
    let mut text = [0; 64];
    let n = registry.recv(&mut text).unwrap();
    assert_eq!(&text[..n], b"BEAT n1 ready");
}

#[test]
fn a_repeat_with_a_timestamp_in_the_future_does_not_run_again() {
    let (fixture, mut engine) = up();
    let mut client = fixture.client();
    client.send(&request(1, 1, "/svc/pay", &[IDEMPOTENCY_KEY], b""));
    let (call, _) = engine.next_run();
    engine.finish_run(&call, "OK", b"paid once");
    assert_eq!(client.reply().body, b"paid once");
    // The dedup window is 60 s; by this timestamp it would already be over.
    let future_timestamp = (unix_ms() + 100_000).to_string();
    client.send(&request(
        2,
        2,
        "/svc/pay",
        &[IDEMPOTENCY_KEY, ("HTTP_X_REQUEST_START", &future_timestamp)],
        b"",
    ));
    client.send_look(3, 3);
    assert_eq!(engine.next_run().0, attempt_id(3), "the repeat was run");
    assert_eq!(client.reply().body, b"paid once");
}

#[test]
fn unread_and_partial_requests_at_the_stop_are_refused() {
    let (fixture, _engine) = up_with(|config| config["stop_ms"] = json!(400));
    let (mut whole, mut partial) = (fixture.client(), fixture.client());
    partial.send(&record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0]));
    // The node has accepted both, as connections are accepted in order.
    whole.send(&request(1, 1, "/status/live", &[], b""));
    assert_eq!(whole.reply().status, 200);
    fixture.signal("-STOP");
    fixture.signal("-TERM");
    whole.send_look(2, 2);
    let stopped = unix_ms();
    wait_until(stopped + 400);
    fixture.signal("-CONT");
    assert!(
        [2, 503].contains(&whole.reply().status),
        "the request never ran and is refused"
    );
    assert!(
        [2, 503].contains(&partial.reply().status),
        "the request was never complete and is refused"
    );
    assert!(whole.is_closed() && partial.is_closed());
    assert_eq!(fixture.wait_for_exit().0, Some(0));
}

/// CPU time that the program has used, in ms.
fn cpu_time_ms(program: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{program}/stat")).unwrap();
    let fields = stat.rsplit(')').next().unwrap().split_whitespace();
    fields
        .skip(11)
        .take(2)
        .map(|ticks| ticks.parse::<u64>().unwrap() * 10)
        .sum()
}

#[test]
fn without_free_descriptors_open_connections_are_served_and_nothing_spins() {
    let wrapper = std::env::temp_dir().join(format!("doortrack-few-{}", std::process::id()));
    std::fs::write(
        &wrapper,
        format!(
            "#!/bin/sh\nulimit -n 32\nexec {} \"$@\"\n",
            env!("CARGO_BIN_EXE_doortrack")
        ),
    )
    .unwrap();
    std::fs::set_permissions(&wrapper, PermissionsExt::from_mode(0o755)).unwrap();
    let (fixture, mut engine) = NodeSetup::new(&wrapper).start_with_engine();
    let mut client = fixture.client();
    client.send_look(1, 1);
    let (call, _) = engine.next_run();
    // More connections than the descriptor limit allows, though the configuration would allow them.
    let mut others: Vec<Client> = (0..60).map(|_| fixture.client()).collect();
    engine.finish_run(&call, "OK", b"served");
    assert_eq!(client.reply().body, b"served");
    let (spent_before, since) = (cpu_time_ms(fixture.program.id()), unix_ms());
    engine.answer_stats(10);
    wait_until(since + 500);
    let (spent, passed) = (
        cpu_time_ms(fixture.program.id()) - spent_before,
        unix_ms() - since,
    );
    assert!(spent < passed / 2, "{spent} ms of CPU time in {passed} ms");
    // Once the earlier connections are closed, the remaining one is accepted.
    let mut last = others.pop().unwrap();
    drop(others);
    last.send(&request(1, 2, "/status/live", &[], b""));
    assert_eq!(last.reply().status, 200);
    std::fs::remove_file(wrapper).unwrap();
}

#[test]
fn an_address_in_use_fails_the_start_and_a_killed_node_restarts_on_its_address() {
    let (fixture, _engine) = up();
    let at = fixture.address;
    let start_again = || start(|config| config["listen"] = json!(at.to_string()));
    let (code, log) = start_again().wait_for_exit();
    assert_eq!(code, Some(1));
    assert!(
        log.contains("config.listen") && log.contains(&at.to_string()),
        "{log}"
    );
    // The node is killed with a connection open, whose other end the system keeps for a while.
    let mut client = fixture.client();
    client.send(&request(1, 1, "/status/live", &[], b""));
    assert_eq!(client.reply().status, 200);
    fixture.signal("-KILL");
    assert_eq!(fixture.wait_for_exit().0, None);
    let _restarted = start_again();
    let mut client = Client { sock: connect(at) };
    client.send(&request(1, 2, "/status/live", &[], b""));
    assert_eq!(client.reply().status, 200);
}
