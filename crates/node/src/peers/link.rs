//! The link to the other nodes: messages are handed to the decisions on membership, and their actions carried
//! out. The modules below hold the socket, carry out the actions of budgets, answer status queries and write
//! log lines.

mod budget_actions;
mod logging;
mod socket;
mod status;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use doortrack_budgets::NodeId;
use doortrack_config::reload::FleetChange;
use doortrack_config::{FleetConfig, Installation, NodeConfig};
use doortrack_membership::{
    Action, Change, Event, Fleet, Incarnation, MemberState, MemberUpdate, Name,
};
use doortrack_time::TenthMillis;
use doortrack_upstream::TokenResponse;
use slog::{Logger, info, warn};

pub use self::socket::{Counts, Registration, Tap};
use self::socket::{Received, SealedSocket};
use super::budgets::FleetBudgets;
use super::peer_message::PeerMessage;
use super::seal::Seal;
use crate::subsystem::{AdmissionRequest, Permit, SUBSYSTEM_KEYS, Subsystem, Use};

/// The poller's key of the link in a node's own loop.
pub const KEY: usize = SUBSYSTEM_KEYS.start;
/// Datagrams read in one turn of the loop, so that a flood does not starve other work.
const MAX_READS: usize = 64;
/// Turns of the loop for which due timers wait for unread datagrams, so that a flood does not stop them.
const MAX_WAITS: u32 = 4;

/// The link's time since `zero`, in tenths of a ms; a test may make it drift, by millionths.
fn now(zero: Instant, drift_ppm: i32) -> TenthMillis {
    let micros = zero.elapsed().as_micros() as i64;
    let gained = if drift_ppm == 0 {
        0
    } else {
        micros / 1_000 * i64::from(drift_ppm) / 1_000
    };
    ((micros + gained) / 100) as TenthMillis
}

/// The link, with the decisions on membership and budgets.
pub struct Peers {
    socket: SealedSocket,
    log: Logger,
    /// Start of the link's monotonic time, which does not follow the system clock.
    zero: Instant,
    file: FleetConfig,
    fleet: Fleet,
    actions: Vec<Action>,
    /// The fleet's budgets, where there are any.
    budgets: Option<Rc<RefCell<FleetBudgets>>>,
    told_at: BTreeMap<&'static str, TenthMillis>,
    /// Datagrams may still wait after the last reading.
    unread: bool,
    /// Turns for which due timers have waited for them.
    waited: u32,
}

impl Peers {
    /// Opens the link that the operators' file configures. `unix_ms` is the start time of this process.
    ///
    /// # Errors
    /// The address can't be bound; the message names the path of its key.
    pub fn open(
        installation: &Installation,
        file: &FleetConfig,
        key: Option<[u8; 32]>,
        orders: &NodeConfig,
        unix_ms: u64,
        registration: Registration,
        log: Logger,
    ) -> Result<Peers, String> {
        let at = |e: std::io::Error| format!("installation.fleet.listen: {}: {e}", file.listen);
        let seal = Seal::new(key, &file.name);
        let socket = SealedSocket::bind(file.listen, registration, seal).map_err(at)?;
        let chance = fastrand::u64(..);
        let weight = file
            .weight
            .unwrap_or(orders.settings.admission.cores)
            .max(1);
        let me = MemberUpdate {
            name: orders.name.as_str().into(),
            incarnation: Incarnation::started(unix_ms, chance),
            version: 0,
            state: MemberState::Alive,
            address: file.address(),
            weight,
        };
        info!(log, "fleet"; "fleet" => &file.name, "listen" => %file.listen, "incarnation" => %me.incarnation,
            "sealed" => key.is_some(), "seeds" => file.seeds.len());
        let zero = Instant::now();
        let budgets = FleetBudgets::open(
            file,
            installation,
            orders,
            NodeId {
                name: me.name.clone(),
                incarnation: me.incarnation,
            },
        );
        let budgets = budgets.map(|budgets| Rc::new(RefCell::new(budgets)));
        let mut peers = Peers {
            socket,
            log,
            zero,
            fleet: Fleet::new(me, file.fleet_parameters(), orders.seed ^ chance, 0),
            file: file.clone(),
            actions: Vec::new(),
            budgets,
            told_at: BTreeMap::new(),
            unread: false,
            waited: 0,
        };
        peers.tell_budgets(None);
        Ok(peers)
    }

