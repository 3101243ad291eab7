//! The admission rule: the double-threshold strategy of Ayari, Barbaron and Lefèvre, "Evaluating
//! Session-Aware Admission-Control Strategies to Improve the Profitability of Service Providers"
//! (2009), equation 2.
//!
//! With the load `l` and the paper's capacity `C`, here the concurrency limit:
//!
//! | load | new session | established session |
//! | --- | --- | --- |
//! | up to `T1` | admitted | admitted |
//! | `T1` to `T2` | rejected with probability `(l - T1) / (C - T1)` | admitted |
//! | `T2` to `C` | rejected | admitted |
//! | above `C` | rejected | rejected |
//!
//! The paper leaves the probability between the thresholds open; this is the ramp of its
//! single-threshold variant (equation 5). `T1` is 75% and `T2` 90% of `C`.
//!
//! The paper assumes a known capacity, a load figure that tracks the strain on the server, and many
//! requests of a session at one server. None of these holds here, hence these departures
//! (`docs/design.md` gives all of them, with the reasons):
//!
//! - `C` is learned ([`concurrency_limit`](crate::concurrency_limit)).
//! - `l` counts requests queued and running. Those at downstream calls are bounded apart, and a
//!   request within its tenant's quota does not count queued requests that exceed one, as they are
//!   run after it.
//! - The rule applies only while all cores are busy.
//! - A request that exceeds its tenant's quota is rejected above `T1`, whatever its session, as its
//!   value is only a small part of the usual one.
//! - A session is known by its key, and established for some time after a completed request
//!   ([`sessions`](crate::sessions)).
//! - Some requests are rejected whatever the rule says: those that are too late, for which there is
//!   no memory, or that arrive while the node is stalled or too slow in reading
//!   (`controller/arrival.rs`).

/// `T1`, as a share of the concurrency limit.
pub(crate) const LOWER_THRESHOLD: f32 = 0.75;
/// `T2`, as a share of the concurrency limit.
const UPPER_THRESHOLD: f32 = 0.90;

/// Who asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Applicant {
    /// A request of a session that was served here recently.
    EstablishedSession,
    /// A request of a new session, or without one.
    NewSession,
    /// A request that exceeds its tenant's quota.
    OverQuota,
}

/// The result of the rule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Verdict {
    /// It is admitted.
    Admit,
    /// It is rejected with this probability.
    RejectWithProbability(f32),
    /// It is rejected.
    Reject,
}

/// Applies the rule. `load` and `concurrency_limit` are in requests.
pub(crate) fn apply(load: f32, concurrency_limit: f32, applicant: Applicant) -> Verdict {
    let lower = LOWER_THRESHOLD * concurrency_limit;
    let upper = UPPER_THRESHOLD * concurrency_limit;
    if load > concurrency_limit {
        return Verdict::Reject;
    }
    if load <= lower || applicant == Applicant::EstablishedSession {
        return Verdict::Admit;
    }
    if load > upper || applicant == Applicant::OverQuota {
        // Certain, yet with a draw: the sequence of draws is part of the decisions.
        return Verdict::RejectWithProbability(1.0);
    }
    Verdict::RejectWithProbability((load - lower) / (concurrency_limit - lower))
}
