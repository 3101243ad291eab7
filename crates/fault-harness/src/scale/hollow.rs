//! The process of hollow nodes: many instances of the node's `PeerLink` share one poller.
//!
//! The loop is event-driven: each turn handles the nodes whose sockets are readable or whose timers have
//! expired, then sleeps until the next such event. Commands are read from standard input; the process ends
//! at its end of file.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::ops::Range;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use doortrack_fakes::unix_ms;
use doortrack_membership::Change;
use doortrack_node::peers::{PeerLink, PollerRegistration, TestHook};
use doortrack_node::subsystem::{AdmissionRequest, PermitOutcome, Subsystem};
use doortrack_time::TenthMillis;
use polling::{Event, Events, PollMode, Poller};
use slog::{Discard, Logger, o};

use super::error::ScaleError;
use super::plan::{FLEET_KEY, FleetPlan};
use super::protocol::{HollowCommand, HollowReply, Loss, NodeSample};

/// The poller's key of standard input. The key of a node is `FIRST_NODE_KEY` plus its index in the process.
const INPUT_KEY: usize = 0;
const FIRST_NODE_KEY: usize = 1;
/// Capacity of the poller's event buffer.
const MAX_EVENTS_PER_TURN: usize = 1_024;
/// Maximum number of command bytes per read.
const INPUT_CHUNK_LEN: usize = 64 * 1_024;
const TENTH_MS: Duration = Duration::from_micros(100);
/// How long the loop sleeps at most if no timer is pending.
const MAX_SLEEP: Duration = Duration::from_secs(60);

/// State shared by the test hooks of all nodes in the process.
#[derive(Default)]
struct SharedState {
    partitioned: BTreeSet<usize>,
    losses: Vec<Loss>,
}

/// Drops datagrams that cross a partition, and records members that are declared dead.
struct HollowTestHook {
    node: usize,
    plan: Rc<FleetPlan>,
    shared: Rc<RefCell<SharedState>>,
}

impl TestHook for HollowTestHook {
    fn allows(&self, other: SocketAddr) -> bool {
        let partitioned = &self.shared.borrow().partitioned;
        if partitioned.is_empty() {
            return true;
        }
        let other = self.plan.node_at(other);
        other.is_none_or(|other| partitioned.contains(&other) == partitioned.contains(&self.node))
    }

    fn on_change(&mut self, change: &Change) {
        if let Change::Dead { name, .. } = change {
            let loss = Loss {
                by: self.node,
                name: name.to_string(),
                unix_ms: unix_ms(),
            };
            self.shared.borrow_mut().losses.push(loss);
        }
    }
}

/// One node of the process.
struct Slot {
    node: usize,
    /// None before the start of the node and while it is killed.
    peers: Option<PeerLink>,
    /// The latest time of the next update of this node.
    due: Option<Instant>,
    /// When the node next admits a request under its budgets.
    next_request_at: Option<Instant>,
}

/// The nodes of one process and their event loop.
struct Host {
    plan: Rc<FleetPlan>,
    poller: Arc<Poller>,
    slots: Vec<Slot>,
    indices: BTreeMap<usize, usize>,
    /// Ordered by time. An entry that differs from the `due` time of its slot is obsolete and is skipped.
    timers: BinaryHeap<Reverse<(Instant, usize)>>,
    shared: Rc<RefCell<SharedState>>,
    input: Vec<u8>,
    stopping: bool,
}

/// Runs the nodes of this range until standard input ends.
///
/// # Errors
/// The poller can't be created, or an address can't be bound.
pub fn run(plan: FleetPlan, nodes: Range<usize>) -> Result<(), ScaleError> {
    let at = || format!("hollow nodes {nodes:?}");
    let poller = Arc::new(Poller::new().map_err(ScaleError::io(at()))?);
    let input = io::stdin();
    // SAFETY: standard input stays open for the lifetime of the process.
    unsafe {
        poller
            .add_with_mode(&input, Event::readable(INPUT_KEY), PollMode::Level)
            .map_err(ScaleError::io(at()))?
    };
    let mut host = Host::new(plan, nodes.clone(), poller);
    let mut events =
        Events::with_capacity(NonZeroUsize::new(MAX_EVENTS_PER_TURN).unwrap_or(NonZeroUsize::MIN));
    while !host.stopping {
        events.clear();
        match host.poller.wait(&mut events, Some(host.sleep())) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => {
                return Err(ScaleError::io(at())(e));
            }
            _ => {}
        }
        host.turn(&events)?;
    }
    Ok(())
}

