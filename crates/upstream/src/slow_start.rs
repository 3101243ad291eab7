//! Slow start: bounds the rate of runs that a server gets after it was down.
//!
//! A server that was down has empty caches and often has to start its workers first. During the
//! first `T` after its return it gets at most `N` runs, at a rate that grows linearly: `N * (t /
//! T)^2` runs until time `t`. Pools that share a slow start (one budget of the whole fleet) are
//! granted tokens at a constant total rate of `2 * N / T` instead, and a token is worth `t / T` of a
//! run. The sum over all pools follows the same curve, and a pool without tokens sends nothing.

use std::fmt;

use crate::SlowStartConfig;
use doortrack_time::{MILLISECOND, TenthMillis};

/// Unused credit is capped at what accrues in this time at the current rate, and at least one run.
const CREDIT_LIFETIME: TenthMillis = 100 * MILLISECOND;
/// Maximum time that a pool waits before it requests credit again after it found none.
const MAX_REVIEW_DELAY: TenthMillis = 20 * MILLISECOND;
/// How often credit is collected to pay off a negative balance while no run is waiting.
const DEBT_REVIEW_INTERVAL: TenthMillis = 100 * MILLISECOND;
/// Maximum number of tokens requested at once. Early in a slow start many are needed because each is
/// worth very little.
const MAX_TOKENS_PER_REQUEST: u32 = 64;

/// The answer to a request for one token of a shared slow start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenResponse {
    /// The slow start is not shared: the pool's own bound applies.
    Unshared,
    /// The pool is granted one token.
    Granted,
    /// No token is left now, or the pool's share is not known.
    Refused,
}

/// The function that requests tokens, if slow starts are shared.
#[derive(Default)]
pub(crate) struct TokenSource(Option<Box<dyn FnMut() -> TokenResponse>>);

impl TokenSource {
    pub(crate) fn new(request: Box<dyn FnMut() -> TokenResponse>) -> TokenSource {
        TokenSource(Some(request))
    }

    fn request(&mut self) -> TokenResponse {
        self.0
            .as_mut()
            .map_or(TokenResponse::Unshared, |request| request())
    }
}

impl fmt::Debug for TokenSource {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("TokenSource")
            .field("shared", &self.0.is_some())
            .finish()
    }
}

/// The slow start of one server. It begins when the first connection opens after the outage.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SlowStart {
    /// The configuration when the slow start began.
    config: SlowStartConfig,
    started_at: TenthMillis,
    /// Until when the pool's own credit has been added.
    accrued_until: TenthMillis,
    /// Runs, with fractions, that the server may get. Negative until the run of the health check is
    /// paid off.
    credit: f64,
    /// No credit was found for a run. None is requested again before `review_at`.
    pub exhausted: bool,
    /// When the slow start is reviewed next, at the latest when it ends.
    pub review_at: TenthMillis,
}

impl SlowStart {
    /// Begins a slow start. The run of the health check used no credit, so the balance starts at -1.
    pub(crate) fn begin(config: SlowStartConfig, now: TenthMillis) -> SlowStart {
        let ends_at = now.saturating_add(config.duration.max(1));
        SlowStart {
            config,
            started_at: now,
            accrued_until: now,
            credit: -1.0,
            exhausted: false,
            review_at: ends_at.min(now + DEBT_REVIEW_INTERVAL),
        }
    }

    pub(crate) fn ends_at(&self) -> TenthMillis {
        self.started_at.saturating_add(self.config.duration.max(1))
    }

    /// The fraction of the duration that has passed, 0 to 1.
    fn progress(&self, now: TenthMillis) -> f64 {
        let elapsed = now.saturating_sub(self.started_at) as f64;
        (elapsed / self.config.duration.max(1) as f64).min(1.0)
    }

    /// Runs that the server may get until `now` if the slow start is not shared.
    fn cumulative_runs(&self, now: TenthMillis) -> f64 {
        f64::from(self.config.runs) * self.progress(now).powi(2)
    }

