//! What a pool asks of its caller, and the terms in which runs, responses and servers are
//! described.

use doortrack_time::TenthMillis;

/// Identifies a run. Given by the caller, and never used twice at the same time.
pub type RunId = u32;
/// Identifies a server of one pool. Reused some time after the server was removed.
pub type ServerId = usize;
/// Identifies a connection of one pool. Reused once the connection was closed or reported lost.
pub type ConnId = usize;

/// One step that the caller executes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a connection; [`Pool::connected`](crate::Pool::connected),
    /// [`Pool::connect_failed`](crate::Pool::connect_failed) or
    /// [`Pool::connect_refused`](crate::Pool::connect_refused) follows.
    Open {
        /// The new connection.
        conn: ConnId,
        /// Where it leads.
        server: ServerId,
    },
    /// Send a run on a connection that is open and idle.
    Send {
        /// The connection.
        conn: ConnId,
        /// The run to send.
        run: RunId,
    },
    /// Close a connection; nothing more is reported about it.
    Close {
        /// The connection.
        conn: ConnId,
    },
    /// The run has ended.
    Ended {
        /// The run.
        run: RunId,
        /// How it ended.
        end: RunEnd,
    },
    /// For the log: the state of a server has changed.
    StateChanged {
        /// The server.
        server: ServerId,
        /// Its new state.
        state: ServerState,
    },
}

/// The state of a server, as reported when it changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// An outlier that gets no runs for a time.
    Ejected {
        /// When the ejection ends.
        until: TenthMillis,
    },
    /// Its ejection is over: it gets one run as a health check, then more with each success.
    HealthCheck,
    /// It may take as many runs as any other.
    Recovered,
    /// Nothing answers there.
    Down {
        /// When its first health check is due.
        until: TenthMillis,
    },
    /// It was down, has returned, and gets a bounded rate of runs.
    SlowStart {
        /// When its slow start ends.
        until: TenthMillis,
    },
    /// Its slow start is over.
    WarmedUp,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The response reported with [`ResponseEnd::Completed`] is its result.
    Completed,
    /// A complete response says that the run failed.
    Failed,
    /// No byte of it reached a server, or the server says that it did not run it.
    NotRun,
    /// It was sent, and its connection was lost before a complete response: it may have run.
    Lost,
    /// It was sent, and no complete response came in time: it may still run.
    TimedOut,
    /// The caller cancelled it after it was sent. The server may still work on it.
    Cancelled,
}

/// How a response ended. `reusable` says that the connection can carry another run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// The response is complete and is the run's result.
    Completed {
        /// Whether the connection can carry another run.
        reusable: bool,
    },
    /// The response is complete and says that the run failed.
    Failed {
        /// Whether the connection can carry another run.
        reusable: bool,
    },
    /// The server says that it did not run it.
    Refused {
        /// Whether the connection can carry another run.
        reusable: bool,
    },
}
