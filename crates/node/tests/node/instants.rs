//! Narrow moments: what crosses the end of a connection, of a link or of the process itself. Both ends are
//! played and each step waits for what the one before brought, so the order is the test's and not chance's.

use std::io::{Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::time::Duration;

use doortrack_fakes::engine::Engine;
use doortrack_fakes::fixture::{NodeFixture, NodeSetup, connect, fresh_address};
use doortrack_fakes::records::{Client, IDEMPOTENCY_KEY, record, request};
use doortrack_fakes::{attempt_id, unix_ms};
use serde_json::{Value, json};

use super::sockets::{start, up, up_with};

/// Lets the clock pass `moment`, a little more than a stamp in whole ms can hide.
fn wait_until(moment: u64) {
    while unix_ms() <= moment + 2 {
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The node has ended this connection in order; what is sent on it now brings no reset, nor anything else.
fn ends_in_order(client: &mut Client, crossing: &[u8], barrier: impl FnOnce()) {
    assert_eq!(client.sock.read(&mut [0]).unwrap(), 0, "it is not ended");
    client.sock.write_all(crossing).unwrap();
    barrier();
    // The system keeps a reset as the socket's error, though a reading after the end tells nothing of it.
    assert_eq!(
        client.sock.take_error().unwrap().map(|e| e.kind()),
        None,
        "it was reset"
    );
}

#[test]
fn what_crosses_the_end_of_an_idle_connection_is_not_run_and_resets_nothing() {
    let gauges = json!(["core_use", "links"]);
    let (fixture, mut engine) =
        up_with(|config| config["settings"]["family_info"]["gauges"] = gauges);
    let (mut idle, mut client) = (fixture.client(), fixture.client());
    idle.send(&request(1, 1, "/status/live", &[], b""));
    assert_eq!(idle.reply().status, 200);
    client.send_look(1, 2);
    let (call, _) = engine.next_run();
    engine.answer_stats(3);
    ends_in_order(
        &mut idle,
        &request(1, 3, "/svc/look", &[], b"crosses"),
        || {
            client.send_look(2, 4);
            assert_eq!(
                engine.next_run().0,
                attempt_id(4),
                "one that came after the end was run"
            );
        },
    );
    engine.finish_run(&call, "OK", b"as ever");
    assert_eq!(client.reply().body, b"as ever");
}

#[test]
fn what_crosses_an_answer_that_ends_its_connection_takes_nothing_away() {
    let (fixture, _engine) = up();
    let (mut once, mut other) = (fixture.client(), fixture.client());
    let mut check = request(5, 1, "/status/live", &[], b"");
    check[8 + 2] = 0;
    once.send(&check);
    assert_eq!(once.reply().status, 200);
    ends_in_order(&mut once, &[1, 1, 0, 7], || {
        other.send(&request(1, 2, "/status/live", &[], b""));
        assert_eq!(other.reply().status, 200);
    });
}

#[test]
fn a_node_that_stood_still_over_its_stop_answers_what_it_had_read() {
    let (fixture, mut engine) = up_with(|config| config["stop_ms"] = json!(400));
    let mut client = fixture.client();
    client.send_look(1, 1);
    engine.next_run();
    fixture.signal("-TERM");
    fixture.wait_for_report("draining");
    fixture.signal("-STOP");
    let stopped = unix_ms();
    // Nothing comes meanwhile: only the time itself can move the node to answer.
    wait_until(stopped + 400);
    fixture.signal("-CONT");
    assert_eq!(client.reply().status, 500);
    assert!(client.is_closed());
    assert_eq!(fixture.wait_for_exit().0, Some(0));
}

/// A caller and what the grace of a node that leaves was, in ms.
const GRACE: u64 = 600;

fn leaves_late(config: &mut Value) {
    config["stop_ms"] = json!(20_000);
    config["settings"]["safety"]["drain_grace"] = json!(GRACE * 1000);
}

#[test]
fn the_grace_counts_from_the_notice_though_the_process_stood_still() {
    let (fixture, _engine) = up_with(leaves_late);
    let mut client = fixture.client();
    client.send(&request(1, 1, "/status/live", &[], b""));
    assert_eq!(client.reply().status, 200);
    fixture.signal("-STOP");
    let noticed = unix_ms();
    fixture.signal("-TERM");
    wait_until(noticed + GRACE);
    fixture.signal("-CONT");
    fixture.wait_for_report("draining");
    // The process may have learnt of the notice up to its next due time later.
    wait_until(noticed + GRACE + 400);
    client.send_look(2, 2);
    assert_eq!(client.reply().status, 503, "it came after the grace");
}

#[test]
fn the_grace_counts_from_the_notice_though_the_engine_comes_up_later() {
    let fixture = start(leaves_late);
    fixture.wait_for_report("ready");
    fixture.signal("-TERM");
    fixture.wait_for_report("draining");
    let reported = unix_ms();
    wait_until(reported + GRACE);
    let mut engine = fixture.accept_engine();
    engine.handshake(0);
    engine.answer_stats(1);
    let mut client = fixture.client();
    client.send_look(1, 1);
    assert_eq!(client.reply().status, 503, "it came after the grace");
}

#[test]
fn what_waits_in_a_full_backlog_at_the_end_is_answered_too() {
    let (fixture, mut engine) = up_with(|config| {
        config["limits"]["sockets"] = json!(32);
        config["stop_ms"] = json!(700);
        config["settings"]["family_info"]["cores"] = json!(20);
    });
    let mut clients = Vec::new();
    // Eight are taken in and run; three more wait where only the system has them.
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
            "it ran and was cut short by the stop"
        );
    }
    for client in &mut clients[8..] {
        assert!(
            [2, 503].contains(&client.reply().status),
            "never run, and told so"
        );
    }
    assert_eq!(fixture.wait_for_exit().0, Some(0));
}

#[test]
fn what_waits_in_a_full_backlog_is_answered_though_the_node_stood_still_over_its_stop() {
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
    // The answers to what runs and the last look at the backlog fall into one turn.
    wait_until(stopped + 700);
    fixture.signal("-CONT");
    for client in &mut clients[..8] {
        assert_eq!(
            client.reply().status,
            500,
            "it ran and was cut short by the stop"
        );
    }
    for client in &mut clients[8..] {
        assert!(
            [2, 503].contains(&client.reply().status),
            "never run, and told so"
        );
    }
    assert_eq!(fixture.wait_for_exit().0, Some(0));
}

/// A deduplicated request is asked for, and the link breaks behind its RUN: the next link.
fn loses_the_link_over_a_run(
    fixture: &NodeFixture,
    mut engine: Engine,
    client: &mut Client,
) -> Engine {
    engine.answer_stats(1);
    client.send(&request(1, 1, "/svc/pay", &[IDEMPOTENCY_KEY], b""));
    while engine.read_command()["msg"] != "RUN" {}
    drop(engine);
    let mut engine = fixture.accept_engine();
    engine.handshake(0);
    engine
}

#[test]
fn a_deduplicated_run_that_may_have_arrived_is_not_sent_again() {
    let (fixture, engine) = up();
    let mut client = fixture.client();
    let mut engine = loses_the_link_over_a_run(&fixture, engine, &mut client);
    engine.answer_stats(3);
    client.send_look(2, 2);
    assert_eq!(
        engine.next_run().0,
        attempt_id(2),
        "what may run was sent again"
    );
    engine.finish_run(&attempt_id(1), "OK", b"paid once");
    assert_eq!(client.reply().body, b"paid once");
}

#[test]
fn a_deduplicated_run_that_never_arrived_is_answered_in_time_and_a_later_try_runs() {
    let (fixture, engine) =
        up_with(|config| config["settings"]["lanes"][1]["deadline"] = json!(1_000_000));
    let mut client = fixture.client();
    let mut engine = loses_the_link_over_a_run(&fixture, engine, &mut client);
    assert_eq!(
        engine.next_command(),
        json!({"msg": "HALT", "call": attempt_id(1)})
    );
    assert_eq!(client.reply().status, 500, "whether it ran is not known");
    // The engine may know nothing of it, or keep silent; to a RUN it has to say what became of it.
    assert_eq!(engine.next_run().0, attempt_id(1));
    engine.finish_run(&attempt_id(1), "MOOT", b"");
    engine.answer_stats(1);
    client.send(&request(2, 2, "/svc/pay", &[IDEMPOTENCY_KEY], b""));
    assert_eq!(engine.next_run().0, attempt_id(2));
    engine.finish_run(&attempt_id(2), "OK", b"paid");
    assert_eq!(client.reply().body, b"paid");
}

#[test]
fn a_notice_cut_in_the_middle_by_a_lost_link_is_told_whole_on_the_next() {
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
    // Seen twice under one number, it answers nothing twice.
    engine.send_done(1, &call, "OK", b"again");
    client.send(&request(2, 2, "/status/live", &[], b""));
    assert_eq!(client.reply().id, 2);
}

#[test]
fn an_end_that_crosses_the_halt_of_an_aborted_run_is_no_fault() {
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
fn a_second_notice_and_a_reload_during_the_drain_change_nothing_of_it() {
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
        "the first notice names the stop"
    );
    assert_eq!(fixture.wait_for_exit().0, Some(0));
}

#[test]
fn a_registry_that_is_gone_and_back_is_reported_to_and_ends_nothing() {
    let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    // Nobody has it open yet: every datagram to it is refused.
    let gone = fresh_address();
    plan.config["registry"] = json!(gone.to_string());
    let (fixture, mut engine) = plan.start_with_engine();
    let mut client = fixture.client();
    client.send_look(1, 1);
    let (call, _) = engine.next_run();
    engine.finish_run(&call, "OK", b"served");
    assert_eq!(client.reply().body, b"served");
    // More than one report was refused by now, as they go out every 0.3 s.
    let since = unix_ms();
    wait_until(since + 700);
    let back = std::net::UdpSocket::bind(gone).unwrap();
    back.set_read_timeout(Some(doortrack_fakes::MAX_WAIT))
        .unwrap();
    let mut text = [0; 64];
    let n = back.recv(&mut text).unwrap();
    assert_eq!(&text[..n], b"BEAT n1 ready");
}

#[test]
fn a_repeat_whose_stamp_is_of_a_clock_ahead_does_not_run_again() {
    let (fixture, mut engine) = up();
    let mut client = fixture.client();
    client.send(&request(1, 1, "/svc/pay", &[IDEMPOTENCY_KEY], b""));
    let (call, _) = engine.next_run();
    engine.finish_run(&call, "OK", b"paid once");
    assert_eq!(client.reply().body, b"paid once");
    // The window is 60 s; by this stamp it would be over, though it has hardly begun.
    let ahead = (unix_ms() + 100_000).to_string();
    client.send(&request(
        2,
        2,
        "/svc/pay",
        &[IDEMPOTENCY_KEY, ("HTTP_X_REQUEST_START", &ahead)],
        b"",
    ));
    client.send_look(3, 3);
    assert_eq!(engine.next_run().0, attempt_id(3), "it was run again");
    assert_eq!(client.reply().body, b"paid once");
}

#[test]
fn what_lies_unread_or_half_sent_as_the_stop_comes_is_refused_in_order() {
    let (fixture, _engine) = up_with(|config| config["stop_ms"] = json!(400));
    let (mut whole, mut half) = (fixture.client(), fixture.client());
    half.send(&record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0]));
    // Both are known to the node, as connections are taken in in their order.
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
        "never run, and told so"
    );
    assert!(
        [2, 503].contains(&half.reply().status),
        "never whole, and told so"
    );
    assert!(whole.is_closed() && half.is_closed());
    assert_eq!(fixture.wait_for_exit().0, Some(0));
}

