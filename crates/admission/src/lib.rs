//! Interface of the admission decisions: what happened at this node, what is to be done about it, and the
//! configuration read at start.
//!
//! All decisions are in [`logic`]; there is no I/O and no clock in this package, and the same events with the
//! same seed give the same actions. Times are in the unit of [`doortrack_time`]. The caller rounds a deadline
//! and an age down, a window and a wait up, so that no promise is broken by rounding.

pub mod logic;

pub use logic::AdmissionController;

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
    /// A run, or a wait begun with [`Action::Attach`], has ended.
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
    /// A call made with [`Action::Call`] has ended.
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
    /// A timer set with [`Action::SetTimer`] fired.
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
    /// Index of its endpoint group in [`AdmissionConfig::groups`].
    pub group: u8,
    /// Index of its tenant in [`AdmissionConfig::tenant_quotas`].
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
    /// It was cancelled with [`Action::Cancel`].
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

/// One thing to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a queued request.
    Run {
        /// The request.
        id: RequestId,
    },
    /// Final answer: rejected, with the promise that it never ran.
    Reject {
        /// The request.
        id: RequestId,
        /// The caller is told not to retry on another node either.
        no_retry_elsewhere: bool,
        /// How long the caller is told to wait before a retry.
        retry_after: TenthMillis,
    },
    /// Final answer: failed, without a promise about its effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel running work; this is not an answer by itself.
    Cancel {
        /// The request.
        id: RequestId,
    },
    /// Make the call that the request waits for.
    Call {
        /// The request.
        id: RequestId,
        /// When the call is abandoned.
        timeout: TenthMillis,
    },
    /// Continue the run without the call: a degraded answer.
    SkipCall {
        /// The request.
        id: RequestId,
    },
    /// Enter a deduplicated request into the node's table.
    Record {
        /// The request.
        id: RequestId,
        /// How long the entry stays.
        ttl: TenthMillis,
    },
    /// Remove its entry from the table.
    Forget {
        /// The request.
        id: RequestId,
    },
    /// Answer it with the result of the request that it duplicates.
    Attach {
        /// The duplicate.
        id: RequestId,
    },
    /// What health checks are answered from here on.
    Health {
        /// Answer from the stored state in place of doing real work.
        cached: bool,
        /// Whether the node is healthy.
        healthy: bool,
    },
    /// The backpressure value that goes out with each answer; see [`Backpressure`].
    Backpressure {
        /// The value.
        value: f32,
    },
    /// Close connections that have been idle for this long.
    IdleTimeout {
        /// The timeout.
        timeout: TenthMillis,
    },
    /// Fire [`Event::Timer`] at this time.
    SetTimer {
        /// When it fires.
        at: TenthMillis,
        /// DeploymentSettings back with the event.
        token: u64,
    },
}

/// What running a request again would mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: it may run any number of times.
    Idempotent,
    /// Carries an idempotency key: it runs at most once per node and window.
    Deduplicated,
    /// Not idempotent, and without a key.
    Mutating,
}

/// What cancelling running work does here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// Running work cannot be cancelled.
    Unsupported,
    /// The work is dropped.
    Drop,
    /// The work is suspended and gives up its core.
    Pause,
}

/// What callers make of the backpressure value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backpressure {
    /// They disregard it.
    None,
    /// They send nothing whose rank is below it.
    MinRank,
    /// Each keeps at most so many requests in flight here.
    Credits,
    /// The probability that a caller does not pass this node over.
    Weight,
}

/// The terms of one endpoint group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointGroup {
    /// What running a request again would mean.
    pub effect: Effect,
    /// Response time below which an answer has its full value.
    pub latency_objective: TenthMillis,
    /// The latency objective grows by this multiple of the request's own work.
    pub objective_per_work: f32,
    /// How long callers wait for an answer.
    pub deadline: TenthMillis,
    /// How long after its arrival a deduplicated request may be retried.
    pub dedup_window: TenthMillis,
    /// Value of an answer within the latency objective.
    pub priority_weight: f32,
    /// Share of the value that an answer after the latency objective keeps.
    pub late_weight: f32,
    /// Share of the value that an answer without its downstream call keeps.
    pub degraded_weight: f32,
    /// Its requests may call a downstream service.
    pub calls_downstream: bool,
}

/// The configuration of the decisions, read once at start.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Cores that run requests.
    pub cores: u32,
    /// Memory that the node survives, in kB.
    pub memory_kb: f32,
    /// Memory of a running request as a multiple of that of a queued one.
    pub run_memory_factor: f32,
    /// Memory of one entry in the table of deduplicated requests, in kB.
    pub record_kb: f32,
    /// Endpoint groups, by index.
    pub groups: Vec<EndpointGroup>,
    /// Quota of each tenant over the whole fleet, in requests per second.
    pub tenant_quotas: Vec<f32>,
    /// Share of the value that remains for what a tenant sends beyond its quota.
    pub over_quota_weight: f32,
    /// Value is counted per unit of work and not per request.
    pub weight_per_work: bool,
    /// Nodes in the endpoint list, this one included.
    pub nodes: u32,
    /// What cancelling running work does.
    pub cancellation: Cancellation,
    /// What callers make of the backpressure value.
    pub backpressure: Backpressure,
    /// How long callers heed a backpressure value.
    pub backpressure_ttl: TenthMillis,
    /// How long the answer to a read may serve others.
    pub max_staleness: TenthMillis,
    /// This node's share of the concurrent calls that the downstream service survives, as a mean over
    /// `downstream_window`. Absent where no downstream service is shared.
    pub downstream_concurrency: Option<f32>,
    /// Window over which concurrent downstream calls are averaged.
    pub downstream_window: TenthMillis,
    /// How long an abandoned call may occupy the downstream service.
    pub abandoned_call_time: TenthMillis,
    /// The node starts cold and warms up.
    pub cold: bool,
    /// Least share of its full speed at which a cold node starts.
    pub initial_speed: f32,
    /// A cold node is warm after this at the latest.
    pub warm_up_time: TenthMillis,
    /// Running requests per core that a warm node survives, as a mean over `overload_window`.
    pub overload_multiple: f32,
    /// Window over which running requests are averaged.
    pub overload_window: TenthMillis,
    /// After a request to shut down, requests are still accepted for this long.
    pub drain_grace: TenthMillis,
    /// Callers close idle connections after this.
    pub idle_timeout: TenthMillis,
    /// Longest retry delay that callers heed; 0 where none is passed on.
    pub max_retry_after: TenthMillis,
    /// Granularity of the node's clock.
    pub tick: TenthMillis,
}
