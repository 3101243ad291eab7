//! A TCP proxy between one node and its server, or between a node and its callers: it forwards connections
//! under the [`NetworkConditions`] of the moment.

use std::io::{self, Read, Write};
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
pub struct Stream {
    pub at: SocketAddr,
    conditions: Arc<Mutex<NetworkConditions>>,
    breaks: Breaks,
    over: Arc<AtomicBool>,
}

/// When, in Unix ms, the proxy itself closed or held up a connection.
type Breaks = Arc<Mutex<Vec<u64>>>;

fn record_break(breaks: &Breaks) {
    breaks
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(unix_ms());
}

impl Stream {
    /// Starts a proxy that forwards to `target` what reaches its own address, [`Stream::at`].
    ///
    /// # Errors
    /// The listening socket, or the thread, can't be created.
    pub fn to(target: SocketAddr, seed: u64) -> io::Result<Stream> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (conditions, over): (Arc<Mutex<NetworkConditions>>, Arc<AtomicBool>) =
            Default::default();
        let breaks = Breaks::default();
        let at = listener.local_addr()?;
        let stream = Stream {
            at,
            conditions: conditions.clone(),
            breaks: breaks.clone(),
            over: over.clone(),
        };
        thread::Builder::new()
            .name("stream".into())
            .spawn(move || {
                let mut chance = fastrand::Rng::with_seed(seed);
                for near in listener.incoming().map_while(Result::ok) {
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    let Ok(far) = TcpStream::connect(target) else {
                        record_break(&breaks);
                        continue;
                    };
                    for (from, to) in [(&near, &far), (&far, &near)] {
                        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                            continue;
                        };
                        let (conditions, over, breaks) =
                            (conditions.clone(), over.clone(), breaks.clone());
                        let direction = Direction {
                            from,
                            to,
                            conditions,
                            over,
                            breaks,
                            chance: chance.fork(),
                        };
                        _ = thread::Builder::new().spawn(move || direction.run());
                    }
                }
            })?;
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

impl Drop for Stream {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        // Wakes the accepting thread.
        _ = TcpStream::connect(self.at);
    }
}

/// One direction of one connection.
struct Direction {
    from: TcpStream,
    to: TcpStream,
    conditions: Arc<Mutex<NetworkConditions>>,
    over: Arc<AtomicBool>,
    breaks: Breaks,
    chance: fastrand::Rng,
}

impl Direction {
    /// Waits for the end of a cut, and returns the conditions then; a connection held up counts as a break.
    fn wait_while_cut(&self) -> NetworkConditions {
        let mut held = false;
        loop {
            let conditions = *self
                .conditions
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if !conditions.cut || self.over.load(Ordering::Relaxed) {
                if held {
                    // The other side may have timed out meanwhile.
                    record_break(&self.breaks);
                }
                return conditions;
            }
            held = true;
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn run(mut self) {
        _ = self.from.set_read_timeout(Some(POLL_INTERVAL));
        let mut bytes = [0; CHUNK];
        while !self.over.load(Ordering::Relaxed) {
            let len = match self.from.read(&mut bytes) {
                // The other direction may still carry data.
                Ok(0) => {
                    self.wait_while_cut();
                    _ = self.to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(len) => len,
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    continue;
                }
                Err(_) => break,
            };
            let conditions = self.wait_while_cut();
            if self.chance.f64() < conditions.broken {
                record_break(&self.breaks);
                break;
            }
            let transmission_micros = (len as u64 * 1_000_000)
                .checked_div(conditions.bytes_a_second)
                .unwrap_or(0);
            thread::sleep(
                Duration::from_millis(conditions.delay_ms)
                    + Duration::from_micros(transmission_micros),
            );
            if self.to.write_all(&bytes[..len]).is_err() {
                break;
            }
        }
        _ = self.from.shutdown(Shutdown::Both);
        _ = self.to.shutdown(Shutdown::Both);
    }
}
