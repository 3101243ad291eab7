//! Errors that prevent a node from starting or end it before its shutdown.

use std::io;
use std::net::SocketAddr;

use doortrack_config::ConfigErrors;

use crate::peers::OpenLinkError;

/// Why a node can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The installation is invalid, or a file that it names can't be used.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// The poller can't be created.
    #[error("poller: {0}")]
    Poller(#[source] io::Error),
    /// The signals can't be watched.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// A socket can't be opened at the address that a key of the configuration gives.
    #[error("{key}: {address}: {source}")]
    Socket {
        /// Path of the key.
        key: String,
        /// The address configured there.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The link to the other nodes can't be opened.
    #[error(transparent)]
    FleetLink(#[from] OpenLinkError),
    /// The server pools could take more than half of the available connections.
    #[error(
        "installation.servers.at_once: all pools together may have {servers} connections, more than half of \
         the {available} that the descriptor limit of {limit} allows; raise that limit or lower at_once"
    )]
    TooManyServerConnections {
        /// Maximum number of connections of all pools together.
        servers: usize,
        /// Number of connections that the descriptor limit allows.
        available: usize,
        /// The soft limit on file descriptors.
        limit: usize,
    },
}

/// Why a node ended before its shutdown.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// Waiting for ready sockets failed.
    #[error("poller: {0}")]
    Poller(#[source] io::Error),
}
