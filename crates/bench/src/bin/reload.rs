//! What a change of configuration costs while callers ask: how long requests take with one changed rule a
//! second and without any change, what they were answered, and the node's memory after many changes.
//!
//! Requests are sent at fixed times whatever became of those before, and each is timed from when it was to be
//! sent, so that a node that stands still is seen by all that pile up meanwhile.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use clap::Parser;
use doortrack_fakes::bed::{Bed, Plan, connect};
use doortrack_fakes::caller::{Pending, Seen};
use doortrack_fakes::server::{Act, Server};
use doortrack_protocols::{Protocol, Variable, write_request};
use hdrhistogram::Histogram;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

const UWSGI: Protocol = Protocol::Uwsgi;
const CALLERS: u32 = 4;
/// Pools that the probing rule goes to in turn.
const POOLS: usize = 2;

#[derive(Parser)]
struct Words {
    /// The program to be measured
    #[arg(long)]
    doortrack: PathBuf,
    #[arg(long, default_value_t = 3_400)]
    rules: usize,
    #[arg(long = "customers", default_value_t = 20_000)]
    tenants: usize,
    /// Requests a second
    #[arg(long, default_value_t = 400)]
    rate: u32,
    /// Seconds with changes, and as many without
    #[arg(long, default_value_t = 20)]
    seconds: u32,
    /// Deadline of every request
    #[arg(long, default_value_t = 30_000)]
    deadline_ms: u64,
    /// Changes one right after the other; memory is read after 10 and after all
    #[arg(long, default_value_t = 500)]
    changes: usize,
}

struct Site {
    bed: Bed,
    front: SocketAddr,
    /// Application servers, each of which answers with the name of its pool.
    _servers: Vec<Server>,
    /// The installation's file in all its versions.
    versions: Vec<String>,
    version: usize,
}

/// What requests came to.
struct Outcomes {
    micros: Histogram<u64>,
    answers: BTreeMap<String, u64>,
}

impl Site {
    fn start(words: &Words) -> Site {
        let mut plan = Plan::new(&words.doortrack);
        let front = plan.port(9091);
        let start = |place: usize| Server::start(UWSGI, move |_| Act::ok(format!("p{place}")));
        let servers: Vec<Server> = (0..POOLS).map(start).collect();
        let party =
            |nth: usize| json!({"name": format!("customer-{nth:05}"), "allowance_per_s": 1});
        plan.config["settings"]["parties"] = (0..words.tenants).map(party).collect();
        plan.config["settings"]["family_info"]["cores"] = json!(64);
        for group in plan.config["settings"]["lanes"].as_array_mut().unwrap() {
            group["deadline"] = json!(words.deadline_ms * 1000);
            group["target"] = json!(words.deadline_ms * 1000 * 2 / 3);
        }
        let version = |nth| installation(words.rules, front, &servers, nth);
        plan.installation = Some(version(0));
        let versions = (0..POOLS).map(|nth| version(nth).to_string()).collect();
        let site = Site {
            bed: plan.start(),
            front,
            _servers: servers,
            versions,
            version: 0,
        };
        drop(connect(front));
        site
    }

    /// Changes one rule, without waiting for it to come into force.
    fn change(&mut self) {
        self.version += 1;
        let next = self.bed.folder.join("next.json");
        std::fs::write(&next, &self.versions[self.version % POOLS]).unwrap();
        std::fs::rename(&next, self.bed.folder.join("installation.json")).unwrap();
        let process = Pid::from_raw(self.bed.program.id() as i32).unwrap();
        kill_process(process, Signal::HUP).unwrap();
    }

    /// Asks until the newest version is in force.
    fn until_in_force(&self) {
        let wanted = format!("p{}", self.version % POOLS).into_bytes();
        while ask(self.front, "/probe") != Seen::Completed(wanted.clone()) {
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// A figure of the process in kB.
    fn memory_kb(&self, name: &str) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.bed.program.id())).unwrap();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix(name))
            .unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Processor time of the process so far; the system counts hundredths of a second.
    fn cpu_ms(&self) -> u64 {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", self.bed.program.id())).unwrap();
        let fields = stat.rsplit(')').next().unwrap().split_whitespace();
        fields
            .skip(11)
            .take(2)
            .map(|ticks| ticks.parse::<u64>().unwrap())
            .sum::<u64>()
            * 10
    }
}

fn installation(rules: usize, front: SocketAddr, servers: &[Server], version: usize) -> Value {
    let pool = |server: &Server| json!({"protocol": "uwsgi", "addresses": [server.at.to_string()], "at_once": 64});
    let names = (0..servers.len()).map(|place| format!("p{place}"));
    let pools: serde_json::Map<String, Value> = names.zip(servers.iter().map(pool)).collect();
    let rule = |place: usize| {
        let when = format!(
            "path.starts_with(\"/yard-{place}/\") && (header(\"x-yard\") ?? \"\") == \"north-{place}\""
        );
        json!({"when": when, "group": "look", "subject": "segment(1)", "rank": "0.5"})
    };
    let probe = json!({"when": "path == \"/probe\"", "group": "look", "servers": format!("p{}", version % POOLS)});
    let rules: Vec<Value> = (1..rules).map(rule).chain([probe]).collect();
    json!({"fronts": [{"protocol": "uwsgi", "listen": front.to_string()}], "servers": pool(&servers[0]),
        "pools": pools, "rules": rules, "otherwise": "look"})
}

