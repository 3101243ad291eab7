//! A real process of the program: started with generated settings, read from `/proc`, and ended when dropped.

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
/// From the start to the first good health check, at the longest.
const READY_WITHIN: Duration = Duration::from_secs(60);
/// Between two tries to reach a process that starts.
const RETRY_EVERY: Duration = Duration::from_micros(500);
/// Bytes of the log's end that are kept for error messages.
const LOG_TAIL: usize = 600;

/// What keeps a measurement from being made.
#[derive(Debug, Error)]
pub enum MeasureError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("/proc: {0}")]
    Proc(#[from] procfs::ProcError),
    /// The program ended before its first good health check: what it wrote last.
    #[error("the program does not start: {0}")]
    DoesNotStart(String),
    #[error("{what} is not seen within {within:?}; the log ends with: {log}")]
    TooLate {
        what: &'static str,
        within: Duration,
        log: String,
    },
}

/// What a process has used so far.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Processor time of the threads that there are now.
    pub processor: Duration,
    pub resident_kb: u64,
    /// The most that was resident so far.
    pub peak_resident_kb: u64,
    pub descriptors: usize,
}

/// What was written to standard error.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Log {
    pub bytes: u64,
    pub lines: u64,
    /// The last bytes of it.
    pub tail: String,
}

/// Addresses that no other start uses. `server` is what all pools name.
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

/// One `doortrack serve`. Dropped, it is killed and its folder removed; it is killed as well when the thread
/// that started it ends, however that comes.
pub struct NodeProcess {
    child: Child,
    folder: ScratchFolder,
    front: SocketAddr,
    started: Instant,
    log: Arc<Mutex<Log>>,
    reader: Option<JoinHandle<()>>,
}

impl NodeProcess {
    /// Starts the program; it is not waited for.
    ///
    /// # Errors
    /// No folder can be made, or the program can't be run.
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

    /// Waits for the first good health check; how long that took since the start.
    ///
    /// # Errors
    /// The program has ended, or is not ready for too long.
    pub fn wait_ready(&mut self) -> Result<Duration, MeasureError> {
        while self.started.elapsed() < READY_WITHIN {
            if self.child.try_wait()?.is_some() {
                _ = self.reader.take().map(JoinHandle::join);
                return Err(MeasureError::DoesNotStart(self.log().tail));
            }
            if self.is_healthy() {
                return Ok(self.started.elapsed());
            }
            std::thread::sleep(RETRY_EVERY);
        }
        Err(self.too_late("a good health check", READY_WITHIN))
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
    /// The process is gone.
    pub fn usage(&self) -> Result<Usage, MeasureError> {
        let process = Process::new(self.child.id() as i32)?;
        let status = process.status()?;
        // The process's own file tells of its first thread alone.
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

    /// Replaces the operators' own file; the process learns of it by [`NodeProcess::hang_up`].
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
    /// The process is gone.
    pub fn hang_up(&self) -> io::Result<()> {
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
            .take_in(&buffer[..count]);
    }
}

impl Log {
    /// Counts what came, and keeps the end of it.
    pub fn take_in(&mut self, bytes: &[u8]) {
        self.bytes += bytes.len() as u64;
        self.lines += bytes.iter().filter(|byte| **byte == b'\n').count() as u64;
        self.tail.push_str(&String::from_utf8_lossy(bytes));
        let surplus = self.tail.len().saturating_sub(LOG_TAIL);
        let cut = self.tail.ceil_char_boundary(surplus);
        self.tail.drain(..cut);
    }
}
