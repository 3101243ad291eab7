//! What the node is handed at start, read, checked and given its defaults in this one place.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use doortrack_settings::{DeploymentSettings, Part};
use doortrack_time::{MILLISECOND, TenthMillis};
use serde_json::Value;
use sha2::{Digest as _, Sha256};

use crate::{ConfigError, ConfigErrors, stable};

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
pub struct NodeConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub engine: SocketAddr,
    pub registry: SocketAddr,
    pub seed: u64,
    /// From the notice to leave to the stop.
    pub stop_after: TenthMillis,
    pub limits: ResourceLimits,
    pub settings: DeploymentSettings,
    /// Of the text that says all this.
    pub source: Digest,
}

/// Stands for a text of any length.
pub type Digest = [u8; 32];

/// By which one text is told from another.
pub fn digest(text: &[u8]) -> Digest {
    Sha256::digest(text).into()
}

/// How much of everything there may be, so that the limits hold whatever comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    pub connections: usize,
    /// Requests open at once, each with its parameters and body.
    pub open_requests: usize,
    /// Entries of the table of deduplicated requests, and bytes of results in it.
    pub dedup_entries: usize,
    pub result_bytes: usize,
    /// Bytes of answers that dispatchers have not read.
    pub unread_answer_bytes: usize,
    /// Bytes of commands that the engine has not read; more, and it is taken for hung and the link made anew.
    pub engine_command_bytes: usize,
}

impl ResourceLimits {
    /// Shares of the memory that come to five sixths of it if all is full at once; the rest is for the
    /// decisions and the program itself.
    fn within(memory_mb: f64, sockets: usize) -> ResourceLimits {
        let bytes = (memory_mb * 1e6) as usize;
        ResourceLimits {
            connections: sockets
                .saturating_sub(OWN_DESCRIPTORS)
                .min(bytes / 4 / CONNECTION),
            open_requests: bytes / 5 / REQUEST,
            dedup_entries: bytes / 16 / ENTRY,
            result_bytes: bytes / 6,
            unread_answer_bytes: bytes / 8,
            engine_command_bytes: bytes / 32,
        }
    }
}

/// Reads the file named by `GW_CONFIG`.
///
/// # Errors
/// The variable is not set, or as [`read_file`].
pub fn read() -> Result<NodeConfig, ConfigErrors> {
    read_file(&path()?)
}

/// The file named by `GW_CONFIG`.
///
/// # Errors
/// The variable is not set.
pub fn path() -> Result<PathBuf, ConfigErrors> {
    std::env::var_os("GW_CONFIG")
        .map(PathBuf::from)
        .ok_or_else(|| ConfigErrors::one("GW_CONFIG", "is not set"))
}

/// Reads and checks a file.
///
/// # Errors
/// It can't be read, or all its faults.
pub fn read_file(path: &Path) -> Result<NodeConfig, ConfigErrors> {
    parse_file(path, &read_bytes(path)?)
}

/// Reads a file without looking at what it says.
///
/// # Errors
/// It can't be read.
pub fn read_bytes(path: &Path) -> Result<Vec<u8>, ConfigErrors> {
    stable::read(path)
        .map_err(|e| ConfigErrors::one(format!("GW_CONFIG: {}", path.display()), e.to_string()))
}

/// Reads and checks what a file says.
///
/// # Errors
/// All its faults, each with the file's name and the path of its key.
pub fn parse_file(path: &Path, text: &[u8]) -> Result<NodeConfig, ConfigErrors> {
    let name = path.display();
    let told_where =
        |fault: ConfigError| ConfigError::new(format!("{name}: {}", fault.path), fault.what);
    parse(text).map_err(|faults| ConfigErrors(faults.0.into_iter().map(told_where).collect()))
}

/// A fault as the contract's reader words it: a path, and after it what is wrong.
fn worded(fault: doortrack_settings::SettingsError) -> ConfigErrors {
    match fault.split_once(": ") {
        Some((path, what)) => ConfigErrors::one(path, what),
        None => ConfigErrors::one("config", fault),
    }
}

