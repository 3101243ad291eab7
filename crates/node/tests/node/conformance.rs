//! One suite for every pair of a front and what does the work behind it: outcomes, rejections and drain are
//! the same whatever is spoken on either side.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;

use doortrack_fakes::caller::{CallerOutcome, CallerRequest, PendingAnswer};
use doortrack_fakes::engine::Engine;
use doortrack_fakes::fixture::{NodeFixture, NodeSetup, connect};
use doortrack_fakes::server::{Behavior, Disconnect, HeldRequest, Server};
use doortrack_fakes::{MAX_WAIT, unix_ms};
use doortrack_protocols::Protocol::{self, FastCgi, Uwsgi};
use serde_json::{Value, json};

/// What does the work behind the node.
enum Work {
    Engine(Engine),
    /// Kept only so that it goes on.
    Server(#[allow(dead_code)] Server, Receiver<HeldRequest>),
}

/// A run in hand.
enum Run {
    Engine(String),
    Server(HeldRequest),
}

impl Work {
    /// The next run: its try, its body, and the run itself.
    fn run(&mut self) -> (String, Vec<u8>, Run) {
        match self {
            Work::Engine(engine) => {
                let (call, body) = engine.next_run();
                (call.clone(), body, Run::Engine(call))
            }
            Work::Server(_, held) => {
                let held = held.recv_timeout(MAX_WAIT).expect("no run comes");
                let call =
                    String::from_utf8(held.request.variable("HTTP_X_REQUEST_ID").unwrap().to_vec());
                (call.unwrap(), held.request.body.clone(), Run::Server(held))
            }
        }
    }

    fn complete(&mut self, run: Run, result: &[u8]) {
        self.end(run, "OK", Behavior::ok(result));
    }

    fn fail(&mut self, run: Run) {
        let act = Behavior::Answer {
            status: "500 No",
            body: Vec::new(),
            after: Default::default(),
        };
        self.end(run, "ERROR", act);
    }

    fn end(&mut self, run: Run, how: &str, act: Behavior) {
        match (self, run) {
            (Work::Engine(engine), Run::Engine(call)) => {
                let result = if let Behavior::Answer { body, .. } = &act {
                    &body[..]
                } else {
                    b""
                };
                engine.finish_run(&call, how, result);
            }
            (_, Run::Server(held)) => held.respond(act),
            _ => unreachable!("a run of another kind of work"),
        }
    }
}

/// One pair: a node, its front under test, and its work.
struct House {
    fixture: NodeFixture,
    front: Protocol,
    at: SocketAddr,
    work: Work,
    nth: u64,
}

impl House {
    fn ask<'a>(&mut self, script: &'a str, body: &'a [u8]) -> CallerRequest<'a> {
        self.nth += 1;
        CallerRequest::new(self.nth, script, body)
    }

    fn send(&mut self, script: &str, body: &[u8]) -> PendingAnswer {
        let (at, front) = (self.at, self.front);
        self.ask(script, body).send(at, front)
    }

