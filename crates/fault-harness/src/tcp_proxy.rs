//! A TCP proxy between one node and its server, or between a node and its callers: it forwards connections
//! under the current [`NetworkConditions`].

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use doortrack_fakes::unix_ms;

use crate::script::NetworkConditions;

/// Greatest number of bytes forwarded at once.
const MAX_CHUNK_BYTES: usize = 8_192;
/// How often a connection checks whether the proxy has ended, or a cut has been healed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A proxy that runs until it is dropped.
pub struct TcpProxy {
    /// Address at which the proxy listens.
    pub address: SocketAddr,
    conditions: Arc<Mutex<NetworkConditions>>,
    breaks: Breaks,
    is_over: Arc<AtomicBool>,
}

/// Times, in Unix ms, at which the proxy itself closed or delayed a connection.
type Breaks = Arc<Mutex<Vec<u64>>>;

fn record_break(breaks: &Breaks) {
    breaks
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(unix_ms());
}

impl TcpProxy {
    /// Starts a proxy that forwards connections from its own address, [`TcpProxy::address`], to `target`.
    ///
    /// # Errors
    /// The listening socket, or the thread, can't be created.
    pub fn start(target: SocketAddr, seed: u64) -> io::Result<TcpProxy> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = TcpProxy {
            address: listener.local_addr()?,
            conditions: Arc::default(),
            breaks: Arc::default(),
            is_over: Arc::default(),
        };
        let acceptor = Acceptor {
            target,
            conditions: proxy.conditions.clone(),
            breaks: proxy.breaks.clone(),
            is_over: proxy.is_over.clone(),
            random: fastrand::Rng::with_seed(seed),
        };
        thread::Builder::new()
            .name("stream".into())
            .spawn(move || acceptor.run(&listener))?;
        Ok(proxy)
    }

    /// Replaces the conditions of all connections, including open ones.
    pub fn set_conditions(&self, conditions: NetworkConditions) {
        *self
            .conditions
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = conditions;
    }

    /// Times, in Unix ms, at which the proxy itself closed or delayed a connection.
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
        _ = TcpStream::connect(self.address);
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
        for client in listener.incoming().map_while(Result::ok) {
            if self.is_over.load(Ordering::Relaxed) {
                return;
            }
            match TcpStream::connect(self.target) {
                Ok(server) => {
                    self.forward(&client, &server);
                    self.forward(&server, &client);
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
    /// Waits for the end of a cut and returns the conditions then. A connection that had to wait counts as broken.
    fn wait_while_cut(&self) -> NetworkConditions {
        let mut has_waited = false;
        loop {
            let conditions = *self
                .conditions
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if !conditions.cut || self.is_over.load(Ordering::Relaxed) {
                if has_waited {
                    // The other side may have timed out meanwhile.
                    record_break(&self.breaks);
                }
                return conditions;
            }
            has_waited = true;
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn run(mut self) {
        _ = self.from.set_read_timeout(Some(POLL_INTERVAL));
        let mut bytes = [0; MAX_CHUNK_BYTES];
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

    /// Forwards a chunk under the current conditions. Returns false if the connection is to be closed.
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
