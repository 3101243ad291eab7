//! Real nodes: `doortrack serve` processes, their views of the fleet, and the link counters in their logs.

use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use doortrack_node::peers::datagram_codec::{DatagramCodec, MAX_DATAGRAM_LEN};
use doortrack_node::peers::peer_message::{PeerMessage, StatusQuery};
use serde_json::{Value, json};

use super::error::ScaleError;
use super::plan::{FLEET_KEY, FleetPlan};
use doortrack_fakes::child_process::end_with_parent;

/// Messages of the log line with link counters, written every 10 s; older builds write the second one.
const SUMMARY_MESSAGES: [&str; 2] = ["fleet summary", "so far of the fleet"];
const LOG_LINES_PER_SECOND: &str = "1000";
/// Timeout of one status query, and the maximum number of queries.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);
const MAX_ATTEMPTS: usize = 3;

/// Link counters from one log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkCounts {
    pub datagrams_in: u64,
    pub datagrams_out: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

/// Parses the link counters from a line of a node's JSON log; None for any other line.
pub fn link_counts(line: &str) -> Option<LinkCounts> {
    let line: Value = serde_json::from_str(line).ok()?;
    if !SUMMARY_MESSAGES
        .iter()
        .any(|summary| line["msg"] == *summary)
    {
        return None;
    }
    let number = |key: &str| line[key].as_u64();
    Some(LinkCounts {
        datagrams_in: number("received")?,
        datagrams_out: number("sent")?,
        bytes_in: number("received_bytes")?,
        bytes_out: number("sent_bytes")?,
    })
}

/// A node's view of its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewStatus {
    pub members: usize,
    pub digest: u64,
}

type Summaries = Arc<Mutex<Vec<(Instant, LinkCounts)>>>;

/// One `doortrack serve` process, killed on drop.
pub struct RealNode {
    pub node: usize,
    pub front: SocketAddr,
    /// True if the node is a member of the fleet.
    pub in_fleet: bool,
    fleet_address: SocketAddr,
    child: Child,
    summaries: Summaries,
    reader: Option<JoinHandle<()>>,
}

/// What a real node needs to start besides the plan.
#[derive(Clone, Copy)]
pub struct ServeProgram<'a> {
    pub program: &'a Path,
    /// Folder for generated files; contains the key file of the fleet.
    pub folder: &'a Path,
    /// The value of `servers` in the installation file.
    pub servers: &'a Value,
}

impl RealNode {
    /// Starts a node of the plan. If `in_fleet` is false, the node has neither fleet nor budgets.
    ///
    /// # Errors
    /// A file can't be written, or the program can't be started.
    pub fn start(
        with: ServeProgram,
        plan: &FleetPlan,
        node: usize,
        in_fleet: bool,
    ) -> Result<Self, ScaleError> {
        let mut installation = if in_fleet {
            plan.installation(node)
        } else {
            json!({})
        };
        installation["servers"] = with.servers.clone();
        if in_fleet {
            installation["fleet"]["key_file"] = json!(KEY_FILE);
        }
        let config_file = with.folder.join(format!("{node}.config.json"));
        let installation_file = with.folder.join(format!("{node}.installation.json"));
        write(&config_file, &plan.config(node))?;
        write(&installation_file, &installation)?;
        let mut command = Command::new(with.program);
        command
            .arg("serve")
            .arg("--installation")
            .arg(&installation_file);
        command.args(["--log-format", "json", "--log-lines", LOG_LINES_PER_SECOND]);
        command
            .env("GW_CONFIG", &config_file)
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        end_with_parent(&mut command);
        let mut child = command
            .spawn()
            .map_err(ScaleError::io(with.program.display()))?;
        let summaries = Summaries::default();
        let log = child.stderr.take();
        let reader = log.map(|log| {
            let summaries = summaries.clone();
            std::thread::spawn(move || read_log(log, &summaries))
        });
        let (front, fleet_address) = (plan.front_address(node), plan.fleet_address(node));
        Ok(RealNode {
            node,
            front,
            in_fleet,
            fleet_address,
            child,
            summaries,
            reader,
        })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the last two link counters and the times at which they were read.
    pub fn last_summaries(&self) -> Option<[(Instant, LinkCounts); 2]> {
        let summaries = self
            .summaries
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        summaries.last_chunk::<2>().copied()
    }

    /// Queries the node's view of the fleet; None if the node does not reply.
    pub fn view(&self) -> Option<ViewStatus> {
        view_of(self.fleet_address).ok().flatten()
    }
}

impl Drop for RealNode {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        if let Some(reader) = self.reader.take() {
            _ = reader.join();
        }
    }
}

/// Name of the fleet key file in the folder of a trial.
pub const KEY_FILE: &str = "fleet.key";

fn write(file: &Path, value: &Value) -> Result<(), ScaleError> {
    std::fs::write(file, value.to_string()).map_err(ScaleError::io(file.display()))
}

fn read_log(log: impl io::Read, summaries: &Summaries) {
    for line in BufReader::new(log).lines().map_while(Result::ok) {
        if let Some(counts) = link_counts(&line) {
            summaries
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push((Instant::now(), counts));
        }
    }
}

/// Requests only the first page of the status, which contains the digest of the whole view.
fn view_of(address: SocketAddr) -> io::Result<Option<ViewStatus>> {
    let codec = DatagramCodec::new(Some(FLEET_KEY), "");
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    socket.set_read_timeout(Some(REPLY_TIMEOUT))?;
    let mut bytes = [0; MAX_DATAGRAM_LEN];
    for _ in 0..MAX_ATTEMPTS {
        let nonce = fastrand::u64(..);
        let query = codec
            .encode(&PeerMessage::StatusQuery(StatusQuery {
                nonce,
                after: None,
            }))
            .unwrap_or_default();
        socket.send_to(&query, address)?;
        let Ok((len, _)) = socket.recv_from(&mut bytes) else {
            continue;
        };
        if let Ok(PeerMessage::Status(status)) = codec.decode(&bytes[..len])
            && status.nonce == nonce
        {
            return Ok(Some(ViewStatus {
                members: status.in_view as usize,
                digest: status.digest,
            }));
        }
    }
    Ok(None)
}