    fn pay(&mut self, key: u8, body: &[u8]) -> PendingAnswer {
        let (at, front) = (self.at, self.front);
        let key = format!("{key:032x}");
        self.ask("/svc/pay", body)
            .with("HTTP_IDEMPOTENCY_KEY", &key)
            .send(at, front)
    }
}

/// Plays one part in each house, and looks that it came to the same in all.
fn in_each_house(change: impl Fn(&mut Value), part: impl Fn(&mut House) -> Vec<String>) {
    let mut all: Vec<(String, Vec<String>)> = Vec::new();
    for front in Protocol::ALL {
        for behind in [None, Some(FastCgi), Some(Uwsgi)] {
            let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
            change(&mut plan.config);
            let at = plan.port(9091);
            let mut installation =
                json!({"fronts": [{"protocol": front.name(), "listen": at.to_string()}]});
            let server = behind.map(Server::held);
            if let Some((server, _)) = &server {
                installation["servers"] = json!({"protocol": server.protocol.name(),
                    "addresses": [server.address.to_string()], "at_once": 6});
            }
            plan.installation = Some(installation);
            let (fixture, work) = match server {
                Some((server, held)) => (plan.start(), Work::Server(server, held)),
                None => {
                    let (fixture, engine) = plan.start_with_engine();
                    (fixture, Work::Engine(engine))
                }
            };
            let mut house = House {
                fixture,
                front,
                at,
                work,
                nth: 0,
            };
            let came_to = part(&mut house);
            all.push((
                format!(
                    "{front} before {}",
                    behind.map_or("the engine", Protocol::name)
                ),
                came_to,
            ));
        }
    }
    for (pair, came_to) in &all[1..] {
        assert_eq!(*came_to, all[0].1, "{pair} differs from {}", all[0].0);
    }
}

fn told(seen: &CallerOutcome) -> String {
    match seen {
        // How long to stay away follows from the moment.
        CallerOutcome::Rejected {
            no_retry_elsewhere, ..
        } => format!("rejected, not elsewhere: {no_retry_elsewhere}"),
        other => format!("{other:?}"),
    }
}

#[test]
fn exchanges_are_completed_terminated_or_refused_alike() {
    in_each_house(
        |_| {},
        |house| {
            let body: Vec<u8> = (0..2048).map(|n| n as u8).collect();
            let result: Vec<u8> = body.iter().rev().copied().cycle().take(4096).collect();
            let mut all = Vec::new();
            let waits = house.send("/svc/look", &body);
            let (_, got, run) = house.work.run();
            assert!(got == body, "a body was changed");
            house.work.complete(run, &result);
            all.push(told(&waits.outcome()));
            let waits = house.send("/svc/look", b"");
            let (_, _, run) = house.work.run();
            house.work.fail(run);
            all.push(told(&waits.outcome()));
            for (script, body) in [
                ("/status/live", &b""[..]),
                ("/svc/none", b""),
                ("/svc/look", &[1; 2049]),
            ] {
                all.push(told(&house.send(script, body).outcome()));
            }
            all
        },
    );
}

#[test]
fn a_deduplicated_exchange_runs_once_in_every_house() {
    in_each_house(
        |_| {},
        |house| {
            let mut all = Vec::new();
            for (key, good) in [(1, true), (2, false)] {
                let first = house.pay(key, b"berth 4");
                let (call, _, run) = house.work.run();
                let again = house.pay(key, b"berth 4");
                let other = house.pay(key, b"another body");
                all.push(told(&other.outcome()));
                if good {
                    house.work.complete(run, b"moored")
                } else {
                    house.work.fail(run)
                }
                let later = house.pay(key, b"berth 4").outcome();
                all.extend([
                    call,
                    told(&first.outcome()),
                    told(&again.outcome()),
                    told(&later),
                ]);
            }
            // Nothing else was run: the next run is that of the next request.
            let waits = house.send("/svc/look", b"last");
            let (_, body, run) = house.work.run();
            assert_eq!(body, b"last");
            house.work.complete(run, b"");
            all.push(told(&waits.outcome()));
            all
        },
    );
}

#[test]
fn what_arrives_while_its_caller_leaves_runs_at_most_once() {
    in_each_house(
        |_| {},
        |house| {
            let mut all = Vec::new();
            // Closed just after the last byte, and told as half closed: still answered.
            let half = house.pay(1, b"x");
            half.half_close();
            let (_, _, run) = house.work.run();
            house.work.complete(run, b"kept");
            all.push(told(&half.outcome()));
            all.push(told(&house.pay(1, b"x").outcome()));
            // Cut in its middle: never had.
            let (at, front) = (house.at, house.front);
            let bytes = house
                .ask("/svc/pay", b"body")
                .with("HTTP_IDEMPOTENCY_KEY", &"2".repeat(32))
                .bytes(front);
            let mut sock = connect(at);
            sock.write_all(&bytes[..bytes.len() - 2]).unwrap();
            PendingAnswer {
                sock,
                protocol: front,
            }
            .reset();
            let waits = house.pay(0x22, b"y");
            let (_, body, run) = house.work.run();
            assert_eq!(body, b"y");
            house.work.complete(run, b"");
            all.push(told(&waits.outcome()));
            all
        },
    );
}

#[test]
fn a_drain_comes_to_the_same_in_every_house() {
    let change = |config: &mut Value| {
        config["stop_ms"] = json!(1500);
        config["settings"]["safety"]["drain_grace"] = json!(0);
    };
    in_each_house(change, |house| {
        let (one, two) = (house.send("/svc/look", b"1"), house.pay(1, b"2"));
        let (_, first, run) = house.work.run();
        let (_, _, rest) = house.work.run();
        let (runs_first, hangs) = if first == b"1" {
            (run, rest)
        } else {
            (rest, run)
        };
        house.fixture.signal("-TERM");
        house.fixture.wait_for_report("draining");
        let (stamp, at, front) = ((unix_ms() + 10).to_string(), house.at, house.front);
        let late = house
            .ask("/svc/look", b"")
            .with("HTTP_X_REQUEST_START", &stamp)
            .send(at, front)
            .outcome();
        let check = house.send("/status/live", b"").outcome();
        house.work.complete(runs_first, b"in time");
        let mut all = vec![
            told(&late),
            told(&check),
            told(&one.outcome()),
            told(&two.outcome()),
        ];
        drop(hangs);
        let code = house.fixture.program.wait().unwrap().code();
        all.push(format!("{code:?}"));
        all
    });
}

/// A node with servers, and a front of each protocol.
fn with_servers(
    servers: &[&Server],
    change: impl FnOnce(&mut Value),
) -> (NodeFixture, [(Protocol, SocketAddr); 2]) {
    let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    let fronts = [(FastCgi, plan.port(9091)), (Uwsgi, plan.port(9092))];
    let mut installation = json!({
        "fronts": fronts.map(|(front, at)| json!({"protocol": front.name(), "listen": at.to_string()})),
        "servers": {
            "protocol": servers[0].protocol.name(),
            "addresses": servers.iter().map(|server| server.address.to_string()).collect::<Vec<_>>()
        }
    });
    change(&mut installation["servers"]);
    plan.installation = Some(installation);
    (plan.start(), fronts)
}

/// Callers wait before the node's first turn: what it reads then finds the door open. Without the fix most of
/// these starts reject at least one; with it none can, however slow the machine.
#[test]
fn what_is_read_in_the_first_turn_is_served() {
    let server = Server::start(FastCgi, |_| Behavior::ok("done"));
    for _ in 0..8 {
        let (_bed, [(front, at), _]) = with_servers(&[&server], |_| {});
        let until = std::time::Instant::now() + MAX_WAIT;
        let ask = CallerRequest::new(1, "/svc/look", b"");
        // Asked as soon as the node listens, which is before its loop begins.
        let waits = loop {
            match ask.try_send(at, front) {
                Ok(waits) => break waits,
                Err(e) => assert!(std::time::Instant::now() < until, "no listener: {e}"),
            }
        };
        assert_eq!(waits.outcome(), CallerOutcome::Completed(b"done".to_vec()));
    }
}

/// Everything that a server may do instead of answering.
fn bad_acts(protocol: Protocol) -> Vec<(Behavior, &'static str)> {
    let cut = |at, how| Behavior::Cut {
        body: b"a result of some length".into(),
        at,
        how,
    };
    let mut acts = vec![
        (cut(0, Disconnect::Close), "before anything"),
        (cut(0, Disconnect::Reset), "reset before anything"),
        (cut(20, Disconnect::Close), "after the status line"),
        (
            cut(20, Disconnect::HalfClose),
            "half closed after the status line",
        ),
        (cut(45, Disconnect::Reset), "reset within the body"),
        (
            Behavior::Garbage(b"SSH-2.0-OpenSSH\r\n".into()),
            "what is no answer",
        ),
        (Behavior::Garbage(vec![b'x'; 100_000]), "a head without end"),
    ];
    match protocol {
        Uwsgi => {
            let short = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf".to_vec();
            acts.push((Behavior::Garbage(short), "half of the body"));
        }
        FastCgi => {
            // A whole body, and the end record missing.
            let mut whole = vec![1, 6, 0, 1, 0, 20, 0, 0];
            whole.extend(b"Status: 200 OK\r\n\r\nok");
            whole.extend([1, 6, 0, 1, 0, 0, 0, 0]);
            acts.push((Behavior::Garbage(whole), "no end record"));
        }
    }
    acts
}

#[test]
fn a_server_that_breaks_off_costs_one_retry_or_a_termination_and_nothing_runs_twice() {
    for protocol in Protocol::ALL {
        for (act, what) in bad_acts(protocol) {
            let (server, held) = Server::held(protocol);
            let keeps_in = json!({"failures": 100});
            let (_bed, [(front, at), _]) =
                with_servers(&[&server], |servers| servers["aside"] = keeps_in);
            // Repeatable: tried again, and completed.
            let waits = CallerRequest::new(1, "/svc/look", b"").send(at, front);
            held.recv_timeout(MAX_WAIT).unwrap().respond(act.clone());
            let again = held
                .recv_timeout(MAX_WAIT)
                .unwrap_or_else(|_| panic!("{protocol}: {what}: not tried again"));
            again.respond(Behavior::ok("at last"));
            assert_eq!(
                waits.outcome(),
                CallerOutcome::Completed(b"at last".into()),
                "{protocol}: {what}"
            );
            // Deduplicated: it may have run, so it is failed, and so is its repeat.
            let pay = |n| {
                CallerRequest::new(n, "/svc/pay", b"")
                    .with("HTTP_IDEMPOTENCY_KEY", &"3".repeat(32))
                    .send(at, front)
            };
            let waits = pay(2);
            held.recv_timeout(MAX_WAIT).unwrap().respond(act);
            assert_eq!(waits.outcome(), CallerOutcome::Failed, "{protocol}: {what}");
            assert_eq!(
                pay(3).outcome(),
                CallerOutcome::Failed,
                "{protocol}: {what}"
            );
            assert_eq!(server.received().len(), 3, "{protocol}: {what}");
        }
    }
}

#[test]
fn more_than_announced_is_cut_and_what_the_server_says_of_its_body_is_passed_on() {
    let (server, held) = Server::held(Uwsgi);
    let (_bed, fronts) = with_servers(&[&server], |_| {});
    for (n, (front, at)) in fronts.into_iter().enumerate() {
        let waits = CallerRequest::new(n as u64, "/svc/look", b"").send(at, front);
        let more = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody and more".to_vec();
        held.recv_timeout(MAX_WAIT)
            .unwrap()
            .respond(Behavior::Garbage(more));
        assert_eq!(waits.outcome(), CallerOutcome::Completed(b"body".into()));
        let key = format!("{n:032x}");
        let pay = |n| {
            CallerRequest::new(n, "/svc/pay", b"")
                .with("HTTP_IDEMPOTENCY_KEY", &key)
                .send(at, front)
        };
        let waits = pay(10 + n as u64);
        let run = held.recv_timeout(MAX_WAIT).unwrap();
        assert_eq!(
            run.request.variable("HTTP_X_CALLER"),
            Some(&b"1"[..]),
            "variables go on as they came"
        );
        run.respond(Behavior::ok("paid"));
        let first = waits.outcome_with_headers();
        assert_eq!(first.1["Content-Type"], "text/plain");
        assert_eq!(
            (&*first.1["X-From"], &*first.1["X-Load-Signal"]),
            ("a server", "0"),
            "its own level is no one's"
        );
        assert_eq!(
            pay(20 + n as u64).outcome_with_headers(),
            first,
            "a repeat is told the same"
        );
    }
}

#[test]
fn a_killed_server_is_found_again_and_one_that_never_answers_holds_nobody_else() {
    for protocol in Protocol::ALL {
        let (server, held) = Server::held(protocol);
        let hangs = Server::start(protocol, |_| Behavior::Hang);
        let (fixture, [(front, at), _]) = with_servers(&[&server, &hangs], |servers| {
            servers["answer_within_ms"] = json!(300);
            servers["aside"] =
                json!({"failures": 1, "first_ms": 200, "longest_ms": 400, "floor": 0.5});
        });
        let echo = std::thread::spawn(move || {
            held.iter()
                .for_each(|run| run.respond(Behavior::ok("sound")))
        });
        let mut n = 0;
        let mut look = || {
            n += 1;
            CallerRequest::new(n, "/svc/look", b"")
                .send(at, front)
                .outcome()
        };
        // Every one is completed: what meets the one that hangs is tried again.
        assert!(
            (0..30).all(|_| look() == CallerOutcome::Completed(b"sound".into())),
            "{protocol}"
        );
        let place = server.kill();
        echo.join().unwrap();
        assert_eq!(
            look(),
            CallerOutcome::Failed,
            "{protocol}: one refuses, one hangs"
        );
        let _again = Server::start_at(place, protocol, |_| Behavior::ok("back"));
        let until = std::time::Instant::now() + MAX_WAIT;
        while look() != CallerOutcome::Completed(b"back".into()) {
            assert!(
                std::time::Instant::now() < until,
                "{protocol}: it is never found again"
            );
        }
        fixture.signal("-TERM");
        let (code, log) = fixture.wait_for_exit();
        assert_eq!(code, Some(0), "{log}");
        assert!(
            log.contains("server ejected") && log.contains("servers summary"),
            "{log}"
        );
    }
}

#[test]
fn kept_connections_carry_one_run_after_another_and_a_closed_one_loses_none() {
    let (server, held) = Server::held(FastCgi);
    let (_bed, [_, (front, at)]) = with_servers(&[&server], |_| {});
    let mut n = 0;
    let mut pay = |act| {
        n += 1;
        let waits = CallerRequest::new(n, "/svc/pay", b"")
            .with("HTTP_IDEMPOTENCY_KEY", &format!("{n:032x}"))
            .send(at, front);
        let run = held.recv_timeout(MAX_WAIT).unwrap();
        assert!(run.request.keep_alive);
        run.respond(act);
        waits.outcome()
    };
    assert!((0..5).all(|_| pay(Behavior::ok("")) == CallerOutcome::Completed(Vec::new())));
    assert_eq!(server.connections(), 1);
    // Answered, and then closed by the server: the next run, which may not run twice, is not lost with it.
    let mut answer = Vec::new();
    let head = doortrack_protocols::ResponseHead {
        status: "200 OK",
        headers: &[],
        extra_lines: b"",
    };
    doortrack_protocols::write_response(FastCgi, &mut answer, 1, head, b"last");
    assert_eq!(
        pay(Behavior::Garbage(answer)),
        CallerOutcome::Completed(b"last".into())
    );
    std::thread::sleep(std::time::Duration::from_millis(20));
    assert!((0..3).all(|_| pay(Behavior::ok("")) == CallerOutcome::Completed(Vec::new())));
    assert_eq!(server.connections(), 2);
}

#[test]
fn servers_come_and_go_under_way() {
    let (one, two) = (
        Server::start(Uwsgi, |_| Behavior::ok("one")),
        Server::start(Uwsgi, |_| Behavior::ok("two")),
    );
    let (fixture, [(front, at), _]) = with_servers(&[&one], |_| {});
    let mut n = 0;
    let mut look = || {
        n += 1;
        CallerRequest::new(n, "/svc/look", b"")
            .send(at, front)
            .outcome()
    };
    assert_eq!(look(), CallerOutcome::Completed(b"one".into()));
    let fronts = json!([{"protocol": "fastcgi", "listen": at.to_string()}]);
    let install = |protocol: &str, at: SocketAddr| {
        fixture.replace_installation(
            &json!({"fronts": fronts, "servers": {"protocol": protocol, "addresses": [at.to_string()]}}),
        );
    };
    install("uwsgi", two.address);
    let until = std::time::Instant::now() + MAX_WAIT;
    while look() != CallerOutcome::Completed(b"two".into()) {
        assert!(
            std::time::Instant::now() < until,
            "the new one is never used"
        );
    }
    assert!((0..10).all(|_| look() == CallerOutcome::Completed(b"two".into())));
    // What is spoken can't change under way: told, and the servers stay.
    install("fastcgi", one.address);
    std::thread::sleep(std::time::Duration::from_millis(50));
    assert!((0..10).all(|_| look() == CallerOutcome::Completed(b"two".into())));
    fixture.signal("-TERM");
    let (_, log) = fixture.wait_for_exit();
    assert!(log.contains("servers need a start"), "{log}");
}

#[test]
fn a_server_killed_in_mid_run_costs_what_may_run_twice_nothing() {
    for protocol in Protocol::ALL {
        let (killed, held) = Server::held(protocol);
        let (other, held_too) = Server::held(protocol);
        let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
        let at = plan.port(9091);
        plan.config["settings"]["family_info"]["cores"] = json!(32);
        let lanes = plan.config["settings"]["lanes"].as_array_mut().unwrap();
        let mut mutating = lanes[0].clone();
        (mutating["name"], mutating["idempotency"]) = (json!("write"), json!("unsafe"));
        lanes.push(mutating);
        // These have one item for each of the groups.
        plan.config["settings"]["family_info"]["calls_by_class"] = json!([false, false, false]);
        plan.config["settings"]["family_info"]["class_skip_worth"] = json!([0, 0, 0]);
        plan.installation = Some(json!({
            "fronts": [{"protocol": "uwsgi", "listen": at.to_string()}],
            "servers": {"protocol": protocol.name(), "at_once": 16,
                "addresses": [killed.address.to_string(), other.address.to_string()]}
        }));
        let _bed = plan.start();
        let ask = |n, script| {
            CallerRequest::new(n, script, b"")
                .with("HTTP_IDEMPOTENCY_KEY", &"4".repeat(32))
                .send(at, Uwsgi)
        };
        // Until each kind runs on the one that is to be killed.
        let (mut waiting, mut elsewhere, mut n) = (Vec::new(), Vec::new(), 0);
        for script in ["/svc/look", "/svc/pay", "/svc/write"] {
            loop {
                n += 1;
                let waits = match script {
                    "/svc/pay" => {
                        let key = format!("{n:032x}");
                        CallerRequest::new(n, script, b"")
                            .with("HTTP_IDEMPOTENCY_KEY", &key)
                            .send(at, Uwsgi)
                    }
                    _ => ask(n, script),
                };
                let id = doortrack_fakes::attempt_id(n);
                let until = std::time::Instant::now() + MAX_WAIT;
                let ran = |server: &Server| {
                    server
                        .received()
                        .iter()
                        .any(|got| got.variable("HTTP_X_REQUEST_ID") == Some(id.as_bytes()))
                };
                while !ran(&killed) && !ran(&other) {
                    assert!(
                        std::time::Instant::now() < until,
                        "{protocol}: {script} is never run"
                    );
                    std::thread::sleep(std::time::Duration::from_millis(1));
                }
                if ran(&killed) {
                    waiting.push((script, waits));
                    break;
                }
                // In hand there, so that the next one is rather sent to the first.
                elsewhere.push((held_too.recv_timeout(MAX_WAIT).unwrap(), waits));
            }
        }
        for (run, waits) in elsewhere {
            run.respond(Behavior::ok("elsewhere"));
            assert_eq!(
                waits.outcome(),
                CallerOutcome::Completed(b"elsewhere".into())
            );
        }
        drop(killed.kill_and_collect());
        drop(held);
        // The one that may run twice does so on the other; nothing else is sent there.
        let run = held_too.recv_timeout(MAX_WAIT).unwrap();
        assert_eq!(run.request.variable("SCRIPT_NAME"), Some(&b"/svc/look"[..]));
        run.respond(Behavior::ok("again"));
        for (script, waits) in waiting {
            let wanted = if script == "/svc/look" {
                CallerOutcome::Completed(b"again".into())
            } else {
                CallerOutcome::Failed
            };
            assert_eq!(waits.outcome(), wanted, "{protocol}: {script}");
        }
        assert!(
            held_too.try_recv().is_err(),
            "{protocol}: something was run twice"
        );
    }
}
