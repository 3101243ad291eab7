//! Rules of the installation in the node: on fronts of both protocols, and changed under way.

use std::net::SocketAddr;

use doortrack_fakes::caller::{CallerOutcome, PendingAnswer};
use doortrack_fakes::engine::Engine;
use doortrack_fakes::fixture::{NodeFixture, NodeSetup};
use doortrack_protocols::{Protocol, Variable, write_request};
use serde_json::{Value, json};

/// What a front end that knows nothing of the platform sends.
fn bare(
    at: SocketAddr,
    protocol: Protocol,
    path: &str,
    more: &[(&str, &str)],
    body: &[u8],
) -> PendingAnswer {
    let mut pairs: Vec<Variable> = vec![
        (b"REQUEST_METHOD", b"POST"),
        (b"PATH_INFO", path.as_bytes()),
    ];
    pairs.extend(
        more.iter()
            .map(|(name, value)| (name.as_bytes(), value.as_bytes())),
    );
    let mut out = Vec::new();
    write_request(protocol, &mut out, 1, false, &pairs, body).unwrap();
    let mut sock = doortrack_fakes::fixture::connect(at);
    std::io::Write::write_all(&mut sock, &out).unwrap();
    PendingAnswer { sock, protocol }
}

fn rules() -> Value {
    json!([
        {"when": "path.starts_with(\"/confirm/\")", "group": "pay", "idempotency_key": "header(\"x-order\")",
            "subject": "segment(1)", "rank": "0.9", "due": "10s"},
        {"when": "path.starts_with(\"/find/\") && cidr(peer, \"127.0.0.0/8\")", "group": "look",
            "rank": "if front == \"uwsgi\" { 0.25 } else { 0.5 }"}
    ])
}

fn installation(fronts: &[(Protocol, SocketAddr)], rules: Value) -> Value {
    let front = |front: &(Protocol, SocketAddr)| {
        let (protocol, at) = (front.0.name(), front.1.to_string());
        json!({"protocol": protocol, "listen": at})
    };
    json!({"fronts": fronts.iter().map(front).collect::<Vec<_>>(), "rules": rules})
}

/// The run that a request has become, or none where it is answered without one. However slow the machine is,
/// one of the two comes: the node asks for a reading at each beat.
fn run_unless_refused(waits: &PendingAnswer, engine: &mut Engine) -> Option<String> {
    waits.sock.set_nonblocking(true).unwrap();
    let mut run = None;
    while run.is_none() && waits.sock.peek(&mut [0]).is_err() {
        run = engine.next_command_within_stats(1);
    }
    waits.sock.set_nonblocking(false).unwrap();
    let run = run?;
    assert_eq!(run["msg"], "RUN", "{run}");
    Some(run["call"].as_str().unwrap().to_string())
}

/// A node whose requests are over soon, for tests that wait until they are.
fn up(rules: Value) -> (NodeFixture, Engine, [(Protocol, SocketAddr); 2]) {
    up_within(rules, 1_000_000, 200_000)
}

/// A node whose lookups have this deadline, and repeats of its confirmations this window, in microseconds.
fn up_within(
    rules: Value,
    deadline: u64,
    window: u64,
) -> (NodeFixture, Engine, [(Protocol, SocketAddr); 2]) {
    let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    let fronts = [
        (Protocol::FastCgi, plan.port(9091)),
        (Protocol::Uwsgi, plan.port(9092)),
    ];
    plan.config["settings"]["lanes"][1]["window"] = json!(window);
    plan.config["settings"]["lanes"][1]["deadline"] = json!(1_000_000);
    plan.config["settings"]["lanes"][1]["target"] = json!(500_000);
    plan.config["settings"]["lanes"][0]["deadline"] = json!(deadline);
    plan.config["settings"]["lanes"][0]["target"] = json!(deadline / 2);
    plan.installation = Some(installation(&fronts, rules));
    let (fixture, engine) = plan.start_with_engine();
    (fixture, engine, fronts)
}

const ORDER: [(&str, &str); 1] = [("HTTP_X_ORDER", "77")];

