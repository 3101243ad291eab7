//! Stand-ins for the parties around a node: dispatchers (FastCGI and uwsgi), application servers and the registry. They use the standard library and loopback addresses only.

pub mod fastcgi;
pub mod node;
pub mod record;
pub mod server;
pub mod uwsgi;

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Exit code of a case in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// True unless the environment has `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The current time in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// An unused TCP address.
pub fn free_tcp() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free TCP port");
    listener.local_addr().expect("its address")
}

/// An unused UDP address.
pub fn free_udp() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free UDP port");
    socket.local_addr().expect("its address")
}

/// A registry that only takes the nodes' reports. Returns its address.
pub fn registry() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("the registry's port");
    let address = socket.local_addr().expect("its address");
    std::thread::spawn(move || {
        let mut buffer = [0; 256];
        while socket.recv_from(&mut buffer).is_ok() {}
    });
    address
}
