//! A proxy before a node that holds back what callers write and what the node answers, and records when each byte was
//! handed to the node.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
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

/// What was handed to the node of one connection.
#[derive(Debug)]
struct ForwardedStream {
    accepted_unix_ms: u64,
    arrivals: Vec<Arrival>,
}

/// What was handed to the node, by the address of the caller, which later connections may have too.
type Arrivals = Arc<Mutex<HashMap<SocketAddr, Vec<ForwardedStream>>>>;

/// For how long a proxy holds back each part of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct HoldTimes {
    /// The longest time for what callers write; each part has its own.
    pub max_of_requests: Duration,
    /// The time for what the node answers.
    pub of_answers: Duration,
}

/// A proxy that runs until its process ends.
pub struct HoldingProxy {
    pub address: SocketAddr,
    arrivals: Arrivals,
}

impl HoldingProxy {
    /// Starts a proxy before `target`.
    pub fn start(target: SocketAddr, hold: HoldTimes, seed: u64) -> HoldingProxy {
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
                    forward(caller, node, hold, random, recorded);
                }
            }
        });
        HoldingProxy { address, arrivals }
    }

    /// Returns when the bytes up to this position were handed to the node, in Unix ms; `None` if they never were. The
    /// connection is that of `caller` which was opened at `opened_unix_ms` or right after.
    pub fn arrived(&self, caller: SocketAddr, opened_unix_ms: u64, position: u64) -> Option<u64> {
        let arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        let mut streams = arrivals.get(&caller)?.iter();
        let stream = streams.find(|stream| stream.accepted_unix_ms >= opened_unix_ms)?;
        let mut of_stream = stream.arrivals.iter();
        let first = of_stream.find(|arrival| arrival.position >= position);
        first.map(|arrival| arrival.unix_ms)
    }
}

/// Forwards both directions. When the node ends the connection, so does the proxy, with all that it holds.
fn forward(
    caller: TcpStream,
    node: TcpStream,
    hold: HoldTimes,
    random: fastrand::Rng,
    arrivals: Arrivals,
) {
    _ = (caller.set_nodelay(true), node.set_nodelay(true));
    let (Ok(caller_writer), Ok(node_reader)) = (caller.try_clone(), node.try_clone()) else {
        return;
    };
    thread::spawn(move || forward_answers(node_reader, &caller_writer, hold.of_answers));
    thread::spawn(move || {
        hold_and_forward(caller, node, hold.max_of_requests, random, &arrivals);
    });
}

fn forward_answers(mut node: TcpStream, caller: &TcpStream, hold: Duration) {
    let (sender, held): (Sender<(Instant, Vec<u8>)>, _) = channel();
    if let Ok(writer) = caller.try_clone() {
        thread::spawn(move || write_when_due(&held, writer));
    }
    let mut buffer = [0; MAX_CHUNK_BYTES];
    while let Some(count) = read(&mut node, &mut buffer) {
        let due = Instant::now() + hold;
        if sender.send((due, buffer[..count].to_vec())).is_err() {
            break;
        }
    }
    _ = caller.shutdown(Shutdown::Both);
    _ = node.shutdown(Shutdown::Both);
}

fn write_when_due(held: &Receiver<(Instant, Vec<u8>)>, mut caller: TcpStream) {
    while let Ok((due, part)) = held.recv() {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if caller.write_all(&part).is_err() {
            return;
        }
    }
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
    let record = |arrival: Option<Arrival>| {
        let mut arrivals = arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        let streams = arrivals.entry(address).or_default();
        match (arrival, streams.last_mut()) {
            (Some(arrival), Some(stream)) => stream.arrivals.push(arrival),
            _ => streams.push(ForwardedStream {
                accepted_unix_ms: unix_ms(),
                arrivals: Vec::new(),
            }),
        }
    };
    record(None);
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
        record(Some(arrival));
    }
    _ = node.shutdown(Shutdown::Write);
}