#[test]
fn rules_class_what_knows_nothing_of_the_platform() {
    let (fixture, mut engine, fronts) = up(rules());
    for (nth, (protocol, at)) in fronts.into_iter().enumerate() {
        let waits = bare(at, protocol, "/find/berth", &[], b"when?");
        let (call, body) = engine.next_run();
        assert_eq!(body, b"when?");
        engine.finish_run(&call, "OK", b"found");
        assert_eq!(waits.outcome(), CallerOutcome::Completed(b"found".into()));
        // The idempotency key is what the rule says, over both fronts: only the first time is run.
        let waits = bare(at, protocol, "/confirm/4", &ORDER, b"berth 4");
        if nth == 0 {
            let (call, _) = engine.next_run();
            engine.finish_run(&call, "OK", b"confirmed");
        }
        assert_eq!(
            waits.outcome(),
            CallerOutcome::Completed(b"confirmed".into())
        );
        // Absent and empty idempotency keys are refused, not taken for one request.
        for more in [
            &[][..],
            &[("HTTP_X_ORDER", "")],
            &[("HTTP_X_ORDER", "1"), ("HTTP_X_ORDER", "2")],
        ] {
            assert_eq!(
                bare(at, protocol, "/confirm/4", more, b"").outcome(),
                CallerOutcome::Unreadable(400, "idempotency_key".into())
            );
        }
        assert_eq!(
            bare(at, protocol, "/else", &[], b"").outcome(),
            CallerOutcome::Unreadable(404, String::new())
        );
        assert!(matches!(
            bare(at, protocol, "/status/live", &[], b"").outcome(),
            CallerOutcome::Completed(_)
        ));
    }
    // The platform's own listener is not concerned.
    let mut client = fixture.client();
    client.send_look(1, 1);
    let (call, _) = engine.next_run();
    engine.finish_run(&call, "OK", b"as ever");
    assert_eq!(client.reply().body, b"as ever");
    fixture.signal("-TERM");
    let (_, log) = fixture.wait_for_exit();
    assert!(
        log.contains("\"no_rule\":1") && log.contains("rules=2 unindexed=0"),
        "{log}"
    );
}

#[test]
fn another_table_is_taken_up_as_a_whole_or_not_at_all() {
    // One lookup is in hand over the whole test, however slow the machine is.
    let (fixture, mut engine, fronts) = up_within(rules(), 30_000_000, 200_000);
    let (protocol, at) = fronts[1];
    let waits = bare(at, protocol, "/find/x", &[], b"before");
    let (call, _) = engine.next_run();
    // One good rule and one bad: nothing changes. Twice within one turn: the last one counts.
    fixture.signal("-STOP");
    fixture.replace_installation(&installation(
        &fronts,
        json!([
            {"when": "path == \"/new\"", "group": "look"}, {"when": "pth == \"/x\"", "group": "look"}
        ]),
    ));
    fixture.replace_installation(&installation(
        &fronts,
        json!([{"when": "path == \"/new\"", "group": "none"}]),
    ));
    fixture.signal("-CONT");
    engine.answer_stats(3);
    assert_eq!(
        bare(at, protocol, "/new", &[], b"").outcome(),
        CallerOutcome::Unreadable(404, String::new())
    );
    let mut new = rules();
    new.as_array_mut()
        .unwrap()
        .push(json!({"when": "path == \"/new\"", "group": "look"}));
    let mut file = installation(&fronts, new);
    file["otherwise"] = json!("look");
    fixture.replace_installation(&file);
    let until = std::time::Instant::now() + doortrack_fakes::MAX_WAIT;
    let (call_of_new, waits_of_new) = loop {
        let waits = bare(at, protocol, "/anything", &[], b"otherwise");
        if let Some(call) = run_unless_refused(&waits, &mut engine) {
            break (call, waits);
        }
        assert!(std::time::Instant::now() < until, "it is never taken up");
    };
    engine.finish_run(&call_of_new, "OK", b"by default");
    assert_eq!(
        waits_of_new.outcome(),
        CallerOutcome::Completed(b"by default".into())
    );
    // What was in hand stays what it was.
    engine.finish_run(&call, "OK", b"kept");
    assert_eq!(waits.outcome(), CallerOutcome::Completed(b"kept".into()));
    fixture.signal("-TERM");
    let (_, log) = fixture.wait_for_exit();
    assert!(
        log.contains("configuration rejected") && log.contains("installation.rules["),
        "{log}"
    );
}

