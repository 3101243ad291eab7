//! Requests in hand: those that are owed an answer, and those whose run has yet to end.

use std::collections::{HashMap, HashSet, VecDeque};

use doortrack_admission::RequestId;
use doortrack_time::TenthMillis;
use doortrack_upstream::Admission;
use rustc_hash::FxHashMap;

use super::results::Key;
use crate::network::listeners::{Caller, RawVariables};
use crate::network::request::AttemptId;
use crate::subsystem::Permit;

/// Tries remembered after their end, so that a doubled id is known as one.
const ENDED: usize = 16_384;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    Queued,
    /// Waits for the result of another.
    Attached {
        to: RequestId,
    },
    /// DeploymentSettings to the engine or the servers; the number of the last STAT before it, or none while the link is
    /// down.
    Running {
        sent: Option<u64>,
    },
    /// Sent on a link that was lost then, and not told of since: it runs, or never arrived. Whether it was
    /// asked to be stopped.
    InDoubt {
        stopped: bool,
    },
}

impl Stage {
    /// Whether its run may have begun.
    pub fn may_run(self) -> bool {
        matches!(self, Stage::Running { .. } | Stage::InDoubt { .. })
    }
}

pub struct InFlightRequest {
    pub try_id: AttemptId,
    pub group: u8,
    /// By what a repeat of it is known, if it is deduplicated.
    pub key: Option<Key>,
    pub stamp: TenthMillis,
    pub body: Vec<u8>,
    /// Its variables as they came, where a server is to have them.
    pub block: Option<RawVariables>,
    /// The place of its pool of servers; 0 is the one without a name.
    pub pool: u16,
    /// Where its answer goes; none once it is given, or nobody waits for it.
    pub caller: Option<Caller>,
    pub stage: Stage,
    /// The one that it repeats.
    pub repeats: Option<RequestId>,
    pub hold: Hold,
}

/// What a request holds until it ends, or until its run begins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hold {
    /// Of the fleet's budgets.
    pub permit: Permit,
    /// Of what its pool's servers may be sent; used up once its run begins.
    pub admission: Admission,
}

#[derive(Default)]
pub struct InFlight {
    /// The next name to be given.
    next: RequestId,
    by_id: FxHashMap<RequestId, InFlightRequest>,
    by_try: HashMap<AttemptId, RequestId>,
    waiting: FxHashMap<RequestId, Vec<RequestId>>,
    ended: HashSet<AttemptId>,
    order: VecDeque<AttemptId>,
}

impl InFlight {
    /// Takes one in under a name that was never used before; none if its try was seen already.
    pub fn take_in(&mut self, ex: InFlightRequest) -> Option<RequestId> {
        if self.by_try.contains_key(&ex.try_id) || self.ended.contains(&ex.try_id) {
            return None;
        }
        // After all the names there are, the first ones are long forgotten everywhere.
        while self.next == 0 || self.by_id.contains_key(&self.next) {
            self.next = self.next.wrapping_add(1);
        }
        self.by_try.insert(ex.try_id, self.next);
        self.by_id.insert(self.next, ex);
        let id = self.next;
        self.next = self.next.wrapping_add(1);
        Some(id)
    }

    pub fn get(&mut self, id: RequestId) -> Option<&mut InFlightRequest> {
        self.by_id.get_mut(&id)
    }

    pub fn of_try(&self, try_id: &AttemptId) -> Option<RequestId> {
        self.by_try.get(try_id).copied()
    }

    pub fn attach(&mut self, id: RequestId, to: RequestId) {
        if let Some(ex) = self.by_id.get_mut(&id) {
            ex.stage = Stage::Attached { to };
            self.waiting.entry(to).or_default().push(id);
        }
    }

    /// Those that wait for the result of this one, which has come to its end.
    pub fn waiting_for(&mut self, id: RequestId) -> Vec<RequestId> {
        self.waiting.remove(&id).unwrap_or_default()
    }

    pub fn remove(&mut self, id: RequestId) -> Option<InFlightRequest> {
        let ex = self.by_id.remove(&id)?;
        self.by_try.remove(&ex.try_id);
        if let Stage::Attached { to } = ex.stage
            && let Some(waiting) = self.waiting.get_mut(&to)
        {
            waiting.retain(|other| *other != id);
            if waiting.is_empty() {
                self.waiting.remove(&to);
            }
        }
        self.ended.insert(ex.try_id);
        self.order.push_back(ex.try_id);
        if self.order.len() > ENDED
            && let Some(oldest) = self.order.pop_front()
        {
            self.ended.remove(&oldest);
        }
        Some(ex)
    }

    pub fn in_flight_count(&self) -> usize {
        self.by_id.len()
    }

    pub fn running(&self) -> impl Iterator<Item = (RequestId, Option<u64>)> {
        self.by_id.iter().filter_map(|(id, ex)| match ex.stage {
            Stage::Running { sent } => Some((*id, sent)),
            _ => None,
        })
    }
}
