//! Callers that together want more than there is, most of them at one node that changes, and a server that
//! takes note of each run; for budgets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use doortrack_standins::caller::{Ask, Seen};
use doortrack_standins::rules::Ran;
use doortrack_standins::server::{Act, Server};
use doortrack_standins::unix_ms;
use doortrack_wire::Protocol;
use serde_json::{Value, json};

use crate::spent::Passed;

/// How a crowd asks.
#[derive(Clone, Copy, Debug)]
pub struct Manner {
    pub callers: usize,
    /// Between two of a caller's exchanges.
    pub rest: Duration,
    /// Most come to one node, the next after so long; none: all nodes alike.
    pub moves_every: Option<Duration>,
    /// What a run takes.
    pub work: Duration,
}

/// One exchange as its caller knows it.
#[derive(Clone, Debug)]
pub struct Told {
    pub nth: u64,
    pub front: usize,
    pub keyed: bool,
    pub asked: u64,
    pub seen: Option<Seen>,
    pub at: u64,
}

/// A crowd and the server behind the nodes that it asks.
pub struct Crowd {
    server: Server,
    manner: Manner,
    over: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<Told>>>,
}

/// What came of it.
pub struct Asked {
    pub told: Vec<Told>,
    /// Exchanges of either group that were run: without a key (`look`) and with one (`pay`).
    pub looks: Vec<Passed>,
    pub pays: Vec<Passed>,
    /// When runs began and ended by the server's own clock, of marked ones.
    pub runs: Vec<(u64, u64)>,
}

impl Crowd {
    /// The server alone; nobody asks yet.
    pub fn ready(manner: Manner) -> Crowd {
        let work = manner.work;
        let server = Server::start(Protocol::FastCgi, move |_| Act::Answer {
            status: "200 OK",
            body: b"done".to_vec(),
            after: work,
        });
        Crowd { server, manner, over: Arc::default(), callers: Vec::new() }
    }

    /// What a node's operators' file says of the server.
    pub fn installation(&self) -> Value {
        let addresses = [self.server.at.to_string()];
        json!({"servers": {"protocol": "fastcgi", "addresses": addresses, "at_once": 64}})
    }

    pub fn begin(&mut self, fronts: &[SocketAddr], seed: u64) {
        let began = Instant::now();
        for place in 0..self.manner.callers as u64 {
            let (manner, over, fronts) = (self.manner, self.over.clone(), fronts.to_vec());
            self.callers.push(std::thread::spawn(move || {
                let mut chance = fastrand::Rng::with_seed(seed ^ (place << 9));
                let (mut told, mut nth) = (Vec::new(), (place + 1) << 32);
                while !over.load(Ordering::Relaxed) {
                    nth += 1;
                    let hot = manner.moves_every.map(|every| {
                        (began.elapsed().as_millis() / every.as_millis().max(1)) as usize % fronts.len()
                    });
                    let front = match hot {
                        Some(hot) if chance.f64() < 0.6 => hot,
                        _ => chance.usize(..fronts.len()),
                    };
                    told.push(ask(nth, front, fronts[front], chance.bool()));
                    std::thread::sleep(manner.rest);
                }
                told
            }));
        }
    }

    /// Ends the crowd once each has its answer.
    pub fn finish(mut self) -> Asked {
        self.over.store(true, Ordering::Relaxed);
        let callers = std::mem::take(&mut self.callers);
        let told: Vec<Told> = callers.into_iter().filter_map(|caller| caller.join().ok()).flatten().collect();
        let asked: BTreeMap<String, &Told> =
            told.iter().map(|of| (doortrack_standins::try_id(of.nth), of)).collect();
        let (mut looks, mut pays, mut runs) = (Vec::new(), Vec::new(), Vec::new());
        for got in self.server.got() {
            let ran = Ran::from(&got);
            let Some(told) = asked.get(&ran.try_id) else { continue };
            let passed = Passed { asked: told.asked, ran: ran.at };
            if told.keyed {
                pays.push(passed);
                runs.push((ran.at, ran.at + self.manner.work.as_millis() as u64));
            } else {
                looks.push(passed);
            }
        }
        Asked { looks, pays, runs, told }
    }
}

fn ask(nth: u64, front: usize, at: SocketAddr, keyed: bool) -> Told {
    let ask = Ask::new(nth, if keyed { "/svc/pay" } else { "/svc/look" }, b"berth");
    let key = format!("{nth:032x}");
    let ask = if keyed { ask.with("HTTP_IDEMPOTENCY_KEY", &key) } else { ask };
    let asked = unix_ms();
    let seen = ask.try_send(at, Protocol::FastCgi).ok().map(|pending| pending.seen());
    Told { nth, front, keyed, asked, seen, at: unix_ms() }
}
