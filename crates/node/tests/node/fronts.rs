//! Fronts of both protocols beside the platform's listener: told the same, over one state, within bounds.

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

/// A node with a front of each protocol, its engine up: the node, the engine, and where the fronts are.
fn up_with(
    change: impl FnOnce(&mut Value, &mut Value),
) -> (NodeFixture, Engine, [(Protocol, SocketAddr); 2]) {
    let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    let fronts = [(FastCgi, plan.port(9091)), (Uwsgi, plan.port(9092))];
    let mut installation = json!({"fronts": fronts.map(|(protocol, at)| {
        json!({"protocol": protocol.name(), "listen": at.to_string()})
    })});
    change(&mut plan.config, &mut installation);
    plan.installation = Some(installation);
    let (fixture, engine) = plan.start_with_engine();
    (fixture, engine, fronts)
}

fn up() -> (NodeFixture, Engine, [(Protocol, SocketAddr); 2]) {
    up_with(|_, _| {})
}

fn pay(nth: u64, body: &[u8]) -> CallerRequest<'_> {
    CallerRequest::new(nth, "/svc/pay", body).with(IDEMPOTENCY_KEY.0, IDEMPOTENCY_KEY.1)
}

/// Sends these bytes on a connection of their own and reads all that comes back.
fn raw(at: SocketAddr, protocol: Protocol, bytes: &[u8]) -> CallerOutcome {
    let mut sock = connect(at);
    // It may have been refused, and the connection given up, before all is sent.
    _ = sock.write_all(bytes);
    PendingAnswer { sock, protocol }.outcome()
}

#[test]
fn what_is_told_is_the_same_on_every_front() {
    let (_bed, mut engine, fronts) = up_with(|config, _| {
        config["settings"]["family_info"]["memory_kb"] = json!(1000);
    });
    let body: Vec<u8> = (0..2048).map(|n| n as u8).collect();
    let result: Vec<u8> = body.iter().rev().copied().cycle().take(4096).collect();
    let mut tell = |protocol, at, base: u64| {
        let mut all = Vec::new();
        let waits = CallerRequest::new(base, "/svc/look", &body).send(at, protocol);
        assert_eq!(
            engine.next_run(),
            (attempt_id(base), body.clone()),
            "a body passes unchanged"
        );
        engine.finish_run(&attempt_id(base), "OK", &result);
        let (seen, mut headers) = waits.outcome_with_headers();
        assert_eq!(seen, CallerOutcome::Completed(result.clone()));
        headers.remove("Content-Length");
        all.push(format!("{headers:?}"));
        let waits = CallerRequest::new(base + 1, "/svc/look", b"").send(at, protocol);
        engine.next_run();
        engine.finish_run(&attempt_id(base + 1), "ERROR", b"");
        let (seen, mut headers) = waits.outcome_with_headers();
        headers.remove("Content-Length");
        all.push(format!("{seen:?} {headers:?}"));
        let long = [1; 2049];
        for ask in [
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
            let (seen, mut headers) = ask.send(at, protocol).outcome_with_headers();
            headers.remove("Content-Length");
            all.push(format!("{seen:?} {headers:?}"));
        }
        all
    };
    let told =
        fronts.map(|(protocol, at)| tell(protocol, at, if protocol == Uwsgi { 100 } else { 200 }));
    assert_eq!(told[0], told[1]);
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
            .zip(&told[0][1..])
            .all(|(kind, told)| told.contains(kind)),
        "{:#?}",
        told[0]
    );
}

