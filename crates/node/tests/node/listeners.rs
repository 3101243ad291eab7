//! Listeners of the installation file (`fronts`) in both protocols beside the configuration's listener: they give
//! the same answers, share the node's state and keep their bounds.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::time::Duration;

use doortrack_fakes::caller::{CallerOutcome, CallerRequest, PendingAnswer, parse_response};
use doortrack_fakes::engine::Engine;
use doortrack_fakes::fixture::{NodeFixture, NodeSetup, connect};
use doortrack_fakes::records::IDEMPOTENCY_KEY;
use doortrack_fakes::{attempt_id, unix_ms};
use doortrack_protocols::Protocol::{self, FastCgi, Uwsgi};
use serde_json::{Value, json};

/// Starts a node with a listener for each protocol and an attached engine. Returns the node, the engine and the
/// listeners' protocols and addresses.
fn start_with(
    change: impl FnOnce(&mut Value, &mut Value),
) -> (NodeFixture, Engine, [(Protocol, SocketAddr); 2]) {
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    let listeners = [(FastCgi, setup.port(9091)), (Uwsgi, setup.port(9092))];
    let mut installation = json!({"fronts": listeners.map(|(protocol, at)| {
        json!({"protocol": protocol.name(), "listen": at.to_string()})
    })});
    change(&mut setup.config, &mut installation);
    setup.installation = Some(installation);
    let (fixture, engine) = setup.start_with_engine();
    (fixture, engine, listeners)
}

fn start() -> (NodeFixture, Engine, [(Protocol, SocketAddr); 2]) {
    start_with(|_, _| {})
}

fn pay(nth: u64, body: &[u8]) -> CallerRequest<'_> {
    CallerRequest::new(nth, "/svc/pay", body).with(IDEMPOTENCY_KEY.0, IDEMPOTENCY_KEY.1)
}

/// Sends these bytes on a new connection and reads the answer to its end.
fn send_raw(at: SocketAddr, protocol: Protocol, bytes: &[u8]) -> CallerOutcome {
    let mut sock = connect(at);
    // The node may refuse the request and close the connection before all bytes are sent.
    _ = sock.write_all(bytes);
    PendingAnswer { sock, protocol }.outcome()
}

#[test]
fn outcomes_are_the_same_on_every_listener() {
    let (_fixture, mut engine, listeners) = start_with(|config, _| {
        config["settings"]["family_info"]["memory_kb"] = json!(1000);
    });
    let body: Vec<u8> = (0..2048).map(|n| n as u8).collect();
    let result: Vec<u8> = body.iter().rev().copied().cycle().take(4096).collect();
    let mut collect_outcomes = |protocol, at, base: u64| {
        let mut all = Vec::new();
        let pending_answer = CallerRequest::new(base, "/svc/look", &body).send(at, protocol);
        assert_eq!(
            engine.next_run(),
            (attempt_id(base), body.clone()),
            "the body is passed on unchanged"
        );
        engine.finish_run(&attempt_id(base), "OK", &result);
        let (caller_outcome, mut headers) = pending_answer.outcome_with_headers();
        assert_eq!(caller_outcome, CallerOutcome::Completed(result.clone()));
        headers.remove("Content-Length");
        all.push(format!("{headers:?}"));
        let pending_answer = CallerRequest::new(base + 1, "/svc/look", b"").send(at, protocol);
        engine.next_run();
        engine.finish_run(&attempt_id(base + 1), "ERROR", b"");
        let (caller_outcome, mut headers) = pending_answer.outcome_with_headers();
        headers.remove("Content-Length");
        all.push(format!("{caller_outcome:?} {headers:?}"));
        let long = [1; 2049];
        for request in [
            CallerRequest::new(base + 2, "/status/live", b""),
            CallerRequest::new(base + 3, "/svc/look", b"").with("HTTP_X_MEMORY_KB", "1999"),
            CallerRequest::new(base + 4, "/svc/none", b""),
            CallerRequest::new(base + 5, "/svc/look", b"").with("REQUEST_METHOD", "GET"),
            CallerRequest::new(base + 6, "/svc/look", b"").with("HTTP_X_RANK", "1"),
            CallerRequest::new(base + 7, "/svc/look", b"").with("HTTP_X_CALLER", ""),
            CallerRequest::new(base + 8, "/svc/look", b"")
                .with("HTTP_X_OBJECT", "1")
                .with("HTTP_X_OBJECT", "1"),
            CallerRequest::new(base + 9, "/svc/pay", b""),
            CallerRequest::new(base + 10, "/svc/look", &long),
            CallerRequest::new(base, "/svc/look", b"an id that was used"),
        ] {
            let (caller_outcome, mut headers) = request.send(at, protocol).outcome_with_headers();
            headers.remove("Content-Length");
            all.push(format!("{caller_outcome:?} {headers:?}"));
        }
        all
    };
    let reported = listeners.map(|(protocol, at)| {
        collect_outcomes(protocol, at, if protocol == Uwsgi { 100 } else { 200 })
    });
    assert_eq!(reported[0], reported[1]);
    let kinds = [
        "Failed",
        "Completed",
        "Rejected",
        "400",
        "400",
        "400",
        "400",
        "400",
        "400",
        "413",
        "400",
    ];
    assert!(
        kinds
            .iter()
            .zip(&reported[0][1..])
            .all(|(kind, reported)| reported.contains(kind)),
        "{:#?}",
        reported[0]
    );
}

