//! The configuration of the decisions, read once at start.

use doortrack_time::TenthMillis;

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

/// The settings of one endpoint group.
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
    pub cores: f32,
    /// Memory of the node, in kB.
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
    pub nodes: f32,
    /// What cancelling running work does.
    pub cancellation: Cancellation,
    /// What callers make of the backpressure value.
    pub backpressure: Backpressure,
    /// How long callers heed a backpressure value.
    pub backpressure_ttl: TenthMillis,
    /// How long the answer to a read may serve others.
    pub max_staleness: TenthMillis,
    /// This node's share of the concurrent calls that the downstream service can sustain, as a mean
    /// over `downstream_window`. Absent where no downstream service is shared.
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
    /// Running requests per core that a warm node can sustain, as a mean over `overload_window`.
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

impl AdmissionConfig {
    /// The shortest latency objective of all groups; 0 where there are none.
    pub(crate) fn shortest_objective(&self) -> TenthMillis {
        let objectives = self.groups.iter().map(|group| group.latency_objective);
        objectives.min().unwrap_or(0)
    }

    /// Whether running work can be cancelled.
    pub(crate) fn can_cancel(&self) -> bool {
        self.cancellation != Cancellation::Unsupported
    }
}

impl EndpointGroup {
    /// Whether a request may go on without its downstream call, with a degraded answer.
    pub(crate) fn can_skip_call(&self) -> bool {
        self.degraded_weight > 0.0
    }

    /// Whether an answer after the latency objective is worth nothing.
    pub(crate) fn late_is_worthless(&self) -> bool {
        self.late_weight <= 0.0
    }
}
