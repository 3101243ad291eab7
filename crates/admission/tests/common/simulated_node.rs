//! The state of the simulated node: its requests, the time and the processing of turns.

use std::collections::{BTreeMap, BTreeSet};

use doortrack_admission::*;
use doortrack_time::{MILLISECOND, TenthMillis};

use super::request;

/// The stage of a request, according to the actions on it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Stage {
    #[default]
    Queued,
    /// Attached to the request with this id.
    Attached(RequestId),
    Running,
    AwaitingCall,
    Calling,
    Ended,
}

/// A request and its state.
#[derive(Default)]
pub struct TrackedRequest {
    pub group: usize,
    pub stage: Stage,
    pub idempotency_key: u64,
    pub arrived_at: TenthMillis,
    pub deadline: TenthMillis,
    pub memory_kb: f32,
    pub ran: bool,
    pub completed: bool,
    /// Whether the caller still waits for an answer.
    pub answer_owed: bool,
    pub answered: bool,
    pub call_started_at: Option<TenthMillis>,
    /// Time at which the call is abandoned.
    pub call_abandoned_at: TenthMillis,
    pub may_call: bool,
    /// The original of this request, according to the node's table.
    pub duplicate_of: Option<RequestId>,
}

/// A record in the table of deduplicated requests.
pub struct RecordedRequest {
    pub idempotency_key: u64,
    pub id: RequestId,
    pub expires_at: TenthMillis,
}

/// A graceful shutdown.
#[derive(Clone, Copy)]
pub struct Shutdown {
    /// Requests that arrive after this time must not run.
    pub last_arrival_at: TenthMillis,
    pub stop_at: TenthMillis,
}

pub struct SimulatedNode {
    pub controller: AdmissionController,
    pub config: AdmissionConfig,
    pub now: TenthMillis,
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    /// Events of the next turn.
    pub events: Vec<Event>,
    pub timers: BTreeSet<TenthMillis>,
    /// Reading of the gauge of busy cores.
    pub busy_cores: f32,
    /// Reading of the gauge of open connections.
    pub connections: f32,
    /// Caller of the requests that arrive.
    pub caller: u64,
    pub records: Vec<RecordedRequest>,
    /// Start and end times of the calls that have ended, as seen by the downstream service.
    pub ended_calls: Vec<(TenthMillis, TenthMillis)>,
    pub shutdown: Option<Shutdown>,
    pub started_at: TenthMillis,
    next_id: RequestId,
    /// All actions so far.
    pub actions: Vec<Action>,
}

impl SimulatedNode {
    /// Creates a node that has just started.
    pub fn new(config: AdmissionConfig, seed: u64) -> SimulatedNode {
        let started_at = 60_000 * MILLISECOND;
        let mut node = SimulatedNode {
            controller: AdmissionController::new(config.clone(), seed),
            config,
            now: started_at,
            requests: BTreeMap::new(),
            events: vec![Event::Started],
            timers: BTreeSet::new(),
            busy_cores: 1.0,
            connections: 1.0,
            caller: 0,
            records: Vec::new(),
            ended_calls: Vec::new(),
            shutdown: None,
            started_at,
            next_id: 1,
            actions: Vec::new(),
        };
        node.turn();
        node
    }

    /// Reads one request into the node. `key` is the idempotency key in a deduplicated group,
    /// otherwise the session key. A duplicate is linked to its original according to the node's
    /// table. `time_left` is the time until a deadline that the protocol transmits.
    pub fn arrive(
        &mut self,
        group: u8,
        key: u64,
        age: TenthMillis,
        time_left: Option<TenthMillis>,
        memory_kb: f32,
    ) -> RequestId {
        let id = self.next_id;
        self.next_id += 1;
        let arrived_at = self.now - age;
        let deadline = time_left.map(|left| self.now + left);
        let group_config = &self.config.groups[usize::from(group)];
        let deduplicated = group_config.effect == Effect::Deduplicated;
        let group_deadline = arrived_at + group_config.deadline;
        let duplicate_of = self
            .find_recorded(key, arrived_at)
            .or_else(|| self.find_in_batch(group, key))
            .filter(|_| deduplicated);
        self.events.push(Event::Arrived(Request {
            session_key: if deduplicated { 0 } else { key },
            deadline,
            tenant: (key % 3) as u16,
            caller: self.caller,
            memory_kb,
            age,
            duplicate_of,
            ..request(id, group)
        }));
        let tracked = TrackedRequest {
            group: usize::from(group),
            idempotency_key: key,
            arrived_at,
            deadline: deadline.unwrap_or(group_deadline),
            memory_kb,
            answer_owed: true,
            may_call: true,
            duplicate_of,
            ..TrackedRequest::default()
        };
        self.requests.insert(id, tracked);
        id
    }

