//! Confirmations that have run, and their repeats while other clients hold hundreds of half requests at the node: is a
//! repeat turned away, so that its dispatcher goes on to the next node, where the confirmation runs again?

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use review_standins::node::{Folder, Node, SIGTERM};
use review_standins::record::Record;
use review_standins::{
    BROKEN, NOT_RUN, fastcgi, free_tcp, has_trouble, registry, server, sleep_ms,
};

const REQUESTS: u64 = 20;
/// Bad clients, each with as many half requests as one connection may carry.
const BAD_CLIENTS: usize = 24;
const HALVES: u16 = 32;

fn config(name: &str, listen: SocketAddr, registry: SocketAddr) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","engine":"127.0.0.1:1","registry":"{registry}",
"seed":"00000000000000c4","stop_ms":1000,"limits":{{"cores":1.0,"memory_mb":32,"sockets":384}},
"settings":{{"servers":2,"tick":4000,"worth_by":"request","over_share_worth":0.05,
"bounds":{{"retry_after":true,"max_retry_after":1000000}},
"lanes":[{{"name":"confirm-hire","idempotency":"keyed","worth":10,"late_worth":0,"target":1800000,"deadline":4500000,"window":13518000}}],
"parties":[{{"name":"amarras-lujan","allowance_per_s":100}}],
"safety":{{"drain_grace":500000,"overload_for":3000000,"ramp_time":10000000,"start_capacity":0.3,"tip_multiple":8}},
"family_info":{{"cores":6,"memory_kb":47610,"run_factor":8,"key_kb":150,"gauges":[],
"halt":"drop","say":"silent","said_for":1000000,"readiness":true,"fresh_start":false,"fresh":0,
"deep_checks":false,"passes_deadline":false,"below":"silent","calls_by_class":[false],"class_skip_worth":[0],
"calls_out":0,"dep_window":5000000,"linger":0,"keepalive_max":30000000}}}}}}"#
    )
}

/// A client that begins as many requests as a connection may carry, never ends them, reads what it is sent, and does
/// the same again as soon as it is turned away.
fn hold_halves(node: SocketAddr, stop: &AtomicBool) {
    let mut begun = Vec::new();
    for id in 1..=HALVES {
        let variables = fastcgi::variables("00000000000000ff", "confirm-hire", "", None);
        let whole = fastcgi::request(id, &variables, b"");
        // Without the last record, the empty STDIN, a request has no end.
        begun.extend(&whole[..whole.len() - 8]);
    }
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = fastcgi::connect(node) else {
            sleep_ms(20);
            continue;
        };
        _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
        if stream.write_all(&begun).is_err() {
            continue;
        }
        let mut buffer = [0; 4096];
        while !stop.load(Ordering::Relaxed) {
            match stream.read(&mut buffer) {
                Ok(0) => break,
                Err(e) if !matches!(e.kind(), std::io::ErrorKind::WouldBlock) => break,
                _ => {}
            }
        }
        _ = stream.shutdown(Shutdown::Both);
    }
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
            format!("hire {key}, run {count}").into_bytes()
        }
    });
    let (folder, registry) = (Folder::create("half-requests"), registry());
    let text =
        format!(r#"{{"servers":{{"protocol":"uwsgi","addresses":["{address}"],"at_once":6}}}}"#);
    let installation = folder.write("installation.json", &text);
    let mut nodes: Vec<Node> = ["n1", "n2"]
        .iter()
        .map(|name| {
            let listen = free_tcp();
            let file = folder.write(&format!("{name}.json"), &config(name, listen, registry));
            let log = folder.0.join(format!("{name}.log"));
            Node::start(&file, Some(&installation), &log, listen)
        })
        .collect();
    let mut ready = nodes.iter().all(Node::wait_ready);
    sleep_ms(500);
    let listens: Vec<SocketAddr> = nodes.iter().map(|node| node.listen).collect();
    // Sends a try of a confirmation on a connection of its own; returns the word for the answer.
    let ask = |node: usize, attempt: u64, number: u64| -> &'static str {
        let (id, key) = (
            format!("{attempt:08x}{number:08x}"),
            format!("{number:032x}"),
        );
        let mut variables = fastcgi::variables(&id, "confirm-hire", "amarras-lujan", Some(&key));
        if attempt > 1 {
            variables.push(("HTTP_X_RETRY".to_string(), "1".to_string()));
        }
        record.line(format!(
            "dispatcher: sends {id} with key {key} to n{}",
            node + 1
        ));
        let answer = fastcgi::connect(listens[node]).and_then(|mut stream| {
            stream.set_read_timeout(Some(Duration::from_secs(6)))?;
            fastcgi::ask(&mut stream, &variables, b"boat 4, two days")
        });
        let word = answer.as_ref().map_or("unanswered", |answer| answer.word());
        record.line(format!("dispatcher: {id} is answered: {word}"));
        word
    };
    let first = (0..REQUESTS)
        .filter(|number| ask(0, 1, *number) == "served")
        .count();
    ready &= first as u64 == REQUESTS;
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    if trouble {
        record.say(format!(
            "{BAD_CLIENTS} clients begin {HALVES} requests each at n1"
        ));
        for _ in 0..BAD_CLIENTS {
            let (node, stop) = (listens[0], Arc::clone(&stop));
            clients.push(std::thread::spawn(move || hold_halves(node, &stop)));
            sleep_ms(10);
        }
    }
    sleep_ms(300);
    let mut words: BTreeMap<&str, u32> = BTreeMap::new();
    for number in 0..REQUESTS {
        let word = ask(0, 2, number);
        *words.entry(word).or_default() += 1;
        if word == "refused" {
            // This try never ran, says the answer: the dispatcher goes on through its list.
            ask(1, 3, number);
        }
        sleep_ms(200);
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| _ = client.join());
    let after = ask(0, 4, 0);
    for node in &mut nodes {
        ready &= node.is_alive();
        node.signal(SIGTERM);
        node.wait_end(Duration::from_secs(3));
    }
    let runs = runs.lock().unwrap();
    let twice = runs.values().filter(|count| **count > 1).count();
    let refused = words.get("refused").copied().unwrap_or(0);
    record.say(format!(
        "{first} confirmations run at n1; repeats at n1 within {} s of a window of 13.5 s: {words:?}; run again at n2 after \
         a refusal: {twice}; a repeat after the bad clients: {after}",
        record.ms() / 1000
    ));
    record.flush();
    drop(nodes);
    drop(folder);
    std::process::exit(match (ready, refused) {
        (false, _) => NOT_RUN,
        (true, 0) => 0,
        (true, _) => BROKEN,
    });
}
