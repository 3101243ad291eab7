//! Starts the program and talks to it over sockets. Waits have long time limits, so that a slow machine changes no
//! result, and no test checks how long something took.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use std::process::Command;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use doortrack_fakes::engine::Engine;
use doortrack_fakes::fixture::{NodeFixture, NodeSetup, config, open_registry};
use doortrack_fakes::records::{self, Client, Fields, IDEMPOTENCY_KEY, Reply, request};
use doortrack_fakes::{attempt_id, unix_ms};
use serde_json::{Value, json};

pub fn start(change: impl FnOnce(&mut Value)) -> NodeFixture {
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    change(&mut setup.config);
    setup.start()
}

pub fn up_with(change: impl FnOnce(&mut Value)) -> (NodeFixture, Engine) {
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    change(&mut setup.config);
    setup.start_with_engine()
}

pub fn up() -> (NodeFixture, Engine) {
    up_with(|_| {})
}

#[test]
fn requests_of_one_connection_are_answered_in_any_order_and_bytes_pass_unchanged() {
    let (fixture, mut engine) = up();
    let mut client = fixture.client();
    let body: Vec<u8> = (0..2048).map(|n| n as u8).collect();
    let bytes = [
        request(1, 1, "/svc/look", &[], &body),
        request(2, 2, "/svc/look", &[], b""),
    ]
    .concat();
    // The first bytes are sent one by one, so that a record header is split too.
    bytes[..20].iter().for_each(|byte| client.send(&[*byte]));
    client.send(&bytes[20..]);
    let (first, second) = (engine.next_run(), engine.next_run());
    assert_eq!(
        (&first, &second),
        (&(attempt_id(1), body.clone()), &(attempt_id(2), Vec::new()))
    );
    let result: Vec<u8> = body.iter().rev().copied().cycle().take(4096).collect();
    engine.send_done(1, &second.0, "OK", b"");
    engine.send_done(2, &first.0, "OK", &result);
    let (one, two) = (client.reply(), client.reply());
    assert_eq!((one.id, one.status, one.body), (2, 200, Vec::new()));
    assert_eq!((two.id, two.status), (1, 200));
    assert!(two.body == result, "a result was changed");
    assert!(two.head.contains("X-Load-Signal: 0\r\n"), "{}", two.head);
    // The id can be used again.
    client.send_look(1, 3);
    let (call, _) = engine.next_run();
    engine.send_done(3, &call, "ERROR", b"");
    let failed = client.reply();
    assert_eq!((failed.id, failed.status), (1, 500));
}

#[test]
fn a_health_check_is_answered_on_a_connection_of_its_own_even_before_the_engine_is_up() {
    let fixture = start(|_| {});
    let mut client = fixture.client();
    client.send(&request(1, 1, "/status/live", &[], b""));
    assert_eq!(client.reply().status, 200);
    assert_eq!(fixture.next_report(), "BEAT n1 ready");
    // A request before the engine is up does not run.
    client.send_look(2, 2);
    assert_eq!(
        client.reply(),
        Reply {
            id: 2,
            status: 2,
            head: String::new(),
            body: Vec::new()
        }
    );
}

#[test]
fn a_request_larger_than_the_free_memory_is_rejected() {
    let (fixture, _engine) =
        up_with(|config| config["settings"]["family_info"]["memory_kb"] = json!(1000));
    let mut client = fixture.client();
    client.send(&request(
        1,
        1,
        "/svc/look",
        &[("HTTP_X_MEMORY_KB", "1900")],
        b"",
    ));
    let rejected = client.reply();
    assert_eq!((rejected.status, rejected.body), (503, Vec::new()));
    assert!(
        rejected.head.contains("X-Load-Signal: "),
        "{}",
        rejected.head
    );
}

#[test]
fn a_duplicate_waits_for_the_run_or_takes_its_result_and_nothing_runs_twice() {
    let (fixture, mut engine) = up();
    let (mut one, mut two) = (fixture.client(), fixture.client());
    let pay = |id, attempt_number| {
        request(
            id,
            attempt_number,
            "/svc/pay",
            &[IDEMPOTENCY_KEY],
            b"one boat",
        )
    };
    one.send(&[pay(1, 1), pay(2, 2)].concat());
    let (call, body) = engine.next_run();
    assert_eq!(
        (call.as_str(), body.as_slice()),
        (&*attempt_id(1), &b"one boat"[..])
    );
    two.send(&pay(1, 3));
    // The next run is that of a later request, which shows that no duplicate was run.
    two.send_look(2, 4);
    assert_eq!(engine.next_run().0, attempt_id(4));
    engine.send_done(1, &call, "OK", b"paid");
    assert_eq!(
        (one.reply().body, one.reply().body, two.reply().body),
        (b"paid".into(), b"paid".into(), b"paid".into())
    );
    two.send(&pay(3, 5));
    let late_duplicate = two.reply();
    assert_eq!(
        (
            late_duplicate.id,
            late_duplicate.status,
            late_duplicate.body
        ),
        (3, 200, b"paid".to_vec())
    );
}

