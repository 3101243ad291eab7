//! The first load of a server that returns cold: how many runs it may be sent by when.
//!
//! A server that was down has empty caches and, often, workers that are still to be started. In the first
//! `T` after its return it is sent at most `N` runs, at a rate that grows linearly: `N * (t / T)^2` by the
//! time `t`. A pool that shares this with others (one budget of the whole fleet) is granted tokens at an even
//! rate of `2 * N / T` in place of that, each of which is worth `t / T` of a run: the sum over all pools is
//! the same curve, and a pool that is granted nothing sends nothing.

use std::fmt;

use crate::Ramp;
use doortrack_time::TenthMillis;

/// Credit that lies unused is kept for this long at the rate of that time, and one run at the least.
const KEPT: TenthMillis = 1_000;
/// How long a pool that was refused a token waits before it asks for another.
const REFUSED: TenthMillis = 200;
/// How often a debt is asked tokens for where nothing else is wanted.
const DEBT: TenthMillis = 1_000;
/// Tokens that are asked for at once at the most: early in a ramp each is worth very little.
const MOST_TOKENS: u32 = 64;

/// What whoever shares a ramp answers to the wish for one token of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Token {
    /// Nobody shares it: the pool's own bound holds.
    Unshared,
    Granted,
    /// Nothing is left now, or this pool's part is not known.
    Refused,
}

/// Where a pool asks for tokens.
#[derive(Default)]
pub(crate) struct Gate(Option<Box<dyn FnMut() -> Token>>);

impl Gate {
    pub(crate) fn new(gate: Box<dyn FnMut() -> Token>) -> Gate {
        Gate(Some(gate))
    }

    fn ask(&mut self) -> Token {
        self.0.as_mut().map_or(Token::Unshared, |gate| gate())
    }
}

impl fmt::Debug for Gate {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "Gate(shared: {})", self.0.is_some())
    }
}

/// The ramp of one server, from the first connection that opened after its return.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Ramping {
    /// As they were when it began.
    terms: Ramp,
    since: TenthMillis,
    /// Up to when the pool's own credit is counted.
    counted: TenthMillis,
    /// Runs that it may be sent, as a fraction; below 0 while the probe is not made up for.
    credit: f64,
    /// A run was wanted and there was no credit; not asked again before `wake`.
    pub dry: bool,
    /// When it is to be looked at next, at the latest at its end.
    pub wake: TenthMillis,
}

impl Ramping {
    /// Begins with the run of the probe as a debt.
    pub(crate) fn begin(terms: Ramp, now: TenthMillis) -> Ramping {
        let end = now.saturating_add(terms.over.max(1));
        Ramping {
            terms,
            since: now,
            counted: now,
            credit: -1.0,
            dry: false,
            wake: end.min(now + DEBT),
        }
    }

    pub(crate) fn end(&self) -> TenthMillis {
        self.since.saturating_add(self.terms.over.max(1))
    }

    /// What of the ramp is behind at this time, 0 to 1.
    fn progress(&self, now: TenthMillis) -> f64 {
        let span = now.saturating_sub(self.since) as f64;
        (span / self.terms.over.max(1) as f64).min(1.0)
    }

    /// Runs that the server is sent up to this time, where the ramp is not shared.
    fn curve(&self, now: TenthMillis) -> f64 {
        f64::from(self.terms.runs) * self.progress(now).powi(2)
    }

    /// Takes the credit of one run, if there is so much.
    pub(crate) fn draw(&mut self, gate: &mut Gate, now: TenthMillis) -> bool {
        let has_one = self.gather(1.0, gate, now);
        if has_one {
            self.credit -= 1.0;
        }
        has_one
    }

    /// Asks for credit until there is so much, or none is given.
    fn gather(&mut self, wanted: f64, gate: &mut Gate, now: TenthMillis) -> bool {
        let progress = self.progress(now);
        let mut asked = 0;
        while self.credit < wanted && progress > 0.0 && asked < MOST_TOKENS {
            asked += 1;
            match gate.ask() {
                Token::Granted => (self.credit, self.counted) = (self.credit + progress, now),
                Token::Refused => {
                    self.counted = now;
                    return false;
                }
                Token::Unshared => {
                    self.add_own(now);
                    break;
                }
            }
        }
        self.credit >= wanted
    }

    /// Adds what came in since the last time.
    fn add_own(&mut self, now: TenthMillis) {
        let over = self.terms.over.max(1) as f64;
        let rate = 2.0 * f64::from(self.terms.runs) * self.progress(now) / over;
        let most = (rate * KEPT as f64).max(1.0);
        let more = self.curve(now) - self.curve(self.counted);
        self.credit = (self.credit + more).min(most);
        self.counted = now;
    }

    /// Puts back the credit of runs that were not sent.
    pub(crate) fn put_back(&mut self, runs: u32) {
        self.credit += f64::from(runs);
    }

    /// No credit was found: when to look again.
    pub(crate) fn runs_dry(&mut self, now: TenthMillis) {
        self.dry = true;
        let missing = (1.0 - self.credit).max(0.0);
        let share = (self.curve(now) + missing) / f64::from(self.terms.runs.max(1));
        // At the earliest then; where tokens are granted by others, that is only a guess.
        let own = self.since + (share.sqrt() * self.terms.over as f64).ceil() as TenthMillis;
        let next = if share > 1.0 {
            self.end()
        } else {
            own.max(now + 1)
        };
        self.wake = next.min(now + REFUSED).min(self.end()).max(now + 1);
    }

    /// It may be asked for credit again. The probe is made up for also where nothing more is wanted: others
    /// who share the ramp would send as much without it.
    pub(crate) fn wakes(&mut self, gate: &mut Gate, now: TenthMillis) {
        let made_up = self.gather(0.0, gate, now);
        let next = if made_up {
            TenthMillis::MAX
        } else {
            now + DEBT
        };
        (self.dry, self.wake) = (false, next.min(self.end()));
    }
}

/// A server that was down and has not been sent its ramp's worth of runs since.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Cold {
    /// None until a connection to it opens.
    pub ramping: Option<Ramping>,
    /// Runs that it may be sent at once: their credit is taken.
    pub ready: u32,
}

impl Cold {
    /// Whether it may be sent a run now, or must be asked for credit to know.
    pub(crate) fn can_take(&self) -> bool {
        self.ready > 0 || self.ramping.as_ref().is_some_and(|ramping| !ramping.dry)
    }
}
