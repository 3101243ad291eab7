//! The socket of the link, and the carrying out of what the decisions want.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use doortrack::Tenths;
use doortrack_budgets::NodeId;
use doortrack_fleet::{Action, Change, Event, Fleet, Incarnation, MemberState, MemberUpdate, Name};
use doortrack_installation::reload::FleetChange;
use doortrack_installation::{FleetFile, Installation, Orders};
use doortrack_servers::Token;
use polling::{Event as Ready, PollMode, Poller};
use slog::{Logger, info, warn};

use super::budgets::FleetBudgets;
use super::seal::{LONGEST, Refused, Seal};
use super::spoken::{Ask, BudgetPage, PAGE, Spoken, Status};
use crate::life::addresses::once_free;
use crate::parts::{Asked, PART_KEYS, Part, Permit, Use};

/// The poller's key of the link in a node's own loop.
pub const KEY: usize = PART_KEYS.start;
/// Datagrams read in one turn of the loop: a flood of them takes its turn like everything else.
const TURN: usize = 64;
/// Turns of the loop for which what is due waits for what lies unread: a flood must not stop it for good.
const MAX_WAITS: u32 = 4;
/// How often one thing about unknown peers is told, in tenths of a ms.
const TOLD_EVERY: Tenths = 600_000;

/// What came and went.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub received: u64,
    /// Without IP and UDP headers, like `sent_bytes`.
    pub received_bytes: u64,
    pub sent: u64,
    pub sent_bytes: u64,
    /// Could not be sent, as the system had no room.
    pub unsent: u64,
    pub refused: BTreeMap<&'static str, u64>,
}

/// Where a link is told that it can read: several links of one process have a key each.
#[derive(Clone, Copy)]
pub struct Registration<'a> {
    pub poller: &'a Arc<Poller>,
    pub key: usize,
}

/// What a test rig puts between a link and its network.
pub trait Tap {
    /// Whether datagrams to and from this address pass.
    fn passes(&self, other: SocketAddr) -> bool;

    /// What this node has learned of its fleet.
    fn learned(&mut self, change: &Change);
}

/// The fleet's own time since `zero`; a test may have it gain.
fn now(zero: Instant, drift_ppm: i32) -> Tenths {
    let micros = zero.elapsed().as_micros() as i64;
    let gained = if drift_ppm == 0 { 0 } else { micros / 1_000 * i64::from(drift_ppm) / 1_000 };
    ((micros + gained) / 100) as Tenths
}

/// The link, with the decisions that it serves.
pub struct Peers {
    sock: UdpSocket,
    poller: Arc<Poller>,
    key: usize,
    tap: Option<Box<dyn Tap>>,
    log: Logger,
    /// The fleet's own time: it neither jumps nor stands still with the system's.
    zero: Instant,
    file: FleetFile,
    seal: Seal,
    fleet: Fleet,
    actions: Vec<Action>,
    /// The fleet's budgets, where there are any.
    budgets: Option<Rc<RefCell<FleetBudgets>>>,
    counts: Counts,
    told_at: BTreeMap<&'static str, Tenths>,
    /// Datagrams waited at the end of the last reading.
    unread: bool,
    /// For how many turns what is due has waited for them.
    waited: u32,
}