#[test]
fn a_duplicate_of_a_failed_run_fails_and_is_neither_run_nor_rejected() {
    let (fixture, mut engine) = up();
    let mut client = fixture.client();
    client.send(&request(1, 1, "/svc/pay", &[IDEMPOTENCY_KEY], b""));
    let (call, _) = engine.next_run();
    engine.send_done(1, &call, "ERROR", b"");
    assert_eq!(client.reply().status, 500);
    client.send(&request(2, 2, "/svc/pay", &[IDEMPOTENCY_KEY], b""));
    assert_eq!(client.reply().status, 500);
}

#[test]
fn an_idempotency_key_with_another_body_is_refused_and_never_answered_with_the_result() {
    let (fixture, mut engine) = up();
    let mut client = fixture.client();
    let pay = |id, attempt_number, body| {
        request(id, attempt_number, "/svc/pay", &[IDEMPOTENCY_KEY], body)
    };
    client.send(&pay(1, 1, b"one boat"));
    let (call, _) = engine.next_run();
    client.send(&pay(2, 2, b"two boats"));
    assert_eq!(client.reply().status, 400, "while the first request runs");
    engine.send_done(1, &call, "OK", b"paid");
    assert_eq!(client.reply().body, b"paid");
    client.send(&[pay(3, 3, b"two boats"), pay(4, 4, b"one boat")].concat());
    let (other, same) = (client.reply(), client.reply());
    assert_eq!(
        (other.status, same.body),
        (400, b"paid".to_vec()),
        "once the first request has a result"
    );
}

#[test]
fn a_request_that_the_engine_never_began_may_run_in_a_later_attempt() {
    let (fixture, mut engine) = up();
    let mut client = fixture.client();
    client.send(&request(1, 1, "/svc/pay", &[IDEMPOTENCY_KEY], b""));
    let (call, _) = engine.next_run();
    engine.send(json!({"msg": "NO", "how": "RUN", "call": call}));
    assert_eq!(client.reply().status, 500);
    client.send(&request(2, 2, "/svc/pay", &[IDEMPOTENCY_KEY], b""));
    let (call, _) = engine.next_run();
    assert_eq!(call, attempt_id(2));
    engine.send_done(1, &call, "OK", b"paid");
    assert_eq!(client.reply().body, b"paid");
}

#[test]
fn a_queued_request_that_is_aborted_leaves_no_dedup_entry_even_past_its_window() {
    let (fixture, mut engine) = up_with(|config| {
        config["settings"]["family_info"]["cores"] = json!(1);
        config["settings"]["lanes"][1]["window"] = json!(1000);
    });
    let mut client = fixture.client();
    client.send_look(1, 1);
    let (first, _) = engine.next_run();
    // While the gauge reads idle, the next request is queued and not rejected.
    engine.answer_stats(2);
    client.send(&request(2, 2, "/svc/pay", &[IDEMPOTENCY_KEY], b""));
    // Each reading comes a turn later: by then the dedup window has passed for admission, and the attempt is queued.
    engine.answer_stats(3);
    client.send(&records::record(2, 2, b""));
    engine.answer_stats(2);
    client.send(&request(3, 3, "/svc/pay", &[IDEMPOTENCY_KEY], b""));
    engine.answer_stats(2);
    engine.send_done(1, &first, "OK", b"");
    assert_eq!(engine.next_run().0, attempt_id(3));
}

#[test]
fn an_engine_warms_up_by_its_age_and_not_by_the_time_since_it_attached() {
    for (age_ms, concurrent_runs) in [(0, 3), (3_600_000, 6)] {
        let fixture = start(|config| {
            config["settings"]["safety"]["start_capacity"] = json!(0);
            config["settings"]["safety"]["ramp_time"] = json!(3_600_000_000u64);
        });
        let mut engine = fixture.accept_engine();
        engine.handshake_as(0, "COLD", age_ms);
        engine.answer_stats(2);
        let mut client = fixture.client();
        let bytes: Vec<u8> = (1..=7)
            .flat_map(|n| request(n, n.into(), "/svc/look", &[], b""))
            .collect();
        client.send(&bytes);
        for attempt_number in 1..=concurrent_runs {
            assert_eq!(
                engine.next_run().0,
                attempt_id(attempt_number),
                "{age_ms} ms old"
            );
        }
        engine.answer_stats(2);
    }
}

