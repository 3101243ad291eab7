//! Checks the node's rules from outside: compares what callers were answered with what was run.

use std::collections::BTreeMap;

use crate::attempt_id;
use crate::caller::CallerOutcome;
use crate::server::ReceivedRequest;

/// One attempt as its caller recorded it. Times are in Unix ms.
#[derive(Clone, Debug)]
pub struct CallerAttempt {
    pub attempt_number: u64,
    /// The idempotency key, if requests of its endpoint group are deduplicated.
    pub idempotency_key: Option<String>,
    pub sent: u64,
    /// The outcome and its time; `None` if the caller left before the answer.
    pub outcome: Option<(CallerOutcome, u64)>,
}

/// One run as the engine or server that executed it recorded it.
#[derive(Clone, Debug)]
pub struct ExecutedRun {
    pub attempt_id: String,
    pub idempotency_key: Option<String>,
    pub at: u64,
}

impl From<&ReceivedRequest> for ExecutedRun {
    /// Reads a run from the request that an application server received. The attempt id is empty if the request had none.
    fn from(request: &ReceivedRequest) -> ExecutedRun {
        let text = |name: &str| {
            request
                .variable(name)
                .map(|value| String::from_utf8_lossy(value).into_owned())
        };
        let attempt_id = text("HTTP_X_REQUEST_ID").unwrap_or_default();
        ExecutedRun {
            attempt_id,
            idempotency_key: text("HTTP_IDEMPOTENCY_KEY"),
            at: request.received_at_ms,
        }
    }
}

/// The limits that the node had to keep to.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The deadline of a request plus an allowance for a slow machine, in ms.
    pub max_latency_ms: u64,
    /// Unix ms after which no newly sent request may be run: the end of notice and grace if the node was drained.
    pub accepts_until_ms: Option<u64>,
    /// Maximum number of runs of one attempt id, retries included.
    pub max_attempts: usize,
}

/// Runs by an idempotency key or an attempt id.
type RunsById<'a> = BTreeMap<&'a str, Vec<&'a ExecutedRun>>;

/// Describes each key that ran more than once, and each attempt that ran more than `max_attempts` times.
fn repeated_runs(by_key: &RunsById, by_attempt: &RunsById, max_attempts: usize) -> Vec<String> {
    let repeated_keys = by_key.iter().filter(|(_, runs)| runs.len() > 1);
    let mut violations: Vec<String> = repeated_keys
        .map(|(key, runs)| format!("rule 2: {key} ran {} times: {runs:?}", runs.len()))
        .collect();
    let repeated_attempts = by_attempt
        .iter()
        .filter(|(_, runs)| runs.len() > max_attempts);
    violations.extend(
        repeated_attempts
            .map(|(attempt_id, runs)| format!("{attempt_id} was run {} times", runs.len())),
    );
    violations
}

/// Describes every violation of the rules. `result` gives the expected result of a run of an attempt id.
pub fn find_violations(
    attempts: &[CallerAttempt],
    executed: &[ExecutedRun],
    bounds: Bounds,
    result: impl Fn(&str) -> Vec<u8>,
) -> Vec<String> {
    let mut violations = Vec::new();
    let mut by_key: RunsById = BTreeMap::new();
    let mut by_attempt: RunsById = BTreeMap::new();
    for run in executed {
        by_attempt.entry(&run.attempt_id).or_default().push(run);
        if let Some(key) = &run.idempotency_key {
            by_key.entry(key).or_default().push(run);
        }
    }
    violations.extend(repeated_runs(&by_key, &by_attempt, bounds.max_attempts));
    for attempt in attempts {
        let id = attempt_id(attempt.attempt_number);
        let runs: Vec<&ExecutedRun> = match &attempt.idempotency_key {
            Some(key) => by_key.get(key.as_str()).cloned().unwrap_or_default(),
            None => by_attempt.get(id.as_str()).cloned().unwrap_or_default(),
        };
        if bounds
            .accepts_until_ms
            .is_some_and(|until| attempt.sent > until && by_attempt.contains_key(id.as_str()))
        {
            violations.push(format!("rule 3: {id} was sent after the grace, and run"));
        }
        let Some((outcome, answered_at)) = &attempt.outcome else {
            continue;
        };
        match outcome {
            CallerOutcome::Nothing => {
                let waited_ms = answered_at.saturating_sub(attempt.sent);
                let ran = by_attempt.contains_key(id.as_str());
                violations.push(format!(
                    "rule 1: {id} was not answered within {waited_ms} ms, sent at {}, ran: {ran}",
                    attempt.sent
                ));
            }
            _ if *answered_at > attempt.sent + bounds.max_latency_ms => {
                violations.push(format!(
                    "rule 1: {id} was answered {} ms after it was sent",
                    answered_at - attempt.sent
                ));
            }
            CallerOutcome::Rejected { .. } if runs.iter().any(|run| run.at < attempt.sent) => {
                violations.push(format!("rule 2: {id} was rejected after its key had run"));
            }
            CallerOutcome::Rejected { .. } if by_attempt.contains_key(id.as_str()) => {
                violations.push(format!("rule 2: {id} was run and rejected"));
            }
            CallerOutcome::Completed(body)
                if !runs.iter().any(|run| *body == result(&run.attempt_id)) =>
            {
                violations.push(format!(
                    "{id} got a result that none of its runs had: {}",
                    String::from_utf8_lossy(body)
                ));
            }
            _ => {}
        }
    }
    violations
}
