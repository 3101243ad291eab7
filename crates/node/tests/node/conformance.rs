//! A suite that runs for every pair of a listener protocol and a backend (engine or servers): outcomes, rejections
//! and drains are the same for all pairs.

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

/// The backend that executes runs for the node.
enum Backend {
    Engine(Engine),
    /// The server, which stops when dropped, and its held requests.
    Server(#[allow(dead_code)] Server, Receiver<HeldRequest>),
}

/// A run that has started and has not been answered.
enum BackendRun {
    Engine(String),
    Server(HeldRequest),
}

impl Backend {
    /// Waits for the next run. Returns its request id, its body and the run itself.
    fn receive_run(&mut self) -> (String, Vec<u8>, BackendRun) {
        match self {
            Backend::Engine(engine) => {
                let (call, body) = engine.next_run();
                (call.clone(), body, BackendRun::Engine(call))
            }
            Backend::Server(_, held) => {
                let held = held.recv_timeout(MAX_WAIT).expect("no run arrives");
                let call =
                    String::from_utf8(held.request.variable("HTTP_X_REQUEST_ID").unwrap().to_vec());
                (
                    call.unwrap(),
                    held.request.body.clone(),
                    BackendRun::Server(held),
                )
            }
        }
    }

    fn complete(&mut self, run: BackendRun, result: &[u8]) {
        self.finish(run, "OK", Behavior::ok(result));
    }

    fn fail(&mut self, run: BackendRun) {
        let behavior = Behavior::Answer {
            status: "500 No",
            body: Vec::new(),
            after: Default::default(),
        };
        self.finish(run, "ERROR", behavior);
    }

    fn finish(&mut self, run: BackendRun, how: &str, behavior: Behavior) {
        match (self, run) {
            (Backend::Engine(engine), BackendRun::Engine(call)) => {
                let result = if let Behavior::Answer { body, .. } = &behavior {
                    &body[..]
                } else {
                    b""
                };
                engine.finish_run(&call, how, result);
            }
            (_, BackendRun::Server(held)) => held.respond(behavior),
            _ => unreachable!("the run belongs to another kind of backend"),
        }
    }
}

/// A node with the listener under test and its backend.
struct PairFixture {
    fixture: NodeFixture,
    listener_protocol: Protocol,
    at: SocketAddr,
    backend: Backend,
    nth: u64,
}

impl PairFixture {
    fn new_request<'a>(&mut self, script: &'a str, body: &'a [u8]) -> CallerRequest<'a> {
        self.nth += 1;
        CallerRequest::new(self.nth, script, body)
    }

    fn send(&mut self, script: &str, body: &[u8]) -> PendingAnswer {
        let (at, listener_protocol) = (self.at, self.listener_protocol);
        self.new_request(script, body).send(at, listener_protocol)
    }

