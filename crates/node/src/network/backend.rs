//! The backend, which runs requests: the platform's engine, or pools of application servers.

use std::net::SocketAddr;

use doortrack_admission::RequestId;
use doortrack_time::TenthMillis;
use doortrack_upstream::{Admission, TokenResponse};
use polling::Event;

use super::engine::{ENGINE_KEY, EngineLink};
use super::engine_protocol::EngineMessage;
use super::servers::{FIRST_SERVER_KEY, KEYS_PER_POOL, PoolClient};
use super::termination::Termination;
use crate::state::in_flight::InFlightRequest;

/// An event at the backend.
pub enum BackendEvent {
    /// The backend is up, for the first time or again.
    Up {
        /// The backend started with cold caches.
        cold: bool,
        /// The time since the backend's start.
        uptime: TenthMillis,
    },
    /// The link to the engine is up, and all notices that were missed have been passed on.
    CaughtUp {
        /// The number of the last gauge query that was answered before the link was lost. The engine may not have
        /// received runs that were sent after that query.
        answered_cookie: u64,
    },
    /// A message from the engine.
    EngineMessage(EngineMessage),
    /// A run at a server has ended.
    RunEnded {
        /// The request.
        id: RequestId,
        /// How the run ended.
        termination: Termination,
        /// Header lines of the server's response that are forwarded to the caller.
        headers: Vec<u8>,
        /// The body of the server's response.
        body: Vec<u8>,
    },
    /// The link to the engine has ended.
    LinkEnded(Termination),
}

/// Returns true if a retry may be sent.
pub type RetryGate = Box<dyn FnMut() -> bool>;
/// Requests a token for a run at a server in slow start.
pub type SlowStartTokens = Box<dyn FnMut() -> TokenResponse>;

/// A pool's name and its client.
pub type NamedPool = (String, PoolClient);

/// The backend that runs requests.
pub enum Backend {
    /// The engine.
    Engine(Box<EngineLink>),
    /// Pools of servers; the first one has no name.
    Servers(Vec<NamedPool>),
}

impl Backend {
    /// Performs work that is due: connects the engine link, or ticks the pools.
    pub fn maintain(&mut self, now: TenthMillis) {
        match self {
            Backend::Engine(link) => link.maintain(now),
            Backend::Servers(pools) => pools.iter_mut().for_each(|(_, pool)| pool.maintain(now)),
        }
    }

    /// Returns when [`Backend::maintain`] is due; [`TenthMillis::MAX`] for never.
    pub fn next_due(&self) -> TenthMillis {
        match self {
            Backend::Engine(link) => link.next_due(),
            Backend::Servers(pools) => pools
                .iter()
                .map(|(_, pool)| pool.next_due())
                .min()
                .unwrap_or(TenthMillis::MAX),
        }
    }

    /// Returns true if this poller key belongs to the backend.
    pub fn has_key(&self, key: usize) -> bool {
        key == ENGINE_KEY || key >= FIRST_SERVER_KEY
    }

    /// Handles an event that the poller reports for one of the backend's keys.
    pub fn on_event(&mut self, event: Event, now: TenthMillis, events: &mut Vec<BackendEvent>) {
        match self {
            Backend::Engine(link) => link.on_event(event, now, events),
            Backend::Servers(pools) => {
                let index = event.key.saturating_sub(FIRST_SERVER_KEY) / KEYS_PER_POOL;
                if let Some((_, pool)) = pools.get_mut(index) {
                    pool.on_event(event, now);
                }
            }
        }
    }

    /// Sets the retry gates of the pools; `gate` returns a pool's gate by its index, if it has one.
    pub fn set_retry_gates(&mut self, mut gate: impl FnMut(u16) -> Option<RetryGate>) {
        for (index, (_, pool)) in self.pools_mut().iter_mut().enumerate() {
            if let Some(gate) = gate(index as u16) {
                pool.set_retry_gate(gate);
            }
        }
    }

    /// Sets the sources of slow start tokens of the pools; `gate` returns a pool's source by its index, if it has
    /// one.
    pub fn set_slow_start_tokens(
        &mut self,
        mut source: impl FnMut(u16) -> Option<SlowStartTokens>,
    ) {
        for (index, (_, pool)) in self.pools_mut().iter_mut().enumerate() {
            if let Some(source) = source(index as u16) {
                pool.set_slow_start_tokens(source);
            }
        }
    }