    /// Returns the latest recorded request with this idempotency key that has run or may still run.
    fn find_recorded(&self, idempotency_key: u64, arrived_at: TenthMillis) -> Option<RequestId> {
        let may_be_original = |record: &&RecordedRequest| {
            let recorded = &self.requests[&record.id];
            record.idempotency_key == idempotency_key
                && record.expires_at >= arrived_at
                && (recorded.ran || recorded.stage == Stage::Queued)
        };
        let latest = self.records.iter().rev().find(may_be_original)?;
        Some(latest.id)
    }

    /// Returns a request with the same idempotency key that is read in the same batch.
    fn find_in_batch(&self, group: u8, idempotency_key: u64) -> Option<RequestId> {
        self.events.iter().rev().find_map(|event| match event {
            Event::Arrived(arrived)
                if arrived.group == group
                    && self.requests[&arrived.id].idempotency_key == idempotency_key =>
            {
                Some(arrived.id)
            }
            _ => None,
        })
    }

    /// Reads two requests with the same idempotency key in one batch, each of which names the other
    /// as its original.
    pub fn arrive_as_mutual_duplicates(
        &mut self,
        group: u8,
        idempotency_key: u64,
    ) -> (RequestId, RequestId) {
        let first = self.arrive(group, idempotency_key, 0, None, 30.0);
        let second = self.arrive(group, idempotency_key, 0, None, 30.0);
        for event in &mut self.events {
            if let Event::Arrived(arrived) = event
                && arrived.duplicate_of.is_none()
                && [first, second].contains(&arrived.id)
            {
                let other = if arrived.id == first { second } else { first };
                arrived.duplicate_of = Some(other);
                self.requests.get_mut(&arrived.id).unwrap().duplicate_of = Some(other);
            }
        }
        (first, second)
    }

    /// Returns one of the requests at this stage, selected by `selector`.
    pub fn pick(&self, stage: Stage, selector: u32) -> Option<RequestId> {
        let at_stage: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| request.stage == stage)
            .map(|(id, _)| *id)
            .collect();
        (!at_stage.is_empty()).then(|| at_stage[selector as usize % at_stage.len()])
    }

    /// Returns `true` if the process is stopped within this time.
    pub fn stops_within(&self, span: TenthMillis) -> bool {
        self.shutdown
            .is_some_and(|shutdown| self.now + span >= shutdown.stop_at)
    }

    /// Advances the time, and fires every timer when it is due.
    pub fn advance(&mut self, span: TenthMillis) {
        let end = self.now + span;
        self.turn();
        while let Some(at) = self.timers.first().copied().filter(|at| *at <= end) {
            self.timers.remove(&at);
            self.now = self.now.max(at.next_multiple_of(self.config.tick));
            let gauges = Gauges {
                busy_cores: Some(self.busy_cores),
                connections: Some(self.connections),
                ..Gauges::default()
            };
            self.events.push(Event::Timer { token: 0, gauges });
            self.turn();
        }
        self.now = self.now.max(end.next_multiple_of(self.config.tick));
    }

    /// Processes one turn: passes the pending events to the controller, executes the resulting
    /// actions and checks the invariants.
    pub fn turn(&mut self) {
        self.abandon_late_calls();
        let batch = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        self.controller.handle(self.now, &batch, &mut actions);
        for action in &actions {
            self.execute(action);
        }
        self.actions.extend(actions);
        self.answer_attached();
        self.check_invariants();
    }

    fn abandon_late_calls(&mut self) {
        let late: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                request.stage == Stage::Calling && request.call_abandoned_at <= self.now
            })
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.end_call(id, CallOutcome::TimedOut);
        }
    }

    /// Ends the wait of requests whose original has ended.
    fn answer_attached(&mut self) {
        let attached = self
            .requests
            .iter()
            .filter_map(|(id, request)| match request.stage {
                Stage::Attached(original) => Some((*id, &self.requests[&original])),
                _ => None,
            });
        let ended: Vec<(RequestId, bool)> = attached
            .filter(|(_, original)| original.stage == Stage::Ended)
            .map(|(id, original)| (id, original.completed))
            .collect();
        for (id, completed) in ended {
            let outcome = if completed {
                RunOutcome::Completed
            } else {
                RunOutcome::Failed
            };
            self.end_run(id, outcome);
        }
    }
}