#[test]
fn an_aborted_request_is_cancelled_and_its_id_may_be_reused() {
    let (fixture, mut engine) = up();
    let mut client = fixture.client();
    client.send_look(1, 1);
    let (call, _) = engine.next_run();
    // The first run ends after another request has taken its id.
    client.send(
        &[
            records::record(2, 1, b""),
            request(1, 2, "/svc/look", &[], b""),
        ]
        .concat(),
    );
    let mut commands = [engine.next_command(), engine.next_command()];
    commands.sort_by_key(|command| command["msg"].to_string());
    assert_eq!(commands[0], json!({"msg": "HALT", "call": call}));
    assert_eq!(commands[1]["call"], attempt_id(2));
    engine.send_done(1, &call, "OK", b"of the first");
    engine.send_done(2, &attempt_id(2), "OK", b"of the second");
    assert_eq!(client.reply().body, b"of the second");
}

#[test]
fn a_lost_link_resumes_from_the_last_serial_and_nothing_is_lost_or_run_twice() {
    let (fixture, mut engine) = up();
    let mut client = fixture.client();
    (1..=3).for_each(|n| client.send_look(n as u16, n));
    let calls = [
        engine.next_run().0,
        engine.next_run().0,
        engine.next_run().0,
    ];
    engine.send_done(1, &calls[0], "OK", b"first");
    assert_eq!(client.reply().body, b"first");
    // An answered STAT shows that the commands sent before it have arrived.
    engine.answer_stats(2);
    drop(engine);
    client.send_look(4, 4);
    let mut engine = fixture.accept_engine();
    engine.handshake(1);
    // The engine repeats a known notice, then sends the missed one, and answers the STAT after both.
    engine.send_done(1, &calls[0], "OK", b"again");
    engine.send_done(2, &calls[1], "OK", b"second");
    assert_eq!(
        engine.next_run().0,
        attempt_id(4),
        "commands that had arrived are sent again"
    );
    engine.send_done(3, &calls[2], "OK", b"third");
    assert_eq!(
        (client.reply().body, client.reply().body),
        (b"second".to_vec(), b"third".to_vec())
    );
    engine.send_done(4, &attempt_id(4), "OK", b"fourth");
    assert_eq!(client.reply().body, b"fourth");
    // A repeated notice does not lower the last serial.
    engine.send_done(2, &calls[1], "OK", b"second");
    engine.answer_stats(2);
    drop(engine);
    fixture.accept_engine().handshake(4);
}

#[test]
fn a_reload_moves_engine_and_registry_and_runs_in_flight_continue() {
    let (mut fixture, mut engine) = up();
    let mut client = fixture.client();
    client.send_look(1, 1);
    client.send_look(2, 2);
    let (first, second) = (engine.next_run().0, engine.next_run().0);
    engine.send_done(1, &first, "OK", b"before");
    assert_eq!(client.reply().body, b"before");
    engine.answer_stats(2);
    // An invalid configuration changes nothing.
    fixture.reload("{");
    engine.answer_stats(3);
    (fixture.engine_listener, fixture.registry) =
        (TcpListener::bind("127.0.0.1:0").unwrap(), open_registry());
    let mut text = config();
    text["listen"] = json!(fixture.address.to_string());
    text["engine"] = json!(fixture.engine_listener.local_addr().unwrap().to_string());
    text["registry"] = json!(fixture.registry.local_addr().unwrap().to_string());
    fixture.reload(&text.to_string());
    let mut engine = fixture.accept_engine();
    engine.handshake(1);
    assert_eq!(fixture.next_report(), "BEAT n1 ready");
    client.send_look(3, 3);
    assert_eq!(
        engine.next_run().0,
        attempt_id(3),
        "a run in flight is sent again"
    );
    engine.send_done(2, &second, "OK", b"meanwhile");
    assert_eq!(client.reply().body, b"meanwhile");
    engine.send_done(3, &attempt_id(3), "OK", b"after");
    assert_eq!(client.reply().body, b"after");
}

#[test]
fn a_run_that_may_not_have_arrived_is_sent_again_after_the_missed_notices() {
    let (fixture, mut engine) = up();
    let mut client = fixture.client();
    engine.answer_stats(1);
    client.send_look(1, 1);
    client.send_look(2, 2);
    // Both runs are read, but the node can't know it, since no STAT after them is answered.
    let mut seen = 0;
    while seen < 2 {
        seen += usize::from(engine.read_command()["msg"] == "RUN");
    }
    drop(engine);
    let mut engine = fixture.accept_engine();
    engine.handshake(0);
    engine.send_done(1, &attempt_id(1), "OK", b"one");
    assert_eq!(engine.next_run().0, attempt_id(2));
    engine.send_done(2, &attempt_id(2), "OK", b"two");
    let bodies = (client.reply().body, client.reply().body);
    assert_eq!(bodies, (b"one".to_vec(), b"two".to_vec()));
}

