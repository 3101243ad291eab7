//! A group whose requests must never run twice, runs that can't be stopped, and an engine's link that breaks from
//! time to time: is any request begun twice?

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use review_standins::engine::{Behavior, Engine};
use review_standins::fastcgi;
use review_standins::node::{Folder, Node, SIGTERM};
use review_standins::record::Record;
use review_standins::{BROKEN, NOT_RUN, Rng, free_tcp, has_trouble, registry, sleep_ms};

const SEED: u64 = 1;
const SECONDS: u64 = 60;
const CALLERS: u64 = 6;
/// The pause between the two pieces of a notice.
const PIECE_MS: u64 = 10;

fn config(listen: &str, engine: &str, registry: &str) -> String {
    format!(
        r#"{{"name":"lock-1","listen":"{listen}","engine":"{engine}","registry":"{registry}",
"seed":"00000000000000c4","stop_ms":3000,"limits":{{"cores":1.0,"memory_mb":192,"sockets":512}},
"settings":{{"servers":1,"tick":2000,"worth_by":"request","over_share_worth":0.05,
"bounds":{{"retry_after":true,"max_retry_after":1000000}},
"lanes":[{{"name":"open-gate","idempotency":"unsafe","worth":3,"late_worth":0,"target":600000,"deadline":1000000,"window":0}}],
"parties":[],
"safety":{{"drain_grace":800000,"overload_for":1500000,"ramp_time":10000000,"start_capacity":0.3,"tip_multiple":4}},
"family_info":{{"cores":4,"memory_kb":20000,"run_factor":8,"key_kb":1,"gauges":["core_use","on_cores"],
"halt":"silent","say":"silent","said_for":1000000,"readiness":false,"fresh_start":false,"fresh":0,
"deep_checks":false,"passes_deadline":false,"below":"silent","calls_by_class":[false],"class_skip_worth":[0],
"calls_out":0,"dep_window":5000000,"linger":0,"keepalive_max":30000000}}}}}}"#
    )
}

fn main() {
    let record = Record::create();
    let trouble = has_trouble();
    let behavior = Behavior {
        run_ms: (20, 80),
        cores: 4.0,
        piece_ms: if trouble { PIECE_MS } else { 0 },
    };
    let engine = Engine::new(behavior, SEED, record.clone());
    let folder = Folder::create("link-breaks");
    let listen = free_tcp();
    let text = config(
        &listen.to_string(),
        &engine.listen().to_string(),
        &registry().to_string(),
    );
    let file = folder.write("node.json", &text);
    let mut node = Node::start(&file, None, &folder.0.join("node.log"), listen);
    if !node.wait_ready() {
        record.say("the node did not start");
        record.flush();
        drop(node);
        drop(folder);
        std::process::exit(NOT_RUN);
    }
    sleep_ms(300);
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<[AtomicU64; 4]> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (engine, record, stop) = (engine.clone(), record.clone(), Arc::clone(&stop));
            let answers = Arc::clone(&answers);
            std::thread::spawn(move || {
                let mut rng = Rng::new(100 + caller);
                let mut stream = None;
                let mut count = 0;
                while !stop.load(Ordering::Relaxed) {
                    sleep_ms(rng.between(60, 180));
                    count += 1;
                    let id = format!("{:08x}{count:08x}", caller + 1);
                    engine.requests.lock().unwrap().sent.insert(id.clone());
                    record.line(format!("caller {caller}: sends {id}"));
                    let variables = fastcgi::variables(&id, "open-gate", "", None);
                    if stream.is_none() {
                        stream = fastcgi::connect(listen).ok();
                        if let Some(stream) = &stream {
                            _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
                        }
                    }
                    let Some(open) = &mut stream else { continue };
                    let answer = fastcgi::ask(open, &variables, id.as_bytes());
                    engine.requests.lock().unwrap().over.insert(id.clone());
                    let word = answer.as_ref().map_or("unanswered", |answer| answer.word());
                    record.line(format!("caller {caller}: {id} {word}"));
                    let place = ["served", "refused", "failed", "unanswered"]
                        .iter()
                        .position(|name| *name == word);
                    answers[place.unwrap_or(3)].fetch_add(1, Ordering::Relaxed);
                    if answer.is_err() {
                        stream = None;
                    }
                }
            })
        })
        .collect();
    let mut rng = Rng::new(SEED);
    let (until, mut breaks) = (Instant::now() + Duration::from_secs(SECONDS), 0);
    while Instant::now() < until {
        sleep_ms(rng.between(400, 900));
        if trouble {
            engine.break_link();
            breaks += 1;
        }
    }
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| _ = caller.join());
    sleep_ms(500);
    let alive = node.is_alive();
    node.signal(SIGTERM);
    node.wait_end(Duration::from_secs(5));
    let begun = engine.begun();
    let mut twice: Vec<_> = begun.iter().filter(|(_, count)| **count > 1).collect();
    twice.sort();
    let [served, refused, failed, unanswered] =
        [0, 1, 2, 3].map(|place: usize| answers[place].load(Ordering::Relaxed));
    record.say(format!(
        "{breaks} breaks of the link; answers: {served} served, {refused} refused, {failed} failed, {unanswered} none; \
         {} requests begun, {} of them more than once",
        begun.len(),
        twice.len()
    ));
    for (id, count) in &twice {
        record.say(format!("begun {count} times: {id}"));
    }
    record.flush();
    let code = match (alive && served > 100, twice.is_empty()) {
        (false, true) => NOT_RUN,
        (_, true) => 0,
        (_, false) => BROKEN,
    };
    drop(node);
    drop(folder);
    std::process::exit(code);
}
