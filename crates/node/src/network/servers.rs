//! The connections to application servers. All that is decided about them is the pool's (package `servers/`);
//! here it is carried out on sockets.

mod transfer;

use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

use doortrack_admission::{RequestId, RunOutcome};
use doortrack_config::ServerPool as Asked;
use doortrack_protocols::{Answer, AnswerReader, Pair, Protocol, write_request};
use doortrack_time::TenthMillis;
use doortrack_upstream::{Action, Admission, ConnId, Pool, RunEnd, RunId, ServerId, TokenResponse};
use polling::{Event, PollMode, Poller};
use rustc_hash::FxHashMap;
use slog::{Logger, warn};

use super::bounds::TURN;
use super::engine::{BackendEvent, begin_to_connect};
use super::headers::passed_on;
use super::listeners::Block;
use super::server_log::log_server_state;
use super::termination::Termination;

/// Connections to servers have the keys from here on, those of each pool so many.
pub const SERVER_KEY: usize = 1 << 40;
pub const POOL_KEYS: usize = 1 << 24;
/// On a connection that carries one request at a time every one goes by the same id.
const ID: u16 = 1;
struct Sock {
    sock: TcpStream,
    opening: bool,
    run: Option<RunId>,
    /// Bytes of the run's request that were handed to the system.
    written: usize,
    reader: AnswerReader,
    /// Whether the poller tells when it can be written.
    watches_writes: bool,
}

pub struct Servers {
    poller: Arc<Poller>,
    log: Logger,
    /// The first of its keys.
    first_key: usize,
    pool: Pool,
    protocol: Protocol,
    keep: bool,
    most_answer: usize,
    at: BTreeMap<ServerId, SocketAddr>,
    socks: Vec<Option<Sock>>,
    /// What is to be sent for each run in hand, kept until it has ended, as it may be tried again.
    requests: FxHashMap<RunId, Vec<u8>>,
    results: FxHashMap<RunId, Answer>,
    actions: Vec<Action>,
    backend_events: Vec<BackendEvent>,
    scratch: Vec<u8>,
    up: bool,
    /// How runs ended.
    pub ends: BTreeMap<&'static str, u64>,
}

impl Servers {
    /// `longest` is the longest deadline; chance in the pool starts from `seed`.
    /// `place` is that of the pool among all.
    pub fn new(
        poller: Arc<Poller>,
        log: Logger,
        asked: &Asked,
        place: usize,
        longest: TenthMillis,
        seed: u64,
    ) -> Servers {
        let (at, socks, actions, ends) = Default::default();
        let (requests, results, backend_events) = Default::default();
        let pool = Pool::new(asked.pool_config(longest), seed);
        let (protocol, keep, most_answer) = (asked.protocol.into(), false, 0);
        let (scratch, up) = (vec![0; TURN], false);
        let first_key = SERVER_KEY + place * POOL_KEYS;
        let mut servers = Servers {
            poller,
            log,
            first_key,
            pool,
            protocol,
            keep,
            most_answer,
            at,
            socks,
            requests,
            results,
            actions,
            backend_events,
            scratch,
            up,
            ends,
        };
        servers.take_up(asked, longest, 0);
        servers
    }

    /// Takes up a new list of servers and how the pool is to be kept. What they speak is as it was at the
    /// start: requests in hand are written in that.
    pub fn take_up(&mut self, asked: &Asked, longest: TenthMillis, now: TenthMillis) {
        let terms = asked.pool_config(longest);
        (self.keep, self.most_answer) = (terms.idle_timeout > 0, asked.max_response_bytes as usize);
        self.pool.reconfigure(terms, now, &mut self.actions);
        self.settle(now);
        let members: BTreeMap<SocketAddr, ServerId> = self
            .at
            .iter()
            .filter(|(server, _)| self.pool.is_member(**server))
            .map(|(server, at)| (*at, *server))
            .collect();
        // New ones first, so that what the others are given meanwhile has somewhere to go.
        for at in asked
            .addresses
            .iter()
            .filter(|at| !members.contains_key(at))
        {
            // What is known from the node's own start on counts as warm.
            let server = match self.up {
                true => self.pool.add_cold_server(now, &mut self.actions),
                false => self.pool.add_server(now, &mut self.actions),
            };
            self.at.insert(server, *at);
            self.settle(now);
        }
        let wanted: BTreeSet<SocketAddr> = asked.addresses.iter().copied().collect();
        for (_, server) in members.iter().filter(|(at, _)| !wanted.contains(at)) {
            self.pool.remove_server(*server, now, &mut self.actions);
            self.settle(now);
        }
        self.forget_gone();
    }

