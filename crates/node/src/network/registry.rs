//! Heartbeats to the registry, which lists the nodes that dispatchers use.
//!
//! A heartbeat is one datagram, `BEAT name state`, and is never answered.

use std::io;
use std::net::{SocketAddr, UdpSocket};

use doortrack_time::{MILLISECOND, TenthMillis};

/// Interval between two heartbeats. The registry removes a node 3 s after its last heartbeat, so nine in a row may
/// be lost.
const HEARTBEAT_INTERVAL: TenthMillis = 300 * MILLISECOND;

/// The node's entry in the registry.
pub struct Registry {
    sock: UdpSocket,
    /// The address that no socket could be opened for yet; heartbeats are sent to the previous one.
    moving_to: Option<SocketAddr>,
    own_address: SocketAddr,
    name: String,
    next_heartbeat: TenthMillis,
    draining: bool,
}

impl Registry {
    /// Creates an entry named `name`, whose first heartbeat is due at once.
    ///
    /// # Errors
    /// The socket cannot be opened.
    pub fn open(own_address: SocketAddr, registry: SocketAddr, name: String) -> io::Result<Self> {
        Ok(Registry {
            sock: connect(own_address, registry)?,
            moving_to: None,
            own_address,
            name,
            next_heartbeat: 0,
            draining: false,
        })
    }

    /// Changes the address that heartbeats are sent to; the next heartbeat is due at once.
    ///
    /// # Errors
    /// The socket cannot be opened. Each heartbeat tries again, and is sent to the previous address until then.
    pub fn set_address(&mut self, registry: SocketAddr) -> io::Result<()> {
        self.moving_to = Some(registry);
        self.next_heartbeat = 0;
        self.open_new_socket()
    }

    fn open_new_socket(&mut self) -> io::Result<()> {
        if let Some(registry) = self.moving_to {
            self.sock = connect(self.own_address, registry)?;
            self.moving_to = None;
        }
        Ok(())
    }

    /// Sets whether the node is draining, that is, takes no new requests. A change is sent at once.
    pub fn set_draining(&mut self, draining: bool) {
        if draining != self.draining {
            self.draining = draining;
            self.next_heartbeat = 0;
        }
    }

    /// Returns when the next heartbeat is due.
    pub fn next_due(&self) -> TenthMillis {
        self.next_heartbeat
    }

    /// Sends a heartbeat if one is due.
    pub fn heartbeat(&mut self, now: TenthMillis) {
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        // An error is ignored, as the next heartbeat tries again.
        _ = self.open_new_socket();
        let datagram = encode(&self.name, self.draining);
        // If an earlier datagram was refused, the operating system returns that error instead of sending this
        // datagram. Returning the error clears it, so the second attempt sends.
        if self.sock.send(datagram.as_bytes()).is_err() {
            // The error is ignored: a registry that is down keeps all entries, and the next heartbeat may find it
            // up again.
            _ = self.sock.send(datagram.as_bytes());
        }
    }
}

fn connect(own_address: SocketAddr, registry: SocketAddr) -> io::Result<UdpSocket> {
    let sock = UdpSocket::bind((own_address.ip(), 0))?;
    sock.set_nonblocking(true)?;
    sock.connect(registry)?;
    Ok(sock)
}

/// Encodes a heartbeat.
pub fn encode(name: &str, draining: bool) -> String {
    let state = if draining { "draining" } else { "ready" };
    format!("BEAT {name} {state}")
}
