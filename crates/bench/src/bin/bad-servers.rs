//! `bad-servers`: what one bad server of four costs, and how often an outage is retried, with putting aside
//! and without. Played on loopback sockets, with an open loop of callers.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use clap::Parser;
use doortrack_fakes::bed::{Bed, Plan};
use doortrack_fakes::caller::{Ask, Seen};
use doortrack_fakes::server::{Act, CutBy, Server};
use doortrack_protocols::Protocol;
use serde_json::json;

#[derive(Parser)]
#[command(version)]
struct Words {
    /// The program
    #[arg(long, default_value = "target/release/doortrack")]
    node: PathBuf,
    /// Requests a second
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    /// Seconds of each play; the first quarter is sound, then one server, or all, are bad until the last
    /// quarter
    #[arg(long, default_value_t = 8.0)]
    seconds: f64,
    /// Milliseconds that a sound server takes
    #[arg(long, default_value_t = 20)]
    work_ms: u64,
    /// Milliseconds within which an answer counts as in time
    #[arg(long, default_value_t = 150)]
    in_time_ms: u64,
}

#[derive(Clone, Copy, PartialEq)]
#[repr(u8)]
enum Mood {
    Sound,
    Hangs,
    Fails,
    Breaks,
    Slow,
}

const MOODS: [(Mood, &str); 4] = [
    (Mood::Hangs, "hangs"),
    (Mood::Fails, "fails fast"),
    (Mood::Breaks, "breaks off"),
    (Mood::Slow, "slow tenfold"),
];

impl Mood {
    fn of(byte: u8) -> Mood {
        [
            Mood::Sound,
            Mood::Hangs,
            Mood::Fails,
            Mood::Breaks,
            Mood::Slow,
        ][usize::from(byte)]
    }
}

fn server(protocol: Protocol, work: Duration, mood: Arc<AtomicU8>) -> Server {
    Server::start(protocol, move |_| {
        match Mood::of(mood.load(Ordering::Relaxed)) {
            Mood::Sound => Act::Answer {
                status: "200 OK",
                body: b"done".into(),
                after: work,
            },
            Mood::Slow => Act::Answer {
                status: "200 OK",
                body: b"done".into(),
                after: work * 10,
            },
            Mood::Hangs => Act::Hang,
            Mood::Fails => Act::Answer {
                status: "503 No",
                body: Vec::new(),
                after: Duration::ZERO,
            },
            Mood::Breaks => Act::Cut {
                body: b"done".into(),
                at: 0,
                how: CutBy::Close,
            },
        }
    })
}

/// One request: its part of the play, from 0 to 1, and whether it was completed in time.
type Told = (f64, bool);

fn play(
    words: &Words,
    protocol: Protocol,
    bad: usize,
    mood: Mood,
    aside: bool,
) -> (Vec<Told>, String) {
    let moods: Vec<Arc<AtomicU8>> = (0..4).map(|_| Arc::new(AtomicU8::new(0))).collect();
    let work = Duration::from_millis(words.work_ms);
    let servers: Vec<Server> = moods
        .iter()
        .map(|mood| server(protocol, work, mood.clone()))
        .collect();
    let mut plan = Plan::new(&words.node);
    let at = plan.port(9091);
    plan.config["settings"]["family_info"]["cores"] = json!(64);
    // Entries of deduplicated requests are not to run out.
    plan.config["settings"]["family_info"]["memory_kb"] = json!(10_000_000);
    plan.config["stop_ms"] = json!(1500);
    let addresses: Vec<String> = servers.iter().map(|server| server.at.to_string()).collect();
    let failures = if aside { 3 } else { 1000 };
    plan.installation = Some(json!({
        "fronts": [{"protocol": "uwsgi", "listen": at.to_string()}],
        "servers": {"protocol": protocol.name(), "addresses": addresses, "at_once": 8,
            "answer_within_ms": 500,
            "aside": {"failures": failures, "longest_ms": 4000}}
    }));
    let bed = plan.start();
    drop(doortrack_fakes::bed::connect(at));
    thread::sleep(Duration::from_millis(100));
    let told = ask(words, at, |part| {
        let now = if (0.25..0.75).contains(&part) {
            mood
        } else {
            Mood::Sound
        };
        moods[..bad]
            .iter()
            .for_each(|of| of.store(now as u8, Ordering::Relaxed));
    });
    (told, log_line(bed))
}

