//! Clients that hold connections open and ask little or nothing. Whoever is let go of comes back at once, so
//! that the pressure on the node's descriptors lasts as long as the value lives.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::MAX_WAIT;
use crate::records::{record, request};

/// How often each connection is looked at.
const LOOK: Duration = Duration::from_millis(5);
/// How long a connection may take to open before another try.
const CONNECT_WITHIN: Duration = Duration::from_secs(1);

/// What an idle client does before it rests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleBehavior {
    /// It connects and never speaks.
    Silent,
    /// One health check, then nothing more.
    HealthCheck,
    /// The first half of a request, and never the rest.
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

    fn bytes(self, nth: u64) -> Vec<u8> {
        let check = || request(1, nth, "/status/live", &[], b"");
        let half = || record(1, 2, &[0, 1, 1, 0, 0, 0, 0, 0]);
        match self {
            IdleBehavior::Silent => Vec::new(),
            IdleBehavior::HealthCheck => check(),
            IdleBehavior::HalfRequest => half(),
            IdleBehavior::HealthCheckThenHalfRequest => [check(), half()].concat(),
        }
    }
}

/// Connections that lie idle on one node, kept up by a thread for each habit.
pub struct IdleClients {
    stop: Arc<AtomicBool>,
    opened: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl IdleClients {
    /// `count` connections for each of the habits.
    pub fn start(at: SocketAddr, habits: &[IdleBehavior], count: usize) -> IdleClients {
        let (stop, opened) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicUsize::new(0)),
        );
        let thread = |habit: &IdleBehavior| {
            let (habit, stop, opened) = (*habit, stop.clone(), opened.clone());
            thread::spawn(move || keep_up(at, habit, count, &stop, &opened))
        };
        let threads = habits.iter().map(thread).collect();
        IdleClients {
            stop,
            opened,
            threads,
        }
    }

    /// Connections opened so far, those that took the place of an ended one included.
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::SeqCst)
    }

    /// Waits until so many were opened.
    pub fn wait_until_opened(&self, count: usize) {
        let until = Instant::now() + MAX_WAIT;
        while self.opened() < count {
            assert!(
                Instant::now() < until,
                "{} of {count} idle connections were opened",
                self.opened()
            );
            thread::sleep(LOOK);
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

fn keep_up(
    at: SocketAddr,
    habit: IdleBehavior,
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
            let nth = 1 << 32 | opened.load(Ordering::SeqCst) as u64;
            *connection = open(at, &habit.bytes(nth)).ok();
            opened.fetch_add(usize::from(connection.is_some()), Ordering::SeqCst);
            if stop.load(Ordering::SeqCst) {
                return;
            }
        }
        thread::sleep(LOOK);
    }
}

fn open(at: SocketAddr, bytes: &[u8]) -> std::io::Result<TcpStream> {
    let mut sock = TcpStream::connect_timeout(&at, CONNECT_WITHIN)?;
    sock.write_all(bytes)?;
    sock.set_nonblocking(true)?;
    Ok(sock)
}

/// Reads what was answered, which nobody heeds; whether the node has not ended it.
fn is_open(sock: &mut TcpStream) -> bool {
    match sock.read(&mut [0; 4096]) {
        Ok(bytes) => bytes > 0,
        Err(e) => matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
    }
}
