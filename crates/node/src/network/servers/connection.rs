//! Opens and closes connections to servers.

use std::io::{self, ErrorKind};
use std::net::TcpStream;

use doortrack_protocols::ResponseReader;
use doortrack_time::TenthMillis;
use doortrack_upstream::{ConnId, RunId, ServerId};
use polling::{Event, PollMode};

use super::{PoolClient, WIRE_ID};
use crate::network::connect::connect_nonblocking;

/// A connection to a server. It carries one run at a time.
pub(super) struct ServerConnection {
    pub(super) sock: TcpStream,
    /// The connection is not established yet.
    pub(super) connecting: bool,
    /// The run that the connection carries.
    pub(super) run: Option<RunId>,
    /// Bytes of the run's request that have been written to the socket.
    pub(super) written: usize,
    pub(super) reader: ResponseReader,
    /// The poller reports when the connection can be written.
    pub(super) watching_writes: bool,
}

impl PoolClient {
    pub(super) fn connection_mut(&mut self, id: ConnId) -> Option<&mut ServerConnection> {
        self.connections.get_mut(id).and_then(Option::as_mut)
    }

    /// Starts to connect to a server.
    pub(super) fn open(&mut self, id: ConnId, server: ServerId) -> io::Result<()> {
        let address = self.addresses.get(&server).copied();
        let sock = connect_nonblocking(address.ok_or(ErrorKind::NotFound)?)?;
        // SAFETY: the socket is removed from the poller in `close`, before it is dropped.
        unsafe {
            self.poller
                .add_with_mode(&sock, Event::all(self.first_key + id), PollMode::Level)?
        };
        if self.connections.len() <= id {
            self.connections.resize_with(id + 1, || None);
        }
        self.connections[id] = Some(ServerConnection {
            sock,
            connecting: true,
            run: None,
            written: 0,
            reader: ResponseReader::new(self.protocol, WIRE_ID, self.max_response_bytes),
            watching_writes: true,
        });
        Ok(())
    }

    pub(super) fn close(&mut self, id: ConnId) {
        if let Some(connection) = self.connections.get_mut(id).and_then(Option::take) {
            _ = self.poller.delete(&connection.sock);
        }
        while self.connections.last().is_some_and(Option::is_none) {
            self.connections.pop();
        }
    }

    pub(super) fn on_connection_event(&mut self, id: ConnId, event: Event, now: TenthMillis) {
        let Some(connection) = self.connection_mut(id) else {
            return;
        };
        if connection.connecting {
            return self.on_connect_event(id, event, now);
        }
        if event.writable {
            self.write(id, now);
        }
        if event.readable {
            self.read(id, now);
        }
    }

    fn on_connect_event(&mut self, id: ConnId, event: Event, now: TenthMillis) {
        let Some(connection) = self.connection_mut(id) else {
            return;
        };
        match connection.sock.take_error() {
            Ok(None) if event.writable => {
                connection.connecting = false;
                self.pool.connected(id, now, &mut self.actions);
            }
            Ok(None) => {}
            failed => {
                self.close(id);
                self.on_open_failed(id, failed.ok().flatten(), now);
            }
        }
    }

    /// Reports to the pool that a connection could not be opened. A refused connection is reported separately, as it
    /// proves that no process listens at the address.
    pub(super) fn on_open_failed(
        &mut self,
        id: ConnId,
        error: Option<io::Error>,
        now: TenthMillis,
    ) {
        if error.is_some_and(|e| e.kind() == ErrorKind::ConnectionRefused) {
            self.pool.connect_refused(id, now, &mut self.actions);
        } else {
            self.pool.connect_failed(id, now, &mut self.actions);
        }
    }
}
