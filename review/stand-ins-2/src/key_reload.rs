//! A configuration that changes what keys mean comes into force while a keyed request is being read.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Finding;
use crate::fastcgi::{self, Answer, Client};
use crate::node::{Node, SIGHUP, Setup, free_address};
use crate::record::Record;

/// New configurations that are tried, each on a node of its own.
const ROUNDS: u32 = 36;
const MAX_TIME: Duration = Duration::from_secs(95);
const CONNECTIONS: u16 = 6;
/// Lookups that come at once on each connection; a dispatcher may have 32 open.
const LOOKUPS: u16 = 15;
const WORK: Duration = Duration::from_millis(20);

/// Groups as at amman-boards: `search` may run again, `apply` is keyed, with its window and its times.
pub const SETTINGS: &str = r#"{"servers": 1, "tick": 4000, "worth_by": "request", "over_share_worth": 0.1,
 "bounds": {"retry_after": true, "max_retry_after": 1000000},
 "lanes": [
  {"name": "search", "idempotency": "safe", "worth": 1, "late_worth": 0, "target": 3000000, "deadline": 7400000, "window": 0},
  {"name": "apply", "idempotency": "keyed", "worth": 3, "late_worth": 0, "target": 1800000, "deadline": 5900000, "window": 17715000}],
 "parties": [{"name": "youth-jobs", "allowance_per_s": 1000}],
 "safety": {"drain_grace": 2000000, "overload_for": 1500000, "ramp_time": 15000000, "start_capacity": 0.24, "tip_multiple": 6},
 "family_info": {"cores": 96, "memory_kb": 400000, "run_factor": 4, "key_kb": 2, "gauges": ["core_use", "on_cores"], "halt": "drop",
  "say": "min_rank", "said_for": 1000000, "readiness": true, "fresh_start": false, "fresh": 0, "deep_checks": false,
  "passes_deadline": false, "below": "silent", "calls_by_class": [false, false], "class_skip_worth": [0, 0], "calls_out": 0,
  "dep_window": 5000000, "linger": 0, "keepalive_max": 30000000}}"#;

/// The installation; `key` is the expression for the key of an application.
fn installation(front: &str, servers: &[String], key: &str) -> String {
    format!(
        r#"{{"fronts": [{{"protocol": "fastcgi", "listen": "{front}"}}],
 "servers": {{"protocol": "fastcgi", "addresses": [{}], "at_once": 48}},
 "rules": [
  {{"when": "path.starts_with(\"/apply\")", "group": "apply", "customer": "\"youth-jobs\"", "idempotency_key": "{key}"}},
  {{"when": "path.starts_with(\"/search\")", "group": "search", "customer": "\"youth-jobs\""}}]}}"#,
        servers.join(", ")
    )
}

const KEY_BEFORE: &str = r#"header(\"x-application\")"#;
const KEY_AFTER: &str =
    r#"(header(\"x-board\") ?? \"\") + \"/\" + (header(\"x-application\") ?? \"\")"#;

type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

pub fn run(record: &Record, trouble: bool) -> Finding {
    let runs: Runs = Arc::default();
    let servers: Vec<String> = (0..4)
        .map(|server| {
            let (runs, record) = (Arc::clone(&runs), record.clone());
            let address = fastcgi::serve(move |request| {
                let application = request.variable("HTTP_X_APPLICATION");
                if !application.is_empty() {
                    *runs.lock().unwrap().entry(application.into()).or_default() += 1;
                    record.line(&format!("  server {server} runs {application}"));
                }
                std::thread::sleep(WORK);
                format!("result of {application}").into_bytes()
            });
            format!("\"{address}\"")
        })
        .collect();
    let begun = Instant::now();
    let mut judged = 0;
    for round in 0..ROUNDS {
        if begun.elapsed() > MAX_TIME {
            break;
        }
        let application = format!("application-{round}");
        record.line(&format!("round {round}"));
        if !play(record, trouble, round, &application, &servers)? {
            continue;
        }
        judged += 1;
        let count = runs.lock().unwrap().get(&application).copied();
        if count.unwrap_or_default() > 1 {
            record.line(&format!(
                "{application} ran {} times",
                count.unwrap_or_default()
            ));
            return Ok(false);
        }
    }
    if judged == 0 {
        return Err("no application was served".into());
    }
    record.line(&format!("{judged} applications, none ran twice"));
    Ok(true)
}