impl Peers {
    /// Opens the link that the operators' file asks for. `unix_ms` is when this process started.
    ///
    /// # Errors
    /// The key's file, or the address, with the path of its key.
    pub fn open(
        installation: &Installation,
        file: &FleetFile,
        key: Option<[u8; 32]>,
        orders: &Orders,
        unix_ms: u64,
        registration: Registration,
        log: Logger,
    ) -> Result<Peers, String> {
        let at = |e: std::io::Error| format!("installation.fleet.listen: {}: {e}", file.listen);
        let sock = once_free(|| UdpSocket::bind(file.listen)).map_err(at)?;
        sock.set_nonblocking(true).map_err(at)?;
        let Registration { poller, key: poller_key } = registration;
        // SAFETY: the socket is taken out of the poller when the link is dropped.
        unsafe { poller.add_with_mode(&sock, Ready::readable(poller_key), PollMode::Level).map_err(at)? };
        let chance = fastrand::u64(..);
        let weight = file.weight.unwrap_or(orders.handed.contract.cores).max(1);
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
            NodeId { name: me.name.clone(), incarnation: me.incarnation },
        );
        let budgets = budgets.map(|budgets| Rc::new(RefCell::new(budgets)));
        let mut peers = Peers {
            sock,
            poller: poller.clone(),
            key: poller_key,
            tap: None,
            log,
            zero,
            seal: Seal::new(key, &file.name),
            fleet: Fleet::new(me, file.fleet_parameters(), orders.seed ^ chance, 0),
            file: file.clone(),
            actions: Vec::new(),
            budgets,
            counts: Counts::default(),
            told_at: BTreeMap::new(),
            unread: false,
            waited: 0,
        };
        peers.tell_budgets(None);
        Ok(peers)
    }

    /// Puts a rig's tap between this link and its network.
    pub fn set_tap(&mut self, tap: Box<dyn Tap>) {
        self.tap = Some(tap);
    }

    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// The decisions on who is there.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The name of the node that grants the fleet's budgets, as far as this one knows.
    pub fn leader(&self) -> Option<Name> {
        let budgets = self.budgets.as_ref()?.borrow();
        budgets.budgets.leader().map(|leader| leader.name.clone())
    }

    fn passes(&self, other: SocketAddr) -> bool {
        self.tap.as_ref().is_none_or(|tap| tap.passes(other))
    }

    fn now(&self) -> Tenths {
        now(self.zero, self.file.tests.drift_ppm)
    }

    /// Budgets rest on who is there; what they ask for is done.
    fn tell_budgets(&mut self, event: Option<doortrack_budgets::Event>) {
        let now = self.now();
        let Some(budgets) = &self.budgets else { return };
        let event = event.unwrap_or_else(|| doortrack_budgets::Event::Members(self.fleet.view().clone()));
        budgets.borrow_mut().handle(now, event);
        self.carry_out_budget_actions();
    }

    fn is_member(&self, who: &NodeId) -> bool {
        self.fleet.view().members.get(&who.name).is_some_and(|member| member.incarnation == who.incarnation)
    }

    fn carry_out_budget_actions(&mut self) {
        let Some(budgets) = &self.budgets else { return };
        let actions = std::mem::take(&mut budgets.borrow_mut().actions);
        for action in actions {
            match action {
                doortrack_budgets::Action::Send(envelope) => {
                    let member = self.fleet.view().members.get(&envelope.to.name).copied();
                    if let Some(member) =
                        member.filter(|member| member.incarnation == envelope.to.incarnation)
                    {
                        self.send(member.address, &Spoken::Budgets(envelope));
                    }
                }
                doortrack_budgets::Action::Report(change) => {
                    if let Some(budgets) = &self.budgets {
                        budgets.borrow_mut().log(&self.log, &change);
                    }
                }
            }
        }
    }

    /// Reads one datagram; whether there may be more.
    fn read_one(&mut self) -> bool {
        let mut bytes = [0; LONGEST + 1];
        let (len, from) = match self.sock.recv_from(&mut bytes) {
            Ok(read) => read,
            // What an earlier datagram met on its way is told here, and means nothing for the next.
            Err(e) => return !matches!(e.kind(), ErrorKind::WouldBlock),
        };
        if !self.passes(from) {
            return true;
        }
        self.counts.received += 1;
        self.counts.received_bytes += len as u64;
        let opened = if len > LONGEST { Err(Refused::Unreadable) } else { self.seal.open(&bytes[..len]) };
        let now = self.now();
        match opened {
            Ok(Spoken::Fleet(datagram)) => {
                self.fleet.handle(now, Event::Received { from, datagram }, &mut self.actions);
                self.carry_out();
            }
            Ok(Spoken::Ask(ask)) => self.tell(ask, from),
            // Whoever is not in the view would get no answer, and could fill a leader's books.
            Ok(Spoken::Budgets(envelope)) if self.is_member(&envelope.from) => {
                self.tell_budgets(Some(doortrack_budgets::Event::Received(envelope)));
            }
            Ok(Spoken::Budgets(_)) => *self.counts.refused.entry("no_member").or_default() += 1,
            Ok(Spoken::AskBudgets { nonce, from: index }) => {
                let none = BudgetPage { nonce, leader: None, budgets: Vec::new(), more: false };
                let page = self
                    .budgets
                    .as_ref()
                    .map_or(none, |budgets| budgets.borrow_mut().page(nonce, index, now));
                self.send(from, &Spoken::BudgetStatus(Box::new(page)));
            }
            Ok(Spoken::Status(_) | Spoken::BudgetStatus(_)) => {}
            Err(refused) => self.refuse(refused, from),
        }
        true
    }

    /// Unknown peers cost a counter, and now and then a line.
    fn refuse(&mut self, refused: Refused, from: SocketAddr) {
        let name = refused.name();
        *self.counts.refused.entry(name).or_default() += 1;
        let now = self.now();
        let due = self.told_at.get(name).is_none_or(|at| now >= at + TOLD_EVERY);
        if due {
            self.told_at.insert(name, now);
            warn!(self.log, "unknown peer on the fleet's link"; "from" => %from, "why" => %refused);
        }
    }

    fn tell(&mut self, ask: Ask, to: SocketAddr) {
        let (members, more) = self.fleet.report(ask.after.as_ref(), PAGE, self.now());
        let view = self.fleet.view();
        let status = Status {
            nonce: ask.nonce,
            fleet: self.file.name.clone(),
            name: self.fleet.me().name.clone(),
            incarnation: self.fleet.me().incarnation,
            view: view.number,
            digest: view.digest,
            in_view: view.members.len() as u32,
            isolated: self.fleet.is_isolated(),
            superseded: self.fleet.is_superseded(),
            members,
            more,
        };
        self.send(to, &Spoken::Status(Box::new(status)));
    }

    fn send(&mut self, to: SocketAddr, spoken: &Spoken) {
        if !self.passes(to) {
            return;
        }
        let Some(datagram) = self.seal.close(spoken) else {
            self.counts.unsent += 1;
            return;
        };
        match self.sock.send_to(&datagram, to) {
            Ok(_) => {
                self.counts.sent += 1;
                self.counts.sent_bytes += datagram.len() as u64;
            }
            // Nothing waits to be sent: a datagram may be lost on the way as well.
            Err(_) => self.counts.unsent += 1,
        }
    }

    fn carry_out(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { to, datagram } => self.send(to, &Spoken::Fleet(*datagram)),
                Action::Report(change) => {
                    self.log(&change);
                    if let Some(tap) = &mut self.tap {
                        tap.learned(&change);
                    }
                    let superseded = matches!(change, Change::Superseded { .. });
                    self.tell_budgets(superseded.then_some(doortrack_budgets::Event::Superseded));
                }
            }
        }
    }

    fn log(&self, change: &Change) {
        let (view, digest) = (self.fleet.view().number, format!("{:016x}", self.fleet.view().digest));
        let members = self.fleet.view().members.len();
        let word = change.word();
        match change.about() {
            Some((name, incarnation)) => {
                info!(self.log, "member"; "what" => word, "of" => &**name, "incarnation" => %incarnation,
                "view" => view, "members" => members, "digest" => digest)
            }
            None if matches!(
                change,
                Change::Superseded { .. } | Change::DuplicateName { .. } | Change::Isolated(true)
            ) =>
            {
                warn!(self.log, "member"; "what" => word, "why" => ?change, "view" => view);
            }
            None => info!(self.log, "member"; "what" => word, "why" => ?change, "view" => view),
        }
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        _ = self.poller.delete(&self.sock);
    }
}

