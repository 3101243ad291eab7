//! The environment shared by all measurements of one node, and starting a node in it.

use std::net::{SocketAddr, UdpSocket};
use std::path::Path;

use doortrack_fakes::fixture::open_registry;
use doortrack_fakes::immediate;
use doortrack_protocols::Protocol;
use serde_json::Value;

use super::process::{MeasureError, NodeProcess, fresh_addresses};
use super::settings::{Addresses, Size, configuration, installation};

/// Threads of the application server; each serves one persistent connection.
const SERVER_THREADS: usize = 400;
/// Default name of the node.
const NAME: &str = "n1";

/// The environment of a measurement: the program, a registry and an application server that responds at once.
pub struct Bench<'a> {
    /// The measured program.
    pub program: &'a Path,
    /// Receives the load reports.
    pub registry: UdpSocket,
    /// Address of the application server.
    pub server: SocketAddr,
}

impl<'a> Bench<'a> {
    /// Opens the registry and starts the application server.
    ///
    /// # Errors
    /// A socket can't be opened.
    pub fn open(program: &'a Path) -> Result<Bench<'a>, MeasureError> {
        let server = immediate::start_server(Protocol::FastCgi, SERVER_THREADS)?;
        Ok(Bench {
            program,
            registry: open_registry(),
            server,
        })
    }

    /// Starts a process with settings generated for a size.
    ///
    /// # Errors
    /// The process can't be started.
    pub fn start(&self, size: &Size) -> Result<Started, MeasureError> {
        self.start_changed(size, |_| {})
    }

    /// Starts a process after applying `change` to the installation.
    ///
    /// # Errors
    /// The process can't be started.
    pub fn start_changed(
        &self,
        size: &Size,
        change: impl FnOnce(&mut Value),
    ) -> Result<Started, MeasureError> {
        let addresses = fresh_addresses(&self.registry, self.server)?;
        self.start_at(NAME, size, addresses, change)
    }

    /// Starts a process with a changed installation under the given name and addresses.
    ///
    /// # Errors
    /// The process can't be started.
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

/// A process started with generated settings.
pub struct Started {
    /// The process.
    pub process: NodeProcess,
    /// The addresses of the process and of its peers.
    pub addresses: Addresses,
    /// Its installation file.
    pub installation: Value,
}
