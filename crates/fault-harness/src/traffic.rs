//! Callers that ask nodes over FastCGI while a script is played, and the application server behind all nodes;
//! what they know of one another's doings is judged by the four rules.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use doortrack_fakes::caller::{Ask, Seen};
use doortrack_fakes::rules::{Bounds, Ran, Tried, broken};
use doortrack_fakes::server::{Act, Server};
use doortrack_fakes::unix_ms;
use doortrack_protocols::Protocol;
use serde_json::{Value, json};

use crate::serving::Offer;

/// The deadline of both endpoint groups of `standins::bed::config`, and what a slow machine may add,
/// in ms.
const WITHIN: u64 = 30_000 + 10_000;
/// A caller rests so long after each request, so that few of them do not take the machine.
const REST: Duration = Duration::from_millis(40);
/// What a node waits for an answer of the server, in ms.
const ANSWER_WITHIN: u64 = 3_000;
/// What a run takes.
const WORK: Duration = Duration::from_millis(3);

/// The server that does the work of all nodes.
pub struct Behind {
    server: Server,
}

/// What a run of this try brings; a server of one's own has to bring the same.
pub fn result(try_id: &str) -> Vec<u8> {
    format!("of {try_id}").into_bytes()
}

impl Behind {
    pub fn start() -> Behind {
        let server = Server::start(Protocol::FastCgi, |got| Act::Answer {
            status: "200 OK",
            body: result(&Ran::from(got).try_id),
            after: WORK,
        });
        Behind { server }
    }

    pub fn at(&self) -> SocketAddr {
        self.server.at
    }

    /// What a node's operators' file says of it, where it is reached at `at`.
    pub fn installation(&self, at: SocketAddr) -> Value {
        let (addresses, within) = ([at.to_string()], ANSWER_WITHIN);
        json!({"servers": {"protocol": "fastcgi", "addresses": addresses, "at_once": 8,
            "answer_within_ms": within}})
    }
}

/// Callers under way.
pub struct Traffic {
    over: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Caller>>,
}

/// What callers took note of, until they were ended.
#[derive(Debug, Default)]
pub struct Asked {
    /// Each request with the front that was asked.
    pub tried: Vec<(SocketAddr, Tried)>,
    /// Fronts that took no connection, and when, in Unix ms.
    pub refused: Vec<(SocketAddr, u64)>,
    /// Callers that saw no end of a connection within their long patience.
    pub stuck: usize,
}

/// What the callers and the server came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    pub asked: usize,
    pub completed: usize,
    /// Asked of a process that was ended before it answered.
    pub unanswered: usize,
}

/// One caller: it asks one node after the other, and where it is rejected or finds nobody it asks the next
/// once, under the same idempotency key.
struct Caller {
    nth: u64,
    chance: fastrand::Rng,
    fronts: Vec<SocketAddr>,
    /// Named in each request, where the nodes know tenants.
    tenant: Option<&'static str>,
    /// With the front that was asked.
    tried: Vec<(SocketAddr, Tried)>,
    refused: Vec<(SocketAddr, u64)>,
}

/// The end of a process by the rig, in Unix ms: what was asked before it and had no answer by then was asked
/// of the dead.
#[derive(Clone, Copy, Debug)]
pub struct Death {
    pub front: SocketAddr,
    pub at: u64,
    /// What was sent before this is owed an answer all the same: one that leaves answers what it has read.
    pub owed_before: u64,
}
/// What came before an end may have been written to the dead process.
const BEFORE: u64 = 1_000;

impl Caller {
    fn ask(&mut self, front: SocketAddr, key: Option<&str>) -> Option<Seen> {
        self.nth += 1;
        let script = if key.is_some() {
            "/svc/pay"
        } else {
            "/svc/look"
        };
        let ask = Ask::new(self.nth, script, b"berth");
        let ask = key.map_or(ask.clone(), |key| ask.with("HTTP_IDEMPOTENCY_KEY", key));
        let ask = self
            .tenant
            .map_or(ask.clone(), |tenant| ask.with("HTTP_X_TENANT", tenant));
        let sent = unix_ms();
        let Ok(pending) = ask.try_send(front, Protocol::FastCgi) else {
            self.refused.push((front, sent));
            return None;
        };
        let seen = pending.seen();
        let told = Some((seen.clone(), unix_ms()));
        self.tried.push((
            front,
            Tried {
                nth: self.nth,
                idempotency_key: key.map(str::to_string),
                sent,
                told,
            },
        ));
        Some(seen)
    }

