//! The table of requests in flight: those that are owed an answer, and those whose run has yet to end.

use std::collections::{HashMap, HashSet, VecDeque};

use doortrack_admission::RequestId;
use doortrack_time::TenthMillis;
use doortrack_upstream::Admission;
use rustc_hash::FxHashMap;

use super::results::DedupKey;
use crate::network::listeners::{Caller, RawVariables};
use crate::network::request::AttemptId;
use crate::subsystem::Permit;

/// Attempts remembered after their end, so that an id that is sent twice is known.
const MAX_ENDED_ATTEMPTS: usize = 16_384;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// Its run has not begun.
    Queued,
    /// A duplicate that waits for the result of the original.
    Attached {
        /// The original.
        to: RequestId,
    },
    /// Handed to the backend.
    Running {
        /// Number of the last gauge query sent before it; none while the link is down.
        sent: Option<u64>,
    },
    /// Sent on a link that was lost, and not heard of since: it runs, or never arrived.
    InDoubt {
        /// Whether its cancellation was sent.
        cancelled: bool,
    },
}

impl Stage {
    /// Whether its run may have begun.
    pub fn may_run(self) -> bool {
        matches!(self, Stage::Running { .. } | Stage::InDoubt { .. })
    }
}

/// A request in flight.
pub struct InFlightRequest {
    /// The caller's id of this attempt.
    pub attempt_id: AttemptId,
    /// Index of its endpoint group.
    pub group: u8,
    /// By what a duplicate of it is known, if its group has idempotency keys.
    pub key: Option<DedupKey>,
    /// When it arrived at the machine, on the Unix clock.
    pub arrived_at: TenthMillis,
    /// Its body.
    pub body: Vec<u8>,
    /// Its variables as received, where a server is to have them.
    pub variables: Option<RawVariables>,
    /// Index of its pool of servers; 0 is the one without a name.
    pub pool: u16,
    /// Where its answer goes; none once it is answered or its caller has gone.
    pub caller: Option<Caller>,
    /// How far it has come.
    pub stage: Stage,
    /// The request that it duplicates.
    pub duplicate_of: Option<RequestId>,
    /// What is reserved for it.
    pub reservations: Reservations,
}

/// What a request holds until it ends, or until its run begins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reservations {
    /// Units of the fleet's budgets, until it ends.
    pub permit: Permit,
    /// A reservation with its pool's servers, which its run uses up.
    pub admission: Admission,
}

/// The table of requests in flight.
#[derive(Default)]
pub struct InFlightTable {
    /// The next id, unless it is in use.
    next_id: RequestId,
    by_id: FxHashMap<RequestId, InFlightRequest>,
    by_attempt: HashMap<AttemptId, RequestId>,
    /// Duplicates by the original whose result they wait for.
    attached: FxHashMap<RequestId, Vec<RequestId>>,
    ended_attempts: HashSet<AttemptId>,
    /// The same, the oldest first.
    ended_order: VecDeque<AttemptId>,
}

impl InFlightTable {
    /// Inserts a request under an id that is not in use; none if its attempt has been seen before.
    pub fn insert(&mut self, request: InFlightRequest) -> Option<RequestId> {
        let attempt = request.attempt_id;
        if self.by_attempt.contains_key(&attempt) || self.ended_attempts.contains(&attempt) {
            return None;
        }
        // By the time ids wrap around, the first ones are forgotten everywhere.
        while self.next_id == 0 || self.by_id.contains_key(&self.next_id) {
            self.next_id = self.next_id.wrapping_add(1);
        }
        let id = self.next_id;
        self.by_attempt.insert(attempt, id);
        self.by_id.insert(id, request);
        self.next_id = id.wrapping_add(1);
        Some(id)
    }

    /// The request with this id.
    pub fn get(&mut self, id: RequestId) -> Option<&mut InFlightRequest> {
        self.by_id.get_mut(&id)
    }

    /// The id of the request that was sent as this attempt.
    pub fn find(&self, attempt: &AttemptId) -> Option<RequestId> {
        self.by_attempt.get(attempt).copied()
    }

    /// Whether this request is in flight and its run has not begun.
    pub fn is_waiting(&self, id: RequestId) -> bool {
        let request = self.by_id.get(&id);
        request.is_some_and(|request| !request.stage.may_run())
    }

    /// Has a duplicate wait for the result of its original.
    pub fn attach(&mut self, id: RequestId, original: RequestId) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.stage = Stage::Attached { to: original };
            self.attached.entry(original).or_default().push(id);
        }
    }

    /// Takes out the list of duplicates that wait for the result of this request.
    pub fn take_attached(&mut self, original: RequestId) -> Vec<RequestId> {
        self.attached.remove(&original).unwrap_or_default()
    }

    /// Removes a request and remembers its attempt as ended.
    pub fn remove(&mut self, id: RequestId) -> Option<InFlightRequest> {
        let request = self.by_id.remove(&id)?;
        self.by_attempt.remove(&request.attempt_id);
        if let Stage::Attached { to } = request.stage {
            self.detach(id, to);
        }
        self.remember_ended(request.attempt_id);
        Some(request)
    }

    fn detach(&mut self, id: RequestId, original: RequestId) {
        if let Some(duplicates) = self.attached.get_mut(&original) {
            duplicates.retain(|duplicate| *duplicate != id);
            if duplicates.is_empty() {
                self.attached.remove(&original);
            }
        }
    }

    fn remember_ended(&mut self, attempt: AttemptId) {
        self.ended_attempts.insert(attempt);
        self.ended_order.push_back(attempt);
        if self.ended_order.len() > MAX_ENDED_ATTEMPTS
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended_attempts.remove(&oldest);
        }
    }

    /// Requests in flight.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Requests whose run was handed to the backend and is not in doubt, with the number of the last gauge
    /// query before each.
    pub fn running(&self) -> impl Iterator<Item = (RequestId, Option<u64>)> {
        self.by_id
            .iter()
            .filter_map(|(id, request)| match request.stage {
                Stage::Running { sent } => Some((*id, sent)),
                _ => None,
            })
    }
}
