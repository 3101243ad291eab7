//! Clients of pools of application servers: their connections and the runs on them.
//!
//! [`Pool`] (package `doortrack-upstream`) makes all decisions without sockets; this module carries them out.

mod actions;
mod connection;
mod transfer;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use doortrack_admission::RequestId;
use doortrack_config::ServerPool as ServerSettings;
use doortrack_protocols::{Protocol, Response, Variable, write_request};
use doortrack_time::TenthMillis;
use doortrack_upstream::{Action, Admission, Pool, RunId, ServerId};
use polling::{Event, Poller};
use rustc_hash::FxHashMap;
use slog::Logger;

use self::connection::ServerConnection;
use super::backend::{BackendEvent, RetryGate, SlowStartTokens};
use super::bounds::READ_BUFFER_BYTES;
use super::listeners::RawVariables;

/// The poller key of the first connection to a server.
pub const FIRST_SERVER_KEY: usize = 1 << 40;
/// Number of poller keys reserved for each pool.
pub const KEYS_PER_POOL: usize = 1 << 24;
/// The wire id of every request, as a connection carries one request at a time.
const WIRE_ID: u16 = 1;
/// Expected size of an encoded request's framing, without variables and body, in bytes.
const EXPECTED_FRAMING_BYTES: usize = 256;

/// A pool of servers and the connections to them.
pub struct PoolClient {
    poller: Arc<Poller>,
    log: Logger,
    /// The poller key of the pool's first connection.
    first_key: usize,
    pool: Pool,
    protocol: Protocol,
    /// Connections may be kept open for the next run.
    keep_alive: bool,
    max_response_bytes: usize,
    addresses: BTreeMap<ServerId, SocketAddr>,
    /// Open connections, indexed by the pool's connection id.
    connections: Vec<Option<ServerConnection>>,
    /// The encoded request of each run that has not ended, kept for retries.
    requests: FxHashMap<RunId, Vec<u8>>,
    /// The response of each run that has completed, until the pool reports its end.
    responses: FxHashMap<RunId, Response>,
    /// Decisions of the pool that have not been carried out yet.
    actions: Vec<Action>,
    /// Events that have not been reported yet, see [`PoolClient::flush`].
    events: Vec<BackendEvent>,
    read_buffer: Vec<u8>,
    /// The event that the backend is up has been emitted.
    started: bool,
    /// Number of runs that ended, by the name of the termination.
    pub terminations: BTreeMap<&'static str, u64>,
}

impl PoolClient {
    /// Creates the client of the pool at `index` among all pools. `seed` seeds the pool's random choices; no caller
    /// waits for longer than `longest_deadline`.
    pub fn new(
        poller: Arc<Poller>,
        log: Logger,
        settings: &ServerSettings,
        index: usize,
        longest_deadline: TenthMillis,
        seed: u64,
    ) -> PoolClient {
        let mut client = PoolClient {
            poller,
            log,
            first_key: FIRST_SERVER_KEY + index * KEYS_PER_POOL,
            pool: Pool::new(settings.pool_config(longest_deadline), seed),
            protocol: settings.protocol.into(),
            keep_alive: false,
            max_response_bytes: 0,
            addresses: BTreeMap::new(),
            connections: Vec::new(),
            requests: FxHashMap::default(),
            responses: FxHashMap::default(),
            actions: Vec::new(),
            events: Vec::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
            started: false,
            terminations: BTreeMap::new(),
        };
        client.reload(settings, longest_deadline, 0);
        client
    }

    /// Applies new settings, except for the protocol, in which requests are already encoded.
    pub fn reload(
        &mut self,
        settings: &ServerSettings,
        longest_deadline: TenthMillis,
        now: TenthMillis,
    ) {
        let config = settings.pool_config(longest_deadline);
        self.keep_alive = config.idle_timeout > 0;
        self.max_response_bytes = settings.max_response_bytes as usize;
        self.pool.reconfigure(config, now, &mut self.actions);
        self.execute_actions(now);
        let server_ids = self.server_ids();
        // Servers are added first, so that runs of the removed ones can be sent elsewhere.
        for address in &settings.addresses {
            if !server_ids.contains_key(address) {
                self.add(*address, now);
            }
        }
        let listed: BTreeSet<SocketAddr> = settings.addresses.iter().copied().collect();
        for (address, server) in &server_ids {
            if !listed.contains(address) {
                self.pool.remove_server(*server, now, &mut self.actions);
                self.execute_actions(now);
            }
        }
        self.drop_removed_servers();
    }