#[test]
fn the_node_survives_unreadable_engine_lines() {
    let (fixture, mut engine) = up();
    let mut client = fixture.client();
    client.send_look(1, 1);
    let (call, _) = engine.next_run();
    engine
        .reader
        .get_mut()
        .write_all(b"not a notice\n")
        .unwrap();
    // The node reconnects, since the line may have been the end of a run. The same line again is ignored.
    let mut engine = fixture.accept_engine();
    engine.handshake(0);
    engine
        .reader
        .get_mut()
        .write_all(b"not a notice\n")
        .unwrap();
    engine
        .send(json!({"msg": "DONE", "serial": 1, "call": attempt_id(77), "how": "OK", "blob": ""}));
    engine.send(json!({"msg": "NOTE", "serial": 2, "how": "nothing"}));
    engine.send_done(3, &call, "OK", b"good");
    assert_eq!(client.reply().body, b"good");
    client.send_look(2, 2);
    let (call, _) = engine.next_run();
    engine.send(json!({"msg": "NO", "how": "RUN", "call": call}));
    assert_eq!(
        client.reply().status,
        500,
        "a run that the engine refuses fails"
    );
}

#[test]
fn a_log_that_nobody_reads_does_not_stop_the_node() {
    let (fixture, mut engine) = up();
    // The notices are logged at the default level and exceed the capacity of a pipe.
    let text = "x".repeat(20_000);
    for serial in 1..=40 {
        engine.send(json!({"msg": "NOTE", "serial": serial, "how": text}));
    }
    let mut client = fixture.client();
    client.send_look(1, 1);
    let (call, _) = engine.next_run();
    engine.send_done(41, &call, "OK", b"on time");
    assert_eq!(client.reply().body, b"on time");
}

/// The engine's state in a random scenario: runs in progress, ended runs, and all notices, which are kept to be sent
/// again after a lost link.
#[derive(Default)]
struct EngineState {
    running: Vec<String>,
    ended: BTreeSet<String>,
    notices: Vec<Value>,
    /// The attempt that ran for each idempotency key.
    attempts_by_key: BTreeMap<usize, String>,
    /// The idempotency key of each attempt that has one.
    keys_by_attempt: BTreeMap<String, usize>,
}

impl EngineState {
    /// Handles the node's commands up to the next STAT. Returns true if there were any.
    fn handle_commands(&mut self, engine: &mut Engine) -> bool {
        let mut handled_any = false;
        loop {
            let command = engine.read_command();
            let call = command["call"].as_str().unwrap_or_default().to_string();
            match command["msg"].as_str().unwrap() {
                "STAT" => {
                    engine.answer_stat(&command);
                    return handled_any;
                }
                "RUN" => {
                    assert!(
                        !self.ended.contains(&call),
                        "{call} was sent again after it had ended"
                    );
                    if let Some(key) = self.keys_by_attempt.get(&call) {
                        let first = self
                            .attempts_by_key
                            .entry(*key)
                            .or_insert_with(|| call.clone());
                        assert_eq!(*first, call, "key {key} runs twice");
                    }
                    if !self.running.contains(&call) {
                        self.running.push(call);
                    }
                }
                "HALT" => self.end_run(&call, "STOPPED"),
                other => panic!("{other}"),
            }
            handled_any = true;
        }
    }

    fn end_run(&mut self, call: &str, how: &str) {
        let Some(index) = self.running.iter().position(|running| running == call) else {
            return;
        };
        self.running.swap_remove(index);
        self.ended.insert(call.to_string());
        let (serial, blob) = (
            self.notices.len() + 1,
            STANDARD.encode(format!("of {call}")),
        );
        self.notices
            .push(json!({"msg": "DONE", "serial": serial, "call": call, "how": how, "blob": blob}));
    }
}