/// One round. Returns whether the first try was served, so that the second says something.
fn play(
    record: &Record,
    trouble: bool,
    round: u32,
    application: &str,
    servers: &[String],
) -> Result<bool, String> {
    let front = free_address();
    let setup = Setup {
        settings: SETTINGS.into(),
        memory_mb: 192,
        stop_ms: 3000,
        sockets: 1024,
        engine: None,
    };
    let before = installation(&front.to_string(), servers, KEY_BEFORE);
    let node = Node::start(&setup, &before)?;
    // The platform's page: SIGHUP never comes within the first second of service.
    std::thread::sleep(Duration::from_millis(1100));
    let mut lookups: Vec<Client> = Vec::new();
    for _ in 0..CONNECTIONS {
        lookups.push(Client::connect(front)?);
    }
    let mut applicant = Client::connect(front)?;
    let burst: Vec<u8> = (1..=LOOKUPS)
        .flat_map(|id| {
            fastcgi::request(
                id,
                &[("REQUEST_METHOD", "GET"), ("REQUEST_URI", "/search")],
                b"",
            )
        })
        .collect();
    if trouble {
        node.replace_installation(&installation(&front.to_string(), servers, KEY_AFTER));
    }
    std::thread::sleep(Duration::from_millis(20));
    for client in &mut lookups {
        use std::io::Write;
        _ = client.sock.write_all(&burst);
    }
    if trouble {
        node.signal(SIGHUP);
        record.line("SIGHUP, with a new configuration");
    }
    // A little later in each round, so that the rounds together cover the time in which the configuration is built.
    pause(Duration::from_micros(u64::from(round % 12) * 250));
    let first = apply(record, &mut applicant, 1, application);
    let Some(first) = first.filter(|answer| answer.status == 200) else {
        return Ok(false);
    };
    if trouble {
        let outcome = outcome_of_reload(&node);
        record.line(&format!("node: {outcome}"));
    }
    for client in &mut lookups {
        for _ in 0..LOOKUPS {
            client.read();
        }
    }
    std::thread::sleep(Duration::from_millis(200));
    let second = apply(record, &mut applicant, 2, application);
    let same = second
        .as_ref()
        .is_some_and(|second| second.body == first.body);
    record.line(&format!(
        "the second try got the first one's result: {same}"
    ));
    Ok(true)
}

fn pause(time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        std::hint::spin_loop();
    }
}

/// Sends one try of an application, the same each time but for the mark, and reads its answer.
fn apply(record: &Record, client: &mut Client, number: u16, application: &str) -> Option<Answer> {
    let mut variables = vec![
        ("REQUEST_METHOD", "POST"),
        ("REQUEST_URI", "/apply"),
        ("HTTP_X_APPLICATION", application),
        ("HTTP_X_BOARD", "youth-jobs"),
    ];
    if number > 1 {
        variables.push(("HTTP_X_RETRY", "1"));
    }
    record.line(&format!("{application}: try {number} sent"));
    client.send(number, &variables, application.as_bytes());
    let answer = client.read();
    let name = answer.as_ref().map_or("no answer".into(), Answer::name);
    record.line(&format!("{application}: try {number} answered: {name}"));
    answer
}

/// What the node says of the new configuration, within 3 s.
fn outcome_of_reload(node: &Node) -> String {
    let deadline = Instant::now() + Duration::from_secs(3);
    while Instant::now() < deadline {
        let log = node.log();
        for line in log.lines() {
            if line.contains("configuration in force") || line.contains("configuration rejected") {
                return line.chars().take(300).collect();
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    "no word of the new configuration".into()
}