#[test]
fn a_deduplicated_request_repeated_over_another_protocol_runs_once() {
    let (_fixture, mut engine, [fastcgi, uwsgi]) = start();
    let mut nth = 0;
    for (first, again) in [(fastcgi, uwsgi), (uwsgi, fastcgi)] {
        for how in ["OK", "ERROR", "MOOT"] {
            let key = format!("{nth:032x}");
            let mut send_request = |(protocol, at): (Protocol, SocketAddr)| {
                nth += 1;
                let request = CallerRequest::new(nth, "/svc/pay", b"berth 4")
                    .with("HTTP_IDEMPOTENCY_KEY", &key);
                (attempt_id(nth), request.send(at, protocol))
            };
            let (call, one) = send_request(first);
            assert_eq!(engine.next_run().0, call);
            // A repeat during the run is attached to it: the engine receives nothing but STAT.
            let (_, two) = send_request(again);
            engine.answer_stats(4);
            engine.finish_run(&call, how, b"moored");
            let wanted = if how == "OK" {
                CallerOutcome::Completed(b"moored".into())
            } else {
                CallerOutcome::Failed
            };
            assert_eq!(
                [one.outcome(), two.outcome()],
                [wanted.clone(), wanted.clone()],
                "{how}"
            );
            // A repeat after the run gets its result or a failure; a request that never ran may run now.
            let (call, three) = send_request(again);
            if how == "MOOT" {
                assert_eq!(engine.next_run().0, call);
                engine.finish_run(&call, "OK", b"at last");
                assert_eq!(three.outcome(), CallerOutcome::Completed(b"at last".into()));
            } else {
                assert_eq!(three.outcome(), wanted, "{how}");
            }
        }
    }
}

#[test]
fn two_attempts_in_one_turn_and_a_held_one_run_once() {
    let (fixture, mut engine, [fastcgi, uwsgi]) = start_with(|config, _| {
        config["settings"]["family_info"]["cores"] = json!(1);
    });
    for (round, (first, again)) in [(fastcgi, uwsgi), (uwsgi, fastcgi)].into_iter().enumerate() {
        let (base, key) = (round as u64 * 10, format!("{round:032x}"));
        let new_request =
            |n| CallerRequest::new(base + n, "/svc/pay", b"x").with("HTTP_IDEMPOTENCY_KEY", &key);
        // The only core is in use, so the next request is held.
        engine.answer_stats(2);
        let busy = CallerRequest::new(base + 1, "/svc/look", b"").send(fastcgi.1, fastcgi.0);
        assert_eq!(engine.next_run().0, attempt_id(base + 1));
        // The process is suspended while both are sent, so that it reads them in one turn.
        fixture.signal("-STOP");
        let one = new_request(2).send(first.1, first.0);
        let two = new_request(3).send(again.1, again.0);
        std::thread::sleep(Duration::from_millis(30));
        fixture.signal("-CONT");
        let held = new_request(4).send(first.1, first.0);
        engine.finish_run(&attempt_id(base + 1), "OK", b"");
        assert!(matches!(busy.outcome(), CallerOutcome::Completed(_)));
        let (call, _) = engine.next_run();
        assert!(
            [2, 3, 4].map(|n| attempt_id(base + n)).contains(&call),
            "{call}"
        );
        engine.answer_stats(4);
        engine.finish_run(&call, "OK", b"once");
        for pending_answer in [one, two, held] {
            assert_eq!(
                pending_answer.outcome(),
                CallerOutcome::Completed(b"once".into())
            );
        }
    }
}

