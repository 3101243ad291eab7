//! What every measurement of one node needs, and how a node is started for it.

use std::net::{SocketAddr, UdpSocket};
use std::path::Path;

use doortrack_fakes::fixture::open_registry;
use doortrack_fakes::immediate;
use doortrack_protocols::Protocol;
use serde_json::Value;

use super::process::{MeasureError, NodeProcess, fresh_addresses};
use super::settings::{Addresses, Size, configuration, installation};

/// Threads of the application server; each serves one kept connection.
const SERVER_THREADS: usize = 400;
/// Name of the node.
const NAME: &str = "n1";

/// What every measurement needs: the program, a registry and an application server that answers at once.
pub struct Bench<'a> {
    /// The program that is measured.
    pub program: &'a Path,
    /// Receives the load reports.
    pub registry: UdpSocket,
    /// Where the application server listens.
    pub server: SocketAddr,
}

impl<'a> Bench<'a> {
    /// Opens the registry and starts the application server.
    ///
    /// # Errors
    /// No socket can be had.
    pub fn open(program: &'a Path) -> Result<Bench<'a>, MeasureError> {
        let server = immediate::start_server(Protocol::FastCgi, SERVER_THREADS)?;
        Ok(Bench {
            program,
            registry: open_registry(),
            server,
        })
    }

    /// Starts a process with generated settings of a size.
    ///
    /// # Errors
    /// It can't be started.
    pub fn start(&self, size: &Size) -> Result<Started, MeasureError> {
        self.start_changed(size, |_| {})
    }

    /// The same with its installation changed.
    ///
    /// # Errors
    /// It can't be started.
    pub fn start_changed(
        &self,
        size: &Size,
        change: impl FnOnce(&mut Value),
    ) -> Result<Started, MeasureError> {
        let addresses = fresh_addresses(&self.registry, self.server)?;
        self.start_at(NAME, size, addresses, change)
    }

    /// The same under a name and at addresses of the caller's choice.
    ///
    /// # Errors
    /// It can't be started.
    pub fn start_at(
        &self,
        name: &str,
        size: &Size,
        addresses: Addresses,
        change: impl FnOnce(&mut Value),
    ) -> Result<Started, MeasureError> {
        let mut installation = installation(name, size, &addresses);
        change(&mut installation);
        let configuration = configuration(name, size, &addresses);
        let process = NodeProcess::start(self.program, &addresses, &configuration, &installation)?;
        Ok(Started {
            process,
            addresses,
            installation,
        })
    }
}

/// A process that was started with generated settings.
pub struct Started {
    /// The process.
    pub process: NodeProcess,
    /// Its addresses, and those that it talks to.
    pub addresses: Addresses,
    /// Its installation file.
    pub installation: Value,
}
