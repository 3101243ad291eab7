//! Sends commands on the link to the engine and handles its messages.

use doortrack_time::MILLISECOND;
use slog::{info, warn};

use super::{EngineLink, LinkError, State};
use crate::network::backend::BackendEvent;
use crate::network::engine_protocol::{self, EngineMessage};
use crate::network::request::AttemptId;

impl EngineLink {
    /// Queries the gauges. Returns the query's number, which the answer carries.
    pub fn query_gauges(&mut self) -> u64 {
        self.last_cookie += 1;
        engine_protocol::write_gauge_query(&mut self.out, self.last_cookie);
        self.last_cookie
    }

    /// Begins a run; `group` is the endpoint group's name as JSON. Returns the number of the last gauge query sent
    /// before the run: once a later query is answered, the engine has received the run.
    pub fn run(&mut self, attempt_id: &AttemptId, group: &str, body: &[u8]) -> u64 {
        engine_protocol::write_run(&mut self.out, attempt_id, group, body);
        self.last_cookie
    }

    /// Cancels a run.
    pub fn cancel(&mut self, attempt_id: &AttemptId) {
        engine_protocol::write_cancel(&mut self.out, attempt_id);
    }

    /// Handles one line.
    ///
    /// # Errors
    /// The node has to reconnect, so that the engine repeats missed notices.
    pub(super) fn on_line(
        &mut self,
        line: &[u8],
        events: &mut Vec<BackendEvent>,
    ) -> Result<(), LinkError> {
        let message = match engine_protocol::read(line) {
            Ok(message) => message,
            Err(error) => {
                warn!(self.log, "engine line ignored"; "why" => %error);
                return self.reconnect_once(LinkError::UnreadableLine);
            }
        };
        if self.is_repeated(&message)? {
            return Ok(());
        }
        self.on_message(message, events)
    }

    /// Returns true if a message is a notice that has been read before, on this connection or an earlier one. The
    /// number of a new notice is recorded.
    fn is_repeated(&mut self, message: &EngineMessage) -> Result<bool, LinkError> {
        let Some(serial) = message.serial() else {
            return Ok(false);
        };
        if serial <= self.last_serial {
            return Ok(true);
        }
        if serial > self.last_serial + 1 {
            self.reconnect_once(LinkError::MissingNotices)?;
        }
        self.last_serial = serial;
        Ok(false)
    }

    fn on_message(
        &mut self,
        message: EngineMessage,
        events: &mut Vec<BackendEvent>,
    ) -> Result<(), LinkError> {
        match message {
            EngineMessage::Hello { cold, uptime } if self.state == State::Attaching => {
                info!(self.log, "engine attached"; "cold" => cold, "age_ms" => uptime / MILLISECOND, "last" => self.last_serial);
                self.unreachable_logged = false;
                events.push(BackendEvent::Up { cold, uptime });
                let cookie = self.query_gauges();
                self.state = State::CatchingUp { cookie };
            }
            EngineMessage::Hello { .. } => return self.reconnect_once(LinkError::UnexpectedHello),
            EngineMessage::Stats { cookie, .. } if self.state == (State::CatchingUp { cookie }) => {
                self.state = State::Up;
                let answered_cookie = std::mem::replace(&mut self.answered_cookie, cookie);
                events.push(BackendEvent::CaughtUp { answered_cookie });
            }
            EngineMessage::Stats { cookie, .. } => {
                let cookie = cookie.min(self.last_cookie);
                self.answered_cookie = self.answered_cookie.max(cookie);
                events.push(BackendEvent::EngineMessage(message));
            }
            EngineMessage::Note { text, .. } => info!(self.log, "engine remark"; "text" => text),
            _ => events.push(BackendEvent::EngineMessage(message)),
        }
        Ok(())
    }

    /// Returns the error, so that the node reconnects, once for each position in the sequence of notices. If the
    /// error recurs at the same position, it is ignored.
    fn reconnect_once(&mut self, error: LinkError) -> Result<(), LinkError> {
        let is_repeated = self.reconnected_at_serial == Some(self.last_serial);
        self.reconnected_at_serial = Some(self.last_serial);
        if is_repeated { Ok(()) } else { Err(error) }
    }
}
