//! What clients recorded of their requests, judged by the four rules.

use doortrack_fakes::caller::CallerOutcome;
use doortrack_fakes::rules::{Bounds, CallerAttempt, ExecutedRun, find_violations};
use serde::Serialize;

use crate::traffic::expected_body;

/// A request that meets the orderly end of its connection, in ms. It was written when the end was on its way, so nobody
/// read it.
const CROSSING_MS: u64 = 20;
/// What may be added to the grace after the notice, in ms, until a request that is sent must not run.
const NOTICE_MARGIN_MS: u64 = 150;
/// The deadline of both endpoint groups of the fixture's configuration, and what a slow machine may add, in ms.
const MAX_ANSWER_MS: u64 = 30_000 + 10_000;
/// Attempts that a node may make of one request.
const MAX_ATTEMPTS: usize = 3;

/// How a connection ended before an answer was whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// In order.
    Closed,
    /// By a reset.
    Reset,
    /// Not within the client's long timeout.
    TimedOut,
}

/// A request that was written whole. Times are in Unix ms.
#[derive(Clone, Debug)]
pub(super) struct RequestRecord {
    pub(super) number: u64,
    pub(super) idempotency_key: Option<String>,
    /// When its last byte was written.
    pub(super) sent: u64,
    /// When the answer, or the connection, ended.
    pub(super) answered: u64,
    pub(super) outcome: CallerOutcome,
    /// Whether any byte of an answer came.
    pub(super) is_begun: bool,
    /// How the connection ended, if it did.
    pub(super) end: Option<ConnectionEnd>,
}

/// When the node was told to shut down and when it was killed, in Unix ms.
#[derive(Clone, Copy, Debug)]
pub(super) struct DrainTimes {
    pub(super) told: u64,
    pub(super) killed: u64,
    /// Time after the notice in which requests may still run, in ms.
    pub(super) grace_ms: u64,
}

/// What became of the requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DrainCounts {
    /// Written whole.
    pub sent: usize,
    /// Of these, after the node was told to shut down.
    pub sent_in_drain: usize,
    /// Answered with a result.
    pub completed: usize,
    /// Told that they did not run.
    pub rejected: usize,
    /// Told that they failed.
    pub failed: usize,
    /// Met the orderly end of their connection, and did not run.
    pub crossed: usize,
}

/// Counts what became of the requests, and describes what breaks a rule.
pub(super) fn judge(
    records: Vec<RequestRecord>,
    ran: &[ExecutedRun],
    times: DrainTimes,
) -> (DrainCounts, Vec<String>) {
    let mut counts = DrainCounts::default();
    let (mut attempts, mut violations) = (Vec::new(), Vec::new());
    for record in records {
        let crossed = is_crossed(&record, ran, times);
        counts.add(&record, crossed, times);
        if record.end == Some(ConnectionEnd::TimedOut) {
            violations.push(format!("rule 1: {:x} saw no end", record.number));
        }
        let late = record.answered > times.killed && record.sent < times.killed && !crossed;
        if late {
            let age = record.answered - record.sent;
            let outcome = &record.outcome;
            violations.push(format!(
                "rule 1: {:x} had {outcome:?} only after the kill, {age} ms after it was sent, by {:?}",
                record.number, record.end
            ));
        }
        attempts.push(CallerAttempt {
            attempt_number: record.number,
            idempotency_key: record.idempotency_key,
            sent: record.sent,
            outcome: (!crossed).then_some((record.outcome, record.answered)),
        });
    }
    let bounds = Bounds {
        max_latency_ms: MAX_ANSWER_MS,
        accepts_until_ms: Some(times.told + times.grace_ms + NOTICE_MARGIN_MS),
        max_attempts: MAX_ATTEMPTS,
    };
    violations.extend(find_violations(&attempts, ran, bounds, expected_body));
    (counts, violations)
}

/// Whether a request met the orderly end of its connection within the drain, and did not run: its client knows that from
/// the end, as no byte of an answer came.
fn is_crossed(record: &RequestRecord, ran: &[ExecutedRun], times: DrainTimes) -> bool {
    let id = doortrack_fakes::attempt_id(record.number);
    record.end == Some(ConnectionEnd::Closed)
        && !record.is_begun
        && record.sent >= times.told
        && record.answered <= record.sent + CROSSING_MS
        && !ran.iter().any(|run| run.attempt_id == id)
}

impl DrainCounts {
    fn add(&mut self, record: &RequestRecord, crossed: bool, times: DrainTimes) {
        self.sent += 1;
        self.sent_in_drain += usize::from(record.sent >= times.told);
        self.crossed += usize::from(crossed);
        match record.outcome {
            CallerOutcome::Completed(_) => self.completed += 1,
            CallerOutcome::Rejected { .. } => self.rejected += 1,
            CallerOutcome::Failed => self.failed += 1,
            CallerOutcome::Unreadable(..) | CallerOutcome::Nothing => {}
        }
    }
}