/// Time that the program has spent on a core, in ms.
fn spent(program: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{program}/stat")).unwrap();
    let fields = stat.rsplit(')').next().unwrap().split_whitespace();
    fields
        .skip(11)
        .take(2)
        .map(|ticks| ticks.parse::<u64>().unwrap() * 10)
        .sum()
}

#[test]
fn with_no_descriptor_left_those_connected_are_served_and_nothing_spins() {
    let own = std::env::temp_dir().join(format!("doortrack-few-{}", std::process::id()));
    std::fs::write(
        &own,
        format!(
            "#!/bin/sh\nulimit -n 32\nexec {} \"$@\"\n",
            env!("CARGO_BIN_EXE_doortrack")
        ),
    )
    .unwrap();
    std::fs::set_permissions(&own, PermissionsExt::from_mode(0o755)).unwrap();
    let (fixture, mut engine) = NodeSetup::new(&own).start_with_engine();
    let mut client = fixture.client();
    client.send_look(1, 1);
    let (call, _) = engine.next_run();
    // More than it can take in, though by its configuration it could.
    let mut others: Vec<Client> = (0..60).map(|_| fixture.client()).collect();
    engine.finish_run(&call, "OK", b"served");
    assert_eq!(client.reply().body, b"served");
    let (spent_before, since) = (spent(fixture.program.id()), unix_ms());
    engine.answer_stats(10);
    wait_until(since + 500);
    let (spent, passed) = (
        spent(fixture.program.id()) - spent_before,
        unix_ms() - since,
    );
    assert!(spent < passed / 2, "{spent} ms of {passed} on a core");
    // Once those that came first have gone, the rest has its turn.
    let mut last = others.pop().unwrap();
    drop(others);
    last.send(&request(1, 2, "/status/live", &[], b""));
    assert_eq!(last.reply().status, 200);
    std::fs::remove_file(own).unwrap();
}

#[test]
fn an_address_in_use_is_told_at_the_start_and_a_killed_node_comes_back_under_its_own() {
    let (fixture, _engine) = up();
    let at = fixture.address;
    let again = || start(|config| config["listen"] = json!(at.to_string()));
    let (code, log) = again().wait_for_exit();
    assert_eq!(code, Some(1));
    assert!(
        log.contains("config.listen") && log.contains(&at.to_string()),
        "{log}"
    );
    // Killed with a connection open, whose other end the system keeps for a while.
    let mut client = fixture.client();
    client.send(&request(1, 1, "/status/live", &[], b""));
    assert_eq!(client.reply().status, 200);
    fixture.signal("-KILL");
    assert_eq!(fixture.wait_for_exit().0, None);
    let _back = again();
    let mut client = Client { sock: connect(at) };
    client.send(&request(1, 2, "/status/live", &[], b""));
    assert_eq!(client.reply().status, 200);
}
