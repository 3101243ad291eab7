//! The link to the other nodes. It passes messages to the membership and budget protocols and executes the actions
//! they return. The socket never blocks, except at the start, when its address may still be in use.

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
use self::socket::{DatagramSocket, Received};
use super::budgets::FleetBudgets;
use super::datagram_codec::DatagramCodec;
use super::peer_message::PeerMessage;
use crate::subsystem::SUBSYSTEM_KEYS;

/// Poller key of the link in a node's event loop.
pub const POLLER_KEY: usize = SUBSYSTEM_KEYS.start;

/// The link's monotonic clock, which is independent of the system clock.
#[derive(Clone, Copy)]
struct LinkClock {
    opened_at: Instant,
    /// How much faster than real time the clock runs, in millionths; only for tests.
    drift_ppm: i32,
}

impl LinkClock {
    /// Time since the link was opened.
    fn now(self) -> TenthMillis {
        let micros = self.opened_at.elapsed().as_micros() as i64;
        let gained = micros / 1_000 * i64::from(self.drift_ppm) / 1_000;
        (micros + gained) as TenthMillis / MICROSECONDS_PER_UNIT
    }
}

/// The link's socket can't be opened.
#[derive(Debug, thiserror::Error)]
#[error("installation.fleet.listen: {address}: {source}")]
pub struct OpenLinkError {
    /// The address in the installation file.
    address: SocketAddr,
    source: std::io::Error,
}

/// The node's weight in its fleet: the configured weight, otherwise its number of cores.
pub(super) fn weight(fleet_config: &FleetConfig, config: &NodeConfig) -> u32 {
    fleet_config
        .weight
        .unwrap_or(config.settings.admission.cores.ceil() as u32)
        .max(1)
}

/// The link to the other nodes, with the state of the membership and budget protocols.
pub struct PeerLink {
    socket: DatagramSocket,
    log: Logger,
    opened_at: Instant,
    config: FleetConfig,
    fleet: Fleet,
    /// Actions returned by the membership protocol that are not executed yet.
    actions: Vec<Action>,
    /// The fleet's budgets, if it has any.
    budgets: Option<Rc<RefCell<FleetBudgets>>>,
    /// When a rejected datagram was last logged, by reason.
    rejection_logged_at: BTreeMap<&'static str, TenthMillis>,
    /// The last read stopped at its limit, so more datagrams may wait.
    may_have_unread: bool,
    /// Number of turns for which due timers have waited for unread datagrams.
    deferred_turns: u32,
}

impl PeerLink {
    /// Opens the link that the installation configures. `unix_ms` is the start time of this process.
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
            DatagramSocket::bind(fleet_config.listen, registration, seal).map_err(|source| {
                OpenLinkError {
                    address: fleet_config.listen,
                    source,
                }
            })?;
        let random = fastrand::u64(..);
        let own_member = MemberUpdate {
            name: config.name.as_str().into(),
            incarnation: Incarnation::from_start_time(unix_ms, random),
            version: 0,
            state: MemberState::Alive,
            address: fleet_config.address(),
            weight: weight(fleet_config, config),
        };
        info!(log, "fleet"; "fleet" => &fleet_config.name, "listen" => %fleet_config.listen, "incarnation" => %own_member.incarnation,
            "sealed" => key.is_some(), "seeds" => fleet_config.seeds.len());
        let opened_at = Instant::now();
        let id = NodeId {
            name: own_member.name.clone(),
            incarnation: own_member.incarnation,
        };
        let budgets = FleetBudgets::open(fleet_config, installation, config, id);
        let mut peers = PeerLink {
            socket,
            log,
            opened_at,
            fleet: Fleet::new(
                own_member,
                fleet_config.fleet_parameters(),
                config.seed ^ random,
                0,
            ),
            config: fleet_config.clone(),
            actions: Vec::new(),
            budgets: budgets.map(|budgets| Rc::new(RefCell::new(budgets))),
            rejection_logged_at: BTreeMap::new(),
            may_have_unread: false,
            deferred_turns: 0,
        };
        peers.announce_members();
        Ok(peers)
    }

    /// Installs a test hook that filters datagrams and observes changes.
    pub fn set_test_hook(&mut self, test_hook: Box<dyn TestHook>) {
        self.socket.test_hook = Some(test_hook);
    }

    /// Counters of the link's datagrams.
    pub fn counts(&self) -> &DatagramCounts {
        &self.socket.counts
    }

    /// The state of the membership protocol.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The name of the leader, which grants the fleet's budgets, as far as this node knows.
    pub fn leader(&self) -> Option<Name> {
        let budgets = self.budgets.as_ref()?.borrow();
        budgets.budgets.leader().map(|leader| leader.name.clone())
    }

    fn clock(&self) -> LinkClock {
        LinkClock {
            opened_at: self.opened_at,
            drift_ppm: self.config.fault_injection.drift_ppm,
        }
    }

    fn now(&self) -> TenthMillis {
        self.clock().now()
    }

    /// Reads and handles one datagram. Returns false if there was none.
    fn read_one(&mut self) -> bool {
        match self.socket.receive() {
            Received::Empty => return false,
            Received::Ignored => {}
            Received::Message { from, message } => self.handle(from, message),
            Received::Invalid { from, reason } => self.count_rejected(reason, from),
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
            // A node that is not a member would get no answer, and could fill the leader's ledger.
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

    /// Executes the actions that the membership protocol returned.
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
