//! Bounds the concurrent calls to a downstream service that all nodes share.
//!
//! A token bucket of call time keeps this node within its share over any window: a part of the
//! share flows in steadily, the rest is the size of the bucket, and each call is charged in advance
//! with the longest time that it may take. Even a share of less than one call allows calls this
//! way.

use std::collections::BinaryHeap;

use doortrack_time::{MILLISECOND, TenthMillis};

use crate::AdmissionConfig;
use crate::in_flight::InFlightTable;
use crate::moving_mean::MovingMean;
use crate::queue::QueueEntry;
use crate::run_slots::SAFE_SHARE;

/// Part of this node's share that flows in steadily. It is well below the whole, as the service
/// slows down before its limit; calls that wait here instead go by priority or are skipped.
const INFLOW_SHARE: f32 = 0.3;
/// A call is made only with a timeout of at least this multiple of the mean duration, as an
/// abandoned call has used the service for nothing.
const MIN_TIMEOUT_MULTIPLE: f32 = 3.0;
/// Part of the largest budget that is reserved for calls that cannot be skipped.
const RESERVED_SHARE: f32 = 0.5;
/// A call may take at least this long, however little time its request has left.
const MIN_PLANNED_TIME: TenthMillis = 50 * MILLISECOND;

/// The downstream calls of one request.
#[derive(Debug, Default)]
pub(crate) struct RequestCalls {
    attempts: u8,
    /// When the latest call was made.
    started_at: TenthMillis,
    /// Call time that was charged to the budget for it.
    charge: TenthMillis,
}

impl RequestCalls {
    /// Number of calls made.
    pub(crate) fn attempts(&self) -> u8 {
        self.attempts
    }
}

/// Requests that wait for their calls, and the budget of call time, in the unit of
/// [`doortrack_time`].
#[derive(Debug)]
pub(crate) struct DownstreamCalls {
    /// Highest priority first. Entries of requests that no longer wait are skipped.
    waiting: BinaryHeap<QueueEntry>,
    /// This node's share of the concurrent calls; absent where no service is shared.
    share: Option<f32>,
    /// Size of the bucket.
    max_budget: f32,
    budget: f32,
    refilled_at: TenthMillis,
    /// How long an abandoned call may occupy the service.
    abandoned_call_time: TenthMillis,
    duration: MovingMean,
}

impl DownstreamCalls {
    /// Creates an empty budget, into which time flows from time 0 on.
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        let window = config.downstream_window as f32;
        Self {
            waiting: BinaryHeap::new(),
            share: config.downstream_concurrency,
            max_budget: config.downstream_concurrency.map_or(f32::MAX, |share| {
                (SAFE_SHARE - INFLOW_SHARE) * share * window
            }),
            budget: 0.0,
            refilled_at: 0,
            abandoned_call_time: config.abandoned_call_time,
            duration: MovingMean::default(),
        }
    }

    /// Adds a request that waits for its call.
    pub(crate) fn push(&mut self, entry: QueueEntry) {
        self.waiting.push(entry);
    }

    /// The next request that waits for its call.
    pub(crate) fn peek(&mut self, in_flight: &InFlightTable) -> Option<QueueEntry> {
        while let Some(entry) = self.waiting.peek() {
            let request = entry.request(in_flight);
            if request.is_some_and(|request| request.awaits_call()) {
                return Some(*entry);
            }
            self.waiting.pop();
        }
        None
    }

    /// Removes the next request.
    pub(crate) fn pop(&mut self) {
        self.waiting.pop();
    }

    /// Adds the time that has flowed in since the last call.
    pub(crate) fn refill(&mut self, now: TenthMillis) {
        let elapsed = (now - self.refilled_at) as f32;
        let inflow = self
            .share
            .map_or(f32::MAX, |share| INFLOW_SHARE * share * elapsed);
        self.budget = (self.budget + inflow).min(self.max_budget);
        self.refilled_at = now;
    }

    /// The timeout of a call that is useful for `time_left`; `None` while the budget is too small.
    pub(crate) fn timeout(&self, time_left: TenthMillis, skippable: bool) -> Option<TenthMillis> {
        let time_left = time_left.max(MIN_PLANNED_TIME);
        let reserved = if skippable {
            RESERVED_SHARE * self.max_budget
        } else {
            0.0
        };
        let kept = self.abandoned_call_time as f32 + reserved;
        let timeout = time_left.min((self.budget - kept) as TenthMillis);
        let wanted = (MIN_TIMEOUT_MULTIPLE * self.duration.get())
            .min((self.max_budget - kept) / 2.0) as TenthMillis;
        let min_timeout = time_left.min(wanted).max(1);
        (timeout >= min_timeout).then_some(timeout)
    }

    /// Starts a call, and charges the budget with the longest time that it may take.
    pub(crate) fn start(
        &mut self,
        calls: &mut RequestCalls,
        timeout: TenthMillis,
        now: TenthMillis,
    ) {
        calls.attempts += 1;
        calls.started_at = now;
        calls.charge = timeout + self.abandoned_call_time;
        self.budget -= calls.charge as f32;
    }

    /// Returns the unused part of a call's charge to the budget. An abandoned call uses the service
    /// for a while after its end.
    pub(crate) fn settle(&mut self, calls: &RequestCalls, abandoned: bool, now: TenthMillis) {
        let duration = now - calls.started_at;
        let continues = if abandoned {
            self.abandoned_call_time
        } else {
            0
        };
        self.budget += calls.charge as f32 - (duration + continues) as f32;
    }

    /// A call produced a result after this duration.
    pub(crate) fn record_completed(&mut self, duration: TenthMillis) {
        self.duration.record(duration as f32);
    }
}
