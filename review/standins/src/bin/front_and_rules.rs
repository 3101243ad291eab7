//! Deduplicated requests over a front without rules, then new configurations in a row: the front is withdrawn, and it
//! comes back with rules that put the same requests into another group. Does a repeat within the window run again?

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins::node::{Folder, Node, SIGHUP, SIGTERM};
use review_standins::record::Record;
use review_standins::{BROKEN, NOT_RUN, free_tcp, has_trouble, registry, server, sleep_ms, uwsgi};

const REQUESTS: u64 = 20;

fn config(listen: SocketAddr, registry: SocketAddr) -> String {
    let lane = |name: &str, kind: &str, window: u64| {
        format!(
            r#"{{"name":"{name}","idempotency":"{kind}","worth":5,"late_worth":0,"target":1500000,"deadline":4000000,"window":{window}}}"#
        )
    };
    let lanes = [
        lane("tides", "safe", 5_000_000),
        lane("moor", "keyed", 30_000_000),
        lane("cast-off", "keyed", 30_000_000),
    ]
    .join(",");
    format!(
        r#"{{"name":"boathouse-1","listen":"{listen}","engine":"127.0.0.1:1","registry":"{registry}",
"seed":"00000000000000c4","stop_ms":1000,"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"settings":{{"servers":1,"tick":4000,"worth_by":"request","over_share_worth":0.1,
"bounds":{{"retry_after":true,"max_retry_after":1000000}},"lanes":[{lanes}],
"parties":[{{"name":"east-quay","allowance_per_s":100}}],
"safety":{{"drain_grace":500000,"overload_for":3000000,"ramp_time":10000000,"start_capacity":0.3,"tip_multiple":6}},
"family_info":{{"cores":8,"memory_kb":200000,"run_factor":8,"key_kb":1,"gauges":[],
"halt":"drop","say":"silent","said_for":1000000,"readiness":true,"fresh_start":false,"fresh":0,
"deep_checks":false,"passes_deadline":false,"below":"silent","calls_by_class":[false,false,false],
"class_skip_worth":[0,0,0],"calls_out":0,"dep_window":5000000,"linger":0,"keepalive_max":30000000}}}}}}"#
    )
}

fn installation(server: SocketAddr, front: Option<SocketAddr>, rules: bool) -> String {
    let mut text =
        format!(r#"{{"servers":{{"protocol":"uwsgi","addresses":["{server}"],"at_once":8}}"#);
    if let Some(front) = front {
        text += &format!(r#","fronts":[{{"protocol":"uwsgi","listen":"{front}"}}]"#);
    }
    if rules {
        // Both kinds of confirmation are to be one endpoint group.
        text += r#","rules":[
{"when":"path.starts_with(\"/svc/moor\") || path.starts_with(\"/svc/cast-off\")","group":"cast-off"},
{"when":"path.starts_with(\"/svc/tides\")","group":"tides"}]"#;
    }
    text + "}"
}

/// Waits until connections to the address are accepted, or are not.
fn wait_front(front: SocketAddr, accepts: bool) -> bool {
    let until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < until {
        if TcpStream::connect(front).is_ok() == accepts {
            return true;
        }
        sleep_ms(20);
    }
    false
}

fn main() {
    let record = Record::create();
    let trouble = has_trouble();
    let runs: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let address = server::serve({
        let (runs, record) = (Arc::clone(&runs), record.clone());
        move |request| {
            let key = request.variable("HTTP_IDEMPOTENCY_KEY").to_string();
            let mut runs = runs.lock().unwrap();
            let count = runs.entry(key.clone()).or_default();
            *count += 1;
            record.line(format!("server: runs key {key}, time {count}"));
            format!("berth {key}, run {count}").into_bytes()
        }
    });
    let folder = Folder::create("front-and-rules");
    let (listen, front) = (free_tcp(), free_tcp());
    let config = folder.write("node.json", &config(listen, registry()));
    let name = "installation.json";
    let file = folder.write(name, &installation(address, Some(front), false));
    let mut node = Node::start(&config, Some(&file), &folder.0.join("node.log"), listen);
    let mut ready = node.wait_ready() && wait_front(front, true);
    // No SIGHUP comes within the first second of service.
    sleep_ms(1500);
    let ask_all = |attempt: u64| {
        let mut words = BTreeMap::new();
        for number in 0..REQUESTS {
            let (id, key) = (
                format!("{attempt:08x}{number:08x}"),
                format!("{number:032x}"),
            );
            let mut variables =
                review_standins::fastcgi::variables(&id, "moor", "east-quay", Some(&key));
            if attempt > 1 {
                variables.push(("HTTP_X_RETRY".to_string(), "1".to_string()));
            }
            record.line(format!("caller: sends {id} with key {key} to /svc/moor"));
            let (status, body) = uwsgi::ask(front, &variables, b"berth 4").unwrap_or_default();
            let body = String::from_utf8_lossy(&body).into_owned();
            record.line(format!("caller: {id} is answered {status} {body}"));
            *words.entry(status).or_insert(0u64) += 1;
        }
        words
    };
    let first = ask_all(1);
    ready &= first.get(&200) == Some(&REQUESTS);
    if trouble {
        record.say("the front is withdrawn");
        folder.write(name, &installation(address, None, false));
        node.signal(SIGHUP);
        ready &= wait_front(front, false);
        sleep_ms(1000);
    }
    record.say("the front and rules for it");
    folder.write(name, &installation(address, Some(front), true));
    node.signal(SIGHUP);
    sleep_ms(1500);
    ready &= wait_front(front, true);
    let again = ask_all(2);
    ready &= node.is_alive();
    node.signal(SIGTERM);
    node.wait_end(Duration::from_secs(3));
    let log = std::fs::read_to_string(folder.0.join("node.log")).unwrap_or_default();
    for line in log.lines().filter(|line| line.contains("configuration")) {
        record.line(format!("log of the node: {line}"));
    }
    let runs = runs.lock().unwrap();
    let twice = runs.values().filter(|count| **count > 1).count();
    record.say(format!(
        "{REQUESTS} requests, answered {first:?}, and again within {} s of a window of 30 s, answered {again:?}; \
         run more than once: {twice}",
        record.ms() / 1000
    ));
    record.flush();
    drop(node);
    drop(folder);
    std::process::exit(match (ready, twice) {
        (false, 0) => NOT_RUN,
        (_, 0) => 0,
        (_, _) => BROKEN,
    });
}
