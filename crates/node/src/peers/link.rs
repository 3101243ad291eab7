//! The link to the other nodes: messages are handed to the decisions on membership and budgets, and the actions
//! that come back are executed. Its socket never blocks; it opens the address that it binds to, at the start.

mod budget_actions;
mod logging;
mod socket;
mod status;
mod subsystem;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use doortrack_budgets::NodeId;
use doortrack_config::{FleetConfig, Installation, NodeConfig};
use doortrack_membership::{
    Action, Change, Event, Fleet, Incarnation, MemberState, MemberUpdate, Name,
};
use doortrack_time::{MICROSECONDS_PER_UNIT, TenthMillis};
use slog::{Logger, info};

pub use self::socket::{DatagramCounts, PollerRegistration, TestHook};
use self::socket::{Received, SealedSocket};
use super::budgets::FleetBudgets;
use super::datagram_codec::DatagramCodec;
use super::peer_message::PeerMessage;
use crate::subsystem::SUBSYSTEM_KEYS;

/// The poller's key of the link in a node's own loop.
pub const POLLER_KEY: usize = SUBSYSTEM_KEYS.start;

/// The link's monotonic clock, which does not follow the system clock.
#[derive(Clone, Copy)]
struct LinkClock {
    zero: Instant,
    /// How much faster it runs, in millionths: for tests alone.
    drift_ppm: i32,
}

impl LinkClock {
    /// Time since the link was opened.
    fn now(self) -> TenthMillis {
        let micros = self.zero.elapsed().as_micros() as i64;
        let gained = micros / 1_000 * i64::from(self.drift_ppm) / 1_000;
        (micros + gained) as TenthMillis / MICROSECONDS_PER_UNIT
    }
}

/// The link's socket can't be opened.
#[derive(Debug, thiserror::Error)]
#[error("installation.fleet.listen: {address}: {source}")]
pub struct OpenLinkError {
    /// The address that the operators' file gives.
    address: SocketAddr,
    source: std::io::Error,
}

/// The node's weight in its fleet: as the operators' file says, else its cores.
pub(super) fn weight(fleet_config: &FleetConfig, config: &NodeConfig) -> u32 {
    fleet_config
        .weight
        .unwrap_or(config.settings.admission.cores.ceil() as u32)
        .max(1)
}

/// The link, with the decisions on membership and budgets.
pub struct PeerLink {
    socket: SealedSocket,
    log: Logger,
    zero: Instant,
    config: FleetConfig,
    fleet: Fleet,
    /// Left by the decisions on membership, to be executed.
    actions: Vec<Action>,
    /// The fleet's budgets, where there are any.
    budgets: Option<Rc<RefCell<FleetBudgets>>>,
    /// When a datagram was last logged as refused, by reason.
    refusal_logged_at: BTreeMap<&'static str, TenthMillis>,
    /// The last reading ended at its bound: more datagrams may wait.
    may_have_unread: bool,
    /// Turns for which due timers have waited for them.
    deferred_turns: u32,
}

impl PeerLink {
    /// Opens the link that the operators' file configures. `unix_ms` is the start time of this process.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn open(
        installation: &Installation,
        fleet_config: &FleetConfig,
        key: Option<[u8; 32]>,
        config: &NodeConfig,
        unix_ms: u64,
        registration: PollerRegistration,
        log: Logger,
    ) -> Result<PeerLink, OpenLinkError> {
        let seal = DatagramCodec::new(key, &fleet_config.name);
        let socket =
            SealedSocket::bind(fleet_config.listen, registration, seal).map_err(|source| {
                OpenLinkError {
                    address: fleet_config.listen,
                    source,
                }
            })?;
        let random = fastrand::u64(..);
        let me = MemberUpdate {
            name: config.name.as_str().into(),
            incarnation: Incarnation::from_start_time(unix_ms, random),
            version: 0,
            state: MemberState::Alive,
            address: fleet_config.address(),
            weight: weight(fleet_config, config),
        };
        info!(log, "fleet"; "fleet" => &fleet_config.name, "listen" => %fleet_config.listen, "incarnation" => %me.incarnation,
            "sealed" => key.is_some(), "seeds" => fleet_config.seeds.len());
        let zero = Instant::now();
        let id = NodeId {
            name: me.name.clone(),
            incarnation: me.incarnation,
        };
        let budgets = FleetBudgets::open(fleet_config, installation, config, id);
        let mut peers = PeerLink {
            socket,
            log,
            zero,
            fleet: Fleet::new(me, fleet_config.fleet_parameters(), config.seed ^ random, 0),
            config: fleet_config.clone(),
            actions: Vec::new(),
            budgets: budgets.map(|budgets| Rc::new(RefCell::new(budgets))),
            refusal_logged_at: BTreeMap::new(),
            may_have_unread: false,
            deferred_turns: 0,
        };
        peers.announce_members();
        Ok(peers)
    }

    /// Puts a test's tap between this link and its network.
    pub fn set_test_hook(&mut self, test_hook: Box<dyn TestHook>) {
        self.socket.test_hook = Some(test_hook);
    }

    /// Counts of the link's datagrams.
    pub fn counts(&self) -> &DatagramCounts {
        &self.socket.counts
    }

    /// The decisions on membership.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The name of the node that grants the fleet's budgets, as far as this one knows.
    pub fn leader(&self) -> Option<Name> {
        let budgets = self.budgets.as_ref()?.borrow();
        budgets.budgets.leader().map(|leader| leader.name.clone())
    }

    fn clock(&self) -> LinkClock {
        LinkClock {
            zero: self.zero,
            drift_ppm: self.config.tests.drift_ppm,
        }
    }

    fn now(&self) -> TenthMillis {
        self.clock().now()
    }

    /// Reads and handles one datagram; false if none waited.
    fn read_one(&mut self) -> bool {
        match self.socket.receive() {
            Received::Empty => return false,
            Received::Nothing => {}
            Received::Message { from, message } => self.handle(from, message),
            Received::Refused { from, reason } => self.refuse(reason, from),
        }
        true
    }

    fn handle(&mut self, from: SocketAddr, message: PeerMessage) {
        match message {
            PeerMessage::Membership(datagram) => {
                self.fleet.handle(
                    self.now(),
                    Event::Received { from, datagram },
                    &mut self.actions,
                );
                self.execute_actions();
            }
            PeerMessage::StatusQuery(query) => self.answer_status(query, from),
            // A node that is no member would get no answer, and could fill the leader's ledger.
            PeerMessage::Budgets(envelope) if self.is_member(&envelope.from) => {
                self.handle_budget_event(doortrack_budgets::Event::Received(envelope));
            }
            PeerMessage::Budgets(_) => {
                *self.socket.counts.refused.entry("no_member").or_default() += 1
            }
            PeerMessage::BudgetQuery { nonce, from: index } => {
                self.answer_budget_status(nonce, index, from)
            }
            PeerMessage::Status(_) | PeerMessage::BudgetStatus(_) => {}
        }
    }

    fn send(&mut self, to: SocketAddr, message: &PeerMessage) {
        self.socket.send(to, message);
    }

    /// Executes the actions that the decisions on membership left.
    fn execute_actions(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { to, datagram } => self.send(to, &PeerMessage::Membership(*datagram)),
                Action::Report(change) => {
                    self.log(&change);
                    if let Some(test_hook) = &mut self.socket.test_hook {
                        test_hook.on_change(&change);
                    }
                    if matches!(change, Change::Superseded { .. }) {
                        self.handle_budget_event(doortrack_budgets::Event::Superseded);
                    } else {
                        self.announce_members();
                    }
                }
            }
        }
    }
}
