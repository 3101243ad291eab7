//! Encodes and decodes the engine's line protocol, without sockets: JSON objects, one per line.
//!
//! The protocol's own terms are used in this file only: `HALT` cancels a run, `STAT` queries the gauges, `call` is
//! an attempt's id, `service` an endpoint group, `blob` a body in base64, and `how` the detail of each message.

use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use doortrack_admission::RunOutcome;
use doortrack_time::{MILLISECOND, TenthMillis};
use serde_json::Value;
use thiserror::Error;

use super::request::AttemptId;

/// A message from the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineMessage {
    /// `HELLO`: the engine is up. All notices after the last one that the node has read follow.
    Hello {
        /// The engine started with cold caches.
        cold: bool,
        /// The time since the engine's start.
        uptime: TenthMillis,
    },
    /// `DONE`: a run has ended.
    Done {
        /// The notice's number.
        serial: u64,
        /// The attempt that ran.
        attempt_id: AttemptId,
        /// How the run ended.
        outcome: RunOutcome,
        /// The run's result; empty unless it completed.
        result: Vec<u8>,
    },
    /// `STATS`: the gauges.
    Stats {
        /// The number of the query.
        cookie: u64,
        /// The gauges' values in the order of the deployment's settings; NaN for one that is absent.
        values: Vec<f32>,
    },
    /// `NO`: a command was not carried out.
    Refused {
        /// The command.
        command: RefusedCommand,
        /// The attempt that the command referred to.
        attempt_id: Option<AttemptId>,
    },
    /// `NOTE`: a remark, which is only logged.
    Note {
        /// The notice's number.
        serial: u64,
        /// The remark.
        text: String,
    },
}

impl EngineMessage {
    /// Returns the number of a notice; other messages have none.
    pub fn serial(&self) -> Option<u64> {
        match self {
            EngineMessage::Done { serial, .. } | EngineMessage::Note { serial, .. } => {
                Some(*serial)
            }
            _ => None,
        }
    }
}

/// A command that the engine did not carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RefusedCommand {
    /// `RUN`.
    Run,
    /// Any other command, by its name in the protocol.
    Other(String),
}

impl fmt::Display for RefusedCommand {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RefusedCommand::Run => f.write_str("RUN"),
            RefusedCommand::Other(word) => f.write_str(word),
        }
    }
}

/// Why a line from the engine cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LineError {
    /// The line is not a JSON value.
    #[error("not JSON")]
    NotJson,
    /// The line has no message type.
    #[error("no msg field")]
    NoMessageType,
    /// The message type is unknown.
    #[error("unknown msg")]
    UnknownMessageType,
    /// A field is absent or has the wrong type.
    #[error("{message} without {field}")]
    Missing {
        /// The message type.
        message: &'static str,
        /// The field.
        field: &'static str,
    },
    /// `HELLO` does not tell whether the engine started with cold caches.
    #[error("HELLO is neither COLD nor WARM")]
    UnknownStartState,
}

/// Encodes `ATTACH`, the first command on a link; `serial` is the number of the last notice that was read.
pub fn write_attach(out: &mut Vec<u8>, serial: u64) {
    out.extend(format!("{{\"msg\":\"ATTACH\",\"serial\":{serial}}}\n").bytes());
}

/// Encodes `RUN`. `group` is the endpoint group's name as a JSON string.
pub fn write_run(out: &mut Vec<u8>, attempt_id: &AttemptId, group: &str, body: &[u8]) {
    out.extend(b"{\"msg\":\"RUN\",\"call\":\"");
    out.extend(attempt_id);
    out.extend(b"\",\"service\":");
    out.extend(group.bytes());
    out.extend(b",\"blob\":\"");
    out.extend(STANDARD.encode(body).bytes());
    out.extend(b"\"}\n");
}

/// Encodes `HALT`, which cancels a run.
pub fn write_cancel(out: &mut Vec<u8>, attempt_id: &AttemptId) {
    out.extend(b"{\"msg\":\"HALT\",\"call\":\"");
    out.extend(attempt_id);
    out.extend(b"\"}\n");
}

/// Encodes `STAT`, which queries the gauges; the answer carries `cookie`.
pub fn write_gauge_query(out: &mut Vec<u8>, cookie: u64) {
    out.extend(format!("{{\"msg\":\"STAT\",\"cookie\":\"{cookie}\"}}\n").bytes());
}

