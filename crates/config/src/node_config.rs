//! The platform's configuration of a node: the JSON file that the environment variable `GW_CONFIG` names.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use doortrack_settings::{DeploymentSettings, JsonValue, SettingsError};
use doortrack_time::{MILLISECOND, TenthMillis};
use serde_json::Value;
use sha2::{Digest as _, Sha256};

use crate::range::is_hex;
use crate::{
    ConfigError, ConfigErrorKind, ConfigErrors, ErrorCollector, ResourceLimits, consistent_read,
};

const CONFIG_VARIABLE: &str = "GW_CONFIG";
/// Maximum number of endpoint groups, whose index is one byte.
const MAX_GROUPS: usize = 256;
/// Maximum number of tenants, whose index is two bytes.
const MAX_TENANTS: usize = 65_536;
/// Maximum time in milliseconds from the shutdown request to the stop: seven weeks.
const MAX_STOP_MS: f64 = u32::MAX as f64;

/// The platform's configuration of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeConfig {
    /// Name of the node.
    pub name: String,
    /// Address of the platform's listener.
    pub listen: SocketAddr,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Address of the registry.
    pub registry: SocketAddr,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Time from the shutdown request until the process stops.
    pub stop_after: TenthMillis,
    /// Resource limits of the node.
    pub limits: ResourceLimits,
    /// Settings of the deployment.
    pub settings: DeploymentSettings,
    /// Digest of the file content.
    pub source: Digest,
}

/// A SHA-256 digest.
pub type Digest = [u8; 32];

/// Returns the SHA-256 digest of a text.
pub fn digest(text: &[u8]) -> Digest {
    Sha256::digest(text).into()
}

/// Reads the file that `GW_CONFIG` names.
///
/// # Errors
/// The variable is not set, or as [`read_file`].
pub fn read() -> Result<NodeConfig, ConfigErrors> {
    read_file(&path()?)
}

/// Returns the path in `GW_CONFIG`.
///
/// # Errors
/// The variable is not set.
pub fn path() -> Result<PathBuf, ConfigErrors> {
    std::env::var_os(CONFIG_VARIABLE)
        .map(PathBuf::from)
        .ok_or_else(|| ConfigErrors::one(CONFIG_VARIABLE, ConfigErrorKind::VariableNotSet))
}

/// Reads and validates a file.
///
/// # Errors
/// The file can't be read, or as [`parse_file`].
pub fn read_file(path: &Path) -> Result<NodeConfig, ConfigErrors> {
    parse_file(path, &read_bytes(path)?)
}

/// Reads a file without parsing it.
///
/// # Errors
/// The file can't be read.
pub fn read_bytes(path: &Path) -> Result<Vec<u8>, ConfigErrors> {
    consistent_read::read(path).map_err(|error| {
        let path = format!("{CONFIG_VARIABLE}: {}", path.display());
        ConfigErrors::one(path, ConfigErrorKind::unreadable(&error))
    })
}

/// Parses and validates the content of the file at `path`.
///
/// # Errors
/// As [`parse`], with the path of the file before the path of each key.
pub fn parse_file(path: &Path, text: &[u8]) -> Result<NodeConfig, ConfigErrors> {
    let in_file = |error: ConfigError| {
        ConfigError::new(format!("{}: {}", path.display(), error.path), error.kind)
    };
    parse(text).map_err(|errors| ConfigErrors(errors.0.into_iter().map(in_file).collect()))
}

/// Parses and validates a text.
///
/// # Errors
/// All errors of the top-level keys and of the limits, and the first error of the settings.
pub fn parse(text: &[u8]) -> Result<NodeConfig, ConfigErrors> {
    let value: Value = serde_json::from_slice(text)
        .map_err(|error| ConfigErrors::one("config", ConfigErrorKind::not_json(&error)))?;
    let root = JsonValue::root("config", &value);
    if !value.is_object() {
        return Err(root.unexpected("an object").into());
    }
    let mut errors = ErrorCollector::default();
    let name = errors.collect(name(&root));
    let listen = errors.collect(address(&root, "listen"));
    let engine = errors.collect(address(&root, "engine"));
    let registry = errors.collect(address(&root, "registry"));
    let seed = errors.collect(seed(&root));
    let stop_after = errors.collect(stop_after(&root));
    let limits = errors.collect(ResourceLimits::read(&root));
    let settings = errors.collect(settings(&root));
    let config = (|| {
        Some(NodeConfig {
            name: name?,
            listen: listen?,
            engine: engine?,
            registry: registry?,
            seed: seed?,
            stop_after: stop_after?,
            limits: limits?,
            settings: settings?,
            source: digest(text),
        })
    })();
    errors.finish_some(config)
}

fn name(root: &JsonValue) -> Result<String, SettingsError> {
    Ok(root.required("name")?.string()?.to_string())
}

fn address(root: &JsonValue, key: &str) -> Result<SocketAddr, SettingsError> {
    let node = root.required(key)?;
    let text = node.string()?;
    text.parse()
        .map_err(|_| node.unexpected("an address and port"))
}

/// Reads the seed of up to sixteen hex digits. Without a seed it is zero, so that the random numbers are the same
/// at each start.
fn seed(root: &JsonValue) -> Result<u64, SettingsError> {
    let Some(node) = root.get("seed") else {
        return Ok(0);
    };
    let digits = node.string()?;
    let seed = u64::from_str_radix(digits, 16).ok();
    seed.filter(|_| is_hex(digits))
        .ok_or_else(|| node.unexpected("a seed in hex digits"))
}

fn stop_after(root: &JsonValue) -> Result<TenthMillis, SettingsError> {
    let node = root.required("stop_ms")?;
    let millis = node.number()?;
    if millis > MAX_STOP_MS {
        return Err(node.unexpected(format!("at most {MAX_STOP_MS}")));
    }
    Ok((millis * MILLISECOND as f64) as TenthMillis)
}

fn settings(root: &JsonValue) -> Result<DeploymentSettings, ConfigErrors> {
    let settings = doortrack_settings::read(&root.required("settings")?)?;
    check_supported(&settings)?;
    check_counts(&settings)?;
    Ok(settings)
}

/// Rejects a deployment that requires a feature this node does not support.
fn check_supported(settings: &DeploymentSettings) -> Result<(), ConfigError> {
    let groups = &settings.admission.groups;
    let calls_downstream = groups.iter().any(|group| group.calls_downstream);
    let (key, feature) = if settings.has_downstream {
        ("below", "calls to what lies below")
    } else if calls_downstream {
        ("calls_by_class", "endpoint groups that call")
    } else if settings.deep_checks {
        ("deep_checks", "health checks that do real work")
    } else if settings.passes_deadline {
        (
            "passes_deadline",
            "exchanges that tell how long their caller waits",
        )
    } else {
        return Ok(());
    };
    Err(ConfigError::new(
        format!("config.settings.family_info.{key}"),
        ConfigErrorKind::Unsupported(feature),
    ))
}

/// Rejects a deployment without endpoint groups, or with more groups or tenants than their indices allow.
fn check_counts(settings: &DeploymentSettings) -> Result<(), ConfigError> {
    let (groups, tenants) = (settings.group_names.len(), settings.tenant_names.len());
    let (key, message) = if groups == 0 {
        ("lanes", "at least one is wanted".to_string())
    } else if groups > MAX_GROUPS {
        ("lanes", format!("at most {MAX_GROUPS} are wanted"))
    } else if tenants > MAX_TENANTS {
        ("parties", format!("at most {MAX_TENANTS} are wanted"))
    } else {
        return Ok(());
    };
    Err(ConfigError::new(format!("config.settings.{key}"), message))
}
