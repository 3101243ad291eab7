//! Slow start: how many runs a server that was down may get by when.
//!
//! A server that was down has empty caches and, often, workers that are still to be started. In the
//! first `T` after its return it gets at most `N` runs, at a rate that grows linearly: `N * (t /
//! T)^2` by the time `t`. A pool that shares this with others (one budget of the whole fleet) is
//! granted tokens at an even rate of `2 * N / T` instead, each of which is worth `t / T` of a run:
//! the sum over all pools is the same curve, and a pool that is granted nothing sends nothing.

use std::fmt;

use crate::SlowStartConfig;
use doortrack_time::{MILLISECOND, TenthMillis};

/// Unused credit is kept for this long at the current rate, and at least one run.
const CREDIT_LIFETIME: TenthMillis = 100 * MILLISECOND;
/// How long a pool that was refused a token waits before it asks for another.
const RETRY_AFTER_REFUSAL: TenthMillis = 20 * MILLISECOND;
/// How often tokens are requested for a debt while no run is waiting.
const DEBT_INTERVAL: TenthMillis = 100 * MILLISECOND;
/// Tokens requested at once: early in a slow start each is worth very little.
const MAX_TOKENS_PER_REQUEST: u32 = 64;

/// The answer to a request for one token of a shared slow start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenResponse {
    /// Slow start is not shared: the pool's own bound holds.
    Unshared,
    /// The pool has one token more.
    Granted,
    /// No token is left now, or this pool's share is not known.
    Refused,
}

/// Where a pool requests tokens.
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

/// The slow start of one server, from the first connection that opened after its return.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SlowStart {
    /// As configured when it began.
    config: SlowStartConfig,
    started_at: TenthMillis,
    /// Up to when the pool's own credit is counted.
    counted_until: TenthMillis,
    /// Runs that the server may get, as a fraction; below 0 while the health check is not made up
    /// for.
    credit: f64,
    /// A run was wanted and there was no credit; none is requested again before `review_at`.
    pub exhausted: bool,
    /// When it is reviewed next, at the latest at its end.
    pub review_at: TenthMillis,
}

impl SlowStart {
    /// Begins with the run of the health check as a debt.
    pub(crate) fn begin(config: SlowStartConfig, now: TenthMillis) -> SlowStart {
        let ends_at = now.saturating_add(config.duration.max(1));
        SlowStart {
            config,
            started_at: now,
            counted_until: now,
            credit: -1.0,
            exhausted: false,
            review_at: ends_at.min(now + DEBT_INTERVAL),
        }
    }

    pub(crate) fn ends_at(&self) -> TenthMillis {
        self.started_at.saturating_add(self.config.duration.max(1))
    }

    /// The fraction of its duration that has passed, 0 to 1.
    fn progress(&self, now: TenthMillis) -> f64 {
        let elapsed = now.saturating_sub(self.started_at) as f64;
        (elapsed / self.config.duration.max(1) as f64).min(1.0)
    }

    /// Runs that the server gets by this time where slow start is not shared.
    fn cumulative_runs(&self, now: TenthMillis) -> f64 {
        f64::from(self.config.runs) * self.progress(now).powi(2)
    }

    /// Takes the credit of one run, if there is as much.
    pub(crate) fn try_take(&mut self, tokens: &mut TokenSource, now: TenthMillis) -> bool {
        let available = self.gather(1.0, tokens, now);
        if available {
            self.credit -= 1.0;
        }
        available
    }

    /// Gathers credit until there is as much as wanted, or no more is granted.
    fn gather(&mut self, wanted: f64, tokens: &mut TokenSource, now: TenthMillis) -> bool {
        let progress = self.progress(now);
        let mut requests = 0;
        while self.credit < wanted && progress > 0.0 && requests < MAX_TOKENS_PER_REQUEST {
            requests += 1;
            match tokens.request() {
                TokenResponse::Granted => {
                    self.credit += progress;
                    self.counted_until = now;
                }
                TokenResponse::Refused => {
                    self.counted_until = now;
                    return false;
                }
                TokenResponse::Unshared => {
                    self.accrue(now);
                    break;
                }
            }
        }
        self.credit >= wanted
    }

    /// Adds the pool's own credit since it was last counted.
    fn accrue(&mut self, now: TenthMillis) {
        let duration = self.config.duration.max(1) as f64;
        let rate = 2.0 * f64::from(self.config.runs) * self.progress(now) / duration;
        let max_credit = (rate * CREDIT_LIFETIME as f64).max(1.0);
        let accrued = self.cumulative_runs(now) - self.cumulative_runs(self.counted_until);
        self.credit = (self.credit + accrued).min(max_credit);
        self.counted_until = now;
    }

    /// Returns the credit of runs that were not sent.
    pub(crate) fn refund(&mut self, runs: u32) {
        self.credit += f64::from(runs);
    }

    /// No credit was found: decides when to look again.
    pub(crate) fn mark_exhausted(&mut self, now: TenthMillis) {
        self.exhausted = true;
        let missing = (1.0 - self.credit).max(0.0);
        let runs = f64::from(self.config.runs.max(1));
        let fraction = (self.cumulative_runs(now) + missing) / runs;
        // At the earliest then; where others grant the tokens, that is only an estimate.
        let elapsed = (fraction.sqrt() * self.config.duration as f64).ceil() as TenthMillis;
        let credit_at = if fraction > 1.0 {
            self.ends_at()
        } else {
            (self.started_at + elapsed).max(now + 1)
        };
        self.review_at = credit_at
            .min(now + RETRY_AFTER_REFUSAL)
            .min(self.ends_at())
            .max(now + 1);
    }

    /// Allows credit to be requested again. The health check is made up for also while no run is
    /// waiting: the others that share the slow start would send as much without it.
    pub(crate) fn review(&mut self, tokens: &mut TokenSource, now: TenthMillis) {
        let debt_paid = self.gather(0.0, tokens, now);
        let next = if debt_paid {
            TenthMillis::MAX
        } else {
            now + DEBT_INTERVAL
        };
        self.exhausted = false;
        self.review_at = next.min(self.ends_at());
    }
}

/// A server that was down and has not completed its slow start since.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Warmup {
    /// None until a connection to it opens.
    pub slow_start: Option<SlowStart>,
    /// Runs that may be sent at once: their credit is taken.
    pub ready_runs: u32,
}

impl Warmup {
    /// Whether the server is down: no connection to it has opened since.
    pub(crate) fn is_down(&self) -> bool {
        self.slow_start.is_none()
    }

    /// Whether the server may get a run now, or must be asked for credit to know.
    pub(crate) fn may_have_credit(&self) -> bool {
        self.ready_runs > 0
            || self
                .slow_start
                .as_ref()
                .is_some_and(|slow_start| !slow_start.exhausted)
    }
}
