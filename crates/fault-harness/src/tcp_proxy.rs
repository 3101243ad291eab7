//! A TCP proxy between one node and its server, or between a node and its callers: it forwards connections
//! under the [`NetworkConditions`] of the moment.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use doortrack_fakes::unix_ms;

use crate::script::NetworkConditions;

/// Bytes forwarded at once.
const CHUNK: usize = 8_192;
/// How often a connection checks whether the proxy has ended, or a cut has been mended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A proxy that runs until it is dropped.
pub struct TcpProxy {
    /// Where it listens.
    pub at: SocketAddr,
    conditions: Arc<Mutex<NetworkConditions>>,
    breaks: Breaks,
    is_over: Arc<AtomicBool>,
}

/// When, in Unix ms, the proxy itself closed or held up a connection.
type Breaks = Arc<Mutex<Vec<u64>>>;

fn record_break(breaks: &Breaks) {
    breaks
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(unix_ms());
}

impl TcpProxy {
    /// Starts a proxy that forwards to `target` what reaches its own address, [`TcpProxy::at`].
    ///
    /// # Errors
    /// The listening socket, or the thread, can't be created.
    pub fn start(target: SocketAddr, seed: u64) -> io::Result<TcpProxy> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let stream = TcpProxy {
            at: listener.local_addr()?,
            conditions: Arc::default(),
            breaks: Arc::default(),
            is_over: Arc::default(),
        };
        let acceptor = Acceptor {
            target,
            conditions: stream.conditions.clone(),
            breaks: stream.breaks.clone(),
            is_over: stream.is_over.clone(),
            random: fastrand::Rng::with_seed(seed),
        };
        thread::Builder::new()
            .name("stream".into())
            .spawn(move || acceptor.run(&listener))?;
        Ok(stream)
    }

    /// Replaces the conditions of all connections, also of open ones.
    pub fn set_conditions(&self, conditions: NetworkConditions) {
        *self
            .conditions
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = conditions;
    }

    /// When, in Unix ms, the proxy itself closed or held up a connection.
    pub fn breaks(&self) -> Vec<u64> {
        self.breaks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        // Wakes the accepting thread.
        _ = TcpStream::connect(self.at);
    }
}

/// The thread that accepts connections.
struct Acceptor {
    target: SocketAddr,
    conditions: Arc<Mutex<NetworkConditions>>,
    breaks: Breaks,
    is_over: Arc<AtomicBool>,
    random: fastrand::Rng,
}

impl Acceptor {
    fn run(mut self, listener: &TcpListener) {
        for near in listener.incoming().map_while(Result::ok) {
            if self.is_over.load(Ordering::Relaxed) {
                return;
            }
            match TcpStream::connect(self.target) {
                Ok(far) => {
                    self.forward(&near, &far);
                    self.forward(&far, &near);
                }
                Err(_) => record_break(&self.breaks),
            }
        }
    }

    /// Forwards one direction of a connection, in a thread of its own.
    fn forward(&mut self, from: &TcpStream, to: &TcpStream) {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let direction = Direction {
            from,
            to,
            conditions: self.conditions.clone(),
            is_over: self.is_over.clone(),
            breaks: self.breaks.clone(),
            random: self.random.fork(),
        };
        _ = thread::Builder::new().spawn(move || direction.run());
    }
}

/// One direction of one connection.
struct Direction {
    from: TcpStream,
    to: TcpStream,
    conditions: Arc<Mutex<NetworkConditions>>,
    is_over: Arc<AtomicBool>,
    breaks: Breaks,
    random: fastrand::Rng,
}

impl Direction {
    /// Waits for the end of a cut, and returns the conditions then; a connection held up counts as a break.
    fn wait_while_cut(&self) -> NetworkConditions {
        let mut was_held_up = false;
        loop {
            let conditions = *self
                .conditions
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if !conditions.cut || self.is_over.load(Ordering::Relaxed) {
                if was_held_up {
                    // The other side may have timed out meanwhile.
                    record_break(&self.breaks);
                }
                return conditions;
            }
            was_held_up = true;
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn run(mut self) {
        _ = self.from.set_read_timeout(Some(POLL_INTERVAL));
        let mut bytes = [0; CHUNK];
        while !self.is_over.load(Ordering::Relaxed) {
            match self.from.read(&mut bytes) {
                // The other direction may still carry data.
                Ok(0) => {
                    self.wait_while_cut();
                    _ = self.to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(len) => {
                    if !self.transmit(&bytes[..len]) {
                        break;
                    }
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => break,
            }
        }
        _ = self.from.shutdown(Shutdown::Both);
        _ = self.to.shutdown(Shutdown::Both);
    }

    /// Forwards a chunk under the present conditions. Returns false if the connection is to be closed.
    fn transmit(&mut self, bytes: &[u8]) -> bool {
        let conditions = self.wait_while_cut();
        if self.random.f64() < conditions.broken {
            record_break(&self.breaks);
            return false;
        }
        let transmission_micros = (bytes.len() as u64 * 1_000_000)
            .checked_div(conditions.bytes_a_second)
            .unwrap_or(0);
        thread::sleep(
            Duration::from_millis(conditions.delay_ms) + Duration::from_micros(transmission_micros),
        );
        self.to.write_all(bytes).is_ok()
    }
}