#[test]
fn what_a_mark_means_does_not_change_within_its_window() {
    // A window that a test can wait for, and that a slow machine does not outlast before the repeat.
    let (fixture, mut engine, fronts) = up_within(rules(), 1_000_000, 3_000_000);
    let (protocol, at) = fronts[0];
    let waits = bare(at, protocol, "/confirm/4", &ORDER, b"berth 4");
    let (call, _) = engine.next_run();
    engine.finish_run(&call, "OK", b"confirmed");
    assert_eq!(
        waits.outcome(),
        CallerOutcome::Completed(b"confirmed".into())
    );
    // With another idempotency key the same request would be a new one, and run again.
    let mut new = rules();
    new[0]["idempotency_key"] = json!("(header(\"x-order\") ?? \"\") + path");
    fixture.replace_installation(&installation(&fronts, new.clone()));
    engine.answer_stats(3);
    let again = bare(at, protocol, "/confirm/4", &ORDER, b"berth 4");
    assert_eq!(
        again.outcome(),
        CallerOutcome::Completed(b"confirmed".into()),
        "it was run again"
    );
    // Once no repeat can come any more the new rules are taken.
    let until = std::time::Instant::now() + doortrack_fakes::MAX_WAIT;
    loop {
        std::thread::sleep(std::time::Duration::from_millis(300));
        fixture.replace_installation(&installation(&fronts, new.clone()));
        std::thread::sleep(std::time::Duration::from_millis(20));
        // An empty order is an idempotency key by the new rules, and a refusal by the old ones.
        let waits = bare(at, protocol, "/confirm/5", &[], b"berth 5");
        if let Some(call) = run_unless_refused(&waits, &mut engine) {
            engine.finish_run(&call, "OK", b"by the new rules");
            assert_eq!(
                waits.outcome(),
                CallerOutcome::Completed(b"by the new rules".into())
            );
            break;
        }
        assert!(std::time::Instant::now() < until, "it is never taken up");
    }
    fixture.signal("-TERM");
    let (_, log) = fixture.wait_for_exit();
    assert!(
        log.contains("would mean something else while some are within their window"),
        "{log}"
    );
}

#[test]
fn rules_send_exchanges_to_pools_whose_troubles_are_their_own() {
    use doortrack_fakes::server::{Behavior, Disconnect, Server};
    let main = Server::start(Protocol::Uwsgi, |_| Behavior::ok("main"));
    let quick = Server::start(Protocol::FastCgi, |_| Behavior::ok("quick"));
    let broken = Server::start(Protocol::Uwsgi, |_| Behavior::Cut {
        body: Vec::new(),
        at: 0,
        how: Disconnect::Close,
    });
    let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    let at = plan.port(9091);
    let pool = |server: &Server| {
        let addresses = [server.address.to_string()];
        json!({"protocol": server.protocol.name(), "addresses": addresses, "at_once": 8})
    };
    let mut file = installation(
        &[(Protocol::Uwsgi, at)],
        json!([
            {"when": "path.starts_with(\"/quick\")", "group": "look", "servers": "quick"},
            {"when": "path.starts_with(\"/broken\")", "group": "look", "servers": "broken"}
        ]),
    );
    file["otherwise"] = json!("look");
    file["servers"] = pool(&main);
    file["pools"] = json!({"quick": pool(&quick), "broken": pool(&broken)});
    plan.config["settings"]["family_info"]["cores"] = json!(64);
    plan.installation = Some(file.clone());
    let fixture = plan.start();
    let look = |path: &str| bare(at, Protocol::Uwsgi, path, &[], b"").outcome();
    for _ in 0..20 {
        assert_eq!(look("/quick/x"), CallerOutcome::Completed(b"quick".into()));
        assert_eq!(look("/broken/x"), CallerOutcome::Failed);
        assert_eq!(look("/else"), CallerOutcome::Completed(b"main".into()));
    }
    assert_eq!(
        (
            main.received().len(),
            quick.received().len(),
            quick.connections()
        ),
        (20, 20, 1)
    );
    // A pool that is not there yet takes its rules with it.
    file["pools"]["new"] = pool(&main);
    file["rules"][0]["servers"] = json!("new");
    fixture.replace_installation(&file);
    std::thread::sleep(std::time::Duration::from_millis(50));
    assert_eq!(look("/quick/x"), CallerOutcome::Completed(b"quick".into()));
    fixture.signal("-TERM");
    let (_, log) = fixture.wait_for_exit();
    assert!(
        log.contains("servers need a start") && log.contains("rules[0].servers: 'new' is none"),
        "{log}"
    );
    assert!(
        log.contains("pool=broken") && log.contains("pool=servers"),
        "{log}"
    );
}

