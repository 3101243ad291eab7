//! Checks the clients' records of their requests against the four rules.

use std::net::SocketAddr;

use doortrack_fakes::caller::CallerOutcome;
use doortrack_fakes::rules::{Bounds, CallerAttempt, ExecutedRun, find_violations};
use serde::Serialize;

use crate::traffic::expected_body;

/// Longest time in ms from sending a request to seeing its connection closed, for which the request counts as sent while
/// the close was under way and never read.
const MAX_CROSSING_MS: u64 = 20;
/// Time in ms, added to the grace time after the shutdown notice, after which a request that is sent must not run.
const NOTICE_MARGIN_MS: u64 = 150;
/// The deadline of both endpoint groups of the fixture's configuration, plus a margin for a slow machine, in ms.
const MAX_ANSWER_MS: u64 = 30_000 + 10_000;
/// Greatest number of attempts that a node may make for one request.
const MAX_ATTEMPTS: usize = 3;

/// How a connection ended before an answer was whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// Closed by the peer.
    Closed,
    /// Reset by the peer.
    Reset,
    /// Not within the client's long timeout.
    TimedOut,
}

/// A request that was written completely. Times are in Unix ms.
#[derive(Clone, Debug)]
pub(super) struct RequestRecord {
    pub(super) number: u64,
    /// The client's address of the connection that carried it.
    pub(super) connection: SocketAddr,
    /// When that connection was opened.
    pub(super) opened_unix_ms: u64,
    /// The position of its end in the bytes of that connection.
    pub(super) stream_end: u64,
    pub(super) idempotency_key: Option<String>,
    /// When its last byte was written.
    pub(super) sent: u64,
    /// When the answer, or the connection, ended.
    pub(super) answered: u64,
    pub(super) outcome: CallerOutcome,
    /// Whether any byte of an answer was received.
    pub(super) has_answer_bytes: bool,
    /// How the connection ended, if it did.
    pub(super) end: Option<ConnectionEnd>,
}

/// When the node received its shutdown signal and when it was killed, in Unix ms.
#[derive(Clone, Copy, Debug)]
pub(super) struct DrainTimes {
    pub(super) shutdown_signaled: u64,
    pub(super) killed: u64,
    /// Time after the notice in which requests may still run, in ms.
    pub(super) grace_ms: u64,
    /// For how long a proxy holds back each answer, if there is one: an answer that the proxy still holds as the node
    /// closes the connection is lost with it.
    pub(super) answers_held_ms: Option<u64>,
}

/// Numbers of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DrainCounts {
    /// Written completely.
    pub sent: usize,
    /// Of these, sent after the shutdown signal.
    pub sent_in_drain: usize,
    /// Answered with a result.
    pub completed: usize,
    /// Answered that they did not run.
    pub rejected: usize,
    /// Answered that they failed.
    pub failed: usize,
    /// Sent while the node closed the connection, and not run.
    pub crossed: usize,
    /// Written by a client, and never handed to the node by the proxy between them.
    pub held_back: usize,
}

/// Counts the outcomes of the requests, and describes each violation of a rule.
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
        // A killed process writes nothing, so a whole answer had been written before the kill.
        let is_whole = record.outcome != CallerOutcome::Nothing;
        let late =
            record.answered > times.killed && record.sent < times.killed && !crossed && !is_whole;
        if late {
            let age = record.answered - record.sent;
            let outcome = &record.outcome;
            violations.push(format!(
                "rule 1: {:x} had {outcome:?} only {} ms after the kill, {age} ms after it was sent, by {:?}",
                record.number,
                record.answered - times.killed,
                record.end
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
        accepts_until_ms: Some(times.shutdown_signaled + times.grace_ms + NOTICE_MARGIN_MS),
        max_attempts: MAX_ATTEMPTS,
    };
    violations.extend(find_violations(&attempts, ran, bounds, expected_body));
    (counts, violations)
}

/// Whether a request was sent while the draining node closed its connection, and did not run. Its client can tell from
/// the close, as no byte of an answer was received.
fn is_crossed(record: &RequestRecord, ran: &[ExecutedRun], times: DrainTimes) -> bool {
    let id = doortrack_fakes::attempt_id(record.number);
    record.end == Some(ConnectionEnd::Closed)
        && !record.has_answer_bytes
        && record.sent >= times.shutdown_signaled
        && record.answered <= record.sent + MAX_CROSSING_MS + times.answers_held_ms.unwrap_or(0)
        && !ran.iter().any(|run| run.attempt_id == id)
}

impl DrainCounts {
    fn add(&mut self, record: &RequestRecord, crossed: bool, times: DrainTimes) {
        self.sent += 1;
        self.sent_in_drain += usize::from(record.sent >= times.shutdown_signaled);
        self.crossed += usize::from(crossed);
        match record.outcome {
            CallerOutcome::Completed(_) => self.completed += 1,
            CallerOutcome::Rejected { .. } => self.rejected += 1,
            CallerOutcome::Failed => self.failed += 1,
            CallerOutcome::Unreadable(..) | CallerOutcome::Nothing => {}
        }
    }
}
