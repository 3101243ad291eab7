//! What happened at the node, as it reports it to the decisions.

use doortrack_time::TenthMillis;

/// Identifies a request at this node. Never used twice by one node within one process.
pub type RequestId = u32;

/// One thing that happened at this node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The node is up; the first event of each process.
    Started,
    /// A request was read and is queued; one final answer is owed from here on.
    Arrived(Request),
    /// A run, or a wait begun with [`Action::Attach`](crate::Action::Attach), has ended.
    RunEnded {
        /// The request that ran or waited.
        id: RequestId,
        /// How it ended.
        outcome: RunOutcome,
    },
    /// A running request cannot continue without a call to a downstream service.
    CallRequired {
        /// The running request.
        id: RequestId,
    },
    /// A call made with [`Action::Call`](crate::Action::Call) has ended.
    CallEnded {
        /// The request that made the call.
        id: RequestId,
        /// How the call ended.
        outcome: CallOutcome,
        /// Time from the call to its end.
        duration: TenthMillis,
    },
    /// The caller no longer waits for an answer.
    CallerGone {
        /// The request whose caller left.
        id: RequestId,
    },
    /// A graceful shutdown was requested.
    Drain {
        /// Time since the request to shut down.
        age: TenthMillis,
        /// When the process is stopped.
        stop_at: TenthMillis,
    },
    /// A timer set with [`Action::SetTimer`](crate::Action::SetTimer) fired.
    Timer {
        /// The token it was set with.
        token: u64,
        /// The node's gauges at this time.
        gauges: Gauges,
    },
}

/// A request as the decisions see it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id at this node.
    pub id: RequestId,
    /// Index of its endpoint group in [`AdmissionConfig::groups`](crate::AdmissionConfig::groups).
    pub group: u8,
    /// Index of its tenant in
    /// [`AdmissionConfig::tenant_quotas`](crate::AdmissionConfig::tenant_quotas).
    pub tenant: u16,
    /// Identifies the session that it belongs to; 0 if none is known.
    pub session_key: u64,
    /// When its caller stops waiting, if the protocol passes that on.
    pub deadline: Option<TenthMillis>,
    /// Expected work, as time on a standard core.
    pub work_hint: Option<TenthMillis>,
    /// Memory that it takes while queued, in kB.
    pub memory_kb: f32,
    /// Its rank within its group: from 0 to under 1, rising with its value.
    pub rank: f32,
    /// Marked by the caller as a retry or a hedged request.
    pub retry: bool,
    /// Identifies the caller. Numbers are used up as callers come and go, hence the width.
    pub caller: u64,
    /// Time since it reached this machine.
    pub age: TenthMillis,
    /// The recorded request with the same idempotency key, if there is one.
    pub duplicate_of: Option<RequestId>,
    /// Set where a budget of the whole fleet has nothing left for it: how long until it may have.
    pub budget_retry_after: Option<TenthMillis>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It produced a result.
    Completed,
    /// It failed, or its result was lost.
    Failed,
    /// It was cancelled with [`Action::Cancel`](crate::Action::Cancel).
    Cancelled,
    /// Nothing was begun: the request had ended before.
    NotStarted,
}

/// How a call to a downstream service ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It produced a result.
    Completed,
    /// The service reported a failure.
    Failed,
    /// The service rejected it without running it.
    Rejected,
    /// Abandoned after its timeout; may have taken effect.
    TimedOut,
    /// The service could not be reached.
    Unreachable,
    /// The connection was lost during the call; may have taken effect.
    ConnectionLost,
    /// Cancelled together with its request.
    Cancelled,
    /// The call was never made.
    NotStarted,
}

impl CallOutcome {
    /// Whether the call certainly had no effect.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::Rejected | Self::Unreachable | Self::NotStarted)
    }
}

/// The node's own gauges; each absent where the node has none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Share of the cores that were busy over the last half second.
    pub busy_cores: Option<f32>,
    /// All work that wants a core now: runs, reading, health checks, new connections.
    pub runnable_tasks: Option<f32>,
    /// Share of the memory in use.
    pub memory: Option<f32>,
    /// Open connections.
    pub connections: Option<f32>,
}
