//! A seeded play over both fronts at once, with faults on every side, checked by the four rules from outside.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use doortrack_fakes::caller::{CallerRequest, PendingAnswer};
use doortrack_fakes::engine::Engine;
use doortrack_fakes::fixture::{NodeFixture, NodeSetup};
use doortrack_fakes::rules::{Bounds, CallerAttempt, ExecutedRun, find_violations};
use doortrack_fakes::server::{Behavior, Disconnect, ReceivedRequest, Server};
use doortrack_fakes::unix_ms;
use doortrack_protocols::Protocol::{self, FastCgi, Uwsgi};
use fastrand::Rng;
use serde_json::{Value, json};

/// The deadline of both endpoint groups here, and what a slow machine may add.
const TIMEOUT_MS: u64 = 2000;
const SLOW_MACHINE_MS: u64 = 5000;

fn result(attempt_id: &str) -> Vec<u8> {
    format!("of {attempt_id}").into_bytes()
}

/// What a server does with one request: mostly sound, else in any way wrong.
fn act(got: &ReceivedRequest, seed: u64) -> Behavior {
    let attempt_id =
        String::from_utf8_lossy(got.variable("HTTP_X_REQUEST_ID").unwrap()).into_owned();
    let mut rng = Rng::with_seed(
        seed ^ u64::from_str_radix(&attempt_id, 16).unwrap() << 8 ^ got.connection as u64,
    );
    let (body, at) = (result(&attempt_id), rng.usize(0..60));
    let how = [Disconnect::Close, Disconnect::Reset, Disconnect::HalfClose][rng.usize(0..3)];
    match rng.u8(0..20) {
        0 | 1 => Behavior::Answer {
            status: "503 No",
            body,
            after: Duration::ZERO,
        },
        2 | 3 => Behavior::Cut { body, at, how },
        4 => Behavior::Garbage(b"HTTP/0.9 hello\r\n\r\n".into()),
        5 => Behavior::Hang,
        _ => Behavior::Answer {
            status: "200 OK",
            body,
            after: Duration::from_millis(rng.u64(0..12)),
        },
    }
}

/// Callers on both fronts, some of which leave; what they were told.
struct Callers {
    rng: Rng,
    fronts: [(Protocol, SocketAddr); 2],
    nth: u64,
    tried: Arc<Mutex<Vec<CallerAttempt>>>,
    waiting: Vec<thread::JoinHandle<()>>,
}

impl Callers {
    fn new(seed: u64, fronts: [(Protocol, SocketAddr); 2]) -> Callers {
        Callers {
            rng: Rng::with_seed(seed),
            fronts,
            nth: 0,
            tried: Arc::default(),
            waiting: Vec::new(),
        }
    }

    /// One try by chance: of a key that others use too, or of none; whoever asks may leave at any byte.
    fn ask(&mut self) {
        self.nth += 1;
        let (attempt_number, (protocol, at)) = (self.nth, self.fronts[self.rng.usize(0..2)]);
        let key = self
            .rng
            .bool()
            .then(|| format!("{:032x}", self.rng.u8(0..25)));
        let script = if key.is_some() {
            "/svc/pay"
        } else {
            "/svc/look"
        };
        let mut ask = CallerRequest::new(attempt_number, script, b"berth");
        if let Some(key) = &key {
            ask = ask.with("HTTP_IDEMPOTENCY_KEY", key);
        }
        let leaves = self.rng.u8(0..12);
        let sent = unix_ms();
        if leaves == 0 {
            // Within its request: never had.
            let bytes = ask.bytes(protocol);
            let cut = self.rng.usize(0..bytes.len());
            if let Ok(mut sock) = std::net::TcpStream::connect(at) {
                _ = std::io::Write::write_all(&mut sock, &bytes[..cut]);
            }
            return;
        }
        // Once the node has left nobody is there.
        let Ok(pending) = ask.try_send(at, protocol) else {
            return;
        };
        let mut tried = CallerAttempt {
            attempt_number,
            idempotency_key: key,
            sent,
            outcome: None,
        };
        let all = self.tried.clone();
        match leaves {
            1 => {
                pending.reset();
                all.lock().unwrap().push(tried);
                return;
            }
            2 => pending.half_close(),
            _ => {}
        }
        self.waiting.push(thread::spawn(move || {
            let seen = PendingAnswer::outcome(pending);
            tried.outcome = Some((seen, unix_ms()));
            all.lock().unwrap().push(tried);
        }));
    }

