//! The table of requests in flight: those that are not answered yet, and those whose run has not ended.

use std::collections::{HashMap, HashSet, VecDeque};

use doortrack_admission::RequestId;
use doortrack_time::TenthMillis;
use doortrack_upstream::Admission;
use rustc_hash::FxHashMap;

use super::results::DedupKey;
use crate::network::listeners::{Caller, RawVariables};
use crate::network::request::AttemptId;
use crate::subsystem::Permit;

/// Maximum number of ended attempts that are remembered, to detect an attempt id that is sent twice.
const MAX_ENDED_ATTEMPTS: usize = 16_384;

/// Progress of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// The run has not begun.
    Queued,
    /// A duplicate that waits for the result of the original.
    Attached {
        /// The original.
        to: RequestId,
    },
    /// Passed to the backend.
    Running {
        /// Number of the last gauge query sent before the run; `None` if the run could not be sent because the link
        /// was down.
        sent: Option<u64>,
    },
    /// Sent on a link that was lost, with no news since: the run is under way, or never arrived. It must not be sent
    /// again.
    InDoubt,
}

impl Stage {
    /// True if the run may have begun.
    pub fn may_have_begun(self) -> bool {
        matches!(self, Stage::Running { .. } | Stage::InDoubt)
    }
}

/// A request in flight.
pub struct InFlightRequest {
    /// The caller's id of this attempt.
    pub attempt_id: AttemptId,
    /// Index of the endpoint group.
    pub group: u8,
    /// The key that its duplicates share, if its group has idempotency keys.
    pub key: Option<DedupKey>,
    /// Arrival time at the machine, in the node's time.
    pub arrived_at: TenthMillis,
    /// The request body.
    pub body: Vec<u8>,
    /// The variables as received, if the backend needs them.
    pub variables: Option<RawVariables>,
    /// Index of the server pool; 0 is the unnamed pool.
    pub pool: u16,
    /// Where the answer goes; `None` after the answer, or after the caller has gone.
    pub caller: Option<Caller>,
    /// Progress of the request.
    pub stage: Stage,
    /// The original, if this request is a duplicate.
    pub duplicate_of: Option<RequestId>,
    /// What is reserved for the request.
    pub reservations: Reservations,
}

/// Budget units and server capacity that are reserved for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reservations {
    /// Units of the fleet's budgets, held until the request ends.
    pub permit: Permit,
    /// Reservation with the servers of the pool, held until the run begins.
    pub admission: Admission,
}

/// The table of requests in flight.
#[derive(Default)]
pub struct InFlightTable {
    /// The next id to try; skipped if it is in use.
    next_id: RequestId,
    by_id: FxHashMap<RequestId, InFlightRequest>,
    by_attempt: HashMap<AttemptId, RequestId>,
    /// The duplicates that wait for a result, by their original.
    attached: FxHashMap<RequestId, Vec<RequestId>>,
    /// Number of duplicates in `attached`.
    attached_count: usize,
    ended_attempts: HashSet<AttemptId>,
    /// The ended attempts, oldest first.
    ended_order: VecDeque<AttemptId>,
}

impl InFlightTable {
    /// Inserts a request under an unused id. Returns `None` if its attempt id has been seen before.
    pub fn insert(&mut self, request: InFlightRequest) -> Option<RequestId> {
        let attempt = request.attempt_id;
        if self.by_attempt.contains_key(&attempt) || self.ended_attempts.contains(&attempt) {
            return None;
        }
        // When ids wrap around, the old requests with the first ids have long ended.
        while self.next_id == 0 || self.by_id.contains_key(&self.next_id) {
            self.next_id = self.next_id.wrapping_add(1);
        }
        let id = self.next_id;
        self.by_attempt.insert(attempt, id);
        self.by_id.insert(id, request);
        self.next_id = id.wrapping_add(1);
        Some(id)
    }

    /// Returns the request with this id.
    pub fn get(&mut self, id: RequestId) -> Option<&mut InFlightRequest> {
        self.by_id.get_mut(&id)
    }

    /// Returns the id of the request with this attempt id.
    pub fn find_by_attempt(&self, attempt: &AttemptId) -> Option<RequestId> {
        self.by_attempt.get(attempt).copied()
    }

    /// True if this request is in flight and its run has not begun.
    pub fn is_not_begun(&self, id: RequestId) -> bool {
        let request = self.by_id.get(&id);
        request.is_some_and(|request| !request.stage.may_have_begun())
    }

    /// Makes a duplicate wait for the result of its original.
    pub fn attach(&mut self, id: RequestId, original: RequestId) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.stage = Stage::Attached { to: original };
            self.attached.entry(original).or_default().push(id);
            self.attached_count += 1;
        }
    }

    /// Number of duplicates that wait for a result.
    pub fn attached_count(&self) -> usize {
        self.attached_count
    }

    /// Removes and returns the duplicates that wait for the result of this request.
    pub fn take_attached(&mut self, original: RequestId) -> Vec<RequestId> {
        let duplicates = self.attached.remove(&original).unwrap_or_default();
        self.attached_count -= duplicates.len();
        duplicates
    }

    /// Removes a request and remembers its attempt id as ended.
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
            let before = duplicates.len();
            duplicates.retain(|duplicate| *duplicate != id);
            self.attached_count -= before - duplicates.len();
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

    /// Number of requests in flight.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// True if no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Requests whose run was passed to the backend and is not in doubt, each with the number of the last gauge query
    /// sent before it.
    pub fn running(&self) -> impl Iterator<Item = (RequestId, Option<u64>)> {
        self.by_id
            .iter()
            .filter_map(|(id, request)| match request.stage {
                Stage::Running { sent } => Some((*id, sent)),
                _ => None,
            })
    }
}
