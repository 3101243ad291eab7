//! Seeded random requests over listeners of both protocols, with faults of callers, servers and engine. The outcomes
//! and runs are checked from outside the node by `doortrack_fakes::rules`.

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

/// The deadline of both endpoint groups.
const DEADLINE_MS: u64 = 2000;
/// What a slow machine may add to the deadline.
const SLOW_MACHINE_ALLOWANCE_MS: u64 = 5000;

fn result_of(attempt_id: &str) -> Vec<u8> {
    format!("of {attempt_id}").into_bytes()
}

/// Chooses what a server does with one request: mostly a proper answer, else a fault of any kind.
fn choose_behavior(request: &ReceivedRequest, seed: u64) -> Behavior {
    let attempt_id =
        String::from_utf8_lossy(request.variable("HTTP_X_REQUEST_ID").unwrap()).into_owned();
    let mut rng = Rng::with_seed(
        seed ^ u64::from_str_radix(&attempt_id, 16).unwrap() << 8 ^ request.connection as u64,
    );
    let (body, at) = (result_of(&attempt_id), rng.usize(0..60));
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

/// Callers on both listeners, some of which disconnect early, and the outcome of each of their attempts.
struct Callers {
    rng: Rng,
    listeners: [(Protocol, SocketAddr); 2],
    attempts_sent: u64,
    attempts: Arc<Mutex<Vec<CallerAttempt>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Callers {
    fn new(seed: u64, listeners: [(Protocol, SocketAddr); 2]) -> Callers {
        Callers {
            rng: Rng::with_seed(seed),
            listeners,
            attempts_sent: 0,
            attempts: Arc::default(),
            threads: Vec::new(),
        }
    }

    /// Sends one random attempt, with a shared idempotency key or without one. Its caller may disconnect at any byte.
    fn send_random(&mut self) {
        self.attempts_sent += 1;
        let (attempt_number, (protocol, address)) =
            (self.attempts_sent, self.listeners[self.rng.usize(0..2)]);
        let key = self
            .rng
            .bool()
            .then(|| format!("{:032x}", self.rng.u8(0..25)));
        let script = if key.is_some() {
            "/svc/pay"
        } else {
            "/svc/look"
        };
        let mut request = CallerRequest::new(attempt_number, script, b"berth");
        if let Some(key) = &key {
            request = request.with("HTTP_IDEMPOTENCY_KEY", key);
        }
        let disconnect_choice = self.rng.u8(0..12);
        let sent = unix_ms();
        if disconnect_choice == 0 {
            // The caller disconnects within its request, which therefore does not count as an attempt.
            let bytes = request.bytes(protocol);
            let cut = self.rng.usize(0..bytes.len());
            if let Ok(mut sock) = std::net::TcpStream::connect(address) {
                _ = std::io::Write::write_all(&mut sock, &bytes[..cut]);
            }
            return;
        }
        // The connection is refused once the node has exited.
        let Ok(pending) = request.try_send(address, protocol) else {
            return;
        };
        let mut attempt = CallerAttempt {
            attempt_number,
            idempotency_key: key,
            sent,
            outcome: None,
        };
        let all_attempts = self.attempts.clone();
        match disconnect_choice {
            1 => {
                pending.reset();
                all_attempts.lock().unwrap().push(attempt);
                return;
            }
            2 => pending.half_close(),
            _ => {}
        }
        self.threads.push(thread::spawn(move || {
            let outcome = PendingAnswer::outcome(pending);
            attempt.outcome = Some((outcome, unix_ms()));
            all_attempts.lock().unwrap().push(attempt);
        }));
    }

    fn finish(self) -> Vec<CallerAttempt> {
        self.threads
            .into_iter()
            .for_each(|thread| thread.join().unwrap());
        self.attempts.lock().unwrap().clone()
    }
}

fn setup_with(change: impl FnOnce(&mut Value)) -> (NodeSetup, [(Protocol, SocketAddr); 2]) {
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    let listeners = [(FastCgi, setup.port(9091)), (Uwsgi, setup.port(9092))];
    for group in setup.config["settings"]["lanes"].as_array_mut().unwrap() {
        (group["target"], group["deadline"]) =
            (json!(DEADLINE_MS * 500), json!(DEADLINE_MS * 1000));
    }
    setup.config["settings"]["safety"]["drain_grace"] = json!(200_000);
    setup.config["stop_ms"] = json!(1500);
    let mut installation = json!({"fronts": listeners.map(|(protocol, address)| {
        json!({"protocol": protocol.name(), "listen": address.to_string()})
    })});
    change(&mut installation);
    setup.installation = Some(installation);
    (setup, listeners)
}

/// Sends SIGTERM while callers go on, waits for the exit and checks all attempts and runs.
fn drain_and_check(
    fixture: NodeFixture,
    mut callers: Callers,
    runs: impl FnOnce() -> Vec<ExecutedRun>,
) {
    fixture.signal("-TERM");
    let accepts_until = unix_ms() + 200 + 150;
    for _ in 0..60 {
        callers.send_random();
        thread::sleep(Duration::from_millis(8));
    }
    let (code, log) = fixture.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(!log.contains("panicked"), "{log}");
    let (attempts, runs) = (callers.finish(), runs());
    let bounds = Bounds {
        max_latency_ms: DEADLINE_MS + SLOW_MACHINE_ALLOWANCE_MS,
        accepts_until_ms: Some(accepts_until),
        max_attempts: 3,
    };
    let violations = find_violations(&attempts, &runs, bounds, result_of);
    assert!(violations.is_empty(), "{violations:#?}\n{log}");
    let completed = |attempt: &&CallerAttempt| {
        matches!(
            &attempt.outcome,
            Some((doortrack_fakes::caller::CallerOutcome::Completed(_), _))
        )
    };
    assert!(
        attempts.iter().filter(completed).count() > 100,
        "too few requests were completed: {log}"
    );
}

#[test]
fn no_rule_is_broken_with_servers_that_fail_in_every_way() {
    for (seed, protocol) in [(11, FastCgi), (12, Uwsgi)] {
        let mut servers: Vec<Server> = (0..3)
            .map(|index| {
                Server::start(protocol, move |request| {
                    choose_behavior(request, seed * 10 + index)
                })
            })
            .collect();
        let addresses: Vec<String> = servers
            .iter()
            .map(|server| server.address.to_string())
            .collect();
        let pool_settings = |server_count: usize| {
            json!({"protocol": protocol.name(), "addresses": addresses[..server_count], "answer_within_ms": 300,
                "aside": {"first_ms": 50, "longest_ms": 200}, "retries": {"share": 0.5}})
        };
        let (setup, listeners) =
            setup_with(|installation| installation["servers"] = pool_settings(3));
        let mut installation = setup.installation.clone().unwrap();
        let (fixture, mut callers) = (setup.start(), Callers::new(seed, listeners));
        drop(doortrack_fakes::fixture::connect(listeners[0].1));
        let mut lost_runs: Vec<ExecutedRun> = Vec::new();
        for round in 0..300 {
            callers.send_random();
            thread::sleep(Duration::from_millis(4));
            match round {
                // A server is killed while it executes runs, and starts again at the same address.
                100 => {
                    let server = servers.remove(0);
                    let address = server.address;
                    thread::sleep(Duration::from_millis(2));
                    lost_runs.extend(server.kill_and_collect().iter().map(ExecutedRun::from));
                    servers.insert(
                        0,
                        Server::start_at(address, protocol, move |request| {
                            choose_behavior(request, seed * 10)
                        }),
                    );
                }
                150 | 220 => {
                    installation["servers"] = pool_settings(if round == 150 { 2 } else { 3 });
                    fixture.replace_installation(&installation);
                }
                _ => {}
            }
        }
        drain_and_check(fixture, callers, || {
            lost_runs.extend(
                servers
                    .iter()
                    .flat_map(|server| server.received())
                    .map(|request| ExecutedRun::from(&request)),
            );
            lost_runs
        });
    }
}

/// Runs an engine that ends runs with random outcomes and sometimes drops its link. Returns the runs it executed.
fn run_engine(
    listener: std::net::TcpListener,
    seed: u64,
    stopped: Arc<AtomicBool>,
) -> Vec<ExecutedRun> {
    let (mut rng, mut runs, mut serial) = (Rng::with_seed(seed), Vec::<ExecutedRun>::new(), 0);
    let mut notices: Vec<Value> = Vec::new();
    while !stopped.load(Ordering::SeqCst) {
        let Ok((sock, _)) = listener.accept() else {
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
        let last_serial = attach["serial"].as_u64().unwrap() as usize;
        let mut ok = engine.try_send(&json!({"msg": "HELLO", "how": "WARM", "duration": 60_000}));
        notices[last_serial.min(notices.len())..]
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
                    let outcome = ["OK", "OK", "OK", "OK", "ERROR"][rng.usize(0..5)];
                    serial += 1;
                    runs.push(ExecutedRun {
                        attempt_id: call.clone(),
                        idempotency_key: None,
                        at: unix_ms(),
                    });
                    let blob = Engine::encode_result(&result_of(&call));
                    notices.push(
                        json!({"msg": "DONE", "serial": serial, "call": call, "how": outcome, "blob": blob}),
                    );
                    ok &= engine.try_send(&notices[notices.len() - 1]);
                    // The link breaks between two notices, of which the last may not have arrived.
                    ok &= rng.u8(0..60) != 0;
                }
                _ => {}
            }
        }
    }
    runs
}