    fn over(self) -> Vec<CallerAttempt> {
        self.waiting
            .into_iter()
            .for_each(|thread| thread.join().unwrap());
        self.tried.lock().unwrap().clone()
    }
}

fn plan(change: impl FnOnce(&mut Value)) -> (NodeSetup, [(Protocol, SocketAddr); 2]) {
    let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    let fronts = [(FastCgi, plan.port(9091)), (Uwsgi, plan.port(9092))];
    for lane in plan.config["settings"]["lanes"].as_array_mut().unwrap() {
        (lane["target"], lane["deadline"]) = (json!(TIMEOUT_MS * 500), json!(TIMEOUT_MS * 1000));
    }
    plan.config["settings"]["safety"]["drain_grace"] = json!(200_000);
    plan.config["stop_ms"] = json!(1500);
    let mut installation = json!({"fronts": fronts.map(|(front, at)| {
        json!({"protocol": front.name(), "listen": at.to_string()})
    })});
    change(&mut installation);
    plan.installation = Some(installation);
    (plan, fronts)
}

/// The last part: told to leave while all goes on, and a look at the whole.
fn leave(fixture: NodeFixture, mut callers: Callers, runs: impl FnOnce() -> Vec<ExecutedRun>) {
    fixture.signal("-TERM");
    let closed = unix_ms() + 200 + 150;
    for _ in 0..60 {
        callers.ask();
        thread::sleep(Duration::from_millis(8));
    }
    let (code, log) = fixture.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(!log.contains("panicked"), "{log}");
    let (tried, runs) = (callers.over(), runs());
    let bounds = Bounds {
        max_latency_ms: TIMEOUT_MS + SLOW_MACHINE_MS,
        accepts_until_ms: Some(closed),
        max_attempts: 3,
    };
    let violations = find_violations(&tried, &runs, bounds, result);
    assert!(violations.is_empty(), "{violations:#?}\n{log}");
    let completed = |tried: &&CallerAttempt| {
        matches!(
            &tried.outcome,
            Some((doortrack_fakes::caller::CallerOutcome::Completed(_), _))
        )
    };
    assert!(
        tried.iter().filter(completed).count() > 100,
        "little was completed: {log}"
    );
}

#[test]
fn with_servers_that_fail_in_every_way_no_rule_is_broken() {
    for (seed, protocol) in [(11, FastCgi), (12, Uwsgi)] {
        let mut servers: Vec<Server> = (0..3)
            .map(|nth| Server::start(protocol, move |got| act(got, seed * 10 + nth)))
            .collect();
        let addresses: Vec<String> = servers
            .iter()
            .map(|server| server.address.to_string())
            .collect();
        let part = |most: usize| {
            json!({"protocol": protocol.name(), "addresses": addresses[..most], "answer_within_ms": 300,
                "aside": {"first_ms": 50, "longest_ms": 200}, "retries": {"share": 0.5}})
        };
        let (plan, fronts) = plan(|installation| installation["servers"] = part(3));
        let mut installation = plan.installation.clone().unwrap();
        let (fixture, mut callers) = (plan.start(), Callers::new(seed, fronts));
        drop(doortrack_fakes::fixture::connect(fronts[0].1));
        let mut gone: Vec<ExecutedRun> = Vec::new();
        for round in 0..300 {
            callers.ask();
            thread::sleep(Duration::from_millis(4));
            match round {
                // Killed while it runs, and back at the same place.
                100 => {
                    let server = servers.remove(0);
                    let at = server.address;
                    thread::sleep(Duration::from_millis(2));
                    gone.extend(server.kill_and_collect().iter().map(ExecutedRun::from));
                    servers.insert(
                        0,
                        Server::start_at(at, protocol, move |got| act(got, seed * 10)),
                    );
                }
                150 | 220 => {
                    installation["servers"] = part(if round == 150 { 2 } else { 3 });
                    fixture.replace_installation(&installation);
                }
                _ => {}
            }
        }
        leave(fixture, callers, || {
            gone.extend(
                servers
                    .iter()
                    .flat_map(|server| server.received())
                    .map(|got| ExecutedRun::from(&got)),
            );
            gone
        });
    }
}

