//! Events that the node reports to admission control.

use doortrack_time::TenthMillis;

/// Identifies a request at this node. An id is never reused within one process.
pub type RequestId = u32;

/// An event at this node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The node has started. This is the first event of each process.
    Started,
    /// A request was read. From here on it is owed one final answer.
    Arrived(Request),
    /// A run, or a wait begun with [`Action::Attach`](crate::Action::Attach), has ended.
    RunEnded {
        /// The request that ran, or that was attached.
        id: RequestId,
        /// How the run or the wait ended.
        outcome: RunOutcome,
    },
    /// A running request needs a downstream call to continue.
    CallRequired {
        /// The request that needs the call.
        id: RequestId,
    },
    /// A call made with [`Action::Call`](crate::Action::Call) has ended.
    CallEnded {
        /// The request that made the call.
        id: RequestId,
        /// How the call ended.
        outcome: CallOutcome,
        /// Duration of the call.
        duration: TenthMillis,
    },
    /// The caller of a request no longer waits for an answer.
    CallerGone {
        /// The request.
        id: RequestId,
    },
    /// A graceful shutdown was requested.
    Drain {
        /// Time since the shutdown was requested.
        age: TenthMillis,
        /// Time at which the process is stopped.
        stop_at: TenthMillis,
    },
    /// A timer set with [`Action::SetTimer`](crate::Action::SetTimer) fired.
    Timer {
        /// The token that the timer was set with.
        token: u64,
        /// The node's current gauges.
        gauges: Gauges,
    },
}

/// The properties of a request that admission control uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// The id of the request at this node.
    pub id: RequestId,
    /// Index of its endpoint group in [`AdmissionConfig::groups`](crate::AdmissionConfig::groups).
    pub group: u8,
    /// Index of its tenant in
    /// [`AdmissionConfig::tenant_quotas`](crate::AdmissionConfig::tenant_quotas).
    pub tenant: u16,
    /// Key of the session that the request belongs to; 0 if none is known.
    pub session_key: u64,
    /// Time at which the caller stops waiting, if the protocol transmits it.
    pub deadline: Option<TenthMillis>,
    /// Expected work, as time on a standard core.
    pub work_hint: Option<TenthMillis>,
    /// Memory used by the request while it is queued, in kB.
    pub memory_kb: f32,
    /// Rank within the group, from 0 to below 1; a higher rank means a higher value.
    pub rank: f32,
    /// Whether the caller marked the request as a retry or a hedged request.
    pub retry: bool,
    /// Identifies the caller. Numbers are consumed as callers come and go, so the type has 64 bits.
    pub caller: u64,
    /// Time since the request reached this machine.
    pub age: TenthMillis,
    /// The recorded request with the same idempotency key, if any.
    pub duplicate_of: Option<RequestId>,
    /// Time until a fleet-wide budget may have capacity for the request. Set only if the budget has
    /// none left for it now.
    pub budget_retry_after: Option<TenthMillis>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The run produced a result.
    Completed,
    /// The run failed, or its result was lost.
    Failed,
    /// The run was cancelled with [`Action::Cancel`](crate::Action::Cancel).
    Cancelled,
    /// The run was not started because the request had already ended.
    NotStarted,
}

/// How a call to a downstream service ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call produced a result.
    Completed,
    /// The service reported a failure.
    Failed,
    /// The service rejected the call without running it.
    Rejected,
    /// The call was abandoned after its timeout and may have taken effect.
    TimedOut,
    /// The service could not be reached.
    Unreachable,
    /// The connection was lost during the call, which may have taken effect.
    ConnectionLost,
    /// The call was cancelled together with its request.
    Cancelled,
    /// The call was never made.
    NotStarted,
}

impl CallOutcome {
    /// Returns `true` if the call certainly had no effect.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::Rejected | Self::Unreachable | Self::NotStarted)
    }
}

/// The node's gauges. A gauge that the node does not have is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Share of the cores that were busy over the last half second.
    pub busy_cores: Option<f32>,
    /// Number of tasks ready to use a core: runs, reads, health checks and new connections.
    pub runnable_tasks: Option<f32>,
    /// Share of the memory in use.
    pub memory: Option<f32>,
    /// Open connections.
    pub connections: Option<f32>,
}