fn ask(words: &Words, at: SocketAddr, at_part: impl Fn(f64)) -> Vec<Told> {
    let (start, told) = (Instant::now(), Arc::new(Mutex::new(Vec::new())));
    let count = (words.rate * words.seconds) as u64;
    let threads: Vec<_> = (0..count)
        .map(|nth| {
            let due = Duration::from_secs_f64(nth as f64 / words.rate);
            thread::sleep(due.saturating_sub(start.elapsed()));
            let part = nth as f64 / count as f64;
            at_part(part);
            let (told, within) = (told.clone(), Duration::from_millis(words.in_time_ms));
            thread::spawn(move || {
                // Half of them may run twice, half may not.
                let key = format!("{nth:032x}");
                let ask = Ask::new(
                    nth,
                    if nth % 2 == 0 {
                        "/svc/look"
                    } else {
                        "/svc/pay"
                    },
                    b"",
                );
                let ask = if nth % 2 == 0 {
                    ask
                } else {
                    ask.with("HTTP_IDEMPOTENCY_KEY", &key)
                };
                let good = matches!(ask.send(at, Protocol::Uwsgi).seen(), Seen::Completed(_));
                // From when it was due: a caller that came late counts what it waited.
                let in_time = good && start.elapsed() <= due + within;
                told.lock().unwrap().push((part, in_time));
            })
        })
        .collect();
    threads
        .into_iter()
        .for_each(|thread| thread.join().unwrap());
    told.lock().unwrap().clone()
}

/// What the node says of its servers at its end.
fn log_line(bed: Bed) -> String {
    bed.signal("-TERM");
    let (_, log) = bed.end();
    let line = log
        .lines()
        .rfind(|line| line.contains("servers summary"))
        .unwrap_or_default()
        .to_string();
    let find = |key: &str| {
        let rest = line.split(&format!(" {key}=")).nth(1).unwrap_or_default();
        rest.split(' ').next().unwrap_or_default().to_string()
    };
    format!(
        "retries {} of {} begun, put aside {}",
        find("retries"),
        find("begun"),
        find("ejected")
    )
}

/// Percent in time while it is bad, from half a second after it began, and after its end.
fn shares(words: &Words, told: &[Told]) -> (f64, f64, f64) {
    let share = |from: f64, till: f64| {
        let part: Vec<&Told> = told
            .iter()
            .filter(|(part, _)| (from..till).contains(part))
            .collect();
        100.0 * part.iter().filter(|(_, in_time)| *in_time).count() as f64
            / part.len().max(1) as f64
    };
    let found = 0.25 + 0.5 / words.seconds;
    (
        share(0.25, 0.75),
        share(found, 0.75),
        share(0.75 + 0.5 / words.seconds, 1.0),
    )
}

fn main() {
    let words = Words::parse();
    println!("in time, percent: while bad, from 0.5 s after it began, from 0.5 s after it ended");
    for protocol in Protocol::ALL {
        for bad in [1, 4] {
            for (mood, name) in MOODS {
                for aside in [true, false] {
                    let (told, log) = play(&words, protocol, bad, mood, aside);
                    let (all, found, after) = shares(&words, &told);
                    let shares = format!("{all:>5.1} {found:>5.1} {after:>5.1}");
                    let kind = if aside { "put aside" } else { "all kept" };
                    println!("{protocol:<7} {bad} of 4 {name:<12} {kind:<9} {shares} {log}");
                }
            }
        }
    }
}