#[test]
fn no_rule_is_broken_with_an_engine_whose_link_breaks() {
    let (setup, listeners) = setup_with(|_| {});
    let (fixture, mut callers) = (setup.start(), Callers::new(13, listeners));
    fixture.engine_listener.set_nonblocking(true).unwrap();
    let (engine_listener, stopped) = (
        fixture.engine_listener.try_clone().unwrap(),
        Arc::new(AtomicBool::new(false)),
    );
    let stopped_in_thread = stopped.clone();
    let engine = thread::spawn(move || run_engine(engine_listener, 14, stopped_in_thread));
    drop(doortrack_fakes::fixture::connect(listeners[0].1));
    thread::sleep(Duration::from_millis(50));
    for _ in 0..400 {
        callers.send_random();
        thread::sleep(Duration::from_millis(3));
    }
    let attempts = callers.attempts.clone();
    drain_and_check(fixture, callers, move || {
        stopped.store(true, Ordering::SeqCst);
        let mut runs = engine.join().unwrap();
        // The engine receives no idempotency keys, so each run gets the key of its attempt.
        let attempts = attempts.lock().unwrap();
        for run in &mut runs {
            let matching = attempts.iter().find(|attempt| {
                doortrack_fakes::attempt_id(attempt.attempt_number) == run.attempt_id
            });
            run.idempotency_key = matching.and_then(|attempt| attempt.idempotency_key.clone());
        }
        runs
    });
}
