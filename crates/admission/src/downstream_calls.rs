//! Limits the concurrent calls to a downstream service that all nodes share.
//!
//! A token bucket of call time keeps this node within its share over any window. Part of the share
//! is refilled continuously, and the rest is the capacity of the bucket. Each call is charged in
//! advance with the longest time that it may take. This also permits calls if the share is less
//! than one concurrent call.

use std::collections::BinaryHeap;

use doortrack_time::{MILLISECOND, TenthMillis};

use crate::AdmissionConfig;
use crate::in_flight::InFlightTable;
use crate::moving_mean::MovingMean;
use crate::queue::QueueEntry;
use crate::run_slots::USABLE_CONCURRENCY_SHARE;

/// Portion of this node's share that is refilled continuously. It is well below the whole share
/// because the service slows down before it reaches its limit; calls that wait here instead are
/// made by priority or skipped.
const REFILL_SHARE: f32 = 0.3;
/// Minimum timeout of a call, as a multiple of the mean duration. An abandoned call has used the
/// service for nothing.
const MIN_TIMEOUT_MULTIPLE: f32 = 3.0;
/// Portion of the maximum budget that is reserved for calls that cannot be skipped.
const RESERVED_SHARE: f32 = 0.5;
/// Minimum time allowed for a call, even if its request has less time left.
const MIN_TIME_LEFT: TenthMillis = 50 * MILLISECOND;

/// The downstream calls of one request.
#[derive(Debug, Default)]
pub(crate) struct RequestCalls {
    attempts: u8,
    started_at: TenthMillis,
    /// Call time that was charged to the budget for the latest call.
    charge: TenthMillis,
}

impl RequestCalls {
    /// Returns the number of calls made.
    pub(crate) fn attempts(&self) -> u8 {
        self.attempts
    }
}

/// Requests that wait for their calls, and the budget of call time, in the unit of
/// [`doortrack_time`].
#[derive(Debug)]
pub(crate) struct DownstreamCalls {
    /// Waiting requests, highest priority first. Entries of requests that no longer wait are
    /// skipped.
    waiting: BinaryHeap<QueueEntry>,
    /// This node's share of the concurrent calls; absent if no service is shared.
    share: Option<f32>,
    /// Capacity of the bucket.
    max_budget: f32,
    budget: f32,
    refilled_at: TenthMillis,
    /// How long an abandoned call may occupy the service.
    abandoned_call_time: TenthMillis,
    duration: MovingMean,
}

impl DownstreamCalls {
    /// Creates an empty budget that is refilled from time 0 on.
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        let window = config.downstream_window as f32;
        Self {
            waiting: BinaryHeap::new(),
            share: config.downstream_concurrency,
            max_budget: config.downstream_concurrency.map_or(f32::MAX, |share| {
                (USABLE_CONCURRENCY_SHARE - REFILL_SHARE) * share * window
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

    /// Returns the next request that waits for its call.
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

    /// Removes the next waiting request.
    pub(crate) fn pop(&mut self) {
        self.waiting.pop();
    }

    /// Adds the call time for the time since the last refill.
    pub(crate) fn refill(&mut self, now: TenthMillis) {
        let elapsed = (now - self.refilled_at) as f32;
        let refilled = self
            .share
            .map_or(f32::MAX, |share| REFILL_SHARE * share * elapsed);
        self.budget = (self.budget + refilled).min(self.max_budget);
        self.refilled_at = now;
    }

    /// Returns the timeout of a call whose result is useful for `time_left`, or `None` while the
    /// budget is too small.
    pub(crate) fn timeout(&self, time_left: TenthMillis, skippable: bool) -> Option<TenthMillis> {
        let time_left = time_left.max(MIN_TIME_LEFT);
        let reserved = if skippable {
            RESERVED_SHARE * self.max_budget
        } else {
            0.0
        };
        let withheld = self.abandoned_call_time as f32 + reserved;
        let timeout = time_left.min((self.budget - withheld) as TenthMillis);
        let desired = (MIN_TIMEOUT_MULTIPLE * self.duration.get())
            .min((self.max_budget - withheld) / 2.0) as TenthMillis;
        let min_timeout = time_left.min(desired).max(1);
        (timeout >= min_timeout).then_some(timeout)
    }

    /// Records the start of a call, and charges the budget with the longest time that the call may
    /// take.
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

    /// Refunds the unused part of a call's charge. An abandoned call continues to use the service
    /// for some time after it ends here.
    pub(crate) fn refund_unused(
        &mut self,
        calls: &RequestCalls,
        abandoned: bool,
        now: TenthMillis,
    ) {
        let duration = now - calls.started_at;
        let residual_time = if abandoned {
            self.abandoned_call_time
        } else {
            0
        };
        self.budget += calls.charge as f32 - (duration + residual_time) as f32;
    }

    /// Records the duration of a call that produced a result.
    pub(crate) fn record_completed(&mut self, duration: TenthMillis) {
        self.duration.record(duration as f32);
    }
}
