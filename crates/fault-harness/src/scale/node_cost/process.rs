//! A real process of the program, started with generated settings, measured through `/proc` and killed on drop.

use std::io::{self, Read};
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use doortrack_fakes::fixture::fresh_address;
use procfs::process::Process;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use thiserror::Error;

use super::caller::{Connection, Outcome};
use super::settings::Addresses;
use doortrack_fakes::child_process::end_with_parent;
use doortrack_fakes::scratch_folder::ScratchFolder;

const FRONT_PORT: u16 = 9_091;
const FLEET_PORT: u16 = 7_400;
/// Time limit from the start to the first successful health check.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between attempts to reach a starting process.
const RETRY_INTERVAL: Duration = Duration::from_micros(500);
/// Number of bytes of the end of the log kept for error messages.
const MAX_LOG_TAIL_LEN: usize = 600;

/// Why a measurement failed.
#[derive(Debug, Error)]
pub enum MeasureError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("/proc: {0}")]
    Proc(#[from] procfs::ProcError),
    /// The program ended before its first successful health check; contains the end of its log.
    #[error("the program does not start: {0}")]
    DoesNotStart(String),
    #[error("{what} is not seen within {within:?}; the log ends with: {log}")]
    TooLate {
        what: &'static str,
        within: Duration,
        log: String,
    },
}

/// The resource usage of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Processor time of the existing threads.
    pub processor: Duration,
    pub resident_kb: u64,
    /// Peak of the resident memory.
    pub peak_resident_kb: u64,
    pub descriptors: usize,
}

/// The log written to standard error.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Log {
    pub bytes: u64,
    pub lines: u64,
    /// The end of the log.
    pub tail: String,
}

/// Returns addresses that no other process uses. `server` is the address in all pools.
pub fn fresh_addresses(registry: &UdpSocket, server: SocketAddr) -> io::Result<Addresses> {
    let listen = fresh_address();
    Ok(Addresses {
        listen,
        front: SocketAddr::new(listen.ip(), FRONT_PORT),
        fleet: SocketAddr::new(listen.ip(), FLEET_PORT),
        registry: registry.local_addr()?,
        server,
    })
}

/// A `doortrack serve` process. It is killed and its folder removed on drop; it is also killed when the thread
/// that started it ends for any reason.
pub struct NodeProcess {
    child: Child,
    folder: ScratchFolder,
    front: SocketAddr,
    started: Instant,
    log: Arc<Mutex<Log>>,
    reader: Option<JoinHandle<()>>,
}

impl NodeProcess {
    /// Starts the program without waiting until it is ready.
    ///
    /// # Errors
    /// The folder can't be created, or the program can't be run.
    pub fn start(
        program: &Path,
        addresses: &Addresses,
        configuration: &Value,
        installation: &Value,
    ) -> io::Result<NodeProcess> {
        let name = format!("scale-{}-{}", std::process::id(), addresses.listen.ip());
        let folder = ScratchFolder::create(&name)?;
        let configuration_file = folder.join("configuration.json");
        std::fs::write(&configuration_file, configuration.to_string())?;
        std::fs::write(folder.join("installation.json"), installation.to_string())?;
        let mut command = Command::new(program);
        command
            .arg("serve")
            .arg("--installation")
            .arg(folder.join("installation.json"));
        command
            .env("GW_CONFIG", &configuration_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        end_with_parent(&mut command);
        let started = Instant::now();
        let mut child = command.stderr(Stdio::piped()).spawn()?;
        let log: Arc<Mutex<Log>> = Arc::default();
        let reader = child.stderr.take().map(|stderr| {
            let log = log.clone();
            std::thread::spawn(move || read_log(stderr, &log))
        });
        Ok(NodeProcess {
            child,
            folder,
            front: addresses.front,
            started,
            log,
            reader,
        })
    }

    /// Waits for the first successful health check, and returns the time since the start.
    ///
    /// # Errors
    /// The program has ended, or is not ready in time.
    pub fn wait_ready(&mut self) -> Result<Duration, MeasureError> {
        while self.started.elapsed() < READY_TIMEOUT {
            if self.child.try_wait()?.is_some() {
                _ = self.reader.take().map(JoinHandle::join);
                return Err(MeasureError::DoesNotStart(self.log().tail));
            }
            if self.is_healthy() {
                return Ok(self.started.elapsed());
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
        Err(self.too_late("a good health check", READY_TIMEOUT))
    }

    fn is_healthy(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.front) else {
            return false;
        };
        connection
            .check_health()
            .is_ok_and(|outcome| outcome == Outcome::Completed)
    }

    pub fn too_late(&self, what: &'static str, within: Duration) -> MeasureError {
        MeasureError::TooLate {
            what,
            within,
            log: self.log().tail,
        }
    }

    /// # Errors
    /// The process has ended.
    pub fn usage(&self) -> Result<Usage, MeasureError> {
        let process = Process::new(self.child.id() as i32)?;
        let status = process.status()?;
        // `/proc/PID/schedstat` covers only the main thread.
        let of_threads = process
            .tasks()?
            .map(|thread| Ok(thread?.schedstat()?.sum_exec_runtime));
        let processor_ns = of_threads.sum::<Result<u64, procfs::ProcError>>()?;
        Ok(Usage {
            processor: Duration::from_nanos(processor_ns),
            resident_kb: status.vmrss.unwrap_or(0),
            peak_resident_kb: status.vmhwm.unwrap_or(0),
            descriptors: process.fd_count()?,
        })
    }

    pub fn log(&self) -> Log {
        self.log
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the installation file; the process reads it after [`NodeProcess::send_sighup`].
    ///
    /// # Errors
    /// The file can't be written.
    pub fn replace_installation(&self, installation: &Value) -> io::Result<()> {
        std::fs::write(
            self.folder.join("installation.json"),
            installation.to_string(),
        )
    }

    /// Sends SIGHUP.
    ///
    /// # Errors
    /// The process has ended.
    pub fn send_sighup(&self) -> io::Result<()> {
        let pid = Pid::from_raw(self.child.id() as i32).ok_or(io::ErrorKind::NotFound)?;
        Ok(kill_process(pid, Signal::HUP)?)
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        _ = self.reader.take().map(JoinHandle::join);
    }
}

fn read_log(mut stderr: ChildStderr, log: &Mutex<Log>) {
    let mut buffer = [0; 64 * 1024];
    while let Ok(count @ 1..) = stderr.read(&mut buffer) {
        log.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .append(&buffer[..count]);
    }
}

impl Log {
    /// Counts bytes and lines, and keeps the end of the log.
    pub fn append(&mut self, bytes: &[u8]) {
        self.bytes += bytes.len() as u64;
        self.lines += bytes.iter().filter(|byte| **byte == b'\n').count() as u64;
        self.tail.push_str(&String::from_utf8_lossy(bytes));
        let surplus = self.tail.len().saturating_sub(MAX_LOG_TAIL_LEN);
        let cut = self.tail.ceil_char_boundary(surplus);
        self.tail.drain(..cut);
    }
}
