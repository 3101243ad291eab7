//! What a pool is handed at start.

use doortrack_time::TenthMillis;

/// How a pool treats its servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Runs at once on one server, and so its connections; at least 1.
    pub at_once: u32,
    /// Connections are kept after an answer for this long; none are where it is 0.
    pub idle: TenthMillis,
    /// A connection that takes longer to open counts as failed.
    pub open_within: TenthMillis,
    /// An answer that takes longer counts as lost.
    pub answer_within: TenthMillis,
    pub aside: Aside,
    pub retries: Retries,
    /// Absent: a server that returns is sent all at once.
    pub ramp: Option<Ramp>,
}

/// When a server is put aside, for how long, and how many may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Aside {
    /// Failures one after the other that put a server aside; at least 1.
    pub failures: u32,
    /// How long the first time; twice that the next, and so on.
    pub first: TenthMillis,
    /// The longest. By chance up to half of any span is left off, so that servers do not all return at once.
    pub longest: TenthMillis,
    /// Share of the servers that are in use whatever they do, and at least one; 0 to 1.
    pub floor: f32,
}

/// Bounds on the first runs of a server that was down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ramp {
    /// How long the ramp takes; at least 1.
    pub over: TenthMillis,
    /// Runs that one server is sent meanwhile, at a rate that grows linearly; at least 1.
    pub runs: u32,
}

/// Bounds on trying a run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retries {
    /// Retries for each run begun, as a share; 0 to 1.
    pub share: f32,
    /// Retries that may be saved up, and are there at the start.
    pub burst: u32,
    /// Tries that one run has in all; at least 1.
    pub tries: u32,
}
