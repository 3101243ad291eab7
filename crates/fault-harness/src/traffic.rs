//! Callers that send requests to nodes over FastCGI during a run, and the application server behind all
//! nodes. The records of both are checked against the four rules.

mod caller;
mod records;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use doortrack_fakes::rules::ExecutedRun;
use doortrack_fakes::server::{Behavior, Server};
use doortrack_protocols::Protocol;
use serde_json::{Value, json};

use self::caller::Caller;

pub use records::{CallerRecords, ProcessExit, TrafficCounts};

/// Time for which a node waits for an answer of the server, in ms.
const SERVER_TIMEOUT_MS: u64 = 3_000;
/// The server's concurrency limit in the installation file.
const SERVER_CONCURRENCY: u32 = 8;
/// Run time of a request.
const RUN_TIME: Duration = Duration::from_millis(3);

/// The application server behind all nodes.
pub struct Backend {
    server: Server,
}

/// The body of the answer to an attempt. The rules require it of any server.
pub fn expected_body(attempt_id: &str) -> Vec<u8> {
    format!("of {attempt_id}").into_bytes()
}

impl Backend {
    /// Starts the server.
    pub fn start() -> Backend {
        let server = Server::start(Protocol::FastCgi, |request| Behavior::Answer {
            status: "200 OK",
            body: expected_body(&ExecutedRun::from(request).attempt_id),
            after: RUN_TIME,
        });
        Backend { server }
    }

    /// The server's address.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// The part of a node's installation file that names the server, which it reaches at `address`.
    pub fn installation(&self, address: SocketAddr) -> Value {
        json!({"servers": {
            "protocol": "fastcgi",
            "addresses": [address.to_string()],
            "at_once": SERVER_CONCURRENCY,
            "answer_within_ms": SERVER_TIMEOUT_MS,
        }})
    }
}

/// Running callers.
pub struct Traffic {
    is_over: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Caller>>,
}

impl Traffic {
    /// Starts callers, each of which sends requests to all of these listeners.
    pub fn start(callers: usize, listeners: &[SocketAddr], seed: u64) -> Traffic {
        Traffic::start_for(None, callers, listeners, seed)
    }

    /// As [`Traffic::start`], on behalf of a tenant that the nodes know.
    pub fn start_for(
        tenant: Option<&'static str>,
        callers: usize,
        listeners: &[SocketAddr],
        seed: u64,
    ) -> Traffic {
        let is_over = Arc::new(AtomicBool::new(false));
        let callers = (0..callers as u64).map(|index| {
            let caller = Caller::new(index, seed, listeners, tenant);
            let is_over = is_over.clone();
            std::thread::spawn(move || caller.run(&is_over))
        });
        Traffic {
            callers: callers.collect(),
            is_over,
        }
    }

    /// Stops the callers and waits for their last answers.
    pub fn stop(self) -> CallerRecords {
        self.is_over.store(true, Ordering::Relaxed);
        let mut records = CallerRecords::default();
        for caller in self.callers {
            // A caller whose connection did not end within its long timeout has panicked.
            match caller.join() {
                Ok(caller) => caller.add_to(&mut records),
                Err(_) => records.stalled += 1,
            }
        }
        records
    }

    /// Stops the callers, waits for their last answers, and checks the records against the four rules. Returns
    /// the violations, described. Requests to processes that exited need no answer.
    pub fn finish(self, backend: &Backend, exits: &[ProcessExit]) -> (TrafficCounts, Vec<String>) {
        let records = self.stop();
        let ran: Vec<ExecutedRun> = backend
            .server
            .received()
            .iter()
            .map(ExecutedRun::from)
            .collect();
        records.judge(&ran, exits)
    }
}