    /// Admits a request to the pool at this index if its servers have capacity.
    ///
    /// # Errors
    /// The servers are busy; the error says when to retry.
    pub fn admit(&mut self, pool: u16, now: TenthMillis) -> Result<Admission, TenthMillis> {
        match self.pool_or_default(pool) {
            Some(pool) => pool.admit(now),
            None => Ok(Admission::Unreserved),
        }
    }

    /// Releases the reservation of an admission, right before its request is run or when the request will not run.
    pub fn release(&mut self, pool: u16, admission: Admission) {
        if admission != Admission::Reserved {
            return;
        }
        if let Some(pool) = self.pool_or_default(pool) {
            pool.release();
        }
    }

    /// Returns true if commands can be sent now.
    pub fn is_up(&self) -> bool {
        match self {
            Backend::Engine(link) => link.is_up(),
            Backend::Servers(_) => true,
        }
    }

    /// Returns true if a run needs the CGI variables of its request.
    pub fn needs_variables(&self) -> bool {
        matches!(self, Backend::Servers(_))
    }

    /// Begins a run; `group` is the endpoint group's name as JSON. Returns `None` if the run cannot be sent now;
    /// otherwise the number of the last gauge query before the run, which is 0 for servers.
    pub fn run(
        &mut self,
        id: RequestId,
        request: &mut InFlightRequest,
        group: &str,
        idempotent: bool,
        now: TenthMillis,
    ) -> Option<u64> {
        match self {
            Backend::Engine(link) if link.is_up() => {
                Some(link.run(&request.attempt_id, group, &request.body))
            }
            Backend::Engine(_) => None,
            Backend::Servers(pools) => {
                let variables = request.variables.take();
                request.pool = existing_or_default(request.pool, pools.len());
                if let Some((_, pool)) = pools.get_mut(usize::from(request.pool)) {
                    pool.run(id, variables, &request.body, idempotent, now);
                }
                Some(0)
            }
        }
    }

    /// Cancels a run that has begun.
    pub fn cancel(&mut self, id: RequestId, request: &InFlightRequest, now: TenthMillis) {
        match self {
            Backend::Engine(link) if link.is_up() => link.cancel(&request.attempt_id),
            Backend::Engine(_) => {}
            Backend::Servers(pools) => {
                if let Some((_, pool)) = pools.get_mut(usize::from(request.pool)) {
                    pool.cancel(id, now);
                }
            }
        }
    }

    /// Queries the gauges. Returns the query's number, which the answer carries, or `None` if the link is down or
    /// the backend has no gauges.
    pub fn query_gauges(&mut self) -> Option<u64> {
        match self {
            Backend::Engine(link) => link.is_up().then(|| link.query_gauges()),
            Backend::Servers(_) => None,
        }
    }

    /// Writes commands to the engine, or appends the pools' events to `events`.
    pub fn flush(&mut self, now: TenthMillis, events: &mut Vec<BackendEvent>) {
        match self {
            Backend::Engine(link) => link.flush(now, events),
            Backend::Servers(pools) => pools.iter_mut().for_each(|(_, pool)| pool.flush(events)),
        }
    }

    /// Changes the engine's address.
    pub fn set_address(
        &mut self,
        address: SocketAddr,
        now: TenthMillis,
        events: &mut Vec<BackendEvent>,
    ) {
        if let Backend::Engine(link) = self {
            link.set_address(address, now, events);
        }
    }

    /// Returns how often the link to the engine has been lost.
    pub fn link_losses(&self) -> u64 {
        match self {
            Backend::Engine(link) => link.losses(),
            Backend::Servers(_) => 0,
        }
    }

    fn pools_mut(&mut self) -> &mut [NamedPool] {
        match self {
            Backend::Engine(_) => &mut [],
            Backend::Servers(pools) => pools,
        }
    }

    /// Returns the pool at this index, or the first pool if there is none; `None` for the engine.
    fn pool_or_default(&mut self, pool: u16) -> Option<&mut PoolClient> {
        let pools = self.pools_mut();
        let index = existing_or_default(pool, pools.len());
        pools.get_mut(usize::from(index)).map(|(_, pool)| pool)
    }
}

/// Returns the index if that pool exists, otherwise 0: a request that was classified before a reload may name a pool
/// that has been removed since.
fn existing_or_default(pool: u16, pools: usize) -> u16 {
    if usize::from(pool) < pools { pool } else { 0 }
}
