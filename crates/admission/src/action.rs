//! What the node is to do.

use doortrack_time::TenthMillis;

use crate::RequestId;

/// One thing that the node is to do.
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
        /// The caller is asked not to retry on another node either.
        no_retry_elsewhere: bool,
        /// How long the caller is asked to wait before a retry.
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
        /// The call is abandoned after this time.
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
    /// The backpressure value that goes out with each answer; see
    /// [`Backpressure`](crate::Backpressure).
    Backpressure {
        /// The value.
        value: f32,
    },
    /// Close connections that have been idle for this long.
    IdleTimeout {
        /// The timeout.
        timeout: TenthMillis,
    },
    /// Fire [`Event::Timer`](crate::Event::Timer) at this time.
    SetTimer {
        /// When it fires.
        at: TenthMillis,
        /// Handed back with the event.
        token: u64,
    },
}