    /// Puts a test rig's tap between this link and its network.
    pub fn set_tap(&mut self, tap: Box<dyn Tap>) {
        self.socket.tap = Some(tap);
    }

    /// Counts of the link's datagrams.
    pub fn counts(&self) -> &Counts {
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

    fn now(&self) -> TenthMillis {
        now(self.zero, self.file.tests.drift_ppm)
    }

    /// Reads and handles one datagram; false if none waited.
    fn read_one(&mut self) -> bool {
        match self.socket.receive() {
            Received::Empty => return false,
            Received::Nothing => {}
            Received::Datagram {
                from,
                opened: Ok(spoken),
            } => self.handle(from, spoken),
            Received::Datagram {
                from,
                opened: Err(refused),
            } => self.refuse(refused, from),
        }
        true
    }

    fn handle(&mut self, from: SocketAddr, spoken: PeerMessage) {
        match spoken {
            PeerMessage::Fleet(datagram) => {
                self.fleet.handle(
                    self.now(),
                    Event::Received { from, datagram },
                    &mut self.actions,
                );
                self.carry_out();
            }
            PeerMessage::Ask(ask) => self.answer_status(ask, from),
            // A node that is no member would get no answer, and could fill the leader's ledger.
            PeerMessage::Budgets(envelope) if self.is_member(&envelope.from) => {
                self.tell_budgets(Some(doortrack_budgets::Event::Received(envelope)));
            }
            PeerMessage::Budgets(_) => {
                *self.socket.counts.refused.entry("no_member").or_default() += 1
            }
            PeerMessage::AskBudgets { nonce, from: index } => {
                self.answer_budget_status(nonce, index, from)
            }
            PeerMessage::Status(_) | PeerMessage::BudgetStatus(_) => {}
        }
    }

    fn send(&mut self, to: SocketAddr, spoken: &PeerMessage) {
        self.socket.send(to, spoken);
    }

    /// Carries out what the decisions on membership want.
    fn carry_out(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { to, datagram } => self.send(to, &PeerMessage::Fleet(*datagram)),
                Action::Report(change) => {
                    self.log(&change);
                    if let Some(tap) = &mut self.socket.tap {
                        tap.learned(&change);
                    }
                    let superseded = matches!(change, Change::Superseded { .. });
                    self.tell_budgets(superseded.then_some(doortrack_budgets::Event::Superseded));
                }
            }
        }
    }
}

impl Subsystem for Peers {
    fn key(&self) -> usize {
        self.socket.key
    }

    fn ready(&mut self) {
        self.unread = (0..MAX_READS).all(|_| self.read_one());
    }

    fn turn(&mut self) {
        let now = self.now();
        // Unread datagrams came before the timer: an answer among them is not missing.
        let waits = std::mem::take(&mut self.unread) && self.waited < MAX_WAITS;
        if now >= self.fleet.next_due() {
            self.waited = if waits { self.waited + 1 } else { 0 };
            if !waits {
                self.fleet.handle(now, Event::Tick, &mut self.actions);
                self.carry_out();
            }
        }
        if let Some(budgets) = &self.budgets {
            budgets.borrow_mut().free(now);
        }
        if self
            .budgets
            .as_ref()
            .is_some_and(|budgets| now >= budgets.borrow().budgets.next_due())
        {
            self.tell_budgets(Some(doortrack_budgets::Event::Tick));
        }
    }

    fn admit(&mut self, asked: AdmissionRequest) -> Result<Permit, TenthMillis> {
        let (zero, drift) = (self.zero, self.file.tests.drift_ppm);
        match &self.budgets {
            Some(budgets) => budgets.borrow_mut().admit(asked, || now(zero, drift)),
            None => Ok(Permit::default()),
        }
    }