fn ask(front: SocketAddr, path: &str) -> Seen {
    let pairs: [Variable; 3] = [
        (b"REQUEST_METHOD", b"GET"),
        (b"PATH_INFO", path.as_bytes()),
        (b"HTTP_X_TENANT", b"customer-00001"),
    ];
    let mut out = Vec::new();
    write_request(UWSGI, &mut out, 1, false, &pairs, b"").unwrap();
    let mut sock = connect(front);
    sock.write_all(&out).unwrap();
    Pending {
        sock,
        protocol: UWSGI,
    }
    .seen()
}

fn said(seen: &Seen) -> String {
    match seen {
        Seen::Completed(_) => "completed".into(),
        seen => format!("{seen:?}"),
    }
}

/// Sends requests at their times until told to end.
fn call(front: SocketAddr, place: u32, rate: u32, over: &AtomicBool) -> Outcomes {
    let mut outcomes = Outcomes {
        micros: Histogram::new_with_max(60_000_000, 3).unwrap(),
        answers: BTreeMap::new(),
    };
    let begun = Instant::now();
    for nth in 0.. {
        let at = begun + Duration::from_secs(1) * (nth * CALLERS + place) / rate;
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        if over.load(Ordering::Relaxed) {
            break;
        }
        let seen = ask(front, "/elsewhere");
        outcomes
            .micros
            .saturating_record(at.elapsed().as_micros() as u64);
        *outcomes.answers.entry(said(&seen)).or_default() += 1;
    }
    outcomes
}

/// Requests for some seconds, with a change at each whole one or none.
fn play(site: &mut Site, words: &Words, changes: bool) -> Outcomes {
    let (front, over) = (site.front, AtomicBool::new(false));
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|place| {
                scope.spawn({
                    let over = &over;
                    move || call(front, place, words.rate, over)
                })
            })
            .collect();
        let begun = Instant::now();
        for second in 1..=words.seconds {
            std::thread::sleep(
                (begun + Duration::from_secs(1) * second).saturating_duration_since(Instant::now()),
            );
            if changes {
                site.change();
            }
        }
        over.store(true, Ordering::Relaxed);
        let mut all = Outcomes {
            micros: Histogram::new_with_max(60_000_000, 3).unwrap(),
            answers: BTreeMap::new(),
        };
        for outcomes in callers.into_iter().map(|caller| caller.join().unwrap()) {
            all.micros.add(outcomes.micros).unwrap();
            outcomes
                .answers
                .into_iter()
                .for_each(|(said, n)| *all.answers.entry(said).or_default() += n);
        }
        all
    })
}

fn tell(what: &str, outcomes: &Outcomes) {
    let ms = |quantile: f64| outcomes.micros.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "{what}: {} requests, p50 {:.2} p99 {:.2} p99.9 {:.2} worst {:.2} ms; {:?}",
        outcomes.micros.len(),
        ms(0.5),
        ms(0.99),
        ms(0.999),
        ms(1.0),
        outcomes.answers
    );
}

/// The longest wait of a request that is sent right after the notice, over some changes; or without any.
fn right_after(site: &mut Site, times: usize, changes: bool) {
    let mut waits = Vec::new();
    for _ in 0..times {
        if changes {
            site.change();
        }
        let begun = Instant::now();
        let mut worst = Duration::ZERO;
        // Until the change is in force, and a little longer.
        while begun.elapsed() < Duration::from_millis(1_500) {
            let sent = Instant::now();
            ask(site.front, "/elsewhere");
            worst = worst.max(sent.elapsed());
        }
        waits.push(worst.as_micros() as f64 / 1000.0);
        site.until_in_force();
    }
    let what = if changes {
        "after each of some changes"
    } else {
        "without a change"
    };
    println!("worst wait in 1.5 s {what}, one caller: {waits:.2?} ms");
}

/// Changes as fast as they come into force, with the memory and the processor time that they took.
fn many(site: &mut Site, changes: usize) {
    let cpu_before = site.cpu_ms();
    for nth in 1..=changes {
        site.change();
        site.until_in_force();
        if nth == 10 || nth == changes {
            println!(
                "after {nth} changes: resident {} kB, peak {} kB, {:.1} ms of processor time for each",
                site.memory_kb("VmRSS"),
                site.memory_kb("VmHWM"),
                (site.cpu_ms() - cpu_before) as f64 / nth as f64
            );
        }
    }
}

/// How long the swaps held the loop, by the node's own log, where it tells.
fn tell_held(site: Site) {
    site.bed.signal("-TERM");
    let (_, log) = site.bed.end();
    let figures = |name: &str| -> Vec<u64> {
        let figure = |line: &str| {
            line.split_once(name)?
                .1
                .split_whitespace()
                .next()?
                .parse()
                .ok()
        };
        log.lines().filter_map(figure).collect()
    };
    // How runs ended at the servers tells why requests were not completed.
    log.lines()
        .filter(|line| line.contains("servers summary"))
        .for_each(|line| println!("{line}"));
    println!(
        "by its log: held_us {:?}, built_ms {:?}",
        figures(" held_us="),
        figures(" built_ms=")
    );
}

fn main() {
    let words = Words::parse();
    let begun = Instant::now();
    let mut site = Site::start(&words);
    println!(
        "start: {} ms, {} ms of processor time, resident {} kB",
        begun.elapsed().as_millis(),
        site.cpu_ms(),
        site.memory_kb("VmRSS")
    );
    tell("no change", &play(&mut site, &words, false));
    tell("one change a second", &play(&mut site, &words, true));
    site.until_in_force();
    tell("no change", &play(&mut site, &words, false));
    right_after(&mut site, 8, false);
    right_after(&mut site, 8, true);
    tell_held(site);
    let mut site = Site::start(&words);
    many(&mut site, words.changes);
}
