//! A relay of datagrams between nodes: it has a stand-in socket for each node, whose address the node
//! advertises to the others.
//!
//! A datagram that reaches a node's stand-in was sent by the node whose address it bears. So the relay knows
//! its link, applies the link's faults, and forwards it from the sender's own stand-in.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::script::Fault;

/// Datagrams queued at once; further ones are dropped.
const MAX_QUEUED: usize = 100_000;
/// Bytes of IP and UDP headers of each datagram.
const HEADER_BYTES: u64 = 28;
/// Pause of the relay when no datagram arrives.
const IDLE_PAUSE: Duration = Duration::from_micros(300);
/// Datagrams to each node that are retained for a replay.
const MAX_RETAINED: usize = 300;
/// On a throttled link, a datagram that would wait longer is dropped, as by a full queue.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(1);

/// The present faults of links, by pairs of nodes (from, to) or for all.
#[derive(Default)]
struct Rules {
    cuts: BTreeMap<(usize, usize), u32>,
    loss: f64,
    doubled: f64,
    garbled: f64,
    delay_ms: u64,
    bytes_a_second: u64,
    /// Nodes whose retained datagrams are to be sent again.
    replay: Vec<usize>,
}

/// Counts of datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayCounts {
    pub passed: u64,
    pub lost: u64,
    pub garbled: u64,
    /// Bytes received by the relay, with IP and UDP headers.
    pub bytes: u64,
}

/// A relay that runs until it is dropped.
pub struct Relay {
    rules: Arc<Mutex<Rules>>,
    counts: Arc<Mutex<RelayCounts>>,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// A datagram to be forwarded at a time.
struct Queued {
    at: Instant,
    /// Order of arrival, among those of one time.
    sequence: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Queued) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Queued) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Queued) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

impl Relay {
    /// Opens a relay for nodes, each with its real address and that of its stand-in.
    ///
    /// # Errors
    /// A stand-in's socket can't be bound.
    pub fn open(nodes: &[(SocketAddr, SocketAddr)], seed: u64) -> io::Result<Relay> {
        let mut sockets = Vec::new();
        for (_, stand_in) in nodes {
            let socket = UdpSocket::bind(stand_in)?;
            socket.set_nonblocking(true)?;
            sockets.push(socket);
        }
        let real: Vec<SocketAddr> = nodes.iter().map(|(real, _)| *real).collect();
        let (rules, counts, over): (Arc<Mutex<Rules>>, Arc<Mutex<RelayCounts>>, Arc<AtomicBool>) =
            Default::default();
        let forwarder = Forwarder {
            sockets,
            by_address: real
                .iter()
                .enumerate()
                .map(|(node, address)| (*address, node))
                .collect(),
            real,
            rules: rules.clone(),
            counts: counts.clone(),
            queue: BinaryHeap::new(),
            retained: vec![VecDeque::new(); nodes.len()],
            chance: fastrand::Rng::with_seed(seed),
            sequence: 0,
            free_at: BTreeMap::new(),
        };
        let stop = over.clone();
        let thread = std::thread::Builder::new()
            .name("relay".into())
            .spawn(move || forwarder.run(&stop))?;
        Ok(Relay {
            rules,
            counts,
            over,
            thread: Some(thread),
        })
    }

    /// Injects a fault, if it is one of links between nodes.
    pub fn inject(&self, fault: &Fault) {
        let mut rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        match fault {
            Fault::Cut { from, to } => {
                for pair in pairs(from, to) {
                    *rules.cuts.entry(pair).or_default() += 1;
                }
            }
            Fault::Heal { from, to } => {
                for pair in pairs(from, to) {
                    let left = rules
                        .cuts
                        .get(&pair)
                        .map_or(0, |count| count.saturating_sub(1));
                    if left == 0 {
                        rules.cuts.remove(&pair);
                    } else {
                        rules.cuts.insert(pair, left);
                    }
                }
            }
            Fault::Links {
                loss,
                doubled,
                garbled,
                delay_ms,
            } => {
                (rules.loss, rules.doubled, rules.garbled) = (*loss, *doubled, *garbled);
                rules.delay_ms = *delay_ms;
            }
            Fault::Throttle { bytes_a_second } => rules.bytes_a_second = *bytes_a_second,
            Fault::Replay { nodes } => rules.replay.extend(nodes),
            _ => {}
        }
    }

