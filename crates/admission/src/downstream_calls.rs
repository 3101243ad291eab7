//! Bounds the concurrent calls to a downstream service that all nodes share.
//!
//! A budget of time keeps this node within its share over any window: a part of the share flows in,
//! the rest of the window may be saved up, and a call is charged beforehand with all the time that
//! it may take. So a share of less than one call still makes calls.

use std::collections::BinaryHeap;

use doortrack_time::{MILLISECOND, TenthMillis};

use crate::AdmissionConfig;
use crate::in_flight::InFlightTable;
use crate::moving_mean::MovingMean;
use crate::queue::QueueEntry;
use crate::run_slots::SAFE_SHARE;

/// Calls that flow in, as a share of those that the service survives. It slows down well before
/// that, and what waits here instead goes by priority or is skipped.
const INFLOW_SHARE: f32 = 0.3;
/// A call waits until this many times the mean duration is left for it: one cut short has occupied
/// the service for nothing.
const MIN_TIMEOUT_DURATIONS: f32 = 3.0;
/// Share of the largest budget that is kept for calls that cannot be skipped.
const RESERVED_SHARE: f32 = 0.5;
/// A call is planned with at least so much time, however little is left.
const MIN_PLANNED_TIME: TenthMillis = 50 * MILLISECOND;

/// The calls that wait, and the time that calls may still spend downstream.
#[derive(Debug)]
pub(crate) struct DownstreamCalls {
    /// Best first. Entries that no longer wait for their calls are passed over.
    waiting: BinaryHeap<QueueEntry>,
    /// This node's share of the concurrent calls; absent where none is shared.
    share: Option<f32>,
    /// The largest budget.
    max_budget: f32,
    budget: f32,
    refilled_at: TenthMillis,
    /// How long an abandoned call may occupy the service.
    abandoned_call_time: TenthMillis,
    duration: MovingMean,
}

impl DownstreamCalls {
    /// An empty budget, which first flows in from time 0 on.
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

    /// Adds what has flowed in since the last time.
    pub(crate) fn refill(&mut self, now: TenthMillis) {
        let elapsed = (now - self.refilled_at) as f32;
        let inflow = self
            .share
            .map_or(f32::MAX, |share| INFLOW_SHARE * share * elapsed);
        self.budget = (self.budget + inflow).min(self.max_budget);
        self.refilled_at = now;
    }

    /// The timeout of a call that is useful for `time_left`, or `None` where the budget has too
    /// little left.
    pub(crate) fn timeout(&self, time_left: TenthMillis, skippable: bool) -> Option<TenthMillis> {
        let time_left = time_left.max(MIN_PLANNED_TIME);
        let reserved = if skippable {
            RESERVED_SHARE * self.max_budget
        } else {
            0.0
        };
        let kept = self.abandoned_call_time as f32 + reserved;
        let timeout = time_left.min((self.budget - kept) as TenthMillis);
        let wanted = (MIN_TIMEOUT_DURATIONS * self.duration.get())
            .min((self.max_budget - kept) / 2.0) as TenthMillis;
        let min_timeout = time_left.min(wanted).max(1);
        (timeout >= min_timeout).then_some(timeout)
    }

    /// Charges the budget with all the time that a call with this timeout may take; returns the
    /// charge.
    pub(crate) fn charge(&mut self, timeout: TenthMillis) -> TenthMillis {
        let charge = timeout + self.abandoned_call_time;
        self.budget -= charge as f32;
        charge
    }

    /// Returns what a call was charged with and did not use. An abandoned call goes on for a while.
    pub(crate) fn settle(&mut self, charge: TenthMillis, duration: TenthMillis, abandoned: bool) {
        let goes_on = if abandoned {
            self.abandoned_call_time
        } else {
            0
        };
        self.budget += charge as f32 - (duration + goes_on) as f32;
    }

    /// A call produced a result after this time.
    pub(crate) fn record_completed(&mut self, duration: TenthMillis) {
        self.duration.record(duration as f32);
    }
}
