//! One listening socket.

use std::io;
use std::net::{SocketAddr, TcpListener};

use doortrack_protocols::Protocol;
use socket2::{Domain, SockFilter, SockRef, Socket, Type};

use super::Counts;

/// One address at which clients connect.
pub struct Listener {
    /// The protocol that its clients speak.
    pub protocol: Protocol,
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections that it has at present.
    pub connections: usize,
    /// What it has counted.
    pub counts: Counts,
    /// Connections that it may have at once.
    pub(super) max_connections: usize,
    /// None once it accepts no more.
    pub(super) socket: Option<TcpListener>,
    /// It was taken out of the installation: it is removed with its last connection.
    pub(super) removed: bool,
    /// It is the platform's own: its requests are read by the platform's variables, not by rules.
    pub(super) is_platform: bool,
    /// The poller reports new connections.
    pub(super) accepting: bool,
}

impl Listener {
    /// A listener that is registered with the poller for new connections.
    pub(super) fn new(
        address: SocketAddr,
        protocol: Protocol,
        socket: TcpListener,
        max_connections: Option<usize>,
        is_platform: bool,
    ) -> Listener {
        Listener {
            protocol,
            address,
            connections: 0,
            counts: Counts::default(),
            max_connections: max_connections.unwrap_or(usize::MAX),
            socket: Some(socket),
            removed: false,
            is_platform,
            accepting: true,
        }
    }

    pub(super) fn is_open_at(&self, address: SocketAddr) -> bool {
        self.socket.is_some() && self.address == address
    }

    pub(super) fn is_full(&self) -> bool {
        self.connections >= self.max_connections
    }

    /// Has the system begin no further connection here; those whose handshake is under way are still made. Whoever
    /// would connect is refused once the listener is closed, as its system asks again.
    pub(super) fn refuse_handshakes(&self) {
        if let Some(socket) = &self.socket {
            // Without it, connections that are made while the listener is closed are reset.
            _ = SockRef::from(socket).attach_filter(&drop_first_segments());
        }
    }
}

/// A packet filter that drops the first segment of a connection: the one with no ACK.
fn drop_first_segments() -> [SockFilter; 4] {
    const LOAD_BYTE: u16 = 0x30;
    const JUMP_IF_ANY_BIT: u16 = 0x45;
    const RETURN: u16 = 0x06;
    const TCP_FLAGS_OFFSET: u32 = 13;
    const ACK: u32 = 0x10;
    const NO_BYTES: u32 = 0;
    const ALL_BYTES: u32 = u32::MAX;
    [
        SockFilter::new(LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
        SockFilter::new(JUMP_IF_ANY_BIT, 1, 0, ACK),
        SockFilter::new(RETURN, 0, 0, NO_BYTES),
        SockFilter::new(RETURN, 0, 0, ALL_BYTES),
    ]
}

/// A nonblocking listening socket.
pub(super) fn bind(address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    // A node that was killed gets its address back at once.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    socket.set_nonblocking(true)?;
    Ok(TcpListener::from(socket))
}