    fn run(mut self, over: &AtomicBool) -> Caller {
        while !over.load(Ordering::Relaxed) {
            let key = self
                .chance
                .bool()
                .then(|| format!("{:032x}", self.chance.u128(..)));
            let from = self.chance.usize(..self.fronts.len());
            for nth in 0..2.min(self.fronts.len()) {
                let front = self.fronts[(from + nth) % self.fronts.len()];
                match self.ask(front, key.as_deref()) {
                    // What may have run elsewhere is not asked of another: nodes share no keys yet.
                    None | Some(Seen::Rejected { .. }) => {}
                    Some(_) => break,
                }
            }
            std::thread::sleep(REST);
        }
        self
    }
}

impl Traffic {
    /// So many callers, each of which asks all of these fronts.
    pub fn start(callers: usize, fronts: &[SocketAddr], seed: u64) -> Traffic {
        Traffic::start_for(None, callers, fronts, seed)
    }

    /// As [`Traffic::start`], on behalf of a tenant that the nodes know.
    pub fn start_for(
        tenant: Option<&'static str>,
        callers: usize,
        fronts: &[SocketAddr],
        seed: u64,
    ) -> Traffic {
        let over = Arc::new(AtomicBool::new(false));
        let callers = (0..callers as u64).map(|place| {
            let caller = Caller {
                nth: (place + 1) << 32,
                chance: fastrand::Rng::with_seed(seed ^ (place << 7)),
                fronts: fronts.to_vec(),
                tenant,
                tried: Vec::new(),
                refused: Vec::new(),
            };
            let over = over.clone();
            std::thread::spawn(move || caller.run(&over))
        });
        Traffic {
            callers: callers.collect(),
            over,
        }
    }

    /// Ends the callers once each has its answer.
    pub fn end(self) -> Asked {
        self.over.store(true, Ordering::Relaxed);
        let mut asked = Asked::default();
        for caller in self.callers {
            // A caller that saw no end of its connection within its long patience has ended in a panic.
            match caller.join() {
                Ok(caller) => {
                    asked.tried.extend(caller.tried);
                    asked.refused.extend(caller.refused);
                }
                Err(_) => asked.stuck += 1,
            }
        }
        asked
    }

    /// Ends the callers once each has its answer, and judges; every breach in words. Who was ended by the rig
    /// owes no answer.
    pub fn finish(self, behind: &Behind, deaths: &[Death]) -> (Served, Vec<String>) {
        let asked = self.end();
        let ran: Vec<Ran> = behind.server.got().iter().map(Ran::from).collect();
        asked.judge(&ran, deaths)
    }
}

impl Asked {
    /// What was offered to each front, for [`crate::serving`].
    pub fn offers(&self) -> Vec<Offer> {
        let tried = self.tried.iter().map(|(front, tried)| {
            let completed_at = match tried.told {
                Some((Seen::Completed(_), at)) => Some(at),
                _ => None,
            };
            Offer {
                front: *front,
                at: tried.sent,
                completed_at,
            }
        });
        let refused = self.refused.iter().map(|(front, at)| Offer {
            front: *front,
            at: *at,
            completed_at: None,
        });
        tried.chain(refused).collect()
    }

    /// Judges by the four rules; every breach in words. Who was ended by the rig owes no answer.
    pub fn judge(self, ran: &[Ran], deaths: &[Death]) -> (Served, Vec<String>) {
        let tried: Vec<Tried> = self
            .tried
            .into_iter()
            .map(|(front, tried)| excuse(front, tried, deaths))
            .collect();
        let bounds = Bounds {
            within: WITHIN,
            closed: None,
            tries: 3,
        };
        let completed = |one: &&Tried| matches!(one.told, Some((Seen::Completed(_), _)));
        let served = Served {
            asked: tried.len(),
            completed: tried.iter().filter(completed).count(),
            unanswered: tried.iter().filter(|one| one.told.is_none()).count(),
        };
        let mut breaches = broken(&tried, ran, bounds, result);
        if self.stuck > 0 {
            breaches.push(format!(
                "rule 1: {} callers saw no end of a connection",
                self.stuck
            ));
        }
        (served, breaches)
    }
}

/// Takes a request for one whose caller left, if it was asked of a process that died before its answer.
fn excuse(front: SocketAddr, mut tried: Tried, deaths: &[Death]) -> Tried {
    let died = |at: u64| {
        let of = |death: &&Death| death.front == front && tried.sent >= death.owed_before;
        deaths
            .iter()
            .filter(of)
            .any(|death| death.at + BEFORE >= tried.sent && death.at <= at)
    };
    let owes_nothing = matches!(tried.told, Some((Seen::Nothing, at)) if died(at));
    tried.told = tried.told.filter(|_| !owes_nothing);
    tried
}
