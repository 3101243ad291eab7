//! The table of requests in flight: requests that are not answered yet, or whose runs have not
//! ended.

use std::ops::{Index, IndexMut};

use doortrack_time::TenthMillis;
use rustc_hash::FxHashMap;
use slab::Slab;

use crate::RequestId;
use crate::downstream_calls::RequestCalls;

/// Position of a request in the table. A slot is reused after its request has ended.
pub(crate) type Slot = usize;

/// The stage of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Waiting to run.
    #[default]
    Queued,
    /// Waiting for the result of the request that this one duplicates.
    Attached,
    /// Running on a core.
    Running,
    /// Waiting for its downstream call to be made.
    AwaitingCall,
    /// Waiting for its downstream call to end.
    Calling,
}

/// Number of stages.
const STAGE_COUNT: usize = 5;

/// One request in flight.
#[derive(Debug, Default)]
pub(crate) struct InFlightRequest {
    /// The id of the request at this node.
    pub(crate) id: RequestId,
    /// Index of its endpoint group.
    pub(crate) group: usize,
    /// Key of the request's session; 0 if none is known.
    pub(crate) session_key: u64,
    /// The current stage, which only [`InFlightTable::set_stage`] changes.
    pub(crate) stage: Stage,
    /// The original that this request is attached to, at [`Stage::Attached`].
    pub(crate) attached_to: RequestId,
    /// Time at which the request reached this machine.
    pub(crate) arrived_at: TenthMillis,
    /// End of the request's latency objective.
    pub(crate) objective_deadline: TenthMillis,
    /// Latest time for an answer.
    pub(crate) answer_by: TenthMillis,
    /// Time of the next review.
    pub(crate) review_at: TenthMillis,
    pub(crate) run_started_at: TenthMillis,
    /// Expected work, as time on a standard core; 0 if not known.
    pub(crate) work: f32,
    /// Memory used by the request while it is queued, in kB.
    pub(crate) memory_kb: f32,
    /// Whether the request exceeds its tenant's quota.
    pub(crate) over_quota: bool,
    /// Whether the request takes much more work than the mean.
    pub(crate) long_work: bool,
    /// Whether the request needs no further answer, so that only the end of its run is still to be
    /// reported.
    pub(crate) answered: bool,
    pub(crate) calls: RequestCalls,
}

/// All requests in flight, and their number at each stage.
#[derive(Debug, Default)]
pub(crate) struct InFlightTable {
    slots: Slab<InFlightRequest>,
    by_id: FxHashMap<RequestId, Slot>,
    count_by_stage: [usize; STAGE_COUNT],
    queued_over_quota: usize,
    long_running: usize,
}

impl InFlightTable {
    /// Inserts a request at its stage.
    pub(crate) fn insert(&mut self, request: InFlightRequest) -> Slot {
        self.enter_stage(request.stage, request.over_quota);
        let id = request.id;
        let slot = self.slots.insert(request);
        self.by_id.insert(id, slot);
        slot
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, slot: Slot) -> InFlightRequest {
        let request = self.slots.remove(slot);
        self.by_id.remove(&request.id);
        self.leave_stage(request.stage, request.over_quota);
        if request.has_started() {
            self.long_running -= usize::from(request.long_work);
        }
        request
    }

    /// Moves a request to another stage.
    pub(crate) fn set_stage(&mut self, slot: Slot, stage: Stage) {
        let request = &mut self.slots[slot];
        let had_started = request.has_started();
        let from = std::mem::replace(&mut request.stage, stage);
        let starts = !had_started && request.has_started();
        let (over_quota, long_work) = (request.over_quota, request.long_work);
        self.leave_stage(from, over_quota);
        self.enter_stage(stage, over_quota);
        self.long_running += usize::from(starts && long_work);
    }

    fn enter_stage(&mut self, stage: Stage, over_quota: bool) {
        self.count_by_stage[stage as usize] += 1;
        self.queued_over_quota += usize::from(stage == Stage::Queued && over_quota);
    }

    fn leave_stage(&mut self, stage: Stage, over_quota: bool) {
        self.count_by_stage[stage as usize] -= 1;
        self.queued_over_quota -= usize::from(stage == Stage::Queued && over_quota);
    }

    /// Returns the slot of a request, if it is in flight.
    pub(crate) fn slot_of(&self, id: RequestId) -> Option<Slot> {
        self.by_id.get(&id).copied()
    }

    /// Returns the request in this slot, if it has this id.
    pub(crate) fn get(&self, slot: Slot, id: RequestId) -> Option<&InFlightRequest> {
        self.slots.get(slot).filter(|request| request.id == id)
    }

    /// Returns the number of requests in flight.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns the slots of all requests, in ascending order.
    pub(crate) fn slots(&self) -> impl Iterator<Item = Slot> {
        self.slots.iter().map(|(slot, _)| slot)
    }

    /// Returns the number of requests at this stage.
    pub(crate) fn count(&self, stage: Stage) -> usize {
        self.count_by_stage[stage as usize]
    }

    /// Returns the number of started requests with long work.
    pub(crate) fn long_running(&self) -> usize {
        self.long_running
    }

    /// Returns the number of started requests. Requests at downstream calls are included, because
    /// they return to the cores without a decision when their calls end.
    pub(crate) fn started(&self) -> usize {
        self.count(Stage::Running) + self.count(Stage::AwaitingCall) + self.count(Stage::Calling)
    }

    /// Returns the load `l` of the admission rule: the number of queued and running requests.
    /// Requests at downstream calls are limited separately.
    pub(crate) fn load(&self) -> f32 {
        (self.count(Stage::Queued) + self.count(Stage::Running)) as f32
    }

    /// Returns the load that is served before a new request. For a request within its tenant's
    /// quota, this excludes queued requests that exceed a quota, because they run after it.
    pub(crate) fn load_ahead(&self, over_quota: bool) -> f32 {
        if over_quota {
            self.load()
        } else {
            self.load() - self.queued_over_quota as f32
        }
    }
}

impl Index<Slot> for InFlightTable {
    type Output = InFlightRequest;

    fn index(&self, slot: Slot) -> &InFlightRequest {
        &self.slots[slot]
    }
}

impl IndexMut<Slot> for InFlightTable {
    fn index_mut(&mut self, slot: Slot) -> &mut InFlightRequest {
        &mut self.slots[slot]
    }
}

impl InFlightRequest {
    /// Returns `true` if the request's run has started.
    pub(crate) fn has_started(&self) -> bool {
        !matches!(self.stage, Stage::Queued | Stage::Attached)
    }

    /// Returns `true` if the request waits for its downstream call to be made.
    pub(crate) fn awaits_call(&self) -> bool {
        self.stage == Stage::AwaitingCall && !self.answered
    }
}
