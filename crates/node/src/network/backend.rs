//! Where requests run: at the platform's engine, over its link, or at pools of application servers.

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

/// What happened at the backend, in order.
pub enum BackendEvent {
    /// It is up, from now on or again.
    Up {
        /// It came up with cold caches.
        cold: bool,
        /// How long ago it came up.
        uptime: TenthMillis,
    },
    /// The link to the engine is up, and all notices that were missed have been passed on.
    CaughtUp {
        /// The number of the last gauge query that was answered on the link before. Runs sent after that query
        /// may not have arrived.
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
        /// Header lines of the server's answer that go on to the caller.
        headers: Vec<u8>,
        /// The body of the server's answer.
        body: Vec<u8>,
    },
    /// The link to the engine has ended.
    LinkEnded(Termination),
}

/// Asks whether a retry may be sent.
pub type RetryGate = Box<dyn FnMut() -> bool>;
/// Asks for a token of a slow start.
pub type SlowStartTokens = Box<dyn FnMut() -> TokenResponse>;

/// A pool of servers and its name.
pub type NamedPool = (String, PoolClient);

/// Where requests run.
pub enum Backend {
    /// At the engine.
    Engine(Box<EngineLink>),
    /// At pools of servers; the first one has no name.
    Servers(Vec<NamedPool>),
}

impl Backend {
    /// Does what is due: makes the link, ends what took too long.
    pub fn maintain(&mut self, now: TenthMillis) {
        match self {
            Backend::Engine(link) => link.maintain(now),
            Backend::Servers(pools) => pools.iter_mut().for_each(|(_, pool)| pool.maintain(now)),
        }
    }

    /// When [`Backend::maintain`] is due; [`TenthMillis::MAX`] for never.
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

    /// Whether this key of the poller is the backend's.
    pub fn has_key(&self, key: usize) -> bool {
        key == ENGINE_KEY || key >= FIRST_SERVER_KEY
    }

    /// Handles what the poller reports under one of the backend's keys.
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

    /// Has pools ask before they retry; `gate` gives each pool's gate by its index, if it has one.
    pub fn set_retry_gates(&mut self, mut gate: impl FnMut(u16) -> Option<RetryGate>) {
        for (index, (_, pool)) in self.pools_mut().iter_mut().enumerate() {
            if let Some(gate) = gate(index as u16) {
                pool.set_retry_gate(gate);
            }
        }
    }

    /// Has pools ask for tokens of their slow starts; `gate` gives each pool's gate by its index, if it has one.
    pub fn set_slow_start_tokens(&mut self, mut gate: impl FnMut(u16) -> Option<SlowStartTokens>) {
        for (index, (_, pool)) in self.pools_mut().iter_mut().enumerate() {
            if let Some(gate) = gate(index as u16) {
                pool.set_slow_start_tokens(gate);
            }
        }
    }

    /// Admits one more request to the pool at this index, as far as its servers go.
    ///
    /// # Errors
    /// They are busy; when to retry.
    pub fn admit(&mut self, pool: u16, now: TenthMillis) -> Result<Admission, TenthMillis> {
        match self.pool_or_default(pool) {
            Some(pool) => pool.admit(now),
            None => Ok(Admission::Unreserved),
        }
    }

    /// Gives back a reservation: its request is run next, or never.
    pub fn release(&mut self, pool: u16, admission: Admission) {
        if admission != Admission::Reserved {
            return;
        }
        if let Some(pool) = self.pool_or_default(pool) {
            pool.release();
        }
    }

    /// Whether commands are sent at once.
    pub fn is_up(&self) -> bool {
        match self {
            Backend::Engine(link) => link.is_up(),
            Backend::Servers(_) => true,
        }
    }

    /// Whether a run needs its request's variables.
    pub fn needs_variables(&self) -> bool {
        matches!(self, Backend::Servers(_))
    }

    /// Begins a run; `group` is the endpoint group's name as JSON. None if it can't be sent at present;
    /// otherwise the number of the last gauge query before it.
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

    /// Cancels a run that was begun.
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

    /// Queries the gauges; the number that the answer will carry, or none where there are no gauges.
    pub fn query_gauges(&mut self) -> Option<u64> {
        match self {
            Backend::Engine(link) => link.is_up().then(|| link.query_gauges()),
            Backend::Servers(_) => None,
        }
    }

    /// Writes commands, and passes on how runs at servers ended.
    pub fn flush(&mut self, now: TenthMillis, events: &mut Vec<BackendEvent>) {
        match self {
            Backend::Engine(link) => link.flush(now, events),
            Backend::Servers(pools) => pools.iter_mut().for_each(|(_, pool)| pool.flush(events)),
        }
    }

    /// Makes the link to the engine at another address.
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

    /// How often the link to the engine has been lost.
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

    /// The pool at this index, or the first one where there is none; none at the engine.
    fn pool_or_default(&mut self, pool: u16) -> Option<&mut PoolClient> {
        let pools = self.pools_mut();
        let index = existing_or_default(pool, pools.len());
        pools.get_mut(usize::from(index)).map(|(_, pool)| pool)
    }
}

/// The index of a pool that exists: a request that was classified before a reload may name one that is gone.
fn existing_or_default(pool: u16, pools: usize) -> u16 {
    if usize::from(pool) < pools { pool } else { 0 }
}