impl Host {
    fn new(plan: FleetPlan, nodes: Range<usize>, poller: Arc<Poller>) -> Host {
        let (now, count) = (Instant::now(), nodes.len().max(1) as u32);
        let gap = Duration::from_millis(plan.start_spread_ms) / count;
        let slot = |(index, node)| {
            let due = Some(now + gap * index as u32);
            Slot {
                node,
                peers: None,
                due,
                next_request_at: None,
            }
        };
        let slots: Vec<Slot> = nodes.clone().enumerate().map(slot).collect();
        let timers = slots.iter().enumerate();
        let timers = timers
            .filter_map(|(index, slot)| Some(Reverse((slot.due?, index))))
            .collect();
        Host {
            plan: Rc::new(plan),
            poller,
            indices: nodes
                .enumerate()
                .map(|(index, node)| (node, index))
                .collect(),
            slots,
            timers,
            shared: Rc::default(),
            input: Vec::new(),
            stopping: false,
        }
    }

    fn sleep(&self) -> Duration {
        let next = self.timers.peek().map(|Reverse((at, _))| *at);
        next.map_or(MAX_SLEEP, |at| at.saturating_duration_since(Instant::now()))
    }

    /// Reads all readable sockets, then updates each node that was read or whose timer has expired.
    fn turn(&mut self, events: &Events) -> Result<(), ScaleError> {
        let mut ready = BTreeSet::new();
        for event in events.iter() {
            if event.key == INPUT_KEY {
                self.read_commands()?;
                continue;
            }
            let index = event.key - FIRST_NODE_KEY;
            if let Some(peers) = self
                .slots
                .get_mut(index)
                .and_then(|slot| slot.peers.as_mut())
            {
                peers.on_readable();
                ready.insert(index);
            }
        }
        let now = Instant::now();
        while let Some(Reverse((at, index))) = self
            .timers
            .peek()
            .copied()
            .filter(|Reverse(due)| due.0 <= now)
        {
            self.timers.pop();
            if self.slots[index].due == Some(at) {
                ready.insert(index);
            }
        }
        for index in ready {
            self.update_node(index, now)?;
        }
        Ok(())
    }

    /// Runs the due work of one node and schedules its next update.
    fn update_node(&mut self, index: usize, now: Instant) -> Result<(), ScaleError> {
        if self.slots[index].peers.is_none() && self.slots[index].due.is_some() {
            self.open(index)?;
        }
        let uses_per_second = self.plan.uses_per_second;
        let tenants = self.plan.tenant_budgets();
        let slot = &mut self.slots[index];
        let Some(peers) = &mut slot.peers else {
            return Ok(());
        };
        if slot.next_request_at.is_some_and(|at| at <= now) {
            admit_one_request(peers, tenants);
            slot.next_request_at = Some(now + Duration::from_secs(1) / uses_per_second.max(1));
        }
        peers.poll();
        let wait = match peers.time_to_next_poll() {
            TenthMillis::MAX => MAX_SLEEP,
            tenths => TENTH_MS.saturating_mul(u32::try_from(tenths).unwrap_or(u32::MAX)),
        };
        let own = Instant::now() + wait.min(MAX_SLEEP);
        let due = slot.next_request_at.map_or(own, |at| at.min(own));
        if slot.due != Some(due) {
            slot.due = Some(due);
            self.timers.push(Reverse((due, index)));
        }
        Ok(())
    }

