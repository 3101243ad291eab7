//! Real nodes: `doortrack serve` processes, how they see their fleet, and what they log of their link.

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

/// The line of the log with the counters of the link, which a node writes every 10 s; former builds write the
/// second one.
const SUMMARIES: [&str; 2] = ["fleet summary", "so far of the fleet"];
const LOG_LINES_PER_SECOND: &str = "1000";
/// An answer about a view is waited for so long, and asked for so often.
const PATIENCE: Duration = Duration::from_millis(200);
const TRIES: usize = 3;

/// Counters of a link by one line of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkCounts {
    pub datagrams_in: u64,
    pub datagrams_out: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

/// The counters that a line of a node's JSON log tells; none for any other line.
pub fn link_counts(line: &str) -> Option<LinkCounts> {
    let line: Value = serde_json::from_str(line).ok()?;
    if !SUMMARIES.iter().any(|summary| line["msg"] == *summary) {
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

/// How a node sees its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewSeen {
    pub members: usize,
    pub digest: u64,
}

type Summaries = Arc<Mutex<Vec<(Instant, LinkCounts)>>>;

/// One process; ended when it is dropped.
pub struct RealNode {
    pub node: usize,
    pub front: SocketAddr,
    /// Whether it is of the fleet at all.
    pub in_fleet: bool,
    fleet_address: SocketAddr,
    child: Child,
    summaries: Summaries,
    reader: Option<JoinHandle<()>>,
}

/// What a real node is started with beside the plan.
#[derive(Clone, Copy)]
pub struct ServeProgram<'a> {
    pub program: &'a Path,
    /// Where files are written; it holds the fleet's key file.
    pub folder: &'a Path,
    /// The key `servers` of the operators' file.
    pub servers: &'a Value,
}

impl RealNode {
    /// Starts a node of the plan; without `in_fleet` it has neither fleet nor budgets.
    ///
    /// # Errors
    /// A file that can't be written, or a program that can't be started.
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

    /// The last two summaries of its link, with when they were read.
    pub fn last_summaries(&self) -> Option<[(Instant, LinkCounts); 2]> {
        let summaries = self
            .summaries
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        summaries.last_chunk::<2>().copied()
    }

    /// How it sees its fleet; none where it does not answer.
    pub fn view(&self) -> Option<ViewSeen> {
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

/// The name of the key's file, in the folder of a play.
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

/// Asks for the first page alone, which tells the digest of the whole view.
fn view_of(address: SocketAddr) -> io::Result<Option<ViewSeen>> {
    let seal = DatagramCodec::new(Some(FLEET_KEY), "");
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    socket.set_read_timeout(Some(PATIENCE))?;
    let mut bytes = [0; MAX_DATAGRAM_LEN];
    for _ in 0..TRIES {
        let nonce = fastrand::u64(..);
        let question = seal
            .encode(&PeerMessage::StatusQuery(StatusQuery {
                nonce,
                after: None,
            }))
            .unwrap_or_default();
        socket.send_to(&question, address)?;
        let Ok((len, _)) = socket.recv_from(&mut bytes) else {
            continue;
        };
        if let Ok(PeerMessage::Status(status)) = seal.decode(&bytes[..len])
            && status.nonce == nonce
        {
            return Ok(Some(ViewSeen {
                members: status.in_view as usize,
                digest: status.digest,
            }));
        }
    }
    Ok(None)
}
