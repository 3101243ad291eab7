//! The four rules as seen from outside a node, checked on what callers were told and what was run.

use std::collections::BTreeMap;

use crate::attempt_id;
use crate::caller::CallerOutcome;
use crate::server::ReceivedRequest;

/// One try as its caller knows it. Times are Unix ms.
#[derive(Clone, Debug)]
pub struct CallerAttempt {
    pub attempt_number: u64,
    /// The idempotency key, where it is deduplicated.
    pub idempotency_key: Option<String>,
    pub sent: u64,
    /// What it was told, and when; none where its caller left before.
    pub outcome: Option<(CallerOutcome, u64)>,
}

/// One run as who did it knows it: of which try, with which idempotency key.
#[derive(Clone, Debug)]
pub struct ExecutedRun {
    pub attempt_id: String,
    pub idempotency_key: Option<String>,
    pub at: u64,
}

impl From<&ReceivedRequest> for ExecutedRun {
    /// What an application server knows of a run: a request that named no try has none.
    fn from(got: &ReceivedRequest) -> ExecutedRun {
        let text = |name: &str| {
            got.variable(name)
                .map(|value| String::from_utf8_lossy(value).into_owned())
        };
        let attempt_id = text("HTTP_X_REQUEST_ID").unwrap_or_default();
        ExecutedRun {
            attempt_id,
            idempotency_key: text("HTTP_IDEMPOTENCY_KEY"),
            at: got.received_at_ms,
        }
    }
}

/// What the node was bound to.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The deadline, and what a slow machine may add, in ms.
    pub max_latency_ms: u64,
    /// Nothing that was sent after this may be run: notice and grace, where the node was told to leave.
    pub accepts_until_ms: Option<u64>,
    /// Tries that one repeatable request may have.
    pub max_attempts: usize,
}

/// What is broken, in words; empty where all is kept. `result` tells what a run of this try brings.
pub fn find_violations(
    tried: &[CallerAttempt],
    ran: &[ExecutedRun],
    bounds: Bounds,
    result: impl Fn(&str) -> Vec<u8>,
) -> Vec<String> {
    let mut violations = Vec::new();
    let mut by_key: BTreeMap<&str, Vec<&ExecutedRun>> = BTreeMap::new();
    let mut by_try: BTreeMap<&str, Vec<&ExecutedRun>> = BTreeMap::new();
    for run in ran {
        by_try.entry(&run.attempt_id).or_default().push(run);
        if let Some(key) = &run.idempotency_key {
            by_key.entry(key).or_default().push(run);
        }
    }
    for (key, runs) in by_key.iter().filter(|(_, runs)| runs.len() > 1) {
        violations.push(format!("rule 2: {key} ran {} times: {runs:?}", runs.len()));
    }
    for (attempt_id, runs) in by_try
        .iter()
        .filter(|(_, runs)| runs.len() > bounds.max_attempts)
    {
        violations.push(format!("{attempt_id} was tried {} times", runs.len()));
    }
    for tried in tried {
        let id = attempt_id(tried.attempt_number);
        let runs: Vec<&ExecutedRun> = match &tried.idempotency_key {
            Some(key) => by_key.get(key.as_str()).cloned().unwrap_or_default(),
            None => by_try.get(id.as_str()).cloned().unwrap_or_default(),
        };
        if bounds
            .accepts_until_ms
            .is_some_and(|closed| tried.sent > closed && by_try.contains_key(id.as_str()))
        {
            violations.push(format!(
                "rule 3: {id} was sent after notice and grace, and run"
            ));
        }
        let Some((seen, at)) = &tried.outcome else {
            continue;
        };
        match seen {
            CallerOutcome::Nothing => violations.push(format!("rule 1: {id} was told nothing")),
            _ if *at > tried.sent + bounds.max_latency_ms => {
                violations.push(format!(
                    "rule 1: {id} was told {} ms after it was sent",
                    at - tried.sent
                ));
            }
            CallerOutcome::Rejected { .. } if runs.iter().any(|run| run.at < tried.sent) => {
                violations.push(format!(
                    "rule 2: {id} was rejected, and its key had run before"
                ));
            }
            CallerOutcome::Rejected { .. } if by_try.contains_key(id.as_str()) => {
                violations.push(format!("rule 2: {id} was run and rejected"));
            }
            CallerOutcome::Completed(body)
                if !runs.iter().any(|run| *body == result(&run.attempt_id)) =>
            {
                violations.push(format!(
                    "{id} was told what no run of it brought: {}",
                    String::from_utf8_lossy(body)
                ));
            }
            _ => {}
        }
    }
    violations
}
