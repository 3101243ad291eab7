//! Load for the tests of budgets: callers that together send more than the budgets admit, most of it to one
//! node at a time, and a server that records each run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use doortrack_fakes::caller::{CallerOutcome, CallerRequest};
use doortrack_fakes::rules::ExecutedRun;
use doortrack_fakes::server::{Behavior, Server};
use doortrack_fakes::unix_ms;
use doortrack_protocols::Protocol;
use serde_json::{Value, json};

use crate::usage::AdmittedRequest;

/// Share of requests that go to the preferred node, where there is one.
const PREFERRED_SHARE: f64 = 0.6;
/// Greatest number of concurrent requests of a caller. With fewer, callers that wait for slow answers would send less
/// than the budgets admit, and no limit could be exceeded.
const MAX_CALLER_CONCURRENCY: u32 = 8;
/// The server's concurrency limit in the installation file.
const SERVER_CONCURRENCY: u32 = 64;

/// How callers send requests, and how long the server runs them.
#[derive(Clone, Copy, Debug)]
pub struct LoadProfile {
    /// Number of callers.
    pub callers: usize,
    /// Mean pause between two requests of a caller if answers are immediate.
    pub pause: Duration,
    /// Time for which each node in turn is preferred; `None`: no node is preferred.
    pub preferred_for: Option<Duration>,
    /// Run time of a request.
    pub run_time: Duration,
}

/// One request as its caller recorded it. Times are in Unix ms.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Identifier of the attempt.
    pub id: u64,
    /// Index of the node that it was sent to.
    pub node: usize,
    /// Whether it had an idempotency key.
    pub keyed: bool,
    /// When it was sent.
    pub sent: u64,
    /// `None`: the connection failed.
    pub answer: Option<CallerOutcome>,
    /// When the answer ended, or the connection failed.
    pub answered: u64,
}

/// Callers, and the server behind the nodes.
pub struct Load {
    server: Server,
    profile: LoadProfile,
    is_over: Arc<AtomicBool>,
    senders: Vec<JoinHandle<Vec<RequestRecord>>>,
}

/// What callers and server recorded.
pub struct LoadReport {
    /// All requests.
    pub requests: Vec<RequestRecord>,
    /// Requests without an idempotency key (`/svc/look`) that ran.
    pub unkeyed: Vec<AdmittedRequest>,
    /// Requests with an idempotency key (`/svc/pay`) that ran.
    pub keyed: Vec<AdmittedRequest>,
    /// Start and end of the runs of keyed requests by the server's clock, in Unix ms.
    pub runs: Vec<(u64, u64)>,
}

/// One of the [`MAX_CALLER_CONCURRENCY`] senders of a caller, which sends one request after another.
struct Sender {
    profile: LoadProfile,
    addresses: Vec<SocketAddr>,
    random: fastrand::Rng,
    next_id: u64,
    requests: Vec<RequestRecord>,
}

impl Load {
    /// Starts the server; callers are started by [`Load::start`].
    pub fn new(profile: LoadProfile) -> Load {
        let run_time = profile.run_time;
        let server = Server::start(Protocol::FastCgi, move |_| Behavior::Answer {
            status: "200 OK",
            body: b"done".to_vec(),
            after: run_time,
        });
        Load {
            server,
            profile,
            is_over: Arc::default(),
            senders: Vec::new(),
        }
    }

    /// The part of a node's installation file that names the server.
    pub fn installation(&self) -> Value {
        let addresses = [self.server.address.to_string()];
        json!({"servers": {"protocol": "fastcgi", "addresses": addresses, "at_once": SERVER_CONCURRENCY}})
    }

    /// Starts the callers, which send to the nodes at these addresses.
    pub fn start(&mut self, addresses: &[SocketAddr], seed: u64) {
        let started = Instant::now();
        let senders = self.profile.callers as u64 * u64::from(MAX_CALLER_CONCURRENCY);
        for index in 0..senders {
            let sender = Sender {
                profile: self.profile,
                addresses: addresses.to_vec(),
                random: fastrand::Rng::with_seed(seed ^ (index << 9)),
                next_id: ((index + 1) << 32) + 1,
                requests: Vec::new(),
            };
            let is_over = self.is_over.clone();
            self.senders
                .push(std::thread::spawn(move || sender.run(started, &is_over)));
        }
    }

    /// Stops the callers and waits for the answers to their last requests.
    pub fn finish(mut self) -> LoadReport {
        self.is_over.store(true, Ordering::Relaxed);
        let senders = std::mem::take(&mut self.senders).into_iter();
        let requests: Vec<RequestRecord> = senders
            .filter_map(|sender| sender.join().ok())
            .flatten()
            .collect();
        let by_attempt: BTreeMap<String, &RequestRecord> = requests
            .iter()
            .map(|request| (doortrack_fakes::attempt_id(request.id), request))
            .collect();
        let run_ms = self.profile.run_time.as_millis() as u64;
        let (mut unkeyed, mut keyed, mut runs) = (Vec::new(), Vec::new(), Vec::new());
        for received in self.server.received() {
            let ran = ExecutedRun::from(&received);
            let Some(request) = by_attempt.get(&ran.attempt_id) else {
                continue;
            };
            let admitted = AdmittedRequest {
                sent: request.sent,
                ran: ran.at,
            };
            if request.keyed {
                keyed.push(admitted);
                runs.push((ran.at, ran.at + run_ms));
            } else {
                unkeyed.push(admitted);
            }
        }
        LoadReport {
            unkeyed,
            keyed,
            runs,
            requests,
        }
    }
}

impl Sender {
    fn run(mut self, started: Instant, is_over: &AtomicBool) -> Vec<RequestRecord> {
        while !is_over.load(Ordering::Relaxed) {
            let node = self.choose_node(started.elapsed());
            let keyed = self.random.bool();
            self.send(node, keyed);
            std::thread::sleep(self.profile.pause * MAX_CALLER_CONCURRENCY);
        }
        self.requests
    }

    fn choose_node(&mut self, elapsed: Duration) -> usize {
        let nodes = self.addresses.len();
        let preferred = self.profile.preferred_for.map(|each| {
            let periods = elapsed.as_millis() / each.as_millis().max(1);
            periods as usize % nodes
        });
        match preferred {
            Some(preferred) if self.random.f64() < PREFERRED_SHARE => preferred,
            _ => self.random.usize(..nodes),
        }
    }

    fn send(&mut self, node: usize, keyed: bool) {
        let id = self.next_id;
        self.next_id += 1;
        let key = format!("{id:032x}");
        let request = if keyed {
            CallerRequest::new(id, "/svc/pay", b"berth").with("HTTP_IDEMPOTENCY_KEY", &key)
        } else {
            CallerRequest::new(id, "/svc/look", b"berth")
        };
        let sent = unix_ms();
        let answer = request
            .try_send(self.addresses[node], Protocol::FastCgi)
            .ok();
        let answer = answer.map(|pending| pending.outcome());
        self.requests.push(RequestRecord {
            id,
            node,
            keyed,
            sent,
            answer,
            answered: unix_ms(),
        });
    }
}
