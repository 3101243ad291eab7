//! Lines to and from the engine, written and read without sockets.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use doortrack_admission::RunOutcome;
use doortrack_time::TenthMillis;
use serde_json::Value;

use super::request::AttemptId;

#[derive(Clone, Debug, PartialEq)]
pub enum EngineMessage {
    Hello {
        cold: bool,
        age: TenthMillis,
    },
    Done {
        serial: u64,
        attempt_id: AttemptId,
        outcome: RunOutcome,
        result: Vec<u8>,
    },
    Stats {
        cookie: u64,
        values: Vec<f32>,
    },
    /// A command that was not carried out.
    Not {
        command: String,
        attempt_id: Option<AttemptId>,
    },
    Note {
        serial: u64,
        text: String,
    },
}

impl EngineMessage {
    pub fn serial(&self) -> Option<u64> {
        match self {
            EngineMessage::Done { serial, .. } | EngineMessage::Note { serial, .. } => {
                Some(*serial)
            }
            _ => None,
        }
    }
}

pub fn attach(out: &mut Vec<u8>, serial: u64) {
    out.extend(format!("{{\"msg\":\"ATTACH\",\"serial\":{serial}}}\n").bytes());
}

/// `group` is the endpoint group's name, already written as JSON.
pub fn run(out: &mut Vec<u8>, attempt_id: &AttemptId, group: &str, body: &[u8]) {
    out.extend(b"{\"msg\":\"RUN\",\"call\":\"");
    out.extend(attempt_id);
    out.extend(b"\",\"service\":");
    out.extend(group.bytes());
    out.extend(b",\"blob\":\"");
    out.extend(STANDARD.encode(body).bytes());
    out.extend(b"\"}\n");
}

pub fn halt(out: &mut Vec<u8>, attempt_id: &AttemptId) {
    out.extend(b"{\"msg\":\"HALT\",\"call\":\"");
    out.extend(attempt_id);
    out.extend(b"\"}\n");
}

pub fn stat(out: &mut Vec<u8>, cookie: u64) {
    out.extend(format!("{{\"msg\":\"STAT\",\"cookie\":\"{cookie}\"}}\n").bytes());
}

/// One line; the error names what is wrong with it.
pub fn read(line: &[u8]) -> Result<EngineMessage, &'static str> {
    let value: Value = serde_json::from_slice(line).map_err(|_| "not JSON")?;
    let word = |key: &str| value.get(key).and_then(Value::as_str);
    let whole = |key: &str| value.get(key).and_then(Value::as_u64);
    let attempt_id = || word("call").and_then(|id| AttemptId::try_from(id.as_bytes()).ok());
    match word("msg").ok_or("no msg")? {
        "HELLO" => {
            let age = value
                .get("duration")
                .and_then(Value::as_f64)
                .ok_or("HELLO without duration")?;
            let cold = match word("how") {
                Some("COLD") => true,
                Some("WARM") => false,
                _ => return Err("HELLO that is neither COLD nor WARM"),
            };
            Ok(EngineMessage::Hello {
                cold,
                age: (age * 10.0) as TenthMillis,
            })
        }
        "DONE" => {
            let result = word("blob").map_or(Ok(Vec::new()), |blob| STANDARD.decode(blob));
            let outcome = match (word("how").ok_or("DONE without how")?, &result) {
                ("OK", Ok(_)) => RunOutcome::Completed,
                ("STOPPED", _) => RunOutcome::Cancelled,
                ("MOOT", _) => RunOutcome::NotStarted,
                // An end that can't be read, or a result that can't, is an end all the same.
                _ => RunOutcome::Failed,
            };
            let serial = whole("serial").ok_or("DONE without serial")?;
            let attempt_id = attempt_id().ok_or("DONE without call")?;
            Ok(EngineMessage::Done {
                serial,
                attempt_id,
                outcome,
                result: result.unwrap_or_default(),
            })
        }
        "STATS" => {
            let cookie = word("cookie")
                .and_then(|c| c.parse().ok())
                .ok_or("STATS without cookie")?;
            let stats = value
                .get("stats")
                .and_then(Value::as_array)
                .ok_or("STATS without stats")?;
            // A value that is no number reads as none, so that it is taken for an absent gauge.
            let number = |v: &Value| v.as_f64().map_or(f32::NAN, |n| n as f32);
            Ok(EngineMessage::Stats {
                cookie,
                values: stats.iter().map(number).collect(),
            })
        }
        "NO" => {
            let command = word("how").ok_or("NO without how")?.to_string();
            Ok(EngineMessage::Not {
                command,
                attempt_id: attempt_id(),
            })
        }
        "NOTE" => {
            let serial = whole("serial").ok_or("NOTE without serial")?;
            Ok(EngineMessage::Note {
                serial,
                text: word("how").unwrap_or_default().to_string(),
            })
        }
        _ => Err("unknown msg"),
    }
}