impl Part for Peers {
    fn key(&self) -> usize {
        self.key
    }

    fn ready(&mut self) {
        self.unread = (0..TURN).all(|_| self.read_one());
    }

    fn turn(&mut self) {
        let now = self.now();
        // What lies unread came before: an answer among it is no missing one.
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
        if self.budgets.as_ref().is_some_and(|budgets| now >= budgets.borrow().budgets.next_due()) {
            self.tell_budgets(Some(doortrack_budgets::Event::Tick));
        }
    }

    fn admit(&mut self, asked: Asked) -> Result<Permit, Tenths> {
        let (zero, drift) = (self.zero, self.file.tests.drift_ppm);
        match &self.budgets {
            Some(budgets) => budgets.borrow_mut().admit(asked, || now(zero, drift)),
            None => Ok(Permit::default()),
        }
    }

    fn retry_gate(&self, pool: u16) -> Option<Box<dyn FnMut() -> bool>> {
        let (zero, drift) = (self.zero, self.file.tests.drift_ppm);
        let budgets = self.budgets.clone()?;
        // Looked up each time: a SIGHUP may bring it, or take it away.
        Some(Box::new(move || {
            let mut budgets = budgets.borrow_mut();
            let index = budgets.retries(pool);
            index.is_none_or(|index| budgets.retry(index, now(zero, drift)))
        }))
    }

    fn ramp_gate(&self, pool: u16) -> Option<Box<dyn FnMut() -> Token>> {
        let (zero, drift) = (self.zero, self.file.tests.drift_ppm);
        let budgets = self.budgets.clone()?;
        // Looked up each time, as for retries.
        Some(Box::new(move || {
            let mut budgets = budgets.borrow_mut();
            match budgets.ramp(pool) {
                None => Token::Unshared,
                Some(index) if budgets.acquire_one(index, now(zero, drift)) => Token::Granted,
                Some(_) => Token::Refused,
            }
        }))
    }

    fn release(&mut self, permit: Permit, came: Use) {
        let now = self.now();
        if let Some(budgets) = &self.budgets {
            budgets.borrow_mut().release(permit, came, now);
        }
    }

    fn wait(&self) -> Tenths {
        let budgets =
            self.budgets.as_ref().map_or(Tenths::MAX, |budgets| budgets.borrow().budgets.next_due());
        match self.fleet.next_due().min(budgets) {
            Tenths::MAX => Tenths::MAX,
            due => due.saturating_sub(self.now()),
        }
    }

    fn leave(&mut self) {
        self.tell_budgets(Some(doortrack_budgets::Event::Leave));
        self.fleet.handle(self.now(), Event::Leave, &mut self.actions);
        self.carry_out();
    }

    fn take_up(&mut self, change: &mut FleetChange) {
        let Some(file) = change.file.take() else {
            return warn!(self.log, "fleet needs a start"; "why" => "it can't be left under way");
        };
        let kept = |file: &FleetFile| {
            (file.name.clone(), file.listen, file.advertise, file.key_file.clone(), file.weight)
        };
        if kept(&file) != kept(&self.file) {
            warn!(self.log, "fleet needs a start"; "why" => "its name, addresses, key or weight changed");
        }
        // What can't change under way stays as it was.
        self.file = FleetFile {
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
                let why = budgets.needs_a_start(&file, &change.budgets).map(str::to_string);
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
        self.fleet.handle(self.now(), Event::Changed { parameters }, &mut self.actions);
        self.carry_out();
    }

    fn summary(&self, log: &Logger) {
        let counts = &self.counts;
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
