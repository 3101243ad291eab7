//! The configuration of admission control, read once at start.

use doortrack_time::TenthMillis;

/// Whether a request may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The request is idempotent and may run any number of times.
    Idempotent,
    /// The request carries an idempotency key and runs at most once per node and dedup window.
    Deduplicated,
    /// The request is not idempotent and carries no idempotency key.
    Mutating,
}

/// How the platform cancels running work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// Running work cannot be cancelled.
    Unsupported,
    /// Cancelled work is dropped.
    Drop,
    /// Cancelled work is suspended and frees its core.
    Pause,
}

/// How callers interpret the backpressure value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backpressure {
    /// Callers ignore the value.
    None,
    /// Callers send only requests whose rank is at least the value.
    MinRank,
    /// Each caller keeps at most this many requests in flight at this node.
    Credits,
    /// The value is the probability that a caller does not skip this node.
    Weight,
}

/// The settings of one endpoint group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointGroup {
    /// Whether a request may be run more than once.
    pub effect: Effect,
    /// Response time within which an answer has its full value.
    pub latency_objective: TenthMillis,
    /// The latency objective is extended by the request's own work times this factor.
    pub objective_per_work: f32,
    /// How long callers wait for an answer.
    pub deadline: TenthMillis,
    /// How long after its arrival a deduplicated request may be retried.
    pub dedup_window: TenthMillis,
    /// Value of an answer that meets the latency objective.
    pub priority_weight: f32,
    /// Share of the value kept by an answer that misses the latency objective.
    pub late_weight: f32,
    /// Share of the value kept by an answer without its downstream call.
    pub degraded_weight: f32,
    /// Whether its requests may call a downstream service.
    pub calls_downstream: bool,
}

/// The configuration of admission control, read once at start.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Cores that run requests.
    pub cores: f32,
    /// Memory of the node, in kB.
    pub memory_kb: f32,
    /// Memory of a running request as a multiple of that of a queued one.
    pub run_memory_factor: f32,
    /// Memory of one record of a deduplicated request, in kB.
    pub record_kb: f32,
    /// Endpoint groups, by index.
    pub groups: Vec<EndpointGroup>,
    /// Quota of each tenant across the fleet, in requests per second.
    pub tenant_quotas: Vec<f32>,
    /// Factor on the value of requests that exceed their tenant's quota.
    pub over_quota_weight: f32,
    /// Whether value is counted per unit of work instead of per request.
    pub weight_per_work: bool,
    /// Nodes in the endpoint list, this one included.
    pub nodes: f32,
    /// What cancelling running work does.
    pub cancellation: Cancellation,
    /// How callers interpret the backpressure value.
    pub backpressure: Backpressure,
    /// How long callers apply a backpressure value.
    pub backpressure_ttl: TenthMillis,
    /// How long the answer to a read request may be served to other requests.
    pub max_staleness: TenthMillis,
    /// This node's share of the concurrent calls that the downstream service can sustain, as a mean
    /// over `downstream_window`. Absent if no downstream service is shared.
    pub downstream_concurrency: Option<f32>,
    /// Window over which concurrent downstream calls are averaged.
    pub downstream_window: TenthMillis,
    /// How long an abandoned call may occupy the downstream service.
    pub abandoned_call_time: TenthMillis,
    /// Whether the node starts cold and warms up.
    pub cold: bool,
    /// Minimum share of its full speed at which a cold node starts.
    pub initial_speed: f32,
    /// Maximum time until a cold node is warm.
    pub warm_up_time: TenthMillis,
    /// Number of running requests per core that a warm node can sustain, as a mean over
    /// `overload_window`.
    pub overload_multiple: f32,
    /// Window over which running requests are averaged.
    pub overload_window: TenthMillis,
    /// How long requests are still accepted after a shutdown is requested.
    pub drain_grace: TenthMillis,
    /// How long a connection is idle before callers close it.
    pub idle_timeout: TenthMillis,
    /// Longest retry delay that callers observe; 0 if retry delays are not sent.
    pub max_retry_after: TenthMillis,
    /// Granularity of the node's clock.
    pub tick: TenthMillis,
}

impl AdmissionConfig {
    /// Returns the shortest latency objective of all groups, or 0 if there are none.
    pub(crate) fn shortest_objective(&self) -> TenthMillis {
        let objectives = self.groups.iter().map(|group| group.latency_objective);
        objectives.min().unwrap_or(0)
    }

    /// Returns `true` if running work can be cancelled.
    pub(crate) fn can_cancel(&self) -> bool {
        self.cancellation != Cancellation::Unsupported
    }
}

impl EndpointGroup {
    /// Returns `true` if a request may continue without its downstream call, with a degraded
    /// answer.
    pub(crate) fn can_skip_call(&self) -> bool {
        self.degraded_weight > 0.0
    }

    /// Returns `true` if an answer that misses the latency objective has no value.
    pub(crate) fn late_answers_are_worthless(&self) -> bool {
        self.late_weight <= 0.0
    }
}
