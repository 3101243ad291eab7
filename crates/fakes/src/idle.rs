//! Clients that keep connections open and send little or nothing. A closed connection is replaced at once, so
//! that the node's descriptors stay in use for as long as [`IdleClients`] exists.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::MAX_WAIT;
use crate::records::{record, request};

/// Interval between two checks of a connection.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout of one attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What an idle client sends after it connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleBehavior {
    /// Nothing.
    Silent,
    /// One health check.
    HealthCheck,
    /// The first half of a request.
    HalfRequest,
    /// A health check, then the first half of a request.
    HealthCheckThenHalfRequest,
}

impl IdleBehavior {
    pub const ALL: [IdleBehavior; 4] = [
        IdleBehavior::Silent,
        IdleBehavior::HealthCheck,
        IdleBehavior::HalfRequest,
        IdleBehavior::HealthCheckThenHalfRequest,
    ];

    fn bytes(self, attempt_number: u64) -> Vec<u8> {
        let check = || request(1, attempt_number, "/status/live", &[], b"");
        let half = || record(1, 2, &[0, 1, 1, 0, 0, 0, 0, 0]);
        match self {
            IdleBehavior::Silent => Vec::new(),
            IdleBehavior::HealthCheck => check(),
            IdleBehavior::HalfRequest => half(),
            IdleBehavior::HealthCheckThenHalfRequest => [check(), half()].concat(),
        }
    }
}

/// Idle connections to one node, with a thread for each behavior.
pub struct IdleClients {
    stop: Arc<AtomicBool>,
    opened: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl IdleClients {
    /// Opens `count` connections for each behavior.
    pub fn start(address: SocketAddr, behaviors: &[IdleBehavior], count: usize) -> IdleClients {
        let (stop, opened) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicUsize::new(0)),
        );
        let thread = |behavior: &IdleBehavior| {
            let (behavior, stop, opened) = (*behavior, stop.clone(), opened.clone());
            thread::spawn(move || keep_open(address, behavior, count, &stop, &opened))
        };
        let threads = behaviors.iter().map(thread).collect();
        IdleClients {
            stop,
            opened,
            threads,
        }
    }

    /// The number of connections opened so far, including those that replaced a closed one.
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::SeqCst)
    }

    /// Waits until `count` connections were opened.
    pub fn wait_until_opened(&self, count: usize) {
        let deadline = Instant::now() + MAX_WAIT;
        while self.opened() < count {
            assert!(
                Instant::now() < deadline,
                "{} of {count} idle connections were opened",
                self.opened()
            );
            thread::sleep(CHECK_INTERVAL);
        }
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            _ = thread.join();
        }
    }
}

fn keep_open(
    address: SocketAddr,
    behavior: IdleBehavior,
    count: usize,
    stop: &AtomicBool,
    opened: &AtomicUsize,
) {
    let mut connections: Vec<Option<TcpStream>> = (0..count).map(|_| None).collect();
    while !stop.load(Ordering::SeqCst) {
        for connection in &mut connections {
            if connection.as_mut().is_some_and(is_open) {
                continue;
            }
            let attempt_number = 1 << 32 | opened.load(Ordering::SeqCst) as u64;
            *connection = open(address, &behavior.bytes(attempt_number)).ok();
            opened.fetch_add(usize::from(connection.is_some()), Ordering::SeqCst);
            if stop.load(Ordering::SeqCst) {
                return;
            }
        }
        thread::sleep(CHECK_INTERVAL);
    }
}

fn open(address: SocketAddr, bytes: &[u8]) -> std::io::Result<TcpStream> {
    let mut sock = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    sock.write_all(bytes)?;
    sock.set_nonblocking(true)?;
    Ok(sock)
}

/// Discards received bytes. Returns true if the node has not closed the connection.
fn is_open(sock: &mut TcpStream) -> bool {
    match sock.read(&mut [0; 4096]) {
        Ok(bytes) => bytes > 0,
        Err(e) => matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
    }
}
