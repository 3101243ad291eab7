//! The words of the settings file (`WIRE-doortrack.md`, "Start-up parameters") and what they are called here.
//!
//! The file's own words are used in this module alone. Durations in the file are in microseconds.

use doortrack_admission::{Backpressure, Cancellation, Effect};

/// What requests may call downstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Downstream {
    /// One dependency that all nodes share.
    Shared,
    /// The nodes of the next tier.
    NextTier,
    /// Nothing.
    None,
}

/// What a priority weight is counted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WeightUnit {
    Request,
    Work,
}

/// `lanes[].idempotency`.
pub(crate) const EFFECTS: [(&str, Effect); 3] = [
    ("safe", Effect::Idempotent),
    ("keyed", Effect::Deduplicated),
    ("unsafe", Effect::Mutating),
];

/// `family_info.halt`.
pub(crate) const CANCELLATIONS: [(&str, Cancellation); 3] = [
    ("silent", Cancellation::Unsupported),
    ("drop", Cancellation::Drop),
    ("pause", Cancellation::Pause),
];

/// `family_info.say`.
pub(crate) const BACKPRESSURES: [(&str, Backpressure); 4] = [
    ("min_rank", Backpressure::MinRank),
    ("tokens", Backpressure::Credits),
    ("bias", Backpressure::Weight),
    ("silent", Backpressure::None),
];

/// `family_info.below`.
pub(crate) const DOWNSTREAMS: [(&str, Downstream); 3] = [
    ("common", Downstream::Shared),
    ("next_hop", Downstream::NextTier),
    ("silent", Downstream::None),
];

/// `worth_by`: any other word than that of work counts requests.
pub(crate) fn weight_unit(word: &str) -> WeightUnit {
    match word {
        "work" => WeightUnit::Work,
        _ => WeightUnit::Request,
    }
}

/// Keys at the top.
pub(crate) mod top {
    pub(crate) const NODE: &str = "family_info";
    pub(crate) const SAFETY: &str = "safety";
    pub(crate) const SITE: &str = "bounds";
    pub(crate) const ENDPOINT_GROUPS: &str = "lanes";
    pub(crate) const TENANTS: &str = "parties";
    pub(crate) const OVER_QUOTA_WEIGHT: &str = "over_share_worth";
    pub(crate) const WEIGHT_UNIT: &str = "worth_by";
    pub(crate) const NODES: &str = "servers";
    pub(crate) const TICK: &str = "tick";
}

/// Keys of an endpoint group.
pub(crate) mod endpoint_group {
    pub(crate) const NAME: &str = "name";
    pub(crate) const EFFECT: &str = "idempotency";
    pub(crate) const LATENCY_OBJECTIVE: &str = "target";
    pub(crate) const OBJECTIVE_PER_WORK: &str = "aim_stretch";
    pub(crate) const DEADLINE: &str = "deadline";
    pub(crate) const DEDUP_WINDOW: &str = "window";
    pub(crate) const PRIORITY_WEIGHT: &str = "worth";
    pub(crate) const LATE_WEIGHT: &str = "late_worth";
}

/// Keys of a tenant.
pub(crate) mod tenant {
    pub(crate) const NAME: &str = "name";
    pub(crate) const QUOTA: &str = "allowance_per_s";
    pub(crate) const TRAFFIC_SHARE: &str = "share";
}

/// Keys of the node and its site.
pub(crate) mod node {
    pub(crate) const CORES: &str = "cores";
    pub(crate) const MEMORY_KB: &str = "memory_kb";
    pub(crate) const RUN_MEMORY_FACTOR: &str = "run_factor";
    pub(crate) const RECORD_KB: &str = "key_kb";
    pub(crate) const CANCELLATION: &str = "halt";
    pub(crate) const BACKPRESSURE: &str = "say";
    pub(crate) const BACKPRESSURE_TTL: &str = "said_for";
    pub(crate) const MAX_STALENESS: &str = "fresh";
    pub(crate) const DOWNSTREAM: &str = "below";
    pub(crate) const DOWNSTREAM_CONCURRENCY: &str = "calls_out";
    pub(crate) const DOWNSTREAM_WINDOW: &str = "dep_window";
    pub(crate) const ABANDONED_CALL_TIME: &str = "linger";
    pub(crate) const COLD: &str = "fresh_start";
    pub(crate) const IDLE_TIMEOUT: &str = "keepalive_max";
    pub(crate) const DEGRADED_WEIGHTS: &str = "class_skip_worth";
    pub(crate) const CALLS_DOWNSTREAM: &str = "calls_by_class";
    pub(crate) const GAUGES: &str = "gauges";
    pub(crate) const DRAINS_WHEN_UNHEALTHY: &str = "readiness";
    pub(crate) const DEEP_CHECKS: &str = "deep_checks";
    pub(crate) const PASSES_DEADLINE: &str = "passes_deadline";
}

/// Names in the list of gauges.
pub(crate) mod gauge {
    pub(crate) const BUSY_CORES: &str = "core_use";
    pub(crate) const RUNNABLE_TASKS: &str = "on_cores";
    pub(crate) const MEMORY: &str = "heap_share";
    pub(crate) const CONNECTIONS: &str = "links";
}

/// Keys of the figures on which safety rests.
pub(crate) mod safety {
    pub(crate) const INITIAL_SPEED: &str = "start_capacity";
    pub(crate) const WARM_UP_TIME: &str = "ramp_time";
    pub(crate) const OVERLOAD_MULTIPLE: &str = "tip_multiple";
    pub(crate) const OVERLOAD_WINDOW: &str = "overload_for";
    pub(crate) const DRAIN_GRACE: &str = "drain_grace";
}

/// Keys of what the site permits.
pub(crate) mod site {
    pub(crate) const PASSES_RETRY_AFTER: &str = "retry_after";
    pub(crate) const MAX_RETRY_AFTER: &str = "max_retry_after";
}
