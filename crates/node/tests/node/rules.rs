//! Rules of the installation file in a running node: on listeners of both protocols, over reloads and on the command
//! line.

use std::net::SocketAddr;

use doortrack_fakes::caller::{CallerOutcome, PendingAnswer};
use doortrack_fakes::engine::Engine;
use doortrack_fakes::fixture::{NodeFixture, NodeSetup};
use doortrack_protocols::{Protocol, Variable, write_request};
use serde_json::{Value, json};

/// Sends a request as a web server does, without the platform's request headers.
fn send_plain_request(
    address: SocketAddr,
    protocol: Protocol,
    path: &str,
    extra_variables: &[(&str, &str)],
    body: &[u8],
) -> PendingAnswer {
    let mut pairs: Vec<Variable> = vec![
        (b"REQUEST_METHOD", b"POST"),
        (b"PATH_INFO", path.as_bytes()),
    ];
    pairs.extend(
        extra_variables
            .iter()
            .map(|(name, value)| (name.as_bytes(), value.as_bytes())),
    );
    let mut out = Vec::new();
    write_request(protocol, &mut out, 1, false, &pairs, body).unwrap();
    let mut sock = doortrack_fakes::fixture::connect(address);
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

fn installation(listeners: &[(Protocol, SocketAddr)], rules: Value) -> Value {
    let listener_settings = |listener: &(Protocol, SocketAddr)| {
        let (protocol, address) = (listener.0.name(), listener.1.to_string());
        json!({"protocol": protocol, "listen": address})
    };
    json!({"fronts": listeners.iter().map(listener_settings).collect::<Vec<_>>(), "rules": rules})
}

/// Returns the run that a request started, or `None` if the request was answered without a run. Since the node sends
/// STAT at every tick, one of the two happens however slow the machine is.
pub fn run_unless_answered(pending: &PendingAnswer, engine: &mut Engine) -> Option<String> {
    pending.sock.set_nonblocking(true).unwrap();
    let mut run = None;
    while run.is_none() && pending.sock.peek(&mut [0]).is_err() {
        run = engine.next_command_within_stats(1);
    }
    pending.sock.set_nonblocking(false).unwrap();
    let run = run?;
    assert_eq!(run["msg"], "RUN", "{run}");
    Some(run["call"].as_str().unwrap().to_string())
}

/// Starts a node with short deadlines and a short dedup window, for tests that wait for them.
fn start_node(rules: Value) -> (NodeFixture, Engine, [(Protocol, SocketAddr); 2]) {
    start_node_with(rules, 1_000_000, 200_000)
}

/// Starts a node whose group `look` has this deadline and whose group `pay` has this dedup window, in microseconds.
fn start_node_with(
    rules: Value,
    deadline_us: u64,
    window_us: u64,
) -> (NodeFixture, Engine, [(Protocol, SocketAddr); 2]) {
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    let listeners = [
        (Protocol::FastCgi, setup.port(9091)),
        (Protocol::Uwsgi, setup.port(9092)),
    ];
    setup.config["settings"]["lanes"][1]["window"] = json!(window_us);
    setup.config["settings"]["lanes"][1]["deadline"] = json!(1_000_000);
    setup.config["settings"]["lanes"][1]["target"] = json!(500_000);
    setup.config["settings"]["lanes"][0]["deadline"] = json!(deadline_us);
    setup.config["settings"]["lanes"][0]["target"] = json!(deadline_us / 2);
    setup.installation = Some(installation(&listeners, rules));
    let (fixture, engine) = setup.start_with_engine();
    (fixture, engine, listeners)
}

const ORDER_HEADER: [(&str, &str); 1] = [("HTTP_X_ORDER", "77")];

#[test]
fn rules_classify_requests_without_platform_headers() {
    let (fixture, mut engine, listeners) = start_node(rules());
    for (index, (protocol, address)) in listeners.into_iter().enumerate() {
        let pending = send_plain_request(address, protocol, "/find/berth", &[], b"when?");
        let (call, body) = engine.next_run();
        assert_eq!(body, b"when?");
        engine.finish_run(&call, "OK", b"found");
        assert_eq!(pending.outcome(), CallerOutcome::Completed(b"found".into()));
        // The rule's idempotency key holds across both listeners: only the first request runs.
        let pending =
            send_plain_request(address, protocol, "/confirm/4", &ORDER_HEADER, b"berth 4");
        if index == 0 {
            let (call, _) = engine.next_run();
            engine.finish_run(&call, "OK", b"confirmed");
        }
        assert_eq!(
            pending.outcome(),
            CallerOutcome::Completed(b"confirmed".into())
        );
        // A missing, empty or repeated idempotency key is refused, not taken as a key that requests share.
        for extra_variables in [
            &[][..],
            &[("HTTP_X_ORDER", "")],
            &[("HTTP_X_ORDER", "1"), ("HTTP_X_ORDER", "2")],
        ] {
            assert_eq!(
                send_plain_request(address, protocol, "/confirm/4", extra_variables, b"").outcome(),
                CallerOutcome::Unreadable(400, "idempotency_key".into())
            );
        }
        assert_eq!(
            send_plain_request(address, protocol, "/else", &[], b"").outcome(),
            CallerOutcome::Unreadable(404, String::new())
        );
        assert!(matches!(
            send_plain_request(address, protocol, "/status/live", &[], b"").outcome(),
            CallerOutcome::Completed(_)
        ));
    }
    // The rules do not apply to the platform's own listener.
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
fn a_new_rule_table_is_applied_as_a_whole_or_not_at_all() {
    // One lookup stays in flight over the whole test, however slow the machine is.
    let (fixture, mut engine, listeners) = start_node_with(rules(), 30_000_000, 200_000);
    let (protocol, address) = listeners[1];
    let pending = send_plain_request(address, protocol, "/find/x", &[], b"before");
    let (call, _) = engine.next_run();
    // A table with one valid and one faulty rule changes nothing. With two reloads within one turn the last one counts.
    fixture.signal("-STOP");
    fixture.replace_installation(&installation(
        &listeners,
        json!([
            {"when": "path == \"/new\"", "group": "look"}, {"when": "pth == \"/x\"", "group": "look"}
        ]),
    ));
    fixture.replace_installation(&installation(
        &listeners,
        json!([{"when": "path == \"/new\"", "group": "none"}]),
    ));
    fixture.signal("-CONT");
    engine.answer_stats(3);
    assert_eq!(
        send_plain_request(address, protocol, "/new", &[], b"").outcome(),
        CallerOutcome::Unreadable(404, String::new())
    );
    let mut new_rules = rules();
    new_rules
        .as_array_mut()
        .unwrap()
        .push(json!({"when": "path == \"/new\"", "group": "look"}));
    let mut new_installation = installation(&listeners, new_rules);
    new_installation["otherwise"] = json!("look");
    fixture.replace_installation(&new_installation);
    let give_up_at = std::time::Instant::now() + doortrack_fakes::MAX_WAIT;
    let (new_call, new_pending) = loop {
        let pending = send_plain_request(address, protocol, "/anything", &[], b"otherwise");
        if let Some(call) = run_unless_answered(&pending, &mut engine) {
            break (call, pending);
        }
        assert!(
            std::time::Instant::now() < give_up_at,
            "the new rules are never applied"
        );
    };
    engine.finish_run(&new_call, "OK", b"by default");
    assert_eq!(
        new_pending.outcome(),
        CallerOutcome::Completed(b"by default".into())
    );
    // The request in flight is not affected.
    engine.finish_run(&call, "OK", b"kept");
    assert_eq!(pending.outcome(), CallerOutcome::Completed(b"kept".into()));
    fixture.signal("-TERM");
    let (_, log) = fixture.wait_for_exit();
    assert!(
        log.contains("configuration rejected") && log.contains("installation.rules["),
        "{log}"
    );
}

#[test]
fn the_meaning_of_an_idempotency_key_does_not_change_within_its_dedup_window() {
    // The dedup window is short enough to wait for, and long enough that the duplicate arrives within it on a slow
    // machine.
    let (fixture, mut engine, listeners) = start_node_with(rules(), 1_000_000, 3_000_000);
    let (protocol, address) = listeners[0];
    let pending = send_plain_request(address, protocol, "/confirm/4", &ORDER_HEADER, b"berth 4");
    let (call, _) = engine.next_run();
    engine.finish_run(&call, "OK", b"confirmed");
    assert_eq!(
        pending.outcome(),
        CallerOutcome::Completed(b"confirmed".into())
    );
    // With another key expression the same request would count as a new one and run again.
    let mut new_rules = rules();
    new_rules[0]["idempotency_key"] = json!("(header(\"x-order\") ?? \"\") + path");
    fixture.replace_installation(&installation(&listeners, new_rules.clone()));
    engine.answer_stats(3);
    let duplicate = send_plain_request(address, protocol, "/confirm/4", &ORDER_HEADER, b"berth 4");
    assert_eq!(
        duplicate.outcome(),
        CallerOutcome::Completed(b"confirmed".into()),
        "the request was run again"
    );
    // The new rules are applied once the dedup window has passed.
    let give_up_at = std::time::Instant::now() + doortrack_fakes::MAX_WAIT;
    loop {
        std::thread::sleep(std::time::Duration::from_millis(300));
        fixture.replace_installation(&installation(&listeners, new_rules.clone()));
        std::thread::sleep(std::time::Duration::from_millis(20));
        // Without an order the new rules still give an idempotency key, while the old ones refuse the request.
        let pending = send_plain_request(address, protocol, "/confirm/5", &[], b"berth 5");
        if let Some(call) = run_unless_answered(&pending, &mut engine) {
            engine.finish_run(&call, "OK", b"by the new rules");
            assert_eq!(
                pending.outcome(),
                CallerOutcome::Completed(b"by the new rules".into())
            );
            break;
        }
        assert!(
            std::time::Instant::now() < give_up_at,
            "the new rules are never applied"
        );
    }
    fixture.signal("-TERM");
    let (_, log) = fixture.wait_for_exit();
    assert!(
        log.contains("would mean something else while some are within their window"),
        "{log}"
    );
}

#[test]
fn rules_route_requests_to_pools_that_fail_independently() {
    use doortrack_fakes::server::{Behavior, Disconnect, Server};
    let main = Server::start(Protocol::Uwsgi, |_| Behavior::ok("main"));
    let quick = Server::start(Protocol::FastCgi, |_| Behavior::ok("quick"));
    let broken = Server::start(Protocol::Uwsgi, |_| Behavior::Cut {
        body: Vec::new(),
        at: 0,
        how: Disconnect::Close,
    });
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    let address = setup.port(9091);
    let pool_settings = |server: &Server| {
        let addresses = [server.address.to_string()];
        json!({"protocol": server.protocol.name(), "addresses": addresses, "at_once": 8})
    };
    let mut installation_file = installation(
        &[(Protocol::Uwsgi, address)],
        json!([
            {"when": "path.starts_with(\"/quick\")", "group": "look", "servers": "quick"},
            {"when": "path.starts_with(\"/broken\")", "group": "look", "servers": "broken"}
        ]),
    );
    installation_file["otherwise"] = json!("look");
    installation_file["servers"] = pool_settings(&main);
    installation_file["pools"] =
        json!({"quick": pool_settings(&quick), "broken": pool_settings(&broken)});
    setup.config["settings"]["family_info"]["cores"] = json!(64);
    setup.installation = Some(installation_file.clone());
    let fixture = setup.start();
    let send = |path: &str| send_plain_request(address, Protocol::Uwsgi, path, &[], b"").outcome();
    for _ in 0..20 {
        assert_eq!(send("/quick/x"), CallerOutcome::Completed(b"quick".into()));
        assert_eq!(send("/broken/x"), CallerOutcome::Failed);
        assert_eq!(send("/else"), CallerOutcome::Completed(b"main".into()));
    }
    assert_eq!(
        (
            main.received().len(),
            quick.received().len(),
            quick.connections()
        ),
        (20, 20, 1)
    );
    // Adding a pool requires a restart; until then a file whose rules name it is rejected.
    installation_file["pools"]["new"] = pool_settings(&main);
    installation_file["rules"][0]["servers"] = json!("new");
    fixture.replace_installation(&installation_file);
    std::thread::sleep(std::time::Duration::from_millis(50));
    assert_eq!(send("/quick/x"), CallerOutcome::Completed(b"quick".into()));
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

fn run_doortrack(arguments: &[&str]) -> (Option<i32>, String) {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_doortrack"))
        .env_clear()
        .args(arguments)
        .output()
        .unwrap();
    (
        output.status.code(),
        String::from_utf8(output.stdout).unwrap(),
    )
}

fn example_path(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn expressions_and_rules_can_be_tested_on_the_command_line() {
    let folder = std::env::temp_dir().join(format!("doortrack-routes-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let write_file = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_string()
    };
    let (rules, config, cases) = (
        example_path("rules.json"),
        example_path("node.json"),
        example_path("cases.json"),
    );
    let test_cases = |cases: &str| {
        run_doortrack(&[
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
    assert_eq!(
        test_cases(&cases),
        (Some(0), "4 of 4 cases as wanted\n".into())
    );
    let mismatched_cases = write_file(
        "cases.json",
        r#"[{"name": "wrong", "rule": 0, "group": "moor", "request": {"path": "/tides"}},
        {"name": "none", "rule": null, "request": {"path": "/x"}}]"#,
    );
    let (code, output) = test_cases(&mismatched_cases);
    assert_eq!(code, Some(1));
    assert!(
        output.contains("wrong: differs") && output.contains("- rules[0]\n  + rules[1]"),
        "{output}"
    );
    assert!(output.ends_with("1 of 2 cases as wanted\n"), "{output}");
    let (code, output) = test_cases(&write_file(
        "bad.json",
        r#"[{"name": "x", "request": {"pth": "/"}}]"#,
    ));
    assert!(
        code == Some(1) && output.contains("cases[0].request.pth: unknown field"),
        "{output}"
    );
    let request = write_file(
        "request.json",
        r#"{"path": "/tides", "method": "PUT", "headers": {"X-Yard": "North"}}"#,
    );
    let (_, output) = run_doortrack(&[
        "routes",
        "explain",
        "--installation",
        &rules,
        "--request",
        &request,
    ]);
    assert!(
        output.contains("no rule, 404")
            && output.contains("method in [\"GET\", \"POST\"] is false"),
        "{output}"
    );
    let eval = |source: &str| run_doortrack(&["expr", "eval", source, "--request", &request]);
    assert!(
        eval("lower(header(\"x-yard\") ?? \"\")")
            .1
            .starts_with("\"north\"\nstring, ")
    );
    let (code, output) = eval("lower(header(\"x-yard\"))");
    assert!(
        code == Some(1) && output.contains("it ?? other"),
        "{output}"
    );
    let (code, output) = run_doortrack(&["expr", "check", &write_file("key.expr", "path + 1")]);
    assert!(
        code == Some(1) && output.contains("key.expr:1:8"),
        "{output}"
    );
    let (_, output) = run_doortrack(&["expr", "explain", "segment(1) ?? \"\""]);
    assert!(
        output.contains("type   string") && output.contains("cost   at most"),
        "{output}"
    );
    _ = std::fs::remove_dir_all(folder);
}

#[test]
fn each_fault_in_an_installation_file_is_reported_with_its_path() {
    let folder = std::env::temp_dir().join(format!("doortrack-mutated-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("installation.json");
    let valid = json!({
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
        run_doortrack(&[
            "check",
            "--installation",
            file.to_str().unwrap(),
            "--config",
            &example_path("node.json"),
        ])
    };
    assert_eq!(check(&valid).0, Some(0), "{}", check(&valid).1);
    for (path, value, expected) in [
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
        let mut changed = valid.clone();
        *changed.pointer_mut(path).unwrap() = value;
        let (code, output) = check(&changed);
        assert!(
            code == Some(1) && output.lines().any(|line| line.starts_with(expected)),
            "{path}: {expected}\n{output}"
        );
    }
    _ = std::fs::remove_dir_all(folder);
}

#[test]
fn the_former_key_mark_of_a_rule_is_read_as_idempotency_key() {
    let parse_rule_with = |key: &str| {
        let rule = json!({"when": "true", "group": "pay", key: "path"});
        doortrack_config::installation::parse(json!({"rules": [rule]}).to_string().as_bytes())
            .unwrap()
    };
    assert_eq!(parse_rule_with("mark"), parse_rule_with("idempotency_key"));
}
