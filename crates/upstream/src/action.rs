//! The actions that a pool returns to its caller, and the types for identifiers, outcomes and server
//! states.

use doortrack_time::TenthMillis;

/// Identifies a run. The caller assigns the identifier, which must be unique among current runs.
pub type RunId = u32;
/// Identifies a server of one pool. The identifier may be reused once the server is removed and its
/// last connection has ended.
pub type ServerId = usize;
/// Identifies a connection of one pool. The identifier may be reused once the connection is closed or
/// reported lost.
pub type ConnId = usize;

/// One action that the caller executes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a connection; [`Pool::connected`](crate::Pool::connected),
    /// [`Pool::connect_failed`](crate::Pool::connect_failed) or
    /// [`Pool::connect_refused`](crate::Pool::connect_refused) follows.
    Open {
        /// The new connection.
        conn: ConnId,
        /// The server to connect to.
        server: ServerId,
    },
    /// Send a run on a connection that is open and idle.
    Send {
        /// The connection.
        conn: ConnId,
        /// The run to send.
        run: RunId,
    },
    /// Close a connection. The caller reports no further events for it.
    Close {
        /// The connection.
        conn: ConnId,
    },
    /// The run has ended.
    Ended {
        /// The run.
        run: RunId,
        /// The outcome of the run.
        end: RunEnd,
    },
    /// The state of a server has changed. Reported for logging only.
    StateChanged {
        /// The server.
        server: ServerId,
        /// The new state of the server.
        state: ServerState,
    },
}

/// The state of a server, reported when it changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// The server is an outlier and gets no runs for a limited time.
    Ejected {
        /// When the ejection ends.
        until: TenthMillis,
    },
    /// The ejection is over. The server gets one run as a health check, and one more concurrent run
    /// after each success.
    HealthCheck,
    /// The server has recovered and may take as many runs as any other.
    Recovered,
    /// The server is unreachable.
    Down {
        /// When the first health check is due.
        until: TenthMillis,
    },
    /// The server was down, accepts connections again, and gets a bounded rate of runs.
    SlowStart {
        /// When the slow start ends.
        until: TenthMillis,
    },
    /// The slow start of the server is over.
    WarmedUp,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The response reported with [`ResponseEnd::Completed`] is the result of the run.
    Completed,
    /// A complete response reports that the run failed.
    Failed,
    /// No byte of the run reached a server, or the server reported that it did not execute the run.
    NotRun,
    /// The run was sent, and its connection was lost before a complete response arrived. The server
    /// may have executed it.
    Lost,
    /// The run was sent, and no complete response arrived in time. The server may still execute it.
    TimedOut,
    /// The caller cancelled the run after it was sent. The server may still execute it.
    Cancelled,
}

/// How a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// The response is complete and is the result of the run.
    Completed {
        /// Whether the connection can carry another run.
        reusable: bool,
    },
    /// The response is complete and reports that the run failed.
    Failed {
        /// Whether the connection can carry another run.
        reusable: bool,
    },
    /// The server reports that it did not execute the run.
    Refused {
        /// Whether the connection can carry another run.
        reusable: bool,
    },
}
