//! Encodes the reply to a batch: the length of the records, and one record per action.

use doortrack_admission::Action;
use doortrack_time::{TenthMillis, to_micros};

use crate::codes::action;

/// Size of a reply header: a `u32` with the length of the records.
const HEADER_BYTES: usize = 4;

/// A buffer for one reply, reused for further replies.
pub struct Reply {
    bytes: Vec<u8>,
}

impl Reply {
    /// Creates a reply without actions.
    pub fn new() -> Reply {
        Reply {
            bytes: vec![0; HEADER_BYTES],
        }
    }

    /// Removes all actions.
    pub fn clear(&mut self) {
        self.bytes.truncate(HEADER_BYTES);
    }

    /// Completes the header and returns the bytes of the reply; `None` if the length of the records does not fit
    /// into the header.
    pub fn finish(&mut self) -> Option<&[u8]> {
        let length = u32::try_from(self.bytes.len() - HEADER_BYTES).ok()?;
        self.bytes[..HEADER_BYTES].copy_from_slice(&length.to_le_bytes());
        Some(&self.bytes)
    }

    /// Appends the record of a node's action.
    pub fn push(&mut self, node: u32, action: &Action) {
        match *action {
            Action::Run { id } => self.request_record(action::TAKE, node, id),
            Action::Reject {
                id,
                no_retry_elsewhere,
                retry_after,
            } => {
                self.request_record(action::OVERLOAD_REPLY, node, id);
                self.boolean(no_retry_elsewhere);
                self.duration(retry_after);
            }
            Action::Fail { id } => self.request_record(action::LOSE, node, id),
            Action::Cancel { id } => self.request_record(action::HALT, node, id),
            Action::Call { id, timeout } => {
                self.request_record(action::INVOKE, node, id);
                self.duration(timeout);
            }
            Action::SkipCall { id } => self.request_record(action::GO_ON, node, id),
            Action::Record { id, ttl } => {
                self.request_record(action::RECORD_KEY, node, id);
                self.duration(ttl);
            }
            Action::Forget { id } => self.request_record(action::RELEASE_KEY, node, id),
            Action::Attach { id } => self.request_record(action::ATTACH, node, id),
            Action::Health { cached, healthy } => {
                self.record(action::FITNESS, node);
                self.boolean(cached);
                self.boolean(healthy);
            }
            Action::Backpressure { value } => {
                self.record(action::STAMP, node);
                self.bytes.extend(value.to_le_bytes());
            }
            Action::IdleTimeout { timeout } => {
                self.record(action::KEEPALIVE, node);
                self.duration(timeout);
            }
            Action::SetTimer { at, token } => {
                self.record(action::DEFER, node);
                self.bytes.extend(to_micros(at).to_le_bytes());
                self.bytes.extend(token.to_le_bytes());
            }
        }
    }

    /// Appends the fields with which each record begins.
    fn record(&mut self, code: u8, node: u32) {
        self.bytes.push(code);
        self.bytes.extend(node.to_le_bytes());
    }

    /// Appends the fields with which each record about a request begins.
    fn request_record(&mut self, code: u8, node: u32, id: u32) {
        self.record(code, node);
        self.bytes.extend(id.to_le_bytes());
    }

    fn boolean(&mut self, value: bool) {
        self.bytes.push(value.into());
    }

    /// Appends a duration in microseconds, saturating at [`u32::MAX`].
    fn duration(&mut self, duration: TenthMillis) {
        let micros = u32::try_from(to_micros(duration)).unwrap_or(u32::MAX);
        self.bytes.extend(micros.to_le_bytes());
    }
}