    /// Takes the credit of one run, if available. Returns whether it did.
    pub(crate) fn try_take(&mut self, tokens: &mut TokenSource, now: TenthMillis) -> bool {
        let available = self.collect_credit(1.0, tokens, now);
        if available {
            self.credit -= 1.0;
        }
        available
    }

    /// Collects credit until there is as much as `wanted`, or until no more is granted. Returns whether
    /// there is enough.
    fn collect_credit(&mut self, wanted: f64, tokens: &mut TokenSource, now: TenthMillis) -> bool {
        let progress = self.progress(now);
        let mut requests = 0;
        while self.credit < wanted && progress > 0.0 && requests < MAX_TOKENS_PER_REQUEST {
            requests += 1;
            match tokens.request() {
                TokenResponse::Granted => {
                    self.credit += progress;
                    self.accrued_until = now;
                }
                TokenResponse::Refused => {
                    self.accrued_until = now;
                    return false;
                }
                TokenResponse::Unshared => {
                    self.accrue_own_credit(now);
                    break;
                }
            }
        }
        self.credit >= wanted
    }

    /// Adds the pool's own credit that has accrued since it was last added.
    fn accrue_own_credit(&mut self, now: TenthMillis) {
        let duration = self.config.duration.max(1) as f64;
        let rate = 2.0 * f64::from(self.config.runs) * self.progress(now) / duration;
        let max_credit = (rate * CREDIT_LIFETIME as f64).max(1.0);
        let accrued_credit = self.cumulative_runs(now) - self.cumulative_runs(self.accrued_until);
        self.credit = (self.credit + accrued_credit).min(max_credit);
        self.accrued_until = now;
    }

    /// Returns the credit of runs that were not sent.
    pub(crate) fn refund(&mut self, runs: u32) {
        self.credit += f64::from(runs);
    }

    /// Records that no credit was found, and schedules the next review.
    pub(crate) fn mark_exhausted(&mut self, now: TenthMillis) {
        self.exhausted = true;
        let missing = (1.0 - self.credit).max(0.0);
        let runs = f64::from(self.config.runs.max(1));
        let fraction = (self.cumulative_runs(now) + missing) / runs;
        // The earliest time at which there is credit for a run. With shared tokens this is only an
        // estimate.
        let elapsed = (fraction.sqrt() * self.config.duration as f64).ceil() as TenthMillis;
        let credit_available_at = if fraction > 1.0 {
            self.ends_at()
        } else {
            (self.started_at + elapsed).max(now + 1)
        };
        self.review_at = credit_available_at
            .min(now + MAX_REVIEW_DELAY)
            .min(self.ends_at())
            .max(now + 1);
    }

    /// Allows credit to be requested again. The credit of the health check is collected even while no
    /// run is waiting; otherwise the pools that share the slow start would spend these tokens on
    /// further runs.
    pub(crate) fn review(&mut self, tokens: &mut TokenSource, now: TenthMillis) {
        let debt_paid = self.collect_credit(0.0, tokens, now);
        let next = if debt_paid {
            TenthMillis::MAX
        } else {
            now + DEBT_REVIEW_INTERVAL
        };
        self.exhausted = false;
        self.review_at = next.min(self.ends_at());
    }
}

/// The state of a server that is down, or has returned and not completed its slow start.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Warmup {
    /// `None` while the server is down, until a connection to it opens.
    pub slow_start: Option<SlowStart>,
    /// Runs that may be sent now because their credit was taken in advance.
    pub ready_runs: u32,
}

impl Warmup {
    /// Whether the server is down: no connection to it has opened since the outage.
    pub(crate) fn is_down(&self) -> bool {
        self.slow_start.is_none()
    }

    /// Whether the server has a ready run, or may have credit for one.
    pub(crate) fn may_have_credit(&self) -> bool {
        self.ready_runs > 0
            || self
                .slow_start
                .as_ref()
                .is_some_and(|slow_start| !slow_start.exhausted)
    }
}
