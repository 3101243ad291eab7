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
//! requests of a session at one server. None of these holds here, so there are departures
//! (`docs/design.md` lists them with their reasons):
//!
//! - `C` is learned ([`concurrency_limit`](crate::concurrency_limit)).
//! - `l` counts requests queued and running. Those at downstream calls are bounded apart, and a
//!   request within its tenant's quota does not count those that are queued beyond one, as they go
//!   after it.
//! - The rule applies only while all cores are busy.
//! - A request beyond its tenant's quota is rejected from `T1` on, whatever its session, because it
//!   earns only a small part of the usual value.
//! - A session is known by its key, and established for a while once a request of it was completed
//!   here
//!   ([`sessions`](crate::sessions)).
//! - Some requests are rejected beside the rule: too late, without memory, or while the node is
//!   stalled
//!   or drowns in unread requests (`controller/arrival.rs`).

/// `T1`, as a share of the concurrency limit.
pub(crate) const LOWER_THRESHOLD: f32 = 0.75;
/// `T2`, as a share of the concurrency limit.
const UPPER_THRESHOLD: f32 = 0.90;

/// Who asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Applicant {
    /// A request of a session that has been served here.
    EstablishedSession,
    /// A request of a new session, or of none.
    NewSession,
    /// A request beyond its tenant's quota.
    OverQuota,
}

/// What the rule says of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Verdict {
    /// It is admitted.
    Admit,
    /// It is rejected with this probability.
    RejectWithProbability(f32),
    /// It is rejected.
    Reject,
}

/// Applies the rule at this load, in requests queued and running, under this concurrency limit.
pub(crate) fn apply(load: f32, concurrency_limit: f32, applicant: Applicant) -> Verdict {
    let lower = LOWER_THRESHOLD * concurrency_limit;
    let upper = UPPER_THRESHOLD * concurrency_limit;
    if load > concurrency_limit {
        Verdict::Reject
    } else if load > lower && applicant != Applicant::EstablishedSession {
        if load > upper || applicant == Applicant::OverQuota {
            Verdict::RejectWithProbability(1.0)
        } else {
            Verdict::RejectWithProbability((load - lower) / (concurrency_limit - lower))
        }
    } else {
        Verdict::Admit
    }
}