fn doortrack(words: &[&str]) -> (Option<i32>, String) {
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_doortrack"))
        .env_clear()
        .args(words)
        .output()
        .unwrap();
    (out.status.code(), String::from_utf8(out.stdout).unwrap())
}

fn example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn expressions_and_rules_are_tried_on_the_command_line() {
    let folder = std::env::temp_dir().join(format!("doortrack-routes-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_string()
    };
    let (rules, config, cases) = (
        example("rules.json"),
        example("node.json"),
        example("cases.json"),
    );
    let test = |cases: &str| {
        doortrack(&[
            "routes",
            "test",
            "--installation",
            &rules,
            "--cases",
            cases,
            "--config",
            &config,
        ])
    };
    assert_eq!(test(&cases), (Some(0), "4 of 4 cases as wanted\n".into()));
    let differs = file(
        "cases.json",
        r#"[{"name": "wrong", "rule": 0, "group": "moor", "request": {"path": "/tides"}},
        {"name": "none", "rule": null, "request": {"path": "/x"}}]"#,
    );
    let (code, told) = test(&differs);
    assert_eq!(code, Some(1));
    assert!(
        told.contains("wrong: differs") && told.contains("- rules[0]\n  + rules[1]"),
        "{told}"
    );
    assert!(told.ends_with("1 of 2 cases as wanted\n"), "{told}");
    let (code, told) = test(&file(
        "bad.json",
        r#"[{"name": "x", "request": {"pth": "/"}}]"#,
    ));
    assert!(
        code == Some(1) && told.contains("cases[0].request.pth: unknown field"),
        "{told}"
    );
    let request = file(
        "request.json",
        r#"{"path": "/tides", "method": "PUT", "headers": {"X-Yard": "North"}}"#,
    );
    let (_, told) = doortrack(&[
        "routes",
        "explain",
        "--installation",
        &rules,
        "--request",
        &request,
    ]);
    assert!(
        told.contains("no rule, 404") && told.contains("method in [\"GET\", \"POST\"] is false"),
        "{told}"
    );
    let eval = |source: &str| doortrack(&["expr", "eval", source, "--request", &request]);
    assert!(
        eval("lower(header(\"x-yard\") ?? \"\")")
            .1
            .starts_with("\"north\"\nstring, ")
    );
    let (code, told) = eval("lower(header(\"x-yard\"))");
    assert!(code == Some(1) && told.contains("it ?? other"), "{told}");
    let (code, told) = doortrack(&["expr", "check", &file("key.expr", "path + 1")]);
    assert!(code == Some(1) && told.contains("key.expr:1:8"), "{told}");
    let (_, told) = doortrack(&["expr", "explain", "segment(1) ?? \"\""]);
    assert!(
        told.contains("type   string") && told.contains("cost   at most"),
        "{told}"
    );
    _ = std::fs::remove_dir_all(folder);
}

