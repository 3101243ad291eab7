//! What lies between the nodes: a socket for each, which the others take for the node itself.
//!
//! A datagram that comes to a node's stand-in came from the one whose address it bears; so the relay knows
//! which link it is on, does to it what that link does, and passes it on from the sender's own stand-in.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::script::Fault;

/// Datagrams on their way at once; more are lost.
const MAX_QUEUED: usize = 100_000;
/// How long the relay rests where nothing comes.
const REST: Duration = Duration::from_micros(300);
/// Datagrams to each node that are kept for a replay.
const MAX_RETAINED: usize = 300;
/// What would wait for its turn on a throttled link for longer is lost, as by a full queue.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(1);

/// What the links do just now.
#[derive(Default)]
struct Rules {
    cuts: BTreeMap<(usize, usize), u32>,
    loss: f64,
    doubled: f64,
    garbled: f64,
    delay_ms: u64,
    bytes_a_second: u64,
    /// Nodes that are to get again what they got.
    replay: Vec<usize>,
}

/// What was passed on and what was not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayCounts {
    pub passed: u64,
    pub lost: u64,
    pub garbled: u64,
    /// With IP and UDP.
    pub bytes: u64,
}

/// A relay that runs until it is dropped.
pub struct Relay {
    rules: Arc<Mutex<Rules>>,
    counts: Arc<Mutex<RelayCounts>>,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

struct Held {
    at: Instant,
    nth: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

impl PartialEq for Held {
    fn eq(&self, other: &Held) -> bool {
        self.nth == other.nth
    }
}

impl Eq for Held {}

impl PartialOrd for Held {
    fn partial_cmp(&self, other: &Held) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Held {
    fn cmp(&self, other: &Held) -> std::cmp::Ordering {
        (self.at, self.nth).cmp(&(other.at, other.nth))
    }
}

impl Relay {
    /// `nodes` are the real address of each and the one at which the relay stands in for it.
    ///
    /// # Errors
    /// A stand-in's address that can't be had.
    pub fn open(nodes: &[(SocketAddr, SocketAddr)], seed: u64) -> io::Result<Relay> {
        let mut socks = Vec::new();
        for (_, stand_in) in nodes {
            let sock = UdpSocket::bind(stand_in)?;
            sock.set_nonblocking(true)?;
            socks.push(sock);
        }
        let real: Vec<SocketAddr> = nodes.iter().map(|(real, _)| *real).collect();
        let (rules, counts, over): (Arc<Mutex<Rules>>, Arc<Mutex<RelayCounts>>, Arc<AtomicBool>) =
            Default::default();
        let run = Run {
            socks,
            by_address: real.iter().enumerate().map(|(nth, at)| (*at, nth)).collect(),
            real,
            rules: rules.clone(),
            counts: counts.clone(),
            held: BinaryHeap::new(),
            kept: vec![VecDeque::new(); nodes.len()],
            chance: fastrand::Rng::with_seed(seed),
            nth: 0,
            free_at: BTreeMap::new(),
        };
        let until = over.clone();
        let thread = std::thread::Builder::new().name("relay".into()).spawn(move || run.run(&until))?;
        Ok(Relay { rules, counts, over, thread: Some(thread) })
    }

    /// Takes up a fault, if it is one of links.
    pub fn take_up(&self, fault: &Fault) {
        let mut rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        match fault {
            Fault::Cut { from, to } => {
                for pair in from.iter().flat_map(|of| to.iter().map(move |to| (*of, *to))) {
                    *rules.cuts.entry(pair).or_default() += 1;
                }
            }
            Fault::Mend { from, to } => {
                for pair in from.iter().flat_map(|of| to.iter().map(move |to| (*of, *to))) {
                    let left = rules.cuts.get(&pair).map_or(0, |count| count.saturating_sub(1));
                    if left == 0 {
                        rules.cuts.remove(&pair);
                    } else {
                        rules.cuts.insert(pair, left);
                    }
                }
            }
            Fault::Links { loss, doubled, garbled, delay_ms } => {
                (rules.loss, rules.doubled, rules.garbled) = (*loss, *doubled, *garbled);
                rules.delay_ms = *delay_ms;
            }
            Fault::Throttle { bytes_a_second } => rules.bytes_a_second = *bytes_a_second,
            Fault::Replay { nodes } => rules.replay.extend(nodes),
            _ => {}
        }
    }

