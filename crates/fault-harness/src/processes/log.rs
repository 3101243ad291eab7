//! Reads the log of a process.

use std::io::{BufRead, BufReader, Read};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use serde_json::Value;

use crate::history::{History, HistoryEvent, current_name};

/// Message of the log lines that report member changes.
const MEMBER_MESSAGE: &str = "member";

/// Copies the member changes in a process's log to the history, until the log ends.
pub(super) fn record_member_changes(
    node: usize,
    output: impl Read,
    history: &Mutex<History>,
    began: Instant,
) {
    for line in BufReader::new(output).lines().map_while(Result::ok) {
        if let Some(event) = member_change(node, &line) {
            let at_ms = began.elapsed().as_millis() as u64;
            history
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .record(at_ms, event);
        }
    }
}

/// Parses the member change in a JSON log line, of this or an earlier build.
fn member_change(node: usize, line: &str) -> Option<HistoryEvent> {
    let line: Value = serde_json::from_str(line).ok()?;
    if line["msg"] != MEMBER_MESSAGE {
        return None;
    }
    // The current key comes first, then that of earlier builds.
    let text = |keys: &[&str]| {
        let value = keys.iter().find_map(|key| line[*key].as_str());
        value.map(str::to_string)
    };
    let number = |key: &str| line[key].as_u64().unwrap_or_default();
    Some(HistoryEvent::MemberChange {
        node,
        change: text(&["change", "what"])
            .map_or(String::new(), |change| current_name(&change).to_string()),
        member: text(&["member", "of"]),
        incarnation: text(&["incarnation", "life"]),
        view: number("view"),
        members: number("members") as usize,
    })
}
