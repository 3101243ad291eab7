//! The table of requests in flight: those that are not answered yet, or whose runs have not ended.

use std::ops::{Index, IndexMut};

use doortrack_time::TenthMillis;
use rustc_hash::FxHashMap;
use slab::Slab;

use crate::RequestId;
use crate::downstream_calls::RequestCalls;

/// Position of a request in the table. It is reused once the request has ended.
pub(crate) type Slot = usize;

/// The stage of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Waiting to be run.
    #[default]
    Queued,
    /// Waiting for the result of the request that it duplicates.
    Attached,
    /// Running on a core.
    Running,
    /// Waiting for its downstream call to be made.
    AwaitingCall,
    /// Waiting for its downstream call to end.
    Calling,
}

/// Number of stages.
const STAGES: usize = 5;

/// One request in flight.
#[derive(Debug, Default)]
pub(crate) struct InFlightRequest {
    /// Its id at this node.
    pub(crate) id: RequestId,
    /// Index of its endpoint group.
    pub(crate) group: usize,
    /// Identifies its session; 0 if none is known.
    pub(crate) session_key: u64,
    /// Its stage, which only [`InFlightTable::set_stage`] changes.
    pub(crate) stage: Stage,
    /// The request that it duplicates, while attached.
    pub(crate) attached_to: RequestId,
    /// When it reached this machine.
    pub(crate) arrived_at: TenthMillis,
    /// End of its latency objective.
    pub(crate) objective_deadline: TenthMillis,
    /// The last moment for an answer.
    pub(crate) answer_by: TenthMillis,
    /// When it is next reviewed.
    pub(crate) review_at: TenthMillis,
    /// When its run began.
    pub(crate) run_started_at: TenthMillis,
    /// Expected work, as time on a standard core; 0 if not known.
    pub(crate) work: f32,
    /// Memory that it takes while queued, in kB.
    pub(crate) memory_kb: f32,
    /// It exceeds its tenant's quota.
    pub(crate) over_quota: bool,
    /// It takes much more work than the mean.
    pub(crate) long_work: bool,
    /// It needs no answer any more; only the end of its run is still to be reported.
    pub(crate) answered: bool,
    /// Its downstream calls.
    pub(crate) calls: RequestCalls,
}

/// All requests in flight, and their number at each stage.
#[derive(Debug, Default)]
pub(crate) struct InFlightTable {
    slots: Slab<InFlightRequest>,
    by_id: FxHashMap<RequestId, Slot>,
    at_stage: [usize; STAGES],
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
        self.at_stage[stage as usize] += 1;
        self.queued_over_quota += usize::from(stage == Stage::Queued && over_quota);
    }

    fn leave_stage(&mut self, stage: Stage, over_quota: bool) {
        self.at_stage[stage as usize] -= 1;
        self.queued_over_quota -= usize::from(stage == Stage::Queued && over_quota);
    }

    /// The slot of a request, if it is in flight.
    pub(crate) fn slot_of(&self, id: RequestId) -> Option<Slot> {
        self.by_id.get(&id).copied()
    }

    /// The request in this slot, if that still holds the one with this id.
    pub(crate) fn get(&self, slot: Slot, id: RequestId) -> Option<&InFlightRequest> {
        self.slots.get(slot).filter(|request| request.id == id)
    }

    /// Number of requests in flight.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// The slots of all requests, in ascending order.
    pub(crate) fn slots(&self) -> impl Iterator<Item = Slot> {
        self.slots.iter().map(|(slot, _)| slot)
    }

    /// Number of requests at this stage.
    pub(crate) fn count(&self, stage: Stage) -> usize {
        self.at_stage[stage as usize]
    }

    /// Number of started requests with long work.
    pub(crate) fn long_running(&self) -> usize {
        self.long_running
    }

    /// Number of started requests. Those at downstream calls are included, as they return to the
    /// cores without a decision when their calls end.
    pub(crate) fn started(&self) -> usize {
        self.count(Stage::Running) + self.count(Stage::AwaitingCall) + self.count(Stage::Calling)
    }

    /// The paper's load `l`: requests queued and running. Those at downstream calls are bounded
    /// apart.
    pub(crate) fn load(&self) -> f32 {
        (self.count(Stage::Queued) + self.count(Stage::Running)) as f32
    }

    /// The load that goes before a request: what is queued beyond a quota waits for all that is
    /// within one.
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
    /// Whether its run has begun.
    pub(crate) fn has_started(&self) -> bool {
        !matches!(self.stage, Stage::Queued | Stage::Attached)
    }

    /// Whether it waits for its downstream call to be made.
    pub(crate) fn awaits_call(&self) -> bool {
        self.stage == Stage::AwaitingCall && !self.answered
    }
}