#[test]
fn each_fault_in_a_changed_file_is_named_with_its_place() {
    let folder = std::env::temp_dir().join(format!("doortrack-mutated-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("installation.json");
    let good = json!({
        "fronts": [{"protocol": "uwsgi", "listen": "127.0.0.1:9091"}],
        "servers": {"protocol": "uwsgi", "addresses": ["127.0.0.1:7001"]},
        "pools": {"slow": {"protocol": "fastcgi", "addresses": ["127.0.0.1:7002"]}},
        "rules": [
            {"when": "path.starts_with(\"/a\")", "group": "moor", "idempotency_key": "header(\"x-order\")",
                "servers": "slow"},
            {"when": "true", "group": "tides", "rank": "0.5", "due": "1s", "subject": "segment(0)"}
        ],
        "otherwise": "tides", "expressions": {"max_cost": 5000}
    });
    let check = |value: &Value| {
        std::fs::write(&file, value.to_string()).unwrap();
        doortrack(&[
            "check",
            "--installation",
            file.to_str().unwrap(),
            "--config",
            &example("node.json"),
        ])
    };
    assert_eq!(check(&good).0, Some(0), "{}", check(&good).1);
    for (place, value, told) in [
        (
            "/fronts/0/protocol",
            json!("http"),
            "installation.fronts[0].protocol: ",
        ),
        (
            "/fronts/0/listen",
            json!("127.0.0.1:9090"),
            "installation.fronts[0].listen: 127.0.0.1:9090 is taken",
        ),
        (
            "/servers/addresses/0",
            json!("127.0.0.1"),
            "installation.servers.addresses[0]: ",
        ),
        (
            "/servers/addresses",
            json!([]),
            "installation.servers.addresses: 1 to 1000",
        ),
        (
            "/servers/protocol",
            json!(null),
            "installation.servers.protocol: ",
        ),
        (
            "/servers",
            json!(null),
            "installation: needed key 'servers'",
        ),
        (
            "/pools/slow/addresses/0",
            json!(7),
            "installation.pools.slow.addresses[0]: ",
        ),
        (
            "/pools/slow",
            json!({}),
            "installation.pools.slow: needed key 'protocol'",
        ),
        (
            "/rules/0/when",
            json!("pth == \"a\""),
            "installation.rules[0].when: 1:1: there is no value 'pth'",
        ),
        (
            "/rules/0/when",
            json!("path"),
            "installation.rules[0].when: bool is wanted",
        ),
        (
            "/rules/0/when",
            json!(1),
            "installation.rules[0].when: invalid type",
        ),
        (
            "/rules/0/when",
            json!("(".repeat(5000)),
            "installation.rules[0].when: 1:",
        ),
        (
            "/rules/0/group",
            json!("moorings"),
            "installation.rules[0].group: 'moorings' is none",
        ),
        (
            "/rules/0/idempotency_key",
            json!("1"),
            "installation.rules[0].idempotency_key: string or bytes is wanted",
        ),
        (
            "/rules/0/servers",
            json!("fast"),
            "installation.rules[0].servers: 'fast' is none of the pools slow",
        ),
        (
            "/rules/1/rank",
            json!("\"high\""),
            "installation.rules[1].rank: float is wanted",
        ),
        (
            "/rules/1/due",
            json!("1"),
            "installation.rules[1].due: duration is wanted",
        ),
        (
            "/rules/1/subject",
            json!("segment("),
            "installation.rules[1].subject: 1:9: ",
        ),
        (
            "/rules/1",
            json!([]),
            "installation.rules[1]: an object is wanted",
        ),
        (
            "/otherwise",
            json!("nowhere"),
            "installation.otherwise: 'nowhere' is none",
        ),
        (
            "/expressions/max_cost",
            json!(0),
            "installation.expressions.max_cost: ",
        ),
        (
            "/expressions/max_cost",
            json!(3),
            "installation.rules[0].when: 1:1: this may take",
        ),
    ] {
        let mut changed = good.clone();
        *changed.pointer_mut(place).unwrap() = value;
        let (code, found) = check(&changed);
        assert!(
            code == Some(1) && found.lines().any(|line| line.starts_with(told)),
            "{place}: {told}\n{found}"
        );
    }
    _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_rule_of_before_that_says_mark_is_read_as_one_that_says_idempotency_key() {
    let read = |key: &str| {
        let rule = json!({"when": "true", "group": "pay", key: "path"});
        doortrack_config::installation::parse(json!({"rules": [rule]}).to_string().as_bytes())
            .unwrap()
    };
    assert_eq!(read("mark"), read("idempotency_key"));
}