#[test]
fn with_random_requests_and_lost_links_each_is_answered_once_and_no_key_runs_twice() {
    // A run with a key whose command was lost with the link is in doubt until its deadline, for which a client waits.
    let (fixture, mut engine) =
        up_with(|config| config["settings"]["lanes"][1]["deadline"] = json!(8_000_000));
    let (mut rng, mut state, mut sent_notices) = (
        fastrand::Rng::with_seed(0x0d00_77ac),
        EngineState::default(),
        0,
    );
    let mut clients: Vec<Client> = (0..3).map(|_| fixture.client()).collect();
    let mut requests: Vec<(usize, u16, Option<usize>, bool)> = Vec::new();
    state.handle_commands(&mut engine);
    let mut quiet_rounds = 0;
    for round in 0.. {
        if round < 25 {
            for _ in 0..rng.usize(0..5) {
                let (client, id) = (rng.usize(0..3), requests.len() as u16 + 1);
                let key = rng.bool().then(|| rng.usize(0..12));
                let text = format!("{:032x}", key.unwrap_or_default());
                let script = if key.is_some() {
                    "/svc/pay"
                } else {
                    "/svc/look"
                };
                let extra_variables: Fields = &[("HTTP_IDEMPOTENCY_KEY", &text)];
                clients[client].send(&request(
                    id,
                    id.into(),
                    script,
                    extra_variables,
                    text.as_bytes(),
                ));
                state
                    .keys_by_attempt
                    .extend(key.map(|key| (attempt_id(id.into()), key)));
                let aborted = rng.u8(0..8) == 0;
                if aborted {
                    clients[client].send(&records::record(2, id, b""));
                }
                requests.push((client, id, key, aborted));
            }
        }
        if round < 25 && rng.u8(0..5) == 0 {
            // Commands that the node has sent and the test has not read are lost with the link.
            drop(engine);
            if let Some(call) = rng.choice(&state.running).cloned() {
                state.end_run(&call, "OK");
            }
            engine = fixture.accept_engine();
            let attach = engine.read_command();
            assert_eq!(attach["msg"], "ATTACH");
            sent_notices = attach["serial"].as_u64().unwrap() as usize;
            engine.send(json!({"msg": "HELLO", "how": "WARM", "duration": 1}));
            // Runs that ended in the meantime are reported first. Then no run ends until the node has sent its runs
            // again, since in that time the node can't know of an end.
            state.notices[sent_notices..]
                .iter()
                .for_each(|notice| engine.send(notice.clone()));
            sent_notices = state.notices.len();
            state.handle_commands(&mut engine);
        }
        let handled_any = state.handle_commands(&mut engine);
        quiet_rounds = if handled_any || !state.running.is_empty() || round < 25 {
            0
        } else {
            quiet_rounds + 1
        };
        if quiet_rounds == 3 {
            break;
        }
        for _ in 0..rng.usize(0..4) {
            if let Some(call) = rng.choice(&state.running).cloned() {
                state.end_run(&call, if rng.u8(0..5) == 0 { "ERROR" } else { "OK" });
            }
        }
        state.notices[sent_notices..]
            .iter()
            .for_each(|notice| engine.send(notice.clone()));
        sent_notices = state.notices.len();
    }
    for (client_index, client) in clients.iter_mut().enumerate() {
        let mut open_requests: BTreeMap<u16, (Option<usize>, bool)> = BTreeMap::new();
        open_requests.extend(
            requests
                .iter()
                .filter(|(c, ..)| *c == client_index)
                .map(|(_, id, key, aborted)| (*id, (*key, *aborted))),
        );
        while open_requests.values().any(|(_, aborted)| !aborted) {
            let reply = client.reply();
            let (key, _) = open_requests
                .remove(&reply.id)
                .expect("an answer without an open request");
            if reply.status == 200 {
                let run = key.map_or(attempt_id(reply.id.into()), |key| {
                    state.attempts_by_key[&key].clone()
                });
                assert_eq!(String::from_utf8_lossy(&reply.body), format!("of {run}"));
            }
        }
    }
    assert!(
        state.ended.len() > 20 && state.attempts_by_key.len() > 3,
        "too little was run"
    );
}

#[test]
fn an_invalid_record_ends_its_connection_after_open_requests_are_answered() {
    let (fixture, mut engine) = up();
    let (mut invalid, mut other) = (fixture.client(), fixture.client());
    invalid.send_look(1, 1);
    let (call, _) = engine.next_run();
    // A request is incomplete when a record of an unsupported version arrives.
    invalid.send(&records::record(1, 2, &[0, 1, 1, 0, 0, 0, 0, 0]));
    invalid.send(&[9, 1, 0, 1, 0, 0, 0, 0]);
    let incomplete = invalid.reply();
    assert_eq!((incomplete.id, incomplete.status), (2, 400));
    other.send_look(1, 2);
    let (second, _) = engine.next_run();
    engine.send_done(1, &second, "OK", b"untouched");
    assert_eq!(other.reply().body, b"untouched");
    engine.send_done(2, &call, "OK", b"whole");
    assert_eq!(invalid.reply().body, b"whole");
    assert!(invalid.is_closed());
}

