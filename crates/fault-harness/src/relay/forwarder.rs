//! The relay's thread, which receives, delays and forwards datagrams.

use std::cmp::{Ordering as Order, Reverse};
use std::collections::binary_heap::PeekMut;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::{RelayCounts, Rules};

/// Greatest size of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Greatest number of queued datagrams; further ones are dropped.
const MAX_QUEUED: usize = 100_000;
/// Size of the IP and UDP headers of a datagram in bytes.
const HEADER_BYTES: u64 = 28;
/// Pause after a pass in which no datagram arrived.
const IDLE_PAUSE: Duration = Duration::from_micros(300);
/// Greatest number of datagrams to each node that are retained for a replay.
const MAX_RETAINED: usize = 300;
/// Longest wait for a throttled link; datagrams that would wait longer are dropped, as by a full queue.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(1);

/// A datagram and when it is to be forwarded.
struct Queued {
    at: Instant,
    /// Order of arrival, which orders datagrams with equal times.
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
    fn partial_cmp(&self, other: &Queued) -> Option<Order> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Queued) -> Order {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Receives datagrams and forwards them under the current rules.
pub(super) struct Forwarder {
    sockets: Vec<UdpSocket>,
    node_addresses: Vec<SocketAddr>,
    by_address: BTreeMap<SocketAddr, usize>,
    rules: Arc<Mutex<Rules>>,
    counts: Arc<Mutex<RelayCounts>>,
    queue: BinaryHeap<Reverse<Queued>>,
    /// By receiving node, the last datagrams with their senders.
    retained: Vec<VecDeque<(usize, Vec<u8>)>>,
    random: fastrand::Rng,
    sequence: u64,
    /// By throttled link, when it will have sent all accepted datagrams.
    free_at: BTreeMap<(usize, usize), Instant>,
}

impl Forwarder {
    /// A forwarder between nodes; each node is given by its proxy socket and its real address.
    pub(super) fn new(
        sockets: Vec<UdpSocket>,
        node_addresses: Vec<SocketAddr>,
        rules: &Arc<Mutex<Rules>>,
        counts: &Arc<Mutex<RelayCounts>>,
        seed: u64,
    ) -> Forwarder {
        let by_address = node_addresses.iter().copied().zip(0..).collect();
        Forwarder {
            retained: vec![VecDeque::new(); sockets.len()],
            sockets,
            node_addresses,
            by_address,
            rules: rules.clone(),
            counts: counts.clone(),
            queue: BinaryHeap::new(),
            random: fastrand::Rng::with_seed(seed),
            sequence: 0,
            free_at: BTreeMap::new(),
        }
    }

    pub(super) fn run(mut self, is_over: &AtomicBool) {
        while !is_over.load(Ordering::Relaxed) {
            let has_received = self.receive();
            self.replay();
            self.send_due();
            if !has_received {
                std::thread::sleep(IDLE_PAUSE);
            }
        }
    }

    /// Forwards all datagrams that have arrived. Returns whether there were any.
    fn receive(&mut self) -> bool {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        let mut has_received = false;
        for to in 0..self.sockets.len() {
            while let Ok((len, from)) = self.sockets[to].recv_from(&mut bytes) {
                has_received = true;
                if let Some(from) = self.by_address.get(&from).copied() {
                    self.forward(from, to, &bytes[..len]);
                }
            }
        }
        has_received
    }

    fn send_due(&mut self) {
        let now = Instant::now();
        while let Some(due) = self.queue.peek_mut() {
            if due.0.at > now {
                return;
            }
            let Reverse(queued) = PeekMut::pop(due);
            _ = self.sockets[queued.from].send_to(&queued.bytes, self.node_addresses[queued.to]);
        }
    }

    fn replay(&mut self) {
        let nodes = {
            let mut rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut rules.replay)
        };
        for to in nodes.into_iter().filter(|to| *to < self.retained.len()) {
            for (from, bytes) in &self.retained[to] {
                _ = self.sockets[*from].send_to(bytes, self.node_addresses[to]);
            }
        }
    }

    /// Applies the link's faults to a datagram, and queues it unless it is dropped.
    fn forward(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let rules = self.rules.clone();
        let rules = rules.lock().unwrap_or_else(PoisonError::into_inner);
        let size = bytes.len() as u64 + HEADER_BYTES;
        let is_dropped = rules.cuts.contains_key(&(from, to)) || self.random.f64() < rules.loss;
        let now = Instant::now();
        let sent_at = self.transmission_end(from, to, size, rules.bytes_a_second, now);
        let is_queue_full = self.queue.len() >= MAX_QUEUED || sent_at > now + MAX_QUEUE_TIME;
        let passes = !is_dropped && !is_queue_full;
        self.count(|counts| {
            counts.bytes += size;
            if passes {
                counts.passed += 1;
            } else {
                counts.lost += 1;
            }
        });
        if !passes {
            return;
        }
        if sent_at > now {
            self.free_at.insert((from, to), sent_at);
        }
        let bytes = self.garble(bytes, rules.garbled);
        self.retain(from, to, &bytes);
        let copies = if self.random.f64() < rules.doubled {
            2
        } else {
            1
        };
        for _ in 0..copies {
            // Each copy has its own random delay, so that datagrams are reordered.
            let delay = Duration::from_micros(self.random.u64(0..=rules.delay_ms * 2_000));
            self.schedule(sent_at + delay, from, to, bytes.clone());
        }
    }

    /// When a link will have sent a datagram of `size` bytes; `now` if the link is not throttled.
    fn transmission_end(
        &self,
        from: usize,
        to: usize,
        size: u64,
        bytes_per_second: u64,
        now: Instant,
    ) -> Instant {
        let Some(micros) = (size * 1_000_000).checked_div(bytes_per_second) else {
            return now;
        };
        let free_at = self.free_at.get(&(from, to)).copied();
        free_at.unwrap_or(now).max(now) + Duration::from_micros(micros)
    }

    /// A copy of the datagram, with one byte changed with this probability.
    fn garble(&mut self, bytes: &[u8], probability: f64) -> Vec<u8> {
        let mut bytes = bytes.to_vec();
        if self.random.f64() < probability && !bytes.is_empty() {
            self.count(|counts| counts.garbled += 1);
            let index = self.random.usize(..bytes.len());
            bytes[index] ^= self.random.u8(1..);
        }
        bytes
    }

    fn retain(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let retained = &mut self.retained[to];
        if retained.len() >= MAX_RETAINED {
            retained.pop_front();
        }
        retained.push_back((from, bytes.to_vec()));
    }

    fn schedule(&mut self, at: Instant, from: usize, to: usize, bytes: Vec<u8>) {
        self.sequence += 1;
        self.queue.push(Reverse(Queued {
            at,
            sequence: self.sequence,
            from,
            to,
            bytes,
        }));
    }

    fn count(&self, update: impl FnOnce(&mut RelayCounts)) {
        update(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner));
    }
}