#[test]
fn a_uwsgi_peer_that_disconnects_at_any_byte_affects_no_others() {
    let (fixture, mut engine, [fastcgi, uwsgi]) = start();
    let whole = pay(1, b"a body").bytes(Uwsgi);
    // Cut within the head, the variables or the body: the request never runs.
    for cut in [
        1,
        3,
        4,
        20,
        whole.len() - 7,
        whole.len() - 3,
        whole.len() - 1,
    ] {
        for reset in [false, true] {
            let mut sock = connect(uwsgi.1);
            sock.write_all(&whole[..cut]).unwrap();
            let pending = PendingAnswer {
                sock,
                protocol: Uwsgi,
            };
            if reset {
                pending.reset();
            } else {
                pending.half_close();
                assert_eq!(pending.outcome(), CallerOutcome::Nothing, "cut at {cut}");
            }
        }
    }
    // Left after the last byte or within the answer: the request runs once, and a repeat gets its result.
    for round in 0..4 {
        let (n, key) = (10 * (round + 1), format!("{round:032x}"));
        let new_request =
            |n| CallerRequest::new(n, "/svc/pay", b"a body").with("HTTP_IDEMPOTENCY_KEY", &key);
        let pending = new_request(n).send(uwsgi.1, Uwsgi);
        let result = vec![7; 4096];
        match round {
            0 => drop(pending),
            1 => pending.reset(),
            2 => {
                pending.half_close();
                let (call, _) = engine.next_run();
                engine.finish_run(&call, "OK", &result);
                assert_eq!(pending.outcome(), CallerOutcome::Completed(result.clone()));
            }
            _ => {
                let (call, _) = engine.next_run();
                engine.finish_run(&call, "OK", &result);
                let mut sock = &pending.sock;
                sock.read_exact(&mut [0; 40]).unwrap();
                pending.reset();
            }
        }
        let mut again = Some(new_request(n + 1).send(fastcgi.1, FastCgi));
        if round < 2 {
            // A broken connection may stop the run; then the repeat fails.
            let (call, _) = engine.next_run();
            assert_eq!(call, attempt_id(n));
            let halted = round == 1
                && engine
                    .next_command_within_stats(6)
                    .is_some_and(|c| c["msg"] == "HALT");
            engine.finish_run(&call, if halted { "STOPPED" } else { "OK" }, &result);
            let caller_outcome = again.take().unwrap().outcome();
            let wanted = if halted {
                CallerOutcome::Failed
            } else {
                CallerOutcome::Completed(result)
            };
            assert_eq!(caller_outcome, wanted, "round {round}");
        } else {
            assert_eq!(
                again.take().unwrap().outcome(),
                CallerOutcome::Completed(result),
                "round {round}"
            );
        }
    }
    fixture.signal("-TERM");
    assert_eq!(fixture.wait_for_exit().0, Some(0));
}

