//! Every way in which a connection, a run or a link can end, and what that means for the requests concerned.

use doortrack_admission::RunOutcome;

/// How a connection, a run or a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Termination {
    /// The dispatcher aborted one request.
    Aborted,
    /// The dispatcher's side broke the connection.
    Reset,
    /// The dispatcher has sent its last byte; it may still read.
    HalfClosed,
    /// The connection was closed with nothing pending, by the dispatcher or because it asked for that.
    Closed,
    /// Closed here after being idle for too long.
    Idle,
    /// Closed here, with no caller waiting, to free its slot.
    Evicted,
    /// What arrives on the connection can't be read any further.
    Malformed,
    /// No complete request arrived in time.
    RequestTimeout,
    /// Answers were not read for longer than any caller waits, or piled up.
    UnreadAnswers,
    /// Closed at the end of the process.
    Shutdown,
    /// Its listener was taken out of the installation.
    ListenerClosed,
    /// A run ended, as reported by whoever ran it.
    Run(RunOutcome),
    /// The engine refused to begin a run, as it does not know the request: nothing has run.
    RunRefused,
    /// The engine refused to cancel a run, as it does not know the request: nothing is running.
    CancelRefused,
    /// The run was cancelled before it was sent.
    Unsent,
    /// No server accepted the run.
    NoServerAccepted,
    /// A run was sent to a server, and the connection broke before the answer was complete.
    ServerLost,
    /// A run was sent to a server, and no complete answer came in time.
    ServerTimeout,
    /// The link to the engine broke. Runs go on, and their ends are reported on the next link.
    LinkLost,
}

/// What a termination means for each request that it concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing: the answer can still be given.
    AnswerPending,
    /// Nobody waits for the answer any more.
    CallerGone,
    /// Its run has ended.
    RunEnded(RunOutcome),
}

impl Termination {
    /// What it means for each request that it concerns.
    pub fn outcome(self) -> Outcome {
        match self {
            Termination::Aborted
            | Termination::Reset
            | Termination::UnreadAnswers
            | Termination::Shutdown => Outcome::CallerGone,
            // A half-closed connection may still be read; only a reset proves that nobody listens.
            Termination::HalfClosed
            | Termination::Closed
            | Termination::Idle
            | Termination::Evicted
            | Termination::Malformed
            | Termination::RequestTimeout
            | Termination::ListenerClosed
            | Termination::LinkLost => Outcome::AnswerPending,
            Termination::Run(outcome) => Outcome::RunEnded(outcome),
            Termination::RunRefused | Termination::Unsent | Termination::NoServerAccepted => {
                Outcome::RunEnded(RunOutcome::NotStarted)
            }
            // It may have run, so it may not be repeated.
            Termination::ServerLost | Termination::ServerTimeout => {
                Outcome::RunEnded(RunOutcome::Failed)
            }
            Termination::CancelRefused => Outcome::RunEnded(RunOutcome::Cancelled),
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
            Termination::RequestTimeout => "slow",
            Termination::UnreadAnswers => "unread",
            Termination::Shutdown => "left",
            Termination::ListenerClosed => "withdrawn",
            Termination::Run(RunOutcome::Completed) => "completed",
            Termination::Run(RunOutcome::Failed) => "failed",
            Termination::Run(RunOutcome::Cancelled) => "stopped",
            Termination::Run(RunOutcome::NotStarted) => "moot",
            Termination::RunRefused => "run_refused",
            Termination::CancelRefused => "stop_refused",
            Termination::Unsent => "unsent",
            Termination::NoServerAccepted => "unreached",
            Termination::ServerLost => "server_lost",
            Termination::ServerTimeout => "server_late",
            Termination::LinkLost => "link_lost",
        }
    }
}
