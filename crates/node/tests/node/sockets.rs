//! Starts the program and speaks to it over sockets. What it waits for has long limits, so that a slow
//! machine changes no verdict; nothing is judged by how long it took.

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
    let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    change(&mut plan.config);
    plan.start()
}

pub fn up_with(change: impl FnOnce(&mut Value)) -> (NodeFixture, Engine) {
    let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    change(&mut plan.config);
    plan.start_with_engine()
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
    // Byte by byte at the front, so that a record's head is split too.
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
    // The id is free again.
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
    // A request that comes too early never ran.
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
fn what_finds_no_room_in_memory_is_denied() {
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
fn a_repeat_waits_for_the_run_or_takes_its_result_and_nothing_runs_twice() {
    let (fixture, mut engine) = up();
    let (mut one, mut two) = (fixture.client(), fixture.client());
    let pay = |id, nth| request(id, nth, "/svc/pay", &[IDEMPOTENCY_KEY], b"one boat");
    one.send(&[pay(1, 1), pay(2, 2)].concat());
    let (call, body) = engine.next_run();
    assert_eq!(
        (call.as_str(), body.as_slice()),
        (&*attempt_id(1), &b"one boat"[..])
    );
    two.send(&pay(1, 3));
    // Its order among other requests shows that none of the repeats was run.
    two.send_look(2, 4);
    assert_eq!(engine.next_run().0, attempt_id(4));
    engine.send_done(1, &call, "OK", b"paid");
    assert_eq!(
        (one.reply().body, one.reply().body, two.reply().body),
        (b"paid".into(), b"paid".into(), b"paid".into())
    );
    two.send(&pay(3, 5));
    let late = two.reply();
    assert_eq!(
        (late.id, late.status, late.body),
        (3, 200, b"paid".to_vec())
    );
}

#[test]
fn a_repeat_of_a_run_that_failed_is_terminated_not_run_or_denied() {
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
fn a_mark_that_comes_with_another_body_is_refused_and_never_answered_with_the_result() {
    let (fixture, mut engine) = up();
    let mut client = fixture.client();
    let pay = |id, nth, body| request(id, nth, "/svc/pay", &[IDEMPOTENCY_KEY], body);
    client.send(&pay(1, 1, b"one boat"));
    let (call, _) = engine.next_run();
    client.send(&pay(2, 2, b"two boats"));
    assert_eq!(client.reply().status, 400, "while the first runs");
    engine.send_done(1, &call, "OK", b"paid");
    assert_eq!(client.reply().body, b"paid");
    client.send(&[pay(3, 3, b"two boats"), pay(4, 4, b"one boat")].concat());
    let (other, same) = (client.reply(), client.reply());
    assert_eq!(
        (other.status, same.body),
        (400, b"paid".to_vec()),
        "once it has a result"
    );
}

#[test]
fn what_the_engine_never_began_may_run_in_a_later_try() {
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
fn what_was_given_up_in_the_hold_leaves_no_entry_even_past_its_window() {
    let (fixture, mut engine) = up_with(|config| {
        config["settings"]["family_info"]["cores"] = json!(1);
        config["settings"]["lanes"][1]["window"] = json!(1000);
    });
    let mut client = fixture.client();
    client.send_look(1, 1);
    let (first, _) = engine.next_run();
    // With a gauge that reads idle the next is held, not rejected.
    engine.answer_stats(2);
    client.send(&request(2, 2, "/svc/pay", &[IDEMPOTENCY_KEY], b""));
    // Each reading is a turn later: by then the entry has run out for the decisions, and the try is held.
    engine.answer_stats(3);
    client.send(&records::record(2, 2, b""));
    engine.answer_stats(2);
    client.send(&request(3, 3, "/svc/pay", &[IDEMPOTENCY_KEY], b""));
    engine.answer_stats(2);
    engine.send_done(1, &first, "OK", b"");
    assert_eq!(engine.next_run().0, attempt_id(3));
}

#[test]
fn a_cold_engine_is_warm_by_its_age_not_by_when_the_node_met_it() {
    for (age_ms, at_once) in [(0, 3), (3_600_000, 6)] {
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
        for nth in 1..=at_once {
            assert_eq!(engine.next_run().0, attempt_id(nth), "{age_ms} ms old");
        }
        engine.answer_stats(2);
    }
}

#[test]
fn an_aborted_exchange_is_stopped_and_its_id_may_be_used_anew() {
    let (fixture, mut engine) = up();
    let mut client = fixture.client();
    client.send_look(1, 1);
    let (call, _) = engine.next_run();
    // The end of the first run comes after its id was taken by another request.
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
fn a_lost_link_is_taken_up_with_the_last_serial_and_nothing_is_lost_or_run_twice() {
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
    // An answered STAT proves that what was sent before it arrived.
    engine.answer_stats(2);
    drop(engine);
    client.send_look(4, 4);
    let mut engine = fixture.accept_engine();
    engine.handshake(1);
    // The notice missed comes with one that was seen before; then the STAT is answered.
    engine.send_done(1, &calls[0], "OK", b"again");
    engine.send_done(2, &calls[1], "OK", b"second");
    assert_eq!(
        engine.next_run().0,
        attempt_id(4),
        "only what had not arrived is sent"
    );
    engine.send_done(3, &calls[2], "OK", b"third");
    assert_eq!(
        (client.reply().body, client.reply().body),
        (b"second".to_vec(), b"third".to_vec())
    );
    engine.send_done(4, &attempt_id(4), "OK", b"fourth");
    assert_eq!(client.reply().body, b"fourth");
    // One that comes late again does not set the count back.
    engine.send_done(2, &calls[1], "OK", b"second");
    engine.answer_stats(2);
    drop(engine);
    fixture.accept_engine().handshake(4);
}

#[test]
fn a_replaced_configuration_moves_engine_and_registry_and_what_runs_goes_on() {
    let (mut fixture, mut engine) = up();
    let mut client = fixture.client();
    client.send_look(1, 1);
    client.send_look(2, 2);
    let (first, second) = (engine.next_run().0, engine.next_run().0);
    engine.send_done(1, &first, "OK", b"before");
    assert_eq!(client.reply().body, b"before");
    engine.answer_stats(2);
    // One that can't be served changes nothing.
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
        "what runs is not sent again"
    );
    engine.send_done(2, &second, "OK", b"meanwhile");
    assert_eq!(client.reply().body, b"meanwhile");
    engine.send_done(3, &attempt_id(3), "OK", b"after");
    assert_eq!(client.reply().body, b"after");
}

#[test]
fn a_run_that_may_not_have_arrived_is_sent_again_once_the_notices_missed_are_in() {
    let (fixture, mut engine) = up();
    let mut client = fixture.client();
    engine.answer_stats(1);
    client.send_look(1, 1);
    client.send_look(2, 2);
    // Both are read, but the node can't know: no STAT after them is answered.
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
fn engine_lines_that_cannot_be_read_are_survived() {
    let (fixture, mut engine) = up();
    let mut client = fixture.client();
    client.send_look(1, 1);
    let (call, _) = engine.next_run();
    engine
        .reader
        .get_mut()
        .write_all(b"not a notice\n")
        .unwrap();
    // The link is made anew, as the line may have held an end; the same again is lived with.
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
        "what the engine will not run is failed"
    );
}

#[test]
fn a_log_that_nobody_reads_does_not_stop_the_node() {
    let (fixture, mut engine) = up();
    // More than a pipe holds, in lines that are logged at the usual level.
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

/// The engine's side of a long play: what runs, what ended, and each notice, kept for links that are lost.
#[derive(Default)]
struct Play {
    running: Vec<String>,
    ended: BTreeSet<String>,
    notices: Vec<Value>,
    /// The try of each idempotency key that was run.
    ran: BTreeMap<usize, String>,
    /// The idempotency key of each try that has one.
    keys: BTreeMap<String, usize>,
}

impl Play {
    /// Takes the node's commands up to its next reading; whether there were any.
    fn commands(&mut self, engine: &mut Engine) -> bool {
        let mut any = false;
        loop {
            let command = engine.read_command();
            let call = command["call"].as_str().unwrap_or_default().to_string();
            match command["msg"].as_str().unwrap() {
                "STAT" => {
                    engine.answer_stat(&command);
                    return any;
                }
                "RUN" => {
                    assert!(
                        !self.ended.contains(&call),
                        "{call} was sent again after its end"
                    );
                    if let Some(key) = self.keys.get(&call) {
                        let first = self.ran.entry(*key).or_insert_with(|| call.clone());
                        assert_eq!(*first, call, "key {key} runs twice");
                    }
                    if !self.running.contains(&call) {
                        self.running.push(call);
                    }
                }
                "HALT" => self.end(&call, "STOPPED"),
                other => panic!("{other}"),
            }
            any = true;
        }
    }

    fn end(&mut self, call: &str, how: &str) {
        let Some(place) = self.running.iter().position(|running| running == call) else {
            return;
        };
        self.running.swap_remove(place);
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
fn over_a_long_play_with_lost_links_each_is_answered_once_and_no_mark_runs_twice() {
    // A run with a key that a lost link swallowed is in doubt until its deadline, which a reader waits for.
    let (fixture, mut engine) =
        up_with(|config| config["settings"]["lanes"][1]["deadline"] = json!(8_000_000));
    let (mut rng, mut play, mut told) = (fastrand::Rng::with_seed(0x0d00_77ac), Play::default(), 0);
    let mut clients: Vec<Client> = (0..3).map(|_| fixture.client()).collect();
    let mut asked: Vec<(usize, u16, Option<usize>, bool)> = Vec::new();
    play.commands(&mut engine);
    let mut quiet = 0;
    for round in 0.. {
        if round < 25 {
            for _ in 0..rng.usize(0..5) {
                let (client, id) = (rng.usize(0..3), asked.len() as u16 + 1);
                let key = rng.bool().then(|| rng.usize(0..12));
                let text = format!("{:032x}", key.unwrap_or_default());
                let script = if key.is_some() {
                    "/svc/pay"
                } else {
                    "/svc/look"
                };
                let more: Fields = &[("HTTP_IDEMPOTENCY_KEY", &text)];
                clients[client].send(&request(id, id.into(), script, more, text.as_bytes()));
                play.keys
                    .extend(key.map(|key| (attempt_id(id.into()), key)));
                let aborted = rng.u8(0..8) == 0;
                if aborted {
                    clients[client].send(&records::record(2, id, b""));
                }
                asked.push((client, id, key, aborted));
            }
        }
        if round < 25 && rng.u8(0..5) == 0 {
            // What the node has sent and we did not read is lost with the link.
            drop(engine);
            if let Some(call) = rng.choice(&play.running).cloned() {
                play.end(&call, "OK");
            }
            engine = fixture.accept_engine();
            let attach = engine.read_command();
            assert_eq!(attach["msg"], "ATTACH");
            told = attach["serial"].as_u64().unwrap() as usize;
            engine.send(json!({"msg": "HELLO", "how": "WARM", "duration": 1}));
            // What had ended meanwhile is told first; then nothing ends until runs were sent again, since
            // that is the one moment in which the node can't know.
            play.notices[told..]
                .iter()
                .for_each(|notice| engine.send(notice.clone()));
            told = play.notices.len();
            play.commands(&mut engine);
        }
        let any = play.commands(&mut engine);
        quiet = if any || !play.running.is_empty() || round < 25 {
            0
        } else {
            quiet + 1
        };
        if quiet == 3 {
            break;
        }
        for _ in 0..rng.usize(0..4) {
            if let Some(call) = rng.choice(&play.running).cloned() {
                play.end(&call, if rng.u8(0..5) == 0 { "ERROR" } else { "OK" });
            }
        }
        play.notices[told..]
            .iter()
            .for_each(|notice| engine.send(notice.clone()));
        told = play.notices.len();
    }
    for (nth, client) in clients.iter_mut().enumerate() {
        let mut open: BTreeMap<u16, (Option<usize>, bool)> = BTreeMap::new();
        open.extend(
            asked
                .iter()
                .filter(|(c, ..)| *c == nth)
                .map(|(_, id, key, aborted)| (*id, (*key, *aborted))),
        );
        while open.values().any(|(_, aborted)| !aborted) {
            let reply = client.reply();
            let (key, _) = open
                .remove(&reply.id)
                .expect("answered twice, or never asked");
            if reply.status == 200 {
                let run = key.map_or(attempt_id(reply.id.into()), |key| play.ran[&key].clone());
                assert_eq!(String::from_utf8_lossy(&reply.body), format!("of {run}"));
            }
        }
    }
    assert!(
        play.ended.len() > 20 && play.ran.len() > 3,
        "little was run"
    );
}

#[test]
fn a_broken_record_ends_its_connection_after_what_is_open_was_answered() {
    let (fixture, mut engine) = up();
    let (mut broken, mut other) = (fixture.client(), fixture.client());
    broken.send_look(1, 1);
    let (call, _) = engine.next_run();
    // One is half read when a record of another version comes.
    broken.send(&records::record(1, 2, &[0, 1, 1, 0, 0, 0, 0, 0]));
    broken.send(&[9, 1, 0, 1, 0, 0, 0, 0]);
    let half = broken.reply();
    assert_eq!((half.id, half.status), (2, 400));
    other.send_look(1, 2);
    let (second, _) = engine.next_run();
    engine.send_done(1, &second, "OK", b"untouched");
    assert_eq!(other.reply().body, b"untouched");
    engine.send_done(2, &call, "OK", b"whole");
    assert_eq!(broken.reply().body, b"whole");
    assert!(broken.is_closed());
}

#[test]
fn bad_requests_are_answered_alone_and_a_doubled_id_runs_nothing() {
    let (fixture, mut engine) = up();
    let mut client = fixture.client();
    for (script, more, body, status) in [
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
        client.send(&request(1, 1, script, more, &vec![7; body]));
        assert_eq!(client.reply().status, status, "{script} {more:?}");
    }
    // A role that is no Responder is refused in the protocol's own words.
    client.send(&records::record(1, 1, &[0, 2, 1, 0, 0, 0, 0, 0]));
    assert_eq!(client.reply().status, 3);
    client.send_look(1, 1);
    let (call, _) = engine.next_run();
    client.send_look(2, 1);
    let doubled = client.reply();
    assert_eq!((doubled.id, doubled.status), (2, 400));
    engine.send_done(1, &call, "OK", b"once");
    assert_eq!(client.reply().body, b"once");
    client.send_look(3, 1);
    assert_eq!(client.reply().status, 400);
}

#[test]
fn management_records_are_answered_and_a_connection_not_to_be_kept_is_closed_after_its_answer() {
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
        "UNKNOWN_TYPE of what was sent"
    );
    let mut check = request(5, 1, "/status/live", &[], b"");
    check[8 + 2] = 0;
    client.send(&check);
    assert_eq!(client.reply().status, 200);
    assert!(client.is_closed());
}

#[test]
fn more_open_than_the_protocol_allows_is_refused_as_never_run() {
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
fn what_a_broken_connection_had_open_is_stopped() {
    let (fixture, mut engine) = up();
    let (mut gone, mut client) = (fixture.client(), fixture.client());
    gone.send_look(1, 1);
    let (call, _) = engine.next_run();
    engine.send_done(1, &call, "OK", b"never read");
    gone.send_look(2, 2);
    let (call, _) = engine.next_run();
    // The first answer lies unread, so closing resets the connection.
    drop(gone);
    assert_eq!(engine.next_command(), json!({"msg": "HALT", "call": call}));
    engine.send_done(2, &call, "STOPPED", b"");
    client.send_look(1, 3);
    let (call, _) = engine.next_run();
    engine.send_done(3, &call, "OK", b"on it goes");
    assert_eq!(client.reply().body, b"on it goes");
}

#[test]
fn an_idle_connection_is_closed_as_decided_and_one_with_a_request_open_is_not() {
    let gauges = json!(["core_use", "links"]);
    let (fixture, mut engine) =
        up_with(|config| config["settings"]["family_info"]["gauges"] = gauges);
    let (mut idle, mut client) = (fixture.client(), fixture.client());
    client.send_look(1, 1);
    let (call, _) = engine.next_run();
    // How long one may lie idle is decided with a reading of the gauges.
    engine.answer_stats(3);
    assert!(idle.is_closed());
    engine.send_done(1, &call, "OK", b"still here");
    assert_eq!(client.reply().body, b"still here");
}

#[test]
fn a_request_that_trickles_is_answered_and_its_connection_closed() {
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
fn who_connects_and_asks_nothing_is_closed_and_who_asked_once_may_stay() {
    let (fixture, _engine) = up_with(|config| {
        for lane in 0..2 {
            config["settings"]["lanes"][lane]["deadline"] = json!(1_500_000);
        }
    });
    let mut known = fixture.client();
    known.send(&request(1, 1, "/status/live", &[], b""));
    assert_eq!(known.reply().status, 200);
    let (mut silent, mut half) = (fixture.client(), fixture.client());
    half.send(&[1, 1, 0]);
    assert!(silent.is_closed() && half.is_closed());
    known.send(&request(2, 2, "/status/live", &[], b""));
    assert_eq!(known.reply().status, 200);
}

#[test]
fn a_body_without_end_is_refused_at_once_and_its_connection_given_up() {
    let (fixture, _engine) = up();
    let mut client = fixture.client();
    let whole = request(7, 1, "/svc/look", &[], &[9; 2048]);
    // All but the end of the stream, and then more of it.
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
        "before its end has come"
    );
    let more = records::record(5, 7, &[9; 60_000]);
    let given_up = (0..1000).any(|_| client.sock.write_all(&more).is_err());
    assert!(given_up, "60 MB were read");
}

#[test]
fn after_a_stall_ends_count_before_times_that_ran_out_and_all_is_answered_once() {
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
    assert_eq!(client.reply().id, 9, "one was answered twice");
}

#[test]
fn a_node_whose_work_hangs_is_reported_unfit_until_it_goes_on() {
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
fn a_full_table_closes_an_idle_connection_and_never_one_with_a_request_open() {
    let (fixture, mut engine) = up_with(|config| config["limits"]["sockets"] = json!(32));
    let mut clients: Vec<Client> = (0..8).map(|_| fixture.client()).collect();
    for (n, client) in clients.iter_mut().enumerate().skip(1) {
        client.send_look(1, n as u64);
    }
    let runs: Vec<String> = (0..6).map(|_| engine.next_run().0).collect();
    // The ninth takes the place of the one that has nothing open and never asked for anything.
    let mut ninth = fixture.client();
    ninth.send(&request(1, 9, "/status/live", &[], b""));
    assert_eq!(ninth.reply().status, 200);
    assert!(clients[0].is_closed());
    // A tenth waits in the backlog until there is room again.
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
fn answers_that_nobody_reads_cost_bounded_memory_and_the_others_nothing() {
    let (fixture, mut engine) = up_with(|config| {
        config["limits"]["memory_mb"] = json!(16);
        config["settings"]["family_info"]["memory_kb"] = json!(1000);
    });
    let (mut deaf, mut client) = (fixture.client(), fixture.client());
    deaf.sock
        .set_write_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    // Each is rejected at once for its size. Past what the sockets hold the node stops reading, or hangs up.
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
    let stuck = (0..4000).any(|_| deaf.sock.write_all(&bytes).is_err());
    assert!(stuck, "the node went on reading");
    client.send_look(1, 99_999);
    let (call, _) = engine.next_run();
    engine.send_done(1, &call, "OK", b"as ever");
    assert_eq!(client.reply().body, b"as ever");
    let status = std::fs::read_to_string(format!("/proc/{}/status", fixture.program.id())).unwrap();
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .unwrap();
    let kb: u64 = peak.split_whitespace().next().unwrap().parse().unwrap();
    assert!(kb < 16_000, "{kb} kB");
}

#[test]
fn a_drain_answers_what_it_took_in_denies_what_comes_late_and_ends_by_itself() {
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
    // Stamps are whole ms, so one that surely lies after the notice is a little in the future.
    let stamp = (unix_ms() + 10).to_string();
    client.send(&request(
        3,
        3,
        "/svc/look",
        &[("HTTP_X_REQUEST_START", &stamp)],
        b"",
    ));
    let late = client.reply();
    assert_eq!((late.id, late.status), (3, 503), "it came after the grace");
    client.send(&request(4, 4, "/status/live", &[], b""));
    assert_eq!(client.reply().status, 503);
    engine.send_done(1, &call, "OK", b"in time");
    assert_eq!(client.reply().body, b"in time");
    let cut = client.reply();
    assert_eq!(
        (cut.id, cut.status),
        (2, 500),
        "what can't be done by the stop is failed before it"
    );
    assert!(client.is_closed());
    let (code, log) = fixture.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(log.contains("draining"), "{log}");
}

#[test]
fn faults_at_the_start_are_plain_and_name_the_key() {
    let ends = |change: fn(&mut Value)| start(change).wait_for_exit();
    let (code, log) = ends(|config| config["settings"]["family_info"]["below"] = json!("common"));
    assert_eq!(code, Some(1));
    assert!(log.contains("below") && log.lines().count() == 1, "{log}");
    let (code, log) = ends(|config| config["listen"] = json!("192.0.2.1:9"));
    assert_eq!(code, Some(1));
    assert!(
        log.contains("config.listen") && !log.contains("panicked"),
        "{log}"
    );
    for (name, file) in [("GW_CONFIG", "/nowhere/at/all"), ("GW_OTHER", "")] {
        let out = Command::new(env!("CARGO_BIN_EXE_doortrack"))
            .env_clear()
            .env(name, file)
            .output()
            .unwrap();
        assert_eq!(out.status.code(), Some(1));
        assert!(String::from_utf8_lossy(&out.stderr).contains("GW_CONFIG"));
    }
}