#[test]
fn invalid_requests_are_refused_at_once() {
    let (_fixture, mut engine, [_, (_, at)]) = start();
    let sound = CallerRequest::new(1, "/svc/look", b"");
    let with_length = |length: &str, body: &[u8]| {
        let mut bytes = sound.bytes(Uwsgi);
        // CONTENT_LENGTH is the last variable: one digit after its length in two bytes.
        bytes.truncate(bytes.len() - 3);
        bytes.extend((length.len() as u16).to_le_bytes());
        bytes.extend(length.bytes());
        let size = (bytes.len() as u16 - 4).to_le_bytes();
        bytes[1..3].copy_from_slice(&size);
        bytes.extend(body);
        bytes
    };
    let refused = |status, bytes: &[u8]| match send_raw(at, Uwsgi, bytes) {
        CallerOutcome::Unreadable(answer_status, _) => assert_eq!(answer_status, status),
        other => panic!("{other:?}"),
    };
    for length in ["-1", "x", "99999999999999999999", "1 "] {
        refused(400, &with_length(length, b""));
    }
    // Refused before any byte of the body has arrived, and also while the body keeps arriving.
    refused(413, &with_length("2049", b""));
    refused(413, &with_length("999999999999", &vec![b'x'; 200_000]));
    refused(400, &[5, 0, 0, 0]);
    refused(400, &[0, 5, 0, 0, 9, 0, b'A', b'B', b'C']);
    refused(
        413,
        &[&[0, 255, 255, 0, 1, 0, b'A', 250, 255][..], &[b'x'; 65_530]].concat(),
    );
    refused(400, &[100, 1, 0, 0, 0]);
    refused(400, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    // Bytes after the body: the request is valid and the rest is ignored.
    let mut sock = connect(at);
    sock.write_all(&[sound.bytes(Uwsgi), vec![0; 5000]].concat())
        .unwrap();
    let (call, _) = engine.next_run();
    engine.finish_run(&call, "OK", b"done");
    assert_eq!(
        PendingAnswer {
            sock,
            protocol: Uwsgi
        }
        .outcome(),
        CallerOutcome::Completed(b"done".into())
    );
}

#[test]
fn a_ping_is_a_health_check_and_slow_connections_are_closed() {
    let (fixture, _engine, [_, (_, at)]) = start_with(|config, _| {
        for lane in config["settings"]["lanes"].as_array_mut().unwrap() {
            lane["deadline"] = json!(600_000);
            lane["target"] = json!(300_000);
        }
    });
    let ping = |at| {
        let (mut sock, mut pong) = (connect(at), Vec::new());
        sock.write_all(&[100, 0, 0, 0]).unwrap();
        sock.read_to_end(&mut pong).unwrap();
        pong
    };
    assert_eq!(ping(at), [100, 0, 0, 1]);
    let whole = CallerRequest::new(1, "/svc/look", b"body").bytes(Uwsgi);
    for cut in [0, 2, 30, whole.len() - 2] {
        let mut sock = connect(at);
        sock.write_all(&whole[..cut]).unwrap();
        let caller_outcome = PendingAnswer {
            sock,
            protocol: Uwsgi,
        }
        .outcome();
        let begun = cut >= 4;
        assert_eq!(
            matches!(caller_outcome, CallerOutcome::Unreadable(400, _)),
            begun,
            "{cut}: {caller_outcome:?}"
        );
        assert_eq!(
            caller_outcome == CallerOutcome::Nothing,
            !begun,
            "{cut}: {caller_outcome:?}"
        );
    }
    // A connection that sends single bytes is closed as well, however often a byte arrives.
    let mut sock = connect(at);
    sock.set_nonblocking(true).unwrap();
    let mut closed = false;
    for byte in whole.iter().cycle().take(2000) {
        closed |= sock.write(std::slice::from_ref(byte)).is_err();
        closed |= matches!(sock.read(&mut [0; 512]), Ok(0));
        if closed {
            break;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(closed, "a request sent byte by byte never times out");
    fixture.signal("-TERM");
    fixture.wait_for_report("draining");
    assert_eq!(ping(at), [&[100, 9, 0, 1][..], b"not ready"].concat());
}

#[test]
fn a_listener_with_unread_answers_slows_no_other() {
    let (_fixture, mut engine, [fastcgi, uwsgi]) = start();
    // Many answers on one listener are left unread.
    let unread_answers: Vec<PendingAnswer> = (0..40)
        .map(|n| CallerRequest::new(n, "/status/live", b"").send(fastcgi.1, FastCgi))
        .collect();
    let mut sender = connect(fastcgi.1);
    sender.set_nonblocking(true).unwrap();
    let check = CallerRequest::new(1, "/status/live", b"").bytes(FastCgi);
    let mut kept = check.clone();
    kept[10] = 1; // The FCGI_KEEP_CONN flag.
    for _ in 0..2000 {
        // A partial write may cut a request anywhere, which does not matter here.
        let sent = sender.write(&kept);
        assert!(sent.is_ok_and(|n| n > 0) || sender.take_error().unwrap().is_none());
    }
    for n in 100..130 {
        let pending_answer = CallerRequest::new(n, "/svc/look", b"").send(uwsgi.1, Uwsgi);
        let (call, _) = engine.next_run();
        engine.finish_run(&call, "OK", b"heard");
        assert_eq!(
            pending_answer.outcome(),
            CallerOutcome::Completed(b"heard".into())
        );
    }
    assert_eq!(unread_answers.len(), 40);
}

#[test]
fn ten_thousand_short_connections_leak_no_descriptors_or_memory() {
    let (fixture, mut engine, [_, (_, at)]) = start();
    let id = fixture.program.id();
    let descriptors = || std::fs::read_dir(format!("/proc/{id}/fd")).unwrap().count();
    let resident_kb = || {
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .unwrap();
        line.split_whitespace()
            .next()
            .unwrap()
            .parse::<u64>()
            .unwrap()
    };
    let check = CallerRequest::new(1, "/status/live", b"").bytes(Uwsgi);
    let run_connections = |count: u32| {
        for nth in 0..count {
            let mut sock = connect(at);
            // Some connections send nothing, some close within a request, most are served.
            match nth % 10 {
                0 => {}
                1 => sock.write_all(&check[..check.len() / 2]).unwrap(),
                _ => {
                    sock.write_all(&check).unwrap();
                    let mut answer = Vec::new();
                    sock.read_to_end(&mut answer).unwrap();
                    assert!(matches!(
                        parse_response(Uwsgi, &answer).0,
                        CallerOutcome::Completed(_)
                    ));
                }
            }
        }
    };
    run_connections(1000);
    let (before, kb_before) = (descriptors(), resident_kb());
    run_connections(9000);
    // This request is served after all the others, whose connections the node has then closed.
    let pending_answer = CallerRequest::new(1, "/svc/look", b"").send(at, Uwsgi);
    let (call, _) = engine.next_run();
    engine.finish_run(&call, "OK", b"");
    assert!(matches!(
        pending_answer.outcome(),
        CallerOutcome::Completed(_)
    ));
    let (after, kb_after) = (descriptors(), resident_kb());
    assert!(after <= before + 2, "{before} descriptors, then {after}");
    assert!(
        kb_after <= kb_before + 1000,
        "{kb_before} kB, then {kb_after}"
    );
}

#[test]
fn a_listener_keeps_its_own_connection_limit() {
    let (_fixture, _engine, [fastcgi, uwsgi]) = start_with(|_, installation| {
        installation["fronts"][1]["connections"] = json!(2);
    });
    // Two silent connections use up the listener's limit; a third evicts the first.
    let mut silent: Vec<TcpStream> = (0..2).map(|_| connect(uwsgi.1)).collect();
    std::thread::sleep(Duration::from_millis(20));
    let served = CallerRequest::new(1, "/status/live", b"")
        .send(uwsgi.1, Uwsgi)
        .outcome();
    assert!(matches!(served, CallerOutcome::Completed(_)));
    assert_eq!(silent[0].read(&mut [0]).unwrap(), 0);
    let others: Vec<PendingAnswer> = (0..30)
        .map(|n| CallerRequest::new(n, "/status/live", b"").send(fastcgi.1, FastCgi))
        .collect();
    assert!(
        others
            .into_iter()
            .all(|pending| matches!(pending.outcome(), CallerOutcome::Completed(_)))
    );
}

#[test]
fn clients_that_send_after_their_answer_hold_no_slot() {
    let (_fixture, _engine, [_, (_, at)]) = start_with(|_, installation| {
        installation["fronts"][1]["connections"] = json!(3);
    });
    // The request is refused while the client still sends; the connection stays open for a while so that the client
    // can read the answer.
    let senders: Vec<TcpStream> = (0..3)
        .map(|_| {
            let mut sock = connect(at);
            sock.write_all(&[5, 0, 0, 0, 1, 2, 3]).unwrap();
            let mut answer = [0; 12];
            sock.read_exact(&mut answer).unwrap();
            assert_eq!(&answer, b"HTTP/1.1 400");
            sock.write_all(&[0; 100]).unwrap();
            sock
        })
        .collect();
    for n in 0..20 {
        let caller_outcome = CallerRequest::new(n, "/status/live", b"")
            .send(at, Uwsgi)
            .outcome();
        assert!(matches!(caller_outcome, CallerOutcome::Completed(_)));
    }
    drop(senders);
}

#[test]
fn listeners_change_at_run_time_and_no_pending_request_is_lost() {
    let (fixture, mut engine, [fastcgi, uwsgi]) = start();
    let new = SocketAddr::new(fixture.address.ip(), 9093);
    let listener_entry = |protocol: Protocol, at: SocketAddr| json!({"protocol": protocol.name(), "listen": at.to_string()});
    let pending_answers = [fastcgi, uwsgi].map(|(protocol, at)| {
        CallerRequest::new(at.port().into(), "/svc/look", b"").send(at, protocol)
    });
    let calls = [engine.next_run().0, engine.next_run().0];
    // An installation file with a conflicting address changes nothing.
    fixture.replace_installation(
        &json!({"fronts": [listener_entry(Uwsgi, new), listener_entry(FastCgi, new)]}),
    );
    engine.answer_stats(4);
    assert!(matches!(
        CallerRequest::new(7, "/status/live", b"")
            .send(uwsgi.1, Uwsgi)
            .outcome(),
        CallerOutcome::Completed(_)
    ));
    // One listener is closed, one is opened and one changes its protocol.
    fixture.replace_installation(
        &json!({"fronts": [listener_entry(Uwsgi, new), listener_entry(FastCgi, uwsgi.1)]}),
    );
    assert!(matches!(
        CallerRequest::new(8, "/status/live", b"")
            .send(new, Uwsgi)
            .outcome(),
        CallerOutcome::Completed(_)
    ));
    assert!(matches!(
        CallerRequest::new(9, "/status/live", b"")
            .send(uwsgi.1, FastCgi)
            .outcome(),
        CallerOutcome::Completed(_)
    ));
    assert!(
        TcpStream::connect(fastcgi.1).is_err(),
        "the removed listener still accepts"
    );
    for (call, pending) in calls.iter().zip(pending_answers) {
        engine.finish_run(call, "OK", b"kept");
        assert_eq!(pending.outcome(), CallerOutcome::Completed(b"kept".into()));
    }
    fixture.replace_installation(&json!({}));
    fixture.signal("-TERM");
    let (code, log) = fixture.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(
        log.contains("taken by installation.fronts[0]") && log.contains("listener closed"),
        "{log}"
    );
}

#[test]
fn a_drain_answers_held_and_running_requests_on_all_listeners() {
    let (fixture, mut engine, [fastcgi, uwsgi]) = start_with(|config, _| {
        config["stop_ms"] = json!(1500);
        config["settings"]["safety"]["drain_grace"] = json!(0);
        config["settings"]["family_info"]["cores"] = json!(2);
    });
    let mut nth = 0;
    let mut send_request = |(protocol, at): (Protocol, SocketAddr)| {
        nth += 1;
        CallerRequest::new(nth, "/svc/look", b"").send(at, protocol)
    };
    let runs = [
        send_request(fastcgi),
        send_request(uwsgi),
        send_request(fastcgi),
    ];
    let mut calls = [
        engine.next_run().0,
        engine.next_run().0,
        engine.next_run().0,
    ];
    calls.sort_unstable();
    let held = [send_request(fastcgi), send_request(uwsgi)];
    engine.answer_stats(2);
    fixture.signal("-TERM");
    fixture.wait_for_report("draining");
    let stamp = (unix_ms() + 10).to_string();
    let late = |n, (protocol, at): (Protocol, SocketAddr)| {
        CallerRequest::new(n, "/svc/look", b"")
            .with("HTTP_X_REQUEST_START", &stamp)
            .send(at, protocol)
            .outcome()
    };
    let late = [late(50, fastcgi), late(51, uwsgi)];
    assert!(
        late.iter()
            .all(|caller_outcome| matches!(caller_outcome, CallerOutcome::Rejected { .. })),
        "{late:?}"
    );
    // A partial request at the stop is refused, not left without an answer.
    let mut half = connect(uwsgi.1);
    half.write_all(&CallerRequest::new(60, "/svc/look", b"body").bytes(Uwsgi)[..50])
        .unwrap();
    let [one, two, three] = runs;
    for (call, pending) in calls[..2].iter().zip([one, two]) {
        engine.finish_run(call, "OK", b"in time");
        assert_eq!(
            pending.outcome(),
            CallerOutcome::Completed(b"in time".into())
        );
    }
    let ends = held.map(|pending| pending.outcome());
    assert!(!ends.contains(&CallerOutcome::Nothing), "{ends:?}");
    assert_eq!(
        three.outcome(),
        CallerOutcome::Failed,
        "a run that cannot finish by the stop fails before it"
    );
    assert!(matches!(
        PendingAnswer {
            sock: half,
            protocol: Uwsgi
        }
        .outcome(),
        CallerOutcome::Rejected { .. }
    ));
    let (code, log) = fixture.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    let has_summary = |what: &str| {
        log.lines()
            .any(|line| line.contains("listener summary") && line.contains(what))
    };
    assert!(
        has_summary("protocol=uwsgi") && has_summary("protocol=fastcgi"),
        "{log}"
    );
}

fn run_doortrack(arguments: &[&str]) -> (Option<i32>, String, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_doortrack"))
        .env_clear()
        .args(arguments)
        .output()
        .unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (out.status.code(), text(out.stdout), text(out.stderr))
}

#[test]
fn the_stored_schema_matches_the_printed_one() {
    let schema_file = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/installation.schema.json"
    );
    let (code, printed, _) = run_doortrack(&["schema"]);
    assert_eq!(code, Some(0));
    assert!(
        std::fs::read_to_string(schema_file).unwrap() == printed,
        "doortrack schema > deploy/installation.schema.json"
    );
}

#[test]
fn every_fault_of_an_installation_is_reported_with_its_path() {
    let folder = std::env::temp_dir().join(format!("doortrack-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("installation.json");
    let check = |value: Value| {
        std::fs::write(&file, value.to_string()).unwrap();
        let (code, out, _) = run_doortrack(&["check", "--installation", file.to_str().unwrap()]);
        (code, out)
    };
    let good =
        json!({"fronts": [{"protocol": "uwsgi", "listen": "127.0.0.1:9091", "connections": 4}]});
    let (code, output) = check(good);
    assert_eq!(
        (code, output.as_str()),
        (Some(0), "good: uwsgi on 127.0.0.1:9091\n")
    );
    assert_eq!(check(json!({})).0, Some(0));
    let (code, reported) = check(json!({"front": [], "fronts": [
        {"protocol": "uwsgi", "listen": "127.0.0.1:65536"},
        {"protocl": "uwsgi", "listen": "127.0.0.1:9091"},
        {"protocol": "http", "listen": 5, "connections": -1}
    ]}));
    assert_eq!(code, Some(1));
    for path in [
        "front:",
        "fronts[0].listen:",
        "fronts[1].protocl:",
        "fronts[1]: needed key 'protocol'",
        "fronts[2].protocol:",
        "fronts[2].listen:",
        "fronts[2].connections:",
    ] {
        assert!(
            reported
                .lines()
                .any(|line| line.starts_with(&format!("installation.{path}"))),
            "{path}\n{reported}"
        );
    }
    let (_, reported) = check(json!({"fronts": [
        {"protocol": "uwsgi", "listen": "127.0.0.1:0"}, {"protocol": "uwsgi", "listen": "127.0.0.1:9091"},
        {"protocol": "fastcgi", "listen": "0.0.0.0:9091", "connections": 0}
    ]}));
    for path in [
        "fronts[0].listen",
        "fronts[2].listen",
        "fronts[2].connections",
    ] {
        assert!(
            reported.contains(&format!("installation.{path}: ")),
            "{path}\n{reported}"
        );
    }
    let fleet = |more: Value| {
        let mut whole = json!({"name": "delta", "listen": "127.0.0.1:7401"});
        whole
            .as_object_mut()
            .unwrap()
            .extend(more.as_object().unwrap().clone());
        json!({"fleet": whole})
    };
    let (code, output) = check(fleet(
        json!({"seeds": ["127.0.0.1:7402"], "voters": ["n1", "n2", "n3"]}),
    ));
    assert_eq!(
        (code, output.as_str()),
        (Some(0), "good: no fronts; of fleet delta\n")
    );
    let wrong = [
        (json!({"name": ""}), ".name"),
        (json!({"listen": "0.0.0.0:7401"}), ".listen"),
        (json!({"advertise": "127.0.0.1:0"}), ".advertise"),
        (
            json!({"seeds": ["127.0.0.1:7402", "127.0.0.1:0"]}),
            ".seeds[1]",
        ),
        (json!({"voters": ["n1", "n1"]}), ".voters[1]"),
        (json!({"weight": 0}), ".weight"),
        (json!({"times": {"period_ms": 10}}), ".times.period_ms"),
        (
            json!({"times": {"period_ms": 100, "answer_within_ms": 100}}),
            ".times.answer_within_ms",
        ),
        (
            json!({"times": {"suspicion_min_ms": 500, "suspicion_max_ms": 400}}),
            ".times.suspicion_max_ms",
        ),
        (json!({"times": {"perod_ms": 10}}), ".times.perod_ms"),
        (json!({"key_file": "nowhere"}), ".key_file"),
    ];
    for (more, path) in wrong {
        let (code, reported) = check(fleet(more));
        assert_eq!(code, Some(1));
        assert!(
            reported.starts_with(&format!("installation.fleet{path}: ")),
            "{path}\n{reported}"
        );
    }
    assert!(
        check(json!({"fleet": ["delta", "127.0.0.1:7401"]}))
            .1
            .contains("an object is wanted")
    );
    for text in ["", "[]", "nonsense", "{\"fronts\": 3}"] {
        std::fs::write(&file, text).unwrap();
        let (code, reported, _) =
            run_doortrack(&["check", "--installation", file.to_str().unwrap()]);
        assert_eq!(
            (code, reported.lines().count()),
            (Some(1), 1),
            "{text}: {reported}"
        );
    }
    let (code, reported, _) = run_doortrack(&[
        "check",
        "--installation",
        "/nowhere/at/all",
        "--config",
        "/nor/here",
    ]);
    assert_eq!((code, reported.lines().count()), (Some(1), 2), "{reported}");
    _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_json_log_has_one_object_per_line_and_keeps_its_rate_limit() {
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    setup.arguments = ["--log-format", "json", "--log-level", "debug"]
        .map(String::from)
        .to_vec();
    setup.installation = Some(json!({"fronts": []}));
    let (fixture, _engine) = setup.start_with_engine();
    for _ in 0..60 {
        fixture.signal("-HUP");
        std::thread::sleep(Duration::from_millis(2));
    }
    fixture.signal("-TERM");
    let (_, log) = fixture.wait_for_exit();
    let lines: Vec<Value> = log
        .lines()
        .map(|line| serde_json::from_str(line).expect(line))
        .collect();
    let mut lines_per_second = std::collections::BTreeMap::<u64, u32>::new();
    for line in &lines {
        assert!(
            line["msg"].is_string() && line["level"].is_string() && line["node"] == "n1",
            "{line}"
        );
        *lines_per_second
            .entry(line["time"].as_u64().unwrap() / 1000)
            .or_default() += 1;
    }
    assert!(
        lines_per_second.values().all(|count| *count <= 21),
        "{lines_per_second:?}"
    );
    let last = lines.iter().rfind(|line| line["msg"] == "summary").unwrap();
    assert!(
        last["completed"].is_u64() && last["ends"].is_object(),
        "{last}"
    );
}