    fn forget_gone(&mut self) {
        let pool = &self.pool;
        self.at.retain(|server, _| pool.is_known(*server));
    }

    /// Retries are to pass this as well.
    pub fn gate_retries(&mut self, gate: Box<dyn FnMut() -> bool>) {
        self.pool.set_retry_gate(gate);
    }

    /// Ramps are shared with others, who grant tokens of them.
    pub fn gate_ramps(&mut self, gate: Box<dyn FnMut() -> TokenResponse>) {
        self.pool.set_slow_start_tokens(gate);
    }

    /// Whether one more request may be admitted.
    ///
    /// # Errors
    /// How long to wait before it comes back, in tenths of a ms.
    pub fn admit(&mut self, now: TenthMillis) -> Result<Admission, TenthMillis> {
        let admission = self.pool.admit(now);
        self.settle(now);
        admission
    }

    pub fn release(&mut self) {
        self.pool.release_reservation();
    }

    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    pub fn maintain(&mut self, now: TenthMillis) {
        if !std::mem::replace(&mut self.up, true) {
            // Nobody tells whether servers are warm; a pool takes one at a time back that is not.
            self.backend_events.push(BackendEvent::Hello {
                cold: false,
                age: 0,
            });
        }
        if self.pool.next_due() <= now {
            self.pool.tick(now, &mut self.actions);
            self.settle(now);
        }
    }

    pub fn next_due(&self) -> TenthMillis {
        // What is to be told is not waited for.
        if self.up && self.backend_events.is_empty() {
            self.pool.next_due()
        } else {
            0
        }
    }

    pub fn run(
        &mut self,
        run: RequestId,
        block: Option<Block>,
        body: &[u8],
        repeatable: bool,
        now: TenthMillis,
    ) {
        let pairs = block
            .as_ref()
            .and_then(|block| block.protocol.pairs(&block.bytes).ok());
        let mut variables: Vec<Pair> = pairs.unwrap_or_default();
        variables.retain(|(name, _)| *name != b"CONTENT_LENGTH");
        let mut request = Vec::with_capacity(
            body.len() + block.as_ref().map_or(0, |block| block.bytes.len()) + 256,
        );
        let written = write_request(self.protocol, &mut request, ID, self.keep, &variables, body);
        debug_assert!(written.is_ok(), "a block that was read is written again");
        self.requests.insert(run, request);
        self.pool.begin(run, repeatable, now, &mut self.actions);
        self.settle(now);
    }

    pub fn stop(&mut self, run: RequestId, now: TenthMillis) {
        self.pool.cancel(run, now, &mut self.actions);
        self.settle(now);
    }

    pub fn ready(&mut self, event: Event, now: TenthMillis) {
        self.became_ready(event.key - self.first_key, event, now);
        self.settle(now);
    }

    fn became_ready(&mut self, conn: ConnId, event: Event, now: TenthMillis) {
        let Some(sock) = self.socks.get_mut(conn).and_then(Option::as_mut) else {
            return;
        };
        if sock.opening {
            match sock.sock.take_error() {
                Ok(None) if event.writable => {
                    sock.opening = false;
                    self.pool.connected(conn, now, &mut self.actions);
                }
                Ok(None) => {}
                failed => {
                    self.drop_sock(conn);
                    self.not_opened(conn, failed.ok().flatten(), now);
                }
            }
            return;
        }
        if event.writable {
            self.write(conn, now);
        }
        if event.readable {
            self.read(conn, now);
        }
    }

