//! Starts nodes of the project with the `run` command of the deploy file, and sends them signals.

use std::fs::File;
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::sleep_ms;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, third: u64, fourth: u64, fifth: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;

/// The command that starts a node, from `deploy/balancer.toml`.
pub fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text.lines().find(|line| line.starts_with("run "));
    let quoted = line.and_then(|line| line.split('"').nth(1));
    quoted.expect("the key run").to_string()
}

/// A folder for the configuration of a case, removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }

    /// Replaces a file by renaming another over it.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let (new, path) = (self.0.join(format!("{name}.new")), self.0.join(name));
        std::fs::write(&new, text).expect("a file in the temporary folder");
        std::fs::rename(&new, &path).expect("a rename in the temporary folder");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

/// One node of the project, killed when it is dropped or when the case ends.
pub struct Node {
    child: Child,
    pub listen: SocketAddr,
}

impl Node {
    /// Starts a node; only the main thread may do so. Its log is appended to `log`.
    pub fn start(
        config: &Path,
        installation: Option<&Path>,
        log: &Path,
        listen: SocketAddr,
    ) -> Node {
        let log = File::options().create(true).append(true).open(log);
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command());
        command.env("GW_CONFIG", config);
        command.env_remove("DOORTRACK_INSTALLATION");
        if let Some(installation) = installation {
            command.env("DOORTRACK_INSTALLATION", installation);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(log.expect("the log file"));
        // SAFETY: `prctl` may be called between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            })
        };
        let child = command.spawn().expect("a node");
        Node { child, listen }
    }

    /// Waits until the node accepts connections; false if it does not within 10 s.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if TcpStream::connect(self.listen).is_ok() {
                return true;
            }
            sleep_ms(20);
        }
        false
    }

    /// Sends a signal. The command replaces its shell by `exec`, so the child is the node itself.
    pub fn signal(&self, signal: i32) {
        // SAFETY: the child has not been waited for, so its id is not in use by another process.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// True while the process has not ended.
    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the end of the process; false if it does not end within the time.
    pub fn wait_end(&mut self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if !self.is_alive() {
                return true;
            }
            sleep_ms(5);
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if self.is_alive() {
            self.signal(SIGCONT);
            self.signal(SIGKILL);
            _ = self.child.wait();
        }
    }
}
