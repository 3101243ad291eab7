//! The ways in which a connection, a run or the engine link can end, and what that means for the affected requests.

use doortrack_admission::RunOutcome;

/// How a connection, a run or the engine link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Termination {
    /// The dispatcher aborted one request.
    Aborted,
    /// The connection was broken from the dispatcher's side.
    Reset,
    /// The dispatcher has closed its sending side; it may still read.
    HalfClosed,
    /// The connection was closed with nothing pending, by the dispatcher or at its request.
    Closed,
    /// The node closed the connection after it had been idle for too long.
    Idle,
    /// The node closed the connection, on which no caller waited, to free its slot.
    Evicted,
    /// The input of the connection could not be parsed.
    Malformed,
    /// No complete request arrived in time.
    RequestTimeout,
    /// The client did not read its answers for longer than any caller waits, or too many bytes of them were unread.
    UnreadAnswers,
    /// The node shut down.
    Shutdown,
    /// The connection's listener was removed from the installation.
    ListenerClosed,
    /// The engine or a server reported the end of a run.
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
    /// A run was sent on a link that broke, and its end was not reported in time.
    RunUnknown,
    /// The link to the engine broke. Runs continue, and their ends are reported after the next connect.
    LinkLost,
}

/// The effect of a termination on each request that it concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// None: the request can still be answered.
    AnswerPending,
    /// No caller waits for the answer any more.
    CallerGone,
    /// The request's run has ended.
    RunEnded(RunOutcome),
}

impl Termination {
    /// Returns the effect on each request that the termination concerns.
    pub fn outcome(self) -> Outcome {
        match self {
            Termination::Aborted
            | Termination::Reset
            | Termination::UnreadAnswers
            | Termination::Shutdown => Outcome::CallerGone,
            // The peer may still read from a half-closed connection; only a reset proves that it does not.
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
            // The request may have run, so it must not be run again.
            Termination::ServerLost | Termination::ServerTimeout | Termination::RunUnknown => {
                Outcome::RunEnded(RunOutcome::Failed)
            }
            Termination::CancelRefused => Outcome::RunEnded(RunOutcome::Cancelled),
        }
    }

    /// Returns the termination's name in the log.
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
            Termination::RunUnknown => "unknown",
            Termination::LinkLost => "link_lost",
        }
    }
}
