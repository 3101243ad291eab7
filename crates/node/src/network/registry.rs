//! Heartbeats to the registry, which lists the nodes that dispatchers use.
//!
//! A heartbeat is one datagram, `BEAT name state`, and is never answered.

use std::io;
use std::net::{SocketAddr, UdpSocket};

use doortrack_time::{MILLISECOND, TenthMillis};

/// The registry drops a node 3 s after its last heartbeat, so nine in a row may be lost.
const HEARTBEAT_INTERVAL: TenthMillis = 300 * MILLISECOND;

/// The node's entry in the registry.
pub struct Registry {
    sock: UdpSocket,
    own_address: SocketAddr,
    name: String,
    next_heartbeat: TenthMillis,
    draining: bool,
}

impl Registry {
    /// An entry under `name`; its first heartbeat is due at once.
    ///
    /// # Errors
    /// The system refuses the socket.
    pub fn open(own_address: SocketAddr, registry: SocketAddr, name: String) -> io::Result<Self> {
        Ok(Registry {
            sock: connect(own_address, registry)?,
            own_address,
            name,
            next_heartbeat: 0,
            draining: false,
        })
    }

    /// Sends heartbeats to another address, the next one at once.
    ///
    /// # Errors
    /// The system refuses the socket; heartbeats go where they went before.
    pub fn set_address(&mut self, registry: SocketAddr) -> io::Result<()> {
        self.sock = connect(self.own_address, registry)?;
        self.next_heartbeat = 0;
        Ok(())
    }

    /// Sets whether the node takes no new work; a change is sent at once.
    pub fn set_draining(&mut self, draining: bool) {
        if draining != self.draining {
            self.draining = draining;
            self.next_heartbeat = 0;
        }
    }

    /// When the next heartbeat is due.
    pub fn next_due(&self) -> TenthMillis {
        self.next_heartbeat
    }

    /// Sends a heartbeat if one is due.
    pub fn heartbeat(&mut self, now: TenthMillis) {
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        let datagram = encode(&self.name, self.draining);
        // The system reports that an earlier datagram was refused in place of sending this one. The report
        // clears that, so the second attempt sends.
        if self.sock.send(datagram.as_bytes()).is_err() {
            // A registry that is down keeps all entries, and the next heartbeat may find it up again.
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
