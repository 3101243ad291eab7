//! Actions that admission control requests from the node.

use doortrack_time::TenthMillis;

use crate::RequestId;

/// An action that the node is to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a queued request.
    Run {
        /// The request.
        id: RequestId,
    },
    /// Final answer: the request is rejected and is guaranteed never to have run.
    Reject {
        /// The request.
        id: RequestId,
        /// Whether the caller is asked not to retry on another node either.
        no_retry_elsewhere: bool,
        /// How long the caller is asked to wait before it retries.
        retry_after: TenthMillis,
    },
    /// Final answer: the request failed, with no guarantee about its effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel running work. This action does not answer the request.
    Cancel {
        /// The request.
        id: RequestId,
    },
    /// Make the call that the request waits for.
    Call {
        /// The request.
        id: RequestId,
        /// Time after which the call is abandoned.
        timeout: TenthMillis,
    },
    /// Continue the run without the call, which leads to a degraded answer.
    SkipCall {
        /// The request.
        id: RequestId,
    },
    /// Record a deduplicated request in the node's table.
    Record {
        /// The request.
        id: RequestId,
        /// How long the record is kept.
        ttl: TenthMillis,
    },
    /// Remove the record of a request from the node's table.
    Forget {
        /// The request.
        id: RequestId,
    },
    /// Answer a duplicate with the result of its original request.
    Attach {
        /// The duplicate.
        id: RequestId,
    },
    /// Change the answer to health checks.
    Health {
        /// Whether health checks are answered from the stored state instead of by doing real work.
        cached: bool,
        /// Whether the node is healthy.
        healthy: bool,
    },
    /// Send this backpressure value with each answer; see [`Backpressure`](crate::Backpressure).
    Backpressure {
        /// The value.
        value: f32,
    },
    /// Close connections once they have been idle for this long.
    IdleTimeout {
        /// The timeout.
        timeout: TenthMillis,
    },
    /// Fire [`Event::Timer`](crate::Event::Timer) at this time.
    SetTimer {
        /// Time at which the timer fires.
        at: TenthMillis,
        /// Returned in the event.
        token: u64,
    },
}
