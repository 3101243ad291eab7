//! One listening socket.

use std::io;
use std::net::{SocketAddr, TcpListener};

use doortrack_protocols::Protocol;
use socket2::{Domain, SockFilter, SockRef, Socket, Type};

use super::Counts;

/// A listener for clients of one protocol.
pub struct Listener {
    /// The clients' protocol.
    pub protocol: Protocol,
    /// The address that the listener is bound to.
    pub address: SocketAddr,
    /// Number of open connections.
    pub connections: usize,
    /// Counts since the start.
    pub counts: Counts,
    /// Maximum number of open connections.
    pub(super) max_connections: usize,
    /// The listening socket; `None` once the listener is draining.
    pub(super) socket: Option<TcpListener>,
    /// The listener is no longer in the installation and is removed once its last connection has closed.
    pub(super) removed: bool,
    /// The listener is the platform's own: its requests are decoded by the platform's variables, not by rules.
    pub(super) is_platform: bool,
    /// The poller reports new connections.
    pub(super) accepting: bool,
    /// The last accept failed although a connection may be waiting.
    pub(super) accept_failed: bool,
}

impl Listener {
    /// Creates the state of a listener whose socket is registered with the poller for new connections.
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
            accept_failed: false,
        }
    }

    pub(super) fn is_open_at(&self, address: SocketAddr) -> bool {
        self.socket.is_some() && self.address == address
    }

    pub(super) fn is_full(&self) -> bool {
        self.connections >= self.max_connections
    }

    /// Prevents new TCP handshakes at this listener; handshakes in progress still complete. A client that connects now
    /// is refused once the listener is closed, as its operating system sends the SYN again.
    pub(super) fn refuse_handshakes(&self) {
        if let Some(socket) = &self.socket {
            // Without the filter, connections that are made while the listener is being closed are reset.
            _ = SockRef::from(socket).attach_filter(&drop_first_segments());
        }
    }
}

/// Returns a packet filter (classic BPF) that drops the first segment of a connection, the only one without ACK.
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

/// Opens a nonblocking listening socket.
pub(super) fn bind(address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    // Without this option, a node that was killed could not bind its address again at once.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    socket.set_nonblocking(true)?;
    Ok(TcpListener::from(socket))
}
