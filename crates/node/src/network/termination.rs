//! Every way in which a connection, or what it carried, can end; and what each means to the decisions.

use doortrack_admission::RunOutcome;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Termination {
    /// The dispatcher stopped waiting for one request.
    Aborted,
    /// The dispatcher's side broke the connection.
    Reset,
    /// The dispatcher sends nothing more; it may still read.
    HalfClosed,
    /// The dispatcher, or this node at its word, closed a connection with nothing open.
    Closed,
    /// Closed here after lying idle for long enough.
    Idle,
    /// Closed here, idle, to make room for another.
    Evicted,
    /// What came on it can't be read any further.
    Malformed,
    /// No whole request came in the time that one may take: nothing at all, or too little.
    Slow,
    /// Its answers were not read for longer than anyone waits, or pile up.
    Unread,
    /// Closed at the end of the process.
    Left,
    /// Its front was taken out of the installation.
    Withdrawn,
    /// The engine told how a run ended.
    Run(RunOutcome),
    /// The engine would not carry out a RUN, as it knows no such request: nothing was begun.
    RunRefused,
    /// The engine would not stop a run, as it knows no such request: nothing is going on.
    StopRefused,
    /// The run was never sent and is not wanted any more.
    Unsent,
    /// No server could be had for a run, or the one that was said that it did not run it.
    Unreached,
    /// A run was sent to a server, and no whole answer came.
    ServerLost,
    /// A run was sent to a server, and no whole answer came in time.
    ServerLate,
    /// The link to the engine broke: what runs goes on, and its end is told on the next link.
    LinkLost,
}

/// What an end is to each request that it concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing changes: an answer is still owed and can be given.
    StillOwed,
    CallerGone,
    RunEnded(RunOutcome),
}

impl Termination {
    /// The one place where ends are mapped to what the decisions are told.
    pub fn outcome(self) -> Outcome {
        match self {
            Termination::Aborted | Termination::Reset | Termination::Unread | Termination::Left => {
                Outcome::CallerGone
            }
            // A half-closed connection may be read to its end; only a reset proves that nobody listens.
            Termination::HalfClosed
            | Termination::Closed
            | Termination::Idle
            | Termination::Evicted
            | Termination::Malformed
            | Termination::Slow
            | Termination::Withdrawn
            | Termination::LinkLost => Outcome::StillOwed,
            Termination::Run(outcome) => Outcome::RunEnded(outcome),
            Termination::RunRefused | Termination::Unsent | Termination::Unreached => {
                Outcome::RunEnded(RunOutcome::NotStarted)
            }
            // It may have run, so a repeat may not.
            Termination::ServerLost | Termination::ServerLate => {
                Outcome::RunEnded(RunOutcome::Failed)
            }
            Termination::StopRefused => Outcome::RunEnded(RunOutcome::Cancelled),
        }
    }

    /// The word for it in the log.
    pub fn name(self) -> &'static str {
        match self {
            Termination::Aborted => "aborted",
            Termination::Reset => "reset",
            Termination::HalfClosed => "half_closed",
            Termination::Closed => "closed",
            Termination::Idle => "idle",
            Termination::Evicted => "evicted",
            Termination::Malformed => "malformed",
            Termination::Slow => "slow",
            Termination::Unread => "unread",
            Termination::Left => "left",
            Termination::Withdrawn => "withdrawn",
            Termination::Run(RunOutcome::Completed) => "completed",
            Termination::Run(RunOutcome::Failed) => "failed",
            Termination::Run(RunOutcome::Cancelled) => "stopped",
            Termination::Run(RunOutcome::NotStarted) => "moot",
            Termination::RunRefused => "run_refused",
            Termination::StopRefused => "stop_refused",
            Termination::Unsent => "unsent",
            Termination::Unreached => "unreached",
            Termination::ServerLost => "server_lost",
            Termination::ServerLate => "server_late",
            Termination::LinkLost => "link_lost",
        }
    }
}