    pub fn counts(&self) -> RelayCounts {
        *self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }
}

struct Run {
    socks: Vec<UdpSocket>,
    real: Vec<SocketAddr>,
    by_address: BTreeMap<SocketAddr, usize>,
    rules: Arc<Mutex<Rules>>,
    counts: Arc<Mutex<RelayCounts>>,
    held: BinaryHeap<Reverse<Held>>,
    /// By node, what last came to it: from whom, and the bytes.
    kept: Vec<VecDeque<(usize, Vec<u8>)>>,
    chance: fastrand::Rng,
    nth: u64,
    /// When a throttled link has passed what it took in.
    free_at: BTreeMap<(usize, usize), Instant>,
}

impl Run {
    fn run(mut self, over: &AtomicBool) {
        let mut bytes = [0; 2_048];
        while !over.load(Ordering::Relaxed) {
            let mut idle = true;
            for to in 0..self.socks.len() {
                while let Ok((len, from)) = self.socks[to].recv_from(&mut bytes) {
                    idle = false;
                    if let Some(from) = self.by_address.get(&from).copied() {
                        self.came(from, to, &bytes[..len]);
                    }
                }
            }
            self.replay();
            let now = Instant::now();
            while self.held.peek().is_some_and(|Reverse(held)| held.at <= now) {
                if let Some(Reverse(held)) = self.held.pop() {
                    _ = self.socks[held.from].send_to(&held.bytes, self.real[held.to]);
                }
            }
            if idle {
                std::thread::sleep(REST);
            }
        }
    }

    fn replay(&mut self) {
        let again = {
            let mut rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut rules.replay)
        };
        for to in again.into_iter().filter(|to| *to < self.kept.len()) {
            for (from, bytes) in &self.kept[to] {
                _ = self.socks[*from].send_to(bytes, self.real[to]);
            }
        }
    }

    fn came(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.bytes += bytes.len() as u64 + 28;
        let lost = rules.cuts.contains_key(&(from, to)) || self.chance.f64() < rules.loss;
        let now = Instant::now();
        let mut passes_at = now;
        let size = bytes.len() as u64 + 28;
        if let Some(micros) = (size * 1_000_000).checked_div(rules.bytes_a_second) {
            let free_at = self.free_at.get(&(from, to)).copied().unwrap_or(now).max(now);
            passes_at = free_at + Duration::from_micros(micros);
        }
        if lost || self.held.len() >= MAX_QUEUED || passes_at > now + MAX_QUEUE_TIME {
            counts.lost += 1;
            return;
        }
        if passes_at > now {
            self.free_at.insert((from, to), passes_at);
        }
        counts.passed += 1;
        let mut bytes = bytes.to_vec();
        if self.chance.f64() < rules.garbled && !bytes.is_empty() {
            counts.garbled += 1;
            let place = self.chance.usize(..bytes.len());
            bytes[place] ^= self.chance.u8(1..);
        }
        if self.kept[to].len() >= MAX_RETAINED {
            self.kept[to].pop_front();
        }
        self.kept[to].push_back((from, bytes.clone()));
        let times = if self.chance.f64() < rules.doubled { 2 } else { 1 };
        for _ in 0..times {
            // Drawn anew for each, so that they overtake one another.
            let wait = Duration::from_micros(self.chance.u64(0..=rules.delay_ms * 2_000));
            self.nth += 1;
            let at = passes_at + wait;
            self.held.push(Reverse(Held { at, nth: self.nth, from, to, bytes: bytes.clone() }));
        }
    }
}
