//! A relay of datagrams between nodes. It has a proxy socket for each node, whose address the node
//! advertises to the others.
//!
//! The proxy socket at which a datagram arrives identifies the receiver, its source address the sender. The relay
//! applies the faults of that link, and forwards the datagram from the sender's proxy socket.

mod forwarder;

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

use self::forwarder::Forwarder;
use crate::script::Fault;

/// The current faults of links, by pairs of nodes (from, to) or for all links.
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
    /// Datagrams forwarded.
    pub passed: u64,
    /// Datagrams dropped.
    pub lost: u64,
    /// Datagrams forwarded with one byte changed.
    pub garbled: u64,
    /// Bytes received by the relay, with IP and UDP headers.
    pub bytes: u64,
}

/// A relay that runs until it is dropped.
pub struct Relay {
    rules: Arc<Mutex<Rules>>,
    counts: Arc<Mutex<RelayCounts>>,
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    /// Opens a relay for nodes, each given by its real address and that of its proxy socket.
    ///
    /// # Errors
    /// A proxy socket can't be bound.
    pub fn open(nodes: &[(SocketAddr, SocketAddr)], seed: u64) -> io::Result<Relay> {
        let mut sockets = Vec::new();
        for (_, proxy_address) in nodes {
            let socket = UdpSocket::bind(proxy_address)?;
            socket.set_nonblocking(true)?;
            sockets.push(socket);
        }
        let mut relay = Relay {
            rules: Arc::default(),
            counts: Arc::default(),
            is_over: Arc::default(),
            thread: None,
        };
        let real = nodes.iter().map(|(real, _)| *real).collect();
        let forwarder = Forwarder::new(sockets, real, &relay.rules, &relay.counts, seed);
        let is_over = relay.is_over.clone();
        let thread = std::thread::Builder::new()
            .name("relay".into())
            .spawn(move || forwarder.run(&is_over))?;
        relay.thread = Some(thread);
        Ok(relay)
    }

    /// Injects a fault of the links between nodes; ignores other faults.
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
                    let remaining = rules
                        .cuts
                        .get(&pair)
                        .map_or(0, |count| count.saturating_sub(1));
                    if remaining == 0 {
                        rules.cuts.remove(&pair);
                    } else {
                        rules.cuts.insert(pair, remaining);
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

    /// Counts since the relay was opened.
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
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }
}
