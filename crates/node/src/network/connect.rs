//! Outgoing connections.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};

use rustix::io::Errno;
use socket2::{Domain, Socket, Type};

use crate::system::retry::retry_at_once;

/// Starts a nonblocking connect, again if the system fails it for a moment. The socket becomes writable once the connect
/// has succeeded or failed; [`TcpStream::take_error`] tells which.
///
/// # Errors
/// The socket cannot be created, or the connect fails at once.
pub(super) fn connect_nonblocking(address: SocketAddr) -> io::Result<TcpStream> {
    retry_at_once(|| connect_once(address))
}

fn connect_once(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        Err(e) if !is_in_progress(&e) => Err(e),
        _ => Ok(TcpStream::from(socket)),
    }
}

fn is_in_progress(error: &io::Error) -> bool {
    Errno::from_io_error(error) == Some(Errno::INPROGRESS) || error.kind() == ErrorKind::WouldBlock
}
