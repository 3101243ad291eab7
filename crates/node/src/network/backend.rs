//! Where runs go: to the platform's engine over its link, or to application servers. The loop does not know
//! which.

use std::net::SocketAddr;

use doortrack_admission::RequestId;
use doortrack_time::TenthMillis;
use doortrack_upstream::{Admission, TokenResponse};
use polling::Event;

use super::engine::{BackendEvent, ENGINE_KEY, EngineLink};
use super::servers::{POOL_KEYS, SERVER_KEY, Servers};
use crate::state::in_flight::InFlightRequest;

pub enum Backend {
    Engine(Box<EngineLink>),
    /// Pools of servers with their names; the one without a name first.
    Servers(Vec<(String, Servers)>),
}

/// Rules are read with the pools that there are; whatever else a request says, it is run.
fn pool_place(pool: u16, pools: usize) -> usize {
    if usize::from(pool) < pools {
        usize::from(pool)
    } else {
        0
    }
}

impl Backend {
    /// Does what is due: makes a link, gives up what took too long.
    pub fn maintain(&mut self, now: TenthMillis) {
        match self {
            Backend::Engine(link) => link.maintain(now),
            Backend::Servers(pools) => pools.iter_mut().for_each(|(_, pool)| pool.maintain(now)),
        }
    }

    /// When it is to be tended at the latest.
    pub fn next_due(&self) -> TenthMillis {
        match self {
            Backend::Engine(link) if link.is_down() => link.next_try,
            Backend::Engine(_) => TenthMillis::MAX,
            Backend::Servers(pools) => pools
                .iter()
                .map(|(_, pool)| pool.next_due())
                .min()
                .unwrap_or(TenthMillis::MAX),
        }
    }

    /// Whether what is ready under this key belongs here.
    pub fn has(&self, key: usize) -> bool {
        key == ENGINE_KEY || key >= SERVER_KEY
    }

    pub fn ready(
        &mut self,
        event: Event,
        now: TenthMillis,
        backend_events: &mut Vec<BackendEvent>,
    ) {
        match self {
            Backend::Engine(link) => link.ready(event, now, backend_events),
            Backend::Servers(pools) => {
                let place = event.key.saturating_sub(SERVER_KEY) / POOL_KEYS;
                if let Some((_, pool)) = pools.get_mut(place) {
                    pool.ready(event, now);
                }
            }
        }
    }

    /// Pools whose retries are bounded elsewhere as well: by place, what they are to pass.
    pub fn gate_retries(&mut self, mut gate: impl FnMut(u16) -> Option<Box<dyn FnMut() -> bool>>) {
        if let Backend::Servers(pools) = self {
            for (place, (_, pool)) in pools.iter_mut().enumerate() {
                gate(place as u16)
                    .into_iter()
                    .for_each(|gate| pool.gate_retries(gate));
            }
        }
    }

    /// Pools whose ramps are shared with others: by place, where they ask for tokens.
    pub fn gate_ramps(
        &mut self,
        mut gate: impl FnMut(u16) -> Option<Box<dyn FnMut() -> TokenResponse>>,
    ) {
        if let Backend::Servers(pools) = self {
            for (place, (_, pool)) in pools.iter_mut().enumerate() {
                gate(place as u16)
                    .into_iter()
                    .for_each(|gate| pool.gate_ramps(gate));
            }
        }
    }

    /// Whether one more request may be admitted to the pool at this place, as far as its servers go.
    ///
    /// # Errors
    /// How long to wait before it comes back, in tenths of a ms.
    pub fn admit(&mut self, pool: u16, now: TenthMillis) -> Result<Admission, TenthMillis> {
        match self {
            Backend::Engine(_) => Ok(Admission::Unreserved),
            Backend::Servers(pools) => {
                let place = pool_place(pool, pools.len());
                pools
                    .get_mut(place)
                    .map_or(Ok(Admission::Unreserved), |(_, pool)| pool.admit(now))
            }
        }
    }

    /// What was reserved for a request is begun next, or not wanted any more.
    pub fn release(&mut self, pool: u16, admission: Admission) {
        if let (Backend::Servers(pools), Admission::Reserved) = (self, admission) {
            let place = pool_place(pool, pools.len());
            pools
                .get_mut(place)
                .into_iter()
                .for_each(|(_, pool)| pool.release());
        }
    }

    /// Whether what is asked for now is sent at once.
    pub fn is_up(&self) -> bool {
        match self {
            Backend::Engine(link) => link.is_up(),
            Backend::Servers(_) => true,
        }
    }

    /// Whether a run needs the variables that its request came with.
    pub fn wants_variables(&self) -> bool {
        matches!(self, Backend::Servers(_))
    }

    /// Begins a run. `group` is the endpoint group's name as JSON. The number of the last STAT before it,
    /// or none while it can't be sent.
    pub fn run(
        &mut self,
        id: RequestId,
        request: &mut InFlightRequest,
        group: &str,
        repeatable: bool,
        now: TenthMillis,
    ) -> Option<u64> {
        match self {
            Backend::Engine(link) => link
                .is_up()
                .then(|| link.run(&request.try_id, group, &request.body)),
            Backend::Servers(pools) => {
                let block = request.block.take();
                request.pool = pool_place(request.pool, pools.len()) as u16;
                if let Some((_, pool)) = pools.get_mut(usize::from(request.pool)) {
                    pool.run(id, block, &request.body, repeatable, now);
                }
                Some(0)
            }
        }
    }

    /// Stops a run that was begun.
    pub fn stop(&mut self, id: RequestId, request: &InFlightRequest, now: TenthMillis) {
        match self {
            Backend::Engine(link) if link.is_up() => link.halt(&request.try_id),
            Backend::Engine(_) => {}
            Backend::Servers(pools) => {
                if let Some((_, pool)) = pools.get_mut(usize::from(request.pool)) {
                    pool.stop(id, now);
                }
            }
        }
    }

    /// Asks for the gauges, where somebody has any: the number that the answer will carry.
    pub fn stat(&mut self) -> Option<u64> {
        match self {
            Backend::Engine(link) => link.is_up().then(|| link.stat()),
            Backend::Servers(_) => None,
        }
    }

    /// Writes what there is, and tells what came of runs.
    pub fn flush(&mut self, now: TenthMillis, backend_events: &mut Vec<BackendEvent>) {
        match self {
            Backend::Engine(link) => link.flush(now, backend_events),
            Backend::Servers(pools) => pools
                .iter_mut()
                .for_each(|(_, pool)| pool.flush(backend_events)),
        }
    }

    /// The engine is to be found elsewhere.
    pub fn move_to(
        &mut self,
        at: SocketAddr,
        now: TenthMillis,
        backend_events: &mut Vec<BackendEvent>,
    ) {
        if let Backend::Engine(link) = self {
            link.move_to(at, now, backend_events);
        }
    }

    pub fn link_losses(&self) -> u64 {
        match self {
            Backend::Engine(link) => link.losses,
            Backend::Servers(_) => 0,
        }
    }
}
