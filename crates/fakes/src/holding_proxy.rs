//! A proxy before a node that holds back what callers write, and records when each byte was handed to the node.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::unix_ms;

const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// When the bytes of one connection up to a position were handed to the node.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    position: u64,
    unix_ms: u64,
}

/// What was handed to the node, by the address of the caller.
type Arrivals = Arc<Mutex<HashMap<SocketAddr, Vec<Arrival>>>>;

/// A proxy that runs until its process ends.
pub struct HoldingProxy {
    pub address: SocketAddr,
    arrivals: Arrivals,
}

impl HoldingProxy {
    /// Starts a proxy before `target` that holds each part of a caller's stream back for up to `max_hold`.
    pub fn start(target: SocketAddr, max_hold: Duration, seed: u64) -> HoldingProxy {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let arrivals = Arrivals::default();
        let recorded = arrivals.clone();
        thread::spawn(move || {
            for (caller, nth) in listener.incoming().flatten().zip(0..) {
                let random = fastrand::Rng::with_seed(seed ^ nth << 20);
                let recorded = recorded.clone();
                // A node that refuses the connection refuses the caller's.
                if let Ok(node) = TcpStream::connect(target) {
                    forward(caller, node, max_hold, random, recorded);
                }
            }
        });
        HoldingProxy { address, arrivals }
    }

    /// Returns when the caller's bytes up to this position were handed to the node, in Unix ms; `None` if they never
    /// were.
    pub fn arrived(&self, caller: SocketAddr, position: u64) -> Option<u64> {
        let arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        let of_caller = arrivals.get(&caller)?;
        let first = of_caller
            .iter()
            .find(|arrival| arrival.position >= position);
        first.map(|arrival| arrival.unix_ms)
    }
}

/// Forwards both directions, each on a thread. When the node ends the connection, so does the proxy, with all that it
/// holds.
fn forward(
    caller: TcpStream,
    node: TcpStream,
    max_hold: Duration,
    random: fastrand::Rng,
    arrivals: Arrivals,
) {
    _ = (caller.set_nodelay(true), node.set_nodelay(true));
    let (Ok(mut caller_writer), Ok(mut node_reader)) = (caller.try_clone(), node.try_clone())
    else {
        return;
    };
    thread::spawn(move || {
        while copy(&mut node_reader, &mut caller_writer).is_some() {}
        _ = caller_writer.shutdown(Shutdown::Both);
        _ = node_reader.shutdown(Shutdown::Both);
    });
    thread::spawn(move || hold_and_forward(caller, node, max_hold, random, &arrivals));
}

/// Forwards one part. Returns `None` at the end.
fn copy(from: &mut TcpStream, to: &mut TcpStream) -> Option<()> {
    let mut buffer = [0; MAX_CHUNK_BYTES];
    let count = read(from, &mut buffer)?;
    to.write_all(&buffer[..count]).ok()
}

fn read(from: &mut TcpStream, buffer: &mut [u8]) -> Option<usize> {
    loop {
        match from.read(buffer) {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Ok(0) | Err(_) => return None,
            Ok(count) => return Some(count),
        }
    }
}

fn hold_and_forward(
    mut caller: TcpStream,
    mut node: TcpStream,
    max_hold: Duration,
    mut random: fastrand::Rng,
    arrivals: &Arrivals,
) {
    let Ok(address) = caller.peer_addr() else {
        return;
    };
    let (mut buffer, mut position) = ([0; MAX_CHUNK_BYTES], 0);
    while let Some(count) = read(&mut caller, &mut buffer) {
        let hold = max_hold.mul_f64(random.f64());
        let until = Instant::now() + hold;
        thread::sleep(until.saturating_duration_since(Instant::now()));
        if node.write_all(&buffer[..count]).is_err() {
            break;
        }
        position += count as u64;
        let arrival = Arrival {
            position,
            unix_ms: unix_ms(),
        };
        let mut arrivals = arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        arrivals.entry(address).or_default().push(arrival);
    }
    _ = node.shutdown(Shutdown::Write);
}
