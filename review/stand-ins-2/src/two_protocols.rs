//! A keyed request comes once over FastCGI and again over uwsgi, with the same idempotency key and body.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Finding;
use crate::fastcgi::{self, Answer, Client};
use crate::key_reload::SETTINGS;
use crate::node::{Node, Setup, free_address};
use crate::record::{Record, unix_ms};
use crate::uwsgi;

const APPLICATIONS: u32 = 6;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Protocol {
    FastCgi,
    Uwsgi,
}

pub fn run(record: &Record, trouble: bool) -> Finding {
    let runs: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let server = {
        let (runs, record) = (Arc::clone(&runs), record.clone());
        fastcgi::serve(move |request| {
            let key = request.variable("HTTP_IDEMPOTENCY_KEY").to_string();
            record.line(&format!("  the server runs {key}"));
            *runs.lock().unwrap().entry(key.clone()).or_default() += 1;
            std::thread::sleep(Duration::from_millis(20));
            format!("result of {key}").into_bytes()
        })
    };
    let front = free_address();
    // The front's requests are classed by rules; the key of the group is the header that callers over FastCGI send too.
    let installation = format!(
        r#"{{"fronts": [{{"protocol": "uwsgi", "listen": "{front}"}}],
 "servers": {{"protocol": "fastcgi", "addresses": ["{server}"], "at_once": 8}},
 "rules": [
  {{"when": "path == \"/svc/apply\"", "group": "apply", "customer": "header(\"x-tenant\") ?? \"\"", "idempotency_key": "header(\"idempotency-key\")"}},
  {{"when": "path == \"/svc/search\"", "group": "search", "customer": "header(\"x-tenant\") ?? \"\""}}]}}"#
    );
    let setup = Setup {
        settings: SETTINGS.into(),
        memory_mb: 192,
        stop_ms: 3000,
        sockets: 1024,
        engine: None,
    };
    let node = Node::start(&setup, &installation)?;
    let mut judged = 0;
    for number in 0..APPLICATIONS {
        let key = format!("5c0f6e1a2b3d4c59a8b7c6d5e4f3{number:04x}");
        let (first, second) = match (trouble, number % 2) {
            (true, 0) => (Protocol::FastCgi, Protocol::Uwsgi),
            (true, _) => (Protocol::Uwsgi, Protocol::FastCgi),
            (false, 0) => (Protocol::FastCgi, Protocol::FastCgi),
            (false, _) => (Protocol::Uwsgi, Protocol::Uwsgi),
        };
        let one = ask(record, &node, front, first, &key, number * 2 + 1)?;
        if one.status != 200 {
            continue;
        }
        std::thread::sleep(Duration::from_millis(300));
        ask(record, &node, front, second, &key, number * 2 + 2)?;
        judged += 1;
    }
    if judged == 0 {
        return Err("nothing was served".into());
    }
    let runs = runs.lock().unwrap();
    let twice = runs.iter().filter(|(_, count)| **count > 1);
    let twice: Vec<&String> = twice.map(|(key, _)| key).collect();
    record.line(&format!(
        "{judged} applications, of which ran twice: {}",
        twice.len()
    ));
    Ok(twice.is_empty())
}

fn ask(
    record: &Record,
    node: &Node,
    front: std::net::SocketAddr,
    protocol: Protocol,
    key: &str,
    number: u32,
) -> Result<Answer, String> {
    let (id, start) = (format!("{:016x}", 0xab00 + number), unix_ms().to_string());
    let variables = [
        ("SCRIPT_NAME", "/svc/apply"),
        ("REQUEST_METHOD", "POST"),
        ("HTTP_X_REQUEST_ID", id.as_str()),
        ("HTTP_X_REQUEST_START", start.as_str()),
        ("HTTP_X_CALLER", "4"),
        ("HTTP_X_TENANT", "youth-jobs"),
        ("HTTP_X_MEMORY_KB", "24.5"),
        ("HTTP_X_RANK", "0.5"),
        ("HTTP_IDEMPOTENCY_KEY", key),
    ];
    record.line(&format!("{key} sent over {protocol:?}"));
    let answer = match protocol {
        Protocol::Uwsgi => uwsgi::ask(front, &variables, b"one application"),
        Protocol::FastCgi => {
            let mut client = Client::connect(node.listen)?;
            client.send(1, &variables, b"one application");
            client.read()
        }
    };
    let answer = answer.ok_or("no answer")?;
    record.line(&format!(
        "{key} answered over {protocol:?}: {}",
        answer.name()
    ));
    Ok(answer)
}
