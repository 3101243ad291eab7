//! The callers' records, and their check against the four rules.

use std::net::SocketAddr;

use doortrack_fakes::caller::CallerOutcome;
use doortrack_fakes::rules::{Bounds, CallerAttempt, ExecutedRun, find_violations};

use super::expected_body;
use crate::progress::Offer;

/// The deadline of both endpoint groups of the fixture's configuration, plus a margin for a slow machine, in ms.
const MAX_ANSWER_MS: u64 = 30_000 + 10_000;
/// Greatest number of attempts that a node may make for one request.
const MAX_ATTEMPTS: usize = 3;
/// A request sent this long before an exit, in ms, may have been written to the process that exited.
const EXIT_MARGIN_MS: u64 = 1_000;

/// The records of the callers.
#[derive(Debug, Default)]
pub struct CallerRecords {
    /// Requests, each with the listener that it was sent to.
    pub requests: Vec<(SocketAddr, CallerAttempt)>,
    /// Refused connections: the listener and the time in Unix ms.
    pub refused: Vec<(SocketAddr, u64)>,
    /// Number of callers whose connection did not end within their timeout.
    pub stalled: usize,
}

/// Counts of the callers' requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounts {
    /// All requests that found a connection.
    pub sent: usize,
    /// Requests that were completed.
    pub completed: usize,
    /// Requests to a process that exited before it answered.
    pub unanswered: usize,
}

/// The exit of a process that the harness caused. A request that was sent before it and not answered by then
/// needs no answer.
#[derive(Clone, Copy, Debug)]
pub struct ProcessExit {
    /// The listener to which callers sent.
    pub listener: SocketAddr,
    /// When, in Unix ms.
    pub at: u64,
    /// Requests sent before this, in Unix ms, still need an answer, as a process that shuts down
    /// gracefully answers what it has read.
    pub answers_due_before: u64,
}

impl CallerRecords {
    /// The offers to all listeners, for [`crate::progress`].
    pub fn offers(&self) -> Vec<Offer> {
        let requests = self.requests.iter().map(|(listener, request)| Offer {
            listener: *listener,
            at: request.sent,
            completed_at: completed_at(request),
        });
        let refused = self.refused.iter().map(|(listener, at)| Offer {
            listener: *listener,
            at: *at,
            completed_at: None,
        });
        requests.chain(refused).collect()
    }

    /// Checks the records against the four rules. Returns the violations, described. Requests to processes that exited need no
    /// answer.
    pub fn judge(self, ran: &[ExecutedRun], exits: &[ProcessExit]) -> (TrafficCounts, Vec<String>) {
        let requests: Vec<CallerAttempt> = self
            .requests
            .into_iter()
            .map(|(listener, request)| excuse_unanswered(listener, request, exits))
            .collect();
        let completed = requests
            .iter()
            .filter(|request| completed_at(request).is_some());
        let unanswered = requests.iter().filter(|request| request.outcome.is_none());
        let counts = TrafficCounts {
            sent: requests.len(),
            completed: completed.count(),
            unanswered: unanswered.count(),
        };
        let bounds = Bounds {
            max_latency_ms: MAX_ANSWER_MS,
            accepts_until_ms: None,
            max_attempts: MAX_ATTEMPTS,
        };
        let mut violations = find_violations(&requests, ran, bounds, expected_body);
        if self.stalled > 0 {
            violations.push(format!(
                "rule 1: {} callers saw no end of a connection",
                self.stalled
            ));
        }
        (counts, violations)
    }
}

fn completed_at(request: &CallerAttempt) -> Option<u64> {
    match request.outcome {
        Some((CallerOutcome::Completed(_), at)) => Some(at),
        _ => None,
    }
}

/// Removes the outcome of a request whose process exited before it answered.
fn excuse_unanswered(
    listener: SocketAddr,
    mut request: CallerAttempt,
    exits: &[ProcessExit],
) -> CallerAttempt {
    let has_exited = |until: u64| {
        exits.iter().any(|exit| {
            exit.listener == listener
                && request.sent >= exit.answers_due_before
                && exit.at + EXIT_MARGIN_MS >= request.sent
                && exit.at <= until
        })
    };
    let is_excused =
        matches!(request.outcome, Some((CallerOutcome::Nothing, at)) if has_exited(at));
    request.outcome = request.outcome.filter(|_| !is_excused);
    request
}