/// Decodes one line.
///
/// # Errors
/// The line is not a valid message.
pub fn read(line: &[u8]) -> Result<EngineMessage, LineError> {
    let object: Value = serde_json::from_slice(line).map_err(|_| LineError::NotJson)?;
    let message = object.get("msg").and_then(Value::as_str);
    match message.ok_or(LineError::NoMessageType)? {
        "HELLO" => read_hello(&Fields::new("HELLO", &object)),
        "DONE" => read_done(&Fields::new("DONE", &object)),
        "STATS" => read_stats(&Fields::new("STATS", &object)),
        "NO" => read_refusal(&Fields::new("NO", &object)),
        "NOTE" => read_note(&Fields::new("NOTE", &object)),
        _ => Err(LineError::UnknownMessageType),
    }
}

fn read_hello(fields: &Fields) -> Result<EngineMessage, LineError> {
    let uptime_ms = fields.required("duration", Value::as_f64)?;
    let cold = match fields.text("how") {
        Some("COLD") => true,
        Some("WARM") => false,
        _ => return Err(LineError::UnknownStartState),
    };
    Ok(EngineMessage::Hello {
        cold,
        uptime: (uptime_ms * MILLISECOND as f64) as TenthMillis,
    })
}

fn read_done(fields: &Fields) -> Result<EngineMessage, LineError> {
    let result = fields
        .text("blob")
        .map_or(Ok(Vec::new()), |blob| STANDARD.decode(blob));
    let outcome = match (fields.required("how", Value::as_str)?, &result) {
        ("OK", Ok(_)) => RunOutcome::Completed,
        ("STOPPED", _) => RunOutcome::Cancelled,
        ("MOOT", _) => RunOutcome::NotStarted,
        // The run has also ended if the outcome is unknown or the result cannot be decoded.
        _ => RunOutcome::Failed,
    };
    Ok(EngineMessage::Done {
        serial: fields.required("serial", Value::as_u64)?,
        attempt_id: fields.attempt_id().ok_or(fields.missing("call"))?,
        outcome,
        result: result.unwrap_or_default(),
    })
}

fn read_stats(fields: &Fields) -> Result<EngineMessage, LineError> {
    let cookie = fields.text("cookie").and_then(|text| text.parse().ok());
    let cookie = cookie.ok_or(fields.missing("cookie"))?;
    let gauges = fields.required("stats", Value::as_array)?;
    let number = |gauge: &Value| gauge.as_f64().map_or(f32::NAN, |number| number as f32);
    Ok(EngineMessage::Stats {
        cookie,
        values: gauges.iter().map(number).collect(),
    })
}

fn read_refusal(fields: &Fields) -> Result<EngineMessage, LineError> {
    let command = match fields.required("how", Value::as_str)? {
        "RUN" => RefusedCommand::Run,
        word => RefusedCommand::Other(word.to_string()),
    };
    Ok(EngineMessage::Refused {
        command,
        attempt_id: fields.attempt_id(),
    })
}

fn read_note(fields: &Fields) -> Result<EngineMessage, LineError> {
    Ok(EngineMessage::Note {
        serial: fields.required("serial", Value::as_u64)?,
        text: fields.text("how").unwrap_or_default().to_string(),
    })
}

/// The fields of one message.
struct Fields<'a> {
    message: &'static str,
    object: &'a Value,
}

impl<'a> Fields<'a> {
    fn new(message: &'static str, object: &'a Value) -> Self {
        Fields { message, object }
    }

    fn text(&self, field: &str) -> Option<&'a str> {
        self.object.get(field).and_then(Value::as_str)
    }

    fn required<T>(
        &self,
        field: &'static str,
        read: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Result<T, LineError> {
        self.object
            .get(field)
            .and_then(read)
            .ok_or(self.missing(field))
    }

    fn attempt_id(&self) -> Option<AttemptId> {
        let text = self.text("call")?;
        AttemptId::try_from(text.as_bytes()).ok()
    }

    fn missing(&self, field: &'static str) -> LineError {
        LineError::Missing {
            message: self.message,
            field,
        }
    }
}