    /// A connection did not open. Refused, there is no doubt that nothing listens there.
    fn not_opened(&mut self, conn: ConnId, why: Option<std::io::Error>, now: TenthMillis) {
        if why.is_some_and(|e| e.kind() == ErrorKind::ConnectionRefused) {
            self.pool.connect_refused(conn, now, &mut self.actions);
        } else {
            self.pool.connect_failed(conn, now, &mut self.actions);
        }
    }

    /// What came of it all since the last time.
    pub fn flush(&mut self, backend_events: &mut Vec<BackendEvent>) {
        backend_events.append(&mut self.backend_events);
    }

    /// Carries out what the pool decided, until nothing new comes of it. That is done after each event:
    /// places of connections are used again at once, and an event of the one before would be taken for the
    /// next one's.
    fn settle(&mut self, now: TenthMillis) {
        while !self.actions.is_empty() {
            let actions = std::mem::take(&mut self.actions);
            actions
                .into_iter()
                .for_each(|what| self.carry_out(what, now));
        }
    }

    fn carry_out(&mut self, what: Action, now: TenthMillis) {
        match what {
            Action::Open { conn, server } => {
                if let Err(e) = self.open(conn, server) {
                    warn!(self.log, "server out of reach"; "address" => ?self.at.get(&server), "why" => %e);
                    self.not_opened(conn, Some(e), now);
                }
            }
            Action::Send { conn, run } => self.send(conn, run, now),
            Action::Close { conn } => self.drop_sock(conn),
            Action::Ended { run, end } => {
                self.requests.remove(&run);
                let answer = self.results.remove(&run).unwrap_or_default();
                let end = match end {
                    RunEnd::Completed => Termination::Run(RunOutcome::Completed),
                    RunEnd::Failed => Termination::Run(RunOutcome::Failed),
                    RunEnd::Cancelled => Termination::Run(RunOutcome::Cancelled),
                    RunEnd::NotRun => Termination::Unreached,
                    RunEnd::Lost => Termination::ServerLost,
                    RunEnd::TimedOut => Termination::ServerLate,
                };
                *self.ends.entry(end.name()).or_default() += 1;
                let headers = passed_on(&answer);
                self.backend_events.push(BackendEvent::RunEnded {
                    id: run,
                    end,
                    headers,
                    body: answer.body,
                });
            }
            Action::StateChanged { server, state } => {
                let address = self
                    .at
                    .get(&server)
                    .map_or_else(String::new, SocketAddr::to_string);
                log_server_state(&self.log, &address, self.pool.in_use(), state, now);
            }
        }
    }

    fn open(&mut self, conn: ConnId, server: ServerId) -> std::io::Result<()> {
        let at = self.at.get(&server).copied().ok_or(ErrorKind::NotFound)?;
        let sock = begin_to_connect(at)?;
        // SAFETY: the socket is taken out of the poller in `drop_sock`, before it is dropped.
        unsafe {
            self.poller
                .add_with_mode(&sock, Event::all(self.first_key + conn), PollMode::Level)?
        };
        if self.socks.len() <= conn {
            self.socks.resize_with(conn + 1, || None);
        }
        let reader = AnswerReader::new(self.protocol, ID, self.most_answer);
        let (opening, run, written, watches_writes) = (true, None, 0, true);
        self.socks[conn] = Some(Sock {
            sock,
            opening,
            run,
            written,
            reader,
            watches_writes,
        });
        Ok(())
    }

    fn drop_sock(&mut self, conn: ConnId) {
        if let Some(sock) = self.socks.get_mut(conn).and_then(Option::take) {
            _ = self.poller.delete(&sock.sock);
        }
        while self.socks.last().is_some_and(Option::is_none) {
            self.socks.pop();
        }
    }
}