    /// Returns the ids of the pool's servers by address.
    fn server_ids(&self) -> BTreeMap<SocketAddr, ServerId> {
        let known = self.addresses.iter();
        known
            .filter(|(server, _)| self.pool.is_member(**server))
            .map(|(server, address)| (*address, *server))
            .collect()
    }

    fn add(&mut self, address: SocketAddr, now: TenthMillis) {
        // Servers that are in the settings when the node starts count as warmed up.
        let server = if self.started {
            self.pool.add_cold_server(now, &mut self.actions)
        } else {
            self.pool.add_server(now, &mut self.actions)
        };
        self.addresses.insert(server, address);
        self.execute_actions(now);
    }

    /// Drops the addresses of servers that the pool no longer needs.
    fn drop_removed_servers(&mut self) {
        let pool = &self.pool;
        self.addresses.retain(|server, _| pool.is_known(*server));
    }

    /// Sets the check that the pool makes before each retry.
    pub fn set_retry_gate(&mut self, gate: RetryGate) {
        self.pool.set_retry_gate(gate);
    }

    /// Sets the source of the pool's slow start tokens.
    pub fn set_slow_start_tokens(&mut self, source: SlowStartTokens) {
        self.pool.set_slow_start_tokens(source);
    }

    /// Admits a request if the servers have capacity.
    ///
    /// # Errors
    /// The servers are busy; the error says when to retry.
    pub fn admit(&mut self, now: TenthMillis) -> Result<Admission, TenthMillis> {
        let admission = self.pool.admit(now);
        self.execute_actions(now);
        admission
    }

    /// Releases a reservation.
    pub fn release(&mut self) {
        self.pool.release_reservation();
    }

    /// Returns the pool, for its counts.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Ticks the pool if that is due. The first call also emits the event that the backend is up.
    pub fn maintain(&mut self, now: TenthMillis) {
        if !std::mem::replace(&mut self.started, true) {
            // It is not known whether the servers are warmed up; the pool sends a server that returns one run at a
            // time.
            self.events.push(BackendEvent::Up {
                cold: false,
                uptime: 0,
            });
        }
        if self.pool.next_due() <= now {
            self.pool.tick(now, &mut self.actions);
            self.execute_actions(now);
        }
    }

    /// Returns when [`PoolClient::maintain`] is due; 0 while there are events to report.
    pub fn next_due(&self) -> TenthMillis {
        if self.started && self.events.is_empty() {
            self.pool.next_due()
        } else {
            0
        }
    }

    /// Begins a run.
    pub fn run(
        &mut self,
        run: RequestId,
        variables: Option<RawVariables>,
        body: &[u8],
        idempotent: bool,
        now: TenthMillis,
    ) {
        let request = self.encode(variables.as_ref(), body);
        self.requests.insert(run, request);
        self.pool.begin(run, idempotent, now, &mut self.actions);
        self.execute_actions(now);
    }

    fn encode(&self, variables: Option<&RawVariables>, body: &[u8]) -> Vec<u8> {
        let pairs = variables.and_then(|raw| raw.protocol.read_variables(&raw.bytes).ok());
        let mut pairs: Vec<Variable> = pairs.unwrap_or_default();
        pairs.retain(|(name, _)| *name != b"CONTENT_LENGTH");
        let variable_bytes = variables.map_or(0, |raw| raw.bytes.len());
        let mut request = Vec::with_capacity(body.len() + variable_bytes + EXPECTED_FRAMING_BYTES);
        let encoded = write_request(
            self.protocol,
            &mut request,
            WIRE_ID,
            self.keep_alive,
            &pairs,
            body,
        );
        debug_assert!(encoded.is_ok(), "variables that were decoded are encoded");
        request
    }

    /// Cancels a run.
    pub fn cancel(&mut self, run: RequestId, now: TenthMillis) {
        self.pool.cancel(run, now, &mut self.actions);
        self.execute_actions(now);
    }

    /// Handles an event that the poller reports for a connection.
    pub fn on_event(&mut self, event: Event, now: TenthMillis) {
        self.on_connection_event(event.key - self.first_key, event, now);
        self.execute_actions(now);
    }

    /// Moves all events since the last call to `events`.
    pub fn flush(&mut self, events: &mut Vec<BackendEvent>) {
        events.append(&mut self.events);
    }
}
