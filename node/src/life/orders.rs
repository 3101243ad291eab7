//! What the node is handed at start, read, checked and given its defaults in this one place.

use std::net::SocketAddr;

use doortrack::Tenths;
use doortrack_contract::{Fault, Handed, Part};
use serde_json::Value;

const MS: Tenths = 10;
const CORES: f64 = 1.0;
const MEMORY_MB: f64 = 192.0;
const SOCKETS: f64 = 1024.0;
/// Descriptors that no dispatcher's connection may take: of the poller, the listener, the links, the signals.
const OWN_DESCRIPTORS: usize = 24;
const LEAST_CONNECTIONS: usize = 8;
/// Bytes that a connection keeps while nothing is open on it, an open request, and an entry of the table.
const CONNECTION: usize = 20_000;
const REQUEST: usize = 10_500;
const ENTRY: usize = 300;
const LEAST_MEMORY_MB: f64 = 16.0;

#[derive(Clone, Debug, PartialEq)]
pub struct Orders {
    pub name: String,
    pub listen: SocketAddr,
    pub engine: SocketAddr,
    pub registry: SocketAddr,
    pub seed: u64,
    /// From the notice to leave to the stop.
    pub stop_after: Tenths,
    pub room: Room,
    pub handed: Handed,
}

/// How much of everything there may be, so that the limits hold whatever comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    pub connections: usize,
    /// Exchanges open at once, each with its parameters and body.
    pub open: usize,
    /// Entries of the table of deduplicated exchanges, and bytes of results in it.
    pub entries: usize,
    pub result_bytes: usize,
    /// Bytes of answers that dispatchers have not read.
    pub unread: usize,
    /// Bytes of commands that the engine has not read; more, and it is taken for hung and the link made anew.
    pub commands: usize,
}

impl Room {
    /// Shares of the memory that come to five sixths of it if all is full at once; the rest is for the
    /// decisions and the program itself.
    fn within(memory_mb: f64, sockets: usize) -> Room {
        let bytes = (memory_mb * 1e6) as usize;
        Room {
            connections: sockets.saturating_sub(OWN_DESCRIPTORS).min(bytes / 4 / CONNECTION),
            open: bytes / 5 / REQUEST,
            entries: bytes / 16 / ENTRY,
            result_bytes: bytes / 6,
            unread: bytes / 8,
            commands: bytes / 32,
        }
    }
}

/// Reads the file named by `GW_CONFIG`.
pub fn read() -> Result<Orders, Fault> {
    let path = std::env::var("GW_CONFIG").map_err(|_| "GW_CONFIG is not set".to_string())?;
    let text = std::fs::read(&path).map_err(|e| format!("GW_CONFIG: {path}: {e}"))?;
    parse(&text).map_err(|fault| format!("{path}: {fault}"))
}

pub fn parse(text: &[u8]) -> Result<Orders, Fault> {
    let value: Value = serde_json::from_slice(text).map_err(|e| format!("not JSON: {e}"))?;
    let top = Part { value: &value, path: "config".into() };
    if !value.is_object() {
        return top.wrong("an object");
    }
    let limits = top.find("limits");
    let limit = |key: &str, default: f64| match limits.as_ref().and_then(|part| part.find(key)) {
        Some(part) => part.number(),
        None => Ok(default),
    };
    if limit("cores", CORES)? <= 0.0 {
        return Err("config.limits.cores: more than 0 is wanted".into());
    }
    let (memory_mb, sockets) = (limit("memory_mb", MEMORY_MB)?, limit("sockets", SOCKETS)? as usize);
    let room = Room::within(memory_mb, sockets);
    if memory_mb < LEAST_MEMORY_MB {
        return Err(format!(
            "config.limits.memory_mb: at least {LEAST_MEMORY_MB} is wanted, found {memory_mb}"
        ));
    }
    if room.connections < LEAST_CONNECTIONS {
        let least = LEAST_CONNECTIONS + OWN_DESCRIPTORS;
        return Err(format!("config.limits.sockets: at least {least} is wanted, found {sockets}"));
    }
    let settings = top.part("settings")?;
    let handed = doortrack_contract::read(&settings)?;
    can_serve(&handed)?;
    Ok(Orders {
        name: top.word("name")?.0.to_string(),
        listen: address(&top, "listen")?,
        engine: address(&top, "engine")?,
        registry: address(&top, "registry")?,
        seed: seed(&top)?,
        stop_after: top.num("stop_ms")? as Tenths * MS,
        room,
        handed,
    })
}

/// What a deployment may ask for and this node can't do yet.
fn can_serve(handed: &Handed) -> Result<(), Fault> {
    let needs = [
        (handed.calls_below, "below: calls to what lies below"),
        (handed.contract.groups.iter().any(|group| group.calls), "calls_by_class: endpoint groups that call"),
        (handed.deep_checks, "deep_checks: health checks that do real work"),
        (handed.passes_due, "passes_deadline: exchanges that tell how long their caller waits"),
    ];
    match needs.iter().find(|(asked, _)| *asked) {
        Some((_, what)) => {
            Err(format!("config.settings.family_info.{what} can't be served by this node yet"))
        }
        None if handed.group_names.is_empty() => Err("config.settings.lanes: at least one is wanted".into()),
        None if handed.group_names.len() > 256 => Err("config.settings.lanes: at most 256 are wanted".into()),
        None if handed.customer_names.len() > 65_536 => {
            Err("config.settings.parties: at most 65536 are wanted".into())
        }
        None => Ok(()),
    }
}

fn address(top: &Part, key: &str) -> Result<SocketAddr, Fault> {
    let (word, part) = top.word(key)?;
    word.parse().or_else(|_| part.wrong("an address and port"))
}

/// Sixteen hex digits; without any, chance starts the same at each start.
fn seed(top: &Part) -> Result<u64, Fault> {
    if top.find("seed").is_none() {
        return Ok(0);
    }
    let (word, part) = top.word("seed")?;
    u64::from_str_radix(word, 16).or_else(|_| part.wrong("a seed in hex digits"))
}