    /// What was forwarded so far.
    pub fn counts(&self) -> RelayCounts {
        *self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// All links from one group of nodes to another.
fn pairs(from: &[usize], to: &[usize]) -> impl Iterator<Item = (usize, usize)> {
    from.iter()
        .flat_map(|from| to.iter().map(|to| (*from, *to)))
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }
}

/// The relay's thread.
struct Forwarder {
    sockets: Vec<UdpSocket>,
    real: Vec<SocketAddr>,
    by_address: BTreeMap<SocketAddr, usize>,
    rules: Arc<Mutex<Rules>>,
    counts: Arc<Mutex<RelayCounts>>,
    queue: BinaryHeap<Reverse<Queued>>,
    /// By receiving node, the last datagrams: the sending node, and the bytes.
    retained: Vec<VecDeque<(usize, Vec<u8>)>>,
    chance: fastrand::Rng,
    sequence: u64,
    /// When a throttled link will have sent what it accepted.
    free_at: BTreeMap<(usize, usize), Instant>,
}

impl Forwarder {
    fn run(mut self, over: &AtomicBool) {
        let mut bytes = [0; 2_048];
        while !over.load(Ordering::Relaxed) {
            let mut idle = true;
            for to in 0..self.sockets.len() {
                while let Ok((len, from)) = self.sockets[to].recv_from(&mut bytes) {
                    idle = false;
                    if let Some(from) = self.by_address.get(&from).copied() {
                        self.forward(from, to, &bytes[..len]);
                    }
                }
            }
            self.replay();
            let now = Instant::now();
            while self
                .queue
                .peek()
                .is_some_and(|Reverse(queued)| queued.at <= now)
            {
                if let Some(Reverse(queued)) = self.queue.pop() {
                    _ = self.sockets[queued.from].send_to(&queued.bytes, self.real[queued.to]);
                }
            }
            if idle {
                std::thread::sleep(IDLE_PAUSE);
            }
        }
    }

    fn replay(&mut self) {
        let nodes = {
            let mut rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut rules.replay)
        };
        for to in nodes.into_iter().filter(|to| *to < self.retained.len()) {
            for (from, bytes) in &self.retained[to] {
                _ = self.sockets[*from].send_to(bytes, self.real[to]);
            }
        }
    }

    fn forward(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let size = bytes.len() as u64 + HEADER_BYTES;
        counts.bytes += size;
        let lost = rules.cuts.contains_key(&(from, to)) || self.chance.f64() < rules.loss;
        let now = Instant::now();
        let mut sent_at = now;
        if let Some(micros) = (size * 1_000_000).checked_div(rules.bytes_a_second) {
            let free_at = self
                .free_at
                .get(&(from, to))
                .copied()
                .unwrap_or(now)
                .max(now);
            sent_at = free_at + Duration::from_micros(micros);
        }
        if lost || self.queue.len() >= MAX_QUEUED || sent_at > now + MAX_QUEUE_TIME {
            counts.lost += 1;
            return;
        }
        if sent_at > now {
            self.free_at.insert((from, to), sent_at);
        }
        counts.passed += 1;
        let mut bytes = bytes.to_vec();
        if self.chance.f64() < rules.garbled && !bytes.is_empty() {
            counts.garbled += 1;
            let index = self.chance.usize(..bytes.len());
            bytes[index] ^= self.chance.u8(1..);
        }
        if self.retained[to].len() >= MAX_RETAINED {
            self.retained[to].pop_front();
        }
        self.retained[to].push_back((from, bytes.clone()));
        let copies = if self.chance.f64() < rules.doubled {
            2
        } else {
            1
        };
        for _ in 0..copies {
            // Drawn for each copy, so that datagrams overtake one another.
            let delay = Duration::from_micros(self.chance.u64(0..=rules.delay_ms * 2_000));
            self.sequence += 1;
            let at = sent_at + delay;
            self.queue.push(Reverse(Queued {
                at,
                sequence: self.sequence,
                from,
                to,
                bytes: bytes.clone(),
            }));
        }
    }
}
