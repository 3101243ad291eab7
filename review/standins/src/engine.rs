//! An engine by the platform's protocol, whose runs take the time that the case gives them.
//!
//! It does what the protocol page says and no more: a RUN of a request that runs already does nothing, one of a
//! request that is over is answered MOOT, and notices are numbered and sent again after ATTACH. It keeps neither
//! results nor keys, so a RUN of a request that has ended and is not over begins it again.

use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::record::Record;
use crate::{Rng, sleep_ms};

/// How long the engine waits for the answer to a request that has ended before it counts it as not over, in ms.
const ANSWER_ON_ITS_WAY_MS: u64 = 3;

/// How the engine behaves.
#[derive(Clone, Copy)]
pub struct Behavior {
    /// Shortest and longest time of a run, in ms.
    pub run_ms: (u64, u64),
    pub cores: f32,
    /// The pause between the two pieces of a notice, in ms; notices arrive whole if it is 0.
    pub piece_ms: u64,
}

/// What clients know of the requests, by id.
#[derive(Default)]
pub struct Requests {
    /// Sent to the node.
    pub sent: HashSet<String>,
    /// Answered, or given up.
    pub over: HashSet<String>,
}

#[derive(Default)]
struct State {
    /// The ids of the runs under way.
    running: HashSet<String>,
    /// How often each request was begun.
    begun: HashMap<String, u32>,
    /// All notices; the number of each is its place, from 1.
    notices: Vec<String>,
    link: Option<(TcpStream, Sender<(String, bool)>)>,
    /// The link breaks in the middle of the next notice.
    breaks_next: Arc<AtomicBool>,
}

#[derive(Clone)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    pub requests: Arc<Mutex<Requests>>,
    behavior: Behavior,
    rng: Arc<Mutex<Rng>>,
    record: Record,
    started: Instant,
}

impl Engine {
    /// Starts an engine; further addresses are opened by [`Engine::listen`].
    pub fn new(behavior: Behavior, seed: u64, record: Record) -> Engine {
        Engine {
            state: Arc::default(),
            requests: Arc::default(),
            behavior,
            rng: Arc::new(Mutex::new(Rng::new(seed))),
            record,
            started: Instant::now(),
        }
    }