#[test]
fn invalid_requests_fail_alone_and_a_duplicate_attempt_id_is_not_run() {
    let (fixture, mut engine) = up();
    let mut client = fixture.client();
    for (script, extra_variables, body, status) in [
        ("/svc/dance", &[][..], 1, 400),
        ("/svc/look", &[("HTTP_X_MEMORY_KB", "much")][..], 1, 400),
        (
            "/svc/look",
            &[("HTTP_X_RANK", "0.1"), ("HTTP_X_RANK", "0.2")][..],
            1,
            400,
        ),
        ("/svc/pay", &[][..], 1, 400),
        ("/svc/look", &[("HTTP_X_REQUEST_START", "0")][..], 1, 400),
        (
            "/svc/look",
            &[("HTTP_X_REQUEST_START", "18446744073709551615")][..],
            1,
            400,
        ),
        ("/svc/look", &[][..], 2049, 413),
    ] {
        client.send(&request(1, 1, script, extra_variables, &vec![7; body]));
        assert_eq!(
            client.reply().status,
            status,
            "{script} {extra_variables:?}"
        );
    }
    // A role other than Responder is refused with the FastCGI protocol status.
    client.send(&records::record(1, 1, &[0, 2, 1, 0, 0, 0, 0, 0]));
    assert_eq!(client.reply().status, 3);
    client.send_look(1, 1);
    let (call, _) = engine.next_run();
    client.send_look(2, 1);
    let duplicate = client.reply();
    assert_eq!((duplicate.id, duplicate.status), (2, 400));
    engine.send_done(1, &call, "OK", b"once");
    assert_eq!(client.reply().body, b"once");
    client.send_look(3, 1);
    assert_eq!(client.reply().status, 400);
}

#[test]
fn management_records_are_answered_and_a_connection_without_keep_alive_is_closed() {
    let (fixture, _engine) = up();
    let mut client = fixture.client();
    client.send(
        &[
            records::record(9, 0, b"\x0e\0FCGI_MAX_CONNS"),
            records::record(77, 0, b""),
        ]
        .concat(),
    );
    let mut read = |n: usize| {
        let mut bytes = vec![0; n];
        client.sock.read_exact(&mut bytes).unwrap();
        bytes
    };
    let head = read(8);
    assert_eq!(head[1], 10, "GET_VALUES_RESULT");
    let values = read(u16::from_be_bytes([head[4], head[5]]).into());
    assert!(
        values.windows(18).any(|w| w == b"FCGI_MAX_CONNS1000"),
        "{values:?}"
    );
    assert_eq!(
        (read(8)[1], read(8)[0]),
        (11, 77),
        "UNKNOWN_TYPE with the type that was sent"
    );
    let mut check = request(5, 1, "/status/live", &[], b"");
    check[8 + 2] = 0;
    client.send(&check);
    assert_eq!(client.reply().status, 200);
    assert!(client.is_closed());
}

#[test]
fn requests_beyond_the_limit_of_a_connection_are_refused_as_not_run() {
    let (fixture, mut engine) =
        up_with(|config| config["settings"]["family_info"]["cores"] = json!(100));
    let mut client = fixture.client();
    (1..=33).for_each(|n| client.send_look(n as u16, n));
    let refused = client.reply();
    assert_eq!((refused.id, refused.status), (33, 2));
    assert_eq!(engine.next_run().0, attempt_id(1));
}

#[test]
fn a_half_closed_connection_still_gets_its_answers() {
    let (fixture, mut engine) = up();
    let mut client = fixture.client();
    client.send_look(1, 1);
    client.sock.shutdown(Shutdown::Write).unwrap();
    let (call, _) = engine.next_run();
    engine.send_done(1, &call, "OK", b"yours");
    assert_eq!(client.reply().body, b"yours");
    assert!(client.is_closed());
}

#[test]
fn the_open_runs_of_a_reset_connection_are_cancelled() {
    let (fixture, mut engine) = up();
    let (mut reset, mut client) = (fixture.client(), fixture.client());
    reset.send_look(1, 1);
    let (call, _) = engine.next_run();
    engine.send_done(1, &call, "OK", b"never read");
    reset.send_look(2, 2);
    let (call, _) = engine.next_run();
    // The first answer is unread, so closing the socket resets the connection.
    drop(reset);
    assert_eq!(engine.next_command(), json!({"msg": "HALT", "call": call}));
    engine.send_done(2, &call, "STOPPED", b"");
    client.send_look(1, 3);
    let (call, _) = engine.next_run();
    engine.send_done(3, &call, "OK", b"on it goes");
    assert_eq!(client.reply().body, b"on it goes");
}

#[test]
fn an_idle_connection_is_closed_after_its_idle_limit_and_one_with_an_open_request_is_not() {
    let gauges = json!(["core_use", "links"]);
    let (fixture, mut engine) =
        up_with(|config| config["settings"]["family_info"]["gauges"] = gauges);
    let (mut idle, mut client) = (fixture.client(), fixture.client());
    client.send_look(1, 1);
    let (call, _) = engine.next_run();
    // The idle limit is decided at each reading of the gauges.
    engine.answer_stats(3);
    assert!(idle.is_closed());
    engine.send_done(1, &call, "OK", b"still here");
    assert_eq!(client.reply().body, b"still here");
}

