//! Writes requests to servers and reads their responses.

use std::io::{ErrorKind, Read, Write};

use doortrack_config::transient::is_without_effect;
use doortrack_protocols::{Protocol, Response, ResponseOutcome, ResponseReader};
use doortrack_time::TenthMillis;
use doortrack_upstream::{ConnId, ResponseEnd, RunId};
use polling::{Event, PollMode};

use super::{PoolClient, WIRE_ID};

impl PoolClient {
    /// Sends a run on an idle connection.
    pub(super) fn send(&mut self, id: ConnId, run: RunId, now: TenthMillis) {
        let reader = ResponseReader::new(self.protocol, WIRE_ID, self.max_response_bytes);
        let Some(connection) = self.connection_mut(id) else {
            return;
        };
        // This is checked right before the connection is used: if the server has closed it, the run would be lost.
        let nothing_to_read = connection
            .sock
            .peek(&mut [0])
            .is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
        if !nothing_to_read {
            return self.on_lost(id, now);
        }
        connection.run = Some(run);
        connection.written = 0;
        connection.reader = reader;
        self.write(id, now);
    }

    /// Writes as many bytes of a run's request as the socket accepts.
    pub(super) fn write(&mut self, id: ConnId, now: TenthMillis) {
        let Some(connection) = self.connections.get_mut(id).and_then(Option::as_mut) else {
            return;
        };
        let request = connection.run.and_then(|run| self.requests.get(&run));
        let request = request.map_or(&[][..], Vec::as_slice);
        while connection.written < request.len() {
            match connection.sock.write(&request[connection.written..]) {
                Ok(count) if count > 0 => {
                    if connection.written == 0 {
                        self.pool.request_sent(id);
                    }
                    connection.written += count;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_without_effect(&e) => break,
                // The server accepts no more of the request. It may already have answered, so its response is read.
                _ if connection.written > 0 => {
                    connection.written = request.len();
                    return self.read(id, now);
                }
                _ => return self.on_lost(id, now),
            }
        }
        let is_incomplete = connection.written < request.len();
        self.watch_writes(id, is_incomplete);
    }

    /// Sets whether the poller reports that a connection can be written.
    fn watch_writes(&mut self, id: ConnId, wanted: bool) {
        let connection = self.connections.get_mut(id).and_then(Option::as_mut);
        let Some(connection) = connection.filter(|found| found.watching_writes != wanted) else {
            return;
        };
        let interest = Event::new(self.first_key + id, true, wanted);
        let modified = self
            .poller
            .modify_with_mode(&connection.sock, interest, PollMode::Level);
        if modified.is_ok() {
            connection.watching_writes = wanted;
        }
    }

    /// Reads a connection once.
    pub(super) fn read(&mut self, id: ConnId, now: TenthMillis) {
        let mut buffer = std::mem::take(&mut self.read_buffer);
        self.read_into(id, &mut buffer, now);
        self.read_buffer = buffer;
    }

    fn read_into(&mut self, id: ConnId, buffer: &mut [u8], now: TenthMillis) {
        let Some(connection) = self.connection_mut(id) else {
            return;
        };
        let count = match connection.sock.read(buffer) {
            Ok(count) => count,
            Err(e) if is_without_effect(&e) => return,
            Err(_) => return self.on_lost(id, now),
        };
        // A server has nothing to send on a connection without a run, so the connection is treated as lost.
        if connection.run.is_none() {
            return self.on_lost(id, now);
        }
        if count == 0 {
            return match connection.reader.on_close() {
                Ok(response) => {
                    self.on_response(id, ResponseOutcome::Complete(response), false, now)
                }
                Err(_) => self.on_lost(id, now),
            };
        }
        let mut input = &buffer[..count];
        match connection.reader.read(&mut input) {
            Ok(Some(outcome)) => self.on_response(id, outcome, input.is_empty(), now),
            Ok(None) => {}
            Err(_) => self.on_lost(id, now),
        }
    }

    fn on_lost(&mut self, id: ConnId, now: TenthMillis) {
        self.close(id);
        self.pool.connection_lost(id, now, &mut self.actions);
    }

    /// Handles the response of a run. `nothing_left` is true if the server sent nothing after the response.
    fn on_response(
        &mut self,
        id: ConnId,
        outcome: ResponseOutcome,
        nothing_left: bool,
        now: TenthMillis,
    ) {
        let Some(connection) = self.connection_mut(id) else {
            return;
        };
        let written = connection.written;
        let Some(run) = connection.run.take() else {
            return;
        };
        let request = self.requests.get(&run);
        let all_written = request.is_some_and(|request| request.len() == written);
        let may_keep = self.keep_alive && self.protocol == Protocol::FastCgi;
        let reusable = nothing_left && all_written && may_keep;
        let end = match outcome {
            ResponseOutcome::Complete(response) => self.store_response(run, response, reusable),
            ResponseOutcome::Refused(_) => ResponseEnd::Refused { reusable },
        };
        self.pool.response_ended(id, end, now, &mut self.actions);
        self.drop_removed_servers();
    }

    /// Stores a successful response until the pool reports the end of the run.
    fn store_response(&mut self, run: RunId, response: Response, reusable: bool) -> ResponseEnd {
        let reusable = reusable && !response.excess;
        let succeeded = (200..300).contains(&response.status);
        if !succeeded {
            return ResponseEnd::Failed { reusable };
        }
        self.responses.insert(run, response);
        ResponseEnd::Completed { reusable }
    }
}
