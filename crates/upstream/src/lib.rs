//! Decides which application server takes a run, when a connection to it is opened, kept and closed, what a
//! failure means, and whether a run may be tried again elsewhere.
//!
//! Neither sockets nor a clock, and the same events with the same seed give the same actions: what happened
//! is told to a [`Pool`] with the time, in tenths of a ms and never going back, and what is to be done
//! comes back as [`Action`]s, to be carried out in order before anything else is told. A run is one request
//! to one server on a connection that carries nothing else meanwhile.
//!
//! ```text
//! begin ──> [waiting] ──> Open ──opened──> Send ──sent──> over ──> Ended
//!               ^           │               │       │
//!               └── retry ──┴──open_failed──┴─lost──┘
//! ```
//!
//! What holds whatever comes, and is checked by this package's tests:
//! - every run that was begun ends once;
//! - one that is not repeatable is sent again only if no byte of it was handed to the system before, or its
//!   server said that it did not run it;
//! - retries are at most a burst and a share of the runs begun, so an outage is not multiplied;
//! - each server has at most `at_once` connections, and runs on no more of them than it is trusted with;
//! - servers that fail are put aside, but never more of them than leaves the floor in use;
//! - with a ramp, a server that was down is sent probes alone until it returns, whatever the floor, and then
//!   no more than its ramp allows.
//!
//! Cost: choosing looks at two servers however many there are; times are kept in ordered sets of what is
//! open.

use doortrack_time::TenthMillis;

mod budget;
mod health;
mod pool;
mod ramp;
mod terms;

pub use pool::{Admission, Counts, Pool};
pub use ramp::Token;
pub use terms::{Aside, Ramp, Retries, Terms};

/// The name of a run, given by who begins it; never used twice at the same time.
pub type RunId = u32;
/// Place of a server, in use again some time after it was removed.
pub type ServerId = usize;
/// Place of a connection, in use again once it was closed or told to be lost.
pub type ConnId = usize;

/// One thing to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a connection; [`Pool::opened`] or [`Pool::open_failed`] follows.
    Open { conn: ConnId, server: ServerId },
    /// Send a run on a connection that is open and carries nothing.
    Send { conn: ConnId, run: RunId },
    /// Close a connection; nothing more is told of it.
    Close { conn: ConnId },
    /// The run has come to its end.
    Ended { run: RunId, end: RunEnd },
    /// For the log: what is thought of a server has changed.
    Report {
        server: ServerId,
        standing: Standing,
    },
}

/// What is thought of a server from here on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Given nothing until then.
    PutAside { till: TenthMillis },
    /// Given one run, then more with each success.
    Returning,
    /// Trusted with all.
    Fit,
    /// Nothing answers there; probed for the first time then.
    Down { till: TenthMillis },
    /// It has returned, and its ramp is over then.
    Ramping { till: TenthMillis },
    /// Its ramp is over.
    Warm,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The answer that was told with [`Over::Completed`] is its result.
    Completed,
    /// A whole answer came, and it says that the run failed.
    Failed,
    /// No byte of it reached a server, or the server says that it was not run.
    NeverRan,
    /// It was sent, and no whole answer came: it may have run.
    Lost,
    /// It was sent, and no whole answer came in time: it may run yet.
    Late,
    /// It was stopped at the word of who began it. A server may work on it unasked.
    Stopped,
}

/// How an answer came to its end. `keep` tells that the connection can carry another run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Over {
    Completed {
        keep: bool,
    },
    /// An answer that says that the run failed.
    Failed {
        keep: bool,
    },
    /// The server says that it did not run it.
    Refused {
        keep: bool,
    },
}
