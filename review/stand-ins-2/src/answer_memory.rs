//! A node stands still for a moment; then the requests of that time run at once, with answers as large as the settings allow.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::Finding;
use crate::fastcgi::{self, Answer, Client};
use crate::node::{Node, SIGCONT, SIGSTOP, Setup};
use crate::record::Record;

const MEMORY_MB: u32 = 32;
const SERVERS: usize = 8;
const AT_ONCE: usize = 8;
const ANSWER_BYTES: usize = 1_000_000;
const CALLERS: usize = 100;
const WORK: Duration = Duration::from_millis(20);
/// Each caller asks again this long after an answer.
const THINK: Duration = Duration::from_millis(1000);
const PLAY: Duration = Duration::from_secs(12);
/// The node stands still for this long, this often.
const STILL: Duration = Duration::from_millis(450);
const EVERY: Duration = Duration::from_secs(3);

const SETTINGS: &str = r#"{"servers": 1, "tick": 4000, "worth_by": "request", "over_share_worth": 0.1,
 "bounds": {"retry_after": true, "max_retry_after": 1000000},
 "lanes": [
  {"name": "overlays", "idempotency": "safe", "worth": 1, "late_worth": 0, "target": 2400000, "deadline": 6100000, "window": 0}],
 "parties": [],
 "safety": {"drain_grace": 2500000, "overload_for": 1500000, "ramp_time": 18000000, "start_capacity": 0.24, "tip_multiple": 5},
 "family_info": {"cores": 44, "memory_kb": 400000, "run_factor": 8, "key_kb": 2, "gauges": ["core_use", "on_cores"], "halt": "drop",
  "say": "min_rank", "said_for": 1000000, "readiness": true, "fresh_start": false, "fresh": 0, "deep_checks": false,
  "passes_deadline": false, "below": "silent", "calls_by_class": [false], "class_skip_worth": [0], "calls_out": 0,
  "dep_window": 5000000, "linger": 0, "keepalive_max": 30000000}}"#;

pub fn run(record: &Record, trouble: bool) -> Finding {
    let addresses: Vec<String> = (0..SERVERS)
        .map(|_| {
            let address = fastcgi::serve(|_| {
                std::thread::sleep(WORK);
                vec![b'x'; ANSWER_BYTES]
            });
            format!("\"{address}\"")
        })
        .collect();
    let installation = format!(
        r#"{{"servers": {{"protocol": "fastcgi", "addresses": [{}], "at_once": {AT_ONCE}, "most_answer_bytes": 1048576}}}}"#,
        addresses.join(", ")
    );
    let setup = Setup {
        settings: SETTINGS.into(),
        memory_mb: MEMORY_MB,
        stop_ms: 3000,
        sockets: 1024,
        engine: None,
    };
    let mut node = Node::start(&setup, &installation)?;
    record.line(&format!("limit of the node's memory: {MEMORY_MB} MB"));
    let (ended, most) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let counts: Arc<[AtomicUsize; 4]> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (ended, counts, listen) = (Arc::clone(&ended), Arc::clone(&counts), node.listen);
            std::thread::spawn(move || call(caller, listen, &ended, &counts))
        })
        .collect();
    let limit = u64::from(MEMORY_MB) * 1024 * 1024;
    let begun = Instant::now();
    let mut still_until: Option<Instant> = None;
    let mut next_still = begun + EVERY;
    let mut killed = false;
    while begun.elapsed() < PLAY && !killed {
        let now = Instant::now();
        if trouble && now >= next_still {
            record.line(&format!(
                "the node stands still for {} ms",
                STILL.as_millis()
            ));
            node.signal(SIGSTOP);
            still_until = Some(now + STILL);
            next_still = now + EVERY;
        }
        if still_until.is_some_and(|until| now >= until) {
            node.signal(SIGCONT);
            still_until = None;
            record.line("the node goes on");
        }
        // The platform kills a node over its limit.
        let resident = node.resident_bytes().unwrap_or_default();
        if resident > most.load(Ordering::Relaxed) {
            most.store(resident, Ordering::Relaxed);
            record.line(&format!("resident memory: {} kB", resident / 1024));
        }
        if resident > limit {
            record.line("over the limit: the platform kills the node");
            killed = true;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    node.signal(SIGCONT);
    ended.store(true, Ordering::Relaxed);
    let crashed = node.has_ended();
    let count = |index: usize| counts[index].load(Ordering::Relaxed);
    record.line(&format!(
        "requests sent {}, served {}, refused {}, failed or without an answer {}",
        count(0),
        count(1),
        count(2),
        count(3)
    ));
    drop(node);
    for caller in callers {
        _ = caller.join();
    }
    if count(1) == 0 {
        return Err("nothing was served".into());
    }
    Ok(!killed && !crashed)
}

fn call(
    caller: usize,
    listen: std::net::SocketAddr,
    ended: &AtomicBool,
    counts: &[AtomicUsize; 4],
) {
    let Ok(mut client) = Client::connect(listen) else {
        return;
    };
    let mut number: u64 = 0;
    std::thread::sleep(THINK * caller as u32 / CALLERS as u32);
    while !ended.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("{:08x}{number:08x}", caller + 1);
        let (start, caller_text) = (crate::record::unix_ms().to_string(), caller.to_string());
        let variables = [
            ("SCRIPT_NAME", "/svc/overlays"),
            ("REQUEST_METHOD", "POST"),
            ("HTTP_X_REQUEST_ID", id.as_str()),
            ("HTTP_X_REQUEST_START", start.as_str()),
            ("HTTP_X_CALLER", caller_text.as_str()),
            ("HTTP_X_MEMORY_KB", "24.5"),
            ("HTTP_X_RANK", "0.5"),
        ];
        counts[0].fetch_add(1, Ordering::Relaxed);
        if !client.send(1, &variables, b"query") {
            return;
        }
        let index = match client.read() {
            Some(answer) if answer.status == 200 => 1,
            Some(answer) if Answer::is_refused(&answer) => 2,
            _ => 3,
        };
        counts[index].fetch_add(1, Ordering::Relaxed);
        std::thread::sleep(THINK);
    }
}