#[test]
fn an_incomplete_request_is_answered_at_its_deadline_and_its_connection_closed() {
    let (fixture, _engine) = up_with(|config| {
        for lane in 0..2 {
            config["settings"]["lanes"][lane]["deadline"] = json!(200_000);
        }
    });
    let mut client = fixture.client();
    client.send(&request(7, 1, "/svc/look", &[], b"never whole")[..60]);
    let reply = client.reply();
    assert_eq!((reply.id, reply.status), (7, 400));
    assert!(client.is_closed());
}

#[test]
fn a_connection_without_a_request_is_closed_and_one_that_had_a_request_stays_open() {
    let (fixture, _engine) = up_with(|config| {
        for lane in 0..2 {
            config["settings"]["lanes"][lane]["deadline"] = json!(1_500_000);
        }
    });
    let mut used = fixture.client();
    used.send(&request(1, 1, "/status/live", &[], b""));
    assert_eq!(used.reply().status, 200);
    let (mut silent, mut incomplete) = (fixture.client(), fixture.client());
    incomplete.send(&[1, 1, 0]);
    assert!(silent.is_closed() && incomplete.is_closed());
    used.send(&request(2, 2, "/status/live", &[], b""));
    assert_eq!(used.reply().status, 200);
}

#[test]
fn an_endless_body_is_refused_at_once_and_its_connection_closed() {
    let (fixture, _engine) = up();
    let mut client = fixture.client();
    let whole = request(7, 1, "/svc/look", &[], &[9; 2048]);
    // The request without the end of its stream, and then more of the stream.
    client.send(
        &[
            &whole[..whole.len() - 11],
            &records::record(5, 7, &[9; 2000]),
        ]
        .concat(),
    );
    let refused = client.reply();
    assert_eq!(
        (refused.id, refused.status),
        (7, 413),
        "refused before the end of the body"
    );
    let more = records::record(5, 7, &[9; 60_000]);
    let closed = (0..1000).any(|_| client.sock.write_all(&more).is_err());
    assert!(closed, "the node read 60 MB");
}

#[test]
fn after_a_stall_ended_runs_count_before_expired_deadlines_and_each_request_is_answered_once() {
    let (fixture, mut engine) = up_with(|config| {
        for lane in 0..2 {
            config["settings"]["lanes"][lane]["deadline"] = json!(2_000_000);
        }
    });
    let mut client = fixture.client();
    client.send_look(1, 1);
    client.send_look(2, 2);
    let (first, second) = (engine.next_run().0, engine.next_run().0);
    fixture.signal("-STOP");
    engine.send_done(1, &first, "OK", b"came meanwhile");
    (3..=5).for_each(|n| client.send_look(n, n.into()));
    std::thread::sleep(Duration::from_millis(2200));
    fixture.signal("-CONT");
    let mut replies: Vec<Reply> = (1..=5).map(|_| client.reply()).collect();
    replies.sort_by_key(|reply| reply.id);
    let statuses: Vec<u16> = replies.iter().map(|reply| reply.status).collect();
    assert_eq!(statuses, [200, 500, 503, 503, 503]);
    engine.send_done(2, &second, "OK", b"too late for any answer");
    client.send(&request(9, 9, "/status/live", &[], b""));
    assert_eq!(client.reply().id, 9, "a request was answered twice");
}

#[test]
fn a_node_whose_runs_hang_reports_draining_until_they_end() {
    let (fixture, mut engine) = up_with(|config| {
        config["settings"]["family_info"]["cores"] = json!(1);
        for lane in 0..2 {
            config["settings"]["lanes"][lane]["target"] = json!(100_000);
        }
    });
    let mut client = fixture.client();
    client.send_look(1, 1);
    let (call, _) = engine.next_run();
    fixture.wait_for_report("draining");
    client.send(&request(2, 2, "/status/live", &[], b""));
    assert_eq!(client.reply().status, 503);
    engine.send_done(1, &call, "OK", b"at last");
    assert_eq!(client.reply().body, b"at last");
    fixture.wait_for_report("ready");
}

