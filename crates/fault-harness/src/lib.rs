//! Fault injection on many nodes at once.
//!
//! A [`Script`] says which faults occur and when. It is run by [`processes::run`] on real `doortrack`
//! processes with a relay between every pair of them, or by [`simulated::run`] in simulated time on the same
//! decisions. Both give one [`History`]: the faults injected, and what each node reported. [`checks`] verify a
//! history without access to a node's code; [`shrink`] reduces a script that fails.
//!
//! Safety is checked throughout a run, liveness by the nodes' final views. The harness waits long enough for
//! these that a slow machine doesn't change the verdict.

pub mod budget_simulation;
pub mod checks;
pub mod drains;
pub mod ground_truth;
pub mod history;
pub mod load;
mod network_faults;
pub mod processes;
pub mod progress;
pub mod relay;
#[allow(
    missing_docs,
    reason = "the measurements of scale are not documented throughout yet"
)]
pub mod scale;
pub mod script;
pub mod shrink;
pub mod simulated;
pub mod tcp_proxy;
pub mod traffic;
pub mod usage;

pub use history::{Entry, History, HistoryEvent};
pub use script::{Fault, Script, TimedFault};
