//! What lies between one node and the server behind it, or those who ask it: TCP connections passed on, held
//! up, slowed down or broken off.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use doortrack_standins::unix_ms;

use crate::script::Weather;

/// Bytes passed on at once.
const CHUNK: usize = 8_192;
/// How often a connection looks whether it is to end, and one that is cut whether it is mended.
const LOOK: Duration = Duration::from_millis(20);

/// One way through, until it is dropped.
pub struct Stream {
    pub at: SocketAddr,
    weather: Arc<Mutex<Weather>>,
    breaks: Breaks,
    over: Arc<AtomicBool>,
}

/// When, in Unix ms, the stream itself ended a connection.
type Breaks = Arc<Mutex<Vec<u64>>>;

fn broke(breaks: &Breaks) {
    breaks.lock().unwrap_or_else(PoisonError::into_inner).push(unix_ms());
}

impl Stream {
    /// Passes on what comes to an address of its own.
    ///
    /// # Errors
    /// No address can be had.
    pub fn to(target: SocketAddr, seed: u64) -> io::Result<Stream> {
        let door = TcpListener::bind("127.0.0.1:0")?;
        let (weather, over): (Arc<Mutex<Weather>>, Arc<AtomicBool>) = Default::default();
        let breaks = Breaks::default();
        let at = door.local_addr()?;
        let stream = Stream { at, weather: weather.clone(), breaks: breaks.clone(), over: over.clone() };
        thread::Builder::new().name("stream".into()).spawn(move || {
            let mut chance = fastrand::Rng::with_seed(seed);
            for near in door.incoming().map_while(Result::ok) {
                if over.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(far) = TcpStream::connect(target) else {
                    broke(&breaks);
                    continue;
                };
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let (weather, over, breaks) = (weather.clone(), over.clone(), breaks.clone());
                    let way = Way { from, to, weather, over, breaks, chance: chance.fork() };
                    _ = thread::Builder::new().spawn(move || way.run());
                }
            }
        })?;
        Ok(stream)
    }

    pub fn change(&self, weather: Weather) {
        *self.weather.lock().unwrap_or_else(PoisonError::into_inner) = weather;
    }

    /// When, in Unix ms, connections ended by the stream's doing.
    pub fn breaks(&self) -> Vec<u64> {
        self.breaks.lock().unwrap_or_else(PoisonError::into_inner).clone()
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
    breaks: Breaks,
    chance: fastrand::Rng,
}

impl Way {
    /// That in which something passes: a cut is waited for, and takes note of what it held up.
    fn weather(&self) -> Weather {
        let mut held = false;
        loop {
            let weather = *self.weather.lock().unwrap_or_else(PoisonError::into_inner);
            if !weather.cut || self.over.load(Ordering::Relaxed) {
                if held {
                    // The other side may have lost its patience meanwhile with what it never read.
                    broke(&self.breaks);
                }
                return weather;
            }
            held = true;
            thread::sleep(LOOK);
        }
    }

    fn run(mut self) {
        _ = self.from.set_read_timeout(Some(LOOK));
        let mut bytes = [0; CHUNK];
        while !self.over.load(Ordering::Relaxed) {
            let len = match self.from.read(&mut bytes) {
                // The other direction may still have something to say.
                Ok(0) => {
                    self.weather();
                    _ = self.to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(len) => len,
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => continue,
                Err(_) => break,
            };
            let weather = self.weather();
            if self.chance.f64() < weather.broken {
                broke(&self.breaks);
                break;
            }
            let passes_in = (len as u64 * 1_000_000).checked_div(weather.bytes_a_second).unwrap_or(0);
            thread::sleep(Duration::from_millis(weather.delay_ms) + Duration::from_micros(passes_in));
            if self.to.write_all(&bytes[..len]).is_err() {
                break;
            }
        }
        _ = self.from.shutdown(Shutdown::Both);
        _ = self.to.shutdown(Shutdown::Both);
    }
}
