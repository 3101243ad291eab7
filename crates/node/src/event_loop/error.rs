//! Errors that keep a node from starting, or end it before its shutdown.

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
    /// The system gives no poller.
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
        /// The address that stands there.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The link to the other nodes can't be opened.
    #[error(transparent)]
    FleetLink(#[from] OpenLinkError),
    /// The pools of servers could take more than half of the connections.
    #[error(
        "installation.servers.at_once: all pools together may have {servers} connections, more than half of \
         the {available} for which there are descriptors; raise the limit of {limit} or lower it"
    )]
    TooManyServerConnections {
        /// Connections that all pools together may have.
        servers: usize,
        /// Connections for which there are descriptors.
        available: usize,
        /// The soft limit on descriptors.
        limit: usize,
    },
}

/// What ends a node before its shutdown.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// Waiting for readiness failed.
    #[error("poller: {0}")]
    Poller(#[source] io::Error),
}