    fn send_pay(&mut self, key: u8, body: &[u8]) -> PendingAnswer {
        let (at, listener_protocol) = (self.at, self.listener_protocol);
        let key = format!("{key:032x}");
        self.new_request("/svc/pay", body)
            .with("HTTP_IDEMPOTENCY_KEY", &key)
            .send(at, listener_protocol)
    }
}

/// Runs a scenario for each pair and checks that its results are the same for all.
fn for_each_pair(change: impl Fn(&mut Value), scenario: impl Fn(&mut PairFixture) -> Vec<String>) {
    let mut all: Vec<(String, Vec<String>)> = Vec::new();
    for listener_protocol in Protocol::ALL {
        for backend_protocol in [None, Some(FastCgi), Some(Uwsgi)] {
            let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
            change(&mut setup.config);
            let at = setup.port(9091);
            let mut installation = json!({"fronts": [{"protocol": listener_protocol.name(), "listen": at.to_string()}]});
            let server = backend_protocol.map(Server::held);
            if let Some((server, _)) = &server {
                installation["servers"] = json!({"protocol": server.protocol.name(),
                    "addresses": [server.address.to_string()], "at_once": 6});
            }
            setup.installation = Some(installation);
            let (fixture, backend) = match server {
                Some((server, held)) => (setup.start(), Backend::Server(server, held)),
                None => {
                    let (fixture, engine) = setup.start_with_engine();
                    (fixture, Backend::Engine(engine))
                }
            };
            let mut pair = PairFixture {
                fixture,
                listener_protocol,
                at,
                backend,
                nth: 0,
            };
            let results = scenario(&mut pair);
            all.push((
                format!(
                    "{listener_protocol} with {}",
                    backend_protocol.map_or("the engine", Protocol::name)
                ),
                results,
            ));
        }
    }
    for (pair_name, results) in &all[1..] {
        assert_eq!(*results, all[0].1, "{pair_name} differs from {}", all[0].0);
    }
}

fn describe(outcome: &CallerOutcome) -> String {
    match outcome {
        // The retry delay depends on the moment of the rejection.
        CallerOutcome::Rejected {
            no_retry_elsewhere, ..
        } => format!("rejected, no retry elsewhere: {no_retry_elsewhere}"),
        other => format!("{other:?}"),
    }
}

#[test]
fn requests_complete_fail_or_are_refused_alike_for_every_pair() {
    for_each_pair(
        |_| {},
        |pair| {
            let body: Vec<u8> = (0..2048).map(|n| n as u8).collect();
            let result: Vec<u8> = body.iter().rev().copied().cycle().take(4096).collect();
            let mut all = Vec::new();
            let pending = pair.send("/svc/look", &body);
            let (_, got, run) = pair.backend.receive_run();
            assert!(got == body, "a body was changed");
            pair.backend.complete(run, &result);
            all.push(describe(&pending.outcome()));
            let pending = pair.send("/svc/look", b"");
            let (_, _, run) = pair.backend.receive_run();
            pair.backend.fail(run);
            all.push(describe(&pending.outcome()));
            for (script, body) in [
                ("/status/live", &b""[..]),
                ("/svc/none", b""),
                ("/svc/look", &[1; 2049]),
            ] {
                all.push(describe(&pair.send(script, body).outcome()));
            }
            all
        },
    );
}

#[test]
fn a_deduplicated_request_runs_once_for_every_pair() {
    for_each_pair(
        |_| {},
        |pair| {
            let mut all = Vec::new();
            for (key, good) in [(1, true), (2, false)] {
                let first = pair.send_pay(key, b"berth 4");
                let (call, _, run) = pair.backend.receive_run();
                let again = pair.send_pay(key, b"berth 4");
                let other = pair.send_pay(key, b"another body");
                all.push(describe(&other.outcome()));
                if good {
                    pair.backend.complete(run, b"moored")
                } else {
                    pair.backend.fail(run)
                }
                let later = pair.send_pay(key, b"berth 4").outcome();
                all.extend([
                    call,
                    describe(&first.outcome()),
                    describe(&again.outcome()),
                    describe(&later),
                ]);
            }
            // No repeat was run: the next run belongs to the next request.
            let pending = pair.send("/svc/look", b"last");
            let (_, body, run) = pair.backend.receive_run();
            assert_eq!(body, b"last");
            pair.backend.complete(run, b"");
            all.push(describe(&pending.outcome()));
            all
        },
    );
}

#[test]
fn a_request_whose_caller_disconnects_runs_at_most_once() {
    for_each_pair(
        |_| {},
        |pair| {
            let mut all = Vec::new();
            // The caller half-closes after the last byte: its request is still answered.
            let half = pair.send_pay(1, b"x");
            half.half_close();
            let (_, _, run) = pair.backend.receive_run();
            pair.backend.complete(run, b"kept");
            all.push(describe(&half.outcome()));
            all.push(describe(&pair.send_pay(1, b"x").outcome()));
            // The connection is reset before the request is complete: it never runs.
            let (at, listener_protocol) = (pair.at, pair.listener_protocol);
            let bytes = pair
                .new_request("/svc/pay", b"body")
                .with("HTTP_IDEMPOTENCY_KEY", &"2".repeat(32))
                .bytes(listener_protocol);
            let mut sock = connect(at);
            sock.write_all(&bytes[..bytes.len() - 2]).unwrap();
            PendingAnswer {
                sock,
                protocol: listener_protocol,
            }
            .reset();
            let pending = pair.send_pay(0x22, b"y");
            let (_, body, run) = pair.backend.receive_run();
            assert_eq!(body, b"y");
            pair.backend.complete(run, b"");
            all.push(describe(&pending.outcome()));
            all
        },
    );
}

#[test]
fn a_drain_has_the_same_outcome_for_every_pair() {
    let change = |config: &mut Value| {
        config["stop_ms"] = json!(1500);
        config["settings"]["safety"]["drain_grace"] = json!(0);
    };
    for_each_pair(change, |pair| {
        let (one, two) = (pair.send("/svc/look", b"1"), pair.send_pay(1, b"2"));
        let (_, first, run) = pair.backend.receive_run();
        let (_, _, rest) = pair.backend.receive_run();
        let (runs_first, hanging) = if first == b"1" {
            (run, rest)
        } else {
            (rest, run)
        };
        pair.fixture.signal("-TERM");
        pair.fixture.wait_for_report("draining");
        let (stamp, at, listener_protocol) = (
            (unix_ms() + 10).to_string(),
            pair.at,
            pair.listener_protocol,
        );
        let late = pair
            .new_request("/svc/look", b"")
            .with("HTTP_X_REQUEST_START", &stamp)
            .send(at, listener_protocol)
            .outcome();
        let check = pair.send("/status/live", b"").outcome();
        pair.backend.complete(runs_first, b"in time");
        let mut all = vec![
            describe(&late),
            describe(&check),
            describe(&one.outcome()),
            describe(&two.outcome()),
        ];
        drop(hanging);
        let code = pair.fixture.program.wait().unwrap().code();
        all.push(format!("{code:?}"));
        all
    });
}

/// Starts a node with these servers and a listener for each protocol.
fn with_servers(
    servers: &[&Server],
    change: impl FnOnce(&mut Value),
) -> (NodeFixture, [(Protocol, SocketAddr); 2]) {
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    let listeners = [(FastCgi, setup.port(9091)), (Uwsgi, setup.port(9092))];
    let mut installation = json!({
        "fronts": listeners.map(|(listener_protocol, at)| json!({"protocol": listener_protocol.name(), "listen": at.to_string()})),
        "servers": {
            "protocol": servers[0].protocol.name(),
            "addresses": servers.iter().map(|server| server.address.to_string()).collect::<Vec<_>>()
        }
    });
    change(&mut installation["servers"]);
    setup.installation = Some(installation);
    (setup.start(), listeners)
}

/// Guards against rejecting requests that arrive before the node's first turn. Without the fix most of these starts
/// reject at least one; with it none can, however slow the machine.
#[test]
fn requests_read_in_the_first_turn_are_served() {
    let server = Server::start(FastCgi, |_| Behavior::ok("done"));
    for _ in 0..8 {
        let (_fixture, [(listener_protocol, at), _]) = with_servers(&[&server], |_| {});
        let until = std::time::Instant::now() + MAX_WAIT;
        let first_request = CallerRequest::new(1, "/svc/look", b"");
        // The request is sent as soon as the node listens, which is before its event loop starts.
        let pending = loop {
            match first_request.try_send(at, listener_protocol) {
                Ok(pending) => break pending,
                Err(e) => assert!(
                    std::time::Instant::now() < until,
                    "the node does not listen: {e}"
                ),
            }
        };
        assert_eq!(
            pending.outcome(),
            CallerOutcome::Completed(b"done".to_vec())
        );
    }
}

/// Every way in which a server may fail to send a complete response, with a description.
fn broken_responses(protocol: Protocol) -> Vec<(Behavior, &'static str)> {
    let cut = |at, how| Behavior::Cut {
        body: b"a result of some length".into(),
        at,
        how,
    };
    let mut behaviors = vec![
        (cut(0, Disconnect::Close), "closed before any byte"),
        (cut(0, Disconnect::Reset), "reset before any byte"),
        (cut(20, Disconnect::Close), "closed after the status line"),
        (
            cut(20, Disconnect::HalfClose),
            "half closed after the status line",
        ),
        (cut(45, Disconnect::Reset), "reset within the body"),
        (
            Behavior::Garbage(b"SSH-2.0-OpenSSH\r\n".into()),
            "not a response",
        ),
        (
            Behavior::Garbage(vec![b'x'; 100_000]),
            "a head that never ends",
        ),
    ];
    match protocol {
        Uwsgi => {
            let short = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf".to_vec();
            behaviors.push((Behavior::Garbage(short), "half of the body"));
        }
        FastCgi => {
            // A whole body without the END_REQUEST record.
            let mut whole = vec![1, 6, 0, 1, 0, 20, 0, 0];
            whole.extend(b"Status: 200 OK\r\n\r\nok");
            whole.extend([1, 6, 0, 1, 0, 0, 0, 0]);
            behaviors.push((Behavior::Garbage(whole), "no END_REQUEST record"));
        }
    }
    behaviors
}

#[test]
fn a_broken_response_costs_one_retry_or_a_failure_and_nothing_runs_twice() {
    for protocol in Protocol::ALL {
        for (behavior, what) in broken_responses(protocol) {
            let (server, held) = Server::held(protocol);
            let no_ejection = json!({"failures": 100});
            let (_fixture, [(listener_protocol, at), _]) =
                with_servers(&[&server], |servers| servers["aside"] = no_ejection);
            // Repeatable: retried and completed.
            let pending = CallerRequest::new(1, "/svc/look", b"").send(at, listener_protocol);
            held.recv_timeout(MAX_WAIT)
                .unwrap()
                .respond(behavior.clone());
            let again = held
                .recv_timeout(MAX_WAIT)
                .unwrap_or_else(|_| panic!("{protocol}: {what}: not retried"));
            again.respond(Behavior::ok("at last"));
            assert_eq!(
                pending.outcome(),
                CallerOutcome::Completed(b"at last".into()),
                "{protocol}: {what}"
            );
            // Deduplicated: the request may have run, so it fails, and so does its repeat.
            let pay = |n| {
                CallerRequest::new(n, "/svc/pay", b"")
                    .with("HTTP_IDEMPOTENCY_KEY", &"3".repeat(32))
                    .send(at, listener_protocol)
            };
            let pending = pay(2);
            held.recv_timeout(MAX_WAIT).unwrap().respond(behavior);
            assert_eq!(
                pending.outcome(),
                CallerOutcome::Failed,
                "{protocol}: {what}"
            );
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
fn excess_body_bytes_are_cut_and_response_headers_are_passed_on() {
    let (server, held) = Server::held(Uwsgi);
    let (_fixture, listeners) = with_servers(&[&server], |_| {});
    for (n, (listener_protocol, at)) in listeners.into_iter().enumerate() {
        let pending = CallerRequest::new(n as u64, "/svc/look", b"").send(at, listener_protocol);
        let more = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody and more".to_vec();
        held.recv_timeout(MAX_WAIT)
            .unwrap()
            .respond(Behavior::Garbage(more));
        assert_eq!(pending.outcome(), CallerOutcome::Completed(b"body".into()));
        let key = format!("{n:032x}");
        let pay = |n| {
            CallerRequest::new(n, "/svc/pay", b"")
                .with("HTTP_IDEMPOTENCY_KEY", &key)
                .send(at, listener_protocol)
        };
        let pending = pay(10 + n as u64);
        let run = held.recv_timeout(MAX_WAIT).unwrap();
        assert_eq!(
            run.request.variable("HTTP_X_CALLER"),
            Some(&b"1"[..]),
            "variables are forwarded unchanged"
        );
        run.respond(Behavior::ok("paid"));
        let first = pending.outcome_with_headers();
        assert_eq!(first.1["Content-Type"], "text/plain");
        assert_eq!(
            (&*first.1["X-From"], &*first.1["X-Load-Signal"]),
            ("a server", "0"),
            "the server's own load signal is not passed on"
        );
        assert_eq!(
            pay(20 + n as u64).outcome_with_headers(),
            first,
            "a repeat gets the same response"
        );
    }
}

#[test]
fn a_killed_server_recovers_and_a_hanging_server_delays_no_others() {
    for protocol in Protocol::ALL {
        let (server, held) = Server::held(protocol);
        let hanging = Server::start(protocol, |_| Behavior::Hang);
        let (fixture, [(listener_protocol, at), _]) =
            with_servers(&[&server, &hanging], |servers| {
                servers["answer_within_ms"] = json!(300);
                servers["aside"] =
                    json!({"failures": 1, "first_ms": 200, "longest_ms": 400, "floor": 0.5});
            });
        let echo = std::thread::spawn(move || {
            held.iter()
                .for_each(|run| run.respond(Behavior::ok("sound")))
        });
        let mut n = 0;
        let mut send_look = || {
            n += 1;
            CallerRequest::new(n, "/svc/look", b"")
                .send(at, listener_protocol)
                .outcome()
        };
        // Every request completes: those sent to the hanging server are retried.
        assert!(
            (0..30).all(|_| send_look() == CallerOutcome::Completed(b"sound".into())),
            "{protocol}"
        );
        let killed_address = server.kill();
        echo.join().unwrap();
        assert_eq!(
            send_look(),
            CallerOutcome::Failed,
            "{protocol}: one server refuses and the other hangs"
        );
        let _again = Server::start_at(killed_address, protocol, |_| Behavior::ok("back"));
        let until = std::time::Instant::now() + MAX_WAIT;
        while send_look() != CallerOutcome::Completed(b"back".into()) {
            assert!(
                std::time::Instant::now() < until,
                "{protocol}: the restarted server is never used"
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
fn kept_connections_are_reused_and_a_closed_one_loses_no_run() {
    let (server, held) = Server::held(FastCgi);
    let (_fixture, [_, (listener_protocol, at)]) = with_servers(&[&server], |_| {});
    let mut n = 0;
    let mut pay = |behavior| {
        n += 1;
        let pending = CallerRequest::new(n, "/svc/pay", b"")
            .with("HTTP_IDEMPOTENCY_KEY", &format!("{n:032x}"))
            .send(at, listener_protocol);
        let run = held.recv_timeout(MAX_WAIT).unwrap();
        assert!(run.request.keep_alive);
        run.respond(behavior);
        pending.outcome()
    };
    assert!((0..5).all(|_| pay(Behavior::ok("")) == CallerOutcome::Completed(Vec::new())));
    assert_eq!(server.connections(), 1);
    // The server closes the connection after an answer: the next run, which may not run twice, is not lost.
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
fn servers_can_be_replaced_at_run_time() {
    let (one, two) = (
        Server::start(Uwsgi, |_| Behavior::ok("one")),
        Server::start(Uwsgi, |_| Behavior::ok("two")),
    );
    let (fixture, [(listener_protocol, at), _]) = with_servers(&[&one], |_| {});
    let mut n = 0;
    let mut send_look = || {
        n += 1;
        CallerRequest::new(n, "/svc/look", b"")
            .send(at, listener_protocol)
            .outcome()
    };
    assert_eq!(send_look(), CallerOutcome::Completed(b"one".into()));
    let listeners = json!([{"protocol": "fastcgi", "listen": at.to_string()}]);
    let install = |protocol: &str, at: SocketAddr| {
        fixture.replace_installation(
            &json!({"fronts": listeners, "servers": {"protocol": protocol, "addresses": [at.to_string()]}}),
        );
    };
    install("uwsgi", two.address);
    let until = std::time::Instant::now() + MAX_WAIT;
    while send_look() != CallerOutcome::Completed(b"two".into()) {
        assert!(
            std::time::Instant::now() < until,
            "the new server is never used"
        );
    }
    assert!((0..10).all(|_| send_look() == CallerOutcome::Completed(b"two".into())));
    // The servers' protocol cannot change at run time: the change is logged and the servers stay.
    install("fastcgi", one.address);
    std::thread::sleep(std::time::Duration::from_millis(50));
    assert!((0..10).all(|_| send_look() == CallerOutcome::Completed(b"two".into())));
    fixture.signal("-TERM");
    let (_, log) = fixture.wait_for_exit();
    assert!(log.contains("servers need a start"), "{log}");
}

#[test]
fn a_request_that_may_run_twice_survives_a_server_killed_mid_run() {
    for protocol in Protocol::ALL {
        let (killed, held) = Server::held(protocol);
        let (other, other_held) = Server::held(protocol);
        let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
        let at = setup.port(9091);
        setup.config["settings"]["family_info"]["cores"] = json!(32);
        let lanes = setup.config["settings"]["lanes"].as_array_mut().unwrap();
        let mut mutating = lanes[0].clone();
        (mutating["name"], mutating["idempotency"]) = (json!("write"), json!("unsafe"));
        lanes.push(mutating);
        // These settings have one item per group.
        setup.config["settings"]["family_info"]["calls_by_class"] = json!([false, false, false]);
        setup.config["settings"]["family_info"]["class_skip_worth"] = json!([0, 0, 0]);
        setup.installation = Some(json!({
            "fronts": [{"protocol": "uwsgi", "listen": at.to_string()}],
            "servers": {"protocol": protocol.name(), "at_once": 16,
                "addresses": [killed.address.to_string(), other.address.to_string()]}
        }));
        let _fixture = setup.start();
        let send_request = |n, script| {
            CallerRequest::new(n, script, b"")
                .with("HTTP_IDEMPOTENCY_KEY", &"4".repeat(32))
                .send(at, Uwsgi)
        };
        // Sends each kind of request until one runs on the server that is to be killed.
        let (mut waiting, mut elsewhere, mut n) = (Vec::new(), Vec::new(), 0);
        for script in ["/svc/look", "/svc/pay", "/svc/write"] {
            loop {
                n += 1;
                let pending = match script {
                    "/svc/pay" => {
                        let key = format!("{n:032x}");
                        CallerRequest::new(n, script, b"")
                            .with("HTTP_IDEMPOTENCY_KEY", &key)
                            .send(at, Uwsgi)
                    }
                    _ => send_request(n, script),
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
                        "{protocol}: {script} never runs"
                    );
                    std::thread::sleep(std::time::Duration::from_millis(1));
                }
                if ran(&killed) {
                    waiting.push((script, pending));
                    break;
                }
                // The run stays pending on the other server, so that the next one is more likely sent to the first.
                elsewhere.push((other_held.recv_timeout(MAX_WAIT).unwrap(), pending));
            }
        }
        for (run, pending) in elsewhere {
            run.respond(Behavior::ok("elsewhere"));
            assert_eq!(
                pending.outcome(),
                CallerOutcome::Completed(b"elsewhere".into())
            );
        }
        drop(killed.kill_and_collect());
        drop(held);
        // Only the request that may run twice is retried on the other server.
        let run = other_held.recv_timeout(MAX_WAIT).unwrap();
        assert_eq!(run.request.variable("SCRIPT_NAME"), Some(&b"/svc/look"[..]));
        run.respond(Behavior::ok("again"));
        for (script, pending) in waiting {
            let wanted = if script == "/svc/look" {
                CallerOutcome::Completed(b"again".into())
            } else {
                CallerOutcome::Failed
            };
            assert_eq!(pending.outcome(), wanted, "{protocol}: {script}");
        }
        assert!(
            other_held.try_recv().is_err(),
            "{protocol}: a request was run twice"
        );
    }
}
