//! A caller, which sends requests and records their outcomes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use doortrack_fakes::caller::{CallerOutcome, CallerRequest};
use doortrack_fakes::rules::CallerAttempt;
use doortrack_fakes::unix_ms;
use doortrack_protocols::Protocol;

use super::CallerRecords;

/// Pause after each request, which leaves processor time to the nodes.
const PAUSE: Duration = Duration::from_millis(40);
/// Greatest number of listeners to which one request is sent.
const MAX_LISTENERS: usize = 2;
/// Attempts of one caller are numbered from its index shifted by this, so that no two callers share one.
const ATTEMPT_CALLER_SHIFT: u32 = 32;

/// A caller, which sends requests to randomly chosen nodes. A request that is rejected or finds no listener is sent
/// once more, to the next node, under the same idempotency key.
pub(super) struct Caller {
    last_attempt: u64,
    random: fastrand::Rng,
    listeners: Vec<SocketAddr>,
    /// The tenant that each request names, if any.
    tenant: Option<&'static str>,
    /// Requests, each with the listener that it was sent to.
    requests: Vec<(SocketAddr, CallerAttempt)>,
    refused: Vec<(SocketAddr, u64)>,
}

impl Caller {
    pub(super) fn new(
        index: u64,
        seed: u64,
        listeners: &[SocketAddr],
        tenant: Option<&'static str>,
    ) -> Caller {
        Caller {
            last_attempt: (index + 1) << ATTEMPT_CALLER_SHIFT,
            random: fastrand::Rng::with_seed(seed ^ (index << 7)),
            listeners: listeners.to_vec(),
            tenant,
            requests: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Sends requests until `is_over`.
    pub(super) fn run(mut self, is_over: &AtomicBool) -> Caller {
        while !is_over.load(Ordering::Relaxed) {
            let key = self
                .random
                .bool()
                .then(|| format!("{:032x}", self.random.u128(..)));
            let first = self.random.usize(..self.listeners.len());
            for offset in 0..MAX_LISTENERS.min(self.listeners.len()) {
                let listener = self.listeners[(first + offset) % self.listeners.len()];
                match self.send(listener, key.as_deref()) {
                    None | Some(CallerOutcome::Rejected { .. }) => {}
                    // The request may have run, and nodes share no idempotency keys.
                    Some(_) => break,
                }
            }
            std::thread::sleep(PAUSE);
        }
        self
    }

    /// Sends one request. Returns its outcome, or `None` if the connection was refused.
    fn send(&mut self, listener: SocketAddr, key: Option<&str>) -> Option<CallerOutcome> {
        self.last_attempt += 1;
        let path = if key.is_some() {
            "/svc/pay"
        } else {
            "/svc/look"
        };
        let mut request = CallerRequest::new(self.last_attempt, path, b"berth");
        if let Some(key) = key {
            request = request.with("HTTP_IDEMPOTENCY_KEY", key);
        }
        if let Some(tenant) = self.tenant {
            request = request.with("HTTP_X_TENANT", tenant);
        }
        let sent = unix_ms();
        let Ok(pending) = request.try_send(listener, Protocol::FastCgi) else {
            self.refused.push((listener, sent));
            return None;
        };
        let answer = pending.outcome();
        let record = CallerAttempt {
            attempt_number: self.last_attempt,
            idempotency_key: key.map(str::to_string),
            sent,
            outcome: Some((answer.clone(), unix_ms())),
        };
        self.requests.push((listener, record));
        Some(answer)
    }

    /// Appends what the caller recorded.
    pub(super) fn add_to(self, records: &mut CallerRecords) {
        records.requests.extend(self.requests);
        records.refused.extend(self.refused);
    }
}