#[test]
fn a_confirmation_that_comes_again_over_another_protocol_runs_once() {
    let (_bed, mut engine, [fast, uwsgi]) = up();
    let mut nth = 0;
    for (first, again) in [(fast, uwsgi), (uwsgi, fast)] {
        for how in ["OK", "ERROR", "MOOT"] {
            let key = format!("{nth:032x}");
            let mut ask = |(protocol, at): (Protocol, SocketAddr)| {
                nth += 1;
                let ask = CallerRequest::new(nth, "/svc/pay", b"berth 4")
                    .with("HTTP_IDEMPOTENCY_KEY", &key);
                (attempt_id(nth), ask.send(at, protocol))
            };
            let (call, one) = ask(first);
            assert_eq!(engine.next_run().0, call);
            // While it runs: attached. Nothing but readings may come of it.
            let (_, two) = ask(again);
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
            // After its end: its result, or a failure; what never ran may run now.
            let (call, three) = ask(again);
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
fn two_tries_of_one_turn_and_one_held_behind_another_run_once() {
    let (fixture, mut engine, [fast, uwsgi]) = up_with(|config, _| {
        config["settings"]["family_info"]["cores"] = json!(1);
    });
    for (round, (first, again)) in [(fast, uwsgi), (uwsgi, fast)].into_iter().enumerate() {
        let (base, key) = (round as u64 * 10, format!("{round:032x}"));
        let ask =
            |n| CallerRequest::new(base + n, "/svc/pay", b"x").with("HTTP_IDEMPOTENCY_KEY", &key);
        // The one core is taken, so the next is held.
        engine.answer_stats(2);
        let busy = CallerRequest::new(base + 1, "/svc/look", b"").send(fast.1, fast.0);
        assert_eq!(engine.next_run().0, attempt_id(base + 1));
        // Both are read in one turn: the process stands still while they are sent.
        fixture.signal("-STOP");
        let one = ask(2).send(first.1, first.0);
        let two = ask(3).send(again.1, again.0);
        std::thread::sleep(Duration::from_millis(30));
        fixture.signal("-CONT");
        let held = ask(4).send(first.1, first.0);
        engine.finish_run(&attempt_id(base + 1), "OK", b"");
        assert!(matches!(busy.outcome(), CallerOutcome::Completed(_)));
        let (call, _) = engine.next_run();
        assert!(
            [2, 3, 4].map(|n| attempt_id(base + n)).contains(&call),
            "{call}"
        );
        engine.answer_stats(4);
        engine.finish_run(&call, "OK", b"once");
        for waits in [one, two, held] {
            assert_eq!(waits.outcome(), CallerOutcome::Completed(b"once".into()));
        }
    }
}

#[test]
fn a_uwsgi_peer_that_leaves_at_any_byte_loses_nothing_for_others() {
    let (fixture, mut engine, [fast, uwsgi]) = up();
    let whole = pay(1, b"a body").bytes(Uwsgi);
    // Mid-head, mid-variables, mid-body: it was never had.
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
    // Just after its last byte, and mid-answer: it runs once, and its result is there for the next try.
    for round in 0..4 {
        let (n, key) = (10 * (round + 1), format!("{round:032x}"));
        let ask =
            |n| CallerRequest::new(n, "/svc/pay", b"a body").with("HTTP_IDEMPOTENCY_KEY", &key);
        let pending = ask(n).send(uwsgi.1, Uwsgi);
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
        let mut again = Some(ask(n + 1).send(fast.1, FastCgi));
        if round < 2 {
            // A broken connection may stop the run; then the repeat is told that it was.
            let (call, _) = engine.next_run();
            assert_eq!(call, attempt_id(n));
            let halted = round == 1
                && engine
                    .next_command_within_stats(6)
                    .is_some_and(|c| c["msg"] == "HALT");
            engine.finish_run(&call, if halted { "STOPPED" } else { "OK" }, &result);
            let seen = again.take().unwrap().outcome();
            let wanted = if halted {
                CallerOutcome::Failed
            } else {
                CallerOutcome::Completed(result)
            };
            assert_eq!(seen, wanted, "round {round}");
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
fn what_is_no_request_is_told_so_at_once() {
    let (_bed, mut engine, [_, (_, at)]) = up();
    let sound = CallerRequest::new(1, "/svc/look", b"");
    let with_length = |length: &str, body: &[u8]| {
        let mut bytes = sound.bytes(Uwsgi);
        // The length is the last variable: one digit, in its own two bytes of length.
        bytes.truncate(bytes.len() - 3);
        bytes.extend((length.len() as u16).to_le_bytes());
        bytes.extend(length.bytes());
        let size = (bytes.len() as u16 - 4).to_le_bytes();
        bytes[1..3].copy_from_slice(&size);
        bytes.extend(body);
        bytes
    };
    let refused = |status, bytes: &[u8]| match raw(at, Uwsgi, bytes) {
        CallerOutcome::Unreadable(seen, _) => assert_eq!(seen, status),
        other => panic!("{other:?}"),
    };
    for length in ["-1", "x", "99999999999999999999", "1 "] {
        refused(400, &with_length(length, b""));
    }
    // Told before a byte of the body is there, and also while it keeps coming.
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
    // More than the body: the request is sound, what follows belongs to nobody.
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
fn a_ping_is_a_health_check_and_who_is_slow_is_closed() {
    let (fixture, _engine, [_, (_, at)]) = up_with(|config, _| {
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
        let seen = PendingAnswer {
            sock,
            protocol: Uwsgi,
        }
        .outcome();
        let begun = cut >= 4;
        assert_eq!(
            matches!(seen, CallerOutcome::Unreadable(400, _)),
            begun,
            "{cut}: {seen:?}"
        );
        assert_eq!(seen == CallerOutcome::Nothing, !begun, "{cut}: {seen:?}");
    }
    // One that trickles is closed as well, however often a byte comes.
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
    assert!(closed, "it may trickle for ever");
    fixture.signal("-TERM");
    fixture.wait_for_report("draining");
    assert_eq!(ping(at), [&[100, 9, 0, 1][..], b"not ready"].concat());
}

#[test]
fn a_front_whose_answers_nobody_reads_slows_no_other() {
    let (_bed, mut engine, [fast, uwsgi]) = up();
    // Deaf on one front: many answers wait to be read.
    let deaf: Vec<PendingAnswer> = (0..40)
        .map(|n| CallerRequest::new(n, "/status/live", b"").send(fast.1, FastCgi))
        .collect();
    let mut loud = connect(fast.1);
    loud.set_nonblocking(true).unwrap();
    let check = CallerRequest::new(1, "/status/live", b"").bytes(FastCgi);
    let mut kept = check.clone();
    kept[10] = 1; // The flag that keeps a connection.
    for _ in 0..2000 {
        // Cut anywhere: what is sent of one that it does not take is no matter.
        let sent = loud.write(&kept);
        assert!(sent.is_ok_and(|n| n > 0) || loud.take_error().unwrap().is_none());
    }
    for n in 100..130 {
        let waits = CallerRequest::new(n, "/svc/look", b"").send(uwsgi.1, Uwsgi);
        let (call, _) = engine.next_run();
        engine.finish_run(&call, "OK", b"heard");
        assert_eq!(waits.outcome(), CallerOutcome::Completed(b"heard".into()));
    }
    assert_eq!(deaf.len(), 40);
}

#[test]
fn ten_thousand_short_connections_leave_nothing_behind() {
    let (fixture, mut engine, [_, (_, at)]) = up();
    let id = fixture.program.id();
    let descriptors = || std::fs::read_dir(format!("/proc/{id}/fd")).unwrap().count();
    let kb = || {
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
    let play = |count: u32| {
        for nth in 0..count {
            let mut sock = connect(at);
            // Some say nothing, some leave within a request, most are served.
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
    play(1000);
    let (before, kb_before) = (descriptors(), kb());
    play(9000);
    // Served after all the others, so what those left is known to be gone.
    let waits = CallerRequest::new(1, "/svc/look", b"").send(at, Uwsgi);
    let (call, _) = engine.next_run();
    engine.finish_run(&call, "OK", b"");
    assert!(matches!(waits.outcome(), CallerOutcome::Completed(_)));
    let (after, kb_after) = (descriptors(), kb());
    assert!(after <= before + 2, "{before} descriptors, then {after}");
    assert!(
        kb_after <= kb_before + 1000,
        "{kb_before} kB, then {kb_after}"
    );
}

#[test]
fn a_front_keeps_within_its_own_bound() {
    let (_bed, _engine, [fast, uwsgi]) = up_with(|_, installation| {
        installation["fronts"][1]["connections"] = json!(2);
    });
    // Two that say nothing hold all places of the one front; a third pushes the first out.
    let mut silent: Vec<TcpStream> = (0..2).map(|_| connect(uwsgi.1)).collect();
    std::thread::sleep(Duration::from_millis(20));
    let served = CallerRequest::new(1, "/status/live", b"")
        .send(uwsgi.1, Uwsgi)
        .outcome();
    assert!(matches!(served, CallerOutcome::Completed(_)));
    assert_eq!(silent[0].read(&mut [0]).unwrap(), 0);
    let others: Vec<PendingAnswer> = (0..30)
        .map(|n| CallerRequest::new(n, "/status/live", b"").send(fast.1, FastCgi))
        .collect();
    assert!(
        others
            .into_iter()
            .all(|pending| matches!(pending.outcome(), CallerOutcome::Completed(_)))
    );
}

#[test]
fn who_goes_on_sending_after_its_answer_holds_no_place() {
    let (_bed, _engine, [_, (_, at)]) = up_with(|_, installation| {
        installation["fronts"][1]["connections"] = json!(3);
    });
    // Refused while it still sends, and its connection kept for a while so that it can read that.
    let loud: Vec<TcpStream> = (0..3)
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
        let seen = CallerRequest::new(n, "/status/live", b"")
            .send(at, Uwsgi)
            .outcome();
        assert!(matches!(seen, CallerOutcome::Completed(_)));
    }
    drop(loud);
}

#[test]
fn fronts_change_under_way_and_nothing_in_hand_is_lost() {
    let (fixture, mut engine, [fast, uwsgi]) = up();
    let new = SocketAddr::new(fixture.address.ip(), 9093);
    let front = |protocol: Protocol, at: SocketAddr| json!({"protocol": protocol.name(), "listen": at.to_string()});
    let waits = [fast, uwsgi].map(|(protocol, at)| {
        CallerRequest::new(at.port().into(), "/svc/look", b"").send(at, protocol)
    });
    let calls = [engine.next_run().0, engine.next_run().0];
    // A file that can't be served changes nothing.
    fixture.replace_installation(&json!({"fronts": [front(Uwsgi, new), front(FastCgi, new)]}));
    engine.answer_stats(4);
    assert!(matches!(
        CallerRequest::new(7, "/status/live", b"")
            .send(uwsgi.1, Uwsgi)
            .outcome(),
        CallerOutcome::Completed(_)
    ));
    // One stays, one goes, one comes; and one changes what it speaks.
    fixture.replace_installation(&json!({"fronts": [front(Uwsgi, new), front(FastCgi, uwsgi.1)]}));
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
    assert!(TcpStream::connect(fast.1).is_err(), "it still listens");
    for (call, pending) in calls.iter().zip(waits) {
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
fn a_drain_answers_what_is_held_and_runs_on_all_fronts() {
    let (fixture, mut engine, [fast, uwsgi]) = up_with(|config, _| {
        config["stop_ms"] = json!(1500);
        config["settings"]["safety"]["drain_grace"] = json!(0);
        config["settings"]["family_info"]["cores"] = json!(2);
    });
    let mut nth = 0;
    let mut ask = |(protocol, at): (Protocol, SocketAddr)| {
        nth += 1;
        CallerRequest::new(nth, "/svc/look", b"").send(at, protocol)
    };
    let runs = [ask(fast), ask(uwsgi), ask(fast)];
    let mut calls = [
        engine.next_run().0,
        engine.next_run().0,
        engine.next_run().0,
    ];
    calls.sort_unstable();
    let held = [ask(fast), ask(uwsgi)];
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
    let late = [late(50, fast), late(51, uwsgi)];
    assert!(
        late.iter()
            .all(|seen| matches!(seen, CallerOutcome::Rejected { .. })),
        "{late:?}"
    );
    // Half a request at the stop is refused, not left without a word.
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
        "what can't be done by the stop is told so before it"
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
    let tells = |what: &str| {
        log.lines()
            .any(|line| line.contains("listener summary") && line.contains(what))
    };
    assert!(
        tells("protocol=uwsgi") && tells("protocol=fastcgi"),
        "{log}"
    );
}

fn doortrack(words: &[&str]) -> (Option<i32>, String, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_doortrack"))
        .env_clear()
        .args(words)
        .output()
        .unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (out.status.code(), text(out.stdout), text(out.stderr))
}

#[test]
fn the_schema_kept_is_the_schema_printed() {
    let kept = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/installation.schema.json"
    );
    let (code, printed, _) = doortrack(&["schema"]);
    assert_eq!(code, Some(0));
    assert!(
        std::fs::read_to_string(kept).unwrap() == printed,
        "doortrack schema > deploy/installation.schema.json"
    );
}

#[test]
fn every_fault_of_an_installation_is_told_with_its_path() {
    let folder = std::env::temp_dir().join(format!("doortrack-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("installation.json");
    let check = |value: Value| {
        std::fs::write(&file, value.to_string()).unwrap();
        let (code, out, _) = doortrack(&["check", "--installation", file.to_str().unwrap()]);
        (code, out)
    };
    let good =
        json!({"fronts": [{"protocol": "uwsgi", "listen": "127.0.0.1:9091", "connections": 4}]});
    let (code, said) = check(good);
    assert_eq!(
        (code, said.as_str()),
        (Some(0), "good: uwsgi on 127.0.0.1:9091\n")
    );
    assert_eq!(check(json!({})).0, Some(0));
    let (code, told) = check(json!({"front": [], "fronts": [
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
            told.lines()
                .any(|line| line.starts_with(&format!("installation.{path}"))),
            "{path}\n{told}"
        );
    }
    let (_, told) = check(json!({"fronts": [
        {"protocol": "uwsgi", "listen": "127.0.0.1:0"}, {"protocol": "uwsgi", "listen": "127.0.0.1:9091"},
        {"protocol": "fastcgi", "listen": "0.0.0.0:9091", "connections": 0}
    ]}));
    for path in [
        "fronts[0].listen",
        "fronts[2].listen",
        "fronts[2].connections",
    ] {
        assert!(
            told.contains(&format!("installation.{path}: ")),
            "{path}\n{told}"
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
    let (code, said) = check(fleet(
        json!({"seeds": ["127.0.0.1:7402"], "voters": ["n1", "n2", "n3"]}),
    ));
    assert_eq!(
        (code, said.as_str()),
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
        let (code, told) = check(fleet(more));
        assert_eq!(code, Some(1));
        assert!(
            told.starts_with(&format!("installation.fleet{path}: ")),
            "{path}\n{told}"
        );
    }
    assert!(
        check(json!({"fleet": ["delta", "127.0.0.1:7401"]}))
            .1
            .contains("an object is wanted")
    );
    for text in ["", "[]", "nonsense", "{\"fronts\": 3}"] {
        std::fs::write(&file, text).unwrap();
        let (code, told, _) = doortrack(&["check", "--installation", file.to_str().unwrap()]);
        assert_eq!((code, told.lines().count()), (Some(1), 1), "{text}: {told}");
    }
    let (code, told, _) = doortrack(&[
        "check",
        "--installation",
        "/nowhere/at/all",
        "--config",
        "/nor/here",
    ]);
    assert_eq!((code, told.lines().count()), (Some(1), 2), "{told}");
    _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_log_in_json_is_one_object_a_line_and_keeps_its_bound() {
    let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    plan.arguments = ["--log-format", "json", "--log-level", "debug"]
        .map(String::from)
        .to_vec();
    plan.installation = Some(json!({"fronts": []}));
    let (fixture, _engine) = plan.start_with_engine();
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
    let mut a_second = std::collections::BTreeMap::<u64, u32>::new();
    for line in &lines {
        assert!(
            line["msg"].is_string() && line["level"].is_string() && line["node"] == "n1",
            "{line}"
        );
        *a_second
            .entry(line["time"].as_u64().unwrap() / 1000)
            .or_default() += 1;
    }
    assert!(a_second.values().all(|count| *count <= 21), "{a_second:?}");
    let last = lines.iter().rfind(|line| line["msg"] == "summary").unwrap();
    assert!(
        last["completed"].is_u64() && last["ends"].is_object(),
        "{last}"
    );
}