#[test]
fn a_full_connection_table_closes_an_idle_connection_and_never_one_with_an_open_request() {
    let (fixture, mut engine) = up_with(|config| config["limits"]["sockets"] = json!(32));
    let mut clients: Vec<Client> = (0..8).map(|_| fixture.client()).collect();
    for (n, client) in clients.iter_mut().enumerate().skip(1) {
        client.send_look(1, n as u64);
    }
    let runs: Vec<String> = (0..6).map(|_| engine.next_run().0).collect();
    // The ninth connection replaces the one that never sent a request.
    let mut ninth = fixture.client();
    ninth.send(&request(1, 9, "/status/live", &[], b""));
    assert_eq!(ninth.reply().status, 200);
    assert!(clients[0].is_closed());
    // A tenth connection waits in the backlog until a place is free.
    ninth.send_look(2, 10);
    let mut tenth = fixture.client();
    tenth.send(&request(1, 11, "/status/live", &[], b""));
    engine.answer_stats(2);
    runs.iter()
        .zip(1..)
        .for_each(|(call, serial)| engine.send_done(serial, call, "OK", b"well"));
    assert_eq!(clients[1].reply().body, b"well");
    assert_eq!(tenth.reply().status, 200);
}

#[test]
fn unread_answers_take_bounded_memory_and_do_not_affect_other_callers() {
    let (fixture, mut engine) = up_with(|config| {
        config["limits"]["memory_mb"] = json!(16);
        config["settings"]["family_info"]["memory_kb"] = json!(1000);
    });
    let (mut non_reading, mut client) = (fixture.client(), fixture.client());
    non_reading
        .sock
        .set_write_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    // Each request is rejected at once for its size. Once the socket buffers are full, the node stops reading or closes
    // the connection.
    let bytes: Vec<u8> = (1..=50)
        .flat_map(|n| {
            request(
                n,
                n.into(),
                "/svc/look",
                &[("HTTP_X_MEMORY_KB", "1900")],
                b"",
            )
        })
        .collect();
    let blocked = (0..4000).any(|_| non_reading.sock.write_all(&bytes).is_err());
    assert!(blocked, "the node kept reading");
    client.send_look(1, 99_999);
    let (call, _) = engine.next_run();
    engine.send_done(1, &call, "OK", b"as ever");
    assert_eq!(client.reply().body, b"as ever");
    let status = std::fs::read_to_string(format!("/proc/{}/status", fixture.program.id())).unwrap();
    let peak_line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .unwrap();
    let peak_kb: u64 = peak_line
        .split_whitespace()
        .next()
        .unwrap()
        .parse()
        .unwrap();
    assert!(peak_kb < 16_000, "{peak_kb} kB");
}

#[test]
fn a_drain_answers_accepted_requests_rejects_later_ones_and_ends_by_itself() {
    let (fixture, mut engine) = up_with(|config| {
        config["stop_ms"] = json!(1500);
        config["settings"]["safety"]["drain_grace"] = json!(0);
    });
    let mut client = fixture.client();
    client.send_look(1, 1);
    client.send_look(2, 2);
    let (call, _) = engine.next_run();
    engine.next_run();
    assert_eq!(fixture.next_report(), "BEAT n1 ready");
    fixture.signal("-TERM");
    fixture.wait_for_report("draining");
    // Arrival times are whole ms, so one that is certainly after the signal lies a little in the future.
    let arrived_at = (unix_ms() + 10).to_string();
    client.send(&request(
        3,
        3,
        "/svc/look",
        &[("HTTP_X_REQUEST_START", &arrived_at)],
        b"",
    ));
    let late = client.reply();
    assert_eq!(
        (late.id, late.status),
        (3, 503),
        "the request arrived after the grace period"
    );
    client.send(&request(4, 4, "/status/live", &[], b""));
    assert_eq!(client.reply().status, 503);
    engine.send_done(1, &call, "OK", b"in time");
    assert_eq!(client.reply().body, b"in time");
    let unfinished = client.reply();
    assert_eq!(
        (unfinished.id, unfinished.status),
        (2, 500),
        "a run that can't end by the stop fails before it"
    );
    assert!(client.is_closed());
    let (code, log) = fixture.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(log.contains("draining"), "{log}");
}

#[test]
fn faults_at_startup_are_reported_in_one_line_that_names_the_key() {
    let exit_after = |change: fn(&mut Value)| start(change).wait_for_exit();
    let (code, log) =
        exit_after(|config| config["settings"]["family_info"]["below"] = json!("common"));
    assert_eq!(code, Some(1));
    assert!(log.contains("below") && log.lines().count() == 1, "{log}");
    let (code, log) = exit_after(|config| config["listen"] = json!("192.0.2.1:9"));
    assert_eq!(code, Some(1));
    assert!(
        log.contains("config.listen") && !log.contains("panicked"),
        "{log}"
    );
    for (name, file) in [("GW_CONFIG", "/nowhere/at/all"), ("GW_OTHER", "")] {
        let output = Command::new(env!("CARGO_BIN_EXE_doortrack"))
            .env_clear()
            .env(name, file)
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(1));
        assert!(String::from_utf8_lossy(&output.stderr).contains("GW_CONFIG"));
    }
}