    fn retry_gate(&self, pool: u16) -> Option<Box<dyn FnMut() -> bool>> {
        let (zero, drift) = (self.zero, self.file.tests.drift_ppm);
        let budgets = self.budgets.clone()?;
        // Looked up each time: a reload may add or remove it.
        Some(Box::new(move || {
            let mut budgets = budgets.borrow_mut();
            let index = budgets.retries(pool);
            index.is_none_or(|index| budgets.retry(index, now(zero, drift)))
        }))
    }

    fn ramp_gate(&self, pool: u16) -> Option<Box<dyn FnMut() -> TokenResponse>> {
        let (zero, drift) = (self.zero, self.file.tests.drift_ppm);
        let budgets = self.budgets.clone()?;
        // Looked up each time, as for retries.
        Some(Box::new(move || {
            let mut budgets = budgets.borrow_mut();
            match budgets.ramp(pool) {
                None => TokenResponse::Unshared,
                Some(index) if budgets.acquire_one(index, now(zero, drift)) => {
                    TokenResponse::Granted
                }
                Some(_) => TokenResponse::Refused,
            }
        }))
    }

    fn release(&mut self, permit: Permit, came: Use) {
        let now = self.now();
        if let Some(budgets) = &self.budgets {
            budgets.borrow_mut().release(permit, came, now);
        }
    }

    fn wait(&self) -> TenthMillis {
        let budgets = self.budgets.as_ref().map_or(TenthMillis::MAX, |budgets| {
            budgets.borrow().budgets.next_due()
        });
        match self.fleet.next_due().min(budgets) {
            TenthMillis::MAX => TenthMillis::MAX,
            due => due.saturating_sub(self.now()),
        }
    }

    fn leave(&mut self) {
        self.tell_budgets(Some(doortrack_budgets::Event::Leave));
        self.fleet
            .handle(self.now(), Event::Leave, &mut self.actions);
        self.carry_out();
    }

    fn take_up(&mut self, change: &mut FleetChange) {
        let Some(file) = change.file.take() else {
            return warn!(self.log, "fleet needs a start"; "why" => "it can't be left under way");
        };
        let kept = |file: &FleetConfig| {
            (
                file.name.clone(),
                file.listen,
                file.advertise,
                file.key_file.clone(),
                file.weight,
            )
        };
        if kept(&file) != kept(&self.file) {
            warn!(self.log, "fleet needs a start"; "why" => "its name, addresses, key or weight changed");
        }
        // What needs a restart stays as it was.
        self.file = FleetConfig {
            seeds: file.seeds.clone(),
            voters: file.voters.clone(),
            times: file.times,
            ..self.file.clone()
        };
        let now = self.now();
        let why = match &self.budgets {
            None if change.budgets.is_empty() => None,
            None => Some("there were none".to_string()),
            Some(budgets) => {
                let mut budgets = budgets.borrow_mut();
                let why = budgets
                    .needs_a_start(&file, &change.budgets)
                    .map(str::to_string);
                if why.is_none() {
                    budgets.change(now, change);
                }
                why
            }
        };
        match why {
            Some(why) => warn!(self.log, "budgets need a start"; "why" => why),
            None => self.carry_out_budget_actions(),
        }
        let parameters = Box::new(self.file.fleet_parameters());
        self.fleet
            .handle(self.now(), Event::Changed { parameters }, &mut self.actions);
        self.carry_out();
    }

    fn summary(&self, log: &Logger) {
        let counts = &self.socket.counts;
        info!(log, "so far of the fleet"; "view" => self.fleet.view().number,
            "members" => self.fleet.view().members.len(), "isolated" => self.fleet.is_isolated(),
            "received" => counts.received, "received_bytes" => counts.received_bytes,
            "sent" => counts.sent, "sent_bytes" => counts.sent_bytes,
            "unsent" => counts.unsent, "refused" => slog::Serde(counts.refused.clone()),
            "out_of_place" => self.fleet.refused());
        if let Some(budgets) = &self.budgets {
            budgets.borrow().summary(log);
        }
    }
}