/// An engine that ends runs by chance, and now and then loses its link.
fn serve(bed_door: std::net::TcpListener, seed: u64, over: Arc<AtomicBool>) -> Vec<ExecutedRun> {
    let (mut rng, mut runs, mut serial) = (Rng::with_seed(seed), Vec::<ExecutedRun>::new(), 0);
    let mut notices: Vec<Value> = Vec::new();
    while !over.load(Ordering::SeqCst) {
        let Ok((sock, _)) = bed_door.accept() else {
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        sock.set_nonblocking(false).unwrap();
        sock.set_read_timeout(Some(Duration::from_millis(500)))
            .unwrap();
        let mut engine = Engine::new(sock);
        let Some(attach) = engine.try_read_command() else {
            continue;
        };
        let last = attach["serial"].as_u64().unwrap() as usize;
        let mut ok = engine.try_send(&json!({"msg": "HELLO", "how": "WARM", "duration": 60_000}));
        notices[last.min(notices.len())..]
            .iter()
            .for_each(|notice| ok &= engine.try_send(notice));
        while ok && let Some(command) = engine.try_read_command() {
            let call = command["call"].as_str().unwrap_or_default().to_string();
            match command["msg"].as_str().unwrap() {
                "STAT" => {
                    let stats =
                        json!({"msg": "STATS", "cookie": command["cookie"], "stats": [0.0, 1]});
                    ok &= engine.try_send(&stats);
                }
                "RUN" if !runs.iter().any(|run| run.attempt_id == call) => {
                    let how = ["OK", "OK", "OK", "OK", "ERROR"][rng.usize(0..5)];
                    serial += 1;
                    runs.push(ExecutedRun {
                        attempt_id: call.clone(),
                        idempotency_key: None,
                        at: unix_ms(),
                    });
                    let blob = Engine::encode_result(&result(&call));
                    notices.push(
                        json!({"msg": "DONE", "serial": serial, "call": call, "how": how, "blob": blob}),
                    );
                    ok &= engine.try_send(&notices[notices.len() - 1]);
                    // Broken between two notices; what was told last may not have arrived.
                    ok &= rng.u8(0..60) != 0;
                }
                _ => {}
            }
        }
    }
    runs
}

#[test]
fn with_an_engine_whose_link_breaks_no_rule_is_broken() {
    let (plan, fronts) = plan(|_| {});
    let (fixture, mut callers) = (plan.start(), Callers::new(13, fronts));
    fixture.engine_listener.set_nonblocking(true).unwrap();
    let (door, over) = (
        fixture.engine_listener.try_clone().unwrap(),
        Arc::new(AtomicBool::new(false)),
    );
    let told = over.clone();
    let engine = thread::spawn(move || serve(door, 14, told));
    drop(doortrack_fakes::fixture::connect(fronts[0].1));
    thread::sleep(Duration::from_millis(50));
    for _ in 0..400 {
        callers.ask();
        thread::sleep(Duration::from_millis(3));
    }
    let tried = callers.tried.clone();
    leave(fixture, callers, move || {
        over.store(true, Ordering::SeqCst);
        let mut runs = engine.join().unwrap();
        // The engine is told no idempotency keys; its runs have those of their tries.
        let tried = tried.lock().unwrap();
        for run in &mut runs {
            let of = tried
                .iter()
                .find(|tried| doortrack_fakes::attempt_id(tried.attempt_number) == run.attempt_id);
            run.idempotency_key = of.and_then(|tried| tried.idempotency_key.clone());
        }
        runs
    });
}