    fn open(&mut self, index: usize) -> Result<(), ScaleError> {
        let node = self.slots[index].node;
        let (installation, node_config) = self.plan.parsed(node)?;
        let fleet = installation.fleet.as_ref().ok_or(ScaleError::NoFleet)?;
        let registration = PollerRegistration {
            poller: &self.poller,
            key: index + FIRST_NODE_KEY,
        };
        let log = Logger::root(Discard, o!());
        let key = Some(FLEET_KEY);
        let mut peers = PeerLink::open(
            &installation,
            fleet,
            key,
            &node_config,
            unix_ms(),
            registration,
            log,
        )?;
        let (plan, shared) = (self.plan.clone(), self.shared.clone());
        peers.set_test_hook(Box::new(HollowTestHook { node, plan, shared }));
        let generates_load = self.plan.uses_per_second > 0 && !self.plan.is_voter(node);
        let slot = &mut self.slots[index];
        slot.peers = Some(peers);
        slot.next_request_at = generates_load.then(Instant::now);
        Ok(())
    }

    /// Reads available bytes from standard input and replies to each complete line.
    fn read_commands(&mut self) -> Result<(), ScaleError> {
        let mut chunk = vec![0; INPUT_CHUNK_LEN];
        // The poller reported standard input as readable (level-triggered), so one read does not block.
        let len = io::stdin()
            .lock()
            .read(&mut chunk)
            .map_err(ScaleError::io("standard input"))?;
        self.stopping = len == 0;
        self.input.extend(&chunk[..len]);
        while let Some(end) = self.input.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.input.drain(..=end).collect();
            let reply = match serde_json::from_slice::<HollowCommand>(&line) {
                Ok(command) => self.execute(command),
                Err(e) => HollowReply::Failed {
                    why: format!("invalid command: {e}"),
                },
            };
            let text = serde_json::to_string(&reply).map_err(ScaleError::json("a reply"))?;
            let mut output = io::stdout().lock();
            let written = writeln!(output, "{text}").and_then(|()| output.flush());
            // A failed write means that the harness has ended.
            self.stopping |= written.is_err();
        }
        Ok(())
    }

    fn execute(&mut self, command: HollowCommand) -> HollowReply {
        match command {
            HollowCommand::Sample => {
                let samples = self
                    .slots
                    .iter()
                    .filter_map(|slot| Some(sample(slot.node, slot.peers.as_ref()?)));
                return HollowReply::Sample {
                    nodes: samples.collect(),
                };
            }
            HollowCommand::Losses => {
                let losses = std::mem::take(&mut self.shared.borrow_mut().losses);
                return HollowReply::Losses { losses };
            }
            HollowCommand::Kill { nodes } => {
                for index in self.indices_of(&nodes) {
                    let slot = &mut self.slots[index];
                    (slot.peers, slot.due, slot.next_request_at) = (None, None, None);
                }
            }
            HollowCommand::Start { nodes } => {
                let now = Instant::now();
                for index in self.indices_of(&nodes) {
                    self.slots[index].due = Some(now);
                    self.timers.push(Reverse((now, index)));
                }
            }
            HollowCommand::Partition { nodes } => {
                self.shared.borrow_mut().partitioned = nodes.into_iter().collect();
            }
        }
        HollowReply::Done
    }

    /// Returns the slot indices of those nodes in `nodes` that belong to this process.
    fn indices_of(&self, nodes: &[usize]) -> Vec<usize> {
        nodes
            .iter()
            .filter_map(|node| self.indices.get(node).copied())
            .collect()
    }
}

/// Admits and completes one request of endpoint group 0 and a random tenant, as a caller's request would be.
fn admit_one_request(peers: &mut PeerLink, tenants: usize) {
    let tenant = if tenants == 0 {
        u16::MAX
    } else {
        fastrand::usize(..tenants) as u16
    };
    if let Ok(permit) = peers.admit(AdmissionRequest {
        group: 0,
        tenant,
        pool: 0,
    }) {
        peers.release(permit, PermitOutcome::RunEnded);
    }
}

fn sample(node: usize, peers: &PeerLink) -> NodeSample {
    let (counts, fleet) = (peers.counts(), peers.fleet());
    NodeSample {
        node,
        datagrams_in: counts.received,
        datagrams_out: counts.sent,
        bytes_in: counts.received_bytes,
        bytes_out: counts.sent_bytes,
        unsent: counts.unsent,
        refused: counts.refused.values().sum(),
        members: fleet.view().members.len(),
        digest: fleet.view().digest,
        isolated: fleet.is_isolated(),
        leader: peers.leader().map(|name| name.to_string()),
    }
}
