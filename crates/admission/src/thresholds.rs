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
//! The paper does not specify the probability between the thresholds; this linear ramp is taken
//! from its single-threshold variant (equation 5). `T1` is 75% and `T2` 90% of `C`.
//!
//! The paper assumes a known capacity, a load figure that tracks the strain on the server, and many
//! requests of a session at one server. None of these holds here, so the implementation differs as
//! follows (`docs/design.md` gives all differences, with the reasons):
//!
//! - `C` is learned ([`concurrency_limit`](crate::concurrency_limit)).
//! - `l` counts queued and running requests. Requests at downstream calls are limited separately.
//!   For a request within its tenant's quota, `l` excludes queued requests that exceed a quota,
//!   because they run after it.
//! - The rule applies only while all cores are busy.
//! - A request that exceeds its tenant's quota is rejected above `T1`, whatever its session,
//!   because its value is only a small part of the usual one.
//! - A session is identified by its key, and is established for some time after a completed request
//!   ([`sessions`](crate::sessions)).
//! - Some requests are rejected regardless of the rule: those that arrive too late, those for which
//!   there is no memory, and those that arrive while the node is stalled or reads too slowly
//!   (`controller/arrival.rs`).

/// The threshold `T1`, as a share of the concurrency limit.
pub(crate) const LOWER_THRESHOLD: f32 = 0.75;
/// The threshold `T2`, as a share of the concurrency limit.
const UPPER_THRESHOLD: f32 = 0.90;

/// How the rule classifies a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionClass {
    /// A request of a session that was served here recently.
    EstablishedSession,
    /// A request of a new session, or without a session.
    NewSession,
    /// A request that exceeds its tenant's quota.
    OverQuota,
}

/// The result of the admission rule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Decision {
    /// The request is admitted.
    Admit,
    /// The request is rejected with this probability.
    RejectWithProbability(f32),
    /// The request is rejected.
    Reject,
}

/// Applies the admission rule. `load` and `concurrency_limit` are in requests.
pub(crate) fn apply(load: f32, concurrency_limit: f32, class: AdmissionClass) -> Decision {
    let lower = LOWER_THRESHOLD * concurrency_limit;
    let upper = UPPER_THRESHOLD * concurrency_limit;
    if load > concurrency_limit {
        return Decision::Reject;
    }
    if load <= lower || class == AdmissionClass::EstablishedSession {
        return Decision::Admit;
    }
    if load > upper || class == AdmissionClass::OverQuota {
        // The rejection is certain, but a random number is still drawn for it: later decisions
        // depend on the sequence of draws.
        return Decision::RejectWithProbability(1.0);
    }
    Decision::RejectWithProbability((load - lower) / (concurrency_limit - lower))
}
