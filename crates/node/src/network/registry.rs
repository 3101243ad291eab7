//! Reports to the registry: one datagram each, never answered.

use doortrack_time::TenthMillis;
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// A node leaves the list 3 s after its last report. Reports are lost on the way, and nobody sends to a node
/// that is not listed: at this pace nine in a row may be lost.
const EVERY: TenthMillis = 3_000;

pub struct Registry {
    sock: UdpSocket,
    own: SocketAddr,
    name: String,
    pub next: TenthMillis,
    draining: bool,
}

impl Registry {
    pub fn open(own: SocketAddr, registry: SocketAddr, name: String) -> io::Result<Self> {
        Ok(Registry {
            sock: socket(own, registry)?,
            own,
            name,
            next: 0,
            draining: false,
        })
    }

    /// Reports go elsewhere from here on, the next one at once.
    pub fn move_to(&mut self, registry: SocketAddr) -> io::Result<()> {
        self.sock = socket(self.own, registry)?;
        self.next = 0;
        Ok(())
    }

    /// What stands in the reports from here on; a change is told at once.
    pub fn tell(&mut self, draining: bool) {
        if draining != self.draining {
            self.draining = draining;
            self.next = 0;
        }
    }

    pub fn heartbeat(&mut self, now: TenthMillis) {
        if now >= self.next {
            self.next = now + EVERY;
            let text = report(&self.name, self.draining);
            // Where a datagram was refused, the system keeps that and tells it at the next one in place of
            // sending it. Told once, it is forgotten, so the report goes out at the second time.
            if self.sock.send(text.as_bytes()).is_err() {
                // A registry that is down lists all it knew; the next report finds it up again.
                _ = self.sock.send(text.as_bytes());
            }
        }
    }
}

fn socket(own: SocketAddr, registry: SocketAddr) -> io::Result<UdpSocket> {
    let sock = UdpSocket::bind((own.ip(), 0))?;
    sock.set_nonblocking(true)?;
    sock.connect(registry)?;
    Ok(sock)
}

pub fn report(name: &str, draining: bool) -> String {
    format!(
        "BEAT {name} {}",
        if draining { "draining" } else { "ready" }
    )
}
