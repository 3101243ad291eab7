//! What lies between one node and the server behind it: TCP connections passed on, held up or broken off.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Bytes passed on at once.
const CHUNK: usize = 8_192;
/// How often a connection looks whether it is to end, and one that is cut whether it is mended.
const LOOK: Duration = Duration::from_millis(20);

/// What is done to connections just now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Weather {
    /// Nothing passes, and connections stay open.
    pub cut: bool,
    /// Each piece waits so long.
    pub delay_ms: u64,
    /// Share of pieces at which the connection is broken off instead.
    pub broken: f64,
}

/// One way through, until it is dropped.
pub struct Stream {
    pub at: SocketAddr,
    weather: Arc<Mutex<Weather>>,
    over: Arc<AtomicBool>,
}

impl Stream {
    /// Passes on what comes to an address of its own.
    ///
    /// # Errors
    /// No address can be had.
    pub fn to(target: SocketAddr, seed: u64) -> io::Result<Stream> {
        let door = TcpListener::bind("127.0.0.1:0")?;
        let (weather, over): (Arc<Mutex<Weather>>, Arc<AtomicBool>) = Default::default();
        let stream = Stream { at: door.local_addr()?, weather: weather.clone(), over: over.clone() };
        thread::Builder::new().name("stream".into()).spawn(move || {
            let mut chance = fastrand::Rng::with_seed(seed);
            for near in door.incoming().map_while(Result::ok) {
                if over.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(far) = TcpStream::connect(target) else { continue };
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let way =
                        Way { from, to, weather: weather.clone(), over: over.clone(), chance: chance.fork() };
                    _ = thread::Builder::new().spawn(move || way.run());
                }
            }
        })?;
        Ok(stream)
    }

    pub fn change(&self, weather: Weather) {
        *self.weather.lock().unwrap_or_else(PoisonError::into_inner) = weather;
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        // Wakes the one that accepts.
        _ = TcpStream::connect(self.at);
    }
}

/// One direction of one connection.
struct Way {
    from: TcpStream,
    to: TcpStream,
    weather: Arc<Mutex<Weather>>,
    over: Arc<AtomicBool>,
    chance: fastrand::Rng,
}

impl Way {
    fn run(mut self) {
        _ = self.from.set_read_timeout(Some(LOOK));
        let mut bytes = [0; CHUNK];
        while !self.over.load(Ordering::Relaxed) {
            let len = match self.from.read(&mut bytes) {
                // The other direction may still have something to say.
                Ok(0) => {
                    _ = self.to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(len) => len,
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => continue,
                Err(_) => break,
            };
            let weather = loop {
                let weather = *self.weather.lock().unwrap_or_else(PoisonError::into_inner);
                if !weather.cut || self.over.load(Ordering::Relaxed) {
                    break weather;
                }
                thread::sleep(LOOK);
            };
            if self.chance.f64() < weather.broken {
                break;
            }
            thread::sleep(Duration::from_millis(weather.delay_ms));
            if self.to.write_all(&bytes[..len]).is_err() {
                break;
            }
        }
        _ = self.from.shutdown(Shutdown::Both);
        _ = self.to.shutdown(Shutdown::Both);
    }
}
