//! An engine whose link to the node is reset again and again, while its runs go on. It follows the protocol's page: runs
//! continue while there is no link, notices are kept and repeated, and a RUN for a request whose run has ended begins
//! it anew.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use socket2::SockRef;

use crate::engine::Engine;
use crate::rules::ExecutedRun;
use crate::unix_ms;

/// Pause of the loop between two looks at the link and the runs.
const TICK: Duration = Duration::from_millis(1);
/// Time from the attachment of a link to its reset, in ms.
const LINK_MS: std::ops::Range<u64> = 100..1_200;

/// What the engine does.
pub struct EngineBehavior {
    pub seed: u64,
    /// Whether HALT ends a run; otherwise it is refused.
    pub can_cancel: bool,
    /// The duration of a request's run, by its id.
    pub duration: Box<dyn Fn(&str) -> Duration + Send>,
    /// The result of a request's run, by its id.
    pub result: fn(&str) -> Vec<u8>,
}

/// An engine on a thread of its own, which runs until it is stopped.
pub struct UnreliableEngine {
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<Vec<ExecutedRun>>,
}

impl UnreliableEngine {
    /// Starts the engine, which accepts the node's links at `listener`.
    pub fn start(listener: TcpListener, behavior: EngineBehavior) -> UnreliableEngine {
        let is_over: Arc<AtomicBool> = Arc::default();
        let is_over_in_thread = is_over.clone();
        let thread = std::thread::spawn(move || {
            let mut state = State::new(listener, behavior);
            while !is_over_in_thread.load(Ordering::Relaxed) {
                state.tick();
                std::thread::sleep(TICK);
            }
            state.begun
        });
        UnreliableEngine { is_over, thread }
    }

    /// Stops the engine and returns all runs that it began.
    pub fn stop(self) -> Vec<ExecutedRun> {
        self.is_over.store(true, Ordering::Relaxed);
        self.thread.join().unwrap()
    }
}

struct Link {
    sock: TcpStream,
    input: Vec<u8>,
    reset_at: Instant,
    is_attached: bool,
}

struct State {
    listener: TcpListener,
    behavior: EngineBehavior,
    random: fastrand::Rng,
    link: Option<Link>,
    /// Runs under way, by request, and when each ends.
    running: BTreeMap<String, Instant>,
    notices: Vec<Value>,
    begun: Vec<ExecutedRun>,
}

impl State {
    fn new(listener: TcpListener, behavior: EngineBehavior) -> State {
        listener.set_nonblocking(true).unwrap();
        State {
            listener,
            random: fastrand::Rng::with_seed(behavior.seed),
            behavior,
            link: None,
            running: BTreeMap::new(),
            notices: Vec::new(),
            begun: Vec::new(),
        }
    }

    fn tick(&mut self) {
        if let Ok((sock, _)) = self.listener.accept() {
            sock.set_nonblocking(true).unwrap();
            let link_time = Duration::from_millis(self.random.u64(LINK_MS));
            self.link = Some(Link {
                sock,
                input: Vec::new(),
                reset_at: Instant::now() + link_time,
                is_attached: false,
            });
        }
        for command in self.read_commands() {
            self.handle(&command);
        }
        self.end_runs();
        self.reset_link_if_due();
    }

    fn reset_link_if_due(&mut self) {
        if self
            .link
            .as_ref()
            .is_some_and(|link| Instant::now() >= link.reset_at)
            && let Some(link) = self.link.take()
        {
            _ = SockRef::from(&link.sock).set_linger(Some(Duration::ZERO));
        }
    }

    fn read_commands(&mut self) -> Vec<Value> {
        let Some(link) = &mut self.link else {
            return Vec::new();
        };
        let mut buffer = [0; 65_536];
        match link.sock.read(&mut buffer) {
            Ok(count) if count > 0 => link.input.extend(&buffer[..count]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            _ => {
                self.link = None;
                return Vec::new();
            }
        }
        let end = link.input.iter().rposition(|byte| *byte == b'\n');
        let whole: Vec<u8> = link.input.drain(..end.map_or(0, |end| end + 1)).collect();
        let lines = whole.split(|byte| *byte == b'\n');
        lines
            .filter_map(|line| serde_json::from_slice(line).ok())
            .collect()
    }

    fn handle(&mut self, command: &Value) {
        let call = command["call"].as_str().unwrap_or_default().to_string();
        match command["msg"].as_str() {
            Some("ATTACH") => self.attach(command["serial"].as_u64().unwrap_or(0)),
            Some("STAT") => {
                self.send(&json!({"msg": "STATS", "cookie": command["cookie"], "stats": [0.0, 1]}));
            }
            Some("RUN") => self.run(call),
            Some("HALT") if !self.behavior.can_cancel => {
                self.send(&json!({"msg": "NO", "how": "HALT", "call": call}));
            }
            Some("HALT") if self.running.remove(&call).is_some() => {
                self.notify(&call, "STOPPED", &[]);
            }
            _ => {}
        }
    }

    fn attach(&mut self, last_serial: u64) {
        self.send(&json!({"msg": "HELLO", "how": "WARM", "duration": 60_000}));
        let missed = self
            .notices
            .split_off(self.notices.len().min(last_serial as usize));
        for notice in missed {
            self.send(&notice);
            self.notices.push(notice);
        }
        if let Some(link) = &mut self.link {
            link.is_attached = true;
        }
    }

    fn run(&mut self, call: String) {
        if self.running.contains_key(&call) {
            return;
        }
        self.begun.push(ExecutedRun {
            attempt_id: call.clone(),
            idempotency_key: None,
            at: unix_ms(),
        });
        let duration = (self.behavior.duration)(&call);
        self.running.insert(call, Instant::now() + duration);
    }

    fn end_runs(&mut self) {
        let now = Instant::now();
        let due = self.running.extract_if(.., |_, ends_at| *ends_at <= now);
        let ended: Vec<String> = due.map(|(call, _)| call).collect();
        for call in ended {
            let result = (self.behavior.result)(&call);
            self.notify(&call, "OK", &result);
        }
    }

    /// Keeps a notice, and sends it if a link is attached.
    fn notify(&mut self, call: &str, how: &str, result: &[u8]) {
        let serial = self.notices.len() + 1;
        let blob = Engine::encode_result(result);
        let notice = json!({"msg": "DONE", "serial": serial, "call": call, "how": how, "duration": 1, "blob": blob});
        if self.link.as_ref().is_some_and(|link| link.is_attached) {
            self.send(&notice);
        }
        self.notices.push(notice);
    }

    fn send(&mut self, message: &Value) {
        let Some(link) = &mut self.link else {
            return;
        };
        // A node that does not read for long loses the link, as with a real engine.
        if link
            .sock
            .write_all(format!("{message}\n").as_bytes())
            .is_err()
        {
            self.link = None;
        }
    }
}