/// Reads and checks a text.
///
/// # Errors
/// The faults of all keys at the top and of the limits; of the settings the first.
pub fn parse(text: &[u8]) -> Result<NodeConfig, ConfigErrors> {
    let value: Value = serde_json::from_slice(text)
        .map_err(|e| ConfigErrors::one("config", format!("not JSON: {e}")))?;
    let top = Part {
        value: &value,
        path: "config".into(),
    };
    if !value.is_object() {
        return top.wrong("an object").map_err(worded);
    }
    let mut faults = Vec::new();
    let word = |key: &str| Ok(top.word(key).map_err(worded)?.0.to_string());
    let handed = |settings: Part| {
        doortrack_settings::read(&settings)
            .and_then(can_serve)
            .map_err(worded)
    };
    let stop_after = || Ok(top.num("stop_ms").map_err(worded)? as TenthMillis * MILLISECOND);
    let orders = (
        ConfigErrors::keep(&mut faults, word("name")),
        ConfigErrors::keep(&mut faults, address(&top, "listen").map_err(worded)),
        ConfigErrors::keep(&mut faults, address(&top, "engine").map_err(worded)),
        ConfigErrors::keep(&mut faults, address(&top, "registry").map_err(worded)),
        ConfigErrors::keep(&mut faults, seed(&top).map_err(worded)),
        ConfigErrors::keep(&mut faults, stop_after()),
        ConfigErrors::keep(&mut faults, room(&top)),
        ConfigErrors::keep(
            &mut faults,
            top.part("settings").map_err(worded).and_then(handed),
        ),
    );
    match orders {
        (
            Some(name),
            Some(listen),
            Some(engine),
            Some(registry),
            Some(seed),
            Some(stop_after),
            Some(room),
            Some(handed),
        ) if faults.is_empty() => {
            let source = digest(text);
            Ok(NodeConfig {
                name,
                listen,
                engine,
                registry,
                seed,
                stop_after,
                limits: room,
                settings: handed,
                source,
            })
        }
        _ => Err(ConfigErrors(faults)),
    }
}

fn room(top: &Part) -> Result<ResourceLimits, ConfigErrors> {
    let limits = top.find("limits");
    let limit = |key: &str, default: f64| match limits.as_ref().and_then(|part| part.find(key)) {
        Some(part) => part.number().map_err(worded),
        None => Ok(default),
    };
    let mut faults = Vec::new();
    let cores = ConfigErrors::keep(&mut faults, limit("cores", CORES)).unwrap_or(CORES);
    let memory_mb =
        ConfigErrors::keep(&mut faults, limit("memory_mb", MEMORY_MB)).unwrap_or(MEMORY_MB);
    let sockets =
        ConfigErrors::keep(&mut faults, limit("sockets", SOCKETS)).unwrap_or(SOCKETS) as usize;
    let room = ResourceLimits::within(memory_mb, sockets);
    if cores <= 0.0 {
        faults.push(ConfigError::new(
            "config.limits.cores",
            "more than 0 is wanted",
        ));
    }
    if memory_mb < LEAST_MEMORY_MB {
        let what = format!("at least {LEAST_MEMORY_MB} is wanted, found {memory_mb}");
        faults.push(ConfigError::new("config.limits.memory_mb", what));
    } else if room.connections < LEAST_CONNECTIONS {
        let least = LEAST_CONNECTIONS + OWN_DESCRIPTORS;
        let what = format!("at least {least} is wanted, found {sockets}");
        faults.push(ConfigError::new("config.limits.sockets", what));
    }
    if faults.is_empty() {
        Ok(room)
    } else {
        Err(ConfigErrors(faults))
    }
}

/// What a deployment may ask for and this node can't do yet.
fn can_serve(
    handed: DeploymentSettings,
) -> Result<DeploymentSettings, doortrack_settings::SettingsError> {
    let needs = [
        (handed.has_downstream, "below: calls to what lies below"),
        (
            handed
                .admission
                .groups
                .iter()
                .any(|group| group.calls_downstream),
            "calls_by_class: endpoint groups that call",
        ),
        (
            handed.deep_checks,
            "deep_checks: health checks that do real work",
        ),
        (
            handed.passes_deadline,
            "passes_deadline: exchanges that tell how long their caller waits",
        ),
    ];
    match needs.iter().find(|(asked, _)| *asked) {
        Some((_, what)) => Err(format!(
            "config.settings.family_info.{what} can't be served by this node yet"
        )),
        None if handed.group_names.is_empty() => {
            Err("config.settings.lanes: at least one is wanted".into())
        }
        None if handed.group_names.len() > 256 => {
            Err("config.settings.lanes: at most 256 are wanted".into())
        }
        None if handed.tenant_names.len() > 65_536 => {
            Err("config.settings.parties: at most 65536 are wanted".into())
        }
        None => Ok(handed),
    }
}

fn address(top: &Part, key: &str) -> Result<SocketAddr, doortrack_settings::SettingsError> {
    let (word, part) = top.word(key)?;
    word.parse().or_else(|_| part.wrong("an address and port"))
}

/// Sixteen hex digits; without any, chance starts the same at each start.
fn seed(top: &Part) -> Result<u64, doortrack_settings::SettingsError> {
    if top.find("seed").is_none() {
        return Ok(0);
    }
    let (word, part) = top.word("seed")?;
    u64::from_str_radix(word, 16).or_else(|_| part.wrong("a seed in hex digits"))
}