    /// Accepts links on a new address.
    pub fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the engine's port");
        let address = listener.local_addr().expect("its address");
        let engine = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = engine.clone();
                std::thread::spawn(move || engine.read_link(stream));
            }
        });
        address
    }

    /// How often each request was begun.
    pub fn begun(&self) -> HashMap<String, u32> {
        self.state.lock().unwrap().begun.clone()
    }

    /// Breaks the link in the middle of the next notice.
    pub fn break_link(&self) {
        let state = self.state.lock().unwrap();
        state.breaks_next.store(true, Ordering::Relaxed);
    }

    fn read_link(&self, stream: TcpStream) {
        _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        for line in BufReader::new(reading).lines() {
            let Ok(line) = line else { return };
            self.on_command(&line, &stream);
        }
    }

    fn on_command(&self, line: &str, stream: &TcpStream) {
        let call = text(line, "call");
        match text(line, "msg").as_str() {
            "ATTACH" => self.attach(number(line, "serial"), stream),
            "STAT" => {
                let state = self.state.lock().unwrap();
                let busy = (state.running.len() as f32 / self.behavior.cores).min(1.0);
                let (cookie, running) = (text(line, "cookie"), state.running.len());
                let stats = format!(
                    r#"{{"msg":"STATS","cookie":"{cookie}","stats":[{busy:.3},{running}]}}"#
                );
                state.send(stats, false);
            }
            "RUN" => self.run(call, text(line, "blob")),
            // The site allows no HALT.
            "HALT" => {
                let refusal = format!(r#"{{"msg":"NO","how":"HALT","call":"{call}"}}"#);
                self.state.lock().unwrap().send(refusal, false);
            }
            _ => {}
        }
    }

    /// Answers ATTACH: HELLO, and all notices after the one that was read last. The link replaces the one before.
    fn attach(&self, last: usize, stream: &TcpStream) {
        let Ok(stream) = stream.try_clone() else {
            return;
        };
        let (sender, receiver) = channel();
        let Ok(writing) = stream.try_clone() else {
            return;
        };
        let piece_ms = self.behavior.piece_ms;
        let mut state = self.state.lock().unwrap();
        let breaks_next = Arc::clone(&state.breaks_next);
        let record = self.record.clone();
        std::thread::spawn(move || {
            if write_link(&writing, &receiver, piece_ms, &breaks_next) {
                record.line("engine: link broken in the middle of a notice");
                _ = writing.shutdown(Shutdown::Both);
            }
        });
        state.link = Some((stream, sender));
        let age = 60_000 + self.started.elapsed().as_millis();
        let hello = format!(r#"{{"msg":"HELLO","how":"WARM","duration":{age}}}"#);
        state.send(hello, false);
        for notice in state.notices.iter().skip(last) {
            state.send(notice.clone(), true);
        }
        let missed = state.notices.len().saturating_sub(last);
        self.record
            .line(format!("engine: attached, {missed} notices missed"));
    }

    fn run(&self, call: String, blob: String) {
        let is_over = |engine: &Engine| engine.requests.lock().unwrap().over.contains(&call);
        if !self.requests.lock().unwrap().sent.contains(&call) {
            let refusal = format!(r#"{{"msg":"NO","how":"RUN","call":"{call}"}}"#);
            return self.state.lock().unwrap().send(refusal, false);
        }
        if is_over(self) {
            return self.notice(&call, "MOOT", "", 0);
        }
        let mut state = self.state.lock().unwrap();
        if state.running.contains(&call) {
            return self
                .record
                .line(format!("engine: RUN {call}, runs already"));
        }
        if state.begun.contains_key(&call) {
            drop(state);
            self.record.line(format!("engine: RUN {call}, has ended"));
            let engine = self.clone();
            std::thread::spawn(move || {
                // Its answer may be on its way.
                sleep_ms(ANSWER_ON_ITS_WAY_MS);
                if engine.requests.lock().unwrap().over.contains(&call) {
                    return engine.notice(&call, "MOOT", "", 0);
                }
                engine.begin(&mut engine.state.lock().unwrap(), call, blob);
            });
            return;
        }
        self.begin(&mut state, call, blob);
    }

    fn begin(&self, state: &mut State, call: String, blob: String) {
        let (from, to) = self.behavior.run_ms;
        let ms = self.rng.lock().unwrap().between(from, to);
        state.running.insert(call.clone());
        let count = state.begun.entry(call.clone()).or_default();
        *count += 1;
        self.record
            .line(format!("engine: begins {call}, time {count}, for {ms} ms"));
        let engine = self.clone();
        std::thread::spawn(move || {
            sleep_ms(ms);
            engine.state.lock().unwrap().running.remove(&call);
            engine.notice(&call, "OK", &blob, ms);
        });
    }

    /// Sends the next notice; it is kept for the next link.
    fn notice(&self, call: &str, how: &str, blob: &str, ms: u64) {
        let mut state = self.state.lock().unwrap();
        let serial = state.notices.len() + 1;
        let notice = format!(
            r#"{{"msg":"DONE","serial":{serial},"call":"{call}","how":"{how}","duration":{ms},"blob":"{blob}"}}"#
        );
        self.record
            .line(format!("engine: {call} ended, {how}, notice {serial}"));
        state.notices.push(notice.clone());
        state.send(notice, true);
    }
}

impl State {
    fn send(&self, line: String, is_notice: bool) {
        if let Some((_, sender)) = &self.link {
            _ = sender.send((line, is_notice));
        }
    }
}

/// Writes lines to a link, notices in two pieces. Returns true if the link is to break.
fn write_link(
    mut stream: &TcpStream,
    lines: &Receiver<(String, bool)>,
    piece_ms: u64,
    breaks_next: &AtomicBool,
) -> bool {
    while let Ok((mut line, is_notice)) = lines.recv() {
        line.push('\n');
        let middle = if is_notice { line.len() / 2 } else { 0 };
        let (first, rest) = line.split_at(middle);
        if stream.write_all(first.as_bytes()).is_err() {
            return false;
        }
        if is_notice {
            sleep_ms(piece_ms);
            if breaks_next.swap(false, Ordering::Relaxed) {
                return true;
            }
        }
        if stream.write_all(rest.as_bytes()).is_err() {
            return false;
        }
    }
    false
}

/// The text of a key in a line of JSON that has no escapes.
fn text(line: &str, key: &str) -> String {
    let start = line.split_once(&format!("\"{key}\":\""));
    let value = start.and_then(|(_, rest)| rest.split_once('"'));
    value.map_or("", |(value, _)| value).to_string()
}

/// The whole number of a key in a line of JSON.
fn number(line: &str, key: &str) -> usize {
    let rest = line.split_once(&format!("\"{key}\":"));
    let digits = rest.map_or("", |(_, rest)| rest.trim_start());
    let end = digits.find(|c: char| !c.is_ascii_digit());
    digits[..end.unwrap_or(digits.len())].parse().unwrap_or(0)
}
