//! The process of hollow nodes: many links of the node's own code under one poller.
//!
//! Nothing is polled: a turn of the loop touches the nodes that have something to read and those whose time
//! has come, and sleeps until the next of either. Commands come on standard input; its end ends the process.

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

/// The poller's key of standard input; a node's is its place in the process and this beyond.
const INPUT_KEY: usize = 0;
const FIRST_NODE_KEY: usize = 1;
/// Events taken from the poller at once.
const EVENTS_AT_ONCE: usize = 1_024;
/// Bytes of commands read at once.
const INPUT_CHUNK: usize = 64 * 1_024;
const TENTH: Duration = Duration::from_micros(100);
/// The sleep of a process in which nothing is due.
const LONGEST_SLEEP: Duration = Duration::from_secs(60);

/// What all taps of one process share.
#[derive(Default)]
struct Shared {
    parted: BTreeSet<usize>,
    losses: Vec<Loss>,
}

/// Drops datagrams across the line of a partition, and takes note of losses.
struct HollowTap {
    node: usize,
    plan: Rc<FleetPlan>,
    shared: Rc<RefCell<Shared>>,
}

impl TestHook for HollowTap {
    fn allows(&self, other: SocketAddr) -> bool {
        let parted = &self.shared.borrow().parted;
        if parted.is_empty() {
            return true;
        }
        let other = self.plan.node_at(other);
        other.is_none_or(|other| parted.contains(&other) == parted.contains(&self.node))
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

/// One node's place in the process.
struct Slot {
    node: usize,
    /// None before its start and while it is killed.
    peers: Option<PeerLink>,
    /// When it is to be looked at again, at the latest.
    due: Option<Instant>,
    /// When it next books a request on its budgets.
    use_at: Option<Instant>,
}

/// The nodes of one process and their loop.
struct Host {
    plan: Rc<FleetPlan>,
    poller: Arc<Poller>,
    slots: Vec<Slot>,
    places: BTreeMap<usize, usize>,
    /// By time; an entry that is not its slot's `due` any more is passed over.
    timers: BinaryHeap<Reverse<(Instant, usize)>>,
    shared: Rc<RefCell<Shared>>,
    input: Vec<u8>,
    over: bool,
}

/// Runs the nodes of this range until standard input ends.
///
/// # Errors
/// A poller or an address that can't be had.
pub fn run(plan: FleetPlan, nodes: Range<usize>) -> Result<(), ScaleError> {
    let at = || format!("hollow nodes {nodes:?}");
    let poller = Arc::new(Poller::new().map_err(ScaleError::io(at()))?);
    let input = io::stdin();
    // SAFETY: standard input is open for as long as the process.
    unsafe {
        poller
            .add_with_mode(&input, Event::readable(INPUT_KEY), PollMode::Level)
            .map_err(ScaleError::io(at()))?
    };
    let mut host = Host::new(plan, nodes.clone(), poller);
    let mut events =
        Events::with_capacity(NonZeroUsize::new(EVENTS_AT_ONCE).unwrap_or(NonZeroUsize::MIN));
    while !host.over {
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
        let slot = |(place, node)| {
            let due = Some(now + gap * place as u32);
            Slot {
                node,
                peers: None,
                due,
                use_at: None,
            }
        };
        let slots: Vec<Slot> = nodes.clone().enumerate().map(slot).collect();
        let timers = slots.iter().enumerate();
        let timers = timers
            .filter_map(|(place, slot)| Some(Reverse((slot.due?, place))))
            .collect();
        Host {
            plan: Rc::new(plan),
            poller,
            places: nodes
                .enumerate()
                .map(|(place, node)| (node, place))
                .collect(),
            slots,
            timers,
            shared: Rc::default(),
            input: Vec::new(),
            over: false,
        }
    }

    fn sleep(&self) -> Duration {
        let next = self.timers.peek().map(|Reverse((at, _))| *at);
        next.map_or(LONGEST_SLEEP, |at| {
            at.saturating_duration_since(Instant::now())
        })
    }

    /// Reads what is ready, then does what is due, each node once.
    fn turn(&mut self, events: &Events) -> Result<(), ScaleError> {
        let mut touched = BTreeSet::new();
        for event in events.iter() {
            if event.key == INPUT_KEY {
                self.read_commands()?;
                continue;
            }
            let place = event.key - FIRST_NODE_KEY;
            if let Some(peers) = self
                .slots
                .get_mut(place)
                .and_then(|slot| slot.peers.as_mut())
            {
                peers.on_readable();
                touched.insert(place);
            }
        }
        let now = Instant::now();
        while let Some(Reverse((at, place))) = self
            .timers
            .peek()
            .copied()
            .filter(|Reverse(due)| due.0 <= now)
        {
            self.timers.pop();
            if self.slots[place].due == Some(at) {
                touched.insert(place);
            }
        }
        for place in touched {
            self.tend(place, now)?;
        }
        Ok(())
    }

    /// Does what is due in one node, and sets its next time.
    fn tend(&mut self, place: usize, now: Instant) -> Result<(), ScaleError> {
        if self.slots[place].peers.is_none() && self.slots[place].due.is_some() {
            self.open(place)?;
        }
        let uses_per_second = self.plan.uses_per_second;
        let tenants = self.plan.tenant_budgets();
        let slot = &mut self.slots[place];
        let Some(peers) = &mut slot.peers else {
            return Ok(());
        };
        if slot.use_at.is_some_and(|at| at <= now) {
            book_one(peers, tenants);
            slot.use_at = Some(now + Duration::from_secs(1) / uses_per_second.max(1));
        }
        peers.poll();
        let wait = match peers.time_to_next_poll() {
            TenthMillis::MAX => LONGEST_SLEEP,
            tenths => TENTH.saturating_mul(u32::try_from(tenths).unwrap_or(u32::MAX)),
        };
        let own = Instant::now() + wait.min(LONGEST_SLEEP);
        let due = slot.use_at.map_or(own, |at| at.min(own));
        if slot.due != Some(due) {
            slot.due = Some(due);
            self.timers.push(Reverse((due, place)));
        }
        Ok(())
    }

    fn open(&mut self, place: usize) -> Result<(), ScaleError> {
        let node = self.slots[place].node;
        let (installation, orders) = self.plan.parsed(node)?;
        let fleet = installation.fleet.as_ref().ok_or(ScaleError::NoFleet)?;
        let registration = PollerRegistration {
            poller: &self.poller,
            key: place + FIRST_NODE_KEY,
        };
        let log = Logger::root(Discard, o!());
        let key = Some(FLEET_KEY);
        let mut peers = PeerLink::open(
            &installation,
            fleet,
            key,
            &orders,
            unix_ms(),
            registration,
            log,
        )?;
        let (plan, shared) = (self.plan.clone(), self.shared.clone());
        peers.set_test_hook(Box::new(HollowTap { node, plan, shared }));
        let books = self.plan.uses_per_second > 0 && !self.plan.is_voter(node);
        let slot = &mut self.slots[place];
        slot.peers = Some(peers);
        slot.use_at = books.then(Instant::now);
        Ok(())
    }

    /// Reads what has come on standard input, and answers each whole line.
    fn read_commands(&mut self) -> Result<(), ScaleError> {
        let mut chunk = vec![0; INPUT_CHUNK];
        // Level-triggered and ready: one read does not block.
        let len = io::stdin()
            .lock()
            .read(&mut chunk)
            .map_err(ScaleError::io("standard input"))?;
        self.over = len == 0;
        self.input.extend(&chunk[..len]);
        while let Some(end) = self.input.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.input.drain(..=end).collect();
            let reply = match serde_json::from_slice::<HollowCommand>(&line) {
                Ok(command) => self.carry_out(command),
                Err(e) => HollowReply::Failed {
                    why: format!("no command: {e}"),
                },
            };
            let text = serde_json::to_string(&reply).map_err(ScaleError::json("a reply"))?;
            let mut output = io::stdout().lock();
            let written = writeln!(output, "{text}").and_then(|()| output.flush());
            // Nobody reads any more: the rig has ended.
            self.over |= written.is_err();
        }
        Ok(())
    }

    fn carry_out(&mut self, command: HollowCommand) -> HollowReply {
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
                for place in self.places_of(&nodes) {
                    let slot = &mut self.slots[place];
                    (slot.peers, slot.due, slot.use_at) = (None, None, None);
                }
            }
            HollowCommand::Start { nodes } => {
                let now = Instant::now();
                for place in self.places_of(&nodes) {
                    self.slots[place].due = Some(now);
                    self.timers.push(Reverse((now, place)));
                }
            }
            HollowCommand::Part { nodes } => {
                self.shared.borrow_mut().parted = nodes.into_iter().collect();
            }
        }
        HollowReply::Done
    }

    /// Places of those of these nodes that this process has.
    fn places_of(&self, nodes: &[usize]) -> Vec<usize> {
        nodes
            .iter()
            .filter_map(|node| self.places.get(node).copied())
            .collect()
    }
}

/// Books one request as a caller's would be: on the group's budget, and on one tenant's.
fn book_one(peers: &mut PeerLink, tenants: usize) {
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
